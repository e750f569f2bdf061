package quota

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/admission"
)

// Verdict is an owner's answer.
type Verdict uint8

// The verdicts.
const (
	// Granted lets the request run.
	Granted Verdict = iota
	// Denied says that the tenant has used its limit up.
	Denied
	// ReservationNeeded says that more has to be reserved before the owner can decide.
	ReservationNeeded
	// Waiting says that the request has a place in its tenant's queue.
	Waiting
)

// Decision is an owner's answer with what belongs to it.
type Decision struct {
	Verdict Verdict
	// RetryAfterMs is, with Denied, when the tenant has room again.
	RetryAfterMs int64
	// Used and Allowed are what counts in the window and what the limit allows there.
	Used    int64
	Allowed int64
	// GrantedMs is, with Granted, when that was.
	GrantedMs int64
	// QueuePosition is, with Waiting, where the request stands.
	QueuePosition QueuePosition
	// ProgramAdmission is, where a new program was denied, what it was held against.
	ProgramAdmission *admission.AdmissionDecision
}

const (
	// reserveShare-th of the limit is reserved at the least, so that a tenant with few
	// requests needs no log entry for each.
	reserveShare = 32
	// programIdleMs is how long a program without requests is taken for one that goes on:
	// above the longest pause for a tool.
	programIdleMs = 30_000
	// leastStartShare is the part of the limit that new programs may fill at the least,
	// startShareStep by how much that part goes down with a denied request of a program under
	// way and up again with a denied new one, once startShareCalmMs have passed since the last
	// change downwards, or startShareRaiseMs since the last one up. With a tenant's limit cut to
	// a third of what it sends the worst-served kind of its programs earned 0.994 of its credit,
	// against 0.977 with new programs as they come; a fixed part of 0.8 earned as much and
	// denied 184 requests in place of 139 (docs/design/0007-tenants.md, one play each).
	leastStartShare   = 0.5
	startShareStep    = 0.01
	startShareCalmMs  = 300
	startShareRaiseMs = 100
	// sweepEveryMs is how often idle programs and tenants are forgotten.
	sweepEveryMs = 5000
)

// Owner grants the requests of the tenants that one ledger group holds, for as long as its
// process leads the group in one term.
//
// Invariant: what all owners together have granted of a tenant in any window is within its
// limit. An owner grants only from reservations that are committed, each within
// ReservationMs of its proposal; its successor holds them all and counts them as granted at
// the last moment possible.
type Owner struct {
	windowMs int64
	beganMs  int64
	tenants  map[string]*owned
	sweptMs  int64
	kinds    *admission.ProgramKinds
	// tolerance is what programs under way may use beyond a limit.
	tolerance Tolerance
	// queued are the tenants with requests that wait for room.
	queued map[string]*owned
}

// owned is one tenant.
type owned struct {
	limit     Limit
	tolerance Tolerance
	// granted is what this owner has granted, inherited what its predecessors may have.
	granted   window
	inherited window
	// recent is what was granted within the last ReservationMs: what the next one is
	// expected to need.
	recent window
	// available may be granted, oldest first.
	available []expiring
	// programs are those of which a request was granted, with the time of the last one.
	programs map[string]int64
	// begun are the same programs with what they will ask for, as far as their gateways tell
	// the kind.
	begun *admission.TenantPrograms
	// queue are the requests of programs under way that wait for room, first asked first.
	queue []*waiter
	// issued are the grants to tickets lately.
	issued   map[string]*issue
	pressure pressure
	// unfetched are the tickets that were granted while their gateways were to ask again.
	unfetched []string
	// startShare is the part of the limit that new programs may fill, and mayRaiseMs when it
	// may go up again.
	startShare float64
	mayRaiseMs int64
	// lastReturnMs is when the request that was denied last was told to come back.
	lastReturnMs int64
	// lastStartMs is when the new program that was denied last was told to come back.
	lastStartMs int64
	// dueMs is when a new program was let in last because none had begun for a window.
	dueMs int64
}

// expiring is what is left of a reservation.
type expiring struct {
	untilMs int64
	count   int64
}

