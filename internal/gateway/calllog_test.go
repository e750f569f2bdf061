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

// TestCallLog holds that the line of a request has keys only for what the request came to.
func TestCallLog(t *testing.T) {
	Convey("the line that ends a request", t, func() {
		var lines bytes.Buffer
		Convey("of one that came before the first table says how long it took, and of no choice", func() {
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
		Convey("of a turn that the ledger refused has no engine", func() {
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
