package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// discardTimeout is how long the rest of a body that no handler has read is awaited, so that the client can read the
// response before the connection ends.
const discardTimeout = 5 * time.Second

// contextKey is the key of the connection in the context of a request.
type contextKey struct{}

// Serve serves HTTP on the listener until the server is closed. stallTimeout is the time in which a client that sends
// a body has to make progress, 0 for no bound. The server must have no hooks of its own for its connections.
func (l *Listener) Serve(server *http.Server, stallTimeout time.Duration) error {
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, connection)
	}
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			connection.(*Conn).awaitRequest()
		}
	}
	server.Handler = trackRequests(server.Handler, stallTimeout)
	return server.Serve(l)
}

// trackRequests records which connections wait for the process, and for which connections the process waits.
func trackRequests(handler http.Handler, stallTimeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection := connectionOf(r)
		if r.Body == nil || r.Body == http.NoBody {
			connection.serve()
			handler.ServeHTTP(w, r)
			return
		}
		connection.awaitBody(stallTimeout)
		body := &trackedBody{ReadCloser: r.Body, connection: connection}
		r.Body = body
		// After a panic of the handler the server closes the connection and reads nothing more.
		handler.ServeHTTP(w, r)
		if !body.hasEnded {
			connection.limitBody(time.Now().Add(discardTimeout))
		}
	})
}

func connectionOf(r *http.Request) *Conn {
	connection, _ := r.Context().Value(contextKey{}).(*Conn)
	return connection
}

// LimitBody bounds the time until the body of a request has arrived. Reads fail after the deadline.
func LimitBody(r *http.Request, deadline time.Time) {
	if connection := connectionOf(r); connection != nil {
		connection.limitBody(deadline)
	}
}

// Interrupt ends the read of a request's body that is in progress, and those that follow.
func Interrupt(r *http.Request) { LimitBody(r, longAgo) }

// WasDisplaced reports whether the connection of a request is closed in favor of others. The body can't be read then.
func WasDisplaced(r *http.Request) bool {
	connection := connectionOf(r)
	return connection != nil && connection.wasDisplaced()
}

// trackedBody records when the body of a request has arrived.
type trackedBody struct {
	io.ReadCloser
	connection *Conn
	hasEnded   bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) && !b.hasEnded {
		b.hasEnded = true
		b.connection.serve()
	}
	return count, err
}
