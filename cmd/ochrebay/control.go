package main

import (
	"context"
	"errors"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/storage"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

func withoutContext(run func() error) runFunc {
	return func(context.Context) error { return run() }
}

func registerControl(app *kingpin.Application, registered commands) {
	command := app.Command("control", "Run a control process: replicas of the settings and ledger groups.\n\nExample: ochrebay control --config.file etc/control-1.yaml")
	flags := registerProcessFlags(command)
	registered[command.FullCommand()] = func(ctx context.Context) error { return runControl(ctx, flags) }
}

func runControl(ctx context.Context, flags processFlags) error {
	process, logger, err := flags.load(config.RoleControl)
	if err != nil {
		return err
	}
	daemon, err := control.NewDaemon(process, logger)
	if errors.Is(err, storage.ErrInUse) {
		return settingsError{config.Problem{
			File: *flags.file, Field: "data.path", Value: process.Data.Path, Reason: "another process uses this data folder",
		}}
	}
	if err != nil {
		return err
	}
	err = daemon.Run(ctx)
	telemetry.Info(logger, "stopped", "err", err)
	return err
}
