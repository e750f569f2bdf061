package eventstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// TestSetBody guards against a response that its writer aborts and that looks complete, and against
// events that are held back.
func TestSetBody(t *testing.T) {
	fetch := func(write func(writer *bufio.Writer) error) (*http.Response, func()) {
		listener := fasthttputil.NewInmemoryListener()
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { SetBody(ctx, write) }}
		go func() { _ = server.Serve(listener) }()
		client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return listener.Dial() }}}
		response, err := client.Get("http://h/")
		So(err, ShouldBeNil)
		return response, func() { _ = response.Body.Close(); _ = listener.Close() }
	}
	Convey("an aborted body is not complete", t, func() {
		response, end := fetch(func(writer *bufio.Writer) error {
			_, _ = writer.WriteString("data: a\n\n")
			_ = writer.Flush()
			return errors.New("aborted")
		})
		defer end()
		body, err := io.ReadAll(response.Body)
		So(err, ShouldNotBeNil)
		So(string(body), ShouldEqual, "data: a\n\n")
	})
	Convey("a whole body is complete, and what was flushed arrives before the rest", t, func() {
		proceed := make(chan struct{})
		response, end := fetch(func(writer *bufio.Writer) error {
			_, _ = writer.WriteString("data: a\n\n")
			_ = writer.Flush()
			<-proceed
			_, err := writer.WriteString("data: b\n\n")
			return err
		})
		defer end()
		first := make([]byte, len("data: a\n\n"))
		_, err := io.ReadFull(response.Body, first)
		So(err, ShouldBeNil)
		close(proceed)
		rest, err := io.ReadAll(response.Body)
		So(err, ShouldBeNil)
		So(string(first)+string(rest), ShouldEqual, "data: a\n\ndata: b\n\n")
	})
}
