package membership

import "math"

const (
	// advertisedUse is which share of the slots of the advertised engines should be taken at
	// the most: load may then rise to four times as much within the second that it takes until
	// more engines are advertised. Chosen so, not measured against others.
	advertisedUse = 0.25
	// crowdedByOthers is how many times fuller than all of a pool's advertised engines those must
	// be that gateways of other zones know, before these are told of more: where all are as full,
	// the load comes from the zone itself, and each zone would be told of all others' engines.
	crowdedByOthers = 1.5
	// calmMs is how long less than half of a pool's advertised engines must have been enough
	// before their number is halved, milliseconds.
	calmMs = 60_000
)

// poolUse is what is under way at the engines of a pool that are advertised to an audience.
type poolUse struct {
	engines  int
	slots    int
	inFlight float64
}

// share returns which part of the slots is taken.
func (u poolUse) share() float64 {
	if u.slots == 0 {
		return 0
	}
	return u.inFlight / float64(u.slots)
}

// needed returns how many engines like these should be advertised.
func (u poolUse) needed() int {
	if u.engines == 0 || u.slots == 0 {
		return 0
	}
	slotsEach := float64(u.slots) / float64(u.engines)
	return int(math.Ceil(u.inFlight / (slotsEach * advertisedUse)))
}

// PlanSubsetSizes returns the pools of which more or fewer engines should be advertised. inFlight
// says how many requests are under way at an engine. More are advertised at once, fewer
// after a long time in which they were not needed.
func (t *FleetTracker) PlanSubsetSizes(fleet *Fleet, inFlight func(engine string) float64, nowMs int64) []SubsetSize {
	var changed []SubsetSize
	for key, pool := range fleet.advertised.pools {
		size := SubsetSize{Backend: key.backend, Zone: key.zone, Local: pool.sizes[nearAudience], Remote: pool.sizes[farAudience]}
		wanted := size
		near := fleet.useOf(pool, size.Local, inFlight)
		wanted.Local = max(size.Local, min(near.needed(), len(pool.ranked)))
		if far := fleet.useOf(pool, size.Remote, inFlight); far.share() > crowdedByOthers*near.share() {
			wanted.Remote = max(size.Remote, min(far.needed(), wanted.Local))
		}
		if wanted == size {
			wanted = t.shrunk(key, size, near.needed(), nowMs)
		}
		if wanted != size {
			changed = append(changed, wanted)
		}
	}
	return changed
}

// useOf adds up what is under way at the first engines of a pool.
func (f *Fleet) useOf(pool *zonePool, size int, inFlight func(engine string) float64) poolUse {
	var use poolUse
	for _, entry := range pool.ranked[:min(size, len(pool.ranked))] {
		use.engines++
		use.slots += max(f.state.Engines[entry.id].Value.Slots, 1)
		use.inFlight += inFlight(entry.id)
	}
	return use
}

// shrunk returns half of a size where that has been enough for long.
func (t *FleetTracker) shrunk(key poolKey, size SubsetSize, needed int, nowMs int64) SubsetSize {
	const half = 2
	if size.Local <= leastNear && size.Remote <= leastFar || needed*half > size.Local {
		delete(t.calmSinceMs, key)
		return size
	}
	since, calm := t.calmSinceMs[key]
	if !calm {
		t.calmSinceMs[key] = nowMs
		return size
	}
	if nowMs-since < calmMs {
		return size
	}
	delete(t.calmSinceMs, key)
	size.Local = max(size.Local/half, leastNear)
	size.Remote = max(size.Remote/half, leastFar)
	return size
}
