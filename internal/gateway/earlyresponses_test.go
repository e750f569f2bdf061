package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

// earlyEnding is what an engine does after a response that it has sent before it has read the whole request.
type earlyEnding int

const (
	// resetsEarly resets the connection, and closesEarly closes it with a part of the request unread.
	resetsEarly earlyEnding = iota
	closesEarly
	// closesWhileReading closes the connection in the middle of reading the request, as the kernel does for a process
	// that has ended: the connection may be closed in order and reset upon the next bytes.
	closesWhileReading
	// stopsReading keeps the connection open and reads no more, until the gateway closes it.
	stopsReading
	// readsOn closes the sending half and reads the rest of the request.
	readsOn
)

var brokenEarlyEndings = []earlyEnding{resetsEarly, closesEarly, closesWhileReading, stopsReading}

func (e earlyEnding) String() string {
	return [...]string{"resets", "closes", "closes while reading", "stops reading", "reads on"}[e]
}

const (
	// earlyReceiveBufferBytes is small beside earlyUploadBytes, so that most of an upload is unwritten as the engine
	// responds.
	earlyReceiveBufferBytes = 16 << 10
	earlyUploadBytes        = 8 << 20
	// earlyPause lets the gateway read what was sent before the connection ends.
	earlyPause = 40 * time.Millisecond
)

var earlyUpload = strings.Repeat("u", earlyUploadBytes)

// earlyResponse is a response that an engine sends after the first bytes of a request.
type earlyResponse struct {
	rawResponse
	readBytes int64
	ends      earlyEnding
}

// earlyFixture is a gateway with one engine, which responds to uploads early.
type earlyFixture struct {
	*rawFixture
	mutex    sync.Mutex
	response earlyResponse
}

const earlyEngineID = "early"

func newEarlyFixture(t *testing.T) *earlyFixture {
	fixture := &earlyFixture{rawFixture: newRawFixture(t)}
	fixture.removeEngine(fixture.engine.id)
	control := func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(descriptor uintptr) {
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, earlyReceiveBufferBytes)
		})
	}
	listener, err := (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go fixture.serve(connection.(*net.TCPConn))
		}
	}()
	view := fixture.gateway.view.Load()
	fleet := *view.fleet
	fleet.Engines[earlyEngineID] = membership.ServingEngine{ID: earlyEngineID, Backend: "b", Zone: "near", Slots: 4, Address: listener.Addr().String()}
	table := *view.routes.Table
	table.Limits = routing.Limits{MaxBodyBytes: earlyUploadBytes}
	fixture.gateway.applyUpdate(&fleet, &table)
	return fixture
}

