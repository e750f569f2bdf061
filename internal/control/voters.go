package control

import (
	"maps"
	"slices"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/replication"
)

const (
	// replaceTimeoutMs is the silence after which a caught-up learner takes the place of a voter, and
	// after which a voter is removed without a successor if the others would be no quorum after the
	// losses that the group must tolerate.
	replaceTimeoutMs = 2000
	// lostMemberTimeoutMs is the silence after which a member is removed otherwise.
	lostMemberTimeoutMs = 6000
	// minVoters is the smallest number of voters to which removals shrink the settings group, even
	// if Options.MinVoters is smaller.
	minVoters = 3
)

// admitCandidates admits candidates to the groups that this process leads: the member's
// previous replica, if there is one, is removed, the candidate becomes a learner and, once it
// has caught up, a voter.
func (c *Core) admitCandidates() {
	for _, name := range replication.SortedKeys(c.candidates) {
		joining := c.candidates[name]
		if c.nowMs-joining.lastHelloMs > 5*helloIntervalMs {
			delete(c.candidates, name)
			continue
		}
		if joining.helloCount < minCandidateHellos {
			continue
		}
		for _, group := range c.host.Groups {
			if group.Node.Role() == consensus.Leader {
				c.admit(group, name, joining.replica)
			}
		}
	}
}

func (c *Core) admit(group *replication.Group, name string, replica consensus.ReplicaID) {
	configuration := group.Node.Configuration()
	for _, other := range configuration.Replicas {
		if other.Member != name || other.ID == replica {
			continue
		}
		// Invariant: a replica that still answers is not removed, since its disk
		// is not lost.
		if !group.Node.IsRecentlyActive(other.ID) {
			_ = group.Node.ProposeConfiguration(configuration.Without(other.ID))
		}
		return
	}
	current, ok := configuration.Find(replica)
	switch {
	case !ok:
		_ = group.Node.ProposeConfiguration(configuration.With(consensus.Replica{ID: replica, Member: name, IsLearner: true}))
	case current.IsLearner && group.Node.IsCaughtUp(replica, 0):
		c.promote(group, current)
	}
}

// promote makes a learner that has caught up a voter. If a voter is silent, the learner waits until it is
// known whether it takes that voter's place. Invariant: while a voter is silent, no learner becomes an
// additional voter, which would raise the quorum with each loss.
func (c *Core) promote(group *replication.Group, learner consensus.Replica) {
	configuration := group.Node.Configuration()
	silent, silenceMs := c.mostSilentVoter(group)
	if c.options.Discovered && silenceMs > suspectTimeoutMs && c.supportReplacement(configuration, silent, learner) {
		if silenceMs > replaceTimeoutMs && c.isSilenceReliable() {
			_ = group.Node.ProposeReplacement(silent.ID, learner.ID)
		}
		return
	}
	learner.IsLearner = false
	_ = group.Node.ProposeConfiguration(configuration.With(learner))
}

// mostSilentVoter returns the voter from which this process has received no message for the longest time.
func (c *Core) mostSilentVoter(group *replication.Group) (consensus.Replica, int64) {
	var silent consensus.Replica
	longestMs := int64(-1)
	for _, replica := range group.Node.Configuration().Replicas {
		if replica.IsLearner || replica.ID == group.Node.ID() {
			continue
		}
		if silenceMs := c.silenceMs(replica.Member); silenceMs > longestMs {
			silent, longestMs = replica, silenceMs
		}
	}
	return silent, longestMs
}

// supportReplacement reports whether no replica that votes after a replacement is known to run a release
// without joint configurations, which would take the joint one for the one that follows it.
func (c *Core) supportReplacement(configuration consensus.Configuration, outgoing, incoming consensus.Replica) bool {
	for _, replica := range configuration.Replicas {
		votes := replica.ID == incoming.ID || (!replica.IsLearner && replica.ID != outgoing.ID)
		if supports, known := c.supportsReplacement[replica.Member]; votes && known && !supports {
			return false
		}
	}
	return true
}

