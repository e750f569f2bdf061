package scheduling

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestAdmissionProperty holds for any history of streams and concurrency: nobody is rejected
// below the floor, some are always let in, the more urgent rank never fares worse, and who is
// let in at one draw is let in at any higher one.
func TestAdmissionProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var admission AdmissionController
		nowMs := int64(0)
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 400).Draw(t, "ms")
			for range rapid.IntRange(0, 20).Draw(t, "streams") {
				admission.ObserveStreamStart(nowMs, rapid.Bool().Draw(t, "late"))
			}
			admission.UpdateLimit(nowMs, rapid.Float64Range(0, 200).Draw(t, "concurrency"), slots)
		}
		concurrency := rapid.Float64Range(0, 200).Draw(t, "now")
		ranks := rapid.IntRange(1, 5).Draw(t, "ranks")
		least := max(float64(slots)/leastShare, leastLimit)
		last := 1.0
		for position := range ranks {
			share := admission.RejectedFraction(concurrency, position, ranks)
			if share < 0 || share > mostRejected || share > last {
				t.Fatalf("rank %d of %d: %v rejected, the rank before %v", position, ranks, share, last)
			}
			if share > 0 && concurrency < fullShare*least {
				t.Fatalf("%v rejected at %v requests an engine of %d slots", share, concurrency, slots)
			}
			last = share
			draw := rapid.Float64Range(0, 1).Draw(t, "draw")
			retryAfterMs, admitted := admission.Admit(concurrency, position, ranks, draw)
			if admitted != (draw >= share) || admitted == (retryAfterMs > 0) {
				t.Fatalf("draw %v of %v rejected: admitted %v, back after %d ms", draw, share, admitted, retryAfterMs)
			}
		}
	})
}

func TestAdmission(t *testing.T) {
	Convey("no stream late, no limit, whatever the concurrency", t, func() {
		var admission AdmissionController
		for second := range int64(60) {
			for range 20 {
				admission.ObserveStreamStart(second*1000, false)
			}
			admission.UpdateLimit(second*1000, 500, 12)
		}
		So(admission.Limit(), ShouldEqual, 0)
	})
	Convey("one late stream of two rejects nobody", t, func() {
		var admission AdmissionController
		admission.ObserveStreamStart(0, true)
		admission.ObserveStreamStart(0, false)
		admission.UpdateLimit(100, 50, 12)
		So(admission.Limit(), ShouldEqual, 0)
	})
	Convey("a burst that has a third of the streams late begins no limit; one that rejects nobody any more ends", t, func() {
		var admission AdmissionController
		third := func(fromS, toS int64, of int, concurrency float64) {
			for ms := fromS * 1000; ms < toS*1000; ms += 50 {
				admission.ObserveStreamStart(ms, of > 0 && ms/50%int64(of) == 0)
				admission.UpdateLimit(ms, concurrency, 12)
			}
		}
		third(0, 10, 3, 15)
		So(admission.Limit(), ShouldEqual, 0)
		third(10, 14, 1, 15)
		So(admission.Limit(), ShouldBeGreaterThan, 0)
		third(14, 24, 0, 1)
		So(admission.Limit(), ShouldEqual, 0)
	})
	Convey("late streams above the limit lower nothing; streams in time at it raise it again", t, func() {
		var admission AdmissionController
		late := func(fromS, toS int64, late bool, concurrency float64) {
			for ms := fromS * 1000; ms < toS*1000; ms += 50 {
				admission.ObserveStreamStart(ms, late)
				admission.UpdateLimit(ms, concurrency, 12)
			}
		}
		late(0, 2, true, 10)
		first := admission.Limit()
		So(first, ShouldBeBetween, 3, 10)
		late(2, 6, true, 30)
		So(admission.Limit(), ShouldEqual, first)
		for second := int64(6); second < 30; second++ {
			admission.Admit(first, 0, 1, 1)
			late(second, second+1, false, first)
		}
		So(admission.Limit(), ShouldBeGreaterThan, 1.2*first)
	})
}
