package quota

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/admission"
)

// queueWorld plays owners whose askers hold tickets and sees every grant.
type queueWorld struct {
	*world
	tolerance Tolerance
	tickets   int
	// asked holds the tickets that wait, as their gateways know them.
	asked []Request
	// granted tells when a ticket was granted, over all owners.
	tokens map[string]int
}

// elect makes a host the leader with the tolerance.
func (w *queueWorld) elect(host testHost) {
	w.world.elect(host)
	newest := w.owners[len(w.owners)-1]
	newest.owner = NewOwnerWithAdmission(w.state(), host.at(w.trueMs), admission.NewProgramKinds(), w.tolerance)
}

// allowed is the most that was allowed within the window, tolerance included.
func (w *queueWorld) allowed() int64 {
	most := w.world.allowed()
	return most + w.tolerance.beyond(most)
}

// counts notes a grant to a ticket and checks the window.
func (w *queueWorld) counts(ticket string) {
	w.tokens[ticket]++
	if w.tokens[ticket] > 1 {
		return
	}
	w.granted = append(w.granted, w.trueMs)
	count := int64(0)
	for _, at := range slices.Backward(w.granted) {
		if at <= w.trueMs-testWindowMs {
			break
		}
		count++
	}
	if allowed := w.allowed(); count > allowed {
		w.t.Fatalf("%d granted in the %d ms before %d, allowed %d", count, testWindowMs, w.trueMs, allowed)
	}
}

// put asks an owner for a ticket.
func (w *queueWorld) put(owner *testOwner, ask Request) {
	nowMs := owner.host.at(w.trueMs)
	w.resume(owner)
	decision := owner.owner.RequestGrant(ask, nowMs)
	switch decision.Verdict {
	case Granted:
		w.counts(ask.Ticket)
	case ReservationNeeded:
		if owner.pending == nil {
			reservation := owner.owner.NextReservation("t", 1, nowMs)
			reservation.Term = owner.term
			owner.pending = &reservation
		}
	case Waiting:
		w.asked = append(w.asked, ask)
	case Denied:
		if decision.RetryAfterMs <= 0 {
			w.t.Fatalf("denied and told to come back after %d ms", decision.RetryAfterMs)
		}
	}
}

func (w *queueWorld) resume(owner *testOwner) {
	nowMs := owner.host.at(w.trueMs)
	tickets, short := owner.owner.GrantQueued("t", nowMs)
	for _, ticket := range tickets {
		w.counts(ticket)
	}
	if short && owner.pending == nil {
		reservation := owner.owner.NextReservation("t", 0, nowMs)
		reservation.Term = owner.term
		owner.pending = &reservation
	}
}

// TestLimitHoldsWithQueuesProperty holds that no window of true time sees more grants than the
// limit with its tolerance, with requests that wait, ask again of other leaders, are cancelled
// and given back, whatever becomes of leaders and limits.
func TestLimitHoldsWithQueuesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &queueWorld{tokens: map[string]int{}, world: &world{t: t, limit: Limit{
			Generation: 1, RatePerSecond: float64(rapid.IntRange(1, 40).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 20).Draw(t, "burst")),
		}}}
		if rapid.Bool().Draw(t, "tolerant") {
			w.tolerance = Tolerance{Overage: 0.1, Slack: 20}
		}
		for range testHosts {
			w.hosts = append(w.hosts, testHost{
				offsetMs: rapid.Int64Range(0, 7_200_000).Draw(t, "offset"), driftPerMille: rapid.Float64Range(-1, 1).Draw(t, "drift"),
			})
		}
		w.elect(w.hosts[0])
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			owner := w.owners[len(w.owners)-1-rapid.IntRange(0, min(2, len(w.owners)-1)).Draw(t, "owner")]
			switch rapid.SampledFrom([]string{"ask", "ask", "ask", "again", "again", "resume", "commit", "commit", "wait", "wait", "pause", "cancel", "elect", "limit"}).Draw(t, "step") {
			case "ask":
				for range rapid.IntRange(1, 30).Draw(t, "times") {
					w.tickets++
					w.put(owner, Request{
						Tenant: "t", Limit: w.limit, Program: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "program")), Kind: "k",
						Ticket: fmt.Sprint(w.tickets), ContinuesProgram: rapid.Bool().Draw(t, "continues"), MaxWaitMs: rapid.Int64Range(0, 3000).Draw(t, "wait"),
					})
				}
			case "again":
				waiting := w.asked
				w.asked = nil
				for _, ask := range waiting {
					if w.tokens[ask.Ticket] == 0 {
						w.put(owner, ask)
					}
				}
			case "resume":
				w.resume(owner)
			case "commit":
				w.commit()
			case "wait":
				w.trueMs += rapid.Int64Range(1, 700).Draw(t, "ms")
			case "pause":
				w.trueMs += rapid.Int64Range(1000, 6000).Draw(t, "ms")
			case "cancel":
				if len(w.asked) > 0 {
					// Only what was never granted may be cancelled without a trace.
					if ticket := w.asked[0].Ticket; w.tokens[ticket] == 0 {
						owner.owner.Cancel("t", ticket)
						w.asked = w.asked[1:]
					}
				}
			case "elect":
				w.elect(w.hosts[rapid.IntRange(0, testHosts-1).Draw(t, "host")])
			case "limit":
				w.highest = append(w.highest, changedLimit{w.trueMs, w.limit.AllowedRequests(testWindowMs)})
				w.limit = Limit{Generation: w.limit.Generation + 1, RatePerSecond: float64(rapid.IntRange(1, 40).Draw(t, "rate"))}
			}
		}
	})
}

