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

// testHost is a machine that may lead the group. Its clock runs at its own rate.
type testHost struct {
	offsetMs int64
	// driftPerMille is how much faster than true time the clock runs, in thousandths.
	driftPerMille float64
}

func (h testHost) localMs(trueMs int64) int64 {
	return h.offsetMs + trueMs + int64(float64(trueMs)*h.driftPerMille/1000)
}

// testOwner is an owner that leads or has led the group in a term.
type testOwner struct {
	host  testHost
	term  uint64
	owner *Owner
	// pending is a reservation that was proposed and is neither committed nor lost.
	pending *Reservation
}

// ownersModel simulates the owners of a group and observes every grant.
type ownersModel struct {
	t      *rapid.T
	trueMs int64
	hosts  []testHost
	log    []Reservation
	// owners holds the owners that may still grant requests, newest last.
	owners    []*testOwner
	grantedMs []int64
	limit     Limit
	// previousLimits holds the earlier limits with the times at which they were replaced.
	previousLimits []changedLimit
}

type changedLimit struct{ atMs, allowed int64 }

func (m *ownersModel) state() *State {
	state := NewState(testWindowMs)
	for _, reservation := range m.log {
		state.Apply(reservation)
	}
	return state
}

// elect makes a host the leader of the next term. Its state holds all committed reservations.
func (m *ownersModel) elect(host testHost) {
	state := m.state()
	if len(m.log) > 0 && rapid.Bool().Draw(m.t, "from a snapshot") {
		raw, err := state.Snapshot()
		if err != nil {
			m.t.Fatal(err)
		}
		state = NewState(testWindowMs)
		if err := state.Restore(raw); err != nil {
			m.t.Fatal(err)
		}
	}
	term := uint64(1)
	if len(m.owners) > 0 {
		term = m.owners[len(m.owners)-1].term + 1
	}
	for _, earlier := range m.owners {
		earlier.pending = nil
	}
	m.owners = append(m.owners, &testOwner{host: host, term: term, owner: NewOwner(state, host.localMs(m.trueMs))})
}

// requestGrant sends a request to an owner and checks the grants against the limit.
func (m *ownersModel) requestGrant(owner *testOwner, limit Limit, program string) Decision {
	nowMs := owner.host.localMs(m.trueMs)
	decision := owner.owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: program}, nowMs)
	switch {
	case decision.Verdict == Granted:
		m.grantedMs = append(m.grantedMs, m.trueMs)
		m.checkWindow()
	case decision.Verdict == ReservationNeeded && owner.pending == nil:
		reservation := owner.owner.NextReservation("t", rapid.IntRange(1, 5).Draw(m.t, "waiting"), nowMs)
		reservation.Term = owner.term
		owner.pending = &reservation
	case decision.Verdict == Denied && decision.RetryAfterMs <= 0:
		m.t.Fatalf("denied with a retry time of %d ms, want more than 0", decision.RetryAfterMs)
	}
	return decision
}

// commit commits the pending reservation of the newest owner. Only the leader of the newest term
// can commit.
func (m *ownersModel) commit() {
	owner := m.owners[len(m.owners)-1]
	if owner.pending == nil {
		return
	}
	m.log = append(m.log, *owner.pending)
	owner.owner.AddReservation(*owner.pending)
	owner.pending = nil
}

// allowed returns the highest limit that applied at any time within the window.
func (m *ownersModel) allowed() int64 {
	maxRequests := m.limit.AllowedRequests(testWindowMs)
	for _, changed := range m.previousLimits {
		// An owner that is cut off keeps its limit until its reservations expire.
		if changed.atMs > m.trueMs-testWindowMs-2*ReservationLifetimeMs {
			maxRequests = max(maxRequests, changed.allowed)
		}
	}
	return maxRequests
}

func (m *ownersModel) checkWindow() {
	count := int64(0)
	for _, at := range slices.Backward(m.grantedMs) {
		if at <= m.trueMs-testWindowMs {
			break
		}
		count++
	}
	if allowed := m.allowed(); count > allowed {
		m.t.Fatalf("%d requests granted in the %d ms before %d, allowed %d; log %+v", count, testWindowMs, m.trueMs, allowed, m.log)
	}
}

