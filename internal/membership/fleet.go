package membership

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ochrebay/ochrebay/internal/consensus"
)

// keptFleetRemovals bounds the removals that a fleet remembers for its followers and
// the instances that it knows to have left.
const keptFleetRemovals = 4096

// ServingEngine is one start of an engine that registered itself.
type ServingEngine struct {
	// ID is new at every start.
	ID         string `msgpack:"i" json:"id"`
	Backend    string `msgpack:"b" json:"backend"`
	Address    string `msgpack:"a" json:"address"`
	Zone       string `msgpack:"z" json:"zone"`
	Generation string `msgpack:"g,omitempty" json:"generation,omitempty"`
	Slots      int    `msgpack:"s" json:"slots"`
	// Draining engines get no new work.
	Draining bool `msgpack:"d,omitempty" json:"draining,omitempty"`
	// Sequence orders the reports of one engine.
	Sequence uint64 `msgpack:"q" json:"sequence"`
}

// Gateway is one process that takes callers' requests.
type Gateway struct {
	Name string `msgpack:"n" json:"name"`
	Zone string `msgpack:"z" json:"zone"`
	// Region is the zone's region.
	Region string `msgpack:"r,omitempty" json:"region,omitempty"`
	// Address is where callers reach it.
	Address string `msgpack:"a" json:"address"`
	// Ready gateways are told to callers.
	Ready bool `msgpack:"e" json:"ready"`
}

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
	// LeftEngines said that they end; they never come back under their id.
	LeftEngines []string `msgpack:"l,omitempty"`
	// LostEngines fell silent; they may come back.
	LostEngines    []string     `msgpack:"o,omitempty"`
	PutGateways    []Gateway    `msgpack:"g,omitempty"`
	RemoveGateways []string     `msgpack:"h,omitempty"`
	PutLedgers     []LedgerHost `msgpack:"d,omitempty"`
	RemoveLedgers  []string     `msgpack:"c,omitempty"`
	PutGroups      []Placement  `msgpack:"p,omitempty"`
}

// Empty reports whether the update changes nothing.
func (u *FleetUpdate) Empty() bool {
	return len(u.PutEngines)+len(u.LeftEngines)+len(u.LostEngines)+len(u.PutGateways)+len(u.RemoveGateways)+
		len(u.PutLedgers)+len(u.RemoveLedgers)+len(u.PutGroups) == 0
}

// versioned is an entry with the fleet version of its last change.
type versioned[T any] struct {
	Version uint64 `msgpack:"v"`
	Value   T      `msgpack:"x"`
}

// fleetRemoval is an entry that is gone.
type fleetRemoval struct {
	Version uint64 `msgpack:"v"`
	Key     string `msgpack:"k"`
}

// fleetState is what a snapshot holds.
type fleetState struct {
	Version  uint64                              `msgpack:"v"`
	Engines  map[string]versioned[ServingEngine] `msgpack:"e"`
	Gateways map[string]versioned[Gateway]       `msgpack:"g"`
	Ledgers  map[string]versioned[LedgerHost]    `msgpack:"l"`
	Groups   map[uint32]versioned[Placement]     `msgpack:"p"`
	// Removals are the latest entries to go, oldest first; Left the ids of engines
	// that ended.
	Removals []fleetRemoval `msgpack:"r"`
	Left     []string       `msgpack:"f"`
}

// Fleet is the replicated list of engines that registered themselves, gateways,
// ledger hosts and the placement of ledger groups.
type Fleet struct {
	state fleetState
	left  map[string]bool
	// followed is the version of the last change of what followers get. It follows from
	// the state, so that no snapshot holds it.
	followed uint64
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{left: map[string]bool{}, state: fleetState{
		Engines: map[string]versioned[ServingEngine]{}, Gateways: map[string]versioned[Gateway]{},
		Ledgers: map[string]versioned[LedgerHost]{}, Groups: map[uint32]versioned[Placement]{},
	}}
}

// Version grows with every update that changed something.
func (f *Fleet) Version() uint64 { return f.state.Version }

