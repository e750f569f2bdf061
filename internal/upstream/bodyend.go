package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// endConfirmationTimeout is how long a close-delimited body waits for the engine to take the rest of the
	// request. It covers a retransmission, and is shorter than the time for which servers usually keep a connection
	// open whose sending half they have closed.
	endConfirmationTimeout  = 400 * time.Millisecond
	endConfirmationInterval = 2 * time.Millisecond
)

// ErrEndUnconfirmed means that a close-delimited body ended with its connection, but that nothing shows that the
// engine has ended it. It wraps io.ErrUnexpectedEOF.
var ErrEndUnconfirmed = fmt.Errorf("upstream: connection lost within a response without a length: %w", io.ErrUnexpectedEOF)

var errNoTCPConnection = errors.New("upstream: not a TCP connection")

// tcpState is the state of a TCP connection as the operating system has it.
type tcpState struct {
	// isHalfClosed means that the peer has closed its sending half and that the connection has not been reset since,
	// nor timed out.
	isHalfClosed bool
	// unacknowledgedBytes is how many bytes that were written the peer has not acknowledged.
	unacknowledgedBytes int
}

// tcpStateOf returns the state of a connection. It fails for one that this process has closed.
func tcpStateOf(socket net.Conn) (tcpState, error) {
	source, ok := socket.(syscall.Conn)
	if !ok {
		return tcpState{}, errNoTCPConnection
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return tcpState{}, err
	}
	var state tcpState
	var stateErr error
	err = raw.Control(func(descriptor uintptr) {
		var info *unix.TCPInfo
		if info, stateErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); stateErr != nil {
			return
		}
		state.isHalfClosed = info.State == unix.BPF_TCP_CLOSE_WAIT
		state.unacknowledgedBytes, stateErr = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	return state, errors.Join(err, stateErr)
}

// confirmEnd returns nil if the engine has ended a close-delimited body, and ErrEndUnconfirmed if its connection may
// have been lost. A read alone does not tell: the operating system reports a reset or a time-out to one call only,
// and after the write of the request has received it, reads report the end of the body.
//
// A body is complete if the engine has acknowledged the whole request: no write has received an error then, so that
// the read would have. An engine may also respond early, close its sending half and read the rest of the request.
// It is given patience to do so. If the process has ended instead, its host resets the connection upon the next bytes
// of the request. A connection that still stands after that time, with such bytes on their way, was closed on purpose.
func (e *Exchange) confirmEnd(patience time.Duration) error {
	timeout := time.Now().Add(patience)
	for {
		// The order matters: bytes that are written after the state was read are not counted in it.
		isWritten := e.isWritten()
		state, err := tcpStateOf(e.connection.socket)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrEndUnconfirmed, err)
		}
		if !state.isHalfClosed {
			// The write of a connection that was lost does not block.
			<-e.written
			isWritten = e.isWritten()
		}
		switch {
		case isWritten && state.unacknowledgedBytes == 0:
			return nil
		case !state.isHalfClosed && e.writeErr != nil:
			return fmt.Errorf("%w: %w", ErrEndUnconfirmed, e.writeErr)
		case !state.isHalfClosed:
			return ErrEndUnconfirmed
		case time.Now().After(timeout) && state.unacknowledgedBytes > 0:
			return nil
		}
		time.Sleep(endConfirmationInterval)
	}
}

// isWritten reports whether the whole request has been handed to the operating system.
func (e *Exchange) isWritten() bool {
	select {
	case <-e.written:
		return e.writeErr == nil
	default:
		return false
	}
}
