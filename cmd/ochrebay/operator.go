package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

const operatorTimeout = 15 * time.Second

// operatorFlags select the control processes to query and the output format.
type operatorFlags struct {
	addresses *[]string
	data      *string
	output    *string
}

func registerOperatorFlags(command *kingpin.CmdClause) operatorFlags {
	return operatorFlags{
		addresses: command.Flag("control.address", "HTTP IP:port of a control process; any member can answer; repeatable.").Envar("OCHREBAY_CONTROL").Strings(),
		data:      command.Flag("data", "Folder of a fleet, as an alternative to addresses.").Envar("OCHREBAY_FLEET").String(),
		output:    command.Flag("output", "Output format: table or json.").Default("table").Enum("table", "json"),
	}
}

func (f operatorFlags) controlAddresses() ([]string, error) {
	if len(*f.addresses) > 0 {
		return *f.addresses, nil
	}
	if *f.data == "" {
		return nil, settingsError{errors.New("ochrebay: --control.address or --data is required")}
	}
	processes, err := readAddresses(*f.data, "control-")
	if err != nil {
		return nil, settingsError{err}
	}
	var targets []string
	for _, process := range processes {
		targets = append(targets, process.address)
	}
	return targets, nil
}

// callControl sends a request to the control processes one after the other until one gives an
// answer other than no_quorum or not_leader. If that answer contains an error, callControl
// returns the error together with the body.
func (f operatorFlags) callControl(method, path string, body []byte) ([]byte, error) {
	targets, err := f.controlAddresses()
	if err != nil {
		return nil, err
	}
	var lastErr error
	for _, target := range targets {
		response, status, err := httpRequest(method, "http://"+target+path, body, operatorTimeout)
		if err != nil {
			lastErr = err
			continue
		}
		if status == fasthttp.StatusOK {
			return response, nil
		}
		var failure result.Body
		if json.Unmarshal(response, &failure) == nil && failure.Error != nil {
			if failure.Error.Code == result.NoQuorum || failure.Error.Code == result.NotLeader {
				lastErr = failure.Error
				continue
			}
			return response, failure.Error
		}
		return response, fmt.Errorf("ochrebay: %s answered with status %d", target, status)
	}
	return nil, fmt.Errorf("ochrebay: no control process answered the request: %w", lastErr)
}

// httpRequest sends a request to a process and returns the body and the status of the response.
func httpRequest(method, url string, body []byte, timeout time.Duration) ([]byte, int, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	client := http.Client{Timeout: timeout, Transport: upstream.NewTransport(timeout)}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return content, response.StatusCode, err
}

// callAndPrint sends a request and prints the response, as JSON or as the table that print writes.
func callAndPrint[T any](flags operatorFlags, method, path string, body []byte, print func(*tabwriter.Writer, T)) error {
	response, err := flags.callControl(method, path, body)
	if err != nil {
		return err
	}
	return printResponse(flags, response, print)
}

func printResponse[T any](flags operatorFlags, response []byte, print func(*tabwriter.Writer, T)) error {
	if *flags.output == "json" {
		fmt.Println(strings.TrimSpace(string(response)))
		return nil
	}
	var decoded T
	if err := json.Unmarshal(response, &decoded); err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	print(table, decoded)
	return table.Flush()
}

func printRow(table *tabwriter.Writer, cells ...any) {
	for index, cell := range cells {
		if index > 0 {
			_, _ = fmt.Fprint(table, "\t")
		}
		_, _ = fmt.Fprint(table, cell)
	}
	_, _ = fmt.Fprintln(table)
}

// printJSON prints a value as one line of JSON, for --output json.
func printJSON(value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	fmt.Println(string(raw))
	return nil
}
