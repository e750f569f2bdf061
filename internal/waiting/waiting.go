// Package waiting implements the wait queue of a backend for calls that no engine has capacity
// for. It decides which call is next when capacity becomes free, which calls are rejected at
// once, and when a rejected caller should retry. It is a state machine without a clock, goroutines
// or randomness; times are in milliseconds of the caller's clock.
package waiting

import (
	"cmp"
	"slices"
)

// Settings are the operator's settings of the wait queues.
type Settings struct {
	// MinProbability is the minimum probability, 0 to 1, of getting capacity in time. A call whose
	// probability is below it is rejected instead of queued. Higher values reject more calls that
	// would have got capacity (counted as false rejections). Lower values make more callers wait
	// without being served, and lengthen the wait of the calls behind them (counted as futile
	// waits).
	MinProbability float64 `yaml:"least_chance" validate:"min=0,max=1"`
}

// DefaultSettings rejects only calls that almost certainly would not be served. A futile wait
// costs the caller the time in which it could have retried, but a false rejection costs all the
// work already done for its program.
func DefaultSettings() Settings { return Settings{MinProbability: 0.05} }

const (
	// priorityStepMs is the advantage in due time of a priority level over the next, less urgent
	// one. Priorities are not absolute: a call of the next level that is due more than
	// priorityStepMs earlier goes first, so that no level starves (delay-dependent priority;
	// Kleinrock, Queueing Systems II, 1976, section 3.7).
	priorityStepMs = 500
	// defaultRetryAfterMs is the retry time if the completion rate is unknown: about the time in
	// which a gateway learns of engines that join and leave.
	defaultRetryAfterMs = 500
	// maxRetryAfterMs bounds how far ahead retries are scheduled, because the present completion
	// rate does not predict the rate later on.
	maxRetryAfterMs = 5_000
	// minProbeDelayMs and maxProbeDelayMs bound the time after which the first call in the queue
	// probes for capacity that was freed by requests of others, for which no wakeup arrives.
	minProbeDelayMs = 10
	maxProbeDelayMs = 200
)

// Call holds the properties of a call that determine its order.
type Call struct {
	// Priority is 0 for the most urgent calls.
	Priority int
	// ProgramInProgress means that work has already been done for the call's program.
	ProgramInProgress bool
	// AboveFairShare means that the tenant uses more than its fair share.
	AboveFairShare bool
	// DueTimeMs is the time by which the call or its program should be finished.
	DueTimeMs int64
	// LatestStartMs is the latest time at which starting the call is of use.
	LatestStartMs int64
}

// compare returns a negative number if the call goes before the other, and a positive number if
// it goes after it. Calls of programs in progress go before all calls of new programs, because
// the work done for a program is lost if one of its calls is rejected.
func (c Call) compare(other Call) int {
	return cmp.Or(
		-compareBool(c.ProgramInProgress, other.ProgramInProgress),
		compareBool(c.AboveFairShare, other.AboveFairShare),
		cmp.Compare(c.DueTimeMs+priorityStepMs*int64(c.Priority), other.DueTimeMs+priorityStepMs*int64(other.Priority)),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Entry is a call that waits in the queue.
type Entry struct {
	call Call
	// joinedMs is when the call joined the queue. sequence orders calls that compare as equal.
	joinedMs int64
	sequence uint64
	// probing means that the call was woken or started a probe, and is looking for an engine.
	probing bool
}

// WaitedMs returns how long the call has waited.
func (e *Entry) WaitedMs(nowMs int64) int64 { return nowMs - e.joinedMs }

// Rejection describes why a call does not wait and when it should retry.
type Rejection struct {
	// Ahead is the number of calls before this one, including rejected callers that are expected
	// to retry earlier.
	Ahead int
	// CompletionsPerSecond is the completion rate of the backend, 0 if it is unknown.
	CompletionsPerSecond float64
	// Probability is the probability of getting capacity in time.
	Probability float64
	// RetryAfterMs is the time until capacity is expected for the call.
	RetryAfterMs int64
}

// Misjudgments counts decisions that proved wrong.
type Misjudgments struct {
	// FalseRejections counts rejected calls for which capacity would have become free in time.
	FalseRejections int
	// FutileWaits counts calls that waited and were not served, and FutileWaitMs is their total
	// waiting time.
	FutileWaits  int
	FutileWaitMs int64
}

// trackedRejection is a rejected call, with the number of calls that had to be served before it.
type trackedRejection struct {
	latestStartMs int64
	ahead         int
}

// maxTrackedRejections bounds the number of rejected calls that are tracked to detect false
// rejections.
const maxTrackedRejections = 256

// Queue is the ordered wait queue of one backend.
type Queue struct {
	settings       Settings
	entries        []*Entry
	lastSequence   uint64
	completionRate completionRate
	// expectedRetriesMs holds the times at which rejected callers should retry, in ascending
	// order.
	expectedRetriesMs []int64
	trackedRejections []trackedRejection
	misjudgments      Misjudgments
}

// NewQueue returns an empty queue.
func NewQueue(settings Settings) *Queue { return &Queue{settings: settings} }

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.entries) }

