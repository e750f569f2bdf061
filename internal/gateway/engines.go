package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// engineRegistry holds the state of the engines: their registrations, which control sends, and
// their health and latency, which this gateway observes and control aggregates over all gateways.
type engineRegistry struct {
	mutex     sync.Mutex
	byBackend map[string][]membership.ServingEngine
	// mainVersions holds the software version that most engines of each backend run.
	mainVersions map[string]string
	health       map[string]*scheduling.EngineHealth
	// incarnations holds the start time of each engine by id, 0 if the engine did not report one.
	incarnations map[string]int64
	// latencyModels holds the latency model of each backend, learned from all its engines.
	latencyModels map[string]*scheduling.LatencyModel
	activity      activityTracker
	// callsAfterCrash counts, for each engine, this gateway's calls in flight under whose request another
	// engine has ended.
	callsAfterCrash map[string]int
	// registered holds the incarnations in the latest view (replaceRegistered).
	registered map[string]bool
	// admissionControllers decide which programs may start at each backend.
	admissionControllers map[string]*scheduling.AdmissionController
	// usageMeter measures the usage of tenants at this gateway, tenantShares holds the usage
	// aggregated over all gateways, and slotsByBackend the slots of an engine of each backend.
	usageMeter     *admission.UsageMeter
	tenantShares   admission.FairShares
	slotsByBackend map[string]int
	zone           string
	// zoneCosts holds the cost of using engines in other zones, and zoneByAddress the zone of
	// each engine.
	zoneCosts     scheduling.ZoneCosts
	zoneByAddress map[string]string
	// disabled lists the scheduling mechanisms that are turned off.
	disabled scheduling.DisabledMechanisms
	// fairSharesEnabled limits tenants to their fair shares of oversubscribed backends.
	fairSharesEnabled bool
}

func newEngineRegistry(zone string, policy config.Policy) *engineRegistry {
	return &engineRegistry{
		byBackend: map[string][]membership.ServingEngine{}, health: map[string]*scheduling.EngineHealth{}, incarnations: map[string]int64{},
		callsAfterCrash: map[string]int{},
		latencyModels:   map[string]*scheduling.LatencyModel{}, admissionControllers: map[string]*scheduling.AdmissionController{}, zone: zone, disabled: policy.Disable,
		fairSharesEnabled: policy.EnforcesFairShares && !policy.Disable.Has(scheduling.MechanismFairShares),
		usageMeter:        admission.NewUsageMeter(clock.NowMs()), slotsByBackend: map[string]int{},
		zoneCosts: scheduling.ZoneCosts{CrossZonePenaltyMs: policy.CrossZonePenaltyMs},
	}
}

// applyFleet applies a new view of the fleet and returns the addresses that are gone or whose
// engine has restarted. Invariant: an engine that drains or has left is not selected from here on.
func (e *engineRegistry) applyFleet(view *membership.FleetView) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	staleAddresses := map[string]bool{}
	for _, backendEngines := range e.byBackend {
		for _, engine := range backendEngines {
			staleAddresses[engine.Address] = true
		}
	}
	e.byBackend = map[string][]membership.ServingEngine{}
	e.zoneByAddress = map[string]string{}
	for _, engine := range view.Engines {
		delete(staleAddresses, engine.Address)
		e.zoneByAddress[engine.Address] = engine.Zone
		if !engine.Draining {
			e.byBackend[engine.Backend] = append(e.byBackend[engine.Backend], engine)
		}
	}
	e.updateMainVersions()
	closedAddresses := e.resetRestartedEngines(view)
	for id, health := range e.health {
		if _, isRegistered := view.Engines[id]; !isRegistered && health.OwnInFlight == 0 {
			delete(e.health, id)
		}
	}
	for address := range staleAddresses {
		closedAddresses = append(closedAddresses, address)
	}
	return closedAddresses
}

// resetRestartedEngines discards the health of engines that have restarted under the same id, and
// returns their addresses. Invariant: an incarnation starts without observations; requests in
// flight at the previous incarnation are counted for that one only. The start time of an engine
// that has left is remembered while requests are in flight there, so that its return is recognized
// as a restart.
func (e *engineRegistry) resetRestartedEngines(view *membership.FleetView) []string {
	var restarted []string
	for id := range e.incarnations {
		_, isRegistered := view.Engines[id]
		if _, hasHealth := e.health[id]; !isRegistered && !hasHealth {
			delete(e.incarnations, id)
		}
	}
	for id, engine := range view.Engines {
		previousIncarnation := e.incarnations[id]
		if engine.StartedMs == previousIncarnation {
			continue
		}
		e.incarnations[id] = engine.StartedMs
		// The first report of a start time does not indicate a restart.
		if previousIncarnation != 0 {
			delete(e.health, id)
			restarted = append(restarted, engine.Address)
		}
	}
	return restarted
}

