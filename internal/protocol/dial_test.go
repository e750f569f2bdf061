package protocol

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// closeRecorder is a socket that signals when it is closed.
type closeRecorder struct {
	net.Conn
	closed chan struct{}
}

func (c *closeRecorder) Close() error {
	close(c.closed)
	return nil
}

// TestDialHedged checks that dialing does not wait for an attempt whose SYN was lost.
func TestDialHedged(t *testing.T) {
	Convey("dialing a machine that is just booting", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		Convey("a later attempt succeeds while the first one hangs, and the first one is cancelled", func() {
			connected := &closeRecorder{closed: make(chan struct{})}
			attemptNumbers := make(chan int, 1)
			attemptNumbers <- 1
			firstCancelled := make(chan struct{})
			socket, err := dialHedged(ctx, time.Millisecond, func(ctx context.Context) (net.Conn, error) {
				number := <-attemptNumbers
				attemptNumbers <- number + 1
				if number == 1 {
					<-ctx.Done()
					close(firstCancelled)
					return nil, ctx.Err()
				}
				return connected, nil
			})
			So(err, ShouldBeNil)
			So(socket, ShouldEqual, connected)
			<-firstCancelled
		})
		Convey("the socket of an attempt that succeeds too late is closed", func() {
			late := &closeRecorder{closed: make(chan struct{})}
			returned := make(chan struct{})
			_, err := dialHedged(ctx, time.Hour, func(context.Context) (net.Conn, error) {
				cancel()
				<-returned
				return late, nil
			})
			close(returned)
			So(errors.Is(err, context.Canceled), ShouldBeTrue)
			<-late.closed
		})
		Convey("a refused connection ends dialing at once", func() {
			refused := errors.New("refused")
			_, err := dialHedged(ctx, time.Hour, func(context.Context) (net.Conn, error) { return nil, refused })
			So(err, ShouldEqual, refused)
		})
	})
}
