package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	// A draining gateway stops when no request has arrived for drainQuietPeriod, but serves for at
	// least minDrainTime: callers keep using the gateways that they have selected for one second,
	// some for three.
	drainQuietPeriod  = 1500 * time.Millisecond
	minDrainTime      = 3500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// stopTimeout bounds how long a stopping gateway waits until the calls that it ended are answered
	// and charged.
	stopTimeout = 700 * time.Millisecond
)

var errStopping = errors.New("the gateway is stopping")

// drainState tells whether a gateway drains, and until when it serves calls.
type drainState struct {
	// begun is closed when the drain begins.
	begun chan struct{}
	// endsAt is when the calls that are still in progress will be ended, nil before the drain.
	endsAt atomic.Pointer[time.Time]
}

// begin begins the drain. It must be called once.
func (s *drainState) begin(endsAt time.Time) {
	s.endsAt.Store(&endsAt)
	close(s.begun)
}

// hasBegun reports whether the gateway drains.
func (s *drainState) hasBegun() bool { return s.endsAt.Load() != nil }

// admits reports whether a call that may take until its deadline ends before the drain does.
func (s *drainState) admits(deadline time.Time) bool {
	endsAt := s.endsAt.Load()
	return endsAt == nil || !deadline.After(*endsAt)
}

// checkDrain returns an error if a call that no engine has received may take longer than the gateway
// serves. Invariant: a call that is sent to an engine during the drain for the first time is never ended by
// the end of the drain. Its caller may try another gateway at once.
func (d *Daemon) checkDrain(c *call) *result.Error {
	if d.drain.admits(c.deadline) {
		return nil
	}
	return result.New(result.Draining, "the call may take %s, the gateway stops before", c.timeLeft().Round(time.Millisecond)).WithRetryAfter(0)
}

// drainCalls removes the gateway from the directory and continues to serve until no more requests arrive,
// bounded by the platform's grace period. Calls that may take longer than that are rejected.
func (d *Daemon) drainCalls(ctx context.Context) {
	startedAt := time.Now()
	latestEnd := startedAt.Add(d.process.Limits.DrainTimeout())
	d.drain.begin(latestEnd)
	d.follower.SyncNow()
	telemetry.Info(d.logger, "draining", "in_flight", d.inFlight.Load(), "until", latestEnd.Sub(startedAt))
	isClosed := false
	for time.Now().Before(latestEnd) && ctx.Err() == nil && !(isClosed && d.inFlight.Load() == 0) {
		time.Sleep(drainPollInterval)
		isQuiet := clock.NowMs()-d.lastRequestMs.Load() > drainQuietPeriod.Milliseconds()
		if !isClosed && isQuiet && time.Since(startedAt) > minDrainTime && d.inFlight.Load() == 0 {
			// A request that arrives from now on is rejected. One that was admitted before is in flight.
			isClosed = true
			now := time.Now()
			d.drain.endsAt.Store(&now)
		}
	}
	telemetry.Info(d.logger, "stopping", "in_flight", d.inFlight.Load())
	d.endRemainingCalls()
}

// endRemainingCalls ends the calls that are still in progress. It waits, at most for stopTimeout, until
// their callers have an error and their turns are charged.
func (d *Daemon) endRemainingCalls() {
	d.endCalls(errStopping)
	latestEnd := time.Now().Add(stopTimeout)
	for time.Now().Before(latestEnd) && d.inFlight.Load()+d.settlements.Load() > 0 {
		time.Sleep(drainPollInterval)
	}
}
