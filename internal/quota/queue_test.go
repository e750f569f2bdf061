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

// queueModel simulates owners whose requests carry tickets, and observes every grant.
type queueModel struct {
	*ownersModel
	tolerance Tolerance
	tickets   int
	// waiting holds the queued requests as their gateways know them.
	waiting []Request
	// grantCounts counts the grants of each ticket over all owners.
	grantCounts map[string]int
}

// elect makes a host the leader of the next term, with the tolerance.
func (m *queueModel) elect(host testHost) {
	m.ownersModel.elect(host)
	newest := m.owners[len(m.owners)-1]
	newest.owner = NewOwnerWithAdmission(m.state(), host.localMs(m.trueMs), admission.NewProgramKinds(), m.tolerance)
}

// allowed returns the highest limit that applied within the window, tolerance included.
func (m *queueModel) allowed() int64 {
	limit := m.ownersModel.allowed()
	return limit + m.tolerance.extraRequests(limit)
}

// recordGrant records a grant to a ticket and checks the window. A ticket counts once, even if
// several owners grant it.
func (m *queueModel) recordGrant(ticket string) {
	m.grantCounts[ticket]++
	if m.grantCounts[ticket] > 1 {
		return
	}
	m.grantedMs = append(m.grantedMs, m.trueMs)
	count := int64(0)
	for _, at := range slices.Backward(m.grantedMs) {
		if at <= m.trueMs-testWindowMs {
			break
		}
		count++
	}
	if allowed := m.allowed(); count > allowed {
		m.t.Fatalf("%d requests granted in the %d ms before %d, allowed %d", count, testWindowMs, m.trueMs, allowed)
	}
}

// requestGrant sends a request with a ticket to an owner.
func (m *queueModel) requestGrant(owner *testOwner, request Request) {
	nowMs := owner.host.localMs(m.trueMs)
	m.grantQueued(owner)
	decision := owner.owner.RequestGrant(request, nowMs)
	switch decision.Verdict {
	case Granted:
		m.recordGrant(request.Ticket)
	case ReservationNeeded:
		if owner.pending == nil {
			reservation := owner.owner.NextReservation("t", 1, nowMs)
			reservation.Term = owner.term
			owner.pending = &reservation
		}
	case Waiting:
		m.waiting = append(m.waiting, request)
	case Denied:
		if decision.RetryAfterMs <= 0 {
			m.t.Fatalf("denied with a retry time of %d ms, want more than 0", decision.RetryAfterMs)
		}
	}
}

func (m *queueModel) grantQueued(owner *testOwner) {
	nowMs := owner.host.localMs(m.trueMs)
	tickets, reservationNeeded := owner.owner.GrantQueued("t", nowMs)
	for _, ticket := range tickets {
		m.recordGrant(ticket)
	}
	if reservationNeeded && owner.pending == nil {
		reservation := owner.owner.NextReservation("t", 0, nowMs)
		reservation.Term = owner.term
		owner.pending = &reservation
	}
}

