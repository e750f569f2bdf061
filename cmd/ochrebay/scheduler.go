package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/scheduler"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

func registerScheduler(app *kingpin.Application, registered commands) {
	command := app.Command("scheduler", "Run a scheduler, which owns a cell of engines.\n\nExample: ochrebay scheduler --config.file etc/scheduler-east-1.yaml")
	flags := registerProcessFlags(command)
	registered[command.FullCommand()] = func(ctx context.Context) error { return runScheduler(ctx, flags) }
}

func runScheduler(ctx context.Context, flags processFlags) error {
	process, logger, err := flags.load(config.RoleScheduler)
	if err != nil {
		return err
	}
	err = scheduler.NewDaemon(process, logger).Run(ctx)
	telemetry.Info(logger, "stopped", "err", err)
	return err
}
