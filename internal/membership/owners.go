package membership

import (
	"slices"
	"strings"
)

// poolCount counts one scheduler's engines of one pool.
type poolCount struct {
	owner string
	pool  string
}

// assignment is the state of giving engines to schedulers.
type assignment struct {
	alive map[string]Scheduler
	// candidates are the schedulers that may get engines, in ascending order of
	// name, and byZone the same by zone.
	candidates []string
	byZone     map[string][]string
	owned      map[string]int
	inPool     map[poolCount]int
}

func newAssignment(engines map[string]Engine, alive map[string]Scheduler) *assignment {
	a := &assignment{alive: alive, byZone: map[string][]string{}, owned: map[string]int{}, inPool: map[poolCount]int{}}
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
		if a.holds(engine) {
			a.count(engine, 1)
		}
	}
	return a
}

// holds reports whether an engine has an owner that lives and doesn't drain.
func (a *assignment) holds(engine Engine) bool {
	holder, ok := a.alive[engine.Owner]
	return ok && !holder.Draining
}

func (a *assignment) count(engine Engine, by int) {
	a.owned[engine.Owner] += by
	a.inPool[poolCount{engine.Owner, engine.Pool}] += by
}

// assignOwners gives each engine without a live owner to the scheduler with the
// fewest engines of its pool, one of its own zone first, and moves engines where
// a zone's schedulers are out of balance by more than one.
func assignOwners(engines map[string]Engine, alive map[string]Scheduler) {
	a := newAssignment(engines, alive)
	if len(a.candidates) == 0 {
		return
	}
	for _, engine := range sortedEngines(engines) {
		best := a.best(engine)
		held := a.holds(engine)
		if held && !a.worthMoving(engine, best) {
			continue
		}
		if held {
			a.count(engine, -1)
		}
		engine.Owner = best
		a.count(engine, 1)
		engines[engine.Name] = engine
	}
}

// best returns the least loaded scheduler of the engine's zone, or of all where
// the zone has none.
func (a *assignment) best(engine Engine) string {
	candidates := a.byZone[engine.Zone]
	if len(candidates) == 0 {
		candidates = a.candidates
	}
	best := candidates[0]
	bestCount := a.inPool[poolCount{best, engine.Pool}]
	for _, name := range candidates[1:] {
		count := a.inPool[poolCount{name, engine.Pool}]
		if count < bestCount || (count == bestCount && a.owned[name] < a.owned[best]) {
			best, bestCount = name, count
		}
	}
	return best
}

// worthMoving reports whether an engine with a live owner should move: home to
// its own zone, or within its zone where that evens out a difference of more
// than one.
func (a *assignment) worthMoving(engine Engine, best string) bool {
	ownerLocal := a.alive[engine.Owner].Zone == engine.Zone
	bestLocal := a.alive[best].Zone == engine.Zone
	if ownerLocal != bestLocal {
		return bestLocal
	}
	return a.inPool[poolCount{engine.Owner, engine.Pool}] > a.inPool[poolCount{best, engine.Pool}]+1
}
