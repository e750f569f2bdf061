package gateway

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLateProgramKeepsItsPriority checks that a turn's priority at the engine does not depend on whether
// its program can still finish in time. In an overload, engines serve the lowest priority only after
// its callers have given up, so demoting late programs would starve them.
func TestLateProgramKeepsItsPriority(t *testing.T) {
	Convey("a turn's priority does not change after the finish time of its program", t, func() {
		seen := ""
		fixture := newGatewayFixture(t, func(w http.ResponseWriter, r *http.Request) {
			seen = r.Header.Get("Ochrebay-Priority")
			streamingEngine(1, "", false)(w, r)
		})
		priorityWith := func(request, finishMs string) string {
			response, _, err := fixture.send("/stream/", request, append(budgetHeaders, "Ochrebay-Finish-Ms", finishMs)...)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, 200)
			return seen
		}
		So(priorityWith("r1", "-5000"), ShouldEqual, priorityWith("r2", "5000"))
		So(seen, ShouldNotBeBlank)
	})
}
