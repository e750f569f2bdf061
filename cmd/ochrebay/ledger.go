package main

import (
	"context"
	"errors"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/ledger"
	"github.com/ochrebay/ochrebay/internal/storage"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

func registerLedger(app *kingpin.Application, registered commands) {
	command := app.Command("ledger", "Run a ledger host, which hosts replicas of the groups that store turns and budgets.\n\nExample: ochrebay ledger --config.file etc/ledger-1.yaml")
	flags := registerProcessFlags(command)
	registered[command.FullCommand()] = func(ctx context.Context) error { return runLedger(ctx, flags) }
}

func runLedger(ctx context.Context, flags processFlags) error {
	signals := catchHangups()
	process, logger, err := flags.load(config.RoleLedger)
	if err != nil {
		return err
	}
	daemon, err := ledger.NewDaemon(process, logger)
	if errors.Is(err, storage.ErrInUse) {
		return dataFolderInUseError(flags, process)
	}
	if err != nil {
		return err
	}
	stopWatching := watchSettingsFile(signals, flags, logger, daemon.Follower().SetSeeds)
	defer stopWatching()
	err = daemon.Run(ctx)
	telemetry.Info(logger, "stopped", "err", err)
	return err
}
