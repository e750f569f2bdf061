package main

import (
	"strings"
	"testing"
	"text/tabwriter"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/membership"
)

func TestPrintEngines(t *testing.T) {
	Convey("serving engines are listed with their load, slowdown, start time and avoid reason", t, func() {
		var out strings.Builder
		table := tabwriter.NewWriter(&out, 0, 0, 1, ' ', 0)
		printEngines(table, control.EnginesView{Serving: []control.ServingView{
			{ServingEngine: membership.ServingEngine{ID: "i-1", Backend: "b", Zone: "z", Slots: 8, StartedMs: 1_800_000_000_000}, InFlight: 3.25, ReservedKVCacheTokens: 9100, Slowdown: 1.7},
			{ServingEngine: membership.ServingEngine{ID: "i-2", Backend: "b", Zone: "z", Draining: true}, AvoidReason: "draining"},
		}})
		So(table.Flush(), ShouldBeNil)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		So(lines, ShouldHaveLength, 3)
		So(lines[1], ShouldContainSubstring, "9100")
		So(lines[1], ShouldContainSubstring, "1.70")
		So(lines[1], ShouldContainSubstring, "2027-01-15T08:00:00Z")
		So(lines[2], ShouldContainSubstring, "draining")
	})
}
