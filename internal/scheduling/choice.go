package scheduling

import (
	"cmp"
	"math"
)

// Candidate is an engine to which a request may go.
type Candidate struct {
	ID     string
	Zone   string
	Slots  int
	Health *EngineHealth
	// order is the engine's place in the order of one request.
	order uint64
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
	// Prompt are the parts of the prompt, and Events how many events there may be at most.
	Prompt []PromptPart
	Events int64
	// Key is what requests have in common that an engine should see together; empty for
	// none. It counts for requests that are no streams.
	Key string
	// Zone is where the request is.
	Zone string
	// Distances are what engines of other zones cost; nil takes the usual penalty.
	Distances *Distances
	// Draw is drawn at random for each request: it decides which engines are compared.
	Draw uint64
	// Avoid lists engines that were tried already.
	Avoid []string
	// Disabled are the mechanisms that are turned off.
	Disabled Disabled
	NowMs    int64

	// slowFrom is the factor from which an engine counts as slow.
	slowFrom float64
}

// keyed reports whether an engine should see the requests of a key together.
func (d Demand) keyed() bool { return !d.Stream && d.Key != "" }

// Choice is the engine for a request and what decided for it.
type Choice struct {
	Candidate Candidate
	// Missing is what the engine is expected to have to read, tokens.
	Missing int64
	// Cost is what the request is expected to cost there, milliseconds, and NextCost
	// what it would at the next best engine, 0 where there is none.
	Cost     float64
	NextCost float64
	// HomeCost is what it would cost at the session's home, 0 where there is none.
	HomeCost float64

	unsound, slow, full, far int
}

// Choose returns the engine for a request; false where there is none. Requests with a
// key go to one engine of the zone (rendezvous hashing, Thaler and Ravishankar, 1998)
// while it has room. Of the others each compares its session's home and a few engines
// drawn at random, and goes where it is expected to cost least, with what reading it anew
// costs those that run beside it. Invariant: gateways that share one view, which is
// always late, do not all choose the engine that looked best in it (Mitzenmacher, How
// Useful Is Old Information, 2000).
func Choose(pool *Pool, candidates []Candidate, demand Demand) (Choice, bool) {
	var best, next Choice
	found, second := false, false
	homeCost := 0.0
	demand.slowFrom = slowFrom(candidates, demand.NowMs)
	if demand.Disabled.Has(MechanismSlow) {
		demand.slowFrom = math.Inf(1)
	}
	if demand.Disabled.Has(MechanismHome) {
		demand.Home = ""
	}
	for _, candidate := range compared(candidates, demand) {
		choice := pool.weigh(candidate, demand)
		if candidate.ID == demand.Home {
			homeCost = choice.Cost
		}
		switch {
		case !found || choice.less(best):
			next, second = best, found
			best, found = choice, true
		case !second || choice.less(next):
			next, second = choice, true
		}
	}
	best.NextCost = next.Cost
	best.HomeCost = homeCost
	return best, found
}

// less orders choices; the first that differs decides.
func (c Choice) less(other Choice) bool {
	return cmp.Or(
		cmp.Compare(c.unsound, other.unsound),
		cmp.Compare(c.slow, other.slow),
		cmp.Compare(c.full, other.full),
		cmp.Compare(c.far, other.far),
		cmp.Compare(c.Cost, other.Cost),
		cmp.Compare(c.Candidate.order, other.Candidate.order),
	) < 0
}

// weigh says what a request costs at an engine.
func (p *Pool) weigh(candidate Candidate, demand Demand) Choice {
	choice := Choice{Candidate: candidate, unsound: unsound(candidate, demand)}
	switch {
	case demand.Stream:
		choice.Missing = missingTokens(candidate, demand)
		choice.Cost = p.streamCost(candidate, demand, choice.Missing)
	case demand.keyed():
		choice.far = far(candidate, demand)
		if candidate.Health.Factor(demand.NowMs) >= demand.slowFrom {
			choice.slow = 1
		}
		if queueing(candidate, candidate.Health.Company(demand.NowMs)) > 0 {
			choice.full = 1
		}
	default:
		choice.Cost = p.answerCost(candidate, demand)
	}
	return choice
}

