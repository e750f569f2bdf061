package replication

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// Storage is the disk interface of a host. Write returns after the sync.
type Storage interface {
	Replica() consensus.ReplicaID
	Write(writes []storage.GroupWrite) error
	Load(group storage.GroupID) (consensus.PersistedState, error)
	Records(group storage.GroupID, program string, after uint64) ([]storage.Record, error)
	RecordsAfter(group storage.GroupID, after storage.RecordKey, maxBytes int) (records []storage.Record, more bool, err error)
}

// Options configures a Host. The fields with Ticks in their name count ticks, those with Ms
// milliseconds.
type Options struct {
	// Name is the member name of this process in the configurations of the groups.
	Name                 string
	ElectionTicks        int
	HeartbeatTicks       int
	InitialElectionTicks int
	QuiesceTicks         int
	MaxAppendBytes       int
	MaxInflight          int
	// ProposalTimeoutMs is how long a proposal or a read may wait for a quorum.
	ProposalTimeoutMs int64
	// CompactAfterEntries and CompactAfterBytes are the numbers of applied entries and bytes
	// since the last compaction after which a group's log is compacted. CompactAfterBytes of 0
	// means no bound.
	CompactAfterEntries uint64
	CompactAfterBytes   int

	DisablePreVote          bool
	DisableCheckQuorum      bool
	DisableReadConfirmation bool
}

// Host holds the replicas of one process.
type Host struct {
	options Options
	storage Storage
	send    func(member string, messages []protocol.PeerMessage)
	outbox  map[string][]protocol.PeerMessage

	// NowMs is the owner's clock.
	NowMs int64
	// Groups holds the hosted replicas in ascending order of their group IDs.
	Groups []*Group
	// SyncedWrites counts the synced writes.
	SyncedWrites uint64
	// deferredErr is a disk error that occurred outside ProcessReady.
	deferredErr error
	// OnApplied is called after an entry of a group was applied. It may be nil.
	OnApplied func(group *Group)
}

// NewHost returns a host without groups. send sends messages to a member.
func NewHost(options Options, disk Storage, send func(member string, messages []protocol.PeerMessage)) *Host {
	return &Host{options: options, storage: disk, send: send, outbox: map[string][]protocol.PeerMessage{}}
}

// AddGroup starts the replica of a group from its state on disk. bootstrap is the configuration
// of a group that has no snapshot on disk.
func (h *Host) AddGroup(id storage.GroupID, state StateMachine, bootstrap consensus.Configuration) (*Group, error) {
	restored, err := h.storage.Load(id)
	if err != nil {
		return nil, err
	}
	if restored.Snapshot.Index == 0 {
		restored.Snapshot.Configuration = bootstrap
	}
	if err := state.Restore(restored.Snapshot.Data); err != nil {
		return nil, err
	}
	node := consensus.NewNode(consensus.Options{
		ID: h.storage.Replica(), Seed: uint64(id)*1_000_003 + 17,
		ElectionTicks: h.options.ElectionTicks, HeartbeatTicks: h.options.HeartbeatTicks,
		InitialElectionTicks: h.options.InitialElectionTicks, QuiesceTicks: h.options.QuiesceTicks, MaxAppendBytes: h.options.MaxAppendBytes, MaxInflight: h.options.MaxInflight,
		DisablePreVote: h.options.DisablePreVote, DisableCheckQuorum: h.options.DisableCheckQuorum,
		DisableReadConfirmation: h.options.DisableReadConfirmation,
	}, restored)
	group := &Group{
		ID: id, Node: node, StateMachine: state, proposals: map[uint64]pendingProposal{}, reads: map[uint64]pendingRead{},
		memberByReplica: map[consensus.ReplicaID]string{}, outgoingTransfers: map[consensus.ReplicaID]*outgoingTransfer{},
		unflushed: unflushedRecords{},
	}
	h.Groups = append(h.Groups, group)
	slices.SortFunc(h.Groups, func(a, b *Group) int { return int(a.ID) - int(b.ID) })
	return group, nil
}

// RemoveGroup stops hosting a group. The group's state stays on disk, and AddGroup can restart the
// replica from it.
func (h *Host) RemoveGroup(id storage.GroupID) {
	h.Groups = slices.DeleteFunc(h.Groups, func(group *Group) bool { return group.ID == id })
}

// FindGroup returns a hosted group, nil if there is none.
func (h *Host) FindGroup(id storage.GroupID) *Group {
	for _, group := range h.Groups {
		if group.ID == id {
			return group
		}
	}
	return nil
}

// IsLeader reports whether this process leads the group.
func (g *Group) IsLeader() bool { return g.Node.Role() == consensus.Leader }

// LeaderMember returns the member that leads the group, "" if it is unknown.
func (g *Group) LeaderMember() string {
	replica, ok := g.Node.Configuration().Find(g.Node.Leader())
	if !ok {
		return ""
	}
	return replica.Member
}

// Step processes the messages of a batch that are addressed to replicas of this host.
func (h *Host) Step(batch protocol.PeerBatch) {
	for _, message := range batch.Messages {
		group := h.FindGroup(storage.GroupID(message.Group))
		if group == nil {
			continue
		}
		h.deferError(h.stepMessage(group, batch.From, message))
	}
}

// deferError keeps the first disk error, which ProcessReady returns from then on.
func (h *Host) deferError(err error) {
	if h.deferredErr == nil {
		h.deferredErr = err
	}
}

func (h *Host) stepMessage(group *Group, from string, message protocol.PeerMessage) error {
	if part := message.Part; part != nil {
		if part.To != h.storage.Replica() {
			return nil
		}
		group.memberByReplica[part.From] = from
		return h.stepPart(group, part)
	}
	if message.Message.To != h.storage.Replica() {
		return nil
	}
	group.memberByReplica[message.Message.From] = from
	if message.Message.Kind != consensus.MessageSnapshot || h.acceptSnapshot(group, &message.Message) {
		group.Node.Step(message.Message)
	}
	return nil
}

// queueMessage adds a consensus message to the outgoing batch of its member.
func (h *Host) queueMessage(group *Group, message consensus.Message) {
	replica, ok := group.Node.Configuration().Find(message.To)
	member := replica.Member
	if !ok {
		member = group.memberByReplica[message.To]
	}
	if member == "" {
		return
	}
	h.outbox[member] = append(h.outbox[member], protocol.PeerMessage{Group: uint32(group.ID), Message: message})
}

// sendQueued sends the queued messages. Snapshot parts for a member are sent in a separate batch,
// so that other messages do not wait for them.
func (h *Host) sendQueued() {
	for _, member := range SortedKeys(h.outbox) {
		var messages, parts []protocol.PeerMessage
		for _, message := range h.outbox[member] {
			if message.Part != nil {
				parts = append(parts, message)
				continue
			}
			messages = append(messages, message)
		}
		for _, batch := range [][]protocol.PeerMessage{messages, parts} {
			if len(batch) > 0 {
				h.send(member, batch)
			}
		}
	}
	clear(h.outbox)
}
