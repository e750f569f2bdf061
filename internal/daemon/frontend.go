package daemon

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/listener"
)

const (
	frontendHeaderTimeout = 5 * time.Second
	frontendIdleTimeout   = 60 * time.Second
	// frontendStallTimeout is the time in which a client that sends a body has to make progress.
	frontendStallTimeout = 10 * time.Second
	// frontendCloseTimeout bounds how long a process that stops waits for the requests in flight.
	frontendCloseTimeout = 200 * time.Millisecond
)

// Frontend is an additional HTTP endpoint of a process.
type Frontend struct {
	Address string
	Handler http.Handler
	// Name is the name of the address in the log.
	Name string
	// Share is the part of the process's resources that the connections to it may use.
	Share ConnectionShare
}

// ServeFrontends serves until ctx is cancelled or a server fails. Requests that are still in flight
// frontendCloseTimeout later are aborted.
// watch may be nil.
func ServeFrontends(ctx context.Context, limits config.Limits, watch *ConnectionWatch, frontends []Frontend) error {
	return serveFrontends(ctx, limits, watch, frontends, frontendCloseTimeout)
}

func serveFrontends(ctx context.Context, limits config.Limits, watch *ConnectionWatch, frontends []Frontend, closeTimeout time.Duration) error {
	failures := make(chan error, len(frontends))
	var servers []*http.Server
	defer func() { closeFrontends(servers, closeTimeout) }()
	for _, frontend := range frontends {
		bounded, err := listener.Listen(frontend.Address, MaxConnections(limits, frontend.Share))
		if err != nil {
			return errorx.Decorate(err, "listening on %s", frontend.Address)
		}
		server := &http.Server{
			Handler: frontend.Handler, ReadHeaderTimeout: frontendHeaderTimeout, IdleTimeout: frontendIdleTimeout, ErrorLog: stdlog.New(io.Discard, "", 0),
		}
		servers = append(servers, server)
		watch.Add(frontend.Name, bounded.Counts)
		go func() { failures <- bounded.Serve(server, frontendStallTimeout) }()
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
