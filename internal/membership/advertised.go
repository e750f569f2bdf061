package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minLocalSubset is the minimum number of engines of a backend in a zone that are advertised
	// to the gateways of that zone. It is large enough that some engines remain when several
	// fail at once. The smaller the subset, the more often an engine has a shared prompt prefix
	// in its cache: with a fleet of 10,000 engines, 32 of 100 prefilled tokens belonged to shared
	// prefixes that were computed again. With 865 gateways that each used 24 engines of their
	// own, it was 68 of 100 (docs/design/0009-fleet.md).
	minLocalSubset = 12
	// minRemoteSubset is the minimum number of engines of a backend in a zone that are
	// advertised to the gateways of other zones. A request takes a third of its candidates from
	// other zones. With two to six other zones, these are 8 to 24 engines.
	minRemoteSubset = 4
	// maxWithdrawals bounds the withdrawals that a fleet retains for its followers. A follower
	// that lags further behind receives the full state.
	maxWithdrawals = 4096
)

// Scope selects the part of a fleet that a follower receives in addition to the ledger hosts
// and groups: no engines, or the engines advertised to the gateways of a zone.
type Scope struct {
	IncludesEngines bool
	Zone            string
}

// SubsetSize is the number of engines of a backend in a zone that are advertised to the
// gateways of the zone (Local) and to the gateways of other zones (Remote).
type SubsetSize struct {
	Backend string `msgpack:"b"`
	Zone    string `msgpack:"z"`
	Local   int    `msgpack:"n"`
	Remote  int    `msgpack:"f"`
}

// poolKey identifies the engines of one backend in one zone.
type poolKey struct {
	backend string
	zone    string
}

// rankedEngine is an engine with its rank, by which its pool is sorted.
type rankedEngine struct {
	rank uint64
	id   string
}

func (a rankedEngine) compare(b rankedEngine) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
}

// audience distinguishes the groups of gateways to which an engine is advertised.
type audience uint8

const (
	// localAudience is the gateways in the engine's zone, remoteAudience those in all other
	// zones.
	localAudience audience = iota
	remoteAudience
	audienceCount
)

// audiences lists every audience.
var audiences = [audienceCount]audience{localAudience, remoteAudience}

// zonePool holds the engines of one backend in one zone that accept work, sorted by the hash
// of their ids. The first ones are advertised. The subset therefore depends only on the set of
// engines and not on the order of past changes, so that all control processes select the same
// subset, also after a restore from a snapshot.
type zonePool struct {
	ranked []rankedEngine
	sizes  [audienceCount]int
}

// advertisedVersions holds, for each audience, the fleet version at which the engine's
// advertisement last changed, or 0 if the engine is not advertised to that audience.
type advertisedVersions [audienceCount]uint64

// withdrawal is a key that is no longer advertised to an audience. The withdrawal of a ledger
// host applies to all followers.
type withdrawal struct {
	version      uint64
	key          string
	allFollowers bool
	zone         string
	audience     audience
}

// appliesTo reports whether a follower with this scope may hold the key.
func (w withdrawal) appliesTo(scope Scope) bool {
	return w.allFollowers || (scope.IncludesEngines && scope.audienceOf(w.zone) == w.audience)
}

// audienceOf returns the audience to which a follower belongs for the engines of a zone.
func (s Scope) audienceOf(zone string) audience {
	if s.Zone == zone {
		return localAudience
	}
	return remoteAudience
}

// advertisements is the state sent to the followers of a fleet. It is derived from the
// replicated state and therefore not part of a snapshot. The cost of a change is proportional
// to the number of engines that it advertises or withdraws and independent of the number of
// engines in the fleet, except that an insertion or deletion in a sorted slice moves the elements
// behind it.
type advertisements struct {
	pools   map[poolKey]*zonePool
	engines map[string]advertisedVersions
	// withdrawals holds the latest withdrawals, oldest first.
	withdrawals []withdrawal
	// minDeltaVersion is the version below which a follower receives the full state.
	minDeltaVersion uint64
	// placementVersion, remoteVersion and localVersions are the versions at which the ledger
	// hosts and groups, the engines advertised to other zones, and the engines advertised
	// within each zone last changed.
	placementVersion uint64
	remoteVersion    uint64
	localVersions    map[string]uint64
}

func newAdvertisements() advertisements {
	return advertisements{pools: map[poolKey]*zonePool{}, engines: map[string]advertisedVersions{}, localVersions: map[string]uint64{}}
}

// pool returns the pool of a backend in a zone and creates it if necessary.
func (a *advertisements) pool(key poolKey) *zonePool {
	pool := a.pools[key]
	if pool == nil {
		pool = &zonePool{sizes: [audienceCount]int{localAudience: minLocalSubset, remoteAudience: minRemoteSubset}}
		a.pools[key] = pool
	}
	return pool
}

