package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

// anyTimeMs is before the end of every suspicion: an engine is suspect then if its latest attempt failed,
// however long ago.
const anyTimeMs = 0

// rawEnding is what a rawEngine does after the bytes of a response that it sends.
type rawEnding int

const (
	// endsInOrder closes the connection, as the kernel does for a process that has ended.
	endsInOrder rawEnding = iota
	// endsWithReset resets the connection.
	endsWithReset
	// endsInSilence sends nothing more and keeps the connection open.
	endsInSilence
)

func (e rawEnding) String() string { return [...]string{"closed", "reset", "silent"}[e] }

// rawResponse is one response of a rawEngine.
type rawResponse struct {
	framing     upstream.Framing
	status      int
	contentType string
	// body is the whole body, of which the first sent bytes are sent.
	body string
	sent int
	// frameEnds makes the framing say that the body ends after the sent bytes: the length is theirs,
	// or the last chunk follows.
	frameEnds bool
	ending    rawEnding
	// headSent, if not 0, is how many bytes of the head are sent before the engine stops.
	headSent int
	// hasBareLineFeeds ends the lines of the head with LF alone, and isAfterInterim sends an interim response before.
	hasBareLineFeeds, isAfterInterim bool
	// alter, if not nil, changes the whole response before it is sent.
	alter func(whole string) string
}

// wholeResponse returns an event stream that is sent in full.
func wholeResponse(framing upstream.Framing, body string) rawResponse {
	return rawResponse{framing: framing, body: body, sent: len(body), frameEnds: true}
}

// brokenResponse returns an event stream of which only the first bytes are sent.
func brokenResponse(framing upstream.Framing, body string, sent int, ending rawEnding) rawResponse {
	return rawResponse{framing: framing, body: body, sent: sent, ending: ending}
}

// endsConnection reports whether the engine uses the connection for no further response.
func (r rawResponse) endsConnection() bool {
	return r.framing == upstream.CloseDelimited || !r.frameEnds || r.headSent > 0
}

// write writes the response to a request. A test may read a reset before all bytes that were sent.
func (r rawResponse) write(connection net.Conn, requestID, engineID string) {
	head, body := r.encode(requestID, engineID)
	if r.isAfterInterim {
		_, _ = io.WriteString(connection, "HTTP/1.1 103 Early Hints\r\n\r\n")
	}
	if r.headSent > 0 {
		head, body = head[:r.headSent], ""
	}
	whole := head + body
	if r.alter != nil {
		whole = r.alter(whole)
	}
	_, _ = io.WriteString(connection, whole)
}

// encode returns the head and the body of the response as they are sent.
func (r rawResponse) encode(requestID, engineID string) (head, body string) {
	status, contentType := r.status, r.contentType
	if status == 0 {
		status = http.StatusOK
	}
	if contentType == "" {
		contentType = "text/event-stream"
	}
	head = fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nOchrebay-Request: %s\r\nOchrebay-Signature: %s\r\n", status, http.StatusText(status), contentType, requestID, engineID)
	body = r.body[:r.sent]
	if r.endsConnection() {
		head += "Connection: close\r\n"
	}
	switch r.framing {
	case upstream.FramedByLength:
		length := len(r.body)
		if r.frameEnds {
			length = r.sent
		}
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	case upstream.FramedByChunks:
		head += "Transfer-Encoding: chunked\r\n"
		if r.sent > 0 {
			body = fmt.Sprintf("%x\r\n%s\r\n", r.sent, body)
		}
		if r.frameEnds {
			body += "0\r\n\r\n"
		}
	}
	head += "\r\n"
	if r.hasBareLineFeeds {
		head = strings.ReplaceAll(head, "\r\n", "\n")
	}
	return head, body
}

// rawEngine is an engine that writes its responses byte by byte as a test says.
type rawEngine struct {
	id string
	// respond returns the response to the request that arrives as the given one, from 1.
	respond func(request *http.Request, number int) rawResponse

	mutex sync.Mutex
	// lastEventIDs holds the last event that each request named, "" for none, in order of arrival.
	lastEventIDs []string
	// silent holds open connections; the end of the test closes them.
	silent []net.Conn
}

// addRawEngine adds an engine to the fleet of a gateway and returns it.
func (g *gatewayFixture) addRawEngine(t *testing.T, id, version string, respond func(request *http.Request, number int) rawResponse) *rawEngine {
	engine := &rawEngine{id: id, respond: respond}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = listener.Close()
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		for _, connection := range engine.silent {
			_ = connection.Close()
		}
	})
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go engine.serve(connection.(*net.TCPConn))
		}
	}()
	fleet := *g.gateway.view.Load().fleet
	fleet.Engines[id] = membership.ServingEngine{ID: id, Backend: "b", Zone: "near", Slots: 4, Address: listener.Addr().String(), SoftwareVersion: version}
	g.gateway.engines.applyFleet(&fleet)
	return engine
}

// serve answers the requests of one connection until a response ends it.
func (e *rawEngine) serve(connection *net.TCPConn) {
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = connection.Close()
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		e.mutex.Lock()
		e.lastEventIDs = append(e.lastEventIDs, request.Header.Get("Last-Event-Id"))
		response := e.respond(request, len(e.lastEventIDs))
		e.mutex.Unlock()
		response.write(connection, request.Header.Get("Ochrebay-Request"), e.id)
		switch {
		case !response.endsConnection():
			continue
		case response.ending == endsInSilence:
			e.mutex.Lock()
			e.silent = append(e.silent, connection)
			e.mutex.Unlock()
			return
		case response.ending == endsWithReset:
			_ = connection.SetLinger(0)
		}
		_ = connection.Close()
		return
	}
}

// requests returns the last event that each request named so far, "" for none.
func (e *rawEngine) requests() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]string(nil), e.lastEventIDs...)
}

// removeEngine removes an engine from the fleet of a gateway.
func (g *gatewayFixture) removeEngine(id string) {
	fleet := *g.gateway.view.Load().fleet
	delete(fleet.Engines, id)
	g.gateway.engines.applyFleet(&fleet)
}

// eventsOf returns a stream of the events first to last.
func eventsOf(first, last int) string {
	var events strings.Builder
	for number := first; number <= last; number++ {
		_, _ = fmt.Fprintf(&events, "id: %d\ndata: token %d\n\n", number, number)
	}
	return events.String()
}
