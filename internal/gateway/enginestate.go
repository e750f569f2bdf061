package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

// DefaultEngineStatusPath is the product's own path at which an engine responds without running anything.
const DefaultEngineStatusPath = "/health"

// stateProbeTimeout bounds the dial, or the request, that finds out the state of an engine after an attempt
// broke off.
const stateProbeTimeout = 100 * time.Millisecond

// engineState is what a dial to an engine's address has shown; 0 if it was not dialled.
type engineState uint8

const (
	// engineAccepts means that a process accepts connections at the address: the engine or a later
	// incarnation.
	engineAccepts engineState = iota + 1
	// engineEnded means that the address refuses connections.
	engineEnded
	// engineUnreachable means that the dial failed otherwise; the engine may still run.
	engineUnreachable
)

// String returns the name of the state in logs.
func (s engineState) String() string {
	return [...]string{"not_probed", "accepts", "ended", "unreachable"}[s]
}

// probeEngine finds out the state of an engine after an attempt broke off.
func probeEngine(engine membership.ServingEngine) engineState {
	connection, err := net.DialTimeout("tcp", engine.Address, stateProbeTimeout)
	switch {
	case err == nil:
		_ = connection.Close()
		return engineAccepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return engineEnded
	}
	return engineUnreachable
}

// respondsOnEarlierConnection reports whether an engine responds on a connection that was opened before
// the given time. An open connection alone shows nothing: those of a host that lost power stay open.
func (d *Daemon) respondsOnEarlierConnection(engine membership.ServingEngine, openedBefore time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), stateProbeTimeout)
	defer cancel()
	// The request has no ID: an engine without this path would run it like a caller's request.
	request := &upstream.Request{
		Method: http.MethodGet, URI: d.EngineStatusPath, Host: engine.Address, Header: http.Header{}, IDHeader: d.headerNames.RequestID,
	}
	return d.pool.Probe(ctx, engine.Address, openedBefore, request)
}