// TestQueueOrderProperty holds, while one owner leads, that requests which wait are granted in
// the order in which they were first asked for, that each is granted by the time it was told
// when it keeps asking, and that no new program begins while one waits, but one a window.
func TestQueueOrderProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Generation: 1, RatePerSecond: float64(rapid.IntRange(1, 20).Draw(t, "rate"))}
		owner := NewOwner(NewState(testWindowMs), 0)
		nowMs, tickets, begunMs := int64(10), 0, int64(0)
		type place struct{ askedMs, byMs int64 }
		waiting := map[string]place{}
		var order []string
		granted := func(ticket string) {
			known, waited := waiting[ticket]
			if !waited {
				return
			}
			if order[0] != ticket {
				t.Fatalf("%s granted at %d before %s", ticket, nowMs, order[0])
			}
			// One grain of the window and one step between two looks.
			if nowMs > known.byMs+100 {
				t.Fatalf("%s granted at %d, expected by %d", ticket, nowMs, known.byMs)
			}
			order = order[1:]
			delete(waiting, ticket)
		}
		resume := func() {
			got, short := owner.GrantQueued("t", nowMs)
			for _, ticket := range got {
				granted(ticket)
			}
			if short {
				owner.AddReservation(owner.NextReservation("t", 0, nowMs))
				got, _ = owner.GrantQueued("t", nowMs)
				for _, ticket := range got {
					granted(ticket)
				}
			}
		}
		put := func(ask Request) Decision {
			decision := owner.RequestGrant(ask, nowMs)
			if decision.Verdict == ReservationNeeded {
				owner.AddReservation(owner.NextReservation("t", 1, nowMs))
				decision = owner.RequestGrant(ask, nowMs)
			}
			return decision
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 60).Draw(t, "ms")
			resume()
			for _, ticket := range order {
				decision := put(Request{Tenant: "t", Limit: limit, Program: "old", ContinuesProgram: true, Ticket: ticket, MaxWaitMs: 20_000})
				if decision.Verdict != Waiting {
					t.Fatalf("%s: %v with a place in the queue", ticket, decision.Verdict)
				}
			}
			for range rapid.IntRange(0, 6).Draw(t, "times") {
				tickets++
				ask := Request{Tenant: "t", Limit: limit, Program: "old", Kind: "k", ContinuesProgram: true, Ticket: fmt.Sprint(tickets), MaxWaitMs: 20_000}
				if rapid.Bool().Draw(t, "new") {
					ask.Program, ask.ContinuesProgram = "new"+ask.Ticket, false
				}
				decision := put(ask)
				if decision.Verdict == Denied {
					continue
				}
				if !ask.ContinuesProgram {
					if len(order) > 0 && begunMs > 0 && nowMs-begunMs < testWindowMs {
						t.Fatalf("%s begins while %d wait, %d ms after the last", ask.Program, len(order), nowMs-begunMs)
					}
				}
				if decision.Verdict == Granted {
					if len(order) > 0 {
						t.Fatalf("%s granted at once while %d wait", ask.Ticket, len(order))
					}
					if !ask.ContinuesProgram {
						begunMs = nowMs
					}
					continue
				}
				waiting[ask.Ticket] = place{nowMs, nowMs + decision.QueuePosition.ExpectedWaitMs}
				order = append(order, ask.Ticket)
			}
		}
	})
}

