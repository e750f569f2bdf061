package ledger

import (
	"slices"
	"time"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/replication"
	"github.com/ochrebay/ochrebay/internal/result"
)

// markTimeEveryMs is how often time is written to the log while requests are denied: a
// tenth of a window of 5 s.
const markTimeEveryMs = 500

// quotaOwner grants the requests of one group's tenants while this host leads the group in
// one term.
type quotaOwner struct {
	term  uint64
	owner *quota.Owner
	// proposedMs is when something was last written to the log.
	proposedMs int64
	// waiting are the requests of each tenant that wait for a reservation.
	waiting map[string][]waitingAsk
}

// waitingAsk waits until untilMs, when whoever asked asks again.
type waitingAsk struct {
	id      RequestID
	ask     quota.Ask
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
	if ask.Return != nil {
		if ask.Return.Term == owner.term {
			owner.owner.Return(ask.Tenant, ask.Return.AtMs)
		}
		c.outlet.Reply(id, &protocol.TurnReply{})
		return
	}
	next := waitingAsk{id: id, ask: ask, untilMs: c.nowMs + request.WithinMs}
	if waiting := owner.waiting[ask.Tenant]; len(waiting) > 0 {
		owner.waiting[ask.Tenant] = append(waiting, next)
		return
	}
	if !c.decideQuota(group, owner, id, ask) {
		owner.waiting[ask.Tenant] = []waitingAsk{next}
		c.reserveQuota(group, owner, ask.Tenant)
	}
}

// quotaOwnerOf returns the owner of a group's tenants. Invariant: an owner begins only once
// this host has applied every entry of the terms before its own, so that it knows all that
// its predecessors may have granted.
func (c *Core) quotaOwnerOf(group *replication.Group) (*quotaOwner, *result.Error) {
	term := group.Node.Term()
	if known := c.quotas[group.ID]; known != nil && known.term == term {
		return known, nil
	}
	if group.Node.TermAt(group.Node.Applied()) != term {
		return nil, result.New(result.NoQuorum, "group %d: what was granted before term %d is not known yet", group.ID, term)
	}
	created := &quotaOwner{term: term, owner: quota.NewOwner(group.State.(*stateMachine).quotas, c.nowMs), waiting: map[string][]waitingAsk{}}
	c.quotas[group.ID] = created
	return created, nil
}

// decideQuota answers a request unless more has to be reserved first.
func (c *Core) decideQuota(group *replication.Group, owner *quotaOwner, id RequestID, ask quota.Ask) bool {
	decision := owner.owner.Ask(ask, c.nowMs)
	if decision.Verdict == quota.Denied {
		c.markTime(group, owner)
	}
	reply := &protocol.TurnReply{}
	switch decision.Verdict {
	case quota.Short:
		return false
	case quota.Granted:
		c.quotasGranted.Add(1)
		reply.Grant = &quota.Grant{Term: owner.term, AtMs: c.nowMs}
	case quota.Denied:
		c.quotasDenied.Add(1)
		reply.Error = result.New(result.TenantLimit, "%d requests in the window, limit %d", decision.Used, decision.Allowed).
			WithRetryAfter(time.Duration(decision.RetryAfterMs) * time.Millisecond)
	}
	c.outlet.Reply(id, reply)
	return true
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
	reservation := owner.owner.Size(tenant, len(owner.waiting[tenant]), c.nowMs)
	reservation.Term = owner.term
	owner.proposedMs = c.nowMs
	command := program.TurnCommand{NowMs: c.nowMs, Quota: &reservation}
	failure := c.host.Propose(group, &command, func(applied any) {
		if failure, failed := applied.(*result.Error); failed {
			c.failQuotas(owner, tenant, failure)
			return
		}
		owner.owner.Reserved(reservation)
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
	for len(waiting) > 0 && c.decideQuota(group, owner, waiting[0].id, waiting[0].ask) {
		waiting = waiting[1:]
	}
	if len(waiting) == 0 {
		delete(owner.waiting, tenant)
		return
	}
	owner.waiting[tenant] = waiting
	c.reserveQuota(group, owner, tenant)
}

// failQuotas answers the requests whose reservation did not come.
func (c *Core) failQuotas(owner *quotaOwner, tenant string, failure *result.Error) {
	for _, waiting := range owner.waiting[tenant] {
		c.outlet.Reply(waiting.id, &protocol.TurnReply{Error: failure})
	}
	delete(owner.waiting, tenant)
}

// dropQuotas forgets the owners of terms that are over. The proposals that their requests
// wait for are answered by the host when it stops leading.
func (c *Core) dropQuotas() {
	for id, known := range c.quotas {
		group := c.host.Find(id)
		if group == nil || !group.Leads() || group.Node.Term() != known.term {
			delete(c.quotas, id)
		}
	}
}

// QuotasGranted counts the requests that were granted since the start; any goroutine may ask.
func (c *Core) QuotasGranted() int64 { return c.quotasGranted.Load() }

// QuotasDenied counts the requests that were denied since the start; any goroutine may ask.
func (c *Core) QuotasDenied() int64 { return c.quotasDenied.Load() }
