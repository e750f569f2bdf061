package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 400 * time.Millisecond
	// maxResponseHeads bounds the response heads that are read for a request. Interim (1xx)
	// responses and responses that do not belong to the request are skipped.
	maxResponseHeads = 4
	// backgroundWriteBytes is the size above which a request is written in the background while
	// the response is awaited: an engine may respond before it has read the whole request.
	backgroundWriteBytes = 4 << 10
	// maxProbeResponseBytes bounds how much of the response to a probe is read. The connection of a longer
	// one is closed.
	maxProbeResponseBytes = 64 << 10
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request reached the engine.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrNoResponse means that the engine may have received the request but sent no response to
	// it.
	ErrNoResponse = errors.New("upstream: no response to the request")
)

// Request is a request in the form in which it is sent to the engine.
type Request struct {
	Method string
	// URI is the request target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody means that the client sent a body, possibly an empty one.
	HasBody bool
	// ID is the request ID that the response must repeat in the header IDHeader. A response without an ID may
	// belong to a request without one, or to none. Such a request is sent on a connection of its own, unless it
	// is a probe, or matched by its order.
	ID       string
	IDHeader string
	// MatchesByOrder means that a request without an ID may be sent on a connection that is used again: the peer is
	// trusted to send one response to each request.
	MatchesByOrder bool
	// NeedsNewConnection means that the request is sent on a connection of its own, which reaches the process that
	// accepts at the address now.
	NeedsNewConnection bool

	// writtenAt is when the whole request had been written, nil before.
	writtenAt atomic.Pointer[time.Time]
}

// WrittenAt returns when the whole request had been handed to the operating system, and false if it has not been.
func (r *Request) WrittenAt() (time.Time, bool) {
	if at := r.writtenAt.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// Exchange is a response in progress. Its owner reads the body to the end, or as far as it needs,
// and calls Close.
type Exchange struct {
	Response *http.Response

	pool             *Pool
	address          string
	connection       *connection
	stopCancellation func() bool
	// written is closed once the write of the request has ended. Only then is writeErr valid.
	written      chan struct{}
	writeErr     error
	bodyComplete bool
	// readErr is the first error of reading the body, other than io.EOF. The operating system reports it once.
	readErr error
	closed  bool
}

// Pool holds idle connections by address.
type Pool struct {
	mutex sync.Mutex
	idle  map[string][]*connection
	// DialContext opens a connection to an engine.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectionsOpened counts new connections, and ConnectionsReused the requests that were sent
	// on connections from the pool.
	ConnectionsOpened atomic.Int64
	ConnectionsReused atomic.Int64
	// OnDial is called with the time taken to open a new connection. It may be nil.
	OnDial func(address string, duration time.Duration)
	// OnStrayResponse is called for each response that does not belong to the request for which it was
	// read. It may be nil.
	OnStrayResponse func(address string, request *Request, stray *http.Response)
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setTCPUserTimeout}
	return &Pool{idle: map[string][]*connection{}, DialContext: dialer.DialContext}
}

// acquire returns a usable idle connection on which no request with this ID was sent, or a new one.
// Invariant: an ID is sent only once on a connection. Otherwise a late copy of the response to the first
// request with the ID would be taken for the response to the second one. A request without an ID gets a new
// connection, unless it is matched by its order.
func (p *Pool) acquire(ctx context.Context, address string, request *Request) (*connection, error) {
	for (request.ID != "" || request.MatchesByOrder) && !request.NeedsNewConnection {
		idle := p.popIdle(address, func(candidate *connection) bool { return !candidate.hasSent(request.ID) })
		if idle == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(idle.usableUntil) && idle.isOpenAndDrained() {
			p.ConnectionsReused.Add(1)
			return idle, nil
		}
		_ = idle.socket.Close()
	}
	return p.dial(ctx, address)
}

