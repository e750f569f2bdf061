package protocol

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ochrebay/ochrebay/internal/listener"
)

const (
	// readBufferBytes is the size of each connection's read buffer; longer reads bypass it.
	// writeBatchBytes is the size at which a write batch is flushed, and maxRetainedBatchBytes the
	// largest buffer that is kept for the next batch. A process may have hundreds of connections,
	// most of them idle, so an idle one must use little memory.
	readBufferBytes = 4 << 10
	writeBatchBytes = 64 << 10
	// writePieceBytes is how much of a large body is written at once.
	writePieceBytes       = 1 << 20
	maxRetainedBatchBytes = 8 << 10
	// writeTimeout bounds the write of one batch; for tcpUserTimeout see setTCPUserTimeout.
	writeTimeout   = 10 * time.Second
	tcpUserTimeout = 2 * time.Second
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 20 * time.Millisecond
)

// Errors of a connection.
var (
	// ErrClosed means that the connection is closed.
	ErrClosed = errors.New("protocol: connection closed")
	// ErrQueueFull means that a one-way message was dropped because the send queue is full.
	ErrQueueFull = errors.New("protocol: send queue full")
)

// Counters count the bytes and messages that a process has sent and received, for /metrics.
type Counters struct {
	BytesOut    atomic.Int64
	BytesIn     atomic.Int64
	MessagesOut atomic.Int64
	MessagesIn  atomic.Int64
	// Dropped counts one-way messages that were dropped because a send queue was full.
	Dropped atomic.Int64
}

// Traffic counts the bytes and messages of all inner connections of this process.
var Traffic Counters

// Connection is one TCP connection with its own writer and reader goroutines. Handlers run on
// the reader goroutine and must not block.
type Connection struct {
	socket    net.Conn
	delay     time.Duration
	queue     *sendQueue
	done      chan struct{}
	closeOnce sync.Once
	// lastReceivedNs is when a frame was last received, in Unix nanoseconds.
	lastReceivedNs atomic.Int64
	// frameMemory is the memory for the frames that are received, nil for no bound. isEstablished is used by the
	// reader goroutine only.
	frameMemory   *FrameMemory
	isEstablished bool

	mutex    sync.Mutex
	nextCall uint64
	calls    map[uint64]func(Frame)
	onClose  []func()
}

func newConnection(socket net.Conn, delay time.Duration) *Connection {
	return &Connection{
		socket: socket, delay: delay,
		queue: newSendQueue(), done: make(chan struct{}),
		calls: map[uint64]func(Frame){},
	}
}

// RemoteAddress returns the peer's IP:port.
func (c *Connection) RemoteAddress() string {
	return c.socket.RemoteAddr().String()
}

// Close closes the connection; the handler of every open call receives KindClosed.
func (c *Connection) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.socket.Close()
		c.mutex.Lock()
		calls := c.calls
		hooks := c.onClose
		c.calls = nil
		c.onClose = nil
		c.mutex.Unlock()
		for call, handler := range calls {
			handler(Frame{Call: call, Kind: KindClosed, Last: true})
		}
		for _, hook := range hooks {
			hook()
		}
	})
}

// Closed returns a channel that is closed when the connection has ended.
func (c *Connection) Closed() <-chan struct{} { return c.done }

// ReceivedSince reports whether a frame was received at or after a time.
func (c *Connection) ReceivedSince(since time.Time) bool {
	return c.lastReceivedNs.Load() >= since.UnixNano()
}

// OnClose registers hook to run once when the connection ends; if it has ended already, hook
// runs at once.
func (c *Connection) OnClose(hook func()) {
	c.mutex.Lock()
	ended := c.calls == nil
	if !ended {
		c.onClose = append(c.onClose, hook)
	}
	c.mutex.Unlock()
	if ended {
		hook()
	}
}

// Call sends a request and returns its call number. handler receives each frame of the response,
// the last one marked, or KindClosed if the connection ends first.
func (c *Connection) Call(kind Kind, request any, handler func(Frame)) uint64 {
	body, err := Encode(request)
	if err != nil {
		handler(Frame{Kind: KindClosed, Last: true})
		return 0
	}
	return c.CallRaw(kind, body, handler)
}

