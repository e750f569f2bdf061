package simulation

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/scheduler"
	"github.com/ochrebay/ochrebay/internal/settings"
	"github.com/ochrebay/ochrebay/internal/sidecar"
	"github.com/ochrebay/ochrebay/internal/workload"
)

// Options choose what a run does.
type Options struct {
	// FaultKinds are the kinds that may happen; nil means all.
	FaultKinds []string
	// DisabledMechanisms names mechanisms to turn off.
	DisabledMechanisms []string
	// RecordTrace keeps the run in words.
	RecordTrace bool

	// faultSchedule are the failures themselves, where they are given.
	faultSchedule  []Fault
	hasFixedFaults bool
}

// Mechanisms lists what can be turned off, with what it is for.
var Mechanisms = map[string]string{
	"order":        "one call of a program at a time in a scheduler, one open turn in its ledger",
	"fence":        "commits of stale attempts are refused by the ledger",
	"sync":         "a write reaches the disk before it is acknowledged",
	"budget":       "the ledger reserves tokens before a call runs",
	"audit":        "schedulers ask the ledgers which held programs have ended",
	"assembly":     "the sidecar joins the parts of an answer by their offsets",
	"outcome":      "a sidecar says unknown where a lost send may have run",
	"once":         "the ledger closes the turn of a lost call that is not repeatable",
	"leaving":      "schedulers send leaving engines no new work",
	"drain":        "a stopping process ends what it has begun",
	"revision":     "daemons take and give only higher revisions",
	"version":      "a change is refused where its node has changed since",
	"read-confirm": "a leader that hears no quorum steps down, and a read is confirmed by a quorum",
}

// Result is the outcome of one run.
type Result struct {
	Seed          uint64      `json:"seed"`
	Digest        uint64      `json:"digest"`
	Events        int64       `json:"events"`
	AppliedFaults int         `json:"faults"`
	Messages      int64       `json:"messages"`
	Completed     int         `json:"answered"`
	NotCompleted  int         `json:"refused"`
	VirtualMs     int64       `json:"virtual_ms"`
	Violations    []Violation `json:"violations,omitempty"`
	// FaultSchedule are the failures of the run.
	FaultSchedule []Fault  `json:"applied,omitempty"`
	Trace         []string `json:"-"`
}

const (
	arrivalsEndUs         = 9_000_000
	firstArrivalUs        = 1_500_000
	minCallers            = 6
	maxCallers            = 14
	maintenanceCallers    = 16
	maxRestartPauseUs     = 900_000
	completionTimeoutUs   = 90_000_000
	settleUs              = 26_000_000
	maintenanceArrivalsUs = 8_000_000
)

// Run runs one seed.
func Run(deployment workload.Deployment, seed uint64, options Options) Result {
	w := newWorld(options, deployment, seed)
	w.addProcesses()
	if !options.hasFixedFaults {
		kinds := options.FaultKinds
		if kinds == nil {
			kinds = FaultKinds()
		}
		w.options.faultSchedule = w.randomFaults(kinds)
	}
	w.runPhases()
	result := Result{
		Seed: seed, Digest: w.digest.Sum64(), Events: w.handledEvents, AppliedFaults: w.appliedFaults, Messages: w.network.deliveredMessages,
		VirtualMs: w.nowUs / microsPerMilli, Violations: w.checks.violations, FaultSchedule: w.options.faultSchedule, Trace: w.trace,
	}
	for _, programCaller := range w.callers {
		if programCaller.outcome == "answered" {
			result.Completed++
		} else {
			result.NotCompleted++
		}
	}
	return result
}

func (w *world) addProcesses() {
	w.platform = &platform{world: w, leaving: map[string]bool{}, unlisted: map[string]bool{}}
	w.addControls()
	w.addSchedulers()
	w.addSidecars()
	w.addEngines()
	w.addOperators()
}

// runPhases is the course of a run: load with failures, calm, a planned restart and a
// leaving engine, and a long silence.
func (w *world) runPhases() {
	w.setClockDrift()
	for _, name := range w.nodeNames() {
		w.processByName[name].restart()
	}
	if err := w.importSettings(w.startOperators); err != nil {
		w.checks.reportViolation(invariantProgress, "%v", err)
		return
	}
	for range w.randomBetween(minCallers, maxCallers) {
		w.addCaller(w.randomBetween(firstArrivalUs, arrivalsEndUs), false)
	}
	w.scheduleFaults()
	w.runUntil(faultsEndMs*microsPerMilli, nil)
	w.endAllFaults()
	w.checks.expectRevision(w.checks.newestRevision)
	w.runUntil(w.nowUs+completionTimeoutUs, w.areCallersDone)
	w.runMaintenancePhase()
	w.isQuiescent = true
	w.runUntil(w.nowUs+settleUs, nil)
	if !w.checks.hasViolations() {
		w.checks.checkFinalState()
	}
}

