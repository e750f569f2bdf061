// Package upstream carries requests to engines over HTTP/1.1 connections that are
// kept. It says of every failure whether the engine can have seen the request, and
// never lets bytes that belong to one answer reach another: answers are matched by
// the request's id, and a connection with bytes left over is not used again.
package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 8 << 10
	// silenceTimeout ends a connection whose peer acknowledges nothing.
	silenceTimeout = 2500 * time.Millisecond
	// keepMargin is how much earlier than announced an idle connection is given up.
	keepMargin = 400 * time.Millisecond
	// longestIdle bounds idle connections whose engine announces nothing.
	longestIdle = 30 * time.Second
)

// connection is one kept connection to an engine.
type connection struct {
	socket net.Conn
	reader *bufio.Reader
	// usableUntil is when an idle connection may be about to be closed.
	usableUntil time.Time
}

func newConnection(socket net.Conn) *connection {
	return &connection{socket: socket, reader: bufio.NewReaderSize(socket, readBufferBytes)}
}

// giveUpOnSilence makes the kernel end a connection whose peer acknowledges
// nothing: an engine without power or behind a cut says nothing.
func giveUpOnSilence(_, _ string, socket syscall.RawConn) error {
	var failure error
	err := socket.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// quiet reports whether an idle connection is open and holds no byte that nobody
// asked for.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peeked [1]byte
	err = control.Read(func(descriptor uintptr) bool {
		_, _, failure := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failure == unix.EAGAIN || failure == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// noteKeepAlive remembers how long the engine keeps the connection.
func (c *connection) noteKeepAlive(header http.Header, now time.Time) {
	keep := longestIdle
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			keep = min(keep, time.Duration(seconds)*time.Second)
		}
	}
	c.usableUntil = now.Add(max(keep-keepMargin, keep/2))
}

// discard reads an answer that belongs to no request to its end.
func discard(response *http.Response) error {
	_, err := io.Copy(io.Discard, response.Body)
	return err
}
