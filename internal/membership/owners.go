package membership

import (
	"slices"
	"strings"
)

// ownerPool identifies one scheduler's engines of one pool.
type ownerPool struct {
	owner string
	pool  string
}

// assignment is the working state of assigning engines to schedulers.
type assignment struct {
	alive map[string]Scheduler
	// candidates holds the schedulers that may receive engines, sorted by name. byZone holds
	// the same schedulers by zone.
	candidates      []string
	byZone          map[string][]string
	engineCount     map[string]int
	poolEngineCount map[ownerPool]int
}

func newAssignment(engines map[string]Engine, alive map[string]Scheduler) *assignment {
	a := &assignment{alive: alive, byZone: map[string][]string{}, engineCount: map[string]int{}, poolEngineCount: map[ownerPool]int{}}
	for name, scheduler := range alive {
		if !scheduler.Draining {
			a.candidates = append(a.candidates, name)
		}
	}
	slices.SortFunc(a.candidates, strings.Compare)
	for _, name := range a.candidates {
		a.byZone[alive[name].Zone] = append(a.byZone[alive[name].Zone], name)
	}
	for _, engine := range engines {
		if a.hasLiveOwner(engine) {
			a.addCount(engine, 1)
		}
	}
	return a
}

// hasLiveOwner reports whether an engine's owner is alive and not draining.
func (a *assignment) hasLiveOwner(engine Engine) bool {
	owner, ok := a.alive[engine.Owner]
	return ok && !owner.Draining
}

func (a *assignment) addCount(engine Engine, by int) {
	a.engineCount[engine.Owner] += by
	a.poolEngineCount[ownerPool{engine.Owner, engine.Pool}] += by
}

// assignOwners assigns each engine without a live owner to the scheduler with the fewest
// engines of its pool, preferring schedulers in the engine's zone. It also moves an engine whose
// owner is in another zone to a scheduler in its own zone, and engines between schedulers of a zone
// that differ by more than one engine.
func assignOwners(engines map[string]Engine, alive map[string]Scheduler) {
	a := newAssignment(engines, alive)
	if len(a.candidates) == 0 {
		return
	}
	for _, engine := range sortedEngines(engines) {
		best := a.leastLoaded(engine)
		hasOwner := a.hasLiveOwner(engine)
		if hasOwner && !a.shouldMove(engine, best) {
			continue
		}
		if hasOwner {
			a.addCount(engine, -1)
		}
		engine.Owner = best
		a.addCount(engine, 1)
		engines[engine.Name] = engine
	}
}

// leastLoaded returns the least loaded scheduler in the engine's zone, or among all schedulers
// if the zone has none.
func (a *assignment) leastLoaded(engine Engine) string {
	candidates := a.byZone[engine.Zone]
	if len(candidates) == 0 {
		candidates = a.candidates
	}
	best := candidates[0]
	bestCount := a.poolEngineCount[ownerPool{best, engine.Pool}]
	for _, name := range candidates[1:] {
		count := a.poolEngineCount[ownerPool{name, engine.Pool}]
		if count < bestCount || (count == bestCount && a.engineCount[name] < a.engineCount[best]) {
			best, bestCount = name, count
		}
	}
	return best
}

// shouldMove reports whether an engine with a live owner should move: to a scheduler in its
// own zone, or within its zone if that reduces a difference of more than one engine.
func (a *assignment) shouldMove(engine Engine, best string) bool {
	ownerLocal := a.alive[engine.Owner].Zone == engine.Zone
	bestLocal := a.alive[best].Zone == engine.Zone
	if ownerLocal != bestLocal {
		return bestLocal
	}
	return a.poolEngineCount[ownerPool{engine.Owner, engine.Pool}] > a.poolEngineCount[ownerPool{best, engine.Pool}]+1
}
