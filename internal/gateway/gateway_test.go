package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
)

// testTimeout bounds every wait of these tests. It is not an expected duration.
const testTimeout = 60 * time.Second

const (
	// testBodyLimit is the largest body in bytes that the fixture's routing table allows, and
	// oversizedBodyBytes the size of a body above it.
	testBodyLimit      = 1 << 10
	oversizedBodyBytes = 64 << 10
	// beyondServerLinger is longer than the 0.5 s after which net/http closes a connection with
	// unread bytes.
	beyondServerLinger = 1500 * time.Millisecond
)

// fakeLedger answers a gateway with a configurable response function. A nil reply means that no
// answer is sent. It records crashes itself.
type fakeLedger struct {
	// crashes is the record of crashes. Without one, the response function answers all requests.
	crashes atomic.Pointer[fakeCrashLedger]
	// ignoresClaims means that reservations record no claims, as with replicas of an earlier release.
	ignoresClaims bool
	server        *protocol.Server
	requests      chan *protocol.TurnRequest
	respond       atomic.Pointer[func(request *protocol.TurnRequest) *protocol.TurnReply]
}

// testRouteTimeoutMs is the timeout of the test routes, and testRetentionMs the retention of their turns.
const (
	testRouteTimeoutMs = 30_000
	testRetentionMs    = 1_000
)

func newFakeLedger(t *testing.T) *fakeLedger {
	ledger := &fakeLedger{requests: make(chan *protocol.TurnRequest, 256)}
	server, err := protocol.Listen("127.0.0.1:0", func(connection *protocol.Connection, frame protocol.Frame) {
		request := &protocol.TurnRequest{}
		if protocol.Decode(frame.Body, request) != nil {
			return
		}
		if request.ProbeLeader {
			// The fake ledger leads every group.
			_ = connection.Reply(frame.Call, protocol.KindResponse, &protocol.TurnReply{}, true)
			return
		}
		crashes := ledger.crashes.Load()
		if reply, isAnswered := crashes.answer(request); isAnswered {
			_ = connection.Reply(frame.Call, protocol.KindResponse, reply, true)
			return
		}
		ledger.requests <- request
		if reply := (*ledger.respond.Load())(request); reply != nil {
			if request.Settle != nil {
				crashes.recordWithTurn(request.Settle.ClosedClaim)
			}
			if request.Reserve != nil && reply.Error == nil {
				if !ledger.ignoresClaims {
					crashes.recordWithTurn(request.Reserve.Claim)
				}
				reply.Crashes = crashes.find(request.Reserve.Key())
			}
			_ = connection.Reply(frame.Call, protocol.KindResponse, reply, true)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	ledger.server = server
	ledger.crashes.Store(&fakeCrashLedger{table: program.NewCrashTable(), reported: map[string]bool{}, keys: map[program.RequestKey]bool{}})
	ledger.setResponse(func(*protocol.TurnRequest) *protocol.TurnReply { return &protocol.TurnReply{} })
	return ledger
}

func (l *fakeLedger) setResponse(respond func(request *protocol.TurnRequest) *protocol.TurnReply) {
	l.respond.Store(&respond)
}

// awaitSettle waits for the settlement of a request, and returns nil if none arrives.
func (l *fakeLedger) awaitSettle(request string) *protocol.TurnRequest {
	deadline := time.After(testTimeout)
	for {
		select {
		case received := <-l.requests:
			if received.Settle != nil && received.Settle.Request == request {
				return received
			}
		case <-deadline:
			return nil
		}
	}
}

// gatewayFixture is a gateway with one engine and one ledger group.
type gatewayFixture struct {
	gateway *Daemon
	server  *httptest.Server
	ledger  *fakeLedger
	runs    atomic.Int64
	// lastBody, if set, holds the body of the latest request to the engine.
	lastBody *atomic.Value
}

func newGatewayFixture(t *testing.T, engine http.HandlerFunc) *gatewayFixture {
	fixture := &gatewayFixture{ledger: newFakeLedger(t)}
	engines := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fixture.runs.Add(1)
		body, _ := io.ReadAll(r.Body)
		if fixture.lastBody != nil {
			fixture.lastBody.Store(string(body))
		}
		w.Header().Set("Ochrebay-Request", r.Header.Get("Ochrebay-Request"))
		engine(w, r)
	}))
	t.Cleanup(engines.Close)
	process := config.Defaults()
	process.Name, process.Zone = "gateway-1", "near"
	fixture.gateway = NewDaemon(process, DefaultHeaderNames(), log.NewNopLogger())
	fleet := &membership.FleetView{
		Version: 1, Ledgers: map[string]membership.LedgerHost{},
		Groups: map[uint32]membership.Placement{1: {Group: 1, Members: []string{fixture.ledger.server.Address()}}},
		Engines: map[string]membership.ServingEngine{
			"e": {ID: "e", Backend: "b", Zone: "near", Slots: 4, Address: engines.Listener.Addr().String()},
		},
	}
	route := func(prefix string, kind routing.RouteKind, retain bool) routing.Route {
		return routing.Route{
			Name: prefix, Host: "h", PathPrefix: prefix, Kind: kind, TimeoutMs: testRouteTimeoutMs, MaxAttempts: 2, RetainTurns: retain, RetentionMs: testRetentionMs,
			Shares: []routing.BackendShare{{Backend: "b", Weight: 1}},
		}
	}
	fixture.gateway.applyUpdate(fleet, &routing.Table{
		Generation: 1, Limits: routing.Limits{MaxBodyBytes: testBodyLimit}, Backends: []routing.Backend{{Name: "b", TokensPerEvent: 10}},
		Routes: []routing.Route{
			route("/safe/", routing.KindSafe, false), route("/unsafe/", routing.KindUnsafe, false),
			route("/stream/", routing.KindStream, false), resumable(route("/resumable/", routing.KindStream, false)), route("/kept/", routing.KindStream, true),
			resumable(route("/kept-resumable/", routing.KindStream, true)),
		},
	})
	fixture.server = httptest.NewUnstartedServer(http.HandlerFunc(fixture.gateway.serve))
	fixture.server.Config.BaseContext = fixture.gateway.baseContext
	fixture.server.Start()
	t.Cleanup(fixture.server.Close)
	return fixture
}

