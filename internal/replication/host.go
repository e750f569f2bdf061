package replication

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// Storage is the disk as a host sees it. Write returns after the sync.
type Storage interface {
	Replica() consensus.ReplicaID
	Write(writes []storage.GroupWrite) error
	Load(group storage.GroupID) (consensus.Restored, error)
	Records(group storage.GroupID, program string, after uint64) ([]storage.Record, error)
	RecordsAfter(group storage.GroupID, after storage.RecordKey, maxBytes int) (records []storage.Record, more bool, err error)
}

// Options configure a Host. Times are in milliseconds.
type Options struct {
	// Name is the member that this process is in the groups' configurations.
	Name           string
	ElectionTicks  int
	HeartbeatTicks int
	StartTicks     int
	QuiesceTicks   int
	MaxAppendBytes int
	MaxInflight    int
	// ProposalTimeoutMs is how long a proposal or a read may wait for a quorum.
	ProposalTimeoutMs int64
	// CompactAfterEntries and CompactBytes bound what a group keeps of applied entries;
	// zero bytes is no bound.
	CompactAfterEntries uint64
	CompactAfterBytes   int

	DisablePreVote     bool
	DisableCheckQuorum bool
	DisableReadConfirm bool
}

// Host holds the replicas of one process.
type Host struct {
	options  Options
	storage  Storage
	send     func(member string, messages []protocol.PeerMessage)
	outgoing map[string][]protocol.PeerMessage

	// NowMs is the owner's clock.
	NowMs int64
	// Groups are the replicas hosted, in ascending order of their ids.
	Groups []*Group
	// SyncedWrites counts the writes that were synced.
	SyncedWrites uint64
	// failure is a disk's failure outside a Flush.
	failure error
	// OnApplied is called after an entry of a group was applied.
	OnApplied func(group *Group)
}

// NewHost returns a host without groups; send carries messages to a member.
func NewHost(options Options, disk Storage, send func(member string, messages []protocol.PeerMessage)) *Host {
	return &Host{options: options, storage: disk, send: send, outgoing: map[string][]protocol.PeerMessage{}}
}

// AddGroup starts the replica of a group as the disk describes it; bootstrap is the
// configuration of a group of which the disk knows nothing.
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
		StartTicks: h.options.StartTicks, QuiesceTicks: h.options.QuiesceTicks, MaxAppendBytes: h.options.MaxAppendBytes, MaxInflight: h.options.MaxInflight,
		DisablePreVote: h.options.DisablePreVote, DisableCheckQuorum: h.options.DisableCheckQuorum,
		DisableReadConfirm: h.options.DisableReadConfirm,
	}, restored)
	group := &Group{
		ID: id, Node: node, StateMachine: state, waiting: map[uint64]proposal{}, reads: map[uint64]pendingRead{},
		senders: map[consensus.ReplicaID]string{}, outgoing: map[consensus.ReplicaID]*outgoingTransfer{},
		unsaved: unsavedRecords{},
	}
	h.Groups = append(h.Groups, group)
	slices.SortFunc(h.Groups, func(a, b *Group) int { return int(a.ID) - int(b.ID) })
	return group, nil
}

// RemoveGroup stops hosting a group; the caller deletes what the disk holds.
func (h *Host) RemoveGroup(id storage.GroupID) {
	h.Groups = slices.DeleteFunc(h.Groups, func(group *Group) bool { return group.ID == id })
}

// FindGroup returns a hosted group, nil where there is none.
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

// LeaderMember returns the member that leads the group, "" where unknown.
func (g *Group) LeaderMember() string {
	replica, ok := g.Node.Configuration().Find(g.Node.Leader())
	if !ok {
		return ""
	}
	return replica.Member
}

// Step takes the consensus messages of a batch that are for this process.
func (h *Host) Step(batch protocol.PeerBatch) {
	for _, message := range batch.Messages {
		group := h.FindGroup(storage.GroupID(message.Group))
		if group == nil {
			continue
		}
		h.note(h.stepOne(group, batch.From, message))
	}
}

// note remembers a disk's failure for the next Flush, which returns it.
func (h *Host) note(err error) {
	if h.failure == nil {
		h.failure = err
	}
}

func (h *Host) stepOne(group *Group, from string, message protocol.PeerMessage) error {
	if part := message.Part; part != nil {
		if part.To != h.storage.Replica() {
			return nil
		}
		group.senders[part.From] = from
		return h.stepPart(group, part)
	}
	if message.Message.To != h.storage.Replica() {
		return nil
	}
	group.senders[message.Message.From] = from
	if message.Message.Kind != consensus.MessageSnapshot || h.mayInstall(group, &message.Message) {
		group.Node.Step(message.Message)
	}
	return nil
}

// queuePeer gathers a consensus message for its member's batch.
func (h *Host) queuePeer(group *Group, message consensus.Message) {
	replica, ok := group.Node.Configuration().Find(message.To)
	member := replica.Member
	if !ok {
		member = group.senders[message.To]
	}
	if member == "" {
		return
	}
	h.outgoing[member] = append(h.outgoing[member], protocol.PeerMessage{Group: uint32(group.ID), Message: message})
}

// sendPeers sends what is gathered: to each member its parts of snapshots apart from
// everything else, which must not wait for them.
func (h *Host) sendPeers() {
	for _, member := range SortedKeys(h.outgoing) {
		var messages, parts []protocol.PeerMessage
		for _, message := range h.outgoing[member] {
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
	clear(h.outgoing)
}
