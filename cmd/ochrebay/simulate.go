package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/simulation"
	"github.com/ochrebay/ochrebay/internal/workload"
)

type simulateFlags struct {
	seeds      *string
	deployment *string
	faults     *string
	disable    *string
	parallel   *int
	output     *string
}

func registerSimulate(app *kingpin.Application, registered commands) {
	command := app.Command("simulate", "Run the cores of the daemons in virtual time under injected failures, and check the invariants.\n\nExample: ochrebay simulate --seeds 1..500 --deployment small")
	flags := simulateFlags{
		seeds:      command.Flag("seeds", "Range of seeds, FIRST..LAST.").Default("1..100").String(),
		deployment: command.Flag("deployment", "Deployment: small, vantul, court, or a deployment file.").Default("small").String(),
		faults:     command.Flag("faults", "Comma-separated kinds of faults, or none; all by default. Valid kinds: "+strings.Join(simulation.FaultKinds(), ",")+".").String(),
		disable:    command.Flag("disable", "Comma-separated mechanisms to turn off. Valid mechanisms: "+strings.Join(mechanismNames(), ",")+".").String(),
		parallel:   command.Flag("parallel", "Number of concurrent runs; 0 for the number of processors.").Default("0").Int(),
		output:     command.Flag("output", "Output format: table or json.").Default("table").Enum("table", "json"),
	}
	registered[command.FullCommand()] = func(context.Context) error { return runSimulate(flags) }
}

func mechanismNames() []string {
	var names []string
	for name := range simulation.Mechanisms {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func runSimulate(flags simulateFlags) error {
	first, last, err := parseSeeds(*flags.seeds)
	if err != nil {
		return settingsError{err}
	}
	options, err := simulationOptions(*flags.faults, *flags.disable)
	if err != nil {
		return settingsError{err}
	}
	deployment, err := loadNamedDeployment(*flags.deployment)
	if err != nil {
		return settingsError{err}
	}
	parallel := *flags.parallel
	if parallel <= 0 {
		parallel = runtime.NumCPU()
	}
	summary := simulation.RunMany(deployment, first, last, options, parallel)
	if *flags.output == "json" {
		if err := printJSON(summary); err != nil {
			return err
		}
	} else {
		printSimulation(deployment, summary, options)
	}
	if len(summary.Failed) > 0 {
		return errors.New("ochrebay: the simulation found violations")
	}
	return nil
}

func printSimulation(deployment workload.Deployment, summary simulation.Summary, options simulation.Options) {
	for _, failed := range summary.Failed {
		shrunk := simulation.Shrink(deployment, failed, options)
		violation := shrunk.Violations[0]
		fmt.Printf("violation of %s, seed %d, at %d ms: %s\n", violation.Invariant, shrunk.Seed, violation.AtMs, violation.Detail)
		for _, fault := range shrunk.FaultSchedule {
			fmt.Printf("  needs: %s\n", fault)
		}
	}
	fmt.Printf("programs: %d completed, %d rejected or not completed; %d messages; %d s of virtual time; digest %016x\n",
		summary.Completed, summary.NotCompleted, summary.Messages, summary.VirtualMs/1000, summary.Digest)
	fmt.Println(summary)
}

func parseSeeds(text string) (uint64, uint64, error) {
	low, high, ok := strings.Cut(text, "..")
	if !ok {
		high = low
	}
	first, err := strconv.ParseUint(low, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("--seeds %q is not a range FIRST..LAST", text)
	}
	last, err := strconv.ParseUint(high, 10, 64)
	if err != nil || last < first {
		return 0, 0, fmt.Errorf("--seeds %q is not a range FIRST..LAST", text)
	}
	return first, last, nil
}

func simulationOptions(faults, disable string) (simulation.Options, error) {
	var options simulation.Options
	if faults != "" {
		options.FaultKinds = []string{}
	}
	for _, kind := range strings.FieldsFunc(faults, isComma) {
		if kind == "none" {
			continue
		}
		if !slices.Contains(simulation.FaultKinds(), kind) {
			return options, fmt.Errorf("--faults: unknown kind %q", kind)
		}
		options.FaultKinds = append(options.FaultKinds, kind)
	}
	for _, mechanism := range strings.FieldsFunc(disable, isComma) {
		if _, ok := simulation.Mechanisms[mechanism]; !ok {
			return options, fmt.Errorf("--disable: unknown mechanism %q", mechanism)
		}
		options.DisabledMechanisms = append(options.DisabledMechanisms, mechanism)
	}
	return options, nil
}

func isComma(r rune) bool { return r == ',' }

// loadNamedDeployment loads a deployment from a file, or by its name from deployments/.
func loadNamedDeployment(name string) (workload.Deployment, error) {
	if _, err := os.Stat(name); err != nil {
		name = "deployments/" + name + ".yaml"
	}
	return workload.LoadDeployment(name)
}

func registerReplay(app *kingpin.Application, registered commands) {
	command := app.Command("replay", "Print the event log of one simulated run.\n\nExample: ochrebay replay --seed 7 --deployment small")
	seed := command.Flag("seed", "Seed of the run.").Required().Uint64()
	deployment := command.Flag("deployment", "Deployment: small, vantul, court, or a deployment file.").Default("small").String()
	faults := command.Flag("faults", "Same as for simulate.").String()
	disable := command.Flag("disable", "Same as for simulate.").String()
	registered[command.FullCommand()] = func(context.Context) error {
		options, err := simulationOptions(*faults, *disable)
		if err != nil {
			return settingsError{err}
		}
		loaded, err := loadNamedDeployment(*deployment)
		if err != nil {
			return settingsError{err}
		}
		options.RecordTrace = true
		outcome := simulation.Run(loaded, *seed, options)
		for _, line := range outcome.Trace {
			fmt.Println(line)
		}
		fmt.Printf("replay: seed %d, digest %016x, %d events, %d faults, %d violations\n",
			outcome.Seed, outcome.Digest, outcome.Events, outcome.AppliedFaults, len(outcome.Violations))
		return nil
	}
}