func resumable(route routing.Route) routing.Route {
	route.Resumable = true
	return route
}

func (g *gatewayFixture) send(path, id string, headers ...string) (*http.Response, string, error) {
	return g.sendBody(path, id, "in", headers...)
}

func (g *gatewayFixture) sendBody(path, id, content string, headers ...string) (*http.Response, string, error) {
	request, err := http.NewRequest("POST", g.server.URL+path, strings.NewReader(content))
	if err != nil {
		return nil, "", err
	}
	request.Host = "h"
	request.Header.Set("Ochrebay-Request", id)
	request.Header.Set("Ochrebay-Program", "p")
	for position := 0; position+1 < len(headers); position += 2 {
		request.Header.Set(headers[position], headers[position+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// streamingEngine returns an engine that sends count complete events and then rest, and that aborts
// the connection if broken is true.
func streamingEngine(count int, rest string, broken bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Ochrebay-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for number := 1; number <= count; number++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", number, number)
		}
		_, _ = io.WriteString(w, rest)
		w.(http.Flusher).Flush()
		if broken {
			panic(http.ErrAbortHandler)
		}
	}
}

// budgetHeaders are the headers of a turn with a token budget.
var budgetHeaders = []string{"Ochrebay-Token-Budget", "1000", "Ochrebay-Tokens", "5,100"}

// TestRetentionCoversTheWaitForTheLedger guards against a turn that expires while a request that continues it, and
// was sent within its retention, waits for the ledger.
func TestRetentionCoversTheWaitForTheLedger(t *testing.T) {
	Convey("a turn is retained for the route's retention and time-out", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(1, "", false))
		response, _, err := fixture.send("/kept/", "r1")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		settled := fixture.ledger.awaitSettle("r1").Settle
		So(settled.RetentionMs, ShouldEqual, testRetentionMs+testRouteTimeoutMs)
	})
}

