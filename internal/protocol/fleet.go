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

// FleetRequest is a request about the fleet or the routing table to the leader of the settings
// group; exactly one operation is set.
type FleetRequest struct {
	// Report is an engine's report.
	Report *membership.ServingEngine `msgpack:"e,omitempty"`
	// LeaveEngine is the id of an engine that is shutting down, and LeaveStartedMs identifies its
	// incarnation if the engine sent it.
	LeaveEngine    string `msgpack:"l,omitempty"`
	LeaveStartedMs int64  `msgpack:"b,omitempty"`
	// SupportsIncarnations means that the sender reads the engine's incarnation from reports.
	SupportsIncarnations bool `msgpack:"i,omitempty"`
	// Routing is a complete routing table to apply.
	Routing *routing.Table `msgpack:"r,omitempty"`
	// ReadRouting requests the current routing table, confirmed by a quorum.
	ReadRouting bool `msgpack:"d,omitempty"`
	// RetireLedgerHost names a ledger host to drain of its replicas, and RetirementStatusOf one
	// whose retirement status is requested.
	RetireLedgerHost   string `msgpack:"t,omitempty"`
	RetirementStatusOf string `msgpack:"s,omitempty"`
}

// FleetReply is the reply to a FleetRequest.
type FleetReply struct {
	Error  *result.Error `msgpack:"e,omitempty"`
	Leader string        `msgpack:"l,omitempty"`
	// Routing is the reply to ReadRouting, nil before the first table.
	Routing *routing.Table `msgpack:"r,omitempty"`
	// IsRetired is the reply to RetirementStatusOf.
	IsRetired bool `msgpack:"d,omitempty"`
	// IsNewIncarnation means that the accepted report is from a new incarnation of a known engine.
	IsNewIncarnation bool `msgpack:"n,omitempty"`
	// IgnoredReason is why an acknowledged report or leave request changed nothing
	// (membership.ReportOutcome).
	IgnoredReason string `msgpack:"v,omitempty"`
}

// FleetSync is the long-polling heartbeat of a gateway or ledger host. The reply is sent when
// there are changes, or after LongPollMs at the latest.
type FleetSync struct {
	Gateway *membership.Gateway      `msgpack:"g,omitempty"`
	Ledger  *membership.LedgerReport `msgpack:"d,omitempty"`
	// EngineLoads is the gateway's observations of engine load since its last heartbeat.
	EngineLoads []scheduling.EngineLoad `msgpack:"o,omitempty"`
	// EngineUsages is the gateway's observations of engine speed; releases without this field
	// ignore it.
	EngineUsages []scheduling.EngineUsage `msgpack:"x,omitempty"`
	// FailingEngines are the engines at which the gateway's requests fail.
	FailingEngines []string `msgpack:"k,omitempty"`
	// StreamLateness is the gateway's observations of streams since its last heartbeat.
	StreamLateness []scheduling.StreamLateness `msgpack:"t,omitempty"`
	// BackendUsages is how much the gateway's tenants use of oversubscribed backends.
	BackendUsages []admission.BackendUsage `msgpack:"uses,omitempty"`
	// FleetVersion and RoutingGeneration identify the sender's fleet view and routing table;
	// WithRouting requests updates of the routing table.
	FleetVersion      uint64 `msgpack:"v"`
	RoutingGeneration uint64 `msgpack:"n"`
	WithRouting       bool   `msgpack:"r,omitempty"`
	// ControlsDigest is the digest of the control addresses known to the sender (see the
	// function ControlsDigest).
	ControlsDigest uint64 `msgpack:"c,omitempty"`
	// WithLoads requests the engine loads aggregated over all gateways.
	WithLoads  bool  `msgpack:"l,omitempty"`
	LongPollMs int64 `msgpack:"w"`
	// ConfirmNow requests a reply that is confirmed by a quorum and sent without long polling;
	// processes set it until they have received a confirmed reply.
	ConfirmNow bool `msgpack:"f,omitempty"`
	// ConfirmLeadership requests that a quorum confirm, after the request has arrived, that its
	// receiver is the leader. The reply then proves that, when the request was sent, no routing
	// table had been acknowledged that is newer than the sender's table after it has applied the
	// reply. Unlike ConfirmNow it permits long polling.
	ConfirmLeadership bool `msgpack:"p,omitempty"`
}

// ControlsDigest returns the digest by which a heartbeat identifies the sender's list of control
// addresses, 0 for an empty list. Without it, the list would make up most of a reply that has no
// changes.
func ControlsDigest(controls []string) uint64 {
	if len(controls) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(controls, "\n"))
}

