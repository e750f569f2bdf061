package ledger

import (
	"fmt"
	"testing"
)

// groupTerm returns the term of the group at its leader, or 0 if there is no leader.
func (c *cluster) groupTerm() uint64 {
	leader := c.leader()
	if leader == nil {
		return 0
	}
	return leader.core.host.FindGroup(1).Node.Term()
}

// moveGroup places the group on consecutive hosts, as many as before, from index first on.
func (c *cluster) moveGroup(first int) {
	replicas := len(c.groups[0].Members)
	members := make([]string, 0, replicas)
	for _, node := range c.nodes[first : first+replicas] {
		members = append(members, node.host.Member)
	}
	c.groups[0].Members = members
	c.distributeView()
}

// TestLeaderWaitsForItsSuccessors replaces two running hosts of a group of five, one of them the
// leader, with two hosts that are down. The replaced hosts must not transfer the leadership back and
// forth: each leadership change interrupts the snapshot transfers to the new hosts, and discards what
// the quota owner knows about the times of its grants.
func TestLeaderWaitsForItsSuccessors(t *testing.T) {
	for seed := range uint64(5) {
		c := newCluster(t, seed, 7, 5)
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		c.retainTurns("long", 20)
		for _, absent := range c.nodes[5:] {
			absent.core = nil
		}
		for c.leader() != c.nodes[0] && c.leader() != c.nodes[1] {
			c.nodes[2].core.Drain()
			c.nodes[3].core.Drain()
			c.nodes[4].core.Drain()
			c.run(200)
		}
		for _, node := range c.nodes[2:5] {
			node.core.draining = false
		}
		c.run(500)
		before := c.groupTerm()
		c.moveGroup(2)
		c.run(5000)
		if after := c.groupTerm(); after > before+1 {
			t.Fatalf("seed %d: %d leadership changes in 5 s while hosts of the placement are down", seed, after-before)
		}
		c.nodes[5].start()
		c.nodes[6].start()
		c.distributeView()
		c.runUntil("the placement", func() bool { return c.matchesPlacement() && c.leader() != c.nodes[0] && c.leader() != c.nodes[1] })
		if after := c.groupTerm(); after > before+2 {
			t.Fatalf("seed %d: %d leadership changes until the placement was reached", seed, after-before)
		}
	}
}

// TestMovesOfLargeGroup moves a large group from host to host. Each move may cause at most two
// leadership changes, and no acknowledged turn may be lost.
func TestMovesOfLargeGroup(t *testing.T) {
	c := newCluster(t, 3, 7, 5)
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	c.retainTurns("large", 100)
	for first := range 3 {
		before := c.groupTerm()
		c.moveGroup(first)
		c.runUntil(fmt.Sprintf("placement %d", first), c.matchesPlacement)
		c.run(1000)
		if after := c.groupTerm(); after > before+2 {
			t.Fatalf("placement %d: %d leadership changes", first, after-before)
		}
	}
	c.checkInvariants()
}

// TestSilentLearnerDoesNotVote places a group with a short log on two hosts that are down. They must
// not become voters, although they lack only a few entries.
func TestSilentLearnerDoesNotVote(t *testing.T) {
	c := newCluster(t, 1, 7, 5)
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	c.nodes[5].core, c.nodes[6].core = nil, nil
	c.moveGroup(2)
	c.run(3000)
	leader := c.leader()
	if leader == nil {
		t.Fatal("no leader")
	}
	for _, replica := range leader.core.host.FindGroup(1).Node.Configuration().Replicas {
		isAbsent := replica.Member == c.nodes[5].host.Member || replica.Member == c.nodes[6].host.Member
		if isAbsent && !replica.IsLearner {
			t.Fatalf("%s is a voter but has never responded", replica.Member)
		}
	}
}
