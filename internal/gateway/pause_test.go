package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/routing"
)

// simulateStall sets the gateway's latest tick back by the length of a stall.
func (s *tenantFixture) simulateStall(stall time.Duration) {
	s.gateway.stalls.lastTickMs.Store(clock.NowMs() - stall.Milliseconds())
}

// TestGatewayAfterStall checks that a gateway on a machine that froze for seconds serves the requests
// that arrived in the meantime once control confirms its routing table, and that a gateway which is
// merely disconnected from control rejects requests without a wait.
func TestGatewayAfterStall(t *testing.T) {
	sendRequest := func(fixture *tenantFixture, id string) int {
		response, _, err := fixture.send("/safe/", id, "Ochrebay-Key", testKey)
		So(err, ShouldBeNil)
		return response.StatusCode
	}
	Convey("a gateway whose confirmation is too old", t, func() {
		fixture := newTenantFixture(t, respondSigned)
		fixture.confirmationAge.Store(int64(testRevokeBound))
		confirmationCalls := 0
		// The first confirmation arrives once a request waits for it.
		fixture.gateway.nextConfirmation = func() <-chan struct{} {
			if confirmationCalls++; confirmationCalls > 1 {
				fixture.confirmationAge.Store(0)
			}
			confirmed := make(chan struct{})
			close(confirmed)
			return confirmed
		}
		Convey("serves a request after a stall once the first confirmation arrives", func() {
			fixture.simulateStall(2 * testRevokeBound)
			So(sendRequest(fixture, "r1"), ShouldEqual, 200)
		})
		Convey("does the same if the periodic tick runs before the request", func() {
			fixture.simulateStall(2 * testRevokeBound)
			fixture.gateway.stalls.tick(sweepInterval, clock.NowMs())
			So(sendRequest(fixture, "r1"), ShouldEqual, 200)
		})
		Convey("rejects the request immediately if it was not stalled", func() {
			fixture.simulateStall(sweepInterval)
			So(sendRequest(fixture, "r1"), ShouldEqual, 503)
			So(confirmationCalls, ShouldEqual, 1)
		})
	})
	Convey("a confirmation of a newer table ends the wait: a revoked key is rejected, and an added key is not reported as unknown", t, func() {
		for _, key := range []string{testKey, "added"} {
			fixture := newTenantFixture(t, respondSigned)
			fixture.confirmationAge.Store(int64(testRevokeBound))
			confirmationCalls := 0
			fixture.gateway.nextConfirmation = func() <-chan struct{} {
				if confirmationCalls++; confirmationCalls == 2 {
					view := fixture.gateway.view.Load()
					table := *view.routes.Table
					table.Generation++
					table.Tenants = []routing.Tenant{{Name: "alpha", Keys: []routing.KeyDigest{routing.DigestKey("added")}}}
					fixture.gateway.applyUpdate(view.fleet, &table)
					fixture.confirmationAge.Store(0)
				}
				confirmed := make(chan struct{})
				close(confirmed)
				return confirmed
			}
			fixture.simulateStall(2 * testRevokeBound)
			response, _, err := fixture.send("/safe/", "r1", "Ochrebay-Key", key)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, map[string]int{testKey: 401, "added": 503}[key])
			So(fixture.runs.Load(), ShouldEqual, 0)
		}
	})
	Convey("a stalled gateway that gets no confirmation serves no request", t, func() {
		fixture := newTenantFixture(t, respondSigned)
		fixture.confirmationAge.Store(int64(testRevokeBound))
		fixture.gateway.nextConfirmation = func() <-chan struct{} { return make(chan struct{}) }
		fixture.simulateStall(2 * testRevokeBound)
		So(sendRequest(fixture, "r1"), ShouldEqual, 503)
		So(fixture.runs.Load(), ShouldEqual, 0)
	})
}
