package scheduling

import (
	"cmp"
	"math"
)

// Candidate is an engine to which a request may go.
type Candidate struct {
	ID    string
	Zone  string
	Slots int
	// MemoryTokens is how many tokens the engine's memory holds, 0 where that is not known.
	MemoryTokens int64
	Health       *EngineHealth
	// order is the engine's place in the order of one request, and slowness how many times
	// longer than usual a token takes there.
	order    uint64
	slowness float64
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
	// HoldTokens is what the request takes of an engine's memory while it runs.
	HoldTokens int64
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

	// Turns is how many turns the request's session is expected to have yet, this one
	// included; 0 where that is not known.
	Turns float64

	// slowFrom is the factor from which an engine counts as slow, and quickest the least
	// slowness of the engines compared that have room, 0 where none has.
	slowFrom float64
	quickest float64
	// meanInFlight is the mean of the requests under way at an engine.
	meanInFlight float64
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
	// Pushed is how many tokens of running requests are expected to have to make way there.
	Pushed int64
	// Slowness is how many times longer than usual a token is expected to take there, and
	// HomeSlowness the same at the session's home, 0 where there is none.
	Slowness     float64
	HomeSlowness float64
	// Moved says why the session leaves its home.
	Moved Reason

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
	var home Choice
	demand.slowFrom = slowFrom(candidates, demand.NowMs)
	if demand.Disabled.Has(MechanismSlow) {
		demand.slowFrom = math.Inf(1)
	}
	if demand.Disabled.Has(MechanismHome) {
		demand.Home = ""
	}
	if demand.Stream && !demand.Disabled.Has(MechanismSpeed) {
		pool.learnSpeeds(candidates, demand.NowMs)
	}
	demand.meanInFlight = meanInFlight(candidates, demand.NowMs)
	chosen := compared(candidates, demand)
	demand.quickest = quickest(chosen, demand.NowMs)
	for _, candidate := range chosen {
		choice := pool.weigh(candidate, demand)
		if candidate.ID == demand.Home {
			home = choice
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
	best.HomeCost = home.Cost
	best.HomeSlowness = home.Candidate.slowness
	best.Slowness = best.Candidate.slowness
	best.Moved = moved(best, home, demand)
	return best, found
}

// Reason says why a session leaves the engine that holds what it has read.
type Reason string

// The reasons.
const (
	// MovedNot is that of sessions that stay, or have no such engine.
	MovedNot Reason = ""
	// MovedGone says that the engine has left, drains or was tried already.
	MovedGone Reason = "gone"
	// MovedSuspect says that requests have just failed there.
	MovedSuspect Reason = "suspect"
	// MovedSlow says that the engine is slower than the one chosen.
	MovedSlow Reason = "slow"
	// MovedCost says that it is dearer for another cause: more requests than slots, or distance.
	MovedCost Reason = "cost"
)

func moved(best, home Choice, demand Demand) Reason {
	switch {
	case demand.Home == "" || best.Candidate.ID == demand.Home:
		return MovedNot
	case home.Candidate.ID == "":
		return MovedGone
	case home.unsound > best.unsound:
		return MovedSuspect
	case home.Candidate.slowness > best.Candidate.slowness:
		return MovedSlow
	}
	return MovedCost
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
		if !demand.Disabled.Has(MechanismMemory) {
			choice.Pushed = pushedTokens(candidate, demand)
		}
		choice.Cost = p.streamCost(candidate, demand, choice.Missing, choice.Pushed)
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
//
// What running requests lose of the engine's memory to this one is read again, with as much
// company: where all are short of memory, the fewest tokens are pushed out.
func (p *Pool) streamCost(candidate Candidate, demand Demand, missing, pushed int64) float64 {
	slowness := candidate.slowness
	events := p.expectedEvents(demand.NowMs, demand.Events)
	usual := p.streamMs(demand.NowMs, events)
	company := candidate.Health.Company(demand.NowMs)
	met, _ := p.company.At(demand.NowMs).own()
	met = min(met, demand.meanInFlight)
	tokenMs := p.tokenMs()
	if demand.Disabled.Has(MechanismReading) {
		tokenMs = unknownTokenMs
	}
	readMs := tokenMs * (1 + met)
	alone := p.aloneMs(events)
	readAloneMs := min(p.readAloneMs(demand.NowMs), tokenMs)
	cost := slowness*(alone+float64(missing)*readAloneMs) + float64(missing)*(readMs-readAloneMs)
	cost += demand.later(slowness, alone, readMs)
	cost += slowness * float64(pushed) * readMs
	switch demand.Home {
	case "":
	case candidate.ID:
		company = min(company, met)
	default:
		company = max(company, met)
	}
	cost += slowness * queueing(candidate, company) * usual
	if !demand.Disabled.Has(MechanismCompany) {
		cost += slowness * sharedCost * company * p.companyMs(events, usual, candidate.Slots)
	}
	return cost + distanceMs(candidate, demand)
}

// later is what the further turns of a session cost more than at the quickest engine with
// room, where it goes on at one of some slowness. It is bounded by what moving the session at
// its next turn would cost: one that can move cheaply need not care now.
func (d Demand) later(slowness, usualMs, readMs float64) float64 {
	if d.Turns <= 1 || d.quickest <= 0 || slowness <= d.quickest {
		return 0
	}
	return min((d.Turns-1)*(slowness-d.quickest)*usualMs, d.quickest*float64(PromptTokens(d.Prompt))*readMs)
}

// meanInFlight returns the mean of the requests that are expected under way at engines.
func meanInFlight(candidates []Candidate, nowMs int64) float64 {
	total := 0.0
	for _, candidate := range candidates {
		total += candidate.Health.Company(nowMs)
	}
	return total / float64(max(len(candidates), 1))
}

// quickest returns the least slowness of the engines that have room, 0 where none has.
func quickest(candidates []Candidate, nowMs int64) float64 {
	least := 0.0
	for _, candidate := range candidates {
		if queueing(candidate, candidate.Health.Company(nowMs)) == 0 && (least == 0 || candidate.slowness < least) {
			least = candidate.slowness
		}
	}
	return least
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

// pushedTokens is by how many tokens the requests that run at an engine and this one exceed its
// memory. What waits for a slot holds nothing yet. Memory is evened out as load is, by where
// new sessions go: a session that leaves its engine is read anew elsewhere, which takes as much
// memory there.
func pushedTokens(candidate Candidate, demand Demand) int64 {
	if candidate.MemoryTokens <= 0 || candidate.ID == demand.Home {
		return 0
	}
	held := int64(candidate.Health.RunningTokens(demand.NowMs, candidate.Slots))
	return max(min(held+demand.HoldTokens-candidate.MemoryTokens, demand.HoldTokens), 0)
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
	return PromptTokens(demand.Prompt)
}
