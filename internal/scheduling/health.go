package scheduling

// EngineHealth is the state of one engine as seen by a gateway, from its own requests and from the
// reports of all gateways. Times are in milliseconds.
type EngineHealth struct {
	// OwnInFlight is the number of this gateway's requests in flight.
	OwnInFlight int
	// consecutiveFailures counts failures without a success in between, and suspectUntilMs is until
	// when the engine is avoided because of them.
	consecutiveFailures int
	suspectUntilMs      int64
	// lastFailureMs is when a request of this gateway last failed at the engine, and
	// sharedSuspectUntilMs is until when the engine is avoided because requests of other gateways
	// failed.
	lastFailureMs        int64
	sharedSuspectUntilMs int64
	// ownRatios are the latencies of this gateway's requests as multiples of the usual latency.
	// unreportedRatios are those of them that were not yet reported, and sharedRatios those of all
	// gateways.
	ownRatios        DecayedMean
	unreportedRatios DecayedMean
	sharedRatios     DecayedMean
	// pace is the speed of the engine over a longer time.
	pace enginePace
	// kvCache is the part of the engine's KV cache that requests in flight reserve.
	kvCache kvCacheReservation
	// gaps collects the gaps between events for the next sample.
	gaps minWindow
	// sharedInFlight is the number of requests that all gateways had in flight at sharedMs, and
	// reportedInFlight is what this gateway had contributed to it.
	sharedInFlight   float64
	sharedMs         int64
	reportedInFlight float64
	// requestMs is the integral of InFlight over the time from reportedMs to integratedMs, in
	// requests times milliseconds.
	requestMs    float64
	integratedMs int64
	reportedMs   int64
}

const (
	// initialSuspicionMs is how long an engine is avoided after the first failure in a row. The
	// time doubles with each further failure, up to maxSuspicionMs.
	initialSuspicionMs = 300
	maxSuspicionMs     = 4_000
	// failingWindowMs is how long a failure is reported. It is slightly longer than the time
	// between two reports of a gateway (0.7 s).
	failingWindowMs = 1_000
	// sharedSuspicionMs is how long an engine is avoided because of failures at other gateways. It
	// is slightly longer than the time between two replies that report failures at other gateways
	// (0.6 to 1.3 s).
	sharedSuspicionMs = 1_500
)

// minWindow computes the minimum of each window of successive samples, such as gaps between events.
// The samples of one window may come from different streams.
type minWindow struct {
	minimum   float64
	count     int
	startedMs int64
}

const (
	// windowSamples is the number of samples in a window, and windowLifetimeMs is the time within
	// which they must arrive.
	windowSamples    = 6
	windowLifetimeMs = 2_000
)

// add adds a sample. When the window is complete, it returns the minimum and starts a new window.
func (w *minWindow) add(nowMs int64, sample float64) (minimum float64, complete bool) {
	if w.count == 0 || nowMs-w.startedMs > windowLifetimeMs {
		*w = minWindow{minimum: sample, startedMs: nowMs}
	}
	w.minimum = min(w.minimum, sample)
	w.count++
	if w.count < windowSamples {
		return 0, false
	}
	minimum = w.minimum
	*w = minWindow{}
	return minimum, true
}

// RecordStart records a request that is sent to the engine.
func (h *EngineHealth) RecordStart(nowMs int64) {
	h.integrate(nowMs)
	h.OwnInFlight++
}

// RecordEnd records that a request at the engine has ended.
func (h *EngineHealth) RecordEnd(nowMs int64) {
	h.integrate(nowMs)
	h.OwnInFlight = max(h.OwnInFlight-1, 0)
}

// integrate adds the requests in flight up to nowMs to requestMs.
func (h *EngineHealth) integrate(nowMs int64) {
	h.requestMs += float64(h.OwnInFlight) * float64(max(nowMs-h.integratedMs, 0))
	h.integratedMs = max(h.integratedMs, nowMs)
}

