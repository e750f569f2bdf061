package replication

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/storage"
)

const (
	// partBytes bounds the records in one part of a snapshot, so that neither side ever
	// holds a whole group's records in memory. A host on an empty disk gets a part of each of
	// its groups at once: eight parts take 0.09 s of a link of 47 Mbit/s, which leaves
	// heartbeats within an election timeout (0.3 s); at four times the size they don't.
	partBytes = 64 << 10
	// partWaitMs is how long an answer to a part may take before it is sent again: above
	// what a crowded link takes, since parts sent twice would crowd it more.
	partWaitMs = 1000
	// partsNotNeeded answers a part of a snapshot whose entries the replica has.
	partsNotNeeded = -1
)

// snapshotState is the data of a snapshot on the wire. Its records went before it, in
// Parts parts.
type snapshotState struct {
	State []byte `msgpack:"s"`
	Parts int    `msgpack:"p"`
}

// outgoingTransfer is a snapshot on its way to a replica: its records in parts, one at a
// time, and then the snapshot itself.
type outgoingTransfer struct {
	snapshot consensus.Snapshot
	state    []byte
	// number is the part that awaits its answer, after the key that it follows.
	number int
	after  storage.RecordKey
	sentMs int64
	// last is the key that ends the part, more whether others follow it.
	last storage.RecordKey
	more bool
	// complete says that the replica has all parts.
	complete bool
}

// incomingTransfer is a snapshot that is being received from a leader.
type incomingTransfer struct {
	from         consensus.ReplicaID
	term         uint64
	index        uint64
	snapshotTerm uint64
	// next is the part expected next.
	next     int
	complete bool
}

// covers reports whether all parts of a snapshot are staged.
func (t *incomingTransfer) covers(snapshot *consensus.Snapshot, parts int) bool {
	return t != nil && t.complete && t.index == snapshot.Index && t.snapshotTerm == snapshot.Term && t.next == parts
}

// startTransfer begins to send a snapshot to a replica; where one is on its way already,
// only its end is sent again.
func (h *Host) startTransfer(group *Group, to consensus.ReplicaID) error {
	if transfer, known := group.outgoing[to]; known {
		if transfer.complete {
			h.finishTransfer(group, to, transfer)
		}
		return nil
	}
	// Invariant: the disk holds the records of every entry that the snapshot covers
	// before the first part is read.
	if len(group.unsaved) > 0 {
		if err := h.storage.Write([]storage.GroupWrite{{Group: group.ID, Records: group.takeUnsaved()}}); err != nil {
			return err
		}
	}
	state, err := group.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	index := group.Node.Applied()
	transfer := &outgoingTransfer{state: state, snapshot: consensus.Snapshot{
		Index: index, Term: group.Node.TermAt(index), Configuration: group.Node.ConfigurationAt(index),
	}}
	group.outgoing[to] = transfer
	return h.sendPart(group, to, transfer)
}

// sendPart reads the part that is due from the disk and sends it.
func (h *Host) sendPart(group *Group, to consensus.ReplicaID, transfer *outgoingTransfer) error {
	records, more, err := h.storage.RecordsAfter(group.ID, transfer.after, partBytes)
	if err != nil {
		return err
	}
	transfer.sentMs = h.NowMs
	transfer.more = more
	if len(records) == 0 {
		transfer.complete = true
		h.finishTransfer(group, to, transfer)
		return nil
	}
	transfer.last = records[len(records)-1].Key()
	data, err := msgpack.Marshal(records)
	if err != nil {
		return err
	}
	h.queuePart(group, &protocol.SnapshotPart{
		From: group.Node.ID(), To: to, Term: group.Node.Term(), Index: transfer.snapshot.Index, SnapshotTerm: transfer.snapshot.Term,
		Number: transfer.number, Last: !more, Records: data,
	})
	return nil
}

// finishTransfer sends the snapshot itself, once the replica has its records.
func (h *Host) finishTransfer(group *Group, to consensus.ReplicaID, transfer *outgoingTransfer) {
	data, err := msgpack.Marshal(&snapshotState{State: transfer.state, Parts: transfer.number})
	if err != nil {
		delete(group.outgoing, to)
		return
	}
	snapshot := transfer.snapshot
	snapshot.Data = data
	group.Node.SendSnapshot(to, snapshot)
}

func (h *Host) queuePart(group *Group, part *protocol.SnapshotPart) {
	replica, ok := group.Node.Configuration().Find(part.To)
	member := replica.Member
	if !ok {
		member = group.senders[part.To]
	}
	if member != "" {
		h.outgoing[member] = append(h.outgoing[member], protocol.PeerMessage{Group: uint32(group.ID), Part: part})
	}
}

