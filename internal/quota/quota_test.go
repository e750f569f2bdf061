package quota

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	testWindowMs = 5000
	testHosts    = 3
)

// testHost is a machine that may lead the group; its clock runs at its own rate.
type testHost struct {
	offsetMs int64
	// driftPerMille is how much faster than true time the clock runs, thousandths.
	driftPerMille float64
}

func (h testHost) at(trueMs int64) int64 {
	return h.offsetMs + trueMs + int64(float64(trueMs)*h.driftPerMille/1000)
}

// testOwner leads or has led the group in a term.
type testOwner struct {
	host  testHost
	term  uint64
	owner *Owner
	// pending was proposed and is neither committed nor lost.
	pending *Reservation
}

// world plays a group's owners against one who sees every grant.
type world struct {
	t      *rapid.T
	trueMs int64
	hosts  []testHost
	log    []Reservation
	// owners are those that may still act, the newest last.
	owners  []*testOwner
	granted []int64
	limit   Limit
	// highest holds, for each time a limit changed, what it allowed before.
	highest []changedLimit
}

type changedLimit struct{ atMs, allowed int64 }

func (w *world) state() *State {
	state := NewState(testWindowMs)
	for _, reservation := range w.log {
		state.Apply(reservation)
	}
	return state
}

// elect makes a host the leader of the next term; it holds what is committed.
func (w *world) elect(host testHost) {
	state := w.state()
	if len(w.log) > 0 && rapid.Bool().Draw(w.t, "from a snapshot") {
		raw, err := state.Snapshot()
		if err != nil {
			w.t.Fatal(err)
		}
		state = NewState(testWindowMs)
		if err := state.Restore(raw); err != nil {
			w.t.Fatal(err)
		}
	}
	term := uint64(1)
	if len(w.owners) > 0 {
		term = w.owners[len(w.owners)-1].term + 1
	}
	for _, earlier := range w.owners {
		earlier.pending = nil
	}
	w.owners = append(w.owners, &testOwner{host: host, term: term, owner: NewOwner(state, host.at(w.trueMs))})
}

// ask has an owner decide and checks what was granted against the limit.
func (w *world) ask(owner *testOwner, limit Limit, program string) Decision {
	nowMs := owner.host.at(w.trueMs)
	decision := owner.owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: program}, nowMs)
	switch {
	case decision.Verdict == Granted:
		w.granted = append(w.granted, w.trueMs)
		w.check()
	case decision.Verdict == ReservationNeeded && owner.pending == nil:
		reservation := owner.owner.NextReservation("t", rapid.IntRange(1, 5).Draw(w.t, "waiting"), nowMs)
		reservation.Term = owner.term
		owner.pending = &reservation
	case decision.Verdict == Denied && decision.RetryAfterMs <= 0:
		w.t.Fatalf("denied and told to come back after %d ms", decision.RetryAfterMs)
	}
	return decision
}

// commit commits what the newest owner has proposed; only the leader of the newest term can.
func (w *world) commit() {
	owner := w.owners[len(w.owners)-1]
	if owner.pending == nil {
		return
	}
	w.log = append(w.log, *owner.pending)
	owner.owner.AddReservation(*owner.pending)
	owner.pending = nil
}

// allowed is the most that was allowed at any time within the window.
func (w *world) allowed() int64 {
	most := w.limit.AllowedRequests(testWindowMs)
	for _, changed := range w.highest {
		// An owner that is cut off holds its limit until its reservations end.
		if changed.atMs > w.trueMs-testWindowMs-2*ReservationLifetimeMs {
			most = max(most, changed.allowed)
		}
	}
	return most
}

func (w *world) check() {
	count := int64(0)
	for _, at := range slices.Backward(w.granted) {
		if at <= w.trueMs-testWindowMs {
			break
		}
		count++
	}
	if allowed := w.allowed(); count > allowed {
		w.t.Fatalf("%d granted in the %d ms before %d, allowed %d; log %+v", count, testWindowMs, w.trueMs, allowed, w.log)
	}
}

// TestLimitHoldsProperty holds that no window of true time sees more grants than the limit,
// whatever becomes of leaders: cut off and still granting, paused, replaced by hosts whose
// clocks differ by hours and run 0.1% apart, restored from snapshots, limits up and down.
func TestLimitHoldsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, limit: Limit{
			Generation: 1, RatePerSecond: float64(rapid.IntRange(1, 40).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 20).Draw(t, "burst")),
		}}
		for range testHosts {
			w.hosts = append(w.hosts, testHost{
				offsetMs: rapid.Int64Range(0, 7_200_000).Draw(t, "offset"), driftPerMille: rapid.Float64Range(-1, 1).Draw(t, "drift"),
			})
		}
		w.elect(w.hosts[0])
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"ask", "ask", "ask", "ask", "ask", "commit", "commit", "wait", "wait", "pause", "elect", "limit"}).Draw(t, "step") {
			case "ask":
				owner := w.owners[len(w.owners)-1-rapid.IntRange(0, min(2, len(w.owners)-1)).Draw(t, "owner")]
				for range rapid.IntRange(1, 30).Draw(t, "times") {
					w.ask(owner, w.limit, fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "program")))
				}
			case "commit":
				w.commit()
			case "wait":
				w.trueMs += rapid.Int64Range(1, 700).Draw(t, "ms")
			case "pause":
				w.trueMs += rapid.Int64Range(1000, 6000).Draw(t, "ms")
			case "elect":
				w.elect(w.hosts[rapid.IntRange(0, testHosts-1).Draw(t, "host")])
			case "limit":
				w.highest = append(w.highest, changedLimit{w.trueMs, w.limit.AllowedRequests(testWindowMs)})
				w.limit = Limit{Generation: w.limit.Generation + 1, RatePerSecond: float64(rapid.IntRange(1, 40).Draw(t, "rate"))}
			}
		}
	})
}

