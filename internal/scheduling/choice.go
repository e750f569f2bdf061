package scheduling

import (
	"cmp"
	"math"
)

// Candidate is an engine to which a request may be sent.
type Candidate struct {
	ID    string
	Zone  string
	Slots int
	// KVCacheCapacityTokens is the capacity of the engine's KV cache in tokens, 0 if unknown.
	KVCacheCapacityTokens int64
	Health                *EngineHealth
	// shuffleOrder is the sort key of the engine in the order of one request, and slowdown the
	// expected time per token at the engine as a multiple of the usual time.
	shuffleOrder uint64
	slowdown     float64
}

// SelectionInput holds the properties of a request and of its gateway by which an engine is
// selected.
type SelectionInput struct {
	// IsStream reports whether the request generates events. Engines are then compared by the
	// expected cost of the stream, and otherwise by the affinity key or the expected latency.
	IsStream bool
	// RequestKind is the kind of the request; requests of one kind take a similar time.
	RequestKind string
	// AffineEngine is the engine that most likely has the prompt prefix of the request's session
	// cached.
	AffineEngine string
	// RequiredKVCacheTokens is the number of KV cache tokens that the request occupies while it
	// runs.
	RequiredKVCacheTokens int64
	// Prompt holds the parts of the prompt, and MaxEvents is the maximum number of events.
	Prompt    []PromptPart
	MaxEvents int64
	// AffinityKey is shared by requests that the same engine should serve; empty for none. It has
	// no effect on streams.
	AffinityKey string
	// Zone is the zone of the request, which is that of its gateway.
	Zone string
	// ZoneCosts are the costs of engines in other zones; nil stands for the default penalty.
	ZoneCosts *ZoneCosts
	// ShuffleSeed is a random number per request, which determines the engines that are compared.
	ShuffleSeed uint64
	// ExcludedEngines are the engines that were already tried.
	ExcludedEngines []string
	// Disabled holds the disabled mechanisms.
	Disabled DisabledMechanisms
	NowMs    int64

	// RemainingTurns is the expected number of remaining turns of the session, including this one,
	// 0 if unknown.
	RemainingTurns float64

	// slowThreshold is the latency ratio from which an engine counts as slow. minSlowdown is the
	// lowest slowdown of the compared engines with a free slot, 0 if there is none.
	slowThreshold float64
	minSlowdown   float64
	// meanInFlight is the mean number of requests in flight per engine.
	meanInFlight float64
}

// usesAffinityKey reports whether the engine is selected by the affinity key.
func (i SelectionInput) usesAffinityKey() bool { return !i.IsStream && i.AffinityKey != "" }

// Selection is the engine selected for a request, and the reasons.
type Selection struct {
	Candidate Candidate
	// PrefillTokens is the expected number of tokens that the engine has to prefill.
	PrefillTokens int64
	// CostMs is the expected cost of the request at the engine, and NextBestCostMs that at the
	// second-best engine, 0 if there is none.
	CostMs         float64
	NextBestCostMs float64
	// AffineEngineCostMs is the expected cost at the affine engine, 0 if there is none.
	AffineEngineCostMs float64
	// PreemptedTokens is the expected number of KV cache tokens of running requests that are
	// preempted.
	PreemptedTokens int64
	// Slowdown is the expected time per token at the engine as a multiple of the usual time, and
	// AffineEngineSlowdown that at the affine engine, 0 if there is none.
	Slowdown             float64
	AffineEngineSlowdown float64
	// MoveReason is the reason why the session leaves its affine engine.
	MoveReason MoveReason

	// The keys are 0 or 1, where 0 is preferred, and less compares them in this order.
	suspectKey, slowKey, fullKey, otherZoneKey int
}

