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

// probeEngine dials an engine's address.
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
