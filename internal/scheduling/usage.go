package scheduling

import "math"

// EngineUsage is the pace and the KV cache use of one engine, as observed by one gateway since its
// last report or by all gateways together. Unlike EngineLoad it is encoded as a map, so that
// processes of an older or newer release can read the fields that they know.
type EngineUsage struct {
	Engine string `msgpack:"e"`
	// Pace holds samples of the time per token at the engine as a multiple of the usual time.
	Pace WeightedSum `msgpack:"p"`
	// ReservedKVCacheTokens is the mean size of the KV cache that requests in flight reserved since
	// the last report, in tokens.
	ReservedKVCacheTokens float32 `msgpack:"h,omitempty"`
}

// kvCacheReservation is the part of an engine's KV cache that is reserved by requests in flight, as
// far as one gateway can tell. Requests that wait for a slot also count, since they will run at the
// engine.
type kvCacheReservation struct {
	// ownTokens is the sum over the requests of this gateway, and tokenMs is its integral over the
	// time from reportedMs to integratedMs, in tokens times milliseconds.
	ownTokens    int64
	tokenMs      float64
	integratedMs int64
	reportedMs   int64
	// sharedTokens is the sum over all gateways at sharedMs, and reportedTokens is what this
	// gateway had contributed to it.
	sharedTokens   float64
	sharedMs       int64
	reportedTokens float64
}

// add reserves tokens for a request that is sent, or with a negative number releases those of one
// that has ended.
func (r *kvCacheReservation) add(nowMs, tokens int64) {
	r.integrate(nowMs)
	r.ownTokens = max(r.ownTokens+tokens, 0)
}

// integrate adds the reserved tokens up to nowMs to tokenMs.
func (r *kvCacheReservation) integrate(nowMs int64) {
	r.tokenMs += float64(r.ownTokens) * float64(max(nowMs-r.integratedMs, 0))
	r.integratedMs = max(r.integratedMs, nowMs)
}

// collectMean returns the mean number of reserved tokens since the last call.
func (r *kvCacheReservation) collectMean(nowMs int64) float64 {
	r.integrate(nowMs)
	mean := r.tokenMs / float64(max(nowMs-r.reportedMs, 1))
	r.tokenMs = 0
	r.reportedMs = nowMs
	r.reportedTokens = mean
	return mean
}

// ReserveKVCache reserves the KV cache tokens of a request that is sent to the engine, until
// ReleaseKVCache.
func (h *EngineHealth) ReserveKVCache(nowMs, tokens int64) { h.kvCache.add(nowMs, tokens) }

// ReleaseKVCache releases tokens reserved by ReserveKVCache.
func (h *EngineHealth) ReleaseKVCache(nowMs, tokens int64) { h.kvCache.add(nowMs, -tokens) }

// ReservedKVCacheTokens returns the estimated number of KV cache tokens that requests of all
// gateways reserve at the engine.
func (h *EngineHealth) ReservedKVCacheTokens(nowMs int64) float64 {
	if h.kvCache.sharedMs == 0 || nowMs-h.kvCache.sharedMs > loadLifetimeMs {
		return float64(h.kvCache.ownTokens)
	}
	return max(h.kvCache.sharedTokens-h.kvCache.reportedTokens, 0) + float64(h.kvCache.ownTokens)
}

// CollectUsage returns the usage since the last call for the next report. It returns false if there
// is nothing to report.
func (h *EngineHealth) CollectUsage(engine string, nowMs int64) (EngineUsage, bool) {
	previous := h.kvCache.reportedTokens
	usage := EngineUsage{Engine: engine, Pace: h.pace.unreported.weightedSum(nowMs), ReservedKVCacheTokens: float32(h.kvCache.collectMean(nowMs))}
	h.pace.unreported = DecayedMean{HalfLifeMs: paceHalfLifeMs}
	return usage, usage.Pace.Weight > minWeight || usage.ReservedKVCacheTokens > 0 || previous > 0
}

// ApplySharedUsage sets the usage over all gateways.
func (h *EngineHealth) ApplySharedUsage(usage EngineUsage, nowMs int64) {
	h.pace.shared = usage.Pace.decayedMean(nowMs)
	h.pace.shared.HalfLifeMs = paceHalfLifeMs
	h.kvCache.sharedTokens = max(float64(usage.ReservedKVCacheTokens), 0)
	h.kvCache.sharedMs = nowMs
}

// RunningKVCacheTokens estimates the part of ReservedKVCacheTokens that belongs to requests that
// occupy a slot, as if all requests had reserved the same number.
func (h *EngineHealth) RunningKVCacheTokens(nowMs int64, slots int) float64 {
	reserved, inFlight := h.ReservedKVCacheTokens(nowMs), h.EstimatedInFlight(nowMs)
	if slots <= 0 || inFlight <= float64(slots) {
		return reserved
	}
	return reserved * float64(slots) / inFlight
}

// usageAggregate is the aggregated usage of one engine.
type usageAggregate struct {
	pace       DecayedMean
	reportedMs int64
	// tokensByGateway is the last reported number of reserved KV cache tokens of each gateway.
	tokensByGateway map[string]gatewayValue
}

// reservedTokens returns the sum of the recent reports and removes the others.
func (e *usageAggregate) reservedTokens(nowMs int64) float64 {
	total := 0.0
	for gateway, reported := range e.tokensByGateway {
		if nowMs-reported.atMs > loadLifetimeMs {
			delete(e.tokensByGateway, gateway)
			continue
		}
		total += reported.value
	}
	return total
}

// usageLifetimeMs is how long an aggregator keeps the usage of an engine that is no longer
// reported. The samples have little weight by then.
const usageLifetimeMs = 6 * paceHalfLifeMs

// ReportUsage applies a gateway's report on existing engines, like ReportLoads.
func (a *LoadAggregator) ReportUsage(gateway string, usages []EngineUsage, nowMs int64) {
	for _, usage := range usages {
		entry, known := a.usages[usage.Engine]
		if !known {
			entry = &usageAggregate{pace: DecayedMean{HalfLifeMs: paceHalfLifeMs}, tokensByGateway: map[string]gatewayValue{}}
			a.usages[usage.Engine] = entry
		}
		entry.reportedMs = nowMs
		entry.pace.Merge(nowMs, usage.Pace.decayedMean(nowMs))
		switch reserved := float64(usage.ReservedKVCacheTokens); {
		case reserved > 0 && !math.IsInf(reserved, 0):
			entry.tokensByGateway[gateway] = gatewayValue{value: reserved, atMs: nowMs}
		default:
			delete(entry.tokensByGateway, gateway)
		}
	}
}

// Usages returns the usage of the given engines over all gateways, without engines that have none.
func (a *LoadAggregator) Usages(engines []string, nowMs int64) []EngineUsage {
	var usages []EngineUsage
	for _, engine := range engines {
		entry, known := a.usages[engine]
		if !known {
			continue
		}
		usage := EngineUsage{Engine: engine, Pace: entry.pace.weightedSum(nowMs), ReservedKVCacheTokens: float32(entry.reservedTokens(nowMs))}
		if usage.Pace.Weight > minWeight || usage.ReservedKVCacheTokens > 0 {
			usages = append(usages, usage)
		}
	}
	return usages
}

// sweepUsages removes engines that were not reported for a long time.
func (a *LoadAggregator) sweepUsages(nowMs int64) {
	for engine, entry := range a.usages {
		if nowMs-entry.reportedMs > usageLifetimeMs {
			delete(a.usages, engine)
		}
	}
}
