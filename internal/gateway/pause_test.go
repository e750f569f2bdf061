package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/routing"
)

// simulateStall has a gateway's last regular step be that long ago.
func (s *tenantFixture) simulateStall(pause time.Duration) {
	s.gateway.stalls.lastTickMs.Store(clock.NowMs() - pause.Milliseconds())
}

// TestThawedGateway holds that a machine that stood still, as some freeze for seconds, serves the
// requests that waited for it once control has answered it, and that one without a way to control
// makes nobody wait.
func TestThawedGateway(t *testing.T) {
	serve := func(fixture *tenantFixture, id string) int {
		response, _, err := fixture.send("/safe/", id, "Ochrebay-Key", testKey)
		So(err, ShouldBeNil)
		return response.StatusCode
	}
	Convey("a gateway whose proof has grown old", t, func() {
		fixture := newTenantFixture(t, respondSigned)
		fixture.confirmationAge.Store(int64(testRevokeBound))
		calls := 0
		// The first proof comes once somebody waits for it.
		fixture.gateway.nextConfirmation = func() <-chan struct{} {
			if calls++; calls > 1 {
				fixture.confirmationAge.Store(0)
			}
			confirmed := make(chan struct{})
			close(confirmed)
			return confirmed
		}
		Convey("serves what waited for it once its first proof has come", func() {
			fixture.simulateStall(2 * testRevokeBound)
			So(serve(fixture, "r1"), ShouldEqual, 200)
		})
		Convey("does so too when its regular step came before the request", func() {
			fixture.simulateStall(2 * testRevokeBound)
			fixture.gateway.stalls.tick(sweepInterval, clock.NowMs())
			So(serve(fixture, "r1"), ShouldEqual, 200)
		})
		Convey("rejects at once where it did not stand still", func() {
			fixture.simulateStall(sweepInterval)
			So(serve(fixture, "r1"), ShouldEqual, 503)
			So(calls, ShouldEqual, 1)
		})
	})
	Convey("the proof that ends the wait may come with a newer table: what it lacks is not run, what it added is not unknown", t, func() {
		for _, key := range []string{testKey, "added"} {
			fixture := newTenantFixture(t, respondSigned)
			fixture.confirmationAge.Store(int64(testRevokeBound))
			calls := 0
			fixture.gateway.nextConfirmation = func() <-chan struct{} {
				if calls++; calls == 2 {
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
	Convey("a gateway that stood still and gets no proof serves nobody", t, func() {
		fixture := newTenantFixture(t, respondSigned)
		fixture.confirmationAge.Store(int64(testRevokeBound))
		fixture.gateway.nextConfirmation = func() <-chan struct{} { return make(chan struct{}) }
		fixture.simulateStall(2 * testRevokeBound)
		So(serve(fixture, "r1"), ShouldEqual, 503)
		So(fixture.runs.Load(), ShouldEqual, 0)
	})
}