// CallRaw is Call with an encoded request.
func (c *Connection) CallRaw(kind Kind, body []byte, handler func(Frame)) uint64 {
	c.mutex.Lock()
	if c.calls == nil {
		c.mutex.Unlock()
		handler(Frame{Kind: KindClosed, Last: true})
		return 0
	}
	c.nextCall++
	call := c.nextCall
	c.calls[call] = handler
	c.mutex.Unlock()
	// If the frame can't be queued, the connection is closed, and Close calls the handler.
	_ = c.enqueue(Frame{Call: call, Kind: kind, Body: body})
	return call
}

// Send sends a one-way message; it returns ErrQueueFull if the message was dropped.
func (c *Connection) Send(kind Kind, message any) error {
	body, err := Encode(message)
	if err != nil {
		return err
	}
	return c.SendRaw(kind, body)
}

// SendRaw sends an encoded one-way message; it returns ErrQueueFull if the message was dropped.
func (c *Connection) SendRaw(kind Kind, body []byte) error {
	return c.enqueue(Frame{Kind: kind, Last: true, Body: body})
}

// Reply sends a response frame for a call made by the peer.
func (c *Connection) Reply(call uint64, kind Kind, message any, last bool) error {
	body, err := Encode(message)
	if err != nil {
		return err
	}
	return c.enqueue(Frame{Call: call, Kind: kind, Last: last, Body: body})
}

// enqueue queues a frame without blocking. If the queue overflows because the peer doesn't
// read, it closes the connection.
func (c *Connection) enqueue(frame Frame) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	err := c.queue.put(queuedFrame{frame: frame, dueAt: time.Now().Add(c.delay)})
	if errors.Is(err, ErrQueueFull) {
		Traffic.Dropped.Add(1)
	}
	if errors.Is(err, errQueueOverflow) {
		c.Close()
		return ErrClosed
	}
	return err
}

// writeLoop writes queued frames; frames that are queued together are written as one batch.
func (c *Connection) writeLoop() {
	batch := batchWriter{connection: c}
	for {
		select {
		case <-c.done:
			return
		case <-c.queue.ready:
		}
		for _, next := range c.queue.takeAll() {
			if err := batch.add(next); err != nil {
				c.Close()
				return
			}
		}
		if err := batch.flush(); err != nil {
			c.Close()
			return
		}
	}
}

// batchWriter collects frames for one write.
type batchWriter struct {
	connection *Connection
	buffer     []byte
	// bodyBytes is the total size of the bodies in buffer.
	bodyBytes int
}

func (b *batchWriter) add(next queuedFrame) error {
	if b.connection.delay > 0 {
		if err := b.flush(); err != nil {
			return err
		}
		time.Sleep(time.Until(next.dueAt))
	}
	b.bodyBytes += len(next.frame.Body)
	Traffic.MessagesOut.Add(1)
	if len(next.frame.Body) >= writeBatchBytes {
		b.buffer = appendFrameHeader(b.buffer, next.frame)
		return b.write(next.frame.Body)
	}
	b.buffer = AppendFrame(b.buffer, next.frame)
	if len(b.buffer) >= writeBatchBytes {
		return b.flush()
	}
	return nil
}

func (b *batchWriter) flush() error {
	if len(b.buffer) == 0 {
		return nil
	}
	return b.write(nil)
}

// write writes the collected frames, followed by the body of the last one if that is not in the buffer.
func (b *batchWriter) write(body []byte) error {
	Traffic.BytesOut.Add(int64(len(b.buffer) + len(body)))
	_ = b.connection.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := b.connection.socket.Write(b.buffer)
	for err == nil && len(body) > 0 {
		piece := body[:min(len(body), writePieceBytes)]
		body = body[len(piece):]
		_ = b.connection.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err = b.connection.socket.Write(piece)
	}
	b.connection.queue.recordWritten(b.bodyBytes)
	b.bodyBytes = 0
	b.buffer = b.buffer[:0]
	if cap(b.buffer) > maxRetainedBatchBytes {
		b.buffer = nil
	}
	return err
}

