package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/experiment"
)

func registerCompare(app *kingpin.Application, registered commands) {
	command := app.Command("compare", "Compare the variants of an experiment with its base, paired by site, day and seed.\n\nExample: ochrebay compare table.tsv")
	file := command.Arg("table", "Table that scripts/experiment wrote.").Required().String()
	registered[command.FullCommand()] = withoutContext(func() error {
		opened, err := os.Open(*file)
		if err != nil {
			return err
		}
		defer opened.Close()
		plays, err := experiment.ReadRuns(opened)
		if err != nil {
			return err
		}
		return experiment.WriteTable(os.Stdout, experiment.Compare(plays))
	})
}
