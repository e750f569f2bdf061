package quota

import (
	"math"
	"slices"

	"github.com/ochrebay/ochrebay/internal/admission"
)

const (
	// queueEntryTimeoutMs is how long a request stays in the queue while its gateway does not
	// repeat it. Gateways repeat a queued request within 0.45 s.
	queueEntryTimeoutMs = 1000
	// ticketGrantRetentionMs is how long a grant is kept by its ticket, so that a repeated
	// request whose first answer was lost gets the same answer.
	ticketGrantRetentionMs = 3000
	// minRetryAfterMs is the minimum time until a denied request may be retried.
	minRetryAfterMs = 1
)

// queuedRequest is a request of a program in progress that waits for headroom.
type queuedRequest struct {
	request Request
	// firstRequestedMs and lastRequestedMs are the times of the first and the last request for the
	// grant. usefulUntilMs is the latest time at which a grant is of use to the caller.
	firstRequestedMs int64
	usefulUntilMs    int64
	lastRequestedMs  int64
}

// ticketGrant is a grant that was made to a ticket.
type ticketGrant struct {
	program   string
	grantedMs int64
	// delivered means that the grant has been sent to the gateway, so that only the gateway may
	// return it.
	delivered bool
}

// decideWithTicket decides on a request whose gateway can wait.
//
// Invariant: queued requests are granted in the order in which they were first requested, and no
// later request is granted before them. While a request is queued, no new program is admitted
// except the one forced start per window. A ticket whose grant is kept is not granted again.
func (o *Owner) decideWithTicket(tenant *tenantQuota, request Request, nowMs int64) Decision {
	if existing := tenant.grantsByTicket[request.Ticket]; existing != nil {
		existing.delivered = true
		return tenant.newDecision(Granted, existing.grantedMs)
	}
	position := slices.IndexFunc(tenant.queue, func(item *queuedRequest) bool { return item.request.Ticket == request.Ticket })
	if position >= 0 {
		return o.decideQueued(tenant, position, request, nowMs)
	}
	if decision, admitted := o.admit(tenant, request, nowMs); !admitted {
		return decision
	}
	queued := &queuedRequest{request: request, firstRequestedMs: nowMs - request.WaitedMs, usefulUntilMs: nowMs + request.MaxWaitMs, lastRequestedMs: nowMs}
	position, _ = slices.BinarySearchFunc(tenant.queue, queued, func(a, b *queuedRequest) int {
		// Insert after the requests of the same time.
		if a.firstRequestedMs <= b.firstRequestedMs {
			return -1
		}
		return 1
	})
	if position == 0 && tenant.used() < tenant.allowedInProgress() {
		if len(tenant.reservations) == 0 {
			return tenant.newDecision(ReservationNeeded, 0)
		}
		o.grantTicket(tenant, queued, nowMs).delivered = true
		return tenant.newDecision(Granted, nowMs)
	}
	if decision := tenant.queuedDecision(position, queued, nowMs); decision.Verdict == Denied {
		return decision
	}
	tenant.queue = slices.Insert(tenant.queue, position, queued)
	o.tenantsWithQueue[request.Tenant] = tenant
	return tenant.queuedDecision(position, queued, nowMs)
}

// decideQueued decides on a request that is in the queue already.
func (o *Owner) decideQueued(tenant *tenantQuota, position int, request Request, nowMs int64) Decision {
	queued := tenant.queue[position]
	queued.lastRequestedMs, queued.usefulUntilMs = nowMs, nowMs+request.MaxWaitMs
	decision := tenant.queuedDecision(position, queued, nowMs)
	if decision.Verdict == Denied {
		tenant.queue = slices.Delete(tenant.queue, position, position+1)
	}
	return decision
}

