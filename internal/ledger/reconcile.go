package ledger

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/replication"
)

// reconcile brings the groups led here one step nearer to their placement, and
// drops replicas that nobody counts any more.
func (c *Core) reconcile() {
	if c.view == nil {
		return
	}
	for _, group := range slices.Clone(c.host.Groups) {
		placement, placed := c.view.Groups[uint32(group.ID)]
		if !placed {
			continue
		}
		if !group.IsLeader() {
			delete(c.ledSinceMs, group.ID)
			c.dropForgotten(group, placement)
			continue
		}
		if c.draining {
			c.handOver(group, anyMember)
			continue
		}
		next, step := nextConfiguration(group.Node, placement.Members, c.currentReplicas(placement))
		if step {
			_ = group.Node.ProposeConfiguration(next)
		} else if !placedAt(placement, c.options.Member) {
			// Invariant: only a host of the placement is handed the group. Two that are both to
			// leave it would hand it to and fro, and each change of leadership interrupts the
			// transfer to their successors, so that these never catch up.
			c.handOver(group, func(member string) bool { return placedAt(placement, member) })
		} else {
			c.balance(group, c.nowMs)
		}
	}
}

func placedAt(placement membership.Placement, member string) bool {
	return slices.Contains(placement.Members, member)
}

// balance hands a group to the member that is to lead it, so that no host stays the
// leader of more groups than its share after others were lost: a leader does several
// times a follower's work. It waits until this host has led for a while and hands over
// one group at a time.
func (c *Core) balance(group *replication.Group, nowMs int64) {
	if c.ledSinceMs[group.ID] == 0 {
		c.ledSinceMs[group.ID] = nowMs
	}
	preferred := c.preferred[uint32(group.ID)]
	if preferred == c.options.Member || nowMs-c.ledSinceMs[group.ID] < balanceAfterMs || nowMs-c.lastBalanceMs < balanceEveryMs {
		return
	}
	for _, replica := range group.Node.Configuration().Replicas {
		if replica.Member == preferred && group.Node.IsRecentlyActive(replica.ID) && group.Node.TransferLeadership(replica.ID) {
			c.lastBalanceMs = nowMs
		}
	}
}

// preferredLeaders gives each group the member that is to lead it, so that every host
// leads about as many groups as any other. All hosts come to the same answer from the
// same placements.
func preferredLeaders(view *membership.FleetView) map[uint32]string {
	preferred := map[uint32]string{}
	led := map[string]int{}
	for _, group := range replication.SortedKeys(view.Groups) {
		members := view.Groups[group].Members
		best := ""
		for position := range members {
			// Ties go to another position in each group.
			member := members[(position+int(group))%len(members)]
			if best == "" || led[member] < led[best] {
				best = member
			}
		}
		preferred[group] = best
		led[best]++
	}
	return preferred
}

// dropForgotten stops hosting a group that is placed elsewhere and whose leader
// does not speak to this replica. What the disk holds stays: it is the same replica
// if it is placed here again.
func (c *Core) dropForgotten(group *replication.Group, placement membership.Placement) {
	if placedAt(placement, c.options.Member) || group.Node.Leader() != consensus.None {
		delete(c.leaderlessMs, group.ID)
		return
	}
	since, known := c.leaderlessMs[group.ID]
	if !known {
		c.leaderlessMs[group.ID] = c.nowMs
		return
	}
	if c.nowMs-since > forgetGroupAfterMs {
		delete(c.leaderlessMs, group.ID)
		c.host.RemoveGroup(group.ID)
	}
}

// currentReplicas returns the disks that the placed hosts have at present.
func (c *Core) currentReplicas(placement membership.Placement) map[string]consensus.ReplicaID {
	current := map[string]consensus.ReplicaID{}
	for _, member := range placement.Members {
		if host, ok := c.view.Ledgers[member]; ok {
			current[member] = host.Replica
		}
	}
	return current
}

// nextConfiguration returns the next single step from a group's configuration to
// its placement, and whether there is one.
func nextConfiguration(node *consensus.Node, members []string, current map[string]consensus.ReplicaID) (consensus.Configuration, bool) {
	configuration := node.Configuration()
	if stale, found := lostDisk(node, members, current); found {
		return configuration.Without(stale), true
	}
	for _, member := range members {
		id, known := current[member]
		if _, present := configuration.Find(id); known && !present && !hasMember(configuration, member) {
			return configuration.With(consensus.Replica{ID: id, Member: member, IsLearner: true}), true
		}
	}
	ready, found := caughtUpLearner(node, members)
	if found {
		// A voter that is placed elsewhere and silent goes before its successor
		// votes, so that the quorum does not grow meanwhile.
		if extra, dead := extraReplica(node, members, false); dead && len(configuration.Voters()) > 1 {
			return configuration.Without(extra), true
		}
		ready.IsLearner = false
		return configuration.With(ready), true
	}
	if allVote(configuration, members, current) {
		if extra, found := extraReplica(node, members, true); found {
			return configuration.Without(extra), true
		}
	}
	return configuration, false
}

func hasMember(configuration consensus.Configuration, member string) bool {
	return slices.ContainsFunc(configuration.Replicas, func(replica consensus.Replica) bool { return replica.Member == member })
}

// lostDisk returns a replica whose host came back with another disk. Invariant: a
// replica that still answers has not lost its disk.
func lostDisk(node *consensus.Node, members []string, current map[string]consensus.ReplicaID) (consensus.ReplicaID, bool) {
	for _, replica := range node.Configuration().Replicas {
		id, known := current[replica.Member]
		if known && id != replica.ID && !node.IsRecentlyActive(replica.ID) && slices.Contains(members, replica.Member) {
			return replica.ID, true
		}
	}
	return consensus.None, false
}

func caughtUpLearner(node *consensus.Node, members []string) (consensus.Replica, bool) {
	for _, replica := range node.Configuration().Replicas {
		if replica.IsLearner && slices.Contains(members, replica.Member) && node.IsCaughtUp(replica.ID, caughtUpLag) {
			return replica, true
		}
	}
	return consensus.Replica{}, false
}

// extraReplica returns a replica that the placement does not want, the leader
// itself aside; active chooses whether it may still be answering.
func extraReplica(node *consensus.Node, members []string, active bool) (consensus.ReplicaID, bool) {
	for _, replica := range node.Configuration().Replicas {
		extra := !slices.Contains(members, replica.Member) && replica.ID != node.ID()
		if extra && (active || !node.IsRecentlyActive(replica.ID)) {
			return replica.ID, true
		}
	}
	return consensus.None, false
}

func allVote(configuration consensus.Configuration, members []string, current map[string]consensus.ReplicaID) bool {
	for _, member := range members {
		if !configuration.IsVoter(current[member]) {
			return false
		}
	}
	return true
}
