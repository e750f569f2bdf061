// Package reconcile brings engines into line with the settings tree (design
// section 7): a pure planner compares what a pool asks for with what its engines
// report and returns fenced orders, and Permits keep a pool above its floor of
// ready engines while loads go on.
package reconcile

// PermitLifetimeMs is how long a permit lasts unless it is renewed or given back.
const PermitLifetimeMs = 120_000

type permit struct {
	pool    string
	untilMs int64
}

// Permits are held by the leader of the settings group; they are soft state. A
// new leader starts with none and grants none for PermitHoldMs.
type Permits struct {
	startMs int64
	granted map[string]permit
}

// InitialGrantDelayMs is how long a new leader waits before its first grant, so that
// engines which load under an earlier leader's permits report themselves first.
const InitialGrantDelayMs = 2_000

// NewPermits returns the permits of a leader that began to lead at nowMs.
func NewPermits(nowMs int64) *Permits {
	return &Permits{startMs: nowMs, granted: map[string]permit{}}
}

// Limits bound the grants for one pool.
type Limits struct {
	// PoolSize is the pool's size, and Ready how many of them report ready.
	PoolSize     int
	ReadyEngines int
	// ReadyFloor is the setting ready_floor, and Concurrent concurrent_loads.
	ReadyFloor         int
	MaxConcurrentLoads int
}

// Grant decides whether an engine may stop serving to load. Invariant: the
// pool's ready engines less those with a permit stay at or above the floor; a
// floor that would forbid every load is taken as one below the pool's size.
func (p *Permits) Grant(engine, pool string, limits Limits, nowMs int64) bool {
	p.expire(nowMs)
	if current, ok := p.granted[engine]; ok {
		p.granted[engine] = permit{current.pool, nowMs + PermitLifetimeMs}
		return true
	}
	if nowMs-p.startMs < InitialGrantDelayMs || len(p.granted) >= limits.MaxConcurrentLoads {
		return false
	}
	floor := max(0, min(limits.ReadyFloor, limits.PoolSize-1))
	if limits.ReadyEngines-p.inPool(pool)-1 < floor {
		return false
	}
	p.granted[engine] = permit{pool, nowMs + PermitLifetimeMs}
	return true
}

// Release gives a permit back.
func (p *Permits) Release(engine string) {
	delete(p.granted, engine)
}

func (p *Permits) inPool(pool string) int {
	count := 0
	for _, held := range p.granted {
		if held.pool == pool {
			count++
		}
	}
	return count
}

func (p *Permits) expire(nowMs int64) {
	for engine, held := range p.granted {
		if held.untilMs <= nowMs {
			delete(p.granted, engine)
		}
	}
}
