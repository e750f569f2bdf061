package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/retry"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

var (
	errResponseTimeout = errors.New("the engine was silent for longer than its like")
	errEngineFailure   = errors.New("the engine answered with a failure")
)

// retryPolicy decide, over all calls of this gateway, how long a try may be silent and whether
// there may be a second one.
type retryPolicy struct {
	mutex     sync.Mutex
	settings  retry.Settings
	disabled  scheduling.DisabledMechanisms
	latencies retry.LatencyHistograms
	budgets   map[string]*retry.Budget
}

func newRetries(settings retry.Settings, disabled scheduling.DisabledMechanisms) *retryPolicy {
	return &retryPolicy{settings: settings, disabled: disabled, budgets: map[string]*retry.Budget{}}
}

// budgetFor returns a back end's; the caller holds the mutex.
func (r *retryPolicy) budgetFor(backend string) *retry.Budget {
	budget, found := r.budgets[backend]
	if !found {
		budget = retry.NewBudget(r.settings)
		r.budgets[backend] = budget
	}
	return budget
}

// recordResponse notes how long a try took to be answered or, for a stream, to begin to be.
func (r *retryPolicy) recordResponse(c *call, nowMs int64, responseMs float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.latencies.ForKind(c.route.Name).Record(nowMs, responseMs)
	r.budgetFor(c.backend.Name).RecordSuccess()
}

func (r *retryPolicy) recordTimeout(c *call, nowMs int64, timeout time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.latencies.ForKind(c.route.Name).RecordTimeout(nowMs, milliseconds(timeout))
}

// responseTimeout is how long a try of a call may be silent at an engine that takes factor times as long
// as others, 0 for as long as it likes.
func (r *retryPolicy) responseTimeout(c *call, nowMs int64, latencyRatio float64) time.Duration {
	if r.disabled.Has(scheduling.MechanismRetry) {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	timeoutMs, isKnown := r.latencies.ForKind(c.route.Name).TimeoutMs(nowMs)
	if !isKnown {
		return 0
	}
	return time.Duration(timeoutMs * max(latencyRatio, 1) * float64(time.Millisecond))
}

// tryTake takes one second try of a back end's budget.
func (r *retryPolicy) tryTake(backend string) bool {
	if r.disabled.Has(scheduling.MechanismRetry) {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budgetFor(backend).TryTake()
}

// canRetry reports whether a try that an engine is at work on, or has answered with a
// failure, may be followed by another one, the budget aside. Invariant: a call that is not
// repeatable is never sent again once an engine may have run it.
func (d *Daemon) canRetry(c *call) bool {
	if d.process.Policy.Disable.Has(scheduling.MechanismRetry) || !c.route.IsRepeatable() {
		return false
	}
	if c.tenant != nil && c.tenant.HasRateLimit() {
		// A further run needs a grant of its own, and might be denied it.
		return false
	}
	return c.attemptState.runs+1 < max(c.route.MaxAttempts, 1) && time.Now().Before(c.latestStart) &&
		d.engines.engineCount(c.backend.Name) > len(c.attemptState.excludedEngines)+1
}

// responseTimer waits for the first word of an engine.
type responseTimer struct {
	timer          *time.Timer
	attemptContext context.Context
}

// startResponseTimer passes an engine over that is silent for longer than a try usually takes, and ends the
// try where there may be another one: its connection is closed before the next is made.
func (d *Daemon) startResponseTimer(attemptContext context.Context, c *call, cancel context.CancelCauseFunc) *responseTimer {
	nowMs := clock.NowMs()
	timeout := d.retries.responseTimeout(c, nowMs, d.engines.latencyRatio(c.engineID, nowMs))
	if timeout <= 0 || timeout >= c.timeLeft() {
		return nil
	}
	engine := c.engineID
	mayRetry := d.canRetry(c)
	timer := time.AfterFunc(timeout, func() {
		nowMs := clock.NowMs()
		d.engines.recordTimeout(engine, nowMs)
		d.retries.recordTimeout(c, nowMs, timeout)
		if mayRetry && time.Now().Before(c.latestStart) && d.retries.tryTake(c.backend.Name) {
			cancel(errResponseTimeout)
		}
	})
	return &responseTimer{timer: timer, attemptContext: attemptContext}
}

// stop ends the wait for the first word.
func (w *responseTimer) stop() {
	if w != nil {
		w.timer.Stop()
	}
}

// stopAndCheck ends the wait, and reports whether the try was ended for its silence before.
func (w *responseTimer) stopAndCheck() bool {
	w.stop()
	return w != nil && errors.Is(context.Cause(w.attemptContext), errResponseTimeout)
}

// isEngineFailure reports whether a status says that the engine, and not the request, is at fault.
// Its 504 says only that the time was over.
func isEngineFailure(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}