// TestNoStarvationProperty holds that a new program begins at least once in two windows and the
// time that a place in the queue takes, however much programs under way ask for.
func TestNoStarvationProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Generation: 1, RatePerSecond: float64(rapid.IntRange(1, 20).Draw(t, "rate"))}
		owner := NewOwner(NewState(testWindowMs), 0)
		loops := rapid.IntRange(1, 5).Draw(t, "loops")
		lastMs, tickets, held := int64(0), 0, map[string]bool{}
		ask := func(program string, continues bool, nowMs int64) {
			tickets++
			request := Request{Tenant: "t", Limit: limit, Program: program, Kind: "k", ContinuesProgram: continues, Ticket: fmt.Sprint(tickets), MaxWaitMs: 60_000}
			decision := owner.RequestGrant(request, nowMs)
			if decision.Verdict == ReservationNeeded {
				owner.AddReservation(owner.NextReservation("t", 1, nowMs))
				decision = owner.RequestGrant(request, nowMs)
			}
			if !continues && decision.Verdict != Denied {
				lastMs = nowMs + decision.QueuePosition.ExpectedWaitMs
			}
			if decision.Verdict == Waiting {
				held[request.Ticket] = true
			}
		}
		for nowMs := int64(1); nowMs < 30_000; nowMs += 200 {
			for {
				got, short := owner.GrantQueued("t", nowMs)
				for _, ticket := range got {
					delete(held, ticket)
				}
				if !short {
					break
				}
				owner.AddReservation(owner.NextReservation("t", 0, nowMs))
			}
			if nowMs%400 == 1 {
				for _, ticket := range slices.Sorted(maps.Keys(held)) {
					owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "loop", ContinuesProgram: true, Ticket: ticket, MaxWaitMs: 60_000}, nowMs)
				}
			}
			for range loops {
				if len(held) < 20 {
					ask("loop", true, nowMs)
				}
			}
			ask(fmt.Sprint("new", nowMs), false, nowMs)
			if nowMs-lastMs > 2*testWindowMs {
				t.Fatalf("no new program from %d to %d ms", lastMs, nowMs)
			}
		}
	})
}

// TestWithinTheLimitProperty holds that programs of a known kind, of a tenant that alone would
// ask for less than nine tenths of its limit in any window, are neither denied nor made to wait.
func TestWithinTheLimitProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests, gapMs := rapid.IntRange(2, 20).Draw(t, "requests"), rapid.Int64Range(50, 400).Draw(t, "gap")
		owner := NewOwner(NewState(testWindowMs), 0)
		nowMs, tickets := int64(1), 0
		play := func(name string, limit Limit, everyMs int64, programs int) {
			type coming struct {
				program string
				atMs    int64
				left    int
			}
			var all []coming
			for number := range programs {
				all = append(all, coming{fmt.Sprint(name, number), nowMs + int64(number)*everyMs, requests})
			}
			for len(all) > 0 {
				slices.SortStableFunc(all, func(a, b coming) int { return int(a.atMs - b.atMs) })
				next := all[0]
				nowMs = max(nowMs, next.atMs)
				tickets++
				ask := Request{
					Tenant: name, Limit: limit, Program: next.program, Kind: "k", Ticket: fmt.Sprint(tickets), MaxWaitMs: 3000, ContinuesProgram: next.left < requests,
				}
				decision := owner.RequestGrant(ask, nowMs)
				if decision.Verdict == ReservationNeeded {
					owner.AddReservation(owner.NextReservation(name, 1, nowMs))
					decision = owner.RequestGrant(ask, nowMs)
				}
				if decision.Verdict != Granted {
					t.Fatalf("%s: %v at %d of %d, %+v", next.program, decision.Verdict, decision.Used, decision.Allowed, decision.ProgramAdmission)
				}
				all[0].left--
				all[0].atMs += gapMs
				if all[0].left == 0 {
					all = all[1:]
				}
			}
		}
		play("teacher", Limit{Generation: 1, RatePerSecond: 1e6}, gapMs, 120)
		nowMs += 60_000
		everyMs := rapid.Int64Range(100, 2000).Draw(t, "every")
		// What begins at regular intervals asks for this much in a window at the most.
		perWindow := float64(requests) * (float64(testWindowMs)/float64(everyMs) + 1)
		play("t", Limit{Generation: 1, RatePerSecond: perWindow / 0.9 / testWindowMs * 1000}, everyMs, 60)
	})
}

