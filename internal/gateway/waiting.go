package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/waiting"
)

// backendQueue is the queue of one back end with the calls that are to be told of room.
type backendQueue struct {
	queue *waiting.Queue
	// wakeups are where the calls that wait hear of the engine that has room.
	wakeups map[*waiting.Entry]chan string
}

// waitQueues are the queues of all back ends.
type waitQueues struct {
	mutex     sync.Mutex
	settings  waiting.Settings
	byBackend map[string]*backendQueue
	disabled  scheduling.DisabledMechanisms
}

func newWaitQueues(settings waiting.Settings, disabled scheduling.DisabledMechanisms) *waitQueues {
	return &waitQueues{settings: settings, byBackend: map[string]*backendQueue{}, disabled: disabled}
}

// queueFor returns a back end's queue; the caller holds the mutex.
func (q *waitQueues) queueFor(backend string) *backendQueue {
	found, exists := q.byBackend[backend]
	if !exists {
		found = &backendQueue{queue: waiting.NewQueue(q.settings), wakeups: map[*waiting.Entry]chan string{}}
		q.byBackend[backend] = found
	}
	return found
}

// recordCompletion notes that a request ended at an engine, and tells the first that waits of it.
func (q *waitQueues) recordCompletion(backend, engine string, nowMs int64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiters := q.queueFor(backend)
	waiters.wake(waiters.queue.RecordCompletion(nowMs), engine)
}

// wake passes the word of room on; engine is "" where it is not known which has some.
func (b *backendQueue) wake(entry *waiting.Entry, engine string) {
	if entry == nil {
		return
	}
	select {
	case b.wakeups[entry] <- engine:
	default:
		// It was told already.
	}
}

// mustWait reports whether a call has to wait in the queue before it asks any engine.
func (q *waitQueues) mustWait(c *call) bool {
	if q.disabled.Has(scheduling.MechanismWaitQueue) {
		return false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return c.queueEntry == nil && q.queueFor(c.backend.Name).queue.MustWait(c.waitingCall())
}

// join gives a call its place, the one it had where it has waited before.
func (q *waitQueues) join(c *call, nowMs int64) (chan string, *waiting.Rejection) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiters := q.queueFor(c.backend.Name)
	if c.queueEntry != nil {
		rejection := waiters.queue.Requeue(nowMs, c.queueEntry)
		if rejection != nil {
			delete(waiters.wakeups, c.queueEntry)
			c.queueEntry = nil
		}
		return waiters.wakeups[c.queueEntry], rejection
	}
	entry, rejection := waiters.queue.Join(nowMs, c.waitingCall())
	if rejection != nil {
		return nil, rejection
	}
	c.queueEntry = entry
	waiters.wakeups[entry] = make(chan string, 1)
	return waiters.wakeups[entry], nil
}

// leave takes a call out of its queue, because an engine took it or because it ended.
func (q *waitQueues) leave(c *call, served bool) {
	if c.queueEntry == nil {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiters := q.queueFor(c.backend.Name)
	waiters.wake(waiters.queue.Leave(clock.NowMs(), c.queueEntry, served), "")
	delete(waiters.wakeups, c.queueEntry)
	c.queueEntry = nil
}

// startProbe reports whether a call that nobody told of room may look for some, and lookAfter when
// it may.
func (q *waitQueues) startProbe(c *call) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.queueFor(c.backend.Name).queue.StartProbe(c.queueEntry)
}

func (q *waitQueues) probeDelay(c *call) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return time.Duration(q.queueFor(c.backend.Name).queue.ProbeDelayMs(clock.NowMs(), c.queueEntry)) * time.Millisecond
}

// admissionErrors adds up what has turned out wrong at all back ends.
func (q *waitQueues) admissionErrors() (total waiting.AdmissionErrors, waitingCount int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, waiters := range q.byBackend {
		errors := waiters.queue.AdmissionErrors()
		total.FalseRejections += errors.FalseRejections
		total.FutileWaits += errors.FutileWaits
		total.FutileWaitMs += errors.FutileWaitMs
		waitingCount += waiters.queue.Len()
	}
	return total, waitingCount
}

// waitingCall is what the call's place in a queue depends on.
func (c *call) waitingCall() waiting.Call {
	dueTime := c.deadline
	if c.programDueAt.After(c.startedAt) && c.programDueAt.Before(dueTime) {
		dueTime = c.programDueAt
	}
	return waiting.Call{Priority: c.priority(), ProgramInProgress: c.programInProgress, AboveFairShare: c.aboveFairShare, DueTimeMs: dueTime.UnixMilli(), LatestStartMs: c.latestStart.UnixMilli()}
}

// waitForCapacity waits until an engine of the call's back end may have room; it returns that
// engine, "" where it is not known which, or why the call does not wait any longer.
func (d *Daemon) waitForCapacity(ctx context.Context, c *call) (engine string, failure *result.Error) {
	if c.queuedAt.IsZero() {
		c.queuedAt = time.Now()
		c.aboveFairShare = d.engines.isAboveFairShare(c)
	}
	defer func() { c.waitTime = time.Since(c.queuedAt) }()
	if d.process.Policy.Disable.Has(scheduling.MechanismWaitQueue) {
		return "", d.pauseUnqueued(ctx, c)
	}
	wakeup, rejection := d.waitQueues.join(c, clock.NowMs())
	for rejection == nil {
		timer := time.NewTimer(min(d.waitQueues.probeDelay(c), max(time.Until(c.latestStart), 0)))
		select {
		case <-ctx.Done():
			timer.Stop()
			d.waitQueues.leave(c, false)
			return "", result.New(result.Cancelled, "the caller left while its call waited: %v", ctx.Err())
		case engine = <-wakeup:
			timer.Stop()
			return engine, nil
		case <-timer.C:
		}
		if !time.Now().Before(c.latestStart) {
			wakeup, rejection = d.waitQueues.join(c, clock.NowMs())
		} else if d.waitQueues.startProbe(c) {
			return "", nil
		}
	}
	c.waitTime = time.Since(c.queuedAt)
	d.logRejection(c, rejection)
	return "", d.rejectionError(c, rejection)
}

// pauseUnqueued waits a moment without any order, for comparison.
func (d *Daemon) pauseUnqueued(ctx context.Context, c *call) *result.Error {
	const delay = 30 * time.Millisecond
	if time.Now().Add(delay).After(c.latestStart) {
		return d.rejectionError(c, &waiting.Rejection{RetryAfterMs: delay.Milliseconds()})
	}
	select {
	case <-ctx.Done():
		return result.New(result.Cancelled, "the caller left while its call waited: %v", ctx.Err())
	case <-time.After(delay):
		return nil
	}
}

// rejectionError is the answer to a call for which room is unlikely to come in time.
func (d *Daemon) rejectionError(c *call, rejection *waiting.Rejection) *result.Error {
	retryAfter := time.Duration(rejection.RetryAfterMs) * time.Millisecond
	if d.engines.engineCount(c.backend.Name) == 0 {
		return result.New(result.NoEngine, "no engine of %s", c.backend.Name).WithRetryAfter(retryAfter)
	}
	return result.New(result.EngineRefused, "no engine of %s had room in %s; %d calls go before it, room comes at %.1f a second: chance %.3f to start in time",
		c.backend.Name, c.waitTime.Round(time.Millisecond), rejection.Ahead, rejection.CompletionsPerSecond, rejection.Probability).WithRetryAfter(retryAfter)
}
