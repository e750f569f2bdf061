package scheduling

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an engine to which a request may go.
type Candidate struct {
	ID     string
	Zone   string
	Slots  int
	Health *EngineHealth
	// Place is the engine's place in the gateway's order of engines, by which its part of
	// a large fleet is chosen.
	Place uint64
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
	// Prompt are the parts of the prompt, and Events how many events are expected.
	Prompt []PromptPart
	Events int64
	// Key is what requests have in common that an engine should see together; empty
	// for none. Of streams it only decides between engines that are equally good, so
	// that gateways which know nothing of each other don't all choose the same one.
	Key string
	// Zone is where the request is.
	Zone string
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

const (
	// nearCompared and farCompared are how many engines of the request's zone and of
	// others are compared, besides the one that holds the session's memory.
	nearCompared = 2
	farCompared  = 1
	// nearSubset and farSubset are how many engines of the request's zone and of others a
	// gateway sends requests without a home to: each gateway has a part of its own, so that
	// in a large fleet not every gateway keeps connections to every engine (subsetting:
	// Site Reliability Engineering, 2016, chapter 20).
	nearSubset = 12
	farSubset  = 12
	// farMs is what another zone costs, milliseconds, its bytes included.
	farMs = 25.0
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

// slowFrom returns the factor from which an engine counts as slow: well above what the
// spread over all of them explains, since in an overload each takes longer now and then,
// and a session that leaves its engine for that only adds to the overload.
func slowFrom(candidates []Candidate, nowMs int64) float64 {
	factors := make([]float64, 0, len(candidates))
	for _, candidate := range candidates {
		factors = append(factors, candidate.Health.Factor(nowMs))
	}
	middle := median(factors)
	for position, factor := range factors {
		factors[position] = math.Abs(factor - middle)
	}
	return max(leastSlowFactor*middle, middle+slowDeviations*deviationOfMedian*median(factors))
}

const (
	// leastSlowFactor is how many times longer than at the one in the middle things take
	// at a slow engine at the least, slowDeviations how many standard deviations it lies
	// above, and deviationOfMedian what makes a median of absolute deviations one.
	leastSlowFactor   = 1.8
	slowDeviations    = 4
	deviationOfMedian = 1.4826
)

// median returns the middle of values, which it sorts; 1 where there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// compared returns the engines that a request compares: those that were not tried, and
// where it has no key, its home and the first of each zone in an order of its own.
func compared(candidates []Candidate, demand Demand) []Candidate {
	left := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if slices.Contains(demand.Avoid, candidate.ID) {
			continue
		}
		if demand.keyed() {
			candidate.order = xxhash.Sum64String(candidate.ID + "\x00" + demand.Key)
		} else {
			candidate.order = shuffled(candidate.ID, demand.Draw)
		}
		left = append(left, candidate)
	}
	if demand.keyed() || demand.Disabled.Has(MechanismDrawing) {
		return left
	}
	if !demand.Disabled.Has(MechanismSubset) {
		left = firstOf(left, demand, nearSubset, farSubset, func(candidate Candidate) uint64 { return candidate.Place })
	}
	return firstOf(left, demand, nearCompared, farCompared, func(candidate Candidate) uint64 { return candidate.order })
}

// shuffled returns an engine's place in an order that a draw decides: another draw gives
// an order that has nothing to do with it.
func shuffled(engine string, draw uint64) uint64 {
	digest := xxhash.NewWithSeed(draw)
	_, _ = digest.WriteString(engine)
	return digest.Sum64()
}

// firstOf returns the home and the first engines of the request's zone and of others,
// sound ones before others, in an order.
func firstOf(candidates []Candidate, demand Demand, near, distant int, order func(Candidate) uint64) []Candidate {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(unsound(a, demand), unsound(b, demand)), cmp.Compare(order(a), order(b)))
	})
	chosen := candidates[:0]
	for _, candidate := range candidates {
		left := &near
		if candidate.Zone != demand.Zone {
			left = &distant
		}
		switch {
		case candidate.ID == demand.Home:
			chosen = append(chosen, candidate)
		case *left > 0:
			*left--
			chosen = append(chosen, candidate)
		}
	}
	return chosen
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
	return cost + farMs*float64(far(candidate, demand))
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
	return factor*usual*(1+taken*taken+queueing(candidate, company)) + farMs*float64(far(candidate, demand))
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
