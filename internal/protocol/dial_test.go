package protocol

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// closeNoted is a socket that tells when it is closed.
type closeNoted struct {
	net.Conn
	closed chan struct{}
}

func (c *closeNoted) Close() error {
	close(c.closed)
	return nil
}

// TestDialHedged holds that a connection whose opening packet was lost is not waited for.
func TestDialHedged(t *testing.T) {
	Convey("connecting to a machine that is just getting power", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		Convey("a further attempt comes up while the first hangs, and the first is given up", func() {
			up := &closeNoted{closed: make(chan struct{})}
			numbers := make(chan int, 1)
			numbers <- 1
			given := make(chan struct{})
			socket, err := dialHedged(ctx, time.Millisecond, func(ctx context.Context) (net.Conn, error) {
				number := <-numbers
				numbers <- number + 1
				if number == 1 {
					<-ctx.Done()
					close(given)
					return nil, ctx.Err()
				}
				return up, nil
			})
			So(err, ShouldBeNil)
			So(socket, ShouldEqual, up)
			<-given
		})
		Convey("a socket that comes up too late is closed", func() {
			late := &closeNoted{closed: make(chan struct{})}
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
		Convey("a refusal ends it at once", func() {
			refused := errors.New("refused")
			_, err := dialHedged(ctx, time.Hour, func(context.Context) (net.Conn, error) { return nil, refused })
			So(err, ShouldEqual, refused)
		})
	})
}