// SelectEngine returns the engine for a request, or false if there is none. Requests with an
// affinity key go to one engine of the zone (rendezvous hashing, Thaler and Ravishankar, 1998)
// while it has free slots. For any other request, the affine engine and a few randomly sampled
// engines are compared by expected cost, which includes the cost of the prefill to the requests
// that run beside it. The sampling keeps gateways that share one view, which is always out of date,
// from all selecting the engine that looked best in it (Mitzenmacher, How Useful Is Old
// Information, 2000).
func SelectEngine(model *LatencyModel, candidates []Candidate, input SelectionInput) (Selection, bool) {
	var best, next Selection
	hasBest, hasNext := false, false
	var affine Selection
	input.slowThreshold = slowThreshold(candidates, input.NowMs)
	if input.Disabled.Has(MechanismSlowDetection) {
		input.slowThreshold = math.Inf(1)
	}
	if input.Disabled.Has(MechanismSessionAffinity) {
		input.AffineEngine = ""
	}
	if input.IsStream && !input.Disabled.Has(MechanismEngineSpeed) {
		model.updateSlowdowns(candidates, input.NowMs)
	}
	input.meanInFlight = meanInFlight(candidates, input.NowMs)
	sample := sampleCandidates(candidates, input)
	input.minSlowdown = minSlowdown(sample, input.NowMs)
	for _, candidate := range sample {
		selection := model.evaluate(candidate, input)
		if candidate.ID == input.AffineEngine {
			affine = selection
		}
		switch {
		case !hasBest || selection.less(best):
			next, hasNext = best, hasBest
			best, hasBest = selection, true
		case !hasNext || selection.less(next):
			next, hasNext = selection, true
		}
	}
	best.NextBestCostMs = next.CostMs
	best.AffineEngineCostMs = affine.CostMs
	best.AffineEngineSlowdown = affine.Candidate.slowdown
	best.Slowdown = best.Candidate.slowdown
	best.MoveReason = moveReason(best, affine, input)
	return best, hasBest
}

// MoveReason is the reason why a session leaves its affine engine.
type MoveReason string

// The reasons for a move.
const (
	// NotMoved is the reason of sessions that stay or have no affine engine.
	NotMoved MoveReason = ""
	// MovedUnavailable means that the affine engine has left, is draining or was already tried.
	MovedUnavailable MoveReason = "gone"
	// MovedSuspect means that requests have just failed at the affine engine.
	MovedSuspect MoveReason = "suspect"
	// MovedSlow means that the affine engine is slower than the selected one.
	MovedSlow MoveReason = "slow"
	// MovedCost means that the affine engine costs more for another reason: it has more requests
	// than slots, or is in another zone.
	MovedCost MoveReason = "cost"
)

// moveReason returns why the best selection is not the affine engine.
func moveReason(best, affine Selection, input SelectionInput) MoveReason {
	switch {
	case input.AffineEngine == "" || best.Candidate.ID == input.AffineEngine:
		return NotMoved
	case affine.Candidate.ID == "":
		return MovedUnavailable
	case affine.suspectKey > best.suspectKey:
		return MovedSuspect
	case affine.Candidate.slowdown > best.Candidate.slowdown:
		return MovedSlow
	}
	return MovedCost
}

// less orders selections. The first key that differs decides.
func (s Selection) less(other Selection) bool {
	return cmp.Or(
		cmp.Compare(s.suspectKey, other.suspectKey),
		cmp.Compare(s.slowKey, other.slowKey),
		cmp.Compare(s.fullKey, other.fullKey),
		cmp.Compare(s.otherZoneKey, other.otherZoneKey),
		cmp.Compare(s.CostMs, other.CostMs),
		cmp.Compare(s.Candidate.shuffleOrder, other.Candidate.shuffleOrder),
	) < 0
}

