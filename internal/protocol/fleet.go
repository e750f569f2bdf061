package protocol

import (
	"github.com/ochrebay/ochrebay/internal/admission"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// FleetRequest asks the leader of the settings group for one thing; exactly one part
// is set.
type FleetRequest struct {
	// Report is an engine's report of itself.
	Report *membership.ServingEngine `msgpack:"e,omitempty"`
	// LeaveEngine names an engine that ends, LeaveBorn its incarnation where it says so.
	LeaveEngine    string `msgpack:"l,omitempty"`
	LeaveStartedMs int64  `msgpack:"b,omitempty"`
	// SupportsIncarnations says that the sender reads from reports which incarnation they are of.
	SupportsIncarnations bool `msgpack:"i,omitempty"`
	// Routing is a whole routing table to put in force.
	Routing *routing.Table `msgpack:"r,omitempty"`
	// ReadRouting asks for the table in force, confirmed by a quorum.
	ReadRouting bool `msgpack:"d,omitempty"`
	// RetireLedgerHost names a ledger host to be emptied, RetireState one to ask about.
	RetireLedgerHost   string `msgpack:"t,omitempty"`
	RetirementStatusOf string `msgpack:"s,omitempty"`
}

// FleetReply answers a FleetOrder.
type FleetReply struct {
	Error  *result.Error `msgpack:"e,omitempty"`
	Leader string        `msgpack:"l,omitempty"`
	// Routing answers ReadRouting; nil before the first table.
	Routing *routing.Table `msgpack:"r,omitempty"`
	// IsRetired answers RetireState.
	IsRetired bool `msgpack:"d,omitempty"`
	// IsNewIncarnation says that a report which was taken is of a new incarnation of a known engine.
	IsNewIncarnation bool `msgpack:"n,omitempty"`
	// IgnoredReason names why a report or leave that is acknowledged changed nothing (membership.Verdict).
	IgnoredReason string `msgpack:"v,omitempty"`
}

// FleetSync is the heartbeat of a gateway or ledger host; the reply is held until
// there is news, or until HoldMs have passed.
type FleetSync struct {
	Gateway *membership.Gateway      `msgpack:"g,omitempty"`
	Ledger  *membership.LedgerReport `msgpack:"d,omitempty"`
	// EngineLoads is what the gateway has seen of engines since its last heartbeat.
	EngineLoads []scheduling.EngineLoad `msgpack:"o,omitempty"`
	// EngineUsages is what it has seen of their speed; releases that know nothing of it pass it over.
	EngineUsages []scheduling.EngineUsage `msgpack:"x,omitempty"`
	// FailingEngines are the engines at which the gateway's requests fail.
	FailingEngines []string `msgpack:"k,omitempty"`
	// StreamLateness is what the gateway has seen of streams since its last heartbeat.
	StreamLateness []scheduling.StreamLateness `msgpack:"t,omitempty"`
	// BackendUsages is what the gateway's tenants use of back ends that are short of room.
	BackendUsages []admission.BackendUsage `msgpack:"uses,omitempty"`
	// FleetVersion and Generation are the fleet and the routing table in force at the
	// sender; WithRouting says that it wants the table at all.
	FleetVersion      uint64 `msgpack:"v"`
	RoutingGeneration uint64 `msgpack:"n"`
	WithRouting       bool   `msgpack:"r,omitempty"`
	// ControlsDigest is the digest of the control processes that the sender knows (ControlsDigest).
	ControlsDigest uint64 `msgpack:"c,omitempty"`
	// WithLoads asks for what all gateways together have seen of engines.
	WithLoads  bool  `msgpack:"l,omitempty"`
	LongPollMs int64 `msgpack:"w"`
	// ConfirmNow asks that the reply be confirmed by a quorum: a process's first sync.
	ConfirmNow bool `msgpack:"f,omitempty"`
	// ConfirmLeadership asks that a quorum confirm, after the request has come, that its receiver leads:
	// the reply then proves that no table newer than what it leads to was acknowledged
	// before the request was sent. Unlike Fresh it lets the reply be held.
	ConfirmLeadership bool `msgpack:"p,omitempty"`
}

// ControlsDigest is by what a heartbeat names the control processes that its sender was told of;
// 0 for none. The list would otherwise make up most of an answer without news.
func ControlsDigest(controls []string) uint64 {
	if len(controls) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(controls, "\n"))
}