// TestLimitHoldsWithQueuesProperty checks that the grants in any window of true time stay within
// the limit and its tolerance, while requests wait, are repeated to other leaders and are
// cancelled, and leaders and limits change.
func TestLimitHoldsWithQueuesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{grantCounts: map[string]int{}, ownersModel: &ownersModel{t: t, limit: Limit{
			Generation: 1, RatePerSecond: float64(rapid.IntRange(1, 40).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 20).Draw(t, "burst")),
		}}}
		if rapid.Bool().Draw(t, "tolerant") {
			m.tolerance = Tolerance{OverageFraction: 0.1, SlackRequests: 20}
		}
		for range testHosts {
			m.hosts = append(m.hosts, testHost{
				offsetMs: rapid.Int64Range(0, 7_200_000).Draw(t, "offset"), driftPerMille: rapid.Float64Range(-1, 1).Draw(t, "drift"),
			})
		}
		m.elect(m.hosts[0])
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			owner := m.owners[len(m.owners)-1-rapid.IntRange(0, min(2, len(m.owners)-1)).Draw(t, "owner")]
			switch rapid.SampledFrom([]string{"request", "request", "request", "repeat", "repeat", "grant queued", "commit", "commit", "wait", "wait", "pause", "cancel", "elect", "limit"}).Draw(t, "step") {
			case "request":
				for range rapid.IntRange(1, 30).Draw(t, "times") {
					m.tickets++
					m.requestGrant(owner, Request{
						Tenant: "t", Limit: m.limit, Program: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "program")), Kind: "k",
						Ticket: fmt.Sprint(m.tickets), ContinuesProgram: rapid.Bool().Draw(t, "continues"), MaxWaitMs: rapid.Int64Range(0, 3000).Draw(t, "wait"),
					})
				}
			case "repeat":
				waiting := m.waiting
				m.waiting = nil
				for _, request := range waiting {
					if m.grantCounts[request.Ticket] == 0 {
						m.requestGrant(owner, request)
					}
				}
			case "grant queued":
				m.grantQueued(owner)
			case "commit":
				m.commit()
			case "wait":
				m.trueMs += rapid.Int64Range(1, 700).Draw(t, "ms")
			case "pause":
				m.trueMs += rapid.Int64Range(1000, 6000).Draw(t, "ms")
			case "cancel":
				if len(m.waiting) > 0 {
					// Cancelling a granted ticket revokes a grant that the model has counted
					// already, so only tickets without a grant are cancelled here.
					if ticket := m.waiting[0].Ticket; m.grantCounts[ticket] == 0 {
						owner.owner.Cancel("t", ticket)
						m.waiting = m.waiting[1:]
					}
				}
			case "elect":
				m.elect(m.hosts[rapid.IntRange(0, testHosts-1).Draw(t, "host")])
			case "limit":
				m.previousLimits = append(m.previousLimits, changedLimit{m.trueMs, m.limit.AllowedRequests(testWindowMs)})
				m.limit = Limit{Generation: m.limit.Generation + 1, RatePerSecond: float64(rapid.IntRange(1, 40).Draw(t, "rate"))}
			}
		}
	})
}

// TestQueueOrderProperty checks under a single owner that queued requests are granted in the
// order in which they were first requested, that each is granted by its expected time if it is
// repeated, and that while a request is queued no new program is admitted within a window of a
// new program that was granted at once.
func TestQueueOrderProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Generation: 1, RatePerSecond: float64(rapid.IntRange(1, 20).Draw(t, "rate"))}
		owner := NewOwner(NewState(testWindowMs), 0)
		nowMs, tickets, lastStartMs := int64(10), 0, int64(0)
		type expectedGrant struct{ requestedMs, latestMs int64 }
		waiting := map[string]expectedGrant{}
		var order []string
		checkGrant := func(ticket string) {
			expected, waited := waiting[ticket]
			if !waited {
				return
			}
			if order[0] != ticket {
				t.Fatalf("ticket %s granted at %d before ticket %s", ticket, nowMs, order[0])
			}
			// The margin covers one bucket of the window and one step of the test.
			if nowMs > expected.latestMs+100 {
				t.Fatalf("ticket %s granted at %d, want by %d", ticket, nowMs, expected.latestMs)
			}
			order = order[1:]
			delete(waiting, ticket)
		}
		grantQueued := func() {
			grantedTickets, reservationNeeded := owner.GrantQueued("t", nowMs)
			for _, ticket := range grantedTickets {
				checkGrant(ticket)
			}
			if reservationNeeded {
				owner.AddReservation(owner.NextReservation("t", 0, nowMs))
				grantedTickets, _ = owner.GrantQueued("t", nowMs)
				for _, ticket := range grantedTickets {
					checkGrant(ticket)
				}
			}
		}
		requestGrant := func(request Request) Decision {
			decision := owner.RequestGrant(request, nowMs)
			if decision.Verdict == ReservationNeeded {
				owner.AddReservation(owner.NextReservation("t", 1, nowMs))
				decision = owner.RequestGrant(request, nowMs)
			}
			return decision
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 60).Draw(t, "ms")
			grantQueued()
			for _, ticket := range order {
				decision := requestGrant(Request{Tenant: "t", Limit: limit, Program: "old", ContinuesProgram: true, Ticket: ticket, MaxWaitMs: 20_000})
				if decision.Verdict != Waiting {
					t.Fatalf("ticket %s: verdict %v, want waiting for a queued request", ticket, decision.Verdict)
				}
			}
			for range rapid.IntRange(0, 6).Draw(t, "times") {
				tickets++
				request := Request{Tenant: "t", Limit: limit, Program: "old", Kind: "k", ContinuesProgram: true, Ticket: fmt.Sprint(tickets), MaxWaitMs: 20_000}
				if rapid.Bool().Draw(t, "new") {
					request.Program, request.ContinuesProgram = "new"+request.Ticket, false
				}
				decision := requestGrant(request)
				if decision.Verdict == Denied {
					continue
				}
				if !request.ContinuesProgram {
					if len(order) > 0 && lastStartMs > 0 && nowMs-lastStartMs < testWindowMs {
						t.Fatalf("%s starts while %d requests wait, %d ms after the last start", request.Program, len(order), nowMs-lastStartMs)
					}
				}
				if decision.Verdict == Granted {
					if len(order) > 0 {
						t.Fatalf("ticket %s granted at once while %d requests wait", request.Ticket, len(order))
					}
					if !request.ContinuesProgram {
						lastStartMs = nowMs
					}
					continue
				}
				waiting[request.Ticket] = expectedGrant{nowMs, nowMs + decision.QueuePosition.ExpectedWaitMs}
				order = append(order, request.Ticket)
			}
		}
	})
}

