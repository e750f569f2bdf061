package protocol

import (
	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/settings"
)

// Kind is the number of a message type; numbers are never reused.
type Kind uint8

// The messages of the inner protocol.
const (
	// KindClosed is never sent: the transport passes it to the handler of every open call when
	// the connection ends.
	KindClosed Kind = 0

	KindPeer          Kind = 1
	KindHello         Kind = 2
	KindLedger        Kind = 3
	KindSync          Kind = 4
	KindEndedPrograms Kind = 5
	KindPermit        Kind = 6
	KindSettings      Kind = 7
	KindRead          Kind = 8

	KindFleetRequest Kind = 9
	KindFleetSync    Kind = 10
	KindTurn         Kind = 11

	KindCall      Kind = 20
	KindCallChunk Kind = 21
	KindCallReply Kind = 22
	KindCancel    Kind = 23
	KindFollow    Kind = 24
	KindProgram   Kind = 25
	KindEnd       Kind = 26
	KindResponse  Kind = 40
)

// PeerMessage is a consensus message of one group, or a part of a snapshot.
type PeerMessage struct {
	Group   uint32            `msgpack:"g"`
	Message consensus.Message `msgpack:"m,omitempty"`
	Part    *SnapshotPart     `msgpack:"p,omitempty"`
}

// SnapshotPart carries some of the records of a snapshot, or the acknowledgement by the replica
// that receives them.
type SnapshotPart struct {
	From consensus.ReplicaID `msgpack:"f"`
	To   consensus.ReplicaID `msgpack:"o"`
	// Term is the leader's; Index and SnapshotTerm are the snapshot's position.
	Term         uint64 `msgpack:"t"`
	Index        uint64 `msgpack:"i"`
	SnapshotTerm uint64 `msgpack:"l,omitempty"`
	// Number is the part's number, from 0; in an acknowledgement it is the next part expected.
	Number int `msgpack:"n"`
	// IsLast marks the last part, IsAcknowledgement an acknowledgement.
	IsLast            bool `msgpack:"e,omitempty"`
	IsAcknowledgement bool `msgpack:"a,omitempty"`
	// Records is the encoded list of records.
	Records []byte `msgpack:"r,omitempty"`
}

// PeerBatch carries all groups' messages from one control process to another.
type PeerBatch struct {
	From string `msgpack:"f"`
	// Revision is the sender's settings revision.
	Revision uint64        `msgpack:"r,omitempty"`
	Messages []PeerMessage `msgpack:"m,omitempty"`
	// EngineLiveness is exchanged between control processes along with the other messages.
	EngineLiveness *EngineLiveness `msgpack:"e,omitempty"`
	// SupportsIncarnations means that the sender's replicas distinguish incarnations of engines.
	SupportsIncarnations bool `msgpack:"i,omitempty"`
	// SupportsVersionSubsets means that the sender's replicas can advertise engines of every software
	// version.
	SupportsVersionSubsets bool `msgpack:"v,omitempty"`
	// SupportsClaims means that the sender's replicas of ledger groups record and close claims together
	// with turns.
	SupportsClaims bool `msgpack:"c,omitempty"`
	// SupportsReplacement means that the sender's replicas know joint configurations.
	SupportsReplacement bool `msgpack:"j,omitempty"`
	// SupportsHolds means that the sender's replicas of ledger groups retain the chain of an open turn.
	SupportsHolds bool `msgpack:"h,omitempty"`
	// MembershipQueries asks the leaders of groups whether these replicas have been removed from them.
	// RemovedReplicas answers with those that have.
	MembershipQueries []GroupReplica `msgpack:"q,omitempty"`
	RemovedReplicas   []GroupReplica `msgpack:"d,omitempty"`
}

// GroupReplica names a replica of a group.
type GroupReplica struct {
	Group   uint32              `msgpack:"g"`
	Replica consensus.ReplicaID `msgpack:"r"`
}

// EngineLiveness is a batch of engines that have reported to the sender, for the leader of the
// settings group, or the leader's acknowledgement of such a batch.
type EngineLiveness struct {
	// BatchNumber is the number of the sender's batch, 0 for a message without one, and
	// ReportedEngines are the ids of the engines that have reported since the previous batch.
	BatchNumber     uint64   `msgpack:"n,omitempty"`
	ReportedEngines []string `msgpack:"h,omitempty"`
	// AcknowledgedBatch is the number of the receiver's newest batch that the leader has received.
	AcknowledgedBatch uint64 `msgpack:"r,omitempty"`
}

// ContentBytes implements Sized.
func (b PeerBatch) ContentBytes() int64 {
	total := int64(0)
	for _, message := range b.Messages {
		for _, entry := range message.Message.Entries {
			total += int64(len(entry.Data))
		}
		if message.Message.Snapshot != nil {
			total += int64(len(message.Message.Snapshot.Data))
		}
		if message.Part != nil {
			total += int64(len(message.Part.Records))
		}
	}
	return total
}

