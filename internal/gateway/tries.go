package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

const (
	// minSendTime is the least time left for which an attempt at an engine is worthwhile.
	minSendTime = 5 * time.Millisecond
	// maxProbedEngines is how many engines a call tries after a wait if it is unknown which engine
	// has capacity.
	maxProbedEngines = 3
	// allEngines lets a call try all eligible engines.
	allEngines = -1
)

// attemptState describes a call's attempts so far.
type attemptState struct {
	// excludedEngines lists the engines that are not tried again before the call has waited.
	excludedEngines []string
	// remainingEngines is how many more engines may be tried before the call waits, allEngines for
	// no bound.
	remainingEngines int
	// runs counts the runs that engines may have started, for the route's attempt limit. Runs of
	// repeatable calls at engines that are gone do not count. mayHaveRun is true once any engine
	// may have started the call.
	runs       int
	mayHaveRun bool
}

// runAttempts sends a call to engines until one answers or no further attempt is allowed. It
// returns the error for the caller, or nil if the response was forwarded. Invariant: a call that is
// not repeatable is sent again only if no engine may have run it before, and the error states "not
// run" only if no engine may have run the call.
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
		if failure := d.claimAttempt(ctx, c); failure != nil {
			return unclaimedError(c, state, failure)
		}
		if failure := d.checkDrain(c); failure != nil && !state.mayHaveRun {
			return failure
		}
		selected, found := selection{}, false
		if state.remainingEngines != 0 {
			selected, found = d.selectEngine(c, state.excludedEngines)
		}
		if !found && c.claim.engine != "" {
			// Another engine on record may take the call.
			state.excludedEngines = append(state.excludedEngines, c.claim.engine)
			d.releaseClaim(c)
			continue
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
		c.lastSentMs = clock.NowMs()
		c.framing, c.incompleteEventBytes = "", 0
		d.startOriginRecording(ctx, c)
		outcome := d.attempt(ctx, c, engine, deliver)
		d.engines.recordAttemptEnd(c, clock.NowMs(), outcome)
		d.recordCompletion(c, outcome)
		if outcome.kind == attemptBroken && (c.route.IsRepeatable() || c.isConnectionLoss(outcome.err)) {
			outcome.engineState = probeEngine(engine)
		}
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

// evaluateAttempt reports whether a call is finished after an attempt, and with which error.
func (d *Daemon) evaluateAttempt(c *call, state *attemptState, engine membership.ServingEngine, outcome attemptOutcome) (done bool, failure *result.Error) {
	switch outcome.kind {
	case attemptAnswered:
		if outcome.status < http.StatusInternalServerError {
			d.forgetAnswered(c)
		}
		return true, nil
	case attemptCancelled:
		if !outcome.hasOutlived() {
			d.keepAttempt(c, engine, outcome, 0)
		}
		return true, cancelledError(c, outcome)
	case attemptFailed:
		state.mayHaveRun = true
		state.runs++
	case attemptBroken:
		state.mayHaveRun = true
		if failure := d.evaluateBreak(c, state, engine, outcome); failure != nil {
			return true, failure
		}
	}
	if c.timeLeft() < minSendTime {
		return true, attemptsExhaustedError(c, state.mayHaveRun, outcome)
	}
	return false, nil
}

// evaluateBreak counts an attempt that broke off and returns an error if the call is not sent again.
func (d *Daemon) evaluateBreak(c *call, state *attemptState, engine membership.ServingEngine, outcome attemptOutcome) *result.Error {
	// An engine that has ended no longer runs the call, so its run does not count towards the attempt
	// limit. The crash limit bounds such runs.
	if !c.route.IsRepeatable() || outcome.engineState != engineEnded {
		state.runs++
	}
	mayFailOver := d.canFailOver(c, outcome)
	if !outcome.hasOutlived() {
		wait := crashReportWait
		if mayFailOver {
			wait = max(min(failoverReportWait, time.Until(c.latestStart)), wait)
		}
		mayFailOver = d.keepAttempt(c, engine, outcome, wait) && mayFailOver
	}
	if atRisk := program.CountEngines(c.crashedAttempts); atRisk >= d.crashLimit() {
		return result.New(result.OutcomeUnknown, "attempt at engine %s was interrupted, and %d engines have not outlived attempts of this request: %v", engine.ID, atRisk, outcome.err)
	}
	if !mayFailOver || state.runs >= max(c.route.MaxAttempts, 1) || !d.takeRetryBudget(c, outcome) {
		return result.New(result.OutcomeUnknown, "attempt at engine %s was interrupted: %v", engine.ID, outcome.err)
	}
	if !c.requirement.isRequired {
		return nil
	}
	failure := d.checkRequirement(c, state.excludedEngines)
	d.logContinuation(c, continuedByGateway, failure)
	if failure != nil {
		return result.New(result.OutcomeUnknown, "attempt at engine %s was interrupted: %s", engine.ID, failure.Message)
	}
	return nil
}

// takeRetryBudget takes one retry of a call that an engine may have run from the backend's budget,
// and returns false if none is left. For an attempt that timed out, the response timer has already
// taken it. A failover from an engine that has ended takes none: its run occupies no engine any more, and
// the crash limit bounds how often that happens to one request.
func (d *Daemon) takeRetryBudget(c *call, outcome attemptOutcome) bool {
	return outcome.engineState == engineEnded || errors.Is(outcome.err, errResponseTimeout) || d.retries.tryTake(c.backend.Name)
}

// waitInQueue makes a call wait for capacity, or ends a call that an engine may have run. After the
// wait, only the engine that has capacity is tried, or up to maxProbedEngines engines if it is
// unknown which one has.
func (d *Daemon) waitInQueue(ctx context.Context, c *call, state *attemptState) *result.Error {
	if failure := d.checkRequirement(c, nil); failure != nil && !state.mayHaveRun {
		return failure
	}
	if state.mayHaveRun {
		return result.New(result.OutcomeUnknown, "%d attempts, at least one of which an engine may have run", c.attemptCount)
	}
	engine, failure := d.waitForCapacity(ctx, c)
	if failure != nil {
		return failure
	}
	state.remainingEngines = maxProbedEngines
	state.excludedEngines = d.engines.otherEngines(c.backend.Name, engine)
	return nil
}

// recordCompletion records the latency of a successful buffered response, and notifies the wait
// queue if a request has ended that the engine may have accepted.
func (d *Daemon) recordCompletion(c *call, outcome attemptOutcome) {
	if outcome.kind == attemptAnswered && outcome.responseMs > 0 && !isEngineFailure(outcome.status) {
		d.retries.recordResponse(c, clock.NowMs(), outcome.responseMs)
	}
	switch outcome.kind {
	case attemptAnswered, attemptCancelled, attemptBroken, attemptFailed:
		d.waitQueues.recordCompletion(c.backend.Name, c.selection.engine, clock.NowMs())
	}
}

// latestStart returns the latest time at which a call is worth starting at an engine: two expected
// service times before its caller gives up. The call can then complete in time or, if no engine has
// capacity, the caller can still retry elsewhere.
func (d *Daemon) latestStart(c *call) time.Time {
	const reservedServiceTimes = 2
	latestEnd := c.deadline
	if c.route.Kind == routing.KindStream && c.route.PatienceMs > 0 {
		latestEnd = earlier(latestEnd, c.startedAt.Add(time.Duration(c.route.PatienceMs)*time.Millisecond))
	}
	serviceTime := time.Duration(d.engines.expectedServiceMs(c.backend.Name, d.selectionInput(c, nil))) * time.Millisecond
	return latestEnd.Add(-reservedServiceTimes * max(serviceTime, minSendTime))
}

// canFailOver reports whether an interrupted call may be sent to another engine: it has to be
// repeatable, and a response that has started has to be resumable.
func (d *Daemon) canFailOver(c *call, outcome attemptOutcome) bool {
	if !c.route.IsRepeatable() || (outcome.responseStarted && d.process.Policy.Disable.Has(scheduling.MechanismStreamResume)) {
		return false
	}
	return !outcome.responseStarted || (c.route.Resumable && !c.retainsTurn() && c.lastEventID > 0)
}

// unclaimedError returns the error of a call whose next attempt got no claim.
func unclaimedError(c *call, state *attemptState, failure *result.Error) *result.Error {
	if !state.mayHaveRun {
		return failure
	}
	return result.New(result.OutcomeUnknown, "%d attempts, and no further one: %s", c.attemptCount, failure.Message)
}

func attemptsExhaustedError(c *call, mayHaveRun bool, last attemptOutcome) *result.Error {
	if mayHaveRun {
		return result.New(result.OutcomeUnknown, "%d attempts, the last one: %v", c.attemptCount, last.err)
	}
	return result.New(result.EngineRefused, "%d attempts, the last one: %v", c.attemptCount, last.err)
}

// cancelledError returns the error of a call whose attempt was cancelled.
func cancelledError(c *call, outcome attemptOutcome) *result.Error {
	if errors.Is(outcome.err, errStopping) {
		return result.New(result.OutcomeUnknown, "attempt at engine %s was interrupted: %v", c.engineID, errStopping)
	}
	if c.timeLeft() > 0 {
		return result.New(result.Cancelled, "the caller disconnected: %v", outcome.err)
	}
	return result.New(result.EngineTimeout, "no response from the engine within %s", time.Since(c.startedAt).Round(time.Millisecond))
}
