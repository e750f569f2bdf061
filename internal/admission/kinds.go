// Package admission decides which programs may start. The limit of a tenant is compared with a
// forecast of the requests of its programs, which is learned from earlier programs of the same
// kind. At an oversubscribed backend, tenants are limited to their fair shares. The package is
// pure: its callers pass the time.
package admission

import "math"

const (
	// priorGapMs and priorRequests describe a program of a kind without observations: the time
	// between two of its requests in milliseconds, and the number of its requests. They count as
	// priorWeight observations.
	priorGapMs    = 500
	priorRequests = 8
	priorWeight   = 8
	// maxObservedWeight is the weight at which all observations are halved, so that changes in a
	// kind of programs are learned within some hundred requests.
	maxObservedWeight = 1024
	// gapBuckets is the number of buckets of the time between two requests. Bucket i starts at
	// minGapMs * 2^i milliseconds; bucket 0 also holds shorter times.
	gapBuckets = 12
	minGapMs   = 25
	// progressBuckets is the number of buckets of the progress of a program. Bucket i starts at 2^i
	// requests.
	progressBuckets = 10
	// inactivityGaps is the number of mean gaps without a request after which a program counts as
	// ended, and minInactivityMs is the minimum of that time. It is longer than the second within
	// which a refused caller retries.
	inactivityGaps  = 8
	minInactivityMs = 1500
)

// ProgramKinds are the kinds of programs, identified by the route of their first turn. Observations
// of a kind are shared by all tenants.
type ProgramKinds struct{ byName map[string]*ProgramKind }

// NewProgramKinds returns an empty set.
func NewProgramKinds() *ProgramKinds { return &ProgramKinds{byName: map[string]*ProgramKind{}} }

// GetOrCreate returns the kind with a name and creates it if necessary.
func (k *ProgramKinds) GetOrCreate(name string) *ProgramKind {
	kind := k.byName[name]
	if kind == nil {
		kind = &ProgramKind{}
		k.byName[name] = kind
	}
	return kind
}

// ProgramKind holds the observations of one kind of programs: the number of their requests and the
// times between them, which include tool calls and sub-agents.
//
// Whether a program continues after a request is estimated from the requests that were followed by
// another one and those that were not, as in the estimator of Kaplan and Meier. Programs that are
// still in progress therefore don't make programs appear short.
type ProgramKind struct {
	continued      [progressBuckets]float64
	ended          [progressBuckets]float64
	gapSumMs       float64
	gapCounts      [gapBuckets]float64
	gapWeight      float64
	cachedForecast kindForecast
}

// progressBucket returns the bucket of a program that has made a number of requests.
func progressBucket(requests int) int {
	bucket := 0
	for requests > 1 && bucket < progressBuckets-1 {
		requests /= 2
		bucket++
	}
	return bucket
}

// gapBucket returns the bucket of the time between two requests.
func gapBucket(gapMs float64) int {
	bucket := 0
	for gapMs >= 2*minGapMs && bucket < gapBuckets-1 {
		gapMs /= 2
		bucket++
	}
	return bucket
}

// ObserveContinuation records that a program with a number of requests has made another one, gapMs
// after the last one was granted.
func (k *ProgramKind) ObserveContinuation(requests int, gapMs int64) {
	k.continued[progressBucket(requests)]++
	clampedMs := math.Max(float64(gapMs), 0)
	k.gapCounts[gapBucket(clampedMs)]++
	k.gapSumMs += clampedMs
	k.gapWeight++
	if k.gapWeight >= maxObservedWeight {
		k.halveWeights()
	}
}

// UndoContinuation reverts ObserveContinuation for a request of which nothing ran, for example
// because the budget of the program was spent. The gap remains recorded.
func (k *ProgramKind) UndoContinuation(requests int) {
	bucket := progressBucket(requests)
	k.continued[bucket] = math.Max(k.continued[bucket]-1, 0)
}

// ObserveEnd records that a program has ended after a number of requests.
func (k *ProgramKind) ObserveEnd(requests int) { k.ended[progressBucket(requests)]++ }

// UndoEnd reverts ObserveEnd for a program that has continued after all.
func (k *ProgramKind) UndoEnd(requests int) {
	bucket := progressBucket(requests)
	k.ended[bucket] = math.Max(k.ended[bucket]-1, 0)
}

// halveWeights halves the weight of all observations.
func (k *ProgramKind) halveWeights() {
	for bucket := range k.continued {
		k.continued[bucket] /= 2
		k.ended[bucket] /= 2
	}
	for bucket := range k.gapCounts {
		k.gapCounts[bucket] /= 2
	}
	k.gapSumMs /= 2
	k.gapWeight /= 2
}

