package scheduling

import "math"

const (
	// admissionPrior is for how many streams in time the few streams of an idle fleet count
	// besides, so that one late stream of two changes nothing.
	admissionPrior = 8
	// overloadedLate is the share of late streams from which on a fleet counts as overloaded
	// and a limit begins, toleratedLate the share that the limit then aims at. A burst of 2.5
	// times the traffic took engines that recover by themselves to 0.32 for some seconds; to
	// reject programs there cost 0.1 of worth. Engines of half the speed went from 0.07 through
	// 0.34 to 0.99 within 12 s and stayed there (docs/design/0008-shifted-work.md).
	overloadedLate = 0.4
	toleratedLate  = 0.1
	// unboundAfterMs is how long a limit that rejected nobody, with few streams late, stays.
	unboundAfterMs = 5000
	// lowerPerSecond is how much of the limit goes in a second, for each unit that the late
	// share lies above the tolerated one, and raisePerSecond how much is added in a second
	// while nearly all begin in time.
	lowerPerSecond = 1.0
	raisePerSecond = 0.1
	// nearLimit is the part of the limit from which on concurrency shows whether the limit is
	// right: below it, what is in time says nothing of more.
	nearLimit = 0.8
	// leastShare-th of an engine's slots, leastLimit at the least, is never limited: streams
	// that begin late before emptier engines do so for another reason, as when nothing is
	// cached yet.
	leastShare = 4
	leastLimit = 2
	// fullShare is the part of the limit up to which the least urgent programs all begin,
	// rankShare what is added up to the most urgent rank, and rampShare the part over which
	// the admitted share falls from all to the fewest.
	fullShare = 0.7
	rankShare = 0.2
	rampShare = 0.2
	// mostRejected is the share of new programs that is rejected at the most, so that no rank
	// is starved.
	mostRejected = 0.9
	// returnWithinMs spreads those who are rejected together: the time within which callers
	// of turns of 3 s come back at the latest.
	returnWithinMs = 1000
)

// AdmissionController decides which programs may begin at the engines of one back end. Once engines
// are asked for more than they can do, every program is late and what they keep of prompts
// is pushed out, so that they do less and less: then it is better for callers that some are
// rejected at once, before anything was done for them, and the others served in time.
//
// It learns the concurrency, in requests an engine, up to which streams begin within their
// route's target, and lets programs begin while concurrency is below it. It needs no model
// of the engines and no figure of theirs; until most streams begin late there is no limit.
//
// What one gateway sees of a large fleet is little, and chance would have it learn limits
// that no other has: the late share is that of all gateways' streams, as control adds it up,
// and the gateway's own only where nothing has been heard lately.
type AdmissionController struct {
	own    DecayedMean
	news   DecayedMean
	shared DecayedMean
	// sharedMs is when the shared evidence came.
	sharedMs int64
	// limit is in requests an engine, 0 for none.
	limit  float64
	lastMs int64
	// boundMs is when a new program last met the limit.
	boundMs int64
	// inTime is the concurrency at which few streams were late last, while there is no limit.
	inTime float64
}

// ObserveStreamStart notes a stream that began, late or in time.
func (a *AdmissionController) ObserveStreamStart(nowMs int64, late bool) {
	sample := 0.0
	if late {
		sample = 1
	}
	a.own.Add(nowMs, sample, 1)
	a.news.Add(nowMs, sample, 1)
}

// CollectStreamLateness returns what this gateway has seen since the last call.
func (a *AdmissionController) CollectStreamLateness(nowMs int64) WeightedSum {
	news := a.news.samples(nowMs)
	a.news = DecayedMean{}
	return news
}

// ApplySharedLateness takes what all gateways together have seen.
func (a *AdmissionController) ApplySharedLateness(samples WeightedSum, nowMs int64) {
	a.shared = samples.evidence(nowMs)
	a.sharedMs = nowMs
}

// UpdateLimit brings the limit up to nowMs, from the mean concurrency over the engines. Lateness
// above the limit comes of what is under way and will pass: only lateness at or below it
// shows that the limit is too high. Slots is how many requests an engine works on at once, 0
// where that is not known.
func (a *AdmissionController) UpdateLimit(nowMs int64, concurrency float64, slots int) {
	least := max(float64(slots)/leastShare, leastLimit)
	const millisecondsPerSecond = 1000
	elapsed := min(float64(nowMs-a.lastMs)/millisecondsPerSecond, 1)
	a.lastMs = max(a.lastMs, nowMs)
	if elapsed <= 0 {
		return
	}
	late := a.lateShare(nowMs)
	above := late - toleratedLate
	switch {
	case a.limit == 0 && late > overloadedLate:
		a.limit = concurrency
		if a.inTime > 0 {
			a.limit = min(a.limit, a.inTime)
		}
		a.limit = max(a.limit, least)
		a.boundMs = nowMs
	case a.limit == 0:
		if above <= 0 {
			a.inTime = concurrency
		}
	case above < 0 && nowMs-a.boundMs > unboundAfterMs:
		a.limit = 0
	case above > 0 && concurrency <= a.limit:
		a.limit = max(a.limit*(1-lowerPerSecond*above*elapsed), least)
	case above <= -toleratedLate/2 && concurrency >= nearLimit*a.limit:
		a.limit *= 1 + raisePerSecond*elapsed
	}
}

// lateShare is the share of streams that began late lately.
func (a *AdmissionController) lateShare(nowMs int64) float64 {
	counted := a.own.At(nowMs)
	if a.sharedMs > 0 && nowMs-a.sharedMs <= loadForgottenMs {
		counted = a.shared.At(nowMs)
	}
	return counted.Sum / (counted.Weight + admissionPrior)
}

// Admit reports whether a new program may begin at a mean concurrency, and else when it is to
// come back, milliseconds. Position is how many ranks in use are less urgent than its own, of
// ranks in all; draw is within 0..1 and the same for each try of a program, at every gateway:
// who comes back more often is not let in more often.
func (a *AdmissionController) Admit(concurrency float64, position, ranks int, draw float64) (retryAfterMs int64, admitted bool) {
	rejected := a.RejectedFraction(concurrency, position, ranks)
	if rejected > 0 {
		a.boundMs = a.lastMs
	}
	above := rejected - draw
	if above <= 0 {
		return 0, true
	}
	return int64(math.Ceil(above * returnWithinMs)), false
}

// RejectedFraction returns the share of new programs that is rejected at a concurrency.
func (a *AdmissionController) RejectedFraction(concurrency float64, position, ranks int) float64 {
	if a.limit == 0 {
		return 0
	}
	full := fullShare
	if ranks > 1 {
		full += rankShare * float64(position) / float64(ranks-1)
	}
	above := (concurrency/a.limit - full) / rampShare
	return math.Min(math.Max(above, 0), 1) * mostRejected
}

// Limit returns the learnt concurrency, requests an engine; 0 for no limit.
func (a *AdmissionController) Limit() float64 { return a.limit }

// UnrestrictedConcurrency returns up to which concurrency the least urgent programs all begin, requests an engine; 0
// for no limit.
func (a *AdmissionController) UnrestrictedConcurrency() float64 { return a.limit * fullShare }
