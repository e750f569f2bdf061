package membership

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ochrebay/ochrebay/internal/consensus"
)

// maxLeftEngines bounds the number of engines that have left whose ids a fleet retains. Beyond it,
// the older half is discarded.
const maxLeftEngines = 4096

// ServingEngine is one incarnation of an engine that registered itself.
type ServingEngine struct {
	// ID usually changes at every start of the engine.
	ID      string `msgpack:"i" json:"id"`
	Backend string `msgpack:"b" json:"backend"`
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	// SoftwareVersion is the build that the engine runs, not the version of its weights; empty if
	// the engine does not report it.
	SoftwareVersion string `msgpack:"g,omitempty" json:"generation,omitempty"`
	Slots           int    `msgpack:"s" json:"slots"`
	// Draining engines receive no new work.
	Draining bool `msgpack:"d,omitempty" json:"draining,omitempty"`
	// Sequence orders the reports of one incarnation.
	Sequence uint64 `msgpack:"q" json:"sequence"`
	// StartedMs distinguishes and orders the incarnations of an id. It is the time at which
	// the engine started by its own clock, in Unix milliseconds, or 0 if the engine does not
	// report it.
	StartedMs int64 `msgpack:"n,omitempty" json:"born,omitempty"`
}

// Gateway is one process that accepts callers' requests.
type Gateway struct {
	Name string `msgpack:"n" json:"name"`
	Zone string `msgpack:"z" json:"zone"`
	// Region is the region of the zone.
	Region string `msgpack:"r,omitempty" json:"region,omitempty"`
	// Address is the address at which callers reach the gateway.
	Address string `msgpack:"a" json:"address"`
	// IsReady gateways are returned to callers that look up gateways.
	IsReady bool `msgpack:"e" json:"ready"`
	// Capacity is the share of a processor core that the gateway may use, or 0 if the gateway
	// does not report it.
	Capacity float64 `msgpack:"c,omitempty" json:"capacity,omitempty"`
	// OverloadLevel is the gateway's level of overload. Each level halves the share of callers
	// that it receives.
	OverloadLevel uint8 `msgpack:"b,omitempty" json:"busy,omitempty"`
}

// capacityFactor returns the fraction of the gateway's capacity that counts when callers are
// distributed.
func (g Gateway) capacityFactor() float64 {
	return 1 / float64(uint64(1)<<min(g.OverloadLevel, maxOverloadLevel))
}

// maxOverloadLevel bounds the reduction for an overloaded gateway at one eighth of its
// capacity.
const maxOverloadLevel = 3

// LedgerHost is one process that may hold ledger replicas.
type LedgerHost struct {
	// Member is the host's internal address, which identifies it in the configurations of the
	// groups.
	Member string `msgpack:"m" json:"member"`
	Name   string `msgpack:"n" json:"name"`
	Zone   string `msgpack:"z" json:"zone"`
	// Replica is the identity of the host's disk.
	Replica  consensus.ReplicaID `msgpack:"r" json:"replica"`
	Retiring bool                `msgpack:"t,omitempty" json:"retiring,omitempty"`
}

// Placement lists the ledger hosts on which the replicas of a group are placed.
type Placement struct {
	Group   uint32   `msgpack:"g" json:"group"`
	Members []string `msgpack:"m" json:"members"`
	// Initial is the configuration with which the group is bootstrapped.
	Initial consensus.Configuration `msgpack:"i" json:"initial"`
}

