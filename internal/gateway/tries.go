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
	// goneDialTimeout bounds the look whether an engine is gone.
	goneDialTimeout = 100 * time.Millisecond
	// minSendTime is the least time that a send to an engine makes sense for.
	minSendTime = 5 * time.Millisecond
	// maxProbedEngines is how many engines a call asks that was told of room without being told where.
	maxProbedEngines = 3
	// allEngines lets a call ask all engines that it may be sent to.
	allEngines = -1
)

// attemptState is what is known of a call's sends so far.
type attemptState struct {
	// excludedEngines are the engines that are not asked again before the call has waited.
	excludedEngines []string
	// remainingEngines is how many engines may be asked before the call waits, everyEngine for all.
	remainingEngines int
	// runs counts the engines that may still work on the call; mayHaveRun says that any may
	// have begun to.
	runs       int
	mayHaveRun bool
}

// runAttempts sends a call to engines until one answers or none may be asked any
// more; it returns what to tell the caller, nil where the answer was passed on.
// Invariant: a call that is not repeatable is sent again only where every send
// before was not run; the error says "not run" only where all sends were not.
func (d *Daemon) runAttempts(ctx context.Context, c *call, deliver deliverFunc) *result.Error {
	defer d.waitQueues.leave(c, false)
	state := &c.attemptState
	state.remainingEngines = allEngines
	if d.waitQueues.mustWait(c) {
		if failure := d.waitInQueue(ctx, c, state); failure != nil {
			return failure
		}
	}
	for {
		selected, found := selection{}, false
		if state.remainingEngines != 0 {
			selected, found = d.engines.selectEngine(c.backend, d.selectionInput(c, state.excludedEngines))
		}
		if !found {
			if failure := d.waitInQueue(ctx, c, state); failure != nil {
				return failure
			}
			continue
		}
		if failure := d.checkSend(ctx, c, state.mayHaveRun); failure != nil {
			d.engines.cancelSelection(selected, clock.NowMs())
			return failure
		}
		engine := selected.engine
		c.attemptCount++
		c.engineID = engine.ID
		c.selection = selected
		c.sentAfter = time.Since(c.startedAt)
		outcome := d.attempt(ctx, c, engine, deliver)
		d.engines.recordAttemptEnd(c, clock.NowMs(), outcome)
		d.recordCompletion(c, outcome)
		d.logAttempt(c, engine, outcome)
		state.excludedEngines = append(state.excludedEngines, engine.ID)
		if state.remainingEngines > 0 {
			state.remainingEngines--
		}
		if done, failure := d.evaluateAttempt(c, state, engine, outcome); done {
			return failure
		}
	}
}

// evaluateAttempt reports whether a call is over after a send, and what to tell its caller then.
func (d *Daemon) evaluateAttempt(c *call, state *attemptState, engine membership.ServingEngine, outcome attemptOutcome) (done bool, failure *result.Error) {
	switch outcome.kind {
	case attemptAnswered:
		return true, nil
	case attemptCancelled:
		return true, cancelledError(c, outcome)
	case attemptFailed:
		state.mayHaveRun = true
		state.runs++
	case attemptBroken:
		state.mayHaveRun = true
		// An engine that has ended works on nothing any more, so that it does not count
		// among those that the call may run on.
		if !c.route.IsRepeatable() || !d.isEngineGone(engine) {
			state.runs++
		}
		if !d.canFailOver(c, outcome) || state.runs >= max(c.route.MaxAttempts, 1) || !d.hasRetryBudget(c, outcome) {
			return true, result.New(result.OutcomeUnknown, "engine %s broke off: %v", engine.ID, outcome.err)
		}
	}
	if c.timeLeft() < minSendTime {
		return true, attemptsExhaustedError(c, state.mayHaveRun, outcome)
	}
	return false, nil
}

// hasRetryBudget reports whether the budget of the back end covers another send of a call that an
// engine may have run. For one that was ended for its silence it was asked before.
func (d *Daemon) hasRetryBudget(c *call, outcome attemptOutcome) bool {
	return errors.Is(outcome.err, errResponseTimeout) || d.retries.tryTake(c.backend.Name)
}

// waitInQueue has a call wait that no engine had room for; afterwards the engine that has some is
// asked, or all of them where it is not known which.
func (d *Daemon) waitInQueue(ctx context.Context, c *call, state *attemptState) *result.Error {
	if state.mayHaveRun {
		return result.New(result.OutcomeUnknown, "%d sends, one of them broken off", c.attemptCount)
	}
	engine, failure := d.waitForCapacity(ctx, c)
	if failure != nil {
		return failure
	}
	state.remainingEngines = maxProbedEngines
	state.excludedEngines = d.engines.otherEngines(c.backend.Name, engine)
	return nil
}

// recordCompletion passes the word on that a request which an engine had taken has ended there.
func (d *Daemon) recordCompletion(c *call, outcome attemptOutcome) {
	if outcome.kind == attemptAnswered && outcome.responseMs > 0 && !isEngineFailure(outcome.status) {
		d.retries.recordResponse(c, clock.NowMs(), outcome.responseMs)
	}
	switch outcome.kind {
	case attemptAnswered, attemptCancelled, attemptBroken, attemptFailed:
		d.waitQueues.recordCompletion(c.backend.Name, c.engineID, clock.NowMs())
	}
}

// latestStart is until when a call is worth starting at an engine: so that it can end before
// its caller gives it up or, where nobody has room for it, its caller can come back and have it
// run elsewhere; hence twice the time that a run takes.
func (d *Daemon) latestStart(c *call) time.Time {
	const reservedServiceTimes = 2
	latestEnd := c.deadline
	if c.route.Kind == routing.KindStream && c.route.PatienceMs > 0 {
		latestEnd = earlier(latestEnd, c.startedAt.Add(time.Duration(c.route.PatienceMs)*time.Millisecond))
	}
	serviceTime := time.Duration(d.engines.expectedServiceMs(c.backend.Name, d.selectionInput(c, nil))) * time.Millisecond
	return latestEnd.Add(-reservedServiceTimes * max(serviceTime, minSendTime))
}

// canFailOver reports whether a call that an engine broke off may be sent to another
// one: it is repeatable, and what has reached the caller can be gone on from.
func (d *Daemon) canFailOver(c *call, outcome attemptOutcome) bool {
	if !c.route.IsRepeatable() || (outcome.responseStarted && d.process.Policy.Disable.Has(scheduling.MechanismStreamResume)) {
		return false
	}
	return !outcome.responseStarted || (c.route.Resumable && !c.retainsTurn() && c.lastEventID > 0)
}

// isEngineGone reports whether an engine is gone: nobody listens at its address.
func (d *Daemon) isEngineGone(engine membership.ServingEngine) bool {
	connection, err := net.DialTimeout("tcp", engine.Address, goneDialTimeout)
	if err == nil {
		_ = connection.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func attemptsExhaustedError(c *call, mayHaveRun bool, last attemptOutcome) *result.Error {
	if mayHaveRun {
		return result.New(result.OutcomeUnknown, "%d sends, the last: %v", c.attemptCount, last.err)
	}
	return result.New(result.EngineRefused, "%d sends, the last: %v", c.attemptCount, last.err)
}

// cancelledError answers a call whose caller left or whose time is over.
func cancelledError(c *call, outcome attemptOutcome) *result.Error {
	if c.timeLeft() > 0 {
		return result.New(result.Cancelled, "the caller left: %v", outcome.err)
	}
	return result.New(result.EngineTimeout, "no answer within %s", time.Since(c.startedAt).Round(time.Millisecond))
}
