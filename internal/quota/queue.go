package quota

import (
	"math"
	"slices"

	"github.com/ochrebay/ochrebay/internal/admission"
)

const (
	// placeKeptMs is how long a place in the queue is kept for a gateway that is not heard: it
	// asks again within 0.45 s.
	placeKeptMs = 1000
	// issueKeptMs is how long a grant is remembered for its ticket, so that a question whose
	// answer was lost is answered alike.
	issueKeptMs = 3000
	// leastRetryMs is the least time until a denied request may come back.
	leastRetryMs = 1
)

// waiter is a request of a program under way that waits for room.
type waiter struct {
	ask Request
	// askedMs is when it was first asked for, usefulMs until when a grant is of use, and heardMs
	// when its gateway was last heard.
	askedMs  int64
	usefulMs int64
	heardMs  int64
}

// issue is a grant to a ticket.
type issue struct {
	program string
	atMs    int64
	// taken says that the grant was handed out: only its holder may give it back.
	taken bool
}

// askWithTicket decides on a request whose gateway can wait.
//
// Invariants: the requests that wait are granted in the order in which they were first asked
// for, and nothing that comes later is granted before them; a new program is not begun while
// one waits, but for the one that is due; each ticket is granted once.
func (o *Owner) askWithTicket(tenant *owned, ask Request, nowMs int64) Decision {
	if known := tenant.issued[ask.Ticket]; known != nil {
		known.taken = true
		return tenant.decision(Granted, known.atMs)
	}
	position := slices.IndexFunc(tenant.queue, func(item *waiter) bool { return item.ask.Ticket == ask.Ticket })
	if position >= 0 {
		return o.askAgain(tenant, position, ask, nowMs)
	}
	if decision, begins := o.begins(tenant, ask, nowMs); !begins {
		return decision
	}
	waiting := &waiter{ask: ask, askedMs: nowMs - ask.WaitedMs, usefulMs: nowMs + ask.MaxWaitMs, heardMs: nowMs}
	position, _ = slices.BinarySearchFunc(tenant.queue, waiting, func(a, b *waiter) int {
		// Behind those of the same time.
		if a.askedMs <= b.askedMs {
			return -1
		}
		return 1
	})
	if position == 0 && tenant.used() < tenant.most() {
		if len(tenant.available) == 0 {
			return tenant.decision(ReservationNeeded, 0)
		}
		o.grantTo(tenant, waiting, nowMs).taken = true
		return tenant.decision(Granted, nowMs)
	}
	if decision := tenant.expected(position, waiting, nowMs); decision.Verdict == Denied {
		return decision
	}
	tenant.queue = slices.Insert(tenant.queue, position, waiting)
	o.queued[ask.Tenant] = tenant
	return tenant.expected(position, waiting, nowMs)
}

// askAgain decides on a request that has a place in the queue.
func (o *Owner) askAgain(tenant *owned, position int, ask Request, nowMs int64) Decision {
	waiting := tenant.queue[position]
	waiting.heardMs, waiting.usefulMs = nowMs, nowMs+ask.MaxWaitMs
	decision := tenant.expected(position, waiting, nowMs)
	if decision.Verdict == Denied {
		tenant.queue = slices.Delete(tenant.queue, position, position+1)
	}
	return decision
}

// begins reports whether a request is one of a program under way, or of a new one that may
// begin; else how it is answered.
func (o *Owner) begins(tenant *owned, ask Request, nowMs int64) (Decision, bool) {
	if ask.Program == "" {
		if len(tenant.queue) == 0 && tenant.used() < tenant.allowed() {
			return Decision{}, true
		}
		return tenant.denied(tenant.comeBackMs(tenant.allowed(), nowMs), nowMs), false
	}
	if ask.ContinuesProgram || tenant.begun.IsInProgress(ask.Program) {
		return Decision{}, true
	}
	allowed := tenant.allowed()
	// What programs under way will ask for may fill what they may use; a new one's own first
	// request is held to the limit.
	fit := tenant.begun.DecideAdmission(ask.Kind, nowMs, tenant.most(), o.unheard(tenant, nowMs), tenant.countedAt)
	// One is due after a window without any, however much those under way ask for.
	due := nowMs-max(tenant.begun.LastStartMs(), tenant.dueMs) >= o.windowMs
	if due {
		tenant.dueMs = nowMs
		return Decision{}, true
	}
	if fit.Admitted && len(tenant.queue) == 0 && tenant.used() < allowed {
		return Decision{}, true
	}
	decision := tenant.denied(tenant.startAtMs(fit, nowMs), nowMs)
	decision.ProgramAdmission = &fit
	return decision, false
}

// unheard is the demand within a window of programs that an owner may not have heard of yet:
// what its predecessors granted in the window before its term, as far as that has not left
// the window.
func (o *Owner) unheard(tenant *owned, nowMs int64) float64 {
	left := float64(o.windowMs-(nowMs-o.beganMs)) / float64(o.windowMs)
	if left <= 0 {
		return 0
	}
	return float64(tenant.inherited.sum) * left
}

// grantTo grants a request; there must be room and something available.
func (o *Owner) grantTo(tenant *owned, waiting *waiter, nowMs int64) *issue {
	ask := waiting.ask
	tenant.grant(ask.Program, nowMs)
	issued := &issue{program: ask.Program, atMs: nowMs}
	tenant.issued[ask.Ticket] = issued
	if ask.Program != "" {
		tenant.begun.RecordGrant(ask.Program, ask.Kind, waiting.askedMs, nowMs)
	}
	return issued
}