// Misjudgments returns the decisions that have proved wrong since the start.
func (q *Queue) Misjudgments() Misjudgments { return q.misjudgments }

// MustWait reports whether a call that has not tried any engine yet must queue behind the waiting
// calls.
func (q *Queue) MustWait(call Call) bool {
	return len(q.entries) > 0 && q.entries[0].call.compare(call) <= 0
}

// Join adds a call to the queue, or rejects it if it is unlikely to get capacity in time.
func (q *Queue) Join(nowMs int64, call Call) (*Entry, *Rejection) {
	q.lastSequence++
	entry := &Entry{call: call, joinedMs: nowMs, sequence: q.lastSequence}
	position, _ := slices.BinarySearchFunc(q.entries, entry, func(a, b *Entry) int {
		return cmp.Or(a.call.compare(b.call), cmp.Compare(a.sequence, b.sequence))
	})
	if rejection := q.assess(nowMs, call, position); rejection != nil {
		q.recordRejection(nowMs, call, rejection)
		return nil, rejection
	}
	q.entries = slices.Insert(q.entries, position, entry)
	return entry, nil
}

// assess returns a rejection if a call with the given number of calls ahead of it should not wait,
// otherwise nil.
func (q *Queue) assess(nowMs int64, call Call, ahead int) *Rejection {
	if !call.ProgramInProgress {
		ahead += q.expectedRetriesBefore(nowMs, call.LatestStartMs)
	}
	rejection := &Rejection{Ahead: ahead, Probability: 1}
	perMs, hasRate := q.completionRate.perMs(nowMs)
	const millisecondsPerSecond = 1000
	rejection.CompletionsPerSecond = perMs * millisecondsPerSecond
	switch {
	case call.LatestStartMs <= nowMs:
		rejection.Probability = 0
	case hasRate:
		rejection.Probability = poissonAtLeast(ahead+1, perMs, call.LatestStartMs-nowMs)
	}
	if rejection.Probability > 0 && rejection.Probability >= q.settings.MinProbability {
		return nil
	}
	return rejection
}

// expectedRetriesBefore returns the number of rejected callers that are expected to retry before
// beforeMs. They go before calls of new programs.
func (q *Queue) expectedRetriesBefore(nowMs, beforeMs int64) int {
	q.expectedRetriesMs = slices.DeleteFunc(q.expectedRetriesMs, func(retryMs int64) bool { return retryMs <= nowMs })
	position, _ := slices.BinarySearch(q.expectedRetriesMs, beforeMs)
	return position
}

// recordRejection schedules the retry of a rejected call and tracks the rejection.
func (q *Queue) recordRejection(nowMs int64, call Call, rejection *Rejection) {
	rejection.RetryAfterMs = q.scheduleRetry(nowMs, rejection.Ahead) - nowMs
	if len(q.trackedRejections) < maxTrackedRejections && call.LatestStartMs > nowMs {
		q.trackedRejections = append(q.trackedRejections, trackedRejection{latestStartMs: call.LatestStartMs, ahead: rejection.Ahead})
	}
}

