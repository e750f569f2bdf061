package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/gateway"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

func registerGateway(app *kingpin.Application, registered commands) {
	command := app.Command("gateway", "Run a gateway, which accepts callers' requests and sends them to engines.\n\nExample: ochrebay gateway --config.file etc/gateway-1.yaml")
	flags := registerProcessFlags(command)
	registered[command.FullCommand()] = func(ctx context.Context) error { return runGateway(ctx, flags) }
}

func runGateway(ctx context.Context, flags processFlags) error {
	signals := catchHangups()
	process, logger, err := flags.load(config.RoleGateway)
	if err != nil {
		return err
	}
	daemon := gateway.NewDaemon(process, gatewayHeaders(process), logger)
	daemon.Frontends = gatewayFrontends(process, daemon)
	daemon.EngineStatusPath = engineStatusPath(process)
	stopWatching := watchSettingsFile(signals, flags, logger, daemon.Follower().SetSeeds)
	defer stopWatching()
	err = daemon.Run(ctx)
	telemetry.Info(logger, "stopped", "err", err)
	return err
}
