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
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fakeEngine is an HTTP server that answers each request on a connection with a respondFunc.
type fakeEngine struct {
	listener net.Listener
}

// respondFunc writes one response. It returns false to close the connection.
type respondFunc func(connection net.Conn, request *http.Request, number int) bool

func newFakeEngine(t *testing.T, respond respondFunc) *fakeEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakeEngine{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for number := 1; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil || !respond(connection, request, number) {
						return
					}
				}
			}()
		}
	}()
	return fake
}

func (e *fakeEngine) address() string { return e.listener.Addr().String() }

func writeText(connection net.Conn, text string) { _, _ = io.WriteString(connection, text) }

func fullResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) *Request {
	return &Request{Method: "POST", URI: "/a?b=c", Host: "h", Header: http.Header{"X": {"1"}, "Id": {id}}, Body: []byte("in"), ID: id, IDHeader: "Id"}
}

// fetch sends one request and returns the body of the response.
func fetch(pool *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	exchange, err := pool.Do(ctx, address, newRequest(id))
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	body, err := io.ReadAll(exchange)
	return string(body), err
}

func TestExchange(t *testing.T) {
	Convey("a request arrives as it was sent, and its connection is reused", t, func() {
		seen := make(chan string, 2)
		engine := newFakeEngine(t, func(connection net.Conn, r *http.Request, _ int) bool {
			body, _ := io.ReadAll(r.Body)
			seen <- r.Method + " " + r.RequestURI + " " + r.Host + " " + r.Header.Get("X") + " " + string(body)
			writeText(connection, fullResponse(r.Header.Get("Id"), "out"))
			return true
		})
		pool := NewPool()
		for number := range 2 {
			body, err := fetch(pool, engine.address(), fmt.Sprint(number))
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "out")
			So(<-seen, ShouldEqual, "POST /a?b=c h 1 in")
		}
		So(pool.ConnectionsOpened.Load(), ShouldEqual, 1)
		So(pool.ConnectionsReused.Load(), ShouldEqual, 1)
	})
	Convey("a response to another request is skipped", t, func() {
		engine := newFakeEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			writeText(connection, fullResponse("old", "late")+fullResponse("new", "own"))
			return true
		})
		body, err := fetch(NewPool(), engine.address(), "new")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "own")
	})
	Convey("a connection with unread bytes is not reused", t, func() {
		engine := newFakeEngine(t, func(connection net.Conn, r *http.Request, _ int) bool {
			writeText(connection, fullResponse(r.Header.Get("Id"), "own")+fullResponse(r.Header.Get("Id"), "extra"))
			return true
		})
		pool := NewPool()
		for number := range 3 {
			body, err := fetch(pool, engine.address(), fmt.Sprint(number))
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "own")
		}
		So(pool.ConnectionsOpened.Load(), ShouldEqual, 3)
	})
	Convey("a connection that the engine has closed is not reused", t, func() {
		engine := newFakeEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			writeText(connection, fullResponse("1", "own"))
			return false
		})
		pool := NewPool()
		_, err := fetch(pool, engine.address(), "1")
		So(err, ShouldBeNil)
		waitFor(func() bool {
			idle := pool.idle[engine.address()]
			return len(idle) == 0 || !idle[0].isOpenAndDrained()
		})
		_, err = fetch(pool, engine.address(), "1")
		So(err, ShouldBeNil)
		So(pool.ConnectionsOpened.Load(), ShouldEqual, 2)
	})
	Convey("a response without a length is complete when its connection is closed, but not if the connection is reset", t, func() {
		engine := newFakeEngine(t, func(connection net.Conn, r *http.Request, _ int) bool {
			writeText(connection, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("X")+"\r\n\r\nunframed")
			if r.Header.Get("Cut") != "" {
				_ = connection.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		body, err := fetch(NewPool(), engine.address(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "unframed")
		resetRequest := newRequest("1")
		resetRequest.Header = http.Header{"X": {"1"}, "Cut": {"1"}}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		exchange, err := NewPool().Do(ctx, engine.address(), resetRequest)
		if err == nil {
			_, err = io.ReadAll(exchange)
			exchange.Close()
		}
		So(err, ShouldNotBeNil)
	})
	Convey("a body that ends early is an error", t, func() {
		engine := newFakeEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			writeText(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf")
			return false
		})
		_, err := fetch(NewPool(), engine.address(), "1")
		So(err, ShouldNotBeNil)
	})
	Convey("bytes that are not an HTTP response fail the exchange", t, func() {
		engine := newFakeEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			writeText(connection, "no answer at all\r\n\r\n")
			return false
		})
		_, err := fetch(NewPool(), engine.address(), "1")
		So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
	})
	Convey("an early response to a long request is read, and its connection is not reused", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(connection).ReadString('\n')
			writeText(connection, fullResponse("1", "early"))
			time.Sleep(2 * time.Second)
			_ = connection.Close()
		}()
		pool := NewPool()
		longRequest := newRequest("1")
		longRequest.Body = []byte(strings.Repeat("x", 8<<20))
		exchange, err := pool.Do(context.Background(), listener.Addr().String(), longRequest)
		So(err, ShouldBeNil)
		body, err := io.ReadAll(exchange)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "early")
		exchange.Close()
		So(pool.idle[listener.Addr().String()], ShouldBeEmpty)
	})
	Convey("a request to an address without a listener is reported as not sent", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		_ = listener.Close()
		_, err = fetch(NewPool(), address, "1")
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
	})
	Convey("cancelling the context closes the connection to the engine", t, func() {
		arrived := make(chan struct{})
		closed := make(chan struct{})
		engine := newFakeEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			close(arrived)
			_, _ = connection.Read(make([]byte, 1))
			close(closed)
			return false
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-arrived
			cancel()
		}()
		_, err := NewPool().Do(ctx, engine.address(), newRequest("1"))
		So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
		select {
		case <-closed:
		case <-time.After(20 * time.Second):
			So("the engine's connection stayed open", ShouldBeEmpty)
		}
	})
}

// waitFor polls until the condition holds, for up to 20 s.
func waitFor(condition func() bool) {
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
