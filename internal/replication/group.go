// Package replication hosts the replicas of log groups in one process. It drives their consensus
// nodes, writes the entries of all groups in one synced write, applies committed entries and
// completes proposals and linearizable reads. It has no goroutines, clock or sockets; its owner
// passes it messages and ticks.
package replication

import (
	"cmp"
	"slices"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// StateMachine is the replicated state machine of one group.
type StateMachine interface {
	// Apply applies an entry. The reply is returned to the proposer, and the records are written
	// to disk.
	Apply(index uint64, data []byte) (reply any, records []storage.Record)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// pendingProposal is a proposal whose entry has not been applied yet.
type pendingProposal struct {
	term       uint64
	proposedMs int64
	reply      func(reply any)
}

// pendingRead is a linearizable read that waits until its read index is applied.
type pendingRead struct {
	startedMs int64
	index     uint64
	hasIndex  bool
	done      func(err *result.Error)
}

// Group is one replica of a log group with its state machine.
type Group struct {
	ID           storage.GroupID
	Node         *consensus.Node
	StateMachine StateMachine
	proposals    map[uint64]pendingProposal
	reads        map[uint64]pendingRead
	lastReadID   uint64
	// checkedTerm is the term in which the pending proposals were last compared with the log.
	checkedTerm uint64
	// unflushed holds the records of the entries applied since the last compaction, with a nil
	// value for deleted records. The log still has the entries, so the records need not be on
	// disk before the log is compacted. Until then, reads look here first.
	unflushed unflushedRecords
	// memberByReplica is the member that each replica last sent from. It is needed by a replica
	// that has just joined: it must answer the leader although its own configuration is still
	// empty.
	memberByReplica map[consensus.ReplicaID]string
	// compactionDue makes the next Write compact the log.
	compactionDue bool
	// entriesSinceCompaction is the number of entries applied since the last compaction, and
	// bytesSinceCompaction the size of their data.
	entriesSinceCompaction uint64
	bytesSinceCompaction   int
	// outgoingTransfers holds the snapshots that are being sent to other replicas, and
	// incomingTransfer the one that is being received. stagedRecords and resetStaged are part of
	// the group's next Write, and partReplies are sent once that write is synced.
	outgoingTransfers map[consensus.ReplicaID]*outgoingTransfer
	incomingTransfer  *incomingTransfer
	stagedRecords     []storage.Record
	resetStaged       bool
	partReplies       []*protocol.SnapshotPart
	persistedTerm     uint64
	persistedVote     consensus.ReplicaID
}

// unflushedRecords holds record values by program and turn.
type unflushedRecords map[string]map[uint64][]byte

func (u unflushedRecords) put(record storage.Record) {
	turns := u[record.Program]
	if turns == nil {
		turns = map[uint64][]byte{}
		u[record.Program] = turns
	}
	turns[record.Turn] = record.Value
}

const (
	// Compaction keeps 1/retainedDivisor of the compaction threshold in the log, and
	// transferRetentionFactor times as much while a snapshot is being sent.
	retainedDivisor         = 2
	transferRetentionFactor = 8
)

// Propose appends a command to the log. reply receives the state machine's reply or an error. An
// error with the code NoQuorum means that the outcome is unknown.
func (h *Host) Propose(group *Group, command any, reply func(reply any)) *result.Error {
	data, err := protocol.Encode(command)
	if err != nil {
		return result.New(result.Internal, "%v", err)
	}
	h.failOverwrittenProposals(group)
	index, term, err := group.Node.Propose(data)
	if err != nil {
		return result.New(result.NotLeader, "%s does not lead group %d", h.options.Name, group.ID)
	}
	group.proposals[index] = pendingProposal{term: term, proposedMs: h.NowMs, reply: reply}
	return nil
}

// LinearizableRead calls done without an error once a read of this replica's state is
// linearizable, or with an error if that is not confirmed.
func (h *Host) LinearizableRead(group *Group, done func(err *result.Error)) {
	group.lastReadID++
	if err := group.Node.ReadIndex(group.lastReadID); err != nil {
		done(result.New(result.NotLeader, "%s does not lead group %d", h.options.Name, group.ID))
		return
	}
	group.reads[group.lastReadID] = pendingRead{startedMs: h.NowMs, done: done}
}

// ProcessReady processes the ready state of all groups: it sends messages, makes one synced write
// for all groups, and only then sends acknowledgements and replies. It repeats this for up to 64
// rounds while there is ready state; the next call continues.
func (h *Host) ProcessReady() error {
	if h.deferredErr != nil {
		return h.deferredErr
	}
	for range 64 {
		worked, err := h.processReadyOnce()
		if err != nil {
			return err
		}
		if !worked {
			return nil
		}
	}
	return nil
}

func (h *Host) processReadyOnce() (bool, error) {
	var active []*Group
	var readyStates []consensus.Ready
	var writes []storage.GroupWrite
	for _, group := range h.Groups {
		h.failOverwrittenProposals(group)
		if !group.Node.HasReady() && !group.compactionDue && len(group.partReplies) == 0 {
			continue
		}
		ready := group.Node.Ready()
		for _, message := range ready.Messages {
			h.queueMessage(group, message)
		}
		write, needsSync, err := h.buildWrite(group, ready)
		if err != nil {
			return false, err
		}
		if needsSync {
			writes = append(writes, write)
		}
		active = append(active, group)
		readyStates = append(readyStates, ready)
	}
	h.sendQueued()
	if len(active) == 0 {
		return false, nil
	}
	if err := h.storage.Write(writes); err != nil {
		return false, err
	}
	if len(writes) > 0 {
		h.SyncedWrites++
	}
	for position, group := range active {
		if err := h.afterSync(group, readyStates[position]); err != nil {
			return false, err
		}
	}
	h.sendQueued()
	return true, nil
}

// buildWrite converts a ready state to the group's part of the write. The second result reports
// whether the part must be written and synced.
func (h *Host) buildWrite(group *Group, ready consensus.Ready) (storage.GroupWrite, bool, error) {
	write := storage.GroupWrite{Group: group.ID, Entries: ready.Entries}
	needsSync := len(ready.Entries) > 0
	// A commit index alone needs no sync: after a restart the replica learns it again.
	if ready.HardState != nil {
		write.HardState = ready.HardState
		needsSync = needsSync || ready.HardState.Term != group.persistedTerm || ready.HardState.Vote != group.persistedVote
	}
	if group.resetStaged || len(group.stagedRecords) > 0 {
		needsSync = true
		write.ResetStaged = group.resetStaged
		write.Staged = group.stagedRecords
		group.resetStaged = false
		group.stagedRecords = nil
	}
	if ready.Snapshot != nil {
		needsSync = true
		if err := h.installSnapshot(group, ready.Snapshot, &write); err != nil {
			return write, false, err
		}
	} else if group.compactionDue {
		needsSync = true
		if err := h.compact(group, &write); err != nil {
			return write, false, err
		}
	}
	if needsSync && write.HardState != nil {
		group.persistedTerm = write.HardState.Term
		group.persistedVote = write.HardState.Vote
	}
	return write, needsSync, nil
}

// compact writes the state machine as a snapshot and drops the log entries that it covers, except
// the most recent ones: a replica that lags slightly needs only these.
func (h *Host) compact(group *Group, write *storage.GroupWrite) error {
	group.compactionDue = false
	group.bytesSinceCompaction = 0
	group.entriesSinceCompaction = 0
	data, err := group.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	write.Records = group.takeUnflushed()
	index := group.Node.AppliedIndex()
	write.Snapshot = &consensus.Snapshot{
		Index: index, Term: group.Node.TermAt(index), Configuration: group.Node.ConfigurationAt(index), Data: data,
	}
	entries, size := h.options.CompactAfterEntries/retainedDivisor, h.options.CompactAfterBytes/retainedDivisor
	if len(group.outgoingTransfers) > 0 {
		// The entries after a snapshot that is being sent must still be in the log when it
		// arrives.
		entries, size = entries*transferRetentionFactor, size*transferRetentionFactor
	}
	group.Node.Compact(group.Node.CompactionIndex(index, entries, size))
	return nil
}

// takeUnflushed returns the unflushed records for a write, sorted by key, and clears them.
func (g *Group) takeUnflushed() []storage.Record {
	records := make([]storage.Record, 0, len(g.unflushed))
	for program, turns := range g.unflushed {
		for turn, value := range turns {
			records = append(records, storage.Record{Program: program, Turn: turn, Value: value})
		}
	}
	slices.SortFunc(records, func(a, b storage.Record) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Turn, b.Turn))
	})
	clear(g.unflushed)
	return records
}