// FleetSyncReply carries the news.
type FleetSyncReply struct {
	Error  *result.Error                  `msgpack:"e,omitempty"`
	Leader string                         `msgpack:"l,omitempty"`
	Fleet  *Shared[membership.FleetDelta] `msgpack:"f,omitempty"`
	// Routing leads from the sender's generation to the one in force.
	Routing *Shared[routing.Delta] `msgpack:"r,omitempty"`
	// EngineLoads is what all gateways together have seen of engines, where it was asked for.
	EngineLoads *Shared[[]scheduling.EngineLoad] `msgpack:"o,omitempty"`
	// EngineUsages is what all gateways together know of their speed; it comes with Loads.
	EngineUsages *Shared[[]scheduling.EngineUsage] `msgpack:"x,omitempty"`
	// FailingEngines are the engines at which requests of several gateways fail; it comes with Loads.
	FailingEngines []string `msgpack:"k,omitempty"`
	// StreamLateness is what all gateways together have seen of streams, with every answer to one.
	StreamLateness []scheduling.StreamLateness `msgpack:"t,omitempty"`
	// BackendUsages is what all gateways' tenants together use of back ends that are short of room; it
	// comes with Loads, where the routing table has tenants.
	BackendUsages *Shared[[]admission.BackendUsage] `msgpack:"uses,omitempty"`
	// ControlAddresses are the inner addresses of the control processes, where the sender knows others.
	ControlAddresses []string `msgpack:"c,omitempty"`
	// IsConfirmed says that a quorum confirmed the reply after the request had come.
	IsConfirmed bool `msgpack:"q,omitempty"`
}

// TurnRequest asks the leader of a ledger group for one thing; exactly one of Reserve,
// Settle, Find, Contents, Quota and Probe is set. Any replica that has them may answer Contents.
type TurnRequest struct {
	Group   uint32           `msgpack:"g"`
	Reserve *program.Reserve `msgpack:"r,omitempty"`
	// CachedTurn names the turn up to which the sender has the chain that Reserve goes on
	// from; the reply carries only what follows.
	CachedTurn string          `msgpack:"h,omitempty"`
	Settle     *program.Settle `msgpack:"s,omitempty"`
	// Zone is where the sender is. Where another replica is in that zone, the reply to
	// Reserve names the older turns of the chain, to be asked of that replica.
	Zone string `msgpack:"z,omitempty"`
	// HistoryOf asks for the chain of a turn, confirmed by a quorum.
	HistoryOf string `msgpack:"f,omitempty"`
	// ContentsOf asks for the content of turns, joined in the order given.
	ContentsOf []string `msgpack:"c,omitempty"`
	// Quota asks for one request of a tenant.
	Quota *quota.Request `msgpack:"q,omitempty"`
	// ProbeLeader asks whether the receiver leads the group.
	ProbeLeader bool `msgpack:"p,omitempty"`
	// TimeoutMs is how long the sender waits for this answer; a request that has waited
	// longer before it is taken up is dropped. Zero is no bound.
	TimeoutMs int64 `msgpack:"w,omitempty"`
}

// TurnReply answers a TurnRequest.
type TurnReply struct {
	Error  *result.Error `msgpack:"e,omitempty"`
	Leader string        `msgpack:"l,omitempty"`
	// History is the content of the turns up to the one named, oldest first: the whole
	// line, or with Continued what follows the turn that the sender knows.
	History        []byte `msgpack:"c,omitempty"`
	IsContinuation bool   `msgpack:"n,omitempty"`
	// OlderTurns are the turns whose content goes before Chain, oldest first, and which a
	// replica in the sender's zone is to be asked for.
	OlderTurns []string `msgpack:"o,omitempty"`
	// AffineEngine most likely holds what the turn's session has read.
	AffineEngine string `msgpack:"g,omitempty"`
	// IsFirstTurn says, of a reserved turn with a budget, that nothing of its program has run yet.
	IsFirstTurn bool `msgpack:"f,omitempty"`
	// Grant answers Quota; Queued does where the request waits and is to be asked for again.
	Grant         *quota.Grant         `msgpack:"q,omitempty"`
	QueuePosition *quota.QueuePosition `msgpack:"u,omitempty"`
}