// NewOwner returns the owner that follows on a state. The state must hold every reservation
// that was committed before this owner's term.
func NewOwner(state *State, nowMs int64) *Owner {
	return NewOwnerWithAdmission(state, nowMs, admission.NewProgramKinds(), Tolerance{})
}

// NewOwnerWithAdmission is NewOwner with what is known of the kinds of programs, and with what programs
// under way may use beyond the limit.
func NewOwnerWithAdmission(state *State, nowMs int64, kinds *admission.ProgramKinds, tolerance Tolerance) *Owner {
	owner := &Owner{
		windowMs: state.windowMs, beganMs: nowMs, tenants: map[string]*owned{}, sweptMs: nowMs, kinds: kinds, tolerance: tolerance, queued: map[string]*owned{},
	}
	for name, known := range state.tenants {
		tenant := owner.tenant(name)
		tenant.limit = known.Limit
		for _, item := range known.Reserved {
			// A predecessor that is cut off may grant from its last reservation until the
			// end of it.
			age := state.clockMs - item.AtMs
			tenant.inherited.add(nowMs+ReservationLifetimeMs-age, item.Count)
		}
	}
	return owner
}

func (o *Owner) tenant(name string) *owned {
	known := o.tenants[name]
	if known == nil {
		known = &owned{
			tolerance: o.tolerance, granted: window{lengthMs: o.windowMs}, inherited: window{lengthMs: o.windowMs},
			recent: window{lengthMs: ReservationLifetimeMs}, programs: map[string]int64{}, startShare: 1,
			begun: admission.NewTenantPrograms(o.kinds, o.windowMs), issued: map[string]*issue{},
		}
		o.tenants[name] = known
	}
	return known
}

// RequestGrant decides on one request.
func (o *Owner) RequestGrant(ask Request, nowMs int64) Decision {
	o.sweep(nowMs)
	tenant := o.tenant(ask.Tenant)
	if ask.Limit.Generation >= tenant.limit.Generation {
		tenant.limit = ask.Limit
	}
	tenant.expire(nowMs)
	newProgram := ask.Program != "" && !ask.ContinuesProgram && !tenant.begun.IsInProgress(ask.Program)
	decision := o.decide(tenant, ask, nowMs)
	tenant.pressure.note(decision, newProgram, nowMs)
	return decision
}

// decide is Ask for a tenant that is up to date.
func (o *Owner) decide(tenant *owned, ask Request, nowMs int64) Decision {
	if ask.Ticket != "" {
		return o.askWithTicket(tenant, ask, nowMs)
	}
	decision := Decision{Used: tenant.used(), Allowed: tenant.limit.AllowedRequests(o.windowMs)}
	if len(tenant.queue) > 0 {
		// What can't wait doesn't pass what waits.
		decision.Verdict = Denied
		decision.RetryAfterMs = tenant.comeBackMs(decision.Allowed, nowMs) - nowMs
		return decision
	}
	if decision.Used >= tenant.room(ask.Program, decision.Allowed) {
		decision.Verdict = Denied
		decision.RetryAfterMs = tenant.comeBackMs(decision.Allowed, nowMs) - nowMs
		tenant.adaptStartShare(ask.Program, nowMs)
		return decision
	}
	if len(tenant.available) == 0 {
		decision.Verdict = ReservationNeeded
		return decision
	}
	tenant.grant(ask.Program, nowMs)
	if ask.Program != "" {
		tenant.begun.RecordGrant(ask.Program, ask.Kind, nowMs, nowMs)
	}
	decision.GrantedMs = nowMs
	return decision
}

// ReturnGrant takes back a request that was granted at a time and did not run.
func (o *Owner) ReturnGrant(name string, grantedMs int64) {
	if tenant := o.tenants[name]; tenant != nil {
		tenant.granted.remove(grantedMs)
	}
}

// NextReservation returns how much to reserve of a tenant for which so many requests wait.
func (o *Owner) NextReservation(name string, waiting int, nowMs int64) Reservation {
	tenant := o.tenant(name)
	tenant.expire(nowMs)
	allowed := tenant.limit.AllowedRequests(o.windowMs)
	wanted := max(int64(waiting+len(tenant.queue)), tenant.recent.sum, allowed/reserveShare, 1)
	return Reservation{Tenant: name, Count: min(wanted, max(tenant.most()-tenant.used(), 1)), Limit: tenant.limit, NowMs: nowMs}
}

