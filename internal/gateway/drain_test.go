package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
)

const (
	drainRouteTimeoutMs = 6_000
	// drainStreamEvents is the number of events of a stream of the drain's engine.
	drainStreamEvents = 4
	// rejectionSlack is how long after the stop a waiting call may be rejected: an attempt at an engine may
	// be in progress.
	rejectionSlack = 10 * time.Millisecond
	// networkDelay keeps a call that probes a full engine again and again from stopping the virtual time.
	networkDelay = time.Millisecond
	// maxDrainRun is longer than any run at the engine.
	maxDrainRun = 10 * time.Second
	// unreadSlack is how long a request may have been under way when its connection is closed without a
	// response and without having been sent to an engine.
	unreadSlack = 200 * time.Millisecond
)

// drainRequest is one drawn request and what its caller saw.
type drainRequest struct {
	path string
	// deadlineMs is the caller's deadline, runMs how long the engine takes, and pauseMs how long the caller
	// waits before it sends the request. A body of two halves arrives bodyPauseMs apart.
	deadlineMs, runMs, pauseMs, bodyPauseMs int64

	id             string
	sentAt, readAt time.Time
	endedAt        time.Time
	status         int
	body           string
	err            error
}

// timeLimit returns the longest time that the request may take.
func (r *drainRequest) timeLimit() time.Duration {
	return time.Duration(min(r.deadlineMs, drainRouteTimeoutMs)) * time.Millisecond
}

// drainCaller is one caller with its drawn requests.
type drainCaller struct {
	requests []*drainRequest
	// heldMs is how long it goes on to open connections to a gateway that drains: the time for which it holds
	// the answer of a look-up. It uses an open connection until that is closed.
	heldMs int64
}

func drawDrainCaller(t *rapid.T) *drainCaller {
	ttlMs := rapid.SampledFrom([]int64{500, 1000, 2000}).Draw(t, "ttlMs")
	caller := &drainCaller{heldMs: ttlMs * rapid.SampledFrom([]int64{1, 3}).Draw(t, "factor")}
	for range rapid.IntRange(1, 12).Draw(t, "requests") {
		caller.requests = append(caller.requests, &drainRequest{
			path:       rapid.SampledFrom([]string{"/safe/", "/unsafe/", "/stream/"}).Draw(t, "path"),
			deadlineMs: rapid.SampledFrom([]int64{60, 500, 1500, 3000, 5000, 9000}).Draw(t, "deadlineMs"),
			runMs:      rapid.SampledFrom([]int64{0, 20, 400, 1200, 2500, 8000}).Draw(t, "runMs"),
			pauseMs:    rapid.Int64Range(0, 1500).Draw(t, "pauseMs"),

			bodyPauseMs: rapid.SampledFrom([]int64{0, 0, 0, 700}).Draw(t, "bodyPauseMs"),
		})
	}
	return caller
}

// pipeListener accepts connections within the process.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	}
}

// drainEngine runs a bounded number of requests at once and refuses others.
type drainEngine struct {
	mutex   sync.Mutex
	slots   int
	running int
	runs    map[string]int
}

func (e *drainEngine) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go e.serve(far)
	return near, nil
}

func (e *drainEngine) serve(connection net.Conn) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	time.Sleep(networkDelay)
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Ochrebay-Request")
	head := "HTTP/1.1 %s\r\nOchrebay-Request: " + id + "\r\nOchrebay-Signature: s\r\nConnection: close\r\n%s\r\n"
	e.mutex.Lock()
	isFull := e.running >= e.slots
	if !isFull {
		e.running++
		e.runs[id]++
	}
	e.mutex.Unlock()
	if isFull {
		_, _ = fmt.Fprintf(connection, head, "503 Full", DefaultHeaderNames().NotExecuted+": 1\r\nContent-Length: 0\r\n")
		return
	}
	defer func() {
		e.mutex.Lock()
		e.running--
		e.mutex.Unlock()
	}()
	runMs, _ := strconv.ParseInt(request.Header.Get("Run-Ms"), 10, 64)
	if !strings.HasPrefix(request.URL.Path, "/stream/") {
		time.Sleep(time.Duration(runMs) * time.Millisecond)
		_, _ = fmt.Fprintf(connection, head+"whole", "200 OK", "Content-Length: 5\r\n")
		return
	}
	const event = "id: 1\ndata: x\n\n"
	_, _ = fmt.Fprintf(connection, head, "200 OK", fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", drainStreamEvents*len(event)))
	for range drainStreamEvents {
		time.Sleep(time.Duration(runMs) * time.Millisecond / drainStreamEvents)
		if _, err := io.WriteString(connection, event); err != nil {
			return
		}
	}
}

