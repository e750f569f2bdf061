package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ochrebay/ochrebay/internal/attempts"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	// claimRetryAfter is when the caller of a call that got no claim may try again: the claims that stand
	// in its way may be closed by then.
	claimRetryAfter = time.Second
	// trafficProbeDelay is how long an attempt whose run is over waits for a response to other requests before its
	// engine is asked for a sign of life. Near the crash limit it does not wait.
	trafficProbeDelay = 500 * time.Millisecond
)

// claim is the next attempt of a call on record at the ledger, the zero value for none. The record is used by one
// attempt that its engine does not outlive, or by any number of attempts that their engines do.
type claim struct {
	attempt string
	// engine is the incarnation, which is also the id, of the engine that the attempt may be sent to, empty for any.
	engine string
}

// names returns what is on record for the claim.
func (c claim) names() []string {
	if c.engine == "" {
		return []string{c.attempt}
	}
	return []string{c.attempt, program.AttemptAt(c.attempt, c.engine)}
}

// newAttemptName returns a name for the next attempt of a call that no attempt of any gateway has.
func (d *Daemon) newAttemptName(c *call) string {
	return fmt.Sprintf("%s/%s-%d", c.turnID, d.instance, d.attemptNames.Add(1))
}

// attemptNames numbers the attempts of one gateway process.
type attemptNames = atomic.Uint64

// newClaim returns the report that claims the next attempt of a call.
func (d *Daemon) newClaim(c *call) *program.Crash {
	return &program.Crash{Key: c.requestKey(), Attempts: []string{d.newAttemptName(c)}, RetentionMs: c.crashRetention().Milliseconds()}
}

// mustClaim reports whether an attempt of the call must be on record before it is sent.
func (c *call) mustClaim() bool { return c.programID != "" || len(c.crashedAttempts) > 0 }

// openAttemptRecord puts the first attempt of a call that is not a turn on record, if it must be.
func (d *Daemon) openAttemptRecord(ctx context.Context, c *call) *result.Error {
	if c.programID == "" {
		if failure := d.loadCrashes(ctx, c); failure != nil {
			return failure
		}
	}
	return d.claimAttempt(ctx, c)
}

// claimAttempt puts the next attempt of a call on record at the ledger, unless it is on record already.
// Invariant: an attempt that must be on record is sent only if the attempts of its request on record before it, in any
// gateway, are at fewer engines than the crash limit, or at the same engine. An attempt stays on record until its
// engine has outlived it, so that no later one is sent because nobody saw how an earlier one ended.
func (d *Daemon) claimAttempt(ctx context.Context, c *call) *result.Error {
	if c.claim.attempt != "" || !c.mustClaim() {
		return nil
	}
	report := d.newClaim(c)
	claimContext, cancel := context.WithDeadline(ctx, c.latestOpening())
	defer cancel()
	c.awaitClosings(claimContext)
	reply, wasSent := d.ledgers.claim(claimContext, report)
	if reply.Error != nil && wasSent {
		// The claim may have been recorded although no reply arrived.
		d.withdrawClaim(c, claim{attempt: report.Attempts[0]})
	}
	failure := d.applyClaim(claimContext, c, report, reply)
	if failure != nil && ctx.Err() != nil {
		return abandonedError(ctx, "its attempt was put on record")
	}
	return failure
}

// applyClaim applies the ledger's reply to a claim.
func (d *Daemon) applyClaim(ctx context.Context, c *call, report *program.Crash, reply *protocol.TurnReply) *result.Error {
	if reply.Error != nil {
		return reply.Error
	}
	attempt := report.Attempts[0]
	history := d.historyAfter(c, report, reply)
	c.crashedAttempts = history.Without(attempt)
	if history.Admits(attempt, d.crashLimit()) {
		c.claim = claim{attempt: attempt}
		return nil
	}
	return d.claimAtRecordedEngine(ctx, c, attempt, history)
}

// historyAfter returns the record of a call's request after a report.
func (d *Daemon) historyAfter(c *call, report *program.Crash, reply *protocol.TurnReply) program.CrashHistory {
	if reply.Crashes != nil {
		return *reply.Crashes
	}
	// There is no ledger group, or its leader runs a release that records no crashes.
	history := d.crashes.record(*report)
	telemetry.InfoSampled(d.logger, c.id, "attempt recorded by gateway alone", "request", c.id, "program", c.programID, "groups", d.ledgers.groupCount(), "attempts", len(history.Attempts))
	return history
}

