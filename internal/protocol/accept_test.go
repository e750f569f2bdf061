package protocol

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// testTimeout bounds every wait of these tests. It is not an expected duration.
const testTimeout = 30 * time.Second

// failingListener returns an error for the first connections.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServerAcceptsAfterAnError guards against a server that accepts no connection any more once the process had no
// descriptor left.
func TestServerAcceptsAfterAnError(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: inner}
	failing.failures.Store(3)
	received := make(chan struct{}, 1)
	server := &Server{handler: func(*Connection, Frame) { received <- struct{}{} }, connections: map[*Connection]bool{}}
	go server.acceptFrom(failing)
	defer inner.Close()
	connection, err := Dial(inner.Addr().String(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_ = connection.SendRaw(KindPeer, []byte("x"))
	select {
	case <-received:
	case <-time.After(testTimeout):
		t.Error("no connection was accepted")
	}
}

// TestPeersKeepTheirConnections guards against a link between processes that is closed in favor of clients that only hold
// connections to the address of the inner protocol.
func TestPeersKeepTheirConnections(t *testing.T) {
	const limit = 8
	received := make(chan struct{}, 1)
	server, err := ListenWithin("127.0.0.1:0", Limits{Connections: limit}, func(*Connection, Frame) { received <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	peer, err := Dial(server.Address(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	await := func() {
		t.Helper()
		_ = peer.SendRaw(KindPeer, []byte("x"))
		select {
		case <-received:
		case <-time.After(testTimeout):
			t.Fatal("the peer's message did not arrive")
		}
	}
	await()
	for range 4 * limit {
		connection, err := net.Dial("tcp", server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
	}
	for deadline := time.Now().Add(testTimeout); server.Connections().Displaced < 3*limit; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("counts %+v", server.Connections())
		}
	}
	await()
}
