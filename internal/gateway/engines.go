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

// engines is what the gateway knows of the engines: their registrations, which
// control tells, and their health, which it sees itself.
type engines struct {
	mutex  sync.Mutex
	byPool map[string][]membership.ServingEngine
	health map[string]*scheduling.EngineHealth
	// born are the incarnations of the engines that say when they started.
	born map[string]int64
	// learnt is what is known of each back end's engines together.
	learnt   map[string]*scheduling.LatencyModel
	activity activity
	// admissions decide which programs may begin at each back end.
	admissions map[string]*scheduling.AdmissionController
	// meter measures the use of tenants here, shares holds that of all gateways' tenants, and
	// slots those of back ends' engines.
	meter  *admission.UsageMeter
	shares admission.FairShares
	slots  map[string]int
	zone   string
	// distances are what engines of other zones cost, zones the zones of engines by address.
	distances scheduling.ZoneCosts
	zones     map[string]string
	// disabled are the mechanisms that are turned off.
	disabled scheduling.DisabledMechanisms
	// fairShares says that tenants are held to their shares of back ends that are short of room.
	fairShares bool
}

func newEngines(zone string, policy config.Policy) *engines {
	return &engines{
		byPool: map[string][]membership.ServingEngine{}, health: map[string]*scheduling.EngineHealth{}, born: map[string]int64{},
		learnt: map[string]*scheduling.LatencyModel{}, admissions: map[string]*scheduling.AdmissionController{}, zone: zone, disabled: policy.Disable,
		fairShares: policy.FairShares && !policy.Disable.Has(scheduling.MechanismFairShares),
		meter:      admission.NewUsageMeter(clock.NowMs()), slots: map[string]int{},
		distances: scheduling.ZoneCosts{CrossZonePenaltyMs: policy.CrossZonePenaltyMs},
	}
}

// follow takes a new view of the fleet and returns the addresses that are gone, or whose
// engine has started again. Invariant: an engine that drains or has left gets nothing from here
// on.
func (e *engines) follow(view *membership.FleetView) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	previous := map[string]bool{}
	for _, pool := range e.byPool {
		for _, engine := range pool {
			previous[engine.Address] = true
		}
	}
	e.byPool = map[string][]membership.ServingEngine{}
	e.zones = map[string]string{}
	for _, engine := range view.Engines {
		delete(previous, engine.Address)
		e.zones[engine.Address] = engine.Zone
		if !engine.Draining {
			e.byPool[engine.Backend] = append(e.byPool[engine.Backend], engine)
		}
	}
	gone := e.followIncarnations(view)
	for id, health := range e.health {
		if _, known := view.Engines[id]; !known && health.InFlight == 0 {
			delete(e.health, id)
		}
	}
	for address := range previous {
		gone = append(gone, address)
	}
	return gone
}

// followIncarnations forgets what was learnt of engines that have started again under their
// ids, and returns their addresses. Invariant: an incarnation begins with nothing said of it;
// requests that are under way at the one before are counted for that one.
func (e *engines) followIncarnations(view *membership.FleetView) []string {
	var restarted []string
	for id := range e.born {
		_, told := view.Engines[id]
		if _, remembered := e.health[id]; !told && !remembered {
			delete(e.born, id)
		}
	}
	for id, engine := range view.Engines {
		known := e.born[id]
		if engine.StartedMs == known {
			continue
		}
		e.born[id] = engine.StartedMs
		// The first word of when an engine started tells of no other life.
		if known != 0 {
			delete(e.health, id)
			restarted = append(restarted, engine.Address)
		}
	}
	return restarted
}

// affineEngine returns the id of the engine that a session's last turn ran at. The key of an
// incarnation that is over stays what it is and names none: it holds nothing of the session.
func affineEngine(pool []membership.ServingEngine, key string) string {
	position := slices.IndexFunc(pool, func(engine membership.ServingEngine) bool { return engine.MatchesKey(key) })
	if position < 0 {
		return key
	}
	return pool[position].ID
}

// dialed learns the way to an engine's zone from a new connection to it.
func (e *engines) dialed(address string, took time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if zone, known := e.zones[address]; known {
		e.distances.ObserveRoundTrip(zone, took.Seconds()*1000)
	}
}

// healthOf returns what this gateway has seen of an engine.
func (e *engines) healthOf(id string) *scheduling.EngineHealth { return entryOf(e.health, id) }

// poolOf returns what is known of a back end's engines.
func (e *engines) poolOf(backend string) *scheduling.LatencyModel { return entryOf(e.learnt, backend) }