// TestNoStarvationProperty checks that a new program starts at least once in two windows plus the
// expected wait of its queued request, whatever the demand of the programs in progress.
func TestNoStarvationProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Generation: 1, RatePerSecond: float64(rapid.IntRange(1, 20).Draw(t, "rate"))}
		owner := NewOwner(NewState(testWindowMs), 0)
		continuingRequests := rapid.IntRange(1, 5).Draw(t, "loops")
		lastStartMs, tickets, queued := int64(0), 0, map[string]bool{}
		sendRequest := func(program string, continues bool, nowMs int64) {
			tickets++
			request := Request{Tenant: "t", Limit: limit, Program: program, Kind: "k", ContinuesProgram: continues, Ticket: fmt.Sprint(tickets), MaxWaitMs: 60_000}
			decision := owner.RequestGrant(request, nowMs)
			if decision.Verdict == ReservationNeeded {
				owner.AddReservation(owner.NextReservation("t", 1, nowMs))
				decision = owner.RequestGrant(request, nowMs)
			}
			if !continues && decision.Verdict != Denied {
				lastStartMs = nowMs + decision.QueuePosition.ExpectedWaitMs
			}
			if decision.Verdict == Waiting {
				queued[request.Ticket] = true
			}
		}
		for nowMs := int64(1); nowMs < 30_000; nowMs += 200 {
			for {
				grantedTickets, reservationNeeded := owner.GrantQueued("t", nowMs)
				for _, ticket := range grantedTickets {
					delete(queued, ticket)
				}
				if !reservationNeeded {
					break
				}
				owner.AddReservation(owner.NextReservation("t", 0, nowMs))
			}
			if nowMs%400 == 1 {
				for _, ticket := range slices.Sorted(maps.Keys(queued)) {
					owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "loop", ContinuesProgram: true, Ticket: ticket, MaxWaitMs: 60_000}, nowMs)
				}
			}
			for range continuingRequests {
				if len(queued) < 20 {
					sendRequest("loop", true, nowMs)
				}
			}
			sendRequest(fmt.Sprint("new", nowMs), false, nowMs)
			if nowMs-lastStartMs > 2*testWindowMs {
				t.Fatalf("no new program started from %d to %d ms", lastStartMs, nowMs)
			}
		}
	})
}

