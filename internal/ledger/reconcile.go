package ledger

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/replication"
)

// reconcile moves each group led here one step towards its placement, balances the leadership of the
// groups, and removes orphaned replicas (see removeOrphan).
func (c *Core) reconcile() {
	if c.fleetView == nil {
		return
	}
	for _, group := range slices.Clone(c.host.Groups) {
		placement, isPlaced := c.fleetView.Groups[uint32(group.ID)]
		if !isPlaced {
			continue
		}
		if !group.IsLeader() {
			delete(c.ledSinceMs, group.ID)
			c.removeOrphan(group, placement)
			continue
		}
		if c.draining {
			c.transferLeadership(group, anyMember)
			continue
		}
		next, isChange := nextConfiguration(group.Node, placement.Members, c.currentReplicas(placement))
		if isChange {
			_ = group.Node.ProposeConfiguration(next)
		} else if !isPlacedAt(placement, c.options.Member) {
			// Only a host of the placement may receive the leadership. Otherwise two hosts that
			// both leave the group would transfer it back and forth. Each leadership change
			// interrupts the snapshot transfers to the new hosts, which then never catch up.
			c.transferLeadership(group, func(member string) bool { return isPlacedAt(placement, member) })
		} else {
			c.balanceLeadership(group, c.nowMs)
		}
	}
}

// isPlacedAt reports whether a placement includes a member.
func isPlacedAt(placement membership.Placement, member string) bool {
	return slices.Contains(placement.Members, member)
}

// balanceLeadership transfers a group to its preferred leader, so that after failures no host keeps
// leading more groups than its share: a leader does several times the work of a follower. It waits
// until this host has led the group for a while and transfers one group at a time.
func (c *Core) balanceLeadership(group *replication.Group, nowMs int64) {
	if c.ledSinceMs[group.ID] == 0 {
		c.ledSinceMs[group.ID] = nowMs
	}
	preferred := c.preferredLeader[uint32(group.ID)]
	if preferred == c.options.Member || nowMs-c.ledSinceMs[group.ID] < balanceMinLeadMs || nowMs-c.lastBalanceMs < balanceIntervalMs {
		return
	}
	for _, replica := range group.Node.Configuration().Replicas {
		if replica.Member == preferred && group.Node.IsRecentlyActive(replica.ID) && group.Node.TransferLeadership(replica.ID) {
			c.lastBalanceMs = nowMs
		}
	}
}

// preferredLeaders assigns each group the member that should lead it, so that all hosts lead about
// the same number of groups. The result depends only on the placements, so that all hosts agree.
func preferredLeaders(view *membership.FleetView) map[uint32]string {
	preferred := map[uint32]string{}
	ledGroups := map[string]int{}
	for _, group := range replication.SortedKeys(view.Groups) {
		members := view.Groups[group].Members
		best := ""
		for position := range members {
			// The group number rotates the order of the members, so that ties do not always
			// go to the same position.
			member := members[(position+int(group))%len(members)]
			if best == "" || ledGroups[member] < ledGroups[best] {
				best = member
			}
		}
		preferred[group] = best
		ledGroups[best]++
	}
	return preferred
}

// removeOrphan stops hosting a group that is placed elsewhere once it has had no known leader for
// removeOrphanAfterMs. The group's data stays on disk: if the group is placed here again, this host
// continues as the same replica.
func (c *Core) removeOrphan(group *replication.Group, placement membership.Placement) {
	if isPlacedAt(placement, c.options.Member) || group.Node.Leader() != consensus.None {
		delete(c.leaderlessSinceMs, group.ID)
		return
	}
	since, known := c.leaderlessSinceMs[group.ID]
	if !known {
		c.leaderlessSinceMs[group.ID] = c.nowMs
		return
	}
	if c.nowMs-since > removeOrphanAfterMs {
		delete(c.leaderlessSinceMs, group.ID)
		c.host.RemoveGroup(group.ID)
	}
}

// currentReplicas returns the replica IDs of the current disks of the hosts in a placement, by
// member.
func (c *Core) currentReplicas(placement membership.Placement) map[string]consensus.ReplicaID {
	current := map[string]consensus.ReplicaID{}
	for _, member := range placement.Members {
		if host, ok := c.fleetView.Ledgers[member]; ok {
			current[member] = host.Replica
		}
	}
	return current
}

// nextConfiguration returns the configuration after the next step from a group's configuration to
// its placement, and whether a step is needed. Each step changes one replica.
func nextConfiguration(node *consensus.Node, members []string, current map[string]consensus.ReplicaID) (consensus.Configuration, bool) {
	configuration := node.Configuration()
	if lostReplica, found := replicaWithLostDisk(node, members, current); found {
		return configuration.Without(lostReplica), true
	}
	for _, member := range members {
		id, known := current[member]
		if _, present := configuration.Find(id); known && !present && !hasMember(configuration, member) {
			return configuration.With(consensus.Replica{ID: id, Member: member, IsLearner: true}), true
		}
	}
	learner, found := caughtUpLearner(node, members)
	if found {
		// An unresponsive voter that is not part of the placement is removed before the learner
		// becomes a voter, so that the quorum does not grow in between.
		if misplaced, isSilent := misplacedReplica(node, members, false); isSilent && len(configuration.Voters()) > 1 {
			return configuration.Without(misplaced), true
		}
		learner.IsLearner = false
		return configuration.With(learner), true
	}
	if allMembersVote(configuration, members, current) {
		if misplaced, found := misplacedReplica(node, members, true); found {
			return configuration.Without(misplaced), true
		}
	}
	return configuration, false
}

// hasMember reports whether a configuration contains a replica of a member.
func hasMember(configuration consensus.Configuration, member string) bool {
	return slices.ContainsFunc(configuration.Replicas, func(replica consensus.Replica) bool { return replica.Member == member })
}

// replicaWithLostDisk returns a replica whose host has come back with another disk. A replica that
// still responds has not lost its disk.
func replicaWithLostDisk(node *consensus.Node, members []string, current map[string]consensus.ReplicaID) (consensus.ReplicaID, bool) {
	for _, replica := range node.Configuration().Replicas {
		id, known := current[replica.Member]
		if known && id != replica.ID && !node.IsRecentlyActive(replica.ID) && slices.Contains(members, replica.Member) {
			return replica.ID, true
		}
	}
	return consensus.None, false
}

// caughtUpLearner returns a learner of the placement that lags little enough to become a voter.
func caughtUpLearner(node *consensus.Node, members []string) (consensus.Replica, bool) {
	for _, replica := range node.Configuration().Replicas {
		if replica.IsLearner && slices.Contains(members, replica.Member) && node.IsCaughtUp(replica.ID, maxLearnerLagEntries) {
			return replica, true
		}
	}
	return consensus.Replica{}, false
}

// misplacedReplica returns a replica other than the leader that is not part of the placement.
// includeActive includes replicas that have responded recently.
func misplacedReplica(node *consensus.Node, members []string, includeActive bool) (consensus.ReplicaID, bool) {
	for _, replica := range node.Configuration().Replicas {
		isMisplaced := !slices.Contains(members, replica.Member) && replica.ID != node.ID()
		if isMisplaced && (includeActive || !node.IsRecentlyActive(replica.ID)) {
			return replica.ID, true
		}
	}
	return consensus.None, false
}

// allMembersVote reports whether the current replica of every member is a voter.
func allMembersVote(configuration consensus.Configuration, members []string, current map[string]consensus.ReplicaID) bool {
	for _, member := range members {
		if !configuration.IsVoter(current[member]) {
			return false
		}
	}
	return true
}