// claimAtRecordedEngine claims an attempt beyond the crash limit at an engine that has an attempt of the same request
// on record: it puts no further engine at risk. The error is CrashLimit if there is no such engine.
func (d *Daemon) claimAtRecordedEngine(ctx context.Context, c *call, attempt string, history program.CrashHistory) *result.Error {
	claimed := claim{attempt: attempt}
	if engine, isFound := d.engines.leastLoadedOf(c.backend.Name, c.requirement, history.Engines(), c.attemptState.excludedEngines); isFound {
		claimed.engine = engine
		report := &program.Crash{Key: c.requestKey(), Attempts: claimed.names(), RetentionMs: c.crashRetention().Milliseconds()}
		if reply, _ := d.ledgers.claim(ctx, report); reply.Error == nil {
			history = d.historyAfter(c, report, reply)
			c.crashedAttempts = history.Without(attempt)
		}
	}
	// A record that is full takes no further names.
	isRecorded := claimed.engine != "" && slices.Contains(history.Attempts, program.AttemptAt(attempt, claimed.engine))
	if isRecorded && history.Admits(attempt, d.crashLimit()) {
		telemetry.Info(d.logger, "attempt claimed at recorded engine", "request", c.id, "program", c.programID, "content", c.fingerprint,
			"engine", claimed.engine, "engines", program.CountEngines(c.crashedAttempts), "limit", d.crashLimit())
		c.claim = claimed
		return nil
	}
	d.withdrawClaim(c, claimed)
	return d.crashLimitError(c)
}

// crashLimitError rejects a call whose request has attempts at as many engines as allowed.
func (d *Daemon) crashLimitError(c *call) *result.Error {
	return result.New(result.CrashLimit, "%d engines have attempts of this request on record that they have not outlived, the limit is %d", program.CountEngines(c.crashedAttempts), d.crashLimit()).
		WithRetryAfter(claimRetryAfter)
}

// claimWithTurn applies the claim that was recorded with the reservation of a turn. A ledger group with a
// replica of an earlier release records none: the attempt is claimed by itself then.
func (d *Daemon) claimWithTurn(ctx context.Context, c *call, report *program.Crash, reply *protocol.TurnReply) *result.Error {
	if reply.Crashes != nil && (slices.Contains(reply.Crashes.Attempts, report.Attempts[0]) || program.CountEngines(reply.Crashes.Attempts) >= d.crashLimit()) {
		return d.applyClaim(ctx, c, report, reply)
	}
	return d.claimAttempt(ctx, c)
}

// withdrawClaim closes, in the background, the claim of an attempt that was not sent.
func (d *Daemon) withdrawClaim(c *call, withdrawn claim) {
	d.settlements.Add(1)
	go func() {
		defer d.settlements.Add(-1)
		d.closeAttempts(&program.Crash{Key: c.requestKey(), Survived: withdrawn.names()}, c.id, c.programID)
	}()
}

// releaseClaim closes the claim of a call that has ended, if no attempt has used it or the engine has
// outlived the attempt.
func (d *Daemon) releaseClaim(c *call) {
	if c.claim.attempt == "" {
		return
	}
	d.withdrawClaim(c, c.claim)
	c.claim = claim{}
}

// closedClaim returns the report that closes the claim of a call, for the settlement of its turn, and nil
// if it has none.
func (c *call) closedClaim() *program.Crash {
	if c.claim.attempt == "" {
		return nil
	}
	return &program.Crash{Key: c.requestKey(), Survived: c.claim.names()}
}

// closeAttempts removes attempts from their request's record.
func (d *Daemon) closeAttempts(survived *program.Crash, requestID, programID string) {
	d.crashes.record(*survived)
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	if reply := d.ledgers.reportCrash(ctx, survived); reply.Error != nil {
		telemetry.Warn(d.logger, "claim not closed", "request", requestID, "program", programID, "attempts", len(survived.Survived),
			"code", int(reply.Error.Code), "err", reply.Error.Error())
	}
}

// hasOutlived reports whether the engine has outlived an attempt: it has answered or refused it, has sent
// all of its response, or was never sent it. An attempt that ended otherwise may still end its engine: the
// run goes on until the engine sees that its connection was closed, at the latest until its deadline.
func (o attemptOutcome) hasOutlived() bool {
	return o.isNotSent || o.isRunComplete || (o.kind != attemptBroken && o.kind != attemptCancelled)
}

