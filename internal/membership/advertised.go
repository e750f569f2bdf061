package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastNear is how many engines of a back end in a zone the gateways of that zone are
	// told of at the least: enough that some stay when several fail at once. The fewer there
	// are, the more often a shared part of a prompt is found in an engine's memory: of 10,000
	// engines 32 in 100 tokens read were shared parts read again, 68 while each of 865 gateways
	// used 24 of its own (docs/design/0009-fleet.md). Other numbers were not measured.
	leastNear = 12
	// leastFar is how many of them the gateways of other zones are told of at the least: with
	// two to six other zones 8 to 24 engines for the one in three that a request compares
	// outside its zone.
	leastFar = 4
	// keptWithdrawals bounds the withdrawals that a fleet remembers for its followers; one that is
	// further behind is told the whole.
	keptWithdrawals = 4096
)

// Scope says what of a fleet a follower is told of besides ledger hosts and groups: no
// engines, or those advertised to the gateways of a zone.
type Scope struct {
	IncludesEngines bool
	Zone            string
}

// SubsetSize is how many engines of a back end in a zone are advertised to the gateways of
// the zone and to those of other zones.
type SubsetSize struct {
	Backend string `msgpack:"b"`
	Zone    string `msgpack:"z"`
	Local   int    `msgpack:"n"`
	Remote  int    `msgpack:"f"`
}

// poolKey names the engines of one back end in one zone.
type poolKey struct {
	backend string
	zone    string
}

// rankedEngine is an engine's place in the order of its pool.
type rankedEngine struct {
	rank uint64
	id   string
}

func (a rankedEngine) compare(b rankedEngine) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
}

// audience says to which gateways an engine is advertised.
type audience uint8

const (
	// nearAudience are the gateways of the engine's zone, farAudience those of all others.
	nearAudience audience = iota
	farAudience
	audienceCount
)

// audiences lists them all.
var audiences = [audienceCount]audience{nearAudience, farAudience}

// zonePool holds the engines of one back end in one zone that take work, in an order by
// the hash of their ids. The first of them are advertised, so that the engines advertised
// depend only on which engines there are and not on what happened before: all control
// processes agree on them, also after a snapshot.
type zonePool struct {
	ranked []rankedEngine
	sizes  [audienceCount]int
}

// advertisement holds the fleet versions at which what each audience is told of an engine
// last changed, 0 where it is not told of it.
type advertisement [audienceCount]uint64

// withdrawal is a key that an audience is told of no more. Those of ledger hosts concern
// every follower.
type withdrawal struct {
	version  uint64
	key      string
	everyone bool
	zone     string
	audience audience
}

// concerns reports whether a follower may hold the key.
func (w withdrawal) concerns(scope Scope) bool {
	return w.everyone || (scope.IncludesEngines && scope.audienceOf(w.zone) == w.audience)
}

// audienceOf returns the audience to which a follower belongs for engines of a zone.
func (s Scope) audienceOf(zone string) audience {
	if s.Zone == zone {
		return nearAudience
	}
	return farAudience
}

// advertised is what followers of a fleet are told. It follows from the replicated state,
// so that no snapshot holds it. A change costs as many steps as it has effects, however
// many engines there are, but for the shift of a sorted slice.
type advertised struct {
	pools   map[poolKey]*zonePool
	engines map[string]advertisement
	// withdrawals are the latest, oldest first.
	withdrawals []withdrawal
	// horizon is the version below which a follower is told the whole.
	horizon uint64
	// placement, far and near are the versions at which ledger hosts and groups, the engines
	// advertised to other zones and those advertised within a zone last changed.
	placement uint64
	far       uint64
	near      map[string]uint64
}

func newAdvertised() advertised {
	return advertised{pools: map[poolKey]*zonePool{}, engines: map[string]advertisement{}, near: map[string]uint64{}}
}

// pool returns the engines of a back end in a zone.
func (a *advertised) pool(key poolKey) *zonePool {
	pool := a.pools[key]
	if pool == nil {
		pool = &zonePool{sizes: [audienceCount]int{nearAudience: leastNear, farAudience: leastFar}}
		a.pools[key] = pool
	}
	return pool
}

