// Package consensus implements the Raft consensus algorithm as a pure state machine (Ongaro and
// Ousterhout, 2014; Ongaro's thesis, 2014, chapters 3, 4, 6 and 9). A Node has no goroutine, clock,
// socket, disk or global random source. Its owner passes messages, proposals and ticks to it, and
// does the work that Ready returns. The same Node runs in daemons and in the simulator.
//
// The implementation differs from the common description in one point (design section 5): the
// identity of a replica is bound to its disk. A member that has lost its disk returns under a new
// ReplicaID, so that no vote or acknowledgement of the lost disk is counted twice.
package consensus

import "slices"

// ReplicaID identifies one incarnation of one member of a group. It is created once, together with
// the data folder that holds the replica's votes and log.
type ReplicaID uint64

// None is the ReplicaID of no replica.
const None ReplicaID = 0

// Replica is one entry of a group's configuration.
type Replica struct {
	ID ReplicaID `msgpack:"i" json:"id"`
	// Member is the name of the process that hosts the replica.
	Member string `msgpack:"m" json:"member"`
	// IsLearner marks a replica that receives the log but does not count in quorums.
	IsLearner bool `msgpack:"l,omitempty" json:"learner,omitempty"`
}

// Configuration is the list of a group's replicas.
type Configuration struct {
	Replicas []Replica `msgpack:"r" json:"replicas"`
	// Outgoing lists the voters of the previous configuration while the configuration is joint (thesis,
	// section 4.3), and is empty otherwise. A decision then needs a majority of Voters and a majority of
	// Outgoing. An outgoing voter that does not vote any more stays in Replicas, as a learner, until the
	// group leaves the joint configuration.
	Outgoing []ReplicaID `msgpack:"o,omitempty" json:"outgoing,omitempty"`
}

// IsJoint reports whether the configuration is joint.
func (c Configuration) IsJoint() bool { return len(c.Outgoing) > 0 }

// Equal reports whether two configurations are the same.
func (c Configuration) Equal(other Configuration) bool {
	return slices.Equal(c.Replicas, other.Replicas) && slices.Equal(c.Outgoing, other.Outgoing)
}

// Find returns the replica with the given ID.
func (c Configuration) Find(id ReplicaID) (Replica, bool) {
	for _, replica := range c.Replicas {
		if replica.ID == id {
			return replica, true
		}
	}
	return Replica{}, false
}

// Voters returns the IDs of the replicas that count in quorums, without the outgoing ones of a joint
// configuration.
func (c Configuration) Voters() []ReplicaID {
	var voters []ReplicaID
	for _, replica := range c.Replicas {
		if !replica.IsLearner {
			voters = append(voters, replica.ID)
		}
	}
	return voters
}

// allVoters returns the IDs of the replicas that count in any quorum of the configuration.
func (c Configuration) allVoters() []ReplicaID {
	voters := c.Voters()
	for _, id := range c.Outgoing {
		if !slices.Contains(voters, id) {
			voters = append(voters, id)
		}
	}
	return voters
}

// HasQuorum reports whether the replicas for which counts returns true suffice for a decision: a
// majority of the voters and, in a joint configuration, a majority of the outgoing voters.
func (c Configuration) HasQuorum(counts func(id ReplicaID) bool) bool {
	return isMajority(c.Voters(), counts) && (!c.IsJoint() || isMajority(c.Outgoing, counts))
}

func isMajority(voters []ReplicaID, counts func(id ReplicaID) bool) bool {
	counted := 0
	for _, id := range voters {
		if counts(id) {
			counted++
		}
	}
	return counted > len(voters)/2
}

// IsVoter reports whether the replica with the given ID counts in any quorum of the configuration.
func (c Configuration) IsVoter(id ReplicaID) bool {
	replica, ok := c.Find(id)
	return ok && (!replica.IsLearner || slices.Contains(c.Outgoing, id))
}

// replacing returns the joint configuration in which the learner incoming votes in place of outgoing.
func (c Configuration) replacing(outgoing, incoming ReplicaID) Configuration {
	joint := Configuration{Replicas: slices.Clone(c.Replicas), Outgoing: c.Voters()}
	for position := range joint.Replicas {
		switch joint.Replicas[position].ID {
		case incoming:
			joint.Replicas[position].IsLearner = false
		case outgoing:
			joint.Replicas[position].IsLearner = true
		}
	}
	return joint
}

