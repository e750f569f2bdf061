package engine

import (
	"fmt"
	"io"
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
