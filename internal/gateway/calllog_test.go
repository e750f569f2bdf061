package gateway

import (
	"bytes"
	"net/http/httptest"
	"testing"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

// TestCallLog checks that the log line of a request only has keys for the steps that the request
// reached.
func TestCallLog(t *testing.T) {
	Convey("the log line of a finished request", t, func() {
		var lines bytes.Buffer
		Convey("has the elapsed time but no engine selection if there was no routing table", func() {
			gateway := NewDaemon(config.Defaults(), DefaultHeaderNames(), log.NewLogfmtLogger(&lines))
			request := httptest.NewRequest("POST", "/x", nil)
			request.Header.Set("Ochrebay-Request", "early")
			gateway.serve(httptest.NewRecorder(), request)
			So(lines.String(), ShouldContainSubstring, "request=early")
			So(lines.String(), ShouldContainSubstring, "code=1206")
			So(lines.String(), ShouldContainSubstring, "took=")
			So(lines.String(), ShouldNotContainSubstring, "took=\"\"")
			So(lines.String(), ShouldNotContainSubstring, "cost_ms")
		})
		Convey("has no engine if the ledger rejected the turn", func() {
			fixture := newGatewayFixture(t, streamingEngine(2, "", false))
			fixture.gateway.logger = log.NewLogfmtLogger(&lines)
			fixture.ledger.setResponse(func(*protocol.TurnRequest) *protocol.TurnReply {
				return &protocol.TurnReply{Error: result.New(result.BudgetExhausted, "spent")}
			})
			_, _, err := fixture.send("/stream/", "poor", budgetHeaders...)
			So(err, ShouldBeNil)
			So(lines.String(), ShouldContainSubstring, "opened_ms=")
			So(lines.String(), ShouldNotContainSubstring, "engine=")
			So(lines.String(), ShouldNotContainSubstring, "missing=")
		})
	})
}

// TestStreamsInTheCallLog guards against log lines that do not show which software version of a
// back end served a stream, and which stream a request takes up.
func TestStreamsInTheCallLog(t *testing.T) {
	Convey("the lines of a stream that is taken up", t, func() {
		lines := &lineBuffer{}
		fixture := newGatewayFixture(t, streamingEngine(2, "", true))
		fixture.gateway.logger = log.NewLogfmtLogger(lines)
		fleet := *fixture.gateway.view.Load().fleet
		engine := fleet.Engines["e"]
		engine.SoftwareVersion = "v7"
		fleet.Engines["e"] = engine
		fixture.gateway.engines.applyFleet(&fleet)
		Convey("show the software version and how far the caller is", func() {
			_, _, _ = fixture.send("/stream/", "r1")
			So(lines.String(), ShouldContainSubstring, `msg="attempt failed" request=r1 engine=e software=v7`)
			So(lines.String(), ShouldContainSubstring, "started=true last_event=2")
			So(lines.String(), ShouldContainSubstring, "engine=e software=v7 home=")
			So(lines.String(), ShouldNotContainSubstring, "takes_up")
		})
		Convey("name the stream that the caller takes up", func() {
			_, _, _ = fixture.send("/resumable/", "r2", "Ochrebay-Takes-Up", "r1", "Last-Event-Id", "2")
			So(lines.String(), ShouldContainSubstring, "takes_up=r1 after_event=2")
		})
	})
}
