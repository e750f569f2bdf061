// Package retry computes the response timeout of an attempt at an engine and bounds retries by a
// budget. It is pure: no clock, goroutines or randomness; times are in milliseconds.
package retry

import (
	"math"
	"slices"
)

// Settings are the operator's settings of retries.
type Settings struct {
	// RetriesPerSuccess is the number of retries allowed per success, 0 to 1. With a higher value
	// more requests survive a failing engine. With a lower value engines that fail because of
	// overload get less additional load.
	RetriesPerSuccess float64 `yaml:"share" validate:"min=0,max=1"`
	// CrashLimit is the number of engines that may end while they run one request, over all its client
	// attempts at all gateways. With a higher value an innocent request survives more engines that end
	// by chance. With a lower value a request that ends its engines ends fewer of them.
	CrashLimit int `yaml:"crash_limit" validate:"min=1,max=16"`
}

// DefaultSettings allows one retry per five successes, which is enough for a backend in which a sixth
// of the engines fail every request, and three engines that end under one request.
func DefaultSettings() Settings { return Settings{RetriesPerSuccess: 0.2, CrashLimit: 3} }

// maxSavedRetries bounds the retries that accumulate while nothing fails. It is the number of
// requests that are interrupted when an engine at full load stops.
const maxSavedRetries = 16

// Budget is the retry budget of one backend. Invariant: the number of retries is at most
// RetriesPerSuccess times the number of successes, plus maxSavedRetries.
type Budget struct {
	settings     Settings
	savedRetries float64
}

// NewBudget returns a full budget.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings, savedRetries: maxSavedRetries}
}

// RecordSuccess records a request that was answered.
func (b *Budget) RecordSuccess() {
	b.savedRetries = math.Min(b.savedRetries+b.settings.RetriesPerSuccess, maxSavedRetries)
}

// TryTake takes one retry from the budget, and reports false if none is left.
func (b *Budget) TryTake() bool {
	if b.savedRetries < 1 {
		return false
	}
	b.savedRetries--
	return true
}

const (
	// histogramHalfLifeMs is the age at which a sample counts half.
	histogramHalfLifeMs = 10_000
	// minSampleWeight is the minimum total weight of samples for which a timeout is given. It
	// leaves a few samples beyond the quantile.
	minSampleWeight = 100
	// The timeout is timeoutFactor times the timeoutQuantile quantile of the latencies. An attempt
	// that takes longer than that is no longer explained by a slow engine or by chance.
	timeoutQuantile = 0.98
	timeoutFactor   = 2
	// bucketGrowth is the ratio of the latencies of two adjacent buckets, and bucketCount the
	// number of buckets. They cover 1 ms to about 4.5 minutes (1.25 to the power of 56).
	bucketGrowth = 1.25
	bucketCount  = 57
	// maxKinds bounds the number of kinds of request that are tracked.
	maxKinds = 512
)

// LatencyHistogram is the distribution of the latencies of attempts of one kind of request, until
// the response or the start of a streamed response. Its buckets are equally spaced in the
// logarithm of the latency, and samples decay as they age.
type LatencyHistogram struct {
	weights   [bucketCount]float64
	updatedMs int64
}

// Record adds the latency of an attempt that was answered.
func (h *LatencyHistogram) Record(nowMs int64, latencyMs float64) {
	h.decayTo(nowMs)
	h.weights[bucketIndex(latencyMs)]++
}

func bucketIndex(latencyMs float64) int {
	if latencyMs <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log(latencyMs)/math.Log(bucketGrowth))), bucketCount-1)
}

// decayTo decays the samples up to nowMs. A clock that steps back changes nothing.
func (h *LatencyHistogram) decayTo(nowMs int64) {
	if nowMs <= h.updatedMs {
		return
	}
	factor := math.Exp2(-float64(nowMs-h.updatedMs) / histogramHalfLifeMs)
	for bucket := range h.weights {
		h.weights[bucket] *= factor
	}
	h.updatedMs = nowMs
}

// TimeoutMs returns how long an attempt may take until its response starts, or false if there are
// too few samples.
func (h *LatencyHistogram) TimeoutMs(nowMs int64) (float64, bool) {
	h.decayTo(nowMs)
	total := 0.0
	for _, weight := range h.weights {
		total += weight
	}
	if total < minSampleWeight {
		return 0, false
	}
	tailWeight := total * (1 - timeoutQuantile)
	for bucket, weight := range slices.Backward(h.weights[:]) {
		tailWeight -= weight
		if tailWeight < 0 {
			return timeoutFactor * math.Pow(bucketGrowth, float64(bucket)), true
		}
	}
	return 0, false
}

// LatencyHistograms holds the latency histogram of each kind of request.
type LatencyHistograms struct {
	byKind map[string]*LatencyHistogram
}

// ForKind returns the histogram of a kind of request and creates it if necessary. If there are
// maxKinds histograms already, all of them are dropped before a new one is created.
func (h *LatencyHistograms) ForKind(kind string) *LatencyHistogram {
	histogram, known := h.byKind[kind]
	if !known {
		if h.byKind == nil || len(h.byKind) >= maxKinds {
			h.byKind = map[string]*LatencyHistogram{}
		}
		histogram = &LatencyHistogram{}
		h.byKind[kind] = histogram
	}
	return histogram
}

// RecordTimeout records an attempt that timed out. Its latency is unknown but longer than the
// timeout. It counts as twice the timeout, so that the timeout rises if many attempts reach it
// because all engines have become slower.
func (h *LatencyHistogram) RecordTimeout(nowMs int64, timeoutMs float64) {
	const censoredFactor = 2
	h.Record(nowMs, censoredFactor*timeoutMs)
}
