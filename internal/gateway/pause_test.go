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
	serve := func(stand *tenantFixture, id string) int {
		response, _, err := stand.send("/safe/", id, "Ochrebay-Key", testKey)
		So(err, ShouldBeNil)
		return response.StatusCode
	}
	Convey("a gateway whose proof has grown old", t, func() {
		stand := newTenantFixture(t, respondSigned)
		stand.confirmationAge.Store(int64(testRevokeBound))
		asked := 0
		// The first proof comes once somebody waits for it.
		stand.gateway.nextConfirmation = func() <-chan struct{} {
			if asked++; asked > 1 {
				stand.confirmationAge.Store(0)
			}
			come := make(chan struct{})
			close(come)
			return come
		}
		Convey("serves what waited for it once its first proof has come", func() {
			stand.simulateStall(2 * testRevokeBound)
			So(serve(stand, "r1"), ShouldEqual, 200)
		})
		Convey("does so too when its regular step came before the request", func() {
			stand.simulateStall(2 * testRevokeBound)
			stand.gateway.stalls.tick(sweepInterval, clock.NowMs())
			So(serve(stand, "r1"), ShouldEqual, 200)
		})
		Convey("rejects at once where it did not stand still", func() {
			stand.simulateStall(sweepInterval)
			So(serve(stand, "r1"), ShouldEqual, 503)
			So(asked, ShouldEqual, 1)
		})
	})
	Convey("the proof that ends the wait may come with a newer table: what it lacks is not run, what it added is not unknown", t, func() {
		for _, key := range []string{testKey, "added"} {
			stand := newTenantFixture(t, respondSigned)
			stand.confirmationAge.Store(int64(testRevokeBound))
			asked := 0
			stand.gateway.nextConfirmation = func() <-chan struct{} {
				if asked++; asked == 2 {
					view := stand.gateway.view.Load()
					table := *view.routes.Table
					table.Generation++
					table.Tenants = []routing.Tenant{{Name: "alpha", Keys: []routing.KeyDigest{routing.DigestKey("added")}}}
					stand.gateway.applyUpdate(view.fleet, &table)
					stand.confirmationAge.Store(0)
				}
				come := make(chan struct{})
				close(come)
				return come
			}
			stand.simulateStall(2 * testRevokeBound)
			response, _, err := stand.send("/safe/", "r1", "Ochrebay-Key", key)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, map[string]int{testKey: 401, "added": 503}[key])
			So(stand.runs.Load(), ShouldEqual, 0)
		}
	})
	Convey("a gateway that stood still and gets no proof serves nobody", t, func() {
		stand := newTenantFixture(t, respondSigned)
		stand.confirmationAge.Store(int64(testRevokeBound))
		stand.gateway.nextConfirmation = func() <-chan struct{} { return make(chan struct{}) }
		stand.simulateStall(2 * testRevokeBound)
		So(serve(stand, "r1"), ShouldEqual, 503)
		So(stand.runs.Load(), ShouldEqual, 0)
	})
}
