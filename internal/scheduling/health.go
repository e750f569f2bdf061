package scheduling

// EngineHealth is what a gateway knows of one engine: what it has seen with its own
// requests, and what all gateways together have. Times are in milliseconds.
type EngineHealth struct {
	// InFlight counts the requests under way.
	InFlight int
	// failures counts failures in a row, and suspectUntilMs is how long the engine is
	// passed over for them.
	failures       int
	suspectUntilMs int64
	// failedMs is when a request last failed here, and sharedSuspectUntilMs how long the
	// engine is passed over because others' requests failed.
	failedMs             int64
	sharedSuspectUntilMs int64
	// own is what this gateway's requests have shown of the time that things take at the
	// engine, as a multiple of what is usual; news is what of it was not reported yet, and
	// shared what all gateways together have said.
	own    DecayedMean
	news   DecayedMean
	shared DecayedMean
	// pace is what is known of the engine's speed over a longer time.
	pace enginePace
	// held is what requests under way take of the engine's memory.
	held heldTokens
	// pauses gathers the pauses between events for the next sample.
	pauses pauseWindow
	// sharedInFlight is how many requests all gateways had under way at sharedMs, and
	// reportedInFlight what this one had said of it.
	sharedInFlight   float64
	sharedMs         int64
	reportedInFlight float64
	// busy adds up InFlight over time since reportedMs, as far as busyMs.
	busy       float64
	busyMs     int64
	reportedMs int64
}

const (
	firstSuspicionMs   = 300
	longestSuspicionMs = 4_000
	// failingMs is a little more than the time between two reports of a gateway (0.7 s).
	failingMs = 1_000
	// sharedSuspicionMs is a little more than the time between two answers that tell of others'
	// failures (0.6 to 1.3 s).
	sharedSuspicionMs = 1_500
)

// pauseWindow gathers a few pauses between events, whichever streams they are of.
type pauseWindow struct {
	shortest float64
	count    int
	sinceMs  int64
}

const (
	// windowPauses is how many pauses make one sample, and windowMs how long they may be
	// gathered for.
	windowPauses = 6
	windowMs     = 2_000
)

// add takes a pause; once there are enough, it returns the shortest and begins anew.
func (w *pauseWindow) add(nowMs int64, pause float64) (shortest float64, enough bool) {
	if w.count == 0 || nowMs-w.sinceMs > windowMs {
		*w = pauseWindow{shortest: pause, sinceMs: nowMs}
	}
	w.shortest = min(w.shortest, pause)
	w.count++
	if w.count < windowPauses {
		return 0, false
	}
	shortest = w.shortest
	*w = pauseWindow{}
	return shortest, true
}

// RecordStart notes a request that goes to the engine.
func (h *EngineHealth) RecordStart(nowMs int64) {
	h.count(nowMs)
	h.InFlight++
}

// RecordEnd takes a request off the engine.
func (h *EngineHealth) RecordEnd(nowMs int64) {
	h.count(nowMs)
	h.InFlight = max(h.InFlight-1, 0)
}

// count adds up the requests under way until nowMs.
func (h *EngineHealth) count(nowMs int64) {
	h.busy += float64(h.InFlight) * float64(max(nowMs-h.busyMs, 0))
	h.busyMs = max(h.busyMs, nowMs)
}

// RecordFailure notes a request that the engine broke off or did not take.
func (h *EngineHealth) RecordFailure(nowMs int64) {
	h.failures++
	pause := int64(firstSuspicionMs) << min(h.failures-1, 8)
	h.suspectUntilMs = nowMs + min(pause, longestSuspicionMs)
	h.failedMs = nowMs
}

// RecordSuccess notes a whole answer.
func (h *EngineHealth) RecordSuccess() {
	h.failures = 0
	h.suspectUntilMs = 0
	h.sharedSuspectUntilMs = 0
}

// IsSuspect reports whether the engine is passed over for its failures.
func (h *EngineHealth) IsSuspect(nowMs int64) bool {
	return nowMs < max(h.suspectUntilMs, h.sharedSuspectUntilMs)
}

// IsFailing reports whether this gateway's own requests failed since its last report or two,
// and none has succeeded since.
func (h *EngineHealth) IsFailing(nowMs int64) bool {
	return h.failures > 0 && nowMs-h.failedMs <= failingMs
}

// ApplySharedSuspicion passes the engine over for a time, because requests of several others
// failed there.
func (h *EngineHealth) ApplySharedSuspicion(nowMs int64) {
	h.sharedSuspectUntilMs = nowMs + sharedSuspicionMs
}

// sawFactor takes one sample.
func (h *EngineHealth) sawFactor(nowMs int64, factor float64) {
	h.own.Add(nowMs, factor, 1)
	h.news.Add(nowMs, factor, 1)
}

// LatencyRatio is how many times longer than at the other engines things take at this one, as
// far as this gateway and all together have seen.
func (h *EngineHealth) LatencyRatio(nowMs int64) float64 {
	known := h.own
	known.Merge(nowMs, h.shared.At(nowMs))
	return known.ShrunkMean(1)
}

// EstimatedInFlight is how many requests of all gateways are expected to be at the engine.
func (h *EngineHealth) EstimatedInFlight(nowMs int64) float64 {
	if !h.HasRecentSharedLoad(nowMs) {
		return float64(h.InFlight)
	}
	return max(h.sharedInFlight-h.reportedInFlight, 0) + float64(h.InFlight)
}

// HasRecentSharedLoad reports whether other gateways have spoken of the engine lately.
func (h *EngineHealth) HasRecentSharedLoad(nowMs int64) bool {
	return h.sharedMs > 0 && nowMs-h.sharedMs <= loadForgottenMs
}

// SharedLoadAgeMs is how old what other gateways have said is, -1 where nothing is known.
func (h *EngineHealth) SharedLoadAgeMs(nowMs int64) int64 {
	if h.sharedMs == 0 {
		return -1
	}
	return nowMs - h.sharedMs
}

// CollectLoad returns what is new since the last call, for the report to all; false where
// there is nothing to say.
func (h *EngineHealth) CollectLoad(engine string, nowMs int64) (EngineLoad, bool) {
	h.count(nowMs)
	elapsed := max(nowMs-h.reportedMs, 1)
	mean := h.busy / float64(elapsed)
	load := EngineLoad{Engine: engine, InFlight: float32(mean), LatencyRatios: h.news.samples(nowMs)}
	said := mean > 0 || h.reportedInFlight > 0 || load.LatencyRatios.Weight > minimumWeight
	h.busy = 0
	h.reportedMs = nowMs
	h.reportedInFlight = mean
	h.news = DecayedMean{}
	return load, said
}

// ApplySharedLoad takes what all gateways together know.
func (h *EngineHealth) ApplySharedLoad(load EngineLoad, nowMs int64) {
	h.shared = load.LatencyRatios.evidence(nowMs)
	h.sharedInFlight = max(float64(load.InFlight), 0)
	h.sharedMs = nowMs
}
