package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/experiment"
)

func registerCompare(app *kingpin.Application, registered commands) {
	command := app.Command("compare", "Compare the variants of an experiment with its baseline, paired by site, day and seed.\n\nExample: ochrebay compare table.tsv")
	file := command.Arg("table", "Result table written by scripts/experiment.").Required().String()
	registered[command.FullCommand()] = withoutContext(func() error {
		reader, err := os.Open(*file)
		if err != nil {
			return err
		}
		defer reader.Close()
		runs, err := experiment.ReadRuns(reader)
		if err != nil {
			return err
		}
		return experiment.WriteTable(os.Stdout, experiment.Compare(runs))
	})
}
