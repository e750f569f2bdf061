package quota

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/admission"
)

// Verdict is the outcome of a request for a grant.
type Verdict uint8

// Verdicts of an owner.
const (
	// Granted allows the request to run.
	Granted Verdict = iota
	// Denied means that the request is not granted now and may be retried later.
	Denied
	// ReservationNeeded means that another reservation must be committed before the owner can
	// decide.
	ReservationNeeded
	// Waiting means that the request is in the tenant's wait queue.
	Waiting
)

// Decision is the answer to a request for a grant.
type Decision struct {
	Verdict Verdict
	// RetryAfterMs is set for Denied: the time until the tenant is expected to have headroom
	// again.
	RetryAfterMs int64
	// Used is the number of requests that count in the window, and Allowed is the limit of the
	// window.
	Used    int64
	Allowed int64
	// GrantedMs is set for Granted: the time of the grant.
	GrantedMs int64
	// QueuePosition is set for Waiting: the position in the wait queue.
	QueuePosition QueuePosition
	// ProgramAdmission is set if a new program was denied: the admission decision with the
	// figures behind it.
	ProgramAdmission *admission.Decision
}

const (
	// reservationDivisor sets the minimum size of a reservation, as limit / reservationDivisor,
	// so that a tenant with few requests does not need a log entry for each of them.
	reservationDivisor = 32
	// programIdleTimeoutMs is how long a program without requests still counts as in progress. It
	// is above the longest pause for a tool call.
	programIdleTimeoutMs = 30_000
	// minNewProgramShare is the minimum fraction of the limit that new programs may fill. The
	// fraction falls by newProgramShareStep with each denied request of a program in progress. It
	// rises by the same step with any other denied request, once shareRaiseDelayAfterCutMs have
	// passed since the last cut or shareRaiseIntervalMs since the last raise. With a tenant's
	// limit cut to a third of its load, its worst-served kind of program earned 0.994 of its
	// credit, against 0.977 without a bound on new programs. A fixed fraction of 0.8 earned as
	// much but denied 184 requests instead of 139 (docs/design/0007-tenants.md, one run each).
	minNewProgramShare        = 0.5
	newProgramShareStep       = 0.01
	shareRaiseDelayAfterCutMs = 300
	shareRaiseIntervalMs      = 100
	// sweepIntervalMs is the interval at which idle programs and tenants are removed.
	sweepIntervalMs = 5000
)

// Owner grants the requests of the tenants of one ledger group, for one term in which its process
// leads the group.
//
// Invariant: the grants of all owners together to one tenant stay within the tenant's limit, plus
// the usable tolerance for programs in progress, in any window. An owner grants only from
// committed reservations, and from each only within ReservationLifetimeMs of its proposal. Its
// successor holds all of these reservations and counts them as granted at the last possible
// moment.
type Owner struct {
	windowMs     int64
	termStartMs  int64
	tenants      map[string]*tenantQuota
	lastSweepMs  int64
	programKinds *admission.ProgramKinds
	// tolerance bounds by how much programs in progress may exceed a limit.
	tolerance Tolerance
	// tenantsWithQueue holds the tenants with requests that wait for headroom or grants that have
	// not been delivered.
	tenantsWithQueue map[string]*tenantQuota
}

// tenantQuota is the state of one tenant's limit.
type tenantQuota struct {
	limit     Limit
	tolerance Tolerance
	// granted counts the grants of this owner, and inherited the grants that its predecessors may
	// have made.
	granted   window
	inherited window
	// recentGrants counts the grants within the last ReservationLifetimeMs, as the forecast of
	// what the next reservation needs.
	recentGrants window
	// reservations holds the open reservations, oldest first.
	reservations []openReservation
	// lastGrantMs holds the time of the last grant by program.
	lastGrantMs map[string]int64
	// programs tracks the programs with a granted request. It forecasts the further requests of
	// those whose kind the gateways report.
	programs *admission.TenantPrograms
	// queue holds the requests of programs in progress that wait for headroom, in the order of
	// their first request.
	queue []*queuedRequest
	// grantsByTicket holds the recent grants by ticket.
	grantsByTicket map[string]*ticketGrant
	pressure       limitPressure
	// undelivered holds the tickets that were granted while queued and whose gateways have not
	// repeated their request since.
	undelivered []string
	// newProgramShare is the fraction of the limit that new programs may fill. It may rise again
	// after shareRaiseAfterMs.
	newProgramShare   float64
	shareRaiseAfterMs int64
	// lastRetryAtMs is the retry time that nextRetryAtMs returned last.
	lastRetryAtMs int64
	// lastNewProgramRetryAtMs is the retry time that nextNewProgramRetryAtMs returned last.
	lastNewProgramRetryAtMs int64
	// lastForcedStartMs is when a new program was last admitted because none had started for a
	// whole window.
	lastForcedStartMs int64
}

