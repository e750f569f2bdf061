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
		distances := &Distances{PenaltyMs: 20}
		So(distances.Ms("a", "b"), ShouldEqual, 20)
		for range 200 {
			distances.Note("a", 0.4+random.ExpFloat64()*3)
			distances.Note("b", 2.8+random.ExpFloat64()*3)
		}
		So(distances.Ms("a", "b"), ShouldAlmostEqual, 22.4, 1)
		So(distances.Ms("b", "a"), ShouldEqual, 20)
		Convey("a way that has become longer is known after some dozens of samples", func() {
			for range 200 {
				distances.Note("b", 16)
			}
			So(distances.Ms("a", "b"), ShouldAlmostEqual, 35.6, 1)
		})
	})
	Convey("whoever knows no distances takes the usual penalty", t, func() {
		var unknown *Distances
		So(unknown.Ms("a", "b"), ShouldEqual, DefaultCrossZonePenaltyMs)
	})
	Convey("the price is never below the penalty, nor above it by more than the longest way", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			distances := &Distances{PenaltyMs: rapid.Float64Range(0, 100).Draw(t, "penalty")}
			longest := 0.0
			for range rapid.IntRange(0, 50).Draw(t, "samples") {
				took := rapid.Float64Range(0, 500).Draw(t, "took")
				longest = max(longest, took)
				distances.Note(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), took)
			}
			price := distances.Ms("a", "b")
			if price < distances.PenaltyMs || price > distances.PenaltyMs+longest+1e-6 {
				t.Fatalf("price %g, penalty %g, longest way %g", price, distances.PenaltyMs, longest)
			}
		})
	})
}