// popIdle removes and returns the eligible idle connection that was used last, nil if there is none.
func (p *Pool) popIdle(address string, isEligible func(candidate *connection) bool) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[address]
	for position := len(idle) - 1; position >= 0; position-- {
		if candidate := idle[position]; isEligible(candidate) {
			p.idle[address] = slices.Delete(idle, position, position+1)
			return candidate
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	dialStart := time.Now()
	socket, err := p.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.ConnectionsOpened.Add(1)
	if p.OnDial != nil {
		p.OnDial(address, time.Since(dialStart))
	}
	return newConnection(socket), nil
}

func (p *Pool) release(address string, idle *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[address] = append(p.idle[address], idle)
}

// CloseIdle closes the idle connections to an engine that has left.
func (p *Pool) CloseIdle(address string) {
	p.mutex.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mutex.Unlock()
	for _, connection := range idle {
		_ = connection.socket.Close()
	}
}

// CloseExpired closes the idle connections that are past their usableUntil.
func (p *Pool) CloseExpired(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, idle := range p.idle {
		var usable []*connection
		for _, connection := range idle {
			if now.Before(connection.usableUntil) {
				usable = append(usable, connection)
				continue
			}
			_ = connection.socket.Close()
		}
		if len(usable) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = usable
	}
}

// Do sends a request and returns the head of the response. When ctx ends, the connection is
// closed, upon which most engines drop the request. The error wraps ErrNotSent or ErrNoResponse.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Exchange, error) {
	acquired, err := p.acquire(ctx, address, request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if request.ID == "" && !request.MatchesByOrder {
		acquired.isOutOfSync = true
	}
	return p.exchange(ctx, address, acquired, request)
}

// Probe sends a request on an idle connection to an address that was opened before the given time, and
// reports whether a response to it begins. If so, the process that accepted the connection has not ended. An
// idle connection alone does not show that: nobody closes the connections of a host without power. Bytes that
// belong to no request show it as well, as long as they have not arrived before the probe is sent.
func (p *Pool) Probe(ctx context.Context, address string, openedBefore time.Time, request *Request) bool {
	for {
		earlier := p.popIdle(address, func(candidate *connection) bool {
			return candidate.openedAt.Before(openedBefore)
		})
		if earlier == nil {
			return false
		}
		if !earlier.isOpenAndDrained() {
			_ = earlier.socket.Close()
			continue
		}
		exchange, err := p.exchange(ctx, address, earlier, request)
		if err != nil {
			return false
		}
		_, _ = io.CopyN(io.Discard, exchange, maxProbeResponseBytes)
		exchange.Close()
		return true
	}
}

// exchange sends a request on a connection and returns the head of the response.
func (p *Pool) exchange(ctx context.Context, address string, acquired *connection, request *Request) (*Exchange, error) {
	exchange := &Exchange{pool: p, address: address, connection: acquired, written: make(chan struct{})}
	exchange.stopCancellation = context.AfterFunc(ctx, func() { _ = acquired.socket.Close() })
	if request.ID != "" {
		acquired.recordSend(request.ID)
	}
	exchange.send(request)
	if err := exchange.readHeader(request); err != nil {
		exchange.Close()
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return exchange, nil
}

// send writes the request, a long one in the background.
func (e *Exchange) send(request *Request) {
	encoded := request.encode()
	write := func() {
		if _, e.writeErr = e.connection.socket.Write(encoded); e.writeErr == nil {
			now := time.Now()
			request.writtenAt.Store(&now)
		}
		close(e.written)
	}
	if len(encoded) > backgroundWriteBytes {
		go write()
		return
	}
	write()
}

// encode returns the wire format of the request.
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

// readHeader reads the head of the response to this request. Invariant: a response is returned only if it
// repeats the ID of the request and nothing else. What has no ID or another one belongs to no request or to
// an earlier one; the response to this request may follow it.
func (e *Exchange) readHeader(request *Request) error {
	httpRequest := &http.Request{Method: request.Method}
	for range maxResponseHeads {
		response, err := e.connection.readHead(httpRequest)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.isAnsweredBy(response) {
			e.Response = response
			return nil
		}
		if err := e.skipStray(request, response); err != nil {
			return err
		}
	}
	return errors.New("upstream: only interim responses and responses to other requests received")
}

// isAnsweredBy reports whether a response has the ID of the request, or has none like the request.
func (r *Request) isAnsweredBy(response *http.Response) bool {
	ids := response.Header.Values(r.IDHeader)
	if r.ID == "" {
		return !slices.ContainsFunc(ids, func(id string) bool { return id != "" })
	}
	return len(ids) == 1 && ids[0] == r.ID
}

// skipStray reads a response that does not belong to the request to its end.
func (e *Exchange) skipStray(request *Request, stray *http.Response) error {
	e.connection.isOutOfSync = true
	if e.pool.OnStrayResponse != nil {
		e.pool.OnStrayResponse(e.address, request, stray)
	}
	if framingOf(stray) == CloseDelimited {
		return errors.New("upstream: a response that does not belong to the request ends with the connection")
	}
	return e.connection.discardBody(stray)
}

// ConnectionOpenedAt returns when the connection of the exchange was opened.
func (e *Exchange) ConnectionOpenedAt() time.Time { return e.connection.openedAt }

// Read reads the body of the response. io.EOF means that the body has ended as its framing says. A
// close-delimited body ends so as well if the engine's process ended before the body was complete and after it
// had read the whole request. Once a read has failed, later ones return the same error. It wraps ErrEndUnconfirmed if the
// connection was lost during the write of the request.
func (e *Exchange) Read(into []byte) (int, error) {
	if e.readErr != nil {
		return 0, e.readErr
	}
	count, err := e.Response.Body.Read(into)
	if errors.Is(err, io.EOF) && e.endsWithConnection() {
		if endErr := e.confirmEnd(endConfirmationTimeout); endErr != nil {
			err = endErr
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		e.bodyComplete = true
	case err != nil:
		e.readErr = err
	}
	return count, err
}

// endsWithConnection reports whether only the end of the connection ends the body. A response to HEAD has none.
func (e *Exchange) endsWithConnection() bool {
	return e.Framing() == CloseDelimited && e.Response.Body != http.NoBody
}

// HasEnded reports whether the body of the response has ended as its framing says, with its connection
// still open.
func (e *Exchange) HasEnded() bool { return e.bodyComplete && e.Framing() != CloseDelimited }

// Close ends the exchange. Invariant: the connection is reused only if the whole request was
// written, the whole response was read, nothing else has arrived and no unread bytes are left.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	// If the cancellation has already started, the socket is closed or about to be closed.
	reusable := e.stopCancellation() && e.bodyComplete && e.Response != nil && !e.Response.Close && e.Framing() != CloseDelimited
	if !e.isWritten() || e.connection.isOutOfSync || len(e.connection.sentIDs) >= maxConnectionRequests {
		reusable = false
	}
	if !reusable || e.connection.reader.Buffered() > 0 {
		_ = e.connection.socket.Close()
		return
	}
	e.connection.recordKeepAlive(e.Response.Header, time.Now())
	e.pool.release(e.address, e.connection)
}

// Framing is how the end of a response's body is given (RFC 9112, section 6.3).
type Framing string

const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// CloseDelimited means that the body ends with its connection.
	CloseDelimited Framing = "close"
)

// Framing returns how the end of the response's body is given.
func (e *Exchange) Framing() Framing { return framingOf(e.Response) }

func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	case response.ContentLength >= 0:
		return FramedByLength
	}
	return CloseDelimited
}