// TestWithinTheLimitProperty checks that programs of a known kind are neither denied nor queued
// if their tenant's demand stays within nine tenths of its limit in any window.
func TestWithinTheLimitProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests, gapMs := rapid.IntRange(2, 20).Draw(t, "requests"), rapid.Int64Range(50, 400).Draw(t, "gap")
		owner := NewOwner(NewState(testWindowMs), 0)
		nowMs, tickets := int64(1), 0
		runPrograms := func(name string, limit Limit, everyMs int64, programs int) {
			type pendingProgram struct {
				program      string
				atMs         int64
				requestsLeft int
			}
			var pending []pendingProgram
			for number := range programs {
				pending = append(pending, pendingProgram{fmt.Sprint(name, number), nowMs + int64(number)*everyMs, requests})
			}
			for len(pending) > 0 {
				slices.SortStableFunc(pending, func(a, b pendingProgram) int { return int(a.atMs - b.atMs) })
				next := pending[0]
				nowMs = max(nowMs, next.atMs)
				tickets++
				request := Request{
					Tenant: name, Limit: limit, Program: next.program, Kind: "k", Ticket: fmt.Sprint(tickets), MaxWaitMs: 3000, ContinuesProgram: next.requestsLeft < requests,
				}
				decision := owner.RequestGrant(request, nowMs)
				if decision.Verdict == ReservationNeeded {
					owner.AddReservation(owner.NextReservation(name, 1, nowMs))
					decision = owner.RequestGrant(request, nowMs)
				}
				if decision.Verdict != Granted {
					t.Fatalf("%s: verdict %v at %d of %d requests, admission %+v", next.program, decision.Verdict, decision.Used, decision.Allowed, decision.ProgramAdmission)
				}
				pending[0].requestsLeft--
				pending[0].atMs += gapMs
				if pending[0].requestsLeft == 0 {
					pending = pending[1:]
				}
			}
		}
		runPrograms("training", Limit{Generation: 1, RatePerSecond: 1e6}, gapMs, 120)
		nowMs += 60_000
		everyMs := rapid.Int64Range(100, 2000).Draw(t, "every")
		// This is the maximum demand within a window of programs that start at regular intervals.
		perWindow := float64(requests) * (float64(testWindowMs)/float64(everyMs) + 1)
		runPrograms("t", Limit{Generation: 1, RatePerSecond: perWindow / 0.9 / testWindowMs * 1000}, everyMs, 60)
	})
}

