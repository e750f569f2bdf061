package main

import (
	"bytes"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
)

// strayShareDivisor makes an engine send bytes that belong to no request before one in this many responses.
const strayShareDivisor = 25

// strayBytes are responses that belong to no request.
var strayBytes = []string{
	"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: of-nobody\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nRequest-Id: of-nobody\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nstray",
}

const (
	// endlessShareDivisor makes an engine send bytes without end in place of one in this many responses.
	endlessShareDivisor = 40
	// maxEndlessBytes ends them if the gateway does not close the connection.
	maxEndlessBytes = 64 << 20
)

// strayListener accepts connections on which bytes that belong to no request come before some responses.
type strayListener struct {
	net.Listener
	// draw returns a random number below limit.
	draw   func(limit int) int
	isCalm func() bool
}

// Accept implements net.Listener.
func (l *strayListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &strayConnection{TCPConn: accepted.(*net.TCPConn), listener: l}, nil
}

// strayConnection is a connection of a strayListener.
type strayConnection struct {
	*net.TCPConn
	listener *strayListener
	// refusal is the last refusal that was sent on the connection, nil for none.
	refusal []byte
}

// Write implements net.Conn. A response begins with a write of its own.
func (c *strayConnection) Write(data []byte) (int, error) {
	if bytes.HasPrefix(data, []byte("HTTP/1.1 ")) {
		if !c.listener.isCalm() && c.listener.draw(strayShareDivisor) == 0 {
			if _, err := c.TCPConn.Write(c.stray()); err != nil {
				return 0, err
			}
		}
		if !c.listener.isCalm() && c.listener.draw(endlessShareDivisor) == 0 {
			return 0, c.writeEndless(data)
		}
		if strings.Contains(string(data), http.CanonicalHeaderKey("Not-Executed")) {
			c.refusal = bytes.Clone(data)
		}
	}
	return c.TCPConn.Write(data)
}

// stray returns the late copy of a refusal on the connection, or a response that belongs to no request.
func (c *strayConnection) stray() []byte {
	if c.refusal != nil && c.listener.draw(2) == 0 {
		return c.refusal
	}
	return []byte(strayBytes[c.listener.draw(len(strayBytes))])
}

// errEndless ends the connection on which bytes without end were sent.
var errEndless = errors.New("bytes without end were sent")

// writeEndless writes the head of the response up to a random byte, and then repeats one of endlessKinds until the
// gateway closes the connection. Nothing would tell such bytes from the body of the response.
func (c *strayConnection) writeEndless(data []byte) error {
	names := slices.Sorted(maps.Keys(endlessKinds))
	repeated := endlessKinds[names[c.listener.draw(len(names))]][1]
	head, _, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	chunk := head[:c.listener.draw(len(head)+1)]
	for sent := 0; sent < maxEndlessBytes; sent += len(chunk) {
		if _, err := c.TCPConn.Write(chunk); err != nil {
			return err
		}
		chunk = []byte(strings.Repeat(repeated, endlessWriteBytes/len(repeated)+1))
	}
	_ = c.Close()
	return errEndless
}
