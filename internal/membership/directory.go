// Package membership decides which daemons are alive and which scheduler owns
// which engine (design section 4). Directory is replicated by the settings
// group; Tracker is the soft state of that group's leader: it turns heartbeats
// and the platform's lagging list into proposals for the Directory.
package membership

import (
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Scheduler is one scheduler that holds a lease.
type Scheduler struct {
	Name    string `json:"name" msgpack:"n"`
	Zone    string `json:"zone" msgpack:"z"`
	Address string `json:"address" msgpack:"a"`
	// Incarnation identifies the process; it changes when the daemon restarts.
	Incarnation uint64 `json:"start" msgpack:"s"`
	// Draining marks a scheduler that stops as planned.
	Draining bool `json:"draining,omitempty" msgpack:"d,omitempty"`
}

// Engine is one engine and its owner.
type Engine struct {
	Name    string `json:"name" msgpack:"n"`
	Zone    string `json:"zone" msgpack:"z"`
	Address string `json:"address" msgpack:"a"`
	Pool    string `json:"pool" msgpack:"p"`
	// Leaving marks a machine that the platform takes away.
	Leaving bool   `json:"leaving,omitempty" msgpack:"l,omitempty"`
	Owner   string `json:"owner" msgpack:"o"`
	// Epoch fences the owner's orders: the directory version at which the
	// engine got its owner.
	Epoch uint64 `json:"epoch" msgpack:"e"`
}

// Update is one change of the directory.
type Update struct {
	Schedulers       []Scheduler `msgpack:"s,omitempty"`
	RemoveSchedulers []string    `msgpack:"r,omitempty"`
	Engines          []Engine    `msgpack:"e,omitempty"`
	RemoveEngines    []string    `msgpack:"x,omitempty"`
}

// IsEmpty reports whether the update changes nothing.
func (u Update) IsEmpty() bool {
	return len(u.Schedulers) == 0 && len(u.RemoveSchedulers) == 0 && len(u.Engines) == 0 && len(u.RemoveEngines) == 0
}

// Directory is the replicated list of schedulers and engines.
type Directory struct {
	Version    uint64               `json:"version" msgpack:"v"`
	Schedulers map[string]Scheduler `json:"schedulers" msgpack:"s"`
	Engines    map[string]Engine    `json:"engines" msgpack:"e"`

	// The rest says what changed when; it is not replicated, since a follower
	// whose version is unknown here gets everything.
	roster       *Roster
	ownerChanged map[string]uint64
	ownersBase   uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		Schedulers: map[string]Scheduler{}, Engines: map[string]Engine{},
		roster: NewRoster(), ownerChanged: map[string]uint64{},
	}
}

// Apply carries out one update.
func (d *Directory) Apply(update Update) {
	d.Version++
	d.roster.version = d.Version
	for _, scheduler := range update.Schedulers {
		if _, known := d.Schedulers[scheduler.Name]; !known {
			// One that comes back may own engines still, where nobody was left to take them over.
			d.ownerChanged[scheduler.Name] = d.Version
		}
		d.Schedulers[scheduler.Name] = scheduler
		d.roster.put(scheduler, d.Version)
	}
	for _, name := range update.RemoveSchedulers {
		delete(d.Schedulers, name)
		delete(d.ownerChanged, name)
		d.roster.remove(name, d.Version)
	}
	for _, engine := range update.Engines {
		previous, ok := d.Engines[engine.Name]
		engine.Epoch = previous.Epoch
		// Invariant: a new owner has a higher epoch than any owner before it.
		if !ok || previous.Owner != engine.Owner {
			engine.Epoch = d.Version
		}
		d.Engines[engine.Name] = engine
		d.ownerChanged[previous.Owner] = d.Version
		d.ownerChanged[engine.Owner] = d.Version
	}
	for _, name := range update.RemoveEngines {
		d.ownerChanged[d.Engines[name].Owner] = d.Version
		delete(d.Engines, name)
	}
}

// Roster returns the schedulers with what changed when.
func (d *Directory) Roster() *Roster { return d.roster }

// OwnedEnginesVersion is the version at which a scheduler's engines changed last.
func (d *Directory) OwnedEnginesVersion(scheduler string) uint64 {
	return max(d.ownersBase, d.ownerChanged[scheduler])
}

// OwnedBy returns a scheduler's engines in ascending order of name.
func (d *Directory) OwnedBy(scheduler string) []Engine {
	var owned []Engine
	for _, engine := range d.Engines {
		if engine.Owner == scheduler {
			owned = append(owned, engine)
		}
	}
	slices.SortFunc(owned, func(a, b Engine) int { return strings.Compare(a.Name, b.Name) })
	return owned
}

// SchedulerList returns the schedulers in ascending order of name.
func (d *Directory) SchedulerList() []Scheduler {
	return d.roster.List()
}

// EngineList returns the engines in ascending order of name.
func (d *Directory) EngineList() []Engine {
	return sortedEngines(d.Engines)
}

// snapshot is the encoded form, the same on every replica.
type snapshot struct {
	Version    uint64      `msgpack:"v"`
	Schedulers []Scheduler `msgpack:"s"`
	Engines    []Engine    `msgpack:"e"`
}

// Snapshot encodes the directory.
func (d *Directory) Snapshot() ([]byte, error) {
	return msgpack.Marshal(&snapshot{Version: d.Version, Schedulers: d.SchedulerList(), Engines: sortedEngines(d.Engines)})
}

// Restore replaces the directory by a snapshot; empty data gives an empty one.
func (d *Directory) Restore(data []byte) error {
	var encoded snapshot
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &encoded); err != nil {
			return err
		}
	}
	*d = *NewDirectory()
	d.Version = encoded.Version
	for _, scheduler := range encoded.Schedulers {
		d.Schedulers[scheduler.Name] = scheduler
	}
	for _, engine := range encoded.Engines {
		d.Engines[engine.Name] = engine
	}
	d.roster.replace(encoded.Schedulers, encoded.Version)
	d.ownersBase = encoded.Version
	return nil
}
