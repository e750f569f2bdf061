package membership

// ReportOutcome is the outcome of handling an engine's report or leave message.
type ReportOutcome uint8

// Outcomes of a report.
const (
	// ReportAccepted changes the fleet.
	ReportAccepted ReportOutcome = iota
	// ReportUnchanged only confirms that the engine is alive.
	ReportUnchanged
	// ReportOutdated belongs to an incarnation that has ended, or is older than an accepted
	// report.
	ReportOutdated
	// ReportUnknownBackend belongs to an unknown engine of a backend that no routing table
	// lists.
	ReportUnknownBackend
	// ReportContradictory contradicts the state of a listed engine.
	ReportContradictory
	// ReportAwaitsUpgrade belongs to a later incarnation of an id that has left, while some
	// control processes do not support incarnations and would attribute the report to the
	// engine that left.
	ReportAwaitsUpgrade
)

// String returns the outcome as used in logs and metrics.
func (o ReportOutcome) String() string {
	return [...]string{"taken", "unchanged", "outdated", "unknown_backend", "contradicts", "awaits_upgrade"}[o]
}

// IsRejected reports whether the report neither changed the fleet nor confirmed its state.
func (o ReportOutcome) IsRejected() bool { return o > ReportUnchanged }

// ReportContext is the information that a leader uses for a report in addition to the fleet.
type ReportContext struct {
	// IsRelayed reports that a process without support for incarnations forwarded the report,
	// so that a missing incarnation carries no information.
	IsRelayed bool
	// IsBackendKnown reports that a routing table lists the backend, or that there is no
	// routing table.
	IsBackendKnown bool
	// AllSupportIncarnations reports that all processes that apply updates support
	// incarnations.
	AllSupportIncarnations bool
	NowMs                  int64
}

// HandleReport returns the updates that an engine's report requires, in order. Invariant: a late
// report does not revive an incarnation that is known to have ended. A report that contradicts a
// listed engine is late or was written by another process. It neither removes nor changes that
// engine unless it is repeated while the engine is silent.
func (t *FleetTracker) HandleReport(fleet *Fleet, engine ServingEngine, reportContext ReportContext) ([]FleetUpdate, ReportOutcome) {
	current, listed := fleet.Engine(engine.ID)
	if reportContext.IsRelayed && engine.StartedMs == 0 {
		engine.StartedMs = current.StartedMs
	}
	switch {
	case !listed && !reportContext.IsBackendKnown:
		return nil, ReportUnknownBackend
	case fleet.IsOutdated(engine) || !t.latest.observe(engine):
		if listed && engine.StartedMs == 0 && current.StartedMs == 0 {
			t.RecordEngineAlive(engine.ID, reportContext.NowMs)
		}
		return nil, ReportOutdated
	case fleet.IsUnchanged(engine):
		t.RecordEngineAlive(engine.ID, reportContext.NowMs)
		return nil, ReportUnchanged
	case !t.CheckReport(fleet, engine, reportContext.NowMs):
		return nil, ReportContradictory
	case !listed && fleet.left[engine.ID] && !reportContext.AllSupportIncarnations:
		return nil, ReportAwaitsUpgrade
	}
	t.RecordEngineAlive(engine.ID, reportContext.NowMs)
	var updates []FleetUpdate
	if previous, restarted := fleet.PreviousIncarnation(engine); restarted {
		// A replica without support for incarnations would treat the first reports of the new
		// incarnation as late.
		updates = append(updates, FleetUpdate{LostEngines: []string{engine.ID}, EndedIncarnations: []Incarnation{previous}})
	}
	return append(updates, FleetUpdate{PutEngines: []ServingEngine{engine}}), ReportAccepted
}

// HandleLeave returns the updates that an engine's leave message requires. A leave message
// without an incarnation is attributed to the listed one.
func (t *FleetTracker) HandleLeave(fleet *Fleet, incarnation Incarnation) ([]FleetUpdate, ReportOutcome) {
	current, listed := fleet.Engine(incarnation.ID)
	if incarnation.StartedMs == 0 {
		incarnation.StartedMs = current.StartedMs
	}
	switch {
	case fleet.HasLeft(incarnation):
		return nil, ReportUnchanged
	case listed && incarnation.StartedMs < current.StartedMs, incarnation.StartedMs > 0 && incarnation.StartedMs < t.latest[incarnation.ID]:
		return nil, ReportOutdated
	}
	update := FleetUpdate{LeftEngines: []string{incarnation.ID}}
	if incarnation.StartedMs > 0 {
		update.EndedIncarnations = []Incarnation{incarnation}
	}
	return []FleetUpdate{update}, ReportAccepted
}

// IsUnchanged reports whether the replicated state already contains everything in the report.
func (f *Fleet) IsUnchanged(engine ServingEngine) bool {
	current, ok := f.Engine(engine.ID)
	return ok && engine.Sequence >= current.Sequence && current.withoutSequence() == engine.withoutSequence()
}

// latestIncarnations maps ids to the start times of the latest incarnations that reported,
// including incarnations whose reports are not applied yet.
type latestIncarnations map[string]int64

// observe records the engine's incarnation and reports whether no later one has reported.
func (l latestIncarnations) observe(engine ServingEngine) bool {
	if engine.StartedMs < l[engine.ID] {
		return false
	}
	if engine.StartedMs > 0 {
		l[engine.ID] = engine.StartedMs
	}
	return true
}
