package scheduling

import "math"

const (
	// priorOnTimeStreams is the number of on-time streams that are added to the count, so that one
	// late stream out of two in an idle fleet has no effect.
	priorOnTimeStreams = 8
	// overloadLateFraction is the fraction of late streams above which a fleet counts as overloaded
	// and a limit is set. targetLateFraction is the fraction that the limit aims at. A burst of 2.5
	// times the traffic raised the late fraction to 0.32 for some seconds at engines that recover
	// by themselves; rejecting programs in that case lost 0.1 of the value of the work. At engines
	// of half the speed the fraction rose from 0.07 through 0.34 to 0.99 within 12 s and stayed
	// there (docs/design/0008-shifted-work.md).
	overloadLateFraction = 0.4
	targetLateFraction   = 0.1
	// idleLimitLifetimeMs is how long a limit is kept while it rejects nobody and few streams are
	// late.
	idleLimitLifetimeMs = 5000
	// decreasePerSecond is the fraction by which the limit falls in a second, for each unit that
	// the late fraction lies above the target. increasePerSecond is the fraction by which it grows
	// in a second while nearly all streams start on time.
	decreasePerSecond = 1.0
	increasePerSecond = 0.1
	// nearLimitFraction is the fraction of the limit from which concurrency shows whether the limit
	// is right: streams that start on time at a lower concurrency don't show that a higher limit is
	// safe.
	nearLimitFraction = 0.8
	// The limit never falls below the engine's slots divided by minLimitSlotDivisor, or below
	// minLimit. Streams that start late at emptier engines do so for another reason, such as an
	// empty cache.
	minLimitSlotDivisor = 4
	minLimit            = 2
	// unrestrictedFraction is the fraction of the limit up to which all programs of the lowest
	// priority are admitted. priorityFraction is added to it in steps up to the highest priority,
	// and over a further rampFraction the rejected fraction of programs rises from 0 to
	// maxRejectedFraction.
	unrestrictedFraction = 0.7
	priorityFraction     = 0.2
	rampFraction         = 0.2
	// maxRejectedFraction limits the fraction of new programs that is rejected, so that no priority
	// starves.
	maxRejectedFraction = 0.9
	// retrySpreadMs is the upper bound of the retry delay, which differs between programs so that
	// those rejected together do not retry together. Callers with turns of 3 s retry within this
	// time.
	retrySpreadMs = 1000
)

// AdmissionController decides which programs may start at the engines of one backend. When engines
// are asked for more than they can serve, every program is late and cached prompts are evicted, so
// that the engines serve less and less. Callers are then better off if some programs are rejected
// at once, before any work was done for them, and the others are served in time.
//
// It learns the concurrency, in requests per engine, up to which streams start within the target
// latency of their route, and admits programs while the concurrency is below it. It needs neither a
// model of the engines nor their performance figures. There is no limit until the late fraction
// exceeds overloadLateFraction.
//
// One gateway of a large fleet sees few streams and might learn a limit by chance that no other
// gateway has. The late fraction is therefore that of the streams of all gateways, as aggregated by
// control. The gateway's own streams count only if no recent aggregate is available.
type AdmissionController struct {
	ownLateness        DecayedMean
	unreportedLateness DecayedMean
	sharedLateness     DecayedMean
	// sharedMs is when sharedLateness was received.
	sharedMs int64
	// limit is in requests per engine, 0 for none.
	limit     float64
	updatedMs int64
	// lastBindingMs is when the limit was set, or when a new program last had a rejected fraction
	// above 0.
	lastBindingMs int64
	// onTimeConcurrency is the last concurrency without a limit at which the late fraction was at
	// most targetLateFraction, 0 if there was none.
	onTimeConcurrency float64
}

// ObserveStreamStart records a stream that started, late or on time.
func (a *AdmissionController) ObserveStreamStart(nowMs int64, late bool) {
	sample := 0.0
	if late {
		sample = 1
	}
	a.ownLateness.Add(nowMs, sample, 1)
	a.unreportedLateness.Add(nowMs, sample, 1)
}

// CollectStreamLateness returns the lateness of the streams of this gateway since the last call.
func (a *AdmissionController) CollectStreamLateness(nowMs int64) WeightedSum {
	unreported := a.unreportedLateness.weightedSum(nowMs)
	a.unreportedLateness = DecayedMean{}
	return unreported
}