// afterSync sends the messages that had to wait for the sync, applies the committed entries and
// completes or fails reads.
func (h *Host) afterSync(group *Group, ready consensus.Ready) error {
	for _, message := range ready.MessagesAfterSync {
		h.queueMessage(group, message)
	}
	for _, reply := range group.partReplies {
		h.queuePart(group, reply)
	}
	group.partReplies = nil
	for _, entry := range ready.CommittedEntries {
		h.applyEntry(group, entry)
	}
	group.Node.Advance(ready)
	for _, state := range ready.ReadStates {
		pending, ok := group.reads[state.Context]
		if ok {
			pending.index = state.Index
			pending.hasIndex = true
			group.reads[state.Context] = pending
		}
	}
	for _, context := range ready.AbortedReads {
		h.failRead(group, context)
	}
	h.completeReads(group)
	for _, to := range ready.SnapshotTargets {
		if err := h.startTransfer(group, to); err != nil {
			return err
		}
	}
	if group.entriesSinceCompaction > h.options.CompactAfterEntries || (h.options.CompactAfterBytes > 0 && group.bytesSinceCompaction > h.options.CompactAfterBytes) {
		group.compactionDue = true
	}
	return nil
}

func (h *Host) applyEntry(group *Group, entry consensus.Entry) {
	var reply any
	group.entriesSinceCompaction++
	group.bytesSinceCompaction += len(entry.Data)
	if entry.Kind == consensus.EntryCommand {
		var records []storage.Record
		reply, records = group.StateMachine.Apply(entry.Index, entry.Data)
		for _, record := range records {
			group.unflushed.put(record)
		}
	}
	pending, isPending := group.proposals[entry.Index]
	delete(group.proposals, entry.Index)
	if isPending && pending.term == entry.Term && entry.Kind == consensus.EntryCommand {
		pending.reply(reply)
	} else if isPending {
		// An entry of another leader was committed at this index, so the command was not applied.
		pending.reply(result.New(result.NotLeader, "leadership of group %d changed", group.ID))
	}
	if h.OnApplied != nil {
		h.OnApplied(group)
	}
}

func (h *Host) completeReads(group *Group) {
	for _, id := range SortedKeys(group.reads) {
		pending := group.reads[id]
		if pending.hasIndex && group.Node.AppliedIndex() >= pending.index {
			delete(group.reads, id)
			pending.done(nil)
		}
	}
}

// Records returns the turn records of a program after the given turn, including unflushed ones.
func (h *Host) Records(group *Group, program string, after uint64) ([][]byte, error) {
	stored, err := h.storage.Records(group.ID, program, after)
	if err != nil {
		return nil, err
	}
	byTurn := map[uint64][]byte{}
	for _, record := range stored {
		byTurn[record.Turn] = record.Value
	}
	for turn, value := range group.unflushed[program] {
		switch {
		case turn <= after:
		case value == nil:
			delete(byTurn, turn)
		default:
			byTurn[turn] = value
		}
	}
	var values [][]byte
	for _, turn := range SortedKeys(byTurn) {
		values = append(values, byTurn[turn])
	}
	return values, nil
}

// SortedKeys returns the keys of a map in ascending order, so that runs are reproducible.
func SortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
