package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

const (
	// unwritableBytes is more than the buffers between a pool and an engine hold. writableBytes are written at once,
	// but the engine's host acknowledges them only as the engine reads. bufferedBytes are acknowledged unread.
	unwritableBytes = 8 << 20
	writableBytes   = 128 << 10
	bufferedBytes   = 2 << 10
	// The buffers of the engine's and of the pool's sockets, in bytes.
	receiveBufferBytes = 16 << 10
	sendBufferBytes    = 200 << 10
	// longPatience is not an expected duration: what decides comes before.
	longPatience  = 60 * time.Second
	shortPatience = 20 * time.Millisecond
	partOfBody    = "a part"
)

// closingEngine sends a close-delimited response to a request that it has read in part, and ends the connection.
type closingEngine struct {
	readsAll, halfCloses, readsOn, resets bool
}

// serve responds to the first request of a connection. It returns when the test ends.
func (e closingEngine) serve(listener net.Listener, ended <-chan struct{}) {
	accepted, err := listener.Accept()
	if err != nil {
		return
	}
	defer accepted.Close()
	connection := accepted.(*net.TCPConn)
	request, err := http.ReadRequest(bufio.NewReaderSize(connection, 16))
	if err != nil {
		return
	}
	if e.readsAll {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	writeText(connection, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+partOfBody)
	if e.halfCloses {
		_ = connection.CloseWrite()
	}
	if e.readsOn {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	if e.resets {
		_ = connection.SetLinger(0)
		return
	}
	<-ended
}

// readResponse sends a request with a body of the given length to the engine and reads the response.
func (e closingEngine) readResponse(length int, patience time.Duration) (string, error) {
	setBuffer := func(option, length int) func(_, _ string, socket syscall.RawConn) error {
		return func(_, _ string, socket syscall.RawConn) error {
			return socket.Control(func(descriptor uintptr) {
				_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, option, length)
			})
		}
	}
	listener, err := (&net.ListenConfig{Control: setBuffer(unix.SO_RCVBUF, receiveBufferBytes)}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	ended := make(chan struct{})
	defer close(ended)
	go e.serve(listener, ended)
	pool := NewPool()
	// The user time-out would end the connections of engines that stop reading.
	pool.DialContext = (&net.Dialer{Control: setBuffer(unix.SO_SNDBUF, sendBufferBytes)}).DialContext
	request := newRequest("1")
	request.Body = []byte(strings.Repeat("x", length))
	exchange, err := pool.Do(context.Background(), listener.Addr().String(), request)
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	body, err := io.ReadAll(exchange.Response.Body)
	if err == nil {
		err = exchange.confirmEnd(patience)
	}
	return string(body), err
}

// TestEndOfCloseDelimitedBodies guards against a connection that is lost and whose end is taken for the end of a
// body, and against an engine that closes its half in order and whose response is rejected.
func TestEndOfCloseDelimitedBodies(t *testing.T) {
	for name, kind := range map[string]struct {
		engine   closingEngine
		length   int
		patience time.Duration
		isWhole  bool
	}{
		"reset in the middle of the request":                             {closingEngine{resets: true}, unwritableBytes, longPatience, false},
		"reset after the request":                                        {closingEngine{readsAll: true, resets: true}, unwritableBytes, longPatience, false},
		"closed in order and reset, in the middle of the request":        {closingEngine{halfCloses: true, resets: true}, unwritableBytes, longPatience, false},
		"closed in order and reset, after the request":                   {closingEngine{readsAll: true, halfCloses: true, resets: true}, unwritableBytes, longPatience, true},
		"closed in order and reset, with a part of the request buffered": {closingEngine{halfCloses: true, resets: true}, writableBytes, longPatience, false},
		"closed in order, and the buffered part is read on":              {closingEngine{halfCloses: true, readsOn: true}, writableBytes, longPatience, true},
		"closed in order after the request":                              {closingEngine{readsAll: true, halfCloses: true}, unwritableBytes, longPatience, true},
		"closed in order, and the request is read on":                    {closingEngine{halfCloses: true, readsOn: true}, unwritableBytes, longPatience, true},
		"closed in order, and the request is read no more":               {closingEngine{halfCloses: true}, unwritableBytes, shortPatience, true},
		"closed in order with a short request":                           {closingEngine{halfCloses: true}, bufferedBytes, longPatience, true},
		"reset with a short request that the engine has not read":        {closingEngine{resets: true}, bufferedBytes, longPatience, false},
		"closed in order and reset, with a short request, not read on":   {closingEngine{halfCloses: true, resets: true}, bufferedBytes, longPatience, true},
	} {
		Convey(name, t, func() {
			body, err := kind.engine.readResponse(kind.length, kind.patience)
			So(err == nil, ShouldEqual, kind.isWhole)
			if kind.isWhole {
				So(body, ShouldEqual, partOfBody)
			}
		})
	}
	for _, length := range []int{bufferedBytes, unwritableBytes} {
		Convey(fmt.Sprintf("the error stays, with a request of %d bytes", length), t, func() {
			engine := newFakeEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
				writeText(connection, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+partOfBody)
				time.Sleep(shortPatience)
				_ = connection.(*net.TCPConn).SetLinger(0)
				return false
			})
			request := newRequest("1")
			request.Body = []byte(strings.Repeat("x", length))
			exchange, err := NewPool().Do(context.Background(), engine.address(), request)
			if err != nil {
				// The reset may overtake the head.
				So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
				return
			}
			defer exchange.Close()
			_, err = io.ReadAll(exchange)
			So(err, ShouldNotBeNil)
			_, again := exchange.Read(make([]byte, 1))
			So(again, ShouldEqual, err)
			So(exchange.HasEnded(), ShouldBeFalse)
		})
	}
	Convey("an end that is not confirmed counts as a lost connection", t, func() {
		So(errors.Is(ErrEndUnconfirmed, io.ErrUnexpectedEOF), ShouldBeTrue)
		So(errors.Is(ErrEndUnconfirmed, io.EOF), ShouldBeFalse)
	})
	Convey("a response to HEAD ends with its head", t, func() {
		engine := newFakeEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			writeText(connection, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n")
			return true
		})
		request := newRequest("1")
		request.Method = http.MethodHead
		exchange, err := NewPool().Do(context.Background(), engine.address(), request)
		So(err, ShouldBeNil)
		defer exchange.Close()
		_, err = io.ReadAll(exchange)
		So(err, ShouldBeNil)
	})
}

