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
	// minLocalVersionSubset and minRemoteVersionSubset are the minimum numbers of engines of each
	// software version of a pool that are advertised, so that a gateway which continues a stream at
	// the version that began it finds an engine even if few engines run that version. They are at
	// most the minimum subset sizes, so that a pool of one version advertises no more engines.
	minLocalVersionSubset  = 4
	minRemoteVersionSubset = 2
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
	rank            uint64
	id              string
	softwareVersion string
}

func newRankedEngine(engine ServingEngine) rankedEngine {
	return rankedEngine{rank: xxhash.Sum64String(engine.ID), id: engine.ID, softwareVersion: engine.SoftwareVersion}
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

// minVersionSubsets holds the minimum number of advertised engines of a software version.
var minVersionSubsets = [audienceCount]int{localAudience: minLocalVersionSubset, remoteAudience: minRemoteVersionSubset}

// zonePool holds the engines of one backend in one zone that accept work, sorted by the hash
// of their ids. The first ones are advertised, and the first ones of each software version. The
// subset therefore depends only on the set of engines and not on the order of past changes, so that
// all control processes select the same subset, also after a restore from a snapshot.
type zonePool struct {
	ranked []rankedEngine
	// byVersion holds the engines of each software version, sorted like ranked.
	byVersion map[string][]rankedEngine
	sizes     [audienceCount]int
}

// insert adds an engine, or returns false if the pool has it already.
func (p *zonePool) insert(entry rankedEngine) bool {
	position, found := slices.BinarySearchFunc(p.ranked, entry, rankedEngine.compare)
	if found {
		return false
	}
	p.ranked = slices.Insert(p.ranked, position, entry)
	ofVersion := p.byVersion[entry.softwareVersion]
	versionPosition, _ := slices.BinarySearchFunc(ofVersion, entry, rankedEngine.compare)
	p.byVersion[entry.softwareVersion] = slices.Insert(ofVersion, versionPosition, entry)
	return true
}

// delete removes an engine, or returns false if the pool does not have it.
func (p *zonePool) delete(entry rankedEngine) bool {
	position, found := slices.BinarySearchFunc(p.ranked, entry, rankedEngine.compare)
	if !found {
		return false
	}
	p.ranked = slices.Delete(p.ranked, position, position+1)
	ofVersion := p.byVersion[entry.softwareVersion]
	versionPosition, _ := slices.BinarySearchFunc(ofVersion, entry, rankedEngine.compare)
	p.byVersion[entry.softwareVersion] = slices.Delete(ofVersion, versionPosition, versionPosition+1)
	if len(ofVersion) == 1 {
		delete(p.byVersion, entry.softwareVersion)
	}
	return true
}

// isInSubset reports whether an engine is among those advertised to an audience. Without
// coversVersions, software versions are not considered.
func (p *zonePool) isInSubset(entry rankedEngine, to audience, coversVersions bool) bool {
	position, found := slices.BinarySearchFunc(p.ranked, entry, rankedEngine.compare)
	if !found || position < p.sizes[to] {
		return found
	}
	versionPosition, _ := slices.BinarySearchFunc(p.byVersion[entry.softwareVersion], entry, rankedEngine.compare)
	return coversVersions && versionPosition < minVersionSubsets[to]
}

// lastOf returns the last of the first limit engines, as a slice that is empty if there are fewer.
func lastOf(engines []rankedEngine, limit int) []rankedEngine {
	if limit < 1 || limit > len(engines) {
		return nil
	}
	return engines[limit-1 : limit]
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
	// coversVersions is true if engines of every software version are advertised.
	coversVersions bool
}

func newAdvertisements() advertisements {
	return advertisements{pools: map[poolKey]*zonePool{}, engines: map[string]advertisedVersions{}, localVersions: map[string]uint64{}}
}

// pool returns the pool of a backend in a zone and creates it if necessary.
func (a *advertisements) pool(key poolKey) *zonePool {
	pool := a.pools[key]
	if pool == nil {
		pool = &zonePool{byVersion: map[string][]rankedEngine{}, sizes: [audienceCount]int{localAudience: minLocalSubset, remoteAudience: minRemoteSubset}}
		a.pools[key] = pool
	}
	return pool
}

// add inserts an engine that accepts work.
func (a *advertisements) add(version uint64, engine ServingEngine) {
	pool := a.pool(poolKey{engine.Backend, engine.Zone})
	entry := newRankedEngine(engine)
	if !pool.insert(entry) {
		return
	}
	for _, to := range audiences {
		a.update(version, engine.Zone, pool, entry, to)
		// The engines that follow the enlarged subset may have left it.
		for _, displaced := range pool.atLimits(entry.softwareVersion, to, 1) {
			a.update(version, engine.Zone, pool, displaced, to)
		}
	}
}

// remove deletes an engine that no longer accepts work.
func (a *advertisements) remove(version uint64, engine ServingEngine) {
	key := poolKey{engine.Backend, engine.Zone}
	pool := a.pool(key)
	entry := newRankedEngine(engine)
	if !pool.delete(entry) {
		a.deleteIfEmpty(key)
		return
	}
	for _, to := range audiences {
		a.update(version, key.zone, pool, entry, to)
		// The last engines of the subset may have entered it.
		for _, successor := range pool.atLimits(entry.softwareVersion, to, 0) {
			a.update(version, key.zone, pool, successor, to)
		}
	}
	a.deleteIfEmpty(key)
}

// atLimits returns the engines at the end of the pool's subset and of the subset of a software
// version: the last ones in them if beyond is 0, and the first ones after them if it is 1.
func (p *zonePool) atLimits(softwareVersion string, to audience, beyond int) []rankedEngine {
	return slices.Concat(lastOf(p.ranked, p.sizes[to]+beyond), lastOf(p.byVersion[softwareVersion], minVersionSubsets[to]+beyond))
}

// update advertises or withdraws an engine if it has entered or left the subset of an audience.
func (a *advertisements) update(version uint64, zone string, pool *zonePool, entry rankedEngine, to audience) {
	isAdvertised := a.engines[entry.id][to] != 0
	switch isInSubset := pool.isInSubset(entry, to, a.coversVersions); {
	case isInSubset && !isAdvertised:
		a.advertise(version, zone, entry.id, to)
	case !isInSubset && isAdvertised:
		a.withdraw(version, zone, entry.id, to)
	}
}

// coverVersions advertises engines of every software version from now on.
func (a *advertisements) coverVersions(version uint64) {
	if a.coversVersions {
		return
	}
	a.coversVersions = true
	for key, pool := range a.pools {
		for _, ofVersion := range pool.byVersion {
			for _, to := range audiences {
				for _, entry := range ofVersion[:min(minVersionSubsets[to], len(ofVersion))] {
					a.update(version, key.zone, pool, entry, to)
				}
			}
		}
	}
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
	before := pool.sizes
	pool.sizes = wanted
	for _, to := range audiences {
		first, last := min(before[to], wanted[to], len(pool.ranked)), min(max(before[to], wanted[to]), len(pool.ranked))
		for _, entry := range pool.ranked[first:last] {
			a.update(version, key.zone, pool, entry, to)
		}
	}
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
