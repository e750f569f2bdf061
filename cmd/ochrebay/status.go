package main

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/control"
)

func registerStatus(app *kingpin.Application, registered commands) {
	status := app.Command("status", "Show the daemons with their settings revisions, and the consensus groups.\n\nExample: ochrebay status --data run")
	statusFlags := registerOperatorFlags(status)
	registered[status.FullCommand()] = withoutContext(func() error {
		return callAndPrint(statusFlags, "GET", "/v1/status", nil, printStatus)
	})
	engines := app.Command("engines", "List engines with their owners, or with their slowdown, load and the reason why gateways avoid them.\n\nExample: ochrebay engines --data run")
	enginesFlags := registerOperatorFlags(engines)
	registered[engines.FullCommand()] = withoutContext(func() error {
		return callAndPrint(enginesFlags, "GET", "/v1/engines", nil, printEngines)
	})
}

func printStatus(table *tabwriter.Writer, view control.StatusView) {
	printRow(table, "settings revision", view.Revision)
	printRow(table, "directory", view.DirectoryVersion)
	printRow(table)
	printRow(table, "NAME", "ROLE", "ZONE", "ADDRESS", "ALIVE", "REVISION", "SIDECARS", "DETAIL")
	for _, daemon := range view.Daemons {
		sidecars := "-"
		if daemon.Role == "scheduler" {
			sidecars = fmt.Sprintf("%d at %d", daemon.Sidecars, daemon.SidecarRevision)
		}
		detail := daemon.Detail
		if len(daemon.Lagging) > 0 {
			detail += " behind: " + strings.Join(daemon.Lagging, ", ")
		}
		printRow(table, daemon.Name, daemon.Role, daemon.Zone, daemon.Address, daemon.Alive, daemon.Revision, sidecars, detail)
	}
	printRow(table)
	printRow(table, "GROUP", "LEADER", "TERM", "COMMITTED", "REPLICAS")
	for _, group := range view.Groups {
		var replicas []string
		for _, replica := range group.Replicas {
			name := replica.Member
			if replica.IsLearner {
				name += " (learner)"
			}
			replicas = append(replicas, name)
		}
		printRow(table, group.Group, group.Leader, group.Term, group.Committed, strings.Join(replicas, ", "))
	}
}

func printEngines(table *tabwriter.Writer, view control.EnginesView) {
	if len(view.Engines) > 0 || len(view.Serving) == 0 {
		printRow(table, "NAME", "ZONE", "POOL", "ADDRESS", "OWNER", "EPOCH", "LEAVING")
	}
	for _, engine := range view.Engines {
		printRow(table, engine.Name, engine.Zone, engine.Pool, engine.Address, engine.Owner, engine.Epoch, engine.Leaving)
	}
	if len(view.Serving) > 0 {
		printServing(table, view.Serving)
	}
}

// printServing lists the engines that gateways send requests to. It prints the load of each engine,
// its slowdown relative to the other engines of the backend, its start time, and why gateways avoid
// it.
func printServing(table *tabwriter.Writer, engines []control.ServingView) {
	printRow(table, "ID", "BACKEND", "ZONE", "ADDRESS", "SLOTS", "IN FLIGHT", "TOKENS HELD", "SLOWNESS", "BORN", "AVOIDED")
	for _, engine := range engines {
		slowdown, started, avoidReason := "-", "-", "-"
		if engine.Slowdown > 0 {
			slowdown = fmt.Sprintf("%.2f", engine.Slowdown)
		}
		if engine.StartedMs > 0 {
			started = time.UnixMilli(engine.StartedMs).UTC().Format(time.RFC3339)
		}
		if engine.AvoidReason != "" {
			avoidReason = engine.AvoidReason
		}
		printRow(table, engine.ID, engine.Backend, engine.Zone, engine.Address, engine.Slots, fmt.Sprintf("%.1f", engine.InFlight),
			fmt.Sprintf("%.0f", engine.ReservedKVCacheTokens), slowdown, started, avoidReason)
	}
}
