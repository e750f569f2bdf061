package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/capacity"
)

func registerCapacity(app *kingpin.Application, registered commands) {
	command := app.Command("capacity", "Measure how state, storage and memory grow, for docs/CAPACITY.md.\n\nExample: ochrebay capacity --quick")
	quick := command.Flag("quick", "Measure smaller sizes, in less than a minute.").Bool()
	part := command.Flag("part", "Measure only this part: program headers, turns of a program, tenants, engine reports, synced writes, runs.").String()
	plots := command.Flag("plots", "Folder to write one SVG plot per fitted slope to.").String()
	output := command.Flag("output", "Output format: table or json.").Default("table").Enum("table", "json")
	registered[command.FullCommand()] = func(context.Context) error {
		report, err := capacity.Measure(*quick, *part, os.Stderr)
		if err != nil {
			return err
		}
		if *plots != "" {
			if err := report.WritePlots(*plots); err != nil {
				return err
			}
		}
		if *output == "json" {
			return printJSON(report)
		}
		report.Print(os.Stdout)
		return nil
	}
}