// IsBulk reports whether a batch has only parts of snapshots, which may arrive late.
func (b *PeerBatch) IsBulk() bool {
	for position := range b.Messages {
		if b.Messages[position].Part == nil {
			return false
		}
	}
	return len(b.Messages) > 0
}

// Hello asks a control process about the state of the cluster, before the sender joins it.
type Hello struct {
	From    string              `msgpack:"f"`
	Replica consensus.ReplicaID `msgpack:"r"`
	// HasClusterState means that the sender's disk has been part of a cluster.
	HasClusterState bool                    `msgpack:"b"`
	Bootstrap       consensus.Configuration `msgpack:"c"`
	// IsJoining means that the sender asks to be admitted: its replica is not yet a voter in every
	// group, or it has known no leader for so long that the others may have removed it.
	IsJoining bool `msgpack:"j,omitempty"`
	// IsForwarded means that the message was forwarded by a process other than From.
	IsForwarded bool `msgpack:"w,omitempty"`
}

// LedgerRequest proposes a command to a ledger group.
type LedgerRequest struct {
	Group   uint32          `msgpack:"g"`
	Command program.Command `msgpack:"c"`
	// CachedTurn is the last turn whose record the sender has cached; if the command is granted a
	// turn, the reply has only the records after CachedTurn.
	CachedTurn uint64 `msgpack:"k,omitempty"`
}

// LedgerReply is the reply to a LedgerRequest: the result from the group's leader, or the code
// NotLeader with the presumed leader.
type LedgerReply struct {
	Reply  program.Reply `msgpack:"r"`
	Leader string        `msgpack:"l,omitempty"`
	// Records holds encoded values of program.TurnRecord: the history after CachedTurn if a turn was
	// granted, or the turn itself for a request that was completed before.
	Records [][]byte `msgpack:"h,omitempty"`
}

// SyncRequest is a scheduler's long-polling heartbeat. The reply is sent when there is something
// newer than Revision and DirectoryVersion, or after LongPollMs at the latest.
type SyncRequest struct {
	Heartbeat        membership.Heartbeat `msgpack:"h"`
	Revision         uint64               `msgpack:"r"`
	DirectoryVersion uint64               `msgpack:"d"`
	LongPollMs       int64                `msgpack:"w"`
	// ConfirmNow requests a reply that is confirmed by a quorum and sent without long polling;
	// schedulers set it in their first sync.
	ConfirmNow bool `msgpack:"f,omitempty"`
}

// SyncReply carries updates of the settings and the directory to a scheduler.
type SyncReply struct {
	Error  *result.Error `msgpack:"e,omitempty"`
	Leader string        `msgpack:"l,omitempty"`
	Feed   Feed          `msgpack:"f"`
	// Engines are the engines that the scheduler owns; valid if EnginesChanged is set.
	Engines        []membership.Engine `msgpack:"g,omitempty"`
	EnginesChanged bool                `msgpack:"n,omitempty"`
}

// Feed is the update of settings and scheduler roster that fans out from control to schedulers
// to sidecars.
type Feed struct {
	// Snapshot is a complete tree (settings.Tree.FollowerState); it is sent if the changes since
	// the follower's revision are no longer retained.
	Snapshot []byte                    `msgpack:"s,omitempty"`
	Changes  []settings.AcceptedChange `msgpack:"c,omitempty"`
	// Roster is the delta of schedulers that were added, changed or removed.
	Roster membership.RosterDelta `msgpack:"d"`
	// Groups is the number of ledger groups.
	Groups uint32 `msgpack:"g"`
}

// EndedProgramsRequest asks a ledger group which of the given programs have ended.
type EndedProgramsRequest struct {
	Group    uint32   `msgpack:"g"`
	Programs []string `msgpack:"p"`
}

// EndedProgramsReply is the reply to an EndedProgramsRequest: the programs that have ended or are
// unknown.
type EndedProgramsReply struct {
	Error          *result.Error `msgpack:"e,omitempty"`
	Leader         string        `msgpack:"l,omitempty"`
	EndedOrUnknown []string      `msgpack:"r,omitempty"`
}

// PermitRequest asks the leader of the settings group for a permit to take one engine of a pool
// out of service for a model load.
type PermitRequest struct {
	Scheduler string `msgpack:"s"`
	Engine    string `msgpack:"e"`
	Pool      string `msgpack:"p"`
	// Release means that the engine's permit is given back.
	Release bool `msgpack:"r,omitempty"`
}

// PermitReply is the reply to a PermitRequest.
type PermitReply struct {
	Error   *result.Error `msgpack:"e,omitempty"`
	Leader  string        `msgpack:"l,omitempty"`
	Granted bool          `msgpack:"g"`
}

