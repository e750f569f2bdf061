package membership

import (
	"slices"
	"strconv"
)

// Incarnation is one life of an engine that says when it started.
type Incarnation struct {
	ID        string `msgpack:"i" json:"id"`
	StartedMs int64  `msgpack:"b" json:"born"`
}

const (
	// keptEnded bounds the incarnations that a fleet knows to be over.
	keptEnded = 4096
	// incarnationMark stands between the id and the incarnation in an engine's key.
	incarnationMark = "@"
	incarnationBase = 36
)

// Incarnation returns which life of the engine this is.
func (e ServingEngine) Incarnation() Incarnation {
	return Incarnation{ID: e.ID, StartedMs: e.StartedMs}
}

// IncarnationKey names an engine's incarnation, for what is remembered of it elsewhere: what it holds in
// memory is gone with it. It is the id alone where the engine does not say when it started.
func (e ServingEngine) IncarnationKey() string {
	if e.StartedMs == 0 {
		return e.ID
	}
	return e.ID + incarnationMark + strconv.FormatInt(e.StartedMs, incarnationBase)
}

// MatchesKey reports whether a key names this incarnation. The id alone, which a process that
// knows no incarnations remembers, names any.
func (e ServingEngine) MatchesKey(key string) bool { return key == e.ID || key == e.IncarnationKey() }

// IsOutdated reports whether a report says nothing of how things are: its incarnation has left
// or has been followed by another one, or has reported later than that.
func (f *Fleet) IsOutdated(engine ServingEngine) bool {
	if f.isOver(engine.Incarnation()) {
		return true
	}
	known, ok := f.state.Engines[engine.ID]
	if !ok || engine.StartedMs > known.Value.StartedMs {
		return false
	}
	return engine.StartedMs < known.Value.StartedMs || engine.Sequence < known.Value.Sequence
}

// isOver reports whether an incarnation is known to be over.
func (f *Fleet) isOver(incarnation Incarnation) bool {
	born, lived := f.ended[incarnation.ID]
	if incarnation.StartedMs == 0 {
		return lived || f.left[incarnation.ID]
	}
	return lived && incarnation.StartedMs <= born
}

// HasLeft reports whether an incarnation said that it ends; of one that does not say when it
// started the id decides.
func (f *Fleet) HasLeft(incarnation Incarnation) bool {
	_, there := f.state.Engines[incarnation.ID]
	return f.isOver(incarnation) && !(there && incarnation.StartedMs == 0)
}

// IncarnationVersion returns the version at which another incarnation last took up an id, 0 where that
// is not known: what was said of the id before is void.
func (f *Fleet) IncarnationVersion(id string) uint64 { return f.begun[id] }

// outlives reports whether a known engine is of a later life than the one that is over.
func (f *Fleet) outlives(known ServingEngine) bool {
	return known.StartedMs > 0 && !f.isOver(known.Incarnation())
}

// noteEnded remembers that an incarnation, and with it all before it, is over.
func (f *Fleet) noteEnded(over Incarnation) {
	if over.StartedMs == 0 || f.isOver(over) {
		return
	}
	if _, known := f.ended[over.ID]; known {
		f.state.Ended = slices.DeleteFunc(f.state.Ended, func(earlier Incarnation) bool { return earlier.ID == over.ID })
	}
	f.ended[over.ID] = over.StartedMs
	f.state.Ended = append(f.state.Ended, over)
	if len(f.state.Ended) > keptEnded {
		for _, old := range f.state.Ended[:keptEnded/2] {
			delete(f.ended, old.ID)
		}
		f.state.Ended = slices.Clone(f.state.Ended[keptEnded/2:])
	}
}

// begin takes note that an incarnation takes up an id that another one had. Invariant: with a
// newer one all that was known of the older ones is void.
func (f *Fleet) begin(engine ServingEngine) {
	if known, there := f.state.Engines[engine.ID]; there {
		if !engine.restarted(known.Value) {
			return
		}
		f.noteEnded(known.Value.Incarnation())
	} else if _, lived := f.ended[engine.ID]; !lived && !f.left[engine.ID] {
		return
	}
	f.begun[engine.ID] = f.state.Version
	if f.left[engine.ID] {
		delete(f.left, engine.ID)
		f.state.Left = slices.DeleteFunc(f.state.Left, func(id string) bool { return id == engine.ID })
	}
}

// restarted reports whether a report is of a later life than the one that is known. Where it
// is the first to say when the engine started, its place in the order of reports decides.
func (e ServingEngine) restarted(known ServingEngine) bool {
	if known.StartedMs == 0 {
		return e.StartedMs > 0 && e.Sequence < known.Sequence
	}
	return e.StartedMs > known.StartedMs
}

// PreviousIncarnation reports whether an engine is known that a report says has started again, and
// returns the life that is over.
func (f *Fleet) PreviousIncarnation(engine ServingEngine) (Incarnation, bool) {
	known, there := f.state.Engines[engine.ID]
	return known.Value.Incarnation(), there && engine.restarted(known.Value)
}
