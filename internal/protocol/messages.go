package protocol

import (
	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/settings"
)

// Kind numbers the messages; the numbers are never reused.
type Kind uint8

// The messages of the inner protocol.
const (
	// KindClosed is never sent: the transport gives it to every open call when
	// its connection ends.
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

// PeerMessage is one consensus message of one group, or a part of a snapshot.
type PeerMessage struct {
	Group   uint32            `msgpack:"g"`
	Message consensus.Message `msgpack:"m,omitempty"`
	Part    *SnapshotPart     `msgpack:"p,omitempty"`
}

// SnapshotPart carries some of the records that belong to a snapshot, or the answer of
// the replica that receives them.
type SnapshotPart struct {
	From consensus.ReplicaID `msgpack:"f"`
	To   consensus.ReplicaID `msgpack:"o"`
	// Term is the leader's; Index and SnapshotTerm are the snapshot's position.
	Term         uint64 `msgpack:"t"`
	Index        uint64 `msgpack:"i"`
	SnapshotTerm uint64 `msgpack:"l,omitempty"`
	// Number counts the parts from 0; of an answer it is the part wanted next.
	Number int `msgpack:"n"`
	// IsLast marks the last part, Answer an answer.
	IsLast            bool `msgpack:"e,omitempty"`
	IsAcknowledgement bool `msgpack:"a,omitempty"`
	// Records is the encoded list of records.
	Records []byte `msgpack:"r,omitempty"`
}

// PeerBatch carries all groups' messages from one control process to another.
type PeerBatch struct {
	From string `msgpack:"f"`
	// Revision is the settings revision in force at the sender.
	Revision uint64        `msgpack:"r,omitempty"`
	Messages []PeerMessage `msgpack:"m,omitempty"`
	// EngineLiveness goes between control processes with the messages that they send in any case.
	EngineLiveness *EngineLiveness `msgpack:"e,omitempty"`
	// SupportsIncarnations says that the sender's replicas know incarnations of engines.
	SupportsIncarnations bool `msgpack:"i,omitempty"`
}

// EngineLiveness tells the leader of the settings group which engines have reported to the
// sender, and the sender that it has come.
type EngineLiveness struct {
	// BatchNumber counts the sender's lists, 0 for a message that holds none, and Heard are the
	// ids of the engines that have reported since the list before.
	BatchNumber     uint64   `msgpack:"n,omitempty"`
	ReportedEngines []string `msgpack:"h,omitempty"`
	// AcknowledgedBatch is the number of the receiver's newest list that the leader has.
	AcknowledgedBatch uint64 `msgpack:"r,omitempty"`
}

// IsBulk reports whether a batch holds parts of snapshots alone, which may be late.
func (b *PeerBatch) IsBulk() bool {
	for position := range b.Messages {
		if b.Messages[position].Part == nil {
			return false
		}
	}
	return len(b.Messages) > 0
}

// Hello asks a control process what it knows of the cluster, before the asker
// takes part in it.
type Hello struct {
	From    string              `msgpack:"f"`
	Replica consensus.ReplicaID `msgpack:"r"`
	// HasClusterState says that the sender's disk has been part of a cluster.
	HasClusterState bool                    `msgpack:"b"`
	Bootstrap       consensus.Configuration `msgpack:"c"`
	// IsJoining says that not every group counts the sender's replica as a voter.
	IsJoining bool `msgpack:"j,omitempty"`
	// IsForwarded says that another process than the one named sent it on.
	IsForwarded bool `msgpack:"w,omitempty"`
}

// LedgerRequest proposes a command to a ledger group.
type LedgerRequest struct {
	Group   uint32          `msgpack:"g"`
	Command program.Command `msgpack:"c"`
	// CachedTurn bounds the records returned with a grant.
	CachedTurn uint64 `msgpack:"k,omitempty"`
}

// LedgerReply answers a LedgerRequest, from the group's leader or with the code
// NotLeader and a hint.
type LedgerReply struct {
	Reply  program.Reply `msgpack:"r"`
	Leader string        `msgpack:"l,omitempty"`
	// Records are encoded program.TurnRecords: the history after KnownTurn for a
	// grant, the one turn for a request that was answered before.
	Records [][]byte `msgpack:"h,omitempty"`
}

// SyncRequest is a scheduler's heartbeat; the reply is held until there is
// something newer than Revision and Directory, or until HoldMs have passed.
type SyncRequest struct {
	Heartbeat        membership.Heartbeat `msgpack:"h"`
	Revision         uint64               `msgpack:"r"`
	DirectoryVersion uint64               `msgpack:"d"`
	LongPollMs       int64                `msgpack:"w"`
	// ConfirmNow asks that the reply be confirmed by a quorum: a daemon's first sync.
	ConfirmNow bool `msgpack:"f,omitempty"`
}

// SyncReply carries settings and directory to a scheduler.
type SyncReply struct {
	Error  *result.Error `msgpack:"e,omitempty"`
	Leader string        `msgpack:"l,omitempty"`
	Feed   Feed          `msgpack:"f"`
	// Engines are the scheduler's own, where EnginesChanged is set.
	Engines        []membership.Engine `msgpack:"g,omitempty"`
	EnginesChanged bool                `msgpack:"n,omitempty"`
}

// Feed is the news that fans out from control to schedulers to sidecars.
type Feed struct {
	// Snapshot is a whole tree (settings.Tree.FollowerState), where the changes
	// since the follower's revision are no longer kept.
	Snapshot []byte                    `msgpack:"s,omitempty"`
	Changes  []settings.AcceptedChange `msgpack:"c,omitempty"`
	// Roster tells of schedulers that came, changed or went.
	Roster membership.RosterDelta `msgpack:"d"`
	// Groups is the number of ledger groups.
	Groups uint32 `msgpack:"g"`
}

// EndedProgramsRequest asks a ledger group which programs have ended.
type EndedProgramsRequest struct {
	Group    uint32   `msgpack:"g"`
	Programs []string `msgpack:"p"`
}

// EndedProgramsReply answers a ReleasedRequest.
type EndedProgramsReply struct {
	Error          *result.Error `msgpack:"e,omitempty"`
	Leader         string        `msgpack:"l,omitempty"`
	EndedOrUnknown []string      `msgpack:"r,omitempty"`
}

// PermitRequest asks the leader of the settings group for leave to take one
// engine of a pool out of service for a load.
type PermitRequest struct {
	Scheduler string `msgpack:"s"`
	Engine    string `msgpack:"e"`
	Pool      string `msgpack:"p"`
	// Release gives a permit back.
	Release bool `msgpack:"r,omitempty"`
}

// PermitReply answers a PermitRequest.
type PermitReply struct {
	Error   *result.Error `msgpack:"e,omitempty"`
	Leader  string        `msgpack:"l,omitempty"`
	Granted bool          `msgpack:"g"`
}

// SettingsRequest proposes a change of the tree.
type SettingsRequest struct {
	Change settings.Change `msgpack:"c"`
	// Validate only checks the change.
	Validate bool `msgpack:"v,omitempty"`
}

// SettingsReply answers a SettingsRequest.
type SettingsReply struct {
	Leader string         `msgpack:"l,omitempty"`
	Reply  settings.Reply `msgpack:"r"`
}

// ReadTopic names what a ReadRequest wants.
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

// ReadRequest asks a group's leader for a linearizable read.
type ReadRequest struct {
	Topic   ReadTopic `msgpack:"t"`
	Path    string    `msgpack:"p,omitempty"`
	Program string    `msgpack:"g,omitempty"`
	Limit   int       `msgpack:"l,omitempty"`
	Group   uint32    `msgpack:"n,omitempty"`
}

// ReadReply answers a ReadRequest; Body is JSON for operators.
type ReadReply struct {
	Error   *result.Error `msgpack:"e,omitempty"`
	Leader  string        `msgpack:"l,omitempty"`
	Body    []byte        `msgpack:"b,omitempty"`
	Records [][]byte      `msgpack:"h,omitempty"`
}

// CallRequest is one call of a program, from sidecar to scheduler.
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
	// BudgetTokens lowers the service token budget when the program is created.
	BudgetTokens int64 `msgpack:"b,omitempty"`
	// TimeoutMs is the time left, milliseconds.
	TimeoutMs int64 `msgpack:"d"`
	// ResumeOffset is how many bytes of the answer the sidecar has already.
	ResumeOffset int `msgpack:"f,omitempty"`
	// Attempt numbers the sidecar's sends of this request, from 0.
	Attempt int `msgpack:"n,omitempty"`
}

