package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
)

const (
	testKey         = "k-alpha-0123456789"
	otherKey        = "k-beta-0123456789"
	testRevokeBound = 5 * time.Second
)

// tenantFixture is a gateway whose routing table has two tenants, one of them with a rate limit.
type tenantFixture struct {
	*gatewayFixture
	// confirmationAge is the age in nanoseconds of the confirmation that the routing table is in
	// force. A negative value means that there is none.
	confirmationAge atomic.Int64
	// engineHeader is the header of the latest request to the engine.
	engineHeader atomic.Pointer[http.Header]
}

func newTenantFixture(t *testing.T, engine http.HandlerFunc) *tenantFixture {
	fixture := &tenantFixture{}
	fixture.gatewayFixture = newGatewayFixture(t, func(w http.ResponseWriter, r *http.Request) {
		header := r.Header.Clone()
		fixture.engineHeader.Store(&header)
		engine(w, r)
	})
	fixture.gateway.headerNames.Reserved = []string{"Hold", "Pin-Ms", "Kv-From"}
	fixture.gateway.process.Limits.RevokeWithinMs = float64(testRevokeBound.Milliseconds())
	fixture.gateway.confirmationAge = func() (time.Duration, bool) {
		age := time.Duration(fixture.confirmationAge.Load())
		return age, age >= 0
	}
	view := fixture.gateway.view.Load()
	table := *view.routes.Table
	table.Generation++
	table.RequiresKey = true
	table.Tenants = []routing.Tenant{
		{Name: "alpha", Keys: []routing.KeyDigest{routing.DigestKey(testKey)}},
		{Name: "beta", Keys: []routing.KeyDigest{routing.DigestKey(otherKey)}, RatePerSecond: 2, Burst: 1},
	}
	anonymousRoute := table.Routes[0]
	anonymousRoute.PathPrefix, anonymousRoute.AllowsAnonymous = "/open/", true
	table.Routes = append(append([]routing.Route{}, table.Routes...), anonymousRoute)
	fixture.gateway.applyUpdate(view.fleet, &table)
	return fixture
}

func respondSigned(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Ochrebay-Signature", "s")
	_, _ = io.WriteString(w, "out")
}

