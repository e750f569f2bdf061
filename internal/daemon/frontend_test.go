package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/config"
)

// TestFrontendsAnswerWhenTheyStop guards against a look-up or a report that a process has taken, and that is cut off
// without a response when the process stops.
func TestFrontendsAnswerWhenTheyStop(t *testing.T) {
	Convey("a request in flight is answered", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		So(listener.Close(), ShouldBeNil)
		ctx, stop := context.WithCancel(context.Background())
		arrived, proceed := make(chan struct{}), make(chan struct{})
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(arrived)
			<-proceed
			_, _ = io.WriteString(w, "whole")
		})
		served := make(chan error, 1)
		go func() {
			served <- serveFrontends(ctx, config.Limits{}, nil, []Frontend{{Address: address, Handler: handler}}, time.Minute)
		}()
		body := make(chan string, 1)
		go func() {
			for {
				response, err := http.Get("http://" + address)
				if err != nil {
					select {
					case <-arrived:
						body <- err.Error()
						return
					default:
						// The server does not listen yet.
						continue
					}
				}
				text, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				body <- string(text)
				return
			}
		}()
		<-arrived
		stop()
		for isListening := true; isListening; {
			connection, err := net.Dial("tcp", address)
			if isListening = err == nil; isListening {
				_ = connection.Close()
			}
		}
		close(proceed)
		So(<-body, ShouldEqual, "whole")
		So(<-served, ShouldEqual, context.Canceled)
	})
}
