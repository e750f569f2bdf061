package ledger

import (
	"slices"
	"time"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/replication"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// timeRecordIntervalMs is the interval at which the time is written to the log while requests
// wait or are denied: a tenth of a window of 5 s.
const timeRecordIntervalMs = 500

// replyMarginMs is the time before the requester's timeout at which a queued request gets the reply
// that it is still queued: two ticks plus the network delay.
const replyMarginMs = 150

// quotaOwner grants the requests of one group's tenants during one term in which this host leads
// the group.
type quotaOwner struct {
	term   uint64
	limits *quota.Owner
	// lastProposedMs is the time of the last reservation or time record that was proposed.
	lastProposedMs int64
	// awaitingReservation holds the requests of each tenant that wait for a reservation, and
	// reserving the tenants with a reservation in progress.
	awaitingReservation map[string][]pendingQuotaRequest
	reserving           map[string]bool
	// queued holds the unanswered requests, by ticket, that wait for headroom in their tenant's
	// window.
	queued map[string]pendingQuotaRequest
}

// pendingQuotaRequest is an unanswered quota request. It waits until deadlineMs, when the requester
// repeats it, or replyMarginMs earlier while it is queued.
type pendingQuotaRequest struct {
	id         RequestID
	request    quota.Request
	deadlineMs int64
}

// handleQuotaRequest handles a returned grant, a cancellation, or a request for a grant, which is
// decided immediately or after a reservation.
func (c *Core) handleQuotaRequest(id RequestID, group *replication.Group, request *protocol.TurnRequest) {
	owner, failure := c.quotaOwnerFor(group)
	if failure != nil {
		c.transport.Reply(id, &protocol.TurnReply{Error: failure})
		return
	}
	quotaRequest := *request.Quota
	if quotaRequest.ReturnedGrant != nil {
		if quotaRequest.ReturnedGrant.Term == owner.term {
			owner.limits.ReturnGrant(quotaRequest.Tenant, quotaRequest.ReturnedGrant.AtMs)
			owner.limits.RecordNotRun(quotaRequest.Tenant, quotaRequest.Program)
		}
		c.transport.Reply(id, &protocol.TurnReply{})
		return
	}
	if quotaRequest.Cancelled {
		owner.limits.Cancel(quotaRequest.Tenant, quotaRequest.Ticket)
		c.transport.Reply(id, &protocol.TurnReply{})
		return
	}
	pending := pendingQuotaRequest{id: id, request: quotaRequest, deadlineMs: c.nowMs + request.TimeoutMs}
	if waiting := owner.awaitingReservation[quotaRequest.Tenant]; len(waiting) > 0 {
		owner.awaitingReservation[quotaRequest.Tenant] = append(waiting, pending)
		return
	}
	if !c.decideQuota(group, owner, pending) {
		owner.awaitingReservation[quotaRequest.Tenant] = []pendingQuotaRequest{pending}
		if !owner.reserving[quotaRequest.Tenant] {
			c.proposeReservation(group, owner, quotaRequest.Tenant)
		}
	}
}

// quotaOwnerFor returns the quota owner of a group in the current term and creates it if needed.
// Invariant: an owner is created only after this host has applied all entries of earlier terms, so
// that it accounts for all grants that its predecessors may have made.
func (c *Core) quotaOwnerFor(group *replication.Group) (*quotaOwner, *result.Error) {
	term := group.Node.Term()
	if existing := c.quotaOwners[group.ID]; existing != nil {
		if existing.term == term {
			return existing, nil
		}
		c.dropQuotaOwner(group.ID)
	}
	if group.Node.TermAt(group.Node.AppliedIndex()) != term {
		return nil, result.New(result.NoQuorum, "group %d: grants before term %d are not known yet", group.ID, term)
	}
	created := &quotaOwner{
		term: term, limits: quota.NewOwnerWithAdmission(group.StateMachine.(*stateMachine).quotas, c.nowMs, c.programKinds, c.options.QuotaTolerance),
		awaitingReservation: map[string][]pendingQuotaRequest{}, reserving: map[string]bool{}, queued: map[string]pendingQuotaRequest{},
	}
	c.quotaOwners[group.ID] = created
	return created, nil
}

// decideQuota grants, denies or queues a request. It returns false if a reservation is needed
// first.
func (c *Core) decideQuota(group *replication.Group, owner *quotaOwner, pending pendingQuotaRequest) bool {
	decision := owner.limits.RequestGrant(pending.request, c.nowMs)
	switch decision.Verdict {
	case quota.ReservationNeeded:
		return false
	case quota.Granted:
		c.grantedRequests.Add(1)
		c.transport.Reply(pending.id, &protocol.TurnReply{Grant: &quota.Grant{Term: owner.term, AtMs: decision.GrantedMs}})
	case quota.Waiting:
		c.recordTime(group, owner)
		c.queueQuotaRequest(owner, pending)
	case quota.Denied:
		c.deniedRequests.Add(1)
		c.recordTime(group, owner)
		c.transport.Reply(pending.id, &protocol.TurnReply{Error: quotaDenial(decision)})
	}
	return true
}

// quotaDenial returns the error for a denied request, with the counts that led to the denial.
func quotaDenial(decision quota.Decision) *result.Error {
	failure := result.New(result.TenantLimit, "%d requests in the window, limit %d", decision.Used, decision.Allowed)
	if programAdmission := decision.ProgramAdmission; programAdmission != nil {
		failure = result.New(result.TenantLimit, "new program: %d requests counted, %.1f expected from programs in progress, %.1f from the new program; limit %d",
			programAdmission.CountedRequests, programAdmission.ExpectedRequests, programAdmission.OwnRequests, decision.Allowed)
	}
	return failure.WithRetryAfter(time.Duration(decision.RetryAfterMs) * time.Millisecond)
}

// queueQuotaRequest holds a request that waits for headroom. An earlier request with the same
// ticket is answered: its requester no longer waits for it.
func (c *Core) queueQuotaRequest(owner *quotaOwner, pending pendingQuotaRequest) {
	if earlier, isQueued := owner.queued[pending.request.Ticket]; isQueued {
		c.transport.Reply(earlier.id, &protocol.TurnReply{QueuePosition: &quota.QueuePosition{}})
	}
	pending.deadlineMs -= replyMarginMs
	owner.queued[pending.request.Ticket] = pending
}

// tickQuotas grants queued requests as far as the limits have headroom, answers those that are about
// to time out, and removes the owners of terms that have ended.
func (c *Core) tickQuotas() {
	for id, owner := range c.quotaOwners {
		group := c.host.FindGroup(id)
		if group == nil || !group.IsLeader() || group.Node.Term() != owner.term {
			c.dropQuotaOwner(id)
			continue
		}
		for _, tenant := range owner.limits.QueuedTenants() {
			c.grantQueuedRequests(group, owner, tenant)
		}
		c.answerExpiringRequests(owner)
	}
}

// grantQueuedRequests grants a tenant's queued requests as far as its limit has headroom.
func (c *Core) grantQueuedRequests(group *replication.Group, owner *quotaOwner, tenant string) {
	tickets, reservationNeeded := owner.limits.GrantQueued(tenant, c.nowMs)
	for _, ticket := range tickets {
		if pending, known := owner.queued[ticket]; known {
			delete(owner.queued, ticket)
			c.decideQuota(group, owner, pending)
		}
	}
	if reservationNeeded && !owner.reserving[tenant] {
		c.proposeReservation(group, owner, tenant)
	}
}

// answerExpiringRequests answers the queued requests whose requesters are about to time out. The reply
// says that the request is still queued.
func (c *Core) answerExpiringRequests(owner *quotaOwner) {
	for ticket, pending := range owner.queued {
		if c.nowMs < pending.deadlineMs {
			continue
		}
		delete(owner.queued, ticket)
		c.transport.Reply(pending.id, &protocol.TurnReply{QueuePosition: &quota.QueuePosition{}})
	}
}

// recordTime writes the current time to the log while requests wait or are denied and nothing is
// reserved. Without it a successor would count old grants as recent ones, and a tenant at its limit
// would get no grants as long as leaders change.
func (c *Core) recordTime(group *replication.Group, owner *quotaOwner) {
	if c.nowMs-owner.lastProposedMs < timeRecordIntervalMs {
		return
	}
	owner.lastProposedMs = c.nowMs
	timeRecord := quota.Reservation{Term: owner.term, NowMs: c.nowMs}
	// A lost time record needs no retry, since the next one replaces it.
	_ = c.host.Propose(group, &program.TurnCommand{NowMs: c.nowMs, Quota: &timeRecord}, func(any) {})
}

// proposeReservation writes to the log how many requests of a tenant the owner may grant next.
func (c *Core) proposeReservation(group *replication.Group, owner *quotaOwner, tenant string) {
	reservation := owner.limits.NextReservation(tenant, len(owner.awaitingReservation[tenant]), c.nowMs)
	reservation.Term = owner.term
	owner.lastProposedMs = c.nowMs
	owner.reserving[tenant] = true
	command := program.TurnCommand{NowMs: c.nowMs, Quota: &reservation}
	failure := c.host.Propose(group, &command, func(applied any) {
		if failure, failed := applied.(*result.Error); failed {
			c.failPendingRequests(owner, tenant, failure)
			return
		}
		delete(owner.reserving, tenant)
		owner.limits.AddReservation(reservation)
		c.grantQueuedRequests(group, owner, tenant)
		c.decidePendingRequests(group, owner, tenant)
	})
	if failure != nil {
		c.failPendingRequests(owner, tenant, failure)
	}
}

// decidePendingRequests decides the requests of a tenant that waited for a reservation.
func (c *Core) decidePendingRequests(group *replication.Group, owner *quotaOwner, tenant string) {
	// Invariant: a request whose requester has timed out gets no grant, since the requester
	// repeats it.
	waiting := slices.DeleteFunc(owner.awaitingReservation[tenant], func(item pendingQuotaRequest) bool {
		if item.deadlineMs >= c.nowMs {
			return false
		}
		c.transport.Reply(item.id, &protocol.TurnReply{Error: result.New(result.NoQuorum, "the reservation took too long")})
		return true
	})
	for len(waiting) > 0 && c.decideQuota(group, owner, waiting[0]) {
		waiting = waiting[1:]
	}
	if len(waiting) == 0 {
		delete(owner.awaitingReservation, tenant)
		return
	}
	owner.awaitingReservation[tenant] = waiting
	if !owner.reserving[tenant] {
		c.proposeReservation(group, owner, tenant)
	}
}

// failPendingRequests fails the requests whose reservation could not be written.
func (c *Core) failPendingRequests(owner *quotaOwner, tenant string, failure *result.Error) {
	for _, waiting := range owner.awaitingReservation[tenant] {
		c.transport.Reply(waiting.id, &protocol.TurnReply{Error: failure})
	}
	delete(owner.awaitingReservation, tenant)
	delete(owner.reserving, tenant)
}

// dropQuotaOwner removes the owner of a term that has ended. The requesters in its queue repeat
// their requests to the next owner, where their waiting time keeps them in order. Requests that
// wait for a reservation are answered when the replication host reports the outcome of the
// reservation's proposal.
func (c *Core) dropQuotaOwner(id storage.GroupID) {
	for _, pending := range c.quotaOwners[id].queued {
		c.transport.Reply(pending.id, &protocol.TurnReply{Error: result.New(result.NotLeader, "group %d has another leader", uint32(id))})
	}
	delete(c.quotaOwners, id)
}

// GrantedRequestCount returns the number of requests granted since the start. It is safe for
// concurrent use.
func (c *Core) GrantedRequestCount() int64 { return c.grantedRequests.Load() }

// DeniedRequestCount returns the number of requests denied since the start. It is safe for
// concurrent use.
func (c *Core) DeniedRequestCount() int64 { return c.deniedRequests.Load() }

// TenantUsage returns the usage of the tenants whose limits are enforced here.
func (c *Core) TenantUsage() []quota.TenantUsage {
	var views []quota.TenantUsage
	for _, owner := range c.quotaOwners {
		views = append(views, owner.limits.Usage(c.nowMs)...)
	}
	return views
}

// WaitingRequestCount returns the number of requests that wait for headroom in their tenant's
// window.
func (c *Core) WaitingRequestCount() int {
	waiting := 0
	for _, owner := range c.quotaOwners {
		waiting += len(owner.queued)
	}
	return waiting
}
