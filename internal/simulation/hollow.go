package simulation

import (
	"fmt"
	"time"

	"github.com/ochrebay/ochrebay/internal/settings"
	"github.com/ochrebay/ochrebay/internal/workload"
)

// Usage is what a process has used since the last reset: processor time of its
// own steps, and messages and bytes that it sent, as encoded.
type Usage struct {
	Busy     time.Duration `json:"busy_ns"`
	Messages int64         `json:"messages"`
	Bytes    int64         `json:"bytes"`
}

func (u Usage) plus(other Usage) Usage {
	return Usage{Busy: u.Busy + other.Busy, Messages: u.Messages + other.Messages, Bytes: u.Bytes + other.Bytes}
}

// Hollow is a fleet whose daemons are the real cores, thousands in one process,
// over a virtual network. Times are virtual; usage is measured.
type Hollow struct {
	world *world
}

// HollowOptions shape a hollow fleet.
type HollowOptions struct {
	// LedgerGroups overrides the deployment's, without the simulator's cap.
	LedgerGroups int
	// QuietEngines leaves out the polling of engines' state.
	QuietEngines bool
}

// NewHollow builds a fleet, starts it and waits until its settings are accepted.
func NewHollow(deployment workload.Deployment, options HollowOptions) (*Hollow, error) {
	w := newWorld(Options{}, deployment, 1)
	w.observed = false
	w.quietEngines = options.QuietEngines
	w.build()
	for _, node := range w.controls {
		node.options.CompactEntries = 4096
		if options.LedgerGroups > 0 {
			node.options.LedgerGroups = options.LedgerGroups
		}
	}
	for _, name := range w.daemonNames() {
		w.byName[name].restart()
	}
	accepted := false
	if err := w.importSettings(func() { accepted = true }); err != nil {
		return nil, err
	}
	w.runUntil(60_000_000, func() bool { return accepted })
	if w.checks.failed() || !accepted {
		return nil, fmt.Errorf("hollow fleet: %+v", w.checks.violations)
	}
	w.measured = true
	return &Hollow{world: w}, nil
}

// Run lets virtual time pass.
func (h *Hollow) Run(length time.Duration) {
	h.world.runUntil(h.world.nowUs+length.Microseconds(), nil)
}

// Until lets virtual time pass until a condition holds and returns how long that
// took; false where the limit came first.
func (h *Hollow) Until(limit time.Duration, condition func() bool) (time.Duration, bool) {
	begun := h.world.nowUs
	until := begun + limit.Microseconds()
	const stepUs = 5_000
	for h.world.nowUs < until {
		if condition() {
			return time.Duration(h.world.nowUs-begun) * time.Microsecond, true
		}
		h.world.runUntil(h.world.nowUs+stepUs, nil)
	}
	return limit, condition()
}

// Reset sets every account to zero.
func (h *Hollow) Reset() {
	for _, name := range h.world.daemonNames() {
		h.world.byName[name].usage = Usage{}
	}
}

// Leader is the usage of the control process that leads a group.
func (h *Hollow) Leader(group int64) Usage { return h.world.leaderOf(group).usage }

// LeaderName names it.
func (h *Hollow) LeaderName(group int64) string { return h.world.leaderOf(group).name }

// Controls is the usage of all control processes together.
func (h *Hollow) Controls() Usage {
	var total Usage
	for _, node := range h.world.controls {
		total = total.plus(node.usage)
	}
	return total
}

// Schedulers is the usage of all schedulers together.
func (h *Hollow) Schedulers() Usage {
	var total Usage
	for _, node := range h.world.schedulers {
		total = total.plus(node.usage)
	}
	return total
}

// Sidecars is the usage of all sidecars together.
func (h *Hollow) Sidecars() Usage {
	var total Usage
	for _, node := range h.world.sidecars {
		total = total.plus(node.usage)
	}
	return total
}

// DiskWrites counts the synced writes of all control processes.
func (h *Hollow) DiskWrites() int64 {
	var total int64
	for _, node := range h.world.controls {
		total += node.disk.writes
	}
	return total
}

