package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/waiting"
)

// backendQueue is the wait queue of one backend with the wakeup channels of the waiting calls.
type backendQueue struct {
	queue *waiting.Queue
	// wakeups holds the channels on which waiting calls receive the id of an engine that has
	// capacity.
	wakeups map[*waiting.Entry]chan string
}

// queueKey identifies a wait queue. Streams that have begun wait apart from the other calls of their
// backend, by software version, because capacity at an engine of another version is of no use to
// them.
type queueKey struct {
	backend     string
	requirement versionRequirement
}

// waitQueues holds the wait queues of all backends.
type waitQueues struct {
	mutex    sync.Mutex
	settings waiting.Settings
	byKey    map[queueKey]*backendQueue
	disabled scheduling.DisabledMechanisms
}

func newWaitQueues(settings waiting.Settings, disabled scheduling.DisabledMechanisms) *waitQueues {
	return &waitQueues{settings: settings, byKey: map[queueKey]*backendQueue{}, disabled: disabled}
}

// waitQueueKey identifies the wait queue of the call.
func (c *call) waitQueueKey() queueKey { return queueKey{c.backend.Name, c.requirement} }

// queueFor returns a wait queue. The caller must hold the mutex.
func (q *waitQueues) queueFor(key queueKey) *backendQueue {
	found, exists := q.byKey[key]
	if !exists {
		found = &backendQueue{queue: waiting.NewQueue(q.settings), wakeups: map[*waiting.Entry]chan string{}}
		q.byKey[key] = found
	}
	return found
}

// deleteIfUnused deletes the empty wait queue of a software version. The caller must hold the mutex.
func (q *waitQueues) deleteIfUnused(key queueKey) {
	if key.requirement.isRequired && q.byKey[key].queue.Len() == 0 {
		delete(q.byKey, key)
	}
}

// recordCompletion records that a request ended at an engine, and wakes the next waiting call of the
// backend and the next one of the engine's software version.
func (q *waitQueues) recordCompletion(backend string, engine membership.ServingEngine, nowMs int64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiters := q.queueFor(queueKey{backend: backend})
	waiters.wake(waiters.queue.RecordCompletion(nowMs), engine.ID)
	if begun, exists := q.byKey[queueKey{backend, versionRequirement{true, engine.SoftwareVersion}}]; exists {
		begun.wake(begun.queue.RecordCompletion(nowMs), engine.ID)
	}
}

// wake notifies a waiting call of capacity. engine is "" if it is unknown which engine has it, and
// entry is nil if no call waits.
func (b *backendQueue) wake(entry *waiting.Entry, engine string) {
	if entry == nil {
		return
	}
	select {
	case b.wakeups[entry] <- engine:
	default:
		// The call has a pending notification already.
	}
}

// mustWait reports whether a call has to wait in the queue before it tries any engine.
func (q *waitQueues) mustWait(c *call) bool {
	if q.disabled.Has(scheduling.MechanismWaitQueue) {
		return false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiters, exists := q.byKey[c.waitQueueKey()]
	return exists && c.queueEntry == nil && waiters.queue.MustWait(c.waitingCall())
}

// join adds a call to the wait queue, or requeues it at its old position if it has waited before. It
// returns the call's wakeup channel, or the rejection.
func (q *waitQueues) join(c *call, nowMs int64) (chan string, *waiting.Rejection) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiters := q.queueFor(c.waitQueueKey())
	defer q.deleteIfUnused(c.waitQueueKey())
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

// leave removes a call from its queue. served is true if an engine accepted the call, and false if
// the call ended without that.
func (q *waitQueues) leave(c *call, served bool) {
	if c.queueEntry == nil {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiters := q.queueFor(c.waitQueueKey())
	defer q.deleteIfUnused(c.waitQueueKey())
	waiters.wake(waiters.queue.Leave(clock.NowMs(), c.queueEntry, served), "")
	delete(waiters.wakeups, c.queueEntry)
	c.queueEntry = nil
}

// startProbe reports whether a call that was not woken may probe engines for capacity.
func (q *waitQueues) startProbe(c *call) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.queueFor(c.waitQueueKey()).queue.StartProbe(c.queueEntry)
}

// probeDelay returns how long a call has to wait to be woken before it may probe engines itself.
func (q *waitQueues) probeDelay(c *call) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return time.Duration(q.queueFor(c.waitQueueKey()).queue.ProbeDelayMs(clock.NowMs(), c.queueEntry)) * time.Millisecond
}

