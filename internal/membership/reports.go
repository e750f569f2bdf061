package membership

// ReportOutcome says what became of a report of an engine, or of its word that it ends.
type ReportOutcome uint8

// The verdicts.
const (
	// ReportAccepted changes the fleet.
	ReportAccepted ReportOutcome = iota
	// ReportUnchanged says only that the engine is alive.
	ReportUnchanged
	// ReportOutdated is of an incarnation that is over, or older than one that was taken.
	ReportOutdated
	// ReportUnknownBackend is of an unknown engine for a back end that no table names.
	ReportUnknownBackend
	// ReportContradictory speaks against an engine that is known.
	ReportContradictory
	// ReportAwaitsUpgrade is of an id that has left, while some of the control processes would
	// take it for the engine that left.
	ReportAwaitsUpgrade
)

// String returns the verdict as logs and metrics name it.
func (v ReportOutcome) String() string {
	return [...]string{"taken", "unchanged", "outdated", "unknown_backend", "contradicts", "awaits_upgrade"}[v]
}

// IsRejected reports whether what was said changes nothing and says nothing of the engine.
func (v ReportOutcome) IsRejected() bool { return v > ReportUnchanged }

// ReportContext is what a leader knows beside the fleet when it takes a report.
type ReportContext struct {
	// IsRelayed says that a process which knows no incarnations passed the report on, so that
	// its lack of one says nothing.
	IsRelayed bool
	// IsBackendKnown says that a routing table names the back end, or that there is none.
	IsBackendKnown bool
	// AllSupportIncarnations says that all processes that apply updates know incarnations.
	AllSupportIncarnations bool
	NowMs                  int64
}

// HandleReport returns the updates that a report of an engine calls for, one after the other.
// Invariant: what is written by others, or comes late, neither brings back an incarnation that
// is over nor takes down or changes one that is there.
func (t *FleetTracker) HandleReport(fleet *Fleet, engine ServingEngine, terms ReportContext) ([]FleetUpdate, ReportOutcome) {
	known, there := fleet.Engine(engine.ID)
	if terms.IsRelayed && engine.StartedMs == 0 {
		engine.StartedMs = known.StartedMs
	}
	switch {
	case !there && !terms.IsBackendKnown:
		return nil, ReportUnknownBackend
	case fleet.IsOutdated(engine) || !t.newest.take(engine):
		if there && engine.StartedMs == 0 && known.StartedMs == 0 {
			t.RecordEngineAlive(engine.ID, terms.NowMs)
		}
		return nil, ReportOutdated
	case fleet.IsUnchanged(engine):
		t.RecordEngineAlive(engine.ID, terms.NowMs)
		return nil, ReportUnchanged
	case !t.AcceptsReport(fleet, engine, terms.NowMs):
		return nil, ReportContradictory
	case !there && fleet.left[engine.ID] && !terms.AllSupportIncarnations:
		return nil, ReportAwaitsUpgrade
	}
	t.RecordEngineAlive(engine.ID, terms.NowMs)
	var updates []FleetUpdate
	if over, restarted := fleet.PreviousIncarnation(engine); restarted {
		// A replica that knows no incarnations would take the new one's first reports for late.
		updates = append(updates, FleetUpdate{LostEngines: []string{engine.ID}, EndedIncarnations: []Incarnation{over}})
	}
	return append(updates, FleetUpdate{PutEngines: []ServingEngine{engine}}), ReportAccepted
}

// HandleLeave returns the updates that an engine's word that it ends calls for. Where the word
// does not say which incarnation it is of, it is taken to be of the one that is known.
func (t *FleetTracker) HandleLeave(fleet *Fleet, incarnation Incarnation) ([]FleetUpdate, ReportOutcome) {
	known, there := fleet.Engine(incarnation.ID)
	if incarnation.StartedMs == 0 {
		incarnation.StartedMs = known.StartedMs
	}
	switch {
	case fleet.HasLeft(incarnation):
		return nil, ReportUnchanged
	case there && incarnation.StartedMs < known.StartedMs, incarnation.StartedMs > 0 && incarnation.StartedMs < t.newest[incarnation.ID]:
		return nil, ReportOutdated
	}
	update := FleetUpdate{LeftEngines: []string{incarnation.ID}}
	if incarnation.StartedMs > 0 {
		update.EndedIncarnations = []Incarnation{incarnation}
	}
	return []FleetUpdate{update}, ReportAccepted
}

// IsUnchanged reports whether a report says nothing that is not replicated already.
func (f *Fleet) IsUnchanged(engine ServingEngine) bool {
	known, ok := f.Engine(engine.ID)
	return ok && engine.Sequence >= known.Sequence && known.withoutSequence() == engine.withoutSequence()
}

// latestIncarnations are the latest incarnations that were heard of, by id, those whose reports are
// not applied yet included.
type latestIncarnations map[string]int64

// take reports whether no later incarnation than the engine's was heard of, and notes it.
func (n latestIncarnations) take(engine ServingEngine) bool {
	if engine.StartedMs < n[engine.ID] {
		return false
	}
	if engine.StartedMs > 0 {
		n[engine.ID] = engine.StartedMs
	}
	return true
}