func TestTurnsOfAGateway(t *testing.T) {
	Convey("a turn is charged for the events that were forwarded", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(3, "", false))
		response, body, err := fixture.send("/stream/", "r1", budgetHeaders...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(strings.Count(body, "data:"), ShouldEqual, 3)
		So(fixture.ledger.awaitSettle("r1").Settle.UsedTokens, ShouldEqual, 30)
	})
	Convey("a reservation whose reply was lost is settled, and the caller gets Retry-After", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(3, "", false))
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Reserve != nil {
				return nil
			}
			return &protocol.TurnReply{}
		})
		response, _, err := fixture.send("/stream/", "r1", budgetHeaders...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 503)
		So(response.Header.Get("Retry-After"), ShouldNotBeBlank)
		So(fixture.runs.Load(), ShouldEqual, 0)
		settled := fixture.ledger.awaitSettle("r1")
		So(settled, ShouldNotBeNil)
		So(settled.Settle.UsedTokens, ShouldEqual, 0)
	})
	Convey("the response of a turn that could not be retained does not look complete", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(3, "", false))
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Settle != nil {
				return &protocol.TurnReply{Error: result.New(result.Internal, "no")}
			}
			return &protocol.TurnReply{}
		})
		_, _, err := fixture.send("/kept/", "r1", budgetHeaders...)
		So(err, ShouldNotBeNil)
	})
	Convey("a retained turn consists of its input and the data of its events", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(2, "", false))
		_, _, err := fixture.send("/kept/", "r1", budgetHeaders...)
		So(err, ShouldBeNil)
		settled := fixture.ledger.awaitSettle("r1")
		So(string(settled.Settle.Content), ShouldEqual, "in1\n2\n")
		So(settled.Settle.Retain, ShouldBeTrue)
	})
	Convey("older turns of a history are read from the replica in the zone, or from the leader if that replica lacks them", t, func() {
		for _, hasTurns := range []bool{true, false} {
			var lastBody atomic.Value
			fixture := newGatewayFixture(t, func(w http.ResponseWriter, r *http.Request) { streamingEngine(1, "", false)(w, r) })
			fixture.lastBody = &lastBody
			fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
				switch {
				case request.Reserve != nil && request.Zone == "near":
					return &protocol.TurnReply{OlderTurns: []string{"t1", "t2"}, History: []byte("three ")}
				case len(request.ContentsOf) == 2:
					return &protocol.TurnReply{History: []byte("ONE TWO ")}
				}
				return &protocol.TurnReply{}
			})
			localReplica := newFakeLedger(t)
			localReplica.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
				if !hasTurns || len(request.ContentsOf) != 2 {
					return &protocol.TurnReply{Error: result.New(result.NotLeader, "not here")}
				}
				return &protocol.TurnReply{History: []byte("one two ")}
			})
			fleet := *fixture.gateway.view.Load().fleet
			fleet.Ledgers = map[string]membership.LedgerHost{localReplica.server.Address(): {Member: localReplica.server.Address(), Zone: "near"}}
			fleet.Groups = map[uint32]membership.Placement{1: {Group: 1, Members: []string{fixture.ledger.server.Address(), localReplica.server.Address()}}}
			fixture.gateway.ledgers.applyFleet(&fleet)
			response, _, err := fixture.send("/kept/", "r4", "Ochrebay-Previous-Turn", "t3")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 200)
			So(lastBody.Load(), ShouldEqual, map[bool]string{true: "one two three in", false: "ONE TWO three in"}[hasTurns])
		}
	})
	Convey("a part of an event is not forwarded from a broken stream, and not charged", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(2, "id: 3\ndata: half", true))
		_, body, err := fixture.send("/stream/", "r1", budgetHeaders...)
		So(err, ShouldNotBeNil)
		So(strings.Count(body, "data:"), ShouldEqual, 2)
		So(fixture.ledger.awaitSettle("r1").Settle.UsedTokens, ShouldEqual, 20)
	})
	Convey("an exhausted budget returns 402 without running the turn", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(2, "", false))
		fixture.ledger.setResponse(func(*protocol.TurnRequest) *protocol.TurnReply {
			return &protocol.TurnReply{Error: result.New(result.BudgetExhausted, "spent")}
		})
		response, _, err := fixture.send("/stream/", "r1", budgetHeaders...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 402)
		So(fixture.runs.Load(), ShouldEqual, 0)
	})
}

func TestStreamsAreResumed(t *testing.T) {
	Convey("a broken stream resumes at another engine with each event once and the header of the first engine", t, func() {
		var lastEventIDs []string
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, r *http.Request) {
			lastEventIDs = append(lastEventIDs, r.Header.Get("Last-Event-Id"))
			w.Header().Set("Ochrebay-Signature", fmt.Sprint("s", len(lastEventIDs)))
			w.Header().Set("Content-Type", "text/event-stream")
			first, last := 1, 2
			if len(lastEventIDs) == 2 {
				first, last = 2, 4
			}
			for number := first; number <= last; number++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", number, number)
			}
			if len(lastEventIDs) == 1 {
				_, _ = io.WriteString(w, "id: 3\nda")
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
		})
		fleet := *fixture.gateway.view.Load().fleet
		second := fleet.Engines["e"]
		second.ID = "f"
		fleet.Engines["f"] = second
		fixture.gateway.engines.applyFleet(&fleet)
		response, body, err := fixture.send("/resumable/", "r1", "Ochrebay-Token-Budget", "1000", "Ochrebay-Tokens", "5,100")
		So(err, ShouldBeNil)
		So(lastEventIDs, ShouldResemble, []string{"", "2"})
		So(response.Header.Get("Ochrebay-Signature"), ShouldEqual, "s1")
		for number := 1; number <= 4; number++ {
			So(strings.Count(body, fmt.Sprintf("data: %d\n", number)), ShouldEqual, 1)
		}
		So(fixture.ledger.awaitSettle("r1").Settle.UsedTokens, ShouldEqual, 40)
	})
	Convey("a broken stream of a route that is not resumable ends with an error", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(2, "", true))
		_, _, err := fixture.send("/stream/", "r1")
		So(err, ShouldNotBeNil)
		So(fixture.runs.Load(), ShouldEqual, 1)
	})
}

