package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/eventstream"
	"github.com/ochrebay/ochrebay/internal/membership"
)

const (
	endlessEventBytes = 64 << 10
	// maxHeldBytes is more than a gateway may have read from an engine without passing it on: four heads with
	// bodies that belong to other requests, and an event or a buffered response with its buffers.
	maxHeldBytes = 4*(32<<10+256<<10) + endlessEventBytes + maxBufferedBytes + 64<<10
	// endlessChunkBytes is written at once, with endlessPause after it.
	endlessChunkBytes = 64 << 10
	endlessPause      = 100 * time.Microsecond
	// endlessTotalBytes ends what no gateway without a fault reads.
	endlessTotalBytes = 32 << 20
	soundEventCount   = 4
)

// endlessEngines are the engines of a gateway. The first attempt of a request gets beginning and then repeated
// without end; later ones get a sound response. There are no buffers between them and the gateway.
type endlessEngines struct {
	beginning, repeated string
	mutex               sync.Mutex
	attempts            map[string]int
	// sent is the number of bytes that the gateway has read of the endless response.
	sent atomic.Int64
}

func (e *endlessEngines) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go e.serve(far)
	return near, nil
}

func (e *endlessEngines) serve(connection net.Conn) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Ochrebay-Request")
	e.mutex.Lock()
	e.attempts[id]++
	isFirst := e.attempts[id] == 1
	e.mutex.Unlock()
	if !isFirst {
		_, _ = io.WriteString(connection, soundResponse(request))
		return
	}
	chunk := e.beginning
	for {
		written, err := io.WriteString(connection, chunk)
		e.sent.Add(int64(written))
		if err != nil || e.sent.Load() > endlessTotalBytes {
			return
		}
		time.Sleep(endlessPause)
		chunk = strings.Repeat(e.repeated, endlessChunkBytes/len(e.repeated)+1)
	}
}

// soundResponse is a whole response: a stream, from the event that the request asks for, or a text.
func soundResponse(request *http.Request) string {
	id, body, contentType := request.Header.Get("Ochrebay-Request"), "text", "text/plain"
	if !strings.HasPrefix(request.URL.Path, "/safe/") {
		first := 1
		if last := request.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		body, contentType = eventsOf(first, soundEventCount), "text/event-stream"
	}
	return endlessHead(id, fmt.Sprintf("Content-Type: %s\r\nContent-Length: %d\r\n", contentType, len(body))) + "\r\n" + body
}

// endlessHead returns the head of a response without the blank line that ends it.
func endlessHead(id, fields string) string {
	return "HTTP/1.1 200 OK\r\nOchrebay-Request: " + id + "\r\nOchrebay-Signature: s\r\n" + fields
}

// endlessFixture is a gateway with two endless engines.
type endlessFixture struct {
	*gatewayFixture
	engines *endlessEngines
	logged  *lineBuffer
}

func newEndlessFixture(t *testing.T) *endlessFixture {
	fixture := &endlessFixture{gatewayFixture: newGatewayFixture(t, func(http.ResponseWriter, *http.Request) {}), engines: &endlessEngines{}, logged: &lineBuffer{}}
	fixture.gateway.process.Limits.EventBytes = endlessEventBytes
	fixture.gateway.logger = log.NewLogfmtLogger(fixture.logged)
	fixture.gateway.pool.DialContext = fixture.engines.dial
	// The state of an engine is found out by a dial to its address.
	fleet := *fixture.gateway.view.Load().fleet
	address := fleet.Engines["e"].Address
	fleet.Engines = map[string]membership.ServingEngine{}
	for _, id := range []string{"e1", "e2"} {
		fleet.Engines[id] = membership.ServingEngine{ID: id, Backend: "b", Zone: "near", Slots: 4, Address: address}
	}
	fixture.gateway.engines.applyFleet(&fleet)
	return fixture
}

// countingCaller counts the bytes that its caller has received, and the most that the gateway held.
type countingCaller struct {
	*httptest.ResponseRecorder
	engines  *endlessEngines
	received int64
	maxHeld  int64
	isCut    bool
}

// Write implements io.Writer. It keeps the beginning of the body only.
func (c *countingCaller) Write(body []byte) (int, error) {
	c.observe()
	c.received += int64(len(body))
	if c.Body.Len() < endlessChunkBytes {
		return c.ResponseRecorder.Write(body)
	}
	return len(body), nil
}

func (c *countingCaller) observe() {
	c.maxHeld = max(c.maxHeld, c.engines.sent.Load()-c.received)
}

