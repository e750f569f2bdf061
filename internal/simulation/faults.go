package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/ochrebay/ochrebay/internal/storage"
)

// Fault is an injected fault. Target is the name of a process or a zone; run-wide faults
// have neither a time nor a target.
type Fault struct {
	Kind   string `json:"kind"`
	AtMs   int64  `json:"at_ms,omitempty"`
	ForMs  int64  `json:"for_ms,omitempty"`
	Target string `json:"target,omitempty"`
	Value  int64  `json:"value,omitempty"`
}

// String returns a readable description of the fault.
func (f Fault) String() string {
	if f.AtMs == 0 {
		return f.Kind
	}
	return fmt.Sprintf("%s %s at %d ms for %d ms (%d)", f.Kind, f.Target, f.AtMs, f.ForMs, f.Value)
}

// timedFaultKinds are injected at a point in time; runWideFaultKinds hold for the whole
// run.
var (
	timedFaultKinds = []string{
		"kill", "write", "disk", "second-disk", "freeze", "cut", "one-way", "leader", "delay", "duplicate",
		"engine", "events", "lag", "platform", "zone", "changes",
		"engine-busy", "scheduler-busy", "cell-busy", "zombie", "split", "stale-feed",
	}
	runWideFaultKinds = []string{"drift", "hang", "loop", "callers", "operators", "rolling", "leaving"}
)

// FaultKinds returns all kinds of faults.
func FaultKinds() []string { return append(slices.Clone(timedFaultKinds), runWideFaultKinds...) }

const (
	firstFaultMs = 1500
	lastFaultMs  = 10_000
	faultsEndMs  = 12_500
	maxFaults    = 6
	diskRetryUs  = 300_000
)