// TestEndOfCloseDelimitedBodiesProperty guards against an end of a body that is taken for the engine's although the
// engine has neither closed its half nor, unless the connection stands, taken the whole request.
func TestEndOfCloseDelimitedBodiesProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engine := closingEngine{
			readsAll: rapid.Bool().Draw(rt, "reads all"), halfCloses: rapid.Bool().Draw(rt, "half closes"),
			resets: rapid.Bool().Draw(rt, "resets"),
		}
		// Without an end of the connection the body does not end.
		engine.resets = engine.resets || !engine.halfCloses
		// A reset right behind the last byte may overtake its acknowledgement.
		engine.readsOn = !engine.resets && rapid.Bool().Draw(rt, "reads on")
		length := rapid.SampledFrom([]int{0, bufferedBytes, writableBytes, unwritableBytes}).Draw(rt, "length")
		isTaken := engine.readsAll || engine.readsOn || length <= bufferedBytes
		patience := longPatience
		if !isTaken && !engine.resets {
			patience = shortPatience
		}
		isWhole := engine.halfCloses && (isTaken || !engine.resets)
		body, err := engine.readResponse(length, patience)
		if (err == nil) != isWhole || isWhole && body != partOfBody {
			rt.Fatalf("body %q, error %v, whole %t", body, err, isWhole)
		}
	})
}

// TestEndBesideUnfinishedWrites guards against an end that is judged by what was written so far, while the write of the
// request is still to end.
func TestEndBesideUnfinishedWrites(t *testing.T) {
	for name, kind := range map[string]struct {
		writeErr error
		isWhole  bool
	}{"the write fails": {syscall.EPIPE, false}, "the write had succeeded": {nil, true}} {
		Convey(name, t, func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer listener.Close()
			near, err := net.Dial("tcp", listener.Addr().String())
			So(err, ShouldBeNil)
			defer near.Close()
			far, err := listener.Accept()
			So(err, ShouldBeNil)
			So(far.(*net.TCPConn).CloseWrite(), ShouldBeNil)
			_, err = near.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
			exchange := &Exchange{connection: newConnection(near), written: make(chan struct{}), writeErr: kind.writeErr}
			if kind.isWhole {
				_ = far.(*net.TCPConn).SetLinger(0)
				_ = far.Close()
				waitFor(func() bool {
					state, err := tcpStateOf(near)
					return err == nil && !state.isHalfClosed
				})
			}
			go func() {
				time.Sleep(5 * shortPatience)
				_ = far.(*net.TCPConn).SetLinger(0)
				_ = far.Close()
				close(exchange.written)
			}()
			// The patience ends before the write does. No byte is on its way meanwhile.
			So(exchange.confirmEnd(shortPatience) == nil, ShouldEqual, kind.isWhole)
		})
	}
}
