package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/routing"
)

// pausedFor has a gateway's last regular step be that long ago.
func (s *tenantStand) pausedFor(pause time.Duration) {
	s.gateway.pauses.lastStep.Store(clock.NowMs() - pause.Milliseconds())
}

// TestThawedGateway holds that a machine that stood still, as some freeze for seconds, serves the
// requests that waited for it once control has answered it, and that one without a way to control
// makes nobody wait.
func TestThawedGateway(t *testing.T) {
	serve := func(stand *tenantStand, id string) int {
		response, _, err := stand.send("/safe/", id, "Ochrebay-Key", testKey)
		So(err, ShouldBeNil)
		return response.StatusCode
	}
	Convey("a gateway whose proof has grown old", t, func() {
		stand := newTenantStand(t, answerSigned)
		stand.age.Store(int64(testBound))
		asked := 0
		// The first proof comes once somebody waits for it.
		stand.gateway.nextProof = func() <-chan struct{} {
			if asked++; asked > 1 {
				stand.age.Store(0)
			}
			come := make(chan struct{})
			close(come)
			return come
		}
		Convey("serves what waited for it once its first proof has come", func() {
			stand.pausedFor(2 * testBound)
			So(serve(stand, "r1"), ShouldEqual, 200)
		})
		Convey("does so too when its regular step came before the request", func() {
			stand.pausedFor(2 * testBound)
			stand.gateway.pauses.step(sweepEvery, clock.NowMs())
			So(serve(stand, "r1"), ShouldEqual, 200)
		})
		Convey("rejects at once where it did not stand still", func() {
			stand.pausedFor(sweepEvery)
			So(serve(stand, "r1"), ShouldEqual, 503)
			So(asked, ShouldEqual, 1)
		})
	})
	Convey("the proof that ends the wait may come with a newer table: what it lacks is not run, what it added is not unknown", t, func() {
		for _, key := range []string{testKey, "added"} {
			stand := newTenantStand(t, answerSigned)
			stand.age.Store(int64(testBound))
			asked := 0
			stand.gateway.nextProof = func() <-chan struct{} {
				if asked++; asked == 2 {
					view := stand.gateway.view.Load()
					table := *view.routes.Table
					table.Generation++
					table.Tenants = []routing.Tenant{{Name: "alpha", Keys: []routing.KeyDigest{routing.DigestKey("added")}}}
					stand.gateway.follow(view.fleet, &table)
					stand.age.Store(0)
				}
				come := make(chan struct{})
				close(come)
				return come
			}
			stand.pausedFor(2 * testBound)
			response, _, err := stand.send("/safe/", "r1", "Ochrebay-Key", key)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, map[string]int{testKey: 401, "added": 503}[key])
			So(stand.runs.Load(), ShouldEqual, 0)
		}
	})
	Convey("a gateway that stood still and gets no proof serves nobody", t, func() {
		stand := newTenantStand(t, answerSigned)
		stand.age.Store(int64(testBound))
		stand.gateway.nextProof = func() <-chan struct{} { return make(chan struct{}) }
		stand.pausedFor(2 * testBound)
		So(serve(stand, "r1"), ShouldEqual, 503)
		So(stand.runs.Load(), ShouldEqual, 0)
	})
}
