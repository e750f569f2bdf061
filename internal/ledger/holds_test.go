package ledger

import (
	"fmt"
	"testing"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

const (
	// chainRetentionMs is the retention of the turns, and chainRetainedMs how long they stay at least by the
	// clock of the leader.
	chainRetentionMs = 500
	chainRetainedMs  = 5_500
	chainTurnLimitMs = 120_000
)

// askLeader sends a request to the leader until it is answered, and returns the answer. A request that got
// none is sent again.
func (c *cluster) askLeader(description string, request *protocol.TurnRequest) *protocol.TurnReply {
	c.t.Helper()
	var answer *protocol.TurnReply
	c.runUntil(description, func() bool {
		if leader := c.leader(); leader != nil {
			leader.sendRequest(request, func(reply *protocol.TurnReply) {
				if reply.Error == nil || reply.Error.Code == result.UnknownTurn {
					answer = reply
				}
			})
			c.run(stepMs * 5)
		}
		return answer != nil
	})
	return answer
}

// openContinuation opens a turn from a gateway that is in the zone of some host, and returns its history.
func (c *cluster) openContinuation(request, previous string) (string, *result.Error) {
	reserve := &program.Reserve{Program: "p", Request: request, PreviousRequest: previous}
	if c.random.IntN(2) == 0 {
		reserve.BudgetTokens, reserve.MaxTokens = 1<<40, 1
	}
	if c.random.IntN(3) > 0 {
		reserve.Hold = &program.Hold{ID: "hold-" + request, DurationMs: chainTurnLimitMs}
	}
	near := c.nodes[c.random.IntN(len(c.nodes))]
	reply := c.askLeader("turn "+request, &protocol.TurnRequest{Group: 1, Reserve: reserve, Zone: near.host.Zone})
	if reply.Error != nil || len(reply.OlderTurns) == 0 {
		return string(reply.History), reply.Error
	}
	older := &protocol.TurnReply{Error: result.New(result.NotLeader, "not asked")}
	request2 := &protocol.TurnRequest{Group: 1, ContentsOf: reply.OlderTurns}
	if near.core != nil {
		near.sendRequest(request2, func(reply *protocol.TurnReply) { older = reply })
	}
	if older.Error != nil {
		older = c.askLeader("older turns", request2)
	}
	return string(older.History) + string(reply.History), older.Error
}

// settleContinuation retains a turn.
func (c *cluster) settleContinuation(request, previous string) *result.Error {
	settle := &program.Settle{
		Program: "p", Request: request, PreviousRequest: previous, Retain: true, Content: []byte("<" + request + ">"), RetentionMs: chainRetentionMs,
		ReleasedHold: "hold-" + request,
	}
	return c.askLeader("the end of turn "+request, &protocol.TurnRequest{Group: 1, Settle: settle}).Error
}

// TestOpenTurnsUnderFaults guards against a turn that is continued without its whole chain because a turn
// of the chain expired while the next one was open: with and without a budget, from gateways that state a hold
// and ones that do not, while leaders change, replicas start from snapshots and disks are lost.
func TestOpenTurnsUnderFaults(t *testing.T) {
	continued := 0
	for seed := range uint64(25) {
		c := newCluster(t, seed, 4, 3)
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		for round := range 4 {
			name := func(turn int) string { return fmt.Sprintf("%d-%d", round, turn) }
			if failure := c.settleContinuation(name(1), ""); failure != nil {
				t.Fatalf("seed %d: %v", seed, failure)
			}
			answeredMs := c.nowMs
			c.run(chainRetainedMs - int64(50+c.random.IntN(1500)))
			history, failure := c.openContinuation(name(2), name(1))
			if failure != nil && c.nowMs-answeredMs > chainRetainedMs-200 {
				continue
			}
			if expected := "<" + name(1) + ">"; failure != nil || history != expected {
				t.Fatalf("seed %d: turn %s has the history %q (%v) instead of %q", seed, name(2), history, failure, expected)
			}
			for range c.random.IntN(4) {
				c.run(int64(c.random.IntN(6000)))
				if c.random.IntN(2) == 0 {
					c.strike(c.nodes[c.random.IntN(len(c.nodes))], func() {})
				}
			}
			if failure := c.settleContinuation(name(2), name(1)); failure != nil {
				t.Fatalf("seed %d: turn %s is not retained: %v", seed, name(2), failure)
			}
			history, failure = c.openContinuation(name(3), name(2))
			if expected := "<" + name(1) + "><" + name(2) + ">"; failure != nil || history != expected {
				t.Fatalf("seed %d: turn %s has the history %q (%v) instead of %q", seed, name(3), history, failure, expected)
			}
			continued++
		}
	}
	if continued < 50 {
		t.Fatalf("only %d turns were continued twice", continued)
	}
}

// TestHoldsBesideAnEarlierRelease guards against replicas that come to different states because one of an
// earlier release ignores holds, and against holds that are left out because a replica that has long had
// this release is down when a host starts.
func TestHoldsBesideAnEarlierRelease(t *testing.T) {
	holds := func(n *node) int { return n.core.StateMachine(1).turns.HoldCount() }
	newRunning := func(earlierRelease string) *cluster {
		c := newCluster(t, 1, 3, 3)
		c.earlierRelease = earlierRelease
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		c.run(500)
		c.settleContinuation("a", "")
		return c
	}
	open := func(c *cluster, request string) {
		c.askLeader(request, &protocol.TurnRequest{Group: 1, Reserve: &program.Reserve{
			Program: "p", Request: request, PreviousRequest: "a", Hold: &program.Hold{ID: request, DurationMs: chainTurnLimitMs},
		}})
	}
	c := newRunning("")
	open(c, "b")
	if holds(c.leader()) != 1 {
		t.Fatal("no hold is recorded although all replicas support it")
	}
	c = newRunning("m2")
	for _, node := range c.nodes {
		if node.host.Member == "m2" && node == c.leader() {
			node.core.transferLeadership(node.core.host.FindGroup(1), anyMember)
		}
	}
	c.runUntil("a leader of this release", func() bool { return c.leader() != nil && c.leader().host.Member != "m2" })
	c.run(500)
	open(c, "b")
	if holds(c.leader()) != 0 {
		t.Fatal("a hold is recorded although a replica would ignore it")
	}
	c = newRunning("")
	c.nodes[2].core = nil
	for _, node := range c.nodes[:2] {
		node.core = nil
		node.start()
	}
	c.distributeView()
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	open(c, "b")
	if holds(c.leader()) != 1 {
		t.Fatal("no hold is recorded although only a replica that supports it is down")
	}
}

// TestGapsAreRefused guards against a chain with a gap, as an earlier release leaves it, that is handed out
// as if it were whole, and against a reply without the content of a turn.
func TestGapsAreRefused(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	gap := &program.TurnCommand{Settle: &program.Settle{Program: "p", Request: "b", PreviousRequest: "a", Retain: true, Content: []byte("<b>"), RetentionMs: 3_600_000}}
	gap.NowMs = c.nowMs
	if failure := leader.core.host.Propose(leader.core.host.FindGroup(1), gap, func(any) {}); failure != nil {
		t.Fatal(failure)
	}
	c.run(500)
	requests := map[string]*protocol.TurnRequest{
		"a turn with a budget":    {Group: 1, Reserve: &program.Reserve{Program: "p", Request: "c", PreviousRequest: "b", BudgetTokens: 100, MaxTokens: 1}},
		"a turn without a budget": {Group: 1, Reserve: &program.Reserve{Program: "p", Request: "d", PreviousRequest: "b"}},
		"a read":                  {Group: 1, HistoryOf: "b"},
	}
	for _, earlierRelease := range []string{"", "m0", "m1", "m2"} {
		if c.earlierRelease = earlierRelease; earlierRelease == leader.host.Member {
			continue
		}
		c.run(500)
		for name, request := range requests {
			reply := c.askLeader(name, request)
			if reply.Error == nil || len(reply.History) > 0 {
				t.Errorf("%s that continues a chain with a gap gets %q", name, reply.History)
			}
		}
	}
	c.settleContinuation("x", "")
	for number := range 25 {
		// The group is compacted, so that the contents are on disk.
		c.settleContinuation(fmt.Sprint("later ", number), "")
	}
	for _, node := range c.nodes {
		delete(node.disk.records[1], "x")
	}
	leader = c.leader()
	answered := false
	leader.sendRequest(&protocol.TurnRequest{Group: 1, HistoryOf: "x"}, func(reply *protocol.TurnReply) {
		answered = true
		if reply.Error == nil || reply.Error.Code == result.UnknownTurn {
			t.Errorf("a turn without its content is answered with %v, %q", reply.Error, reply.History)
		}
	})
	c.run(500)
	if !answered {
		t.Error("no reply to a read of a turn without its content")
	}
}
