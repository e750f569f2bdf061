// Package workload describes deployments (zones, network delays, engines, settings
// and caller workloads), plans the processes of a fleet on one machine, generates
// programs from a seed, and runs them against a running fleet while checking the
// responses that callers receive (design section 11).
package workload

import (
	"fmt"
	"os"
	"sort"

	"github.com/goccy/go-yaml"

	"github.com/ochrebay/ochrebay/internal/settings"
)

// Deployment is the content of a file below deployments/.
type Deployment struct {
	Name string `yaml:"name"`
	// Zones are the names of the zones. Control processes are placed in them in
	// this order, round-robin.
	Zones []string `yaml:"zones"`
	// ZoneDelayMs and ClientDelayMs are one-way network delays: between processes of
	// different zones, and between callers and sidecars.
	ZoneDelayMs          float64           `yaml:"zone_delay_ms"`
	ClientDelayMs        float64           `yaml:"client_delay_ms"`
	ControlCount         int               `yaml:"controls"`
	LedgerGroups         int               `yaml:"ledger_groups"`
	Schedulers           []ZoneCount       `yaml:"schedulers"`
	Sidecars             []ZoneCount       `yaml:"sidecars"`
	Engines              []EngineGroup     `yaml:"engines"`
	WeightBytesPerSecond int64             `yaml:"weights_bytes_per_second"`
	Settings             yaml.MapSlice     `yaml:"settings"`
	Workload             []ServiceWorkload `yaml:"workload"`
	// ProgramsPerSecond is the arrival rate of programs, or of bursts of them, at load 1.0.
	ProgramsPerSecond float64 `yaml:"programs_per_second"`
}

// ZoneCount is the number of processes in a zone.
type ZoneCount struct {
	Zone  string `yaml:"zone"`
	Count int    `yaml:"count"`
}

// EngineGroup describes identically configured engines of one pool in one zone.
type EngineGroup struct {
	Zone     string `yaml:"zone"`
	Pool     string `yaml:"pool"`
	Hardware string `yaml:"hardware"`
	// Slowdown is the factor by which operations take longer than on Hardware; 0
	// means 1.
	Slowdown float64 `yaml:"slowness"`
	Count    int     `yaml:"count"`
	// IsInstant makes the engines respond without delay, to measure the overhead of
	// ochrebay.
	IsInstant bool `yaml:"instant"`
}

// LogUniformRange is the range of a log-uniform distribution.
type LogUniformRange struct {
	Low  float64 `yaml:"low"`
	High float64 `yaml:"high"`
}

// ServiceWorkload describes the programs that call one service.
type ServiceWorkload struct {
	Service string `yaml:"service"`
	// Weight is the relative frequency of this service among the arrivals.
	Weight float64 `yaml:"share"`
	// Turns is the number of calls of a program, excluding those of its sub-agents.
	Turns               LogUniformRange `yaml:"turns"`
	FirstPromptTokens   LogUniformRange `yaml:"first_prompt_tokens"`
	LaterPromptTokens   LogUniformRange `yaml:"later_prompt_tokens"`
	OutputTokens        LogUniformRange `yaml:"output_tokens"`
	ToolDurationMs      LogUniformRange `yaml:"pause_ms"`
	Tools               []string        `yaml:"tools"`
	SubAgentProbability float64         `yaml:"sub_agent"`
	SubAgentTurns       LogUniformRange `yaml:"sub_turns"`
	HangProbability     float64         `yaml:"hang"`
	LoopProbability     float64         `yaml:"loop"`
	AtMostOnce          bool            `yaml:"once"`
	BurstSize           int             `yaml:"burst"`
	TimeoutMs           int64           `yaml:"deadline_ms"`
	BudgetTokens        int64           `yaml:"budget_tokens"`
}

// LoadDeployment reads and validates a deployment file. Unknown fields are errors.
func LoadDeployment(file string) (Deployment, error) {
	var deployment Deployment
	raw, err := os.ReadFile(file)
	if err != nil {
		return deployment, err
	}
	if err := yaml.UnmarshalWithOptions(raw, &deployment, yaml.Strict()); err != nil {
		return deployment, fmt.Errorf("%s: %w", file, err)
	}
	return deployment, deployment.validate(file)
}

func (d Deployment) validate(file string) error {
	zones := map[string]bool{}
	for _, zone := range d.Zones {
		zones[zone] = true
	}
	for _, count := range append(d.Schedulers, d.Sidecars...) {
		if !zones[count.Zone] {
			return fmt.Errorf("%s: zone %q is not listed in zones", file, count.Zone)
		}
	}
	for _, count := range d.Engines {
		if !zones[count.Zone] {
			return fmt.Errorf("%s: engines: zone %q is not listed in zones", file, count.Zone)
		}
	}
	if d.ControlCount < 1 || len(d.Zones) == 0 || len(d.Schedulers) == 0 || len(d.Sidecars) == 0 {
		return fmt.Errorf("%s: zones, controls, schedulers and sidecars are required", file)
	}
	_, err := d.SettingsChange("deployment", 1)
	return err
}

// SettingsChange returns the settings of the deployment as one change of the settings tree.
func (d Deployment) SettingsChange(operator string, number uint64) (settings.Change, error) {
	return SettingsChangeFromYAML(d.Settings, operator, number)
}

// SettingsChangeFromYAML converts a mapping from paths to fields into one change that
// sets all of them unconditionally, regardless of the current node versions.
func SettingsChangeFromYAML(nodes yaml.MapSlice, operator string, number uint64) (settings.Change, error) {
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