// randomFaults picks the faults of a run at random.
func (w *world) randomFaults(kinds []string) []Fault {
	random := rand.New(rand.NewPCG(w.seed, 0x6661756c74))
	var faults []Fault
	var timed []string
	for _, kind := range kinds {
		if slices.Contains(runWideFaultKinds, kind) {
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
	for range 1 + random.IntN(maxFaults) {
		fault := Fault{
			Kind: timed[random.IntN(len(timed))], AtMs: firstFaultMs + random.Int64N(lastFaultMs-firstFaultMs),
			ForMs: 200 + random.Int64N(4000), Value: random.Int64N(8),
		}
		fault.Target = w.randomTarget(fault.Kind, random)
		faults = append(faults, fault)
	}
	return faults
}

func (w *world) randomTarget(kind string, random *rand.Rand) string {
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

// hasRunWideFault reports whether the run has a run-wide fault of the kind.
func (w *world) hasRunWideFault(kind string) bool {
	return slices.ContainsFunc(w.options.faultSchedule, func(f Fault) bool { return f.Kind == kind })
}

func (w *world) scheduleFaults() {
	for _, fault := range w.options.faultSchedule {
		if fault.AtMs > 0 {
			w.after(fault.AtMs*microsPerMilli-w.nowUs, "fault", func() { w.applyFault(fault) })
		}
	}
}

func (w *world) applyFault(fault Fault) {
	if w.haveFaultsEnded {
		return
	}
	w.appliedFaults++
	w.tracef("fault: %s", fault)
	afterFault := func(run func()) { w.after(fault.ForMs*microsPerMilli, "fault ends", run) }
	target := w.processByName[fault.Target]
	switch fault.Kind {
	case "kill", "engine":
		target.kill(false)
		afterFault(target.restart)
	case "write":
		w.scheduleWriteCrash(fault)
	case "disk":
		w.replaceDisk(fault.Target, nil)
	case "second-disk":
		w.replaceDisk(fault.Target, func() {
			other := w.controls[(w.controlIndex(fault.Target)+1)%len(w.controls)]
			w.replaceDisk(other.name, nil)
		})
	case "freeze":
		target.freeze()
		afterFault(target.thaw)
	case "cut", "one-way", "leader":
		if fault.Kind == "leader" {
			target = w.leaderOfGroup(fault.Value)
		}
		afterFault(w.isolate(target, fault.Kind != "one-way"))
	case "delay":
		w.network.extraDelayUs += faultJitterUs
		afterFault(func() { w.network.extraDelayUs -= faultJitterUs })
	case "duplicate":
		w.network.duplicateProbability = 0.3
		afterFault(func() { w.network.duplicateProbability = 0 })
	case "events":
		w.engineByName(fault.Target).omitProbability = 0.5
		afterFault(func() { w.engineByName(fault.Target).omitProbability = 0 })
	case "lag":
		w.engineByName(fault.Target).reportLagUs = 2_500_000
		afterFault(func() { w.engineByName(fault.Target).reportLagUs = 200_000 })
	case "platform":
		w.platform.unlisted[fault.Target] = true
		w.platform.lagUs = 2_000_000
		afterFault(func() {
			delete(w.platform.unlisted, fault.Target)
			w.platform.lagUs = 0
		})
	case "zone":
		w.killZone(fault)
	case "engine-busy", "scheduler-busy", "cell-busy", "zombie", "split", "stale-feed":
		w.applyTriggeredFault(fault)
	case "changes":
		w.operators[1].burst(burstChanges)
		target.kill(false)
		afterFault(target.restart)
	}
}

func (w *world) scheduleWriteCrash(fault Fault) {
	for _, node := range w.controls {
		if node.name == fault.Target && node.isAlive {
			node.disk.writesUntilCrash = 1 + int(fault.Value)
			node.disk.crashPersistsWrite = fault.ForMs%2 == 0
		}
	}
}

// isolate partitions a process from all others without notice to any sender: in both
// directions, or only for the messages that it sends. The returned function ends it.
func (w *world) isolate(target *process, isBidirectional bool) func() {
	var others []*process
	for _, name := range w.nodeNames() {
		if other := w.processByName[name]; other != target {
			others = append(others, other)
		}
	}
	for _, other := range others {
		w.network.cut(target, other)
		if isBidirectional {
			w.network.cut(other, target)
		}
	}
	return func() {
		for _, other := range others {
			w.network.heal(target, other)
			if isBidirectional {
				w.network.heal(other, target)
			}
		}
	}
}

func (w *world) nodeNames() []string {
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

// leaderOfGroup returns the control process that leads a group, or the first control
// process if there is no leader.
func (w *world) leaderOfGroup(number int64) *process {
	for _, node := range w.controls {
		if node.isAlive && node.core.Formed() && node.core.IsLeader(storage.GroupID(number%int64(node.core.GroupCount()))) {
			return node.process
		}
	}
	return w.controls[0].process
}

// killZone kills every process of a zone without notice to anyone, as a power failure
// does.
func (w *world) killZone(fault Fault) {
	var lost []*process
	for _, name := range w.nodeNames() {
		if p := w.processByName[name]; p.zone == fault.Target {
			lost = append(lost, p)
			p.kill(true)
		}
	}
	if fault.Value%2 == 0 {
		// The zone stays down until all faults end.
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

// replaceDisk replaces the disk of a control process by an empty one, once all control
// processes are healthy: losing a majority of the disks at once loses data by design.
// repaired, where set, runs as soon as the new replica is a voter of every group.
func (w *world) replaceDisk(name string, repaired func()) {
	if w.haveFaultsEnded {
		return
	}
	node := w.controls[w.controlIndex(name)]
	if !w.areControlsHealthy() {
		w.after(diskRetryUs, "disk", func() { w.replaceDisk(name, repaired) })
		return
	}
	w.tracef("%s loses its disk", name)
	node.kill(false)
	node.disk = w.newDisk()
	node.restart()
	if repaired == nil {
		return
	}
	var checkRepaired func()
	checkRepaired = func() {
		if w.areControlsHealthy() {
			repaired()
			return
		}
		w.after(controlTickUs, "repair", checkRepaired)
	}
	checkRepaired()
}

// areControlsHealthy reports whether every control process is up, every group has a
// leader and, by the configuration at that leader, every control process is a voter.
func (w *world) areControlsHealthy() bool {
	leaders := map[storage.GroupID]bool{}
	for _, node := range w.controls {
		if !node.isAlive || node.isFrozen || !node.core.Formed() {
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

// endAllFaults ends every fault that is still active.
func (w *world) endAllFaults() {
	w.haveFaultsEnded = true
	w.faultsEndedUs = w.nowUs
	w.network.extraDelayUs = 0
	w.network.duplicateProbability = 0
	w.platform.unlisted = map[string]bool{}
	w.platform.lagUs = 0
	for _, name := range w.nodeNames() {
		p := w.processByName[name]
		p.thaw()
		p.restart()
	}
	for _, from := range w.nodeNames() {
		for _, to := range w.nodeNames() {
			for w.network.isCut(w.processByName[from], w.processByName[to]) {
				w.network.heal(w.processByName[from], w.processByName[to])
			}
		}
	}
	for _, node := range w.engines {
		node.omitProbability = 0
		node.reportLagUs = 200_000
	}
	for _, node := range w.controls {
		node.disk.writesUntilCrash = 0
	}
	w.tracef("all faults have ended")
}
