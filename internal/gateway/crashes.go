package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/eventstream"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/telemetry"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

const (
	// programCrashRetention is how long the engines that ended under a request of a program are
	// remembered after the last of them ended.
	programCrashRetention = 10 * time.Minute
	// callerCrashRetention is the same for requests without a program. It is shorter because different
	// requests of one caller may have the same content.
	callerCrashRetention = time.Minute
	// maxUnresolvedCrashes bounds the attempts of which it is not known whether their engine has ended.
	maxUnresolvedCrashes = 256
	// maxUnreportedRequests bounds the requests with crashes that the ledger has not recorded.
	maxUnreportedRequests = 4096
	// crashLookupTimeout bounds the lookup of a request's crash record. Without a reply the gateway
	// goes by what it has seen itself.
	crashLookupTimeout = 300 * time.Millisecond
	// crashLookupBackoff is how long a ledger group is not asked after a lookup failed.
	crashLookupBackoff = time.Second
	// crashReportWait is how long a call that will not be sent again waits until the ledger has recorded
	// a crash. One that may be sent again waits up to failoverReportWait, which covers the election of a
	// leader. The gateway tries to report the crash for crashReportTimeout.
	crashReportWait    = 250 * time.Millisecond
	failoverReportWait = time.Second
	crashReportTimeout = 6 * time.Second
	// minAbandonedSilence is how long an engine must have been silent when its call was abandoned, to be
	// checked.
	minAbandonedSilence = 500 * time.Millisecond
	// crashSweepInterval is the least time between two sweeps of the gateway's own records.
	crashSweepInterval = 10 * time.Second
)

// crashTracker holds what this gateway knows of the engines that ended under requests: its own
// observations and what the ledger has replied.
type crashTracker struct {
	mutex   sync.Mutex
	table   *program.CrashTable
	sweptMs int64
	// unreported counts, by request, the crashes that the ledger has not confirmed to have recorded.
	unreported map[program.RequestKey]int
	// nextLookupMs is when a ledger group whose lookups fail is asked again.
	nextLookupMs map[uint32]int64
	// unresolved holds, by the incarnation of the engine, the recorded attempts of which it is not known
	// whether the engine has ended or has only cut the connection, and unresolvedCount their number.
	unresolved      map[string][]program.Crash
	unresolvedCount int
}

func newCrashTracker() *crashTracker {
	return &crashTracker{table: program.NewCrashTable(), unreported: map[program.RequestKey]int{}, nextLookupMs: map[uint32]int64{}, unresolved: map[string][]program.Crash{}}
}

// addUnresolved adds an attempt of which it is not known whether its engine has ended.
func (t *crashTracker) addUnresolved(engine string, crash program.Crash) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.unresolvedCount >= maxUnresolvedCrashes {
		clear(t.unresolved)
		t.unresolvedCount = 0
	}
	t.unresolved[engine] = append(t.unresolved[engine], crash)
	t.unresolvedCount++
}

// takeUnresolved returns and removes the unresolved attempts of an engine.
func (t *crashTracker) takeUnresolved(engine string) []program.Crash {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	crashes := t.unresolved[engine]
	delete(t.unresolved, engine)
	t.unresolvedCount -= len(crashes)
	return crashes
}

// record adds a crash and returns the record of its request.
func (t *crashTracker) record(crash program.Crash) program.CrashHistory {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	nowMs := clock.NowMs()
	if nowMs-t.sweptMs > crashSweepInterval.Milliseconds() {
		t.table.Sweep(nowMs)
		t.sweptMs = nowMs
	}
	return t.table.Record(nowMs, crash)
}

// merge applies the record of a request that the ledger has returned, nil for none, and returns the
// resulting one. If isCurrent is true, the gateway's own record is dropped: the request may have been
// answered through another gateway since. It is kept as long as the ledger lacks some of it.
func (t *crashTracker) merge(key program.RequestKey, recorded *program.CrashHistory, isCurrent bool) program.CrashHistory {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	nowMs := clock.NowMs()
	if isCurrent && t.unreported[key] == 0 {
		t.table.Record(nowMs, program.Crash{Key: key, IsCleared: true})
	}
	if recorded != nil && len(recorded.Attempts) > 0 {
		t.table.Record(nowMs, program.Crash{Key: key, Attempts: recorded.Attempts, RetentionMs: recorded.RemainingMs})
	}
	return t.table.Find(nowMs, key)
}

// addUnreported counts a crash that the ledger has not recorded yet.
func (t *crashTracker) addUnreported(key program.RequestKey) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.unreported) >= maxUnreportedRequests {
		clear(t.unreported)
	}
	t.unreported[key]++
}

// removeUnreported counts a crash no longer, because the ledger has recorded it.
func (t *crashTracker) removeUnreported(key program.RequestKey) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.unreported[key]--; t.unreported[key] <= 0 {
		delete(t.unreported, key)
	}
}

