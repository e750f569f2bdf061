// Package admission decides which programs may begin: within the limit of their tenant,
// from what programs of their kind have asked for so far, and within their tenant's share of
// a back end that is short. It is pure: its callers pass the time.
package admission

import "math"

const (
	// priorGapMs and priorRequests describe a program of a kind of which nothing is learnt:
	// the time between two of its requests, milliseconds, and how many it makes. They count
	// as priorWeight observations.
	priorGapMs    = 500
	priorRequests = 8
	priorWeight   = 8
	// mostWeight is the weight from which on what was learnt is halved, so that a kind whose
	// programs change is learnt anew within some hundred requests.
	mostWeight = 1024
	// gapBuckets are the buckets of the time between two requests; bucket i holds times from
	// shortestGapMs * 2^i on.
	gapBuckets    = 12
	shortestGapMs = 25
	// madeBuckets tell apart how far a program has got: bucket i holds programs that have
	// made from 2^i requests on.
	madeBuckets = 10
	// endedAfterGaps is after how many mean gaps of silence a program counts as ended,
	// endedAfterMs the least time: a caller that was refused comes back within a second.
	endedAfterGaps = 8
	endedAfterMs   = 1500
)

// ProgramKinds are the kinds of programs, by the route of their first turn. What is learnt of a kind
// is shared by all tenants.
type ProgramKinds struct{ byName map[string]*ProgramKind }

// NewProgramKinds returns an empty set.
func NewProgramKinds() *ProgramKinds { return &ProgramKinds{byName: map[string]*ProgramKind{}} }

// GetOrCreate returns a kind, which is created where it is new.
func (k *ProgramKinds) GetOrCreate(name string) *ProgramKind {
	known := k.byName[name]
	if known == nil {
		known = &ProgramKind{}
		k.byName[name] = known
	}
	return known
}

// ProgramKind is what was learnt of one kind of programs: their requests and the times between
// them, tool calls and sub-agents included.
//
// Whether a program goes on after a request is counted for requests that were followed by
// another one and for those that were not, as in a survival estimate by Kaplan and Meier, so
// that programs which are still under way don't make programs look short.
type ProgramKind struct {
	continued [madeBuckets]float64
	ended     [madeBuckets]float64
	gapSum    float64
	gaps      [gapBuckets]float64
	gapWeight float64
	outlook   outlook
}

func madeBucket(made int) int {
	bucket := 0
	for made > 1 && bucket < madeBuckets-1 {
		made /= 2
		bucket++
	}
	return bucket
}

func gapBucket(gapMs float64) int {
	bucket := 0
	for gapMs >= 2*shortestGapMs && bucket < gapBuckets-1 {
		gapMs /= 2
		bucket++
	}
	return bucket
}

// ObserveContinuation notes that a program which had made some requests has asked for another one, a
// time after its last was granted.
func (k *ProgramKind) ObserveContinuation(made int, gapMs int64) {
	k.continued[madeBucket(made)]++
	gap := math.Max(float64(gapMs), 0)
	k.gaps[gapBucket(gap)]++
	k.gapSum += gap
	k.gapWeight++
	if k.gapWeight >= mostWeight {
		k.halve()
	}
}

// UndoContinuation takes back that a program which had made some requests asked for another one: nothing
// of it ran, as when the program's budget is spent.
func (k *ProgramKind) UndoContinuation(made int) {
	bucket := madeBucket(made)
	k.continued[bucket] = math.Max(k.continued[bucket]-1, 0)
}

// ObserveEnd notes that a program has ended with the last of some requests, Resumed that it has
// not, although that was said.
func (k *ProgramKind) ObserveEnd(made int) { k.ended[madeBucket(made)]++ }

// UndoEnd takes Ended back.
func (k *ProgramKind) UndoEnd(made int) {
	bucket := madeBucket(made)
	k.ended[bucket] = math.Max(k.ended[bucket]-1, 0)
}

func (k *ProgramKind) halve() {
	for bucket := range k.continued {
		k.continued[bucket] /= 2
		k.ended[bucket] /= 2
	}
	for bucket := range k.gaps {
		k.gaps[bucket] /= 2
	}
	k.gapSum /= 2
	k.gapWeight /= 2
}

