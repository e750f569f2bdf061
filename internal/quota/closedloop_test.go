package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/ochrebay/ochrebay/internal/admission"
)

// Load of these tests: programs of two kinds, with pauses, tool calls and sub-agents, whose
// callers retry after a denial. Each tenant's limit is 1.6 times its usual demand, and one tenant
// sends five times its usual demand for a while. Times are in milliseconds.
const (
	loopTenants         = 12
	loopWindowMs        = 5000
	loopOverloadStartMs = 20_000
	loopOverloadEndMs   = 35_000
	loopEndMs           = 60_000
	loopOverloadFactor  = 5
	loopLimitFactor     = 1.6
	// loopCommitMs is the time to commit a reservation, loopTickMs the interval at which queued
	// requests are granted, and loopPollMs the interval at which they are repeated.
	loopCommitMs      = 6
	loopTickMs        = 50
	loopPollMs        = 300
	loopDeadlineMs    = 3000
	loopResends       = 2
	loopResendDelayMs = 250
	// loopStartsPerSecond is the usual rate of program starts of a tenant.
	loopStartsPerSecond = 0.8
	// loopMeanRequests is the mean number of requests of a program.
	loopMeanRequests = 12.5
	loopLimitBurst   = 5
)

// loopKind describes a kind of program: the mean number of turns and the probability that a turn
// starts sub-agents of two turns.
type loopKind struct {
	name                string
	meanTurns           float64
	subAgentProbability float64
	programFraction     float64
}

var loopKinds = []loopKind{{"short", 4, 0.05, 0.75}, {"long", 11, 0.25, 0.25}}

// loopEvent is a scheduled event.
type loopEvent struct {
	atMs  int64
	order int
	run   func()
}

type loopEvents []loopEvent

