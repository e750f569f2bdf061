package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestResponsesThatAreNotComplete guards against a response that its engine broke off, or ended with an
// error, and that counts as complete.
func TestResponsesThatAreNotComplete(t *testing.T) {
	const chunk = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	complete := func(body string) (text string, outcome CompletionOutcome) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, body)
		}))
		defer server.Close()
		outcome = NewClient().Complete(t.Context(), server.Listener.Addr().String(), CompletionRequest{}, func(piece string) { text += piece })
		return text, outcome
	}
	Convey("a stream up to its last event is complete", t, func() {
		text, outcome := complete(chunk + chunk + "data: [DONE]\n\n")
		So(outcome.Err, ShouldBeNil)
		So(text, ShouldEqual, "aa")
	})
	Convey("a stream that is cut before its last event is not", t, func() {
		stream := chunk + chunk + "data: [DONE]"
		for length := range len(stream) {
			text, outcome := complete(stream[:length])
			So(outcome.Err, ShouldNotBeNil)
			So(outcome.MayHaveStarted, ShouldBeTrue)
			So("aa", ShouldStartWith, text)
		}
	})
	Convey("a stream with an error event is not", t, func() {
		failure := fmt.Sprintf(`data: {"error":{"code":%d,"message":"preempted","outcome":"unknown"}}`, 1304)
		text, outcome := complete(strings.Join([]string{chunk, failure + "\n\n", "data: [DONE]\n\n"}, ""))
		So(outcome.Err, ShouldNotBeNil)
		So(outcome.Err.Error(), ShouldContainSubstring, "preempted")
		So(text, ShouldEqual, "a")
	})
}

// TestBrokenAnswersToControlCalls guards against a response that has an invalid head, or is a failure, and that counts as an
// engine's state, as its acknowledgement of an order, or as a statement that a request was not run.
func TestBrokenAnswersToControlCalls(t *testing.T) {
	const notRun = `{"name":"e","error":{"code":1303,"message":"no","outcome":"not_run"}}`
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/9.9 200 OK\r\n", "HTTP/1.1 200 OK\r\nX A: b\r\n", "HTTP/1.1 503 No\r\nX : b\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 200 OK\r\nX\x00A: b\r\n",
	} {
		Convey(fmt.Sprintf("%q", head), t, func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer listener.Close()
			go func() {
				for {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					request, err := http.ReadRequest(bufio.NewReader(connection))
					if err == nil {
						_, _ = io.Copy(io.Discard, request.Body)
						_, _ = fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n%s", head, len(notRun), notRun)
					}
					_ = connection.Close()
				}
			}()
			client, address := NewClient(), listener.Addr().String()
			_, err = client.State(t.Context(), address, true)
			So(err, ShouldNotBeNil)
			So(client.SendOrder(t.Context(), address, Order{}), ShouldNotBeNil)
			outcome := client.Complete(t.Context(), address, CompletionRequest{}, func(string) {})
			So(outcome.Err, ShouldNotBeNil)
			So(outcome.MayHaveStarted, ShouldBeTrue)
		})
	}
	Convey("a failure is no state", t, func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, notRun)
		}))
		defer server.Close()
		_, err := NewClient().State(t.Context(), server.Listener.Addr().String(), true)
		So(err, ShouldNotBeNil)
	})
	Convey("a request to an address without a listener did not start", t, func() {
		outcome := NewClient().Complete(t.Context(), "127.0.0.1:1", CompletionRequest{}, func(string) {})
		So(outcome.Err, ShouldNotBeNil)
		So(outcome.MayHaveStarted, ShouldBeFalse)
	})
}