// SettingsRequest proposes a change of the settings tree.
type SettingsRequest struct {
	Change settings.Change `msgpack:"c"`
	// Validate requests that the change is only validated, not applied.
	Validate bool `msgpack:"v,omitempty"`
}

// SettingsReply is the reply to a SettingsRequest.
type SettingsReply struct {
	Leader string         `msgpack:"l,omitempty"`
	Reply  settings.Reply `msgpack:"r"`
}

// ReadTopic is the subject of a ReadRequest.
type ReadTopic uint8

// The topics of reads.
const (
	ReadSettings ReadTopic = iota + 1
	ReadHistory
	ReadStatus
	ReadEngines
	ReadPrograms
	ReadProgram
	ReadTree
)

// ReadRequest requests a linearizable read from a group's leader.
type ReadRequest struct {
	Topic   ReadTopic `msgpack:"t"`
	Path    string    `msgpack:"p,omitempty"`
	Program string    `msgpack:"g,omitempty"`
	Limit   int       `msgpack:"l,omitempty"`
	Group   uint32    `msgpack:"n,omitempty"`
}

// ReadReply is the reply to a ReadRequest; Body is JSON for operators.
type ReadReply struct {
	Error   *result.Error `msgpack:"e,omitempty"`
	Leader  string        `msgpack:"l,omitempty"`
	Body    []byte        `msgpack:"b,omitempty"`
	Records [][]byte      `msgpack:"h,omitempty"`
}

// CallRequest is a call of a program, sent by a sidecar to a scheduler.
type CallRequest struct {
	Program      string            `msgpack:"p"`
	Create       bool              `msgpack:"c,omitempty"`
	Tenant       string            `msgpack:"t,omitempty"`
	Service      string            `msgpack:"s"`
	Thread       string            `msgpack:"h,omitempty"`
	ParentThread string            `msgpack:"a,omitempty"`
	Request      string            `msgpack:"r"`
	AtMostOnce   bool              `msgpack:"o,omitempty"`
	EndsProgram  bool              `msgpack:"e,omitempty"`
	Messages     []program.Message `msgpack:"m"`
	MaxTokens    int64             `msgpack:"x,omitempty"`
	// BudgetTokens lowers the service's token budget when the program is created.
	BudgetTokens int64 `msgpack:"b,omitempty"`
	// TimeoutMs is the time left for the call.
	TimeoutMs int64 `msgpack:"d"`
	// ResumeOffset is the number of response bytes that the sidecar has already received.
	ResumeOffset int `msgpack:"f,omitempty"`
	// Attempt is the number of the sidecar's attempt at this request, from 0.
	Attempt int `msgpack:"n,omitempty"`
}

// CallChunk is a part of a call's response; Offset is the position of its first byte in the
// response.
type CallChunk struct {
	Offset int    `msgpack:"o"`
	Text   string `msgpack:"t"`
}

// CallReply is the final message of a call's response.
type CallReply struct {
	Error        *result.Error `msgpack:"e,omitempty"`
	Content      string        `msgpack:"c,omitempty"`
	Usage        program.Usage `msgpack:"u"`
	Turn         uint64        `msgpack:"t,omitempty"`
	Engine       string        `msgpack:"g,omitempty"`
	ProgramEnded bool          `msgpack:"d,omitempty"`
	// RemainingTokens is what remains of the program's token budget after the call.
	RemainingTokens int64 `msgpack:"r,omitempty"`
}

// Cancel notifies a scheduler that the caller of a request has disconnected.
type Cancel struct {
	Program string `msgpack:"p"`
	Request string `msgpack:"r"`
}

// FollowRequest is a sidecar's long-polling heartbeat to its scheduler. As for a SyncRequest,
// the reply is sent when there are changes, or after LongPollMs at the latest.
type FollowRequest struct {
	Sidecar          string `msgpack:"s"`
	Revision         uint64 `msgpack:"r"`
	DirectoryVersion uint64 `msgpack:"d"`
	LongPollMs       int64  `msgpack:"w"`
}

// FollowReply is the reply to a FollowRequest.
type FollowReply struct {
	Error *result.Error `msgpack:"e,omitempty"`
	Feed  Feed          `msgpack:"f"`
}

// ProgramRequest requests a program's header or history from a scheduler.
type ProgramRequest struct {
	Program string `msgpack:"p"`
	Tenant  string `msgpack:"t,omitempty"`
	// End requests that the program be ended.
	End bool `msgpack:"e,omitempty"`
}

// ProgramReply is the reply to a ProgramRequest; Body is JSON.
type ProgramReply struct {
	Error *result.Error `msgpack:"e,omitempty"`
	Body  []byte        `msgpack:"b,omitempty"`
}
