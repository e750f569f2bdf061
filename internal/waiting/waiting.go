// Package waiting orders the calls of one back end that no engine has room for at the
// moment: who goes next when there is room, who is better rejected at once, and when a
// caller that was rejected is to come back. It is a state machine without clock, goroutine
// or random source; times are in milliseconds of the caller's clock.
package waiting

import (
	"cmp"
	"slices"
)

// Settings are what an operator may choose.
type Settings struct {
	// MinProbability is how likely a call must be to get room in time, 0 to 1, for it to wait;
	// it is rejected below. Higher, and more are rejected for whom room would have come
	// (counted as wronged); lower, and more hold their caller, and lengthen the way of
	// those behind them, for nothing (counted as held in vain).
	MinProbability float64 `yaml:"least_chance" validate:"min=0,max=1"`
}

// DefaultSettings reject only what is nearly sure not to be served: a call that has waited in
// vain costs its caller the time in which it could have come back, a call that was rejected
// in error costs all the work that its program has had done so far.
func DefaultSettings() Settings { return Settings{MinProbability: 0.05} }

const (
	// rankMs is by how much a rank goes before the next one. Ranks are no absolute order: a
	// call of the next rank that has rankMs less time left goes first, so that no rank
	// starves (delay-dependent priority; Kleinrock, Queueing Systems II, 1976, section 3.7).
	rankMs = 500
	// blindReturnMs is after how long a caller is asked to come back where nothing is known
	// of when there will be room: about the time in which a gateway hears of engines that
	// come and go.
	blindReturnMs = 500
	// longestReturnMs bounds how far ahead a return is arranged for: what is known of the
	// rate of room says nothing of later.
	longestReturnMs = 5_000
	// firstLookMs and longestLookMs bound the time after which the first in the queue looks for
	// room that others have made, which nobody tells it of.
	firstLookMs   = 10
	longestLookMs = 200
)

// Call is what the order depends on.
type Call struct {
	// Priority is 0 for the most urgent.
	Priority int
	// ProgramInProgress says that work has been done for the call's program already.
	ProgramInProgress bool
	// AboveFairShare says that the tenant uses more than its fair share.
	AboveFairShare bool
	// DueTimeMs is when the call, or its program, should be over.
	DueTimeMs int64
	// LatestStartMs is until when it is worth starting.
	LatestStartMs int64
}