// isSilenceReliable reports whether this leader has led the settings group for long enough to have received
// presence messages of all members that it can reach. Each process counts the silence of others for itself and
// goes on counting when the leader changes, so that no further time is needed.
func (c *Core) isSilenceReliable() bool {
	return c.schedulerTracker != nil && c.nowMs-c.leadingSinceMs >= suspectTimeoutMs
}

// removeLostVoter removes a silent replica from the settings group. Invariant: the group never
// shrinks below the number of voters needed for the machine failures that it must tolerate, so that
// members that are only temporarily down remain members.
func (c *Core) removeLostVoter() {
	group := c.host.Groups[0]
	if !c.options.Discovered || !group.IsLeader() || !c.isSilenceReliable() {
		return
	}
	configuration := group.Node.Configuration()
	for _, replica := range configuration.Replicas {
		if replica.ID != group.Node.ID() && c.silenceMs(replica.Member) > c.removalTimeoutMs(configuration, replica) {
			_ = group.Node.ProposeConfiguration(configuration.Without(replica.ID))
			return
		}
	}
}

// neverMs is a time after which nothing happens.
const neverMs = int64(1) << 62

// removalTimeoutMs returns the silence after which a replica is removed without a successor.
func (c *Core) removalTimeoutMs(configuration consensus.Configuration, replica consensus.Replica) int64 {
	switch {
	case replica.IsLearner:
		return lostMemberTimeoutMs
	case len(configuration.Voters()) <= c.voterFloor():
		return neverMs
	case c.toleratesLosses(configuration):
		return lostMemberTimeoutMs
	}
	return replaceTimeoutMs
}

// voterFloor returns the number of voters that the settings group keeps even when members are silent.
func (c *Core) voterFloor() int { return max(c.options.MinVoters, minVoters) }

// toleratesLosses reports whether the voters that are not silent are still a quorum after the losses that
// the group must tolerate.
func (c *Core) toleratesLosses(configuration consensus.Configuration) bool {
	voters, responsive := 0, 0
	for _, replica := range configuration.Replicas {
		if replica.IsLearner {
			continue
		}
		voters++
		if replica.Member == c.options.Name || c.silenceMs(replica.Member) <= replaceTimeoutMs {
			responsive++
		}
	}
	toleratedLosses := (c.voterFloor() - 1) / 2
	return responsive-toleratedLosses > voters/2
}

// trackMembers begins to count the silence of members that are new to this process, and forgets those that
// are no members any more.
func (c *Core) trackMembers() {
	members := c.memberNames()
	for _, member := range members {
		if _, known := c.lastReceivedMs[member]; !known {
			c.lastReceivedMs[member] = c.nowMs
		}
	}
	maps.DeleteFunc(c.lastReceivedMs, func(member string, _ int64) bool { return !slices.Contains(members, member) })
}

// discountPause takes a time for which this process was paused out of the silence of the other members,
// whose messages are still queued.
func (c *Core) discountPause(forMs int64) {
	for member, lastMs := range c.lastReceivedMs {
		c.lastReceivedMs[member] = min(lastMs+forMs, c.nowMs)
	}
}

// QuorumState is what a process knows of the voters of the settings group.
type QuorumState struct {
	Configuration consensus.Configuration
	// Silent lists the members with a voter from which this process has received nothing for
	// lostMemberTimeoutMs, in order of the configuration.
	Silent []string
	// IsLost reports that the other voters are no quorum, so that the group decides nothing until
	// some of the silent ones are back with their disks.
	IsLost bool
}

// QuorumState returns what this process knows of the voters of the settings group. The process must have
// formed.
func (c *Core) QuorumState() QuorumState {
	state := QuorumState{Configuration: c.host.Groups[0].Node.Configuration()}
	var silent []consensus.ReplicaID
	for _, replica := range state.Configuration.Replicas {
		if replica.Member != c.options.Name && state.Configuration.IsVoter(replica.ID) && c.silenceMs(replica.Member) > lostMemberTimeoutMs {
			silent = append(silent, replica.ID)
			state.Silent = append(state.Silent, replica.Member)
		}
	}
	state.IsLost = len(silent) > 0 && !state.Configuration.HasQuorum(func(id consensus.ReplicaID) bool { return !slices.Contains(silent, id) })
	return state
}