// TestLimitHoldsProperty checks that the grants in any window of true time stay within the limit,
// whatever happens to leaders: they are cut off but still grant, pause, are replaced by hosts
// whose clocks differ by hours and drift by 0.1%, and are restored from snapshots. Limits rise
// and fall meanwhile.
func TestLimitHoldsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ownersModel{t: t, limit: Limit{
			Generation: 1, RatePerSecond: float64(rapid.IntRange(1, 40).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 20).Draw(t, "burst")),
		}}
		for range testHosts {
			m.hosts = append(m.hosts, testHost{
				offsetMs: rapid.Int64Range(0, 7_200_000).Draw(t, "offset"), driftPerMille: rapid.Float64Range(-1, 1).Draw(t, "drift"),
			})
		}
		m.elect(m.hosts[0])
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"request", "request", "request", "request", "request", "commit", "commit", "wait", "wait", "pause", "elect", "limit"}).Draw(t, "step") {
			case "request":
				owner := m.owners[len(m.owners)-1-rapid.IntRange(0, min(2, len(m.owners)-1)).Draw(t, "owner")]
				for range rapid.IntRange(1, 30).Draw(t, "times") {
					m.requestGrant(owner, m.limit, fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "program")))
				}
			case "commit":
				m.commit()
			case "wait":
				m.trueMs += rapid.Int64Range(1, 700).Draw(t, "ms")
			case "pause":
				m.trueMs += rapid.Int64Range(1000, 6000).Draw(t, "ms")
			case "elect":
				m.elect(m.hosts[rapid.IntRange(0, testHosts-1).Draw(t, "host")])
			case "limit":
				m.previousLimits = append(m.previousLimits, changedLimit{m.trueMs, m.limit.AllowedRequests(testWindowMs)})
				m.limit = Limit{Generation: m.limit.Generation + 1, RatePerSecond: float64(rapid.IntRange(1, 40).Draw(t, "rate"))}
			}
		}
	})
}

// TestBelowTheLimitProperty checks, while one owner leads, that no request is denied if the
// demand in any window is at most nine tenths of the limit.
func TestBelowTheLimitProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ownersModel{t: t, limit: Limit{Generation: 1, RatePerSecond: float64(rapid.IntRange(4, 40).Draw(t, "rate")), Burst: 5}}
		m.elect(testHost{offsetMs: rapid.Int64Range(0, 1000).Draw(t, "offset")})
		maxDemand := m.limit.AllowedRequests(testWindowMs) * 9 / 10
		var requestedMs []int64
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			m.trueMs += rapid.Int64Range(0, 400).Draw(t, "ms")
			requestedMs = slices.DeleteFunc(requestedMs, func(at int64) bool { return at <= m.trueMs-testWindowMs-bucketMs-clockDriftMarginMs })
			for range rapid.Int64Range(0, maxDemand-int64(len(requestedMs))).Draw(t, "times") {
				decision := m.requestGrant(m.owners[0], m.limit, "p")
				if decision.Verdict == ReservationNeeded {
					m.commit()
					decision = m.requestGrant(m.owners[0], m.limit, "p")
				}
				if decision.Verdict != Granted {
					t.Fatalf("verdict %v at %d of %d requests", decision.Verdict, decision.Used, decision.Allowed)
				}
				requestedMs = append(requestedMs, m.trueMs)
			}
		}
	})
}

func TestOwner(t *testing.T) {
	limit := Limit{Generation: 1, RatePerSecond: 2}
	ownerWithGrants := func(count int) *Owner {
		owner := NewOwner(NewState(testWindowMs), 0)
		owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 0)
		owner.AddReservation(Reservation{Tenant: "t", Count: 100, Limit: limit, NowMs: 0})
		for range count {
			owner.RequestGrant(Request{Tenant: "t", Limit: limit, Program: "old"}, 0)
		}
		return owner
	}
	Convey("a returned grant no longer counts, and returning an unknown grant changes nothing", t, func() {
		owner := ownerWithGrants(10)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 50).Verdict, ShouldEqual, Denied)
		owner.ReturnGrant("t", 0)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 50).Verdict, ShouldEqual, Granted)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 50).Verdict, ShouldEqual, Denied)
		owner.ReturnGrant("nobody", 0)
		owner.ReturnGrant("t", 99_999)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 50).Verdict, ShouldEqual, Denied)
	})
	Convey("requests denied together get retry times spaced at the limit's rate", t, func() {
		owner := ownerWithGrants(10)
		var retryAfterMs []int64
		for range 3 {
			retryAfterMs = append(retryAfterMs, owner.RequestGrant(Request{Tenant: "t", Limit: limit}, 50).RetryAfterMs)
		}
		So(retryAfterMs[1]-retryAfterMs[0], ShouldEqual, 500)
		So(retryAfterMs[2]-retryAfterMs[1], ShouldEqual, 500)
		So(retryAfterMs[0], ShouldBeGreaterThan, testWindowMs-50)
	})
	Convey("a predecessor that is cut off may grant until its reservation expires, and its successor counts these grants", t, func() {
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
		So(successor.RequestGrant(Request{Tenant: "t", Limit: limit}, last+testWindowMs+2*bucketMs).Verdict, ShouldEqual, ReservationNeeded)
	})
	Convey("a limit of an older generation does not replace a newer one", t, func() {
		owner := ownerWithGrants(10)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: Limit{Generation: 2, RatePerSecond: 3}}, 50).Verdict, ShouldEqual, Granted)
		So(owner.RequestGrant(Request{Tenant: "t", Limit: Limit{Generation: 1, RatePerSecond: 99}}, 50).Allowed, ShouldEqual, 15)
	})
	Convey("new programs leave headroom for programs in progress at the limit", t, func() {
		owner := ownerWithGrants(10)
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
	Convey("an idle tenant is removed with its programs", t, func() {
		owner := ownerWithGrants(3)
		owner.RequestGrant(Request{Tenant: "u", Limit: limit}, 2*programIdleTimeoutMs)
		So(owner.tenants, ShouldNotContainKey, "t")
	})
}
