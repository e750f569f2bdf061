package admission

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const testWindowMs = 5000

// taught returns kinds that have seen programs of so many requests at a distance.
func taught(programs, requests int, gapMs int64) *ProgramKinds {
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
	nothing := func(int64) int64 { return 0 }
	Convey("how many requests a program makes is learnt, and how fast", t, func() {
		outlook := taught(200, 12, 200).GetOrCreate("k").outlookAt(1, testWindowMs)
		So(outlook.requests, ShouldBeBetween, 10, 14)
		So(outlook.within[0][horizons-1], ShouldBeBetween, 9, 13)
		So(outlook.within[0][0], ShouldBeBetween, 2, 3)
	})
	Convey("programs under way teach that they go on, not that they are short", t, func() {
		kinds := NewProgramKinds()
		for range 100 {
			kinds.GetOrCreate("k").ObserveContinuation(1, 200)
			kinds.GetOrCreate("k").ObserveContinuation(2, 200)
		}
		So(kinds.GetOrCreate("k").outlookAt(1, testWindowMs).requests, ShouldBeGreaterThan, priorRequests)
	})
	Convey("a program begins where it fits beside those under way, and when these have ended", t, func() {
		programs := NewTenantPrograms(taught(200, 10, 400), testWindowMs)
		for _, name := range []string{"a", "b"} {
			So(programs.DecideAdmission("k", 1000, 30, 0, nothing).Admitted, ShouldBeTrue)
			programs.RecordGrant(name, "k", 1000, 1000)
		}
		So(programs.DecideAdmission("k", 1000, 30, 0, nothing).Admitted, ShouldBeTrue)
		So(programs.DecideAdmission("k", 1000, 25, 0, nothing).Admitted, ShouldBeFalse)
		So(programs.DecideAdmission("k", 1000+2*testWindowMs, 25, 0, nothing).Admitted, ShouldBeTrue)
	})
	Convey("a tenant without programs under way may begin one, however small its limit", t, func() {
		programs := NewTenantPrograms(taught(200, 50, 50), testWindowMs)
		So(programs.DecideAdmission("k", 1000, 2, 0, nothing).Admitted, ShouldBeTrue)
		So(programs.DecideAdmission("k", 1000, 2, 9, nothing).Admitted, ShouldBeFalse)
	})
	Convey("what counts already leaves with the window", t, func() {
		programs := NewTenantPrograms(taught(200, 10, 400), testWindowMs)
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
	Convey("a program that was taken for ended and comes back counts again; one that is idle is forgotten", t, func() {
		programs := NewTenantPrograms(NewProgramKinds(), testWindowMs)
		programs.RecordGrant("a", "k", 1000, 1000)
		programs.RemoveIdle(10_000)
		So(programs.byName["a"].ended, ShouldBeTrue)
		programs.RecordGrant("a", "k", 10_100, 10_100)
		So(programs.byName["a"].ended, ShouldBeFalse)
		So(programs.kinds.GetOrCreate("k").ended[0], ShouldEqual, 0)
		programs.RemoveIdle(10_100 + programIdleMs + 1)
		So(programs.Len(), ShouldEqual, 0)
	})
	Convey("a request that never ran teaches nothing", t, func() {
		programs := NewTenantPrograms(NewProgramKinds(), testWindowMs)
		programs.RecordGrant("a", "k", 0, 0)
		for range 100 {
			programs.RecordGrant("a", "k", 10, 10)
			programs.UndoGrant("a")
		}
		So(programs.byName["a"].made, ShouldEqual, 1)
		So(programs.kinds.GetOrCreate("k").continued[0], ShouldEqual, 0)
	})
}
