package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/responsehead"
)

// TestTransport guards against readers of responses other than gateways that take bytes for a response which gateways
// would not, and against a transport that sends a request twice or reports one as not sent that was.
func TestTransport(t *testing.T) {
	newClient := func() (*http.Client, *Transport) {
		transport := NewTransport(longPatience)
		return &http.Client{Transport: transport}, transport
	}
	post := func(client *http.Client, ctx context.Context, address string, length int) (string, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/a?b=c", bytes.NewReader(make([]byte, length)))
		So(err, ShouldBeNil)
		response, err := client.Do(request)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	Convey("a request arrives as it was sent, and its connection is used again", t, func() {
		received := make(chan string, 3)
		engine := newFakeEngine(t, func(connection net.Conn, r *http.Request, _ int) bool {
			body, _ := io.ReadAll(r.Body)
			received <- r.Method + " " + r.RequestURI + " " + r.Host + " " + string(body)
			writeText(connection, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nout")
			return true
		})
		client, transport := newClient()
		for range 3 {
			response, err := client.Post("http://"+engine.address()+"/a?b=c", "text/plain", strings.NewReader("in"))
			So(err, ShouldBeNil)
			body, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "out")
			So(response.Body.Close(), ShouldBeNil)
			So(<-received, ShouldEqual, "POST /a?b=c "+engine.address()+" in")
		}
		So(transport.pool.ConnectionsOpened.Load(), ShouldEqual, 1)
		client.CloseIdleConnections()
		So(transport.pool.idle, ShouldBeEmpty)
	})
	Convey("a connection with bytes beyond the response is not used again", t, func() {
		engine := newFakeEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			writeText(connection, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noutHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
			return true
		})
		client, _ := newClient()
		for range 3 {
			body, err := post(client, context.Background(), engine.address(), 2)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "out")
		}
	})
	Convey("an invalid head is an error", t, func() {
		for _, head := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 999 OK", "HTTP/9.9 200 OK", "HTTP/1.1 200 OK\r\nX A: b", "HTTP/1.1 200 OK\r\nContent-Length : 1"} {
			engine := newFakeEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
				writeText(connection, head+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nout")
				return false
			})
			client, _ := newClient()
			_, err := post(client, context.Background(), engine.address(), 2)
			So(errors.Is(err, responsehead.ErrInvalid), ShouldBeTrue)
			So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
		}
	})
	Convey("a response without a length whose connection is reset during the upload is an error", t, func() {
		engine := newFakeEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			writeText(connection, "HTTP/1.1 200 OK\r\n\r\n"+partOfBody)
			time.Sleep(shortPatience)
			_ = connection.(*net.TCPConn).SetLinger(0)
			return false
		})
		client, _ := newClient()
		_, err := post(client, context.Background(), engine.address(), unwritableBytes)
		So(err, ShouldNotBeNil)
		So(errors.Is(err, ErrNotSent), ShouldBeFalse)
	})
	Convey("a request to an address without a listener was not sent", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		_ = listener.Close()
		client, _ := newClient()
		_, err = post(client, context.Background(), listener.Addr().String(), 2)
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
	})
	Convey("a context that ends is the error, before a response and within it", t, func() {
		for _, beginning := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + partOfBody} {
			ctx, cancel := context.WithCancel(context.Background())
			closed := make(chan struct{})
			engine := newFakeEngine(t, func(connection net.Conn, r *http.Request, _ int) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				writeText(connection, beginning)
				cancel()
				_, _ = connection.Read(make([]byte, 1))
				close(closed)
				return false
			})
			client, _ := newClient()
			_, err := post(client, ctx, engine.address(), 2)
			So(errors.Is(err, context.Canceled), ShouldBeTrue)
			<-closed
		}
	})
	Convey("other schemes are rejected", t, func() {
		client, _ := newClient()
		_, err := client.Get("https://127.0.0.1:1/")
		So(errors.Is(err, errUnsupportedScheme), ShouldBeTrue)
	})
}
