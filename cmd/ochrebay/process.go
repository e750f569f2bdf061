package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

// settingsVariable is the environment variable that names the settings file if --config.file is not
// given.
const settingsVariable = "OCHREBAY_CONFIG"

// processFlags are the flags of every daemon; they override its settings file.
type processFlags struct {
	file    *string
	name    *string
	zone    *string
	address *string
	http    *string
	data    *string
	level   *string
}

func registerProcessFlags(command *kingpin.CmdClause) processFlags {
	return processFlags{
		file:    command.Flag("config.file", "Settings file of this process (YAML).").Envar(settingsVariable).Required().String(),
		name:    command.Flag("name", "Name of this process; overrides the file.").String(),
		zone:    command.Flag("zone", "Zone of this process; overrides the file.").String(),
		address: command.Flag("listen.address", "IP:port of the inner protocol; overrides the file.").String(),
		http:    command.Flag("listen.http", "IP:port for HTTP; overrides the file.").String(),
		data:    command.Flag("data.path", "Data folder; overrides the file.").String(),
		level:   command.Flag("log.level", "Log level: debug, info, warn or error; overrides the file.").String(),
	}
}

// load reads the settings file, applies the flags and validates the result. It also configures the
// garbage collector for the memory limit, and returns the logger of the process.
func (f processFlags) load(role string) (config.Process, log.Logger, error) {
	process, err := config.Load(*f.file, func(p *config.Process) {
		override := func(flag string, field *string) {
			if flag != "" {
				*field = flag
			}
		}
		override(*f.name, &p.Name)
		override(*f.zone, &p.Zone)
		override(*f.address, &p.Listen.Address)
		override(*f.http, &p.Listen.HTTP)
		override(*f.data, &p.Data.Path)
		override(*f.level, &p.Log.Level)
	})
	if err != nil {
		return process, nil, settingsError{err}
	}
	if process.Role != role {
		fileErr := config.FileError{File: *f.file, Field: "role", Value: process.Role, Reason: "this command runs the role " + role}
		return process, nil, settingsError{fileErr}
	}
	limitMemory(process.Limits)
	return process, telemetry.NewLogger(telemetry.SetLogOutput(os.Stdout), role, process.Name, process.Log.Level), nil
}

// heapFraction is the fraction of the process's memory limit that is set as the soft memory
// limit of the Go runtime, near which the garbage collector works harder. The rest is for
// stacks, file pages and received bytes that have not been read yet.
const heapFraction = 0.55

// heapGrowthPercent is how much the heap may grow beyond the live heap before the next garbage
// collection, percent. It is less than half of the runtime's default of 100, since memory is
// scarcer on small machines than the processor time of more frequent collections.
const heapGrowthPercent = 40

// limitMemory configures the garbage collector for the memory limit of the process.
func limitMemory(limits config.Limits) {
	debug.SetGCPercent(heapGrowthPercent)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryMB<<20) * heapFraction))
	}
}

func registerCheckConfig(app *kingpin.Application, registered commands) {
	command := app.Command("check-config", "Check the settings file of a process without starting it.\n\nExample: ochrebay check-config etc/control-1.yaml")
	file := command.Arg("file", "Settings file.").Required().String()
	registered[command.FullCommand()] = checkConfig(file)
}

func checkConfig(file *string) runFunc {
	return withoutContext(func() error {
		process, err := config.Load(*file, nil)
		if err != nil {
			return settingsError{err}
		}
		fmt.Printf("%s: ok: %s %s in zone %s\n", *file, process.Role, process.Name, process.Zone)
		return nil
	})
}
