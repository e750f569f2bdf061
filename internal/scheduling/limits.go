package scheduling

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/ochrebay/ochrebay/internal/result"
)

// msDuration converts milliseconds to a duration.
func msDuration(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// queueDrainMs estimates how long the pool needs for the calls that wait now, in milliseconds.
func (c *CellScheduler) queueDrainMs(pool string) int64 {
	var total int64
	for _, call := range c.Waiting {
		if call.Pool == pool {
			total += c.serviceMicros(call)
		}
	}
	return total / 1000 / int64(max(1, c.openSlots(pool)))
}

// queueAheadMs estimates how long the calls ahead of a new call take, in milliseconds.
func (c *CellScheduler) queueAheadMs(call *Call, nowMs int64) int64 {
	var total int64
	ownPriority := c.effectivePriority(call, nowMs)
	for _, other := range c.Waiting {
		if other.Pool == call.Pool && c.effectivePriority(other, nowMs) <= ownPriority {
			total += c.serviceMicros(other)
		}
	}
	return total / 1000 / int64(max(1, c.openSlots(call.Pool)))
}

// openSlots returns the number of slots of the pool's engines that accept new calls.
func (c *CellScheduler) openSlots(pool string) int {
	slots := 0
	for _, engine := range c.Engines {
		if engine.Pool == pool && engine.Ready && !engine.Closed {
			slots += engine.Slots
		}
	}
	return slots
}

// serviceMicros estimates the time of a call on the pool's first ready engine with a full batch, in
// microseconds.
func (c *CellScheduler) serviceMicros(call *Call) int64 {
	for _, engine := range c.Engines {
		if engine.Pool == call.Pool && engine.Ready {
			step := engine.StepMicros + int64(engine.Slots)*engine.StepMicrosPerSequence
			return call.OutputTokens*step + call.PromptTokens*1_000_000/max(1, engine.PrefillTokensPerSecond)
		}
	}
	return 0
}

// TenantLimits are a tenant's limits for the whole fleet; zero means no limit.
type TenantLimits struct {
	MaxInFlight     int64
	TokensPerSecond int64
}

type tenantState struct {
	inFlight        int64
	limiter         *rate.Limiter
	tokensPerSecond int64
}

// TenantLimiter enforces the limits of tenants at one scheduler. Each of n schedulers allows 1/n of
// a limit, but at least one call or token per second. A limit of at least n therefore holds over
// all schedulers without messages between them.
type TenantLimiter struct {
	states map[string]*tenantState
}

// NewTenantLimiter returns a limiter without calls.
func NewTenantLimiter() *TenantLimiter {
	return &TenantLimiter{states: map[string]*tenantState{}}
}

// Acquire counts a call of a tenant or refuses it. schedulers is the number of schedulers. Calls of
// tenants without a limit are also counted, since a limit may be set while they run.
func (t *TenantLimiter) Acquire(tenant string, limits TenantLimits, tokens int64, schedulers int, nowMs int64) *result.Error {
	state, ok := t.states[tenant]
	if !ok {
		state = &tenantState{}
		t.states[tenant] = state
	}
	schedulerShare := func(limit int64) int64 { return max(1, limit/int64(max(1, schedulers))) }
	if limits.MaxInFlight > 0 && state.inFlight >= schedulerShare(limits.MaxInFlight) {
		return result.New(result.TenantLimit, "tenant %q has %d calls in flight at this scheduler", tenant, state.inFlight)
	}
	if limits.TokensPerSecond > 0 {
		perSecond := schedulerShare(limits.TokensPerSecond)
		if state.limiter == nil || state.tokensPerSecond != perSecond {
			state.tokensPerSecond = perSecond
			state.limiter = rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
		}
		now := time.UnixMilli(nowMs)
		// A call with more tokens than the rate allows in one second is charged for one second.
		charged := min(tokens, perSecond)
		if !state.limiter.AllowN(now, int(charged)) {
			deficit := float64(charged) - state.limiter.TokensAt(now)
			wait := time.Duration(deficit / float64(perSecond) * float64(time.Second))
			return result.New(result.TenantLimit, "tenant %q exceeds %d tokens per second", tenant, limits.TokensPerSecond).
				WithRetryAfter(max(wait, time.Millisecond))
		}
	}
	state.inFlight++
	return nil
}

// Release counts the end of a call that Acquire allowed.
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