func TestKeys(t *testing.T) {
	Convey("the engine gets the tenant's name and never the key", t, func() {
		fixture := newTenantFixture(t, respondSigned)
		response, _, err := fixture.send("/safe/", "r1", "Ochrebay-Key", testKey, "Ochrebay-Tenant", "beta", "Hold", "h", "Ochrebay-Priority", "0")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		seen := *fixture.engineHeader.Load()
		So(seen["Ochrebay-Tenant"], ShouldResemble, []string{"alpha"})
		So(seen, ShouldNotContainKey, "Ochrebay-Key")
		So(seen, ShouldNotContainKey, "Hold")
		So(seen, ShouldNotContainKey, "Ochrebay-Priority")
	})
	Convey("a missing or unknown key returns 401 if the table is confirmed to be in force, and 503 if it may lack keys", t, func() {
		fixture := newTenantFixture(t, respondSigned)
		for _, key := range []string{"", "nobody's"} {
			fixture.confirmationAge.Store(int64(time.Second))
			response, body, err := fixture.send("/safe/", "r1", "Ochrebay-Key", key)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 401)
			So(body, ShouldNotContainSubstring, "nobody's")
			for _, age := range []time.Duration{3 * time.Second, -1} {
				fixture.confirmationAge.Store(int64(age))
				response, _, err = fixture.send("/safe/", "r2", "Ochrebay-Key", key)
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, 503)
				So(response.Header.Get("Retry-After"), ShouldNotBeBlank)
			}
		}
		So(fixture.runs.Load(), ShouldEqual, 0)
	})
	Convey("a gateway disconnected for the revocation bound serves no key but still serves anonymous routes", t, func() {
		fixture := newTenantFixture(t, respondSigned)
		fixture.confirmationAge.Store(int64(testRevokeBound - 2*clockDriftMargin))
		response, _, err := fixture.send("/safe/", "r1", "Ochrebay-Key", testKey)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		fixture.confirmationAge.Store(int64(testRevokeBound))
		response, _, err = fixture.send("/safe/", "r2", "Ochrebay-Key", testKey)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		response, _, err = fixture.send("/open/", "r3", "Ochrebay-Tenant", "alpha")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(*fixture.engineHeader.Load(), ShouldNotContainKey, "Ochrebay-Tenant")
		So(fixture.runs.Load(), ShouldEqual, 2)
	})
	Convey("the key is checked again if the process stalls between accepting a request and sending it", t, func() {
		fixture := newTenantFixture(t, streamingEngine(1, "", false))
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Reserve != nil {
				fixture.confirmationAge.Store(int64(testRevokeBound))
			}
			return &protocol.TurnReply{}
		})
		response, _, err := fixture.send("/stream/", "r1", append(budgetHeaders, "Ochrebay-Key", testKey)...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(fixture.runs.Load(), ShouldEqual, 0)
	})
	Convey("a confirmation of a newer table does not validate a key that this table has revoked", t, func() {
		fixture := newTenantFixture(t, streamingEngine(1, "", false))
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Reserve != nil {
				view := fixture.gateway.view.Load()
				table := *view.routes.Table
				table.Generation++
				table.Tenants = []routing.Tenant{{Name: "alpha"}, {Name: "beta", Keys: []routing.KeyDigest{routing.DigestKey(otherKey)}}}
				fixture.gateway.applyUpdate(view.fleet, &table)
			}
			return &protocol.TurnReply{}
		})
		response, _, err := fixture.send("/stream/", "r1", append(budgetHeaders, "Ochrebay-Key", testKey)...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 401)
		So(fixture.runs.Load(), ShouldEqual, 0)
	})
	Convey("the ids of programs and turns are scoped to their tenant", t, func() {
		fixture := newTenantFixture(t, streamingEngine(1, "", false))
		var reserves []turnIDs
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Reserve != nil {
				reserves = append(reserves, turnIDs{request.Reserve.Program, request.Reserve.Request, request.Reserve.PreviousRequest})
			}
			return &protocol.TurnReply{Grant: &quota.Grant{}}
		})
		for _, key := range []string{testKey, otherKey} {
			_, _, err := fixture.send("/kept/", "r2", append(budgetHeaders, "Ochrebay-Key", key, "Ochrebay-Previous-Turn", "r1")...)
			So(err, ShouldBeNil)
		}
		So(reserves, ShouldResemble, []turnIDs{{"alpha/p", "alpha/r2", "alpha/r1"}, {"beta/p", "beta/r2", "beta/r1"}})
	})
}

// turnIDs holds the ids by which the ledger identifies a turn.
type turnIDs struct{ program, turn, previous string }

func TestQuotaOfAGateway(t *testing.T) {
	Convey("a request above its tenant's rate limit returns 429 with Retry-After and is not run", t, func() {
		fixture := newTenantFixture(t, respondSigned)
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			return &protocol.TurnReply{Error: result.New(result.TenantLimit, "full").WithRetryAfter(250 * time.Millisecond)}
		})
		response, _, err := fixture.send("/unsafe/", "r1", "Ochrebay-Key", otherKey)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 429)
		So(response.Header.Get("Retry-After"), ShouldEqual, "0.25")
		received := (<-fixture.ledger.requests).Quota
		So(received.Ticket, ShouldNotBeBlank)
		So(received.MaxWaitMs, ShouldBeBetween, 0, testRouteTimeoutMs)
		So(received, ShouldResemble, &quota.Request{
			Tenant: "beta", Program: "beta/p", Limit: quota.Limit{Generation: 2, RatePerSecond: 2, Burst: 1},
			ContinuesProgram: true, Ticket: received.Ticket, MaxWaitMs: received.MaxWaitMs,
		})
		response, _, err = fixture.send("/unsafe/", "r2", "Ochrebay-Key", testKey)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(fixture.runs.Load(), ShouldEqual, 1)
	})
	Convey("a denied turn releases the reservation of its program's budget", t, func() {
		fixture := newTenantFixture(t, streamingEngine(1, "", false))
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Quota != nil {
				return &protocol.TurnReply{Error: result.New(result.TenantLimit, "full")}
			}
			return &protocol.TurnReply{}
		})
		response, _, err := fixture.send("/stream/", "r1", append(budgetHeaders, "Ochrebay-Key", otherKey)...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 429)
		So(fixture.ledger.awaitSettle("beta/r1").Settle.UsedTokens, ShouldEqual, 0)
	})
	Convey("a request that no engine ran returns its grant", t, func() {
		fixture := newTenantFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Ochrebay-Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		grant := quota.Grant{Term: 3, AtMs: 77}
		returned := make(chan quota.Grant, 8)
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Quota.ReturnedGrant != nil {
				returned <- *request.Quota.ReturnedGrant
			}
			return &protocol.TurnReply{Grant: &grant}
		})
		response, _, err := fixture.send("/safe/", "r1", "Ochrebay-Key", otherKey, "Ochrebay-Deadline-Ms", "300")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		select {
		case returnedGrant := <-returned:
			So(returnedGrant, ShouldResemble, grant)
		case <-time.After(testTimeout):
			So("the grant was not returned", ShouldBeBlank)
		}
	})
	Convey("a grant return whose reply is lost is not sent again", t, func() {
		fixture := newTenantFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Ochrebay-Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		returns := atomic.Int64{}
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Quota.ReturnedGrant != nil {
				returns.Add(1)
				return nil
			}
			return &protocol.TurnReply{Grant: &quota.Grant{}}
		})
		_, _, err := fixture.send("/safe/", "r1", "Ochrebay-Key", otherKey, "Ochrebay-Deadline-Ms", "300")
		So(err, ShouldBeNil)
		time.Sleep(2 * ledgerCallTimeout)
		So(returns.Load(), ShouldEqual, 1)
	})
	Convey("a second run needs a second grant; if it is denied, the response is aborted", t, func() {
		fixture := newTenantFixture(t, streamingEngine(1, "", true))
		grants := atomic.Int64{}
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Quota != nil && grants.Add(1) > 1 {
				return &protocol.TurnReply{Error: result.New(result.TenantLimit, "full")}
			}
			return &protocol.TurnReply{Grant: &quota.Grant{}}
		})
		_, _, err := fixture.send("/resumable/", "r1", "Ochrebay-Key", otherKey)
		So(err, ShouldNotBeNil)
		So(fixture.runs.Load(), ShouldEqual, 1)
	})
}

