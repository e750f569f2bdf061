package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/ochrebay/ochrebay/internal/storage"
)

// Fault is one failure that is brought about. Target names a process or zone;
// the options that hold for a whole run have neither time nor target.
type Fault struct {
	Kind   string `json:"kind"`
	AtMs   int64  `json:"at_ms,omitempty"`
	ForMs  int64  `json:"for_ms,omitempty"`
	Target string `json:"target,omitempty"`
	Value  int64  `json:"value,omitempty"`
}

// String is the fault in words.
func (f Fault) String() string {
	if f.AtMs == 0 {
		return f.Kind
	}
	return fmt.Sprintf("%s %s at %d ms for %d ms (%d)", f.Kind, f.Target, f.AtMs, f.ForMs, f.Value)
}

// timedKinds happen at a time; wholeKinds hold for a run.
var (
	timedKinds = []string{
		"kill", "write", "disk", "second-disk", "freeze", "cut", "one-way", "leader", "delay", "duplicate",
		"engine", "events", "lag", "platform", "zone", "changes",
		"engine-busy", "scheduler-busy", "cell-busy", "zombie", "split", "stale-feed",
	}
	wholeKinds = []string{"drift", "hang", "loop", "callers", "operators", "rolling", "leaving"}
)

// FaultKinds lists every fault that can be asked for.
func FaultKinds() []string { return append(slices.Clone(timedKinds), wholeKinds...) }

const (
	faultsFromMs  = 1500
	faultsUntilMs = 10_000
	calmAtMs      = 12_500
	mostFaults    = 6
	diskRetryUs   = 300_000
)

// drawFaults chooses a run's failures.
func (w *world) drawFaults(kinds []string) []Fault {
	random := rand.New(rand.NewPCG(w.seed, 0x6661756c74))
	var faults []Fault
	var timed []string
	for _, kind := range kinds {
		if slices.Contains(wholeKinds, kind) {
			if random.IntN(2) == 0 {
				faults = append(faults, Fault{Kind: kind})
			}
			continue
		}
		timed = append(timed, kind)
	}
	if len(timed) == 0 {
		return faults
	}
	for range 1 + random.IntN(mostFaults) {
		fault := Fault{
			Kind: timed[random.IntN(len(timed))], AtMs: faultsFromMs + random.Int64N(faultsUntilMs-faultsFromMs),
			ForMs: 200 + random.Int64N(4000), Value: random.Int64N(8),
		}
		fault.Target = w.drawTarget(fault.Kind, random)
		faults = append(faults, fault)
	}
	return faults
}

func (w *world) drawTarget(kind string, random *rand.Rand) string {
	var daemons []string
	for _, node := range w.controls {
		daemons = append(daemons, node.name)
	}
	control := daemons[random.IntN(len(daemons))]
	for _, node := range w.schedulers {
		daemons = append(daemons, node.name)
	}
	for _, node := range w.sidecars {
		daemons = append(daemons, node.name)
	}
	switch kind {
	case "write", "disk", "second-disk":
		return control
	case "scheduler-busy", "cell-busy", "zombie", "stale-feed":
		return w.schedulers[random.IntN(len(w.schedulers))].name
	case "engine", "engine-busy", "events", "lag", "platform":
		return w.engines[random.IntN(len(w.engines))].name
	case "zone":
		return w.deployment.Zones[random.IntN(len(w.deployment.Zones))]
	case "freeze", "cut", "one-way":
		if random.IntN(4) == 0 {
			return w.engines[random.IntN(len(w.engines))].name
		}
	}
	return daemons[random.IntN(len(daemons))]
}

// option reports whether a fault that holds for the whole run is on.
func (w *world) option(kind string) bool {
	return slices.ContainsFunc(w.options.faults, func(f Fault) bool { return f.Kind == kind })
}

func (w *world) scheduleFaults() {
	for _, fault := range w.options.faults {
		if fault.AtMs > 0 {
			w.after(fault.AtMs*microsPerMilli-w.nowUs, "fault", func() { w.apply(fault) })
		}
	}
}

func (w *world) apply(fault Fault) {
	if w.calm {
		return
	}
	w.faultsApplied++
	w.tell("fault: %s", fault)
	until := func(run func()) { w.after(fault.ForMs*microsPerMilli, "fault ends", run) }
	target := w.byName[fault.Target]
	switch fault.Kind {
	case "kill", "engine":
		target.kill(false)
		until(target.restart)
	case "write":
		w.crashInWrite(fault)
	case "disk":
		w.loseDisk(fault.Target, nil)
	case "second-disk":
		w.loseDisk(fault.Target, func() {
			second := w.controls[(w.controlIndex(fault.Target)+1)%len(w.controls)]
			w.loseDisk(second.name, nil)
		})
	case "freeze":
		target.freeze()
		until(target.thaw)
	case "cut", "one-way", "leader":
		if fault.Kind == "leader" {
			target = w.leaderOf(fault.Value)
		}
		until(w.isolate(target, fault.Kind != "one-way"))
	case "delay":
		w.network.slowUs += slowJitterUs
		until(func() { w.network.slowUs -= slowJitterUs })
	case "duplicate":
		w.network.doubling = 0.3
		until(func() { w.network.doubling = 0 })
	case "events":
		w.engine(fault.Target).gaps = 0.5
		until(func() { w.engine(fault.Target).gaps = 0 })
	case "lag":
		w.engine(fault.Target).lagUs = 2_500_000
		until(func() { w.engine(fault.Target).lagUs = 200_000 })
	case "platform":
		w.platform.hidden[fault.Target] = true
		w.platform.lagUs = 2_000_000
		until(func() {
			delete(w.platform.hidden, fault.Target)
			w.platform.lagUs = 0
		})
	case "zone":
		w.loseZone(fault)
	case "engine-busy", "scheduler-busy", "cell-busy", "zombie", "split", "stale-feed":
		w.applyAimed(fault)
	case "changes":
		w.operators[1].burst(changesInARow)
		target.kill(false)
		until(target.restart)
	}
}

