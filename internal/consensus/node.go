package consensus

import (
	"errors"
	"slices"
)

// Errors that proposals return.
var (
	// ErrNotLeader means that another replica takes proposals.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrChangePending means that an earlier configuration is not committed, or
	// that the leader has not committed an entry of its own term yet.
	ErrChangePending = errors.New("consensus: a configuration change is pending")
	// ErrMultipleVoterChanges means that more than one voter would change at once.
	ErrMultipleVoterChanges = errors.New("consensus: a change adds or removes more than one voter")
)

// Options configure a Node. Ticks are the owner's.
type Options struct {
	ID ReplicaID
	// Seed makes election timeouts differ between replicas.
	Seed           uint64
	ElectionTicks  int
	HeartbeatTicks int
	// InitialElectionTicks spaces the first campaigns of voters that start together: the voter
	// whose turn it is by the group's seed campaigns after a tick, the next one
	// StartTicks later. Pre-vote keeps a leader that is still there in place. Zero
	// gives the first timeout no special treatment.
	InitialElectionTicks int
	// QuiesceTicks is how long a group must be idle before it goes quiet; zero
	// turns quiescence off.
	QuiesceTicks int
	// MaxAppendBytes bounds the data in one append message.
	MaxAppendBytes int
	// MaxInflight bounds append messages that a follower has not answered.
	MaxInflight int

	// DisablePreVote, DisableCheckQuorum and DisableReadConfirm turn one
	// mechanism off, for runs that show what it is for.
	DisablePreVote          bool
	DisableCheckQuorum      bool
	DisableReadConfirmation bool
}

// PersistedState is what the owner read back from its disk.
type PersistedState struct {
	HardState HardState
	// Snapshot carries the position and configuration; its data stays with the
	// owner, which has applied it.
	Snapshot Snapshot
	Entries  []Entry
}

// Node is one replica of one group.
type Node struct {
	options Options
	log     log
	term    uint64
	vote    ReplicaID
	role    Role
	leader  ReplicaID
	random  uint64
	// knewLeader says that a leader was known since the replica started.
	knewLeader bool

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	quiescent        bool
	idleTicks        int
	// ticks counts those of this leader; it only goes up.
	ticks int

	votes    map[ReplicaID]bool
	progress map[ReplicaID]*progress
	reads    []pendingRead
	readSeq  uint64
	transfer ReplicaID

	// unsent says that commands were appended since the last Ready: one message to each
	// follower carries them all.
	unsent          bool
	messages        []Message
	messagesAfter   []Message
	pendingSnapshot *Snapshot
	readStates      []ReadState
	lostReads       []uint64
	snapshotsWanted []ReplicaID
	savedHardState  HardState
}

type pendingRead struct {
	context uint64
	index   uint64
	round   uint64
	acks    map[ReplicaID]bool
}

// NewNode returns a replica as its disk describes it, a follower.
func NewNode(options Options, restored PersistedState) *Node {
	node := &Node{options: options, random: options.Seed*0x9e3779b97f4a7c15 + uint64(options.ID)}
	node.log.restore(restored.Snapshot)
	node.log.append(restored.Entries...)
	node.log.stable = node.log.lastIndex()
	node.log.commit = max(node.log.commit, min(restored.HardState.Commit, node.log.lastIndex()))
	node.term = restored.HardState.Term
	node.vote = restored.HardState.Vote
	node.savedHardState = node.hardState()
	node.becomeFollower(node.term, None)
	node.shortenFirstTimeout()
	return node
}

