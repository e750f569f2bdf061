// Package clock is the time by which all processes' cores go.
package clock

import "time"

// processStart carries both clocks' readings of the process's start.
var processStart = time.Now()

// NowMs is the time in milliseconds since 1970 as it was at the process's start, advanced
// by the steady clock. Invariant: it never steps, so that a machine whose time of day
// jumps takes nobody's silence or deadline for over and holds back no timer.
func NowMs() int64 { return millisecondsAt(processStart, time.Now()) }

// millisecondsAt returns the start's time of day and what the steady clock has counted
// since, milliseconds.
func millisecondsAt(start, now time.Time) int64 {
	return start.UnixMilli() + now.Sub(start).Milliseconds()
}
