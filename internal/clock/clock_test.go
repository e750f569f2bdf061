package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestNowMs holds that the clock of the cores goes by the steady clock: a step of the time
// of day is no time that has passed.
func TestNowMs(t *testing.T) {
	Convey("the time of day may be anything, what has passed is what the steady clock counted", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			passed := time.Duration(rapid.Int64Range(0, int64(24*time.Hour)).Draw(rt, "passed"))
			start := time.Now()
			now := start.Add(passed)
			if got := millisecondsAt(start, now) - start.UnixMilli(); got != passed.Milliseconds() {
				rt.Fatalf("%v passed, counted %d ms", passed, got)
			}
		})
		So(NowMs(), ShouldBeBetweenOrEqual, processStart.UnixMilli(), processStart.UnixMilli()+time.Hour.Milliseconds())
	})
}
