package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-logfmt/logfmt"
	"github.com/joomcode/errorx"
)

// longestLogLine bounds one line of a log, bytes.
const longestLogLine = 1 << 20

// logLine is one line of a process's log.
type logLine struct {
	at   string
	text string
	keys map[string]string
}

func registerTrace(app *kingpin.Application, registered commands) {
	command := app.Command("trace", "Put the lines of one request from several processes' logs in order and say what ended it.\n\nExample: ochrebay trace 9c41d07be2a35f68 gateway-*.log ledger-*.log")
	request := command.Arg("request", "Id of the request, or of a program with --program.").Required().String()
	files := command.Arg("file", "Logs.").Required().Strings()
	byProgram := command.Flag("program", "Take the lines of all requests of a program.").Bool()
	registered[command.FullCommand()] = withoutContext(func() error {
		key := "request"
		if *byProgram {
			key = "program"
		}
		lines, err := readLines(*files, key, *request)
		if err != nil {
			return err
		}
		return printTrace(os.Stdout, *request, lines)
	})
}

// readLines returns the lines of several logs whose key has a value, in order of
// time.
func readLines(files []string, key, value string) ([]logLine, error) {
	var lines []logLine
	err := eachLine(files, func(line logLine) {
		// The ledger names turns and programs TENANT/ID where there are tenants.
		if found := line.keys[key]; found == value || strings.HasSuffix(found, "/"+value) {
			lines = append(lines, line)
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.at, b.at) })
	return lines, nil
}

// eachLine calls take for each line of several logs.
func eachLine(files []string, take func(line logLine)) error {
	for _, file := range files {
		if err := eachLineOf(file, take); err != nil {
			return errorx.Decorate(err, "reading %s", file)
		}
	}
	return nil
}

func eachLineOf(file string, take func(line logLine)) error {
	opened, err := os.Open(file)
	if err != nil {
		return err
	}
	defer opened.Close()
	scanner := bufio.NewScanner(opened)
	scanner.Buffer(nil, longestLogLine)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
			take(line)
		}
	}
	return scanner.Err()
}

// parseLine reads a line of a log; whatever stands before its first key, as log
// collectors put there, is left out.
func parseLine(text string) (logLine, bool) {
	start := strings.Index(text, "level=")
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{text: text[start:], keys: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(line.text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.keys[string(decoder.Key())] = string(decoder.Value())
		}
	}
	line.at = line.keys["ts"]
	return line, decoder.Err() == nil && line.at != ""
}

// printTrace writes the lines and, last, what ended the request.
func printTrace(output io.Writer, request string, lines []logLine) error {
	if len(lines) == 0 {
		return errorx.DataUnavailable.New("no line of %s: was it thinned out, or is a log missing?", request)
	}
	ending := "not known: no gateway says how it ended; the process may have died"
	for _, line := range lines {
		fmt.Fprintf(output, "%s %s %q%s\n", line.at, line.keys["process"], line.keys["msg"], details(line))
		switch line.keys["msg"] {
		case "served":
			ending = fmt.Sprintf("answered with %s by engine %s after %s", line.keys["status"], line.keys["engine"], line.keys["took"])
		case "failed":
			ending = fmt.Sprintf("%s (%s) after %s", line.keys["err"], line.keys["outcome"], line.keys["took"])
		}
	}
	_, err := fmt.Fprintf(output, "ended: %s\n", ending)
	return err
}

// details returns the keys of a line that are not shown otherwise, in the line's
// order.
func details(line logLine) string {
	_, rest, found := strings.Cut(line.text, " msg=")
	if !found {
		return ""
	}
	message := line.keys["msg"]
	rest = strings.TrimPrefix(strings.TrimPrefix(rest, `"`), message)
	return strings.TrimPrefix(rest, `"`)
}
