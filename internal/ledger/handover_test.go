package ledger

import (
	"fmt"
	"testing"
)

// groupTerm is the term of the group at the host that leads it, 0 without a leader.
func (c *cluster) groupTerm() uint64 {
	leader := c.leader()
	if leader == nil {
		return 0
	}
	return leader.core.host.FindGroup(1).Node.Term()
}

// place moves the group to the hosts from first on, as many as before.
func (c *cluster) place(first int) {
	replicas := len(c.groups[0].Members)
	members := make([]string, 0, replicas)
	for _, node := range c.nodes[first : first+replicas] {
		members = append(members, node.host.Member)
	}
	c.groups[0].Members = members
	c.tellView()
}

// TestLeaderWaitsForItsSuccessors places a group of five on two hosts that have not started, in
// place of two that serve, the leader among them. The two must not hand the leadership to and
// fro: each change interrupts the transfer to the new hosts and what the owner of tenants'
// limits knows of the time.
func TestLeaderWaitsForItsSuccessors(t *testing.T) {
	for seed := range uint64(5) {
		c := newCluster(t, seed, 7, 5)
		c.until("a leader", func() bool { return c.leader() != nil })
		c.keepMany("long", 20)
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
		c.place(2)
		c.run(5000)
		if after := c.groupTerm(); after > before+1 {
			t.Fatalf("seed %d: %d changes of leadership in 5 s while hosts of the placement are away", seed, after-before)
		}
		c.nodes[5].start()
		c.nodes[6].start()
		c.tellView()
		c.until("the placement", func() bool { return c.settled() && c.leader() != c.nodes[0] && c.leader() != c.nodes[1] })
		if after := c.groupTerm(); after > before+2 {
			t.Fatalf("seed %d: %d changes of leadership until the placement was reached", seed, after-before)
		}
	}
}

// TestHandOverUnderLoad moves a large group while turns are kept.
func TestHandOverUnderLoad(t *testing.T) {
	c := newCluster(t, 3, 7, 5)
	c.until("a leader", func() bool { return c.leader() != nil })
	c.keepMany("large", 100)
	for first := range 3 {
		before := c.groupTerm()
		c.place(first)
		c.until(fmt.Sprintf("placement %d", first), c.settled)
		c.run(1000)
		if after := c.groupTerm(); after > before+2 {
			t.Fatalf("placement %d: %d changes of leadership", first, after-before)
		}
	}
	c.check()
}

// TestSilentLearnerDoesNotVote places a group with a short log on hosts that have not started:
// they must not count in its quorum.
func TestSilentLearnerDoesNotVote(t *testing.T) {
	c := newCluster(t, 1, 7, 5)
	c.until("a leader", func() bool { return c.leader() != nil })
	c.nodes[5].core, c.nodes[6].core = nil, nil
	c.place(2)
	c.run(3000)
	leader := c.leader()
	if leader == nil {
		t.Fatal("no leader")
	}
	for _, replica := range leader.core.host.FindGroup(1).Node.Configuration().Replicas {
		absent := replica.Member == c.nodes[5].host.Member || replica.Member == c.nodes[6].host.Member
		if absent && !replica.IsLearner {
			t.Fatalf("%s votes and was never heard", replica.Member)
		}
	}
}
