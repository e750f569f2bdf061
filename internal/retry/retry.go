// Package retry decides how long one try at an engine may be silent and whether there may be
// a second one. It is pure: no clock, goroutine or random source; times are in milliseconds.
package retry

import (
	"math"
	"slices"
)

// Settings are what an operator may choose.
type Settings struct {
	// RetriesPerSuccess is how many second tries there may be for each success, 0 to 1. Higher, and more
	// requests survive an engine that fails; lower, and engines that fail because they are
	// overloaded get less on top of it.
	RetriesPerSuccess float64 `yaml:"share" validate:"min=0,max=1"`
}

// DefaultSettings bound second tries to a fifth of the successes: a back end of which a sixth
// of the engines fails all that it is sent is got by with that.
func DefaultSettings() Settings { return Settings{RetriesPerSuccess: 0.2} }

// mostSaved is how many second tries may be saved up while nothing fails: as many as an
// engine that ends while it is full breaks off.
const mostSaved = 16

// Budget bounds the second tries of one back end. Invariant: of any number of successes, at
// most their share and mostSaved more tries are taken.
type Budget struct {
	settings Settings
	saved    float64
}

// NewBudget returns a budget of which nothing has been taken.
func NewBudget(settings Settings) *Budget { return &Budget{settings: settings, saved: mostSaved} }

// RecordSuccess notes a request that was answered.
func (b *Budget) RecordSuccess() { b.saved = math.Min(b.saved+b.settings.RetriesPerSuccess, mostSaved) }

// TryTake takes one try from the budget; false where there is none left.
func (b *Budget) TryTake() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

const (
	// timesHalfLifeMs is when a sample counts half.
	timesHalfLifeMs = 10_000
	// leastTimes is the weight of samples from which on their distribution is believed, which
	// leaves a few beyond the quantile that is asked for.
	leastTimes = 100
	// boundQuantile is the part of the tries that are done within the time taken for usual,
	// and boundFactor how many times that one try may be silent: an engine which takes as
	// long as that is not one that is merely slow, or unlucky.
	boundQuantile = 0.98
	boundFactor   = 2
	// bucketGrowth is how much longer the times of a bucket are than those of the one before,
	// and buckets how many there are: from 1 ms to some 5 minutes.
	bucketGrowth = 1.25
	buckets      = 57
	// mostKinds bounds the kinds of request that are told apart.
	mostKinds = 512
)

// LatencyHistogram is the distribution of how long the tries of one kind of request take to be answered,
// or to begin to be: a histogram of equal steps of the logarithm, in which samples count less
// as they age.
type LatencyHistogram struct {
	weights [buckets]float64
	atMs    int64
}

// Record takes the time of a try that was answered.
func (t *LatencyHistogram) Record(nowMs int64, tookMs float64) {
	t.ageTo(nowMs)
	t.weights[bucketOf(tookMs)]++
}

func bucketOf(tookMs float64) int {
	if tookMs <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log(tookMs)/math.Log(bucketGrowth))), buckets-1)
}

// ageTo lets the samples lose weight; a clock that steps back changes nothing.
func (t *LatencyHistogram) ageTo(nowMs int64) {
	if nowMs <= t.atMs {
		return
	}
	factor := math.Exp2(-float64(nowMs-t.atMs) / timesHalfLifeMs)
	for bucket := range t.weights {
		t.weights[bucket] *= factor
	}
	t.atMs = nowMs
}

// TimeoutMs is how long a try may be silent; false where too little is known.
func (t *LatencyHistogram) TimeoutMs(nowMs int64) (float64, bool) {
	t.ageTo(nowMs)
	total := 0.0
	for _, weight := range t.weights {
		total += weight
	}
	if total < leastTimes {
		return 0, false
	}
	beyond := total * (1 - boundQuantile)
	for bucket, weight := range slices.Backward(t.weights[:]) {
		beyond -= weight
		if beyond < 0 {
			return boundFactor * math.Pow(bucketGrowth, float64(bucket)), true
		}
	}
	return 0, false
}

// LatencyHistograms holds the times of each kind of request.
type LatencyHistograms struct {
	times map[string]*LatencyHistogram
}

// ForKind returns the times of a kind of request.
func (k *LatencyHistograms) ForKind(kind string) *LatencyHistogram {
	times, known := k.times[kind]
	if !known {
		if k.times == nil || len(k.times) >= mostKinds {
			k.times = map[string]*LatencyHistogram{}
		}
		times = &LatencyHistogram{}
		k.times[kind] = times
	}
	return times
}

// RecordTimeout notes a try that was given up after its bound. What it would have taken is not
// known, only that it is longer: it counts as twice that, so that the bound rises where many
// tries reach it because all engines have become slower.
func (t *LatencyHistogram) RecordTimeout(nowMs int64, boundMs float64) {
	const longer = 2
	t.Record(nowMs, longer*boundMs)
}