// FleetUpdate is one command that changes a fleet. It is applied atomically.
type FleetUpdate struct {
	PutEngines []ServingEngine `msgpack:"e,omitempty"`
	// LeftEngines announced their shutdown. The incarnation that left never returns.
	LeftEngines []string `msgpack:"l,omitempty"`
	// EndedIncarnations are incarnations that have ended, including those of LeftEngines.
	EndedIncarnations []Incarnation `msgpack:"b,omitempty"`
	// LostEngines timed out. They may return.
	LostEngines    []string     `msgpack:"o,omitempty"`
	PutGateways    []Gateway    `msgpack:"g,omitempty"`
	RemoveGateways []string     `msgpack:"h,omitempty"`
	PutLedgers     []LedgerHost `msgpack:"d,omitempty"`
	RemoveLedgers  []string     `msgpack:"c,omitempty"`
	PutGroups      []Placement  `msgpack:"p,omitempty"`
	// PutSubsetSizes changes the number of engines that are advertised.
	PutSubsetSizes []SubsetSize `msgpack:"z,omitempty"`
	// CoverVersions advertises engines of every software version of a pool from now on. Replicas of
	// releases without it would advertise other engines.
	CoverVersions bool `msgpack:"y,omitempty"`
}

// IsEmpty reports whether the update contains no changes. EndedIncarnations alone do not count:
// they accompany LeftEngines or LostEngines.
func (u *FleetUpdate) IsEmpty() bool {
	return len(u.PutEngines)+len(u.LeftEngines)+len(u.LostEngines)+len(u.PutGateways)+len(u.RemoveGateways)+
		len(u.PutLedgers)+len(u.RemoveLedgers)+len(u.PutGroups)+len(u.PutSubsetSizes) == 0 && !u.CoverVersions
}

// versioned is an entry with the fleet version of its last change.
type versioned[T any] struct {
	Version uint64 `msgpack:"v"`
	Value   T      `msgpack:"x"`
}

// fleetState is the content of a snapshot.
type fleetState struct {
	Version  uint64                              `msgpack:"v"`
	Engines  map[string]versioned[ServingEngine] `msgpack:"e"`
	Gateways map[string]versioned[Gateway]       `msgpack:"g"`
	Ledgers  map[string]versioned[LedgerHost]    `msgpack:"l"`
	Groups   map[uint32]versioned[Placement]     `msgpack:"p"`
	// LeftEngines holds the ids of engines that left.
	LeftEngines []string `msgpack:"f"`
	// EndedIncarnations holds the latest ended incarnation of each id whose engine reports its
	// start time, oldest entry first.
	EndedIncarnations []Incarnation `msgpack:"b,omitempty"`
	// Superseded holds the ids of engines that ended without a leave message and whose
	// addresses other engines have since taken, oldest first.
	Superseded []string `msgpack:"u,omitempty"`
	// SubsetSizes holds the sizes of the pools with a local or remote subset larger than the
	// minimum.
	SubsetSizes []SubsetSize `msgpack:"z,omitempty"`
	// CoversVersions is true if engines of every software version are advertised.
	CoversVersions bool `msgpack:"y,omitempty"`
}

// Fleet is the replicated list of engines that registered themselves, of gateways and of
// ledger hosts, together with the placement of the ledger groups.
type Fleet struct {
	state fleetState
	left  map[string]bool
	// ended maps ids to the start times of their latest ended incarnations.
	// incarnationVersions maps ids to the versions at which another incarnation last took over
	// the id.
	ended               map[string]int64
	incarnationVersions map[string]uint64
	// advertisements is the state sent to followers.
	advertisements advertisements
	// engineByAddress maps addresses to engine ids.
	engineByAddress map[string]string
	// gatewaysVersion is the version at which the gateways last changed.
	gatewaysVersion uint64
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{left: map[string]bool{}, ended: map[string]int64{}, incarnationVersions: map[string]uint64{}, advertisements: newAdvertisements(), engineByAddress: map[string]string{}, state: fleetState{
		Engines: map[string]versioned[ServingEngine]{}, Gateways: map[string]versioned[Gateway]{},
		Ledgers: map[string]versioned[LedgerHost]{}, Groups: map[uint32]versioned[Placement]{},
	}}
}

// Version returns the version of the fleet, which increases with every update.
func (f *Fleet) Version() uint64 { return f.state.Version }

// GatewaysVersion returns the version at which the gateways last changed.
func (f *Fleet) GatewaysVersion() uint64 { return f.gatewaysVersion }

