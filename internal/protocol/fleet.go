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

// FleetOrder asks the leader of the settings group for one thing; exactly one part
// is set.
type FleetOrder struct {
	// Report is an engine's report of itself.
	Report *membership.ServingEngine `msgpack:"e,omitempty"`
	// Leave names an engine that ends, LeaveBorn its incarnation where it says so.
	Leave     string `msgpack:"l,omitempty"`
	LeaveBorn int64  `msgpack:"b,omitempty"`
	// Incarnations says that the sender reads from reports which incarnation they are of.
	Incarnations bool `msgpack:"i,omitempty"`
	// Routing is a whole routing table to put in force.
	Routing *routing.Table `msgpack:"r,omitempty"`
	// ReadRouting asks for the table in force, confirmed by a quorum.
	ReadRouting bool `msgpack:"d,omitempty"`
	// Retire names a ledger host to be emptied, RetireState one to ask about.
	Retire      string `msgpack:"t,omitempty"`
	RetireState string `msgpack:"s,omitempty"`
}

// FleetOrderReply answers a FleetOrder.
type FleetOrderReply struct {
	Error  *result.Error `msgpack:"e,omitempty"`
	Leader string        `msgpack:"l,omitempty"`
	// Routing answers ReadRouting; nil before the first table.
	Routing *routing.Table `msgpack:"r,omitempty"`
	// Done answers RetireState.
	Done bool `msgpack:"d,omitempty"`
	// Restarted says that a report which was taken is of a new incarnation of a known engine.
	Restarted bool `msgpack:"n,omitempty"`
	// Void names why a report or leave that is acknowledged changed nothing (membership.Verdict).
	Void string `msgpack:"v,omitempty"`
}

// FleetSync is the heartbeat of a gateway or ledger host; the reply is held until
// there is news, or until HoldMs have passed.
type FleetSync struct {
	Gateway *membership.Gateway      `msgpack:"g,omitempty"`
	Ledger  *membership.LedgerReport `msgpack:"d,omitempty"`
	// Loads is what the gateway has seen of engines since its last heartbeat.
	Loads []scheduling.EngineLoad `msgpack:"o,omitempty"`
	// Usages is what it has seen of their speed; releases that know nothing of it pass it over.
	Usages []scheduling.EngineUsage `msgpack:"x,omitempty"`
	// Failing are the engines at which the gateway's requests fail.
	Failing []string `msgpack:"k,omitempty"`
	// Late is what the gateway has seen of streams since its last heartbeat.
	Late []scheduling.StreamLateness `msgpack:"t,omitempty"`
	// Uses is what the gateway's tenants use of back ends that are short of room.
	Uses []admission.BackendUsage `msgpack:"uses,omitempty"`
	// Version and Generation are the fleet and the routing table in force at the
	// sender; WithRouting says that it wants the table at all.
	Version     uint64 `msgpack:"v"`
	Generation  uint64 `msgpack:"n"`
	WithRouting bool   `msgpack:"r,omitempty"`
	// Controls is the digest of the control processes that the sender knows (ControlsDigest).
	Controls uint64 `msgpack:"c,omitempty"`
	// WithLoads asks for what all gateways together have seen of engines.
	WithLoads bool  `msgpack:"l,omitempty"`
	HoldMs    int64 `msgpack:"w"`
	// Fresh asks that the reply be confirmed by a quorum: a process's first sync.
	Fresh bool `msgpack:"f,omitempty"`
	// Prove asks that a quorum confirm, after the request has come, that its receiver leads:
	// the reply then proves that no table newer than what it leads to was acknowledged
	// before the request was sent. Unlike Fresh it lets the reply be held.
	Prove bool `msgpack:"p,omitempty"`
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
	// Loads is what all gateways together have seen of engines, where it was asked for.
	Loads *Shared[[]scheduling.EngineLoad] `msgpack:"o,omitempty"`
	// Usages is what all gateways together know of their speed; it comes with Loads.
	Usages *Shared[[]scheduling.EngineUsage] `msgpack:"x,omitempty"`
	// Failing are the engines at which requests of several gateways fail; it comes with Loads.
	Failing []string `msgpack:"k,omitempty"`
	// Late is what all gateways together have seen of streams, with every answer to one.
	Late []scheduling.StreamLateness `msgpack:"t,omitempty"`
	// Uses is what all gateways' tenants together use of back ends that are short of room; it
	// comes with Loads, where the routing table has tenants.
	Uses *Shared[[]admission.BackendUsage] `msgpack:"uses,omitempty"`
	// Controls are the inner addresses of the control processes, where the sender knows others.
	Controls []string `msgpack:"c,omitempty"`
	// Confirmed says that a quorum confirmed the reply after the request had come.
	Confirmed bool `msgpack:"q,omitempty"`
}

// TurnRequest asks the leader of a ledger group for one thing; exactly one of Reserve,
// Settle, Find, Contents, Quota and Probe is set. Any replica that has them may answer Contents.
type TurnRequest struct {
	Group   uint32           `msgpack:"g"`
	Reserve *program.Reserve `msgpack:"r,omitempty"`
	// Known names the turn up to which the sender has the chain that Reserve goes on
	// from; the reply carries only what follows.
	Known  string          `msgpack:"h,omitempty"`
	Settle *program.Settle `msgpack:"s,omitempty"`
	// Zone is where the sender is. Where another replica is in that zone, the reply to
	// Reserve names the older turns of the chain, to be asked of that replica.
	Zone string `msgpack:"z,omitempty"`
	// Find asks for the chain of a turn, confirmed by a quorum.
	Find string `msgpack:"f,omitempty"`
	// Contents asks for the content of turns, joined in the order given.
	Contents []string `msgpack:"c,omitempty"`
	// Quota asks for one request of a tenant.
	Quota *quota.Request `msgpack:"q,omitempty"`
	// Probe asks whether the receiver leads the group.
	Probe bool `msgpack:"p,omitempty"`
	// WithinMs is how long the sender waits for this answer; a request that has waited
	// longer before it is taken up is dropped. Zero is no bound.
	WithinMs int64 `msgpack:"w,omitempty"`
}

// TurnReply answers a TurnRequest.
type TurnReply struct {
	Error  *result.Error `msgpack:"e,omitempty"`
	Leader string        `msgpack:"l,omitempty"`
	// Chain is the content of the turns up to the one named, oldest first: the whole
	// line, or with Continued what follows the turn that the sender knows.
	Chain     []byte `msgpack:"c,omitempty"`
	Continued bool   `msgpack:"n,omitempty"`
	// Older are the turns whose content goes before Chain, oldest first, and which a
	// replica in the sender's zone is to be asked for.
	Older []string `msgpack:"o,omitempty"`
	// Engine most likely holds what the turn's session has read.
	Engine string `msgpack:"g,omitempty"`
	// First says, of a reserved turn with a budget, that nothing of its program has run yet.
	First bool `msgpack:"f,omitempty"`
	// Grant answers Quota; Queued does where the request waits and is to be asked for again.
	Grant  *quota.Grant         `msgpack:"q,omitempty"`
	Queued *quota.QueuePosition `msgpack:"u,omitempty"`
}
