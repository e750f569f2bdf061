package gateway

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// minSlowLatencyRatio is from how many times the time that others take on an engine counts as slow.
const minSlowLatencyRatio = 1.3

// activityTracker notes when this gateway sent or received something of streams, and so shows when
// its process, or its machine, stood still.
type activityTracker struct {
	lastMs int64
	// idleFromMs and toMs are the last time without any, if it was longer than a pause may be.
	idleFromMs, idleToMs int64
}

// minIdleMs is the shortest time without activity that may be a pause of the process.
const minIdleMs = 100

func (a *activityTracker) record(nowMs int64) {
	if nowMs-a.lastMs >= minIdleMs {
		a.idleFromMs, a.idleToMs = a.lastMs, nowMs
	}
	a.lastMs = nowMs
}

// wasIdle reports whether nothing happened for half of the time up to nowMs or more.
func (a *activityTracker) wasIdle(nowMs int64, spanMs float64) bool {
	const half = 2
	idleMs := a.idleToMs - max(a.idleFromMs, nowMs-int64(spanMs))
	return float64(idleMs)*half >= spanMs
}

// observeStreamStart tells admission whether a stream began within its target. What lasted long
// for another reason than that engines have too much to do is left out: an engine that is
// slower than the others, or a pause of this process.
func (e *engineRegistry) observeStreamStart(c *call, nowMs int64, firstEventMs float64) {
	targetMs := float64(c.route.TargetLatencyMs)
	isSlow := c.selection.health.LatencyRatio(nowMs) > minSlowLatencyRatio
	if targetMs <= 0 || (firstEventMs > targetMs && (isSlow || e.activity.wasIdle(nowMs, firstEventMs))) {
		return
	}
	getOrCreate(e.admissionControllers, c.backend.Name).ObserveStreamStart(nowMs, firstEventMs > targetMs)
}

// meanConcurrency is the mean of all gateways' requests over the engines of a back end that the
// others have spoken of lately; false where that is less than half of them, as while control
// has no leader: this gateway's own requests alone would look like an idle fleet.
func (e *engineRegistry) meanConcurrency(backend string, nowMs int64) (mean float64, isKnown bool) {
	backendEngines := e.byBackend[backend]
	total, reporting := 0.0, 0
	for _, engine := range backendEngines {
		health := e.healthOf(engine.ID)
		if !health.HasRecentSharedLoad(nowMs) {
			continue
		}
		total += health.EstimatedInFlight(nowMs)
		reporting++
	}
	const half = 2
	return total / float64(max(reporting, 1)), reporting > 0 && reporting*half >= len(backendEngines)
}

// admissionDecision is one whether a program may begin, with what it was made from.
type admissionDecision struct {
	admitted     bool
	retryAfterMs int64
	concurrency  float64
	limit        float64
	// capacity is for how many requests an engine has room, position where the tenant stands.
	capacity    float64
	shareStatus admission.ShareStatus
}

// decideAdmission decides whether a call that begins a program may go on.
func (e *engineRegistry) decideAdmission(c *call, priorityPosition, priorityCount int) admissionDecision {
	if e.disabled.Has(scheduling.MechanismAdmission) {
		return admissionDecision{admitted: true}
	}
	sample := float64(xxhash.Sum64String(c.programID)) / (1 << 64)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	nowMs := clock.NowMs()
	concurrency, isKnown := e.meanConcurrency(c.backend.Name, nowMs)
	if !isKnown {
		e.recordProgramStart(c, nowMs)
		return admissionDecision{admitted: true}
	}
	decision := admissionDecision{concurrency: concurrency}
	controller := getOrCreate(e.admissionControllers, c.backend.Name)
	controller.UpdateLimit(nowMs, concurrency, c.backend.Slots)
	decision.limit = controller.Limit()
	decision.capacity = admission.UsableConcurrency(c.backend.Slots, controller.UnrestrictedConcurrency())
	decision.shareStatus = e.shareStatus(c, decision.capacity, nowMs)
	if decision.shareStatus.AboveFairShare {
		decision.retryAfterMs, decision.admitted = decision.shareStatus.Admit(sample)
	} else {
		// What others use beyond their shares is theirs to give back.
		excess := decision.shareStatus.Excess / float64(max(len(e.byBackend[c.backend.Name]), 1))
		decision.retryAfterMs, decision.admitted = controller.Admit(concurrency-excess, priorityPosition, priorityCount, sample)
	}
	if decision.admitted {
		e.recordProgramStart(c, nowMs)
	}
	return decision
}

