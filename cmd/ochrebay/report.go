package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"

	"github.com/ochrebay/ochrebay/internal/logreport"
)

func registerReport(app *kingpin.Application, registered commands) {
	command := app.Command("report", "Plot outcomes and latencies of the requests in gateway logs as one HTML page.\n\nExample: ochrebay report --output day.html gateway-*.log")
	output := command.Flag("output", "HTML file to write.").Default("report.html").String()
	files := command.Arg("file", "Logs.").Required().Strings()
	registered[command.FullCommand()] = withoutContext(func() error { return writeReport(*output, *files) })
}

// writeReport reads logs, writes the HTML page and prints the number of requests.
func writeReport(output string, files []string) error {
	report := &logreport.Report{}
	err := forEachLine(files, func(line logLine) { report.AddLine(line.fields) })
	if err != nil {
		return err
	}
	if report.Len() == 0 {
		return errorx.DataUnavailable.New("the logs contain no completed request: are they gateway logs?")
	}
	file, err := os.Create(output)
	if err != nil {
		return errorx.Decorate(err, "creating the report file")
	}
	if err := report.WriteHTML(file); err != nil {
		_ = file.Close()
		return errorx.Decorate(err, "writing %s", output)
	}
	if err := file.Close(); err != nil {
		return errorx.Decorate(err, "writing %s", output)
	}
	fmt.Printf("%s: %d requests\n", output, report.Len())
	return nil
}