// admit reports whether the request may be granted or queued: it belongs to a program in progress
// or to a new program that may start, or it has no program and there is headroom without a queue.
// Otherwise the returned decision denies it.
func (o *Owner) admit(tenant *tenantQuota, request Request, nowMs int64) (Decision, bool) {
	if request.Program == "" {
		if len(tenant.queue) == 0 && tenant.used() < tenant.allowed() {
			return Decision{}, true
		}
		return tenant.newDenial(tenant.nextRetryAtMs(tenant.allowed(), nowMs), nowMs), false
	}
	if request.ContinuesProgram || tenant.programs.IsInProgress(request.Program) {
		return Decision{}, true
	}
	allowed := tenant.allowed()
	// The forecast requests of programs in progress may use the tolerance. The first request of a
	// new program must fit the limit itself.
	admissionDecision := tenant.programs.DecideAdmission(request.Kind, nowMs, tenant.allowedInProgress(), o.unobservedDemand(tenant, nowMs), tenant.countedRequestsAt)
	// A program may start if none has for a whole window, whatever the demand of the programs in
	// progress, so that new programs do not starve.
	forced := nowMs-max(tenant.programs.LastStartMs(), tenant.lastForcedStartMs) >= o.windowMs
	if forced {
		tenant.lastForcedStartMs = nowMs
		return Decision{}, true
	}
	if admissionDecision.Admitted && len(tenant.queue) == 0 && tenant.used() < allowed {
		return Decision{}, true
	}
	decision := tenant.newDenial(tenant.nextNewProgramRetryAtMs(admissionDecision, nowMs), nowMs)
	decision.ProgramAdmission = &admissionDecision
	return decision, false
}

// unobservedDemand estimates the demand, in requests per window, of programs in progress that this
// owner may not have seen yet. It scales the grants of the predecessors that still count by the
// remaining fraction of the first window of this owner's term.
func (o *Owner) unobservedDemand(tenant *tenantQuota, nowMs int64) float64 {
	remainingFraction := float64(o.windowMs-(nowMs-o.termStartMs)) / float64(o.windowMs)
	if remainingFraction <= 0 {
		return 0
	}
	return float64(tenant.inherited.sum) * remainingFraction
}

// grantTicket grants a request. The caller has checked that there is headroom and an open
// reservation.
func (o *Owner) grantTicket(tenant *tenantQuota, queued *queuedRequest, nowMs int64) *ticketGrant {
	request := queued.request
	tenant.grant(request.Program, nowMs)
	granted := &ticketGrant{program: request.Program, grantedMs: nowMs}
	tenant.grantsByTicket[request.Ticket] = granted
	if request.Program != "" {
		tenant.programs.RecordGrant(request.Program, request.Kind, queued.firstRequestedMs, nowMs)
	}
	return granted
}

// GrantQueued grants queued requests of a tenant as far as there is headroom, and returns their
// tickets. reservationNeeded means that another reservation must be committed first.
func (o *Owner) GrantQueued(name string, nowMs int64) (tickets []string, reservationNeeded bool) {
	tenant := o.tenantsWithQueue[name]
	if tenant == nil {
		return nil, false
	}
	tenant.expire(nowMs)
	tenant.revokeUndelivered(nowMs)
	tenant.queue = slices.DeleteFunc(tenant.queue, func(item *queuedRequest) bool {
		return nowMs-item.lastRequestedMs > queueEntryTimeoutMs || nowMs > item.usefulUntilMs
	})
	allowed := tenant.allowedInProgress()
	for len(tenant.queue) > 0 && tenant.used() < allowed {
		if len(tenant.reservations) == 0 {
			return tickets, true
		}
		o.grantTicket(tenant, tenant.queue[0], nowMs)
		ticket := tenant.queue[0].request.Ticket
		tickets = append(tickets, ticket)
		tenant.undelivered = append(tenant.undelivered, ticket)
		tenant.queue = tenant.queue[1:]
	}
	if len(tenant.queue)+len(tenant.undelivered) == 0 {
		delete(o.tenantsWithQueue, name)
	}
	return tickets, false
}

