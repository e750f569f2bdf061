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
	errResponseTimeout = errors.New("engine did not start to respond within the usual time")
	errEngineFailure   = errors.New("engine responded with a server error")
)

// retryPolicy decides, from all calls of this gateway, how long an attempt may wait for the
// engine's response and whether it may be retried.
type retryPolicy struct {
	mutex     sync.Mutex
	settings  retry.Settings
	disabled  scheduling.DisabledMechanisms
	latencies retry.LatencyHistograms
	budgets   map[string]*retry.Budget
}

func newRetryPolicy(settings retry.Settings, disabled scheduling.DisabledMechanisms) *retryPolicy {
	return &retryPolicy{settings: settings, disabled: disabled, budgets: map[string]*retry.Budget{}}
}

// budgetFor returns the retry budget of a backend. The caller must hold the mutex.
func (r *retryPolicy) budgetFor(backend string) *retry.Budget {
	budget, found := r.budgets[backend]
	if !found {
		budget = retry.NewBudget(r.settings)
		r.budgets[backend] = budget
	}
	return budget
}

// recordResponse records the time until the response of an attempt was complete or, for a stream,
// until its first event, and counts a success in the retry budget.
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

// responseTimeout returns how long an attempt may wait for the response of an engine whose latency
// is latencyRatio times that of the other engines. 0 means no timeout.
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

// tryTake takes one retry from a backend's budget, and returns false if none is left. If the retry
// mechanism is disabled, retries are not limited.
func (r *retryPolicy) tryTake(backend string) bool {
	if r.disabled.Has(scheduling.MechanismRetry) {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budgetFor(backend).TryTake()
}

// canRetry reports whether an attempt that an engine is running, or has answered with a failure, may
// be retried, apart from the retry budget. Invariant: a call that is not repeatable is never sent
// again once an engine may have run it.
func (d *Daemon) canRetry(c *call) bool {
	if d.process.Policy.Disable.Has(scheduling.MechanismRetry) || !c.route.IsRepeatable() {
		return false
	}
	if c.tenant != nil && c.tenant.HasRateLimit() {
		// A retry needs a quota grant of its own, which may be denied.
		return false
	}
	return c.attemptState.runs+1 < max(c.route.MaxAttempts, 1) && time.Now().Before(c.latestStart) &&
		d.engines.engineCount(c.backend.Name, c.requirement) > len(c.attemptState.excludedEngines)+1
}

// responseTimer bounds the wait for the response of an engine, up to the header of a stream or the
// end of a buffered response. A nil timer sets no bound.
type responseTimer struct {
	timer          *time.Timer
	attemptContext context.Context
}

// startResponseTimer starts a timer that makes an engine suspect if it does not respond within the
// usual time, and that cancels the attempt if it may be retried. The connection of the cancelled
// attempt is closed before the next attempt starts.
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

// stop ends the wait for the response.
func (t *responseTimer) stop() {
	if t != nil {
		t.timer.Stop()
	}
}

// stopAndCheck ends the wait and reports whether the timer had already cancelled the attempt.
func (t *responseTimer) stopAndCheck() bool {
	t.stop()
	return t != nil && errors.Is(context.Cause(t.attemptContext), errResponseTimeout)
}

// isEngineFailure reports whether a status indicates a fault of the engine rather than of the
// request. A 504 from an engine only means that the call's deadline has passed.
func isEngineFailure(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}