// CallChunk is a part of an answer; Offset is its first byte's place in the answer.
type CallChunk struct {
	Offset int    `msgpack:"o"`
	Text   string `msgpack:"t"`
}

// CallReply is the final message of a call.
type CallReply struct {
	Error        *result.Error `msgpack:"e,omitempty"`
	Content      string        `msgpack:"c,omitempty"`
	Usage        program.Usage `msgpack:"u"`
	Turn         uint64        `msgpack:"t,omitempty"`
	Engine       string        `msgpack:"g,omitempty"`
	ProgramEnded bool          `msgpack:"d,omitempty"`
	// RemainingTokens is the program's budget after the call, tokens.
	RemainingTokens int64 `msgpack:"r,omitempty"`
}

// Cancel tells a scheduler that the caller of a request has gone.
type Cancel struct {
	Program string `msgpack:"p"`
	Request string `msgpack:"r"`
}

// FollowRequest is a sidecar's heartbeat to its scheduler; like a SyncRequest
// it is held until there is news.
type FollowRequest struct {
	Sidecar          string `msgpack:"s"`
	Revision         uint64 `msgpack:"r"`
	DirectoryVersion uint64 `msgpack:"d"`
	LongPollMs       int64  `msgpack:"w"`
}

// FollowReply answers a FollowRequest.
type FollowReply struct {
	Error *result.Error `msgpack:"e,omitempty"`
	Feed  Feed          `msgpack:"f"`
}

// ProgramRequest asks a scheduler for a program's header or history.
type ProgramRequest struct {
	Program string `msgpack:"p"`
	Tenant  string `msgpack:"t,omitempty"`
	// End ends the program.
	End bool `msgpack:"e,omitempty"`
}

// ProgramReply answers a ProgramRequest; Body is JSON.
type ProgramReply struct {
	Error *result.Error `msgpack:"e,omitempty"`
	Body  []byte        `msgpack:"b,omitempty"`
}
