package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/sidecar"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

func registerSidecar(app *kingpin.Application, registered commands) {
	command := app.Command("sidecar", "Run a sidecar, the process next to each caller.\n\nExample: ochrebay sidecar --config.file etc/sidecar-east-1.yaml")
	flags := registerProcessFlags(command)
	registered[command.FullCommand()] = func(ctx context.Context) error { return runSidecar(ctx, flags) }
}

func runSidecar(ctx context.Context, flags processFlags) error {
	process, logger, err := flags.load(config.RoleSidecar)
	if err != nil {
		return err
	}
	err = sidecar.NewDaemon(process, logger).Run(ctx)
	telemetry.Info(logger, "stopped", "err", err)
	return err
}