// keepAttempt keeps an attempt on record that its engine has not, or not yet, outlived. It returns false
// if the attempt is not on record.
func (d *Daemon) keepAttempt(c *call, engine membership.ServingEngine, outcome attemptOutcome, reportWait time.Duration) bool {
	kept, isRecorded := c.claim, true
	if kept.attempt == "" {
		kept.attempt = d.newAttemptName(c)
		isRecorded = d.recordUnclaimed(c, kept.attempt, reportWait)
	}
	isNearLimit := d.isNearCrashLimit(c)
	mayRunOn := outcome.engineState != engineEnded && outcome.engineState != engineUnreachable
	if isNearLimit && kept.engine == "" && mayRunOn && engine.RefusesOtherIncarnations() {
		// Further attempts of the request may go to this engine, but nothing waits for that.
		kept.engine = engine.IncarnationKey()
		d.recordUnclaimed(c, program.AttemptAt(kept.attempt, kept.engine), 0)
	}
	c.claim = claim{}
	c.crashedAttempts = append(c.crashedAttempts, kept.names()...)
	if outcome.kind == attemptBroken {
		d.logEngineEnded(c, engine, outcome, isRecorded)
	}
	if outcome.engineState == engineEnded {
		return isRecorded
	}
	open := attempts.Open{
		Survived: program.Crash{Key: c.requestKey(), Survived: kept.names()}, RequestID: c.id, ProgramID: c.programID,
		SentAt: c.startedAt.Add(c.sentAfter), EndedAt: time.Now(), RunDeadline: outcome.runDeadline,
	}
	d.crashes.open.Add(engine.IncarnationKey(), open)
	probeAfter := time.Until(open.OutlivedFrom())
	if !isNearLimit {
		probeAfter += trafficProbeDelay
	}
	time.AfterFunc(probeAfter, func() { d.probeOpenAttempts(engine, open.SentAt) })
	return isRecorded
}

// isNearCrashLimit reports whether attempts of the call's request may be sent to at most one further engine if its
// latest one stays on record.
func (d *Daemon) isNearCrashLimit(c *call) bool {
	return program.CountEngines(c.crashedAttempts)+1 >= d.crashLimit()-1
}

// probeOpenAttempts closes the attempts at an engine if it responds on a connection from before.
func (d *Daemon) probeOpenAttempts(engine membership.ServingEngine, openedBefore time.Time) {
	probedAt := time.Now()
	if d.crashes.open.Has(engine.IncarnationKey()) && d.respondsOnEarlierConnection(engine, openedBefore) {
		d.closeOutlivedAttempts(nil, engine, attempts.SignOfLife{ConnectionOpenedAt: openedBefore, RequestSentAt: probedAt})
	}
}

// closeOutlivedAttempts closes the attempts at an engine that it has outlived, as a response shows. Those of
// the call's own request, if there is a call, no longer count for it.
func (d *Daemon) closeOutlivedAttempts(c *call, engine membership.ServingEngine, sign attempts.SignOfLife) {
	for _, outlived := range d.crashes.open.TakeOutlived(engine, sign) {
		telemetry.Info(d.logger, "engine outlived attempt", "request", outlived.RequestID, "program", outlived.ProgramID, "engine", engine.ID,
			"after_ms", time.Since(outlived.SentAt).Milliseconds(), "kept_ms", time.Since(outlived.EndedAt).Milliseconds(),
			"deadline_left_ms", time.Until(outlived.RunDeadline).Milliseconds(), "responded_to", evidenceRequest(c))
		closed := make(chan struct{})
		d.settlements.Add(1)
		go func() {
			defer d.settlements.Add(-1)
			defer close(closed)
			d.closeAttempts(&outlived.Survived, outlived.RequestID, outlived.ProgramID)
		}()
		if c != nil && outlived.Survived.Key == c.requestKey() {
			c.crashedAttempts = slices.DeleteFunc(c.crashedAttempts, func(attempt string) bool { return slices.Contains(outlived.Survived.Survived, attempt) })
			c.closings = append(c.closings, closed)
		}
	}
}

// evidenceRequest returns the request whose response shows that an engine runs on, "probe" if it is none of a caller.
func evidenceRequest(c *call) string {
	if c == nil {
		return "probe"
	}
	return c.id
}

// awaitClosings waits until the attempts of the call's request that engines have outlived are off the
// record, so that they don't stand in the way of the next claim.
func (c *call) awaitClosings(ctx context.Context) {
	for _, closed := range c.closings {
		select {
		case <-closed:
		case <-ctx.Done():
			return
		}
	}
	c.closings = nil
}
