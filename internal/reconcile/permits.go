// Package reconcile brings the engines to the state that the settings tree requires (design
// section 7): NextStep compares the target of an engine's pool with the state reported by the
// engine and returns the next step, and Permits keep the number of ready engines of a pool at or
// above its floor while models are loaded.
package reconcile

// PermitLifetimeMs is how long a permit is valid unless it is renewed or returned.
const PermitLifetimeMs = 120_000

type permit struct {
	pool      string
	expiresMs int64
}

// Permits are the permits granted by the leader of the settings group. They are soft state: a new
// leader starts without any and grants none for InitialGrantDelayMs.
type Permits struct {
	leaderSinceMs int64
	granted       map[string]permit
}

// InitialGrantDelayMs is how long a new leader waits before its first grant, so that engines that
// are loading with a permit of an earlier leader report their state first.
const InitialGrantDelayMs = 2_000

// NewPermits returns the permits of a leader that was elected at nowMs.
func NewPermits(nowMs int64) *Permits {
	return &Permits{leaderSinceMs: nowMs, granted: map[string]permit{}}
}

// Limits are the limits that apply to a grant for one pool.
type Limits struct {
	// PoolSize is the number of engines in the pool, and ReadyEngines how many of them report
	// that they are ready.
	PoolSize     int
	ReadyEngines int
	// ReadyFloor is the setting ready_floor, and MaxConcurrentLoads the setting concurrent_loads,
	// which bounds the permits of all pools together.
	ReadyFloor         int
	MaxConcurrentLoads int
}

// Grant reports whether an engine may stop serving in order to load a model; a permit that the
// engine already has is renewed. A permit is granted only if the pool's ready engines minus those
// with a permit, including the new one, stay at or above the floor. A floor that would forbid every
// load counts as the pool's size minus one.
func (p *Permits) Grant(engine, pool string, limits Limits, nowMs int64) bool {
	p.removeExpired(nowMs)
	if current, ok := p.granted[engine]; ok {
		p.granted[engine] = permit{current.pool, nowMs + PermitLifetimeMs}
		return true
	}
	if nowMs-p.leaderSinceMs < InitialGrantDelayMs || len(p.granted) >= limits.MaxConcurrentLoads {
		return false
	}
	floor := max(0, min(limits.ReadyFloor, limits.PoolSize-1))
	if limits.ReadyEngines-p.countInPool(pool)-1 < floor {
		return false
	}
	p.granted[engine] = permit{pool, nowMs + PermitLifetimeMs}
	return true
}

// Release removes the permit of an engine that has given it back.
func (p *Permits) Release(engine string) {
	delete(p.granted, engine)
}

func (p *Permits) countInPool(pool string) int {
	count := 0
	for _, granted := range p.granted {
		if granted.pool == pool {
			count++
		}
	}
	return count
}

func (p *Permits) removeExpired(nowMs int64) {
	for engine, granted := range p.granted {
		if granted.expiresMs <= nowMs {
			delete(p.granted, engine)
		}
	}
}
