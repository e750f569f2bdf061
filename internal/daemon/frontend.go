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
)

// Frontend is an additional HTTP endpoint of a process.
type Frontend struct {
	Address string
	Handler http.Handler
}

// ServeFrontends serves until ctx is cancelled or a server fails; requests in flight are then
// aborted.
func ServeFrontends(ctx context.Context, frontends []Frontend) error {
	failures := make(chan error, len(frontends))
	var servers []*http.Server
	defer func() {
		for _, server := range servers {
			_ = server.Close()
		}
	}()
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
