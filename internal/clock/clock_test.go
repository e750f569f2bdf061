package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestNowMs checks that NowMs follows the monotonic clock: a step of the wall clock does not count
// as elapsed time.
func TestNowMs(t *testing.T) {
	Convey("elapsed time is the monotonic time, whatever the wall clock reads", t, func() {
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
