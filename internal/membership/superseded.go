package membership

import "slices"

const (
	// requiredContradictions is the number of contradictory reports that must arrive before
	// they are accepted. A network partition delays fewer reports than that, while an engine
	// that is alive continues to report and reaches this number.
	requiredContradictions = 4
	// maxContradictions bounds the number of engines whose contradictory reports are counted.
	// When it is reached, all counts restart.
	maxContradictions = 1024
	// maxSuperseded bounds the number of superseded engines whose ids a fleet retains. Beyond it,
	// the older half is discarded.
	maxSuperseded = 1024
)

// contradiction counts an engine's contradictory reports.
type contradiction struct {
	reports int
	lastMs  int64
}

// CheckReport reports whether an engine's report is accepted as true, and counts
// contradictory ones. A report that contradicts a listed engine is late or was written by
// another process, unless it is repeated while that engine is silent.
func (t *FleetTracker) CheckReport(fleet *Fleet, engine ServingEngine, nowMs int64) bool {
	contradicted, contradictory := fleet.contradictedEngine(engine)
	if !contradictory {
		delete(t.contradictions, engine.ID)
		return true
	}
	record := t.contradictions[engine.ID]
	if lastReportMs, ok := t.lastReportMs[contradicted]; ok && record.reports > 0 && lastReportMs >= record.lastMs {
		record.reports = 0
	}
	record.reports++
	record.lastMs = nowMs
	if len(t.contradictions) >= maxContradictions {
		clear(t.contradictions)
	}
	t.contradictions[engine.ID] = record
	if record.reports < requiredContradictions {
		return false
	}
	delete(t.contradictions, engine.ID)
	return true
}

// contradictedEngine returns the id of the engine that a report contradicts:
//   - the engine listed at the same address ("" if none is), if the reporting engine has been
//     superseded, or has not started later than that engine, whose start time is known,
//   - the listed engine of the same id, if the report is the first one with a start time but has
//     a lower sequence number, or if one incarnation would be at two locations,
//   - an engine of the same id that has left, if its incarnation is unknown.
func (f *Fleet) contradictedEngine(engine ServingEngine) (id string, contradictory bool) {
	holder := f.engineByAddress[engine.Address]
	isTaken := holder != "" && holder != engine.ID
	switch current, listed := f.state.Engines[engine.ID]; {
	case slices.Contains(f.state.Superseded, engine.ID):
		return holder, true
	case isTaken && engine.StartedMs <= f.state.Engines[holder].Value.StartedMs && f.state.Engines[holder].Value.StartedMs > 0:
		return holder, true
	case listed && current.Value.StartedMs == 0 && engine.isRestartOf(current.Value):
		return engine.ID, true
	case listed && engine.StartedMs > 0 && engine.StartedMs == current.Value.StartedMs:
		return engine.ID, !engine.isSameLocation(current.Value)
	case !listed && f.left[engine.ID]:
		_, hasIncarnation := f.ended[engine.ID]
		return engine.ID, !hasIncarnation
	}
	return "", false
}

// isSameLocation reports whether two reports describe an engine at the same location, which
// does not change within an incarnation.
func (e ServingEngine) isSameLocation(other ServingEngine) bool {
	return e.Backend == other.Backend && e.Address == other.Address && e.Zone == other.Zone
}

// claimAddress assigns an address to an engine and removes the engine that held it. Invariant:
// a report of a crashed engine, delayed by a network partition, does not restore that engine
// beside the one that has since started at its address.
func (f *Fleet) claimAddress(engine ServingEngine) {
	f.state.Superseded = slices.DeleteFunc(f.state.Superseded, func(id string) bool { return id == engine.ID })
	if engine.Address == "" {
		return
	}
	if current, ok := f.state.Engines[engine.ID]; ok && current.Value.Address != engine.Address && f.engineByAddress[current.Value.Address] == engine.ID {
		delete(f.engineByAddress, current.Value.Address)
	}
	holder, isTaken := f.engineByAddress[engine.Address]
	f.engineByAddress[engine.Address] = engine.ID
	if !isTaken || holder == engine.ID {
		return
	}
	f.state.Superseded = append(f.state.Superseded, holder)
	if len(f.state.Superseded) > maxSuperseded {
		f.state.Superseded = slices.Clone(f.state.Superseded[maxSuperseded/2:])
	}
	f.removeEngine(holder)
}
