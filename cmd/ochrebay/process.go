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

// settingsVariable names the settings file where no flag does.
const settingsVariable = "OCHREBAY_CONFIG"

// processFlags are the flags that every daemon takes over its settings file.
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
		name:    command.Flag("name", "Name of this process; over the file.").String(),
		zone:    command.Flag("zone", "Zone of this process; over the file.").String(),
		address: command.Flag("listen.address", "IP:port of the inner protocol; over the file.").String(),
		http:    command.Flag("listen.http", "IP:port for HTTP; over the file.").String(),
		data:    command.Flag("data.path", "Data folder; over the file.").String(),
		level:   command.Flag("log.level", "debug, info, warn or error; over the file.").String(),
	}
}

// load reads and validates the file with the flags over it.
func (f processFlags) load(role string) (config.Process, log.Logger, error) {
	process, err := config.Load(*f.file, func(p *config.Process) {
		over := func(flag string, field *string) {
			if flag != "" {
				*field = flag
			}
		}
		over(*f.name, &p.Name)
		over(*f.zone, &p.Zone)
		over(*f.address, &p.Listen.Address)
		over(*f.http, &p.Listen.HTTP)
		over(*f.data, &p.Data.Path)
		over(*f.level, &p.Log.Level)
	})
	if err != nil {
		return process, nil, settingsError{err}
	}
	if process.Role != role {
		problem := config.FileError{File: *f.file, Field: "role", Value: process.Role, Reason: "this command starts a " + role}
		return process, nil, settingsError{problem}
	}
	limitMemory(process.Limits)
	return process, telemetry.NewLogger(telemetry.SetLogOutput(os.Stdout), role, process.Name, process.Log.Level), nil
}

// heapShare is the part of the process's memory that the heap may take before the
// garbage collector works harder: the rest is for stacks, file pages and bytes that
// have arrived and are not read yet.
const heapShare = 0.55

// heapGrowthPercent is how much the heap may grow beyond what lives before it is
// collected: half of the runtime's own choice, since memory is dearer on small machines
// than the processor time of collecting more often.
const heapGrowthPercent = 40

// limitMemory keeps the heap below what the machine grants.
func limitMemory(limits config.Limits) {
	debug.SetGCPercent(heapGrowthPercent)
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryMB<<20) * heapShare))
	}
}

func registerConfig(app *kingpin.Application, registered commands) {
	command := app.Command("check-config", "Check the settings file of a process and start nothing.\n\nExample: ochrebay check-config etc/control-1.yaml")
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