// GrantQueued grants what there is room for to the requests of a tenant that wait, and returns
// their tickets; short says that more has to be reserved first.
func (o *Owner) GrantQueued(name string, nowMs int64) (tickets []string, short bool) {
	tenant := o.queued[name]
	if tenant == nil {
		return nil, false
	}
	tenant.expire(nowMs)
	tenant.takeBackUnfetched(nowMs)
	tenant.queue = slices.DeleteFunc(tenant.queue, func(item *waiter) bool {
		return nowMs-item.heardMs > placeKeptMs || nowMs > item.usefulMs
	})
	most := tenant.most()
	for len(tenant.queue) > 0 && tenant.used() < most {
		if len(tenant.available) == 0 {
			return tickets, true
		}
		o.grantTo(tenant, tenant.queue[0], nowMs)
		ticket := tenant.queue[0].ask.Ticket
		tickets = append(tickets, ticket)
		tenant.unfetched = append(tenant.unfetched, ticket)
		tenant.queue = tenant.queue[1:]
	}
	if len(tenant.queue)+len(tenant.unfetched) == 0 {
		delete(o.queued, name)
	}
	return tickets, false
}

// QueuedTenants returns the tenants that Resume is to be called for.
func (o *Owner) QueuedTenants() []string {
	names := make([]string, 0, len(o.queued))
	for name := range o.queued {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Cancel takes a ticket out of the queue, or takes its grant back: whoever asked for it says
// that it does not wait any more and that nothing runs by it.
func (o *Owner) Cancel(name, ticket string) {
	tenant := o.tenants[name]
	if tenant == nil {
		return
	}
	tenant.queue = slices.DeleteFunc(tenant.queue, func(item *waiter) bool { return item.ask.Ticket == ticket })
	if known := tenant.issued[ticket]; known != nil {
		tenant.giveBack(ticket, known)
	}
}

// RecordNotRun notes that a granted request of a program was run by no engine.
func (o *Owner) RecordNotRun(name, program string) {
	if tenant := o.tenants[name]; tenant != nil {
		tenant.begun.UndoGrant(program)
	}
}

// giveBack takes back a grant by which nothing runs.
func (t *owned) giveBack(ticket string, known *issue) {
	t.granted.remove(known.atMs)
	t.begun.UndoGrant(known.program)
	delete(t.issued, ticket)
}

// takeBackUnfetched takes back the grants that nobody has asked for again.
func (t *owned) takeBackUnfetched(nowMs int64) {
	t.unfetched = slices.DeleteFunc(t.unfetched, func(ticket string) bool {
		known := t.issued[ticket]
		if known == nil || known.taken {
			return true
		}
		if nowMs-known.atMs <= placeKeptMs {
			return false
		}
		t.giveBack(ticket, known)
		return true
	})
}

// sweepTickets forgets old grants.
func (t *owned) sweepTickets(nowMs int64) {
	for ticket, known := range t.issued {
		if nowMs-known.atMs > issueKeptMs {
			delete(t.issued, ticket)
		}
	}
}

// allowed is what the limit allows in a window, most what programs under way may fill it up to.
func (t *owned) allowed() int64 { return t.limit.AllowedRequests(t.granted.lengthMs) }

func (t *owned) most() int64 { return t.allowed() + t.tolerance.beyond(t.allowed()) }

// expected says when a request at a position in the queue gets its grant, or denies it where
// that is too late for its caller.
func (t *owned) expected(position int, waiting *waiter, nowMs int64) Decision {
	atMs := t.placeAtMs(int64(position), nowMs)
	if atMs > waiting.usefulMs {
		return t.denied(atMs, nowMs)
	}
	decision := t.decision(Waiting, 0)
	decision.QueuePosition = QueuePosition{Ahead: position, ExpectedWaitMs: atMs - nowMs}
	return decision
}

// placeAtMs returns when there is room for a request with so many before it: those that fill
// the window leave it one after the other, then those that were let in for them.
func (t *owned) placeAtMs(ahead, nowMs int64) int64 {
	most := t.most()
	if most <= 0 {
		return math.MaxInt64
	}
	return t.roomAtMs(most-ahead%most, nowMs) + ahead/most*t.granted.lengthMs
}

func (t *owned) decision(verdict Verdict, grantedMs int64) Decision {
	return Decision{Verdict: verdict, GrantedMs: grantedMs, Used: t.used(), Allowed: t.allowed()}
}

// denied answers a request that is to come back at a time.
func (t *owned) denied(comeBackMs, nowMs int64) Decision {
	decision := t.decision(Denied, 0)
	decision.RetryAfterMs = min(max(comeBackMs-nowMs, leastRetryMs), t.granted.lengthMs)
	return decision
}

// startAtMs returns when a new program that was denied is to come back: those denied together
// one after the other, at the rate at which programs find room.
func (t *owned) startAtMs(fit admission.AdmissionDecision, nowMs int64) int64 {
	next := max(t.lastStartMs, nowMs) + max(fit.AdmissionIntervalMs, 1)
	t.lastStartMs = min(next, nowMs+t.granted.lengthMs)
	return t.lastStartMs
}

// countedAt returns how many of the requests granted so far will still count at a time.
func (t *owned) countedAt(atMs int64) int64 {
	count := int64(0)
	for _, counted := range []*window{&t.granted, &t.inherited} {
		for _, item := range counted.grains {
			if counted.leavesMs(item) > atMs {
				count += item.count
			}
		}
	}
	return count
}
