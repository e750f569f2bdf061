package control

import (
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/routing"
)

// newsCache holds what heartbeats were answered with, by what their senders had: after a
// change, or when all processes come back at once, hundreds ask for the same.
type newsCache struct {
	fleetVersion uint64
	fleet        map[uint64]*protocol.Shared[membership.FleetNews]
	generation   uint64
	routing      map[uint64]*protocol.Shared[routing.Delta]
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
