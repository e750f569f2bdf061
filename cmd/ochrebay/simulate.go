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

type simulateFlagSet struct {
	seeds      *string
	deployment *string
	faults     *string
	disable    *string
	parallel   *int
	output     *string
}

func registerSimulate(app *kingpin.Application, registered commands) {
	command := app.Command("simulate", "Run the daemons' cores in virtual time under failures, and check what must always hold.\n\nExample: ochrebay simulate --seeds 1..500 --deployment small")
	flags := simulateFlagSet{
		seeds:      command.Flag("seeds", "First and last seed, A..B.").Default("1..100").String(),
		deployment: command.Flag("deployment", "small, vantul, court, or a deployment file.").Default("small").String(),
		faults:     command.Flag("faults", "Comma-separated kinds of failures; all by default. Known: "+strings.Join(simulation.FaultKinds(), ",")+".").String(),
		disable:    command.Flag("disable", "Comma-separated mechanisms to turn off. Known: "+strings.Join(mechanismNames(), ",")+".").String(),
		parallel:   command.Flag("parallel", "Runs at once; as many as processors by default.").Default("0").Int(),
		output:     command.Flag("output", "table or json.").Default("table").Enum("table", "json"),
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

func runSimulate(flags simulateFlagSet) error {
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
		return errors.New("ochrebay: the simulator saw violations")
	}
	return nil
}

func printSimulation(deployment workload.Deployment, summary simulation.Summary, options simulation.Options) {
	for _, failed := range summary.Failed {
		shortest := simulation.Shrink(deployment, failed, options)
		violation := shortest.Violations[0]
		fmt.Printf("violation of %s, seed %d, at %d ms: %s\n", violation.Invariant, shortest.Seed, violation.AtMs, violation.Detail)
		for _, fault := range shortest.Applied {
			fmt.Printf("  needs: %s\n", fault)
		}
	}
	fmt.Printf("programs: %d answered to their end, %d refused or gone; %d messages; %d s of virtual time; digest %016x\n",
		summary.Answered, summary.Refused, summary.Messages, summary.VirtualMs/1000, summary.Digest)
	fmt.Println(summary)
}

func parseSeeds(text string) (uint64, uint64, error) {
	low, high, ok := strings.Cut(text, "..")
	if !ok {
		high = low
	}
	first, err := strconv.ParseUint(low, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("--seeds %q: not A..B", text)
	}
	last, err := strconv.ParseUint(high, 10, 64)
	if err != nil || last < first {
		return 0, 0, fmt.Errorf("--seeds %q: not A..B", text)
	}
	return first, last, nil
}

func simulationOptions(faults, disable string) (simulation.Options, error) {
	var options simulation.Options
	if faults != "" {
		options.Faults = []string{}
	}
	for _, kind := range strings.FieldsFunc(faults, isComma) {
		if kind == "none" {
			continue
		}
		if !slices.Contains(simulation.FaultKinds(), kind) {
			return options, fmt.Errorf("--faults: no kind %q", kind)
		}
		options.Faults = append(options.Faults, kind)
	}
	for _, mechanism := range strings.FieldsFunc(disable, isComma) {
		if _, ok := simulation.Mechanisms[mechanism]; !ok {
			return options, fmt.Errorf("--disable: no mechanism %q", mechanism)
		}
		options.Disable = append(options.Disable, mechanism)
	}
	return options, nil
}

func isComma(r rune) bool { return r == ',' }

// loadNamedDeployment takes a file, or the name of one below deployments/.
func loadNamedDeployment(name string) (workload.Deployment, error) {
	if _, err := os.Stat(name); err != nil {
		name = "deployments/" + name + ".yaml"
	}
	return workload.LoadDeployment(name)
}

func registerReplay(app *kingpin.Application, registered commands) {
	command := app.Command("replay", "Tell one simulated run in words.\n\nExample: ochrebay replay --seed 7 --deployment small")
	seed := command.Flag("seed", "Seed of the run.").Required().Uint64()
	deployment := command.Flag("deployment", "small, vantul, court, or a deployment file.").Default("small").String()
	faults := command.Flag("faults", "As for simulate.").String()
	disable := command.Flag("disable", "As for simulate.").String()
	registered[command.FullCommand()] = func(context.Context) error {
		options, err := simulationOptions(*faults, *disable)
		if err != nil {
			return settingsError{err}
		}
		loaded, err := loadNamedDeployment(*deployment)
		if err != nil {
			return settingsError{err}
		}
		options.Story = true
		outcome := simulation.Run(loaded, *seed, options)
		for _, line := range outcome.Story {
			fmt.Println(line)
		}
		fmt.Printf("replay: seed %d, digest %016x, %d events, %d faults, %d violations\n",
			outcome.Seed, outcome.Digest, outcome.Events, outcome.Faults, len(outcome.Violations))
		return nil
	}
}
