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

// stateProbeTimeout bounds the dial, and then the request, that find out the state of an engine after an
// attempt broke off.
const stateProbeTimeout = 100 * time.Millisecond

// engineState is what a dial to an engine's address, and a request on a connection from before, have
// shown; 0 if it was not dialled.
type engineState uint8

const (
	// engineRuns means that the engine's process has not ended: it responds on another connection from
	// before the attempt.
	engineRuns engineState = iota + 1
	// engineAccepts means that a process accepts connections at the address: the engine or a later
	// incarnation.
	engineAccepts
	// engineEnded means that the address refuses connections.
	engineEnded
	// engineUnreachable means that the dial failed otherwise; the engine may still run.
	engineUnreachable
)

// String returns the name of the state in logs.
func (s engineState) String() string {
	return [...]string{"not_probed", "runs", "accepts", "ended", "unreachable"}[s]
}

// probeEngine finds out the state of an engine after an attempt of a call broke off. The dial comes first:
// by the time it is answered, the kernel of an engine that has ended has closed the other connections too.
// The connections of a host that lost power stay open, so that an open one shows nothing before it brings a
// response. Only a call that is about to reach the crash limit sends a request for that.
func (d *Daemon) probeEngine(c *call, engine membership.ServingEngine) engineState {
	connection, err := net.DialTimeout("tcp", engine.Address, stateProbeTimeout)
	switch {
	case err == nil:
		_ = connection.Close()
		if d.isNearCrashLimit(c) && d.respondsOnEarlierConnection(engine, c.startedAt.Add(c.sentAfter)) {
			return engineRuns
		}
		return engineAccepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return engineEnded
	}
	return engineUnreachable
}

// respondsOnEarlierConnection reports whether an engine responds on a connection that was opened before
// the given time.
func (d *Daemon) respondsOnEarlierConnection(engine membership.ServingEngine, openedBefore time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), stateProbeTimeout)
	defer cancel()
	// The request has no ID: an engine without this path would run it like a caller's request.
	request := &upstream.Request{
		Method: http.MethodGet, URI: d.EngineStatusPath, Host: engine.Address, Header: http.Header{}, IDHeader: d.headerNames.RequestID,
	}
	return d.pool.Probe(ctx, engine.Address, openedBefore, request)
}
