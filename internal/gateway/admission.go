package gateway

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// minSlowLatencyRatio is the ratio of an engine's latency to that of the other engines above
// which the engine counts as slow.
const minSlowLatencyRatio = 1.3

// activityTracker records when this gateway last sent a request or received an event of a stream.
// A long gap shows that the process, or its machine, was stalled.
type activityTracker struct {
	lastMs int64
	// idleFromMs and idleToMs bound the latest interval of at least minIdleMs without activity.
	idleFromMs, idleToMs int64
}

// minIdleMs is the shortest interval without activity that wasIdle takes into account.
const minIdleMs = 100

func (a *activityTracker) record(nowMs int64) {
	if nowMs-a.lastMs >= minIdleMs {
		a.idleFromMs, a.idleToMs = a.lastMs, nowMs
	}
	a.lastMs = nowMs
}

// wasIdle reports whether the latest interval without activity covers at least half of the spanMs
// milliseconds before nowMs.
func (a *activityTracker) wasIdle(nowMs int64, spanMs float64) bool {
	const half = 2
	idleMs := a.idleToMs - max(a.idleFromMs, nowMs-int64(spanMs))
	return float64(idleMs)*half >= spanMs
}

// observeStreamStart reports to admission control whether a stream started within its route's
// target latency. It leaves out late starts that overload does not explain: those at an engine
// that is slower than the others, and those during a stall of this process.
func (e *engineRegistry) observeStreamStart(c *call, nowMs int64, firstEventMs float64) {
	targetMs := float64(c.route.TargetLatencyMs)
	isSlow := c.selection.health.LatencyRatio(nowMs) > minSlowLatencyRatio
	if targetMs <= 0 || (firstEventMs > targetMs && (isSlow || e.activity.wasIdle(nowMs, firstEventMs))) {
		return
	}
	getOrCreate(e.admissionControllers, c.backend.Name).ObserveStreamStart(nowMs, firstEventMs > targetMs)
}

// meanConcurrency returns the number of requests in flight from all gateways per engine, averaged
// over the engines of a backend that have a recent shared load. isKnown is false if fewer than half
// of the engines have one, for example while control has no leader: counting only this gateway's
// own requests would make the fleet look idle.
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

// admissionDecision states whether a program may start, and the figures behind the decision.
// concurrency, limit and capacity are in requests per engine.
type admissionDecision struct {
	admitted     bool
	retryAfterMs int64
	concurrency  float64
	limit        float64
	// capacity is the usable concurrency of an engine, and shareStatus compares the tenant's
	// usage with its fair share.
	capacity    float64
	shareStatus admission.ShareStatus
}

// decideAdmission decides whether a call that starts a program may proceed. The hash of the program
// id serves as its random sample, so that a program gets the same one whenever its caller retries.
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
		// Usage of other tenants beyond their fair shares does not count against a tenant
		// within its share: those tenants have to reduce it.
		excess := decision.shareStatus.Excess / float64(max(len(e.byBackend[c.backend.Name]), 1))
		decision.retryAfterMs, decision.admitted = controller.Admit(concurrency-excess, priorityPosition, priorityCount, sample)
	}
	if decision.admitted {
		e.recordProgramStart(c, nowMs)
	}
	return decision
}

// recordProgramStart counts a started program in the usage meter.
func (e *engineRegistry) recordProgramStart(c *call, nowMs int64) {
	if c.tenant != nil {
		e.usageMeter.RecordProgramStart(c.backend.Name, c.tenant.Name, c.tenantWeight, nowMs)
	}
}

// shareStatus compares the usage of the call's tenant at its backend with the tenant's fair share.
// capacity is in requests per engine. The result is empty if fair shares are disabled or the call
// has no tenant.
func (e *engineRegistry) shareStatus(c *call, capacity float64, nowMs int64) admission.ShareStatus {
	if c.tenant == nil || !e.fairSharesEnabled {
		return admission.ShareStatus{}
	}
	return e.tenantShares.Status(c.backend.Name, c.tenant.Name, capacity*float64(len(e.byBackend[c.backend.Name])), nowMs)
}

// isAboveFairShare reports whether the tenant of a call demands more than its fair share of an
// oversubscribed backend.
func (e *engineRegistry) isAboveFairShare(c *call) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	controller := getOrCreate(e.admissionControllers, c.backend.Name)
	return e.shareStatus(c, admission.UsableConcurrency(c.backend.Slots, controller.UnrestrictedConcurrency()), clock.NowMs()).AboveFairShare
}

// adjustInFlight adds change to the tenant's requests in flight at the call's backend: 1 when the
// call starts, -1 when it ends.
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

// tenantReportFraction is the fraction of a backend's capacity at which gateways start to report
// its usage by tenant. It is one half because demand can double before a report reaches the other
// gateways.
const tenantReportFraction = 0.5

// collectTenantUsage returns this gateway's usage of backends since the last call. Usage is broken
// down by tenant only for backends that are oversubscribed or close to it.
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

// applySharedTenantUsage applies the usage of backends by tenant, aggregated over all gateways.
func (e *engineRegistry) applySharedTenantUsage(usages []admission.BackendUsage, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.tenantShares.ApplyUsage(usages, nowMs)
}

// collectStreamLateness returns the late starts of streams that this gateway has observed at each
// backend since the last call.
func (e *engineRegistry) collectStreamLateness(nowMs int64) []scheduling.StreamLateness {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var lateness []scheduling.StreamLateness
	for backend, controller := range e.admissionControllers {
		if streams := controller.CollectStreamLateness(nowMs); streams.Weight > 0 {
			lateness = append(lateness, scheduling.StreamLateness{Backend: backend, Lateness: streams})
		}
	}
	return lateness
}

// applySharedLateness applies the late starts of streams, aggregated over all gateways.
func (e *engineRegistry) applySharedLateness(lateness []scheduling.StreamLateness, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, entry := range lateness {
		getOrCreate(e.admissionControllers, entry.Backend).ApplySharedLateness(entry.Lateness, nowMs)
	}
}
