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

// Kinds are the kinds of programs, by the route of their first turn. What is learnt of a kind
// is shared by all tenants.
type Kinds struct{ byName map[string]*Kind }

// NewKinds returns an empty set.
func NewKinds() *Kinds { return &Kinds{byName: map[string]*Kind{}} }

// Of returns a kind, which is created where it is new.
func (k *Kinds) Of(name string) *Kind {
	known := k.byName[name]
	if known == nil {
		known = &Kind{}
		k.byName[name] = known
	}
	return known
}

// Kind is what was learnt of one kind of programs: their requests and the times between
// them, tool calls and sub-agents included.
//
// Whether a program goes on after a request is counted for requests that were followed by
// another one and for those that were not, as in a survival estimate by Kaplan and Meier, so
// that programs which are still under way don't make programs look short.
type Kind struct {
	continued [madeBuckets]float64
	ended     [madeBuckets]float64
	gapSum    float64
	gaps      [gapBuckets]float64
	gapWeight float64
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

// Continued notes that a program which had made some requests has asked for another one, a
// time after its last was granted.
func (k *Kind) Continued(made int, gapMs int64) {
	k.continued[madeBucket(made)]++
	gap := math.Max(float64(gapMs), 0)
	k.gaps[gapBucket(gap)]++
	k.gapSum += gap
	k.gapWeight++
	if k.gapWeight >= mostWeight {
		k.halve()
	}
}

// Ended notes that a program has ended with the last of some requests, Resumed that it has
// not, although that was said.
func (k *Kind) Ended(made int) { k.ended[madeBucket(made)]++ }

// Resumed takes Ended back.
func (k *Kind) Resumed(made int) {
	bucket := madeBucket(made)
	k.ended[bucket] = math.Max(k.ended[bucket]-1, 0)
}

func (k *Kind) halve() {
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

// GapMs is the mean time between two requests of a program, milliseconds.
func (k *Kind) GapMs() float64 {
	return math.Max((k.gapSum+priorWeight*priorGapMs)/(k.gapWeight+priorWeight), 1)
}

// endsAt is the chance that a program ends with a request, by the bucket of the request. What
// is known of all requests stands in where there are few in the bucket.
func (k *Kind) endsAt(bucket int) float64 {
	ended, all := float64(priorWeight), float64(priorWeight*priorRequests)
	for position := range k.ended {
		ended += k.ended[position]
		all += k.ended[position] + k.continued[position]
	}
	overall := ended / all
	own := k.ended[bucket] + k.continued[bucket]
	return (k.ended[bucket] + priorWeight*overall) / (own + priorWeight)
}

// EndedAfterMs is after which silence a program counts as ended.
func (k *Kind) EndedAfterMs() float64 { return math.Max(endedAfterGaps*k.GapMs(), endedAfterMs) }

// underWay is the chance that a program which has been silent for a time goes on.
func (k *Kind) underWay(endsNow, silentMs float64) float64 {
	if silentMs >= k.EndedAfterMs() {
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

// moments are the mean and the mean square of a number of requests.
type moments struct{ mean, square float64 }

// within returns how many requests follow within a horizon after one that was just made by a
// program that goes on, by the bucket of that request: one after each mean gap, until the
// program ends. The bucket's chance to end stands for all requests after it.
func (k *Kind) within(endsNow float64, horizonMs float64) moments {
	gaps := horizonMs / k.GapMs()
	goesOn := 1 - endsNow
	mean := (1 - math.Pow(goesOn, gaps)) / endsNow
	// A truncated geometric distribution lies between a constant and one that is not
	// truncated; the requests' times scatter as those of a Poisson process do.
	most := math.Min(2/endsNow-1, gaps+1)
	return moments{mean: mean, square: mean * most}
}
