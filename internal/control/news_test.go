package control

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// TestNewsCache holds that what is kept for the next asker is never older than what is in
// force.
func TestNewsCache(t *testing.T) {
	Convey("answers to heartbeats are shared until something changes", t, func() {
		var news newsCache
		Convey("the fleet, by the version that the asker has", func() {
			fleet := membership.NewFleet()
			fleet.Apply(membership.FleetUpdate{PutEngines: []membership.ServingEngine{{ID: "a", Sequence: 1}}})
			scope := membership.Scope{IncludesEngines: true}
			whole := news.fleetSince(fleet, 0, scope)
			So(news.fleetSince(fleet, 0, scope), ShouldEqual, whole)
			So(news.fleetSince(fleet, 1, scope), ShouldNotEqual, whole)
			fleet.Apply(membership.FleetUpdate{PutGateways: []membership.Gateway{{Name: "g"}}})
			So(news.fleetSince(fleet, 0, scope), ShouldEqual, whole)
			fleet.Apply(membership.FleetUpdate{PutEngines: []membership.ServingEngine{{ID: "b", Sequence: 1}}})
			So(len(news.fleetSince(fleet, 0, scope).Value.Engines), ShouldEqual, 2)
			So(len(news.fleetSince(fleet, 1, scope).Value.Engines), ShouldEqual, 1)
			So(news.fleetSince(fleet, 0, membership.Scope{}).Value.Engines, ShouldBeEmpty)
		})
		Convey("the routing table, by the generation that the asker has", func() {
			first := &routing.Table{Generation: 1, Routes: []routing.Route{{Name: "a", Host: "h", PathPrefix: "/a/"}}}
			second := &routing.Table{Generation: 2, Routes: append([]routing.Route{{Name: "b", Host: "h", PathPrefix: "/b/"}}, first.Routes...)}
			So(len(news.routingSince(nil, first).Value.PutRoutes), ShouldEqual, 1)
			So(len(news.routingSince(nil, second).Value.PutRoutes), ShouldEqual, 2)
			So(len(news.routingSince(first, second).Value.PutRoutes), ShouldEqual, 1)
			So(news.routingSince(first, second), ShouldEqual, news.routingSince(first, second))
		})
		Convey("loads, for a short time, and not over a step back of the clock", func() {
			fleet := membership.NewFleet()
			fleet.Apply(membership.FleetUpdate{PutEngines: []membership.ServingEngine{{ID: "e", Sequence: 1}}})
			scope := membership.Scope{IncludesEngines: true}
			board := scheduling.NewLoadAggregator()
			board.ReportLoads("g", []scheduling.EngineLoad{{Engine: "e", InFlight: 1}}, 1000)
			loads := news.loadsOf(board, fleet, scope, 1000).loads
			board.ReportLoads("g", []scheduling.EngineLoad{{Engine: "e", InFlight: 5}}, 1010)
			So(news.loadsOf(board, fleet, scope, 1000+loadsEveryMs-1).loads, ShouldEqual, loads)
			So(news.loadsOf(board, fleet, scope, 1000+loadsEveryMs).loads.Value[0].InFlight, ShouldEqual, 5)
			So(news.loadsOf(board, fleet, scope, 500).loads, ShouldNotEqual, loads)
		})
		Convey("loads of the engines that the asker is told of, however many there are", func() {
			board := scheduling.NewLoadAggregator()
			for _, engines := range []int{1000, 10_000} {
				fleet := membership.NewFleet()
				for number := range engines {
					engine := membership.ServingEngine{ID: fmt.Sprint("e", number), Zone: "z", Sequence: 1}
					fleet.Apply(membership.FleetUpdate{PutEngines: []membership.ServingEngine{engine}})
					board.ReportLoads("g", []scheduling.EngineLoad{{Engine: engine.ID, InFlight: 1}}, 1000)
				}
				var fresh newsCache
				scope := membership.Scope{IncludesEngines: true, Zone: "z"}
				loads := fresh.loadsOf(board, fleet, scope, 1000).loads.Value
				So(len(loads), ShouldEqual, len(fleet.DeltaSince(0, scope).Engines))
				So(len(loads), ShouldBeLessThan, 20)
			}
		})
	})
}
