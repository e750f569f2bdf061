package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

const (
	// endedTimeout bounds the look whether an engine is gone.
	endedTimeout = 100 * time.Millisecond
	// shortestSend is the least time that a send to an engine makes sense for.
	shortestSend = 5 * time.Millisecond
	// looked is how many engines a call asks that was told of room without being told where.
	looked = 3
	// everyEngine lets a call ask all engines that it may be sent to.
	everyEngine = -1
)

// tries is what is known of a call's sends so far.
type tries struct {
	// avoid are the engines that are not asked again before the call has waited.
	avoid []string
	// left is how many engines may be asked before the call waits, everyEngine for all.
	left int
	// runs counts the engines that may still work on the call; mayHaveRun says that any may
	// have begun to.
	runs       int
	mayHaveRun bool
}

// serveAttempts sends a call to engines until one answers or none may be asked any
// more; it returns what to tell the caller, nil where the answer was passed on.
// Invariant: a call that is not repeatable is sent again only where every send
// before was not run; the error says "not run" only where all sends were not.
func (d *Daemon) serveAttempts(ctx context.Context, c *call, deliver deliverFunc) *result.Error {
	defer d.queues.leave(c, false)
	known := &c.tries
	known.left = everyEngine
	if d.queues.mustWait(c) {
		if failure := d.waitInQueue(ctx, c, known); failure != nil {
			return failure
		}
	}
	for {
		chosen, found := choice{}, false
		if known.left != 0 {
			chosen, found = d.engines.choose(c.backend, d.demand(c, known.avoid))
		}
		if !found {
			if failure := d.waitInQueue(ctx, c, known); failure != nil {
				return failure
			}
			continue
		}
		if failure := d.maySend(ctx, c, known.mayHaveRun); failure != nil {
			d.engines.notSent(chosen, clock.NowMs())
			return failure
		}
		engine := chosen.engine
		c.attempts++
		c.engine = engine.ID
		c.chosen = chosen
		c.sent = time.Since(c.started)
		outcome := d.attempt(ctx, c, engine, deliver)
		d.engines.ended(c, clock.NowMs(), outcome)
		d.roomAt(c, outcome)
		d.logAttempt(c, engine, outcome)
		known.avoid = append(known.avoid, engine.ID)
		if known.left > 0 {
			known.left--
		}
		if done, failure := d.judge(c, known, engine, outcome); done {
			return failure
		}
	}
}

// judge reports whether a call is over after a send, and what to tell its caller then.
func (d *Daemon) judge(c *call, known *tries, engine membership.ServingEngine, outcome attemptOutcome) (done bool, failure *result.Error) {
	switch outcome.kind {
	case attemptAnswered:
		return true, nil
	case attemptCancelled:
		return true, cancelled(c, outcome)
	case attemptFailed:
		known.mayHaveRun = true
		known.runs++
	case attemptBroken:
		known.mayHaveRun = true
		// An engine that has ended works on nothing any more, so that it does not count
		// among those that the call may run on.
		if !c.route.IsRepeatable() || !d.ended(engine) {
			known.runs++
		}
		if !d.mayContinue(c, outcome) || known.runs >= max(c.route.MaxAttempts, 1) || !d.granted(c, outcome) {
			return true, result.New(result.OutcomeUnknown, "engine %s broke off: %v", engine.ID, outcome.err)
		}
	}
	if c.timeLeft() < shortestSend {
		return true, exhausted(c, known.mayHaveRun, outcome)
	}
	return false, nil
}

// granted reports whether the budget of the back end covers another send of a call that an
// engine may have run. For one that was ended for its silence it was asked before.
func (d *Daemon) granted(c *call, outcome attemptOutcome) bool {
	return errors.Is(outcome.err, errSilent) || d.retries.take(c.backend.Name)
}

// waitInQueue has a call wait that no engine had room for; afterwards the engine that has some is
// asked, or all of them where it is not known which.
func (d *Daemon) waitInQueue(ctx context.Context, c *call, known *tries) *result.Error {
	if known.mayHaveRun {
		return result.New(result.OutcomeUnknown, "%d sends, one of them broken off", c.attempts)
	}
	engine, failure := d.waitForRoom(ctx, c)
	if failure != nil {
		return failure
	}
	known.left = looked
	known.avoid = d.engines.others(c.backend.Name, engine)
	return nil
}

// roomAt passes the word on that a request which an engine had taken has ended there.
func (d *Daemon) roomAt(c *call, outcome attemptOutcome) {
	if outcome.kind == attemptAnswered && outcome.tookMs > 0 && !isFailure(outcome.status) {
		d.retries.answered(c, clock.NowMs(), outcome.tookMs)
	}
	switch outcome.kind {
	case attemptAnswered, attemptCancelled, attemptBroken, attemptFailed:
		d.queues.ended(c.backend.Name, c.engine, clock.NowMs())
	}
}

// latestStart is until when a call is worth starting at an engine: so that it can end before
// its caller gives it up or, where nobody has room for it, its caller can come back and have it
// run elsewhere; hence twice the time that a run takes.
func (d *Daemon) latestStart(c *call) time.Time {
	const runs = 2
	end := c.deadline
	if c.route.Kind == routing.KindStream && c.route.PatienceMs > 0 {
		end = earlier(end, c.started.Add(time.Duration(c.route.PatienceMs)*time.Millisecond))
	}
	run := time.Duration(d.engines.expectedMs(c.backend.Name, d.demand(c, nil))) * time.Millisecond
	return end.Add(-runs * max(run, shortestSend))
}

// mayContinue reports whether a call that an engine broke off may be sent to another
// one: it is repeatable, and what has reached the caller can be gone on from.
func (d *Daemon) mayContinue(c *call, outcome attemptOutcome) bool {
	if !c.route.IsRepeatable() || (outcome.started && d.process.Policy.Disable.Has(scheduling.MechanismStreamResume)) {
		return false
	}
	return !outcome.started || (c.route.Resumable && !c.keeps() && c.lastEvent > 0)
}

// ended reports whether an engine is gone: nobody listens at its address.
func (d *Daemon) ended(engine membership.ServingEngine) bool {
	socket, err := net.DialTimeout("tcp", engine.Address, endedTimeout)
	if err == nil {
		_ = socket.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func exhausted(c *call, mayHaveRun bool, last attemptOutcome) *result.Error {
	if mayHaveRun {
		return result.New(result.OutcomeUnknown, "%d sends, the last: %v", c.attempts, last.err)
	}
	return result.New(result.EngineRefused, "%d sends, the last: %v", c.attempts, last.err)
}

// cancelled answers a call whose caller left or whose time is over.
func cancelled(c *call, outcome attemptOutcome) *result.Error {
	if c.timeLeft() > 0 {
		return result.New(result.Cancelled, "the caller left: %v", outcome.err)
	}
	return result.New(result.EngineTimeout, "no answer within %s", time.Since(c.started).Round(time.Millisecond))
}