func TestQueue(t *testing.T) {
	limit := Limit{Generation: 1, RatePerSecond: 2}
	ownerAtLimit := func() *Owner {
		owner := NewOwner(NewState(testWindowMs), 0)
		owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 0)
		owner.AddReservation(Reservation{Tenant: "t", Count: 100, Limit: limit, NowMs: 0})
		for number := range 10 {
			owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "p", ContinuesProgram: true, Ticket: fmt.Sprint("first", number)}, 0)
		}
		return owner
	}
	newRequest := func(ticket string, waitMs, waitedMs int64) Request {
		return Request{Tenant: "t", Limit: limit, Program: "p", ContinuesProgram: true, Ticket: ticket, MaxWaitMs: waitMs, WaitedMs: waitedMs}
	}
	Convey("a request whose headroom would come too late is denied at once", t, func() {
		owner := ownerAtLimit()
		So(owner.RequestGrant(newRequest("a", 3000, 0), 50).Verdict, ShouldEqual, Denied)
		So(owner.RequestGrant(newRequest("b", 6000, 0), 50).Verdict, ShouldEqual, Waiting)
	})
	Convey("a repeated request whose first answer was lost gets the same grant", t, func() {
		owner := ownerAtLimit()
		again := owner.RequestGrant(newRequest("first3", 0, 0), 400)
		So(again.Verdict, ShouldEqual, Granted)
		So(again.GrantedMs, ShouldEqual, 0)
	})
	Convey("a new owner orders queued requests by how long they have waited", t, func() {
		owner := ownerAtLimit()
		owner.RequestGrant(newRequest("young", 20_000, 100), 200)
		owner.RequestGrant(newRequest("old", 20_000, 900), 200)
		So(owner.tenants["t"].queue[0].request.Ticket, ShouldEqual, "old")
	})
	Convey("a cancelled request leaves the queue, and a grant that is cancelled twice frees headroom once", t, func() {
		owner := ownerAtLimit()
		owner.RequestGrant(newRequest("a", 20_000, 0), 50)
		owner.RequestGrant(newRequest("b", 20_000, 0), 50)
		owner.Cancel("t", "a")
		So(owner.tenants["t"].queue, ShouldHaveLength, 1)
		owner.Cancel("t", "first0")
		owner.Cancel("t", "first0")
		tickets, _ := owner.GrantQueued("t", 100)
		So(tickets, ShouldResemble, []string{"b"})
		So(owner.tenants["t"].used(), ShouldEqual, 10)
	})
	Convey("a queued request expires if its gateway stops repeating it, and a grant that no gateway fetches is revoked", t, func() {
		owner := ownerAtLimit()
		owner.RequestGrant(newRequest("gone", 20_000, 0), 50)
		owner.GrantQueued("t", 50+queueEntryTimeoutMs+1)
		So(owner.tenants["t"].queue, ShouldBeEmpty)
		owner = ownerAtLimit()
		owner.RequestGrant(newRequest("gone", 20_000, 0), 50)
		owner.Cancel("t", "first0")
		tickets, _ := owner.GrantQueued("t", 100)
		So(tickets, ShouldResemble, []string{"gone"})
		owner.GrantQueued("t", 100+queueEntryTimeoutMs+1)
		So(owner.tenants["t"].used(), ShouldEqual, 9)
	})
	Convey("a queued request is denied once a lower limit makes its grant too late", t, func() {
		owner := ownerAtLimit()
		So(owner.RequestGrant(newRequest("a", 5500, 0), 50).Verdict, ShouldEqual, Waiting)
		lower := newRequest("a", 5300, 250)
		lower.Limit = Limit{Generation: 2, RatePerSecond: 0.1}
		So(owner.RequestGrant(lower, 300).Verdict, ShouldEqual, Denied)
		So(owner.tenants["t"].queue, ShouldBeEmpty)
	})
	Convey("only programs in progress use the tolerance", t, func() {
		owner := NewOwnerWithAdmission(NewState(testWindowMs), 0, admission.NewProgramKinds(), Tolerance{OverageFraction: 0.2, SlackRequests: 4})
		owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 0)
		owner.AddReservation(Reservation{Tenant: "t", Count: 100, Limit: limit, NowMs: 0})
		granted := 0
		for number := range 20 {
			if owner.RequestGrant(newRequest(fmt.Sprint(number), 0, 0), 0).Verdict == Granted {
				granted++
			}
		}
		So(granted, ShouldEqual, 13)
		newProgramRequest := Request{Tenant: "t", Limit: limit, Program: "new", Kind: "k", Ticket: "n", MaxWaitMs: 3000}
		owner.tenants["t"].granted.remove(0)
		So(owner.RequestGrant(newProgramRequest, 100).Verdict, ShouldEqual, Denied)
	})
	Convey("a program of which no request ran is not in progress", t, func() {
		owner := NewOwner(NewState(testWindowMs), 0)
		owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 0)
		owner.AddReservation(Reservation{Tenant: "t", Count: 100, Limit: limit, NowMs: 0})
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "new", Kind: "k", Ticket: "n"}, 10).Verdict, ShouldEqual, Granted)
		So(owner.tenants["t"].programs.IsInProgress("new"), ShouldBeTrue)
		owner.ReturnGrant("t", 10)
		owner.RecordNotRun("t", "new")
		So(owner.tenants["t"].programs.IsInProgress("new"), ShouldBeFalse)
	})
}