// Set makes a change of a settings node and returns its value. Operators take
// turns, since the tree remembers a bounded count of numbers for each.
func (h *Hollow) Set(path string) int64 {
	value := h.world.nextValue()
	o := h.world.operators[value%int64(len(h.world.operators))]
	o.number++
	content := settings.Change{Operator: o.name, Number: o.number, Nodes: []settings.NodeChange{{
		Path: path, Version: settings.AnyVersion, Fields: settings.Fields{TenantInFlight: &value},
	}}}
	current := &change{operator: o, content: content, path: path, value: value, limit: operatorTries}
	current.done = func(*settings.Reply) {}
	current.try()
	return value
}

// InForce reports whether every live scheduler that serves has a value in force.
func (h *Hollow) InForce(path string, value int64) bool {
	for _, node := range h.world.schedulers {
		if node.alive && node.core.Ready() && (settingsView{node.core.Tree()}).value(path) < value {
			return false
		}
	}
	return true
}

// Revision is the highest settings revision that any control process has.
func (h *Hollow) Revision() uint64 {
	highest := uint64(0)
	for _, node := range h.world.controls {
		if node.alive && node.core.Formed() {
			highest = max(highest, node.core.Revision())
		}
	}
	return highest
}

// AtRevision reports whether every live scheduler that serves has a revision.
func (h *Hollow) AtRevision(revision uint64) bool {
	for _, node := range h.world.schedulers {
		if node.alive && node.core.Ready() && node.core.Tree().Revision() < revision {
			return false
		}
	}
	return true
}

// Synced reports whether every live scheduler serves.
func (h *Hollow) Synced() bool {
	for _, node := range h.world.schedulers {
		if node.alive && !node.core.Ready() {
			return false
		}
	}
	return true
}

// Kill ends processes in silence, as a power cut does; Restart starts them again.
func (h *Hollow) Kill(names ...string) {
	for _, name := range names {
		h.world.byName[name].kill(true)
	}
}

// Restart starts processes again.
func (h *Hollow) Restart(names ...string) {
	for _, name := range names {
		h.world.byName[name].restart()
	}
}

// Zone returns the names of a zone's daemons of a kind: control, scheduler,
// sidecar or engine.
func (h *Hollow) Zone(kind, zone string) []string {
	var names []string
	for _, name := range h.world.daemonNames() {
		p := h.world.byName[name]
		if p.zone == zone && len(name) > len(kind) && name[:len(kind)] == kind {
			names = append(names, name)
		}
	}
	return names
}

// Cut cuts two sets of processes off from each other, in silence; the function
// returned heals that.
func (h *Hollow) Cut(one, other []string) func() {
	each := func(act func(from, to *process)) {
		for _, a := range one {
			for _, b := range other {
				act(h.world.byName[a], h.world.byName[b])
				act(h.world.byName[b], h.world.byName[a])
			}
		}
	}
	each(h.world.network.cut)
	return func() { each(h.world.network.heal) }
}

// Owned reports whether every engine has an owner that lives and knows it.
func (h *Hollow) Owned() bool {
	owned := map[string]bool{}
	for _, node := range h.world.schedulers {
		if !node.alive {
			continue
		}
		for _, engine := range node.core.Engines() {
			owned[engine.Name] = true
		}
	}
	return len(owned) == len(h.world.engines)
}

// HasLeader reports whether some live control process leads a group.
func (h *Hollow) HasLeader(group int64) bool {
	for _, node := range h.world.controls {
		if node.alive && node.core.Formed() && node.name == h.world.leaderOf(group).name && h.world.leaderOf(group).alive {
			return true
		}
	}
	return false
}

// Load makes callers arrive at a rate for a time, and returns how many programs
// there were.
func (h *Hollow) Load(programsPerSecond float64, length time.Duration) int {
	w := h.world
	count := int(programsPerSecond * length.Seconds())
	for range count {
		w.addCaller(w.nowUs+w.between(0, length.Microseconds()), true)
	}
	return count
}

// Calls counts the calls that callers had answered.
func (h *Hollow) Calls() int64 {
	var total int64
	for _, count := range h.world.checks.answers {
		total += count
	}
	return total
}
