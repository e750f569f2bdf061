package membership

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ochrebay/ochrebay/internal/consensus"
)

// keptLeftEngines bounds the engines that a fleet knows to have left.
const keptLeftEngines = 4096

// ServingEngine is one start of an engine that registered itself.
type ServingEngine struct {
	// ID is mostly new at every start.
	ID         string `msgpack:"i" json:"id"`
	Backend    string `msgpack:"b" json:"backend"`
	Address    string `msgpack:"a" json:"address"`
	Zone       string `msgpack:"z" json:"zone"`
	Generation string `msgpack:"g,omitempty" json:"generation,omitempty"`
	Slots      int    `msgpack:"s" json:"slots"`
	// Draining engines get no new work.
	Draining bool `msgpack:"d,omitempty" json:"draining,omitempty"`
	// Sequence orders the reports of one incarnation.
	Sequence uint64 `msgpack:"q" json:"sequence"`
	// StartedMs tells the incarnations of an id apart and orders them: when the engine started by
	// its own clock, Unix milliseconds; 0 where the engine does not say.
	StartedMs int64 `msgpack:"n,omitempty" json:"born,omitempty"`
}

// Gateway is one process that takes callers' requests.
type Gateway struct {
	Name string `msgpack:"n" json:"name"`
	Zone string `msgpack:"z" json:"zone"`
	// Region is the zone's region.
	Region string `msgpack:"r,omitempty" json:"region,omitempty"`
	// Address is where callers reach it.
	Address string `msgpack:"a" json:"address"`
	// IsReady gateways are told to callers.
	IsReady bool `msgpack:"e" json:"ready"`
	// Capacity is the share of a core that it may use, 0 where it does not say.
	Capacity float64 `msgpack:"c,omitempty" json:"capacity,omitempty"`
	// OverloadLevel is how hot it is: each step halves what callers bring it.
	OverloadLevel uint8 `msgpack:"b,omitempty" json:"busy,omitempty"`
}

// room returns what part of its capacity is left to callers that ask where to go.
func (g Gateway) room() float64 { return 1 / float64(uint64(1)<<min(g.OverloadLevel, mostBusy)) }

// mostBusy bounds how little of its capacity a hot gateway is given: one in eight.
const mostBusy = 3

// LedgerHost is one process that may hold ledger replicas; its inner address is
// its name in the groups' configurations.
type LedgerHost struct {
	Member string `msgpack:"m" json:"member"`
	Name   string `msgpack:"n" json:"name"`
	Zone   string `msgpack:"z" json:"zone"`
	// Replica is the identity of its disk.
	Replica  consensus.ReplicaID `msgpack:"r" json:"replica"`
	Retiring bool                `msgpack:"t,omitempty" json:"retiring,omitempty"`
}

// Placement says which ledger hosts should hold a group.
type Placement struct {
	Group   uint32   `msgpack:"g" json:"group"`
	Members []string `msgpack:"m" json:"members"`
	// Initial is the configuration by which the group is first made.
	Initial consensus.Configuration `msgpack:"i" json:"initial"`
}

// FleetUpdate is one command that changes a fleet; it is applied as a whole.
type FleetUpdate struct {
	PutEngines []ServingEngine `msgpack:"e,omitempty"`
	// LeftEngines said that they end; that incarnation never comes back.
	LeftEngines []string `msgpack:"l,omitempty"`
	// EndedIncarnations are incarnations that are over, those of LeftEngines among them.
	EndedIncarnations []Incarnation `msgpack:"b,omitempty"`
	// LostEngines fell silent; they may come back.
	LostEngines    []string     `msgpack:"o,omitempty"`
	PutGateways    []Gateway    `msgpack:"g,omitempty"`
	RemoveGateways []string     `msgpack:"h,omitempty"`
	PutLedgers     []LedgerHost `msgpack:"d,omitempty"`
	RemoveLedgers  []string     `msgpack:"c,omitempty"`
	PutGroups      []Placement  `msgpack:"p,omitempty"`
	// PutSubsetSizes change how many engines are advertised.
	PutSubsetSizes []SubsetSize `msgpack:"z,omitempty"`
}