// MeanGapMs returns the mean time between two requests of a program, in milliseconds.
func (k *ProgramKind) MeanGapMs() float64 {
	return math.Max((k.gapSumMs+priorWeight*priorGapMs)/(k.gapWeight+priorWeight), 1)
}

// endProbability returns the probability that a program ends after a request in a bucket. While
// there are few observations in the bucket, the estimate is close to that of all requests.
func (k *ProgramKind) endProbability(bucket int) float64 {
	ended, all := float64(priorWeight), float64(priorWeight*priorRequests)
	for index := range k.ended {
		ended += k.ended[index]
		all += k.ended[index] + k.continued[index]
	}
	overall := ended / all
	own := k.ended[bucket] + k.continued[bucket]
	return (k.ended[bucket] + priorWeight*overall) / (own + priorWeight)
}

// InactivityTimeoutMs returns the time without a request after which a program counts as ended.
func (k *ProgramKind) InactivityTimeoutMs() float64 {
	return math.Max(inactivityGaps*k.MeanGapMs(), minInactivityMs)
}

// continueProbability returns the probability that a program continues after idleMs without a
// request.
func (k *ProgramKind) continueProbability(endProbability, idleMs float64) float64 {
	if idleMs >= k.InactivityTimeoutMs() {
		return 0
	}
	longerGaps := 0.0
	for bucket := gapBucket(idleMs); bucket < gapBuckets; bucket++ {
		longerGaps += k.gapCounts[bucket]
	}
	longerGaps += priorWeight * math.Exp(-idleMs/priorGapMs)
	continueWeight := (1 - endProbability) * longerGaps / (k.gapWeight + priorWeight)
	return continueWeight / (continueWeight + endProbability)
}

// maxForecastRequests limits the number of requests of a forecast.
const maxForecastRequests = 512

// kindForecast is the forecast of the requests that follow a request of a program, by the progress
// of the program.
type kindForecast struct {
	endProbability [progressBuckets]float64
	// requestsWithin is the mean number of requests that follow within each horizon if the program
	// continues.
	requestsWithin [progressBuckets][horizonCount]float64
	// meanRequests is the mean number of requests of a program.
	meanRequests float64
	// atMs is the time of the forecast, 0 for none.
	atMs int64
}

// forecastAt returns the forecast, and recomputes it when it is out of date.
func (k *ProgramKind) forecastAt(nowMs, windowMs int64) *kindForecast {
	if k.cachedForecast.atMs > 0 && nowMs-k.cachedForecast.atMs < forecastLifetimeMs {
		return &k.cachedForecast
	}
	k.cachedForecast = kindForecast{atMs: nowMs}
	for bucket := range k.cachedForecast.endProbability {
		k.cachedForecast.endProbability[bucket] = k.endProbability(bucket)
	}
	for bucket := range k.cachedForecast.requestsWithin {
		k.forecastRequests(bucket, windowMs)
	}
	k.cachedForecast.meanRequests = 1
	survival := 1.0
	for requests := 1; requests < maxForecastRequests; requests++ {
		survival *= 1 - k.cachedForecast.endProbability[progressBucket(requests)]
		k.cachedForecast.meanRequests += survival
	}
	return &k.cachedForecast
}

// forecastRequests computes the number of requests that follow a request in a bucket: one after
// each mean gap, each with the probability that the program has not ended before it.
func (k *ProgramKind) forecastRequests(bucket int, windowMs int64) {
	survival, gapMs := 1.0, k.MeanGapMs()
	sum, horizon := 0.0, 0
	for step := 1; horizon < horizonCount && step <= maxForecastRequests; step++ {
		if step > 1 {
			survival *= 1 - k.cachedForecast.endProbability[progressBucket(1<<bucket+step-1)]
		}
		for horizon < horizonCount && float64(horizonMs(windowMs, horizon)) < gapMs*float64(step) {
			fraction := float64(horizonMs(windowMs, horizon))/gapMs - float64(step-1)
			k.cachedForecast.requestsWithin[bucket][horizon] = sum + fraction*survival
			horizon++
		}
		sum += survival
	}
	for ; horizon < horizonCount; horizon++ {
		k.cachedForecast.requestsWithin[bucket][horizon] = sum
	}
}

// horizonMs returns the time from now to a horizon. The horizons divide the window into
// horizonCount equal parts.
func horizonMs(windowMs int64, horizon int) int64 { return windowMs * int64(horizon+1) / horizonCount }