// entryOf returns the entry of a key, a new one where there is none.
func entryOf[T any](entries map[string]*T, key string) *T {
	entry, known := entries[key]
	if !known {
		entry = new(T)
		entries[key] = entry
	}
	return entry
}

// count is how many engines of a back end may be sent requests.
func (e *engines) count(backend string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.byPool[backend])
}

// factor is how many times longer than at others things take at an engine.
func (e *engines) factor(engine string, nowMs int64) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.healthOf(engine).LatencyRatio(nowMs)
}

// silent passes an engine over that does not say anything for too long, although it has not
// failed yet.
func (e *engines) silent(engine string, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.healthOf(engine).RecordFailure(nowMs)
}

// others are the engines of a back end that are not the one named; none where it is no
// engine of the back end any more.
func (e *engines) others(backend, engine string) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var others []string
	found := false
	for _, known := range e.byPool[backend] {
		if known.ID == engine {
			found = true
			continue
		}
		others = append(others, known.ID)
	}
	if !found {
		return nil
	}
	return others
}

// expectedMs is how long a call is expected to occupy an engine, 0 where that is not known.
func (e *engines) expectedMs(backend string, demand scheduling.SelectionInput) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.poolOf(backend).ExpectedServiceMs(demand)
}

// choice is an engine and what decided for it, for the log.
type choice struct {
	engine membership.ServingEngine
	// inFlight counts this gateway's requests there, the one chosen for included, and
	// candidates the engines that could have been chosen.
	inFlight   int
	candidates int
	// missing is what the engine is expected to have to read, tokens; cost and nextCost
	// are what the request is expected to cost there and at the next best engine,
	// milliseconds, homeCost at the engine that holds what the session has read.
	missing int64
	// company is how many requests of all gateways are expected there, and sharedAgeMs
	// how old what the others have said of it is, -1 where nothing is known.
	company     float64
	sharedAgeMs int64
	cost        float64
	nextCost    float64
	homeCost    float64
	// slowness and homeSlowness are how many times longer than usual a token is expected to
	// take at the engine and at the one that holds what the session has read, 0 for none;
	// turns is how many turns the session is expected to have yet.
	slowness     float64
	homeSlowness float64
	turns        float64
	// moved says why the session left the engine that holds what it has read.
	moved scheduling.MoveReason
	// holds is what the request takes of the engine's memory, heldTokens what others were
	// expected to take before, and pushed by how much that exceeds it.
	holds      int64
	heldTokens int64
	pushed     int64
	// health is that of the engine's incarnation, which the next one does not take over.
	health *scheduling.EngineHealth
}

// choose picks the engine for a call and counts it as under way there.
func (e *engines) choose(backend routing.Backend, demand scheduling.SelectionInput) (choice, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	pool := e.byPool[backend.Name]
	candidates := make([]scheduling.Candidate, 0, len(pool))
	for _, engine := range pool {
		candidate := scheduling.Candidate{
			ID: engine.ID, Zone: engine.Zone, Slots: max(engine.Slots, backend.Slots), KVCacheCapacityTokens: backend.KVCacheCapacityTokens,
			Health: e.healthOf(engine.ID),
		}
		candidates = append(candidates, candidate)
	}
	demand.AffineEngine = affineEngine(pool, demand.AffineEngine)
	demand.Zone = e.zone
	demand.ZoneCosts = &e.distances
	demand.ShuffleSeed = rand.Uint64()
	demand.Disabled = e.disabled
	if demand.IsStream {
		demand.RemainingTurns = e.poolOf(backend.Name).RemainingTurns(demand.RequestKind, len(demand.Prompt))
	}
	chosen, found := scheduling.SelectEngine(e.poolOf(backend.Name), candidates, demand)
	if !found {
		return choice{}, false
	}
	e.activity.note(demand.NowMs)
	if demand.IsStream && len(demand.ExcludedEngines) == 0 {
		e.poolOf(backend.Name).ObserveTurn(demand.RequestKind, len(demand.Prompt))
	}
	health := chosen.Candidate.Health
	health.RecordStart(demand.NowMs)
	heldBefore := health.ReservedKVCacheTokens(demand.NowMs)
	health.ReserveKVCache(demand.NowMs, demand.RequiredKVCacheTokens)
	position := slices.IndexFunc(pool, func(engine membership.ServingEngine) bool { return engine.ID == chosen.Candidate.ID })
	return choice{
		engine: pool[position], inFlight: health.InFlight, candidates: len(pool),
		company: health.EstimatedInFlight(demand.NowMs), sharedAgeMs: health.SharedLoadAgeMs(demand.NowMs),
		missing: chosen.PrefillTokens, cost: chosen.CostMs, nextCost: chosen.NextBestCostMs, homeCost: chosen.AffineEngineCostMs, health: health,
		holds: demand.RequiredKVCacheTokens, heldTokens: int64(heldBefore), pushed: chosen.PreemptedTokens,
		slowness: chosen.Slowdown, homeSlowness: chosen.AffineEngineSlowdown, turns: demand.RemainingTurns, moved: chosen.MoveReason,
	}, true
}

