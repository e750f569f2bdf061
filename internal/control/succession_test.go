package control

import (
	"testing"

	"pgregory.net/rapid"
)

const (
	// catchUpMs is the time that a successor has before the next machine may be lost, the shortest that a
	// deployment gives, and recoveryMs the time within which the cluster must be in its final state.
	catchUpMs  = 4000
	recoveryMs = 12_000
	// ackMs is the time within which the cluster must acknowledge a table when no machine counts as lost.
	ackMs = 4000
	// drainMs is how long a process that is stopped as planned goes on running.
	drainMs = 300
)

// lossKind is how a machine is lost.
type lossKind string

const (
	killed   lossKind = "killed"
	stopped  lossKind = "stopped as planned"
	powerOff lossKind = "without power for a time"
	frozen   lossKind = "frozen for a time"
)

// loss is one machine lost, and its successor. A machine that comes back has no successor.
type loss struct {
	kind lossKind
	// ofLeader says that the machine is the leader's, else it is that of any other process.
	ofLeader bool
	// successorAfterMs is the time from the loss until the successor starts, negative if the successor
	// comes first. For a machine that comes back it is the time until it does.
	successorAfterMs int64
}

func drawLoss(t *rapid.T) loss {
	drawn := loss{kind: rapid.SampledFrom([]lossKind{killed, killed, stopped, powerOff, frozen}).Draw(t, "kind"), ofLeader: rapid.Bool().Draw(t, "of leader")}
	if drawn.kind == powerOff || drawn.kind == frozen {
		drawn.successorAfterMs = rapid.Int64Range(50, 9000).Draw(t, "away ms")
		return drawn
	}
	drawn.successorAfterMs = rapid.SampledFrom([]int64{-5000, -3000, -1000, -300, 0, 100, 700, 1000, 1500, 2000, 2500, 5000, 9000}).Draw(t, "successor after ms") +
		rapid.Int64Range(0, 300).Draw(t, "and ms")
	return drawn
}

// strike loses one machine and waits until its successor, or itself, has had catchUpMs.
func (c *virtualCluster) strike(l loss) {
	var victim *virtualControl
	pick := func() {
		victim = c.leader()
		if victim == nil || !l.ofLeader {
			victim = c.running[c.random.IntN(len(c.running))]
		}
	}
	switch l.kind {
	case powerOff:
		pick()
		c.notef("%s loses power for %d ms, leads: %t", victim.name, l.successorAfterMs, victim.core.IsLeader(0))
		c.end(victim)
		c.run(l.successorAfterMs)
		victim.start()
		c.running = append(c.running, victim)
	case frozen:
		pick()
		c.notef("%s is frozen for %d ms, leads: %t", victim.name, l.successorAfterMs, victim.core.IsLeader(0))
		victim.frozenUntil = c.nowMs + l.successorAfterMs
		c.run(l.successorAfterMs)
	default:
		if l.successorAfterMs < 0 {
			successor := c.addSuccessor()
			c.run(-l.successorAfterMs)
			for victim == nil || victim == successor {
				pick()
				l.ofLeader = false
			}
		} else {
			pick()
		}
		if l.kind == stopped {
			c.notef("%s is stopped", victim.name)
			victim.core.Drain()
			victim.flush()
			c.run(drainMs)
		}
		c.end(victim)
		if l.successorAfterMs >= 0 {
			c.run(l.successorAfterMs)
			c.addSuccessor()
		}
	}
	c.run(catchUpMs)
}

// formed starts a cluster and waits until all its processes vote.
func formed(t *rapid.T, seed uint64, size, tolerated int) *virtualCluster {
	c := newVirtualCluster(seed, size, tolerated)
	if !c.runUntil(10_000, func() bool { return c.settled() == "" }) {
		t.Fatalf("the cluster has not formed: %s\n%s", c.settled(), c.report())
	}
	if !c.replaceRouting(ackMs) {
		t.Fatalf("the first table was not acknowledged\n%s", c.report())
	}
	return c
}