// QueuedTenants returns the tenants for which GrantQueued must be called.
func (o *Owner) QueuedTenants() []string {
	names := make([]string, 0, len(o.tenantsWithQueue))
	for name := range o.tenantsWithQueue {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Cancel removes a ticket from the queue or revokes its grant. The gateway cancels a ticket once
// it no longer waits for it and no request runs under it.
func (o *Owner) Cancel(name, ticket string) {
	tenant := o.tenants[name]
	if tenant == nil {
		return
	}
	tenant.queue = slices.DeleteFunc(tenant.queue, func(item *queuedRequest) bool { return item.request.Ticket == ticket })
	if granted := tenant.grantsByTicket[ticket]; granted != nil {
		tenant.revokeGrant(ticket, granted)
	}
}

// RecordNotRun records that no engine ran a granted request of the program.
func (o *Owner) RecordNotRun(name, program string) {
	if tenant := o.tenants[name]; tenant != nil {
		tenant.programs.UndoGrant(program)
	}
}

// revokeGrant revokes a grant under which no request runs.
func (t *tenantQuota) revokeGrant(ticket string, granted *ticketGrant) {
	t.granted.remove(granted.grantedMs)
	t.programs.UndoGrant(granted.program)
	delete(t.grantsByTicket, ticket)
}

// revokeUndelivered revokes the grants that no gateway has fetched within queueEntryTimeoutMs.
func (t *tenantQuota) revokeUndelivered(nowMs int64) {
	t.undelivered = slices.DeleteFunc(t.undelivered, func(ticket string) bool {
		granted := t.grantsByTicket[ticket]
		if granted == nil || granted.delivered {
			return true
		}
		if nowMs-granted.grantedMs <= queueEntryTimeoutMs {
			return false
		}
		t.revokeGrant(ticket, granted)
		return true
	})
}

// removeOldGrants removes the grants that are past their retention.
func (t *tenantQuota) removeOldGrants(nowMs int64) {
	for ticket, granted := range t.grantsByTicket {
		if nowMs-granted.grantedMs > ticketGrantRetentionMs {
			delete(t.grantsByTicket, ticket)
		}
	}
}

// allowed returns the limit of a window in requests, and allowedInProgress the limit for programs
// in progress, tolerance included.
func (t *tenantQuota) allowed() int64 { return t.limit.AllowedRequests(t.granted.lengthMs) }

func (t *tenantQuota) allowedInProgress() int64 {
	return t.allowed() + t.tolerance.extraRequests(t.allowed())
}

// queuedDecision returns the expected wait of a request at a position in the queue, or a denial
// if the grant would come too late for its caller.
func (t *tenantQuota) queuedDecision(position int, queued *queuedRequest, nowMs int64) Decision {
	atMs := t.expectedGrantAtMs(int64(position), nowMs)
	if atMs > queued.usefulUntilMs {
		return t.newDenial(atMs, nowMs)
	}
	decision := t.newDecision(Waiting, 0)
	decision.QueuePosition = QueuePosition{Ahead: position, ExpectedWaitMs: atMs - nowMs}
	return decision
}

// expectedGrantAtMs returns when there will be headroom for a request with the given number of
// requests ahead of it. Each request that leaves the window makes headroom for one queued request,
// which itself leaves one window later.
func (t *tenantQuota) expectedGrantAtMs(ahead, nowMs int64) int64 {
	allowed := t.allowedInProgress()
	if allowed <= 0 {
		return math.MaxInt64
	}
	return t.headroomAtMs(allowed-ahead%allowed, nowMs) + ahead/allowed*t.granted.lengthMs
}

func (t *tenantQuota) newDecision(verdict Verdict, grantedMs int64) Decision {
	return Decision{Verdict: verdict, GrantedMs: grantedMs, Used: t.used(), Allowed: t.allowed()}
}

// newDenial returns a denial that asks the caller to retry at retryAtMs.
func (t *tenantQuota) newDenial(retryAtMs, nowMs int64) Decision {
	decision := t.newDecision(Denied, 0)
	decision.RetryAfterMs = min(max(retryAtMs-nowMs, minRetryAfterMs), t.granted.lengthMs)
	return decision
}

// nextNewProgramRetryAtMs returns when a denied new program should be retried. Programs denied
// together retry one after another, at the rate at which programs can be admitted.
func (t *tenantQuota) nextNewProgramRetryAtMs(decision admission.Decision, nowMs int64) int64 {
	next := max(t.lastNewProgramRetryAtMs, nowMs) + max(decision.AdmissionIntervalMs, 1)
	t.lastNewProgramRetryAtMs = min(next, nowMs+t.granted.lengthMs)
	return t.lastNewProgramRetryAtMs
}

// countedRequestsAt returns how many of the requests granted so far still count at atMs.
func (t *tenantQuota) countedRequestsAt(atMs int64) int64 {
	count := int64(0)
	for _, counted := range []*window{&t.granted, &t.inherited} {
		for _, item := range counted.buckets {
			if counted.bucketExpiryMs(item) > atMs {
				count += item.count
			}
		}
	}
	return count
}
