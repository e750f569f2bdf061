// Package clock provides the time that the cores of all processes run on.
package clock

import "time"

// processStart holds the wall-clock and the monotonic reading taken when the process started.
var processStart = time.Now()

// NowMs returns the time in milliseconds since 1970: the wall-clock time at which the process
// started plus the monotonic time elapsed since. Invariant: it never steps. A jump of the
// machine's wall clock therefore neither ends a silence timeout or a deadline early nor delays a
// timer.
func NowMs() int64 { return monotonicUnixMs(processStart, time.Now()) }

// monotonicUnixMs returns the wall-clock time of start plus the monotonic time from start to now,
// in milliseconds since 1970.
func monotonicUnixMs(start, now time.Time) int64 {
	return start.UnixMilli() + now.Sub(start).Milliseconds()
}