// before reports whether a call goes before another. A program that has begun goes before
// all that have not: what it has cost would be lost with it.
func (c Call) before(other Call) int {
	return cmp.Or(
		-compareBool(c.ProgramInProgress, other.ProgramInProgress),
		compareBool(c.AboveFairShare, other.AboveFairShare),
		cmp.Compare(c.DueTimeMs+rankMs*int64(c.Priority), other.DueTimeMs+rankMs*int64(other.Priority)),
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

// Entry is a call's place in the queue.
type Entry struct {
	call Call
	// joinedMs is when it came, and turn its number by which equals are ordered.
	joinedMs int64
	turn     uint64
	// trying says that it was told of room and is looking for an engine.
	trying bool
}

// WaitedMs is how long the call has waited.
func (p *Entry) WaitedMs(nowMs int64) int64 { return nowMs - p.joinedMs }

// Rejection says why a call does not wait and when it is to come back.
type Rejection struct {
	// Ahead is how many calls go before it, callers included that were asked to come back
	// earlier.
	Ahead int
	// CompletionsPerSecond is the rate at which room comes, 0 where it is not known.
	CompletionsPerSecond float64
	// Probability is how likely it is to get room in time.
	Probability float64
	// RetryAfterMs is when room is expected for it.
	RetryAfterMs int64
}

// AdmissionErrors count decisions that turned out wrong.
type AdmissionErrors struct {
	// FalseRejections are calls that were rejected and for whom room would have come in time.
	FalseRejections int
	// FutileWaits are calls that waited and were not served, and InVainMs how long in all.
	FutileWaits  int
	FutileWaitMs int64
}

// rejected is a call that was rejected, with how many must get room before it would have.
type rejected struct {
	latestMs int64
	ahead    int
}

// longestRejected bounds how many rejected calls are followed to see whether that was right.
const longestRejected = 256

// Queue holds the calls of one back end that wait, in order.
type Queue struct {
	settings Settings
	places   []*Entry
	turns    uint64
	drain    drain
	// returns are when callers that were rejected are to come back, ascending.
	returns  []int64
	rejected []rejected
	mistakes AdmissionErrors
}

// NewQueue returns an empty queue.
func NewQueue(settings Settings) *Queue { return &Queue{settings: settings} }

// Len is how many calls wait.
func (q *Queue) Len() int { return len(q.places) }

// AdmissionErrors returns what has turned out wrong since the start.
func (q *Queue) AdmissionErrors() AdmissionErrors { return q.mistakes }

// MustWait reports whether a call that has not asked any engine yet has to queue behind
// those that wait for room.
func (q *Queue) MustWait(call Call) bool {
	return len(q.places) > 0 && q.places[0].call.before(call) <= 0
}

// Join queues a call, unless it is unlikely to get room in time.
func (q *Queue) Join(nowMs int64, call Call) (*Entry, *Rejection) {
	q.turns++
	place := &Entry{call: call, joinedMs: nowMs, turn: q.turns}
	position, _ := slices.BinarySearchFunc(q.places, place, func(a, b *Entry) int {
		return cmp.Or(a.call.before(b.call), cmp.Compare(a.turn, b.turn))
	})
	if rejection := q.judge(nowMs, call, position); rejection != nil {
		q.reject(nowMs, call, rejection)
		return nil, rejection
	}
	q.places = slices.Insert(q.places, position, place)
	return place, nil
}

// judge returns why a call that has a number of others before it should not wait, nil where
// it should.
func (q *Queue) judge(nowMs int64, call Call, ahead int) *Rejection {
	if !call.ProgramInProgress {
		ahead += q.expected(nowMs, call.LatestStartMs)
	}
	rejection := &Rejection{Ahead: ahead, Probability: 1}
	perMs, known := q.drain.perMs(nowMs)
	const millisecondsPerSecond = 1000
	rejection.CompletionsPerSecond = perMs * millisecondsPerSecond
	switch {
	case call.LatestStartMs <= nowMs:
		rejection.Probability = 0
	case known:
		rejection.Probability = chance(ahead+1, perMs, call.LatestStartMs-nowMs)
	}
	if rejection.Probability > 0 && rejection.Probability >= q.settings.MinProbability {
		return nil
	}
	return rejection
}

// expected is how many callers are expected back before a time; they go before newcomers.
func (q *Queue) expected(nowMs, beforeMs int64) int {
	q.returns = slices.DeleteFunc(q.returns, func(returnMs int64) bool { return returnMs <= nowMs })
	position, _ := slices.BinarySearch(q.returns, beforeMs)
	return position
}

// reject arranges the return of a call that does not wait.
func (q *Queue) reject(nowMs int64, call Call, rejection *Rejection) {
	rejection.RetryAfterMs = q.returnAt(nowMs, rejection.Ahead) - nowMs
	if len(q.rejected) < longestRejected && call.LatestStartMs > nowMs {
		q.rejected = append(q.rejected, rejected{latestMs: call.LatestStartMs, ahead: rejection.Ahead})
	}
}

// returnAt is when a caller with a number of others before it is to come back. Invariant: where
// the rate of room is known, two callers are never asked back closer together than room comes,
// so that returns arrive at that rate.
func (q *Queue) returnAt(nowMs int64, ahead int) int64 {
	perMs, known := q.drain.perMs(nowMs)
	if !known || perMs <= 0 {
		return nowMs + blindReturnMs + blindReturnMs*int64(q.turns%blindSteps)/blindSteps
	}
	apart := max(int64(1/perMs), 1)
	returnMs := nowMs + int64(float64(ahead+1)/perMs)
	if last := len(q.returns) - 1; last >= 0 {
		returnMs = max(returnMs, q.returns[last]+apart)
	}
	if returnMs > nowMs+longestReturnMs {
		return nowMs + longestReturnMs
	}
	q.returns = append(q.returns, returnMs)
	return returnMs
}

// blindSteps is over how many steps returns are spread where the rate of room is not known.
const blindSteps = 8

// RecordCompletion notes that a request ended at an engine of the back end, so that there is room for
// another, and returns the call to be told of it, nil where nobody waits.
func (q *Queue) RecordCompletion(nowMs int64) *Entry {
	q.drain.note(nowMs)
	q.follow(nowMs)
	return q.next()
}

// follow looks which of the rejected calls would have got the room that came just now.
func (q *Queue) follow(nowMs int64) {
	q.rejected = slices.DeleteFunc(q.rejected, func(call rejected) bool { return call.latestMs < nowMs })
	kept := q.rejected[:0]
	for _, call := range q.rejected {
		if call.ahead == 0 {
			q.mistakes.FalseRejections++
			continue
		}
		call.ahead--
		kept = append(kept, call)
	}
	q.rejected = kept
}

// next returns the first that is not looking for an engine already.
func (q *Queue) next() *Entry {
	for _, place := range q.places {
		if !place.trying {
			place.trying = true
			return place
		}
	}
	return nil
}

// ProbeDelayMs is after how long a call that nobody told of room is to look for some itself: only
// the first in the queue does, at the pace at which room comes.
func (q *Queue) ProbeDelayMs(nowMs int64, place *Entry) int64 {
	if len(q.places) == 0 || q.places[0] != place {
		return longestLookMs
	}
	perMs, known := q.drain.perMs(nowMs)
	if !known || perMs <= 0 {
		return firstLookMs << min(place.WaitedMs(nowMs)/longestLookMs, 4)
	}
	return min(max(int64(1/perMs), firstLookMs), longestLookMs)
}

// StartProbe reports whether a call that nobody told of room may look for some: only the first.
func (q *Queue) StartProbe(place *Entry) bool {
	if len(q.places) == 0 || q.places[0] != place || place.trying {
		return false
	}
	place.trying = true
	return true
}

// Requeue queues a call once more, in its old place, after it found no room; it is rejected where
// it has become unlikely that it gets some in time.
func (q *Queue) Requeue(nowMs int64, place *Entry) *Rejection {
	place.trying = false
	position := slices.Index(q.places, place)
	rejection := q.judge(nowMs, place.call, max(position, 0))
	if rejection == nil {
		return nil
	}
	q.reject(nowMs, place.call, rejection)
	q.Leave(nowMs, place, false)
	return rejection
}

// Leave takes a call out of the queue: served says that an engine took it. It returns the
// call that is to be told of room in its place, nil for none.
func (q *Queue) Leave(nowMs int64, place *Entry, served bool) *Entry {
	position := slices.Index(q.places, place)
	if position < 0 {
		return nil
	}
	q.places = slices.Delete(q.places, position, position+1)
	if !served {
		q.mistakes.FutileWaits++
		q.mistakes.FutileWaitMs += place.WaitedMs(nowMs)
	}
	if !place.trying {
		return nil
	}
	// Where one found room there may be more, and what was told to one that left is still so.
	return q.next()
}