// openReservation is the ungranted remainder of a reservation.
type openReservation struct {
	expiresMs int64
	count     int64
}

// NewOwner returns the owner of the term that follows a replicated state. The state must hold
// every reservation that was committed before the owner's term.
func NewOwner(state *State, nowMs int64) *Owner {
	return NewOwnerWithAdmission(state, nowMs, admission.NewProgramKinds(), Tolerance{})
}

// NewOwnerWithAdmission is like NewOwner, with the learned kinds of programs and the tolerance by
// which programs in progress may exceed a limit.
func NewOwnerWithAdmission(state *State, nowMs int64, kinds *admission.ProgramKinds, tolerance Tolerance) *Owner {
	owner := &Owner{
		windowMs: state.windowMs, termStartMs: nowMs, tenants: map[string]*tenantQuota{}, lastSweepMs: nowMs, programKinds: kinds, tolerance: tolerance, tenantsWithQueue: map[string]*tenantQuota{},
	}
	for name, storedTenant := range state.tenants {
		tenant := owner.getOrCreateTenant(name)
		tenant.limit = storedTenant.Limit
		for _, item := range storedTenant.Reserved {
			// A predecessor that is cut off from the group may grant from its last reservation
			// until that reservation expires.
			age := state.clockMs - item.AtMs
			tenant.inherited.add(nowMs+ReservationLifetimeMs-age, item.Count)
		}
	}
	return owner
}

func (o *Owner) getOrCreateTenant(name string) *tenantQuota {
	tenant := o.tenants[name]
	if tenant == nil {
		tenant = &tenantQuota{
			tolerance: o.tolerance, granted: window{lengthMs: o.windowMs}, inherited: window{lengthMs: o.windowMs},
			recentGrants: window{lengthMs: ReservationLifetimeMs}, lastGrantMs: map[string]int64{}, newProgramShare: 1,
			programs: admission.NewTenantPrograms(o.programKinds, o.windowMs), grantsByTicket: map[string]*ticketGrant{},
		}
		o.tenants[name] = tenant
	}
	return tenant
}

// RequestGrant grants, queues or denies one request, or asks for another reservation.
func (o *Owner) RequestGrant(request Request, nowMs int64) Decision {
	o.removeIdle(nowMs)
	tenant := o.getOrCreateTenant(request.Tenant)
	if request.Limit.Generation >= tenant.limit.Generation {
		tenant.limit = request.Limit
	}
	tenant.expire(nowMs)
	newProgram := request.Program != "" && !request.ContinuesProgram && !tenant.programs.IsInProgress(request.Program)
	decision := o.decide(tenant, request, nowMs)
	tenant.pressure.record(decision, newProgram, nowMs)
	return decision
}

// decide implements RequestGrant for a tenant whose windows are up to date.
func (o *Owner) decide(tenant *tenantQuota, request Request, nowMs int64) Decision {
	if request.Ticket != "" {
		return o.decideWithTicket(tenant, request, nowMs)
	}
	decision := Decision{Used: tenant.used(), Allowed: tenant.limit.AllowedRequests(o.windowMs)}
	if len(tenant.queue) > 0 {
		// A request that can't wait must not overtake the queued requests.
		decision.Verdict = Denied
		decision.RetryAfterMs = tenant.nextRetryAtMs(decision.Allowed, nowMs) - nowMs
		return decision
	}
	if decision.Used >= tenant.usableLimit(request.Program, decision.Allowed) {
		decision.Verdict = Denied
		decision.RetryAfterMs = tenant.nextRetryAtMs(decision.Allowed, nowMs) - nowMs
		tenant.adaptNewProgramShare(request.Program, nowMs)
		return decision
	}
	if len(tenant.reservations) == 0 {
		decision.Verdict = ReservationNeeded
		return decision
	}
	tenant.grant(request.Program, nowMs)
	if request.Program != "" {
		tenant.programs.RecordGrant(request.Program, request.Kind, nowMs, nowMs)
	}
	decision.GrantedMs = nowMs
	return decision
}

// ReturnGrant returns a grant made at grantedMs whose request did not run.
func (o *Owner) ReturnGrant(name string, grantedMs int64) {
	if tenant := o.tenants[name]; tenant != nil {
		tenant.granted.remove(grantedMs)
	}
}

// NextReservation returns the reservation to propose next for a tenant, given the number of
// requests that wait for a reservation. The caller sets its Term.
func (o *Owner) NextReservation(name string, waitingRequests int, nowMs int64) Reservation {
	tenant := o.getOrCreateTenant(name)
	tenant.expire(nowMs)
	allowed := tenant.limit.AllowedRequests(o.windowMs)
	wanted := max(int64(waitingRequests+len(tenant.queue)), tenant.recentGrants.sum, allowed/reservationDivisor, 1)
	return Reservation{Tenant: name, Count: min(wanted, max(tenant.allowedInProgress()-tenant.used(), 1)), Limit: tenant.limit, NowMs: nowMs}
}

