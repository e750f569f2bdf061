package upstream

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// openSockets holds the sockets of all open connections by address, idle or in use.
type openSockets struct {
	mutex     sync.Mutex
	byAddress map[string]map[*trackedSocket]struct{}
}

// trackedSocket is the socket of an open connection. Closing it removes it from the open sockets.
type trackedSocket struct {
	net.Conn
	sockets *openSockets
	address string
	// openedAt is when the connection was made.
	openedAt time.Time
}

// track adds a socket.
func (o *openSockets) track(address string, socket net.Conn) *trackedSocket {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.byAddress == nil {
		o.byAddress = map[string]map[*trackedSocket]struct{}{}
	}
	if o.byAddress[address] == nil {
		o.byAddress[address] = map[*trackedSocket]struct{}{}
	}
	tracked := &trackedSocket{Conn: socket, sockets: o, address: address, openedAt: time.Now()}
	o.byAddress[address][tracked] = struct{}{}
	return tracked
}

// Close implements net.Conn.
func (s *trackedSocket) Close() error {
	s.sockets.mutex.Lock()
	delete(s.sockets.byAddress[s.address], s)
	if len(s.sockets.byAddress[s.address]) == 0 {
		delete(s.sockets.byAddress, s.address)
	}
	s.sockets.mutex.Unlock()
	return s.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (s *trackedSocket) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := s.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// isOpenAndDrained reports whether the peer has neither closed the connection nor sent bytes that were
// not read yet. It reads nothing, so it can be called while the connection is in use.
func (s *trackedSocket) isOpenAndDrained() bool {
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	drained := false
	var peeked [1]byte
	err = raw.Control(func(descriptor uintptr) {
		_, _, readErr := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		drained = readErr == unix.EAGAIN || readErr == unix.EWOULDBLOCK
	})
	return err == nil && drained
}

// HasOpenConnection reports whether a connection to an address is open that was made before the given
// time. If so, the process that accepted it has not ended: the kernel closes all connections of a
// process that ends.
func (p *Pool) HasOpenConnection(address string, before time.Time) bool {
	p.sockets.mutex.Lock()
	var sockets []*trackedSocket
	for socket := range p.sockets.byAddress[address] {
		if socket.openedAt.Before(before) {
			sockets = append(sockets, socket)
		}
	}
	p.sockets.mutex.Unlock()
	for _, socket := range sockets {
		if socket.isOpenAndDrained() {
			return true
		}
	}
	return false
}