// resolveAffineEngine returns the id of the engine that ran a session's last turn. key is the key
// of an engine's incarnation. If no engine matches, the key is returned unchanged and names no
// engine: the incarnation has ended, and its cached prompt is gone, or it is draining.
func resolveAffineEngine(backendEngines []membership.ServingEngine, key string) string {
	index := slices.IndexFunc(backendEngines, func(engine membership.ServingEngine) bool { return engine.MatchesKey(key) })
	if index < 0 {
		return key
	}
	return backendEngines[index].ID
}

// observeDial updates the round-trip time to an engine's zone from the time that a new connection
// took.
func (e *engineRegistry) observeDial(address string, elapsed time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if zone, isKnown := e.zoneByAddress[address]; isKnown {
		e.zoneCosts.ObserveRoundTrip(zone, elapsed.Seconds()*1000)
	}
}

// healthOf returns the health of an engine, creating it if necessary.
func (e *engineRegistry) healthOf(id string) *scheduling.EngineHealth {
	return getOrCreate(e.health, id)
}

// latencyModelOf returns the latency model of a backend, creating it if necessary.
func (e *engineRegistry) latencyModelOf(backend string) *scheduling.LatencyModel {
	return getOrCreate(e.latencyModels, backend)
}

// getOrCreate returns the entry of a key and creates a zero entry if there is none.
func getOrCreate[T any](entries map[string]*T, key string) *T {
	entry, found := entries[key]
	if !found {
		entry = new(T)
		entries[key] = entry
	}
	return entry
}

// engineCount returns how many engines of a backend are eligible for a call with a requirement.
func (e *engineRegistry) engineCount(backend string, requirement versionRequirement) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.eligibleEngines(backend, requirement))
}

// hasEligibleEngine reports whether a backend has an engine for a call with a requirement besides the
// excluded ones.
func (e *engineRegistry) hasEligibleEngine(backend string, requirement versionRequirement, excluded []string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.ContainsFunc(e.byBackend[backend], func(engine membership.ServingEngine) bool {
		return requirement.allows(engine) && !slices.Contains(excluded, engine.ID)
	})
}

// eligibleEngines returns the engines of a backend that a call with a requirement may be sent to.
// The caller must hold the mutex and must not change the result.
func (e *engineRegistry) eligibleEngines(backend string, requirement versionRequirement) []membership.ServingEngine {
	if !requirement.isRequired {
		return e.byBackend[backend]
	}
	var eligible []membership.ServingEngine
	for _, engine := range e.byBackend[backend] {
		if requirement.allows(engine) {
			eligible = append(eligible, engine)
		}
	}
	return eligible
}

// latencyRatio returns the ratio of an engine's latency to that of the other engines.
func (e *engineRegistry) latencyRatio(engine string, nowMs int64) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.healthOf(engine).LatencyRatio(nowMs)
}

// recordTimeout records that an engine did not respond in time, which makes the engine suspect. The
// attempt may still be running.
func (e *engineRegistry) recordTimeout(engine string, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.healthOf(engine).RecordFailure(nowMs)
}

// otherEngines returns the engines of a backend except the named one. It returns none if the named
// engine no longer belongs to the backend.
func (e *engineRegistry) otherEngines(backend, engine string) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var others []string
	found := false
	for _, candidate := range e.byBackend[backend] {
		if candidate.ID == engine {
			found = true
			continue
		}
		others = append(others, candidate.ID)
	}
	if !found {
		return nil
	}
	return others
}

// expectedServiceMs returns how long a call is expected to occupy an engine in milliseconds, 0 if
// that is unknown.
func (e *engineRegistry) expectedServiceMs(backend string, input scheduling.SelectionInput) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.latencyModelOf(backend).ExpectedServiceMs(input)
}

