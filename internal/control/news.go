package control

import (
	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// loadsEveryMs is how old the sums of what gateways have seen may be, milliseconds: a
// tenth of the time between two answers to one gateway. To add them up costs as many steps
// as there are pairs of gateway and engine.
const loadsEveryMs = 70

// newsCache holds what heartbeats were answered with, by what their senders had: after a
// change, or when all processes come back at once, hundreds ask for the same.
type newsCache struct {
	fleet   map[membership.Scope]*differences[membership.FleetDelta]
	routing differences[routing.Delta]
	// loads are the sums that gateways were told, by what they are told of.
	loads map[membership.Scope]summedLoads
	// uses are the sums of tenants' use that gateways were told, of usesBoard.
	uses        *protocol.Shared[[]admission.BackendUsage]
	usesBoard   *admission.UsageAggregator
	usesVersion uint64
}

// summedLoads are sums of what gateways have seen, as of atMs.
type summedLoads struct {
	atMs    int64
	loads   *protocol.Shared[[]scheduling.EngineLoad]
	usages  *protocol.Shared[[]scheduling.EngineUsage]
	failing []string
}

// differences are what leads from older versions to the one in force.
type differences[T any] struct {
	version uint64
	since   map[uint64]*protocol.Shared[T]
}

// to returns what leads from one version to another, and builds it where nobody has asked
// for it yet. Invariant: nothing is kept of a version that is not in force any more.
func (d *differences[T]) to(version, from uint64, build func() T) *protocol.Shared[T] {
	if d.since == nil || d.version != version {
		d.version = version
		d.since = map[uint64]*protocol.Shared[T]{}
	}
	if d.since[from] == nil {
		d.since[from] = protocol.NewShared(build())
	}
	return d.since[from]
}

// fleetSince returns what leads a follower from a version to the fleet.
func (n *newsCache) fleetSince(fleet *membership.Fleet, version uint64, scope membership.Scope) *protocol.Shared[membership.FleetDelta] {
	news, known := n.fleet[scope]
	if n.fleet == nil {
		n.fleet = map[membership.Scope]*differences[membership.FleetDelta]{}
	}
	if !known {
		news = &differences[membership.FleetDelta]{}
		n.fleet[scope] = news
	}
	return news.to(fleet.LatestVersion(scope), version, func() membership.FleetDelta { return fleet.DeltaSince(version, scope) })
}

// routingSince returns what leads from a table, nil for none, to the one in force.
func (n *newsCache) routingSince(from, to *routing.Table) *protocol.Shared[routing.Delta] {
	generation := uint64(0)
	if from != nil {
		generation = from.Generation
	}
	return n.routing.to(to.Generation, generation, func() routing.Delta { return *routing.NewDelta(from, to) })
}

// loadsOf returns what all gateways together have seen lately of the engines that a gateway
// is told of. What it sends does not grow with the engines of the fleet.
func (n *newsCache) loadsOf(board *scheduling.LoadAggregator, fleet *membership.Fleet, scope membership.Scope, nowMs int64) summedLoads {
	known, found := n.loads[scope]
	if found && nowMs-known.atMs < loadsEveryMs && nowMs >= known.atMs {
		return known
	}
	if n.loads == nil {
		n.loads = map[membership.Scope]summedLoads{}
	}
	engines := fleet.AdvertisedEngineIDs(scope)
	known = summedLoads{
		atMs: nowMs, loads: protocol.NewShared(board.Loads(engines, nowMs)),
		usages: protocol.NewShared(board.Usages(engines, nowMs)), failing: board.FailingEngines(engines, scope.Zone, nowMs),
	}
	n.loads[scope] = known
	return known
}

// usesOf returns what all gateways' tenants together use of back ends that are short.
func (n *newsCache) usesOf(board *admission.UsageAggregator, nowMs int64) *protocol.Shared[[]admission.BackendUsage] {
	sums := board.Totals(nowMs)
	if n.uses == nil || n.usesBoard != board || n.usesVersion != board.Version {
		n.uses, n.usesBoard, n.usesVersion = protocol.NewShared(sums), board, board.Version
	}
	return n.uses
}
