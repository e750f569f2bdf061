package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

const (
	// stallMargin is the delay of the periodic tick above which the process counts as stalled. It
	// is far above the delays that a busy processor causes.
	stallMargin = time.Second
	// confirmationWait is how long after a stall requests wait for the first confirmation that
	// the routing table is in force. A confirmation takes a round trip to control and a round of
	// its quorum, some ten milliseconds, whereas a rejected caller retries only after the
	// Retry-After time.
	confirmationWait = 150 * time.Millisecond
)

// stallDetector detects that the process, or its whole machine, was stalled. Control may have put
// other routing tables in force during a stall, and the latest confirmation is old although the
// connection to control works. Times are those of clock.NowMs.
type stallDetector struct {
	// lastTickMs is the time of the latest periodic tick, 0 before the first, and lastStallEndMs
	// the end of the latest stall, 0 if there was none.
	lastTickMs     atomic.Int64
	lastStallEndMs atomic.Int64
}

// tick is called once per interval. A late call shows that the process was stalled until now.
func (s *stallDetector) tick(interval time.Duration, nowMs int64) {
	if stallEnd := s.stallEndMs(interval, nowMs); stallEnd == nowMs {
		s.lastStallEndMs.Store(nowMs)
	}
	s.lastTickMs.Store(nowMs)
}

// stallEndMs returns the end of the latest stall, 0 if there was none. It returns nowMs if the tick
// is overdue, because after a stall a request may be processed before the tick.
func (s *stallDetector) stallEndMs(interval time.Duration, nowMs int64) int64 {
	lastTick := s.lastTickMs.Load()
	if lastTick > 0 && nowMs-lastTick > (interval+stallMargin).Milliseconds() {
		return nowMs
	}
	return s.lastStallEndMs.Load()
}

// awaitConfirmation reports whether control has confirmed within maxAge that the routing table is in
// force. Shortly after a stall of the process it waits for the next confirmation. Invariant: it
// returns true only with a recent enough confirmation, and a gateway that is merely disconnected
// from control does not wait, so that its callers get an immediate answer.
func (d *Daemon) awaitConfirmation(ctx context.Context, maxAge time.Duration) bool {
	confirmed := d.nextConfirmation()
	if d.confirmedWithin(maxAge) {
		return true
	}
	nowMs := clock.NowMs()
	stallEnd := d.stalls.stallEndMs(sweepInterval, nowMs)
	remaining := time.Duration(stallEnd-nowMs)*time.Millisecond + confirmationWait
	if stallEnd == 0 || remaining <= 0 || d.process.Policy.Disable.Has(scheduling.MechanismFreshnessWait) {
		return false
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	for !d.confirmedWithin(maxAge) {
		select {
		case <-confirmed:
			confirmed = d.nextConfirmation()
		case <-timer.C:
			return d.confirmedWithin(maxAge)
		case <-ctx.Done():
			return false
		}
	}
	return true
}