// checkFinalState fails the test unless the cluster reaches its final state and goes on acknowledging.
func (c *virtualCluster) checkFinalState(t *rapid.T) {
	if !c.runUntil(recoveryMs, func() bool { return c.settled() == "" }) {
		t.Fatalf("after %d ms: %s\n%s", recoveryMs, c.settled(), c.report())
	}
	if !c.replaceRouting(ackMs) {
		t.Fatalf("no table is acknowledged any more\n%s", c.report())
	}
	for _, process := range c.running {
		if process.core.QuorumState().IsLost {
			t.Fatalf("%s reports a lost quorum\n%s", process.name, c.report())
		}
	}
}

// TestMachinesLostOneAtATime guards against a settings group that loses its quorum for good, or an acknowledged
// table, although its machines are lost one at a time and each successor has had its time: with losses of
// leaders and others in any order, successors that come before, right after or long after a loss, planned stops,
// and machines that are only away for a time.
func TestMachinesLostOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := formed(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 4, 5, 5, 6, 7}).Draw(t, "machines"), 1)
		c.lossShare = rapid.SampledFrom([]float64{0, 0, 0.02}).Draw(t, "share of lost messages")
		for range rapid.IntRange(1, 12).Draw(t, "losses") {
			c.strike(drawLoss(t))
			// What is acknowledged in between must not be lost. A gap without a leader is no fault here.
			c.replaceRouting(rapid.Int64Range(0, 1500).Draw(t, "acknowledgement ms"))
		}
		c.lossShare = 0
		c.checkFinalState(t)
	})
}

// TestLeadersLostInARow guards against silence that each leader counts anew: no lost voter would be removed
// as long as leaders are lost within that time, until the others are no quorum.
func TestLeadersLostInARow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := formed(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "machines"), 1)
		successorAfterMs := rapid.Int64Range(0, 2500).Draw(t, "successor after ms")
		for range rapid.IntRange(4, 12).Draw(t, "losses") {
			c.strike(loss{kind: killed, ofLeader: true, successorAfterMs: successorAfterMs})
			if !c.replaceRouting(ackMs) {
				t.Fatalf("no table is acknowledged although the successor has had its time\n%s", c.report())
			}
		}
		c.checkFinalState(t)
	})
}

// TestTwoMachinesLostAtOnce guards against a change of members that a second loss within the tolerance ends:
// two machines are lost at any distance of each other, during the replacement of the first too.
func TestTwoMachinesLostAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := formed(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{5, 6, 7}).Draw(t, "machines"), 2)
		for range rapid.IntRange(1, 5).Draw(t, "pairs") {
			for number := range 2 {
				victim := c.leader()
				if victim == nil || rapid.Bool().Draw(t, "of any") {
					victim = c.running[c.random.IntN(len(c.running))]
				}
				c.end(victim)
				c.run(rapid.Int64Range(0, 1500).Draw(t, "successor after ms"))
				c.addSuccessor()
				if number == 0 {
					c.run(rapid.Int64Range(0, catchUpMs).Draw(t, "second loss after ms"))
				}
			}
			c.run(catchUpMs)
			c.replaceRouting(500)
		}
		c.checkFinalState(t)
	})
}

// TestVotersThatReturn guards against a removal that leaves fewer voters than the losses that must be borne:
// while a voter is away, however long, another machine is lost for good, and then the first one returns.
func TestVotersThatReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := formed(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 4, 5}).Draw(t, "machines"), 1)
		if rapid.Bool().Draw(t, "machine added") {
			c.addSuccessor()
		}
		c.run(rapid.Int64Range(0, 3000).Draw(t, "before ms"))
		away := c.running[c.random.IntN(len(c.running)-1)]
		c.end(away)
		c.run(rapid.Int64Range(0, 9000).Draw(t, "away ms"))
		lost := c.running[c.random.IntN(len(c.running))]
		c.end(lost)
		c.run(rapid.Int64Range(0, 5000).Draw(t, "both away ms"))
		c.notef("%s is back", away.name)
		away.start()
		c.running = append(c.running, away)
		c.run(rapid.Int64Range(0, 3000).Draw(t, "successor after ms"))
		c.addSuccessor()
		c.checkFinalState(t)
	})
}
