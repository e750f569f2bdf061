package membership

// Verdict says what became of a report of an engine, or of its word that it ends.
type Verdict uint8

// The verdicts.
const (
	// ReportTaken changes the fleet.
	ReportTaken Verdict = iota
	// ReportUnchanged says only that the engine is alive.
	ReportUnchanged
	// ReportOutdated is of an incarnation that is over, or older than one that was taken.
	ReportOutdated
	// ReportUnknownBackend is of an unknown engine for a back end that no table names.
	ReportUnknownBackend
	// ReportContradicts speaks against an engine that is known.
	ReportContradicts
	// ReportAwaitsUpgrade is of an id that has left, while some of the control processes would
	// take it for the engine that left.
	ReportAwaitsUpgrade
)

// String returns the verdict as logs and metrics name it.
func (v Verdict) String() string {
	return [...]string{"taken", "unchanged", "outdated", "unknown_backend", "contradicts", "awaits_upgrade"}[v]
}

// Void reports whether what was said changes nothing and says nothing of the engine.
func (v Verdict) Void() bool { return v > ReportUnchanged }

// ReportTerms is what a leader knows beside the fleet when it takes a report.
type ReportTerms struct {
	// Relayed says that a process which knows no incarnations passed the report on, so that
	// its lack of one says nothing.
	Relayed bool
	// BackendKnown says that a routing table names the back end, or that there is none.
	BackendKnown bool
	// AllKnow says that all processes that apply updates know incarnations.
	AllKnow bool
	NowMs   int64
}

// TakeReport returns the updates that a report of an engine calls for, one after the other.
// Invariant: what is written by others, or comes late, neither brings back an incarnation that
// is over nor takes down or changes one that is there.
func (t *FleetTracker) TakeReport(fleet *Fleet, engine ServingEngine, terms ReportTerms) ([]FleetUpdate, Verdict) {
	known, there := fleet.Engine(engine.ID)
	if terms.Relayed && engine.Born == 0 {
		engine.Born = known.Born
	}
	switch {
	case !there && !terms.BackendKnown:
		return nil, ReportUnknownBackend
	case fleet.Outdated(engine) || !t.newest.take(engine):
		if there && engine.Born == 0 && known.Born == 0 {
			t.Heard(engine.ID, terms.NowMs)
		}
		return nil, ReportOutdated
	case fleet.Unchanged(engine):
		t.Heard(engine.ID, terms.NowMs)
		return nil, ReportUnchanged
	case !t.Believes(fleet, engine, terms.NowMs):
		return nil, ReportContradicts
	case !there && fleet.left[engine.ID] && !terms.AllKnow:
		return nil, ReportAwaitsUpgrade
	}
	t.Heard(engine.ID, terms.NowMs)
	var updates []FleetUpdate
	if over, restarted := fleet.Restarted(engine); restarted {
		// A replica that knows no incarnations would take the new one's first reports for late.
		updates = append(updates, FleetUpdate{LostEngines: []string{engine.ID}, Ended: []Incarnation{over}})
	}
	return append(updates, FleetUpdate{PutEngines: []ServingEngine{engine}}), ReportTaken
}

// TakeLeave returns the updates that an engine's word that it ends calls for. Where the word
// does not say which incarnation it is of, it is taken to be of the one that is known.
func (t *FleetTracker) TakeLeave(fleet *Fleet, incarnation Incarnation) ([]FleetUpdate, Verdict) {
	known, there := fleet.Engine(incarnation.ID)
	if incarnation.Born == 0 {
		incarnation.Born = known.Born
	}
	switch {
	case fleet.HasLeft(incarnation):
		return nil, ReportUnchanged
	case there && incarnation.Born < known.Born, incarnation.Born > 0 && incarnation.Born < t.newest[incarnation.ID]:
		return nil, ReportOutdated
	}
	update := FleetUpdate{LeftEngines: []string{incarnation.ID}}
	if incarnation.Born > 0 {
		update.Ended = []Incarnation{incarnation}
	}
	return []FleetUpdate{update}, ReportTaken
}

// Unchanged reports whether a report says nothing that is not replicated already.
func (f *Fleet) Unchanged(engine ServingEngine) bool {
	known, ok := f.Engine(engine.ID)
	return ok && engine.Sequence >= known.Sequence && known.withoutSequence() == engine.withoutSequence()
}

// latestIncarnations are the latest incarnations that were heard of, by id, those whose reports are
// not applied yet included.
type latestIncarnations map[string]int64

// take reports whether no later incarnation than the engine's was heard of, and notes it.
func (n latestIncarnations) take(engine ServingEngine) bool {
	if engine.Born < n[engine.ID] {
		return false
	}
	if engine.Born > 0 {
		n[engine.ID] = engine.Born
	}
	return true
}