// misjudgments returns the misjudgments of the wait queues of all backends, and the total number of
// waiting calls.
func (q *waitQueues) misjudgments() (total waiting.Misjudgments, waitingCount int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, waiters := range q.byKey {
		misjudgments := waiters.queue.Misjudgments()
		total.FalseRejections += misjudgments.FalseRejections
		total.FutileWaits += misjudgments.FutileWaits
		total.FutileWaitMs += misjudgments.FutileWaitMs
		waitingCount += waiters.queue.Len()
	}
	return total, waitingCount
}

// waitingCall returns the properties of the call that determine its position in the wait queue.
func (c *call) waitingCall() waiting.Call {
	dueTime := c.deadline
	if c.programDueAt.After(c.startedAt) && c.programDueAt.Before(dueTime) {
		dueTime = c.programDueAt
	}
	return waiting.Call{Priority: c.priority(), ProgramInProgress: c.programInProgress, AboveFairShare: c.aboveFairShare, DueTimeMs: dueTime.UnixMilli(), LatestStartMs: c.latestStart.UnixMilli()}
}

// waitForCapacity waits until an engine of the call's backend may have capacity. It returns that
// engine, "" if it is unknown which one, or the reason why the call does not wait any longer.
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
	drainBegins := d.drain.begun
	for rejection == nil {
		timer := time.NewTimer(min(d.waitQueues.probeDelay(c), max(time.Until(c.latestStart), 0)))
		select {
		case <-ctx.Done():
			timer.Stop()
			d.waitQueues.leave(c, false)
			return "", abandonedError(ctx, "its call was in the wait queue")
		case <-drainBegins:
			timer.Stop()
			if failure := d.checkDrain(c); failure != nil {
				d.waitQueues.leave(c, false)
				return "", failure
			}
			drainBegins = nil
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

// pauseUnqueued waits for a fixed delay without any order between calls. It is used while the wait
// queue is disabled, so that the two can be compared.
func (d *Daemon) pauseUnqueued(ctx context.Context, c *call) *result.Error {
	const delay = 30 * time.Millisecond
	if time.Now().Add(delay).After(c.latestStart) {
		return d.rejectionError(c, &waiting.Rejection{RetryAfterMs: delay.Milliseconds()})
	}
	select {
	case <-ctx.Done():
		return abandonedError(ctx, "its call waited for a retry")
	case <-time.After(delay):
		return nil
	}
}

// abandonedError returns the error of a call that no engine has received and whose context ended in
// the given state: its caller disconnected or the gateway is stopping.
func abandonedError(ctx context.Context, state string) *result.Error {
	if errors.Is(context.Cause(ctx), errStopping) {
		return result.New(result.Draining, "%v while %s", errStopping, state)
	}
	return result.New(result.Cancelled, "the caller disconnected while %s: %v", state, ctx.Err())
}

// rejectionError returns the error of a call for which capacity is unlikely to become available in
// time.
func (d *Daemon) rejectionError(c *call, rejection *waiting.Rejection) *result.Error {
	retryAfter := time.Duration(rejection.RetryAfterMs) * time.Millisecond
	if d.engines.engineCount(c.backend.Name, c.requirement) == 0 {
		return result.New(result.NoEngine, "backend %s has no engine", c.backend.Name).WithRetryAfter(retryAfter)
	}
	return result.New(result.EngineRefused, "no engine of backend %s had capacity within %s; %d calls ahead, %.1f completions per second, probability %.3f of starting in time",
		c.backend.Name, c.waitTime.Round(time.Millisecond), rejection.Ahead, rejection.CompletionsPerSecond, rejection.Probability).WithRetryAfter(retryAfter)
}