func (c *Connection) readLoop(dispatch func(Frame)) {
	defer c.Close()
	deliver := dispatch
	if c.delay > 0 {
		delayed := make(chan queuedFrame, maxSendQueueFrames)
		defer close(delayed)
		go deliverDelayed(delayed, dispatch)
		deliver = func(frame Frame) { delayed <- queuedFrame{frame, time.Now().Add(c.delay)} }
	}
	reader := frameReader{socket: c.socket, reader: bufio.NewReaderSize(c.socket, readBufferBytes), memory: c.frameMemory, ctx: c.context()}
	for {
		frame, err := reader.next()
		if err != nil {
			return
		}
		c.markEstablished()
		c.lastReceivedNs.Store(time.Now().UnixNano())
		Traffic.BytesIn.Add(int64(len(frame.Body)) + lengthBytes)
		Traffic.MessagesIn.Add(1)
		deliver(frame)
		if frame.memory != nil && !frame.memory.isRetained {
			frame.memory.release()
		}
	}
}

// markEstablished records that the peer has sent a frame, so that its connection is not closed in favor of others.
func (c *Connection) markEstablished() {
	if c.isEstablished {
		return
	}
	c.isEstablished = true
	if bounded, ok := c.socket.(*listener.Conn); ok {
		_ = bounded.SetReadDeadline(time.Time{})
		bounded.MarkEstablished()
	}
}

// context returns a context that ends with the connection.
func (c *Connection) context() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	c.OnClose(cancel)
	return ctx
}

func deliverDelayed(delayed <-chan queuedFrame, dispatch func(Frame)) {
	for next := range delayed {
		time.Sleep(time.Until(next.dueAt))
		dispatch(next.frame)
	}
}

func (c *Connection) dispatchReply(frame Frame) {
	c.mutex.Lock()
	handler := c.calls[frame.Call]
	if frame.Last {
		delete(c.calls, frame.Call)
	}
	c.mutex.Unlock()
	if handler != nil {
		handler(frame)
	}
}

// Handler handles one request; it responds with Connection.Reply, immediately or later.
type Handler func(connection *Connection, frame Frame)

// Server accepts inner connections.
type Server struct {
	listener    *listener.Listener
	handler     Handler
	frameMemory *FrameMemory
	mutex       sync.Mutex
	connections map[*Connection]bool
}

// Limits bound what the peers of a server use of the process.
type Limits struct {
	// Connections is how many connections may be open.
	Connections int
	// FrameMemory is the memory for received frames, nil for no bound.
	FrameMemory *FrameMemory
}

// unlimited are limits that tests and tools don't reach.
var unlimited = Limits{Connections: 1 << 20}

// Listen binds to IP:port and starts accepting connections; port 0 lets the kernel choose a
// port.
func Listen(address string, handler Handler) (*Server, error) {
	return ListenWithin(address, unlimited, handler)
}

// ListenWithin is Listen with limits on what peers use.
func ListenWithin(address string, limits Limits, handler Handler) (*Server, error) {
	bounded, err := listener.ListenInner(address, limits.Connections, setTCPUserTimeout)
	if err != nil {
		return nil, err
	}
	server := &Server{listener: bounded, handler: handler, frameMemory: limits.FrameMemory, connections: map[*Connection]bool{}}
	go server.acceptFrom(bounded)
	return server, nil
}

// Connections returns the counts of the server's connections.
func (s *Server) Connections() listener.Counts { return s.listener.Counts() }

// Address returns the bound IP:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// acceptFrom accepts connections until the listener is closed.
func (s *Server) acceptFrom(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process or the machine has no descriptor left at the moment.
			time.Sleep(acceptRetryDelay)
			continue
		}
		_ = socket.SetReadDeadline(time.Now().Add(firstFrameTimeout))
		connection := newConnection(socket, 0)
		connection.frameMemory = s.frameMemory
		s.mutex.Lock()
		s.connections[connection] = true
		s.mutex.Unlock()
		connection.OnClose(func() {
			s.mutex.Lock()
			delete(s.connections, connection)
			s.mutex.Unlock()
		})
		go connection.writeLoop()
		go connection.readLoop(func(frame Frame) { s.handler(connection, frame) })
	}
}

// Close stops accepting and closes every connection.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mutex.Lock()
	var connections []*Connection
	for connection := range s.connections {
		connections = append(connections, connection)
	}
	s.mutex.Unlock()
	for _, connection := range connections {
		connection.Close()
	}
}
