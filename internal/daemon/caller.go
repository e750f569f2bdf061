package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/protocol"
)

// ErrNoResponse means that the connection ended before the reply arrived, or that the client is
// closed.
var ErrNoResponse = errors.New("daemon: no response")

// Client sends requests to other processes over one connection for each address.
type Client struct {
	mutex       sync.Mutex
	connections map[string]*clientConnection
	closed      bool
}

// clientConnection is the connection to one address or the attempt to establish it.
type clientConnection struct {
	// done is closed when the attempt has ended and connection and err are set.
	done       chan struct{}
	connection *protocol.Connection
	err        error
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{connections: map[string]*clientConnection{}} }

// connect returns the connection to an address. Concurrent calls share one attempt to
// establish it.
func (c *Client) connect(ctx context.Context, address string) (*protocol.Connection, error) {
	c.mutex.Lock()
	entry := c.connections[address]
	if entry == nil && !c.closed {
		entry = &clientConnection{done: make(chan struct{})}
		c.connections[address] = entry
		go c.dial(address, entry)
	}
	c.mutex.Unlock()
	if entry == nil {
		return nil, ErrNoResponse
	}
	select {
	case <-entry.done:
		return entry.connection, entry.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) dial(address string, entry *clientConnection) {
	entry.connection, entry.err = protocol.Dial(address, dialTimeout, 0)
	if entry.err != nil {
		c.remove(address, entry)
		close(entry.done)
		return
	}
	close(entry.done)
	entry.connection.OnClose(func() { c.remove(address, entry) })
}

func (c *Client) remove(address string, entry *clientConnection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections[address] == entry {
		delete(c.connections, address)
	}
}

// Disconnect closes the connection to an address, so that the next call dials a new one.
func (c *Client) Disconnect(address string) {
	c.mutex.Lock()
	entry := c.connections[address]
	delete(c.connections, address)
	c.mutex.Unlock()
	if entry == nil {
		return
	}
	go func() {
		<-entry.done
		if entry.connection != nil {
			entry.connection.Close()
		}
	}()
}

// Call sends a request and decodes its first response frame into reply.
func (c *Client) Call(ctx context.Context, address string, kind protocol.Kind, request, reply any) error {
	connection, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	replies := make(chan protocol.Frame, 1)
	connection.Call(kind, request, func(frame protocol.Frame) {
		select {
		case replies <- frame:
		default:
		}
	})
	select {
	case frame := <-replies:
		if frame.Kind == protocol.KindClosed {
			return ErrNoResponse
		}
		return protocol.Decode(frame.Body, reply)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CallWithTimeout is Call with a timeout. If the call times out and nothing was received from
// the process meanwhile, its connection is closed, since the process may be unreachable. A
// process that responds to other calls is only slow, and closing its connection would fail
// those calls too.
func (c *Client) CallWithTimeout(ctx context.Context, timeout time.Duration, address string, kind protocol.Kind, request, reply any) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	startedAt := time.Now()
	err := c.Call(callCtx, address, kind, request, reply)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil && !c.receivedSince(address, startedAt) {
		c.Disconnect(address)
	}
	return err
}

// receivedSince reports whether anything was received from an address since a time.
func (c *Client) receivedSince(address string, since time.Time) bool {
	c.mutex.Lock()
	entry := c.connections[address]
	c.mutex.Unlock()
	if entry == nil {
		return false
	}
	select {
	case <-entry.done:
		return entry.connection != nil && entry.connection.ReceivedSince(since)
	default:
		return false
	}
}

// Close closes all connections; later calls fail.
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
