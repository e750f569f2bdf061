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
	// pace is the pause between events of a stream, wait the time to the first event
	// beyond the reading, and factor the time of whole answers as a multiple of what is
	// usual for their kind.
	pace   Evidence
	wait   Evidence
	factor Evidence
	// read is when the parts of prompts were last sent to the engine.
	read map[string]int64
}

const (
	firstSuspicionMs   = 300
	longestSuspicionMs = 4_000
	// keptReadMs is how long a part of a prompt is taken to stay in an engine's cache
	// after its last use, and maxKeptParts bounds what is remembered.
	keptReadMs   = 6_000
	maxKeptParts = 512
)

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

// Succeeded notes a whole answer.
func (h *EngineHealth) Succeeded() {
	h.failures = 0
	h.suspectUntilMs = 0
}

// Suspect reports whether the engine is passed over for its failures.
func (h *EngineHealth) Suspect(nowMs int64) bool { return nowMs < h.suspectUntilMs }