func (w *world) crashInWrite(fault Fault) {
	for _, node := range w.controls {
		if node.name == fault.Target && node.alive {
			node.disk.crashIn = 1 + int(fault.Value)
			node.disk.crashAfter = fault.ForMs%2 == 0
		}
	}
}

// isolate cuts a process off from all others, in silence; both ways, or only
// what it sends.
func (w *world) isolate(target *process, both bool) func() {
	var others []*process
	for _, name := range w.daemonNames() {
		if other := w.byName[name]; other != target {
			others = append(others, other)
		}
	}
	for _, other := range others {
		w.network.cut(target, other)
		if both {
			w.network.cut(other, target)
		}
	}
	return func() {
		for _, other := range others {
			w.network.heal(target, other)
			if both {
				w.network.heal(other, target)
			}
		}
	}
}

func (w *world) daemonNames() []string {
	var names []string
	for _, node := range w.controls {
		names = append(names, node.name)
	}
	for _, node := range w.schedulers {
		names = append(names, node.name)
	}
	for _, node := range w.sidecars {
		names = append(names, node.name)
	}
	for _, node := range w.engines {
		names = append(names, node.name)
	}
	return names
}

// leaderOf returns the control process that leads a group, or else the first.
func (w *world) leaderOf(number int64) *process {
	for _, node := range w.controls {
		if node.alive && node.core.Formed() && node.core.IsLeader(storage.GroupID(number%int64(node.core.GroupCount()))) {
			return node.process
		}
	}
	return w.controls[0].process
}

// loseZone ends every process of a zone in silence, as a power cut does.
func (w *world) loseZone(fault Fault) {
	var lost []*process
	for _, name := range w.daemonNames() {
		if p := w.byName[name]; p.zone == fault.Target {
			lost = append(lost, p)
			p.kill(true)
		}
	}
	if fault.Value%2 == 0 {
		// The zone stays dark until all failures end.
		return
	}
	w.after(fault.ForMs*microsPerMilli, "fault ends", func() {
		for _, p := range lost {
			p.restart()
		}
	})
}

func (w *world) controlIndex(name string) int {
	return slices.IndexFunc(w.controls, func(n *controlNode) bool { return n.name == name })
}

// loseDisk destroys a control process's disk once all members are whole: losing
// a majority of disks at once loses data by design. repaired runs as soon as the
// groups have let the new replica vote.
func (w *world) loseDisk(name string, repaired func()) {
	if w.calm {
		return
	}
	node := w.controls[w.controlIndex(name)]
	if !w.controlsWhole() {
		w.after(diskRetryUs, "disk", func() { w.loseDisk(name, repaired) })
		return
	}
	w.tell("the disk of %s is lost", name)
	node.kill(false)
	node.disk = w.newDisk()
	node.restart()
	if repaired == nil {
		return
	}
	var watch func()
	watch = func() {
		if w.controlsWhole() {
			repaired()
			return
		}
		w.after(controlTickUs, "repair", watch)
	}
	watch()
}

// controlsWhole reports whether every control process is up and a voter of
// every group, in the eyes of each group's leader.
func (w *world) controlsWhole() bool {
	leaders := map[storage.GroupID]bool{}
	for _, node := range w.controls {
		if !node.alive || node.frozen || !node.core.Formed() {
			return false
		}
		for group := range node.core.GroupCount() {
			id := storage.GroupID(group)
			if !node.core.IsLeader(id) {
				continue
			}
			leaders[id] = true
			for _, member := range w.controls {
				if !node.core.Node(id).Configuration().IsVoter(member.disk.replica) {
					return false
				}
			}
		}
	}
	return len(leaders) == w.controls[0].core.GroupCount()
}

// healAll ends every failure that is still going on.
func (w *world) healAll() {
	w.calm = true
	w.calmAtUs = w.nowUs
	w.network.slowUs = 0
	w.network.doubling = 0
	w.platform.hidden = map[string]bool{}
	w.platform.lagUs = 0
	for _, name := range w.daemonNames() {
		p := w.byName[name]
		p.thaw()
		p.restart()
	}
	for _, from := range w.daemonNames() {
		for _, to := range w.daemonNames() {
			for w.network.isCut(w.byName[from], w.byName[to]) {
				w.network.heal(w.byName[from], w.byName[to])
			}
		}
	}
	for _, node := range w.engines {
		node.gaps = 0
		node.lagUs = 200_000
	}
	for _, node := range w.controls {
		node.disk.crashIn = 0
	}
	w.tell("all failures have ended")
}
