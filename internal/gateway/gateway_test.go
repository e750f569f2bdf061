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
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
)

// testTimeout bounds every wait of these tests; it is no measure of anything.
const testTimeout = 60 * time.Second

const (
	// testBodyLimit is the largest body that the stand's table allows, and tooLargeBytes
	// one above it.
	testBodyLimit      = 1 << 10
	oversizedBodyBytes = 64 << 10
	// beyondServerLinger is above the 0.5 s after which net/http closes a connection with
	// bytes unread.
	beyondServerLinger = 1500 * time.Millisecond
)

// fakeLedger answers a gateway as its script says; a nil reply is no answer.
type fakeLedger struct {
	server   *protocol.Server
	requests chan *protocol.TurnRequest
	respond  atomic.Pointer[func(request *protocol.TurnRequest) *protocol.TurnReply]
}

// testRouteTimeoutMs is how long the routes of the tests allow a request.
const testRouteTimeoutMs = 30_000

func newFakeLedger(t *testing.T) *fakeLedger {
	ledger := &fakeLedger{requests: make(chan *protocol.TurnRequest, 256)}
	server, err := protocol.Listen("127.0.0.1:0", func(connection *protocol.Connection, frame protocol.Frame) {
		request := &protocol.TurnRequest{}
		if protocol.Decode(frame.Body, request) != nil {
			return
		}
		if request.Probe {
			// The stand leads every group.
			_ = connection.Reply(frame.Call, protocol.KindResponse, &protocol.TurnReply{}, true)
			return
		}
		ledger.requests <- request
		if reply := (*ledger.respond.Load())(request); reply != nil {
			_ = connection.Reply(frame.Call, protocol.KindResponse, reply, true)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	ledger.server = server
	ledger.setResponse(func(*protocol.TurnRequest) *protocol.TurnReply { return &protocol.TurnReply{} })
	return ledger
}

func (l *fakeLedger) setResponse(answer func(request *protocol.TurnRequest) *protocol.TurnReply) {
	l.respond.Store(&answer)
}

// awaitSettle waits for the settling of a request.
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

// gatewayFixture is a gateway before one engine and one ledger group.
type gatewayFixture struct {
	gateway *Daemon
	server  *httptest.Server
	ledger  *fakeLedger
	runs    atomic.Int64
	// lastBody, where it is set, takes the body that the engine was sent last.
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
			Name: prefix, Host: "h", PathPrefix: prefix, Kind: kind, TimeoutMs: testRouteTimeoutMs, MaxAttempts: 2, RetainTurns: retain, RetentionMs: 1000,
			Shares: []routing.BackendShare{{Backend: "b", Weight: 1}},
		}
	}
	fixture.gateway.applyUpdate(fleet, &routing.Table{
		Generation: 1, Limits: routing.Limits{MaxBodyBytes: testBodyLimit}, Backends: []routing.Backend{{Name: "b", TokensPerEvent: 10}},
		Routes: []routing.Route{
			route("/safe/", routing.KindSafe, false), route("/unsafe/", routing.KindUnsafe, false),
			route("/stream/", routing.KindStream, false), resumable(route("/resumable/", routing.KindStream, false)), route("/kept/", routing.KindStream, true),
		},
	})
	fixture.server = httptest.NewServer(http.HandlerFunc(fixture.gateway.serve))
	t.Cleanup(fixture.server.Close)
	return fixture
}

func resumable(route routing.Route) routing.Route {
	route.Resumable = true
	return route
}

func (g *gatewayFixture) send(path, id string, headers ...string) (*http.Response, string, error) {
	request, err := http.NewRequest("POST", g.server.URL+path, strings.NewReader("in"))
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

// streamingEngine is an engine that sends whole events and then a part of one, and ends or
// breaks off.
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

// budgetHeaders are the headers of a turn with a budget.
var budgetHeaders = []string{"Ochrebay-Token-Budget", "1000", "Ochrebay-Tokens", "5,100"}

func TestTurnsOfAGateway(t *testing.T) {
	Convey("a turn is charged for the events that were handed on", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(3, "", false))
		response, body, err := fixture.send("/stream/", "r1", budgetHeaders...)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(strings.Count(body, "data:"), ShouldEqual, 3)
		So(fixture.ledger.awaitSettle("r1").Settle.UsedTokens, ShouldEqual, 30)
	})
	Convey("a reservation whose grant nobody heard is given back, and the caller told to come back", t, func() {
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
	Convey("a turn that is to be kept and was not does not end as if it were whole", t, func() {
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
	Convey("a kept turn holds its input and the data of its events", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(2, "", false))
		_, _, err := fixture.send("/kept/", "r1", budgetHeaders...)
		So(err, ShouldBeNil)
		settled := fixture.ledger.awaitSettle("r1")
		So(string(settled.Settle.Content), ShouldEqual, "in1\n2\n")
		So(settled.Settle.Retain, ShouldBeTrue)
	})
	Convey("the older turns of a chain come from the replica in the zone, and from the leader where that has them not", t, func() {
		for _, hasTurns := range []bool{true, false} {
			var lastBody atomic.Value
			fixture := newGatewayFixture(t, func(w http.ResponseWriter, r *http.Request) { streamingEngine(1, "", false)(w, r) })
			fixture.lastBody = &lastBody
			fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
				switch {
				case request.Reserve != nil && request.Zone == "near":
					return &protocol.TurnReply{Older: []string{"t1", "t2"}, Chain: []byte("three ")}
				case len(request.Contents) == 2:
					return &protocol.TurnReply{Chain: []byte("ONE TWO ")}
				}
				return &protocol.TurnReply{}
			})
			localReplica := newFakeLedger(t)
			localReplica.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
				if !hasTurns || len(request.Contents) != 2 {
					return &protocol.TurnReply{Error: result.New(result.NotLeader, "not here")}
				}
				return &protocol.TurnReply{Chain: []byte("one two ")}
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
	Convey("a part of an event is never passed on", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(2, "id: 3\ndata: half", true))
		_, body, err := fixture.send("/stream/", "r1", budgetHeaders...)
		So(err, ShouldNotBeNil)
		So(strings.Count(body, "data:"), ShouldEqual, 2)
		So(fixture.ledger.awaitSettle("r1").Settle.UsedTokens, ShouldEqual, 20)
	})
	Convey("a budget that is spent is 402, and nothing ran", t, func() {
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

func TestStreamsAreTakenUp(t *testing.T) {
	Convey("a stream that breaks off goes on at another engine, each event once, under the first head", t, func() {
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
			_, _ = io.WriteString(w, "id: 3\nda")
			w.(http.Flusher).Flush()
			if len(lastEventIDs) == 1 {
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
	Convey("one that can't be taken up breaks off", t, func() {
		fixture := newGatewayFixture(t, streamingEngine(2, "", true))
		_, _, err := fixture.send("/stream/", "r1")
		So(err, ShouldNotBeNil)
		So(fixture.runs.Load(), ShouldEqual, 1)
	})
}

func TestAnswersOfEngines(t *testing.T) {
	Convey("a success without a signature is none; what may be repeated is asked for again", t, func() {
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
	Convey("a 503 that does not say that the call was not run becomes no promise", t, func() {
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		response, _, err := fixture.send("/unsafe/", "r1")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
		So(response.Header.Get("Retry-After"), ShouldBeBlank)
	})
	Convey("a failure of the engine's own passes with its signature", t, func() {
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
	Convey("headers that only gateways set are not taken from callers, and connection headers are not passed", t, func() {
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
	Convey("a caller whose body is too large gets the answer, also when it sends slowly", t, func() {
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
	Convey("a caller's half-sent request runs nowhere", t, func() {
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
	Convey("a call that an engine which is gone may have run is not called not run", t, func() {
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Ochrebay-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		// The first engine reads the request, stops listening and breaks off.
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
		// The other engine is suspect, so that the one that will be gone comes first.
		fixture.gateway.engines.healthOf("e").RecordFailure(clock.NowMs())
		response, _, err := fixture.send("/safe/", "r1", "Ochrebay-Deadline-Ms", "3000")
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 502)
		So(response.Header.Get("Retry-After"), ShouldBeBlank)
	})
}
