package scheduling

import "math"

const (
	// admissionPrior is for how many streams in time a gateway's few streams count besides,
	// so that one late stream of two rejects nobody.
	admissionPrior = 8
	// toleratedLate is the share of streams that may begin late. Engines that keep up have
	// under 0.05 through bursts and lost machines; engines of half the speed went from 0.07
	// through 0.34 to 0.99 within 12 s and stayed there (docs/design/0008-shifted-work.md).
	toleratedLate = 0.1
	// admissionGain is how fast the rejected share follows, a second, for each unit that the
	// late share lies above the tolerated one.
	admissionGain = 1.5
	// mostRejected is the share of new programs of one rank that is rejected at the most, and
	// rankStep from which rejected share of a rank on the next more urgent one is rejected
	// too: nobody is starved, and the least urgent go first.
	mostRejected = 0.9
	rankStep     = 0.6
)

// Admission decides which programs may begin at the engines of one back end. Once engines
// are asked for more than they can do, every program is late and what they keep of prompts
// is pushed out, so that they do less and less: then it is better for callers that some are
// rejected at once, before anything was done for them, and the others served in time.
//
// It is an integral controller on the share of streams whose first event comes later than
// its route's target: it needs no model of the engines and leaves alone what is in time.
type Admission struct {
	late   Evidence
	share  float64
	lastMs int64
}

// Began notes a stream that began, or that ended without a first event, late or in time.
func (a *Admission) Began(nowMs int64, late bool) {
	a.age(nowMs)
	sample := 0.0
	if late {
		sample = 1
	}
	a.late.Add(nowMs, sample, 1)
}

// age advances the rejected share to nowMs.
func (a *Admission) age(nowMs int64) {
	const millisecondsPerSecond = 1000
	elapsed := float64(nowMs-a.lastMs) / millisecondsPerSecond
	a.lastMs = max(a.lastMs, nowMs)
	if elapsed <= 0 {
		return
	}
	a.share += admissionGain * min(elapsed, 1) * (a.lateShare(nowMs) - toleratedLate)
	a.share = max(a.share, 0)
}

// lateShare is the share of streams that began late lately.
func (a *Admission) lateShare(nowMs int64) float64 {
	counted := a.late.At(nowMs)
	return counted.Sum / (counted.Weight + admissionPrior)
}

// Admit reports whether a new program may begin, and else when it is to come back,
// milliseconds. Position is how many ranks in use are less urgent than its own, of ranks in
// all; draw is within 0..1 and the same for each try of a program, at every gateway: a
// program that comes back is not drawn again. Programs are told to come back when the
// rejected share will have gone below their draw at the soonest, so that they return one
// after the other, as fast as more may be let in.
func (a *Admission) Admit(nowMs int64, position, ranks int, draw float64) (retryAfterMs int64, admitted bool) {
	const millisecondsPerSecond = 1000
	a.age(nowMs)
	a.share = min(a.share, mostRejected+rankStep*float64(max(ranks-1, 0)))
	above := a.Rejected(position) - draw
	if above <= 0 {
		return 0, true
	}
	return max(int64(above/(admissionGain*toleratedLate)*millisecondsPerSecond), 1), false
}

// Rejected returns the share of new programs that is rejected at a position among the ranks.
func (a *Admission) Rejected(position int) float64 {
	return math.Min(math.Max(a.share-rankStep*float64(position), 0), mostRejected)
}
