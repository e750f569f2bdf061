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
	// KVCacheCapacityTokens is how many tokens the engine's memory holds, 0 where that is not known.
	KVCacheCapacityTokens int64
	Health                *EngineHealth
	// order is the engine's place in the order of one request, and slowness how many times
	// longer than usual a token takes there.
	order    uint64
	slowness float64
}

// SelectionInput is what decides where a request goes.
type SelectionInput struct {
	// IsStream says that the request generates events; the choice then goes by the
	// expected time, else by the requests under way.
	IsStream bool
	// RequestKind names the kind of request; those of one kind take about as long.
	RequestKind string
	// AffineEngine is the engine that most likely holds what the request's session has read.
	AffineEngine string
	// RequiredKVCacheTokens is what the request takes of an engine's memory while it runs.
	RequiredKVCacheTokens int64
	// Prompt are the parts of the prompt, and Events how many events there may be at most.
	Prompt    []PromptPart
	MaxEvents int64
	// AffinityKey is what requests have in common that an engine should see together; empty for
	// none. It counts for requests that are no streams.
	AffinityKey string
	// Zone is where the request is.
	Zone string
	// ZoneCosts are what engines of other zones cost; nil takes the usual penalty.
	ZoneCosts *ZoneCosts
	// ShuffleSeed is drawn at random for each request: it decides which engines are compared.
	ShuffleSeed uint64
	// ExcludedEngines lists engines that were tried already.
	ExcludedEngines []string
	// Disabled are the mechanisms that are turned off.
	Disabled DisabledMechanisms
	NowMs    int64

	// RemainingTurns is how many turns the request's session is expected to have yet, this one
	// included; 0 where that is not known.
	RemainingTurns float64

	// slowFrom is the factor from which an engine counts as slow, and quickest the least
	// slowness of the engines compared that have room, 0 where none has.
	slowFrom float64
	quickest float64
	// meanInFlight is the mean of the requests under way at an engine.
	meanInFlight float64
}

// keyed reports whether an engine should see the requests of a key together.
func (d SelectionInput) keyed() bool { return !d.IsStream && d.AffinityKey != "" }

// Selection is the engine for a request and what decided for it.
type Selection struct {
	Candidate Candidate
	// PrefillTokens is what the engine is expected to have to read, tokens.
	PrefillTokens int64
	// CostMs is what the request is expected to cost there, milliseconds, and NextCost
	// what it would at the next best engine, 0 where there is none.
	CostMs         float64
	NextBestCostMs float64
	// AffineEngineCostMs is what it would cost at the session's home, 0 where there is none.
	AffineEngineCostMs float64
	// PreemptedTokens is how many tokens of running requests are expected to have to make way there.
	PreemptedTokens int64
	// Slowdown is how many times longer than usual a token is expected to take there, and
	// HomeSlowness the same at the session's home, 0 where there is none.
	Slowdown             float64
	AffineEngineSlowdown float64
	// MoveReason says why the session leaves its home.
	MoveReason MoveReason

	unsound, slow, full, far int
}