// Apply carries out an update.
func (f *Fleet) Apply(update FleetUpdate) {
	f.state.Version++
	version := f.state.Version
	defer f.noteFollowed(update)
	for _, engine := range update.PutEngines {
		f.putEngine(engine)
	}
	for _, id := range update.LeftEngines {
		f.markLeft(id)
		remove(f, f.state.Engines, id)
	}
	for _, id := range update.LostEngines {
		remove(f, f.state.Engines, id)
	}
	for _, gateway := range update.PutGateways {
		f.state.Gateways[gateway.Name] = versioned[Gateway]{version, gateway}
	}
	for _, name := range update.RemoveGateways {
		// Nobody follows gateways, so that their coming and going is news for none.
		delete(f.state.Gateways, name)
	}
	for _, host := range update.PutLedgers {
		f.state.Ledgers[host.Member] = versioned[LedgerHost]{version, host}
	}
	for _, member := range update.RemoveLedgers {
		remove(f, f.state.Ledgers, member)
	}
	for _, placement := range update.PutGroups {
		f.state.Groups[placement.Group] = versioned[Placement]{version, placement}
	}
	if len(f.state.Removals) > keptFleetRemovals {
		f.state.Removals = slices.Clone(f.state.Removals[len(f.state.Removals)-keptFleetRemovals/2:])
	}
}

// noteFollowed notes whether an update may have changed what followers get.
func (f *Fleet) noteFollowed(update FleetUpdate) {
	update.PutGateways, update.RemoveGateways = nil, nil
	if !update.Empty() {
		f.followed = f.state.Version
	}
}

// putEngine takes a report. Invariant: an older report never undoes a newer one,
// and an engine that has left does not come back.
func (f *Fleet) putEngine(engine ServingEngine) {
	known, ok := f.state.Engines[engine.ID]
	if f.left[engine.ID] || (ok && engine.Sequence < known.Value.Sequence) {
		return
	}
	f.state.Engines[engine.ID] = versioned[ServingEngine]{f.state.Version, engine}
}

func (f *Fleet) markLeft(id string) {
	if f.left[id] {
		return
	}
	f.left[id] = true
	f.state.Left = append(f.state.Left, id)
	if len(f.state.Left) > keptFleetRemovals {
		for _, old := range f.state.Left[:keptFleetRemovals/2] {
			delete(f.left, old)
		}
		f.state.Left = slices.Clone(f.state.Left[keptFleetRemovals/2:])
	}
}

func remove[T any](f *Fleet, entries map[string]versioned[T], key string) {
	if _, ok := entries[key]; !ok {
		return
	}
	delete(entries, key)
	f.state.Removals = append(f.state.Removals, fleetRemoval{f.state.Version, key})
}

// Engine returns an engine; false where it is unknown.
func (f *Fleet) Engine(id string) (ServingEngine, bool) {
	entry, ok := f.state.Engines[id]
	return entry.Value, ok
}

// HasLeft reports whether an engine said that it ends.
func (f *Fleet) HasLeft(id string) bool { return f.left[id] }

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
	// What changed last is unknown, so that followers are told once more.
	fresh.followed = fresh.state.Version
	*f = *fresh
	return nil
}

// FleetNews is what a follower lacks of a fleet.
type FleetNews struct {
	Version uint64 `msgpack:"v"`
	// Whole news replace all that the follower has.
	Whole   bool            `msgpack:"w,omitempty"`
	Engines []ServingEngine `msgpack:"e,omitempty"`
	Ledgers []LedgerHost    `msgpack:"l,omitempty"`
	Groups  []Placement     `msgpack:"p,omitempty"`
	Removed []string        `msgpack:"r,omitempty"`
}

// Since returns what a follower at a version lacks. Gateways are no part of it: only
// directories need them, and those read the replicated fleet itself.
func (f *Fleet) Since(version uint64) FleetNews {
	news := FleetNews{Version: f.state.Version}
	oldest := uint64(0)
	if len(f.state.Removals) >= keptFleetRemovals/2 {
		oldest = f.state.Removals[0].Version
	}
	if version < oldest || version > f.state.Version || version == 0 {
		news.Whole = true
		version = 0
	}
	news.Engines = changedSince(f.state.Engines, version)
	news.Ledgers = changedSince(f.state.Ledgers, version)
	news.Groups = changedSince(f.state.Groups, version)
	for _, gone := range f.state.Removals {
		if !news.Whole && gone.Version > version {
			news.Removed = append(news.Removed, gone.Key)
		}
	}
	return news
}

func changedSince[K cmp.Ordered, T any](entries map[K]versioned[T], version uint64) []T {
	changed := map[K]versioned[T]{}
	for key, entry := range entries {
		if entry.Version > version {
			changed[key] = entry
		}
	}
	if len(changed) == 0 {
		return nil
	}
	return sortedValues(changed)
}

// ChangedSince reports whether a follower may lack something. It is asked for each held
// heartbeat at each change, so that it must cost next to nothing.
func (f *Fleet) ChangedSince(version uint64) bool { return version < f.followed }
