package gateway

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLateProgramKeepsItsRank holds that engines are told the rank of a route's requests whether
// their program can still end in time or not: in an overload they serve the last rank only once
// its callers have given up.
func TestLateProgramKeepsItsRank(t *testing.T) {
	Convey("the rank of a turn", t, func() {
		seen := ""
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, r *http.Request) {
			seen = r.Header.Get("Ochrebay-Priority")
			streamingEngine(1, "", false)(w, r)
		})
		rankWith := func(request, finishMs string) string {
			response, _, err := fixture.send("/stream/", request, append(budgetHeaders, "Ochrebay-Finish-Ms", finishMs)...)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 200)
			return seen
		}
		So(rankWith("r1", "-5000"), ShouldEqual, rankWith("r2", "5000"))
		So(seen, ShouldNotBeBlank)
	})
}