// stepPart takes a part of a snapshot, or the answer to one.
func (h *Host) stepPart(group *Group, part *protocol.SnapshotPart) error {
	if part.Answer {
		return h.partAnswered(group, part)
	}
	h.partReceived(group, part)
	return nil
}

// partAnswered sends what follows the part that a replica has. A replica that has lost
// what it had asks for the first part: then the transfer starts over.
func (h *Host) partAnswered(group *Group, answer *protocol.SnapshotPart) error {
	transfer, known := group.outgoing[answer.From]
	if !known || !group.IsLeader() || answer.Term != group.Node.Term() || answer.Index != transfer.snapshot.Index {
		return nil
	}
	switch {
	case answer.Number == partsNotNeeded:
		transfer.complete = true
		h.finishTransfer(group, answer.From, transfer)
		return nil
	case answer.Number == 0:
		delete(group.outgoing, answer.From)
		return h.startTransfer(group, answer.From)
	case transfer.complete || answer.Number != transfer.number+1:
		return nil
	}
	transfer.number++
	transfer.after = transfer.last
	if transfer.more {
		return h.sendPart(group, answer.From, transfer)
	}
	transfer.complete = true
	h.finishTransfer(group, answer.From, transfer)
	return nil
}

// partReceived stages a part and answers, after the sync, which part is wanted next.
func (h *Host) partReceived(group *Group, part *protocol.SnapshotPart) {
	if part.Term < group.Node.Term() {
		return
	}
	if part.Index <= group.Node.Commit() {
		// The leader doesn't know how far this replica is; the snapshot itself tells it.
		group.answers = append(group.answers, h.partAnswer(group, part.From, part.Term, part.Index, partsNotNeeded))
		return
	}
	current := group.incoming
	if current == nil || current.from != part.From || current.term != part.Term || current.index != part.Index {
		current = &incomingTransfer{from: part.From, term: part.Term, index: part.Index, snapshotTerm: part.SnapshotTerm}
		group.incoming = current
		group.resetStaged = true
		group.staged = nil
	}
	if part.Number == current.next {
		var records []storage.Record
		if msgpack.Unmarshal(part.Records, &records) != nil {
			return
		}
		group.staged = append(group.staged, records...)
		current.next++
		current.complete = part.Last
	}
	group.answers = append(group.answers, h.partAnswer(group, part.From, part.Term, part.Index, current.next))
}

func (h *Host) partAnswer(group *Group, to consensus.ReplicaID, term, index uint64, next int) *protocol.SnapshotPart {
	return &protocol.SnapshotPart{From: group.Node.ID(), To: to, Term: term, Index: index, Number: next, Answer: true}
}

// mayInstall reports whether a snapshot can be handed to the replica: its records are
// staged, or it has none. Otherwise the leader is asked for the first part.
func (h *Host) mayInstall(group *Group, message *consensus.Message) bool {
	var state snapshotState
	if message.Snapshot == nil || msgpack.Unmarshal(message.Snapshot.Data, &state) != nil {
		return false
	}
	if state.Parts == 0 || message.Snapshot.Index <= group.Node.Commit() || group.incoming.covers(message.Snapshot, state.Parts) {
		return true
	}
	group.incoming = nil
	group.answers = append(group.answers, h.partAnswer(group, message.From, message.Term, message.Snapshot.Index, 0))
	return false
}

// installSnapshot puts a received snapshot in the place of the group's state.
func (h *Host) installSnapshot(group *Group, snapshot *consensus.Snapshot, write *storage.GroupWrite) error {
	var received snapshotState
	if err := msgpack.Unmarshal(snapshot.Data, &received); err != nil {
		return err
	}
	if err := group.StateMachine.Restore(received.State); err != nil {
		return err
	}
	stored := *snapshot
	stored.Data = received.State
	write.Snapshot = &stored
	write.PromoteStaged = true
	if received.Parts == 0 {
		write.ResetStaged = true
		write.Staged = nil
	}
	group.incoming = nil
	clear(group.unsaved)
	return nil
}

// tendTransfers sends parts again that were not answered and forgets transfers that
// have ended or that this replica can't see through.
func (h *Host) tendTransfers(group *Group) error {
	for _, to := range SortedKeys(group.outgoing) {
		transfer := group.outgoing[to]
		_, counts := group.Node.Configuration().Find(to)
		if !group.IsLeader() || !counts || group.Node.Match(to) >= transfer.snapshot.Index {
			delete(group.outgoing, to)
			continue
		}
		if !transfer.complete && h.NowMs-transfer.sentMs >= partWaitMs {
			if err := h.sendPart(group, to, transfer); err != nil {
				return err
			}
		}
	}
	return nil
}
