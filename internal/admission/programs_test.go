package admission

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const testWindowMs = 5000

// learnedKinds returns kinds that have observed a number of programs, each with requests at
// intervals of gapMs.
func learnedKinds(programs, requests int, gapMs int64) *ProgramKinds {
	kinds := NewProgramKinds()
	kind := kinds.GetOrCreate("k")
	for range programs {
		for made := 1; made < requests; made++ {
			kind.ObserveContinuation(made, gapMs)
		}
		kind.ObserveEnd(requests)
	}
	return kinds
}

func TestPrograms(t *testing.T) {
	none := func(int64) int64 { return 0 }
	Convey("the number and the rate of a program's requests are learned", t, func() {
		forecast := learnedKinds(200, 12, 200).GetOrCreate("k").forecastAt(1, testWindowMs)
		So(forecast.meanRequests, ShouldBeBetween, 10, 14)
		So(forecast.requestsWithin[0][horizonCount-1], ShouldBeBetween, 9, 13)
		So(forecast.requestsWithin[0][0], ShouldBeBetween, 2, 3)
	})
	Convey("programs in progress count as continuing, and don't make programs appear short", t, func() {
		kinds := NewProgramKinds()
		for range 100 {
			kinds.GetOrCreate("k").ObserveContinuation(1, 200)
			kinds.GetOrCreate("k").ObserveContinuation(2, 200)
		}
		So(kinds.GetOrCreate("k").forecastAt(1, testWindowMs).meanRequests, ShouldBeGreaterThan, priorRequests)
	})
	Convey("a program starts if it fits next to those in progress, or when these have ended", t, func() {
		programs := NewTenantPrograms(learnedKinds(200, 10, 400), testWindowMs)
		for _, name := range []string{"a", "b"} {
			So(programs.DecideAdmission("k", 1000, 30, 0, none).Admitted, ShouldBeTrue)
			programs.RecordGrant(name, "k", 1000, 1000)
		}
		So(programs.DecideAdmission("k", 1000, 30, 0, none).Admitted, ShouldBeTrue)
		So(programs.DecideAdmission("k", 1000, 25, 0, none).Admitted, ShouldBeFalse)
		So(programs.DecideAdmission("k", 1000+2*testWindowMs, 25, 0, none).Admitted, ShouldBeTrue)
	})
	Convey("a tenant without programs in progress may start one, however small its limit", t, func() {
		programs := NewTenantPrograms(learnedKinds(200, 50, 50), testWindowMs)
		So(programs.DecideAdmission("k", 1000, 2, 0, none).Admitted, ShouldBeTrue)
		So(programs.DecideAdmission("k", 1000, 2, 9, none).Admitted, ShouldBeFalse)
	})
	Convey("a program may start if the requests that already count leave the window in time", t, func() {
		programs := NewTenantPrograms(learnedKinds(200, 10, 400), testWindowMs)
		programs.RecordGrant("a", "k", 1000, 1000)
		full := func(atMs int64) int64 {
			if atMs < 1500 {
				return 28
			}
			return 0
		}
		So(programs.DecideAdmission("k", 1000, 30, 0, full).Admitted, ShouldBeTrue)
		So(programs.DecideAdmission("k", 1000, 30, 0, func(int64) int64 { return 28 }).Admitted, ShouldBeFalse)
	})
	Convey("a program that counted as ended and makes another request counts again, and an idle one is removed", t, func() {
		programs := NewTenantPrograms(NewProgramKinds(), testWindowMs)
		programs.RecordGrant("a", "k", 1000, 1000)
		programs.RemoveIdle(10_000)
		So(programs.byName["a"].countsAsEnded, ShouldBeTrue)
		programs.RecordGrant("a", "k", 10_100, 10_100)
		So(programs.byName["a"].countsAsEnded, ShouldBeFalse)
		So(programs.kinds.GetOrCreate("k").ended[0], ShouldEqual, 0)
		programs.RemoveIdle(10_100 + idleProgramLifetimeMs + 1)
		So(programs.Len(), ShouldEqual, 0)
	})
	Convey("a request that never ran counts neither as a grant nor as a continuation", t, func() {
		programs := NewTenantPrograms(NewProgramKinds(), testWindowMs)
		programs.RecordGrant("a", "k", 0, 0)
		for range 100 {
			programs.RecordGrant("a", "k", 10, 10)
			programs.UndoGrant("a")
		}
		So(programs.byName["a"].grantedRequests, ShouldEqual, 1)
		So(programs.kinds.GetOrCreate("k").continued[0], ShouldEqual, 0)
	})
}
