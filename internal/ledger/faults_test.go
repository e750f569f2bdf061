package ledger

import (
	"fmt"
	"testing"
)

// TestDisksLostInTurn loses every disk, one after the other, each as soon as the group has recovered
// from the previous loss. No acknowledged turn may be lost.
func TestDisksLostInTurn(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, seed, 3, 3)
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		last := ""
		for round := range 6 {
			for number := range 8 {
				request := fmt.Sprintf("%d-%d", round, number)
				c.retainTurn(request, last)
				c.run(60)
				if c.acknowledged[request] != "" {
					last = request
				}
			}
			victim := c.nodes[round%3]
			victim.core = nil
			c.run(int64(100 + c.random.IntN(900)))
			victim.replaceDisk()
			victim.start()
			c.distributeView()
			c.runUntil("the recovery", c.matchesPlacement)
		}
		if len(c.acknowledged) < 20 {
			t.Fatalf("seed %d: only %d turns were retained", seed, len(c.acknowledged))
		}
		c.checkInvariants()
	}
}

// strike crashes a host, partitions it or replaces its disk, and waits for the recovery. whilePartitioned
// is called at the end of a partition.
func (c *cluster) strike(victim *node, whilePartitioned func()) {
	switch c.random.IntN(3) {
	case 0:
		victim.core = nil
		c.run(int64(c.random.IntN(2000)))
		victim.start()
	case 1:
		victim.partitioned = true
		c.run(int64(c.random.IntN(3000)))
		whilePartitioned()
		victim.partitioned = false
	case 2:
		victim.core = nil
		c.run(int64(c.random.IntN(2000)))
		victim.replaceDisk()
		victim.start()
	}
	c.distributeView()
	c.runUntil("the recovery", c.matchesPlacement)
}

// TestRandomFaults crashes hosts, partitions them or loses their disks, one at a time, while turns are
// retained and reserved. No acknowledged turn may be lost, and the reserved turns must not exceed the
// budget.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		c := newCluster(t, seed, 4, 3)
		last := ""
		for step := range 40 {
			request := fmt.Sprint(step)
			c.retainTurn(request, last)
			c.reserveTurn(request)
			c.run(int64(20 + c.random.IntN(200)))
			if c.acknowledged[request] != "" {
				last = request
			}
			if c.random.IntN(4) != 0 {
				continue
			}
			c.strike(c.nodes[c.random.IntN(len(c.nodes))], func() {})
		}
		if len(c.acknowledged) < 10 {
			t.Fatalf("seed %d: only %d turns were retained", seed, len(c.acknowledged))
		}
		c.checkInvariants()
	}
}

// TestWholeClusterLosesPower restarts all hosts at once without control. They must restore the
// placement from their disks and elect a leader within 600 ms.
func TestWholeClusterLosesPower(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	c.retainTurn("a", "")
	c.runUntil("a retained turn", func() bool { return c.acknowledged["a"] != "" })
	for _, node := range c.nodes {
		node.core = nil
	}
	c.run(1000)
	for _, node := range c.nodes {
		node.start()
	}
	c.run(600)
	if c.leader() == nil {
		t.Fatal("no leader 600 ms after the restart")
	}
	c.checkInvariants()
}

// TestGroupMovesOffHost moves a group from each of its hosts in turn, the leader included, to a spare host.
// The host that the group leaves must not remain in the configuration, and no acknowledged turn may be
// lost.
func TestGroupMovesOffHost(t *testing.T) {
	for retiring := range 3 {
		c := newCluster(t, uint64(retiring), 4, 3)
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		for number := range 30 {
			c.retainTurn(fmt.Sprint(number), "")
			c.run(30)
		}
		c.groups[0].Members[retiring] = c.nodes[3].host.Member
		c.distributeView()
		c.runUntil("the move", c.matchesPlacement)
		for _, replica := range c.leader().core.host.FindGroup(1).Node.Configuration().Replicas {
			if replica.Member == c.nodes[retiring].host.Member {
				t.Fatalf("%s is still in the configuration", replica.Member)
			}
		}
		c.nodes[retiring].core = nil
		c.checkInvariants()
	}
}
