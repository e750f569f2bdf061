package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"

	"github.com/ochrebay/ochrebay/internal/emulator"
	"github.com/ochrebay/ochrebay/internal/membership"
)

const (
	// hollowConnections bounds the connections to one control process for engines' reports,
	// and hollowReportTimeout is how long an engine waits for an acknowledgement.
	hollowConnections   = 64
	hollowReportTimeout = time.Second
)

// registerEmulateFleet adds the command that plays the control traffic of a large fleet.
func registerEmulateFleet(emulate *kingpin.CmdClause, registered commands) {
	command := emulate.Command("fleet", "Thousands of engines that report and hundreds of gateways that follow, without requests, against running control processes.\n\n"+
		"Example: ochrebay emulate fleet --control 127.0.0.1:8080 --seed 127.0.0.1:7080 --engines 10000 --gateways 700")
	fleet := &emulator.EmulatedFleet{Out: os.Stdout, Logger: log.NewNopLogger()}
	command.Flag("control", "Address of a control process for operators and engines; may be repeated.").Required().StringsVar(&fleet.ControlAddresses)
	command.Flag("seed", "Inner address of a control process; may be repeated.").Required().StringsVar(&fleet.SeedAddresses)
	command.Flag("engines", "How many engines report.").Default("10000").IntVar(&fleet.EngineCount)
	command.Flag("gateways", "How many gateways follow.").Default("700").IntVar(&fleet.GatewayCount)
	command.Flag("zones", "How many zones they are spread over.").Default("5").IntVar(&fleet.ZoneCount)
	command.Flag("heartbeat", "Time between two reports of an engine.").Default("5s").DurationVar(&fleet.HeartbeatInterval)
	command.Flag("steady", "How long the complete fleet is watched.").Default("10s").DurationVar(&fleet.SteadyDuration)
	within := command.Flag("timeout", "Time after which a run that has not ended fails.").Default("2m").Duration()
	registered[command.FullCommand()] = func(ctx context.Context) error {
		bounded, cancel := context.WithTimeout(ctx, *within)
		defer cancel()
		fleet.SendReport = hollowReporter()
		return fleet.Run(bounded)
	}
}

// hollowReporter returns what carries the reports of hollow engines.
func hollowReporter() func(ctx context.Context, control string, engine membership.ServingEngine) error {
	client := &http.Client{Timeout: hollowReportTimeout, Transport: &http.Transport{MaxConnsPerHost: hollowConnections, MaxIdleConnsPerHost: hollowConnections}}
	return func(ctx context.Context, control string, engine membership.ServingEngine) error {
		return reportEngine(ctx, client, control, engine)
	}
}