// SelectEngine returns the engine for a request; false where there is none. Requests with a
// key go to one engine of the zone (rendezvous hashing, Thaler and Ravishankar, 1998)
// while it has room. Of the others each compares its session's home and a few engines
// drawn at random, and goes where it is expected to cost least, with what reading it anew
// costs those that run beside it. Invariant: gateways that share one view, which is
// always late, do not all choose the engine that looked best in it (Mitzenmacher, How
// Useful Is Old Information, 2000).
func SelectEngine(pool *LatencyModel, candidates []Candidate, demand SelectionInput) (Selection, bool) {
	var best, next Selection
	found, second := false, false
	var home Selection
	demand.slowFrom = slowFrom(candidates, demand.NowMs)
	if demand.Disabled.Has(MechanismSlowDetection) {
		demand.slowFrom = math.Inf(1)
	}
	if demand.Disabled.Has(MechanismSessionAffinity) {
		demand.AffineEngine = ""
	}
	if demand.IsStream && !demand.Disabled.Has(MechanismEngineSpeed) {
		pool.learnSpeeds(candidates, demand.NowMs)
	}
	demand.meanInFlight = meanInFlight(candidates, demand.NowMs)
	chosen := compared(candidates, demand)
	demand.quickest = quickest(chosen, demand.NowMs)
	for _, candidate := range chosen {
		choice := pool.weigh(candidate, demand)
		if candidate.ID == demand.AffineEngine {
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
	best.NextBestCostMs = next.CostMs
	best.AffineEngineCostMs = home.CostMs
	best.AffineEngineSlowdown = home.Candidate.slowness
	best.Slowdown = best.Candidate.slowness
	best.MoveReason = moved(best, home, demand)
	return best, found
}

// MoveReason says why a session leaves the engine that holds what it has read.
type MoveReason string

// The reasons.
const (
	// NotMoved is that of sessions that stay, or have no such engine.
	NotMoved MoveReason = ""
	// MovedUnavailable says that the engine has left, drains or was tried already.
	MovedUnavailable MoveReason = "gone"
	// MovedSuspect says that requests have just failed there.
	MovedSuspect MoveReason = "suspect"
	// MovedSlow says that the engine is slower than the one chosen.
	MovedSlow MoveReason = "slow"
	// MovedCost says that it is dearer for another cause: more requests than slots, or distance.
	MovedCost MoveReason = "cost"
)

func moved(best, home Selection, demand SelectionInput) MoveReason {
	switch {
	case demand.AffineEngine == "" || best.Candidate.ID == demand.AffineEngine:
		return NotMoved
	case home.Candidate.ID == "":
		return MovedUnavailable
	case home.unsound > best.unsound:
		return MovedSuspect
	case home.Candidate.slowness > best.Candidate.slowness:
		return MovedSlow
	}
	return MovedCost
}

// less orders choices; the first that differs decides.
func (c Selection) less(other Selection) bool {
	return cmp.Or(
		cmp.Compare(c.unsound, other.unsound),
		cmp.Compare(c.slow, other.slow),
		cmp.Compare(c.full, other.full),
		cmp.Compare(c.far, other.far),
		cmp.Compare(c.CostMs, other.CostMs),
		cmp.Compare(c.Candidate.order, other.Candidate.order),
	) < 0
}

// weigh says what a request costs at an engine.
func (p *LatencyModel) weigh(candidate Candidate, demand SelectionInput) Selection {
	choice := Selection{Candidate: candidate, unsound: unsound(candidate, demand)}
	switch {
	case demand.IsStream:
		choice.PrefillTokens = missingTokens(candidate, demand)
		if !demand.Disabled.Has(MechanismKVCacheCost) {
			choice.PreemptedTokens = pushedTokens(candidate, demand)
		}
		choice.CostMs = p.streamCost(candidate, demand, choice.PrefillTokens, choice.PreemptedTokens)
	case demand.keyed():
		choice.far = far(candidate, demand)
		if candidate.Health.LatencyRatio(demand.NowMs) >= demand.slowFrom {
			choice.slow = 1
		}
		if queueing(candidate, candidate.Health.EstimatedInFlight(demand.NowMs)) > 0 {
			choice.full = 1
		}
	default:
		choice.CostMs = p.answerCost(candidate, demand)
	}
	return choice
}

func unsound(candidate Candidate, demand SelectionInput) int {
	if !demand.Disabled.Has(MechanismSuspicion) && candidate.Health.IsSuspect(demand.NowMs) {
		return 1
	}
	return 0
}

func far(candidate Candidate, demand SelectionInput) int {
	if !demand.Disabled.Has(MechanismZonePreference) && candidate.Zone != demand.Zone {
		return 1
	}
	return 0
}

// distanceMs is what it costs that an engine is in another zone.
func distanceMs(candidate Candidate, demand SelectionInput) float64 {
	if far(candidate, demand) == 0 {
		return 0
	}
	return demand.ZoneCosts.CostMs(demand.Zone, candidate.Zone)
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
func (p *LatencyModel) streamCost(candidate Candidate, demand SelectionInput, missing, pushed int64) float64 {
	slowness := candidate.slowness
	events := p.expectedEvents(demand.NowMs, demand.MaxEvents)
	usual := p.streamMs(demand.NowMs, events)
	company := candidate.Health.EstimatedInFlight(demand.NowMs)
	met, _ := p.company.At(demand.NowMs).own()
	met = min(met, demand.meanInFlight)
	tokenMs := p.tokenMs()
	if demand.Disabled.Has(MechanismPrefillCost) {
		tokenMs = unknownTokenMs
	}
	readMs := tokenMs * (1 + met)
	alone := p.aloneMs(events)
	readAloneMs := min(p.readAloneMs(demand.NowMs), tokenMs)
	cost := slowness*(alone+float64(missing)*readAloneMs) + float64(missing)*(readMs-readAloneMs)
	cost += demand.later(slowness, alone, readMs)
	cost += slowness * float64(pushed) * readMs
	switch demand.AffineEngine {
	case "":
	case candidate.ID:
		company = min(company, met)
	default:
		company = max(company, met)
	}
	cost += slowness * queueing(candidate, company) * usual
	if !demand.Disabled.Has(MechanismBatchInterference) {
		cost += slowness * sharedCost * company * p.companyMs(events, usual, candidate.Slots)
	}
	return cost + distanceMs(candidate, demand)
}

// later is what the further turns of a session cost more than at the quickest engine with
// room, where it goes on at one of some slowness. It is bounded by what moving the session at
// its next turn would cost: one that can move cheaply need not care now.
func (d SelectionInput) later(slowness, usualMs, readMs float64) float64 {
	if d.RemainingTurns <= 1 || d.quickest <= 0 || slowness <= d.quickest {
		return 0
	}
	return min((d.RemainingTurns-1)*(slowness-d.quickest)*usualMs, d.quickest*float64(PromptTokens(d.Prompt))*readMs)
}

// meanInFlight returns the mean of the requests that are expected under way at engines.
func meanInFlight(candidates []Candidate, nowMs int64) float64 {
	total := 0.0
	for _, candidate := range candidates {
		total += candidate.Health.EstimatedInFlight(nowMs)
	}
	return total / float64(max(len(candidates), 1))
}

// quickest returns the least slowness of the engines that have room, 0 where none has.
func quickest(candidates []Candidate, nowMs int64) float64 {
	least := 0.0
	for _, candidate := range candidates {
		if queueing(candidate, candidate.Health.EstimatedInFlight(nowMs)) == 0 && (least == 0 || candidate.slowness < least) {
			least = candidate.slowness
		}
	}
	return least
}

// sharedCost is how often the cost of company counts: for the stream and for its company.
const sharedCost = 2

// answerCost is the time until a whole answer is expected.
func (p *LatencyModel) answerCost(candidate Candidate, demand SelectionInput) float64 {
	usual := p.usual(demand.RequestKind, demand.NowMs)
	factor := candidate.Health.LatencyRatio(demand.NowMs)
	if demand.Disabled.Has(MechanismSlowDetection) {
		factor = 1
	}
	company := candidate.Health.EstimatedInFlight(demand.NowMs)
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
func pushedTokens(candidate Candidate, demand SelectionInput) int64 {
	if candidate.KVCacheCapacityTokens <= 0 || candidate.ID == demand.AffineEngine {
		return 0
	}
	held := int64(candidate.Health.RunningKVCacheTokens(demand.NowMs, candidate.Slots))
	return max(min(held+demand.RequiredKVCacheTokens-candidate.KVCacheCapacityTokens, demand.RequiredKVCacheTokens), 0)
}

// missingTokens is what an engine must read of the prompt: at the session's home only the
// last part, elsewhere all of it. What others have had an engine read of the shared first
// parts is not known; it does not tell the engines apart.
func missingTokens(candidate Candidate, demand SelectionInput) int64 {
	if len(demand.Prompt) == 0 {
		return 0
	}
	if candidate.ID == demand.AffineEngine {
		return demand.Prompt[len(demand.Prompt)-1].Tokens
	}
	return PromptTokens(demand.Prompt)
}