// selection is a selected engine and the figures behind the selection, for the log.
type selection struct {
	engine membership.ServingEngine
	// inFlight counts this gateway's requests in flight at the engine, including this one, and
	// candidateCount the engines of the backend.
	inFlight       int
	candidateCount int
	// prefillTokens is the expected number of prompt tokens that are not in the engine's cache.
	prefillTokens int64
	// estimatedInFlight is the expected number of requests in flight at the engine from all
	// gateways. sharedLoadAgeMs is the age of the load aggregated over all gateways, -1 if there
	// is none.
	estimatedInFlight float64
	sharedLoadAgeMs   int64
	// costMs, nextBestCostMs and affineEngineCostMs are the expected costs of the request at the
	// engine, at the next best engine and at the session's affine engine.
	costMs             float64
	nextBestCostMs     float64
	affineEngineCostMs float64
	// slowdown and affineEngineSlowdown are the expected times per token at the engine and at the
	// affine engine, relative to a typical engine of the backend; the latter is 0 without an affine
	// engine. remainingTurns is the expected number of further turns of the session.
	slowdown             float64
	affineEngineSlowdown float64
	remainingTurns       float64
	// moveReason is the reason why the session left its affine engine.
	moveReason scheduling.MoveReason
	// requiredKVCacheTokens is the KV cache that the request needs, reservedKVCacheTokens the KV
	// cache that is reserved for other requests, and preemptedTokens the expected number of
	// tokens of running requests that the engine has to preempt.
	requiredKVCacheTokens int64
	reservedKVCacheTokens int64
	preemptedTokens       int64
	// health belongs to the engine's incarnation; a later incarnation gets a new one.
	health *scheduling.EngineHealth
	// isAfterCrash is true if another engine has ended under the call's request.
	isAfterCrash bool
}

// selectEngine selects the engine for a call with a requirement and counts the call as in flight
// there. isAfterCrash is true if an engine has ended under the call's request.
func (e *engineRegistry) selectEngine(backend routing.Backend, input scheduling.SelectionInput, requirement versionRequirement, isAfterCrash bool) (selection, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	backendEngines := e.eligibleEngines(backend.Name, requirement)
	candidates := make([]scheduling.Candidate, 0, len(backendEngines))
	for _, engine := range backendEngines {
		candidate := scheduling.Candidate{
			ID: engine.ID, Zone: engine.Zone, Slots: max(engine.Slots, backend.Slots), KVCacheCapacityTokens: backend.KVCacheCapacityTokens,
			Health: e.healthOf(engine.ID),
		}
		candidates = append(candidates, candidate)
	}
	input.AffineEngine = resolveAffineEngine(backendEngines, input.AffineEngine)
	input.Zone = e.zone
	input.ZoneCosts = &e.zoneCosts
	input.ShuffleSeed = rand.Uint64()
	input.Disabled = e.disabled
	if input.IsStream {
		input.RemainingTurns = e.latencyModelOf(backend.Name).RemainingTurns(input.RequestKind, len(input.Prompt))
	}
	selected, found := scheduling.SelectEngine(e.latencyModelOf(backend.Name), candidates, input)
	if !found {
		return selection{}, false
	}
	e.activity.record(input.NowMs)
	if input.IsStream && len(input.ExcludedEngines) == 0 {
		e.latencyModelOf(backend.Name).ObserveTurn(input.RequestKind, len(input.Prompt))
	}
	health := selected.Candidate.Health
	health.RecordStart(input.NowMs)
	if isAfterCrash {
		e.callsAfterCrash[selected.Candidate.ID]++
	}
	reservedBefore := health.ReservedKVCacheTokens(input.NowMs)
	health.ReserveKVCache(input.NowMs, input.RequiredKVCacheTokens)
	index := slices.IndexFunc(backendEngines, func(engine membership.ServingEngine) bool { return engine.ID == selected.Candidate.ID })
	return selection{
		engine: backendEngines[index], inFlight: health.OwnInFlight, candidateCount: len(backendEngines),
		estimatedInFlight: health.EstimatedInFlight(input.NowMs), sharedLoadAgeMs: health.SharedLoadAgeMs(input.NowMs),
		prefillTokens: selected.PrefillTokens, costMs: selected.CostMs, nextBestCostMs: selected.NextBestCostMs, affineEngineCostMs: selected.AffineEngineCostMs, health: health,
		requiredKVCacheTokens: input.RequiredKVCacheTokens, reservedKVCacheTokens: int64(reservedBefore), preemptedTokens: selected.PreemptedTokens,
		slowdown: selected.Slowdown, affineEngineSlowdown: selected.AffineEngineSlowdown, remainingTurns: input.RemainingTurns, moveReason: selected.MoveReason,
		isAfterCrash: isAfterCrash,
	}, true
}

// cancelSelection removes a call from the requests in flight at its selected engine if the call is
// not sent.
func (e *engineRegistry) cancelSelection(selected selection, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	selected.health.RecordEnd(nowMs)
	e.endCallAfterCrash(selected)
}

// observeFirstEvent records how long an engine took to send the first event of a stream.
func (e *engineRegistry) observeFirstEvent(c *call, firstEventMs float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	nowMs := clock.NowMs()
	e.activity.record(nowMs)
	e.latencyModelOf(c.backend.Name).ObserveFirstEvent(c.selection.health, nowMs, c.selection.prefillTokens, firstEventMs)
	e.observeStreamStart(c, nowMs, firstEventMs)
}

