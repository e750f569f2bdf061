package listener

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testTimeout bounds every wait of these tests. It is not an expected duration.
const testTimeout = 30 * time.Second

// testServer is a server whose handler reads the body and, for paths under /wait/, responds once release is closed.
type testServer struct {
	listener *Listener
	server   *http.Server
	release  chan struct{}
	mutex    sync.Mutex
	// serving counts requests that have arrived whole and are not answered yet.
	serving int
	// bytesRead counts the bytes of bodies that have arrived.
	bytesRead byteCounter
}

// byteCounter counts the bytes that are written to it.
type byteCounter struct{ atomic.Int64 }

// Write implements io.Writer.
func (c *byteCounter) Write(from []byte) (int, error) {
	c.Add(int64(len(from)))
	return len(from), nil
}

func newTestServer(limit int, stallTimeout time.Duration) (*testServer, error) {
	bounded, err := Listen("127.0.0.1:0", limit)
	if err != nil {
		return nil, err
	}
	s := &testServer{listener: bounded, release: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { _ = bounded.Serve(s.server, stallTimeout) }()
	return s, nil
}

func (s *testServer) handle(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(&s.bytesRead, r.Body); err != nil {
		w.Header().Set("Connection", "close")
		if WasDisplaced(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else {
			w.WriteHeader(http.StatusRequestTimeout)
		}
		return
	}
	if strings.HasPrefix(r.URL.Path, "/wait/") {
		s.count(1)
		defer s.count(-1)
		<-s.release
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
}

func (s *testServer) count(change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.serving += change
}

func (s *testServer) servingCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.serving
}

func (s *testServer) close() {
	select {
	case <-s.release:
	default:
		close(s.release)
	}
	_ = s.server.Close()
}

// testClient is one connection to a testServer.
type testClient struct {
	connection net.Conn
	reader     *bufio.Reader
}

func (s *testServer) dial() (*testClient, error) {
	connection, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{connection: connection, reader: bufio.NewReader(connection)}, nil
}

func (c *testClient) send(text string) { _, _ = io.WriteString(c.connection, text) }

// status returns the status of the next response, 0 if the connection ends before.
func (c *testClient) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// eventually waits until a condition holds.
func eventually(t interface {
	Helper()
	Fatalf(format string, arguments ...any)
}, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// openings are ways in which a client holds a connection without a whole request.
var openings = []string{
	"", "POST / HTTP/1.1\r\nHost: h\r\nX: ", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx", "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
}

// TestConnectionsProperty guards against more open connections than an address may have, against requests that the
// process answers and that are cut off in favor of others, and against an ordinary client that gets no answer beside
// clients that hold their connections.
func TestConnectionsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(minConnections, 2*minConnections).Draw(t, "limit")
		server, err := newTestServer(limit, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer server.close()
		var served, holders []*testClient
		servedCount := rapid.IntRange(0, limit-2).Draw(t, "served")
		for range rapid.IntRange(1, 3*limit).Draw(t, "steps") {
			client, err := server.dial()
			if err != nil {
				t.Fatal(err)
			}
			defer client.connection.Close()
			if len(served) < servedCount {
				before := server.servingCount()
				client.send("POST /wait/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
				eventually(t, "a request to be served", func() bool { return server.servingCount() > before })
				served = append(served, client)
				continue
			}
			client.send(rapid.SampledFrom(openings).Draw(t, "opening"))
			holders = append(holders, client)
			eventually(t, "the connection to be accepted", func() bool { return server.listener.Counts().Open > 0 })
			if open := server.listener.Counts().Open; open > limit+limit/closingDivisor {
				t.Fatalf("%d connections are open, the limit is %d", open, limit)
			}
		}
		ordinary, err := server.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer ordinary.connection.Close()
		ordinary.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
		if status := ordinary.status(); status != http.StatusOK {
			t.Fatalf("an ordinary request beside %d connections: status %d", len(holders), status)
		}
		if open := server.listener.Counts().Open; open > limit+limit/closingDivisor {
			t.Fatalf("%d connections are open, the limit is %d", open, limit)
		}
		close(server.release)
		for _, client := range served {
			if status := client.status(); status != http.StatusOK {
				t.Fatalf("a request that was being answered: status %d", status)
			}
		}
	})
}

// TestDisplacedBodyIsAnswered guards against a client whose body is still on its way and that is not told that the
// request was not run.
func TestDisplacedBodyIsAnswered(t *testing.T) {
	server, err := newTestServer(minConnections, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer server.close()
	slow, err := server.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer slow.connection.Close()
	slow.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
	eventually(t, "the slow connection", func() bool { return server.listener.Counts().Open == 1 })
	for range minConnections {
		other, err := server.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer other.connection.Close()
	}
	if status := slow.status(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
}

// TestRefusalWhileAllAreServed guards against a new client that is closed without an answer while all connections
// are in use.
func TestRefusalWhileAllAreServed(t *testing.T) {
	server, err := newTestServer(minConnections, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer server.close()
	for number := range minConnections {
		client, err := server.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer client.connection.Close()
		client.send("GET /wait/ HTTP/1.1\r\nHost: h\r\n\r\n")
		eventually(t, "the request to be served", func() bool { return server.servingCount() > number })
	}
	refused, err := server.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer refused.connection.Close()
	if status := refused.status(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	if counts := server.listener.Counts(); counts.Refused != 1 || counts.Displaced != 0 {
		t.Errorf("counts %+v", counts)
	}
}

// TestStalledBodyTimesOut guards against a body that is awaited for ever while there are connections to spare, and
// against a request after one whose body was slow that is cut off by the deadline of the earlier body.
func TestStalledBodyTimesOut(t *testing.T) {
	const stallTimeout = 200 * time.Millisecond
	server, err := newTestServer(minConnections, stallTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer server.close()
	client, err := server.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer client.connection.Close()
	client.send("POST /wait/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	eventually(t, "the request to be served", func() bool { return server.servingCount() == 1 })
	time.Sleep(2 * stallTimeout)
	close(server.release)
	if status := client.status(); status != http.StatusOK {
		t.Fatalf("a request that took longer than the body may: status %d", status)
	}
	client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
	if status := client.status(); status != http.StatusRequestTimeout {
		t.Errorf("a body that does not arrive: status %d", status)
	}
}

// TestSteadyBodyArrives guards against a body that arrives slowly but steadily, for longer than a body may stall, and
// is cut off.
func TestSteadyBodyArrives(t *testing.T) {
	const (
		stallTimeout = 3 * time.Second
		pause        = stallTimeout / 15
		pieces       = 20
	)
	server, err := newTestServer(minConnections, stallTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer server.close()
	client, err := server.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer client.connection.Close()
	client.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", pieces*progressBytes))
	for range pieces {
		time.Sleep(pause)
		client.send(strings.Repeat("x", progressBytes))
	}
	if status := client.status(); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// TestTricklingConnectionMakesRoom guards against a client that sends a byte now and then and keeps its connection, while
// one that has begun its request later loses its own.
func TestTricklingConnectionMakesRoom(t *testing.T) {
	server, err := newTestServer(minConnections, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer server.close()
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
	var clients []*testClient
	for number := range minConnections {
		client, err := server.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer client.connection.Close()
		client.send(head)
		clients = append(clients, client)
		eventually(t, "the connection to be accepted", func() bool { return server.listener.Counts().Open > number })
	}
	trickling, later := clients[0], clients[1]
	bytesBefore := server.bytesRead.Load()
	for sent := int64(1); sent <= 50; sent++ {
		trickling.send("x")
		eventually(t, "the byte to arrive", func() bool { return server.bytesRead.Load() >= bytesBefore+sent })
	}
	newcomer, err := server.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer newcomer.connection.Close()
	if status := trickling.status(); status != http.StatusServiceUnavailable {
		t.Errorf("the trickling client: status %d", status)
	}
	later.send(strings.Repeat("x", 100_000))
	if status := later.status(); status != http.StatusOK {
		t.Errorf("the client that began later: status %d", status)
	}
}

// TestIdleConnectionBeginsAnew guards against a client that has kept its connection for a next request and loses it as soon
// as that request begins, because others have come since.
func TestIdleConnectionBeginsAnew(t *testing.T) {
	server, err := newTestServer(minConnections, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer server.close()
	var clients []*testClient
	for number := range minConnections {
		client, err := server.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer client.connection.Close()
		clients = append(clients, client)
		if number == 0 {
			client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			if status := client.status(); status != http.StatusOK {
				t.Fatalf("the first request: status %d", status)
			}
		}
		eventually(t, "the connection to be accepted", func() bool { return server.listener.Counts().Open > number })
	}
	kept := clients[0]
	kept.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
	eventually(t, "the body to begin", func() bool { return server.bytesRead.Load() == 1 })
	newcomer, err := server.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer newcomer.connection.Close()
	eventually(t, "a connection to be displaced", func() bool { return server.listener.Counts().Displaced == 1 })
	kept.send("x")
	if status := kept.status(); status != http.StatusOK {
		t.Errorf("the next request of the client that was idle: status %d", status)
	}
}

// TestEstablishedConnectionsStay guards against links between processes that are closed in favor of clients that only
// hold connections.
func TestEstablishedConnectionsStay(t *testing.T) {
	bounded, err := ListenInner("127.0.0.1:0", minConnections, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer bounded.Close()
	accepted := make(chan net.Conn, 8*minConnections)
	go func() {
		for {
			connection, err := bounded.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			accepted <- connection
		}
	}()
	dial := func() net.Conn {
		connection, err := net.Dial("tcp", bounded.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() })
		return connection
	}
	peer := dial()
	peerSide := (<-accepted).(*Conn)
	peerSide.MarkEstablished()
	for range 4 * minConnections {
		dial()
	}
	eventually(t, "connections to be displaced", func() bool { return bounded.Counts().Displaced >= 3*minConnections })
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := peerSide.Read(make([]byte, 1)); err != nil {
		t.Errorf("the peer's connection: %v", err)
	}
}