// Apply applies an update.
func (f *Fleet) Apply(update FleetUpdate) {
	f.state.Version++
	f.applyEngines(update)
	f.applyGateways(update)
	f.applyLedgers(update)
	for _, size := range update.PutSubsetSizes {
		f.putSubsetSize(size)
	}
	if update.CoverVersions {
		f.state.CoversVersions = true
		f.advertisements.coverVersions(f.state.Version)
	}
}

// CoversVersions reports whether engines of every software version are advertised.
func (f *Fleet) CoversVersions() bool { return f.state.CoversVersions }

func (f *Fleet) applyEngines(update FleetUpdate) {
	for _, ended := range update.EndedIncarnations {
		f.recordEnded(ended)
	}
	for _, engine := range update.PutEngines {
		f.putEngine(engine)
	}
	for _, id := range update.LeftEngines {
		if current, ok := f.state.Engines[id]; ok && f.survivesLeave(current.Value) {
			continue
		}
		f.markLeft(id)
		f.removeEngine(id)
	}
	for _, id := range update.LostEngines {
		f.removeEngine(id)
	}
}

// applyGateways changes the gateways. Followers do not receive gateways, so these changes
// produce no deltas.
func (f *Fleet) applyGateways(update FleetUpdate) {
	for _, gateway := range update.PutGateways {
		f.state.Gateways[gateway.Name] = versioned[Gateway]{f.state.Version, gateway}
		f.gatewaysVersion = f.state.Version
	}
	for _, name := range update.RemoveGateways {
		delete(f.state.Gateways, name)
		f.gatewaysVersion = f.state.Version
	}
}

func (f *Fleet) applyLedgers(update FleetUpdate) {
	version := f.state.Version
	for _, host := range update.PutLedgers {
		f.state.Ledgers[host.Member] = versioned[LedgerHost]{version, host}
		f.advertisements.placementVersion = version
	}
	for _, member := range update.RemoveLedgers {
		if _, known := f.state.Ledgers[member]; known {
			delete(f.state.Ledgers, member)
			f.advertisements.recordWithdrawal(withdrawal{version: version, key: member, allFollowers: true})
			f.advertisements.placementVersion = version
		}
	}
	for _, placement := range update.PutGroups {
		f.state.Groups[placement.Group] = versioned[Placement]{version, placement}
		f.advertisements.placementVersion = version
	}
}

// putSubsetSize changes the number of engines of a pool that are advertised.
func (f *Fleet) putSubsetSize(size SubsetSize) {
	f.state.SubsetSizes = slices.DeleteFunc(f.state.SubsetSizes, func(other SubsetSize) bool {
		return other.Backend == size.Backend && other.Zone == size.Zone
	})
	if size.Local > minLocalSubset || size.Remote > minRemoteSubset {
		f.state.SubsetSizes = append(f.state.SubsetSizes, size)
	}
	f.advertisements.resize(f.state.Version, size)
}

// putEngine applies a report. Invariant: an older report never reverts a newer one, and an
// incarnation that has left or has been replaced by a later one does not return.
func (f *Fleet) putEngine(engine ServingEngine) {
	if f.IsOutdated(engine) {
		return
	}
	current, ok := f.state.Engines[engine.ID]
	f.recordIncarnation(engine)
	f.claimAddress(engine)
	if ok && current.Value.withoutSequence() != engine.withoutSequence() {
		f.advertisements.remove(f.state.Version, current.Value)
	}
	f.state.Engines[engine.ID] = versioned[ServingEngine]{f.state.Version, engine}
	if !engine.Draining && current.Value.withoutSequence() != engine.withoutSequence() {
		f.advertisements.add(f.state.Version, engine)
	}
}

// withoutSequence returns the engine without its report sequence number, for comparing the
// state that matters to senders of requests.
func (e ServingEngine) withoutSequence() ServingEngine {
	e.Sequence = 0
	return e
}

