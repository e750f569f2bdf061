package control

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

func TestServingViews(t *testing.T) {
	Convey("a view shows an engine's requests in flight, reserved tokens and slowdown, and why it is avoided", t, func() {
		core := &Core{loadAggregator: scheduling.NewLoadAggregator(), system: newSystemStateMachine(Options{}), nowMs: 1000}
		core.system.fleet.Apply(membership.FleetUpdate{
			PutGateways: []membership.Gateway{{Name: "g1", Zone: "z"}, {Name: "g2", Zone: "z"}},
			PutEngines: []membership.ServingEngine{
				{ID: "quick", Backend: "b", Zone: "z", StartedMs: 5}, {ID: "leaving", Backend: "b", Zone: "z", Draining: true}, {ID: "broken", Backend: "b", Zone: "z"},
			},
		})
		for _, gateway := range []string{"g1", "g2"} {
			core.loadAggregator.ReportLoads(gateway, []scheduling.EngineLoad{{Engine: "quick", InFlight: 2}}, 1000)
			core.loadAggregator.ReportUsage(gateway, []scheduling.EngineUsage{{Engine: "quick", Pace: scheduling.WeightedSum{Sum: 3, Weight: 5}, ReservedKVCacheTokens: 700}}, 1000)
			core.loadAggregator.ReportFailingEngines(gateway, "z", []string{"broken"}, 1000)
		}
		views := map[string]ServingView{}
		for _, view := range core.servingViews() {
			views[view.ID] = view
		}
		So(views["quick"].InFlight, ShouldEqual, 4)
		So(views["quick"].ReservedKVCacheTokens, ShouldEqual, 1400)
		So(views["quick"].Slowdown, ShouldAlmostEqual, 0.6, 0.001)
		So(views["quick"].AvoidReason, ShouldBeEmpty)
		So(views["leaving"].AvoidReason, ShouldEqual, avoidReasonDraining)
		So(views["broken"].AvoidReason, ShouldEqual, avoidReasonFailing)
	})
}