func (e *drainEngine) runCount(id string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[id]
}

// newDrainGateway returns a gateway whose only engine is reached within the process.
func newDrainGateway(engine *drainEngine, graceSeconds float64) *Daemon {
	process := config.Defaults()
	process.Name, process.Zone, process.Limits.GraceSeconds = "gateway-1", "near", graceSeconds
	gateway := NewDaemon(process, DefaultHeaderNames(), log.NewNopLogger())
	gateway.pool.DialContext = engine.dial
	route := func(prefix string, kind routing.RouteKind) routing.Route {
		return routing.Route{
			Name: prefix, Host: "h", PathPrefix: prefix, Kind: kind, TimeoutMs: drainRouteTimeoutMs, MaxAttempts: 1,
			Shares: []routing.BackendShare{{Backend: "b", Weight: 1}},
		}
	}
	gateway.applyUpdate(&membership.FleetView{
		Version: 1,
		Engines: map[string]membership.ServingEngine{"e": {ID: "e", Backend: "b", Zone: "near", Slots: engine.slots, Address: "127.0.0.1:1"}},
	}, &routing.Table{
		Generation: 1, Backends: []routing.Backend{{Name: "b"}},
		Routes: []routing.Route{route("/safe/", routing.KindSafe), route("/unsafe/", routing.KindUnsafe), route("/stream/", routing.KindStream)},
	})
	return gateway
}

// call sends the caller's requests until it has none left, holds no address any more, or finds the gateway
// gone. drainAt is when the drain begins.
func (c *drainCaller) call(name string, listener *pipeListener, drainAt time.Time) {
	var connection net.Conn
	var reader *bufio.Reader
	for number, request := range c.requests {
		time.Sleep(time.Duration(request.pauseMs) * time.Millisecond)
		if connection == nil {
			if time.Since(drainAt) > time.Duration(c.heldMs)*time.Millisecond {
				return
			}
			opened, err := listener.dial()
			if err != nil {
				return
			}
			connection, reader = opened, bufio.NewReader(opened)
		}
		request.id = fmt.Sprint(name, "-", number)
		if isReusable := request.exchange(connection, reader); !isReusable {
			_ = connection.Close()
			connection = nil
		}
	}
	if connection != nil {
		_ = connection.Close()
	}
}

// exchange sends the request and reads the response. It reports whether the connection may be used again.
func (r *drainRequest) exchange(connection net.Conn, reader *bufio.Reader) bool {
	r.sentAt = time.Now()
	defer func() { r.endedAt = time.Now() }()
	_, r.err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nOchrebay-Request: %s\r\nOchrebay-Deadline-Ms: %d\r\nRun-Ms: %d\r\nContent-Length: 2\r\n\r\nx", r.path, r.id, r.deadlineMs, r.runMs)
	if r.err == nil {
		time.Sleep(time.Duration(r.bodyPauseMs) * time.Millisecond)
		_, r.err = io.WriteString(connection, "y")
	}
	if r.err != nil {
		return false
	}
	r.readAt = time.Now()
	var response *http.Response
	if response, r.err = http.ReadResponse(reader, nil); r.err != nil {
		return false
	}
	r.status = response.StatusCode
	var body []byte
	body, r.err = io.ReadAll(response.Body)
	r.body = string(body)
	return r.err == nil && !response.Close
}

