package protocol

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hedgeInterval is the delay after which another connection attempt is started in addition to those
// that are still pending. The kernel retransmits a SYN only after a second; a machine that is just
// booting, or a link that loses packets, replies to a new attempt sooner. The interval is far above
// a round trip between zones (1 to 3 ms).
const hedgeInterval = 60 * time.Millisecond

// Dial connects to a peer at IP:port; a timeout of zero means none. delay is added in each
// direction, to emulate the distance between zones.
func Dial(address string, timeout, delay time.Duration) (*Connection, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	dialer := net.Dialer{Control: setTCPUserTimeout}
	socket, err := dialHedged(ctx, hedgeInterval, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
	if err != nil {
		return nil, err
	}
	connection := newConnection(socket, delay)
	go connection.writeLoop()
	go connection.readLoop(connection.dispatchReply)
	return connection, nil
}

// dialResult is the result of one connection attempt.
type dialResult struct {
	socket net.Conn
	err    error
}

// dialHedged starts a connection attempt at every interval, in addition to those still pending,
// until one attempt succeeds or fails or ctx is cancelled. It returns the result of that attempt;
// the sockets of attempts that succeed later are closed.
func dialHedged(ctx context.Context, interval time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	attemptsCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	attempt := func() {
		socket, err := dial(attemptsCtx)
		select {
		case results <- dialResult{socket, err}:
		case <-attemptsCtx.Done():
			if err == nil {
				_ = socket.Close()
			}
		}
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		go attempt()
		select {
		case first := <-results:
			return first.socket, first.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
		}
	}
}

// setTCPUserTimeout makes the kernel end a connection whose peer acknowledges no data for
// tcpUserTimeout: a machine without power or behind a network partition sends nothing, not even a
// reset.
func setTCPUserTimeout(_, _ string, socket syscall.RawConn) error {
	var failure error
	err := socket.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
