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
	// pace is the moving mean of the pause between events of a stream, or of the time
	// of a whole answer; wait that of the time to the first event.
	pace movingMean
	wait movingMean
	// read is when the parts of prompts were last sent to the engine.
	read map[string]int64
}

const (
	firstSuspicionMs   = 300
	longestSuspicionMs = 4_000
	// paceWeight and waitWeight are how much one sample moves a mean.
	paceWeight = 0.015
	waitWeight = 0.1
	// meanForgottenMs is when a mean is too old to be held against an engine.
	meanForgottenMs = 1_500
	// slowFactor is how many times the median pace an engine may have before it is
	// passed over, and paceSamples how many samples it takes to judge.
	slowFactor  = 2.2
	paceSamples = 6
	// keptReadMs is how long a part of a prompt is taken to stay in an engine's cache
	// after its last use, and maxKeptParts bounds what is remembered.
	keptReadMs   = 6_000
	maxKeptParts = 512
)

// movingMean is an exponentially weighted mean that is forgotten without samples.
type movingMean struct {
	value  float64
	count  int
	lastMs int64
}

func (m *movingMean) add(nowMs int64, sample, weight float64) {
	if m.count == 0 || nowMs-m.lastMs > meanForgottenMs {
		m.value = sample
		m.count = 0
	}
	m.value += weight * (sample - m.value)
	m.count++
	m.lastMs = nowMs
}

// at returns the mean, zero where nothing recent is known.
func (m *movingMean) at(nowMs int64) float64 {
	if m.count == 0 || nowMs-m.lastMs > meanForgottenMs {
		return 0
	}
	return m.value
}

// Sent notes a request that goes to the engine and the parts of its prompt.
func (h *EngineHealth) Sent(prompt []PromptPart, nowMs int64) {
	h.InFlight++
	if len(prompt) == 0 {
		return
	}
	if h.read == nil || len(h.read) > maxKeptParts {
		h.read = map[string]int64{}
	}
	// Only the first part is shared with other programs; the rest is the session's,
	// of which the ledger knows better where it is.
	h.read[prompt[0].ID] = nowMs
}

// hasRead reports whether a part of a prompt was sent to the engine lately.
func (h *EngineHealth) hasRead(part string, nowMs int64) bool {
	last, known := h.read[part]
	return known && nowMs-last < keptReadMs
}

// Failed notes a request that the engine broke off or did not take.
func (h *EngineHealth) Failed(nowMs int64) {
	h.failures++
	pause := int64(firstSuspicionMs) << min(h.failures-1, 8)
	h.suspectUntilMs = nowMs + min(pause, longestSuspicionMs)
}

// Succeeded notes a whole answer and how long it took; zero where that says nothing
// about the engine.
func (h *EngineHealth) Succeeded(nowMs int64, took float64) {
	h.failures = 0
	h.suspectUntilMs = 0
	if took > 0 {
		h.pace.add(nowMs, took, paceWeight)
	}
}

// FirstEvent notes how long a stream's first event took.
func (h *EngineHealth) FirstEvent(nowMs int64, took float64) { h.wait.add(nowMs, took, waitWeight) }

// NextEvent notes the pause before a further event of a stream.
func (h *EngineHealth) NextEvent(nowMs int64, gap float64) { h.pace.add(nowMs, gap, paceWeight) }

// Suspect reports whether the engine is passed over for its failures.
func (h *EngineHealth) Suspect(nowMs int64) bool { return nowMs < h.suspectUntilMs }

// judgedPace returns the engine's pace, zero where too little or nothing recent is
// known.
func (h *EngineHealth) judgedPace(nowMs int64) float64 {
	if h.pace.count < paceSamples {
		return 0
	}
	return h.pace.at(nowMs)
}