// evaluate returns the sort keys and the cost of a request at an engine.
func (m *LatencyModel) evaluate(candidate Candidate, input SelectionInput) Selection {
	selection := Selection{Candidate: candidate, suspectKey: suspectKey(candidate, input)}
	switch {
	case input.IsStream:
		selection.PrefillTokens = uncachedTokens(candidate, input)
		if !input.Disabled.Has(MechanismKVCacheCost) {
			selection.PreemptedTokens = preemptedTokens(candidate, input)
		}
		selection.CostMs = m.streamCostMs(candidate, input, selection.PrefillTokens, selection.PreemptedTokens)
	case input.usesAffinityKey():
		selection.otherZoneKey = otherZoneKey(candidate, input)
		if candidate.Health.LatencyRatio(input.NowMs) >= input.slowThreshold {
			selection.slowKey = 1
		}
		if queueRatio(candidate, candidate.Health.EstimatedInFlight(input.NowMs)) > 0 {
			selection.fullKey = 1
		}
	default:
		selection.CostMs = m.responseCostMs(candidate, input)
	}
	return selection
}

// suspectKey returns 1 for a suspect engine and 0 for any other.
func suspectKey(candidate Candidate, input SelectionInput) int {
	if !input.Disabled.Has(MechanismSuspicion) && candidate.Health.IsSuspect(input.NowMs) {
		return 1
	}
	return 0
}

// otherZoneKey returns 1 for an engine in another zone than the request and 0 for any other.
func otherZoneKey(candidate Candidate, input SelectionInput) int {
	if !input.Disabled.Has(MechanismZonePreference) && candidate.Zone != input.Zone {
		return 1
	}
	return 0
}

// zoneCostMs returns the additional cost of an engine in another zone, and 0 for one in the
// request's zone.
func zoneCostMs(candidate Candidate, input SelectionInput) float64 {
	if otherZoneKey(candidate, input) == 0 {
		return 0
	}
	return input.ZoneCosts.CostMs(input.Zone, candidate.Zone)
}

// streamCostMs returns the expected time of a stream at an engine, plus its cost to the other
// streams there. The prefill of a token delays all requests that run at the engine, and those that
// wait for a slot. It is therefore charged as if it met the mean number of other requests, wherever
// it runs. Load is balanced by the placement of new sessions. A session does not leave its affine
// engine because another engine has fewer requests for the moment, but only if its own engine is
// slow or has no free slot: in an overload all engines are full, and repeated prefills add to the
// overload.
//
// KV cache that running requests lose to this request is prefilled again, at the same cost per
// token. Where all engines are short of KV cache, the engine with the fewest preempted tokens is
// preferred.
func (m *LatencyModel) streamCostMs(candidate Candidate, input SelectionInput, prefillTokens, preempted int64) float64 {
	slowdown := candidate.slowdown
	events := m.expectedEvents(input.NowMs, input.MaxEvents)
	usualMs := m.usualStreamMs(input.NowMs, events)
	inFlight := candidate.Health.EstimatedInFlight(input.NowMs)
	meanOthers, _ := m.otherRequests.DecayedTo(input.NowMs).mean()
	meanOthers = min(meanOthers, input.meanInFlight)
	tokenMs := m.prefillTokenMs()
	if input.Disabled.Has(MechanismPrefillCost) {
		tokenMs = defaultTokenMs
	}
	loadedTokenMs := tokenMs * (1 + meanOthers)
	unloadedMs := m.unloadedStreamMs(events)
	unloadedTokenMs := min(m.unloadedTokenMs(input.NowMs), tokenMs)
	cost := slowdown*(unloadedMs+float64(prefillTokens)*unloadedTokenMs) + float64(prefillTokens)*(loadedTokenMs-unloadedTokenMs)
	cost += input.laterTurnsCostMs(slowdown, unloadedMs, loadedTokenMs)
	cost += slowdown * float64(preempted) * loadedTokenMs
	switch input.AffineEngine {
	case "":
	case candidate.ID:
		inFlight = min(inFlight, meanOthers)
	default:
		inFlight = max(inFlight, meanOthers)
	}
	cost += slowdown * queueRatio(candidate, inFlight) * usualMs
	if !input.Disabled.Has(MechanismBatchInterference) {
		cost += slowdown * interferenceWeight * inFlight * m.interferenceMs(events, usualMs, candidate.Slots)
	}
	return cost + zoneCostMs(candidate, input)
}