// AddReservation makes a committed reservation of this owner available for grants.
func (o *Owner) AddReservation(reservation Reservation) {
	tenant := o.getOrCreateTenant(reservation.Tenant)
	tenant.reservations = append(tenant.reservations, openReservation{expiresMs: reservation.NowMs + ReservationLifetimeMs, count: reservation.Count})
}

// removeIdle removes idle programs and the tenants that have no state left.
func (o *Owner) removeIdle(nowMs int64) {
	if nowMs-o.lastSweepMs < sweepIntervalMs {
		return
	}
	o.lastSweepMs = nowMs
	for name, tenant := range o.tenants {
		tenant.expire(nowMs)
		for program, lastMs := range tenant.lastGrantMs {
			if nowMs-lastMs > programIdleTimeoutMs {
				delete(tenant.lastGrantMs, program)
			}
		}
		tenant.programs.RemoveIdle(nowMs)
		tenant.removeOldGrants(nowMs)
		if tenant.used() == 0 && len(tenant.lastGrantMs) == 0 && tenant.programs.Len() == 0 && len(tenant.reservations) == 0 && len(tenant.queue) == 0 {
			delete(o.tenants, name)
		}
	}
}

func (t *tenantQuota) used() int64 { return t.granted.sum + t.inherited.sum }

func (t *tenantQuota) expire(nowMs int64) {
	t.granted.expire(nowMs)
	t.inherited.expire(nowMs)
	t.recentGrants.expire(nowMs)
	t.reservations = slices.DeleteFunc(t.reservations, func(item openReservation) bool { return item.expiresMs <= nowMs || item.count == 0 })
}

// isInProgress reports whether the owner has recently granted a request of the program.
func (t *tenantQuota) isInProgress(program string) bool {
	_, known := t.lastGrantMs[program]
	return known
}

// usableLimit returns the number of requests in the window below which a request of the program
// may be granted. At the limit, new programs leave headroom for the programs in progress: the work
// of a program that cannot continue is wasted, for its tenant and for the engines.
func (t *tenantQuota) usableLimit(program string, allowed int64) int64 {
	if program == "" || t.isInProgress(program) {
		return allowed
	}
	return int64(float64(allowed) * t.newProgramShare)
}

// adaptNewProgramShare adapts newProgramShare after a denied request of the program.
func (t *tenantQuota) adaptNewProgramShare(program string, nowMs int64) {
	switch {
	case t.isInProgress(program):
		t.newProgramShare = max(t.newProgramShare-newProgramShareStep, minNewProgramShare)
		t.shareRaiseAfterMs = nowMs + shareRaiseDelayAfterCutMs
	case nowMs > t.shareRaiseAfterMs:
		t.newProgramShare = min(t.newProgramShare+newProgramShareStep, 1)
		t.shareRaiseAfterMs = nowMs + shareRaiseIntervalMs
	}
}

func (t *tenantQuota) grant(program string, nowMs int64) {
	t.granted.add(nowMs, 1)
	t.recentGrants.add(nowMs, 1)
	t.reservations[0].count--
	if t.reservations[0].count == 0 {
		t.reservations = t.reservations[1:]
	}
	if program != "" {
		t.lastGrantMs[program] = nowMs
	}
}

// nextRetryAtMs returns when a denied request should be retried. Retries are scheduled after
// headroom is expected and are spaced at the limit's rate, so that requests denied together do
// not return together.
func (t *tenantQuota) nextRetryAtMs(allowed, nowMs int64) int64 {
	const millisecondsPerSecond = 1000
	spacedMs := t.lastRetryAtMs + int64(millisecondsPerSecond/max(t.limit.RatePerSecond, 1))
	headroomMs := t.headroomAtMs(allowed, nowMs)
	t.lastRetryAtMs = min(max(headroomMs, spacedMs), headroomMs+t.granted.lengthMs)
	return t.lastRetryAtMs
}

// headroomAtMs returns when fewer than allowed requests will count in the window.
func (t *tenantQuota) headroomAtMs(allowed, nowMs int64) int64 {
	buckets := append(slices.Clone(t.granted.buckets), t.inherited.buckets...)
	slices.SortFunc(buckets, func(a, b bucket) int { return int(a.startMs - b.startMs) })
	used := t.used()
	for _, item := range buckets {
		used -= item.count
		if used < allowed {
			return max(t.granted.bucketExpiryMs(item), nowMs+1)
		}
	}
	return nowMs + t.granted.lengthMs
}
