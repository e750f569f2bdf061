package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/ochrebay/ochrebay/internal/admission"
)

// The load that these tests answer: programs of two kinds, with pauses, tools and sub-agents,
// whose callers come back when they are refused, at tenants whose limit is 1.6 times what they
// usually ask for, one of them sending five times its usual for a while. Times are in
// milliseconds.
const (
	loopTenants     = 12
	loopWindowMs    = 5000
	loopHotFromMs   = 20_000
	loopHotToMs     = 35_000
	loopEndMs       = 60_000
	loopHotFactor   = 5
	loopLimitFactor = 1.6
	loopCommitMs    = 6
	loopTickMs      = 50
	loopAskAgainMs  = 300
	loopDeadlineMs  = 3000
	loopAnews       = 2
	loopAnewMs      = 250
	// loopStartsPerSecond are the programs that a tenant usually begins in a second.
	loopStartsPerSecond = 0.8
	// loopRequests are the requests of a program in the mean.
	loopRequests = 12.5
	loopBurst    = 5
)

// loopKind describes programs: their mean number of turns and how many of them start
// sub-agents of two turns.
type loopKind struct {
	name       string
	meanTurns  float64
	subAgents  float64
	ofPrograms float64
}

var loopKinds = []loopKind{{"short", 4, 0.05, 0.75}, {"long", 11, 0.25, 0.25}}

