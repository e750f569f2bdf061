package ledger

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

// restart starts a host that lost power on its disk. It gets the newest view a moment later.
func (c *cluster) restart(host *node) {
	if host.core == nil {
		host.start()
	}
	c.run(50)
	c.distributeView()
}

// hostsOfTheGroup counts the running hosts, of those given, that host the group.
func hostsOfTheGroup(nodes []*node) int {
	count := 0
	for _, host := range nodes {
		if host.core != nil && host.core.host.FindGroup(1) != nil {
			count++
		}
	}
	return count
}

// TestHostsThatReturnOneByOne guards against replicas that stop voting because their group has been placed on other
// hosts, which have none of its state: all hosts of a group lose power at once, return one after the other, some of
// them for a moment only, and the group is placed elsewhere meanwhile. Once a majority is back it must move with all its
// turns, and the hosts that it has left must stop hosting it.
func TestHostsThatReturnOneByOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(t, rapid.Uint64().Draw(rt, "seed"), 6, 3)
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
		for _, host := range c.nodes[:3] {
			host.core = nil
		}
		c.run(rapid.Int64Range(0, 4000).Draw(rt, "before the move ms"))
		for position := range c.groups[0].Members {
			if position == 0 || rapid.Bool().Draw(rt, "moved") {
				c.groups[0].Members[position] = c.nodes[3+position].host.Member
			}
		}
		c.distributeView()
		for _, host := range c.nodes[:3] {
			c.run(rapid.Int64Range(0, 12_000).Draw(rt, "away ms"))
			c.restart(host)
			if rapid.IntRange(0, 3).Draw(rt, "loses power again") == 0 {
				c.run(rapid.Int64Range(0, 7000).Draw(rt, "up ms"))
				host.core = nil
			}
		}
		for _, host := range c.nodes[:3] {
			c.restart(host)
		}
		const recoveryChecks = 120
		for range recoveryChecks {
			if c.matchesPlacement() {
				break
			}
			c.run(100)
		}
		if !c.matchesPlacement() {
			rt.Fatalf("the group has not moved, leader: %t, hosted by %d of the old hosts", c.leader() != nil, hostsOfTheGroup(c.nodes[:3]))
		}
		c.checkInvariants()
		c.run(removeOrphanAfterMs + 5*membershipQueryIntervalMs)
		if hosting := hostsOfTheGroup(c.nodes); hosting != len(c.groups[0].Members) {
			rt.Fatalf("%d hosts host the group, placed on %d", hosting, len(c.groups[0].Members))
		}
		// A host that the group has left does not host it after a restart either, until it is placed there again.
		left := c.nodes[0]
		left.core = nil
		c.restart(left)
		if left.core.host.FindGroup(1) != nil {
			rt.Fatal("a host that the group has left hosts it again after a restart")
		}
		c.groups[0].Members[0] = left.host.Member
		c.distributeView()
		c.runUntil("the return", c.matchesPlacement)
		c.checkInvariants()
	})
}

// TestStaleRemovals guards against a replica that is removed on the word of an earlier time, or of another disk.
func TestStaleRemovals(t *testing.T) {
	c := newCluster(t, 1, 4, 3)
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	host := c.nodes[0]
	for _, removed := range []protocol.GroupReplica{{Group: 1, Replica: host.host.Replica}, {Group: 1, Replica: host.host.Replica + 100}, {Group: 9, Replica: host.host.Replica}} {
		host.core.HandlePeerBatch(protocol.PeerBatch{From: c.nodes[1].host.Member, RemovedReplicas: []protocol.GroupReplica{removed}}, c.nowMs)
		if host.core.host.FindGroup(1) == nil {
			t.Fatalf("%+v removed a replica that is placed here", removed)
		}
	}
	fresh := c.nodes[3]
	fresh.core.fleetView = &membership.FleetView{}
	fresh.core.HandlePeerBatch(protocol.PeerBatch{From: "m0", MembershipQueries: []protocol.GroupReplica{{Group: 1, Replica: 1}}}, c.nowMs)
	if fresh.core.HandlePeerBatch(protocol.PeerBatch{From: "m0"}, c.nowMs); fresh.core.Flush() != nil {
		t.Fatal("a query about a group that is not hosted fails")
	}
}
