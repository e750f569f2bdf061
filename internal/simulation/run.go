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

// Options are the options of a run.
type Options struct {
	// FaultKinds are the kinds of faults that may be injected; nil means all.
	FaultKinds []string
	// DisabledMechanisms are the names of the mechanisms to turn off.
	DisabledMechanisms []string
	// RecordTrace makes the run keep a readable trace of its events.
	RecordTrace bool

	// faultSchedule holds the faults to inject. hasFixedFaults is set if the caller
	// gave them, so that Run picks none at random.
	faultSchedule  []Fault
	hasFixedFaults bool
}

// Mechanisms lists the mechanisms that can be turned off, each with its purpose.
var Mechanisms = map[string]string{
	"order":        "a scheduler runs one call of a program at a time, and the ledger keeps one open turn of a program",
	"fence":        "the ledger rejects commits of stale attempts",
	"sync":         "a write reaches the disk before it is acknowledged",
	"budget":       "the ledger reserves tokens before a call runs",
	"audit":        "schedulers ask the ledgers which cached programs have ended",
	"assembly":     "the sidecar assembles the chunks of a response by their offsets",
	"outcome":      "a sidecar reports the outcome unknown when a lost request may have run",
	"once":         "the ledger closes the turn of a lost call that must run at most once",
	"leaving":      "schedulers send no new work to leaving engines",
	"drain":        "a stopping process completes the work that it has started",
	"revision":     "daemons accept and forward only newer revisions",
	"version":      "a change is rejected if its node has changed since the version it was made against",
	"read-confirm": "a leader without contact to a quorum steps down, and a quorum confirms each read",
}

// Result is the outcome of one run. Completed counts the programs that ran to their end,
// NotCompleted all others, including those that their callers abandoned.
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
	// FaultSchedule holds the faults of the run.
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

// Run runs the simulation with one seed.
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

// runPhases runs the phases of a run: load with faults, recovery without faults,
// maintenance (a rolling restart and a leaving engine) and a final idle period.
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

// runMaintenancePhase restarts the control processes, schedulers and sidecars one after
// another and lists an engine as leaving while nothing fails. Callers must not notice.
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
		w.checks.reportViolation(invariantPlannedStop, "the planned restart did not complete")
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

// restartInTurn drains, stops and starts the processes one after another, then calls done.
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

// drain drains a process as the daemons do on SIGTERM, and calls done when the process is
// idle or drainTimeoutUs have passed.
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
			isIdle = node.core.IsIdle
		}
	}
	for _, node := range w.schedulers {
		if node.process == p {
			node.core.Drain()
			isIdle = node.core.IsIdle
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
				return node.core.IsReady()
			}
		}
		for _, node := range w.sidecars {
			if node.process == p {
				return node.core.IsReady()
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
	options.DisableLeavingClose = w.isDisabled("leaving")
	options.DisableRevision = w.isDisabled("revision")
	options.DisableAtMostOnce = w.isDisabled("once")
}

func (w *world) disableSidecarMechanisms(options *sidecar.Options) {
	options.DisableAssembly = w.isDisabled("assembly")
	options.DisableUnknownOutcome = w.isDisabled("outcome")
	options.DisableRevision = w.isDisabled("revision")
}

// settingsView adapts a settings tree to the checks.
type settingsView struct{ tree *settings.Tree }

func (v settingsView) revision() uint64 { return v.tree.Revision() }

func (v settingsView) value(path string) int64 {
	node, ok := v.tree.Get(path)
	if !ok || node.Fields.TenantMaxInFlight == nil {
		return 0
	}
	return *node.Fields.TenantMaxInFlight
}

// Shrink removes faults from the schedule of a failed run as long as the same seed still
// violates the same invariant, and returns the run with the shortest schedule found.
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

func removeOneFault(deployment workload.Deployment, failed Result, options Options) (Result, bool) {
	for position := range failed.FaultSchedule {
		options.hasFixedFaults = true
		options.faultSchedule = slices.Delete(slices.Clone(failed.FaultSchedule), position, position+1)
		trial := Run(deployment, failed.Seed, options)
		if len(trial.Violations) > 0 && trial.Violations[0].Invariant == failed.Violations[0].Invariant {
			return trial, true
		}
	}
	return failed, false
}

// Summary aggregates the results of many runs.
type Summary struct {
	Seeds         int      `json:"seeds"`
	Events        int64    `json:"events"`
	AppliedFaults int64    `json:"faults"`
	Messages      int64    `json:"messages"`
	Completed     int64    `json:"answered"`
	NotCompleted  int64    `json:"refused"`
	VirtualMs     int64    `json:"virtual_ms"`
	Failed        []Result `json:"failed,omitempty"`
	// Digest combines the digests of the runs; it does not depend on their order.
	Digest          uint64           `json:"digest"`
	FaultKindCounts map[string]int64 `json:"kinds"`
}

// RunMany runs the seeds from first to last on parallel goroutines. It starts no
// further runs after maxFailures runs with violations.
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

// String returns the summary line that the simulate command prints last.
func (s Summary) String() string {
	return fmt.Sprintf("simulate: %d seeds, %d events, %d faults, %d violations", s.Seeds, s.Events, s.AppliedFaults, len(s.Failed))
}
