package ledger

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
)

// quotaCallers ask for a tenant's quota wherever they can and see every grant.
type quotaCallers struct {
	cluster *cluster
	limit   quota.Limit
	granted []int64
	denied  int
}

// ask asks every host that takes itself for the leader, cut off or not.
func (q *quotaCallers) ask(program string) {
	for _, host := range q.cluster.nodes {
		if host.core == nil {
			continue
		}
		if group := host.core.host.FindGroup(1); group == nil || !group.IsLeader() {
			continue
		}
		request := &protocol.TurnRequest{Group: 1, TimeoutMs: 450, Quota: &quota.Request{Tenant: "t", Program: program, Limit: q.limit}}
		host.ask(request, func(reply *protocol.TurnReply) {
			switch {
			case reply.Error == nil:
				q.granted = append(q.granted, q.cluster.nowMs)
			case reply.Error.RetryAfterMs > 0:
				q.denied++
			}
		})
	}
}

// check holds that no window has seen more grants than the limit.
func (q *quotaCallers) check(t *testing.T, seed uint64) {
	allowed := int(q.limit.AllowedRequests(testQuotaWindowMs))
	first := 0
	for position, at := range q.granted {
		for q.granted[first] <= at-testQuotaWindowMs {
			first++
		}
		if position-first+1 > allowed {
			t.Fatalf("seed %d: %d granted in the window before %d ms, allowed %d", seed, position-first+1, at, allowed)
		}
	}
}

// TestLimitsThroughFaults kills, cuts off and loses the disk of hosts, leaders above all,
// while a tenant asks for more than its limit: it never gets more, and it gets some again
// after each repair.
func TestLimitsThroughFaults(t *testing.T) {
	for seed := range uint64(60) {
		c := newCluster(t, seed, 4, 3)
		callers := &quotaCallers{cluster: c, limit: quota.Limit{Generation: 1, RatePerSecond: 10, Burst: 5}}
		c.until("a leader", func() bool { return c.leader() != nil })
		for step := range 30 {
			for range 10 {
				for range c.random.IntN(6) {
					callers.ask(fmt.Sprint(c.random.IntN(5)))
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
			faultWhile(c, victim, func() {
				for range c.random.IntN(40) {
					callers.ask("f")
					c.run(50)
				}
			})
			c.until("the repair", c.settled)
		}
		callers.check(t, seed)
		if len(callers.granted) < 100 || callers.denied < 100 {
			t.Fatalf("seed %d: %d granted, %d denied", seed, len(callers.granted), callers.denied)
		}
	}
}

// faultWhile strikes a host with one of three faults, lets others act, and ends it.
func faultWhile(c *cluster, victim *node, act func()) {
	switch c.random.IntN(3) {
	case 0:
		victim.core = nil
		act()
		victim.start()
	case 1:
		victim.cut = true
		act()
		victim.cut = false
	case 2:
		victim.core = nil
		act()
		victim.wipe()
		victim.start()
	}
	c.tellView()
}

// TestLimitsOutliveTheCluster holds that a tenant which has used its limit up gets nothing
// for losing all hosts at once.
func TestLimitsOutliveTheCluster(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	callers := &quotaCallers{cluster: c, limit: quota.Limit{Generation: 1, RatePerSecond: 10}}
	c.until("a leader", func() bool { return c.leader() != nil })
	for range 60 {
		callers.ask("p")
		c.run(10)
	}
	used := len(callers.granted)
	for _, host := range c.nodes {
		host.core = nil
	}
	c.run(50)
	for _, host := range c.nodes {
		host.start()
	}
	c.until("a leader", func() bool { return c.leader() != nil })
	for range 100 {
		callers.ask("p")
		c.run(10)
	}
	if used != 50 || len(callers.granted) != used {
		t.Fatalf("%d granted before and %d after the loss of power, allowed 50", used, len(callers.granted)-used)
	}
}

func TestSnapshotOfAGroup(t *testing.T) {
	filled := func() *stateMachine {
		machine := newStateMachine(Options{QuotaWindowMs: testQuotaWindowMs})
		machine.turns.Apply(program.TurnCommand{NowMs: 1, Settle: &program.Settle{Program: "p", Request: "r", Retain: true, RetentionMs: 60_000}})
		machine.quotas.Apply(quota.Reservation{Tenant: "t", Count: 3, Term: 1, NowMs: 1})
		return machine
	}
	Convey("a snapshot holds turns and reservations", t, func() {
		raw, err := filled().Snapshot()
		So(err, ShouldBeNil)
		restored := newStateMachine(Options{QuotaWindowMs: testQuotaWindowMs})
		So(restored.Restore(raw), ShouldBeNil)
		So(restored.turns.HasTurn("r"), ShouldBeTrue)
		So(restored.quotas.TenantCount(), ShouldEqual, 1)
		So(restored.Restore(nil), ShouldBeNil)
		So(restored.turns.HasTurn("r"), ShouldBeFalse)
	})
	Convey("one of turns alone, as disks from before there were limits hold it, is read too", t, func() {
		raw, err := filled().turns.Snapshot()
		So(err, ShouldBeNil)
		restored := newStateMachine(Options{QuotaWindowMs: testQuotaWindowMs})
		So(restored.Restore(raw), ShouldBeNil)
		So(restored.turns.HasTurn("r"), ShouldBeTrue)
		So(restored.quotas.TenantCount(), ShouldEqual, 0)
	})
}
