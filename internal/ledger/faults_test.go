package ledger

import (
	"fmt"
	"testing"
)

// TestDisksLostInTurn loses every disk, one after the other, each as soon as the
// repair before has ended; nothing acknowledged may be gone.
func TestDisksLostInTurn(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, seed, 3, 3)
		c.until("a leader", func() bool { return c.leader() != nil })
		last := ""
		for round := range 6 {
			for number := range 8 {
				request := fmt.Sprintf("%d-%d", round, number)
				c.keep(request, last)
				c.run(60)
				if c.kept[request] != "" {
					last = request
				}
			}
			victim := c.nodes[round%3]
			victim.core = nil
			c.run(int64(100 + c.random.IntN(900)))
			victim.wipe()
			victim.start()
			c.tellView()
			c.until("the repair", c.settled)
		}
		if len(c.kept) < 20 {
			t.Fatalf("seed %d: only %d turns were kept", seed, len(c.kept))
		}
		c.check()
	}
}

// TestRandomFaults kills, cuts off and loses the disk of hosts, one at a time, while
// turns are kept and budgets spent.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		c := newCluster(t, seed, 4, 3)
		last := ""
		for step := range 40 {
			request := fmt.Sprint(step)
			c.keep(request, last)
			c.spend(request)
			c.run(int64(20 + c.random.IntN(200)))
			if c.kept[request] != "" {
				last = request
			}
			if c.random.IntN(4) != 0 {
				continue
			}
			victim := c.nodes[c.random.IntN(len(c.nodes))]
			switch c.random.IntN(3) {
			case 0:
				victim.core = nil
				c.run(int64(c.random.IntN(2000)))
				victim.start()
			case 1:
				victim.cut = true
				c.run(int64(c.random.IntN(3000)))
				victim.cut = false
			case 2:
				victim.core = nil
				c.run(int64(c.random.IntN(2000)))
				victim.wipe()
				victim.start()
			}
			c.tellView()
			c.until("the repair", c.settled)
		}
		if len(c.kept) < 10 {
			t.Fatalf("seed %d: only %d turns were kept", seed, len(c.kept))
		}
		c.check()
	}
}

// TestWholeClusterLosesPower restarts all hosts at once without control: they go on
// from what their disks remember.
func TestWholeClusterLosesPower(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	c.until("a leader", func() bool { return c.leader() != nil })
	c.keep("a", "")
	c.until("a kept turn", func() bool { return c.kept["a"] != "" })
	for _, node := range c.nodes {
		node.core = nil
	}
	c.run(1000)
	for _, node := range c.nodes {
		node.start()
	}
	c.run(600)
	if c.leader() == nil {
		t.Fatal("no leader 600 ms after the start")
	}
	c.check()
}

// TestHostIsEmptied moves a group off a host, the leader's included, onto a spare.
func TestHostIsEmptied(t *testing.T) {
	for retiring := range 3 {
		c := newCluster(t, uint64(retiring), 4, 3)
		c.until("a leader", func() bool { return c.leader() != nil })
		for number := range 30 {
			c.keep(fmt.Sprint(number), "")
			c.run(30)
		}
		c.groups[0].Members[retiring] = c.nodes[3].host.Member
		c.tellView()
		c.until("the move", c.settled)
		for _, replica := range c.leader().core.host.FindGroup(1).Node.Configuration().Replicas {
			if replica.Member == c.nodes[retiring].host.Member {
				t.Fatalf("%s still counts", replica.Member)
			}
		}
		c.nodes[retiring].core = nil
		c.check()
	}
}