// mayLookUp reports whether a ledger group may be asked for a record.
func (t *crashTracker) mayLookUp(group uint32) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return clock.NowMs() >= t.nextLookupMs[group]
}

// recordFailedLookup records that a ledger group did not reply to a lookup.
func (t *crashTracker) recordFailedLookup(group uint32) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.nextLookupMs[group] = clock.NowMs() + crashLookupBackoff.Milliseconds()
}

// requestKey identifies the call's request over all its client attempts.
func (c *call) requestKey() program.RequestKey {
	if c.programID == "" {
		return program.RequestKey{Scope: c.fingerprint, Fingerprint: c.fingerprint}
	}
	return program.RequestKey{Scope: c.programID, Fingerprint: c.fingerprint}
}

// crashRetention returns how long engines that ended under the call are remembered.
func (c *call) crashRetention() time.Duration {
	if c.programID == "" {
		return callerCrashRetention
	}
	return programCrashRetention
}

// addCrashes adds the attempts of a record to those under which engines are known to have ended.
func (c *call) addCrashes(history program.CrashHistory) {
	for _, attempt := range history.Attempts {
		if !slices.Contains(c.crashedAttempts, attempt) {
			c.crashedAttempts = append(c.crashedAttempts, attempt)
		}
	}
	c.crashesRetained = max(c.crashesRetained, time.Duration(history.RemainingMs)*time.Millisecond)
}

// crashLimit returns how many engines may end under one request.
func (d *Daemon) crashLimit() int { return max(d.process.Policy.Retry.CrashLimit, 1) }

// applyCrashes applies the crash record that the ledger has returned for a call, nil for none.
func (d *Daemon) applyCrashes(c *call, recorded *program.CrashHistory) {
	c.addCrashes(d.crashes.merge(c.requestKey(), recorded, true))
}

// loadCrashes asks the ledger for the crash record of a call that is not a turn. Without a reply in time
// the gateway's own record decides.
func (d *Daemon) loadCrashes(ctx context.Context, c *call) {
	key := c.requestKey()
	group, isPlaced := d.ledgers.groupOf(key.Scope)
	if !isPlaced {
		c.addCrashes(d.crashes.merge(key, nil, false))
		return
	}
	reply := &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "group %d did not reply to an earlier lookup", group)}
	if d.crashes.mayLookUp(group) {
		lookupContext, cancel := context.WithTimeout(ctx, crashLookupTimeout)
		defer cancel()
		reply = d.ledgers.lookUpCrashes(lookupContext, group, &key)
		// A ledger of a release that records no crashes rejects the lookup as malformed.
		if reply.Error != nil && reply.Error.Code != result.MalformedRequest && ctx.Err() == nil {
			d.crashes.recordFailedLookup(group)
		}
	}
	c.areCrashesUnknown = reply.Error != nil && reply.Error.Code != result.MalformedRequest
	c.addCrashes(d.crashes.merge(key, reply.Crashes, reply.Error == nil))
}

// checkCrashLimit rejects a call under whose request as many engines have ended as allowed. Invariant:
// such a call is sent to no engine.
func (d *Daemon) checkCrashLimit(c *call) *result.Error {
	if len(c.crashedAttempts) < d.crashLimit() {
		return nil
	}
	return result.New(result.CrashLimit, "%d engines ended while they ran this request, the limit is %d", len(c.crashedAttempts), d.crashLimit()).
		WithRetryAfter(c.crashesRetained)
}

// mayHaveCrashed reports whether an engine ended, or may have ended, under an attempt. An engine that
// has announced its end does not count.
func (d *Daemon) mayHaveCrashed(c *call, engine membership.ServingEngine, outcome attemptOutcome) bool {
	switch {
	case outcome.isEngineSound || outcome.engineState == engineRuns || d.engines.isDraining(engine):
		return false
	case outcome.engineState == engineEnded || outcome.engineState == engineUnreachable:
		return true
	}
	return c.isConnectionLoss(outcome.err)
}

// resolveCrashes removes the attempts from the record after which an engine has responded as the same
// incarnation: it had only cut their connections.
func (d *Daemon) resolveCrashes(c *call, engine membership.ServingEngine) {
	for _, survived := range d.crashes.takeUnresolved(engine.IncarnationKey()) {
		d.crashes.record(survived)
		if survived.Key == c.requestKey() {
			c.crashedAttempts = slices.DeleteFunc(c.crashedAttempts, func(attempt string) bool { return slices.Contains(survived.Survived, attempt) })
		}
		go d.reportInBackground(c, &survived)
	}
}