// TestHeadersProperty sends raw request headers: whatever a caller sends, an engine gets the tenant's
// name exactly once, no key, and no header that only gateways set.
func TestHeadersProperty(t *testing.T) {
	fixture := newTenantFixture(t, respondSigned)
	address := strings.TrimPrefix(fixture.server.URL, "http://")
	forbidden := []string{"Ochrebay-Key", "Hold", "Pin-Ms", "Kv-From", "Ochrebay-Priority"}
	names := append([]string{"Ochrebay-Tenant", "Connection", "X-Other"}, forbidden...)
	rapid.Check(t, func(t *rapid.T) {
		randomCase := func(name string) string {
			switch rapid.IntRange(0, 3).Draw(t, "case") {
			case 0:
				return strings.ToLower(name)
			case 1:
				return strings.ToUpper(name)
			}
			return name
		}
		head := "POST /safe/ HTTP/1.1\r\nHost: h\r\nOchrebay-Request: r1\r\nContent-Length: 2\r\nOchrebay-Key: " + testKey + "\r\n"
		for range rapid.IntRange(0, 6).Draw(t, "lines") {
			value := rapid.SampledFrom([]string{"beta", testKey, "", "a, b", "Ochrebay-Tenant", "ochrebay-key, Hold", "close", "x\r\n Ochrebay-Tenant: beta"}).Draw(t, "value")
			head += fmt.Sprintf("%s: %s\r\n", randomCase(rapid.SampledFrom(names).Draw(t, "name")), value)
		}
		fixture.engineHeader.Store(nil)
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		_ = connection.SetDeadline(time.Now().Add(testTimeout))
		_, _ = io.WriteString(connection, head+"\r\nin")
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		seen := fixture.engineHeader.Load()
		if seen == nil {
			if response.StatusCode < 400 {
				t.Fatalf("status %d although the engine got no request", response.StatusCode)
			}
			return
		}
		if tenants := (*seen)["Ochrebay-Tenant"]; len(tenants) != 1 || tenants[0] != "alpha" {
			t.Fatalf("the engine got tenant headers %q, want one with alpha", tenants)
		}
		for _, name := range forbidden {
			if values, sent := (*seen)[name]; sent {
				t.Fatalf("%s: %q reached the engine", name, values)
			}
		}
		for name, values := range *seen {
			if name != "X-Other" && name != "Connection" && strings.Contains(strings.Join(values, " "), testKey) {
				t.Fatalf("the key reached the engine in %s", name)
			}
		}
	})
}
