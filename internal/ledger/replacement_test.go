package ledger

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestDiskLostWhileAHostIsReplaced guards against a ledger group that ends for good because a disk is lost while
// the group moves from a host that is away to another one: the disk of the host that is away must count until the
// new one votes. The disk of any host is lost at any time of the move, and all hosts are back later.
func TestDiskLostWhileAHostIsReplaced(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(t, rapid.Uint64().Draw(rt, "seed"), 4, 3)
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		last := ""
		for number := range rapid.IntRange(1, 30).Draw(rt, "turns") {
			request := fmt.Sprint(number)
			c.retainTurn(request, last)
			c.run(30)
			if c.acknowledged[request] != "" {
				last = request
			}
		}
		away := rapid.IntRange(0, 2).Draw(rt, "away")
		c.nodes[away].core = nil
		c.run(rapid.Int64Range(0, 2000).Draw(rt, "before the move ms"))
		c.groups[0].Members[away] = c.nodes[3].host.Member
		c.distributeView()
		c.run(rapid.Int64Range(0, 1500).Draw(rt, "move ms") / stepMs * stepMs)
		lost := c.nodes[(away+rapid.IntRange(1, 2).Draw(rt, "lost"))%3]
		lost.core = nil
		c.run(rapid.Int64Range(0, 1500).Draw(rt, "both away ms"))
		lost.replaceDisk()
		if rapid.Bool().Draw(rt, "lost one first") {
			lost.start()
			c.distributeView()
			c.run(rapid.Int64Range(0, 1500).Draw(rt, "other one later ms"))
		} else {
			c.nodes[away].start()
			c.run(rapid.Int64Range(0, 1500).Draw(rt, "lost one later ms"))
			lost.start()
		}
		if c.nodes[away].core == nil {
			c.nodes[away].start()
		}
		c.distributeView()
		const recoveryChecks = 120
		for range recoveryChecks {
			if c.matchesPlacement() {
				break
			}
			c.run(100)
		}
		if !c.matchesPlacement() {
			rt.Fatalf("the group has not recovered, leader: %t", c.leader() != nil)
		}
		c.checkInvariants()
	})
}
