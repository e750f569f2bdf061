package consensus

import (
	"errors"
	"slices"
)

// The errors of proposals and read requests.
var (
	// ErrNotLeader means that this replica is not the leader, or that it is transferring the
	// leadership.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrChangePending means that an earlier configuration is not committed yet or is joint, or that
	// the leader has not committed an entry of its own term yet.
	ErrChangePending = errors.New("consensus: a configuration change is pending")
	// ErrMultipleVoterChanges means that a proposed configuration differs from the current one in
	// more than one voter, or is joint.
	ErrMultipleVoterChanges = errors.New("consensus: a change adds or removes more than one voter")
	// ErrNotReplaceable means that a replacement does not name a voter and a learner.
	ErrNotReplaceable = errors.New("consensus: a replacement needs a voter and a learner")
)

// Options configure a Node. Durations are in ticks; the owner chooses the interval between ticks.
type Options struct {
	ID ReplicaID
	// Seed and ID seed the random election timeouts. The replicas of a group have the same Seed,
	// so that they agree on the order of their first campaigns (InitialElectionTicks).
	Seed           uint64
	ElectionTicks  int
	HeartbeatTicks int
	// InitialElectionTicks is the interval between the first campaigns of voters that start
	// together. The seed selects the voter that campaigns after one tick; the next voter follows
	// InitialElectionTicks later. Unless ElectionTicks is lower, it is also the minimum election
	// timeout of a replica that has had no leader since it started. Pre-vote prevents these
	// campaigns from replacing a leader that is still alive. Zero means the regular timeout from
	// the start.
	InitialElectionTicks int
	// QuiesceTicks is how long a group must be idle before it becomes quiescent. Zero turns
	// quiescence off.
	QuiesceTicks int
	// MaxAppendBytes bounds the entry data in one append message, except that a message always
	// contains at least one entry.
	MaxAppendBytes int
	// MaxInflight bounds the append messages that a follower has not acknowledged.
	MaxInflight int

	// DisablePreVote, DisableCheckQuorum and DisableReadConfirmation each turn one mechanism off,
	// for test runs that show which failures it prevents.
	DisablePreVote          bool
	DisableCheckQuorum      bool
	DisableReadConfirmation bool
}

// PersistedState is the state of a replica that the owner has read from disk.
type PersistedState struct {
	HardState HardState
	// Snapshot contains the position and the configuration. Its data is not used, since the owner
	// has already restored it.
	Snapshot Snapshot
	Entries  []Entry
}

// Node is one replica of one group.
type Node struct {
	options     Options
	log         log
	term        uint64
	vote        ReplicaID
	role        Role
	leader      ReplicaID
	randomState uint64
	// hasHadLeader is set when the replica becomes a follower of a known leader. A replica that is
	// already a follower when it learns of a leader does not set it.
	hasHadLeader bool

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	isQuiescent      bool
	idleTicks        int
	// leaderTicks counts the ticks of this replica as leader, over all terms. It never decreases.
	leaderTicks int

	votes          map[ReplicaID]bool
	progress       map[ReplicaID]*progress
	pendingReads   []pendingRead
	readRound      uint64
	transferTarget ReplicaID

	// hasUnsentEntries is set when commands have been appended since the last Ready. One message to
	// each follower carries all of them.
	hasUnsentEntries  bool
	messages          []Message
	messagesAfterSync []Message
	pendingSnapshot   *Snapshot
	readStates        []ReadState
	abortedReads      []uint64
	snapshotTargets   []ReplicaID
	savedHardState    HardState
}

// pendingRead is a read that no quorum has confirmed yet. round is zero until the leader has committed
// an entry of its own term.
type pendingRead struct {
	context uint64
	index   uint64
	round   uint64
	acks    map[ReplicaID]bool
}

// NewNode returns a replica in the role of a follower, restored from its persisted state.
func NewNode(options Options, persisted PersistedState) *Node {
	node := &Node{options: options, randomState: options.Seed*0x9e3779b97f4a7c15 + uint64(options.ID)}
	node.log.restore(persisted.Snapshot)
	node.log.append(persisted.Entries...)
	node.log.stable = node.log.lastIndex()
	node.log.commit = max(node.log.commit, min(persisted.HardState.Commit, node.log.lastIndex()))
	node.term = persisted.HardState.Term
	node.vote = persisted.HardState.Vote
	node.savedHardState = node.hardState()
	node.becomeFollower(node.term, None)
	node.setInitialElectionTimeout()
	return node
}