// MeanGapMs is the mean time between two requests of a program, milliseconds.
func (k *ProgramKind) MeanGapMs() float64 {
	return math.Max((k.gapSum+priorWeight*priorGapMs)/(k.gapWeight+priorWeight), 1)
}

// endsAt is the chance that a program ends with a request, by the bucket of the request. What
// is known of all requests stands in where there are few in the bucket.
func (k *ProgramKind) endsAt(bucket int) float64 {
	ended, all := float64(priorWeight), float64(priorWeight*priorRequests)
	for position := range k.ended {
		ended += k.ended[position]
		all += k.ended[position] + k.continued[position]
	}
	overall := ended / all
	own := k.ended[bucket] + k.continued[bucket]
	return (k.ended[bucket] + priorWeight*overall) / (own + priorWeight)
}

// InactivityTimeoutMs is after which silence a program counts as ended.
func (k *ProgramKind) InactivityTimeoutMs() float64 {
	return math.Max(endedAfterGaps*k.MeanGapMs(), endedAfterMs)
}

// underWay is the chance that a program which has been silent for a time goes on.
func (k *ProgramKind) underWay(endsNow, silentMs float64) float64 {
	if silentMs >= k.InactivityTimeoutMs() {
		return 0
	}
	longer := 0.0
	for bucket := gapBucket(silentMs); bucket < gapBuckets; bucket++ {
		longer += k.gaps[bucket]
	}
	longer += priorWeight * math.Exp(-silentMs/priorGapMs)
	goesOn := (1 - endsNow) * longer / (k.gapWeight + priorWeight)
	return goesOn / (goesOn + endsNow)
}

// mostSteps bounds how many requests ahead are looked at.
const mostSteps = 512

// outlook is what follows a request of a program of a kind, by how far the program has got.
type outlook struct {
	endsNow [madeBuckets]float64
	// within is how many requests follow within each horizon in the mean, if the program goes on.
	within [madeBuckets][horizons]float64
	// requests is how many a program makes in the mean.
	requests float64
	// atMs is when it was made, 0 for never.
	atMs int64
}

// outlookAt returns the outlook, made anew where it is old.
func (k *ProgramKind) outlookAt(nowMs, windowMs int64) *outlook {
	if k.outlook.atMs > 0 && nowMs-k.outlook.atMs < forecastMs {
		return &k.outlook
	}
	k.outlook = outlook{atMs: nowMs}
	for bucket := range k.outlook.endsNow {
		k.outlook.endsNow[bucket] = k.endsAt(bucket)
	}
	for bucket := range k.outlook.within {
		k.look(bucket, windowMs)
	}
	k.outlook.requests = 1
	goesOn := 1.0
	for made := 1; made < mostSteps; made++ {
		goesOn *= 1 - k.outlook.endsNow[madeBucket(made)]
		k.outlook.requests += goesOn
	}
	return &k.outlook
}

// look counts the requests that follow one of a bucket: one after each mean gap, each followed
// by another one with the chance of its own bucket.
func (k *ProgramKind) look(bucket int, windowMs int64) {
	goesOn, gap := 1.0, k.MeanGapMs()
	sum, horizon := 0.0, 0
	for step := 1; horizon < horizons && step <= mostSteps; step++ {
		if step > 1 {
			goesOn *= 1 - k.outlook.endsNow[madeBucket(1<<bucket+step-1)]
		}
		for horizon < horizons && float64(horizonMs(windowMs, horizon)) < gap*float64(step) {
			part := float64(horizonMs(windowMs, horizon))/gap - float64(step-1)
			k.outlook.within[bucket][horizon] = sum + part*goesOn
			horizon++
		}
		sum += goesOn
	}
	for ; horizon < horizons; horizon++ {
		k.outlook.within[bucket][horizon] = sum
	}
}

// horizonMs is the end of a part of a window.
func horizonMs(windowMs int64, position int) int64 { return windowMs * int64(position+1) / horizons }
