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

// line is the queue of one back end with the calls that are to be told of room.
type line struct {
	queue *waiting.Queue
	// told are where the calls that wait hear of the engine that has room.
	told map[*waiting.Place]chan string
}

// lines are the queues of all back ends.
type lines struct {
	mutex     sync.Mutex
	settings  waiting.Settings
	byBackend map[string]*line
	disabled  scheduling.Disabled
}

func newLines(settings waiting.Settings, disabled scheduling.Disabled) *lines {
	return &lines{settings: settings, byBackend: map[string]*line{}, disabled: disabled}
}

// of returns a back end's queue; the caller holds the mutex.
func (l *lines) of(backend string) *line {
	found, known := l.byBackend[backend]
	if !known {
		found = &line{queue: waiting.NewQueue(l.settings), told: map[*waiting.Place]chan string{}}
		l.byBackend[backend] = found
	}
	return found
}

// ended notes that a request ended at an engine, and tells the first that waits of it.
func (l *lines) ended(backend, engine string, nowMs int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	line := l.of(backend)
	line.tell(line.queue.Ended(nowMs), engine)
}

// tell passes the word of room on; engine is "" where it is not known which has some.
func (l *line) tell(place *waiting.Place, engine string) {
	if place == nil {
		return
	}
	select {
	case l.told[place] <- engine:
	default:
		// It was told already.
	}
}

// mustWait reports whether a call has to line up before it asks any engine.
func (l *lines) mustWait(c *call) bool {
	if l.disabled.Has(scheduling.MechanismWaiting) {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return c.place == nil && l.of(c.backend.Name).queue.MustWait(c.inLine())
}

// lineUp gives a call its place, the one it had where it has waited before.
func (l *lines) lineUp(c *call, nowMs int64) (chan string, *waiting.Rejection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	line := l.of(c.backend.Name)
	if c.place != nil {
		rejection := line.queue.Again(nowMs, c.place)
		if rejection != nil {
			delete(line.told, c.place)
			c.place = nil
		}
		return line.told[c.place], rejection
	}
	place, rejection := line.queue.Join(nowMs, c.inLine())
	if rejection != nil {
		return nil, rejection
	}
	c.place = place
	line.told[place] = make(chan string, 1)
	return line.told[place], nil
}

// leave takes a call out of its queue, because an engine took it or because it ended.
func (l *lines) leave(c *call, served bool) {
	if c.place == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	line := l.of(c.backend.Name)
	line.tell(line.queue.Leave(clock.NowMs(), c.place, served), "")
	delete(line.told, c.place)
	c.place = nil
}

// look reports whether a call that nobody told of room may look for some, and lookAfter when
// it may.
func (l *lines) look(c *call) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.of(c.backend.Name).queue.Look(c.place)
}

func (l *lines) lookAfter(c *call) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Duration(l.of(c.backend.Name).queue.LookAfterMs(clock.NowMs(), c.place)) * time.Millisecond
}

// mistakes adds up what has turned out wrong at all back ends.
func (l *lines) mistakes() (sum waiting.Mistakes, waitingNow int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, line := range l.byBackend {
		mistakes := line.queue.Mistakes()
		sum.Wronged += mistakes.Wronged
		sum.InVain += mistakes.InVain
		sum.InVainMs += mistakes.InVainMs
		waitingNow += line.queue.Len()
	}
	return sum, waitingNow
}

// inLine is what the call's place in a queue depends on.
func (c *call) inLine() waiting.Call {
	due := c.deadline
	if c.finish.After(c.started) && c.finish.Before(due) {
		due = c.finish
	}
	return waiting.Call{Rank: c.priority(), Begun: c.begun, DueMs: due.UnixMilli(), LatestMs: c.latest.UnixMilli()}
}

// waitForRoom waits until an engine of the call's back end may have room; it returns that
// engine, "" where it is not known which, or why the call does not wait any longer.
func (d *Daemon) waitForRoom(ctx context.Context, c *call) (engine string, failure *result.Error) {
	if c.linedUp.IsZero() {
		c.linedUp = time.Now()
	}
	defer func() { c.waited = time.Since(c.linedUp) }()
	if d.process.Policy.Disable.Has(scheduling.MechanismWaiting) {
		return "", d.pause(ctx, c)
	}
	told, rejection := d.lines.lineUp(c, clock.NowMs())
	for rejection == nil {
		timer := time.NewTimer(min(d.lines.lookAfter(c), max(time.Until(c.latest), 0)))
		select {
		case <-ctx.Done():
			timer.Stop()
			d.lines.leave(c, false)
			return "", result.New(result.Cancelled, "the caller left while its call waited: %v", ctx.Err())
		case engine = <-told:
			timer.Stop()
			return engine, nil
		case <-timer.C:
		}
		if !time.Now().Before(c.latest) {
			told, rejection = d.lines.lineUp(c, clock.NowMs())
		} else if d.lines.look(c) {
			return "", nil
		}
	}
	c.waited = time.Since(c.linedUp)
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
		c.backend.Name, c.waited.Round(time.Millisecond), rejection.Ahead, rejection.PerSecond, rejection.Chance).WithRetryAfter(after)
}
