// Package upstream sends requests to engines over persistent HTTP/1.1 connections. For every
// failure it reports whether the engine may have received the request. HTTP/1.1 matches responses by
// their order alone (RFC 9112, section 9.2), which does not hold for an engine that sends bytes that belong
// to no request. A response is therefore returned only if it repeats the ID of the request, and an ID is
// sent only once on a connection. A connection on which anything else has arrived is not reused.
package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 8 << 10
	// tcpUserTimeout closes a connection whose peer stops acknowledging data.
	tcpUserTimeout = 2500 * time.Millisecond
	// keepAliveMargin is the time before the end of the announced keep-alive timeout in which an
	// idle connection is not used, because the engine may be about to close it.
	keepAliveMargin = 400 * time.Millisecond
	// maxIdle bounds the idle time of connections whose engine announces no keep-alive timeout.
	maxIdle = 30 * time.Second
	// maxConnectionRequests is how many requests are sent on one connection, which bounds the IDs that
	// are kept of them.
	maxConnectionRequests = 512
)

// connection is a persistent connection to an engine.
type connection struct {
	socket net.Conn
	reader *bufio.Reader
	// bounded is the source of reader.
	bounded *boundedReader
	// openedAt is when the connection was made.
	openedAt time.Time
	// usableUntil is the time until which the idle connection may be reused. The engine may close
	// it soon after.
	usableUntil time.Time
	// sentIDs holds the hashed IDs of the requests that were sent on this connection.
	sentIDs []uint64
	// isOutOfSync is set once a response has arrived that belongs to no request or to an earlier one, or may
	// do so.
	isOutOfSync bool
}

// hasSent reports whether a request with this ID was sent on the connection.
func (c *connection) hasSent(id string) bool {
	return slices.Contains(c.sentIDs, xxhash.Sum64String(id))
}

func (c *connection) recordSend(id string) { c.sentIDs = append(c.sentIDs, xxhash.Sum64String(id)) }

func newConnection(socket net.Conn) *connection {
	bounded := &boundedReader{source: socket, remaining: noBound}
	return &connection{socket: socket, reader: bufio.NewReaderSize(bounded, readBufferBytes), bounded: bounded, openedAt: time.Now()}
}

// setTCPUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose peer
// stops acknowledging data: an engine without power or behind a network partition sends no reset.
func setTCPUserTimeout(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	err := socket.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// isOpenAndDrained reports whether an idle connection is open and has no unread bytes.
func (c *connection) isOpenAndDrained() bool {
	return c.reader.Buffered() == 0 && isOpenAndDrained(c.socket)
}

// isOpenAndDrained reports whether the peer has neither closed the connection nor sent bytes that were
// not read yet. It reads nothing.
func isOpenAndDrained(socket net.Conn) bool {
	source, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
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

// recordKeepAlive sets usableUntil from the keep-alive timeout that the engine announces, at most
// maxIdle. The timeout is reduced by keepAliveMargin, but by no more than half.
func (c *connection) recordKeepAlive(header http.Header, now time.Time) {
	idleTimeout := maxIdle
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			idleTimeout = min(idleTimeout, time.Duration(seconds)*time.Second)
		}
	}
	c.usableUntil = now.Add(max(idleTimeout-keepAliveMargin, idleTimeout/2))
}
