// Package consensus is a replicated log as a pure state machine, after Raft
// (Ongaro and Ousterhout, 2014; Ongaro's thesis, 2014, chapters 3, 4, 6 and 9).
// A Node has no goroutine, clock, socket, disk or global random source: its
// owner feeds it messages, proposals and ticks, and carries out what Ready
// returns. The same Node runs in daemons and in the simulator.
//
// It departs from the common description in one place (design section 5): a
// replica's identity is bound to its disk. A member that lost its disk comes
// back under a new ReplicaID, so that no promise made by the lost disk can be
// counted twice.
package consensus

import "slices"

// ReplicaID names one incarnation of one member of a group. It is made once,
// together with the data folder that holds the replica's promises.
type ReplicaID uint64

// None is the ReplicaID of nobody.
const None ReplicaID = 0

// Replica is one entry of a group's configuration.
type Replica struct {
	ID ReplicaID `msgpack:"i" json:"id"`
	// Member is the name of the process that hosts the replica.
	Member string `msgpack:"m" json:"member"`
	// IsLearner marks a replica that receives the log and counts in no quorum.
	IsLearner bool `msgpack:"l,omitempty" json:"learner,omitempty"`
}

// Configuration is the list of a group's replicas.
type Configuration struct {
	Replicas []Replica `msgpack:"r" json:"replicas"`
}

// Find returns the replica with the given id.
func (c Configuration) Find(id ReplicaID) (Replica, bool) {
	for _, replica := range c.Replicas {
		if replica.ID == id {
			return replica, true
		}
	}
	return Replica{}, false
}

// Voters returns the ids that count in quorums.
func (c Configuration) Voters() []ReplicaID {
	var voters []ReplicaID
	for _, replica := range c.Replicas {
		if !replica.IsLearner {
			voters = append(voters, replica.ID)
		}
	}
	return voters
}

// Quorum returns how many voters make a majority.
func (c Configuration) Quorum() int {
	return len(c.Voters())/2 + 1
}

// IsVoter reports whether id counts in quorums.
func (c Configuration) IsVoter(id ReplicaID) bool {
	replica, ok := c.Find(id)
	return ok && !replica.IsLearner
}

// With returns a copy in which replica is added, or replaces the one of its id.
func (c Configuration) With(replica Replica) Configuration {
	copied := c.Without(replica.ID)
	copied.Replicas = append(copied.Replicas, replica)
	return copied
}

// Without returns a copy that lacks the replica of the given id.
func (c Configuration) Without(id ReplicaID) Configuration {
	copied := Configuration{Replicas: slices.Clone(c.Replicas)}
	copied.Replicas = slices.DeleteFunc(copied.Replicas, func(r Replica) bool { return r.ID == id })
	return copied
}

// EntryKind tells the owner's entries from the core's own.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand carries a command of the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryBarrier is the empty entry by which a new leader commits its term.
	EntryBarrier
	// EntryConfiguration carries a Configuration; it is in force once appended.
	EntryConfiguration
)

// Entry is one position of the log.
type Entry struct {
	Term          uint64         `msgpack:"t"`
	Index         uint64         `msgpack:"i"`
	Kind          EntryKind      `msgpack:"k,omitempty"`
	Data          []byte         `msgpack:"d,omitempty"`
	Configuration *Configuration `msgpack:"c,omitempty"`
}

// HardState is what a replica must have on disk before it answers.
type HardState struct {
	Term   uint64    `msgpack:"t"`
	Vote   ReplicaID `msgpack:"v"`
	Commit uint64    `msgpack:"c"`
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index         uint64        `msgpack:"i"`
	Term          uint64        `msgpack:"t"`
	Configuration Configuration `msgpack:"c"`
	// Data is the owner's state machine; the core never looks inside.
	Data []byte `msgpack:"d"`
}

// MessageKind numbers the messages between replicas.
type MessageKind uint8

// The messages between replicas of one group.
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

// Message travels between two replicas of one group.
type Message struct {
	Kind MessageKind `msgpack:"k"`
	From ReplicaID   `msgpack:"f"`
	To   ReplicaID   `msgpack:"o"`
	Term uint64      `msgpack:"t"`
	// Index and LogTerm are the position before Entries (append), the last
	// position (votes), or the position acknowledged (responses).
	Index   uint64  `msgpack:"i,omitempty"`
	LogTerm uint64  `msgpack:"l,omitempty"`
	Entries []Entry `msgpack:"e,omitempty"`
	Commit  uint64  `msgpack:"c,omitempty"`
	Reject  bool    `msgpack:"r,omitempty"`
	// RejectHint is the follower's last index where it rejects an append.
	RejectHint uint64 `msgpack:"h,omitempty"`
	// Context is the read round that a heartbeat confirms.
	Context uint64 `msgpack:"x,omitempty"`
	// Quiesce tells a follower to stop its election timer.
	Quiesce  bool      `msgpack:"q,omitempty"`
	Snapshot *Snapshot `msgpack:"s,omitempty"`
}

// Role is what a replica is at present.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ReadState answers one ReadIndex call: state applied up to Index reflects
// every write that was acknowledged before the call.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is what the owner must do, in this order: send Messages; write
// Snapshot, Entries and HardState and sync; send MessagesAfterSync; apply
// Snapshot and Committed; call Advance.
type Ready struct {
	Messages          []Message
	HardState         *HardState
	Snapshot          *Snapshot
	Entries           []Entry
	MessagesAfterSync []Message
	CommittedEntries  []Entry
	ReadStates        []ReadState
	// AbortedReads are the contexts of ReadIndex calls whose term ended before a quorum
	// confirmed them: they get no ReadState.
	AbortedReads []uint64
	// SnapshotTargets lists replicas that need a snapshot; the owner answers
	// with SendSnapshot.
	SnapshotTargets []ReplicaID
}
