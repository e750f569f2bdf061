package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/retry"
)

// respondNotRun writes the response of an engine that did not run the request.
func respondNotRun(w http.ResponseWriter) {
	w.Header().Set("Ochrebay-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestWaitingForCapacity(t *testing.T) {
	Convey("a call that no engine has capacity for waits and runs once an engine accepts it", t, func() {
		var refusals atomic.Int64
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, r *http.Request) {
			if refusals.Add(1) <= 3 {
				respondNotRun(w)
				return
			}
			respondSigned(w, r)
		})
		response, _, err := fixture.send("/unsafe/", "r1", "Ochrebay-Deadline-Ms", "20000")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(fixture.runs.Load(), ShouldEqual, 4)
		_, waitingNow := fixture.gateway.waitQueues.misjudgments()
		So(waitingNow, ShouldEqual, 0)
	})
	Convey("a call that gets no capacity in time leaves the queue and returns 503 with Retry-After", t, func() {
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, _ *http.Request) { respondNotRun(w) })
		response, _, err := fixture.send("/unsafe/", "r1", "Ochrebay-Deadline-Ms", "300")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(response.Header.Get("Retry-After"), ShouldNotBeBlank)
		misjudgments, waitingNow := fixture.gateway.waitQueues.misjudgments()
		So(waitingNow, ShouldEqual, 0)
		So(misjudgments.FutileWaits, ShouldEqual, 1)
	})
	Convey("a call to a backend without engines returns 503", t, func() {
		fixture := newGatewayFixture(t, respondSigned)
		fixture.gateway.engines.applyFleet(&membership.FleetView{Version: 2})
		response, body, err := fixture.send("/safe/", "r1", "Ochrebay-Deadline-Ms", "300")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(body, ShouldContainSubstring, "1204")
	})
}

// newTwoEngineFixture returns a gateway with an engine that behaves as first, which is selected
// first, and an engine that answers normally. firstRuns counts the requests to the former.
func newTwoEngineFixture(t *testing.T, first http.HandlerFunc) (fixture *gatewayFixture, firstRuns *atomic.Int64) {
	fixture = newGatewayFixture(t, respondSigned)
	other := newGatewayFixture(t, first)
	fleet := *fixture.gateway.view.Load().fleet
	fleet.Engines["first"] = other.gateway.view.Load().fleet.Engines["e"]
	engine := fleet.Engines["first"]
	engine.ID = "first"
	fleet.Engines["first"] = engine
	fixture.gateway.engines.applyFleet(&fleet)
	fixture.gateway.engines.healthOf("e").RecordFailure(clock.NowMs())
	return fixture, &other.runs
}

// recordLatencies records enough responses of 20 ms for the gateway to have a response timeout.
func (g *gatewayFixture) recordLatencies(routes ...string) {
	const responses, latencyMs = 200, 20
	for _, route := range routes {
		for range responses {
			g.gateway.retries.latencies.ForKind(route).Record(clock.NowMs(), latencyMs)
		}
	}
}

func TestResponseTimeouts(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	unresponsive := func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-release:
		}
	}
	Convey("a repeatable request is retried elsewhere if the engine does not respond within the usual time", t, func() {
		fixture, runs := newTwoEngineFixture(t, unresponsive)
		fixture.recordLatencies("/safe/")
		response, _, err := fixture.send("/safe/", "r1", "Ochrebay-Deadline-Ms", "20000")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(runs.Load(), ShouldEqual, 1)
		So(fixture.runs.Load(), ShouldEqual, 1)
		So(fixture.gateway.engines.healthOf("first").IsSuspect(clock.NowMs()), ShouldBeTrue)
	})
	Convey("a request that is not repeatable waits until its deadline, and the engine becomes suspect", t, func() {
		fixture, runs := newTwoEngineFixture(t, unresponsive)
		fixture.recordLatencies("/unsafe/")
		response, _, err := fixture.send("/unsafe/", "r1", "Ochrebay-Deadline-Ms", "400")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 504)
		So(runs.Load(), ShouldEqual, 1)
		So(fixture.runs.Load(), ShouldEqual, 0)
		So(fixture.gateway.engines.failingEngines(clock.NowMs()), ShouldContain, "first")
	})
	Convey("without retry budget no request is retried", t, func() {
		fixture, _ := newTwoEngineFixture(t, unresponsive)
		fixture.recordLatencies("/safe/")
		fixture.gateway.retries.settings = retry.Settings{}
		for fixture.gateway.retries.tryTake("b") {
		}
		response, _, err := fixture.send("/safe/", "r1", "Ochrebay-Deadline-Ms", "400")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 504)
		So(fixture.runs.Load(), ShouldEqual, 0)
	})
}

func TestEnginesThatFail(t *testing.T) {
	failing := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Ochrebay-Signature", "s")
		w.WriteHeader(http.StatusInternalServerError)
	}
	Convey("a failure is not forwarded if another engine may be tried, and the engine counts as failing", t, func() {
		fixture, runs := newTwoEngineFixture(t, failing)
		response, _, err := fixture.send("/safe/", "r1", "Ochrebay-Deadline-Ms", "20000")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(runs.Load(), ShouldEqual, 1)
		So(fixture.gateway.engines.failingEngines(clock.NowMs()), ShouldContain, "first")
	})
	Convey("a failure that cannot be retried is forwarded unchanged, and the engine counts as failing", t, func() {
		fixture, runs := newTwoEngineFixture(t, failing)
		response, _, err := fixture.send("/unsafe/", "r1", "Ochrebay-Deadline-Ms", "20000")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 500)
		So(response.Header.Get("Ochrebay-Signature"), ShouldEqual, "s")
		So(runs.Load(), ShouldEqual, 1)
		So(fixture.runs.Load(), ShouldEqual, 0)
		So(fixture.gateway.engines.failingEngines(clock.NowMs()), ShouldContain, "first")
	})
}

func TestLedgersThatAreSlow(t *testing.T) {
	Convey("a turn whose ledger does not answer for longer than one call timeout is still served and retained", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(3, "", false))
		var requests atomic.Int64
		fixture.ledger.setResponse(func(*protocol.TurnRequest) *protocol.TurnReply {
			// The first three replies to opening and to retaining the turn are lost.
			if number := requests.Add(1); number%4 != 0 {
				return nil
			}
			return &protocol.TurnReply{}
		})
		startedAt := time.Now()
		response, body, err := fixture.send("/kept/", "r1", append([]string{"Ochrebay-Deadline-Ms", "20000"}, budgetHeaders...)...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(body, ShouldContainSubstring, "data: 3")
		So(time.Since(startedAt), ShouldBeGreaterThan, 6*ledgerCallTimeout)
		So(requests.Load(), ShouldEqual, 8)
	})
}
