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

// markTimeEveryMs is how often time is written to the log while requests are denied: a
// tenth of a window of 5 s.
const markTimeEveryMs = 500

// answerMarginMs is how long before its asker gives a question up it is answered that the
// request still waits: two ticks and the way.
const answerMarginMs = 150

// quotaOwner grants the requests of one group's tenants while this host leads the group in
// one term.
type quotaOwner struct {
	term  uint64
	owner *quota.Owner
	// proposedMs is when something was last written to the log.
	proposedMs int64
	// waiting are the requests of each tenant that wait for a reservation, reserving the
	// tenants of which one is under way.
	waiting   map[string][]waitingAsk
	reserving map[string]bool
	// held are the questions, by ticket, whose requests wait for room.
	held map[string]waitingAsk
}

// waitingAsk waits until untilMs, when whoever asked asks again.
type waitingAsk struct {
	id      RequestID
	ask     quota.Request
	untilMs int64
}

// askQuota decides on a request of a tenant, at once or after a reservation.
func (c *Core) askQuota(id RequestID, group *replication.Group, request *protocol.TurnRequest) {
	owner, failure := c.quotaOwnerOf(group)
	if failure != nil {
		c.outlet.Reply(id, &protocol.TurnReply{Error: failure})
		return
	}
	ask := *request.Quota
	if ask.ReturnedGrant != nil {
		if ask.ReturnedGrant.Term == owner.term {
			owner.owner.ReturnGrant(ask.Tenant, ask.ReturnedGrant.AtMs)
			owner.owner.RecordNotRun(ask.Tenant, ask.Program)
		}
		c.outlet.Reply(id, &protocol.TurnReply{})
		return
	}
	if ask.Cancelled {
		owner.owner.Cancel(ask.Tenant, ask.Ticket)
		c.outlet.Reply(id, &protocol.TurnReply{})
		return
	}
	next := waitingAsk{id: id, ask: ask, untilMs: c.nowMs + request.TimeoutMs}
	if waiting := owner.waiting[ask.Tenant]; len(waiting) > 0 {
		owner.waiting[ask.Tenant] = append(waiting, next)
		return
	}
	if !c.decideQuota(group, owner, next) {
		owner.waiting[ask.Tenant] = []waitingAsk{next}
		if !owner.reserving[ask.Tenant] {
			c.reserveQuota(group, owner, ask.Tenant)
		}
	}
}

// quotaOwnerOf returns the owner of a group's tenants. Invariant: an owner begins only once
// this host has applied every entry of the terms before its own, so that it knows all that
// its predecessors may have granted.
func (c *Core) quotaOwnerOf(group *replication.Group) (*quotaOwner, *result.Error) {
	term := group.Node.Term()
	if known := c.quotas[group.ID]; known != nil {
		if known.term == term {
			return known, nil
		}
		c.dropQuota(group.ID)
	}
	if group.Node.TermAt(group.Node.AppliedIndex()) != term {
		return nil, result.New(result.NoQuorum, "group %d: what was granted before term %d is not known yet", group.ID, term)
	}
	created := &quotaOwner{
		term: term, owner: quota.NewOwnerWithAdmission(group.StateMachine.(*stateMachine).quotas, c.nowMs, c.kinds, c.options.QuotaTolerance),
		waiting: map[string][]waitingAsk{}, reserving: map[string]bool{}, held: map[string]waitingAsk{},
	}
	c.quotas[group.ID] = created
	return created, nil
}

// decideQuota answers a request, or holds it while it waits for room; false where more has to
// be reserved first.
func (c *Core) decideQuota(group *replication.Group, owner *quotaOwner, next waitingAsk) bool {
	decision := owner.owner.RequestGrant(next.ask, c.nowMs)
	switch decision.Verdict {
	case quota.ReservationNeeded:
		return false
	case quota.Granted:
		c.quotasGranted.Add(1)
		c.outlet.Reply(next.id, &protocol.TurnReply{Grant: &quota.Grant{Term: owner.term, AtMs: decision.GrantedMs}})
	case quota.Waiting:
		c.markTime(group, owner)
		c.holdQuota(owner, next)
	case quota.Denied:
		c.quotasDenied.Add(1)
		c.markTime(group, owner)
		c.outlet.Reply(next.id, &protocol.TurnReply{Error: deniedQuota(decision)})
	}
	return true
}

// deniedQuota says what a request was denied by.
func deniedQuota(decision quota.Decision) *result.Error {
	failure := result.New(result.TenantLimit, "%d requests in the window, limit %d", decision.Used, decision.Allowed)
	if fit := decision.ProgramAdmission; fit != nil {
		failure = result.New(result.TenantLimit, "new program: %d requests count, %.1f expected of programs under way, %.1f of its own; limit %d",
			fit.CountedRequests, fit.ExpectedRequests, fit.OwnRequests, decision.Allowed)
	}
	return failure.WithRetryAfter(time.Duration(decision.RetryAfterMs) * time.Millisecond)
}

// holdQuota keeps a question whose request waits for room. One that was put before for the
// same ticket has lost its asker.
func (c *Core) holdQuota(owner *quotaOwner, next waitingAsk) {
	if earlier, known := owner.held[next.ask.Ticket]; known {
		c.outlet.Reply(earlier.id, &protocol.TurnReply{QueuePosition: &quota.QueuePosition{}})
	}
	next.untilMs -= answerMarginMs
	owner.held[next.ask.Ticket] = next
}

