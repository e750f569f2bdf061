package ledger

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
)

// quotaGateways simulates gateways that request grants for a tenant. It records every grant.
type quotaGateways struct {
	cluster     *cluster
	limit       quota.Limit
	grantedAtMs []int64
	denied      int
}

// sendRequests sends a request to every host that considers itself the leader, partitioned or not.
func (q *quotaGateways) sendRequests(programID string) {
	for _, host := range q.cluster.nodes {
		if host.core == nil {
			continue
		}
		if group := host.core.host.FindGroup(1); group == nil || !group.IsLeader() {
			continue
		}
		request := &protocol.TurnRequest{Group: 1, TimeoutMs: 450, Quota: &quota.Request{Tenant: "t", Program: programID, Limit: q.limit}}
		host.sendRequest(request, func(reply *protocol.TurnReply) {
			switch {
			case reply.Error == nil:
				q.grantedAtMs = append(q.grantedAtMs, q.cluster.nowMs)
			case reply.Error.RetryAfterMs > 0:
				q.denied++
			}
		})
	}
}

// checkWindows checks that no window contains more grants than the limit allows.
func (q *quotaGateways) checkWindows(t *testing.T, seed uint64) {
	allowed := int(q.limit.AllowedRequests(testQuotaWindowMs))
	first := 0
	for position, grantedMs := range q.grantedAtMs {
		for q.grantedAtMs[first] <= grantedMs-testQuotaWindowMs {
			first++
		}
		if position-first+1 > allowed {
			t.Fatalf("seed %d: %d granted in the window before %d ms, allowed %d", seed, position-first+1, grantedMs, allowed)
		}
	}
}

// TestLimitsThroughFaults crashes hosts, preferably leaders, partitions them or loses their disks,
// while a tenant requests more than its limit. The tenant must never exceed its limit, and must get
// at least 100 grants in total.
func TestLimitsThroughFaults(t *testing.T) {
	for seed := range uint64(60) {
		c := newCluster(t, seed, 4, 3)
		gateways := &quotaGateways{cluster: c, limit: quota.Limit{Generation: 1, RatePerSecond: 10, Burst: 5}}
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		for step := range 30 {
			for range 10 {
				for range c.random.IntN(6) {
					gateways.sendRequests(fmt.Sprint(c.random.IntN(5)))
				}
				c.run(50)
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
					gateways.sendRequests("f")
					c.run(50)
				}
			})
			c.runUntil("the recovery", c.matchesPlacement)
		}
		gateways.checkWindows(t, seed)
		if len(gateways.grantedAtMs) < 100 || gateways.denied < 100 {
			t.Fatalf("seed %d: %d granted, %d denied", seed, len(gateways.grantedAtMs), gateways.denied)
		}
	}
}

// duringFault calls during while a host is down or partitioned, and then ends the fault. A host that
// was down restarts with its disk or with an empty one.
func duringFault(c *cluster, victim *node, during func()) {
	switch c.random.IntN(3) {
	case 0:
		victim.core = nil
		during()
		victim.start()
	case 1:
		victim.partitioned = true
		during()
		victim.partitioned = false
	case 2:
		victim.core = nil
		during()
		victim.replaceDisk()
		victim.start()
	}
	c.distributeView()
}

// TestLimitsSurviveClusterRestart checks that a tenant that has used up its limit gets no grants from a
// simultaneous restart of all hosts.
func TestLimitsSurviveClusterRestart(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	gateways := &quotaGateways{cluster: c, limit: quota.Limit{Generation: 1, RatePerSecond: 10}}
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	for range 60 {
		gateways.sendRequests("p")
		c.run(10)
	}
	used := len(gateways.grantedAtMs)
	for _, host := range c.nodes {
		host.core = nil
	}
	c.run(50)
	for _, host := range c.nodes {
		host.start()
	}
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	for range 100 {
		gateways.sendRequests("p")
		c.run(10)
	}
	if used != 50 || len(gateways.grantedAtMs) != used {
		t.Fatalf("%d granted before and %d after the power loss, want 50 and 0", used, len(gateways.grantedAtMs)-used)
	}
}

func TestSnapshotOfAGroup(t *testing.T) {
	newFilledMachine := func() *stateMachine {
		machine := newStateMachine(Options{QuotaWindowMs: testQuotaWindowMs})
		machine.turns.Apply(program.TurnCommand{NowMs: 1, Settle: &program.Settle{Program: "p", Request: "r", Retain: true, RetentionMs: 60_000}})
		machine.quotas.Apply(quota.Reservation{Tenant: "t", Count: 3, Term: 1, NowMs: 1})
		return machine
	}
	Convey("a snapshot restores turns and reservations", t, func() {
		raw, err := newFilledMachine().Snapshot()
		So(err, ShouldBeNil)
		restored := newStateMachine(Options{QuotaWindowMs: testQuotaWindowMs})
		So(restored.Restore(raw), ShouldBeNil)
		So(restored.turns.HasTurn("r"), ShouldBeTrue)
		So(restored.quotas.TenantCount(), ShouldEqual, 1)
		So(restored.Restore(nil), ShouldBeNil)
		So(restored.turns.HasTurn("r"), ShouldBeFalse)
	})
	Convey("a snapshot of turns alone, as releases without tenant limits wrote it, restores the turns", t, func() {
		raw, err := newFilledMachine().turns.Snapshot()
		So(err, ShouldBeNil)
		restored := newStateMachine(Options{QuotaWindowMs: testQuotaWindowMs})
		So(restored.Restore(raw), ShouldBeNil)
		So(restored.turns.HasTurn("r"), ShouldBeTrue)
		So(restored.quotas.TenantCount(), ShouldEqual, 0)
	})
}
