// Package listener bounds the connections that clients hold to an address of a process, so that they can't use up
// the descriptors and the memory that the process needs for its other addresses, its peers and its files. While an
// address has as many connections as allowed, a new one takes the place of the one that has made no progress for
// the longest.
package listener

import (
	"container/list"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ConnectionMemoryBytes is what one connection may weigh without a body: its buffers in the process, and the
	// bytes in the kernel that have not been read.
	ConnectionMemoryBytes = receiveBufferBytes + 32<<10
	// receiveBufferBytes bounds the bytes that the kernel holds for a connection. At round trips of a few
	// milliseconds a client still sends more than 10 MB/s.
	receiveBufferBytes = 64 << 10
	// progressBytes is how much has to arrive for a client to have made progress within one request.
	progressBytes = 16 << 10
	// closingDivisor determines how many connections may be open beyond the limit while they are told that they
	// are closed: one in closingDivisor.
	closingDivisor = 4
	minConnections = 8
	// refusalWriteTimeout bounds the write of a refusal; it fits into the send buffer of a new connection.
	refusalWriteTimeout = 10 * time.Millisecond
	// writeTimeout bounds the write of writePieceBytes of a response to a client that does not read.
	writeTimeout    = 30 * time.Second
	writePieceBytes = 64 << 10
)

// refusal is sent to a new connection for which there is no room: no request of it has been read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Listener accepts the connections to one address.
type Listener struct {
	net.Listener
	limit int
	// isHTTP is true if a connection that is refused gets an HTTP response.
	isHTTP bool

	mutex sync.Mutex
	// open is the number of open connections.
	open int
	// waiting holds the connections that the process waits for, those without progress for the longest first:
	// idle ones and ones whose request has not arrived whole.
	waiting *list.List
	// closing holds the connections that are told that they are closed, those told first first.
	closing *list.List
	counts  Counts
}

// Counts are the connections of a listener.
type Counts struct {
	Open, Limit int
	// Displaced counts connections that were closed in favor of others, and Refused new ones that were closed because
	// all others were in use.
	Displaced, Refused int64
}

// Listen binds to IP:port. limit is how many connections may be open; at least minConnections are.
func Listen(address string, limit int) (*Listener, error) {
	l, err := listen(address, limit, nil)
	if l != nil {
		l.isHTTP = true
	}
	return l, err
}

// ListenInner is Listen for a protocol other than HTTP. control is applied to the socket.
func ListenInner(address string, limit int, control func(network, address string, socket syscall.RawConn) error) (*Listener, error) {
	return listen(address, limit, control)
}

func listen(address string, limit int, control func(network, address string, socket syscall.RawConn) error) (*Listener, error) {
	config := net.ListenConfig{Control: func(network, address string, socket syscall.RawConn) error {
		if control != nil {
			return control(network, address, socket)
		}
		return setReceiveBuffer(socket)
	}}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: inner, limit: max(limit, minConnections), waiting: list.New(), closing: list.New()}, nil
}

// setReceiveBuffer bounds the receive buffers of the connections that a socket accepts.
func setReceiveBuffer(socket syscall.RawConn) error {
	var failure error
	err := socket.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
	if err != nil {
		return err
	}
	return failure
}

// Counts returns the current counts.
func (l *Listener) Counts() Counts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := l.counts
	counts.Open, counts.Limit = l.open, l.limit
	return counts
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		connection := &Conn{Conn: accepted, tcp: accepted.(*net.TCPConn), listener: l}
		if l.admit(connection) {
			return connection, nil
		}
		l.refuse(accepted)
	}
}

// admit adds a new connection. If there are too many, the one without progress for the longest is closed. It returns
// false if there is none that can be.
func (l *Listener) admit(connection *Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open-l.closing.Len() >= l.limit && !l.displaceOldest() {
		l.counts.Refused++
		return false
	}
	for l.open >= l.limit+l.limit/closingDivisor {
		oldest := l.closing.Front()
		if oldest == nil {
			l.counts.Refused++
			return false
		}
		oldest.Value.(*Conn).closeLocked()
	}
	l.open++
	connection.element = l.waiting.PushBack(connection)
	return true
}

// displaceOldest closes the connection without progress for the longest. It returns false if there is none.
func (l *Listener) displaceOldest() bool {
	front := l.waiting.Front()
	if front == nil {
		return false
	}
	l.counts.Displaced++
	front.Value.(*Conn).displaceLocked()
	return true
}

func (l *Listener) refuse(connection net.Conn) {
	if l.isHTTP {
		_ = connection.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		_, _ = connection.Write([]byte(refusal))
	}
	_ = connection.Close()
}