func (w *world) areCallersDone() bool {
	return !slices.ContainsFunc(w.callers, func(c *caller) bool { return !c.isDone })
}

func (w *world) setClockDrift() {
	if !w.hasRunWideFault("drift") {
		return
	}
	for _, name := range w.nodeNames() {
		p := w.processByName[name]
		p.offsetMs = w.randomBetween(-400, 400)
		p.drift = float64(w.randomBetween(-8, 8)) / 1000
	}
}

func (w *world) startOperators() {
	if !w.hasRunWideFault("operators") {
		return
	}
	for _, operator := range w.operators {
		operator.keepChanging(12)
	}
}

// runMaintenancePhase is the calm phase: nothing fails, every daemon is restarted in turn,
// an engine leaves; no caller may notice.
func (w *world) runMaintenancePhase() {
	if w.checks.hasViolations() || (!w.hasRunWideFault("rolling") && !w.hasRunWideFault("leaving")) {
		return
	}
	w.runUntil(w.nowUs+settingsDeadlineUs, nil)
	startUs := w.nowUs
	for range maintenanceCallers {
		w.addCaller(startUs+w.randomBetween(0, maintenanceArrivalsUs), true)
	}
	if w.hasRunWideFault("leaving") {
		w.listEngineAsLeaving()
	}
	isRestarted := !w.hasRunWideFault("rolling")
	if !isRestarted {
		w.after(maxRestartPauseUs, "roll", func() { w.restartInTurn(w.restartOrder(), func() { isRestarted = true }) })
	}
	w.operators[0].changeProbe(probePaths[0], func() { w.checks.expectRevision(w.checks.newestRevision) })
	w.runUntil(startUs+maintenanceArrivalsUs, nil)
	w.runUntil(w.nowUs+completionTimeoutUs, func() bool { return isRestarted && w.areCallersDone() })
	if !isRestarted {
		w.checks.reportViolation(invariantPlannedStop, "the planned restart did not come to an end")
	}
}

func (w *world) listEngineAsLeaving() {
	counts := map[string]int{}
	for _, node := range w.engines {
		counts[node.pool]++
	}
	for _, node := range w.engines {
		if counts[node.pool] > 1 {
			w.tracef("%s is listed as leaving", node.name)
			w.platform.leaving[node.name] = true
			w.checks.leavingSinceUs[node.name] = w.nowUs
			return
		}
	}
}

func (w *world) restartOrder() []*process {
	var order []*process
	for _, node := range w.sidecars {
		order = append(order, node.process)
	}
	for _, node := range w.schedulers {
		order = append(order, node.process)
	}
	for _, node := range w.controls {
		order = append(order, node.process)
	}
	w.random.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	return order
}

// restartInTurn stops and starts processes one after another, each with its drain.
func (w *world) restartInTurn(order []*process, done func()) {
	if len(order) == 0 {
		done()
		return
	}
	p := order[0]
	w.tracef("planned stop of %s", p.name)
	w.drain(p, func() {
		p.kill(false)
		w.after(w.randomBetween(50_000, 400_000), "restart", func() {
			p.restart()
			w.whenReady(p, func() {
				w.after(w.randomBetween(maxRestartPauseUs/3, maxRestartPauseUs), "roll", func() { w.restartInTurn(order[1:], done) })
			})
		})
	})
}

// drain does what the shells do on SIGTERM.
func (w *world) drain(p *process, done func()) {
	if w.isDisabled("drain") {
		done()
		return
	}
	startUs := w.nowUs
	isIdle := func() bool { return true }
	for _, node := range w.sidecars {
		if node.process == p {
			node.core.Drain()
			isIdle = node.core.Idle
		}
	}
	for _, node := range w.schedulers {
		if node.process == p {
			node.core.Drain()
			isIdle = node.core.Idle
		}
	}
	for _, node := range w.controls {
		if node.process == p {
			node.runAndFlush(node.core.Drain)
			isIdle = node.core.Drained
		}
	}
	var wait func()
	wait = func() {
		if isIdle() || w.nowUs-startUs > drainTimeoutUs {
			done()
			return
		}
		w.after(drainCheckUs, "drain", wait)
	}
	wait()
}

func (w *world) whenReady(p *process, done func()) {
	isReady := func() bool {
		for _, node := range w.schedulers {
			if node.process == p {
				return node.core.Ready()
			}
		}
		for _, node := range w.sidecars {
			if node.process == p {
				return node.core.Ready()
			}
		}
		for _, node := range w.controls {
			if node.process == p {
				return node.core.Formed() && node.core.Ready()
			}
		}
		return true
	}
	var wait func()
	wait = func() {
		if isReady() {
			done()
			return
		}
		w.after(drainCheckUs, "ready", wait)
	}
	wait()
}

