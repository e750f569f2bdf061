package scheduling

import "math"

// EngineUsage is what observers know of one engine besides its Load: one gateway since its last
// report, or all gateways together. It goes as a map, so that processes of an older or newer
// release read what they know of it.
type EngineUsage struct {
	Engine string `msgpack:"e"`
	// Pace are samples of how many times longer than usual a token took there.
	Pace WeightedSum `msgpack:"p"`
	// ReservedKVCacheTokens is what requests under way took of the engine's memory, on the mean since the
	// last report.
	ReservedKVCacheTokens float32 `msgpack:"h,omitempty"`
}

// heldTokens is what requests under way take of an engine's memory, as far as one gateway
// knows. Those that wait for a slot count too: they will run there.
type heldTokens struct {
	// own adds up this gateway's requests, and area is own over time since reportedMs, as far
	// as countedMs.
	own        int64
	area       float64
	countedMs  int64
	reportedMs int64
	// shared is what all gateways said at sharedMs, reported what of it this one had said.
	shared   float64
	sharedMs int64
	reported float64
}

// add counts a request that is sent, or with a negative number one that has ended.
func (t *heldTokens) add(nowMs, tokens int64) {
	t.count(nowMs)
	t.own = max(t.own+tokens, 0)
}

func (t *heldTokens) count(nowMs int64) {
	t.area += float64(t.own) * float64(max(nowMs-t.countedMs, 0))
	t.countedMs = max(t.countedMs, nowMs)
}

// take returns the mean since the last call.
func (t *heldTokens) take(nowMs int64) float64 {
	t.count(nowMs)
	mean := t.area / float64(max(nowMs-t.reportedMs, 1))
	t.area = 0
	t.reportedMs = nowMs
	t.reported = mean
	return mean
}

// ReserveKVCache notes what a request that goes to the engine takes of its memory, and Release that it
// does not any more.
func (h *EngineHealth) ReserveKVCache(nowMs, tokens int64) { h.held.add(nowMs, tokens) }

// ReleaseKVCache undoes a Hold of as many tokens.
func (h *EngineHealth) ReleaseKVCache(nowMs, tokens int64) { h.held.add(nowMs, -tokens) }

// ReservedKVCacheTokens is what the requests of all gateways are expected to take of the engine's memory.
func (h *EngineHealth) ReservedKVCacheTokens(nowMs int64) float64 {
	if h.held.sharedMs == 0 || nowMs-h.held.sharedMs > loadForgottenMs {
		return float64(h.held.own)
	}
	return max(h.held.shared-h.held.reported, 0) + float64(h.held.own)
}

// CollectUsage returns what is new since the last call, for the report to all; false where
// there is nothing to say.
func (h *EngineHealth) CollectUsage(engine string, nowMs int64) (EngineUsage, bool) {
	before := h.held.reported
	usage := EngineUsage{Engine: engine, Pace: h.pace.news.samples(nowMs), ReservedKVCacheTokens: float32(h.held.take(nowMs))}
	h.pace.news = DecayedMean{HalfLifeMs: paceHalfLifeMs}
	return usage, usage.Pace.Weight > minimumWeight || usage.ReservedKVCacheTokens > 0 || before > 0
}

// ApplySharedUsage takes what all gateways together know.
func (h *EngineHealth) ApplySharedUsage(usage EngineUsage, nowMs int64) {
	h.pace.shared = usage.Pace.evidence(nowMs)
	h.pace.shared.HalfLifeMs = paceHalfLifeMs
	h.held.shared = max(float64(usage.ReservedKVCacheTokens), 0)
	h.held.sharedMs = nowMs
}

// RunningKVCacheTokens is what of HeldTokens those requests take that have one of the slots.
func (h *EngineHealth) RunningKVCacheTokens(nowMs int64, slots int) float64 {
	held, inFlight := h.ReservedKVCacheTokens(nowMs), h.EstimatedInFlight(nowMs)
	if slots <= 0 || inFlight <= float64(slots) {
		return held
	}
	return held * float64(slots) / inFlight
}

// usageEntry is what a board knows of one engine's use.
type usageEntry struct {
	pace    DecayedMean
	heardMs int64
	// held is what each gateway said last of the memory that its requests take.
	held map[string]boardCount
}

// heldTokens adds up what gateways said lately, and forgets the rest.
func (e *usageEntry) heldTokens(nowMs int64) float64 {
	total := 0.0
	for gateway, said := range e.held {
		if nowMs-said.atMs > loadForgottenMs {
			delete(e.held, gateway)
			continue
		}
		total += said.inFlight
	}
	return total
}

// usageForgottenMs is when a board forgets the use of an engine of which nobody speaks: its
// samples count for little by then.
const usageForgottenMs = 6 * paceHalfLifeMs

// ReportUsage takes what a gateway says of engines that there are, as Report does.
func (b *LoadAggregator) ReportUsage(gateway string, usages []EngineUsage, nowMs int64) {
	for _, usage := range usages {
		entry, known := b.usages[usage.Engine]
		if !known {
			entry = &usageEntry{pace: DecayedMean{HalfLifeMs: paceHalfLifeMs}, held: map[string]boardCount{}}
			b.usages[usage.Engine] = entry
		}
		entry.heardMs = nowMs
		entry.pace.Merge(nowMs, usage.Pace.evidence(nowMs))
		switch held := float64(usage.ReservedKVCacheTokens); {
		case held > 0 && !math.IsInf(held, 0):
			entry.held[gateway] = boardCount{inFlight: held, atMs: nowMs}
		default:
			delete(entry.held, gateway)
		}
	}
}

// Usages returns what all gateways together know of the use of the engines named.
func (b *LoadAggregator) Usages(engines []string, nowMs int64) []EngineUsage {
	var usages []EngineUsage
	for _, engine := range engines {
		entry, known := b.usages[engine]
		if !known {
			continue
		}
		usage := EngineUsage{Engine: engine, Pace: entry.pace.samples(nowMs), ReservedKVCacheTokens: float32(entry.heldTokens(nowMs))}
		if usage.Pace.Weight > minimumWeight || usage.ReservedKVCacheTokens > 0 {
			usages = append(usages, usage)
		}
	}
	return usages
}

// sweepUsages forgets engines of which nobody has spoken for long.
func (b *LoadAggregator) sweepUsages(nowMs int64) {
	for engine, entry := range b.usages {
		if nowMs-entry.heardMs > usageForgottenMs {
			delete(b.usages, engine)
		}
	}
}
