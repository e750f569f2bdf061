package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/membership"
)

// strayKind is a kind of bytes that belong to no request.
type strayKind int

const (
	// strayCopy is a copy of an earlier response on the connection, and strayTruncatedCopy its beginning.
	strayCopy strayKind = iota
	strayTruncatedCopy
	// strayWithoutID and strayOfAnother are responses without an ID and with the ID of no request.
	strayWithoutID
	strayOfAnother
	// strayTruncated is the beginning of such a response.
	strayTruncated
	strayInterim
	strayJunk
	strayKinds
)

// strayPlan says how often an engine refuses requests and sends stray bytes, by place.
type strayPlan struct {
	refuses float64
	// onAccept is before the first request of a connection, beforeResponse after a request was read,
	// afterResponse right behind a response, and whileIdle a moment later.
	onAccept, beforeResponse, afterResponse, whileIdle float64
}

// strayEngines run or refuse requests, and send bytes that belong to no request in between.
type strayEngines struct {
	t      *testing.T
	mutex  sync.Mutex
	random *rand.Rand
	plan   strayPlan
	runs   map[string]int
	strays int
}

// draw reports whether something happens that has the given probability.
func (e *strayEngines) draw(probability float64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.random.Float64() < probability
}

// stray returns bytes that belong to no request, given the earlier responses on the connection.
func (e *strayEngines) stray(earlier []string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.strays++
	response := func(id string) string {
		status := []int{200, 408, 421, 429, 503, 500, 502}[e.random.IntN(7)]
		if e.random.IntN(2) == 0 {
			id += "Ochrebay-Not-Run: 1\r\n"
		}
		body := strings.Repeat("x", e.random.IntN(40))
		framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
		if e.random.IntN(8) == 0 {
			framing = ""
		}
		return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%s\r\n%s", status, http.StatusText(status), id, framing, body)
	}
	truncate := func(whole string) string { return whole[:1+e.random.IntN(len(whole)-1)] }
	copied := ""
	if len(earlier) > 0 {
		copied = earlier[e.random.IntN(len(earlier))]
	}
	switch kind := strayKind(e.random.IntN(int(strayKinds))); {
	case kind == strayCopy && copied != "":
		return copied
	case kind == strayTruncatedCopy && copied != "":
		return truncate(copied)
	case kind == strayOfAnother:
		return response("Ochrebay-Request: another\r\n")
	case kind == strayTruncated:
		return truncate(response(""))
	case kind == strayInterim:
		return "HTTP/1.1 103 Early Hints\r\n\r\n"
	case kind == strayJunk:
		return []string{"\r\n", "\x00\xff", "0\r\n\r\n", "data: stray\n\n"}[e.random.IntN(4)]
	}
	return response("")
}

// add adds engines to the fleet of a gateway.
func (e *strayEngines) add(fixture *gatewayFixture, count int) {
	fleet := *fixture.gateway.view.Load().fleet
	fleet.Engines = map[string]membership.ServingEngine{}
	for number := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.t.Fatal(err)
		}
		e.t.Cleanup(func() { _ = listener.Close() })
		id := fmt.Sprint("stray-", number)
		fleet.Engines[id] = membership.ServingEngine{ID: id, Backend: "b", Zone: "near", Slots: 4, Address: listener.Addr().String()}
		go func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				go e.serve(connection)
			}
		}()
	}
	fixture.gateway.engines.applyFleet(&fleet)
}

// serve answers the requests of one connection.
func (e *strayEngines) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	var earlier []string
	sendStray := func(probability float64) {
		for e.draw(probability) {
			_, _ = io.WriteString(connection, e.stray(earlier))
		}
	}
	sendStray(e.plan.onAccept)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		sendStray(e.plan.beforeResponse)
		response := e.respond(request)
		_, _ = io.WriteString(connection, response)
		earlier = append(earlier, response)
		sendStray(e.plan.afterResponse)
		if e.plan.whileIdle > 0 && e.draw(e.plan.whileIdle) {
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(connection, e.stray(earlier))
		}
	}
}

