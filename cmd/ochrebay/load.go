package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/workload"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	deployment *string
	data       *string
	scale      *float64
	seed       *uint64
	load       *float64
	duration   *time.Duration
	demo       *bool
	callers    *int
	output     *string
}

func registerLoad(app *kingpin.Application, registered commands) {
	command := app.Command("load", "Run the workload of a deployment against its running fleet, and check the responses that callers get.\n\nExample: ochrebay load --deployment deployments/small.yaml --data run --duration 20s")
	flags := loadFlags{
		deployment: command.Flag("deployment", "Deployment file.").Required().String(),
		data:       command.Flag("data", "Folder of the fleet.").Required().String(),
		scale:      command.Flag("time-scale", "Time scale of the fleet.").Default("1").Float64(),
		seed:       command.Flag("seed", "Seed of the workload.").Default("1").Uint64(),
		load:       command.Flag("load", "Arrival rate relative to that of the deployment.").Default("1").Float64(),
		duration:   command.Flag("duration", "How long programs arrive, in workload time.").Default("20s").Duration(),
		demo:       command.Flag("demo", "Run one program with a tool and a sub-agent, and print each response.").Bool(),
		callers:    command.Flag("callers", "Instead of the workload, run this many closed-loop callers that send the next call without delay; for deployments whose engines respond instantly.").Int(),
		output:     command.Flag("output", "Output format: table or json.").Default("table").Enum("table", "json"),
	}
	registered[command.FullCommand()] = func(ctx context.Context) error { return runLoad(ctx, flags) }
}

func runLoad(ctx context.Context, flags loadFlags) error {
	deployment, err := workload.LoadDeployment(*flags.deployment)
	if err != nil {
		return settingsError{err}
	}
	driver, err := newDriver(*flags.data, *flags.scale)
	if err != nil {
		return settingsError{err}
	}
	if *flags.demo {
		return runDemo(ctx, driver, deployment)
	}
	if *flags.callers > 0 {
		return runOverheadBenchmark(ctx, driver, deployment, flags)
	}
	programs := workload.Generate(deployment, *flags.seed, *flags.load, flags.duration.Milliseconds())
	driver.RequestIDPrefix = fmt.Sprintf("load-%d-%d", *flags.seed, time.Now().UnixNano())
	report := workload.NewReport(driver.RunAll(ctx, programs), driver.Violations())
	if *flags.output == "json" {
		if err := printJSON(report); err != nil {
			return err
		}
	} else {
		report.Print(os.Stdout)
	}
	if len(report.Violations) > 0 {
		return errors.New("ochrebay: the load run found violations")
	}
	return nil
}

// newDriver returns a workload driver for the sidecars and tools of a running fleet.
func newDriver(data string, scale float64) (*workload.Driver, error) {
	sidecars, err := readAddresses(data, "sidecar-")
	if err != nil {
		return nil, err
	}
	if len(sidecars) == 0 {
		return nil, errors.New("ochrebay: the fleet has no sidecar")
	}
	driver := &workload.Driver{TimeScale: scale}
	for _, process := range sidecars {
		driver.Sidecars = append(driver.Sidecars, workload.NewClient(process.address))
	}
	tools, err := readAddresses(data, "tools")
	if err != nil {
		return nil, err
	}
	if len(tools) > 0 {
		driver.ToolAddress = tools[0].address
	}
	return driver, nil
}

// runDemo runs one program of several dependent turns with a tool and a sub-agent, and prints
// its ledger entry.
func runDemo(ctx context.Context, driver *workload.Driver, deployment workload.Deployment) error {
	service := deployment.Workload[0]
	tool := "lookup"
	if len(service.Tools) > 0 {
		tool = service.Tools[0]
	}
	driver.ResponseLog = os.Stdout
	driver.RequestIDPrefix = fmt.Sprintf("demo-%d", time.Now().UnixNano())
	program := workload.Program{Service: service.Service, Tenant: "demo", Steps: []workload.Step{
		{PromptTokens: 300, OutputTokens: 60},
		{PromptTokens: 80, OutputTokens: 40, Tool: tool, ToolDurationMs: 300, SubAgent: []workload.Step{
			{PromptTokens: 60, OutputTokens: 30},
			{PromptTokens: 40, OutputTokens: 30, Tool: tool, ToolDurationMs: 200},
		}},
		{PromptTokens: 50, OutputTokens: 50},
		{PromptTokens: 40, OutputTokens: 40, Tool: tool, ToolDurationMs: 100},
	}}
	fmt.Printf("one %s program: %d calls, a tool and a sub-agent\n", program.Service, program.CallCount())
	outcome := driver.RunProgram(ctx, program)
	fmt.Printf("program %s: %.0f ms, of which tools %.0f ms\n", outcome.ID, outcome.LatencyMs, outcome.ToolMs)
	if outcome.Err != nil {
		return outcome.Err
	}
	raw, err := driver.Sidecars[0].FetchProgram(ctx, outcome.ID, program.Tenant)
	if err != nil {
		return err
	}
	var view control.ProgramView
	if err := json.Unmarshal(raw, &view); err != nil {
		return err
	}
	fmt.Println("\nits ledger entry:")
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	printProgram(table, view)
	if err := table.Flush(); err != nil {
		return err
	}
	for _, violation := range driver.Violations() {
		fmt.Println("violation:", violation)
	}
	if len(driver.Violations()) > 0 || !view.Ended || view.LastTurn != uint64(program.CallCount()) {
		return errors.New("ochrebay: the demo program had violations or did not end after its last turn")
	}
	return nil
}

// runOverheadBenchmark measures the latency that ochrebay adds to calls whose engine responds
// instantly.
func runOverheadBenchmark(ctx context.Context, driver *workload.Driver, deployment workload.Deployment, flags loadFlags) error {
	engines, err := readAddresses(*flags.data, "engine-")
	if err != nil {
		return settingsError{err}
	}
	controls, err := readAddresses(*flags.data, "control-")
	if err != nil {
		return settingsError{err}
	}
	if len(engines) == 0 || len(controls) == 0 {
		return errors.New("ochrebay: the fleet has no engine or no control process")
	}
	var addresses []string
	for _, process := range controls {
		addresses = append(addresses, process.address)
	}
	state, err := engine.NewClient().State(ctx, engines[0].address, false)
	if err != nil {
		return err
	}
	report, err := driver.MeasureOverhead(ctx, deployment.Workload[0].Service, state.Target.Model, engines[0].address, addresses, *flags.callers, *flags.duration)
	if err != nil {
		return err
	}
	if *flags.output == "json" {
		return printJSON(report)
	}
	report.Print(os.Stdout)
	return nil
}