// shortenFirstTimeout lets voters that start together agree on a leader without
// waiting for a timeout that is meant for a leader that has fallen silent.
func (n *Node) shortenFirstTimeout() {
	voters := n.log.configuration().Voters()
	place := slices.Index(voters, n.options.ID)
	if n.options.InitialElectionTicks <= 0 || place < 0 {
		return
	}
	turn := (place + int(n.options.Seed%uint64(len(voters)))) % len(voters)
	n.electionTimeout = 1 + turn*n.options.InitialElectionTicks
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// nextRandom is splitmix64 (Steele, Lea and Flood, 2014).
func (n *Node) nextRandom() uint64 {
	n.random += 0x9e3779b97f4a7c15
	z := n.random
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// ID returns the replica's own id.
func (n *Node) ID() ReplicaID { return n.options.ID }

// Role returns what the replica is at present.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the leader known in the current term, or None.
func (n *Node) Leader() ReplicaID { return n.leader }

// Configuration returns the configuration in force.
func (n *Node) Configuration() Configuration { return n.log.configuration() }

// ConfigurationAt returns the configuration that was in force at index.
func (n *Node) ConfigurationAt(index uint64) Configuration { return n.log.configurationAt(index) }

// AppliedIndex returns the last index handed out in Ready.Committed.
func (n *Node) AppliedIndex() uint64 { return n.log.applied }

// CommitIndex returns the last index known to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.commit }

// LastIndex returns the last index of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// SnapshotIndex returns the index up to which the log is compacted.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshotIndex }

// IsQuiescent reports whether the group has gone quiet.
func (n *Node) IsQuiescent() bool { return n.quiescent }

// IsCaughtUp reports whether the leader knows that id has all of its log but at
// most lag entries. Invariant: a replica that has acknowledged nothing is never caught up: in a
// short log it lacks few entries too.
func (n *Node) IsCaughtUp(id ReplicaID, lag uint64) bool {
	follower, ok := n.progress[id]
	return n.role == Leader && ok && follower.match > 0 && follower.match+lag >= n.log.lastIndex()
}

// TermAt returns the term of the entry at index, zero where it is not held.
func (n *Node) TermAt(index uint64) uint64 {
	term, _ := n.log.term(index)
	return term
}

// IsRecentlyActive reports whether the leader has heard from a replica within the
// last one or two election timeouts.
func (n *Node) IsRecentlyActive(id ReplicaID) bool {
	if id == n.options.ID {
		return true
	}
	follower, ok := n.progress[id]
	return n.role == Leader && ok && (follower.active || follower.wasActive)
}

// Tick advances the replica's clock by one.
func (n *Node) Tick() {
	if n.quiescent {
		return
	}
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.electionElapsed++
	if n.electionElapsed >= n.electionTimeout && n.log.configuration().IsVoter(n.options.ID) {
		n.campaign()
	}
}

// Wake ends quiescence; the owner calls it when a peer process is suspected.
func (n *Node) Wake() {
	n.quiescent = false
	n.idleTicks = 0
}

// Propose appends a command; only the leader takes it. The command is done when
// an entry with this index and term is committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transfer != None {
		return 0, 0, ErrNotLeader
	}
	entry := n.appendOwn(Entry{Kind: EntryCommand, Data: data})
	n.unsent = true
	return entry.Index, entry.Term, nil
}

// ProposeConfiguration changes the group by at most one voter.
func (n *Node) ProposeConfiguration(next Configuration) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	committedTerm, _ := n.log.term(n.log.commit)
	// Invariant: at most one uncommitted configuration, and none before the
	// leader's own term has committed (thesis, section 4.1 and its correction).
	if n.log.configurationIndex() > n.log.commit || committedTerm != n.term {
		return ErrChangePending
	}
	if votersChanged(n.log.configuration(), next) > 1 {
		return ErrMultipleVoterChanges
	}
	n.appendOwn(Entry{Kind: EntryConfiguration, Configuration: &next})
	n.syncProgress()
	n.broadcastAppend()
	return nil
}

func votersChanged(old, next Configuration) int {
	changed := 0
	for _, id := range old.Voters() {
		if !next.IsVoter(id) {
			changed++
		}
	}
	for _, id := range next.Voters() {
		if !old.IsVoter(id) {
			changed++
		}
	}
	return changed
}

