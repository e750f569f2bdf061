package control

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// machine is the replicated state of one group.
type machine interface {
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

// group is one replica of one log group with its state machine.
type group struct {
	id      storage.GroupID
	node    *consensus.Node
	state   machine
	waiting map[uint64]proposal
	reads   map[uint64]pendingRead
	readID  uint64
	// unsaved are records that the next Write carries; until then reads must
	// look here too.
	unsaved []storage.Record
	// senders remembers which member a replica belongs to: one that has just
	// joined must answer a leader that its empty configuration doesn't name.
	senders map[consensus.ReplicaID]string
	// wantSnapshot marks that the next Write compacts the log.
	wantSnapshot bool
	savedTerm    uint64
	savedVote    consensus.ReplicaID
}

// snapshotTransfer is the data of a snapshot sent to another replica.
type snapshotTransfer struct {
	State   []byte           `msgpack:"s"`
	Records []storage.Record `msgpack:"r"`
}

// propose appends a command; answer gets the state machine's reply, or an error
// of the code NoQuorum where the outcome can't be known.
func (c *Core) propose(group *group, command any, answer func(reply any)) *result.Error {
	data, err := protocol.Encode(command)
	if err != nil {
		return result.New(result.Internal, "%v", err)
	}
	index, term, err := group.node.Propose(data)
	if err != nil {
		return result.New(result.NotLeader, "%s does not lead group %d", c.options.Name, group.id)
	}
	group.waiting[index] = proposal{term: term, sinceMs: c.nowMs, answer: answer}
	return nil
}

// read calls done once this replica's state is linearizable.
func (c *Core) read(group *group, done func(err *result.Error)) {
	group.readID++
	if err := group.node.ReadIndex(group.readID); err != nil {
		done(result.New(result.NotLeader, "%s does not lead group %d", c.options.Name, group.id))
		return
	}
	group.reads[group.readID] = pendingRead{sinceMs: c.nowMs, done: done}
}

// Flush carries out what the groups have ready: sends, one synced write for all
// groups, and only then acknowledgements and replies.
func (c *Core) Flush() error {
	for range 64 {
		worked, err := c.flushOnce()
		if err != nil {
			return err
		}
		if !worked {
			return nil
		}
	}
	return nil
}

func (c *Core) flushOnce() (bool, error) {
	var active []*group
	var readies []consensus.Ready
	var writes []storage.GroupWrite
	for _, group := range c.groups {
		if !group.node.HasReady() && !group.wantSnapshot {
			continue
		}
		ready := group.node.Ready()
		for _, message := range ready.Messages {
			c.queuePeer(group, message)
		}
		write, needed, err := c.groupWrite(group, ready)
		if err != nil {
			return false, err
		}
		if needed {
			writes = append(writes, write)
		}
		active = append(active, group)
		readies = append(readies, ready)
	}
	c.sendPeers()
	if len(active) == 0 {
		return false, nil
	}
	if err := c.storage.Write(writes); err != nil {
		return false, err
	}
	if len(writes) > 0 {
		c.synced++
	}
	for position, group := range active {
		if err := c.afterSync(group, readies[position]); err != nil {
			return false, err
		}
	}
	c.sendPeers()
	return true, nil
}

// groupWrite turns a Ready into the group's part of the write.
func (c *Core) groupWrite(group *group, ready consensus.Ready) (storage.GroupWrite, bool, error) {
	write := storage.GroupWrite{Group: group.id, Entries: ready.Entries}
	needed := len(ready.Entries) > 0
	// The commit index alone needs no sync: it is found again after a restart.
	if ready.HardState != nil {
		write.HardState = ready.HardState
		needed = needed || ready.HardState.Term != group.savedTerm || ready.HardState.Vote != group.savedVote
	}
	if ready.Snapshot != nil {
		needed = true
		if err := c.installSnapshot(group, ready.Snapshot, &write); err != nil {
			return write, false, err
		}
	} else if group.wantSnapshot {
		needed = true
		if err := group.compact(&write); err != nil {
			return write, false, err
		}
	}
	if needed {
		write.Records = append(write.Records, group.unsaved...)
		group.unsaved = nil
		if write.HardState != nil {
			group.savedTerm = write.HardState.Term
			group.savedVote = write.HardState.Vote
		}
	}
	return write, needed, nil
}

func (c *Core) installSnapshot(group *group, snapshot *consensus.Snapshot, write *storage.GroupWrite) error {
	var transfer snapshotTransfer
	if err := msgpack.Unmarshal(snapshot.Data, &transfer); err != nil {
		return err
	}
	if err := group.state.Restore(transfer.State); err != nil {
		return err
	}
	stored := *snapshot
	stored.Data = transfer.State
	write.Snapshot = &stored
	write.ReplaceRecords = true
	write.Records = transfer.Records
	group.unsaved = nil
	return nil
}

// compact writes the state machine as a snapshot and forgets the entries.
func (g *group) compact(write *storage.GroupWrite) error {
	g.wantSnapshot = false
	data, err := g.state.Snapshot()
	if err != nil {
		return err
	}
	index := g.node.Applied()
	write.Snapshot = &consensus.Snapshot{
		Index: index, Term: g.node.TermAt(index), Configuration: g.node.ConfigurationAt(index), Data: data,
	}
	g.node.Compact(index)
	return nil
}

func (c *Core) afterSync(group *group, ready consensus.Ready) error {
	for _, message := range ready.MessagesAfterSync {
		c.queuePeer(group, message)
	}
	for _, entry := range ready.Committed {
		c.applyEntry(group, entry)
	}
	group.node.Advance(ready)
	for _, state := range ready.ReadStates {
		pending, ok := group.reads[state.Context]
		if ok {
			pending.index = state.Index
			pending.known = true
			group.reads[state.Context] = pending
		}
	}
	c.answerReads(group)
	for _, to := range ready.SnapshotsWanted {
		if err := c.sendSnapshot(group, to); err != nil {
			return err
		}
	}
	if group.node.Applied()-group.node.SnapshotIndex() > c.options.CompactEntries {
		group.wantSnapshot = true
	}
	return nil
}

func (c *Core) applyEntry(group *group, entry consensus.Entry) {
	var reply any
	if entry.Kind == consensus.EntryCommand {
		var records []storage.Record
		reply, records = group.state.Apply(entry.Index, entry.Data)
		group.unsaved = append(group.unsaved, records...)
	}
	waiting, ok := group.waiting[entry.Index]
	delete(group.waiting, entry.Index)
	if ok && waiting.term == entry.Term && entry.Kind == consensus.EntryCommand {
		waiting.answer(reply)
	} else if ok {
		// Another leader's entry took the place: the command did not happen.
		waiting.answer(result.New(result.NotLeader, "leadership of group %d moved on", group.id))
	}
	if group.id == 0 {
		c.systemApplied(entry.Index)
	}
}

func (c *Core) answerReads(group *group) {
	for _, id := range sortedKeys(group.reads) {
		pending := group.reads[id]
		if pending.known && group.node.Applied() >= pending.index {
			delete(group.reads, id)
			pending.done(nil)
		}
	}
}

func (c *Core) sendSnapshot(group *group, to consensus.ReplicaID) error {
	state, err := group.state.Snapshot()
	if err != nil {
		return err
	}
	records, err := c.storage.AllRecords(group.id)
	if err != nil {
		return err
	}
	records = append(records, group.unsaved...)
	data, err := msgpack.Marshal(&snapshotTransfer{State: state, Records: records})
	if err != nil {
		return err
	}
	index := group.node.Applied()
	group.node.SendSnapshot(to, consensus.Snapshot{
		Index: index, Term: group.node.TermAt(index), Configuration: group.node.ConfigurationAt(index), Data: data,
	})
	return nil
}

// expireProposals gives up on what no quorum confirmed in time or on what this
// replica can't see through because it doesn't lead any more.
func (c *Core) expireProposals() {
	for _, group := range c.groups {
		leads := group.node.Role() == consensus.Leader
		for _, index := range sortedKeys(group.waiting) {
			waiting := group.waiting[index]
			if leads && c.nowMs-waiting.sinceMs < proposalWaitMs {
				continue
			}
			delete(group.waiting, index)
			waiting.answer(result.New(result.NoQuorum, "group %d did not confirm in time", group.id))
		}
		for _, id := range sortedKeys(group.reads) {
			pending := group.reads[id]
			if leads && c.nowMs-pending.sinceMs < proposalWaitMs {
				continue
			}
			delete(group.reads, id)
			pending.done(result.New(result.NotLeader, "group %d has no confirmed leader here", group.id))
		}
	}
}

// records returns a program's turn records after a turn, unsaved ones included.
func (c *Core) records(group *group, program string, after uint64) ([][]byte, error) {
	stored, err := c.storage.Records(group.id, program, after)
	if err != nil {
		return nil, err
	}
	byTurn := map[uint64][]byte{}
	for _, record := range stored {
		byTurn[record.Turn] = record.Value
	}
	for _, record := range group.unsaved {
		if record.Program == program && record.Turn > after {
			byTurn[record.Turn] = record.Value
		}
	}
	var values [][]byte
	for _, turn := range sortedKeys(byTurn) {
		values = append(values, byTurn[turn])
	}
	return values, nil
}

type ordered interface {
	~uint64 | ~string
}

func sortedKeys[K ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