func (f *Fleet) removeEngine(id string) {
	if current, ok := f.state.Engines[id]; ok {
		delete(f.state.Engines, id)
		if f.engineByAddress[current.Value.Address] == id {
			delete(f.engineByAddress, current.Value.Address)
		}
		delete(f.incarnationVersions, id)
		f.advertisements.remove(f.state.Version, current.Value)
	}
}

func (f *Fleet) markLeft(id string) {
	if f.left[id] {
		return
	}
	f.left[id] = true
	f.state.LeftEngines = append(f.state.LeftEngines, id)
	if len(f.state.LeftEngines) > maxLeftEngines {
		for _, oldest := range f.state.LeftEngines[:maxLeftEngines/2] {
			delete(f.left, oldest)
		}
		f.state.LeftEngines = slices.Clone(f.state.LeftEngines[maxLeftEngines/2:])
	}
}

// Engine returns an engine, or false if the id is unknown.
func (f *Fleet) Engine(id string) (ServingEngine, bool) {
	entry, ok := f.state.Engines[id]
	return entry.Value, ok
}

// EngineCount returns the number of engines.
func (f *Fleet) EngineCount() int { return len(f.state.Engines) }

// GatewayCount returns the number of gateways.
func (f *Fleet) GatewayCount() int { return len(f.state.Gateways) }

// LedgerCount returns the number of ledger hosts.
func (f *Fleet) LedgerCount() int { return len(f.state.Ledgers) }

// AdvertisedCount returns the number of engines that are advertised to gateways.
func (f *Fleet) AdvertisedCount() int { return len(f.advertisements.engines) }

// Engines returns all engines, sorted by id.
func (f *Fleet) Engines() []ServingEngine {
	return sortedValues(f.state.Engines)
}

// Gateways returns all gateways, sorted by name.
func (f *Fleet) Gateways() []Gateway { return sortedValues(f.state.Gateways) }

// Ledgers returns all ledger hosts, sorted by member.
func (f *Fleet) Ledgers() []LedgerHost { return sortedValues(f.state.Ledgers) }

// Gateway returns a gateway by name.
func (f *Fleet) Gateway(name string) (Gateway, bool) {
	entry, ok := f.state.Gateways[name]
	return entry.Value, ok
}

// Ledger returns a ledger host by member.
func (f *Fleet) Ledger(member string) (LedgerHost, bool) {
	entry, ok := f.state.Ledgers[member]
	return entry.Value, ok
}

// Placements returns the placements of all groups, sorted by group.
func (f *Fleet) Placements() []Placement { return sortedValues(f.state.Groups) }

func sortedValues[K cmp.Ordered, T any](entries map[K]versioned[T]) []T {
	if len(entries) == 0 {
		return nil
	}
	keys := make([]K, 0, len(entries))
	for key := range entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	values := make([]T, 0, len(keys))
	for _, key := range keys {
		values = append(values, entries[key].Value)
	}
	return values
}

// Snapshot encodes the fleet.
func (f *Fleet) Snapshot() ([]byte, error) { return msgpack.Marshal(&f.state) }

// Restore replaces the fleet with a snapshot. Empty data yields an empty fleet.
func (f *Fleet) Restore(data []byte) error {
	restored := NewFleet()
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &restored.state); err != nil {
			return err
		}
	}
	for _, id := range restored.state.LeftEngines {
		restored.left[id] = true
	}
	for _, ended := range restored.state.EndedIncarnations {
		restored.ended[ended.ID] = ended.StartedMs
	}
	restored.advertisements.coversVersions = restored.state.CoversVersions
	for id, entry := range restored.state.Engines {
		restored.engineByAddress[entry.Value.Address] = id
		if !entry.Value.Draining {
			restored.advertisements.add(restored.state.Version, entry.Value)
		}
	}
	for _, size := range restored.state.SubsetSizes {
		restored.advertisements.resize(restored.state.Version, size)
	}
	restored.gatewaysVersion = restored.state.Version
	// The versions of past changes are unknown, so followers receive the full state.
	restored.advertisements.withdrawals = nil
	restored.advertisements.minDeltaVersion = restored.state.Version
	*f = *restored
	return nil
}

