package scheduling

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an engine to which a request may go.
type Candidate struct {
	ID    string
	Zone  string
	Slots int
	// Silent engines have not reported to control for a while.
	Silent bool
	Health *EngineHealth
}

// Demand is what decides where a request goes.
type Demand struct {
	// Key is what requests have in common that an engine should see together; empty
	// for none.
	Key string
	// Zone is where the request is.
	Zone string
	// Peers is how many gateways share the engines of the zone.
	Peers int
	// Avoid lists engines that were tried already.
	Avoid []string
	NowMs int64
}

// minShare is how many requests of its own a gateway always lets an engine have.
const minShare = 2

// Choose returns the engine for a request; false where there is none. Requests with
// one key go to one engine of the zone (rendezvous hashing, Thaler and Ravishankar,
// 1998) while it is sound and not full, so that what it has read stays of use;
// others to the engine with the fewest requests under way.
func Choose(candidates []Candidate, demand Demand) (Candidate, bool) {
	median := medianPace(candidates, demand.NowMs)
	var best Candidate
	var bestRank rank
	found := false
	for _, candidate := range candidates {
		if slices.Contains(demand.Avoid, candidate.ID) {
			continue
		}
		next := rankOf(candidate, demand, median)
		if !found || next.less(bestRank) {
			best, bestRank, found = candidate, next, true
		}
	}
	return best, found
}

// rank orders candidates; the lower the better, the first field that differs
// decides.
type rank struct {
	unsound  int
	full     int
	far      int
	slow     int
	inFlight int
	hash     uint64
}

func (r rank) less(other rank) bool {
	return cmp.Or(
		cmp.Compare(r.unsound, other.unsound),
		cmp.Compare(r.slow, other.slow),
		cmp.Compare(r.full, other.full),
		cmp.Compare(r.far, other.far),
		cmp.Compare(r.inFlight, other.inFlight),
		cmp.Compare(r.hash, other.hash),
	) < 0
}

func rankOf(candidate Candidate, demand Demand, medianPace float64) rank {
	var next rank
	if candidate.Silent {
		next.unsound = 1
	}
	if candidate.Health.Suspect(demand.NowMs) {
		next.unsound = 2
	}
	if pace := candidate.Health.knownPace(demand.NowMs); medianPace > 0 && pace > slowFactor*medianPace {
		next.slow = 1
	}
	if candidate.Zone != demand.Zone {
		next.far = 1
	}
	share := max(candidate.Slots/max(demand.Peers, 1), minShare)
	if candidate.Slots > 0 && candidate.Health.InFlight >= share {
		next.full = 1 + candidate.Health.InFlight/share
	}
	if demand.Key == "" {
		next.inFlight = candidate.Health.InFlight
	}
	next.hash = xxhash.Sum64String(candidate.ID + "\x00" + demand.Key)
	return next
}

// medianPace returns the median of the engines' known paces, zero where fewer than
// three are known.
func medianPace(candidates []Candidate, nowMs int64) float64 {
	var paces []float64
	for _, candidate := range candidates {
		if pace := candidate.Health.knownPace(nowMs); pace > 0 {
			paces = append(paces, pace)
		}
	}
	if len(paces) < 3 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}
