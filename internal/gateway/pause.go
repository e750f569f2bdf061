package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

const (
	// stallMargin is how much later than due a regular step of the process must be before the
	// process is taken to have stood still: far above what a busy processor explains.
	stallMargin = time.Second
	// confirmationWait is how long after such a pause requests wait for the first proof that the routing
	// table is in force. It takes two ways to control and a round of the quorum, some ten
	// milliseconds; a caller that is refused comes back only after the time that it is told.
	confirmationWait = 150 * time.Millisecond
)

// stallDetector notices that the process stood still, or its whole machine: control may have put
// tables in force meanwhile, and the proofs held are old although nothing is wrong with the way
// to it. Times are those of clock.NowMs.
type stallDetector struct {
	// lastTickMs is when the process last made its regular step, 0 before the first, and ended
	// when the last pause ended, 0 for none.
	lastTickMs     atomic.Int64
	lastStallEndMs atomic.Int64
}

// tick notes the regular step, which is due each stepEvery.
func (p *stallDetector) tick(interval time.Duration, nowMs int64) {
	if stallEnd := p.stallEndMs(interval, nowMs); stallEnd == nowMs {
		p.lastStallEndMs.Store(nowMs)
	}
	p.lastTickMs.Store(nowMs)
}

// stallEndMs returns when the last pause ended: now where the step is overdue, since a request may be
// taken up before it; 0 where there was none.
func (p *stallDetector) stallEndMs(interval time.Duration, nowMs int64) int64 {
	lastTick := p.lastTickMs.Load()
	if lastTick > 0 && nowMs-lastTick > (interval+stallMargin).Milliseconds() {
		return nowMs
	}
	return p.lastStallEndMs.Load()
}

// awaitConfirmation reports whether the table held is known to have been in force within a bound. Right
// after a pause of the process it waits for the first proof. Invariant: it never says so without
// a proof that is young enough, and a gateway that is merely cut off from control waits for none,
// so that its callers hear at once.
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