// FleetSyncReply carries the changes since the state that a FleetSync names.
type FleetSyncReply struct {
	Error  *result.Error                  `msgpack:"e,omitempty"`
	Leader string                         `msgpack:"l,omitempty"`
	Fleet  *Shared[membership.FleetDelta] `msgpack:"f,omitempty"`
	// Routing is the delta from the generation in the request to the current one.
	Routing *Shared[routing.Delta] `msgpack:"r,omitempty"`
	// EngineLoads is the load of engines aggregated over all gateways, if it was requested.
	EngineLoads *Shared[[]scheduling.EngineLoad] `msgpack:"o,omitempty"`
	// EngineUsages is the usage of engines aggregated over all gateways; it accompanies
	// EngineLoads.
	EngineUsages *Shared[[]scheduling.EngineUsage] `msgpack:"x,omitempty"`
	// FailingEngines are the engines at which requests of several gateways fail; it accompanies
	// EngineLoads.
	FailingEngines []string `msgpack:"k,omitempty"`
	// StreamLateness is the stream lateness aggregated over all gateways, in every reply to a
	// gateway.
	StreamLateness []scheduling.StreamLateness `msgpack:"t,omitempty"`
	// BackendUsages is the tenants' usage of oversubscribed backends, aggregated over all gateways;
	// it accompanies EngineLoads if the routing table has tenants.
	BackendUsages *Shared[[]admission.BackendUsage] `msgpack:"uses,omitempty"`
	// ControlAddresses are the inner addresses of the control processes, set if the digest in the
	// request differs from theirs.
	ControlAddresses []string `msgpack:"c,omitempty"`
	// IsConfirmed means that a quorum confirmed the reply after the request had arrived.
	IsConfirmed bool `msgpack:"q,omitempty"`
}

// TurnRequest is a request to the leader of a ledger group; exactly one of Reserve, Settle,
// Stream, Crash, CrashesOf, HistoryOf, ContentsOf, Quota and ProbeLeader is set. Any replica that stores the contents may
// reply to ContentsOf.
type TurnRequest struct {
	Group   uint32           `msgpack:"g"`
	Reserve *program.Reserve `msgpack:"r,omitempty"`
	// CachedTurn is the turn up to which the sender has cached the history that Reserve
	// continues; the reply has only the turns after it.
	CachedTurn string          `msgpack:"h,omitempty"`
	Settle     *program.Settle `msgpack:"s,omitempty"`
	// Stream records or finds the origin of a stream.
	Stream *program.OpenStream `msgpack:"o,omitempty"`
	// Crash reports engines that ended while they ran a request.
	Crash *program.Crash `msgpack:"x,omitempty"`
	// CrashesOf is the request whose crash record is requested.
	CrashesOf *program.RequestKey `msgpack:"k,omitempty"`
	// Zone is the sender's zone. If another replica is in that zone, the reply to Reserve lists
	// the older turns of the history by id, to be requested from that replica.
	Zone string `msgpack:"z,omitempty"`
	// HistoryOf is the turn whose history is requested, confirmed by a quorum.
	HistoryOf string `msgpack:"f,omitempty"`
	// ContentsOf are the turns whose contents are requested, concatenated in this order.
	ContentsOf []string `msgpack:"c,omitempty"`
	// Quota requests a quota grant for one request of a tenant.
	Quota *quota.Request `msgpack:"q,omitempty"`
	// ProbeLeader asks whether the receiver is the leader of the group.
	ProbeLeader bool `msgpack:"p,omitempty"`
	// TimeoutMs is how long the sender waits for the reply; a request that has been queued
	// longer than that is dropped instead of processed. Zero means no timeout.
	TimeoutMs int64 `msgpack:"w,omitempty"`
}

// ContentBytes returns the size of the content of the turn that the request stores, 0 for none. It implements Sized.
func (r *TurnRequest) ContentBytes() int64 {
	if r.Settle == nil {
		return 0
	}
	return int64(len(r.Settle.Content))
}

// WithoutContent returns a copy of the request that does not keep the content of the turn in memory.
func (r *TurnRequest) WithoutContent() *TurnRequest {
	copied := *r
	if r.Settle != nil {
		settle := *r.Settle
		settle.Content = nil
		copied.Settle = &settle
	}
	return &copied
}

// TurnReply is the reply to a TurnRequest.
type TurnReply struct {
	Error  *result.Error `msgpack:"e,omitempty"`
	Leader string        `msgpack:"l,omitempty"`
	// History is the content of the turns up to the requested one, oldest first: all turns, or only
	// those after the CachedTurn of the request if IsContinuation is set.
	History        []byte `msgpack:"c,omitempty"`
	IsContinuation bool   `msgpack:"n,omitempty"`
	// OlderTurns are the turns whose content precedes History, oldest first; they are to be
	// requested from a replica in the requester's zone.
	OlderTurns []string `msgpack:"o,omitempty"`
	// AffineEngine is the engine most likely to hold the session's prefix in its cache.
	AffineEngine string `msgpack:"g,omitempty"`
	// IsFirstTurn means, for a reserved turn with a budget, that no turn of its program has run.
	IsFirstTurn bool `msgpack:"f,omitempty"`
	// Stream is the origin that is on record for the stream that the request opened. It is nil if
	// the request opened none, and from releases that record no streams.
	Stream *program.StreamOrigin `msgpack:"s,omitempty"`
	// Grant is the reply to Quota. If the request is queued instead, QueuePosition is set and the
	// requester has to repeat the request.
	Grant         *quota.Grant         `msgpack:"q,omitempty"`
	QueuePosition *quota.QueuePosition `msgpack:"u,omitempty"`
	// Crashes is the crash record of the request that Reserve, Crash or CrashesOf names; nil if there
	// is none, and from releases that record no crashes.
	Crashes *program.CrashHistory `msgpack:"k,omitempty"`
}
