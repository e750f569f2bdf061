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
	// ProgramsPerSecond is the arrival rate at load 1.0.
	ProgramsPerSecond float64 `yaml:"programs_per_second"`
}

// ZoneCount is a number of processes in a zone.
type ZoneCount struct {
	Zone  string `yaml:"zone"`
	Count int    `yaml:"count"`
}

// EngineGroup is a number of engines of a pool in a zone.
type EngineGroup struct {
	Zone     string `yaml:"zone"`
	Pool     string `yaml:"pool"`
	Hardware string `yaml:"hardware"`
	// Slowdown is how many times longer than on that hardware things take; 0 is 1.
	Slowdown float64 `yaml:"slowness"`
	Count    int     `yaml:"count"`
	// IsInstant engines answer at once, for measuring what ochrebay adds.
	IsInstant bool `yaml:"instant"`
}

// LogUniformRange is drawn from log-uniformly.
type LogUniformRange struct {
	Low  float64 `yaml:"low"`
	High float64 `yaml:"high"`
}

// ServiceWorkload is what the callers of one service do.
type ServiceWorkload struct {
	Service string `yaml:"service"`
	// Weight is the part of programs that are of this service.
	Weight float64 `yaml:"share"`
	// Turns is the number of calls of a program.
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
	if d.ControlCount < 1 || len(d.Zones) == 0 || len(d.Schedulers) == 0 || len(d.Sidecars) == 0 {
		return fmt.Errorf("%s: needs zones, controls, schedulers and sidecars", file)
	}
	_, err := d.SettingsChange("deployment", 1)
	return err
}

// SettingsChange returns the deployment's settings as one change of the tree.
func (d Deployment) SettingsChange(operator string, number uint64) (settings.Change, error) {
	return SettingsChangeFromYAML(d.Settings, operator, number)
}

// SettingsChangeFromYAML turns a mapping from paths to fields into one change that sets
// all of them, whatever their versions.
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
