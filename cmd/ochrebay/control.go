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
	command := app.Command("control", "Run a control process, which hosts replicas of the settings and ledger groups.\n\nExample: ochrebay control --config.file etc/control-1.yaml")
	flags := registerProcessFlags(command)
	registered[command.FullCommand()] = func(ctx context.Context) error { return runControl(ctx, flags) }
}

func runControl(ctx context.Context, flags processFlags) error {
	signals := catchHangups()
	process, logger, err := flags.load(config.RoleControl)
	if err != nil {
		return err
	}
	daemon, err := control.NewDaemon(process, logger)
	if errors.Is(err, storage.ErrInUse) {
		return dataFolderInUseError(flags, process)
	}
	if err != nil {
		return err
	}
	daemon.Frontends = controlFrontends(process, daemon)
	if process.Cluster.UsesDiscovery() {
		stopWatching := watchSettingsFile(signals, flags, logger, daemon.SetSeeds)
		defer stopWatching()
	}
	err = daemon.Run(ctx)
	telemetry.Info(logger, "stopped", "err", err)
	return err
}

// dataFolderInUseError returns the error for a data folder that another process has locked.
func dataFolderInUseError(flags processFlags, process config.Process) error {
	return settingsError{config.FileError{
		File: *flags.file, Field: "data.path", Value: process.Data.Path, Reason: "another process uses this data folder",
	}}
}
