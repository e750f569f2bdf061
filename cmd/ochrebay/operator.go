package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/ochrebay/ochrebay/internal/result"
)

const operatorTimeout = 15 * time.Second

// operatorFlags say whom to ask and how to print.
type operatorFlags struct {
	addresses *[]string
	data      *string
	output    *string
}

func registerOperatorFlags(command *kingpin.CmdClause) operatorFlags {
	return operatorFlags{
		addresses: command.Flag("control.address", "HTTP IP:port of a control process; any member may be asked.").Envar("OCHREBAY_CONTROL").Strings(),
		data:      command.Flag("data", "Folder of a fleet, instead of addresses.").Envar("OCHREBAY_FLEET").String(),
		output:    command.Flag("output", "table or json.").Default("table").Enum("table", "json"),
	}
}

func (f operatorFlags) targets() ([]string, error) {
	if len(*f.addresses) > 0 {
		return *f.addresses, nil
	}
	if *f.data == "" {
		return nil, settingsError{errors.New("ochrebay: --control.address or --data says whom to ask")}
	}
	lines, err := readAddresses(*f.data, "control-")
	if err != nil {
		return nil, settingsError{err}
	}
	var targets []string
	for _, line := range lines {
		targets = append(targets, line.address)
	}
	return targets, nil
}

// ask sends a request to the first control process that answers. An answer that
// carries an error is returned as that error beside its body.
func (f operatorFlags) ask(method, path string, body []byte) ([]byte, error) {
	targets, err := f.targets()
	if err != nil {
		return nil, err
	}
	var last error
	for _, target := range targets {
		answer, status, err := request(method, "http://"+target+path, body)
		if err != nil {
			last = err
			continue
		}
		if status == fasthttp.StatusOK {
			return answer, nil
		}
		var failure result.Body
		if json.Unmarshal(answer, &failure) == nil && failure.Error != nil {
			if failure.Error.Code == result.NoQuorum || failure.Error.Code == result.NotLeader {
				last = failure.Error
				continue
			}
			return answer, failure.Error
		}
		return answer, fmt.Errorf("ochrebay: %s answered with status %d", target, status)
	}
	return nil, fmt.Errorf("ochrebay: no control process answered: %w", last)
}

func request(method, url string, body []byte) ([]byte, int, error) {
	outgoing := fasthttp.AcquireRequest()
	incoming := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(outgoing)
	defer fasthttp.ReleaseResponse(incoming)
	outgoing.Header.SetMethod(method)
	outgoing.SetRequestURI(url)
	outgoing.SetBody(body)
	if err := fasthttp.DoTimeout(outgoing, incoming, operatorTimeout); err != nil {
		return nil, 0, err
	}
	return append([]byte(nil), incoming.Body()...), incoming.StatusCode(), nil
}

// show asks, decodes and prints: as JSON, or as the table that print makes.
func show[T any](flags operatorFlags, method, path string, body []byte, print func(*tabwriter.Writer, T)) error {
	answer, err := flags.ask(method, path, body)
	if err != nil {
		return err
	}
	return printAnswer(flags, answer, print)
}

func printAnswer[T any](flags operatorFlags, answer []byte, print func(*tabwriter.Writer, T)) error {
	if *flags.output == "json" {
		fmt.Println(strings.TrimSpace(string(answer)))
		return nil
	}
	var decoded T
	if err := json.Unmarshal(answer, &decoded); err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	print(table, decoded)
	return table.Flush()
}

func row(table *tabwriter.Writer, cells ...any) {
	for position, cell := range cells {
		if position > 0 {
			_, _ = fmt.Fprint(table, "\t")
		}
		_, _ = fmt.Fprint(table, cell)
	}
	_, _ = fmt.Fprintln(table)
}

// printJSON prints a value in one line, for --output json.
func printJSON(value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	fmt.Println(string(raw))
	return nil
}