// tickQuotas grants what there is room for to requests that wait, tells those whose question
// is about to end that they still wait, and ends the owners of terms that are over.
func (c *Core) tickQuotas() {
	for id, owner := range c.quotas {
		group := c.host.FindGroup(id)
		if group == nil || !group.IsLeader() || group.Node.Term() != owner.term {
			c.dropQuota(id)
			continue
		}
		for _, tenant := range owner.owner.QueuedTenants() {
			c.resumeQueue(group, owner, tenant)
		}
		c.answerHeld(owner)
	}
}

// resumeQueue grants what there is room for to the requests of a tenant that wait.
func (c *Core) resumeQueue(group *replication.Group, owner *quotaOwner, tenant string) {
	tickets, short := owner.owner.GrantQueued(tenant, c.nowMs)
	for _, ticket := range tickets {
		if next, known := owner.held[ticket]; known {
			delete(owner.held, ticket)
			c.decideQuota(group, owner, next)
		}
	}
	if short && !owner.reserving[tenant] {
		c.reserveQuota(group, owner, tenant)
	}
}

// answerHeld answers the questions whose askers are about to give them up.
func (c *Core) answerHeld(owner *quotaOwner) {
	for ticket, next := range owner.held {
		if c.nowMs < next.untilMs {
			continue
		}
		delete(owner.held, ticket)
		c.outlet.Reply(next.id, &protocol.TurnReply{QueuePosition: &quota.QueuePosition{}})
	}
}

// markTime writes to the log that time has passed, while requests are denied and nothing is
// reserved: otherwise a successor would take what was granted long ago for granted just now,
// and a tenant at its limit would get nothing as long as leaders change.
func (c *Core) markTime(group *replication.Group, owner *quotaOwner) {
	if c.nowMs-owner.proposedMs < markTimeEveryMs {
		return
	}
	owner.proposedMs = c.nowMs
	mark := quota.Reservation{Term: owner.term, NowMs: c.nowMs}
	// A mark that is lost is followed by the next.
	_ = c.host.Propose(group, &program.TurnCommand{NowMs: c.nowMs, Quota: &mark}, func(any) {})
}

// reserveQuota writes to the log what the owner may grant next of a tenant's limit.
func (c *Core) reserveQuota(group *replication.Group, owner *quotaOwner, tenant string) {
	reservation := owner.owner.NextReservation(tenant, len(owner.waiting[tenant]), c.nowMs)
	reservation.Term = owner.term
	owner.proposedMs = c.nowMs
	owner.reserving[tenant] = true
	command := program.TurnCommand{NowMs: c.nowMs, Quota: &reservation}
	failure := c.host.Propose(group, &command, func(applied any) {
		if failure, failed := applied.(*result.Error); failed {
			c.failQuotas(owner, tenant, failure)
			return
		}
		delete(owner.reserving, tenant)
		owner.owner.AddReservation(reservation)
		c.resumeQueue(group, owner, tenant)
		c.resumeQuotas(group, owner, tenant)
	})
	if failure != nil {
		c.failQuotas(owner, tenant, failure)
	}
}

// resumeQuotas decides on the requests that waited for a reservation.
func (c *Core) resumeQuotas(group *replication.Group, owner *quotaOwner, tenant string) {
	// Invariant: nothing is granted to a request that its sender has given up: it asks again.
	waiting := slices.DeleteFunc(owner.waiting[tenant], func(item waitingAsk) bool {
		if item.untilMs >= c.nowMs {
			return false
		}
		c.outlet.Reply(item.id, &protocol.TurnReply{Error: result.New(result.NoQuorum, "the reservation took too long")})
		return true
	})
	for len(waiting) > 0 && c.decideQuota(group, owner, waiting[0]) {
		waiting = waiting[1:]
	}
	if len(waiting) == 0 {
		delete(owner.waiting, tenant)
		return
	}
	owner.waiting[tenant] = waiting
	if !owner.reserving[tenant] {
		c.reserveQuota(group, owner, tenant)
	}
}

// failQuotas answers the requests whose reservation did not come.
func (c *Core) failQuotas(owner *quotaOwner, tenant string, failure *result.Error) {
	for _, waiting := range owner.waiting[tenant] {
		c.outlet.Reply(waiting.id, &protocol.TurnReply{Error: failure})
	}
	delete(owner.waiting, tenant)
	delete(owner.reserving, tenant)
}

// dropQuota forgets the owner of a term that is over. Those whose requests wait for room ask
// the next one and keep their order there by how long they have waited. The proposals that
// others wait for are answered by the host when it stops leading.
func (c *Core) dropQuota(id storage.GroupID) {
	for _, next := range c.quotas[id].held {
		c.outlet.Reply(next.id, &protocol.TurnReply{Error: result.New(result.NotLeader, "group %d has another leader", uint32(id))})
	}
	delete(c.quotas, id)
}

// GrantedRequestCount counts the requests that were granted since the start; any goroutine may ask.
func (c *Core) GrantedRequestCount() int64 { return c.quotasGranted.Load() }

// DeniedRequestCount counts the requests that were denied since the start; any goroutine may ask.
func (c *Core) DeniedRequestCount() int64 { return c.quotasDenied.Load() }

// TenantUsage tells of the tenants whose limits are owned here.
func (c *Core) TenantUsage() []quota.TenantUsage {
	var views []quota.TenantUsage
	for _, owner := range c.quotas {
		views = append(views, owner.owner.Usage(c.nowMs)...)
	}
	return views
}

// WaitingRequestCount is how many requests wait for room in their tenant's limit.
func (c *Core) WaitingRequestCount() int {
	waiting := 0
	for _, owner := range c.quotas {
		waiting += len(owner.held)
	}
	return waiting
}
