package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ochrebay/ochrebay/internal/attempts"
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
	// programCrashRetention is how long the attempts of a request of a program that their engines may not
	// have outlived are remembered after the last of them.
	programCrashRetention = 10 * time.Minute
	// callerCrashRetention is the same for requests without a program. It is shorter because different
	// requests of one caller may have the same content.
	callerCrashRetention = time.Minute
	// answeredCrashRetention is the same, at least, once an engine has answered the request. A caller that did not
	// get the answer may try again until then, or until its deadline.
	answeredCrashRetention = 10 * time.Second
	// crashReportWait is how long a call that will not be sent again waits until the ledger has recorded
	// a crash. One that may be sent again waits up to failoverReportWait, which covers the election of a
	// leader. The gateway tries to report the crash for crashReportTimeout.
	crashReportWait    = 250 * time.Millisecond
	failoverReportWait = time.Second
	crashReportTimeout = 6 * time.Second
	// crashSweepInterval is the least time between two sweeps of the gateway's own records.
	crashSweepInterval = 10 * time.Second
)

// crashTracker holds the records of a gateway whose fleet has no ledger hosts, or whose ledger records no
// crashes, and the attempts of this gateway that wait for a sign that their engine has outlived them.
type crashTracker struct {
	mutex   sync.Mutex
	table   *program.CrashTable
	sweptMs int64
	open    *attempts.OpenSet
}

func newCrashTracker() *crashTracker {
	return &crashTracker{table: program.NewCrashTable(), open: attempts.NewOpenSet()}
}

// record adds a report to the gateway's own records and returns the record of its request.
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

// find returns the gateway's own record of a request.
func (t *crashTracker) find(key program.RequestKey) program.CrashHistory {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table.Find(clock.NowMs(), key)
}

// requestKey identifies the call's request over all its client attempts.
func (c *call) requestKey() program.RequestKey {
	if c.programID == "" {
		return program.RequestKey{Scope: c.fingerprint, Fingerprint: c.fingerprint}
	}
	return program.RequestKey{Scope: c.programID, Fingerprint: c.fingerprint}
}

// crashRetention returns how long the call's attempts are remembered: at least until no run of the next one can be
// left.
func (c *call) crashRetention() time.Duration {
	retention := programCrashRetention
	if c.programID == "" {
		retention = callerCrashRetention
	}
	return max(retention, c.timeLeft()+attempts.RunEndGrace+crashReportTimeout)
}

// crashLimit returns how many engines may end under one request.
func (d *Daemon) crashLimit() int { return max(d.process.Policy.Retry.CrashLimit, 1) }

// loadCrashes looks up the record of a request without a program. Such a request claims its attempts only
// once one of them is on record: different requests of one caller may have the same content, and must not
// wait for one another.
func (d *Daemon) loadCrashes(ctx context.Context, c *call) *result.Error {
	lookupContext, cancel := context.WithDeadline(ctx, c.latestOpening())
	defer cancel()
	key := c.requestKey()
	reply := d.ledgers.lookUpCrashes(lookupContext, &key)
	if reply.Error != nil {
		return reply.Error
	}
	history := d.crashes.find(key)
	if reply.Crashes != nil {
		history = *reply.Crashes
	}
	c.crashedAttempts = history.Attempts
	return nil
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

// recordUnclaimed records an attempt that was sent without a claim and that its engine may not have
// outlived, or the engine of an attempt, and waits for at most the given time until the ledger has it. It returns
// whether it has. Invariant: a call that was sent without a claim is sent to no other engine before, because other
// gateways go by that record.
func (d *Daemon) recordUnclaimed(c *call, attempt string, wait time.Duration) bool {
	crash := program.Crash{Key: c.requestKey(), Attempts: []string{attempt}, RetentionMs: c.crashRetention().Milliseconds()}
	replies := make(chan *protocol.TurnReply, 1)
	d.settlements.Add(1)
	go func() {
		defer d.settlements.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
		defer cancel()
		reply := d.ledgers.reportCrash(ctx, &crash)
		switch {
		case reply.Error != nil:
			d.logFailure("crash not recorded", c, reply.Error)
		case reply.Crashes == nil:
			d.crashes.record(crash)
		}
		replies <- reply
	}()
	select {
	case reply := <-replies:
		return reply.Error == nil
	case <-time.After(wait):
		return false
	}
}

// forgetAnswered removes the recorded attempts of a call that an engine has answered once its caller is not
// trying again: its request was not why their engines ended.
func (d *Daemon) forgetAnswered(c *call) {
	if len(c.crashedAttempts) == 0 {
		return
	}
	telemetry.Info(d.logger, "request answered after engines ended", "request", c.id, "program", c.programID, "content", c.fingerprint, "ended", program.CountEngines(c.crashedAttempts))
	survived := &program.Crash{Key: c.requestKey(), Survived: c.crashedAttempts}
	wait := max(answeredCrashRetention, c.callerTimeout)
	d.forgetOnceQuiet(survived, c.id, c.programID, wait, int(c.crashRetention()/wait))
}

// forgetOnceQuiet removes attempts from their request's record after the given time. If there is another attempt on
// record then, or the record can't be read, it waits as long again, at most the given number of times: the record
// has expired then. Invariant: no attempt is removed while another one of the same request may end its engine.
func (d *Daemon) forgetOnceQuiet(survived *program.Crash, requestID, programID string, wait time.Duration, times int) {
	time.AfterFunc(wait, func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
		defer cancel()
		reply := d.ledgers.lookUpCrashes(ctx, &survived.Key)
		history := d.crashes.find(survived.Key)
		if reply.Crashes != nil {
			history = *reply.Crashes
		}
		isOther := func(attempt string) bool {
			return !slices.Contains(survived.Survived, attempt) && !slices.Contains(survived.Survived, program.BaseAttempt(attempt))
		}
		switch isQuiet := reply.Error == nil && !slices.ContainsFunc(history.Attempts, isOther); {
		case isQuiet:
			// The engine of an attempt may have been recorded since.
			d.closeAttempts(&program.Crash{Key: survived.Key, Survived: append(history.Attempts, survived.Survived...)}, requestID, programID)
		case times > 0:
			d.forgetOnceQuiet(survived, requestID, programID, wait, times-1)
		}
	})
}

// logEngineEnded counts and logs that an engine ended, or may have ended, under a call.
func (d *Daemon) logEngineEnded(c *call, engine membership.ServingEngine, outcome attemptOutcome, isRecorded bool) {
	d.metrics.engineCrashes.WithLabelValues(outcome.engineState.String()).Inc()
	telemetry.Warn(d.logger, "engine ended under request", "request", c.id, "program", c.programID, "content", c.fingerprint, "backend", c.backend.Name,
		"engine", engine.ID, "engine_state", outcome.engineState.String(), "ended", program.CountEngines(c.crashedAttempts), "limit", d.crashLimit(), "recorded", isRecorded, "err", outcome.err)
}
