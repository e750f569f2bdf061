package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

// failingWriter is a response writer whose caller is gone after the first bytes.
type failingWriter struct {
	httptest.ResponseRecorder
	remaining int
}

func (w *failingWriter) Write(data []byte) (int, error) {
	if w.remaining -= len(data); w.remaining < 0 {
		return 0, errors.New("broken pipe")
	}
	return len(data), nil
}

// TestFailuresThatAreNotTheEngines guards against an engine that is avoided because the ledger failed or
// the caller left.
func TestFailuresThatAreNotTheEngines(t *testing.T) {
	Convey("a turn that the ledger does not retain", t, func() {
		fixture := newRawFixture(t)
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Settle != nil && request.Settle.Retain {
				return &protocol.TurnReply{Error: result.New(result.Internal, "no")}
			}
			return &protocol.TurnReply{}
		})
		ended := fixture.request("/kept/", wholeResponse(upstream.FramedByChunks, eventsOf(1, 2)))
		So(ended.err, ShouldNotBeNil)
		So(ended.isServed, ShouldBeFalse)
		So(ended.isEngineSuspect, ShouldBeFalse)
	})
	Convey("a stream whose software version the ledger does not record", t, func() {
		fixture := newRawFixture(t)
		fixture.addRawEngine(t, "other-version", "v0", func(*http.Request, int) rawResponse { return rawResponse{} })
		const farFutureMs = 1 << 60
		fixture.gateway.engines.healthOf("other-version").RecordFailure(farFutureMs)
		fixture.ledger.recordStreams(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Stream != nil {
				return &protocol.TurnReply{Error: result.New(result.Internal, "no")}
			}
			return nil
		})
		ended := fixture.request("/resumable/", wholeResponse(upstream.FramedByChunks, eventsOf(1, 2)))
		So(ended.status, ShouldEqual, http.StatusBadGateway)
		So(fixture.engine.requests(), ShouldNotBeEmpty)
		So(ended.isEngineSuspect, ShouldBeFalse)
	})
	Convey("a long response whose caller leaves", t, func() {
		fixture := newRawFixture(t)
		fixture.response = wholeResponse(upstream.FramedByLength, strings.Repeat("x", 2*maxBufferedBytes))
		fixture.response.contentType = "text/plain"
		request := httptest.NewRequest("POST", "/unsafe/", nil)
		request.Host = "h"
		So(func() {
			fixture.gateway.serve(&failingWriter{ResponseRecorder: *httptest.NewRecorder(), remaining: maxBufferedBytes}, request)
		}, ShouldPanicWith, http.ErrAbortHandler)
		So(fixture.logged.String(), ShouldContainSubstring, "outcome=cancelled")
		So(fixture.gateway.engines.healthOf("raw").IsSuspect(anyTimeMs), ShouldBeFalse)
	})
}
