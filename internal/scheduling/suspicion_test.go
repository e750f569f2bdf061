package scheduling

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSharedSuspicion holds that a gateway learns from others' failed requests that an engine
// is gone, in place of losing one of its own first.
func TestSharedSuspicion(t *testing.T) {
	names := []string{"e0", "e1", "e2", "e3"}
	// report has gateways of a zone fail at e0 once and report it.
	report := func(board *LoadAggregator, zone string, gateways int, nowMs int64) {
		for number := range gateways {
			health := &EngineHealth{}
			health.RecordFailure(nowMs)
			board.ReportFailingEngines(fmt.Sprint(zone, number), zone, FailingEngines(map[string]*EngineHealth{"e0": health, "e1": {}}, nowMs), nowMs)
		}
	}
	Convey("an engine at which several gateways failed is passed over by one that never asked it", t, func() {
		board := NewLoadAggregator()
		report(board, "near", leastWitnesses, 1000)
		all := candidates(len(names))
		for _, engine := range board.FailingEngines(names, "near", 1100) {
			So(engine, ShouldEqual, "e0")
			all[0].Health.ApplySharedSuspicion(1100)
		}
		So(all[0].Health.IsSuspect(1100), ShouldBeTrue)
		for number := range 100 {
			demand := SelectionInput{IsStream: true, Zone: "near", MaxEvents: 10, NowMs: 1100, ShuffleSeed: draw(number)}
			So(choose(reader(0.01, 1000), all, demand).ID, ShouldNotEqual, "e0")
		}
		Convey("until a request succeeds there, or for a time", func() {
			So(all[0].Health.IsSuspect(1100+sharedSuspicionMs), ShouldBeFalse)
			all[0].Health.RecordSuccess()
			So(all[0].Health.IsSuspect(1100), ShouldBeFalse)
		})
	})
	Convey("one gateway alone, or those of another zone, make no engine suspect", t, func() {
		board := NewLoadAggregator()
		report(board, "near", leastWitnesses-1, 1000)
		report(board, "far", 5, 1000)
		So(board.FailingEngines(names, "near", 1000), ShouldBeEmpty)
		So(board.FailingEngines(names, "far", 1000), ShouldResemble, []string{"e0"})
	})
	Convey("what is old is forgotten", t, func() {
		board := NewLoadAggregator()
		report(board, "near", 3, 1000)
		So(board.FailingEngines(names, "near", 1000+loadForgottenMs+1), ShouldBeEmpty)
		board.ReportLoads("g", nil, 1000+2*loadSweepMs)
		So(board.failing, ShouldBeEmpty)
		health := &EngineHealth{}
		health.RecordFailure(1000)
		So(health.IsFailing(1000+failingMs), ShouldBeTrue)
		So(health.IsFailing(1000+failingMs+1), ShouldBeFalse)
	})
}