// call sends a request whose first attempt gets endless bytes.
func (f *endlessFixture) call(path, id string, deadlineMs int, beginning, repeated string) (caller *countingCaller) {
	f.engines.mutex.Lock()
	f.engines.beginning, f.engines.repeated, f.engines.attempts = beginning, repeated, map[string]int{}
	f.engines.sent.Store(0)
	f.engines.mutex.Unlock()
	request := httptest.NewRequest("POST", path, nil)
	request.Host = "h"
	request.Header.Set("Ochrebay-Request", id)
	request.Header.Set("Ochrebay-Program", "p-"+id)
	request.Header.Set("Ochrebay-Deadline-Ms", fmt.Sprint(deadlineMs))
	caller = &countingCaller{ResponseRecorder: httptest.NewRecorder(), engines: f.engines}
	defer func() {
		if cause := recover(); cause != nil && !errors.Is(cause.(error), http.ErrAbortHandler) {
			panic(cause)
		}
	}()
	defer caller.observe()
	caller.isCut = true
	f.gateway.serve(caller, request)
	caller.isCut = false
	return caller
}

// endlessKind is a way in which an engine sends bytes without end: repeated follows beginning.
type endlessKind struct{ name, beginning, repeated string }

const strayHead = "HTTP/1.1 200 OK\r\nOchrebay-Request: other\r\n"

