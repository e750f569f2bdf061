package scheduling

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestZoneCostsFollowRoundTrips checks that the cost of another zone is the penalty plus the
// difference of the round trips, although most samples are delayed.
func TestZoneCostsFollowRoundTrips(t *testing.T) {
	Convey("round trips of 0.4 ms and 2.8 ms are estimated from samples delayed by busy processors", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		costs := &ZoneCosts{CrossZonePenaltyMs: 20}
		So(costs.CostMs("a", "b"), ShouldEqual, 20)
		for range 200 {
			costs.ObserveRoundTrip("a", 0.4+random.ExpFloat64()*3)
			costs.ObserveRoundTrip("b", 2.8+random.ExpFloat64()*3)
		}
		So(costs.CostMs("a", "b"), ShouldAlmostEqual, 22.4, 1)
		So(costs.CostMs("b", "a"), ShouldEqual, 20)
		Convey("a longer round trip is reflected after 200 samples", func() {
			for range 200 {
				costs.ObserveRoundTrip("b", 16)
			}
			So(costs.CostMs("a", "b"), ShouldAlmostEqual, 35.6, 1)
		})
	})
	Convey("without zone costs the default penalty applies", t, func() {
		var unknown *ZoneCosts
		So(unknown.CostMs("a", "b"), ShouldEqual, DefaultCrossZonePenaltyMs)
	})
	Convey("the cost is at least the penalty and at most the penalty plus the longest round trip", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			costs := &ZoneCosts{CrossZonePenaltyMs: rapid.Float64Range(0, 100).Draw(t, "penalty")}
			longestMs := 0.0
			for range rapid.IntRange(0, 50).Draw(t, "samples") {
				roundTripMs := rapid.Float64Range(0, 500).Draw(t, "took")
				longestMs = max(longestMs, roundTripMs)
				costs.ObserveRoundTrip(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), roundTripMs)
			}
			cost := costs.CostMs("a", "b")
			if cost < costs.CrossZonePenaltyMs || cost > costs.CrossZonePenaltyMs+longestMs+1e-6 {
				t.Fatalf("cost %g, penalty %g, longest round trip %g", cost, costs.CrossZonePenaltyMs, longestMs)
			}
		})
	})
}
