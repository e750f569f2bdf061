package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

const (
	frontendHeaderTimeout = 5 * time.Second
	frontendIdleTimeout   = 60 * time.Second
	// frontendCloseTimeout bounds how long a process that stops waits for the requests in flight.
	frontendCloseTimeout = 200 * time.Millisecond
)

// Frontend is an additional HTTP endpoint of a process.
type Frontend struct {
	Address string
	Handler http.Handler
}

// ServeFrontends serves until ctx is cancelled or a server fails. Requests that are still in flight
// frontendCloseTimeout later are aborted.
func ServeFrontends(ctx context.Context, frontends []Frontend) error {
	return serveFrontends(ctx, frontends, frontendCloseTimeout)
}

func serveFrontends(ctx context.Context, frontends []Frontend, closeTimeout time.Duration) error {
	failures := make(chan error, len(frontends))
	var servers []*http.Server
	defer func() { closeFrontends(servers, closeTimeout) }()
	for _, frontend := range frontends {
		listener, err := net.Listen("tcp", frontend.Address)
		if err != nil {
			return errorx.Decorate(err, "listening on %s", frontend.Address)
		}
		server := &http.Server{Handler: frontend.Handler, ReadHeaderTimeout: frontendHeaderTimeout, IdleTimeout: frontendIdleTimeout}
		servers = append(servers, server)
		go func() { failures <- server.Serve(listener) }()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-failures:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
}

// closeFrontends closes servers once their requests in flight are answered, or after closeTimeout.
func closeFrontends(servers []*http.Server, closeTimeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range servers {
		_ = server.Shutdown(ctx)
		_ = server.Close()
	}
}