// withoutOutgoing returns the configuration that follows a joint one.
func (c Configuration) withoutOutgoing() Configuration {
	next := Configuration{}
	for _, replica := range c.Replicas {
		if !replica.IsLearner || !slices.Contains(c.Outgoing, replica.ID) {
			next.Replicas = append(next.Replicas, replica)
		}
	}
	return next
}

// With returns a copy to which replica is added, or in which it replaces the replica with the same
// ID.
func (c Configuration) With(replica Replica) Configuration {
	copied := c.Without(replica.ID)
	copied.Replicas = append(copied.Replicas, replica)
	return copied
}

// Without returns a copy without the replica with the given ID.
func (c Configuration) Without(id ReplicaID) Configuration {
	copied := Configuration{Replicas: slices.Clone(c.Replicas), Outgoing: slices.Clone(c.Outgoing)}
	copied.Replicas = slices.DeleteFunc(copied.Replicas, func(r Replica) bool { return r.ID == id })
	return copied
}

// EntryKind distinguishes the owner's commands from the entries of the consensus protocol.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand carries a command of the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryBarrier is the empty entry that a new leader appends to commit an entry of its own
	// term.
	EntryBarrier
	// EntryConfiguration contains a Configuration, which takes effect when it is appended.
	EntryConfiguration
)

// Entry is one entry of the log.
type Entry struct {
	Term          uint64         `msgpack:"t"`
	Index         uint64         `msgpack:"i"`
	Kind          EntryKind      `msgpack:"k,omitempty"`
	Data          []byte         `msgpack:"d,omitempty"`
	Configuration *Configuration `msgpack:"c,omitempty"`
}

// HardState is the state, besides the log, that a replica must have on disk before it sends
// Ready.MessagesAfterSync.
type HardState struct {
	Term   uint64    `msgpack:"t"`
	Vote   ReplicaID `msgpack:"v"`
	Commit uint64    `msgpack:"c"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index         uint64        `msgpack:"i"`
	Term          uint64        `msgpack:"t"`
	Configuration Configuration `msgpack:"c"`
	// Data is the encoded state machine of the owner, which is opaque to this package.
	Data []byte `msgpack:"d"`
}

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

// The kinds of messages between replicas of one group.
const (
	MessageAppend MessageKind = iota + 1
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessagePreVote
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageSnapshot
	MessageTimeoutNow
)

// Message is sent from one replica of a group to another.
type Message struct {
	Kind MessageKind `msgpack:"k"`
	From ReplicaID   `msgpack:"f"`
	To   ReplicaID   `msgpack:"o"`
	Term uint64      `msgpack:"t"`
	// Index and LogTerm are the position before Entries (append) or the sender's last position
	// (votes). In responses Index is the acknowledged position, or that of the rejected append.
	Index   uint64  `msgpack:"i,omitempty"`
	LogTerm uint64  `msgpack:"l,omitempty"`
	Entries []Entry `msgpack:"e,omitempty"`
	Commit  uint64  `msgpack:"c,omitempty"`
	Reject  bool    `msgpack:"r,omitempty"`
	// RejectHint is sent in the rejection of an append: the follower's last index, or Index-1 if
	// that is lower. The leader continues with the entry after it.
	RejectHint uint64 `msgpack:"h,omitempty"`
	// Context is the read round of a heartbeat, which the response confirms. In vote requests it
	// marks a leadership transfer.
	Context uint64 `msgpack:"x,omitempty"`
	// Quiesce asks a follower to stop its election timer.
	Quiesce  bool      `msgpack:"q,omitempty"`
	Snapshot *Snapshot `msgpack:"s,omitempty"`
}

// Role is the current role of a replica.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ReadState is the result of one ReadIndex call. A state machine that has applied the log up to Index
// reflects every write that was acknowledged before the call.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is the work that the owner must do, in this order: send Messages; write Snapshot, Entries
// and HardState and sync; send MessagesAfterSync; apply Snapshot and CommittedEntries; call Advance.
type Ready struct {
	Messages          []Message
	HardState         *HardState
	Snapshot          *Snapshot
	Entries           []Entry
	MessagesAfterSync []Message
	CommittedEntries  []Entry
	ReadStates        []ReadState
	// AbortedReads holds the contexts of ReadIndex calls whose term ended before a quorum confirmed
	// them. They get no ReadState.
	AbortedReads []uint64
	// SnapshotTargets lists the replicas that need a snapshot. The owner must call SendSnapshot for
	// each.
	SnapshotTargets []ReplicaID
}