// FleetDelta is the difference between a follower's state and the fleet.
type FleetDelta struct {
	Version uint64 `msgpack:"v"`
	// IsFull marks a delta that replaces the follower's entire state.
	IsFull  bool            `msgpack:"w,omitempty"`
	Engines []ServingEngine `msgpack:"e,omitempty"`
	Ledgers []LedgerHost    `msgpack:"l,omitempty"`
	Groups  []Placement     `msgpack:"p,omitempty"`
	Removed []string        `msgpack:"r,omitempty"`
}

// LatestVersion returns the version at which the state sent to a follower last changed, or 0
// if it never changed. It is evaluated for every pending long poll at every change and must
// therefore be cheap.
func (f *Fleet) LatestVersion(scope Scope) uint64 { return f.advertisements.latestVersion(scope) }

// DeltaSince returns the changes that a follower at a version lacks. Gateways are not
// included: only the control processes need them, to answer lookups, and they read the replicated
// fleet directly. The version of the delta is the latest one that affects the follower, so that
// all followers that poll while gateways are added one by one receive the same delta.
func (f *Fleet) DeltaSince(version uint64, scope Scope) FleetDelta {
	delta := FleetDelta{Version: f.LatestVersion(scope)}
	if version < f.advertisements.minDeltaVersion || version > f.state.Version || version == 0 {
		delta.IsFull = true
		version = 0
	}
	if scope.IncludesEngines {
		delta.Engines = f.advertisedSince(version, scope)
	}
	delta.Ledgers = valuesChangedSince(f.state.Ledgers, version)
	delta.Groups = valuesChangedSince(f.state.Groups, version)
	if delta.IsFull {
		return delta
	}
	for _, withdrawn := range f.advertisements.withdrawals {
		if withdrawn.version > version && withdrawn.appliesTo(scope) {
			delta.Removed = append(delta.Removed, withdrawn.key)
		}
	}
	return delta
}

// AdvertisedEngineIDs returns the ids of the engines advertised to a follower, sorted.
func (f *Fleet) AdvertisedEngineIDs(scope Scope) []string {
	if !scope.IncludesEngines {
		return nil
	}
	var ids []string
	for key, pool := range f.advertisements.pools {
		to := scope.audienceOf(key.zone)
		size := min(pool.sizes[to], len(pool.ranked))
		for _, entry := range pool.ranked[:size] {
			ids = append(ids, entry.id)
		}
		if size == len(pool.ranked) {
			continue
		}
		for _, ofVersion := range pool.byVersion {
			for _, entry := range ofVersion[:min(minVersionSubsets[to], len(ofVersion))] {
				if f.advertisements.engines[entry.id][to] != 0 && !slices.Contains(ids, entry.id) {
					ids = append(ids, entry.id)
				}
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// advertisedSince returns the engines advertised to a follower that changed after a version,
// sorted by id.
func (f *Fleet) advertisedSince(version uint64, scope Scope) []ServingEngine {
	changed := map[string]versioned[ServingEngine]{}
	for id, versions := range f.advertisements.engines {
		engine := f.state.Engines[id]
		if versions[scope.audienceOf(engine.Value.Zone)] > version {
			changed[id] = engine
		}
	}
	return sortedValues(changed)
}

func valuesChangedSince[K cmp.Ordered, T any](entries map[K]versioned[T], version uint64) []T {
	changed := map[K]versioned[T]{}
	for key, entry := range entries {
		if entry.Version > version {
			changed[key] = entry
		}
	}
	return sortedValues(changed)
}

// ChangedSince reports whether a follower at a version may lack changes.
func (f *Fleet) ChangedSince(version uint64, scope Scope) bool {
	return version < f.LatestVersion(scope)
}
