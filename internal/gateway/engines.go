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

// engineRegistry is what the gateway knows of the engines: their registrations, which
// control tells, and their health, which it sees itself.
type engineRegistry struct {
	mutex     sync.Mutex
	byBackend map[string][]membership.ServingEngine
	health    map[string]*scheduling.EngineHealth
	// incarnations are the incarnations of the engines that say when they started.
	incarnations map[string]int64
	// latencyModels is what is known of each back end's engines together.
	latencyModels map[string]*scheduling.LatencyModel
	activity      activityTracker
	// admissionControllers decide which programs may begin at each back end.
	admissionControllers map[string]*scheduling.AdmissionController
	// usageMeter measures the use of tenants here, shares holds that of all gateways' tenants, and
	// slots those of back ends' engines.
	usageMeter     *admission.UsageMeter
	tenantShares   admission.FairShares
	slotsByBackend map[string]int
	zone           string
	// zoneCosts are what engines of other zones cost, zones the zones of engines by address.
	zoneCosts     scheduling.ZoneCosts
	zoneByAddress map[string]string
	// disabled are the mechanisms that are turned off.
	disabled scheduling.DisabledMechanisms
	// fairSharesEnabled says that tenants are held to their shares of back ends that are short of room.
	fairSharesEnabled bool
}

func newEngineRegistry(zone string, policy config.Policy) *engineRegistry {
	return &engineRegistry{
		byBackend: map[string][]membership.ServingEngine{}, health: map[string]*scheduling.EngineHealth{}, incarnations: map[string]int64{},
		latencyModels: map[string]*scheduling.LatencyModel{}, admissionControllers: map[string]*scheduling.AdmissionController{}, zone: zone, disabled: policy.Disable,
		fairSharesEnabled: policy.FairShares && !policy.Disable.Has(scheduling.MechanismFairShares),
		usageMeter:        admission.NewUsageMeter(clock.NowMs()), slotsByBackend: map[string]int{},
		zoneCosts: scheduling.ZoneCosts{CrossZonePenaltyMs: policy.CrossZonePenaltyMs},
	}
}

// applyFleet takes a new view of the fleet and returns the addresses that are gone, or whose
// engine has started again. Invariant: an engine that drains or has left gets nothing from here
// on.
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
	closedAddresses := e.resetRestartedEngines(view)
	for id, health := range e.health {
		if _, known := view.Engines[id]; !known && health.InFlight == 0 {
			delete(e.health, id)
		}
	}
	for address := range staleAddresses {
		closedAddresses = append(closedAddresses, address)
	}
	return closedAddresses
}

// resetRestartedEngines forgets what was learnt of engines that have started again under their
// ids, and returns their addresses. Invariant: an incarnation begins with nothing said of it;
// requests that are under way at the one before are counted for that one.
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
		// The first word of when an engine started tells of no other life.
		if previousIncarnation != 0 {
			delete(e.health, id)
			restarted = append(restarted, engine.Address)
		}
	}
	return restarted
}

// resolveAffineEngine returns the id of the engine that a session's last turn ran at. The key of an
// incarnation that is over stays what it is and names none: it holds nothing of the session.
func resolveAffineEngine(backendEngines []membership.ServingEngine, key string) string {
	index := slices.IndexFunc(backendEngines, func(engine membership.ServingEngine) bool { return engine.MatchesKey(key) })
	if index < 0 {
		return key
	}
	return backendEngines[index].ID
}

// observeDial learns the way to an engine's zone from a new connection to it.
func (e *engineRegistry) observeDial(address string, elapsed time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if zone, known := e.zoneByAddress[address]; known {
		e.zoneCosts.ObserveRoundTrip(zone, elapsed.Seconds()*1000)
	}
}

// healthOf returns what this gateway has seen of an engine.
func (e *engineRegistry) healthOf(id string) *scheduling.EngineHealth {
	return getOrCreate(e.health, id)
}

// latencyModelOf returns what is known of a back end's engines.
func (e *engineRegistry) latencyModelOf(backend string) *scheduling.LatencyModel {
	return getOrCreate(e.latencyModels, backend)
}

// getOrCreate returns the entry of a key, a new one where there is none.
func getOrCreate[T any](entries map[string]*T, key string) *T {
	entry, found := entries[key]
	if !found {
		entry = new(T)
		entries[key] = entry
	}
	return entry
}

// engineCount is how many engines of a back end may be sent requests.
func (e *engineRegistry) engineCount(backend string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.byBackend[backend])
}

// latencyRatio is how many times longer than at others things take at an engine.
func (e *engineRegistry) latencyRatio(engine string, nowMs int64) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.healthOf(engine).LatencyRatio(nowMs)
}

// recordTimeout passes an engine over that does not say anything for too long, although it has not
// failed yet.
func (e *engineRegistry) recordTimeout(engine string, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.healthOf(engine).RecordFailure(nowMs)
}

// otherEngines are the engines of a back end that are not the one named; none where it is no
// engine of the back end any more.
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

// expectedServiceMs is how long a call is expected to occupy an engine, 0 where that is not known.
func (e *engineRegistry) expectedServiceMs(backend string, input scheduling.SelectionInput) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.latencyModelOf(backend).ExpectedServiceMs(input)
}