// serve responds to the first request of a connection.
func (f *earlyFixture) serve(connection *net.TCPConn) {
	defer connection.Close()
	reader := bufio.NewReaderSize(connection, 16)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	f.mutex.Lock()
	response := f.response
	f.mutex.Unlock()
	_, _ = io.CopyN(io.Discard, request.Body, response.readBytes)
	response.write(connection, request.Header.Get("Ochrebay-Request"), earlyEngineID)
	time.Sleep(earlyPause)
	switch response.ends {
	case resetsEarly:
		_ = connection.SetLinger(0)
	case closesWhileReading:
		_, _ = io.CopyN(io.Discard, request.Body, response.readBytes)
	case stopsReading:
		awaitLoss(connection)
	case readsOn:
		_ = connection.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// awaitLoss waits until a connection is lost, without reading from it.
func awaitLoss(connection *net.TCPConn) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return
	}
	awaitCondition(func() bool {
		var socketErr int
		var info *unix.TCPInfo
		_ = raw.Control(func(descriptor uintptr) {
			socketErr, _ = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
			info, _ = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		})
		return socketErr != 0 || info == nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
}

// upload sends a long request, to which the engine responds as given.
func (f *earlyFixture) upload(path string, response earlyResponse) rawResult {
	f.mutex.Lock()
	f.response = response
	f.mutex.Unlock()
	return f.requestBody(path, earlyEngineID, earlyUpload)
}

// earlyBodies are close-delimited responses whose part may look whole.
func earlyBodies() map[string]rawResponse {
	text := func(status int, body string) rawResponse {
		return rawResponse{framing: upstream.CloseDelimited, status: status, contentType: "text/plain", body: body, sent: len(body)}
	}
	afterInterim := text(http.StatusOK, "a part")
	afterInterim.isAfterInterim = true
	return map[string]rawResponse{
		"a text":                     text(http.StatusOK, "a part"),
		"a text after an interim":    afterInterim,
		"a stream":                   brokenResponse(upstream.CloseDelimited, eventsOf(1, 2), len(eventsOf(1, 2)), endsInOrder),
		"a text beyond the buffer":   text(http.StatusOK, strings.Repeat("a part, ", maxBufferedBytes/8+6<<10)),
		"a stream beyond the buffer": brokenResponse(upstream.CloseDelimited, eventsOf(1, 12<<10), len(eventsOf(1, 12<<10)), endsInOrder),
		"a failure with a page":      text(http.StatusInternalServerError, "<html>no</html>"),
		"a client error":             text(http.StatusUnprocessableEntity, "no"),
	}
}

// routePaths are the paths of one route of each kind of a gatewayFixture.
var routePaths = []string{"/safe/", "/unsafe/", "/stream/", "/resumable/", "/kept/"}

// checkBrokenOff returns how a result falls short of a response that was broken off, "" if it does not.
func (f *earlyFixture) checkBrokenOff(path string, result rawResult) string {
	switch {
	case result.isServed:
		return "logged as served"
	case !result.isEngineSuspect:
		return "not counted as a failure of the engine"
	case result.err == nil && result.status != http.StatusBadGateway:
		return fmt.Sprintf("a whole response with status %d", result.status)
	case result.err == nil && !strings.Contains(result.body, `"outcome":"unknown"`):
		return "a failure without an unknown outcome: " + result.body
	case path != "/safe/" && path != "/unsafe/" && f.ledger.awaitSettle(result.id).Settle.Retain:
		return "its turn was retained"
	}
	return ""
}

// TestEarlyResponsesBrokenOff guards against an engine that responds to an upload early and without a length, and
// whose connection is lost while the upload is being written: the write receives the error, the read sees the end of
// the body, and the caller gets the part as the whole.
func TestEarlyResponsesBrokenOff(t *testing.T) {
	for _, path := range routePaths {
		Convey("on route "+path, t, func() {
			fixture := newEarlyFixture(t)
			for name, body := range earlyBodies() {
				for _, ends := range brokenEarlyEndings {
					for _, readBytes := range []int64{0, 100_000} {
						// An attempt at an engine that stops reading lasts until the TCP user time-out.
						isUnsafeText, isKeptStream := path == "/unsafe/" && name == "a text", path == "/kept/" && name == "a stream"
						if ends == stopsReading && (readBytes > 0 || !isUnsafeText && !isKeptStream) {
							continue
						}
						result := fixture.upload(path, earlyResponse{rawResponse: body, readBytes: readBytes, ends: ends})
						So(fmt.Sprint(name, ", engine ", ends, " after ", readBytes, " bytes: ", fixture.checkBrokenOff(path, result)), ShouldEndWith, ": ")
					}
				}
			}
		})
	}
}

// TestSoundEarlyResponses guards against a rejected response of an engine that responds early and reads the rest of
// the upload, whatever its framing.
func TestSoundEarlyResponses(t *testing.T) {
	for _, path := range routePaths {
		Convey("on route "+path, t, func() {
			fixture := newEarlyFixture(t)
			for name, body := range earlyBodies() {
				for _, framing := range allFramings {
					body.framing, body.frameEnds = framing, framing != upstream.CloseDelimited
					result := fixture.upload(path, earlyResponse{rawResponse: body, readBytes: 1_000, ends: readsOn})
					So(result.err, ShouldBeNil)
					So(fmt.Sprint(name, " framed by ", framing, ": ", result.body == body.body), ShouldEndWith, ": true")
					So(result.status, ShouldEqual, max(body.status, http.StatusOK))
					So(result.isServed, ShouldBeTrue)
				}
			}
		})
	}
}

// TestEarlyResponsesProperty guards against a part of a response that its caller gets as the whole, wherever the
// engine stands in the upload and in its response as the connection is lost.
func TestEarlyResponsesProperty(t *testing.T) {
	fixture := newEarlyFixture(t)
	bodies := earlyBodies()
	names := []string{"a text", "a text after an interim", "a stream", "a failure with a page", "a client error"}
	rapid.Check(t, func(rt *rapid.T) {
		body := bodies[rapid.SampledFrom(names).Draw(rt, "body")]
		body.sent = rapid.IntRange(0, len(body.body)).Draw(rt, "sent")
		path := rapid.SampledFrom(routePaths).Draw(rt, "path")
		ends := rapid.SampledFrom([]earlyEnding{resetsEarly, closesEarly, closesWhileReading}).Draw(rt, "ends")
		readBytes := rapid.Int64Range(0, 1<<20).Draw(rt, "read")
		result := fixture.upload(path, earlyResponse{rawResponse: body, readBytes: readBytes, ends: ends})
		if violation := fixture.checkBrokenOff(path, result); violation != "" {
			rt.Fatal(violation)
		}
	})
}