// RecordFailure records a request that the engine interrupted or did not accept.
func (h *EngineHealth) RecordFailure(nowMs int64) {
	h.consecutiveFailures++
	suspicionMs := int64(initialSuspicionMs) << min(h.consecutiveFailures-1, 8)
	h.suspectUntilMs = nowMs + min(suspicionMs, maxSuspicionMs)
	h.lastFailureMs = nowMs
}

// RecordSuccess records a complete response.
func (h *EngineHealth) RecordSuccess() {
	h.consecutiveFailures = 0
	h.suspectUntilMs = 0
	h.sharedSuspectUntilMs = 0
}

// IsSuspect reports whether the engine is avoided because of failures.
func (h *EngineHealth) IsSuspect(nowMs int64) bool {
	return nowMs < max(h.suspectUntilMs, h.sharedSuspectUntilMs)
}

// IsFailing reports whether a request of this gateway failed within failingWindowMs, which covers
// its last one or two reports, and none has succeeded since.
func (h *EngineHealth) IsFailing(nowMs int64) bool {
	return h.consecutiveFailures > 0 && nowMs-h.lastFailureMs <= failingWindowMs
}

// ApplySharedSuspicion makes the engine suspect for some time, because requests of several other
// gateways failed there.
func (h *EngineHealth) ApplySharedSuspicion(nowMs int64) {
	h.sharedSuspectUntilMs = nowMs + sharedSuspicionMs
}

// addLatencyRatio adds a sample of the latency relative to the usual latency.
func (h *EngineHealth) addLatencyRatio(nowMs int64, ratio float64) {
	h.ownRatios.Add(nowMs, ratio, 1)
	h.unreportedRatios.Add(nowMs, ratio, 1)
}

// LatencyRatio returns the recent latencies at this engine as a multiple of the usual latency, from
// the samples of this gateway and of all gateways. It is close to 1 while there are few samples.
func (h *EngineHealth) LatencyRatio(nowMs int64) float64 {
	merged := h.ownRatios
	merged.Merge(nowMs, h.sharedRatios.DecayedTo(nowMs))
	return merged.ShrunkMean(1)
}

// EstimatedInFlight returns the estimated number of requests that all gateways have in flight at
// the engine.
func (h *EngineHealth) EstimatedInFlight(nowMs int64) float64 {
	if !h.HasRecentSharedLoad(nowMs) {
		return float64(h.OwnInFlight)
	}
	return max(h.sharedInFlight-h.reportedInFlight, 0) + float64(h.OwnInFlight)
}

// HasRecentSharedLoad reports whether the load over all gateways was received recently.
func (h *EngineHealth) HasRecentSharedLoad(nowMs int64) bool {
	return h.sharedMs > 0 && nowMs-h.sharedMs <= loadLifetimeMs
}

// SharedLoadAgeMs returns the age of the load over all gateways, or -1 if none was received.
func (h *EngineHealth) SharedLoadAgeMs(nowMs int64) int64 {
	if h.sharedMs == 0 {
		return -1
	}
	return nowMs - h.sharedMs
}

// CollectLoad returns the load since the last call for the next report. It returns false if there
// is nothing to report.
func (h *EngineHealth) CollectLoad(engine string, nowMs int64) (EngineLoad, bool) {
	h.integrate(nowMs)
	elapsed := max(nowMs-h.reportedMs, 1)
	mean := h.requestMs / float64(elapsed)
	load := EngineLoad{Engine: engine, InFlight: float32(mean), LatencyRatios: h.unreportedRatios.weightedSum(nowMs)}
	changed := mean > 0 || h.reportedInFlight > 0 || load.LatencyRatios.Weight > minWeight
	h.requestMs = 0
	h.reportedMs = nowMs
	h.reportedInFlight = mean
	h.unreportedRatios = DecayedMean{}
	return load, changed
}

// ApplySharedLoad sets the load over all gateways.
func (h *EngineHealth) ApplySharedLoad(load EngineLoad, nowMs int64) {
	h.sharedRatios = load.LatencyRatios.decayedMean(nowMs)
	h.sharedInFlight = max(float64(load.InFlight), 0)
	h.sharedMs = nowMs
}
