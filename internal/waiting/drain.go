package waiting

import "math"

const (
	// drainSpanMs is the time over which the rate of room is averaged: a few times as long as
	// one request occupies its place, so that single ones do not show, and short enough to
	// follow engines that come and go.
	drainSpanMs = 2_000
	// leastDrained is how many requests must have ended before their rate says anything.
	leastDrained = 3
)

// drain is the rate at which requests end at the engines of a back end, averaged with
// exponential decay.
type drain struct {
	count   float64
	sinceMs int64
	atMs    int64
	ended   int
}

// note counts a request that ended.
func (d *drain) note(nowMs int64) {
	if d.ended == 0 {
		d.sinceMs = nowMs
		d.atMs = nowMs
	}
	d.ageTo(nowMs)
	d.count++
	d.ended++
}

func (d *drain) ageTo(nowMs int64) {
	if nowMs > d.atMs {
		d.count *= math.Exp(-float64(nowMs-d.atMs) / drainSpanMs)
		d.atMs = nowMs
	}
}

// perMs returns the rate, requests a millisecond; false where too few have ended to tell.
func (d *drain) perMs(nowMs int64) (float64, bool) {
	if d.ended < leastDrained || nowMs <= d.sinceMs {
		return 0, false
	}
	d.ageTo(nowMs)
	// The average covers the time since the first, not more: without that the rate would be
	// taken for too low at the beginning.
	covered := drainSpanMs * (1 - math.Exp(-float64(nowMs-d.sinceMs)/drainSpanMs))
	return d.count / covered, true
}

// chance returns how likely a Poisson process of a rate has brought at least wanted events
// within a time.
func chance(wanted int, perMs float64, withinMs int64) float64 {
	if withinMs <= 0 {
		return 0
	}
	mean := perMs * float64(withinMs)
	if mean > 50 {
		// The normal approximation, with a correction for whole numbers.
		return 0.5 * math.Erfc((float64(wanted)-0.5-mean)/math.Sqrt(2*mean))
	}
	term := math.Exp(-mean)
	fewer := 0.0
	for count := range wanted {
		if count > 0 {
			term *= mean / float64(count)
		}
		fewer += term
	}
	return math.Max(1-fewer, 0)
}