func TestAnswersOfEngines(t *testing.T) {
	Convey("a successful response without a signature returns 502 and is not forwarded", t, func() {
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "forged") })
		for path, runs := range map[string]int64{"/unsafe/": 1, "/safe/": 1} {
			fixture.runs.Store(0)
			response, body, err := fixture.send(path, "r1")
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 502)
			So(body, ShouldNotContainSubstring, "forged")
			So(fixture.runs.Load(), ShouldEqual, runs)
		}
	})
	Convey("a 503 that does not state that the call was not run is not reported as not run", t, func() {
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		response, _, err := fixture.send("/unsafe/", "r1")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
		So(response.Header.Get("Retry-After"), ShouldBeBlank)
	})
	Convey("a refusal of a request without an ID, which any bytes may pass for, is not reported as not run", t, func() {
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, _ *http.Request) { respondNotRun(w) })
		response, _, err := fixture.send("/unsafe/", "")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
		So(fixture.runs.Load(), ShouldEqual, 1)
	})
	Convey("a server error of the engine is forwarded with its signature", t, func() {
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Ochrebay-Signature", "s")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, "broken tool")
		})
		response, body, err := fixture.send("/unsafe/", "r1")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 500)
		So(response.Header.Get("Ochrebay-Signature"), ShouldEqual, "s")
		So(body, ShouldEqual, "broken tool")
	})
	Convey("headers that only gateways set are not accepted from callers, and hop-by-hop headers are not forwarded", t, func() {
		seen := make(chan http.Header, 1)
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, r *http.Request) {
			seen <- r.Header.Clone()
			w.Header().Set("Ochrebay-Signature", "s")
		})
		_, _, err := fixture.send("/unsafe/", "r1", "Ochrebay-Expect-Engine", "other", "Connection", "X-Hop", "X-Hop", "1", "X-End", "2", "Ochrebay-Deadline-Ms", "5000")
		So(err, ShouldBeNil)
		header := <-seen
		So(header.Get("Ochrebay-Expect-Engine"), ShouldEqual, "e")
		So(header.Get("X-Hop"), ShouldBeBlank)
		So(header.Get("X-End"), ShouldEqual, "2")
		So(len(header.Get("Ochrebay-Deadline-Ms")), ShouldBeLessThanOrEqualTo, 4)
	})
	Convey("a caller whose body is too large gets the response even if it sends slowly", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(1, "", false))
		caller, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer caller.Close()
		_, err = fmt.Fprintf(caller, "POST /safe/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", oversizedBodyBytes)
		So(err, ShouldBeNil)
		_, err = caller.Write(make([]byte, oversizedBodyBytes/2))
		So(err, ShouldBeNil)
		time.Sleep(beyondServerLinger)
		_, err = caller.Write(make([]byte, oversizedBodyBytes/2))
		So(err, ShouldBeNil)
		answer := make([]byte, 12)
		_, err = io.ReadFull(caller, answer)
		So(err, ShouldBeNil)
		So(string(answer), ShouldEqual, "HTTP/1.1 413")
	})
	Convey("an incomplete request is not run", t, func() {
		fixture := newGatewayFixture(t, func(http.ResponseWriter, *http.Request) {})
		raw, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
		So(err, ShouldBeNil)
		_, _ = io.WriteString(raw, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf")
		_ = raw.(*net.TCPConn).CloseWrite()
		answer, err := http.ReadResponse(bufio.NewReader(raw), nil)
		if err == nil {
			So(answer.StatusCode, ShouldEqual, 400)
		}
		So(fixture.runs.Load(), ShouldEqual, 0)
		_ = raw.Close()
	})
}

func TestNotRunIsTrue(t *testing.T) {
	Convey("a call is not reported as not run if an engine that is gone may have run it", t, func() {
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Ochrebay-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		// The first engine reads the request, stops listening and closes the connection.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(connection).ReadString('\n')
			_ = listener.Close()
			_ = connection.Close()
		}()
		fleet := *fixture.gateway.view.Load().fleet
		fleet.Engines["gone"] = membership.ServingEngine{ID: "gone", Backend: "b", Zone: "near", Slots: 4, Address: listener.Addr().String()}
		fixture.gateway.engines.applyFleet(&fleet)
		// The other engine is suspect, so that the engine that will be gone is selected first.
		fixture.gateway.engines.healthOf("e").RecordFailure(clock.NowMs())
		response, _, err := fixture.send("/safe/", "r1", "Ochrebay-Deadline-Ms", "3000")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
		So(response.Header.Get("Retry-After"), ShouldBeBlank)
	})
}