// notSent takes a call off the engine that was chosen for it, where it is not sent after all.
func (e *engines) notSent(chosen choice, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	chosen.health.RecordEnd(nowMs)
}

// firstEvent notes how long an engine took for the first event of a stream.
func (e *engines) firstEvent(c *call, took float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	nowMs := clock.NowMs()
	e.activity.note(nowMs)
	e.poolOf(c.backend.Name).ObserveFirstEvent(c.chosen.health, nowMs, c.chosen.missing, took)
	e.noteBeginning(c, nowMs, took)
}

// nextEvent notes the pause of a stream before an event.
func (e *engines) nextEvent(c *call, gap float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	nowMs := clock.NowMs()
	e.activity.note(nowMs)
	e.poolOf(c.backend.Name).ObserveEventGap(c.chosen.health, nowMs, gap)
}

// streamPaced notes the pauses between the events of a stream that an engine sent: how many
// there were and the shortest, milliseconds.
func (e *engines) streamPaced(c *call, pauses int, shortest float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.poolOf(c.backend.Name).ObserveStreamPace(c.chosen.health, clock.NowMs(), pauses, shortest)
}

// ended takes a call off its engine and notes how it went.
func (e *engines) ended(c *call, nowMs int64, attempt attemptOutcome) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	health := c.chosen.health
	health.RecordEnd(nowMs)
	health.ReleaseKVCache(nowMs, c.chosen.holds)
	switch attempt.kind {
	case attemptAnswered:
		if isFailure(attempt.status) {
			// It may have failed at once: that is no sign of a quick engine.
			health.RecordFailure(nowMs)
			return
		}
		health.RecordSuccess()
		if attempt.tookMs > 0 {
			e.poolOf(c.backend.Name).ObserveResponse(health, nowMs, c.route.Name, attempt.tookMs)
		}
		if attempt.events > 0 {
			e.poolOf(c.backend.Name).ObserveStreamLength(nowMs, attempt.events)
		}
	case attemptNotSent, attemptBroken, attemptFailed:
		health.RecordFailure(nowMs)
	}
}

// takeLoads returns what this gateway has seen of engines since the last call.
func (e *engines) takeLoads(nowMs int64) []scheduling.EngineLoad {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var loads []scheduling.EngineLoad
	for id, health := range e.health {
		if load, said := health.CollectLoad(id, nowMs); said {
			loads = append(loads, load)
		}
	}
	return loads
}

// failing returns the engines at which this gateway's requests fail.
func (e *engines) failing(nowMs int64) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return scheduling.FailingEngines(e.health, nowMs)
}

// takeShared takes what all gateways together have seen, and the engines at which requests of
// several of them fail; it returns those of them that were not suspect here.
func (e *engines) takeShared(loads []scheduling.EngineLoad, failing []string, nowMs int64) []string {
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

// takeUsages returns what this gateway has seen of the engines' use since the last call.
func (e *engines) takeUsages(nowMs int64) []scheduling.EngineUsage {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var usages []scheduling.EngineUsage
	for id, health := range e.health {
		if usage, said := health.CollectUsage(id, nowMs); said {
			usages = append(usages, usage)
		}
	}
	return usages
}

// takeSharedUsages takes what all gateways together know of the engines' use.
func (e *engines) takeSharedUsages(usages []scheduling.EngineUsage, nowMs int64) {
	if e.disabled.Has(scheduling.MechanismSharedState) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, usage := range usages {
		e.healthOf(usage.Engine).ApplySharedUsage(usage, nowMs)
	}
}

// slownessSpread returns how many times longer than at the quickest engine a token takes at the
// slowest one, at the back end where that is most.
func (e *engines) slownessSpread() float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	widest := 1.0
	for _, pool := range e.byPool {
		var quickest, slowest float64
		for position, engine := range pool {
			slowness := e.healthOf(engine.ID).Slowdown()
			if position == 0 || slowness < quickest {
				quickest = slowness
			}
			slowest = max(slowest, slowness)
		}
		if quickest > 0 {
			widest = max(widest, slowest/quickest)
		}
	}
	return widest
}
