// Package replication hosts the replicas of log groups in one process: it drives
// their consensus nodes, writes all groups' entries in one synced write, applies
// what is committed and answers proposals and linearizable reads. It has no
// goroutine, clock or socket; its owner feeds it messages and ticks.
package replication

import (
	"cmp"
	"slices"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// StateMachine is the replicated state of one group.
type StateMachine interface {
	// Apply carries out an entry; the reply goes to the proposer, the records to
	// the disk.
	Apply(index uint64, data []byte) (reply any, records []storage.Record)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// proposal waits for its entry to be applied.
type proposal struct {
	term    uint64
	sinceMs int64
	answer  func(reply any)
}

// pendingRead waits for its read index to be applied.
type pendingRead struct {
	sinceMs int64
	index   uint64
	known   bool
	done    func(err *result.Error)
}

// Group is one replica of one log group with its state machine.
type Group struct {
	ID           storage.GroupID
	Node         *consensus.Node
	StateMachine StateMachine
	waiting      map[uint64]proposal
	reads        map[uint64]pendingRead
	readID       uint64
	// checkedTerm is the term in which the waiting proposals were last held against the log.
	checkedTerm uint64
	// unsaved are the records of entries applied since the last compaction, nil where
	// they are deleted. The log still has the entries, so that the records need not be on
	// the disk before it is compacted; until then reads look here first.
	unsaved unsavedRecords
	// senders remembers which member a replica belongs to: one that has just
	// joined must answer a leader that its empty configuration doesn't name.
	senders map[consensus.ReplicaID]string
	// wantSnapshot marks that the next Write compacts the log.
	wantSnapshot bool
	// appliedEntries and appliedBytes count the entries applied since the last
	// compaction and their data.
	appliedEntries uint64
	appliedBytes   int
	// outgoing are the snapshots on their way to other replicas, incoming the one that
	// is being received; staged, resetStaged and answers are what its next Write carries
	// and what is sent once that is synced.
	outgoing    map[consensus.ReplicaID]*outgoingTransfer
	incoming    *incomingTransfer
	staged      []storage.Record
	resetStaged bool
	answers     []*protocol.SnapshotPart
	savedTerm   uint64
	savedVote   consensus.ReplicaID
}

// unsavedRecords are records by program and turn.
type unsavedRecords map[string]map[uint64][]byte

func (u unsavedRecords) put(record storage.Record) {
	turns := u[record.Program]
	if turns == nil {
		turns = map[uint64][]byte{}
		u[record.Program] = turns
	}
	turns[record.Turn] = record.Value
}

const (
	// keptShare-th of what is compacted at once stays in memory, and keptForTransfer
	// times as much while a snapshot is on its way.
	keptShare       = 2
	keptForTransfer = 8
)

// Propose appends a command; answer gets the state machine's reply, or an error
// of the code NoQuorum where the outcome can't be known.
func (h *Host) Propose(group *Group, command any, answer func(reply any)) *result.Error {
	data, err := protocol.Encode(command)
	if err != nil {
		return result.New(result.Internal, "%v", err)
	}
	h.endOverwritten(group)
	index, term, err := group.Node.Propose(data)
	if err != nil {
		return result.New(result.NotLeader, "%s does not lead group %d", h.options.Name, group.ID)
	}
	group.waiting[index] = proposal{term: term, sinceMs: h.NowMs, answer: answer}
	return nil
}

// LinearizableRead calls done once this replica's state is linearizable.
func (h *Host) LinearizableRead(group *Group, done func(err *result.Error)) {
	group.readID++
	if err := group.Node.ReadIndex(group.readID); err != nil {
		done(result.New(result.NotLeader, "%s does not lead group %d", h.options.Name, group.ID))
		return
	}
	group.reads[group.readID] = pendingRead{sinceMs: h.NowMs, done: done}
}

// ProcessReady carries out what the groups have ready: sends, one synced write for all
// groups, and only then acknowledgements and replies.
func (h *Host) ProcessReady() error {
	if h.failure != nil {
		return h.failure
	}
	for range 64 {
		worked, err := h.flushOnce()
		if err != nil {
			return err
		}
		if !worked {
			return nil
		}
	}
	return nil
}

func (h *Host) flushOnce() (bool, error) {
	var active []*Group
	var readies []consensus.Ready
	var writes []storage.GroupWrite
	for _, group := range h.Groups {
		h.endOverwritten(group)
		if !group.Node.HasReady() && !group.wantSnapshot && len(group.answers) == 0 {
			continue
		}
		ready := group.Node.Ready()
		for _, message := range ready.Messages {
			h.queuePeer(group, message)
		}
		write, needed, err := h.groupWrite(group, ready)
		if err != nil {
			return false, err
		}
		if needed {
			writes = append(writes, write)
		}
		active = append(active, group)
		readies = append(readies, ready)
	}
	h.sendPeers()
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
		if err := h.afterSync(group, readies[position]); err != nil {
			return false, err
		}
	}
	h.sendPeers()
	return true, nil
}

// groupWrite turns a Ready into the group's part of the write.
func (h *Host) groupWrite(group *Group, ready consensus.Ready) (storage.GroupWrite, bool, error) {
	write := storage.GroupWrite{Group: group.ID, Entries: ready.Entries}
	needed := len(ready.Entries) > 0
	// The commit index alone needs no sync: it is found again after a restart.
	if ready.HardState != nil {
		write.HardState = ready.HardState
		needed = needed || ready.HardState.Term != group.savedTerm || ready.HardState.Vote != group.savedVote
	}
	if group.resetStaged || len(group.staged) > 0 {
		needed = true
		write.ResetStaged = group.resetStaged
		write.Staged = group.staged
		group.resetStaged = false
		group.staged = nil
	}
	if ready.Snapshot != nil {
		needed = true
		if err := h.installSnapshot(group, ready.Snapshot, &write); err != nil {
			return write, false, err
		}
	} else if group.wantSnapshot {
		needed = true
		if err := h.compact(group, &write); err != nil {
			return write, false, err
		}
	}
	if needed && write.HardState != nil {
		group.savedTerm = write.HardState.Term
		group.savedVote = write.HardState.Vote
	}
	return write, needed, nil
}

// compact writes the state machine as a snapshot and forgets the entries that it
// covers, but for the latest: a replica that is a little behind needs only those.
func (h *Host) compact(group *Group, write *storage.GroupWrite) error {
	group.wantSnapshot = false
	group.appliedBytes = 0
	group.appliedEntries = 0
	data, err := group.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	write.Records = group.takeUnsaved()
	index := group.Node.Applied()
	write.Snapshot = &consensus.Snapshot{
		Index: index, Term: group.Node.TermAt(index), Configuration: group.Node.ConfigurationAt(index), Data: data,
	}
	entries, size := h.options.CompactAfterEntries/keptShare, h.options.CompactAfterBytes/keptShare
	if len(group.outgoing) > 0 {
		// What comes after a snapshot on its way must still be there when it has arrived.
		entries, size = entries*keptForTransfer, size*keptForTransfer
	}
	group.Node.Compact(group.Node.KeepFrom(index, entries, size))
	return nil
}

// takeUnsaved returns the unsaved records, in the order of their keys, for a write.
func (g *Group) takeUnsaved() []storage.Record {
	records := make([]storage.Record, 0, len(g.unsaved))
	for program, turns := range g.unsaved {
		for turn, value := range turns {
			records = append(records, storage.Record{Program: program, Turn: turn, Value: value})
		}
	}
	slices.SortFunc(records, func(a, b storage.Record) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Turn, b.Turn))
	})
	clear(g.unsaved)
	return records
}

