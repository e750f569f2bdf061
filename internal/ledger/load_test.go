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

// TestSnapshotInParts transfers a group of several megabytes to an empty disk while turns are
// retained. No batch may contain more than a part of the group, since a host that encodes or reads a
// whole group at once exceeds its memory. The test then loses the other disks in turn, which checks
// that the transfer was complete.
func TestSnapshotInParts(t *testing.T) {
	const maxBatchBytes = 600 << 10
	for seed := range uint64(6) {
		c := newCluster(t, seed, 3, 3)
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		c.retainTurns("first", 250)
		for round := range 3 {
			victim := c.nodes[round]
			victim.core = nil
			c.run(500)
			victim.replaceDisk()
			victim.start()
			c.distributeView()
			c.retainTurns(fmt.Sprint(round), 40)
			if round == 0 && seed%2 == 1 {
				// The receiver restarts during the transfer of the snapshot.
				victim.core = nil
				c.run(100)
				victim.start()
				c.distributeView()
			}
			c.runUntil("the recovery", c.matchesPlacement)
		}
		if c.longestBatchBytes > maxBatchBytes {
			t.Fatalf("seed %d: longest batch is %d bytes", seed, c.longestBatchBytes)
		}
		c.checkInvariants()
	}
}

// TestLateReplicaNeedsNoSnapshot checks that a replica that lags by fewer entries than the log retains
// after a compaction receives the missing entries and not a snapshot.
func TestLateReplicaNeedsNoSnapshot(t *testing.T) {
	c := newCluster(t, 3, 3, 3)
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	var lagging *node
	for _, node := range c.nodes {
		if node != c.leader() {
			lagging = node
		}
	}
	for round := range 12 {
		lagging.partitioned = true
		c.retainTurns(fmt.Sprint(round), 4)
		lagging.partitioned = false
		c.run(400)
	}
	if c.snapshotMessages > 0 {
		t.Fatalf("%d snapshots sent to a replica that was 4 entries behind", c.snapshotMessages)
	}
	c.checkInvariants()
}

// TestSettlementsAreBatched checks that the settlement of a turn is sent together with the next
// reservation of its group, and that no message is sent only to advance the commit index. Such
// messages took four fifths of the CPU time of a large site.
func TestSettlementsAreBatched(t *testing.T) {
	const turns, followers = 40, 2
	c := newCluster(t, 5, 3, 3)
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	c.run(500)
	c.appendBatches, c.emptyAppendBatches = 0, 0
	settled := 0
	for number := range turns {
		leader := c.leader()
		if number > 0 {
			leader.sendRequest(&protocol.TurnRequest{Group: 1, Settle: &program.Settle{
				Program: "budget", Request: fmt.Sprint(number - 1), UsedTokens: 1,
			}}, func(reply *protocol.TurnReply) {
				if reply.Error == nil {
					settled++
				}
			})
		}
		c.reserveTurn(fmt.Sprint(number))
		c.run(40)
	}
	if len(c.granted) != turns || settled != turns-1 {
		t.Fatalf("%d of %d turns granted and %d settled", len(c.granted), turns, settled)
	}
	// The network loses one batch in a hundred, which is retransmitted.
	if limit := turns*followers + turns/4; c.appendBatches > limit {
		t.Fatalf("%d batches with appends for %d turns, at most %d expected", c.appendBatches, turns, limit)
	}
	if c.emptyAppendBatches > turns/4 {
		t.Fatalf("%d batches with appends but without entries", c.emptyAppendBatches)
	}
}

