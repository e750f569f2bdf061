package protocol

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readBufferBytes is what each connection reads at once; longer frames bypass the
	// buffer. writeBatchBytes is how much is gathered for one write, keptBatchBytes the
	// largest buffer that is kept for the next one. A process may have hundreds of
	// connections, most of them idle, so that an idle one must cost little.
	readBufferBytes = 4 << 10
	writeBatchBytes = 64 << 10
	keptBatchBytes  = 8 << 10
	writeTimeout    = 10 * time.Second
	silenceTimeout  = 2 * time.Second
)

// Errors of a connection.
var (
	// ErrClosed means that the connection has ended.
	ErrClosed = errors.New("protocol: connection closed")
	// ErrQueueFull means that a one-way message was dropped: too much waits to be
	// written.
	ErrQueueFull = errors.New("protocol: too much waits to be written")
)

// Counters count what a process has sent and received, for /metrics.
type Counters struct {
	BytesOut    atomic.Int64
	BytesIn     atomic.Int64
	MessagesOut atomic.Int64
	MessagesIn  atomic.Int64
	// Dropped counts one-way messages that a full queue did not take.
	Dropped atomic.Int64
}

// Traffic counts all inner connections of this process.
var Traffic Counters

// Connection is one TCP connection with a writer and a reader of its own.
// Handlers run on the reader's goroutine and must not block.
type Connection struct {
	socket net.Conn
	delay  time.Duration
	queue  *sendQueue
	done   chan struct{}
	once   sync.Once
	// heard is when a frame was last received, Unix nanoseconds.
	heard atomic.Int64

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

// Close ends the connection; every open call gets KindClosed.
func (c *Connection) Close() {
	c.once.Do(func() {
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

// Closed is closed when the connection has ended.
func (c *Connection) Closed() <-chan struct{} { return c.done }

// ReceivedSince reports whether a frame was received at or after a time.
func (c *Connection) ReceivedSince(since time.Time) bool { return c.heard.Load() >= since.UnixNano() }

// OnClose runs hook once when the connection ends, at once if it has.
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

// Call sends a request; handler gets each frame of the answer, the last one
// marked, or KindClosed where the connection ends first.
func (c *Connection) Call(kind Kind, request any, handler func(Frame)) uint64 {
	body, err := Encode(request)
	if err != nil {
		handler(Frame{Kind: KindClosed, Last: true})
		return 0
	}
	return c.CallRaw(kind, body, handler)
}

// CallRaw is Call with a request that is encoded already.
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
	// Where the frame can't be queued, Close has told the handler.
	_ = c.enqueue(Frame{Call: call, Kind: kind, Body: body})
	return call
}

// Send sends a one-way message; it returns ErrQueueFull where the message was dropped.
func (c *Connection) Send(kind Kind, message any) error {
	body, err := Encode(message)
	if err != nil {
		return err
	}
	return c.SendRaw(kind, body)
}

// SendRaw sends a one-way message that is encoded already; it returns ErrQueueFull
// where the message was dropped.
func (c *Connection) SendRaw(kind Kind, body []byte) error {
	return c.enqueue(Frame{Kind: kind, Last: true, Body: body})
}

// Reply sends a frame of a call that the peer has made.
func (c *Connection) Reply(call uint64, kind Kind, message any, last bool) error {
	body, err := Encode(message)
	if err != nil {
		return err
	}
	return c.enqueue(Frame{Call: call, Kind: kind, Last: last, Body: body})
}

// enqueue closes a connection whose peer doesn't read: a sender never blocks.
func (c *Connection) enqueue(frame Frame) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	err := c.queue.put(queued{frame: frame, due: time.Now().Add(c.delay)})
	if errors.Is(err, ErrQueueFull) {
		Traffic.Dropped.Add(1)
	}
	if errors.Is(err, errQueueOverflow) {
		c.Close()
		return ErrClosed
	}
	return err
}

// writeLoop writes what waits; frames that wait together go out together.
func (c *Connection) writeLoop() {
	batch := batchWriter{connection: c}
	for {
		select {
		case <-c.done:
			return
		case <-c.queue.ready:
		}
		for _, next := range c.queue.take() {
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

// batchWriter gathers frames for one write.
type batchWriter struct {
	connection *Connection
	buffer     []byte
	// size is that of the bodies gathered.
	size int
}

func (b *batchWriter) add(next queued) error {
	if b.connection.delay > 0 {
		if err := b.flush(); err != nil {
			return err
		}
		time.Sleep(time.Until(next.due))
	}
	b.buffer = AppendFrame(b.buffer, next.frame)
	b.size += len(next.frame.Body)
	Traffic.MessagesOut.Add(1)
	if len(b.buffer) >= writeBatchBytes {
		return b.flush()
	}
	return nil
}

func (b *batchWriter) flush() error {
	if len(b.buffer) == 0 {
		return nil
	}
	Traffic.BytesOut.Add(int64(len(b.buffer)))
	_ = b.connection.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := b.connection.socket.Write(b.buffer)
	b.connection.queue.written(b.size)
	b.size = 0
	b.buffer = b.buffer[:0]
	if cap(b.buffer) > keptBatchBytes {
		b.buffer = nil
	}
	return err
}

func (c *Connection) readLoop(dispatch func(Frame)) {
	defer c.Close()
	deliver := dispatch
	if c.delay > 0 {
		delayed := make(chan queued, sendQueueFrames)
		defer close(delayed)
		go deliverDelayed(delayed, dispatch)
		deliver = func(frame Frame) { delayed <- queued{frame, time.Now().Add(c.delay)} }
	}
	reader := bufio.NewReaderSize(c.socket, readBufferBytes)
	for {
		frame, err := ReadFrame(reader)
		if err != nil {
			return
		}
		c.heard.Store(time.Now().UnixNano())
		Traffic.BytesIn.Add(int64(len(frame.Body)) + lengthBytes)
		Traffic.MessagesIn.Add(1)
		deliver(frame)
	}
}

func deliverDelayed(delayed <-chan queued, dispatch func(Frame)) {
	for next := range delayed {
		time.Sleep(time.Until(next.due))
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

// Handler takes one request; it answers with connection.Reply, now or later.
type Handler func(connection *Connection, frame Frame)

// Server accepts inner connections.
type Server struct {
	listener net.Listener
	handler  Handler
	mutex    sync.Mutex
	open     map[*Connection]bool
}

// Listen binds to IP:port; port 0 lets the kernel choose.
func Listen(address string, handler Handler) (*Server, error) {
	config := net.ListenConfig{Control: giveUpOnSilence}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	server := &Server{listener: listener, handler: handler, open: map[*Connection]bool{}}
	go server.accept()
	return server, nil
}

// Address returns the bound IP:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

func (s *Server) accept() {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		connection := newConnection(socket, 0)
		s.mutex.Lock()
		s.open[connection] = true
		s.mutex.Unlock()
		connection.OnClose(func() {
			s.mutex.Lock()
			delete(s.open, connection)
			s.mutex.Unlock()
		})
		go connection.writeLoop()
		go connection.readLoop(func(frame Frame) { s.handler(connection, frame) })
	}
}

// Close stops accepting and ends every connection.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mutex.Lock()
	var open []*Connection
	for connection := range s.open {
		open = append(open, connection)
	}
	s.mutex.Unlock()
	for _, connection := range open {
		connection.Close()
	}
}
