package membership

import "math"

const (
	// targetUtilization is the maximum share of the slots of the advertised engines that
	// should be in use. The load may then grow to four times its value within the second that
	// passes before more engines are advertised.
	targetUtilization = 0.25
	// remoteCrowdingRatio is the factor by which the utilization of the engines advertised to
	// other zones must exceed that of all advertised engines of the pool before more engines
	// are advertised to those zones. If all of them are equally utilized, the load comes from
	// the zone itself, and every zone would otherwise receive the engines of all other zones.
	remoteCrowdingRatio = 1.5
	// shrinkDelayMs is the time for which less than half of a pool's advertised engines must
	// have been sufficient before their number is halved, in milliseconds.
	shrinkDelayMs = 60_000
)

// poolLoad is the load of those engines of a pool that are advertised to an audience.
type poolLoad struct {
	engines  int
	slots    int
	inFlight float64
}

// utilization returns the share of the slots that is in use.
func (u poolLoad) utilization() float64 {
	if u.slots == 0 {
		return 0
	}
	return u.inFlight / float64(u.slots)
}

// requiredEngines returns the number of engines of this kind that should be advertised.
func (u poolLoad) requiredEngines() int {
	if u.engines == 0 || u.slots == 0 {
		return 0
	}
	slotsEach := float64(u.slots) / float64(u.engines)
	return int(math.Ceil(u.inFlight / (slotsEach * targetUtilization)))
}

// PlanSubsetSizes returns the pools of which more or fewer engines should be advertised.
// inFlight returns the number of requests in flight at an engine. Subsets grow immediately and
// shrink only after the additional engines have not been needed for a long time.
func (t *FleetTracker) PlanSubsetSizes(fleet *Fleet, inFlight func(engine string) float64, nowMs int64) []SubsetSize {
	var changed []SubsetSize
	for key, pool := range fleet.advertisements.pools {
		size := SubsetSize{Backend: key.backend, Zone: key.zone, Local: pool.sizes[localAudience], Remote: pool.sizes[remoteAudience]}
		wanted := size
		localLoad := fleet.loadOf(pool, size.Local, inFlight)
		wanted.Local = max(size.Local, min(localLoad.requiredEngines(), len(pool.ranked)))
		if remoteLoad := fleet.loadOf(pool, size.Remote, inFlight); remoteLoad.utilization() > remoteCrowdingRatio*localLoad.utilization() {
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

// loadOf returns the load of the first engines of a pool.
func (f *Fleet) loadOf(pool *zonePool, size int, inFlight func(engine string) float64) poolLoad {
	var use poolLoad
	for _, entry := range pool.ranked[:min(size, len(pool.ranked))] {
		use.engines++
		use.slots += max(f.state.Engines[entry.id].Value.Slots, 1)
		use.inFlight += inFlight(entry.id)
	}
	return use
}

// shrinkSize returns half of a size if that has been sufficient for long enough.
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
