package scheduling

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// nearCompared and farCompared are how many engines of the request's zone and of
	// others are compared, besides the one that holds the session's memory.
	nearCompared = 2
	farCompared  = 1
)

// compared returns the engines that a request compares: those that were not tried, and
// where it has no key, its home and the first of each zone in an order of its own.
func compared(candidates []Candidate, demand SelectionInput) []Candidate {
	left := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if slices.Contains(demand.ExcludedEngines, candidate.ID) {
			continue
		}
		candidate.slowness = demand.slownessOf(candidate.Health)
		if demand.keyed() {
			candidate.order = xxhash.Sum64String(candidate.ID + "\x00" + demand.AffinityKey)
		} else {
			candidate.order = shuffled(candidate.ID, demand.ShuffleSeed)
		}
		left = append(left, candidate)
	}
	if demand.keyed() || demand.Disabled.Has(MechanismCandidateSampling) {
		return left
	}
	return firstOf(left, demand)
}

// slownessOf returns how many times longer than usual a token of a stream is expected to take
// at an engine: by what its streams have shown over some time, or where it is slow beyond what its
// own speed explains, by the last of them.
func (d SelectionInput) slownessOf(health *EngineHealth) float64 {
	if !d.IsStream {
		return 1
	}
	slowness := 1.0
	if !d.Disabled.Has(MechanismEngineSpeed) {
		slowness = health.Slowdown()
	}
	if factor := health.LatencyRatio(d.NowMs); factor >= d.slowFrom {
		slowness = max(slowness, factor)
	}
	return slowness
}

// shuffled returns an engine's place in an order that a draw decides: another draw gives
// an order that has nothing to do with it.
func shuffled(engine string, draw uint64) uint64 {
	digest := xxhash.NewWithSeed(draw)
	_, _ = digest.WriteString(engine)
	return digest.Sum64()
}

// firstOf returns the home and the first engines of the request's zone and of others,
// sound ones before others, in the order of the request.
func firstOf(candidates []Candidate, demand SelectionInput) []Candidate {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(unsound(a, demand), unsound(b, demand)), cmp.Compare(a.order, b.order))
	})
	near, distant := nearCompared, farCompared
	chosen := candidates[:0]
	for _, candidate := range candidates {
		left := &near
		if candidate.Zone != demand.Zone {
			left = &distant
		}
		switch {
		case candidate.ID == demand.AffineEngine:
			chosen = append(chosen, candidate)
		case *left > 0:
			*left--
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

// slowFrom returns the factor from which an engine counts as slow: well above what the
// spread over all of them explains, since in an overload each takes longer now and then,
// and a session that leaves its engine for that only adds to the overload.
func slowFrom(candidates []Candidate, nowMs int64) float64 {
	factors := make([]float64, 0, len(candidates))
	for _, candidate := range candidates {
		factors = append(factors, candidate.Health.LatencyRatio(nowMs))
	}
	middle := median(factors)
	for position, factor := range factors {
		factors[position] = math.Abs(factor - middle)
	}
	return max(leastSlowFactor*middle, middle+slowDeviations*deviationOfMedian*median(factors))
}

const (
	// leastSlowFactor is how many times longer than at the one in the middle things take
	// at a slow engine at the least, slowDeviations how many standard deviations it lies
	// above, and deviationOfMedian what makes a median of absolute deviations one.
	leastSlowFactor   = 1.8
	slowDeviations    = 4
	deviationOfMedian = 1.4826
)

// median returns the middle of values, which it sorts; 1 where there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[len(values)/2]
}