// transferLag is how many entries a voter may lack when a hand-over to it starts.
const transferLag = 64

// TransferLeadership hands the group to a voter that has nearly the whole log; it
// reports whether the hand-over was started. Proposals are refused meanwhile, so that the
// voter can get the rest (thesis, section 3.10).
func (n *Node) TransferLeadership(to ReplicaID) bool {
	if n.role != Leader || n.transfer != None || !n.log.configuration().IsVoter(to) || !n.IsCaughtUp(to, transferLag) {
		return false
	}
	n.Wake()
	n.transfer = to
	n.electionElapsed = 0
	n.completeTransfer()
	return true
}

// completeTransfer tells the voter that is to lead to campaign, once it has the whole log.
func (n *Node) completeTransfer() {
	if n.transfer != None && n.IsCaughtUp(n.transfer, 0) {
		n.send(Message{Kind: MessageTimeoutNow, To: n.transfer})
	}
}

// Compact forgets the log up to index, once the owner's snapshot covers it.
func (n *Node) Compact(index uint64) {
	n.log.compact(index)
}

// CompactionIndex returns how far the log may be compacted so that the entries up to index stay
// which are the latest that the bounds allow, in number and in bytes of their data; zero
// bytes is no bound.
func (n *Node) CompactionIndex(index, entries uint64, maxBytes int) uint64 {
	return n.log.keepFrom(index, entries, maxBytes)
}

// MatchIndex returns the last index that a replica is known to hold, zero at a follower.
func (n *Node) MatchIndex(id ReplicaID) uint64 {
	if follower, ok := n.progress[id]; ok && n.role == Leader {
		return follower.match
	}
	return 0
}

// Entries returns the entries that follow the snapshot, for inspection.
func (n *Node) Entries() []Entry {
	return slices.Clone(n.log.entries)
}

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	return len(n.messages) > 0 || len(n.messagesAfter) > 0 || n.pendingSnapshot != nil ||
		len(n.readStates) > 0 || len(n.lostReads) > 0 || len(n.snapshotsWanted) > 0 ||
		n.hardState() != n.savedHardState || n.log.stable < n.log.lastIndex() ||
		n.log.applied < n.log.commit
}

// Ready returns the work that has gathered since the last Advance.
func (n *Node) Ready() Ready {
	if n.unsent {
		n.unsent = false
		n.sendUnsent()
	}
	ready := Ready{
		Messages:          n.messages,
		MessagesAfterSync: n.messagesAfter,
		Snapshot:          n.pendingSnapshot,
		ReadStates:        n.readStates,
		AbortedReads:      n.lostReads,
		SnapshotTargets:   n.snapshotsWanted,
		Entries:           n.log.slice(n.log.stable+1, n.log.lastIndex(), maxInt),
		CommittedEntries:  n.log.slice(n.log.applied+1, n.log.commit, maxInt),
	}
	if state := n.hardState(); state != n.savedHardState {
		ready.HardState = &state
	}
	n.messages = nil
	n.messagesAfter = nil
	n.pendingSnapshot = nil
	n.readStates = nil
	n.lostReads = nil
	n.snapshotsWanted = nil
	return ready
}

const maxInt = int(^uint(0) >> 1)

// Advance tells the core that the work of ready is done: synced and applied.
func (n *Node) Advance(ready Ready) {
	if ready.HardState != nil {
		n.savedHardState = *ready.HardState
	}
	if count := len(ready.Entries); count > 0 {
		last := ready.Entries[count-1]
		// Invariant: an entry counts as stable only if the log still holds it.
		if n.log.matches(last.Index, last.Term) && last.Index > n.log.stable {
			n.log.stable = last.Index
		}
	}
	if count := len(ready.CommittedEntries); count > 0 {
		n.log.applied = max(n.log.applied, ready.CommittedEntries[count-1].Index)
	}
	if n.role == Leader {
		// The leader's synced entries count in the quorum.
		n.maybeCommit()
	}
}
