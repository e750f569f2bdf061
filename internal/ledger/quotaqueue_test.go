package ledger

import (
	"fmt"
	"testing"

	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
)

const (
	// queueAskAgainMs is after how long without an answer a gateway asks anew.
	queueAskAgainMs = 450
	queueWaitMs     = 8000
)

// queueCallers are gateways whose requests wait; they see every grant.
type queueCallers struct {
	quotaCallers
	tickets int
	// open are the requests that have neither been granted nor denied, by ticket.
	open map[string]*queueCall
	// places is how often a request was told that it has a place, waited how many were granted
	// after that.
	places, waited int
}

// queueCall is one request of a gateway.
type queueCall struct {
	ask     quota.Request
	beganMs int64
	askedMs int64
	queued  bool
}

// begin asks for a run of a program.
func (q *queueCallers) begin(program string, continues bool) {
	q.tickets++
	call := &queueCall{beganMs: q.cluster.nowMs, ask: quota.Request{
		Tenant: "t", Program: program, Kind: "k", Limit: q.limit, ContinuesProgram: continues, Ticket: fmt.Sprint(q.tickets),
	}}
	q.open[call.ask.Ticket] = call
	q.put(call)
}

// put asks whoever takes itself for the leader.
func (q *queueCallers) put(call *queueCall) {
	call.askedMs = q.cluster.nowMs
	ask := call.ask
	ask.WaitedMs = q.cluster.nowMs - call.beganMs
	ask.MaxWaitMs = queueWaitMs - ask.WaitedMs
	for _, host := range q.cluster.nodes {
		if host.core == nil {
			continue
		}
		if group := host.core.host.FindGroup(1); group == nil || !group.IsLeader() {
			continue
		}
		host.ask(&protocol.TurnRequest{Group: 1, TimeoutMs: queueAskAgainMs, Quota: &ask}, func(reply *protocol.TurnReply) {
			q.take(call, reply)
		})
	}
}

func (q *queueCallers) take(call *queueCall, reply *protocol.TurnReply) {
	_, open := q.open[call.ask.Ticket]
	switch {
	case reply.Grant != nil:
		// A grant that comes twice, of two leaders or for a question put again, is one run.
		if open {
			q.granted = append(q.granted, q.cluster.nowMs)
			if call.queued {
				q.waited++
			}
		}
		delete(q.open, call.ask.Ticket)
	case reply.QueuePosition != nil:
		q.places++
		call.queued = true
		call.askedMs = q.cluster.nowMs - queueAskAgainMs
	case reply.Error != nil && reply.Error.Code == result.TenantLimit:
		q.denied++
		delete(q.open, call.ask.Ticket)
	}
}

// step lets time pass and asks again for what has no answer; a gateway may die with all its
// requests, or cancel one.
func (q *queueCallers) step() {
	q.cluster.run(50)
	for ticket, call := range q.open {
		switch {
		case q.cluster.nowMs-call.beganMs > queueWaitMs:
			delete(q.open, ticket)
		case q.cluster.nowMs-call.askedMs >= queueAskAgainMs:
			q.put(call)
		}
	}
}

// TestQueuesThroughFaults kills, cuts off and loses the disk of hosts, leaders above all, while
// programs of a tenant ask for more than its limit and wait: it never gets more, requests that
// wait are granted by the next leader, and gateways die while theirs wait.
func TestQueuesThroughFaults(t *testing.T) {
	for seed := range uint64(40) {
		c := newCluster(t, seed, 4, 3)
		callers := &queueCallers{
			quotaCallers: quotaCallers{cluster: c, limit: quota.Limit{Generation: 1, RatePerSecond: 10, Burst: 5}}, open: map[string]*queueCall{},
		}
		c.until("a leader", func() bool { return c.leader() != nil })
		load := func() {
			if c.random.IntN(5) < 3 {
				callers.begin(fmt.Sprint("p", c.random.IntN(5)), true)
			}
			if c.random.IntN(8) == 0 {
				callers.begin(fmt.Sprint("new", callers.tickets), false)
			}
			if c.random.IntN(100) == 0 {
				clear(callers.open)
			}
			callers.step()
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
			faultWhile(c, victim, func() {
				for range c.random.IntN(40) {
					load()
				}
			})
			c.until("the repair", c.settled)
		}
		callers.check(t, seed)
		if len(callers.granted) < 100 || callers.places == 0 || callers.waited == 0 {
			t.Fatalf("seed %d: %d granted, %d of them after waiting, %d denied, %d places", seed, len(callers.granted), callers.waited, callers.denied, callers.places)
		}
	}
}

// TestWaitThroughANewLeader holds that a request which waits for room when its leader dies is
// granted by the next one, and not before its place comes.
func TestWaitThroughANewLeader(t *testing.T) {
	c := newCluster(t, 3, 3, 3)
	callers := &queueCallers{
		quotaCallers: quotaCallers{cluster: c, limit: quota.Limit{Generation: 1, RatePerSecond: 10}}, open: map[string]*queueCall{},
	}
	c.until("a leader", func() bool { return c.leader() != nil })
	for range 50 {
		callers.begin("p", true)
	}
	for range 40 {
		callers.step()
	}
	if len(callers.granted) != 50 {
		t.Fatalf("%d granted, allowed 50", len(callers.granted))
	}
	callers.begin("p", true)
	callers.step()
	leader := c.leader()
	leader.core = nil
	for range 200 {
		callers.step()
	}
	callers.check(t, 3)
	if callers.waited != 1 || len(callers.open) != 0 {
		t.Fatalf("%d granted after waiting, %d open, %d denied", callers.waited, len(callers.open), callers.denied)
	}
}
