package membership

import (
	"slices"
	"strings"
)

// keptRemovals bounds how many removals a roster can still tell of one by one.
const keptRemovals = 512

// Roster is the list of schedulers as it fans out from control to schedulers to
// sidecars. It can tell what has changed since a version, so that one scheduler
// that comes or goes costs each follower one line and not the whole list.
type Roster struct {
	version uint64
	changed uint64
	entries map[string]rosterEntry
	removed []removal
	// forgotten is the version up to which removals are no longer known.
	forgotten uint64
	sorted    []Scheduler
}

type rosterEntry struct {
	scheduler Scheduler
	changed   uint64
}

type removal struct {
	name    string
	version uint64
}

// RosterDelta is what a follower at an older version lacks.
type RosterDelta struct {
	// Version is the sender's version after these changes.
	Version uint64 `msgpack:"v"`
	// IsFull says that Changed is the whole list.
	IsFull  bool        `msgpack:"w,omitempty"`
	Changed []Scheduler `msgpack:"c,omitempty"`
	Removed []string    `msgpack:"r,omitempty"`
}

// NewRoster returns an empty list.
func NewRoster() *Roster { return &Roster{entries: map[string]rosterEntry{}} }

// Version is the directory version that the list is of.
func (r *Roster) Version() uint64 { return r.version }

// ChangeVersion is the version at which the list itself changed last.
func (r *Roster) ChangeVersion() uint64 { return r.changed }

// List returns the schedulers in ascending order of name; it must not be changed.
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
	r.entries[scheduler.Name] = rosterEntry{scheduler: scheduler, changed: version}
	r.removed = slices.DeleteFunc(r.removed, func(known removal) bool { return known.name == scheduler.Name })
	r.changed = version
	r.sorted = nil
}

func (r *Roster) remove(name string, version uint64) {
	delete(r.entries, name)
	r.removed = append(r.removed, removal{name: name, version: version})
	if len(r.removed) > keptRemovals {
		r.forgotten = r.removed[0].version
		r.removed = r.removed[1:]
	}
	r.changed = version
	r.sorted = nil
}

// replace takes a whole list; what was removed before is not known.
func (r *Roster) replace(schedulers []Scheduler, version uint64) {
	r.entries = map[string]rosterEntry{}
	r.removed = nil
	r.forgotten = version
	r.changed = version
	r.version = version
	r.sorted = nil
	for _, scheduler := range schedulers {
		r.entries[scheduler.Name] = rosterEntry{scheduler: scheduler, changed: version}
	}
}

// DeltaSince returns what a follower at a version lacks.
func (r *Roster) DeltaSince(version uint64) RosterDelta {
	news := RosterDelta{Version: r.version}
	if version >= r.changed {
		return news
	}
	if version < r.forgotten || version == 0 {
		news.IsFull = true
		news.Changed = r.List()
		return news
	}
	for _, scheduler := range r.List() {
		if r.entries[scheduler.Name].changed > version {
			news.Changed = append(news.Changed, scheduler)
		}
	}
	for _, known := range r.removed {
		if known.version > version {
			news.Removed = append(news.Removed, known.name)
		}
	}
	return news
}

// ApplyDelta applies news and reports whether it was newer. Invariant: the version only
// grows, whoever sent the news.
func (r *Roster) ApplyDelta(news RosterDelta) bool {
	if news.Version <= r.version {
		return false
	}
	if news.IsFull {
		r.replace(news.Changed, news.Version)
		return true
	}
	r.version = news.Version
	for _, scheduler := range news.Changed {
		r.put(scheduler, news.Version)
	}
	for _, name := range news.Removed {
		r.remove(name, news.Version)
	}
	return true
}
