package scheduling

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an engine to which a request may go.
type Candidate struct {
	ID     string
	Zone   string
	Slots  int
	Health *EngineHealth
}

// Demand is what decides where a request goes.
type Demand struct {
	// Stream says that the request generates events; the choice then goes by the
	// expected time, else by the requests under way.
	Stream bool
	// Home is the engine that most likely holds what the request's session has read.
	Home string
	// Prompt are the parts of the prompt, and Events how many events are expected.
	Prompt []PromptPart
	Events int64
	// Key is what requests have in common that an engine should see together; empty
	// for none. Of streams it only decides between engines that are equally good, so
	// that gateways which know nothing of each other don't all choose the same one.
	Key string
	// Zone is where the request is.
	Zone string
	// Peers is how many gateways share the engines of the zone.
	Peers int
	// Avoid lists engines that were tried already.
	Avoid []string
	NowMs int64
}

const (
	// minShare is how many requests of its own a gateway always lets an engine have.
	minShare = 2
	// readTokensPerMs is how fast an engine is taken to read a prompt, and readWeight
	// how much more a read costs than its own time: it holds up all that run beside it.
	readTokensPerMs = 250.0
	readWeight      = 8.0
	// farMs is what another zone costs, milliseconds, its bytes included, and fullMs
	// what a full engine does.
	farMs  = 200.0
	fullMs = 400.0
	// crowdMs is how much slower each event comes for every further request of this
	// gateway at the engine, before that shows in the pace.
	crowdMs = 6.0
)

// Choose returns the engine for a request; false where there is none. Sound engines
// come first. Streams go where they are expected to end first, what the engine must
// read anew counted; other requests with a key to one engine of the zone (rendezvous
// hashing, Thaler and Ravishankar, 1998), and the rest to the engine with the fewest
// under way.
func Choose(candidates []Candidate, demand Demand) (Candidate, bool) {
	paces := knownPaces(candidates, demand.NowMs)
	var best Candidate
	var bestRank rank
	found := false
	for _, candidate := range candidates {
		if slices.Contains(demand.Avoid, candidate.ID) {
			continue
		}
		next := rankOf(candidate, demand, paces)
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
	slow     int
	cost     float64
	full     int
	far      int
	inFlight int
	hash     uint64
}

func (r rank) less(other rank) bool {
	return cmp.Or(
		cmp.Compare(r.unsound, other.unsound),
		cmp.Compare(r.slow, other.slow),
		cmp.Compare(r.cost, other.cost),
		cmp.Compare(r.full, other.full),
		cmp.Compare(r.far, other.far),
		cmp.Compare(r.inFlight, other.inFlight),
		cmp.Compare(r.hash, other.hash),
	) < 0
}

func rankOf(candidate Candidate, demand Demand, paces []float64) rank {
	var next rank
	if candidate.Health.Suspect(demand.NowMs) {
		next.unsound = 1
	}
	if tooSlow(candidate, demand.NowMs, paces) {
		next.slow = 1
	}
	next.hash = xxhash.Sum64String(candidate.ID + "\x00" + demand.Key)
	if demand.Stream {
		next.cost = expectedMs(candidate, demand, paces)
		return next
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
	return next
}

// tooSlow reports whether an engine is far behind the others.
func tooSlow(candidate Candidate, nowMs int64, paces []float64) bool {
	pace := candidate.Health.judgedPace(nowMs)
	return len(paces) > 2 && pace > slowFactor*paces[(len(paces)-1)/2]
}

// expectedMs is the time until a stream is expected to end at an engine, with what
// it costs others.
func expectedMs(candidate Candidate, demand Demand, paces []float64) float64 {
	health := candidate.Health
	pace := health.pace.at(demand.NowMs)
	if pace == 0 && len(paces) > 0 {
		// An engine of which nothing is known lately is idle as far as this gateway goes.
		pace = paces[0]
	}
	cost := float64(demand.Events)*(pace+crowdMs*float64(health.InFlight)) + health.wait.at(demand.NowMs)
	cost += readWeight * float64(missingTokens(candidate, demand)) / readTokensPerMs
	if candidate.Zone != demand.Zone {
		cost += farMs
	}
	if candidate.Slots > 0 && health.InFlight >= candidate.Slots {
		cost += fullMs
	}
	return cost
}

// missingTokens is what an engine must read of the prompt: at the session's home
// only the last part, elsewhere all that is the session's own, and the shared first
// part where it was not sent there lately.
func missingTokens(candidate Candidate, demand Demand) int64 {
	if len(demand.Prompt) == 0 {
		return 0
	}
	if candidate.ID == demand.Home {
		return demand.Prompt[len(demand.Prompt)-1].Tokens
	}
	missing := int64(0)
	for _, part := range demand.Prompt[1:] {
		missing += part.Tokens
	}
	if !candidate.Health.hasRead(demand.Prompt[0].ID, demand.NowMs) {
		missing += demand.Prompt[0].Tokens
	}
	return missing
}

// knownPaces returns the engines' known paces in ascending order.
func knownPaces(candidates []Candidate, nowMs int64) []float64 {
	var paces []float64
	for _, candidate := range candidates {
		if pace := candidate.Health.judgedPace(nowMs); pace > 0 {
			paces = append(paces, pace)
		}
	}
	slices.Sort(paces)
	return paces
}