// add takes an engine that takes work.
func (a *advertised) add(version uint64, engine ServingEngine) {
	key := poolKey{engine.Backend, engine.Zone}
	pool := a.pool(key)
	entry := rankedEngine{xxhash.Sum64String(engine.ID), engine.ID}
	position, known := slices.BinarySearchFunc(pool.ranked, entry, rankedEngine.compare)
	if known {
		return
	}
	pool.ranked = slices.Insert(pool.ranked, position, entry)
	for _, told := range audiences {
		size := pool.sizes[told]
		if position >= size {
			continue
		}
		a.enter(version, key.zone, entry.id, told)
		if len(pool.ranked) > size {
			a.leave(version, key.zone, pool.ranked[size].id, told)
		}
	}
}

// remove takes an engine out that takes no work any more.
func (a *advertised) remove(version uint64, engine ServingEngine) {
	key := poolKey{engine.Backend, engine.Zone}
	pool := a.pool(key)
	entry := rankedEngine{xxhash.Sum64String(engine.ID), engine.ID}
	position, known := slices.BinarySearchFunc(pool.ranked, entry, rankedEngine.compare)
	if !known {
		a.dropEmpty(key)
		return
	}
	pool.ranked = slices.Delete(pool.ranked, position, position+1)
	for _, told := range audiences {
		size := pool.sizes[told]
		if position >= size {
			continue
		}
		a.leave(version, key.zone, entry.id, told)
		if len(pool.ranked) >= size {
			a.enter(version, key.zone, pool.ranked[size-1].id, told)
		}
	}
	a.dropEmpty(key)
}

// dropEmpty forgets a pool without engines of which nothing is to be remembered.
func (a *advertised) dropEmpty(key poolKey) {
	pool := a.pools[key]
	if len(pool.ranked) == 0 && pool.sizes[nearAudience] == leastNear && pool.sizes[farAudience] == leastFar {
		delete(a.pools, key)
	}
}

// resize changes how many engines of a pool are advertised.
func (a *advertised) resize(version uint64, size SubsetSize) {
	key := poolKey{size.Backend, size.Zone}
	pool := a.pool(key)
	wanted := [audienceCount]int{nearAudience: max(size.Local, leastNear), farAudience: max(size.Remote, leastFar)}
	wanted[farAudience] = min(wanted[farAudience], wanted[nearAudience])
	count := len(pool.ranked)
	for _, told := range audiences {
		before, after := min(pool.sizes[told], count), min(wanted[told], count)
		for _, entry := range pool.ranked[before:max(before, after)] {
			a.enter(version, key.zone, entry.id, told)
		}
		for _, entry := range pool.ranked[after:max(before, after)] {
			a.leave(version, key.zone, entry.id, told)
		}
	}
	pool.sizes = wanted
	a.dropEmpty(key)
}

func (a *advertised) enter(version uint64, zone, id string, to audience) {
	told := a.engines[id]
	told[to] = version
	a.engines[id] = told
	a.changed(version, zone, to)
}

func (a *advertised) leave(version uint64, zone, id string, to audience) {
	told := a.engines[id]
	if told[to] == 0 {
		return
	}
	told[to] = 0
	a.engines[id] = told
	if told == (advertisement{}) {
		delete(a.engines, id)
	}
	a.withdraw(withdrawal{version: version, key: id, zone: zone, audience: to})
	a.changed(version, zone, to)
}

// changed notes that an audience has something new to hear.
func (a *advertised) changed(version uint64, zone string, to audience) {
	if to == nearAudience {
		a.near[zone] = version
		return
	}
	a.far = version
}

func (a *advertised) withdraw(gone withdrawal) {
	a.withdrawals = append(a.withdrawals, gone)
	if len(a.withdrawals) <= keptWithdrawals {
		return
	}
	dropped := len(a.withdrawals) - keptWithdrawals/2
	a.horizon = max(a.horizon, a.withdrawals[dropped-1].version)
	a.withdrawals = slices.Clone(a.withdrawals[dropped:])
}

// latest returns the version at which what a follower is told last changed.
func (a *advertised) latest(scope Scope) uint64 {
	latest := max(a.horizon, a.placement)
	if scope.IncludesEngines {
		latest = max(latest, a.far, a.near[scope.Zone])
	}
	return latest
}