// observeEventGap records the gap between two events of a stream in milliseconds.
func (e *engineRegistry) observeEventGap(c *call, gapMs float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	nowMs := clock.NowMs()
	e.activity.record(nowMs)
	e.latencyModelOf(c.backend.Name).ObserveEventGap(c.selection.health, nowMs, gapMs)
}

// observeStreamPace records the number of gaps between the events of a stream and the shortest of
// them in milliseconds.
func (e *engineRegistry) observeStreamPace(c *call, gaps int, shortestMs float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.latencyModelOf(c.backend.Name).ObserveStreamPace(c.selection.health, clock.NowMs(), gaps, shortestMs)
}

// recordAttemptEnd removes a call from the requests in flight at its engine and records the outcome.
func (e *engineRegistry) recordAttemptEnd(c *call, nowMs int64, outcome attemptOutcome) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	health := c.selection.health
	health.RecordEnd(nowMs)
	health.ReleaseKVCache(nowMs, c.selection.requiredKVCacheTokens)
	e.endCallAfterCrash(c.selection)
	switch outcome.kind {
	case attemptAnswered:
		if isEngineFailure(outcome.status) {
			// A failure may return immediately, so its latency must not make the engine look fast.
			health.RecordFailure(nowMs)
			return
		}
		health.RecordSuccess()
		if outcome.responseMs > 0 {
			e.latencyModelOf(c.backend.Name).ObserveResponse(health, nowMs, c.route.Name, outcome.responseMs)
		}
		if outcome.streamEvents > 0 {
			e.latencyModelOf(c.backend.Name).ObserveStreamLength(nowMs, outcome.streamEvents)
		}
	case attemptNotSent, attemptBroken, attemptFailed:
		if !outcome.isEngineSound {
			health.RecordFailure(nowMs)
		}
	}
}

// collectLoads returns the loads of engines that this gateway has observed since the last call.
func (e *engineRegistry) collectLoads(nowMs int64) []scheduling.EngineLoad {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var loads []scheduling.EngineLoad
	for id, health := range e.health {
		if load, isNew := health.CollectLoad(id, nowMs); isNew {
			loads = append(loads, load)
		}
	}
	return loads
}

// failingEngines returns the engines at which this gateway's requests fail.
func (e *engineRegistry) failingEngines(nowMs int64) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return scheduling.FailingEngines(e.health, nowMs)
}

// applySharedLoads applies the loads aggregated over all gateways, and marks the engines in failing,
// at which requests of several gateways fail, as suspect. It returns those that were not suspect
// before.
func (e *engineRegistry) applySharedLoads(loads []scheduling.EngineLoad, failing []string, nowMs int64) []string {
	if e.disabled.Has(scheduling.MechanismSharedState) {
		return nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, load := range loads {
		e.healthOf(load.Engine).ApplySharedLoad(load, nowMs)
	}
	var suspected []string
	for _, engine := range failing {
		health := e.healthOf(engine)
		if !health.IsSuspect(nowMs) {
			suspected = append(suspected, engine)
		}
		health.ApplySharedSuspicion(nowMs)
	}
	return suspected
}

// collectUsages returns the engine usage that this gateway has observed since the last call.
func (e *engineRegistry) collectUsages(nowMs int64) []scheduling.EngineUsage {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var usages []scheduling.EngineUsage
	for id, health := range e.health {
		if usage, isNew := health.CollectUsage(id, nowMs); isNew {
			usages = append(usages, usage)
		}
	}
	return usages
}

// applySharedUsages applies the engine usage aggregated over all gateways.
func (e *engineRegistry) applySharedUsages(usages []scheduling.EngineUsage, nowMs int64) {
	if e.disabled.Has(scheduling.MechanismSharedState) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, usage := range usages {
		e.healthOf(usage.Engine).ApplySharedUsage(usage, nowMs)
	}
}

// slowdownSpread returns the ratio of the slowdown of the slowest engine to that of the fastest
// one, for the backend with the largest ratio.
func (e *engineRegistry) slowdownSpread() float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	largest := 1.0
	for _, backendEngines := range e.byBackend {
		var fastest, slowest float64
		for index, engine := range backendEngines {
			slowdown := e.healthOf(engine.ID).Slowdown()
			if index == 0 || slowdown < fastest {
				fastest = slowdown
			}
			slowest = max(slowest, slowdown)
		}
		if fastest > 0 {
			largest = max(largest, slowest/fastest)
		}
	}
	return largest
}
