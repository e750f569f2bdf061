package ledger

import (
	"fmt"
	"slices"
	"testing"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

// TestSnapshotInParts has an empty disk learn a group of several megabytes while turns go
// on being kept: no message may hold more than a part of it, since a host that encodes or
// reads a whole group at once goes over its memory. It is told of the repair by losing the
// other disks in turn.
func TestSnapshotInParts(t *testing.T) {
	const longestMessage = 600 << 10
	for seed := range uint64(6) {
		c := newCluster(t, seed, 3, 3)
		c.until("a leader", func() bool { return c.leader() != nil })
		c.keepMany("first", 250)
		for round := range 3 {
			victim := c.nodes[round]
			victim.core = nil
			c.run(500)
			victim.wipe()
			victim.start()
			c.tellView()
			c.keepMany(fmt.Sprint(round), 40)
			if round == 0 && seed%2 == 1 {
				// The receiver of the snapshot forgets what it had received of it.
				victim.core = nil
				c.run(100)
				victim.start()
				c.tellView()
			}
			c.until("the repair", c.settled)
		}
		if c.longest > longestMessage {
			t.Fatalf("seed %d: a message of %d bytes", seed, c.longest)
		}
		c.check()
	}
}

// TestLateReplicaNeedsNoSnapshot holds that a replica which is behind by less than what
// is compacted at once gets the entries and not the whole group.
func TestLateReplicaNeedsNoSnapshot(t *testing.T) {
	c := newCluster(t, 3, 3, 3)
	c.until("a leader", func() bool { return c.leader() != nil })
	var late *node
	for _, node := range c.nodes {
		if node != c.leader() {
			late = node
		}
	}
	for round := range 12 {
		late.cut = true
		c.keepMany(fmt.Sprint(round), 4)
		late.cut = false
		c.run(400)
	}
	if c.snapshots > 0 {
		t.Fatalf("%d snapshots sent to a replica that was 4 entries behind", c.snapshots)
	}
	c.check()
}

// TestChargesShareTheWay holds that the charge for a turn travels with the next
// reservation of its group, and that no message is sent only to say that something is
// committed: four fifths of the processor time of the grown site went into such messages.
func TestChargesShareTheWay(t *testing.T) {
	const turns, followers = 40, 2
	c := newCluster(t, 5, 3, 3)
	c.until("a leader", func() bool { return c.leader() != nil })
	c.run(500)
	c.appends, c.commits = 0, 0
	settled := 0
	for number := range turns {
		leader := c.leader()
		if number > 0 {
			leader.ask(&protocol.TurnRequest{Group: 1, Settle: &program.Settle{
				Program: "budget", Request: fmt.Sprint(number - 1), UsedTokens: 1,
			}}, func(reply *protocol.TurnReply) {
				if reply.Error == nil {
					settled++
				}
			})
		}
		c.spend(fmt.Sprint(number))
		c.run(40)
	}
	if len(c.granted) != turns || settled != turns-1 {
		t.Fatalf("%d of %d turns granted and %d settled", len(c.granted), turns, settled)
	}
	// The network loses one message in a hundred, which is sent again.
	if limit := turns*followers + turns/4; c.appends > limit {
		t.Fatalf("%d messages with appends for %d turns, at most %d expected", c.appends, turns, limit)
	}
	if c.commits > turns/4 {
		t.Fatalf("%d messages that bring nothing", c.commits)
	}
}

// TestHistoryIsReadNearby holds that an asker in a zone with a replica of its own is told
// which turns to ask that replica for, that the replica has them, and that one which has
// not applied a turn yet sends the asker on and never says that there is no such turn.
func TestHistoryIsReadNearby(t *testing.T) {
	c := newCluster(t, 7, 4, 3)
	c.until("a leader", func() bool { return c.leader() != nil })
	last := ""
	for number := range 5 {
		request := fmt.Sprint(number)
		c.keep(request, last)
		c.until("a kept turn", func() bool { c.run(100); return c.kept[request] != "" })
		last = request
	}
	leader := c.leader()
	ask := func(host *node, request *protocol.TurnRequest) *protocol.TurnReply {
		var answer *protocol.TurnReply
		host.ask(request, func(reply *protocol.TurnReply) { answer = reply })
		c.until("an answer", func() bool { return answer != nil })
		return answer
	}
	reserve := func(zone, known string) *protocol.TurnReply {
		return ask(leader, &protocol.TurnRequest{Group: 1, Zone: zone, CachedTurn: known, Reserve: &program.Reserve{Program: "p", Request: "next", PreviousRequest: last}})
	}
	for _, host := range c.nodes[:3] {
		reply := reserve(host.host.Zone, "")
		if host == leader {
			if string(reply.History) != c.kept[last] || len(reply.OlderTurns) > 0 {
				t.Fatalf("in the leader's zone: chain %q, older %v", reply.History, reply.OlderTurns)
			}
			continue
		}
		older := ask(host, &protocol.TurnRequest{Group: 1, ContentsOf: reply.OlderTurns})
		if older.Error != nil || string(older.History)+string(reply.History) != c.kept[last] {
			t.Fatalf("in zone %s: %q and %q, %v", host.host.Zone, older.History, reply.History, older.Error)
		}
		known := reserve(host.host.Zone, "1")
		if !known.IsContinuation || !slices.Equal(known.OlderTurns, []string{"2", "3"}) {
			t.Fatalf("going on from turn 1: continued %v, older %v", known.IsContinuation, known.OlderTurns)
		}
		unheard := ask(host, &protocol.TurnRequest{Group: 1, ContentsOf: []string{"0", "not applied here"}})
		if unheard.Error == nil || unheard.Error.Code != result.NotLeader || unheard.Leader != leader.host.Member {
			t.Fatalf("a turn that is not here: %v, sent on to %q", unheard.Error, unheard.Leader)
		}
	}
	if reply := reserve("a zone without a replica", ""); string(reply.History) != c.kept[last] {
		t.Fatalf("elsewhere: chain %q, older %v", reply.History, reply.OlderTurns)
	}
}

// TestLeadershipIsBalanced holds that a group goes back to the member that is to lead it
// once that one is there again, also while turns keep coming.
func TestLeadershipIsBalanced(t *testing.T) {
	for seed := range uint64(5) {
		c := newCluster(t, seed, 3, 3)
		c.until("a leader", func() bool { return c.leader() != nil })
		preferred := c.nodes[0]
		for _, node := range c.nodes {
			if node.host.Member == c.leader().core.preferred[1] {
				preferred = node
			}
		}
		preferred.core = nil
		c.until("another leader", func() bool { return c.leader() != nil && c.leader() != preferred })
		preferred.start()
		c.tellView()
		number := 0
		c.until("the preferred member's leadership", func() bool {
			number++
			c.keep(fmt.Sprint("busy-", number), "")
			c.run(20)
			return c.leader() == preferred
		})
		c.check()
	}
}

// TestPreferredLeadersAreSpread holds that no host is to lead more groups than its share,
// whatever the order of the members: the names of one hall come first in every placement.
func TestPreferredLeadersAreSpread(t *testing.T) {
	view := &membership.FleetView{Groups: map[uint32]membership.Placement{}}
	hosts := []string{"a1", "a2", "b1", "b2", "c1", "c2", "d1", "e1"}
	const groups, replicas = 8, 5
	for group := range uint32(groups) {
		placement := membership.Placement{Group: group + 1, Members: []string{hosts[group%2]}}
		for position := range replicas - 1 {
			placement.Members = append(placement.Members, hosts[2+(int(group)+position)%6])
		}
		view.Groups[group+1] = placement
	}
	led := map[string]int{}
	for group, leader := range preferredLeaders(view) {
		if !slices.Contains(view.Groups[group].Members, leader) {
			t.Fatalf("group %d is to be led by %s, which does not hold it", group, leader)
		}
		led[leader]++
	}
	for host, count := range led {
		if count > 1 {
			t.Errorf("%s is to lead %d of %d groups", host, count, groups)
		}
	}
}
