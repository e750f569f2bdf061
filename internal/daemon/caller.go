package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/protocol"
)

// ErrNoResponse means that a process did not answer in time or ended the connection.
var ErrNoResponse = errors.New("daemon: no answer")

// Client keeps one connection to each process that this one asks.
type Client struct {
	mutex       sync.Mutex
	connections map[string]*callee
	closed      bool
}

// callee is one process's connection or the attempt to make it.
type callee struct {
	done       chan struct{}
	connection *protocol.Connection
	err        error
}

// NewClient returns a caller without connections.
func NewClient() *Client { return &Client{connections: map[string]*callee{}} }

// connect returns the connection to an address; callers that come while it is made
// wait for the same one.
func (c *Client) connect(ctx context.Context, address string) (*protocol.Connection, error) {
	c.mutex.Lock()
	known := c.connections[address]
	if known == nil && !c.closed {
		known = &callee{done: make(chan struct{})}
		c.connections[address] = known
		go c.dial(address, known)
	}
	c.mutex.Unlock()
	if known == nil {
		return nil, ErrNoResponse
	}
	select {
	case <-known.done:
		return known.connection, known.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) dial(address string, made *callee) {
	made.connection, made.err = protocol.Dial(address, dialTimeout, 0)
	if made.err != nil {
		c.forget(address, made)
		close(made.done)
		return
	}
	close(made.done)
	made.connection.OnClose(func() { c.forget(address, made) })
}

func (c *Client) forget(address string, made *callee) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections[address] == made {
		delete(c.connections, address)
	}
}

// Disconnect closes the connection to an address, so that the next call makes a new one.
func (c *Client) Disconnect(address string) {
	c.mutex.Lock()
	known := c.connections[address]
	delete(c.connections, address)
	c.mutex.Unlock()
	if known == nil {
		return
	}
	go func() {
		<-known.done
		if known.connection != nil {
			known.connection.Close()
		}
	}()
}

// Call sends a request and decodes its one answer into reply.
func (c *Client) Call(ctx context.Context, address string, kind protocol.Kind, request, reply any) error {
	connection, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	answers := make(chan protocol.Frame, 1)
	connection.Call(kind, request, func(frame protocol.Frame) {
		select {
		case answers <- frame:
		default:
		}
	})
	select {
	case frame := <-answers:
		if frame.Kind == protocol.KindClosed {
			return ErrNoResponse
		}
		return protocol.Decode(frame.Body, reply)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CallWithTimeout is Call with a bound on its time; a process that kept silent all that time
// loses its connection, since it may be dark. One that answers others is only slow: to end
// its connection would end their calls too.
func (c *Client) CallWithTimeout(ctx context.Context, within time.Duration, address string, kind protocol.Kind, request, reply any) error {
	bounded, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	began := time.Now()
	err := c.Call(bounded, address, kind, request, reply)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil && !c.heardSince(address, began) {
		c.Disconnect(address)
	}
	return err
}

// heardSince reports whether a process has sent anything since a time.
func (c *Client) heardSince(address string, since time.Time) bool {
	c.mutex.Lock()
	known := c.connections[address]
	c.mutex.Unlock()
	if known == nil {
		return false
	}
	select {
	case <-known.done:
		return known.connection != nil && known.connection.ReceivedSince(since)
	default:
		return false
	}
}

// Close ends all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	addresses := make([]string, 0, len(c.connections))
	for address := range c.connections {
		addresses = append(addresses, address)
	}
	c.mutex.Unlock()
	for _, address := range addresses {
		c.Disconnect(address)
	}
}
