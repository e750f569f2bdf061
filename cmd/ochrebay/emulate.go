package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/emulator"
)

// emulatorProcess is an emulated process of a component outside ochrebay, such as an engine.
type emulatorProcess interface {
	Run(ctx context.Context) error
}

func registerEmulate(app *kingpin.Application, registered commands) {
	command := app.Command("emulate", "Run an emulator of a component outside ochrebay.")
	registerEmulateFleet(command, registered)
	kinds := []struct {
		role string
		help string
		make func(config.Process, log.Logger) emulatorProcess
	}{
		{config.RoleEngine, "A model engine.", func(p config.Process, l log.Logger) emulatorProcess { return emulator.NewEngine(p, l) }},
		{config.RoleWeights, "The weight store.", func(p config.Process, l log.Logger) emulatorProcess { return emulator.NewWeightStore(p, l) }},
		{config.RoleTools, "Tool services.", func(p config.Process, l log.Logger) emulatorProcess { return emulator.NewToolServices(p, l) }},
		{config.RolePlatform, "The platform's instance list.", func(p config.Process, l log.Logger) emulatorProcess { return emulator.NewPlatform(p, l) }},
	}
	for _, kind := range kinds {
		sub := command.Command(kind.role, kind.help+"\n\nExample: ochrebay emulate "+kind.role+" --config.file etc/"+kind.role+".yaml")
		flags := registerProcessFlags(sub)
		registered[sub.FullCommand()] = func(ctx context.Context) error {
			process, logger, err := flags.load(kind.role)
			if err != nil {
				return err
			}
			return kind.make(process, logger).Run(ctx)
		}
	}
}