// TestHistoryIsReadInZone checks that a requester in another zone with a voter receives the names of
// the older turns and can read them from that voter. A replica that has not applied a turn must
// redirect the requester to the leader and must not report the turn as unknown.
func TestHistoryIsReadInZone(t *testing.T) {
	c := newCluster(t, 7, 4, 3)
	c.runUntil("a leader", func() bool { return c.leader() != nil })
	last := ""
	for number := range 5 {
		request := fmt.Sprint(number)
		c.retainTurn(request, last)
		c.runUntil("a retained turn", func() bool { c.run(100); return c.acknowledged[request] != "" })
		last = request
	}
	leader := c.leader()
	request := func(host *node, turnRequest *protocol.TurnRequest) *protocol.TurnReply {
		var received *protocol.TurnReply
		host.sendRequest(turnRequest, func(reply *protocol.TurnReply) { received = reply })
		c.runUntil("a reply", func() bool { return received != nil })
		return received
	}
	openTurn := func(zone, cachedTurn string) *protocol.TurnReply {
		return request(leader, &protocol.TurnRequest{Group: 1, Zone: zone, CachedTurn: cachedTurn, Reserve: &program.Reserve{Program: "p", Request: "next", PreviousRequest: last}})
	}
	for _, host := range c.nodes[:3] {
		reply := openTurn(host.host.Zone, "")
		if host == leader {
			if string(reply.History) != c.acknowledged[last] || len(reply.OlderTurns) > 0 {
				t.Fatalf("in the leader's zone: history %q, older turns %v", reply.History, reply.OlderTurns)
			}
			continue
		}
		older := request(host, &protocol.TurnRequest{Group: 1, ContentsOf: reply.OlderTurns})
		if older.Error != nil || string(older.History)+string(reply.History) != c.acknowledged[last] {
			t.Fatalf("in zone %s: older history %q and history %q, error %v", host.host.Zone, older.History, reply.History, older.Error)
		}
		continued := openTurn(host.host.Zone, "1")
		if !continued.IsContinuation || !slices.Equal(continued.OlderTurns, []string{"2", "3"}) {
			t.Fatalf("continuing cached turn 1: is continuation %v, older turns %v", continued.IsContinuation, continued.OlderTurns)
		}
		notApplied := request(host, &protocol.TurnRequest{Group: 1, ContentsOf: []string{"0", "not applied here"}})
		if notApplied.Error == nil || notApplied.Error.Code != result.NotLeader || notApplied.Leader != leader.host.Member {
			t.Fatalf("turn that is not applied on the replica: error %v, redirected to %q", notApplied.Error, notApplied.Leader)
		}
	}
	if reply := openTurn("a zone without a replica", ""); string(reply.History) != c.acknowledged[last] {
		t.Fatalf("in a zone without a replica: history %q, older turns %v", reply.History, reply.OlderTurns)
	}
}

// TestLeadershipIsBalanced checks that a group returns to its preferred leader once that member has
// restarted, also under load.
func TestLeadershipIsBalanced(t *testing.T) {
	for seed := range uint64(5) {
		c := newCluster(t, seed, 3, 3)
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		preferred := c.nodes[0]
		for _, node := range c.nodes {
			if node.host.Member == c.leader().core.preferredLeader[1] {
				preferred = node
			}
		}
		preferred.core = nil
		c.runUntil("another leader", func() bool { return c.leader() != nil && c.leader() != preferred })
		preferred.start()
		c.distributeView()
		number := 0
		c.runUntil("the transfer to the preferred leader", func() bool {
			number++
			c.retainTurn(fmt.Sprint("busy-", number), "")
			c.run(20)
			return c.leader() == preferred
		})
		c.checkInvariants()
	}
}

// TestPreferredLeadersAreSpread checks that no host is the preferred leader of more groups than its
// share, independent of the order of the members: hosts of the same zone come first in every
// placement.
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
	ledGroups := map[string]int{}
	for group, leader := range preferredLeaders(view) {
		if !slices.Contains(view.Groups[group].Members, leader) {
			t.Fatalf("preferred leader of group %d is %s, which is not in its placement", group, leader)
		}
		ledGroups[leader]++
	}
	for host, count := range ledGroups {
		if count > 1 {
			t.Errorf("%s is the preferred leader of %d of %d groups", host, count, groups)
		}
	}
}
