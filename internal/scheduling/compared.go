package scheduling

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// sameZoneSampleSize and otherZoneSampleSize are the numbers of engines that are compared from
	// the request's zone and from all other zones, in addition to the session's affine engine. Few
	// engines are compared, so that gateways with the same outdated view do not all select the same
	// engine (see SelectEngine).
	sameZoneSampleSize  = 2
	otherZoneSampleSize = 1
)

// sampleCandidates returns the engines to compare for a request, without those already tried: all
// of them if the request has an affinity key or sampling is disabled, and otherwise the affine
// engine and a random sample from the request's zone and from the other zones.
func sampleCandidates(candidates []Candidate, input SelectionInput) []Candidate {
	remaining := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if slices.Contains(input.ExcludedEngines, candidate.ID) {
			continue
		}
		candidate.slowdown = input.slowdownOf(candidate.Health)
		if input.usesAffinityKey() {
			candidate.shuffleOrder = xxhash.Sum64String(candidate.ID + "\x00" + input.AffinityKey)
		} else {
			candidate.shuffleOrder = shuffleOrder(candidate.ID, input.ShuffleSeed)
		}
		remaining = append(remaining, candidate)
	}
	if input.usesAffinityKey() || input.Disabled.Has(MechanismCandidateSampling) {
		return remaining
	}
	return samplePerZone(remaining, input)
}

// slowdownOf returns the expected time per token of a stream at an engine as a multiple of the
// usual time, and 1 for other requests. It is the engine's long-term slowdown, or the recent
// latency ratio if that is higher and has reached the slow threshold.
func (i SelectionInput) slowdownOf(health *EngineHealth) float64 {
	if !i.IsStream {
		return 1
	}
	slowdown := 1.0
	if !i.Disabled.Has(MechanismEngineSpeed) {
		slowdown = health.Slowdown()
	}
	if ratio := health.LatencyRatio(i.NowMs); ratio >= i.slowThreshold {
		slowdown = max(slowdown, ratio)
	}
	return slowdown
}

// shuffleOrder returns the sort key of an engine in a pseudorandom order. The orders of different
// seeds are unrelated.
func shuffleOrder(engine string, seed uint64) uint64 {
	digest := xxhash.NewWithSeed(seed)
	_, _ = digest.WriteString(engine)
	return digest.Sum64()
}

// samplePerZone returns the affine engine and the first engines of the request's zone and of the
// other zones in shuffle order. Engines that are not suspect come first.
func samplePerZone(candidates []Candidate, input SelectionInput) []Candidate {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(suspectKey(a, input), suspectKey(b, input)), cmp.Compare(a.shuffleOrder, b.shuffleOrder))
	})
	sameZone, otherZone := sameZoneSampleSize, otherZoneSampleSize
	sample := candidates[:0]
	for _, candidate := range candidates {
		remaining := &sameZone
		if candidate.Zone != input.Zone {
			remaining = &otherZone
		}
		switch {
		case candidate.ID == input.AffineEngine:
			sample = append(sample, candidate)
		case *remaining > 0:
			*remaining--
			sample = append(sample, candidate)
		}
	}
	return sample
}

// slowThreshold returns the latency ratio from which an engine counts as slow. It lies well above
// what the spread over all engines explains: in an overload every engine is slow now and then, and
// a session that leaves its engine for that reason only adds to the overload.
func slowThreshold(candidates []Candidate, nowMs int64) float64 {
	ratios := make([]float64, 0, len(candidates))
	for _, candidate := range candidates {
		ratios = append(ratios, candidate.Health.LatencyRatio(nowMs))
	}
	medianRatio := median(ratios)
	for index, ratio := range ratios {
		ratios[index] = math.Abs(ratio - medianRatio)
	}
	return max(minSlowRatio*medianRatio, medianRatio+slowDeviations*deviationPerMAD*median(ratios))
}

const (
	// minSlowRatio is the lower bound of the threshold as a multiple of the median ratio.
	// slowDeviations is the number of standard deviations that the threshold lies above the median,
	// and deviationPerMAD converts a median absolute deviation to a standard deviation of normally
	// distributed samples.
	minSlowRatio    = 1.8
	slowDeviations  = 4
	deviationPerMAD = 1.4826
)

// median sorts values and returns the middle one, or 1 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[len(values)/2]
}