// reportInBackground reports a change of a crash record that no caller waits for.
func (d *Daemon) reportInBackground(c *call, crash *program.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	if reply := d.ledgers.reportCrash(ctx, crash); reply.Error != nil {
		d.logFailure("crash not recorded", c, reply.Error)
	}
}

// isConnectionLoss reports whether an attempt ended with the connection to its engine. It does if the
// engine ended, also if a new incarnation accepts connections already.
func (c *call) isConnectionLoss(err error) bool {
	if errors.Is(err, upstream.ErrNotSent) {
		return false
	}
	if errors.Is(err, eventstream.ErrIncompleteEvent) {
		// A body that ended as its framing says leaves its connection open.
		return c.framing == upstream.CloseDelimited
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, errNoEvent, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		if errors.Is(err, cause) {
			return true
		}
	}
	var networkError net.Error
	return errors.As(err, &networkError) && networkError.Timeout()
}

// recordCrash records that an engine ended, or may have ended, under a call, and waits for at most the
// given time until the ledger has recorded it. It returns whether the call may be sent to another engine.
// Invariant: it may not before the ledger has recorded the crash, because other gateways go by that.
// Without ledger groups, or with a ledger that records no crashes, the gateway's own record decides.
func (d *Daemon) recordCrash(c *call, engine membership.ServingEngine, outcome attemptOutcome, wait time.Duration) bool {
	startedAt := time.Now()
	attempt := fmt.Sprintf("%s/%d %s", c.turnID, c.attemptCount, engine.IncarnationKey())
	crash := program.Crash{Key: c.requestKey(), Attempts: []string{attempt}, RetentionMs: c.crashRetention().Milliseconds()}
	c.addCrashes(d.crashes.record(crash))
	if outcome.engineState == engineAccepts {
		d.crashes.addUnresolved(engine.IncarnationKey(), program.Crash{Key: crash.Key, Survived: []string{attempt}})
	}
	crash.Attempts = slices.Clone(c.crashedAttempts)
	replies := make(chan *protocol.TurnReply, 1)
	d.crashes.addUnreported(crash.Key)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
		defer cancel()
		reply := d.ledgers.reportCrash(ctx, &crash)
		if reply.Error != nil {
			d.logFailure("crash not recorded", c, reply.Error)
		}
		if reply.Crashes != nil {
			d.crashes.removeUnreported(crash.Key)
		}
		replies <- reply
	}()
	isRecorded := false
	select {
	case reply := <-replies:
		isRecorded = reply.Error == nil
		c.addCrashes(d.crashes.merge(crash.Key, reply.Crashes, false))
	case <-time.After(wait):
	}
	d.metrics.engineCrashes.WithLabelValues(outcome.engineState.String()).Inc()
	telemetry.Warn(d.logger, "engine ended under request", "request", c.id, "program", c.programID, "content", c.fingerprint, "backend", c.backend.Name,
		"engine", engine.ID, "engine_state", outcome.engineState.String(), "ended", len(c.crashedAttempts), "limit", d.crashLimit(),
		"looked_up", !c.areCrashesUnknown, "recorded", isRecorded, "recorded_ms", milliseconds(time.Since(startedAt)), "err", outcome.err)
	return isRecorded
}

// clearCrashes deletes the crash record of a call that an engine has answered, in the background: its
// request was not why the engines ended.
func (d *Daemon) clearCrashes(c *call) {
	if len(c.crashedAttempts) == 0 {
		return
	}
	crash := program.Crash{Key: c.requestKey(), IsCleared: true}
	d.crashes.record(crash)
	telemetry.Info(d.logger, "request answered after engines ended", "request", c.id, "program", c.programID, "content", c.fingerprint, "ended", len(c.crashedAttempts))
	go d.reportInBackground(c, &crash)
}

// checkAbandonedEngine finds out in the background whether the engine of a call that its caller or its
// deadline ended is unreachable: the caller's next try would otherwise be sent to another engine as if
// nothing had happened. An engine that was heard of within minAbandonedSilence, or that has answered
// other calls since it was last heard of, is not dialled.
func (d *Daemon) checkAbandonedEngine(c *call, engine membership.ServingEngine, outcome attemptOutcome) {
	heardMs := max(c.lastSentMs, outcome.lastEventMs)
	if errors.Is(outcome.err, errStopping) || clock.NowMs()-heardMs < minAbandonedSilence.Milliseconds() || d.engines.hasAnsweredSince(c.selection, heardMs) {
		return
	}
	abandoned, attemptStart := *c, c.startedAt.Add(c.sentAfter)
	abandoned.crashedAttempts = slices.Clone(c.crashedAttempts)
	go func() {
		outcome.engineState = d.probeEngine(engine, attemptStart)
		if outcome.engineState != engineAccepts && d.mayHaveCrashed(&abandoned, engine, outcome) {
			d.recordCrash(&abandoned, engine, outcome, 0)
		}
	}()
}
