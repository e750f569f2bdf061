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
		next, isChange := nextChange(group.Node, placement.Members, c.currentReplicas(placement), c.supportsReplacement)
		if isChange {
			next.propose(group.Node)
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

// change is one step from a group's configuration to its placement: a configuration, or the replacement of a
// voter by a learner.
type change struct {
	configuration      consensus.Configuration
	outgoing, incoming consensus.ReplicaID
}

// propose proposes the change. A change that is rejected is due again at the next reconciliation.
func (c change) propose(node *consensus.Node) {
	if c.outgoing != consensus.None {
		_ = node.ProposeReplacement(c.outgoing, c.incoming)
		return
	}
	_ = node.ProposeConfiguration(c.configuration)
}

// nextChange returns the next step from a group's configuration to its placement, and whether a step is
// needed. Each step changes one replica or replaces one by another. supportsReplacement holds, by member,
// whether its replicas know joint configurations.
func nextChange(node *consensus.Node, members []string, current map[string]consensus.ReplicaID, supportsReplacement map[string]bool) (change, bool) {
	configuration := node.Configuration()
	if lostReplica, found := replicaWithLostDisk(node, members, current); found {
		return change{configuration: configuration.Without(lostReplica)}, true
	}
	for _, member := range members {
		id, known := current[member]
		if _, present := configuration.Find(id); known && !present && !hasMember(configuration, member) {
			return change{configuration: configuration.With(consensus.Replica{ID: id, Member: member, IsLearner: true})}, true
		}
	}
	if learner, found := caughtUpLearner(node, members); found {
		return promotion(node, members, learner, supportsReplacement), true
	}
	if allMembersVote(configuration, members, current) {
		if misplaced, found := misplacedReplica(node, members); found {
			return change{configuration: configuration.Without(misplaced)}, true
		}
	}
	return change{}, false
}

// promotion makes a learner a voter, in place of a voter that is not part of the placement if there is one.
// Invariant: until the learner votes, the disk of the voter that leaves counts. Otherwise a disk that is lost
// in between ends the group, although a majority of the disks stands.
func promotion(node *consensus.Node, members []string, learner consensus.Replica, supportsReplacement map[string]bool) change {
	configuration := node.Configuration()
	outgoing, found := misplacedVoter(node, members)
	if found && votersSupport(node, outgoing, learner, supportsReplacement) {
		return change{outgoing: outgoing, incoming: learner.ID}
	}
	learner.IsLearner = false
	return change{configuration: configuration.With(learner)}
}

// votersSupport reports whether no replica that votes after a replacement is known to run a release without
// joint configurations.
func votersSupport(node *consensus.Node, outgoing consensus.ReplicaID, incoming consensus.Replica, supportsReplacement map[string]bool) bool {
	for _, replica := range node.Configuration().Replicas {
		votes := replica.ID == incoming.ID || (!replica.IsLearner && replica.ID != outgoing)
		if supports, known := supportsReplacement[replica.Member]; votes && known && !supports {
			return false
		}
	}
	return true
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
func misplacedReplica(node *consensus.Node, members []string) (consensus.ReplicaID, bool) {
	for _, replica := range node.Configuration().Replicas {
		if !slices.Contains(members, replica.Member) && replica.ID != node.ID() {
			return replica.ID, true
		}
	}
	return consensus.None, false
}

// misplacedVoter returns a voter other than the leader that is not part of the placement, if possible one that
// has not responded recently.
func misplacedVoter(node *consensus.Node, members []string) (consensus.ReplicaID, bool) {
	responsive := consensus.None
	for _, replica := range node.Configuration().Replicas {
		if replica.IsLearner || slices.Contains(members, replica.Member) || replica.ID == node.ID() {
			continue
		}
		if !node.IsRecentlyActive(replica.ID) {
			return replica.ID, true
		}
		responsive = replica.ID
	}
	return responsive, responsive != consensus.None
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
