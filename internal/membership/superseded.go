package membership

import "slices"

const (
	// doubtfulReports is how many reports that contradict what is known must come before they
	// are believed. A cut holds back fewer; an engine that is alive gets there.
	doubtfulReports = 4
	// keptDoubts bounds the engines whose reports are doubted; beyond it all are counted anew.
	keptDoubts = 1024
	// keptSuperseded bounds the engines that a fleet remembers as superseded.
	keptSuperseded = 1024
)

// doubt is what speaks against an engine's reports.
type doubt struct {
	reports int
	lastMs  int64
}

// AcceptsReport reports whether what an engine reports is taken for true. What contradicts an
// engine that is known is late, or was written by others, unless it is said again and again
// while that engine is silent.
func (t *FleetTracker) AcceptsReport(fleet *Fleet, engine ServingEngine, nowMs int64) bool {
	contradicted, doubtful := fleet.contradicts(engine)
	if !doubtful {
		delete(t.doubts, engine.ID)
		return true
	}
	known := t.doubts[engine.ID]
	if heard, ok := t.heard[contradicted]; ok && known.reports > 0 && heard >= known.lastMs {
		known.reports = 0
	}
	known.reports++
	known.lastMs = nowMs
	if len(t.doubts) >= keptDoubts {
		clear(t.doubts)
	}
	t.doubts[engine.ID] = known
	if known.reports < doubtfulReports {
		return false
	}
	delete(t.doubts, engine.ID)
	return true
}

// contradicts returns which known engine a report contradicts: the one at its address, where
// that one has taken the address since or has started later; the engine itself, where one
// incarnation would be at two places; or an engine of the id that has left, where nobody
// knows which incarnation that was.
func (f *Fleet) contradicts(engine ServingEngine) (id string, doubtful bool) {
	holder := f.addresses[engine.Address]
	held := holder != "" && holder != engine.ID
	switch known, there := f.state.Engines[engine.ID]; {
	case slices.Contains(f.state.Superseded, engine.ID):
		return holder, true
	case held && engine.StartedMs <= f.state.Engines[holder].Value.StartedMs && f.state.Engines[holder].Value.StartedMs > 0:
		return holder, true
	case there && known.Value.StartedMs == 0 && engine.restarted(known.Value):
		return engine.ID, true
	case there && engine.StartedMs > 0 && engine.StartedMs == known.Value.StartedMs:
		return engine.ID, !engine.samePlace(known.Value)
	case !there && f.left[engine.ID]:
		_, lived := f.ended[engine.ID]
		return engine.ID, !lived
	}
	return "", false
}

// samePlace reports whether two reports are of an engine at the same place, which no
// incarnation changes.
func (e ServingEngine) samePlace(other ServingEngine) bool {
	return e.Backend == other.Backend && e.Address == other.Address && e.Zone == other.Zone
}

// takeAddress gives an engine its address and takes out the one that held it. Invariant: a
// report of an engine that has crashed, held back by a cut, does not bring it back beside the
// one that has started at its address since.
func (f *Fleet) takeAddress(engine ServingEngine) {
	f.state.Superseded = slices.DeleteFunc(f.state.Superseded, func(id string) bool { return id == engine.ID })
	if engine.Address == "" {
		return
	}
	if known, ok := f.state.Engines[engine.ID]; ok && known.Value.Address != engine.Address && f.addresses[known.Value.Address] == engine.ID {
		delete(f.addresses, known.Value.Address)
	}
	holder, held := f.addresses[engine.Address]
	f.addresses[engine.Address] = engine.ID
	if !held || holder == engine.ID {
		return
	}
	f.state.Superseded = append(f.state.Superseded, holder)
	if len(f.state.Superseded) > keptSuperseded {
		f.state.Superseded = slices.Clone(f.state.Superseded[keptSuperseded/2:])
	}
	f.removeEngine(holder)
}