func TestQueue(t *testing.T) {
	limit := Limit{Generation: 1, RatePerSecond: 2}
	filled := func() *Owner {
		owner := NewOwner(NewState(testWindowMs), 0)
		owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 0)
		owner.AddReservation(Reservation{Tenant: "t", Count: 100, Limit: limit, NowMs: 0})
		for number := range 10 {
			owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "p", ContinuesProgram: true, Ticket: fmt.Sprint("first", number)}, 0)
		}
		return owner
	}
	ask := func(ticket string, waitMs, waitedMs int64) Request {
		return Request{Tenant: "t", Limit: limit, Program: "p", ContinuesProgram: true, Ticket: ticket, MaxWaitMs: waitMs, WaitedMs: waitedMs}
	}
	Convey("a request for which there will be room too late is denied at once", t, func() {
		owner := filled()
		So(owner.RequestGrant(ask("a", 3000, 0), 50).Verdict, ShouldEqual, Denied)
		So(owner.RequestGrant(ask("b", 6000, 0), 50).Verdict, ShouldEqual, Waiting)
	})
	Convey("a question whose answer was lost gets the same grant again", t, func() {
		owner := filled()
		again := owner.RequestGrant(ask("first3", 0, 0), 400)
		So(again.Verdict, ShouldEqual, Granted)
		So(again.GrantedMs, ShouldEqual, 0)
	})
	Convey("an owner that is new keeps the order by how long each has waited", t, func() {
		owner := filled()
		owner.RequestGrant(ask("young", 20_000, 100), 200)
		owner.RequestGrant(ask("old", 20_000, 900), 200)
		So(owner.tenants["t"].queue[0].ask.Ticket, ShouldEqual, "old")
	})
	Convey("a cancelled wait and a cancelled grant give their place back", t, func() {
		owner := filled()
		owner.RequestGrant(ask("a", 20_000, 0), 50)
		owner.RequestGrant(ask("b", 20_000, 0), 50)
		owner.Cancel("t", "a")
		So(owner.tenants["t"].queue, ShouldHaveLength, 1)
		owner.Cancel("t", "first0")
		owner.Cancel("t", "first0")
		tickets, _ := owner.GrantQueued("t", 100)
		So(tickets, ShouldResemble, []string{"b"})
		So(owner.tenants["t"].used(), ShouldEqual, 10)
	})
	Convey("a place is lost when its gateway is not heard, and a grant that nobody fetches is taken back", t, func() {
		owner := filled()
		owner.RequestGrant(ask("gone", 20_000, 0), 50)
		owner.GrantQueued("t", 50+placeKeptMs+1)
		So(owner.tenants["t"].queue, ShouldBeEmpty)
		owner = filled()
		owner.RequestGrant(ask("gone", 20_000, 0), 50)
		owner.Cancel("t", "first0")
		tickets, _ := owner.GrantQueued("t", 100)
		So(tickets, ShouldResemble, []string{"gone"})
		owner.GrantQueued("t", 100+placeKeptMs+1)
		So(owner.tenants["t"].used(), ShouldEqual, 9)
	})
	Convey("with a lower limit those who wait are told when their time has become too late", t, func() {
		owner := filled()
		So(owner.RequestGrant(ask("a", 5500, 0), 50).Verdict, ShouldEqual, Waiting)
		lower := ask("a", 5300, 250)
		lower.Limit = Limit{Generation: 2, RatePerSecond: 0.1}
		So(owner.RequestGrant(lower, 300).Verdict, ShouldEqual, Denied)
		So(owner.tenants["t"].queue, ShouldBeEmpty)
	})
	Convey("only programs under way use the tolerance", t, func() {
		owner := NewOwnerWithAdmission(NewState(testWindowMs), 0, admission.NewProgramKinds(), Tolerance{Overage: 0.2, Slack: 4})
		owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 0)
		owner.AddReservation(Reservation{Tenant: "t", Count: 100, Limit: limit, NowMs: 0})
		granted := 0
		for number := range 20 {
			if owner.RequestGrant(ask(fmt.Sprint(number), 0, 0), 0).Verdict == Granted {
				granted++
			}
		}
		So(granted, ShouldEqual, 13)
		fresh := Request{Tenant: "t", Limit: limit, Program: "new", Kind: "k", Ticket: "n", MaxWaitMs: 3000}
		owner.tenants["t"].granted.remove(0)
		So(owner.RequestGrant(fresh, 100).Verdict, ShouldEqual, Denied)
	})
	Convey("a program of which nothing ran has not begun", t, func() {
		owner := NewOwner(NewState(testWindowMs), 0)
		owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 0)
		owner.AddReservation(Reservation{Tenant: "t", Count: 100, Limit: limit, NowMs: 0})
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "new", Kind: "k", Ticket: "n"}, 10).Verdict, ShouldEqual, Granted)
		So(owner.tenants["t"].begun.IsInProgress("new"), ShouldBeTrue)
		owner.ReturnGrant("t", 10)
		owner.RecordNotRun("t", "new")
		So(owner.tenants["t"].begun.IsInProgress("new"), ShouldBeFalse)
	})
}
