package scheduling

// EngineHealth is what a gateway has seen of one engine with its own requests.
// Times are in milliseconds.
type EngineHealth struct {
	// InFlight counts the requests under way.
	InFlight int
	// failures counts failures in a row, and suspectUntilMs is how long the engine is
	// passed over for them.
	failures       int
	suspectUntilMs int64
	// pace is the moving mean of how long the engine takes against what is usual for
	// the request, in milliseconds an event; zero before the first.
	pace       float64
	paceCount  int
	lastPaceMs int64
}

const (
	firstSuspicionMs   = 300
	longestSuspicionMs = 4_000
	paceWeight         = 0.2
	// slowFactor is how many times the median pace an engine may have before it is
	// passed over, and paceSamples how many answers it takes to judge.
	slowFactor  = 2.2
	paceSamples = 4
	// paceForgottenMs is when a pace is too old to be held against an engine.
	paceForgottenMs = 2_500
)

// Failed notes a request that the engine broke off or did not take.
func (h *EngineHealth) Failed(nowMs int64) {
	h.failures++
	pause := int64(firstSuspicionMs) << min(h.failures-1, 8)
	h.suspectUntilMs = nowMs + min(pause, longestSuspicionMs)
}

// Succeeded notes an answer and its pace, milliseconds an event; zero where the
// answer says nothing about it.
func (h *EngineHealth) Succeeded(nowMs int64, pace float64) {
	h.failures = 0
	h.suspectUntilMs = 0
	if pace <= 0 {
		return
	}
	if h.paceCount == 0 || nowMs-h.lastPaceMs > paceForgottenMs {
		h.pace = pace
		h.paceCount = 0
	}
	h.pace += paceWeight * (pace - h.pace)
	h.paceCount++
	h.lastPaceMs = nowMs
}

// Suspect reports whether the engine is passed over for its failures.
func (h *EngineHealth) Suspect(nowMs int64) bool { return nowMs < h.suspectUntilMs }

// knownPace returns the engine's pace, zero where too little or nothing recent is
// known.
func (h *EngineHealth) knownPace(nowMs int64) float64 {
	if h.paceCount < paceSamples || nowMs-h.lastPaceMs > paceForgottenMs {
		return 0
	}
	return h.pace
}
