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
	errSilent = errors.New("the engine was silent for longer than its like")
	errFailed = errors.New("the engine answered with a failure")
)

// retries decide, over all calls of this gateway, how long a try may be silent and whether
// there may be a second one.
type retries struct {
	mutex    sync.Mutex
	settings retry.Settings
	disabled scheduling.DisabledMechanisms
	kinds    retry.LatencyHistograms
	budgets  map[string]*retry.Budget
}

func newRetries(settings retry.Settings, disabled scheduling.DisabledMechanisms) *retries {
	return &retries{settings: settings, disabled: disabled, budgets: map[string]*retry.Budget{}}
}

// budget returns a back end's; the caller holds the mutex.
func (r *retries) budget(backend string) *retry.Budget {
	budget, known := r.budgets[backend]
	if !known {
		budget = retry.NewBudget(r.settings)
		r.budgets[backend] = budget
	}
	return budget
}

// answered notes how long a try took to be answered or, for a stream, to begin to be.
func (r *retries) answered(c *call, nowMs int64, tookMs float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kinds.ForKind(c.route.Name).Record(nowMs, tookMs)
	r.budget(c.backend.Name).RecordSuccess()
}

func (r *retries) timedOut(c *call, nowMs int64, bound time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kinds.ForKind(c.route.Name).RecordTimeout(nowMs, milliseconds(bound))
}

// bound is how long a try of a call may be silent at an engine that takes factor times as long
// as others, 0 for as long as it likes.
func (r *retries) bound(c *call, nowMs int64, factor float64) time.Duration {
	if r.disabled.Has(scheduling.MechanismRetry) {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	boundMs, known := r.kinds.ForKind(c.route.Name).TimeoutMs(nowMs)
	if !known {
		return 0
	}
	return time.Duration(boundMs * max(factor, 1) * float64(time.Millisecond))
}

// take takes one second try of a back end's budget.
func (r *retries) take(backend string) bool {
	if r.disabled.Has(scheduling.MechanismRetry) {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget(backend).TryTake()
}

// mayTryAgain reports whether a try that an engine is at work on, or has answered with a
// failure, may be followed by another one, the budget aside. Invariant: a call that is not
// repeatable is never sent again once an engine may have run it.
func (d *Daemon) mayTryAgain(c *call) bool {
	if d.process.Policy.Disable.Has(scheduling.MechanismRetry) || !c.route.IsRepeatable() {
		return false
	}
	if c.tenant != nil && c.tenant.HasRateLimit() {
		// A further run needs a grant of its own, and might be denied it.
		return false
	}
	return c.tries.runs+1 < max(c.route.MaxAttempts, 1) && time.Now().Before(c.latest) &&
		d.engines.count(c.backend.Name) > len(c.tries.avoid)+1
}

// watch waits for the first word of an engine.
type watch struct {
	timer *time.Timer
	try   context.Context
}

// watch passes an engine over that is silent for longer than a try usually takes, and ends the
// try where there may be another one: its connection is closed before the next is made.
func (d *Daemon) watch(try context.Context, c *call, cancel context.CancelCauseFunc) *watch {
	nowMs := clock.NowMs()
	bound := d.retries.bound(c, nowMs, d.engines.factor(c.engine, nowMs))
	if bound <= 0 || bound >= c.timeLeft() {
		return nil
	}
	engine := c.engine
	again := d.mayTryAgain(c)
	timer := time.AfterFunc(bound, func() {
		nowMs := clock.NowMs()
		d.engines.silent(engine, nowMs)
		d.retries.timedOut(c, nowMs, bound)
		if again && time.Now().Before(c.latest) && d.retries.take(c.backend.Name) {
			cancel(errSilent)
		}
	})
	return &watch{timer: timer, try: try}
}

// heard ends the wait for the first word.
func (w *watch) heard() {
	if w != nil {
		w.timer.Stop()
	}
}

// ended ends the wait, and reports whether the try was ended for its silence before.
func (w *watch) ended() bool {
	w.heard()
	return w != nil && errors.Is(context.Cause(w.try), errSilent)
}

// isFailure reports whether a status says that the engine, and not the request, is at fault.
// Its 504 says only that the time was over.
func isFailure(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}
