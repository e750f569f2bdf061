package control

import (
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
	fleetVersion uint64
	fleet        map[uint64]*protocol.Shared[membership.FleetNews]
	generation   uint64
	routing      map[uint64]*protocol.Shared[routing.Delta]
	loadsMs      int64
	loads        *protocol.Shared[[]scheduling.Load]
}

// loadsOf returns what all gateways together have seen of engines lately.
func (n *newsCache) loadsOf(board *scheduling.Board, nowMs int64) *protocol.Shared[[]scheduling.Load] {
	if n.loads == nil || nowMs-n.loadsMs >= loadsEveryMs || nowMs < n.loadsMs {
		n.loadsMs = nowMs
		n.loads = protocol.NewShared(board.Loads(nowMs))
	}
	return n.loads
}

// fleetSince returns what leads from a version to the fleet.
func (n *newsCache) fleetSince(fleet *membership.Fleet, version uint64) *protocol.Shared[membership.FleetNews] {
	if n.fleet == nil || n.fleetVersion != fleet.Version() {
		n.fleetVersion = fleet.Version()
		n.fleet = map[uint64]*protocol.Shared[membership.FleetNews]{}
	}
	if n.fleet[version] == nil {
		n.fleet[version] = protocol.NewShared(fleet.Since(version))
	}
	return n.fleet[version]
}

// routingSince returns what leads from a table, nil for none, to the one in force.
func (n *newsCache) routingSince(from, to *routing.Table) *protocol.Shared[routing.Delta] {
	if n.routing == nil || n.generation != to.Generation {
		n.generation = to.Generation
		n.routing = map[uint64]*protocol.Shared[routing.Delta]{}
	}
	generation := uint64(0)
	if from != nil {
		generation = from.Generation
	}
	if n.routing[generation] == nil {
		n.routing[generation] = protocol.NewShared(*routing.NewDelta(from, to))
	}
	return n.routing[generation]
}
