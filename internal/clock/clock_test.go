package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestNowMs checks that the time advances by the elapsed time in whole milliseconds. The wall-clock
// and the monotonic reading advance together here; the test simulates no step of the wall clock.
func TestNowMs(t *testing.T) {
	Convey("the time is that of the start plus the elapsed time in whole milliseconds", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			elapsed := time.Duration(rapid.Int64Range(0, int64(24*time.Hour)).Draw(rt, "elapsed"))
			start := time.Now()
			now := start.Add(elapsed)
			if got := monotonicUnixMs(start, now) - start.UnixMilli(); got != elapsed.Milliseconds() {
				rt.Fatalf("%v elapsed, got %d ms", elapsed, got)
			}
		})
		So(NowMs(), ShouldBeBetweenOrEqual, processStart.UnixMilli(), processStart.UnixMilli()+time.Hour.Milliseconds())
	})
}
