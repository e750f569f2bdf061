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

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// logLine is one parsed line of a process's log.
type logLine struct {
	timestamp string
	text      string
	fields    map[string]string
}

func registerTrace(app *kingpin.Application, registered commands) {
	command := app.Command("trace", "Merge the log lines of one request from several processes in order of time, and show how the request ended.\n\nExample: ochrebay trace 9c41d07be2a35f68 gateway-*.log ledger-*.log")
	request := command.Arg("request", "ID of the request, or of a program with --program.").Required().String()
	files := command.Arg("file", "Logs.").Required().Strings()
	byProgram := command.Flag("program", "Select the lines of all requests of a program.").Bool()
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

// readLines returns the lines of several logs in which the key has the value, in order of time.
func readLines(files []string, key, value string) ([]logLine, error) {
	var lines []logLine
	err := forEachLine(files, func(line logLine) {
		// With tenants, the ledger logs turns and programs as TENANT/ID.
		if actual := line.fields[key]; actual == value || strings.HasSuffix(actual, "/"+value) {
			lines = append(lines, line)
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.timestamp, b.timestamp) })
	return lines, nil
}

// forEachLine calls visit for each line of several logs.
func forEachLine(files []string, visit func(line logLine)) error {
	for _, file := range files {
		if err := forEachLineIn(file, visit); err != nil {
			return errorx.Decorate(err, "reading %s", file)
		}
	}
	return nil
}

func forEachLineIn(file string, visit func(line logLine)) error {
	reader, err := os.Open(file)
	if err != nil {
		return err
	}
	defer reader.Close()
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text()); ok {
			visit(line)
		}
	}
	return scanner.Err()
}

// parseLine parses a log line, which starts with the key level. It ignores any text before it, such
// as the prefixes of log collectors.
func parseLine(text string) (logLine, bool) {
	start := strings.Index(text, "level=")
	if start < 0 {
		return logLine{}, false
	}
	line := logLine{text: text[start:], fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(line.text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	line.timestamp = line.fields["ts"]
	return line, decoder.Err() == nil && line.timestamp != ""
}

// printTrace prints the lines, followed by how the request ended.
func printTrace(output io.Writer, request string, lines []logLine) error {
	if len(lines) == 0 {
		return errorx.DataUnavailable.New("no log line of %s found: its lines may have been sampled out, or a log is missing", request)
	}
	ending := "unknown: no gateway logged the end of the request; the gateway process may have died"
	for _, line := range lines {
		fmt.Fprintf(output, "%s %s %q%s\n", line.timestamp, line.fields["process"], line.fields["msg"], details(line))
		switch line.fields["msg"] {
		case "served":
			ending = fmt.Sprintf("answered with %s by engine %s after %s", line.fields["status"], line.fields["engine"], line.fields["took"])
		case "failed":
			ending = fmt.Sprintf("%s (%s) after %s", line.fields["err"], line.fields["outcome"], line.fields["took"])
		}
	}
	_, err := fmt.Fprintf(output, "ended: %s\n", ending)
	return err
}

// details returns the text of a line after its message: the fields that printTrace doesn't print
// separately.
func details(line logLine) string {
	_, rest, found := strings.Cut(line.text, " msg=")
	if !found {
		return ""
	}
	message := line.fields["msg"]
	rest = strings.TrimPrefix(strings.TrimPrefix(rest, `"`), message)
	return strings.TrimPrefix(rest, `"`)
}
