package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

func fleetViewOf(engines ...membership.ServingEngine) *membership.FleetView {
	view := &membership.FleetView{Engines: map[string]membership.ServingEngine{}}
	for _, engine := range engines {
		view.Engines[engine.ID] = engine
	}
	return view
}

// TestRestartedEngines answers engines that crash under load and start again under the ids
// that they had.
func TestRestartedEngines(t *testing.T) {
	const nowMs = 1000
	first := membership.ServingEngine{ID: "e", Backend: "b", Address: "10.0.0.1:1", Slots: 4, StartedMs: 100}
	second := first
	second.StartedMs = 200
	startCall := func(e *engineRegistry) *call {
		chosen, found := e.selectEngine(routing.Backend{Name: "b", Slots: 4}, scheduling.SelectionInput{NowMs: nowMs, IsStream: true, RequestKind: "r"})
		So(found, ShouldBeTrue)
		return &call{engineID: chosen.engine.ID, selection: chosen, backend: routing.Backend{Name: "b"}, route: &routing.Route{Name: "r"}}
	}
	Convey("what was learnt of the life before is void, and its requests are counted for it alone", t, func() {
		e := newEngineRegistry("z", config.Policy{})
		e.applyFleet(fleetViewOf(first))
		lost, broken := startCall(e), startCall(e)
		e.recordAttemptEnd(broken, nowMs, attemptOutcome{kind: attemptBroken})
		So(e.healthOf("e").IsSuspect(nowMs), ShouldBeTrue)
		So(e.applyFleet(fleetViewOf(second)), ShouldResemble, []string{"10.0.0.1:1"})
		So(e.healthOf("e").IsSuspect(nowMs), ShouldBeFalse)
		So(e.healthOf("e").InFlight, ShouldEqual, 0)
		current := startCall(e)
		e.recordAttemptEnd(lost, nowMs, attemptOutcome{kind: attemptBroken})
		So(e.healthOf("e").InFlight, ShouldEqual, 1)
		So(e.healthOf("e").IsSuspect(nowMs), ShouldBeFalse)
		e.recordAttemptEnd(current, nowMs, attemptOutcome{kind: attemptAnswered})
		So(e.healthOf("e").InFlight, ShouldEqual, 0)
	})
	Convey("also when the engine was away in between, while requests of its earlier life are still under way", t, func() {
		e := newEngineRegistry("z", config.Policy{})
		e.applyFleet(fleetViewOf(first))
		startCall(e)
		e.applyFleet(fleetViewOf())
		e.applyFleet(fleetViewOf(second))
		So(e.healthOf("e").InFlight, ShouldEqual, 0)
	})
	Convey("the first word of when an engine started, and a report without news, change nothing", t, func() {
		e := newEngineRegistry("z", config.Policy{})
		withoutStartTime := first
		withoutStartTime.StartedMs = 0
		e.applyFleet(fleetViewOf(withoutStartTime))
		startCall(e)
		So(e.applyFleet(fleetViewOf(first)), ShouldBeEmpty)
		So(e.applyFleet(fleetViewOf(first)), ShouldBeEmpty)
		So(e.healthOf("e").InFlight, ShouldEqual, 1)
	})
	Convey("a session is bound to the incarnation that ran its last turn", t, func() {
		So(resolveAffineEngine([]membership.ServingEngine{first}, first.IncarnationKey()), ShouldEqual, "e")
		So(resolveAffineEngine([]membership.ServingEngine{second}, first.IncarnationKey()), ShouldNotEqual, "e")
		So(resolveAffineEngine([]membership.ServingEngine{second}, "e"), ShouldEqual, "e")
		So(resolveAffineEngine(nil, "e"), ShouldEqual, "e")
	})
}

// TestCallsThatAreNotSent answers keys that lose their proof between the choice of an engine
// and the send.
func TestCallsThatAreNotSent(t *testing.T) {
	Convey("a call that is not sent after all is not counted at the engine", t, func() {
		fixture := newTenantFixture(t, respondSigned)
		checks := 0
		fixture.gateway.confirmationAge = func() (time.Duration, bool) {
			checks++
			if checks > 1 {
				return testRevokeBound, true
			}
			return 0, true
		}
		response, _, err := fixture.send("/safe/", "r1", "Ochrebay-Key", testKey)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(checks, ShouldBeGreaterThan, 1)
		So(fixture.runs.Load(), ShouldEqual, 0)
		inFlight := 0
		for _, health := range fixture.gateway.engines.health {
			inFlight += health.InFlight
		}
		So(inFlight, ShouldEqual, 0)
	})
}