// TestBelowTheLimitProperty holds that nobody is denied who asks for less than nine tenths of
// the limit in any window, while one owner leads.
func TestBelowTheLimitProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, limit: Limit{Generation: 1, RatePerSecond: float64(rapid.IntRange(4, 40).Draw(t, "rate")), Burst: 5}}
		w.elect(testHost{offsetMs: rapid.Int64Range(0, 1000).Draw(t, "offset")})
		most := w.limit.AllowedRequests(testWindowMs) * 9 / 10
		var asked []int64
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			w.trueMs += rapid.Int64Range(0, 400).Draw(t, "ms")
			asked = slices.DeleteFunc(asked, func(at int64) bool { return at <= w.trueMs-testWindowMs-grainMs-rateMarginMs })
			for range rapid.Int64Range(0, most-int64(len(asked))).Draw(t, "times") {
				decision := w.ask(w.owners[0], w.limit, "p")
				if decision.Verdict == ReservationNeeded {
					w.commit()
					decision = w.ask(w.owners[0], w.limit, "p")
				}
				if decision.Verdict != Granted {
					t.Fatalf("%v at %d of %d", decision.Verdict, decision.Used, decision.Allowed)
				}
				asked = append(asked, w.trueMs)
			}
		}
	})
}

func TestOwner(t *testing.T) {
	limit := Limit{Generation: 1, RatePerSecond: 2}
	filled := func(count int) *Owner {
		owner := NewOwner(NewState(testWindowMs), 0)
		owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 0)
		owner.AddReservation(Reservation{Tenant: "t", Count: 100, Limit: limit, NowMs: 0})
		for range count {
			owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "old"}, 0)
		}
		return owner
	}
	Convey("what was granted and not run counts no more; what was given back twice counts once", t, func() {
		owner := filled(10)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 50).Verdict, ShouldEqual, Denied)
		owner.ReturnGrant("t", 0)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 50).Verdict, ShouldEqual, Granted)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 50).Verdict, ShouldEqual, Denied)
		owner.ReturnGrant("nobody", 0)
		owner.ReturnGrant("t", 99_999)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 50).Verdict, ShouldEqual, Denied)
	})
	Convey("those denied together are told to come back one after the other, at the rate at which room comes", t, func() {
		owner := filled(10)
		var times []int64
		for range 3 {
			times = append(times, owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 50).RetryAfterMs)
		}
		So(times[1]-times[0], ShouldEqual, 500)
		So(times[2]-times[1], ShouldEqual, 500)
		So(times[0], ShouldBeGreaterThan, testWindowMs-50)
	})
	Convey("a predecessor that is cut off may grant to the end of its reservation; its successor counts that", t, func() {
		reservation := Reservation{Tenant: "t", Count: 10, Limit: limit, Term: 1, NowMs: 0}
		cutOff := NewOwner(NewState(testWindowMs), 0)
		cutOff.RequestGrant(Request{Tenant: "t", Limit: limit}, 0)
		cutOff.AddReservation(reservation)
		state := NewState(testWindowMs)
		state.Apply(reservation)
		successor := NewOwner(state, 0)
		last := int64(ReservationLifetimeMs - 1)
		So(cutOff.RequestGrant(Request{Tenant: "t", Limit: limit}, last).Verdict, ShouldEqual, Granted)
		So(cutOff.RequestGrant(Request{Tenant: "t", Limit: limit}, last+1).Verdict, ShouldEqual, ReservationNeeded)
		So(successor.RequestGrant(Request{Tenant: "t", Limit: limit}, last+testWindowMs).Verdict, ShouldEqual, Denied)
		So(successor.RequestGrant(Request{Tenant: "t", Limit: limit}, last+testWindowMs+2*grainMs).Verdict, ShouldEqual, ReservationNeeded)
	})
	Convey("an older generation's limit does not come back", t, func() {
		owner := filled(10)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: Limit{Generation: 2, RatePerSecond: 3}}, 50).Verdict, ShouldEqual, Granted)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: Limit{Generation: 1, RatePerSecond: 99}}, 50).Allowed, ShouldEqual, 15)
	})
	Convey("at the limit new programs leave room for those under way, and get it back", t, func() {
		owner := filled(10)
		for range 40 {
			owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "old"}, 50)
		}
		for range 6 {
			owner.ReturnGrant("t", 0)
		}
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "new"}, 60).Verdict, ShouldEqual, Granted)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "newer"}, 60).Verdict, ShouldEqual, Denied)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "old"}, 60).Verdict, ShouldEqual, Granted)
	})
	Convey("idle tenants and programs are forgotten", t, func() {
		owner := filled(3)
		owner.RequestGrant(Request{Tenant: "u", Limit: limit}, 2*programIdleMs)
		So(owner.tenants, ShouldNotContainKey, "t")
	})
}
