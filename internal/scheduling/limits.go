package scheduling

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/ochrebay/ochrebay/internal/result"
)

func msDuration(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// drainMs estimates how long the pool needs for the calls that wait now.
func (c *CellScheduler) drainMs(pool string) int64 {
	var total int64
	for _, call := range c.Waiting {
		if call.Pool == pool {
			total += c.costMicros(call)
		}
	}
	return total / 1000 / int64(max(1, c.slots(pool)))
}

// aheadMs estimates how long the calls take that would go before this one.
func (c *CellScheduler) aheadMs(call *Call, nowMs int64) int64 {
	var total int64
	own := c.effectiveRank(call, nowMs)
	for _, other := range c.Waiting {
		if other.Pool == call.Pool && c.effectiveRank(other, nowMs) <= own {
			total += c.costMicros(other)
		}
	}
	return total / 1000 / int64(max(1, c.slots(call.Pool)))
}

func (c *CellScheduler) slots(pool string) int {
	slots := 0
	for _, engine := range c.Engines {
		if engine.Pool == pool && engine.Ready && !engine.Closed {
			slots += engine.Slots
		}
	}
	return slots
}

// costMicros is the time a call takes on the pool's first engine in a full batch.
func (c *CellScheduler) costMicros(call *Call) int64 {
	for _, engine := range c.Engines {
		if engine.Pool == call.Pool && engine.Ready {
			step := engine.StepMicros + int64(engine.Slots)*engine.StepMicrosPerSequence
			return call.OutputTokens*step + call.PromptTokens*1_000_000/max(1, engine.PrefillTokensPerSecond)
		}
	}
	return 0
}

// TenantLimits are a tenant's limits for the whole fleet; zero is no limit.
type TenantLimits struct {
	MaxInFlight     int64
	TokensPerSecond int64
}

type tenantState struct {
	inFlight int64
	limiter  *rate.Limiter
	perSec   int64
}

// TenantLimiter counts what tenants use at one scheduler. Each of n schedulers allows
// its n-th part of a limit, at least one call, so that the sum holds without a
// message between schedulers.
type TenantLimiter struct {
	states map[string]*tenantState
}

// NewTenantLimiter returns counts of zero.
func NewTenantLimiter() *TenantLimiter {
	return &TenantLimiter{states: map[string]*tenantState{}}
}

// Acquire counts a call of a tenant, or refuses it. Calls without a limit count as
// well, since a limit may be set while they run.
func (t *TenantLimiter) Acquire(tenant string, limits TenantLimits, tokens int64, schedulers int, nowMs int64) *result.Error {
	state, ok := t.states[tenant]
	if !ok {
		state = &tenantState{}
		t.states[tenant] = state
	}
	share := func(limit int64) int64 { return max(1, limit/int64(max(1, schedulers))) }
	if limits.MaxInFlight > 0 && state.inFlight >= share(limits.MaxInFlight) {
		return result.New(result.TenantLimit, "tenant %q has %d calls in flight here", tenant, state.inFlight)
	}
	if limits.TokensPerSecond > 0 {
		perSecond := share(limits.TokensPerSecond)
		if state.limiter == nil || state.perSec != perSecond {
			state.perSec = perSecond
			state.limiter = rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
		}
		at := time.UnixMilli(nowMs)
		// A call of more than a second's tokens takes a whole second's.
		wanted := min(tokens, perSecond)
		if !state.limiter.AllowN(at, int(wanted)) {
			missing := float64(wanted) - state.limiter.TokensAt(at)
			wait := time.Duration(missing / float64(perSecond) * float64(time.Second))
			return result.New(result.TenantLimit, "tenant %q is over %d tokens a second", tenant, limits.TokensPerSecond).
				WithRetryAfter(max(wait, time.Millisecond))
		}
	}
	state.inFlight++
	return nil
}

// Release counts the end of a call that Take allowed.
func (t *TenantLimiter) Release(tenant string) {
	state, ok := t.states[tenant]
	if !ok {
		return
	}
	state.inFlight = max(0, state.inFlight-1)
	if state.inFlight == 0 && state.limiter == nil {
		delete(t.states, tenant)
	}
}