// IsEmpty reports whether the update changes nothing.
func (u *FleetUpdate) IsEmpty() bool {
	return len(u.PutEngines)+len(u.LeftEngines)+len(u.LostEngines)+len(u.PutGateways)+len(u.RemoveGateways)+
		len(u.PutLedgers)+len(u.RemoveLedgers)+len(u.PutGroups)+len(u.PutSubsetSizes) == 0
}

// versioned is an entry with the fleet version of its last change.
type versioned[T any] struct {
	Version uint64 `msgpack:"v"`
	Value   T      `msgpack:"x"`
}

// fleetState is what a snapshot holds.
type fleetState struct {
	Version  uint64                              `msgpack:"v"`
	Engines  map[string]versioned[ServingEngine] `msgpack:"e"`
	Gateways map[string]versioned[Gateway]       `msgpack:"g"`
	Ledgers  map[string]versioned[LedgerHost]    `msgpack:"l"`
	Groups   map[uint32]versioned[Placement]     `msgpack:"p"`
	// Left are the ids of engines that ended.
	Left []string `msgpack:"f"`
	// Ended are, for ids whose engines say when they started, the latest incarnations that
	// are over. Oldest entry first.
	Ended []Incarnation `msgpack:"b,omitempty"`
	// Superseded are the ids of engines that ended without a word: others have taken their
	// addresses since. Oldest first.
	Superseded []string `msgpack:"u,omitempty"`
	// Sizes are the pools of which more engines than the least are advertised.
	Sizes []SubsetSize `msgpack:"z,omitempty"`
}

// Fleet is the replicated list of engines that registered themselves, gateways,
// ledger hosts and the placement of ledger groups.
type Fleet struct {
	state fleetState
	left  map[string]bool
	// ended are the latest incarnations that are over, and begun the versions at which ids
	// were last taken up by another incarnation.
	ended map[string]int64
	begun map[string]uint64
	// advertised is what followers are told.
	advertised advertised
	// addresses are the engines by their addresses.
	addresses map[string]string
	// gatewaysChanged is the version at which the gateways last changed.
	gatewaysChanged uint64
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{left: map[string]bool{}, ended: map[string]int64{}, begun: map[string]uint64{}, advertised: newAdvertised(), addresses: map[string]string{}, state: fleetState{
		Engines: map[string]versioned[ServingEngine]{}, Gateways: map[string]versioned[Gateway]{},
		Ledgers: map[string]versioned[LedgerHost]{}, Groups: map[uint32]versioned[Placement]{},
	}}
}

// Version grows with every update that changed something.
func (f *Fleet) Version() uint64 { return f.state.Version }

// GatewaysVersion is the version at which the gateways last changed.
func (f *Fleet) GatewaysVersion() uint64 { return f.gatewaysChanged }

// Apply carries out an update.
func (f *Fleet) Apply(update FleetUpdate) {
	f.state.Version++
	f.applyEngines(update)
	f.applyGateways(update)
	f.applyLedgers(update)
	for _, size := range update.PutSubsetSizes {
		f.putSize(size)
	}
}

func (f *Fleet) applyEngines(update FleetUpdate) {
	for _, over := range update.EndedIncarnations {
		f.noteEnded(over)
	}
	for _, engine := range update.PutEngines {
		f.putEngine(engine)
	}
	for _, id := range update.LeftEngines {
		if known, ok := f.state.Engines[id]; ok && f.outlives(known.Value) {
			continue
		}
		f.markLeft(id)
		f.removeEngine(id)
	}
	for _, id := range update.LostEngines {
		f.removeEngine(id)
	}
}

// applyGateways changes the gateways. Nobody follows them, so that their coming and going
// is news for none.
func (f *Fleet) applyGateways(update FleetUpdate) {
	for _, gateway := range update.PutGateways {
		f.state.Gateways[gateway.Name] = versioned[Gateway]{f.state.Version, gateway}
		f.gatewaysChanged = f.state.Version
	}
	for _, name := range update.RemoveGateways {
		delete(f.state.Gateways, name)
		f.gatewaysChanged = f.state.Version
	}
}