// add inserts an engine that accepts work.
func (a *advertisements) add(version uint64, engine ServingEngine) {
	key := poolKey{engine.Backend, engine.Zone}
	pool := a.pool(key)
	entry := rankedEngine{xxhash.Sum64String(engine.ID), engine.ID}
	position, found := slices.BinarySearchFunc(pool.ranked, entry, rankedEngine.compare)
	if found {
		return
	}
	pool.ranked = slices.Insert(pool.ranked, position, entry)
	for _, to := range audiences {
		size := pool.sizes[to]
		if position >= size {
			continue
		}
		a.advertise(version, key.zone, entry.id, to)
		if len(pool.ranked) > size {
			a.withdraw(version, key.zone, pool.ranked[size].id, to)
		}
	}
}

// remove deletes an engine that no longer accepts work.
func (a *advertisements) remove(version uint64, engine ServingEngine) {
	key := poolKey{engine.Backend, engine.Zone}
	pool := a.pool(key)
	entry := rankedEngine{xxhash.Sum64String(engine.ID), engine.ID}
	position, found := slices.BinarySearchFunc(pool.ranked, entry, rankedEngine.compare)
	if !found {
		a.deleteIfEmpty(key)
		return
	}
	pool.ranked = slices.Delete(pool.ranked, position, position+1)
	for _, to := range audiences {
		size := pool.sizes[to]
		if position >= size {
			continue
		}
		a.withdraw(version, key.zone, entry.id, to)
		if len(pool.ranked) >= size {
			a.advertise(version, key.zone, pool.ranked[size-1].id, to)
		}
	}
	a.deleteIfEmpty(key)
}

// deleteIfEmpty deletes a pool that has no engines and only the minimum subset sizes.
func (a *advertisements) deleteIfEmpty(key poolKey) {
	pool := a.pools[key]
	if len(pool.ranked) == 0 && pool.sizes[localAudience] == minLocalSubset && pool.sizes[remoteAudience] == minRemoteSubset {
		delete(a.pools, key)
	}
}

// resize changes the number of engines of a pool that are advertised.
func (a *advertisements) resize(version uint64, size SubsetSize) {
	key := poolKey{size.Backend, size.Zone}
	pool := a.pool(key)
	wanted := [audienceCount]int{localAudience: max(size.Local, minLocalSubset), remoteAudience: max(size.Remote, minRemoteSubset)}
	wanted[remoteAudience] = min(wanted[remoteAudience], wanted[localAudience])
	count := len(pool.ranked)
	for _, to := range audiences {
		before, after := min(pool.sizes[to], count), min(wanted[to], count)
		for _, entry := range pool.ranked[before:max(before, after)] {
			a.advertise(version, key.zone, entry.id, to)
		}
		for _, entry := range pool.ranked[after:max(before, after)] {
			a.withdraw(version, key.zone, entry.id, to)
		}
	}
	pool.sizes = wanted
	a.deleteIfEmpty(key)
}

func (a *advertisements) advertise(version uint64, zone, id string, to audience) {
	versions := a.engines[id]
	versions[to] = version
	a.engines[id] = versions
	a.recordChange(version, zone, to)
}

func (a *advertisements) withdraw(version uint64, zone, id string, to audience) {
	versions := a.engines[id]
	if versions[to] == 0 {
		return
	}
	versions[to] = 0
	a.engines[id] = versions
	if versions == (advertisedVersions{}) {
		delete(a.engines, id)
	}
	a.recordWithdrawal(withdrawal{version: version, key: id, zone: zone, audience: to})
	a.recordChange(version, zone, to)
}

// recordChange records the version of a change that affects an audience.
func (a *advertisements) recordChange(version uint64, zone string, to audience) {
	if to == localAudience {
		a.localVersions[zone] = version
		return
	}
	a.remoteVersion = version
}

func (a *advertisements) recordWithdrawal(added withdrawal) {
	a.withdrawals = append(a.withdrawals, added)
	if len(a.withdrawals) <= maxWithdrawals {
		return
	}
	dropped := len(a.withdrawals) - maxWithdrawals/2
	a.minDeltaVersion = max(a.minDeltaVersion, a.withdrawals[dropped-1].version)
	a.withdrawals = slices.Clone(a.withdrawals[dropped:])
}

// latestVersion returns the version at which the state sent to a follower last changed.
func (a *advertisements) latestVersion(scope Scope) uint64 {
	latest := max(a.minDeltaVersion, a.placementVersion)
	if scope.IncludesEngines {
		latest = max(latest, a.remoteVersion, a.localVersions[scope.Zone])
	}
	return latest
}