// selection is an engine and what decided for it, for the log.
type selection struct {
	engine membership.ServingEngine
	// inFlight counts this gateway's requests there, the one chosen for included, and
	// candidates the engines that could have been chosen.
	inFlight       int
	candidateCount int
	// prefillTokens is what the engine is expected to have to read, tokens; cost and nextCost
	// are what the request is expected to cost there and at the next best engine,
	// milliseconds, homeCost at the engine that holds what the session has read.
	prefillTokens int64
	// estimatedInFlight is how many requests of all gateways are expected there, and sharedAgeMs
	// how old what the others have said of it is, -1 where nothing is known.
	estimatedInFlight  float64
	sharedLoadAgeMs    int64
	costMs             float64
	nextBestCostMs     float64
	affineEngineCostMs float64
	// slowdown and homeSlowness are how many times longer than usual a token is expected to
	// take at the engine and at the one that holds what the session has read, 0 for none;
	// turns is how many turns the session is expected to have yet.
	slowdown             float64
	affineEngineSlowdown float64
	remainingTurns       float64
	// moveReason says why the session left the engine that holds what it has read.
	moveReason scheduling.MoveReason
	// requiredKVCacheTokens is what the request takes of the engine's memory, heldTokens what others were
	// expected to take before, and pushed by how much that exceeds it.
	requiredKVCacheTokens int64
	reservedKVCacheTokens int64
	preemptedTokens       int64
	// health is that of the engine's incarnation, which the next one does not take over.
	health *scheduling.EngineHealth
}

// selectEngine picks the engine for a call and counts it as under way there.
func (e *engineRegistry) selectEngine(backend routing.Backend, input scheduling.SelectionInput) (selection, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	backendEngines := e.byBackend[backend.Name]
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
	reservedBefore := health.ReservedKVCacheTokens(input.NowMs)
	health.ReserveKVCache(input.NowMs, input.RequiredKVCacheTokens)
	index := slices.IndexFunc(backendEngines, func(engine membership.ServingEngine) bool { return engine.ID == selected.Candidate.ID })
	return selection{
		engine: backendEngines[index], inFlight: health.InFlight, candidateCount: len(backendEngines),
		estimatedInFlight: health.EstimatedInFlight(input.NowMs), sharedLoadAgeMs: health.SharedLoadAgeMs(input.NowMs),
		prefillTokens: selected.PrefillTokens, costMs: selected.CostMs, nextBestCostMs: selected.NextBestCostMs, affineEngineCostMs: selected.AffineEngineCostMs, health: health,
		requiredKVCacheTokens: input.RequiredKVCacheTokens, reservedKVCacheTokens: int64(reservedBefore), preemptedTokens: selected.PreemptedTokens,
		slowdown: selected.Slowdown, affineEngineSlowdown: selected.AffineEngineSlowdown, remainingTurns: input.RemainingTurns, moveReason: selected.MoveReason,
	}, true
}

// cancelSelection takes a call off the engine that was chosen for it, where it is not sent after all.
func (e *engineRegistry) cancelSelection(selected selection, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	selected.health.RecordEnd(nowMs)
}

// observeFirstEvent notes how long an engine took for the first event of a stream.
func (e *engineRegistry) observeFirstEvent(c *call, firstEventMs float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	nowMs := clock.NowMs()
	e.activity.record(nowMs)
	e.latencyModelOf(c.backend.Name).ObserveFirstEvent(c.selection.health, nowMs, c.selection.prefillTokens, firstEventMs)
	e.observeStreamStart(c, nowMs, firstEventMs)
}

// observeEventGap notes the pause of a stream before an event.
func (e *engineRegistry) observeEventGap(c *call, gapMs float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	nowMs := clock.NowMs()
	e.activity.record(nowMs)
	e.latencyModelOf(c.backend.Name).ObserveEventGap(c.selection.health, nowMs, gapMs)
}

// observeStreamPace notes the pauses between the events of a stream that an engine sent: how many
// there were and the shortest, milliseconds.
func (e *engineRegistry) observeStreamPace(c *call, gaps int, shortestMs float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.latencyModelOf(c.backend.Name).ObserveStreamPace(c.selection.health, clock.NowMs(), gaps, shortestMs)
}

// recordAttemptEnd takes a call off its engine and notes how it went.
func (e *engineRegistry) recordAttemptEnd(c *call, nowMs int64, attempt attemptOutcome) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	health := c.selection.health
	health.RecordEnd(nowMs)
	health.ReleaseKVCache(nowMs, c.selection.requiredKVCacheTokens)
	switch attempt.kind {
	case attemptAnswered:
		if isEngineFailure(attempt.status) {
			// It may have failed at once: that is no sign of a quick engine.
			health.RecordFailure(nowMs)
			return
		}
		health.RecordSuccess()
		if attempt.responseMs > 0 {
			e.latencyModelOf(c.backend.Name).ObserveResponse(health, nowMs, c.route.Name, attempt.responseMs)
		}
		if attempt.streamEvents > 0 {
			e.latencyModelOf(c.backend.Name).ObserveStreamLength(nowMs, attempt.streamEvents)
		}
	case attemptNotSent, attemptBroken, attemptFailed:
		health.RecordFailure(nowMs)
	}
}

// collectLoads returns what this gateway has seen of engines since the last call.
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

// applySharedLoads takes what all gateways together have seen, and the engines at which requests of
// several of them fail; it returns those of them that were not suspect here.
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

// collectUsages returns what this gateway has seen of the engines' use since the last call.
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

// applySharedUsages takes what all gateways together know of the engines' use.
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

// slowdownSpread returns how many times longer than at the quickest engine a token takes at the
// slowest one, at the back end where that is most.
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