func (f *Fleet) applyLedgers(update FleetUpdate) {
	version := f.state.Version
	for _, host := range update.PutLedgers {
		f.state.Ledgers[host.Member] = versioned[LedgerHost]{version, host}
		f.advertised.placement = version
	}
	for _, member := range update.RemoveLedgers {
		if _, known := f.state.Ledgers[member]; known {
			delete(f.state.Ledgers, member)
			f.advertised.withdraw(withdrawal{version: version, key: member, everyone: true})
			f.advertised.placement = version
		}
	}
	for _, placement := range update.PutGroups {
		f.state.Groups[placement.Group] = versioned[Placement]{version, placement}
		f.advertised.placement = version
	}
}

// putSize changes how many engines of a pool are advertised.
func (f *Fleet) putSize(size SubsetSize) {
	f.state.Sizes = slices.DeleteFunc(f.state.Sizes, func(known SubsetSize) bool {
		return known.Backend == size.Backend && known.Zone == size.Zone
	})
	if size.Local > leastNear || size.Remote > leastFar {
		f.state.Sizes = append(f.state.Sizes, size)
	}
	f.advertised.resize(f.state.Version, size)
}

// putEngine takes a report. Invariant: an older report never undoes a newer one, and an
// incarnation that has left, or that another one has followed, does not come back.
func (f *Fleet) putEngine(engine ServingEngine) {
	if f.IsOutdated(engine) {
		return
	}
	known, ok := f.state.Engines[engine.ID]
	f.begin(engine)
	f.takeAddress(engine)
	if ok && known.Value.withoutSequence() != engine.withoutSequence() {
		f.advertised.remove(f.state.Version, known.Value)
	}
	f.state.Engines[engine.ID] = versioned[ServingEngine]{f.state.Version, engine}
	if !engine.Draining && known.Value.withoutSequence() != engine.withoutSequence() {
		f.advertised.add(f.state.Version, engine)
	}
}

// withoutSequence returns what of an engine matters to those who send to it.
func (e ServingEngine) withoutSequence() ServingEngine {
	e.Sequence = 0
	return e
}

func (f *Fleet) removeEngine(id string) {
	if known, ok := f.state.Engines[id]; ok {
		delete(f.state.Engines, id)
		if f.addresses[known.Value.Address] == id {
			delete(f.addresses, known.Value.Address)
		}
		delete(f.begun, id)
		f.advertised.remove(f.state.Version, known.Value)
	}
}

func (f *Fleet) markLeft(id string) {
	if f.left[id] {
		return
	}
	f.left[id] = true
	f.state.Left = append(f.state.Left, id)
	if len(f.state.Left) > keptLeftEngines {
		for _, old := range f.state.Left[:keptLeftEngines/2] {
			delete(f.left, old)
		}
		f.state.Left = slices.Clone(f.state.Left[keptLeftEngines/2:])
	}
}

// Engine returns an engine; false where it is unknown.
func (f *Fleet) Engine(id string) (ServingEngine, bool) {
	entry, ok := f.state.Engines[id]
	return entry.Value, ok
}

// EngineCount returns how many engines there are.
func (f *Fleet) EngineCount() int { return len(f.state.Engines) }

// GatewayCount returns how many gateways there are.
func (f *Fleet) GatewayCount() int { return len(f.state.Gateways) }

// LedgerCount returns how many ledger hosts there are.
func (f *Fleet) LedgerCount() int { return len(f.state.Ledgers) }

// AdvertisedCount returns how many engines gateways are told of.
func (f *Fleet) AdvertisedCount() int { return len(f.advertised.engines) }

// Engines returns all engines in ascending order of their ids.
func (f *Fleet) Engines() []ServingEngine {
	return sortedValues(f.state.Engines)
}

// Gateways returns all gateways in ascending order of their names.
func (f *Fleet) Gateways() []Gateway { return sortedValues(f.state.Gateways) }

// Ledgers returns all ledger hosts in ascending order of their members.
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

// Placements returns the placement of all groups in ascending order.
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