// endlessHeads are the kinds that come in place of a response, or in its head.
func endlessHeads(id string) []endlessKind {
	return []endlessKind{
		{"no HTTP", "", "x"}, {"lines that are no HTTP", "", "x\r\n"}, {"blank lines", "", "\r\n"},
		{"a status line", "HTTP/1.1 200 ", "OK"}, {"a header line", endlessHead(id, "X: "), "x"}, {"the name of a header", endlessHead(id, ""), "x"},
		{"header lines", endlessHead(id, ""), "X: y\r\n"}, {"a continued header line", endlessHead(id, "X: y\r\n"), " z\r\n"},
		{"the head of an interim response", "HTTP/1.1 100 Continue\r\n", "X: y\r\n"}, {"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		{"a response to another request in chunks", strayHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"a long response to another request", strayHead + "Content-Length: 99999999999\r\n\r\n", "x"},
		{"a response to another request that ends with its connection", strayHead + "\r\n", "x"},
		{"responses to other requests", "", strayHead + "Content-Length: 1\r\n\r\nx"},
	}
}

// endlessEvents are the kinds that come in place of an event, with the framing of the body.
func endlessEvents(id, fields, events string) []endlessKind {
	head := endlessHead(id, "Content-Type: text/event-stream\r\n"+fields) + "\r\n" + events
	return []endlessKind{
		{"an event", head + "data: ", "x"}, {"an event of many lines", head, "data: x\n"}, {"an event of comments", head, ":\r\n"},
		{"an event of no known field", head, "x"},
	}
}

// TestEndlessBytesBeforeTheResponse guards against a gateway that reads without end what is no response, until it
// has no memory left or the deadline has passed. It closes the connection, counts the engine as failed and goes on
// as after any broken response.
func TestEndlessBytesBeforeTheResponse(t *testing.T) {
	const noDeadlineMs = 60_000
	check := func(kinds []endlessKind, repeatable, other, expected string) {
		for _, kind := range kinds {
			Convey(kind.name, func() {
				fixture := newEndlessFixture(t)
				caller := fixture.call(repeatable, "r1", noDeadlineMs, kind.beginning, kind.repeated)
				So(caller.maxHeld, ShouldBeLessThan, maxHeldBytes)
				So(caller.isCut, ShouldBeFalse)
				So(caller.Code, ShouldEqual, http.StatusOK)
				So(caller.Body.String(), ShouldEqual, expected)
				failed := fixture.gateway.engines.healthOf("e1").IsSuspect(anyTimeMs) || fixture.gateway.engines.healthOf("e2").IsSuspect(anyTimeMs)
				So(failed, ShouldBeTrue)
				caller = fixture.call(other, "r1", noDeadlineMs, kind.beginning, kind.repeated)
				So(caller.maxHeld, ShouldBeLessThan, maxHeldBytes)
				So(caller.isCut, ShouldBeFalse)
				So(caller.Code, ShouldEqual, http.StatusBadGateway)
				So(caller.Body.String(), ShouldContainSubstring, `"code":1304`)
			})
		}
	}
	Convey("in place of a response", t, func() { check(endlessHeads("r1"), "/safe/", "/unsafe/", "text") })
	Convey("in place of a stream", t, func() { check(endlessHeads("r1"), "/resumable/", "/stream/", eventsOf(1, soundEventCount)) })
	for _, framing := range []string{"Content-Length: 99999999999\r\n", ""} {
		Convey(fmt.Sprintf("in place of the first event, with %q", framing), t, func() {
			check(endlessEvents("r1", framing, ""), "/resumable/", "/stream/", eventsOf(1, soundEventCount))
		})
	}
}

// TestEndlessEventAfterWholeOnes guards against an event without end after whole ones that fills the memory, is
// passed on in part, or ends a stream that another engine could resume.
func TestEndlessEventAfterWholeOnes(t *testing.T) {
	for _, kind := range endlessEvents("r1", "Content-Length: 99999999999\r\n", eventsOf(1, 2)) {
		Convey(kind.name, t, func() {
			fixture := newEndlessFixture(t)
			caller := fixture.call("/resumable/", "r1", testRouteTimeoutMs, kind.beginning, kind.repeated)
			So(caller.maxHeld, ShouldBeLessThan, maxHeldBytes)
			So(caller.isCut, ShouldBeFalse)
			So(caller.Body.String(), ShouldEqual, eventsOf(1, soundEventCount))
			So(fixture.logged.String(), ShouldContainSubstring, eventstream.ErrEventTooLong.Error())
			for _, path := range []string{"/stream/", "/kept/"} {
				caller = fixture.call(path, "r1", testRouteTimeoutMs, kind.beginning, kind.repeated)
				So(caller.maxHeld, ShouldBeLessThan, maxHeldBytes)
				So(caller.isCut, ShouldBeTrue)
				So(caller.Body.String(), ShouldEqual, eventsOf(1, 2))
			}
		})
	}
}

// TestLongestEventPasses guards against a bound that rejects an event as long as it allows.
func TestLongestEventPasses(t *testing.T) {
	Convey("an event of the longest length", t, func() {
		fixture := newEndlessFixture(t)
		event := "id: 1\ndata: " + strings.Repeat("x", endlessEventBytes-len("id: 1\ndata: \n\n")) + "\n\n"
		So(len(event), ShouldEqual, endlessEventBytes)
		beginning := endlessHead("r1", fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", len(event))) + "\r\n" + event
		caller := fixture.call("/kept/", "r1", testRouteTimeoutMs, beginning, "x")
		So(caller.isCut, ShouldBeFalse)
		So(caller.received, ShouldEqual, len(event))
		So(fixture.logged.String(), ShouldContainSubstring, "msg=served")
	})
}

// TestEndlessBytesProperty guards against bytes from an engine, cut or endless at any place of a response, that
// the gateway holds without bound.
func TestEndlessBytesProperty(t *testing.T) {
	fixture := newEndlessFixture(t)
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		id := fmt.Sprint("r", number)
		path := rapid.SampledFrom([]string{"/safe/", "/unsafe/", "/stream/", "/resumable/", "/kept/"}).Draw(t, "path")
		fields := rapid.SampledFrom([]string{"", "Content-Length: 99999999999\r\n", "Transfer-Encoding: chunked\r\n"}).Draw(t, "framing")
		whole := rapid.SampledFrom([]string{"", "HTTP/1.1 100 Continue\r\n\r\n", strayHead + "Content-Length: 2\r\n\r\nxy"}).Draw(t, "before") +
			endlessHead(id, rapid.SampledFrom([]string{"Content-Type: text/event-stream\r\n", "Content-Type: text/plain\r\n"}).Draw(t, "contentType")+fields) + "\r\n"
		if strings.Contains(fields, "chunked") {
			whole += fmt.Sprintf("%x\r\n%s\r\n", len(eventsOf(1, 3)), eventsOf(1, 3))
		} else {
			whole += eventsOf(1, 3)
		}
		beginning := whole[:rapid.IntRange(0, len(whole)).Draw(t, "cut")]
		repeated := rapid.SampledFrom([]string{
			"x", "\r\n", "\n", "x\r\n", "X: y\r\n", " z\r\n", "data: x\n", "data: x\n\n", "id: 9\n", ":\r", "1\r\nx\r\n", "1;", "0\r\n", "0\r\nX: y\r\n",
			"HTTP/1.1 100 Continue\r\n\r\n", strayHead + "Content-Length: 1\r\n\r\nx", "HTTP/1.1 503 Full\r\n", "\x00", "\xff\r\n\r\n",
		}).Draw(t, "repeated")
		const deadlineMs = 60
		if caller := fixture.call(path, id, deadlineMs, beginning, repeated); caller.maxHeld >= maxHeldBytes {
			t.Fatalf("%d bytes were held, and %d passed on", caller.maxHeld, caller.received)
		}
	})
}
