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
	// maxReportConnections bounds the connections to one control process for engine reports.
	// reportTimeout is how long an engine waits for the acknowledgement of a report.
	maxReportConnections = 64
	reportTimeout        = time.Second
)

// registerEmulateFleet registers the command that emulates the control traffic of a large fleet.
func registerEmulateFleet(emulate *kingpin.CmdClause, registered commands) {
	command := emulate.Command("fleet", "Emulate thousands of engines that report and hundreds of gateways that receive updates, without requests, against running control processes.\n\n"+
		"Example: ochrebay emulate fleet --control 127.0.0.1:8080 --seed 127.0.0.1:7080 --engines 10000 --gateways 700")
	fleet := &emulator.EmulatedFleet{Out: os.Stdout, Logger: log.NewNopLogger()}
	command.Flag("control", "Address of a control process for operators and engines; repeatable.").Required().StringsVar(&fleet.ControlAddresses)
	command.Flag("seed", "Inner address of a control process; repeatable.").Required().StringsVar(&fleet.SeedAddresses)
	command.Flag("engines", "Number of engines that report.").Default("10000").IntVar(&fleet.EngineCount)
	command.Flag("gateways", "Number of gateways that receive updates.").Default("700").IntVar(&fleet.GatewayCount)
	command.Flag("zones", "Number of zones over which engines and gateways are distributed.").Default("5").IntVar(&fleet.ZoneCount)
	command.Flag("heartbeat", "Interval between two reports of an engine.").Default("5s").DurationVar(&fleet.HeartbeatInterval)
	command.Flag("steady", "How long the complete fleet is observed.").Default("10s").DurationVar(&fleet.SteadyDuration)
	timeout := command.Flag("timeout", "Time after which an unfinished run fails.").Default("2m").Duration()
	registered[command.FullCommand()] = func(ctx context.Context) error {
		bounded, cancel := context.WithTimeout(ctx, *timeout)
		defer cancel()
		fleet.SendReport = newEngineReporter()
		return fleet.Run(bounded)
	}
}

// newEngineReporter returns a function that sends the reports of emulated engines to a control
// process.
func newEngineReporter() func(ctx context.Context, control string, engine membership.ServingEngine) error {
	client := &http.Client{Timeout: reportTimeout, Transport: &http.Transport{MaxConnsPerHost: maxReportConnections, MaxIdleConnsPerHost: maxReportConnections}}
	return func(ctx context.Context, control string, engine membership.ServingEngine) error {
		return reportEngine(ctx, client, control, engine)
	}
}
