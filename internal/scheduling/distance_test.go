package scheduling

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestDistancesFollowTheWay holds that the price of another zone is its penalty and the longer way,
// though most samples of the way are delayed.
func TestDistancesFollowTheWay(t *testing.T) {
	Convey("two zones, 0.4 ms and 2.8 ms there and back, at busy processors", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		distances := &ZoneCosts{CrossZonePenaltyMs: 20}
		So(distances.CostMs("a", "b"), ShouldEqual, 20)
		for range 200 {
			distances.ObserveRoundTrip("a", 0.4+random.ExpFloat64()*3)
			distances.ObserveRoundTrip("b", 2.8+random.ExpFloat64()*3)
		}
		So(distances.CostMs("a", "b"), ShouldAlmostEqual, 22.4, 1)
		So(distances.CostMs("b", "a"), ShouldEqual, 20)
		Convey("a way that has become longer is known after some dozens of samples", func() {
			for range 200 {
				distances.ObserveRoundTrip("b", 16)
			}
			So(distances.CostMs("a", "b"), ShouldAlmostEqual, 35.6, 1)
		})
	})
	Convey("whoever knows no distances takes the usual penalty", t, func() {
		var unknown *ZoneCosts
		So(unknown.CostMs("a", "b"), ShouldEqual, DefaultCrossZonePenaltyMs)
	})
	Convey("the price is never below the penalty, nor above it by more than the longest way", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			distances := &ZoneCosts{CrossZonePenaltyMs: rapid.Float64Range(0, 100).Draw(t, "penalty")}
			longest := 0.0
			for range rapid.IntRange(0, 50).Draw(t, "samples") {
				took := rapid.Float64Range(0, 500).Draw(t, "took")
				longest = max(longest, took)
				distances.ObserveRoundTrip(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), took)
			}
			price := distances.CostMs("a", "b")
			if price < distances.CrossZonePenaltyMs || price > distances.CrossZonePenaltyMs+longest+1e-6 {
				t.Fatalf("price %g, penalty %g, longest way %g", price, distances.CrossZonePenaltyMs, longest)
			}
		})
	})
}
