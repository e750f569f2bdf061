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
	// Faults are the kinds that may happen; nil means all.
	Faults []string
	// Disable names mechanisms to turn off.
	Disable []string
	// Story keeps the run in words.
	Story bool

	// faults are the failures themselves, where they are given.
	faults []Fault
	fixed  bool
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
	Seed       uint64      `json:"seed"`
	Digest     uint64      `json:"digest"`
	Events     int64       `json:"events"`
	Faults     int         `json:"faults"`
	Messages   int64       `json:"messages"`
	Answered   int         `json:"answered"`
	Refused    int         `json:"refused"`
	VirtualMs  int64       `json:"virtual_ms"`
	Violations []Violation `json:"violations,omitempty"`
	// Applied are the failures of the run.
	Applied []Fault  `json:"applied,omitempty"`
	Story   []string `json:"-"`
}

const (
	loadUntilUs    = 9_000_000
	firstArrivalUs = 1_500_000
	fewestCallers  = 6
	mostCallers    = 14
	calmCallers    = 16
	rollPauseUs    = 900_000
	patienceUs     = 90_000_000
	settleUs       = 26_000_000
	rollingCalls   = 8_000_000
)

// Run runs one seed.
func Run(deployment workload.Deployment, seed uint64, options Options) Result {
	w := newWorld(options, deployment, seed)
	w.build()
	if !options.fixed {
		kinds := options.Faults
		if kinds == nil {
			kinds = FaultKinds()
		}
		w.options.faults = w.drawFaults(kinds)
	}
	w.play()
	outcome := Result{
		Seed: seed, Digest: w.digest.Sum64(), Events: w.handled, Faults: w.faultsApplied, Messages: w.network.delivered,
		VirtualMs: w.nowUs / microsPerMilli, Violations: w.checks.violations, Applied: w.options.faults, Story: w.story,
	}
	for _, owner := range w.callers {
		if owner.ended == "answered" {
			outcome.Answered++
		} else {
			outcome.Refused++
		}
	}
	return outcome
}

func (w *world) build() {
	w.platform = &platform{world: w, leaving: map[string]bool{}, hidden: map[string]bool{}}
	w.addControls()
	w.addSchedulers()
	w.addSidecars()
	w.addEngines()
	w.addOperators()
}

// play is the course of a run: load with failures, calm, a planned restart and a
// leaving engine, and a long silence.
func (w *world) play() {
	w.driftClocks()
	for _, name := range w.daemonNames() {
		w.byName[name].restart()
	}
	if err := w.importSettings(w.operate); err != nil {
		w.checks.violate(invariantProgress, "%v", err)
		return
	}
	for range w.between(fewestCallers, mostCallers) {
		w.addCaller(w.between(firstArrivalUs, loadUntilUs), false)
	}
	w.scheduleFaults()
	w.runUntil(calmAtMs*microsPerMilli, nil)
	w.healAll()
	w.checks.expectInForce(w.checks.newest)
	w.runUntil(w.nowUs+patienceUs, w.callersDone)
	w.planned()
	w.quiet = true
	w.runUntil(w.nowUs+settleUs, nil)
	if !w.checks.failed() {
		w.checks.finish()
	}
}

func (w *world) callersDone() bool {
	return !slices.ContainsFunc(w.callers, func(c *caller) bool { return !c.done })
}

func (w *world) driftClocks() {
	if !w.option("drift") {
		return
	}
	for _, name := range w.daemonNames() {
		p := w.byName[name]
		p.offsetMs = w.between(-400, 400)
		p.drift = float64(w.between(-8, 8)) / 1000
	}
}

func (w *world) operate() {
	if !w.option("operators") {
		return
	}
	for _, operator := range w.operators {
		operator.keepChanging(12)
	}
}

// planned is the calm phase: nothing fails, every daemon is restarted in turn,
// an engine leaves; no caller may notice.
func (w *world) planned() {
	if w.checks.failed() || (!w.option("rolling") && !w.option("leaving")) {
		return
	}
	w.runUntil(w.nowUs+settingsDeadline, nil)
	from := w.nowUs
	for range calmCallers {
		w.addCaller(from+w.between(0, rollingCalls), true)
	}
	if w.option("leaving") {
		w.leave()
	}
	rolled := !w.option("rolling")
	if !rolled {
		w.after(rollPauseUs, "roll", func() { w.roll(w.rollOrder(), func() { rolled = true }) })
	}
	w.operators[0].set(probePaths[0], func() { w.checks.expectInForce(w.checks.newest) })
	w.runUntil(from+rollingCalls, nil)
	w.runUntil(w.nowUs+patienceUs, func() bool { return rolled && w.callersDone() })
	if !rolled {
		w.checks.violate(invariantPlanned, "the planned restart did not come to an end")
	}
}

func (w *world) leave() {
	counts := map[string]int{}
	for _, node := range w.engines {
		counts[node.pool]++
	}
	for _, node := range w.engines {
		if counts[node.pool] > 1 {
			w.tell("%s is listed as leaving", node.name)
			w.platform.leaving[node.name] = true
			w.checks.leftAtUs[node.name] = w.nowUs
			return
		}
	}
}