func unsound(candidate Candidate, demand Demand) int {
	if !demand.Disabled.Has(MechanismSuspicion) && candidate.Health.Suspect(demand.NowMs) {
		return 1
	}
	return 0
}

func far(candidate Candidate, demand Demand) int {
	if !demand.Disabled.Has(MechanismZone) && candidate.Zone != demand.Zone {
		return 1
	}
	return 0
}

// distanceMs is what it costs that an engine is in another zone.
func distanceMs(candidate Candidate, demand Demand) float64 {
	if far(candidate, demand) == 0 {
		return 0
	}
	return demand.Distances.Ms(demand.Zone, candidate.Zone)
}

// streamCost is the time that a stream is expected to take at an engine, with what it
// costs the streams beside it. A token read holds up all that run at the engine, and
// keeps it from what waits: so it costs as if it met the company that streams meet on the
// mean, wherever it is read. Load is evened out by where new sessions go: one that has a
// home does not leave it because there is less company elsewhere for the moment, but only
// where its home is slow or turns it away: in an overload all are full, and reading anew
// adds to it.
func (p *Pool) streamCost(candidate Candidate, demand Demand, missing int64) float64 {
	factor := candidate.Health.Factor(demand.NowMs)
	if factor < demand.slowFrom {
		factor = 1
	}
	events := p.expectedEvents(demand.NowMs, demand.Events)
	usual := p.streamMs(demand.NowMs, events)
	company := candidate.Health.Company(demand.NowMs)
	met, _ := p.company.At(demand.NowMs).own()
	cost := factor * usual
	tokenMs := p.tokenMs()
	if demand.Disabled.Has(MechanismReading) {
		tokenMs = unknownTokenMs
	}
	cost += factor * float64(missing) * tokenMs * (1 + met)
	switch demand.Home {
	case "":
	case candidate.ID:
		company = min(company, met)
	default:
		company = max(company, met)
	}
	cost += queueing(candidate, company) * usual
	if !demand.Disabled.Has(MechanismCompany) {
		cost += sharedCost * company * p.companyMs(events, usual, candidate.Slots)
	}
	return cost + distanceMs(candidate, demand)
}

// sharedCost is how often the cost of company counts: for the stream and for its company.
const sharedCost = 2

// answerCost is the time until a whole answer is expected.
func (p *Pool) answerCost(candidate Candidate, demand Demand) float64 {
	usual := p.usual(demand.Kind, demand.NowMs)
	factor := candidate.Health.Factor(demand.NowMs)
	if demand.Disabled.Has(MechanismSlow) {
		factor = 1
	}
	company := candidate.Health.Company(demand.NowMs)
	taken := 0.0
	if candidate.Slots > 0 {
		taken = min(company/float64(candidate.Slots), 1)
	}
	return factor*usual*(1+taken*taken+queueing(candidate, company)) + distanceMs(candidate, demand)
}

// queueing is how many times the length of a request a further one waits for a slot.
func queueing(candidate Candidate, inFlight float64) float64 {
	if candidate.Slots == 0 {
		return 0
	}
	return max(inFlight+1-float64(candidate.Slots), 0) / float64(candidate.Slots)
}

// missingTokens is what an engine must read of the prompt: at the session's home only the
// last part, elsewhere all of it. What others have had an engine read of the shared first
// parts is not known; it does not tell the engines apart.
func missingTokens(candidate Candidate, demand Demand) int64 {
	if len(demand.Prompt) == 0 {
		return 0
	}
	if candidate.ID == demand.Home {
		return demand.Prompt[len(demand.Prompt)-1].Tokens
	}
	missing := int64(0)
	for _, part := range demand.Prompt {
		missing += part.Tokens
	}
	return missing
}