// scheduleRetry returns when a caller with the given number of calls ahead of it should retry. If
// the completion rate is known, retries are spaced at least as far apart as completions, so that
// they arrive at the completion rate. Retries that would be later than maxRetryAfterMs are not
// spaced, but all scheduled at maxRetryAfterMs.
func (q *Queue) scheduleRetry(nowMs int64, ahead int) int64 {
	perMs, hasRate := q.completionRate.perMs(nowMs)
	if !hasRate || perMs <= 0 {
		return nowMs + defaultRetryAfterMs + defaultRetryAfterMs*int64(q.lastSequence%defaultRetrySteps)/defaultRetrySteps
	}
	spacingMs := max(int64(1/perMs), 1)
	retryMs := nowMs + int64(float64(ahead+1)/perMs)
	if last := len(q.expectedRetriesMs) - 1; last >= 0 {
		retryMs = max(retryMs, q.expectedRetriesMs[last]+spacingMs)
	}
	if retryMs > nowMs+maxRetryAfterMs {
		return nowMs + maxRetryAfterMs
	}
	q.expectedRetriesMs = append(q.expectedRetriesMs, retryMs)
	return retryMs
}

// defaultRetrySteps is the number of steps over which retries are spread if the completion rate
// is unknown.
const defaultRetrySteps = 8

// RecordCompletion records that a request completed at an engine of the backend, which frees
// capacity for another. It returns the entry to wake, nil if there is none.
func (q *Queue) RecordCompletion(nowMs int64) *Entry {
	q.completionRate.record(nowMs)
	q.countFalseRejections(nowMs)
	return q.wakeNext()
}

// countFalseRejections counts the rejected calls that would have got the capacity that has just
// become free.
func (q *Queue) countFalseRejections(nowMs int64) {
	q.trackedRejections = slices.DeleteFunc(q.trackedRejections, func(call trackedRejection) bool { return call.latestStartMs < nowMs })
	kept := q.trackedRejections[:0]
	for _, call := range q.trackedRejections {
		if call.ahead == 0 {
			q.misjudgments.FalseRejections++
			continue
		}
		call.ahead--
		kept = append(kept, call)
	}
	q.trackedRejections = kept
}

// wakeNext returns the first entry that is not probing yet and marks it as probing.
func (q *Queue) wakeNext() *Entry {
	for _, entry := range q.entries {
		if !entry.probing {
			entry.probing = true
			return entry
		}
	}
	return nil
}

// ProbeDelayMs returns the time after which a call that was not woken should try StartProbe. Only
// the first call in the queue may probe: at the completion rate if that is known, otherwise less
// often the longer it has waited.
func (q *Queue) ProbeDelayMs(nowMs int64, entry *Entry) int64 {
	if len(q.entries) == 0 || q.entries[0] != entry {
		return maxProbeDelayMs
	}
	perMs, hasRate := q.completionRate.perMs(nowMs)
	if !hasRate || perMs <= 0 {
		return minProbeDelayMs << min(entry.WaitedMs(nowMs)/maxProbeDelayMs, 4)
	}
	return min(max(int64(1/perMs), minProbeDelayMs), maxProbeDelayMs)
}

// StartProbe reports whether a call that was not woken may probe for capacity. Only the first
// call in the queue may.
func (q *Queue) StartProbe(entry *Entry) bool {
	if len(q.entries) == 0 || q.entries[0] != entry || entry.probing {
		return false
	}
	entry.probing = true
	return true
}

// Requeue ends the probe of a call that found no capacity. The call keeps its position in the
// queue, or is rejected and leaves it if it has become unlikely to get capacity in time.
func (q *Queue) Requeue(nowMs int64, entry *Entry) *Rejection {
	entry.probing = false
	position := slices.Index(q.entries, entry)
	rejection := q.assess(nowMs, entry.call, max(position, 0))
	if rejection == nil {
		return nil
	}
	q.recordRejection(nowMs, entry.call, rejection)
	q.Leave(nowMs, entry, false)
	return rejection
}

// Leave removes a call from the queue; served means that an engine accepted it. Leave returns the
// entry to wake in its place, nil if there is none.
func (q *Queue) Leave(nowMs int64, entry *Entry, served bool) *Entry {
	position := slices.Index(q.entries, entry)
	if position < 0 {
		return nil
	}
	q.entries = slices.Delete(q.entries, position, position+1)
	if !served {
		q.misjudgments.FutileWaits++
		q.misjudgments.FutileWaitMs += entry.WaitedMs(nowMs)
	}
	if !entry.probing {
		return nil
	}
	// The wakeup is passed on: if this call found capacity, there may be more; if it left without,
	// the capacity it was woken for is still free.
	return q.wakeNext()
}
