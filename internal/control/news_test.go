package control

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// TestDeltaCache checks that cached content is shared, that fleet and routing deltas are never older
// than the state in force, and that load aggregates are no older than loadsMaxAgeMs.
func TestDeltaCache(t *testing.T) {
	Convey("content of heartbeat answers is shared while it is current", t, func() {
		var deltas deltaCache
		Convey("fleet deltas are shared by the version that the sender has", func() {
			fleet := membership.NewFleet()
			fleet.Apply(membership.FleetUpdate{PutEngines: []membership.ServingEngine{{ID: "a", Sequence: 1}}})
			scope := membership.Scope{IncludesEngines: true}
			full := deltas.fleetSince(fleet, 0, scope)
			So(deltas.fleetSince(fleet, 0, scope), ShouldEqual, full)
			So(deltas.fleetSince(fleet, 1, scope), ShouldNotEqual, full)
			fleet.Apply(membership.FleetUpdate{PutGateways: []membership.Gateway{{Name: "g"}}})
			So(deltas.fleetSince(fleet, 0, scope), ShouldEqual, full)
			fleet.Apply(membership.FleetUpdate{PutEngines: []membership.ServingEngine{{ID: "b", Sequence: 1}}})
			So(len(deltas.fleetSince(fleet, 0, scope).Value.Engines), ShouldEqual, 2)
			So(len(deltas.fleetSince(fleet, 1, scope).Value.Engines), ShouldEqual, 1)
			So(deltas.fleetSince(fleet, 0, membership.Scope{}).Value.Engines, ShouldBeEmpty)
		})
		Convey("routing deltas are shared by the generation that the sender has", func() {
			first := &routing.Table{Generation: 1, Routes: []routing.Route{{Name: "a", Host: "h", PathPrefix: "/a/"}}}
			second := &routing.Table{Generation: 2, Routes: append([]routing.Route{{Name: "b", Host: "h", PathPrefix: "/b/"}}, first.Routes...)}
			So(len(deltas.routingSince(nil, first).Value.PutRoutes), ShouldEqual, 1)
			So(len(deltas.routingSince(nil, second).Value.PutRoutes), ShouldEqual, 2)
			So(len(deltas.routingSince(first, second).Value.PutRoutes), ShouldEqual, 1)
			So(deltas.routingSince(first, second), ShouldEqual, deltas.routingSince(first, second))
		})
		Convey("loads are shared for a short time, and recomputed when the clock steps back", func() {
			fleet := membership.NewFleet()
			fleet.Apply(membership.FleetUpdate{PutEngines: []membership.ServingEngine{{ID: "e", Sequence: 1}}})
			scope := membership.Scope{IncludesEngines: true}
			aggregator := scheduling.NewLoadAggregator()
			aggregator.ReportLoads("g", []scheduling.EngineLoad{{Engine: "e", InFlight: 1}}, 1000)
			loads := deltas.loadsFor(aggregator, fleet, scope, 1000).loads
			aggregator.ReportLoads("g", []scheduling.EngineLoad{{Engine: "e", InFlight: 5}}, 1010)
			So(deltas.loadsFor(aggregator, fleet, scope, 1000+loadsMaxAgeMs-1).loads, ShouldEqual, loads)
			So(deltas.loadsFor(aggregator, fleet, scope, 1000+loadsMaxAgeMs).loads.Value[0].InFlight, ShouldEqual, 5)
			So(deltas.loadsFor(aggregator, fleet, scope, 500).loads, ShouldNotEqual, loads)
		})
		Convey("loads cover only the engines advertised to the sender, however many there are", func() {
			aggregator := scheduling.NewLoadAggregator()
			for _, engines := range []int{1000, 10_000} {
				fleet := membership.NewFleet()
				for number := range engines {
					engine := membership.ServingEngine{ID: fmt.Sprint("e", number), Zone: "z", Sequence: 1}
					fleet.Apply(membership.FleetUpdate{PutEngines: []membership.ServingEngine{engine}})
					aggregator.ReportLoads("g", []scheduling.EngineLoad{{Engine: engine.ID, InFlight: 1}}, 1000)
				}
				var emptyCache deltaCache
				scope := membership.Scope{IncludesEngines: true, Zone: "z"}
				loads := emptyCache.loadsFor(aggregator, fleet, scope, 1000).loads.Value
				So(len(loads), ShouldEqual, len(fleet.DeltaSince(0, scope).Engines))
				So(len(loads), ShouldBeLessThan, 20)
			}
		})
	})
}
