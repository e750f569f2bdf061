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

// TestRestartedEngines guards against state that carries over to the next incarnation of an engine
// that crashes under load and restarts with the same id.
func TestRestartedEngines(t *testing.T) {
	const nowMs = 1000
	first := membership.ServingEngine{ID: "e", Backend: "b", Address: "10.0.0.1:1", Slots: 4, StartedMs: 100}
	second := first
	second.StartedMs = 200
	startCall := func(e *engineRegistry) *call {
		selected, found := e.selectEngine(routing.Backend{Name: "b", Slots: 4}, scheduling.SelectionInput{NowMs: nowMs, IsStream: true, RequestKind: "r"}, versionRequirement{}, false)
		So(found, ShouldBeTrue)
		return &call{engineID: selected.engine.ID, selection: selected, backend: routing.Backend{Name: "b"}, route: &routing.Route{Name: "r"}}
	}
	Convey("the observations and the in-flight requests of the previous incarnation do not affect the new one", t, func() {
		e := newEngineRegistry("z", config.Policy{})
		e.applyFleet(fleetViewOf(first))
		lost, broken := startCall(e), startCall(e)
		e.recordAttemptEnd(broken, nowMs, attemptOutcome{kind: attemptBroken})
		So(e.healthOf("e").IsSuspect(nowMs), ShouldBeTrue)
		So(e.applyFleet(fleetViewOf(second)), ShouldResemble, []string{"10.0.0.1:1"})
		So(e.healthOf("e").IsSuspect(nowMs), ShouldBeFalse)
		So(e.healthOf("e").OwnInFlight, ShouldEqual, 0)
		current := startCall(e)
		e.recordAttemptEnd(lost, nowMs, attemptOutcome{kind: attemptBroken})
		So(e.healthOf("e").OwnInFlight, ShouldEqual, 1)
		So(e.healthOf("e").IsSuspect(nowMs), ShouldBeFalse)
		e.recordAttemptEnd(current, nowMs, attemptOutcome{kind: attemptAnswered})
		So(e.healthOf("e").OwnInFlight, ShouldEqual, 0)
	})
	Convey("an engine that returns as a new incarnation does not inherit the in-flight requests of the previous one", t, func() {
		e := newEngineRegistry("z", config.Policy{})
		e.applyFleet(fleetViewOf(first))
		startCall(e)
		e.applyFleet(fleetViewOf())
		e.applyFleet(fleetViewOf(second))
		So(e.healthOf("e").OwnInFlight, ShouldEqual, 0)
	})
	Convey("the first report of an engine's start time and an unchanged report reset nothing", t, func() {
		e := newEngineRegistry("z", config.Policy{})
		withoutStartTime := first
		withoutStartTime.StartedMs = 0
		e.applyFleet(fleetViewOf(withoutStartTime))
		startCall(e)
		So(e.applyFleet(fleetViewOf(first)), ShouldBeEmpty)
		So(e.applyFleet(fleetViewOf(first)), ShouldBeEmpty)
		So(e.healthOf("e").OwnInFlight, ShouldEqual, 1)
	})
	Convey("session affinity applies only to the incarnation that ran the last turn", t, func() {
		So(resolveAffineEngine([]membership.ServingEngine{first}, first.IncarnationKey()), ShouldEqual, "e")
		So(resolveAffineEngine([]membership.ServingEngine{second}, first.IncarnationKey()), ShouldNotEqual, "e")
		So(resolveAffineEngine([]membership.ServingEngine{second}, "e"), ShouldEqual, "e")
		So(resolveAffineEngine(nil, "e"), ShouldEqual, "e")
	})
}

// TestCallsThatAreNotSent guards against a leaked in-flight count if the confirmation of the routing
// table expires between the selection of an engine and the send.
func TestCallsThatAreNotSent(t *testing.T) {
	Convey("a call that is not sent after an engine was selected is not counted as in flight", t, func() {
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
			inFlight += health.OwnInFlight
		}
		So(inFlight, ShouldEqual, 0)
	})
}
