package waiting

import "math"

const (
	// rateTimeConstantMs is the time constant of the averaged completion rate. It is a few times
	// the service time of a request, so that single completions do not dominate, and short enough
	// to follow engines that join and leave.
	rateTimeConstantMs = 2_000
	// minCompletions is the minimum number of completions for which a rate is reported.
	minCompletions = 3
)

// completionRate is the rate at which requests complete at the engines of a backend, averaged
// with exponential decay.
type completionRate struct {
	decayedCount float64
	firstMs      int64
	updatedMs    int64
	completions  int
}

// record counts a completed request.
func (r *completionRate) record(nowMs int64) {
	if r.completions == 0 {
		r.firstMs = nowMs
		r.updatedMs = nowMs
	}
	r.decayTo(nowMs)
	r.decayedCount++
	r.completions++
}

func (r *completionRate) decayTo(nowMs int64) {
	if nowMs > r.updatedMs {
		r.decayedCount *= math.Exp(-float64(nowMs-r.updatedMs) / rateTimeConstantMs)
		r.updatedMs = nowMs
	}
}

// perMs returns the rate in requests per millisecond, or false if too few requests have completed
// recently. Invariant: a reported rate is never 0. If nothing completes, there may be nothing to
// complete, for example because the backend had no engine. A rate of 0 would then reject every
// call, so that no request completes and the rate stays at 0.
func (r *completionRate) perMs(nowMs int64) (float64, bool) {
	if r.completions < minCompletions || nowMs <= r.firstMs {
		return 0, false
	}
	r.decayTo(nowMs)
	if r.decayedCount < minCompletions {
		return 0, false
	}
	// The average covers only the time since the first completion. Otherwise the rate would be
	// underestimated at the start.
	coveredMs := rateTimeConstantMs * (1 - math.Exp(-float64(nowMs-r.firstMs)/rateTimeConstantMs))
	return r.decayedCount / coveredMs, true
}

// poissonAtLeast returns the probability that a Poisson process with the given rate has at least
// minEvents events within withinMs milliseconds.
func poissonAtLeast(minEvents int, perMs float64, withinMs int64) float64 {
	if withinMs <= 0 {
		return 0
	}
	mean := perMs * float64(withinMs)
	if mean > 50 {
		// Normal approximation with continuity correction.
		return 0.5 * math.Erfc((float64(minEvents)-0.5-mean)/math.Sqrt(2*mean))
	}
	term := math.Exp(-mean)
	fewer := 0.0
	for count := range minEvents {
		if count > 0 {
			term *= mean / float64(count)
		}
		fewer += term
	}
	return math.Max(1-fewer, 0)
}
