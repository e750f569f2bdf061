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
	// Kind names the kind of request; those of one kind take about as long.
	Kind string
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
	// farMs is what another zone costs, milliseconds, its bytes included.
	farMs = 25.0
	// slowFactor is how many times longer than the others an engine may take before
	// requests with a key leave it.
	slowFactor = 2.2
)

// Choice is the engine for a request and what decided for it.
type Choice struct {
	Candidate Candidate
	// Missing is what the engine is expected to have to read, tokens.
	Missing int64
	// Cost is what the request is expected to cost there, milliseconds, and NextCost
	// what it would at the next best engine, 0 where there is none.
	Cost     float64
	NextCost float64
}

// Choose returns the engine for a request; false where there is none. Sound engines
// come first. Streams go where they are expected to cost least, with what reading them
// anew costs those that run beside them; other requests with a key to one engine of the
// zone (rendezvous hashing, Thaler and Ravishankar, 1998), and the rest to the engine
// that is expected to answer first.
func Choose(pool *Pool, candidates []Candidate, demand Demand) (Choice, bool) {
	var best, next Choice
	var bestRank, nextRank rank
	found, second := false, false
	for _, candidate := range candidates {
		if slices.Contains(demand.Avoid, candidate.ID) {
			continue
		}
		choice, rank := pool.rankOf(candidate, demand)
		switch {
		case !found || rank.less(bestRank):
			next, nextRank, second = best, bestRank, found
			best, bestRank, found = choice, rank, true
		case !second || rank.less(nextRank):
			next, nextRank, second = choice, rank, true
		}
	}
	best.NextCost = next.Cost
	return best, found
}

// rank orders candidates; the lower the better, the first field that differs
// decides.
type rank struct {
	unsound  int
	slow     int
	full     int
	far      int
	cost     float64
	inFlight int
	hash     uint64
}

func (r rank) less(other rank) bool {
	return cmp.Or(
		cmp.Compare(r.unsound, other.unsound),
		cmp.Compare(r.slow, other.slow),
		cmp.Compare(r.full, other.full),
		cmp.Compare(r.far, other.far),
		cmp.Compare(r.cost, other.cost),
		cmp.Compare(r.inFlight, other.inFlight),
		cmp.Compare(r.hash, other.hash),
	) < 0
}

func (p *Pool) rankOf(candidate Candidate, demand Demand) (Choice, rank) {
	choice := Choice{Candidate: candidate}
	next := rank{hash: xxhash.Sum64String(candidate.ID + "\x00" + demand.Key), inFlight: candidate.Health.InFlight}
	if candidate.Health.Suspect(demand.NowMs) {
		next.unsound = 1
	}
	switch {
	case demand.Stream:
		choice.Missing = missingTokens(candidate, demand)
		choice.Cost = p.streamCost(candidate, demand, choice.Missing)
		next.cost = choice.Cost
	case demand.Key != "":
		next.inFlight = 0
		if candidate.Health.factor.At(demand.NowMs).Mean(1) > slowFactor {
			next.slow = 1
		}
		next.full, next.far = crowded(candidate, demand), far(candidate, demand)
	default:
		choice.Cost = p.answerCost(candidate, demand)
		next.cost = choice.Cost
		next.full, next.far = crowded(candidate, demand), far(candidate, demand)
	}
	return choice, next
}

func far(candidate Candidate, demand Demand) int {
	if candidate.Zone != demand.Zone {
		return 1
	}
	return 0
}

// crowded is above 0 where a gateway has its share of an engine's slots.
func crowded(candidate Candidate, demand Demand) int {
	share := max(candidate.Slots/max(demand.Peers, 1), minShare)
	if candidate.Slots == 0 || candidate.Health.InFlight < share {
		return 0
	}
	return 1 + candidate.Health.InFlight/share
}

// streamCost is the time until a stream is expected to end at an engine, with the time
// that it costs the streams beside it.
func (p *Pool) streamCost(candidate Candidate, demand Demand, missing int64) float64 {
	health := candidate.Health
	usualPace, _ := p.pace.At(demand.NowMs).own()
	usualWait, _ := p.wait.At(demand.NowMs).own()
	beside := float64(health.InFlight)
	cost := health.wait.At(demand.NowMs).Mean(usualWait)
	cost += float64(demand.Events) * (health.pace.At(demand.NowMs).Mean(usualPace) + p.crowdMs()*(1+beside))
	cost += float64(missing) * p.tokenMs() * (1 + beside)
	cost += queueing(candidate, beside) * (usualWait + float64(demand.Events)*usualPace)
	return cost + farMs*float64(far(candidate, demand))
}

// answerCost is the time until a whole answer is expected.
func (p *Pool) answerCost(candidate Candidate, demand Demand) float64 {
	usual := p.usual(demand.Kind, demand.NowMs)
	factor := candidate.Health.factor.At(demand.NowMs).Mean(1)
	return factor * usual * (1 + queueing(candidate, float64(candidate.Health.InFlight)))
}

// queueing is how many times the length of a request a further one waits for a slot.
func queueing(candidate Candidate, inFlight float64) float64 {
	if candidate.Slots == 0 {
		return 0
	}
	return max(inFlight+1-float64(candidate.Slots), 0) / float64(candidate.Slots)
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
