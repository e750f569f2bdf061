package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 400 * time.Millisecond
	// strayAnswers bounds the answers to other requests that are passed over.
	strayAnswers = 4
	// backgroundWriteBytes is the size above which a request is written while its
	// answer is awaited: an engine may answer before it has read it all.
	backgroundWriteBytes = 4 << 10
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request reached the engine.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrNoResponse means that the engine may have seen the request, and no answer came.
	ErrNoResponse = errors.New("upstream: broken off")
)

// Request is one request as the engine is to get it.
type Request struct {
	Method string
	// URI is the request target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the client sent a body, be it an empty one.
	HasBody bool
	// ID is what the answer must repeat in the header IDHeader.
	ID       string
	IDHeader string
}

// Exchange is an answer under way. Its owner reads Response.Body to the end, or as
// far as it wants, and calls Close.
type Exchange struct {
	Response *http.Response

	pool     *Pool
	address  string
	current  *connection
	stop     func() bool
	written  chan struct{}
	writeErr error
	whole    bool
	closed   bool
}

// Pool keeps idle connections by address.
type Pool struct {
	mutex sync.Mutex
	idle  map[string][]*connection
	// ConnectionsOpened counts new connections, Reused requests on kept ones.
	ConnectionsOpened atomic.Int64
	ConnectionsReused atomic.Int64
	// OnDial is told how long a new connection took; nil where nobody asks.
	OnDial func(address string, took time.Duration)
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*connection{}} }

// take returns an idle connection that looks sound, or a new one.
func (p *Pool) take(ctx context.Context, address string) (*connection, error) {
	for {
		kept := p.pop(address)
		if kept == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(kept.usableUntil) && kept.quiet() {
			p.ConnectionsReused.Add(1)
			return kept, nil
		}
		_ = kept.socket.Close()
	}
}

func (p *Pool) pop(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	kept[len(kept)-1] = nil
	p.idle[address] = kept[:len(kept)-1]
	return last
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: giveUpOnSilence}
	began := time.Now()
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.ConnectionsOpened.Add(1)
	if p.OnDial != nil {
		p.OnDial(address, time.Since(began))
	}
	return newConnection(socket), nil
}

func (p *Pool) put(address string, kept *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[address] = append(p.idle[address], kept)
}

// CloseIdle closes the idle connections to an engine that is gone.
func (p *Pool) CloseIdle(address string) {
	p.mutex.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mutex.Unlock()
	for _, connection := range kept {
		_ = connection.socket.Close()
	}
}

// CloseExpired closes idle connections that have rested too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, kept := range p.idle {
		var fresh []*connection
		for _, connection := range kept {
			if now.Before(connection.usableUntil) {
				fresh = append(fresh, connection)
				continue
			}
			_ = connection.socket.Close()
		}
		if len(fresh) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = fresh
	}
}

// Do sends a request and returns the head of its answer. The end of ctx closes the
// connection, by which most engines drop the request. The error wraps ErrNotSent
// or ErrBroken.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Exchange, error) {
	current, err := p.take(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	exchange := &Exchange{pool: p, address: address, current: current, written: make(chan struct{})}
	exchange.stop = context.AfterFunc(ctx, func() { _ = current.socket.Close() })
	exchange.send(request)
	if err := exchange.readHead(request); err != nil {
		exchange.Close()
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return exchange, nil
}

// send writes the request, a long one in the background.
func (e *Exchange) send(request *Request) {
	raw := request.encode()
	write := func() {
		_, e.writeErr = e.current.socket.Write(raw)
		close(e.written)
	}
	if len(raw) > backgroundWriteBytes {
		go write()
		return
	}
	write()
}

// encode returns the request's bytes on the wire.
func (r *Request) encode() []byte {
	var buffer bytes.Buffer
	buffer.Grow(1024 + len(r.Body))
	buffer.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&buffer)
	if r.HasBody || len(r.Body) > 0 {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(r.Body)
	return buffer.Bytes()
}

// readHead reads the head of the answer to this request. Invariant: an answer that
// repeats another request's id is never taken for this one's.
func (e *Exchange) readHead(request *Request) error {
	asked := &http.Request{Method: request.Method}
	for range strayAnswers {
		response, err := http.ReadResponse(e.current.reader, asked)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if id := response.Header.Get(request.IDHeader); id != "" && id != request.ID {
			if err := discard(response); err != nil {
				return err
			}
			continue
		}
		e.Response = response
		return nil
	}
	return errors.New("upstream: only answers to other requests came")
}

// Read reads the answer's body; io.EOF means that it is whole.
func (e *Exchange) Read(into []byte) (int, error) {
	count, err := e.Response.Body.Read(into)
	if errors.Is(err, io.EOF) {
		e.whole = true
	}
	return count, err
}

// Close ends the exchange. Invariant: the connection is used again only where the
// whole request was written, the whole answer read and nothing is left over.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	// Where the cancellation has begun, the socket is closed or about to be.
	sound := e.stop() && e.whole && e.Response != nil && !e.Response.Close && e.framed()
	if sound {
		select {
		case <-e.written:
			sound = e.writeErr == nil
		default:
			sound = false
		}
	}
	if !sound || e.current.reader.Buffered() > 0 {
		_ = e.current.socket.Close()
		return
	}
	e.current.noteKeepAlive(e.Response.Header, time.Now())
	e.pool.put(e.address, e.current)
}

// framed reports whether the answer's end was told by its framing and not by the
// end of the connection.
func (e *Exchange) framed() bool {
	return e.Response.ContentLength >= 0 || len(e.Response.TransferEncoding) > 0
}