// check returns what is wrong with the outcome of a request, "" if nothing is. The drain began at drainAt and
// ended at endsAt; it may have lasted until latestEnd.
func (r *drainRequest) check(runs int, drainAt, endsAt, latestEnd time.Time) string {
	isCut := r.err != nil
	limit := r.sentAt.Add(r.timeLimit())
	isRejected := strings.Contains(r.body, fmt.Sprintf(`"code":%d`, result.Draining))
	switch {
	case r.readAt.IsZero():
		return ""
	case isCut && runs == 0 && r.endedAt.Sub(r.readAt) > unreadSlack:
		return "was read and never answered"
	case isCut && runs > 0 && r.endedAt.Before(latestEnd) && r.endedAt.Before(limit):
		return "was cut during the drain"
	case isCut && runs > 0 && r.sentAt.After(drainAt) && r.endedAt.Before(limit):
		return "was sent to an engine after the stop and cut"
	case r.status == http.StatusBadGateway && r.sentAt.After(drainAt) && r.endedAt.Before(limit):
		return "was sent to an engine after the stop and ended"
	case r.status == http.StatusServiceUnavailable && runs > 0:
		return "was run and answered as not run"
	case isRejected && !limit.After(endsAt):
		return "was rejected although it would have ended in time"
	case isRejected && r.readAt.Before(drainAt) && r.endedAt.Sub(drainAt) > rejectionSlack:
		return "waited on although it can't be served"
	case isRejected && r.endedAt.Before(drainAt):
		return "was rejected before the stop"
	}
	return ""
}

// TestDrainProperty guards against calls that a stopping gateway takes and cuts, answers as not run although
// they ran, never answers, or rejects although they could end in time: over drawn times of a stop, times for
// which callers hold addresses, deadlines, kinds of calls, slow bodies and engines without capacity.
func TestDrainProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		graceSeconds := rapid.SampledFrom([]float64{0.5, 3, 8, 12}).Draw(rt, "graceSeconds")
		stopMs := rapid.Int64Range(0, 4000).Draw(rt, "stopMs")
		engine := &drainEngine{slots: rapid.IntRange(1, 6).Draw(rt, "slots"), runs: map[string]int{}}
		var callers []*drainCaller
		for range rapid.IntRange(1, 6).Draw(rt, "callers") {
			callers = append(callers, drawDrainCaller(rt))
		}
		var wrong []string
		synctest.Test(t, func(*testing.T) {
			gateway := newDrainGateway(engine, graceSeconds)
			server, listener := gateway.newServer(), newPipeListener()
			go func() { _ = server.Serve(listener) }()
			drainAt := time.Now().Add(time.Duration(stopMs) * time.Millisecond)
			var calling sync.WaitGroup
			for number, caller := range callers {
				calling.Go(func() { caller.call(fmt.Sprint("c", number), listener, drainAt) })
			}
			time.Sleep(time.Until(drainAt))
			gateway.drainCalls(context.Background())
			_ = closeServer(server)
			calling.Wait()
			time.Sleep(maxDrainRun)
			latestEnd := drainAt.Add(gateway.process.Limits.DrainTimeout())
			for _, caller := range callers {
				for _, request := range caller.requests {
					if fault := request.check(engine.runCount(request.id), drainAt, *gateway.drain.endsAt.Load(), latestEnd); fault != "" {
						wrong = append(wrong, fmt.Sprintf("%s, sent %v after the stop with a limit of %v, ended %v after it: %d %q %v: it %s", request.id,
							request.sentAt.Sub(drainAt), request.timeLimit(), request.endedAt.Sub(drainAt), request.status, request.body, request.err, fault))
					}
				}
			}
		})
		if len(wrong) > 0 {
			rt.Fatalf("%s", strings.Join(wrong, "\n"))
		}
	})
}
