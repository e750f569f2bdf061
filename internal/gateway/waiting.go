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

// of returns a back end's queue; the caller holds the mutex.
func (q *waitQueues) of(backend string) *backendQueue {
	found, known := q.byBackend[backend]
	if !known {
		found = &backendQueue{queue: waiting.NewQueue(q.settings), wakeups: map[*waiting.Entry]chan string{}}
		q.byBackend[backend] = found
	}
	return found
}

// ended notes that a request ended at an engine, and tells the first that waits of it.
func (q *waitQueues) ended(backend, engine string, nowMs int64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiters := q.of(backend)
	waiters.tell(waiters.queue.RecordCompletion(nowMs), engine)
}

// tell passes the word of room on; engine is "" where it is not known which has some.
func (b *backendQueue) tell(place *waiting.Entry, engine string) {
	if place == nil {
		return
	}
	select {
	case b.wakeups[place] <- engine:
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
	return c.place == nil && q.of(c.backend.Name).queue.MustWait(c.queueEntry())
}

// join gives a call its place, the one it had where it has waited before.
func (q *waitQueues) join(c *call, nowMs int64) (chan string, *waiting.Rejection) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiters := q.of(c.backend.Name)
	if c.place != nil {
		rejection := waiters.queue.Requeue(nowMs, c.place)
		if rejection != nil {
			delete(waiters.wakeups, c.place)
			c.place = nil
		}
		return waiters.wakeups[c.place], rejection
	}
	place, rejection := waiters.queue.Join(nowMs, c.queueEntry())
	if rejection != nil {
		return nil, rejection
	}
	c.place = place
	waiters.wakeups[place] = make(chan string, 1)
	return waiters.wakeups[place], nil
}

// leave takes a call out of its queue, because an engine took it or because it ended.
func (q *waitQueues) leave(c *call, served bool) {
	if c.place == nil {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiters := q.of(c.backend.Name)
	waiters.tell(waiters.queue.Leave(clock.NowMs(), c.place, served), "")
	delete(waiters.wakeups, c.place)
	c.place = nil
}

// look reports whether a call that nobody told of room may look for some, and lookAfter when
// it may.
func (q *waitQueues) look(c *call) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.of(c.backend.Name).queue.StartProbe(c.place)
}

func (q *waitQueues) lookAfter(c *call) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return time.Duration(q.of(c.backend.Name).queue.ProbeDelayMs(clock.NowMs(), c.place)) * time.Millisecond
}

// mistakes adds up what has turned out wrong at all back ends.
func (q *waitQueues) mistakes() (sum waiting.AdmissionErrors, waitingNow int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, waiters := range q.byBackend {
		mistakes := waiters.queue.AdmissionErrors()
		sum.FalseRejections += mistakes.FalseRejections
		sum.FutileWaits += mistakes.FutileWaits
		sum.FutileWaitMs += mistakes.FutileWaitMs
		waitingNow += waiters.queue.Len()
	}
	return sum, waitingNow
}

// queueEntry is what the call's place in a queue depends on.
func (c *call) queueEntry() waiting.Call {
	due := c.deadline
	if c.finish.After(c.started) && c.finish.Before(due) {
		due = c.finish
	}
	return waiting.Call{Priority: c.priority(), ProgramInProgress: c.begun, AboveFairShare: c.aboveShare, DueTimeMs: due.UnixMilli(), LatestStartMs: c.latest.UnixMilli()}
}

// waitForRoom waits until an engine of the call's back end may have room; it returns that
// engine, "" where it is not known which, or why the call does not wait any longer.
func (d *Daemon) waitForRoom(ctx context.Context, c *call) (engine string, failure *result.Error) {
	if c.queuedAt.IsZero() {
		c.queuedAt = time.Now()
		c.aboveShare = d.engines.aboveShare(c)
	}
	defer func() { c.waited = time.Since(c.queuedAt) }()
	if d.process.Policy.Disable.Has(scheduling.MechanismWaitQueue) {
		return "", d.pause(ctx, c)
	}
	told, rejection := d.queues.join(c, clock.NowMs())
	for rejection == nil {
		timer := time.NewTimer(min(d.queues.lookAfter(c), max(time.Until(c.latest), 0)))
		select {
		case <-ctx.Done():
			timer.Stop()
			d.queues.leave(c, false)
			return "", result.New(result.Cancelled, "the caller left while its call waited: %v", ctx.Err())
		case engine = <-told:
			timer.Stop()
			return engine, nil
		case <-timer.C:
		}
		if !time.Now().Before(c.latest) {
			told, rejection = d.queues.join(c, clock.NowMs())
		} else if d.queues.look(c) {
			return "", nil
		}
	}
	c.waited = time.Since(c.queuedAt)
	d.logRejection(c, rejection)
	return "", d.rejected(c, rejection)
}

// pause waits a moment without any order, for comparison.
func (d *Daemon) pause(ctx context.Context, c *call) *result.Error {
	const pause = 30 * time.Millisecond
	if time.Now().Add(pause).After(c.latest) {
		return d.rejected(c, &waiting.Rejection{RetryAfterMs: pause.Milliseconds()})
	}
	select {
	case <-ctx.Done():
		return result.New(result.Cancelled, "the caller left while its call waited: %v", ctx.Err())
	case <-time.After(pause):
		return nil
	}
}

// rejected is the answer to a call for which room is unlikely to come in time.
func (d *Daemon) rejected(c *call, rejection *waiting.Rejection) *result.Error {
	after := time.Duration(rejection.RetryAfterMs) * time.Millisecond
	if d.engines.count(c.backend.Name) == 0 {
		return result.New(result.NoEngine, "no engine of %s", c.backend.Name).WithRetryAfter(after)
	}
	return result.New(result.EngineRefused, "no engine of %s had room in %s; %d calls go before it, room comes at %.1f a second: chance %.3f to start in time",
		c.backend.Name, c.waited.Round(time.Millisecond), rejection.Ahead, rejection.CompletionsPerSecond, rejection.Probability).WithRetryAfter(after)
}
