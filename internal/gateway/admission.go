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
func (a *activityTracker) wasIdle(nowMs int64, tookMs float64) bool {
	const half = 2
	idleMs := a.idleToMs - max(a.idleFromMs, nowMs-int64(tookMs))
	return float64(idleMs)*half >= tookMs
}

// observeStreamStart tells admission whether a stream began within its target. What lasted long
// for another reason than that engines have too much to do is left out: an engine that is
// slower than the others, or a pause of this process.
func (e *engineRegistry) observeStreamStart(c *call, nowMs int64, took float64) {
	target := float64(c.route.TargetLatencyMs)
	slow := c.selection.health.LatencyRatio(nowMs) > minSlowLatencyRatio
	if target <= 0 || (took > target && (slow || e.activity.wasIdle(nowMs, took))) {
		return
	}
	getOrCreate(e.admissionControllers, c.backend.Name).ObserveStreamStart(nowMs, took > target)
}

// meanConcurrency is the mean of all gateways' requests over the engines of a back end that the
// others have spoken of lately; false where that is less than half of them, as while control
// has no leader: this gateway's own requests alone would look like an idle fleet.
func (e *engineRegistry) meanConcurrency(backend string, nowMs int64) (mean float64, known bool) {
	pool := e.byBackend[backend]
	total, heard := 0.0, 0
	for _, engine := range pool {
		health := e.healthOf(engine.ID)
		if !health.HasRecentSharedLoad(nowMs) {
			continue
		}
		total += health.EstimatedInFlight(nowMs)
		heard++
	}
	const half = 2
	return total / float64(max(heard, 1)), heard > 0 && heard*half >= len(pool)
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
func (e *engineRegistry) decideAdmission(c *call, position, ranks int) admissionDecision {
	if e.disabled.Has(scheduling.MechanismAdmission) {
		return admissionDecision{admitted: true}
	}
	draw := float64(xxhash.Sum64String(c.programID)) / (1 << 64)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	nowMs := clock.NowMs()
	concurrency, known := e.meanConcurrency(c.backend.Name, nowMs)
	if !known {
		e.recordProgramStart(c, nowMs)
		return admissionDecision{admitted: true}
	}
	made := admissionDecision{concurrency: concurrency}
	learnt := getOrCreate(e.admissionControllers, c.backend.Name)
	learnt.UpdateLimit(nowMs, concurrency, c.backend.Slots)
	made.limit = learnt.Limit()
	made.capacity = admission.UsableConcurrency(c.backend.Slots, learnt.UnrestrictedConcurrency())
	made.shareStatus = e.shareStatus(c, made.capacity, nowMs)
	if made.shareStatus.AboveFairShare {
		made.retryAfterMs, made.admitted = made.shareStatus.Admit(draw)
	} else {
		// What others use beyond their shares is theirs to give back.
		excess := made.shareStatus.Excess / float64(max(len(e.byBackend[c.backend.Name]), 1))
		made.retryAfterMs, made.admitted = learnt.Admit(concurrency-excess, position, ranks, draw)
	}
	if made.admitted {
		e.recordProgramStart(c, nowMs)
	}
	return made
}

// recordProgramStart tells the meter of a program that has begun.
func (e *engineRegistry) recordProgramStart(c *call, nowMs int64) {
	if c.tenant != nil {
		e.usageMeter.RecordProgramStart(c.backend.Name, c.tenant.Name, c.tenantWeight, nowMs)
	}
}

// shareStatus returns where the tenant of a call stands at its back end.
func (e *engineRegistry) shareStatus(c *call, room float64, nowMs int64) admission.ShareStatus {
	if c.tenant == nil || !e.fairSharesEnabled {
		return admission.ShareStatus{}
	}
	return e.tenantShares.Status(c.backend.Name, c.tenant.Name, room*float64(len(e.byBackend[c.backend.Name])), nowMs)
}

// isAboveFairShare reports whether the tenant of a call uses more than its share of a back end that
// is short of room.
func (e *engineRegistry) isAboveFairShare(c *call) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	learnt := getOrCreate(e.admissionControllers, c.backend.Name)
	return e.shareStatus(c, admission.UsableConcurrency(c.backend.Slots, learnt.UnrestrictedConcurrency()), clock.NowMs()).AboveFairShare
}

// adjustInFlight counts a call at its back end, or takes it off again.
func (e *engineRegistry) adjustInFlight(c *call, change int) {
	if !c.requiresKey {
		return
	}
	name := ""
	if c.tenant != nil {
		name = c.tenant.Name
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.usageMeter.AdjustInFlight(c.backend.Name, name, c.tenantWeight, change, clock.NowMs())
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
		concurrency, known := e.meanConcurrency(backend, nowMs)
		room := admission.UsableConcurrency(e.slotsByBackend[backend], getOrCreate(e.admissionControllers, backend).UnrestrictedConcurrency())
		wanted := e.tenantShares.Demand(backend, nowMs) / float64(max(len(e.byBackend[backend]), 1))
		return known && room > 0 && max(concurrency, wanted) >= tenantReportFraction*room
	})
}

// applySharedTenantUsage takes what all gateways' tenants together use of back ends.
func (e *engineRegistry) applySharedTenantUsage(uses []admission.BackendUsage, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.tenantShares.ApplyUsage(uses, nowMs)
}

// collectStreamLateness returns what this gateway has seen of streams since the last call.
func (e *engineRegistry) collectStreamLateness(nowMs int64) []scheduling.StreamLateness {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var shares []scheduling.StreamLateness
	for backend, learnt := range e.admissionControllers {
		if news := learnt.CollectStreamLateness(nowMs); news.Weight > 0 {
			shares = append(shares, scheduling.StreamLateness{Backend: backend, Streams: news})
		}
	}
	return shares
}

// applySharedLateness takes what all gateways together have seen of streams.
func (e *engineRegistry) applySharedLateness(shares []scheduling.StreamLateness, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, share := range shares {
		getOrCreate(e.admissionControllers, share.Backend).ApplySharedLateness(share.Streams, nowMs)
	}
}
