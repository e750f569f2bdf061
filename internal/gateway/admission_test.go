package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// newOverloadedFixture returns a gateway that has learned a concurrency limit from late streams and
// has many requests in flight. first is the ledger's reply on whether a turn is its program's first.
func newOverloadedFixture(t *testing.T, first bool) *gatewayFixture {
	fixture := newGatewayFixture(t, streamingEngine(1, "", false))
	fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
		return &protocol.TurnReply{IsFirstTurn: first && request.Reserve != nil}
	})
	engines := fixture.gateway.engines
	controller := getOrCreate(engines.admissionControllers, "b")
	const lateStreams, concurrency = 100, 3
	for range lateStreams {
		controller.ObserveStreamStart(clock.NowMs(), true)
	}
	controller.UpdateLimit(clock.NowMs(), concurrency, 4)
	engines.healthOf("e").ApplySharedLoad(scheduling.EngineLoad{Engine: "e"}, clock.NowMs())
	for range 10 * concurrency {
		engines.healthOf("e").RecordStart(clock.NowMs())
	}
	return fixture
}

func TestAdmissionOfAGateway(t *testing.T) {
	// The hash of a program's id decides whether it is admitted. At most nine tenths of the
	// programs are rejected.
	countRejections := func(fixture *gatewayFixture, path string, headers ...string) (count int, retryAfter string) {
		for _, program := range []string{"p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9"} {
			response, _, err := fixture.send(path, "r-"+program, append(append(headers, budgetHeaders...), "Ochrebay-Program", program)...)
			So(err, ShouldBeNil)
			if response.StatusCode == 429 {
				count++
				retryAfter = response.Header.Get("Retry-After")
			}
		}
		return count, retryAfter
	}
	Convey("overload rejects the first turn of most programs without running it, and returns Retry-After", t, func() {
		fixture := newOverloadedFixture(t, true)
		count, retryAfter := countRejections(fixture, "/stream/")
		So(count, ShouldBeGreaterThan, 5)
		So(retryAfter, ShouldNotBeBlank)
		So(fixture.runs.Load(), ShouldEqual, 10-count)
		repeated, _ := countRejections(fixture, "/stream/")
		So(repeated, ShouldEqual, count)
	})
	Convey("a program in progress is not rejected, nor one that continues from a retained turn", t, func() {
		count, _ := countRejections(newOverloadedFixture(t, false), "/stream/")
		So(count, ShouldEqual, 0)
		count, _ = countRejections(newOverloadedFixture(t, true), "/kept/", "Ochrebay-Previous-Turn", "t1")
		So(count, ShouldEqual, 0)
	})
	Convey("without shared load from the other gateways no program is rejected", t, func() {
		fixture := newOverloadedFixture(t, true)
		fixture.gateway.engines.health = map[string]*scheduling.EngineHealth{}
		count, _ := countRejections(fixture, "/stream/")
		So(count, ShouldEqual, 0)
	})
	Convey("disabled admission control rejects no program", t, func() {
		fixture := newOverloadedFixture(t, true)
		fixture.gateway.engines.disabled = scheduling.DisabledMechanisms{scheduling.MechanismAdmission}
		count, _ := countRejections(fixture, "/stream/")
		So(count, ShouldEqual, 0)
	})
}

func TestActivity(t *testing.T) {
	Convey("a span counts as idle if the latest interval without activity covers at least half of it", t, func() {
		var tracker activityTracker
		for nowMs := int64(0); nowMs <= 1000; nowMs += 20 {
			tracker.record(nowMs)
		}
		So(tracker.wasIdle(1000, 900), ShouldBeFalse)
		tracker.record(5000)
		So(tracker.wasIdle(5000, 4100), ShouldBeTrue)
		tracker.record(5010)
		So(tracker.wasIdle(5010, 4200), ShouldBeTrue)
		for nowMs := int64(5020); nowMs <= 6000; nowMs += 20 {
			tracker.record(nowMs)
		}
		So(tracker.wasIdle(6000, 500), ShouldBeFalse)
	})
}
