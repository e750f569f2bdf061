package listener

import (
	"container/list"
	"net"
	"time"
)

// Conn is a connection that a Listener has accepted.
type Conn struct {
	// net.Conn hides the methods of a TCP connection that copy past Write.
	net.Conn
	tcp      *net.TCPConn
	listener *Listener

	// The mutex of the listener guards the following fields.

	// element is the connection's element in the listener's list waiting or closing, nil while it is in neither.
	element *list.Element
	// unaccountedBytes is how much has arrived since the last progress.
	unaccountedBytes int
	// isIdle is true between the response to a request and the first bytes of the next one.
	isIdle bool
	// awaitsBody is true while a handler reads the body of a request.
	awaitsBody bool
	// bodyDeadline bounds the time until the body has arrived, the zero time for no bound, and stallTimeout the
	// time in which the client has to make progress, 0 for no bound.
	bodyDeadline time.Time
	stallTimeout time.Duration
	isDisplaced  bool
	isClosed     bool
}

// Read implements net.Conn.
func (c *Conn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if count > 0 {
		c.recordRead(count)
	}
	return count, err
}

// recordRead counts received bytes, and moves the connection behind the others once they are progress.
func (c *Conn) recordRead(count int) {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	c.unaccountedBytes += count
	if c.element == nil || c.isDisplaced {
		return
	}
	if c.isIdle || c.unaccountedBytes >= progressBytes {
		c.isIdle = false
		c.recordProgressLocked()
	}
}

func (c *Conn) recordProgressLocked() {
	c.unaccountedBytes = 0
	c.listener.waiting.MoveToBack(c.element)
	if c.awaitsBody {
		c.setBodyDeadlineLocked()
	}
}

// Write implements net.Conn. A client that does not read is cut off.
func (c *Conn) Write(from []byte) (written int, err error) {
	for {
		piece := from[written:min(written+writePieceBytes, len(from))]
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		count, err := c.Conn.Write(piece)
		written += count
		if err != nil || written == len(from) {
			return written, err
		}
	}
}

// CloseWrite closes the connection for writing, so that the client can read a response before the connection ends.
func (c *Conn) CloseWrite() error { return c.tcp.CloseWrite() }

// SetLinger sets what Close does with data that has not been sent, as for a TCP connection.
func (c *Conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	return c.closeLocked()
}

func (c *Conn) closeLocked() error {
	if c.isClosed {
		return net.ErrClosed
	}
	c.isClosed = true
	c.listener.open--
	c.leaveListLocked()
	return c.Conn.Close()
}

func (c *Conn) leaveListLocked() {
	if c.element == nil {
		return
	}
	if c.isDisplaced {
		c.listener.closing.Remove(c.element)
	} else {
		c.listener.waiting.Remove(c.element)
	}
	c.element = nil
}

// displaceLocked closes the connection. If a handler reads the body of its request, the read is ended instead, so that
// the client gets a response.
func (c *Conn) displaceLocked() {
	c.leaveListLocked()
	c.isDisplaced = true
	if !c.awaitsBody {
		_ = c.closeLocked()
		return
	}
	c.element = c.listener.closing.PushBack(c)
	_ = c.SetReadDeadline(longAgo)
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// awaitRequest makes the connection one that the process waits for, from now on.
func (c *Conn) awaitRequest() {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.isClosed || c.isDisplaced {
		return
	}
	c.awaitsBody = false
	c.isIdle = true
	c.unaccountedBytes = 0
	if c.element == nil {
		c.element = c.listener.waiting.PushBack(c)
		return
	}
	c.listener.waiting.MoveToBack(c.element)
}

// awaitBody records that a handler reads the body of a request, which has to make progress within stallTimeout, 0
// for no bound.
func (c *Conn) awaitBody(stallTimeout time.Duration) {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.isClosed || c.isDisplaced {
		return
	}
	c.awaitsBody = true
	c.bodyDeadline, c.stallTimeout = time.Time{}, stallTimeout
	c.setBodyDeadlineLocked()
}

// limitBody bounds the time until the body has arrived.
func (c *Conn) limitBody(deadline time.Time) {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.isDisplaced || !c.awaitsBody {
		return
	}
	c.bodyDeadline = deadline
	c.setBodyDeadlineLocked()
}

// setBodyDeadlineLocked sets the deadline of the read in progress and of those that follow.
func (c *Conn) setBodyDeadlineLocked() {
	deadline := c.bodyDeadline
	if c.stallTimeout > 0 {
		stalledAt := time.Now().Add(c.stallTimeout)
		if deadline.IsZero() || stalledAt.Before(deadline) {
			deadline = stalledAt
		}
	}
	_ = c.SetReadDeadline(deadline)
}

// MarkEstablished records that the peer is known: the connection is not closed in favor of others.
func (c *Conn) MarkEstablished() { c.serve() }

// serve records that the request has arrived: the connection waits for the process, and is not closed in favor of
// others.
func (c *Conn) serve() {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	if c.isDisplaced {
		return
	}
	c.leaveListLocked()
	if c.awaitsBody {
		c.awaitsBody = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// wasDisplaced reports whether the connection is closed in favor of others.
func (c *Conn) wasDisplaced() bool {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	return c.isDisplaced
}
