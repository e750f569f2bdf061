package membership

import (
	"slices"
	"strconv"
)

// Incarnation identifies one run of an engine. StartedMs is 0 if the engine does not report its
// start time.
type Incarnation struct {
	ID        string `msgpack:"i" json:"id"`
	StartedMs int64  `msgpack:"b" json:"born"`
}

const (
	// maxEndedIncarnations bounds the number of ended incarnations that a fleet retains. Beyond
	// it, the older half is discarded.
	maxEndedIncarnations = 4096
	// incarnationSeparator separates the id from the start time in an engine's key, and
	// incarnationRadix is the base of the start time.
	incarnationSeparator = "@"
	incarnationRadix     = 36
)

// Incarnation returns the engine's incarnation.
func (e ServingEngine) Incarnation() Incarnation {
	return Incarnation{ID: e.ID, StartedMs: e.StartedMs}
}

// IncarnationKey returns the key under which other components record state about the engine. It
// identifies the incarnation, because an engine loses the content of its memory when it restarts.
// It is the id alone if the engine does not report its start time.
func (e ServingEngine) IncarnationKey() string {
	if e.StartedMs == 0 {
		return e.ID
	}
	return e.ID + incarnationSeparator + strconv.FormatInt(e.StartedMs, incarnationRadix)
}

// RefusesOtherIncarnations reports whether the engine refuses requests for an earlier or later incarnation. One that
// reports its start time may keep its id, and requests name only that.
func (e ServingEngine) RefusesOtherIncarnations() bool { return e.StartedMs == 0 }

// MatchesKey reports whether a key identifies this incarnation. The id alone, which is the key
// in processes that do not support incarnations, matches any incarnation.
func (e ServingEngine) MatchesKey(key string) bool { return key == e.ID || key == e.IncarnationKey() }

// IsOutdated reports whether a report no longer describes the current state: its incarnation
// has ended or was replaced by a later one, or a later report of the same incarnation has been
// applied.
func (f *Fleet) IsOutdated(engine ServingEngine) bool {
	if f.hasEnded(engine.Incarnation()) {
		return true
	}
	current, ok := f.state.Engines[engine.ID]
	if !ok || engine.StartedMs > current.Value.StartedMs {
		return false
	}
	return engine.StartedMs < current.Value.StartedMs || engine.Sequence < current.Value.Sequence
}

// hasEnded reports whether an incarnation is known to have ended.
func (f *Fleet) hasEnded(incarnation Incarnation) bool {
	endedStartMs, known := f.ended[incarnation.ID]
	if incarnation.StartedMs == 0 {
		return known || f.left[incarnation.ID]
	}
	return known && incarnation.StartedMs <= endedStartMs
}

// HasLeft reports whether an incarnation is known to have ended. An incarnation without a start
// time has ended if any incarnation of its id has and the id is not listed.
func (f *Fleet) HasLeft(incarnation Incarnation) bool {
	_, listed := f.state.Engines[incarnation.ID]
	return f.hasEnded(incarnation) && !(listed && incarnation.StartedMs == 0)
}

// IncarnationVersion returns the version at which another incarnation last took over an id, or
// 0 if it is unknown. Everything recorded about the id before that version is invalid.
func (f *Fleet) IncarnationVersion(id string) uint64 { return f.incarnationVersions[id] }

// survivesLeave reports whether a listed engine stays when an incarnation of its id leaves: it is
// a later incarnation than those that are known to have ended.
func (f *Fleet) survivesLeave(current ServingEngine) bool {
	return current.StartedMs > 0 && !f.hasEnded(current.Incarnation())
}

// recordEnded records that an incarnation and all previous ones have ended.
func (f *Fleet) recordEnded(ended Incarnation) {
	if ended.StartedMs == 0 || f.hasEnded(ended) {
		return
	}
	if _, known := f.ended[ended.ID]; known {
		f.state.EndedIncarnations = slices.DeleteFunc(f.state.EndedIncarnations, func(earlier Incarnation) bool { return earlier.ID == ended.ID })
	}
	f.ended[ended.ID] = ended.StartedMs
	f.state.EndedIncarnations = append(f.state.EndedIncarnations, ended)
	if len(f.state.EndedIncarnations) > maxEndedIncarnations {
		for _, oldest := range f.state.EndedIncarnations[:maxEndedIncarnations/2] {
			delete(f.ended, oldest.ID)
		}
		f.state.EndedIncarnations = slices.Clone(f.state.EndedIncarnations[maxEndedIncarnations/2:])
	}
}

// recordIncarnation records that an incarnation takes over an id from another one. Invariant:
// a newer incarnation invalidates everything known about the older ones.
func (f *Fleet) recordIncarnation(engine ServingEngine) {
	if current, listed := f.state.Engines[engine.ID]; listed {
		if !engine.isRestartOf(current.Value) {
			return
		}
		f.recordEnded(current.Value.Incarnation())
	} else if _, hasPrevious := f.ended[engine.ID]; !hasPrevious && !f.left[engine.ID] {
		return
	}
	f.incarnationVersions[engine.ID] = f.state.Version
	if f.left[engine.ID] {
		delete(f.left, engine.ID)
		f.state.LeftEngines = slices.DeleteFunc(f.state.LeftEngines, func(id string) bool { return id == engine.ID })
	}
}

// isRestartOf reports whether a report belongs to a later incarnation than the current one. The
// first report with a start time belongs to a later one if its sequence number is lower than the
// current one.
func (e ServingEngine) isRestartOf(current ServingEngine) bool {
	if current.StartedMs == 0 {
		return e.StartedMs > 0 && e.Sequence < current.Sequence
	}
	return e.StartedMs > current.StartedMs
}

// PreviousIncarnation returns the incarnation that ended if a report shows that a listed
// engine has restarted, and false otherwise.
func (f *Fleet) PreviousIncarnation(engine ServingEngine) (Incarnation, bool) {
	current, listed := f.state.Engines[engine.ID]
	return current.Value.Incarnation(), listed && engine.isRestartOf(current.Value)
}
