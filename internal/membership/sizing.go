package membership

import "math"

const (
	// targetUtilization is the maximum share of the slots of the advertised engines that
	// should be in use. The load may then grow to four times its value within the second that
	// passes before more engines are advertised.
	targetUtilization = 0.25
	// remoteUtilizationRatio is the factor by which the utilization of the engines advertised
	// to other zones must exceed that of all advertised engines of the pool before more engines
	// are advertised to those zones. If both are equal, the load comes from the zone itself.
	// Without this condition every zone would then receive the engines of all other zones.
	remoteUtilizationRatio = 1.5
	// shrinkDelayMs is the time for which at most half of a pool's advertised engines must have
	// been required before their number is halved, in milliseconds.
	shrinkDelayMs = 60_000
)

// poolLoad is the load of those engines of a pool that are advertised to an audience.
type poolLoad struct {
	engines  int
	slots    int
	inFlight float64
}

// utilization returns the share of the slots that is in use.
func (l poolLoad) utilization() float64 {
	if l.slots == 0 {
		return 0
	}
	return l.inFlight / float64(l.slots)
}

// requiredEngines returns the smallest number of engines, with the same average number of slots,
// whose utilization by this load does not exceed targetUtilization.
func (l poolLoad) requiredEngines() int {
	if l.engines == 0 || l.slots == 0 {
		return 0
	}
	slotsEach := float64(l.slots) / float64(l.engines)
	return int(math.Ceil(l.inFlight / (slotsEach * targetUtilization)))
}

// PlanSubsetSizes returns the new sizes of the subsets that should change. inFlight returns the
// number of requests in flight at an engine. Subsets grow immediately and shrink only after
// at most half of the engines have been required for shrinkDelayMs.
func (t *FleetTracker) PlanSubsetSizes(fleet *Fleet, inFlight func(engine string) float64, nowMs int64) []SubsetSize {
	var changed []SubsetSize
	for key, pool := range fleet.advertisements.pools {
		size := SubsetSize{Backend: key.backend, Zone: key.zone, Local: pool.sizes[localAudience], Remote: pool.sizes[remoteAudience]}
		wanted := size
		localLoad := fleet.loadOf(pool, size.Local, inFlight)
		wanted.Local = max(size.Local, min(localLoad.requiredEngines(), len(pool.ranked)))
		if remoteLoad := fleet.loadOf(pool, size.Remote, inFlight); remoteLoad.utilization() > remoteUtilizationRatio*localLoad.utilization() {
			wanted.Remote = max(size.Remote, min(remoteLoad.requiredEngines(), wanted.Local))
		}
		if wanted == size {
			wanted = t.shrinkSize(key, size, localLoad.requiredEngines(), nowMs)
		}
		if wanted != size {
			changed = append(changed, wanted)
		}
	}
	return changed
}

// loadOf returns the load of the first size engines of a pool.
func (f *Fleet) loadOf(pool *zonePool, size int, inFlight func(engine string) float64) poolLoad {
	var load poolLoad
	for _, entry := range pool.ranked[:min(size, len(pool.ranked))] {
		load.engines++
		load.slots += max(f.state.Engines[entry.id].Value.Slots, 1)
		load.inFlight += inFlight(entry.id)
	}
	return load
}

// shrinkSize returns half of a size if that has been sufficient for shrinkDelayMs, otherwise the
// size. required is the number of engines that the local subset needs.
func (t *FleetTracker) shrinkSize(key poolKey, size SubsetSize, required int, nowMs int64) SubsetSize {
	const half = 2
	if size.Local <= minLocalSubset && size.Remote <= minRemoteSubset || required*half > size.Local {
		delete(t.oversizedSinceMs, key)
		return size
	}
	sinceMs, oversized := t.oversizedSinceMs[key]
	if !oversized {
		t.oversizedSinceMs[key] = nowMs
		return size
	}
	if nowMs-sinceMs < shrinkDelayMs {
		return size
	}
	delete(t.oversizedSinceMs, key)
	size.Local = max(size.Local/half, minLocalSubset)
	size.Remote = max(size.Remote/half, minRemoteSubset)
	return size
}
