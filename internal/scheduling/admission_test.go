package scheduling

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestAdmissionProperty checks for any history of streams and concurrency that nobody is rejected
// below unrestrictedFraction of the minimum limit, that some programs are always admitted, that a
// higher priority is never rejected more often, and that a program admitted with one random sample
// is admitted with any higher one.
func TestAdmissionProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var controller AdmissionController
		nowMs := int64(0)
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 400).Draw(t, "ms")
			for range rapid.IntRange(0, 20).Draw(t, "streams") {
				controller.ObserveStreamStart(nowMs, rapid.Bool().Draw(t, "late"))
			}
			controller.UpdateLimit(nowMs, rapid.Float64Range(0, 200).Draw(t, "concurrency"), slots)
		}
		concurrency := rapid.Float64Range(0, 200).Draw(t, "current concurrency")
		priorities := rapid.IntRange(1, 5).Draw(t, "priorities")
		floor := max(float64(slots)/minLimitSlotDivisor, minLimit)
		previous := 1.0
		for position := range priorities {
			rejected := controller.RejectedFraction(concurrency, position, priorities)
			if rejected < 0 || rejected > maxRejectedFraction || rejected > previous {
				t.Fatalf("priority %d of %d: %v rejected, but %v of the next lower priority", position, priorities, rejected, previous)
			}
			if rejected > 0 && concurrency < unrestrictedFraction*floor {
				t.Fatalf("%v rejected at %v requests per engine of %d slots", rejected, concurrency, slots)
			}
			previous = rejected
			sample := rapid.Float64Range(0, 1).Draw(t, "sample")
			retryAfterMs, admitted := controller.Admit(concurrency, position, priorities, sample)
			if admitted != (sample >= rejected) || admitted == (retryAfterMs > 0) {
				t.Fatalf("sample %v with a rejected fraction of %v: admitted %v, retry after %d ms", sample, rejected, admitted, retryAfterMs)
			}
		}
	})
}

func TestAdmission(t *testing.T) {
	Convey("without late streams there is no limit at any concurrency", t, func() {
		var controller AdmissionController
		for second := range int64(60) {
			for range 20 {
				controller.ObserveStreamStart(second*1000, false)
			}
			controller.UpdateLimit(second*1000, 500, 12)
		}
		So(controller.Limit(), ShouldEqual, 0)
	})
	Convey("one late stream out of two rejects nobody", t, func() {
		var controller AdmissionController
		controller.ObserveStreamStart(0, true)
		controller.ObserveStreamStart(0, false)
		controller.UpdateLimit(100, 50, 12)
		So(controller.Limit(), ShouldEqual, 0)
	})
	Convey("a burst with a third of the streams late sets no limit, and a limit that no longer rejects anybody is removed", t, func() {
		var controller AdmissionController
		observe := func(fromS, toS int64, lateEvery int, concurrency float64) {
			for ms := fromS * 1000; ms < toS*1000; ms += 50 {
				controller.ObserveStreamStart(ms, lateEvery > 0 && ms/50%int64(lateEvery) == 0)
				controller.UpdateLimit(ms, concurrency, 12)
			}
		}
		observe(0, 10, 3, 15)
		So(controller.Limit(), ShouldEqual, 0)
		observe(10, 14, 1, 15)
		So(controller.Limit(), ShouldBeGreaterThan, 0)
		observe(14, 24, 0, 1)
		So(controller.Limit(), ShouldEqual, 0)
	})
	Convey("late streams above the limit do not lower it, and on-time streams at the limit raise it", t, func() {
		var controller AdmissionController
		observe := func(fromS, toS int64, late bool, concurrency float64) {
			for ms := fromS * 1000; ms < toS*1000; ms += 50 {
				controller.ObserveStreamStart(ms, late)
				controller.UpdateLimit(ms, concurrency, 12)
			}
		}
		observe(0, 2, true, 10)
		first := controller.Limit()
		So(first, ShouldBeBetween, 3, 10)
		observe(2, 6, true, 30)
		So(controller.Limit(), ShouldEqual, first)
		for second := int64(6); second < 30; second++ {
			controller.Admit(first, 0, 1, 1)
			observe(second, second+1, false, first)
		}
		So(controller.Limit(), ShouldBeGreaterThan, 1.2*first)
	})
}
