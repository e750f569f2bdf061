package protocol

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// redialEvery is after how long a further connection is tried beside one that has not come
// up. The kernel repeats an opening packet only after a second; a machine that is just
// getting power, or a link that loses packets, answers the next one sooner. It is far above
// a round trip between zones (1 to 3 ms).
const redialEvery = 60 * time.Millisecond

// Dial connects to a peer by IP:port; a timeout of zero is none. delay is added to each
// direction, to stand in for the distance between zones.
func Dial(address string, timeout, delay time.Duration) (*Connection, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	dialer := net.Dialer{Control: giveUpOnSilence}
	socket, err := dialHedged(ctx, redialEvery, func(ctx context.Context) (net.Conn, error) {
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

// dialed is how one attempt to connect ended.
type dialed struct {
	socket net.Conn
	err    error
}

// dialHedged tries to connect, and again every so often beside the attempts before, until
// one of them ends or ctx does. Sockets of attempts that come up later are closed.
func dialHedged(ctx context.Context, every time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	attempts, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialed)
	try := func() {
		socket, err := dial(attempts)
		select {
		case results <- dialed{socket, err}:
		case <-attempts.Done():
			if err == nil {
				_ = socket.Close()
			}
		}
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		go try()
		select {
		case first := <-results:
			return first.socket, first.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
		}
	}
}

// giveUpOnSilence makes the kernel end a connection whose peer acknowledges
// nothing: a machine without power or behind a cut says nothing.
func giveUpOnSilence(_, _ string, socket syscall.RawConn) error {
	var failure error
	err := socket.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
