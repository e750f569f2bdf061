package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"
)

func registerCheckConfiguration(app *kingpin.Application, registered commands) {
	command := app.Command("check-configuration", "Validate a configuration document of the platform's operator without a fleet. Errors name the location of the fault, but never contain an API key.\n\nExample: ochrebay check-configuration configuration.json")
	file := command.Arg("file", "Configuration document; - for standard input.").Required().String()
	registered[command.FullCommand()] = withoutContext(func() error {
		document, err := readDocument(*file, os.Stdin)
		if err != nil {
			return err
		}
		return checkConfiguration(os.Stdout, document)
	})
}

// readDocument reads a file, or standard input if the file is "-".
func readDocument(file string, standardInput io.Reader) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(standardInput)
	}
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, errorx.Decorate(err, "reading the configuration document")
	}
	return document, nil
}

// checkConfiguration prints a summary of a valid document, or returns its first error.
func checkConfiguration(output io.Writer, document []byte) error {
	table, failure := parseConfiguration(document)
	if failure == nil {
		failure = table.Validate()
	}
	if failure != nil {
		return failure
	}
	keys := 0
	for _, tenant := range table.Tenants {
		keys += len(tenant.Keys)
	}
	_, err := fmt.Fprintf(output, "valid: generation %d, %d routes, %d back ends, keys needed: %t, %d tenants with %d keys\n",
		table.Generation, len(table.Routes), len(table.Backends), table.RequiresKey, len(table.Tenants), keys)
	return err
}
