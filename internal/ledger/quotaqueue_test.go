package ledger

import (
	"fmt"
	"testing"

	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
)

const (
	// requestRetryMs is how long a gateway waits for a reply before it repeats its request.
	requestRetryMs = 450
	// maxQueueWaitMs is how long a gateway waits for a grant in total.
	maxQueueWaitMs = 8000
)

// queueingGateways simulates gateways whose requests wait in the quota queue. It records every grant.
type queueingGateways struct {
	quotaGateways
	lastTicket int
	// pending holds the requests that have been neither granted nor denied, by ticket.
	pending map[string]*queuedRequest
	// queuedReplies counts the replies that a request is queued, and grantedAfterQueueing the requests
	// that were granted after such a reply.
	queuedReplies, grantedAfterQueueing int
}

// queuedRequest is one request of a gateway.
type queuedRequest struct {
	request   quota.Request
	startedMs int64
	sentMs    int64
	isQueued  bool
}

// startRequest starts a request for a grant. continues means that its program has started before.
func (q *queueingGateways) startRequest(programID string, continues bool) {
	q.lastTicket++
	queued := &queuedRequest{startedMs: q.cluster.nowMs, request: quota.Request{
		Tenant: "t", Program: programID, Kind: "k", Limit: q.limit, ContinuesProgram: continues, Ticket: fmt.Sprint(q.lastTicket),
	}}
	q.pending[queued.request.Ticket] = queued
	q.sendToLeaders(queued)
}

// sendToLeaders sends a request to every host that considers itself the leader.
func (q *queueingGateways) sendToLeaders(queued *queuedRequest) {
	queued.sentMs = q.cluster.nowMs
	request := queued.request
	request.WaitedMs = q.cluster.nowMs - queued.startedMs
	request.MaxWaitMs = maxQueueWaitMs - request.WaitedMs
	for _, host := range q.cluster.nodes {
		if host.core == nil {
			continue
		}
		if group := host.core.host.FindGroup(1); group == nil || !group.IsLeader() {
			continue
		}
		host.sendRequest(&protocol.TurnRequest{Group: 1, TimeoutMs: requestRetryMs, Quota: &request}, func(reply *protocol.TurnReply) {
			q.handleReply(queued, reply)
		})
	}
}

// handleReply records the reply to a request.
func (q *queueingGateways) handleReply(queued *queuedRequest, reply *protocol.TurnReply) {
	_, isPending := q.pending[queued.request.Ticket]
	switch {
	case reply.Grant != nil:
		// Several grants of one ticket, by two leaders or for a repeated request, count once.
		if isPending {
			q.grantedAtMs = append(q.grantedAtMs, q.cluster.nowMs)
			if queued.isQueued {
				q.grantedAfterQueueing++
			}
		}
		delete(q.pending, queued.request.Ticket)
	case reply.QueuePosition != nil:
		q.queuedReplies++
		queued.isQueued = true
		queued.sentMs = q.cluster.nowMs - requestRetryMs
	case reply.Error != nil && reply.Error.Code == result.TenantLimit:
		q.denied++
		delete(q.pending, queued.request.Ticket)
	}
}

// step advances the time, drops the requests that have waited too long and repeats those without a
// reply.
func (q *queueingGateways) step() {
	q.cluster.run(50)
	for ticket, queued := range q.pending {
		switch {
		case q.cluster.nowMs-queued.startedMs > maxQueueWaitMs:
			delete(q.pending, ticket)
		case q.cluster.nowMs-queued.sentMs >= requestRetryMs:
			q.sendToLeaders(queued)
		}
	}
}

// TestQueuesThroughFaults crashes hosts, preferably leaders, partitions them or loses their disks,
// while programs of a tenant request more than its limit and wait in the queue, and while gateways
// crash with requests in the queue. The tenant must never exceed its limit, and requests must also be
// granted after they have waited.
func TestQueuesThroughFaults(t *testing.T) {
	for seed := range uint64(40) {
		c := newCluster(t, seed, 4, 3)
		gateways := &queueingGateways{
			quotaGateways: quotaGateways{cluster: c, limit: quota.Limit{Generation: 1, RatePerSecond: 10, Burst: 5}}, pending: map[string]*queuedRequest{},
		}
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		load := func() {
			if c.random.IntN(5) < 3 {
				gateways.startRequest(fmt.Sprint("p", c.random.IntN(5)), true)
			}
			if c.random.IntN(8) == 0 {
				gateways.startRequest(fmt.Sprint("new", gateways.lastTicket), false)
			}
			if c.random.IntN(100) == 0 {
				clear(gateways.pending)
			}
			gateways.step()
		}
		for step := range 20 {
			for range 20 {
				load()
			}
			if step%3 != 0 {
				continue
			}
			victim := c.nodes[c.random.IntN(len(c.nodes))]
			if leader := c.leader(); leader != nil && c.random.IntN(2) == 0 {
				victim = leader
			}
			duringFault(c, victim, func() {
				for range c.random.IntN(40) {
					load()
				}
			})
			c.runUntil("the recovery", c.matchesPlacement)
		}
		gateways.checkWindows(t, seed)
		if len(gateways.grantedAtMs) < 100 || gateways.queuedReplies == 0 || gateways.grantedAfterQueueing == 0 {
			t.Fatalf("seed %d: %d granted, %d of them after queueing, %d denied, %d replies that a request is queued", seed, len(gateways.grantedAtMs), gateways.grantedAfterQueueing, gateways.denied, gateways.queuedReplies)
		}
	}
}

// TestQueuedRequestSurvivesLeaderChange checks that a request that waits for headroom when its leader crashes is
// granted by the next leader, and not before the window has headroom.
func TestQueuedRequestSurvivesLeaderChange(t *testing.T) {
	c := newCluster(t, 3, 3, 3)
	gateways := &queueingGateways{
		quotaGateways: quotaGateways{cluster: c, limit: quota.Limit{Generation: 1, RatePerSecond: 10}}, pending: map[string]*queuedRequest{},
	}
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	for range 50 {
		gateways.startRequest("p", true)
	}
	for range 40 {
		gateways.step()
	}
	if len(gateways.grantedAtMs) != 50 {
		t.Fatalf("%d granted, want 50", len(gateways.grantedAtMs))
	}
	gateways.startRequest("p", true)
	gateways.step()
	leader := c.leader()
	leader.core = nil
	for range 200 {
		gateways.step()
	}
	gateways.checkWindows(t, 3)
	if gateways.grantedAfterQueueing != 1 || len(gateways.pending) != 0 {
		t.Fatalf("%d granted after queueing, %d pending, %d denied", gateways.grantedAfterQueueing, len(gateways.pending), gateways.denied)
	}
}
