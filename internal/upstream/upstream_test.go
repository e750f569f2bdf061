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

// engine is a stand-in that answers each request on a connection as its script says.
type engine struct {
	listener net.Listener
}

// answerFunc writes one answer; it returns false to end the connection.
type answerFunc func(connection net.Conn, request *http.Request, number int) bool

func newEngine(t *testing.T, answer answerFunc) *engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stand := &engine{listener: listener}
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
					if err != nil || !answer(connection, request, number) {
						return
					}
				}
			}()
		}
	}()
	return stand
}

func (e *engine) address() string { return e.listener.Addr().String() }

func write(connection net.Conn, text string) { _, _ = io.WriteString(connection, text) }

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{Method: "POST", URI: "/a?b=c", Host: "h", Header: http.Header{"X": {"1"}}, Body: []byte("in"), ID: id, IDHeader: "Id"}
}

// fetch carries one request through and returns its body.
func fetch(pool *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	exchange, err := pool.Do(ctx, address, request(id))
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	body, err := io.ReadAll(exchange)
	return string(body), err
}

func TestExchange(t *testing.T) {
	Convey("a request arrives as it was sent, and its connection is used again", t, func() {
		seen := make(chan string, 2)
		stand := newEngine(t, func(connection net.Conn, r *http.Request, _ int) bool {
			body, _ := io.ReadAll(r.Body)
			seen <- r.Method + " " + r.RequestURI + " " + r.Host + " " + r.Header.Get("X") + " " + string(body)
			write(connection, whole(r.Header.Get("X"), "out"))
			return true
		})
		pool := NewPool()
		for range 2 {
			body, err := fetch(pool, stand.address(), "1")
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "out")
			So(<-seen, ShouldEqual, "POST /a?b=c h 1 in")
		}
		So(pool.ConnectionsOpened.Load(), ShouldEqual, 1)
		So(pool.ConnectionsReused.Load(), ShouldEqual, 1)
	})
	Convey("an answer to another request is passed over", t, func() {
		stand := newEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			write(connection, whole("old", "late")+whole("new", "own"))
			return true
		})
		body, err := fetch(NewPool(), stand.address(), "new")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "own")
	})
	Convey("a connection on which more came than was asked for is not used again", t, func() {
		stand := newEngine(t, func(connection net.Conn, r *http.Request, _ int) bool {
			write(connection, whole("1", "own")+whole("1", "extra"))
			return true
		})
		pool := NewPool()
		for range 3 {
			body, err := fetch(pool, stand.address(), "1")
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "own")
		}
		So(pool.ConnectionsOpened.Load(), ShouldEqual, 3)
	})
	Convey("a connection that the engine closed meanwhile is not used again", t, func() {
		stand := newEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			write(connection, whole("1", "own"))
			return false
		})
		pool := NewPool()
		_, err := fetch(pool, stand.address(), "1")
		So(err, ShouldBeNil)
		waitFor(func() bool {
			kept := pool.idle[stand.address()]
			return len(kept) == 0 || !kept[0].quiet()
		})
		_, err = fetch(pool, stand.address(), "1")
		So(err, ShouldBeNil)
		So(pool.ConnectionsOpened.Load(), ShouldEqual, 2)
	})
	Convey("an answer without length is whole at the end of its connection, and not when that is reset", t, func() {
		stand := newEngine(t, func(connection net.Conn, r *http.Request, _ int) bool {
			write(connection, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("X")+"\r\n\r\nunframed")
			if r.Header.Get("Cut") != "" {
				_ = connection.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		body, err := fetch(NewPool(), stand.address(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "unframed")
		cut := request("1")
		cut.Header = http.Header{"X": {"1"}, "Cut": {"1"}}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		exchange, err := NewPool().Do(ctx, stand.address(), cut)
		if err == nil {
			_, err = io.ReadAll(exchange)
			exchange.Close()
		}
		So(err, ShouldNotBeNil)
	})
	Convey("a body that ends early is not whole", t, func() {
		stand := newEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			write(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf")
			return false
		})
		_, err := fetch(NewPool(), stand.address(), "1")
		So(err, ShouldNotBeNil)
	})
	Convey("bytes that are no answer break the exchange off", t, func() {
		stand := newEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			write(connection, "no answer at all\r\n\r\n")
			return false
		})
		_, err := fetch(NewPool(), stand.address(), "1")
		So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
	})
	Convey("an engine that answers before it has read a long body is heard, and its connection is not used again", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(connection).ReadString('\n')
			write(connection, whole("1", "early"))
			time.Sleep(2 * time.Second)
			_ = connection.Close()
		}()
		pool := NewPool()
		long := request("1")
		long.Body = []byte(strings.Repeat("x", 8<<20))
		exchange, err := pool.Do(context.Background(), listener.Addr().String(), long)
		So(err, ShouldBeNil)
		body, err := io.ReadAll(exchange)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "early")
		exchange.Close()
		So(pool.idle[listener.Addr().String()], ShouldBeEmpty)
	})
	Convey("an address where nobody listens got nothing", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		_ = listener.Close()
		_, err = fetch(NewPool(), address, "1")
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
	})
	Convey("the end of the context closes the engine's connection", t, func() {
		arrived := make(chan struct{})
		closed := make(chan struct{})
		stand := newEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
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
		_, err := NewPool().Do(ctx, stand.address(), request("1"))
		So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
		select {
		case <-closed:
		case <-time.After(20 * time.Second):
			So("the engine's connection stayed open", ShouldBeEmpty)
		}
	})
}

// waitFor polls generously until a condition holds.
func waitFor(condition func() bool) {
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
