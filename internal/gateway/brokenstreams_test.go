package gateway

import (
	"net/http"
	"testing"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

// allFramings are the ways in which the end of a body can be given.
var allFramings = []upstream.Framing{upstream.FramedByLength, upstream.FramedByChunks, upstream.CloseDelimited}

// TestStreamThatStopsInsideAnEvent guards against a stream that its engine broke off inside an event
// and that reaches its caller as complete, with a part of that event, and is retained as a turn.
func TestStreamThatStopsInsideAnEvent(t *testing.T) {
	whole := eventsOf(1, 3)
	sent := len(eventsOf(1, 2)) + len("id: 3\nda")
	for _, framing := range allFramings {
		// A framing by length or chunks may also say, wrongly, that the body is complete.
		response := rawResponse{framing: framing, body: whole, sent: sent, frameEnds: framing != upstream.CloseDelimited}
		Convey("framed by "+string(framing), t, func() {
			fixture := newGatewayFixture(t, func(http.ResponseWriter, *http.Request) {})
			fixture.removeEngine("e")
			fixture.addRawEngine(t, "raw", "v1", func(*http.Request, int) rawResponse { return response })
			logged := &lineBuffer{}
			fixture.gateway.logger = log.NewLogfmtLogger(logged)
			for _, path := range []string{"/stream/", "/kept/", "/resumable/"} {
				_, body, err := fixture.send(path, "r"+path, budgetHeaders...)
				So(err, ShouldNotBeNil)
				So(body, ShouldEqual, eventsOf(1, 2))
				settled := fixture.ledger.awaitSettle("r" + path).Settle
				So(settled.UsedTokens, ShouldEqual, 20)
				So(settled.Retain, ShouldBeFalse)
				So(settled.EndedStream, ShouldBeBlank)
			}
			So(logged.String(), ShouldNotContainSubstring, "msg=served")
			So(logged.String(), ShouldContainSubstring, `outcome=broken status=200 started=true last_event=2 framing=`+string(framing)+` incomplete_bytes=8`)
			So(fixture.gateway.engines.healthOf("raw").IsSuspect(clock.NowMs()), ShouldBeTrue)
		})
	}
}

// TestStreamWhoseFramingBreaks guards against a body that ends before its framing says so, or whose
// connection is reset, and that reaches its caller as complete; and against whole streams that don't.
func TestStreamWhoseFramingBreaks(t *testing.T) {
	whole := eventsOf(1, 3)
	sent := len(eventsOf(1, 2)) + len("id: 3\nda")
	responses := []rawResponse{
		brokenResponse(upstream.FramedByLength, whole, sent, endsInOrder), brokenResponse(upstream.FramedByLength, whole, sent, endsWithReset),
		brokenResponse(upstream.FramedByChunks, whole, sent, endsInOrder), brokenResponse(upstream.FramedByChunks, whole, sent, endsWithReset),
		brokenResponse(upstream.CloseDelimited, whole, sent, endsWithReset),
	}
	for _, response := range responses {
		Convey("framed by "+string(response.framing)+" and "+response.ending.String(), t, func() {
			fixture := newGatewayFixture(t, func(http.ResponseWriter, *http.Request) {})
			fixture.removeEngine("e")
			engine := fixture.addRawEngine(t, "raw", "v1", func(*http.Request, int) rawResponse { return response })
			_, body, err := fixture.send("/kept/", "r1", budgetHeaders...)
			So(err, ShouldNotBeNil)
			So(whole, ShouldStartWith, body)
			So(engine.requests(), ShouldResemble, []string{""})
			So(fixture.ledger.awaitSettle("r1").Settle.Retain, ShouldBeFalse)
		})
	}
	for _, framing := range allFramings {
		Convey("whole and framed by "+string(framing), t, func() {
			fixture := newGatewayFixture(t, func(http.ResponseWriter, *http.Request) {})
			fixture.removeEngine("e")
			fixture.addRawEngine(t, "raw", "v1", func(*http.Request, int) rawResponse { return wholeResponse(framing, whole) })
			_, body, err := fixture.send("/kept/", "r1", budgetHeaders...)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, whole)
			So(fixture.ledger.awaitSettle("r1").Settle.Retain, ShouldBeTrue)
		})
	}
}
