package membership

import (
	"slices"
	"strings"
)

// maxRemovals bounds the removals that a roster can include in a delta.
const maxRemovals = 512

// Roster is the list of schedulers. Control distributes it to the schedulers, which forward it
// to their sidecars. It can compute the changes since a version, so that adding or removing one
// scheduler costs each follower one entry instead of the full list.
type Roster struct {
	version       uint64
	changeVersion uint64
	entries       map[string]rosterEntry
	removed       []removal
	// minDeltaVersion is the version up to which removals are no longer retained.
	minDeltaVersion uint64
	sorted          []Scheduler
}

type rosterEntry struct {
	scheduler     Scheduler
	changeVersion uint64
}

type removal struct {
	name    string
	version uint64
}

// RosterDelta is the difference between a follower's older version and the roster.
type RosterDelta struct {
	// Version is the sender's version, which includes these changes.
	Version uint64 `msgpack:"v"`
	// IsFull reports that Changed contains the full list.
	IsFull  bool        `msgpack:"w,omitempty"`
	Changed []Scheduler `msgpack:"c,omitempty"`
	Removed []string    `msgpack:"r,omitempty"`
}

// NewRoster returns an empty roster.
func NewRoster() *Roster { return &Roster{entries: map[string]rosterEntry{}} }

// Version returns the directory version of the list.
func (r *Roster) Version() uint64 { return r.version }

// ChangeVersion returns the version at which the list itself last changed.
func (r *Roster) ChangeVersion() uint64 { return r.changeVersion }

// List returns the schedulers, sorted by name. The caller must not modify the slice.
func (r *Roster) List() []Scheduler {
	if r.sorted == nil {
		r.sorted = make([]Scheduler, 0, len(r.entries))
		for _, entry := range r.entries {
			r.sorted = append(r.sorted, entry.scheduler)
		}
		slices.SortFunc(r.sorted, func(a, b Scheduler) int { return strings.Compare(a.Name, b.Name) })
	}
	return r.sorted
}

// Find returns a scheduler by name.
func (r *Roster) Find(name string) (Scheduler, bool) {
	entry, ok := r.entries[name]
	return entry.scheduler, ok
}

func (r *Roster) put(scheduler Scheduler, version uint64) {
	r.entries[scheduler.Name] = rosterEntry{scheduler: scheduler, changeVersion: version}
	r.removed = slices.DeleteFunc(r.removed, func(removed removal) bool { return removed.name == scheduler.Name })
	r.changeVersion = version
	r.sorted = nil
}

func (r *Roster) remove(name string, version uint64) {
	delete(r.entries, name)
	r.removed = append(r.removed, removal{name: name, version: version})
	if len(r.removed) > maxRemovals {
		r.minDeltaVersion = r.removed[0].version
		r.removed = r.removed[1:]
	}
	r.changeVersion = version
	r.sorted = nil
}

// replace installs a full list. Removals before this version are unknown.
func (r *Roster) replace(schedulers []Scheduler, version uint64) {
	r.entries = map[string]rosterEntry{}
	r.removed = nil
	r.minDeltaVersion = version
	r.changeVersion = version
	r.version = version
	r.sorted = nil
	for _, scheduler := range schedulers {
		r.entries[scheduler.Name] = rosterEntry{scheduler: scheduler, changeVersion: version}
	}
}

// DeltaSince returns the changes that a follower at a version lacks.
func (r *Roster) DeltaSince(version uint64) RosterDelta {
	delta := RosterDelta{Version: r.version}
	if version >= r.changeVersion {
		return delta
	}
	if version < r.minDeltaVersion || version == 0 {
		delta.IsFull = true
		delta.Changed = r.List()
		return delta
	}
	for _, scheduler := range r.List() {
		if r.entries[scheduler.Name].changeVersion > version {
			delta.Changed = append(delta.Changed, scheduler)
		}
	}
	for _, removed := range r.removed {
		if removed.version > version {
			delta.Removed = append(delta.Removed, removed.name)
		}
	}
	return delta
}

// ApplyDelta applies a delta and reports whether it was newer. Invariant: the version only
// increases, regardless of the sender.
func (r *Roster) ApplyDelta(delta RosterDelta) bool {
	if delta.Version <= r.version {
		return false
	}
	if delta.IsFull {
		r.replace(delta.Changed, delta.Version)
		return true
	}
	r.version = delta.Version
	for _, scheduler := range delta.Changed {
		r.put(scheduler, delta.Version)
	}
	for _, name := range delta.Removed {
		r.remove(name, delta.Version)
	}
	return true
}
