package gateway

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/ochrebay/ochrebay/internal/membership"
)

// stateProbeTimeout bounds the dial that finds out the state of an engine after an attempt broke off.
const stateProbeTimeout = 100 * time.Millisecond

// engineState is what a dial to an engine's address has shown, 0 if it was not dialled.
type engineState uint8

const (
	// engineRuns means that the engine's process has not ended: it still holds other connections.
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

// probeEngine finds out the state of an engine after an attempt that started at the given time broke
// off. The dial comes first: by the time it is answered, the kernel of an engine that has ended has
// closed the other connections too.
func (d *Daemon) probeEngine(engine membership.ServingEngine, attemptStart time.Time) engineState {
	connection, err := net.DialTimeout("tcp", engine.Address, stateProbeTimeout)
	switch {
	case err == nil:
		_ = connection.Close()
		if d.pool.HasOpenConnection(engine.Address, attemptStart) {
			return engineRuns
		}
		return engineAccepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return engineEnded
	}
	return engineUnreachable
}