// loopEvent is something that happens at a time.
type loopEvent struct {
	atMs  int64
	order int
	act   func()
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

// loopTenant counts what became of one tenant.
type loopTenant struct {
	limit                              Limit
	programs                           []*loopProgram
	granted                            []int64
	deniedNew, deniedUnderWay, waitsMs []int64
}

// loopProgram is a program that was begun: whether it has come to its end, whether it was
// completed, and else whether anything of it had run.
type loopProgram struct {
	beganMs, endedMs           int64
	ended, completed, underWay bool
}

// loop plays callers against one owner in virtual time.
type loop struct {
	seed    uint64
	nowMs   int64
	events  loopEvents
	orders  int
	owner   *Owner
	byQueue bool
	tenants []*loopTenant
	// held are the requests that wait, by ticket; short those that wait for a reservation.
	held      map[string]func(Decision)
	short     map[string][]func()
	reserving map[string]bool
	tickets   int
}

func (l *loop) after(ms float64, act func()) {
	l.orders++
	heap.Push(&l.events, loopEvent{l.nowMs + int64(ms), l.orders, act})
}

// drawn draws what a program does: the same in each play of a seed, whatever is denied.
type drawn struct{ *rand.Rand }

func (l *loop) draws(tenant, number int) drawn {
	return drawn{rand.New(rand.NewPCG(l.seed<<32+uint64(tenant), uint64(number)))}
}

// exponential draws a time with a mean.
func (d drawn) exponential(mean float64) float64 { return d.ExpFloat64() * mean }

// reserve commits a reservation of a tenant.
func (l *loop) reserve(tenant string) {
	if l.reserving[tenant] {
		return
	}
	l.reserving[tenant] = true
	reservation := l.owner.NextReservation(tenant, len(l.short[tenant]), l.nowMs)
	l.after(loopCommitMs, func() {
		delete(l.reserving, tenant)
		l.owner.AddReservation(reservation)
		l.resume(tenant)
		waiting := l.short[tenant]
		delete(l.short, tenant)
		for _, again := range waiting {
			again()
		}
	})
}

func (l *loop) resume(tenant string) {
	tickets, short := l.owner.GrantQueued(tenant, l.nowMs)
	for _, ticket := range tickets {
		if answer := l.held[ticket]; answer != nil {
			delete(l.held, ticket)
			answer(l.owner.RequestGrant(Request{Tenant: tenant, Ticket: ticket, Limit: l.limitOf(tenant)}, l.nowMs))
		}
	}
	if short {
		l.reserve(tenant)
	}
}

func (l *loop) limitOf(tenant string) Limit {
	var position int
	_, _ = fmt.Sscanf(tenant, "t%d", &position)
	return l.tenants[position].limit
}

// put puts a question to the owner and answers with what it comes to in the end.
func (l *loop) put(ask Request, answer func(Decision)) {
	decision := l.owner.RequestGrant(ask, l.nowMs)
	switch decision.Verdict {
	case ReservationNeeded:
		l.short[ask.Tenant] = append(l.short[ask.Tenant], func() { l.put(ask, answer) })
		l.reserve(ask.Tenant)
	case Waiting:
		l.held[ask.Ticket] = answer
		l.after(loopAskAgainMs, func() { l.askAgain(ask, answer) })
	default:
		answer(decision)
	}
}

func (l *loop) askAgain(ask Request, answer func(Decision)) {
	if l.held[ask.Ticket] == nil {
		return
	}
	delete(l.held, ask.Ticket)
	ask.MaxWaitMs -= loopAskAgainMs
	ask.WaitedMs += loopAskAgainMs
	l.put(ask, answer)
}

// request is one request of a program; done says whether it was served.
func (l *loop) request(tenant int, ask Request, serviceMs float64, done func(bool)) {
	l.attempt(tenant, ask, serviceMs, loopDeadlineMs, true, done)
}

// attempt asks for a grant and serves, or comes back once after the time it was told, for at
// most a third of the time left.
func (l *loop) attempt(tenant int, ask Request, serviceMs float64, leftMs int64, mayRetry bool, done func(bool)) {
	counts := l.tenants[tenant]
	known := l.owner.tenant(ask.Tenant).underWay(ask.Program)
	if l.byQueue {
		l.tickets++
		ask.Ticket, ask.MaxWaitMs = fmt.Sprint(l.tickets), leftMs-int64(serviceMs)
	}
	askedMs := l.nowMs
	l.put(ask, func(decision Decision) {
		waitedMs := l.nowMs - askedMs
		if decision.Verdict == Granted {
			counts.granted = append(counts.granted, l.nowMs)
			counts.waitsMs = append(counts.waitsMs, waitedMs)
			l.after(serviceMs, func() { done(true) })
			return
		}
		if known {
			counts.deniedUnderWay = append(counts.deniedUnderWay, l.nowMs)
		} else {
			counts.deniedNew = append(counts.deniedNew, l.nowMs)
		}
		left := leftMs - waitedMs
		if !mayRetry {
			done(false)
			return
		}
		pause := min(decision.RetryAfterMs, left/3)
		l.after(float64(pause), func() { l.attempt(tenant, ask, serviceMs, left-pause, false, done) })
	})
}

// turn sends a request and sends it anew where it fails, a few times.
func (l *loop) turn(tenant int, ask Request, serviceMs float64, anews int, done func(bool)) {
	l.request(tenant, ask, serviceMs, func(served bool) {
		if served || anews == 0 {
			done(served)
			return
		}
		l.after(loopAnewMs, func() { l.turn(tenant, ask, serviceMs, anews-1, done) })
	})
}

// together runs several things side by side and is done when all are.
func together(count int, run func(position int, done func(bool)), done func(bool)) {
	left, all := count, true
	if count == 0 {
		done(true)
		return
	}
	for position := range count {
		run(position, func(served bool) {
			left--
			all = all && served
			if left == 0 {
				done(all)
			}
		})
	}
}

// loopTurn is a turn of a line with what follows it: tools and lines of sub-agents side by side,
// and a pause.
type loopTurn struct {
	serviceMs, pauseMs float64
	tools              []float64
	agents             [][]loopTurn
}

// plan draws the turns of a line.
func (d drawn) plan(kind loopKind, turns int) []loopTurn {
	var line []loopTurn
	for range turns {
		turn := loopTurn{serviceMs: 150 + d.exponential(150), pauseMs: d.exponential(200)}
		if d.Float64() < kind.subAgents {
			for range 1 + d.IntN(3) {
				turn.agents = append(turn.agents, d.plan(loopKind{}, 2))
			}
		} else {
			for range d.IntN(3) {
				turn.tools = append(turn.tools, 20+d.exponential(60))
			}
		}
		line = append(line, turn)
	}
	return line
}

// run sends the turns of a line one after the other, with what belongs to each.
func (l *loop) run(tenant int, ask Request, line []loopTurn, done func(bool)) {
	first := line[0]
	l.turn(tenant, ask, first.serviceMs, loopAnews, func(served bool) {
		if !served || len(line) == 1 {
			done(served)
			return
		}
		follow, tool := ask, ask
		follow.ContinuesProgram, tool.ContinuesProgram, tool.Kind = l.byQueue, l.byQueue, ""
		together(len(first.tools)+len(first.agents), func(position int, done func(bool)) {
			if position < len(first.tools) {
				l.turn(tenant, tool, first.tools[position], loopAnews, done)
				return
			}
			l.run(tenant, follow, first.agents[position-len(first.tools)], done)
		}, func(served bool) {
			if !served {
				done(false)
				return
			}
			l.after(first.pauseMs, func() { l.run(tenant, follow, line[1:], done) })
		})
	})
}

// begin starts a program of a tenant and, later, the next one.
func (l *loop) begin(tenant, number int) {
	rate := loopStartsPerSecond
	if tenant == 0 && l.nowMs >= loopHotFromMs && l.nowMs < loopHotToMs {
		rate *= loopHotFactor
	}
	const millisecondsPerSecond = 1000
	draws := l.draws(tenant, number)
	l.after(draws.exponential(millisecondsPerSecond/rate), func() { l.begin(tenant, number+1) })
	kind := loopKinds[0]
	if draws.Float64() >= kind.ofPrograms {
		kind = loopKinds[1]
	}
	turns := 1
	for turns < 40 && draws.Float64() > 1/kind.meanTurns {
		turns++
	}
	counts := l.tenants[tenant]
	name := fmt.Sprint("p", number)
	ask := Request{Tenant: fmt.Sprint("t", tenant), Limit: counts.limit, Program: name}
	if l.byQueue {
		ask.Kind = kind.name
	}
	program := &loopProgram{beganMs: l.nowMs}
	counts.programs = append(counts.programs, program)
	l.run(tenant, ask, draws.plan(kind, turns), func(served bool) {
		program.completed, program.ended, program.endedMs = served, true, l.nowMs
		program.underWay = l.owner.tenant(ask.Tenant).underWay(name)
	})
}

// loopMode is how the owner is asked.
type loopMode uint8

const (
	// loopUnlimited has no limits: what tenants ask for by themselves.
	loopUnlimited loopMode = iota
	// loopByRequest takes or denies each request by itself.
	loopByRequest
	// loopByProgram lets programs begin where they fit and those under way wait.
	loopByProgram
	// loopTolerant besides lets those under way use the tolerance.
	loopTolerant
)

// play runs the load and returns what became of the tenants.
func play(seed uint64, mode loopMode) []*loopTenant {
	tolerance := Tolerance{}
	if mode == loopTolerant {
		tolerance = Tolerance{Overage: 0.1, Slack: 20}
	}
	l := &loop{
		seed: seed, owner: NewOwnerWithAdmission(NewState(loopWindowMs), 0, admission.NewProgramKinds(), tolerance), byQueue: mode >= loopByProgram,
		held: map[string]func(Decision){}, short: map[string][]func(){}, reserving: map[string]bool{},
	}
	limit := Limit{Generation: 1, RatePerSecond: loopLimitFactor * loopStartsPerSecond * loopRequests, Burst: loopBurst}
	if mode == loopUnlimited {
		limit.RatePerSecond = 1e6
	}
	for tenant := range loopTenants {
		l.tenants = append(l.tenants, &loopTenant{limit: limit})
		l.after(0, func() { l.begin(tenant, 0) })
	}
	var tick func()
	tick = func() {
		for _, tenant := range l.owner.QueuedTenants() {
			l.resume(tenant)
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
		next.act()
	}
	return l.tenants
}

// within reports whether a tenant that is bounded by nothing asks for no more than the limit in
// any window that ends while a program that begins at a time is under way.
func (t *loopTenant) within(program *loopProgram, allowed int64) bool {
	count, first := int64(0), 0
	for _, at := range t.granted {
		count++
		for t.granted[first] <= at-loopWindowMs {
			first++
			count--
		}
		if count > allowed && at >= program.beganMs && at <= max(program.endedMs, program.beganMs+loopWindowMs) {
			return false
		}
	}
	return true
}

// loopSum is what became of the programs of several tenants.
type loopSum struct {
	programs, completed, refused, lost int
	// within are the programs of tenants within their limit, withinFailed those of them that
	// were refused or lost.
	within, withinFailed      int
	granted                   int
	deniedNew, deniedUnderWay int
	waitsMs                   []int64
}

func (s *loopSum) add(tenant, unlimited *loopTenant) {
	allowed := tenant.limit.AllowedRequests(loopWindowMs)
	for position, program := range tenant.programs {
		failed := program.ended && !program.completed
		s.programs++
		switch {
		case program.completed:
			s.completed++
		case failed && program.underWay:
			s.lost++
		case failed:
			s.refused++
		}
		if unlimited.within(unlimited.programs[position], allowed) {
			s.within++
			if failed {
				s.withinFailed++
			}
		}
	}
	s.granted += len(tenant.granted)
	s.deniedNew += len(tenant.deniedNew)
	s.deniedUnderWay += len(tenant.deniedUnderWay)
	s.waitsMs = append(s.waitsMs, tenant.waitsMs...)
}

func (s *loopSum) String() string {
	slices.Sort(s.waitsMs)
	return fmt.Sprintf("%d programs, %d completed, %d refused, %d lost; %d within the limit, of them %d refused or lost; %d requests granted, waits p95 %d, p99 %d ms; denied %d new, %d under way",
		s.programs, s.completed, s.refused, s.lost, s.within, s.withinFailed, s.granted, s.waitsMs[len(s.waitsMs)*95/100], s.waitsMs[len(s.waitsMs)*99/100], s.deniedNew, s.deniedUnderWay)
}

// TestProgramsAtTheLimit holds, with one tenant at five times its usual and all limits at 1.6
// times it, that of the limit's denials fewer than one in twenty meets a program that has
// begun, that tenants within their limit lose fewer than one program in a hundred, and that as
// many programs are completed as when each request is taken or denied by itself.
func TestProgramsAtTheLimit(t *testing.T) {
	const seeds = 6
	sums := map[loopMode]*loopSum{loopByRequest: {}, loopByProgram: {}, loopTolerant: {}}
	for seed := range uint64(seeds) {
		unlimited := play(seed, loopUnlimited)
		for mode, sum := range sums {
			for position, tenant := range play(seed, mode) {
				sum.add(tenant, unlimited[position])
			}
		}
	}
	before := sums[loopByRequest]
	t.Logf("each request by itself: %s", before)
	for _, mode := range []loopMode{loopByProgram, loopTolerant} {
		sum := sums[mode]
		t.Logf("by program, tolerance used %t: %s", mode == loopTolerant, sum)
		if sum.deniedUnderWay*20 > sum.deniedNew+sum.deniedUnderWay {
			t.Errorf("%d of %d denials met programs under way", sum.deniedUnderWay, sum.deniedNew+sum.deniedUnderWay)
		}
		if sum.withinFailed*100 > sum.within {
			t.Errorf("%d of %d programs of tenants within their limit were refused or lost", sum.withinFailed, sum.within)
		}
		if sum.completed < before.completed {
			t.Errorf("%d programs completed, %d with each request by itself", sum.completed, before.completed)
		}
	}
}