// laterTurnsCostMs returns the additional cost of the later turns of a session that stays at an
// engine with the given slowdown, compared with the fastest engine that has a free slot. It is at
// most the cost of moving the session at its next turn: a session that can move cheaply need not
// account for later turns now.
func (i SelectionInput) laterTurnsCostMs(slowdown, unloadedMs, loadedTokenMs float64) float64 {
	if i.RemainingTurns <= 1 || i.minSlowdown <= 0 || slowdown <= i.minSlowdown {
		return 0
	}
	return min((i.RemainingTurns-1)*(slowdown-i.minSlowdown)*unloadedMs, i.minSlowdown*float64(PromptTokens(i.Prompt))*loadedTokenMs)
}

// meanInFlight returns the mean estimated number of requests in flight per engine.
func meanInFlight(candidates []Candidate, nowMs int64) float64 {
	total := 0.0
	for _, candidate := range candidates {
		total += candidate.Health.EstimatedInFlight(nowMs)
	}
	return total / float64(max(len(candidates), 1))
}

// minSlowdown returns the lowest slowdown of the engines that have a free slot, 0 if there is none.
func minSlowdown(candidates []Candidate, nowMs int64) float64 {
	minimum := 0.0
	for _, candidate := range candidates {
		if queueRatio(candidate, candidate.Health.EstimatedInFlight(nowMs)) == 0 && (minimum == 0 || candidate.slowdown < minimum) {
			minimum = candidate.slowdown
		}
	}
	return minimum
}

// interferenceWeight counts the cost of interference twice: once for the stream and once for the
// other requests.
const interferenceWeight = 2

// responseCostMs returns the expected latency of a complete response at an engine, plus the cost of
// another zone. The latency rises with the square of the slot utilization and with the wait for a
// slot.
func (m *LatencyModel) responseCostMs(candidate Candidate, input SelectionInput) float64 {
	usualMs := m.usualResponseMs(input.RequestKind, input.NowMs)
	ratio := candidate.Health.LatencyRatio(input.NowMs)
	if input.Disabled.Has(MechanismSlowDetection) {
		ratio = 1
	}
	inFlight := candidate.Health.EstimatedInFlight(input.NowMs)
	utilization := 0.0
	if candidate.Slots > 0 {
		utilization = min(inFlight/float64(candidate.Slots), 1)
	}
	return ratio*usualMs*(1+utilization*utilization+queueRatio(candidate, inFlight)) + zoneCostMs(candidate, input)
}

// queueRatio returns the expected wait for a slot as a multiple of the duration of a request.
func queueRatio(candidate Candidate, inFlight float64) float64 {
	if candidate.Slots == 0 {
		return 0
	}
	return max(inFlight+1-float64(candidate.Slots), 0) / float64(candidate.Slots)
}

// preemptedTokens returns by how many tokens the running requests and this one exceed the engine's
// KV cache. Requests that wait for a slot occupy none yet. KV cache use is balanced by the
// placement of new sessions, like load: a session that leaves its engine is prefilled elsewhere and
// takes as much KV cache there.
func preemptedTokens(candidate Candidate, input SelectionInput) int64 {
	if candidate.KVCacheCapacityTokens <= 0 || candidate.ID == input.AffineEngine {
		return 0
	}
	running := int64(candidate.Health.RunningKVCacheTokens(input.NowMs, candidate.Slots))
	return max(min(running+input.RequiredKVCacheTokens-candidate.KVCacheCapacityTokens, input.RequiredKVCacheTokens), 0)
}

// uncachedTokens returns the number of prompt tokens that an engine must prefill: only the last
// part at the affine engine, and the whole prompt elsewhere. Whether an engine has already cached
// the leading parts for other sessions that share them is unknown, and makes no difference between
// the engines.
func uncachedTokens(candidate Candidate, input SelectionInput) int64 {
	if len(input.Prompt) == 0 {
		return 0
	}
	if candidate.ID == input.AffineEngine {
		return input.Prompt[len(input.Prompt)-1].Tokens
	}
	return PromptTokens(input.Prompt)
}
