// Package workload describes deployments (halls, delays, engines, settings and
// what callers do), plans the processes of a fleet on one machine, generates
// programs from a seed, and drives a running fleet with them while checking what
// callers see (design section 11).
package workload

import (
	"fmt"
	"os"
	"sort"

	"github.com/goccy/go-yaml"

	"github.com/ochrebay/ochrebay/internal/settings"
)

// Deployment is one file below deployments/.
type Deployment struct {
	Name string `yaml:"name"`
	// Zones are the halls; the first three hold a control process each.
	Zones []string `yaml:"zones"`
	// ZoneDelayMs and ClientDelayMs are one-way delays.
	ZoneDelayMs      float64        `yaml:"zone_delay_ms"`
	ClientDelayMs    float64        `yaml:"client_delay_ms"`
	Controls         int            `yaml:"controls"`
	LedgerGroups     int            `yaml:"ledger_groups"`
	Schedulers       []ZoneCount    `yaml:"schedulers"`
	Sidecars         []ZoneCount    `yaml:"sidecars"`
	Engines          []EngineCount  `yaml:"engines"`
	WeightsPerSecond int64          `yaml:"weights_bytes_per_second"`
	Settings         yaml.MapSlice  `yaml:"settings"`
	Workload         []ServiceShape `yaml:"workload"`
	// ProgramsPerSecond is the arrival rate at load 1.0.
	ProgramsPerSecond float64 `yaml:"programs_per_second"`
}

// ZoneCount is a number of processes in a zone.
type ZoneCount struct {
	Zone  string `yaml:"zone"`
	Count int    `yaml:"count"`
}

// EngineCount is a number of engines of a pool in a zone.
type EngineCount struct {
	Zone     string `yaml:"zone"`
	Pool     string `yaml:"pool"`
	Hardware string `yaml:"hardware"`
	// Slowness is how many times longer than on that hardware things take; 0 is 1.
	Slowness float64 `yaml:"slowness"`
	Count    int     `yaml:"count"`
	// Instant engines answer at once, for measuring what ochrebay adds.
	Instant bool `yaml:"instant"`
}

// Range is drawn from log-uniformly.
type Range struct {
	Low  float64 `yaml:"low"`
	High float64 `yaml:"high"`
}

// ServiceShape is what the callers of one service do.
type ServiceShape struct {
	Service string `yaml:"service"`
	// Share is the part of programs that are of this service.
	Share float64 `yaml:"share"`
	// Turns is the number of calls of a program.
	Turns        Range    `yaml:"turns"`
	FirstPrompt  Range    `yaml:"first_prompt_tokens"`
	LaterPrompt  Range    `yaml:"later_prompt_tokens"`
	Output       Range    `yaml:"output_tokens"`
	PauseMs      Range    `yaml:"pause_ms"`
	Tools        []string `yaml:"tools"`
	SubAgent     float64  `yaml:"sub_agent"`
	SubTurns     Range    `yaml:"sub_turns"`
	Hang         float64  `yaml:"hang"`
	Loop         float64  `yaml:"loop"`
	Once         bool     `yaml:"once"`
	Burst        int      `yaml:"burst"`
	DeadlineMs   int64    `yaml:"deadline_ms"`
	BudgetTokens int64    `yaml:"budget_tokens"`
}

// LoadDeployment reads a deployment file strictly.
func LoadDeployment(file string) (Deployment, error) {
	var deployment Deployment
	raw, err := os.ReadFile(file)
	if err != nil {
		return deployment, err
	}
	if err := yaml.UnmarshalWithOptions(raw, &deployment, yaml.Strict()); err != nil {
		return deployment, fmt.Errorf("%s: %w", file, err)
	}
	return deployment, deployment.check(file)
}

func (d Deployment) check(file string) error {
	zones := map[string]bool{}
	for _, zone := range d.Zones {
		zones[zone] = true
	}
	for _, count := range append(d.Schedulers, d.Sidecars...) {
		if !zones[count.Zone] {
			return fmt.Errorf("%s: zone %q is not among zones", file, count.Zone)
		}
	}
	for _, count := range d.Engines {
		if !zones[count.Zone] {
			return fmt.Errorf("%s: engines: zone %q is not among zones", file, count.Zone)
		}
	}
	if d.Controls < 1 || len(d.Zones) == 0 || len(d.Schedulers) == 0 || len(d.Sidecars) == 0 {
		return fmt.Errorf("%s: needs zones, controls, schedulers and sidecars", file)
	}
	_, err := d.Change("deployment", 1)
	return err
}

// Change returns the deployment's settings as one change of the tree.
func (d Deployment) Change(operator string, number uint64) (settings.Change, error) {
	return ChangeFromYAML(d.Settings, operator, number)
}

// ChangeFromYAML turns a mapping from paths to fields into one change that sets
// all of them, whatever their versions.
func ChangeFromYAML(nodes yaml.MapSlice, operator string, number uint64) (settings.Change, error) {
	change := settings.Change{Operator: operator, Number: number}
	for _, item := range nodes {
		path := fmt.Sprint(item.Key)
		raw, err := yaml.Marshal(item.Value)
		if err != nil {
			return change, err
		}
		asJSON, err := yaml.YAMLToJSON(raw)
		if err != nil {
			return change, fmt.Errorf("%s: %w", path, err)
		}
		fields, err := settings.ParseFields(asJSON)
		if err != nil {
			return change, fmt.Errorf("%s: %w", path, err)
		}
		change.Nodes = append(change.Nodes, settings.NodeChange{Path: path, Version: settings.AnyVersion, Fields: fields})
	}
	sort.Slice(change.Nodes, func(a, b int) bool { return change.Nodes[a].Path < change.Nodes[b].Path })
	return change, nil
}
