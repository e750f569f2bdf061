// Package membership tracks which daemons are alive and which scheduler owns which engine
// (design section 4). Directory is replicated by the settings group. Tracker is the soft state
// of that group's leader: it derives proposals for the Directory from heartbeats and from the
// platform's instance list, which lags behind the actual state. Fleet and FleetTracker are
// their counterparts for the engines that register themselves, the gateways and the ledger hosts.
package membership

import (
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Scheduler is a scheduler that holds a lease.
type Scheduler struct {
	Name    string `json:"name" msgpack:"n"`
	Zone    string `json:"zone" msgpack:"z"`
	Address string `json:"address" msgpack:"a"`
	// Incarnation identifies the process. It changes when the daemon restarts.
	Incarnation uint64 `json:"start" msgpack:"s"`
	// Draining marks a scheduler in a planned shutdown.
	Draining bool `json:"draining,omitempty" msgpack:"d,omitempty"`
}

// Engine is an engine and its owner.
type Engine struct {
	Name    string `json:"name" msgpack:"n"`
	Zone    string `json:"zone" msgpack:"z"`
	Address string `json:"address" msgpack:"a"`
	Pool    string `json:"pool" msgpack:"p"`
	// Leaving marks a machine that the platform is about to remove.
	Leaving bool   `json:"leaving,omitempty" msgpack:"l,omitempty"`
	Owner   string `json:"owner" msgpack:"o"`
	// Epoch fences the owner's orders. It is the directory version at which the engine was
	// assigned to its owner.
	Epoch uint64 `json:"epoch" msgpack:"e"`
}

// Update is one change to the directory.
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

	// The remaining fields record the versions of changes. They are not replicated: a follower
	// that asks for changes since a version that this process has no record of receives the
	// full state.
	roster           *Roster
	engineVersions   map[string]uint64
	minEngineVersion uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		Schedulers: map[string]Scheduler{}, Engines: map[string]Engine{},
		roster: NewRoster(), engineVersions: map[string]uint64{},
	}
}

// Apply applies one update.
func (d *Directory) Apply(update Update) {
	d.Version++
	d.roster.version = d.Version
	for _, scheduler := range update.Schedulers {
		if _, known := d.Schedulers[scheduler.Name]; !known {
			// A returning scheduler may still own engines, if no other scheduler was left to
			// take them over.
			d.engineVersions[scheduler.Name] = d.Version
		}
		d.Schedulers[scheduler.Name] = scheduler
		d.roster.put(scheduler, d.Version)
	}
	for _, name := range update.RemoveSchedulers {
		delete(d.Schedulers, name)
		delete(d.engineVersions, name)
		d.roster.remove(name, d.Version)
	}
	for _, engine := range update.Engines {
		previous, ok := d.Engines[engine.Name]
		engine.Epoch = previous.Epoch
		// Invariant: a new owner has a higher epoch than all previous owners.
		if !ok || previous.Owner != engine.Owner {
			engine.Epoch = d.Version
		}
		d.Engines[engine.Name] = engine
		d.engineVersions[previous.Owner] = d.Version
		d.engineVersions[engine.Owner] = d.Version
	}
	for _, name := range update.RemoveEngines {
		d.engineVersions[d.Engines[name].Owner] = d.Version
		delete(d.Engines, name)
	}
}

// Roster returns the list of schedulers with the versions of its changes.
func (d *Directory) Roster() *Roster { return d.roster }

// OwnedEnginesVersion returns the version at which a scheduler's set of engines last changed.
func (d *Directory) OwnedEnginesVersion(scheduler string) uint64 {
	return max(d.minEngineVersion, d.engineVersions[scheduler])
}

// OwnedBy returns a scheduler's engines, sorted by name.
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

// SchedulerList returns the schedulers, sorted by name.
func (d *Directory) SchedulerList() []Scheduler {
	return d.roster.List()
}

// EngineList returns the engines, sorted by name.
func (d *Directory) EngineList() []Engine {
	return sortedEngines(d.Engines)
}

// directorySnapshot is the encoded form, which is identical on every replica.
type directorySnapshot struct {
	Version    uint64      `msgpack:"v"`
	Schedulers []Scheduler `msgpack:"s"`
	Engines    []Engine    `msgpack:"e"`
}

// Snapshot encodes the directory.
func (d *Directory) Snapshot() ([]byte, error) {
	return msgpack.Marshal(&directorySnapshot{Version: d.Version, Schedulers: d.SchedulerList(), Engines: sortedEngines(d.Engines)})
}

// Restore replaces the directory with a snapshot. Empty data yields an empty directory.
func (d *Directory) Restore(data []byte) error {
	var encoded directorySnapshot
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
	d.minEngineVersion = encoded.Version
	return nil
}
