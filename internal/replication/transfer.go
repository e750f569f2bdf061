package replication

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/storage"
)

const (
	// maxPartBytes bounds the records in one part of a snapshot, so that neither side holds all
	// records of a group in memory. A host with an empty disk receives one part of each of its
	// groups at the same time. Eight parts of this size take 0.09 s on a link of 47 Mbit/s, so
	// that heartbeats still arrive within an election timeout (0.3 s). With parts of four times
	// the size they do not.
	maxPartBytes = 64 << 10
	// partResendMs is how long the reply to a part may take before the part is sent again. It is
	// longer than the time a part takes on a congested link, because resent parts would add to
	// the congestion.
	partResendMs = 1000
	// partsNotNeeded is the reply to a part of a snapshot whose entries the replica already has.
	partsNotNeeded = -1
)

// snapshotState is the data of a snapshot on the wire. The records of the snapshot were sent
// before it, and Parts is the number of their parts.
type snapshotState struct {
	State []byte `msgpack:"s"`
	Parts int    `msgpack:"p"`
}

// outgoingTransfer is a snapshot that is being sent to a replica: first its records in parts, one
// at a time, then the snapshot itself.
type outgoingTransfer struct {
	snapshot consensus.Snapshot
	state    []byte
	// partNumber is the number of the part whose reply is awaited. Its records are those after
	// afterKey, and part holds them encoded, nil before they are read.
	partNumber int
	afterKey   storage.RecordKey
	part       []byte
	sentMs     int64
	// lastKey is the key of the last record in the part, and hasMore whether other records follow
	// it.
	lastKey storage.RecordKey
	hasMore bool
	// allPartsReceived means that the replica has all parts.
	allPartsReceived bool
}

// incomingTransfer is a snapshot that is being received from a leader.
type incomingTransfer struct {
	from         consensus.ReplicaID
	term         uint64
	index        uint64
	snapshotTerm uint64
	// nextPart is the number of the next expected part.
	nextPart int
	complete bool
}

// covers reports whether all parts of a snapshot are staged.
func (t *incomingTransfer) covers(snapshot *consensus.Snapshot, parts int) bool {
	return t != nil && t.complete && t.index == snapshot.Index && t.snapshotTerm == snapshot.Term && t.nextPart == parts
}

// startTransfer starts to send a snapshot to a replica. If a transfer is already in progress, it
// only resends the snapshot itself, once all parts were received.
func (h *Host) startTransfer(group *Group, to consensus.ReplicaID) error {
	if transfer, known := group.outgoingTransfers[to]; known {
		if transfer.allPartsReceived {
			h.sendSnapshot(group, to, transfer)
		}
		return nil
	}
	// The disk must hold the records of every entry that the snapshot covers before the first part
	// is read.
	if len(group.unflushed) > 0 {
		if err := h.storage.Write([]storage.GroupWrite{{Group: group.ID, Records: group.takeUnflushed()}}); err != nil {
			return err
		}
	}
	state, err := group.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	index := group.Node.AppliedIndex()
	transfer := &outgoingTransfer{state: state, snapshot: consensus.Snapshot{
		Index: index, Term: group.Node.TermAt(index), Configuration: group.Node.ConfigurationAt(index),
	}}
	group.outgoingTransfers[to] = transfer
	return h.sendPart(group, to, transfer)
}

// sendPart sends the current part. Invariant: all copies of a part are the same, since any of them may be the
// one that is acknowledged, and the next part begins after the last record of this one. The records on disk may
// change between two copies.
func (h *Host) sendPart(group *Group, to consensus.ReplicaID, transfer *outgoingTransfer) error {
	transfer.sentMs = h.NowMs
	if transfer.part == nil {
		isEmpty, err := h.readPart(group, transfer)
		if err != nil {
			return err
		}
		if isEmpty {
			transfer.allPartsReceived = true
			h.sendSnapshot(group, to, transfer)
			return nil
		}
	}
	h.queuePart(group, &protocol.SnapshotPart{
		From: group.Node.ID(), To: to, Term: group.Node.Term(), Index: transfer.snapshot.Index, SnapshotTerm: transfer.snapshot.Term,
		Number: transfer.partNumber, IsLast: !transfer.hasMore, Records: transfer.part,
	})
	return nil
}

// readPart reads the current part from disk. It returns true if there are no further records.
func (h *Host) readPart(group *Group, transfer *outgoingTransfer) (isEmpty bool, err error) {
	records, more, err := h.storage.RecordsAfter(group.ID, transfer.afterKey, maxPartBytes)
	if err != nil || len(records) == 0 {
		return true, err
	}
	transfer.hasMore = more
	transfer.lastKey = records[len(records)-1].Key()
	transfer.part, err = msgpack.Marshal(records)
	return false, err
}