func (w *world) isDisabled(mechanism string) bool {
	return slices.Contains(w.options.DisabledMechanisms, mechanism)
}

func (w *world) disableControlMechanisms(options *control.Options) {
	options.DisableFencing = w.isDisabled("fence")
	options.DisableBudget = w.isDisabled("budget")
	options.DisableAtMostOnce = w.isDisabled("once")
	options.DisableVersionCheck = w.isDisabled("version")
	options.DisableCheckQuorum = w.isDisabled("read-confirm")
	options.DisableReadConfirmation = w.isDisabled("read-confirm")
	options.DisableTurnOrder = w.isDisabled("order")
}

func (w *world) disableSchedulerMechanisms(options *scheduler.Options) {
	options.DisableTurnOrder = w.isDisabled("order")
	options.DisableAudit = w.isDisabled("audit")
	options.DisableLeavingStop = w.isDisabled("leaving")
	options.DisableRevision = w.isDisabled("revision")
	options.DisableAtMostOnce = w.isDisabled("once")
}

func (w *world) disableSidecarMechanisms(options *sidecar.Options) {
	options.DisableAssembly = w.isDisabled("assembly")
	options.DisableOutcome = w.isDisabled("outcome")
	options.DisableRevision = w.isDisabled("revision")
}

// settingsView reads a tree for the checks.
type settingsView struct{ tree *settings.Tree }

func (v settingsView) revision() uint64 { return v.tree.Revision() }

func (v settingsView) value(path string) int64 {
	node, ok := v.tree.Get(path)
	if !ok || node.Fields.TenantMaxInFlight == nil {
		return 0
	}
	return *node.Fields.TenantMaxInFlight
}

// Shrink returns the shortest list of failures found that still breaks the same
// invariant with the same seed, and the run that shows it.
func Shrink(deployment workload.Deployment, failed Result, options Options) Result {
	best := failed
	for {
		reduced, ok := removeOneFault(deployment, best, options)
		if !ok {
			return best
		}
		best = reduced
	}
}

func removeOneFault(deployment workload.Deployment, best Result, options Options) (Result, bool) {
	for position := range best.FaultSchedule {
		options.hasFixedFaults = true
		options.faultSchedule = slices.Delete(slices.Clone(best.FaultSchedule), position, position+1)
		trial := Run(deployment, best.Seed, options)
		if len(trial.Violations) > 0 && trial.Violations[0].Invariant == best.Violations[0].Invariant {
			return trial, true
		}
	}
	return best, false
}

// Summary adds up many runs.
type Summary struct {
	Seeds         int      `json:"seeds"`
	Events        int64    `json:"events"`
	AppliedFaults int64    `json:"faults"`
	Messages      int64    `json:"messages"`
	Completed     int64    `json:"answered"`
	NotCompleted  int64    `json:"refused"`
	VirtualMs     int64    `json:"virtual_ms"`
	Failed        []Result `json:"failed,omitempty"`
	// Digest combines the runs' digests, whatever their order.
	Digest          uint64           `json:"digest"`
	FaultKindCounts map[string]int64 `json:"kinds"`
}

// RunMany runs seeds from first to last on several goroutines; it goes on after
// a failure until a few have been found.
func RunMany(deployment workload.Deployment, first, last uint64, options Options, parallel int) Summary {
	const maxFailures = 3
	summary := Summary{FaultKindCounts: map[string]int64{}}
	var mutex sync.Mutex
	var failures atomic.Int64
	var group sync.WaitGroup
	next := first
	for range max(1, parallel) {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				mutex.Lock()
				seed := next
				next++
				mutex.Unlock()
				if seed > last || failures.Load() >= maxFailures {
					return
				}
				result := Run(deployment, seed, options)
				if len(result.Violations) > 0 {
					failures.Add(1)
				}
				mutex.Lock()
				summary.add(result)
				mutex.Unlock()
			}
		}()
	}
	group.Wait()
	slices.SortFunc(summary.Failed, func(a, b Result) int { return int(int64(a.Seed) - int64(b.Seed)) })
	return summary
}

func (s *Summary) add(result Result) {
	s.Seeds++
	s.Events += result.Events
	s.AppliedFaults += int64(result.AppliedFaults)
	s.Messages += result.Messages
	s.Completed += int64(result.Completed)
	s.NotCompleted += int64(result.NotCompleted)
	s.VirtualMs += result.VirtualMs
	s.Digest ^= result.Digest
	for _, fault := range result.FaultSchedule {
		s.FaultKindCounts[fault.Kind]++
	}
	if len(result.Violations) > 0 {
		s.Failed = append(s.Failed, result)
	}
}

// String is the last line of the command.
func (s Summary) String() string {
	return fmt.Sprintf("simulate: %d seeds, %d events, %d faults, %d violations", s.Seeds, s.Events, s.AppliedFaults, len(s.Failed))
}