func (w *world) rollOrder() []*process {
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

// roll stops and starts processes one after another, each with its drain.
func (w *world) roll(order []*process, done func()) {
	if len(order) == 0 {
		done()
		return
	}
	p := order[0]
	w.tell("planned stop of %s", p.name)
	w.drain(p, func() {
		p.kill(false)
		w.after(w.between(50_000, 400_000), "restart", func() {
			p.restart()
			w.whenReady(p, func() {
				w.after(w.between(rollPauseUs/3, rollPauseUs), "roll", func() { w.roll(order[1:], done) })
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
	begun := w.nowUs
	idle := func() bool { return true }
	for _, node := range w.sidecars {
		if node.process == p {
			node.core.Drain()
			idle = node.core.IsIdle
		}
	}
	for _, node := range w.schedulers {
		if node.process == p {
			node.core.Drain()
			idle = node.core.IsIdle
		}
	}
	for _, node := range w.controls {
		if node.process == p {
			node.act(node.core.Drain)
			idle = node.core.Drained
		}
	}
	var wait func()
	wait = func() {
		if idle() || w.nowUs-begun > drainTimeoutUs {
			done()
			return
		}
		w.after(drainCheckUs, "drain", wait)
	}
	wait()
}

func (w *world) whenReady(p *process, done func()) {
	ready := func() bool {
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
		if ready() {
			done()
			return
		}
		w.after(drainCheckUs, "ready", wait)
	}
	wait()
}

func (w *world) isDisabled(mechanism string) bool {
	return slices.Contains(w.options.Disable, mechanism)
}

func (w *world) disableControl(options *control.Options) {
	options.DisableFencing = w.isDisabled("fence")
	options.DisableBudget = w.isDisabled("budget")
	options.DisableAtMostOnce = w.isDisabled("once")
	options.DisableVersionCheck = w.isDisabled("version")
	options.DisableCheckQuorum = w.isDisabled("read-confirm")
	options.DisableReadConfirmation = w.isDisabled("read-confirm")
	options.DisableTurnOrder = w.isDisabled("order")
}

func (w *world) disableScheduler(options *scheduler.Options) {
	options.DisableTurnOrder = w.isDisabled("order")
	options.DisableAudit = w.isDisabled("audit")
	options.DisableLeavingClose = w.isDisabled("leaving")
	options.DisableRevision = w.isDisabled("revision")
	options.DisableAtMostOnce = w.isDisabled("once")
}

func (w *world) disableSidecar(options *sidecar.Options) {
	options.DisableAssembly = w.isDisabled("assembly")
	options.DisableUnknownOutcome = w.isDisabled("outcome")
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
		smaller, ok := shrinkOnce(deployment, best, options)
		if !ok {
			return best
		}
		best = smaller
	}
}

func shrinkOnce(deployment workload.Deployment, best Result, options Options) (Result, bool) {
	for position := range best.Applied {
		options.fixed = true
		options.faults = slices.Delete(slices.Clone(best.Applied), position, position+1)
		tried := Run(deployment, best.Seed, options)
		if len(tried.Violations) > 0 && tried.Violations[0].Invariant == best.Violations[0].Invariant {
			return tried, true
		}
	}
	return best, false
}

// Summary adds up many runs.
type Summary struct {
	Seeds     int      `json:"seeds"`
	Events    int64    `json:"events"`
	Faults    int64    `json:"faults"`
	Messages  int64    `json:"messages"`
	Answered  int64    `json:"answered"`
	Refused   int64    `json:"refused"`
	VirtualMs int64    `json:"virtual_ms"`
	Failed    []Result `json:"failed,omitempty"`
	// Digest combines the runs' digests, whatever their order.
	Digest uint64           `json:"digest"`
	Kinds  map[string]int64 `json:"kinds"`
}

// RunMany runs seeds from first to last on several goroutines; it goes on after
// a failure until a few have been found.
func RunMany(deployment workload.Deployment, first, last uint64, options Options, parallel int) Summary {
	const enough = 3
	summary := Summary{Kinds: map[string]int64{}}
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
				if seed > last || failures.Load() >= enough {
					return
				}
				outcome := Run(deployment, seed, options)
				if len(outcome.Violations) > 0 {
					failures.Add(1)
				}
				mutex.Lock()
				summary.add(outcome)
				mutex.Unlock()
			}
		}()
	}
	group.Wait()
	slices.SortFunc(summary.Failed, func(a, b Result) int { return int(int64(a.Seed) - int64(b.Seed)) })
	return summary
}

func (s *Summary) add(outcome Result) {
	s.Seeds++
	s.Events += outcome.Events
	s.Faults += int64(outcome.Faults)
	s.Messages += outcome.Messages
	s.Answered += int64(outcome.Answered)
	s.Refused += int64(outcome.Refused)
	s.VirtualMs += outcome.VirtualMs
	s.Digest ^= outcome.Digest
	for _, fault := range outcome.Applied {
		s.Kinds[fault.Kind]++
	}
	if len(outcome.Violations) > 0 {
		s.Failed = append(s.Failed, outcome)
	}
}

// String is the last line of the command.
func (s Summary) String() string {
	return fmt.Sprintf("simulate: %d seeds, %d events, %d faults, %d violations", s.Seeds, s.Events, s.Faults, len(s.Failed))
}
