package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// expiryInterval is the least time between two sweeps of a Transport's idle connections.
const expiryInterval = time.Second

// Transport is an http.RoundTripper that reads responses as a Pool does: an invalid head, and a body whose connection
// was lost, are errors. It is for peers that repeat no request IDs, so that responses are matched by their
// order alone. Errors wrap ErrNotSent or ErrNoResponse, and the cause of the request's context once that has ended. A
// request is sent at most once.
type Transport struct {
	pool *Pool
	// sweptAt is when idle connections were swept last, in nanoseconds since the Unix epoch.
	sweptAt atomic.Int64
}

var errUnsupportedScheme = errors.New("upstream: only http is supported")

// NewTransport returns a transport that gives up dials after the given time.
func NewTransport(dialTimeout time.Duration) *Transport {
	pool := NewPool()
	pool.DialContext = (&net.Dialer{Timeout: dialTimeout, Control: setTCPUserTimeout}).DialContext
	return &Transport{pool: pool}
}

// RoundTrip implements http.RoundTripper. The host of the URL has to be an address with a port.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Scheme != "http" {
		return nil, errUnsupportedScheme
	}
	var body []byte
	if request.Body != nil {
		var err error
		body, err = io.ReadAll(request.Body)
		_ = request.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	t.closeExpired()
	exchange, err := t.pool.Do(request.Context(), request.URL.Host, &Request{
		Method: cmp.Or(request.Method, http.MethodGet), URI: request.URL.RequestURI(), Host: cmp.Or(request.Host, request.URL.Host),
		Header: request.Header, Body: body, HasBody: request.Body != nil, MatchesByOrder: true,
	})
	if err != nil {
		return nil, withContextCause(request.Context(), err)
	}
	response := *exchange.Response
	response.Request = request
	response.Body = &exchangeBody{exchange: exchange, ctx: request.Context()}
	return &response, nil
}

// closeExpired closes idle connections that are past their time, at most once in expiryInterval.
func (t *Transport) closeExpired() {
	now := time.Now()
	sweptAt := t.sweptAt.Load()
	if now.UnixNano()-sweptAt > expiryInterval.Nanoseconds() && t.sweptAt.CompareAndSwap(sweptAt, now.UnixNano()) {
		t.pool.CloseExpired(now)
	}
}

// CloseIdleConnections closes all idle connections.
func (t *Transport) CloseIdleConnections() {
	// No idle connection is usable for longer than maxIdle.
	t.pool.CloseExpired(time.Now().Add(2 * maxIdle))
}

// exchangeBody is the body of a Transport's response.
type exchangeBody struct {
	exchange *Exchange
	ctx      context.Context
}

// Read implements io.Reader.
func (b *exchangeBody) Read(into []byte) (int, error) {
	count, err := b.exchange.Read(into)
	if err != nil && !errors.Is(err, io.EOF) {
		err = withContextCause(b.ctx, err)
	}
	return count, err
}

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	b.exchange.Close()
	return nil
}

// withContextCause adds the cause of a context that has ended: it has closed the connection.
func withContextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return err
}