// sendSnapshot sends the snapshot itself, once the replica has its records.
func (h *Host) sendSnapshot(group *Group, to consensus.ReplicaID, transfer *outgoingTransfer) {
	data, err := msgpack.Marshal(&snapshotState{State: transfer.state, Parts: transfer.partNumber})
	if err != nil {
		delete(group.outgoingTransfers, to)
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
		member = group.memberByReplica[part.To]
	}
	if member != "" {
		h.outbox[member] = append(h.outbox[member], protocol.PeerMessage{Group: uint32(group.ID), Part: part})
	}
}

// stepPart processes a part of a snapshot, or the reply to a part.
func (h *Host) stepPart(group *Group, part *protocol.SnapshotPart) error {
	if part.IsAcknowledgement {
		return h.handlePartReply(group, part)
	}
	h.receivePart(group, part)
	return nil
}

// handlePartReply sends the next part, or the snapshot itself after the last part. A replica that
// has lost its staged records asks for the first part, which restarts the transfer.
func (h *Host) handlePartReply(group *Group, reply *protocol.SnapshotPart) error {
	transfer, known := group.outgoingTransfers[reply.From]
	if !known || !group.IsLeader() || reply.Term != group.Node.Term() || reply.Index != transfer.snapshot.Index {
		return nil
	}
	switch {
	case reply.Number == partsNotNeeded:
		transfer.allPartsReceived = true
		h.sendSnapshot(group, reply.From, transfer)
		return nil
	case reply.Number == 0:
		delete(group.outgoingTransfers, reply.From)
		return h.startTransfer(group, reply.From)
	case transfer.allPartsReceived || reply.Number != transfer.partNumber+1:
		return nil
	}
	transfer.partNumber++
	transfer.afterKey, transfer.part = transfer.lastKey, nil
	if transfer.hasMore {
		return h.sendPart(group, reply.From, transfer)
	}
	transfer.allPartsReceived = true
	h.sendSnapshot(group, reply.From, transfer)
	return nil
}

// receivePart stages a part and, after the sync, replies with the number of the next wanted part.
func (h *Host) receivePart(group *Group, part *protocol.SnapshotPart) {
	if part.Term < group.Node.Term() {
		return
	}
	if part.Index <= group.Node.CommitIndex() {
		// The leader does not know yet that this replica has these entries. It learns that from
		// the reply to the snapshot itself, which it may send without further parts.
		group.partReplies = append(group.partReplies, h.newPartReply(group, part.From, part.Term, part.Index, partsNotNeeded))
		return
	}
	incoming := group.incomingTransfer
	if incoming == nil || incoming.from != part.From || incoming.term != part.Term || incoming.index != part.Index {
		incoming = &incomingTransfer{from: part.From, term: part.Term, index: part.Index, snapshotTerm: part.SnapshotTerm}
		group.incomingTransfer = incoming
		group.resetStaged = true
		group.stagedRecords = nil
	}
	if part.Number == incoming.nextPart {
		var records []storage.Record
		if msgpack.Unmarshal(part.Records, &records) != nil {
			return
		}
		group.stagedRecords = append(group.stagedRecords, records...)
		incoming.nextPart++
		incoming.complete = part.IsLast
	}
	group.partReplies = append(group.partReplies, h.newPartReply(group, part.From, part.Term, part.Index, incoming.nextPart))
}

func (h *Host) newPartReply(group *Group, to consensus.ReplicaID, term, index uint64, wantedPart int) *protocol.SnapshotPart {
	return &protocol.SnapshotPart{From: group.Node.ID(), To: to, Term: term, Index: index, Number: wantedPart, IsAcknowledgement: true}
}

// acceptSnapshot reports whether a snapshot can be passed to the consensus node: all its records
// are staged, it has none, or the replica does not need it. Otherwise it drops the incoming
// transfer and asks the leader for the first part.
func (h *Host) acceptSnapshot(group *Group, message *consensus.Message) bool {
	var state snapshotState
	if message.Snapshot == nil || msgpack.Unmarshal(message.Snapshot.Data, &state) != nil {
		return false
	}
	if state.Parts == 0 || message.Snapshot.Index <= group.Node.CommitIndex() || group.incomingTransfer.covers(message.Snapshot, state.Parts) {
		return true
	}
	group.incomingTransfer = nil
	group.partReplies = append(group.partReplies, h.newPartReply(group, message.From, message.Term, message.Snapshot.Index, 0))
	return false
}

// installSnapshot replaces the group's state by a received snapshot.
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
	group.incomingTransfer = nil
	clear(group.unflushed)
	return nil
}

// maintainTransfers resends parts that were not acknowledged, and removes transfers that have
// ended or that this replica cannot complete.
func (h *Host) maintainTransfers(group *Group) error {
	for _, to := range SortedKeys(group.outgoingTransfers) {
		transfer := group.outgoingTransfers[to]
		_, isMember := group.Node.Configuration().Find(to)
		if !group.IsLeader() || !isMember || group.Node.MatchIndex(to) >= transfer.snapshot.Index {
			delete(group.outgoingTransfers, to)
			continue
		}
		if !transfer.allPartsReceived && h.NowMs-transfer.sentMs >= partResendMs {
			if err := h.sendPart(group, to, transfer); err != nil {
				return err
			}
		}
	}
	return nil
}
