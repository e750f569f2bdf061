package logreport

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func addLine(report *Report, pairs ...string) {
	fields := map[string]string{}
	for position := 0; position+1 < len(pairs); position += 2 {
		fields[pairs[position]] = pairs[position+1]
	}
	report.AddLine(fields)
}

func TestReport(t *testing.T) {
	Convey("log lines of requests are aggregated by second, route and result code", t, func() {
		report := &Report{}
		addLine(report, "msg", "served", "ts", "2026-12-02T10:00:00.5Z", "route", "a", "took", "10ms")
		addLine(report, "msg", "served", "ts", "2026-12-02T10:00:00.9Z", "route", "a", "took", "30ms")
		addLine(report, "msg", "served", "ts", "2026-12-02T10:00:02.1Z", "route", "b", "took", "1.5s")
		addLine(report, "msg", "failed", "ts", "2026-12-02T10:00:02.2Z", "route", "a", "took", "5ms", "outcome", "not_run", "code", "1309")
		addLine(report, "msg", "turn opened", "ts", "2026-12-02T10:00:09Z", "took", "1ms")
		addLine(report, "msg", "served", "ts", "no time", "took", "1ms")
		addLine(report, "msg", "log lines dropped", "count", "7")
		So(report.Len(), ShouldEqual, 4)
		So(report.Dropped, ShouldEqual, 7)
		seconds := report.Seconds()
		So(len(seconds), ShouldEqual, 3)
		So(seconds[0].Outcomes, ShouldResemble, map[string]int{"served": 2})
		So(seconds[0].P50, ShouldEqual, 10*time.Millisecond)
		So(seconds[0].P99, ShouldEqual, 30*time.Millisecond)
		So(seconds[1].Outcomes, ShouldBeEmpty)
		So(seconds[2].Outcomes, ShouldResemble, map[string]int{"served": 1, "not_run": 1})
		So(report.Routes(), ShouldResemble, []Row{
			{Name: "a", Count: 3, Served: 2, P50: 10 * time.Millisecond, P99: 30 * time.Millisecond},
			{Name: "b", Count: 1, Served: 1, P50: 1500 * time.Millisecond, P99: 1500 * time.Millisecond},
		})
		So(report.Failures(), ShouldResemble, []Row{{Name: "1309 not_run", Count: 1, P50: 5 * time.Millisecond, P99: 5 * time.Millisecond}})
		Convey("and rendered as one self-contained page with two plots", func() {
			var written strings.Builder
			So(report.WriteHTML(&written), ShouldBeNil)
			So(strings.Count(written.String(), "<svg"), ShouldEqual, 2)
			So(written.String(), ShouldContainSubstring, "1309 not_run")
			So(written.String(), ShouldContainSubstring, "7 lines were dropped")
			So(written.String(), ShouldNotContainSubstring, "<?xml")
		})
	})
	Convey("names of routes are escaped in the page", t, func() {
		report := &Report{}
		addLine(report, "msg", "served", "ts", "2026-12-02T10:00:00Z", "route", "<script>", "took", "1ms")
		var written strings.Builder
		So(report.WriteHTML(&written), ShouldBeNil)
		So(written.String(), ShouldNotContainSubstring, "<script>")
	})
}