// respond runs or refuses a request.
func (e *strayEngines) respond(request *http.Request) string {
	id := request.Header.Get("Ochrebay-Request")
	if e.draw(e.plan.refuses) {
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nOchrebay-Request: %s\r\nOchrebay-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	e.mutex.Lock()
	e.runs[id]++
	e.mutex.Unlock()
	contentType, body := "text/plain", "done "+id
	if strings.HasPrefix(request.URL.Path, "/stream/") || strings.HasPrefix(request.URL.Path, "/resumable/") {
		contentType, body = "text/event-stream", fmt.Sprintf("id: 1\ndata: done %s\n\n", id)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nOchrebay-Request: %s\r\nOchrebay-Signature: s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", id, contentType, len(body), body)
}

func (e *strayEngines) runsOf(id string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[id]
}

const (
	strayCallers       = 6
	strayCallsOfCaller = 10
	// strayDeadlineMs is how long callers wait: a stray response may swallow the real one.
	strayDeadlineMs = "150"
)

var straySequence int

// checkStrayCall sends one request and returns how a promise was broken, "" if none was.
func checkStrayCall(fixture *gatewayFixture, engines *strayEngines, path, id string) string {
	response, body, err := fixture.send(path, id, "Ochrebay-Program", id, "Ochrebay-Deadline-Ms", strayDeadlineMs)
	runs := engines.runsOf(id)
	mayRunTwice := path == "/safe/" || path == "/resumable/"
	switch {
	case runs > 1 && !mayRunTwice:
		return fmt.Sprintf("%s %s ran %d times", path, id, runs)
	case err != nil:
		return ""
	case impliesNotRun(response.StatusCode) && runs > 0:
		return fmt.Sprintf("%s %s got a %d although it ran", path, id, response.StatusCode)
	case response.StatusCode == http.StatusOK && !strings.Contains(body, "done "+id):
		return fmt.Sprintf("%s %s got the answer %q", path, id, body)
	case response.StatusCode == http.StatusOK && runs == 0:
		return fmt.Sprintf("%s %s was answered but did not run", path, id)
	}
	return ""
}

// TestStrayBytesProperty guards against bytes of an engine that belong to no request and are taken for the
// response to one: a request that may run once runs twice, a caller is told that its request did not run
// although it did, or gets what is not its answer. Copies of earlier responses, responses without an ID or of
// another request, whole or cut anywhere, and junk come at any place of a connection.
func TestStrayBytesProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		probability := func(label string) float64 { return rapid.SampledFrom([]float64{0, 0, 0.03, 0.2, 0.5}).Draw(rt, label) }
		engines := &strayEngines{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), runs: map[string]int{}, plan: strayPlan{
			refuses: rapid.SampledFrom([]float64{0, 0.2, 0.4, 0.6}).Draw(rt, "refusals"), onAccept: probability("on accept"),
			beforeResponse: probability("before a response"), afterResponse: probability("after a response"), whileIdle: probability("while idle"),
		}}
		fixture := newGatewayFixture(t, func(http.ResponseWriter, *http.Request) {})
		defer fixture.server.Close()
		engines.add(fixture, rapid.IntRange(1, 3).Draw(rt, "engines"))
		path := rapid.SampledFrom([]string{"/unsafe/", "/unsafe/", "/stream/", "/safe/", "/resumable/"}).Draw(rt, "route")
		straySequence++
		broken := make(chan string, strayCallers*strayCallsOfCaller)
		var callers sync.WaitGroup
		for caller := range strayCallers {
			callers.Go(func() {
				for number := range strayCallsOfCaller {
					if violation := checkStrayCall(fixture, engines, path, fmt.Sprintf("s%d-%d-%d", straySequence, caller, number)); violation != "" {
						broken <- violation
					}
				}
			})
		}
		callers.Wait()
		close(broken)
		for violation := range broken {
			rt.Fatal(violation)
		}
	})
}