// recordProgramStart tells the meter of a program that has begun.
func (e *engineRegistry) recordProgramStart(c *call, nowMs int64) {
	if c.tenant != nil {
		e.usageMeter.RecordProgramStart(c.backend.Name, c.tenant.Name, c.tenantWeight, nowMs)
	}
}

// shareStatus returns where the tenant of a call stands at its back end.
func (e *engineRegistry) shareStatus(c *call, capacity float64, nowMs int64) admission.ShareStatus {
	if c.tenant == nil || !e.fairSharesEnabled {
		return admission.ShareStatus{}
	}
	return e.tenantShares.Status(c.backend.Name, c.tenant.Name, capacity*float64(len(e.byBackend[c.backend.Name])), nowMs)
}

// isAboveFairShare reports whether the tenant of a call uses more than its share of a back end that
// is short of room.
func (e *engineRegistry) isAboveFairShare(c *call) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	controller := getOrCreate(e.admissionControllers, c.backend.Name)
	return e.shareStatus(c, admission.UsableConcurrency(c.backend.Slots, controller.UnrestrictedConcurrency()), clock.NowMs()).AboveFairShare
}

// adjustInFlight counts a call at its back end, or takes it off again.
func (e *engineRegistry) adjustInFlight(c *call, change int) {
	if !c.requiresKey {
		return
	}
	tenant := ""
	if c.tenant != nil {
		tenant = c.tenant.Name
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.usageMeter.AdjustInFlight(c.backend.Name, tenant, c.tenantWeight, change, clock.NowMs())
	e.slotsByBackend[c.backend.Name] = c.backend.Slots
}

// tenantReportFraction is the part of the room of a back end from which on gateways name the tenants that
// use it: a half, since demand doubles within the time that it takes to hear of it.
const tenantReportFraction = 0.5

// collectTenantUsage returns what was used here of back ends since the last call, by tenants where they are
// short or nearly so.
func (e *engineRegistry) collectTenantUsage(nowMs int64) []admission.BackendUsage {
	if !e.fairSharesEnabled {
		return nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.usageMeter.CollectUsage(nowMs, func(backend string) bool {
		concurrency, isKnown := e.meanConcurrency(backend, nowMs)
		capacity := admission.UsableConcurrency(e.slotsByBackend[backend], getOrCreate(e.admissionControllers, backend).UnrestrictedConcurrency())
		demand := e.tenantShares.Demand(backend, nowMs) / float64(max(len(e.byBackend[backend]), 1))
		return isKnown && capacity > 0 && max(concurrency, demand) >= tenantReportFraction*capacity
	})
}

// applySharedTenantUsage takes what all gateways' tenants together use of back ends.
func (e *engineRegistry) applySharedTenantUsage(usages []admission.BackendUsage, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.tenantShares.ApplyUsage(usages, nowMs)
}

// collectStreamLateness returns what this gateway has seen of streams since the last call.
func (e *engineRegistry) collectStreamLateness(nowMs int64) []scheduling.StreamLateness {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var lateness []scheduling.StreamLateness
	for backend, controller := range e.admissionControllers {
		if streams := controller.CollectStreamLateness(nowMs); streams.Weight > 0 {
			lateness = append(lateness, scheduling.StreamLateness{Backend: backend, Streams: streams})
		}
	}
	return lateness
}

// applySharedLateness takes what all gateways together have seen of streams.
func (e *engineRegistry) applySharedLateness(lateness []scheduling.StreamLateness, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, entry := range lateness {
		getOrCreate(e.admissionControllers, entry.Backend).ApplySharedLateness(entry.Streams, nowMs)
	}
}