// ApplySharedLateness sets the lateness of the streams of all gateways.
func (a *AdmissionController) ApplySharedLateness(samples WeightedSum, nowMs int64) {
	a.sharedLateness = samples.decayedMean(nowMs)
	a.sharedMs = nowMs
}

// UpdateLimit updates the limit, given the mean concurrency of the engines at nowMs. Lateness at a
// concurrency above the limit is caused by requests that are already in flight and will pass; only
// lateness at or below the limit shows that the limit is too high. slots is the number of requests
// that an engine serves at once, 0 if unknown.
func (a *AdmissionController) UpdateLimit(nowMs int64, concurrency float64, slots int) {
	minimum := max(float64(slots)/minLimitSlotDivisor, minLimit)
	const millisecondsPerSecond = 1000
	elapsed := min(float64(nowMs-a.updatedMs)/millisecondsPerSecond, 1)
	a.updatedMs = max(a.updatedMs, nowMs)
	if elapsed <= 0 {
		return
	}
	lateFraction := a.lateFraction(nowMs)
	excess := lateFraction - targetLateFraction
	switch {
	case a.limit == 0 && lateFraction > overloadLateFraction:
		a.limit = concurrency
		if a.onTimeConcurrency > 0 {
			a.limit = min(a.limit, a.onTimeConcurrency)
		}
		a.limit = max(a.limit, minimum)
		a.lastBindingMs = nowMs
	case a.limit == 0:
		if excess <= 0 {
			a.onTimeConcurrency = concurrency
		}
	case excess < 0 && nowMs-a.lastBindingMs > idleLimitLifetimeMs:
		a.limit = 0
	case excess > 0 && concurrency <= a.limit:
		a.limit = max(a.limit*(1-decreasePerSecond*excess*elapsed), minimum)
	case excess <= -targetLateFraction/2 && concurrency >= nearLimitFraction*a.limit:
		a.limit *= 1 + increasePerSecond*elapsed
	}
}

// lateFraction returns the recent fraction of streams that started late.
func (a *AdmissionController) lateFraction(nowMs int64) float64 {
	lateness := a.ownLateness.DecayedTo(nowMs)
	if a.sharedMs > 0 && nowMs-a.sharedMs <= loadLifetimeMs {
		lateness = a.sharedLateness.DecayedTo(nowMs)
	}
	return lateness.Sum / (lateness.Weight + priorOnTimeStreams)
}

// Admit reports whether a new program may start at a mean concurrency, and otherwise the delay
// after which it should retry, in milliseconds. priorities is the number of priorities in use, and
// position the number of those that are less urgent than the program's own. sample is a random
// number within 0..1 that is the same for every attempt of a program at every gateway, so that
// retrying more often does not raise the chance of admission.
func (a *AdmissionController) Admit(concurrency float64, position, priorities int, sample float64) (retryAfterMs int64, admitted bool) {
	rejected := a.RejectedFraction(concurrency, position, priorities)
	if rejected > 0 {
		a.lastBindingMs = a.updatedMs
	}
	excess := rejected - sample
	if excess <= 0 {
		return 0, true
	}
	return int64(math.Ceil(excess * retrySpreadMs)), false
}

// RejectedFraction returns the fraction of new programs that is rejected at a concurrency.
func (a *AdmissionController) RejectedFraction(concurrency float64, position, priorities int) float64 {
	if a.limit == 0 {
		return 0
	}
	unrestricted := unrestrictedFraction
	if priorities > 1 {
		unrestricted += priorityFraction * float64(position) / float64(priorities-1)
	}
	excess := (concurrency/a.limit - unrestricted) / rampFraction
	return math.Min(math.Max(excess, 0), 1) * maxRejectedFraction
}

// Limit returns the learned limit of the concurrency, in requests per engine, 0 for no limit.
func (a *AdmissionController) Limit() float64 { return a.limit }

// UnrestrictedConcurrency returns the concurrency up to which all programs of the lowest priority
// are admitted, in requests per engine, 0 for no limit.
func (a *AdmissionController) UnrestrictedConcurrency() float64 {
	return a.limit * unrestrictedFraction
}
