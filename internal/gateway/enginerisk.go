package gateway

import (
	"math"
	"slices"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/membership"
)

// endCallAfterCrash counts a call in callsAfterCrash no longer. The caller must hold the mutex.
func (e *engineRegistry) endCallAfterCrash(ended selection) {
	if !ended.isAfterCrash {
		return
	}
	if e.callsAfterCrash[ended.engine.ID]--; e.callsAfterCrash[ended.engine.ID] <= 0 {
		delete(e.callsAfterCrash, ended.engine.ID)
	}
}

// enginesToSpare returns the engines that a call under whose request an engine has ended should not be
// sent to: those that run another such call of this gateway, so that an innocent one of them does not
// lose its engine again, and, if this is its last allowed attempt, all but the ones with the fewest
// requests in flight.
func (e *engineRegistry) enginesToSpare(backend string, requirement versionRequirement, excluded []string, isLastAllowed bool, nowMs int64) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var spared []string
	fewest := math.Inf(1)
	eligible := e.eligibleEngines(backend, requirement)
	for _, engine := range eligible {
		if e.callsAfterCrash[engine.ID] > 0 {
			spared = append(spared, engine.ID)
		} else if !slices.Contains(excluded, engine.ID) && !e.healthOf(engine.ID).IsSuspect(nowMs) {
			fewest = min(fewest, e.healthOf(engine.ID).EstimatedInFlight(nowMs))
		}
	}
	if !isLastAllowed || math.IsInf(fewest, 1) {
		return spared
	}
	for _, engine := range eligible {
		if e.callsAfterCrash[engine.ID] == 0 && e.healthOf(engine.ID).EstimatedInFlight(nowMs) > fewest {
			spared = append(spared, engine.ID)
		}
	}
	return spared
}

// leastLoadedOf returns, of the given incarnations, the eligible one with the fewest requests in flight, and false if
// there is none. Engines that may run a request for another incarnation, and the excluded ones, are left out.
func (e *engineRegistry) leastLoadedOf(backend string, requirement versionRequirement, incarnations, excluded []string) (string, bool) {
	nowMs := clock.NowMs()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	least, isFound := "", false
	fewest := math.Inf(1)
	for _, engine := range e.eligibleEngines(backend, requirement) {
		isCandidate := engine.RefusesOtherIncarnations() && slices.Contains(incarnations, engine.IncarnationKey()) && !slices.Contains(excluded, engine.ID)
		if inFlight := e.healthOf(engine.ID).EstimatedInFlight(nowMs); isCandidate && inFlight < fewest {
			least, fewest, isFound = engine.IncarnationKey(), inFlight, true
		}
	}
	return least, isFound
}

// othersThan returns the IDs of a backend's engines that are not the given incarnation.
func (e *engineRegistry) othersThan(backend, incarnation string) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var others []string
	for _, engine := range e.byBackend[backend] {
		if engine.IncarnationKey() != incarnation {
			others = append(others, engine.ID)
		}
	}
	return others
}

// replaceRegistered replaces the registered incarnations and returns, in ascending order, those that
// are registered no longer.
func (e *engineRegistry) replaceRegistered(view *membership.FleetView) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	registered := make(map[string]bool, len(view.Engines))
	for _, engine := range view.Engines {
		registered[engine.IncarnationKey()] = true
	}
	var left []string
	for incarnation := range e.registered {
		if !registered[incarnation] {
			left = append(left, incarnation)
		}
	}
	slices.Sort(left)
	e.registered = registered
	return left
}