// AddReservation takes a reservation of this owner that is committed.
func (o *Owner) AddReservation(reservation Reservation) {
	tenant := o.tenant(reservation.Tenant)
	tenant.available = append(tenant.available, expiring{untilMs: reservation.NowMs + ReservationLifetimeMs, count: reservation.Count})
}

// sweep forgets idle programs and the tenants that nothing is known of any more.
func (o *Owner) sweep(nowMs int64) {
	if nowMs-o.sweptMs < sweepEveryMs {
		return
	}
	o.sweptMs = nowMs
	for name, tenant := range o.tenants {
		tenant.expire(nowMs)
		for program, lastMs := range tenant.programs {
			if nowMs-lastMs > programIdleMs {
				delete(tenant.programs, program)
			}
		}
		tenant.begun.RemoveIdle(nowMs)
		tenant.sweepTickets(nowMs)
		if tenant.used() == 0 && len(tenant.programs) == 0 && tenant.begun.Len() == 0 && len(tenant.available) == 0 && len(tenant.queue) == 0 {
			delete(o.tenants, name)
		}
	}
}

func (t *owned) used() int64 { return t.granted.sum + t.inherited.sum }

func (t *owned) expire(nowMs int64) {
	t.granted.expire(nowMs)
	t.inherited.expire(nowMs)
	t.recent.expire(nowMs)
	t.available = slices.DeleteFunc(t.available, func(item expiring) bool { return item.untilMs <= nowMs || item.count == 0 })
}

// underWay reports whether the owner has granted a request of the program lately.
func (t *owned) underWay(program string) bool {
	_, known := t.programs[program]
	return known
}

// room returns up to where a request of a program may fill the window. At its limit a
// tenant's new programs leave room for those under way: a program that is begun and can't go
// on is work in vain, for its tenant and for the engines.
func (t *owned) room(program string, allowed int64) int64 {
	if program == "" || t.underWay(program) {
		return allowed
	}
	return int64(float64(allowed) * t.startShare)
}

// adaptStartShare learns from a denial how much room the programs under way need.
func (t *owned) adaptStartShare(program string, nowMs int64) {
	switch {
	case t.underWay(program):
		t.startShare = max(t.startShare-startShareStep, leastStartShare)
		t.mayRaiseMs = nowMs + startShareCalmMs
	case nowMs > t.mayRaiseMs:
		t.startShare = min(t.startShare+startShareStep, 1)
		t.mayRaiseMs = nowMs + startShareRaiseMs
	}
}

func (t *owned) grant(program string, nowMs int64) {
	t.granted.add(nowMs, 1)
	t.recent.add(nowMs, 1)
	t.available[0].count--
	if t.available[0].count == 0 {
		t.available = t.available[1:]
	}
	if program != "" {
		t.programs[program] = nowMs
	}
}

// comeBackMs returns when a denied request is to come back: once there is room, and one after
// the other at the rate at which room comes, so that those denied together don't return
// together.
func (t *owned) comeBackMs(allowed, nowMs int64) int64 {
	const millisecondsPerSecond = 1000
	next := t.lastReturnMs + int64(millisecondsPerSecond/max(t.limit.RatePerSecond, 1))
	room := t.roomAtMs(allowed, nowMs)
	t.lastReturnMs = min(max(room, next), room+t.granted.lengthMs)
	return t.lastReturnMs
}

// roomAtMs returns when less than allowed counts in the window.
func (t *owned) roomAtMs(allowed, nowMs int64) int64 {
	leaving := append(slices.Clone(t.granted.grains), t.inherited.grains...)
	slices.SortFunc(leaving, func(a, b grain) int { return int(a.atMs - b.atMs) })
	used := t.used()
	for _, item := range leaving {
		used -= item.count
		if used < allowed {
			return max(t.granted.leavesMs(item), nowMs+1)
		}
	}
	return nowMs + t.granted.lengthMs
}