// setInitialElectionTimeout lets voters that start together elect a leader without waiting for the
// regular election timeout, which is meant to detect the failure of a leader.
func (n *Node) setInitialElectionTimeout() {
	voters := n.log.configuration().allVoters()
	position := slices.Index(voters, n.options.ID)
	if n.options.InitialElectionTicks <= 0 || position < 0 {
		return
	}
	campaignOrder := (position + int(n.options.Seed%uint64(len(voters)))) % len(voters)
	n.electionTimeout = 1 + campaignOrder*n.options.InitialElectionTicks
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// nextRandom returns the next random number of the generator splitmix64 (Steele, Lea and Flood,
// 2014).
func (n *Node) nextRandom() uint64 {
	n.randomState += 0x9e3779b97f4a7c15
	z := n.randomState
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// ID returns the ID of the replica.
func (n *Node) ID() ReplicaID { return n.options.ID }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the leader known in the current term, or None.
func (n *Node) Leader() ReplicaID { return n.leader }

// Configuration returns the configuration in effect.
func (n *Node) Configuration() Configuration { return n.log.configuration() }

// ConfigurationAt returns the configuration that was in effect at index.
func (n *Node) ConfigurationAt(index uint64) Configuration { return n.log.configurationAt(index) }

// AppliedIndex returns the last applied index, which is that of the last committed entry passed to
// Advance or that of the snapshot that the log was restored from.
func (n *Node) AppliedIndex() uint64 { return n.log.applied }

// CommitIndex returns the last index known to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.commit }

// LastIndex returns the last index of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// SnapshotIndex returns the index up to which the log is compacted.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshotIndex }

// IsQuiescent reports whether the replica considers the group quiescent. It then ignores ticks, so
// that it sends no heartbeats and starts no elections.
func (n *Node) IsQuiescent() bool { return n.isQuiescent }

// IsCaughtUp reports whether a replica has acknowledged the leader's log except for at most lag
// entries. Invariant: a replica that has acknowledged nothing is never caught up, even if the log is
// so short that the replica lacks at most lag entries.
func (n *Node) IsCaughtUp(id ReplicaID, lag uint64) bool {
	follower, ok := n.progress[id]
	return n.role == Leader && ok && follower.match > 0 && follower.match+lag >= n.log.lastIndex()
}

// TermAt returns the term of the entry at index, or zero if the index is compacted or after the end
// of the log.
func (n *Node) TermAt(index uint64) uint64 {
	term, _ := n.log.term(index)
	return term
}

// IsRecentlyActive reports whether the leader has received a response from a replica within the last
// one or two election timeouts. A follower also counts as active for that time after it was added or
// after the leader was elected. This replica itself is always active.
func (n *Node) IsRecentlyActive(id ReplicaID) bool {
	if id == n.options.ID {
		return true
	}
	follower, ok := n.progress[id]
	return n.role == Leader && ok && (follower.isActive || follower.wasActive)
}

// HasLeft reports whether a committed configuration of this leader's term excludes a replica. It is false on
// replicas that don't lead, and while a change of the configuration is in progress.
func (n *Node) HasLeft(id ReplicaID) bool {
	_, isMember := n.log.configuration().Find(id)
	return n.checkChange() == nil && !isMember
}

// Tick advances the replica's clock by one tick. It does nothing while the group is quiescent.
func (n *Node) Tick() {
	if n.isQuiescent {
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

// Wake ends quiescence. The owner calls it when it suspects that a peer process has failed.
func (n *Node) Wake() {
	n.isQuiescent = false
	n.idleTicks = 0
}

// Propose appends a command to the leader's log. The proposal has succeeded once an entry with the
// returned index and term is committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferTarget != None {
		return 0, 0, ErrNotLeader
	}
	entry := n.appendEntry(Entry{Kind: EntryCommand, Data: data})
	n.hasUnsentEntries = true
	return entry.Index, entry.Term, nil
}

// ProposeConfiguration proposes a configuration that differs from the current one in at most one
// voter.
func (n *Node) ProposeConfiguration(next Configuration) error {
	if err := n.checkChange(); err != nil {
		return err
	}
	if next.IsJoint() || countVoterChanges(n.log.configuration(), next) > 1 {
		return ErrMultipleVoterChanges
	}
	n.appendConfiguration(next)
	return nil
}

// ProposeReplacement proposes that the learner incoming votes in place of the voter outgoing, which then
// leaves the group. The group passes through a joint configuration, which the leader leaves once it is
// committed. The number of voters stays the same, and a majority of them that includes neither outgoing nor
// incoming suffices throughout.
func (n *Node) ProposeReplacement(outgoing, incoming ReplicaID) error {
	if err := n.checkChange(); err != nil {
		return err
	}
	configuration := n.log.configuration()
	learner, found := configuration.Find(incoming)
	if !found || !learner.IsLearner || !configuration.IsVoter(outgoing) {
		return ErrNotReplaceable
	}
	n.appendConfiguration(configuration.replacing(outgoing, incoming))
	return nil
}

// checkChange returns an error unless a change of the configuration may be proposed. Invariant: at most
// one configuration is uncommitted, none follows a joint one but its end, and none is proposed before the
// leader has committed an entry of its own term (thesis, section 4.1 and its correction).
func (n *Node) checkChange() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	committedTerm, _ := n.log.term(n.log.commit)
	if n.log.configurationIndex() > n.log.commit || n.log.configuration().IsJoint() || committedTerm != n.term {
		return ErrChangePending
	}
	return nil
}

func (n *Node) appendConfiguration(next Configuration) {
	n.appendEntry(Entry{Kind: EntryConfiguration, Configuration: &next})
	n.updateProgress()
	n.broadcastAppend()
}

// leaveJointConfiguration appends the configuration that follows a joint one once the joint one and an
// entry of the leader's own term are committed.
func (n *Node) leaveJointConfiguration() {
	if configuration := n.log.configuration(); configuration.IsJoint() && n.log.configurationIndex() <= n.log.commit {
		n.appendConfiguration(configuration.withoutOutgoing())
	}
}

// countVoterChanges returns the number of voters that are in only one of two configurations.
func countVoterChanges(old, next Configuration) int {
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

// maxTransferLagEntries is how many entries a voter may lag behind when a leadership transfer to it
// starts.
const maxTransferLagEntries = 64

// TransferLeadership starts a leadership transfer to a voter that has nearly the whole log, and
// reports whether the transfer was started. Commands are rejected during the transfer, so that the
// voter can catch up (thesis, section 3.10).
func (n *Node) TransferLeadership(to ReplicaID) bool {
	replica, found := n.log.configuration().Find(to)
	if n.role != Leader || n.transferTarget != None || !found || replica.IsLearner || !n.IsCaughtUp(to, maxTransferLagEntries) {
		return false
	}
	n.Wake()
	n.transferTarget = to
	n.electionElapsed = 0
	n.maybeSendTimeoutNow()
	return true
}

// maybeSendTimeoutNow asks the target of a leadership transfer to start an election if it has the
// whole log.
func (n *Node) maybeSendTimeoutNow() {
	if n.transferTarget != None && n.IsCaughtUp(n.transferTarget, 0) {
		n.send(Message{Kind: MessageTimeoutNow, To: n.transferTarget})
	}
}

// Compact drops the log up to index, which the owner's snapshot must cover.
func (n *Node) Compact(index uint64) {
	n.log.compact(index)
}

// CompactionIndex returns the index up to which the log may be compacted such that the most recent
// entries up to index are retained. entries bounds their number and maxBytes the bytes of their data;
// maxBytes of zero means no bound.
func (n *Node) CompactionIndex(index, entries uint64, maxBytes int) uint64 {
	return n.log.compactionIndex(index, entries, maxBytes)
}

// MatchIndex returns the last index that a replica has acknowledged to this leader. It is zero if
// this replica is not the leader.
func (n *Node) MatchIndex(id ReplicaID) uint64 {
	if follower, ok := n.progress[id]; ok && n.role == Leader {
		return follower.match
	}
	return 0
}

// Entries returns the entries after the snapshot, for inspection.
func (n *Node) Entries() []Entry {
	return slices.Clone(n.log.entries)
}

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	return len(n.messages) > 0 || len(n.messagesAfterSync) > 0 || n.pendingSnapshot != nil ||
		len(n.readStates) > 0 || len(n.abortedReads) > 0 || len(n.snapshotTargets) > 0 ||
		n.hardState() != n.savedHardState || n.log.stable < n.log.lastIndex() ||
		n.log.applied < n.log.commit
}

// Ready returns the work that has accumulated since the last Advance.
func (n *Node) Ready() Ready {
	if n.hasUnsentEntries {
		n.hasUnsentEntries = false
		n.sendUnsentEntries()
	}
	ready := Ready{
		Messages:          n.messages,
		MessagesAfterSync: n.messagesAfterSync,
		Snapshot:          n.pendingSnapshot,
		ReadStates:        n.readStates,
		AbortedReads:      n.abortedReads,
		SnapshotTargets:   n.snapshotTargets,
		Entries:           n.log.slice(n.log.stable+1, n.log.lastIndex(), maxInt),
		CommittedEntries:  n.log.slice(n.log.applied+1, n.log.commit, maxInt),
	}
	if state := n.hardState(); state != n.savedHardState {
		ready.HardState = &state
	}
	n.messages = nil
	n.messagesAfterSync = nil
	n.pendingSnapshot = nil
	n.readStates = nil
	n.abortedReads = nil
	n.snapshotTargets = nil
	return ready
}

const maxInt = int(^uint(0) >> 1)

// Advance records that the work of ready is done, that is, synced and applied.
func (n *Node) Advance(ready Ready) {
	if ready.HardState != nil {
		n.savedHardState = *ready.HardState
	}
	if count := len(ready.Entries); count > 0 {
		last := ready.Entries[count-1]
		// Invariant: an entry counts as stable only if it is still in the log.
		if n.log.matches(last.Index, last.Term) && last.Index > n.log.stable {
			n.log.stable = last.Index
		}
	}
	if count := len(ready.CommittedEntries); count > 0 {
		n.log.applied = max(n.log.applied, ready.CommittedEntries[count-1].Index)
	}
	if n.role == Leader {
		// Entries count in the quorum for the leader once they are synced.
		n.maybeCommit()
	}
}