func (e loopEvents) Len() int { return len(e) }
func (e loopEvents) Less(a, b int) bool {
	if e[a].atMs != e[b].atMs {
		return e[a].atMs < e[b].atMs
	}
	return e[a].order < e[b].order
}
func (e loopEvents) Swap(a, b int)  { e[a], e[b] = e[b], e[a] }
func (e *loopEvents) Push(item any) { *e = append(*e, item.(loopEvent)) }
func (e *loopEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loopTenant holds the outcomes of one tenant's load: the times of its grants and denials and the
// waits for its grants, in milliseconds.
type loopTenant struct {
	limit                                    Limit
	programs                                 []*loopProgram
	grantedMs                                []int64
	deniedNewMs, deniedInProgressMs, waitsMs []int64
}

// loopProgram is a started program. completed means that all its requests were served, and
// inProgress that the owner still counted it as in progress when it ended.
type loopProgram struct {
	startedMs, endedMs           int64
	ended, completed, inProgress bool
}

// closedLoop simulates callers against one owner in virtual time.
type closedLoop struct {
	seed        uint64
	nowMs       int64
	events      loopEvents
	eventCount  int
	owner       *Owner
	usesTickets bool
	tenants     []*loopTenant
	// queued holds the callbacks of the requests that wait in the queue, by ticket.
	// awaitingReservation holds the requests that wait for a reservation, by tenant.
	queued              map[string]func(Decision)
	awaitingReservation map[string][]func()
	reserving           map[string]bool
	tickets             int
}

func (l *closedLoop) after(ms float64, run func()) {
	l.eventCount++
	heap.Push(&l.events, loopEvent{l.nowMs + int64(ms), l.eventCount, run})
}

// programRandom samples the behavior of a program. It is the same in each run of a seed,
// whichever requests are denied.
type programRandom struct{ *rand.Rand }

func (l *closedLoop) randomFor(tenant, number int) programRandom {
	return programRandom{rand.New(rand.NewPCG(l.seed<<32+uint64(tenant), uint64(number)))}
}

// sampleExponential returns an exponentially distributed time with the given mean.
func (r programRandom) sampleExponential(mean float64) float64 { return r.ExpFloat64() * mean }

// reserve commits a reservation of a tenant.
func (l *closedLoop) reserve(tenant string) {
	if l.reserving[tenant] {
		return
	}
	l.reserving[tenant] = true
	reservation := l.owner.NextReservation(tenant, len(l.awaitingReservation[tenant]), l.nowMs)
	l.after(loopCommitMs, func() {
		delete(l.reserving, tenant)
		l.owner.AddReservation(reservation)
		l.grantQueued(tenant)
		retries := l.awaitingReservation[tenant]
		delete(l.awaitingReservation, tenant)
		for _, retry := range retries {
			retry()
		}
	})
}

func (l *closedLoop) grantQueued(tenant string) {
	tickets, reservationNeeded := l.owner.GrantQueued(tenant, l.nowMs)
	for _, ticket := range tickets {
		if onDecision := l.queued[ticket]; onDecision != nil {
			delete(l.queued, ticket)
			onDecision(l.owner.RequestGrant(Request{Tenant: tenant, Ticket: ticket, Limit: l.limitOf(tenant)}, l.nowMs))
		}
	}
	if reservationNeeded {
		l.reserve(tenant)
	}
}

func (l *closedLoop) limitOf(tenant string) Limit {
	var position int
	_, _ = fmt.Sscanf(tenant, "t%d", &position)
	return l.tenants[position].limit
}

// submit sends a request to the owner and calls onDecision with the final decision.
func (l *closedLoop) submit(request Request, onDecision func(Decision)) {
	decision := l.owner.RequestGrant(request, l.nowMs)
	switch decision.Verdict {
	case ReservationNeeded:
		l.awaitingReservation[request.Tenant] = append(l.awaitingReservation[request.Tenant], func() { l.submit(request, onDecision) })
		l.reserve(request.Tenant)
	case Waiting:
		l.queued[request.Ticket] = onDecision
		l.after(loopPollMs, func() { l.poll(request, onDecision) })
	default:
		onDecision(decision)
	}
}

func (l *closedLoop) poll(request Request, onDecision func(Decision)) {
	if l.queued[request.Ticket] == nil {
		return
	}
	delete(l.queued, request.Ticket)
	request.MaxWaitMs -= loopPollMs
	request.WaitedMs += loopPollMs
	l.submit(request, onDecision)
}

// runRequest runs one request of a program and calls done with whether it was served.
func (l *closedLoop) runRequest(tenant int, request Request, serviceMs float64, done func(bool)) {
	l.attempt(tenant, request, serviceMs, loopDeadlineMs, true, done)
}

// attempt requests a grant and serves the request. A denied request is retried once after the
// retry time it was given, or after a third of the time left if that is shorter.
func (l *closedLoop) attempt(tenant int, request Request, serviceMs float64, leftMs int64, mayRetry bool, done func(bool)) {
	outcomes := l.tenants[tenant]
	inProgress := l.owner.getOrCreateTenant(request.Tenant).isInProgress(request.Program)
	if l.usesTickets {
		l.tickets++
		request.Ticket, request.MaxWaitMs = fmt.Sprint(l.tickets), leftMs-int64(serviceMs)
	}
	requestedMs := l.nowMs
	l.submit(request, func(decision Decision) {
		waitedMs := l.nowMs - requestedMs
		if decision.Verdict == Granted {
			outcomes.grantedMs = append(outcomes.grantedMs, l.nowMs)
			outcomes.waitsMs = append(outcomes.waitsMs, waitedMs)
			l.after(serviceMs, func() { done(true) })
			return
		}
		if inProgress {
			outcomes.deniedInProgressMs = append(outcomes.deniedInProgressMs, l.nowMs)
		} else {
			outcomes.deniedNewMs = append(outcomes.deniedNewMs, l.nowMs)
		}
		remainingMs := leftMs - waitedMs
		if !mayRetry {
			done(false)
			return
		}
		pauseMs := min(decision.RetryAfterMs, remainingMs/3)
		l.after(float64(pauseMs), func() { l.attempt(tenant, request, serviceMs, remainingMs-pauseMs, false, done) })
	})
}

// sendTurn sends a request and resends it up to the given number of times if it fails.
func (l *closedLoop) sendTurn(tenant int, request Request, serviceMs float64, resends int, done func(bool)) {
	l.runRequest(tenant, request, serviceMs, func(served bool) {
		if served || resends == 0 {
			done(served)
			return
		}
		l.after(loopResendDelayMs, func() { l.sendTurn(tenant, request, serviceMs, resends-1, done) })
	})
}

// runParallel runs several operations in parallel and calls done when all have finished.
func runParallel(count int, run func(position int, done func(bool)), done func(bool)) {
	remaining, allServed := count, true
	if count == 0 {
		done(true)
		return
	}
	for position := range count {
		run(position, func(served bool) {
			remaining--
			allServed = allServed && served
			if remaining == 0 {
				done(allServed)
			}
		})
	}
}

// loopTurn is a turn of a thread and what follows it: tool calls, each with its service time in
// milliseconds, and threads of sub-agents in parallel, then a pause.
type loopTurn struct {
	serviceMs, pauseMs float64
	tools              []float64
	agents             [][]loopTurn
}

// sampleTurns samples the turns of a thread.
func (r programRandom) sampleTurns(kind loopKind, turns int) []loopTurn {
	var thread []loopTurn
	for range turns {
		turn := loopTurn{serviceMs: 150 + r.sampleExponential(150), pauseMs: r.sampleExponential(200)}
		if r.Float64() < kind.subAgentProbability {
			for range 1 + r.IntN(3) {
				turn.agents = append(turn.agents, r.sampleTurns(loopKind{}, 2))
			}
		} else {
			for range r.IntN(3) {
				turn.tools = append(turn.tools, 20+r.sampleExponential(60))
			}
		}
		thread = append(thread, turn)
	}
	return thread
}

// runTurns runs the turns of a thread one after another, each with its tool calls and sub-agents.
func (l *closedLoop) runTurns(tenant int, request Request, thread []loopTurn, done func(bool)) {
	first := thread[0]
	l.sendTurn(tenant, request, first.serviceMs, loopResends, func(served bool) {
		if !served || len(thread) == 1 {
			done(served)
			return
		}
		nextRequest, toolRequest := request, request
		nextRequest.ContinuesProgram, toolRequest.ContinuesProgram, toolRequest.Kind = l.usesTickets, l.usesTickets, ""
		runParallel(len(first.tools)+len(first.agents), func(position int, done func(bool)) {
			if position < len(first.tools) {
				l.sendTurn(tenant, toolRequest, first.tools[position], loopResends, done)
				return
			}
			l.runTurns(tenant, nextRequest, first.agents[position-len(first.tools)], done)
		}, func(served bool) {
			if !served {
				done(false)
				return
			}
			l.after(first.pauseMs, func() { l.runTurns(tenant, nextRequest, thread[1:], done) })
		})
	})
}

// startProgram starts a program of a tenant and schedules the next one.
func (l *closedLoop) startProgram(tenant, number int) {
	rate := loopStartsPerSecond
	if tenant == 0 && l.nowMs >= loopOverloadStartMs && l.nowMs < loopOverloadEndMs {
		rate *= loopOverloadFactor
	}
	const millisecondsPerSecond = 1000
	random := l.randomFor(tenant, number)
	l.after(random.sampleExponential(millisecondsPerSecond/rate), func() { l.startProgram(tenant, number+1) })
	kind := loopKinds[0]
	if random.Float64() >= kind.programFraction {
		kind = loopKinds[1]
	}
	turns := 1
	for turns < 40 && random.Float64() > 1/kind.meanTurns {
		turns++
	}
	outcomes := l.tenants[tenant]
	name := fmt.Sprint("p", number)
	request := Request{Tenant: fmt.Sprint("t", tenant), Limit: outcomes.limit, Program: name}
	if l.usesTickets {
		request.Kind = kind.name
	}
	program := &loopProgram{startedMs: l.nowMs}
	outcomes.programs = append(outcomes.programs, program)
	l.runTurns(tenant, request, random.sampleTurns(kind, turns), func(served bool) {
		program.completed, program.ended, program.endedMs = served, true, l.nowMs
		program.inProgress = l.owner.getOrCreateTenant(request.Tenant).isInProgress(name)
	})
}

// loopMode selects how the owner is asked for grants.
type loopMode uint8

const (
	// loopUnlimited applies no limits, which shows the tenants' own demand.
	loopUnlimited loopMode = iota
	// loopPerRequest grants or denies each request separately.
	loopPerRequest
	// loopPerProgram admits programs that fit, and queues the requests of programs in progress.
	loopPerProgram
	// loopTolerant is loopPerProgram with a tolerance for programs in progress.
	loopTolerant
)

// runClosedLoop simulates the load and returns the outcomes of the tenants.
func runClosedLoop(seed uint64, mode loopMode) []*loopTenant {
	tolerance := Tolerance{}
	if mode == loopTolerant {
		tolerance = Tolerance{OverageFraction: 0.1, SlackRequests: 20}
	}
	l := &closedLoop{
		seed: seed, owner: NewOwnerWithAdmission(NewState(loopWindowMs), 0, admission.NewProgramKinds(), tolerance), usesTickets: mode >= loopPerProgram,
		queued: map[string]func(Decision){}, awaitingReservation: map[string][]func(){}, reserving: map[string]bool{},
	}
	limit := Limit{Generation: 1, RatePerSecond: loopLimitFactor * loopStartsPerSecond * loopMeanRequests, Burst: loopLimitBurst}
	if mode == loopUnlimited {
		limit.RatePerSecond = 1e6
	}
	for tenant := range loopTenants {
		l.tenants = append(l.tenants, &loopTenant{limit: limit})
		l.after(0, func() { l.startProgram(tenant, 0) })
	}
	var tick func()
	tick = func() {
		for _, tenant := range l.owner.QueuedTenants() {
			l.grantQueued(tenant)
		}
		l.after(loopTickMs, tick)
	}
	tick()
	for len(l.events) > 0 {
		next := heap.Pop(&l.events).(loopEvent)
		if next.atMs > loopEndMs {
			break
		}
		l.nowMs = next.atMs
		next.run()
	}
	return l.tenants
}

// isWithinLimit reports whether an unlimited tenant's demand stays within the limit in every
// window that ends while the program is in progress or within loopWindowMs of its start.
func (t *loopTenant) isWithinLimit(program *loopProgram, allowed int64) bool {
	count, first := int64(0), 0
	for _, at := range t.grantedMs {
		count++
		for t.grantedMs[first] <= at-loopWindowMs {
			first++
			count--
		}
		if count > allowed && at >= program.startedMs && at <= max(program.endedMs, program.startedMs+loopWindowMs) {
			return false
		}
	}
	return true
}

// loopTotals adds up the outcomes of several tenants.
type loopTotals struct {
	programs, completed, rejected, lost int
	// withinLimit counts the programs of tenants within their limit, and withinLimitFailed those
	// among them that were rejected or lost.
	withinLimit, withinLimitFailed int
	granted                        int
	deniedNew, deniedInProgress    int
	waitsMs                        []int64
}

func (t *loopTotals) add(tenant, unlimited *loopTenant) {
	allowed := tenant.limit.AllowedRequests(loopWindowMs)
	for position, program := range tenant.programs {
		failed := program.ended && !program.completed
		t.programs++
		switch {
		case program.completed:
			t.completed++
		case failed && program.inProgress:
			t.lost++
		case failed:
			t.rejected++
		}
		if unlimited.isWithinLimit(unlimited.programs[position], allowed) {
			t.withinLimit++
			if failed {
				t.withinLimitFailed++
			}
		}
	}
	t.granted += len(tenant.grantedMs)
	t.deniedNew += len(tenant.deniedNewMs)
	t.deniedInProgress += len(tenant.deniedInProgressMs)
	t.waitsMs = append(t.waitsMs, tenant.waitsMs...)
}

func (t *loopTotals) String() string {
	slices.Sort(t.waitsMs)
	return fmt.Sprintf("%d programs, %d completed, %d rejected, %d lost; %d within the limit, of these %d rejected or lost; %d requests granted, waits p95 %d, p99 %d ms; denied %d of new programs, %d of programs in progress",
		t.programs, t.completed, t.rejected, t.lost, t.withinLimit, t.withinLimitFailed, t.granted, t.waitsMs[len(t.waitsMs)*95/100], t.waitsMs[len(t.waitsMs)*99/100], t.deniedNew, t.deniedInProgress)
}

// TestProgramsAtTheLimit checks admission with one tenant at five times its usual demand and all
// limits at 1.6 times the usual demand. At most one in twenty denials may affect a program in
// progress, at most one in a hundred programs of tenants within their limit may be rejected or
// lost, and at least as many programs must be completed as when each request is decided
// separately.
func TestProgramsAtTheLimit(t *testing.T) {
	const seeds = 6
	totals := map[loopMode]*loopTotals{loopPerRequest: {}, loopPerProgram: {}, loopTolerant: {}}
	for seed := range uint64(seeds) {
		unlimited := runClosedLoop(seed, loopUnlimited)
		for mode, total := range totals {
			for position, tenant := range runClosedLoop(seed, mode) {
				total.add(tenant, unlimited[position])
			}
		}
	}
	perRequest := totals[loopPerRequest]
	t.Logf("separate decision per request: %s", perRequest)
	for _, mode := range []loopMode{loopPerProgram, loopTolerant} {
		total := totals[mode]
		t.Logf("admission per program, tolerance %t: %s", mode == loopTolerant, total)
		if total.deniedInProgress*20 > total.deniedNew+total.deniedInProgress {
			t.Errorf("%d of %d denials affected programs in progress", total.deniedInProgress, total.deniedNew+total.deniedInProgress)
		}
		if total.withinLimitFailed*100 > total.withinLimit {
			t.Errorf("%d of %d programs of tenants within their limit were rejected or lost", total.withinLimitFailed, total.withinLimit)
		}
		if total.completed < perRequest.completed {
			t.Errorf("%d programs completed, %d with a separate decision per request", total.completed, perRequest.completed)
		}
	}
}