// Restore replaces the fleet by a snapshot; empty data gives an empty fleet.
func (f *Fleet) Restore(data []byte) error {
	fresh := NewFleet()
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &fresh.state); err != nil {
			return err
		}
	}
	for _, id := range fresh.state.Left {
		fresh.left[id] = true
	}
	for _, over := range fresh.state.Ended {
		fresh.ended[over.ID] = over.StartedMs
	}
	for id, entry := range fresh.state.Engines {
		fresh.addresses[entry.Value.Address] = id
		if !entry.Value.Draining {
			fresh.advertised.add(fresh.state.Version, entry.Value)
		}
	}
	for _, size := range fresh.state.Sizes {
		fresh.advertised.resize(fresh.state.Version, size)
	}
	fresh.gatewaysChanged = fresh.state.Version
	// What changed last is unknown, so that followers are told the whole.
	fresh.advertised.withdrawals = nil
	fresh.advertised.horizon = fresh.state.Version
	*f = *fresh
	return nil
}

// FleetDelta is what a follower lacks of a fleet.
type FleetDelta struct {
	Version uint64 `msgpack:"v"`
	// IsFull news replace all that the follower has.
	IsFull  bool            `msgpack:"w,omitempty"`
	Engines []ServingEngine `msgpack:"e,omitempty"`
	Ledgers []LedgerHost    `msgpack:"l,omitempty"`
	Groups  []Placement     `msgpack:"p,omitempty"`
	Removed []string        `msgpack:"r,omitempty"`
}

// LatestVersion returns the version at which what a follower is told last changed, 0 where nothing
// ever did. It is asked for each held heartbeat at each change, so that it must cost next to
// nothing.
func (f *Fleet) LatestVersion(scope Scope) uint64 { return f.advertised.latest(scope) }

// DeltaSince returns what a follower at a version lacks. Gateways are no part of it: only
// directories need them, and those read the replicated fleet itself. Its version is the latest
// that matters to the follower, so that all that come back while gateways are listed one after
// the other are told the same.
func (f *Fleet) DeltaSince(version uint64, scope Scope) FleetDelta {
	news := FleetDelta{Version: f.LatestVersion(scope)}
	if version < f.advertised.horizon || version > f.state.Version || version == 0 {
		news.IsFull = true
		version = 0
	}
	if scope.IncludesEngines {
		news.Engines = f.advertisedSince(version, scope)
	}
	news.Ledgers = changedSince(f.state.Ledgers, version)
	news.Groups = changedSince(f.state.Groups, version)
	if news.IsFull {
		return news
	}
	for _, gone := range f.advertised.withdrawals {
		if gone.version > version && gone.concerns(scope) {
			news.Removed = append(news.Removed, gone.key)
		}
	}
	return news
}

// AdvertisedEngineIDs returns the ids of the engines that a follower is told of, in ascending order.
func (f *Fleet) AdvertisedEngineIDs(scope Scope) []string {
	if !scope.IncludesEngines {
		return nil
	}
	var ids []string
	for key, pool := range f.advertised.pools {
		size := pool.sizes[scope.audienceOf(key.zone)]
		for _, entry := range pool.ranked[:min(size, len(pool.ranked))] {
			ids = append(ids, entry.id)
		}
	}
	slices.Sort(ids)
	return ids
}

// advertisedSince returns the engines advertised to a follower that changed after a
// version, in ascending order of their ids.
func (f *Fleet) advertisedSince(version uint64, scope Scope) []ServingEngine {
	changed := map[string]versioned[ServingEngine]{}
	for id, told := range f.advertised.engines {
		engine := f.state.Engines[id]
		if told[scope.audienceOf(engine.Value.Zone)] > version {
			changed[id] = engine
		}
	}
	return sortedValues(changed)
}

func changedSince[K cmp.Ordered, T any](entries map[K]versioned[T], version uint64) []T {
	changed := map[K]versioned[T]{}
	for key, entry := range entries {
		if entry.Version > version {
			changed[key] = entry
		}
	}
	return sortedValues(changed)
}

// ChangedSince reports whether a follower may lack something.
func (f *Fleet) ChangedSince(version uint64, scope Scope) bool {
	return version < f.LatestVersion(scope)
}
