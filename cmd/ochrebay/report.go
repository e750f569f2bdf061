package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"

	"github.com/ochrebay/ochrebay/internal/logreport"
)

func registerReport(app *kingpin.Application, registered commands) {
	command := app.Command("report", "Draw outcomes and times of the requests in gateways' logs as one HTML page.\n\nExample: ochrebay report --output day.html gateway-*.log")
	output := command.Flag("output", "File to write.").Default("report.html").String()
	files := command.Arg("file", "Logs.").Required().Strings()
	registered[command.FullCommand()] = withoutContext(func() error { return writeReport(*output, *files) })
}

// writeReport reads logs and writes the page; it says on standard output what it found.
func writeReport(output string, files []string) error {
	report := &logreport.Report{}
	err := eachLine(files, func(line logLine) { report.AddLine(line.keys) })
	if err != nil {
		return err
	}
	if report.Len() == 0 {
		return errorx.DataUnavailable.New("no request ends in these logs: are they gateways' logs?")
	}
	page, err := os.Create(output)
	if err != nil {
		return errorx.Decorate(err, "making the page")
	}
	if err := report.WriteHTML(page); err != nil {
		_ = page.Close()
		return errorx.Decorate(err, "writing %s", output)
	}
	if err := page.Close(); err != nil {
		return errorx.Decorate(err, "writing %s", output)
	}
	fmt.Printf("%s: %d requests\n", output, report.Len())
	return nil
}