func (h *Host) afterSync(group *Group, ready consensus.Ready) error {
	for _, message := range ready.MessagesAfterSync {
		h.queuePeer(group, message)
	}
	for _, answer := range group.answers {
		h.queuePart(group, answer)
	}
	group.answers = nil
	for _, entry := range ready.Committed {
		h.applyEntry(group, entry)
	}
	group.Node.Advance(ready)
	for _, state := range ready.ReadStates {
		pending, ok := group.reads[state.Context]
		if ok {
			pending.index = state.Index
			pending.known = true
			group.reads[state.Context] = pending
		}
	}
	for _, context := range ready.LostReads {
		h.endRead(group, context)
	}
	h.answerReads(group)
	for _, to := range ready.SnapshotsWanted {
		if err := h.startTransfer(group, to); err != nil {
			return err
		}
	}
	if group.appliedEntries > h.options.CompactAfterEntries || (h.options.CompactAfterBytes > 0 && group.appliedBytes > h.options.CompactAfterBytes) {
		group.wantSnapshot = true
	}
	return nil
}

func (h *Host) applyEntry(group *Group, entry consensus.Entry) {
	var reply any
	group.appliedEntries++
	group.appliedBytes += len(entry.Data)
	if entry.Kind == consensus.EntryCommand {
		var records []storage.Record
		reply, records = group.StateMachine.Apply(entry.Index, entry.Data)
		for _, record := range records {
			group.unsaved.put(record)
		}
	}
	waiting, ok := group.waiting[entry.Index]
	delete(group.waiting, entry.Index)
	if ok && waiting.term == entry.Term && entry.Kind == consensus.EntryCommand {
		waiting.answer(reply)
	} else if ok {
		// Another leader's entry took the place: the command did not happen.
		waiting.answer(result.New(result.NotLeader, "leadership of group %d moved on", group.ID))
	}
	if h.OnApplied != nil {
		h.OnApplied(group)
	}
}

func (h *Host) answerReads(group *Group) {
	for _, id := range SortedKeys(group.reads) {
		pending := group.reads[id]
		if pending.known && group.Node.Applied() >= pending.index {
			delete(group.reads, id)
			pending.done(nil)
		}
	}
}

// Records returns a program's turn records after a turn, unsaved ones included.
func (h *Host) Records(group *Group, program string, after uint64) ([][]byte, error) {
	stored, err := h.storage.Records(group.ID, program, after)
	if err != nil {
		return nil, err
	}
	byTurn := map[uint64][]byte{}
	for _, record := range stored {
		byTurn[record.Turn] = record.Value
	}
	for turn, value := range group.unsaved[program] {
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

// SortedKeys returns the keys of a map in ascending order, so that runs repeat.
func SortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
