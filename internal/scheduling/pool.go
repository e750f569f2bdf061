package scheduling

// LatencyModel is what a gateway has learned from its own requests about the engines of one
// backend: the prefill cost of a token, the interference of other requests, and the latencies at an
// average engine. Times are in milliseconds.
type LatencyModel struct {
	// prefillFit fits the time to the first event to the number of tokens to prefill. waitFit fits
	// the remainder of that time, and gapFit the gap between events, to the number of other
	// requests at the engine.
	prefillFit LinearFit
	waitFit    LinearFit
	gapFit     LinearFit
	// firstEventMs and prefillTokens are the means of the samples in prefillFit. waitMs, gapMs and
	// streamEvents are the means of the time to the first event beyond the prefill, of the gap
	// between events, and of the number of events of a stream.
	firstEventMs  DecayedMean
	prefillTokens DecayedMean
	waitMs        DecayedMean
	gapMs         DecayedMean
	streamEvents  DecayedMean
	// otherRequests is the mean number of other requests at the engine of a stream.
	otherRequests DecayedMean
	// pace compares the speeds of the engines.
	pace paceModel
	// tokenTimes collects the time to the first event divided by the number of tokens to prefill,
	// and minTokenMs is the mean of the minima of its windows.
	tokenTimes minWindow
	minTokenMs DecayedMean
	// responseMs is the mean latency of complete responses by request kind. Under gapKind it is the
	// mean of the minima of windows of gaps.
	responseMs map[string]*DecayedMean
	// turnsByKind counts the turns of sessions by request kind.
	turnsByKind map[string]*turnCounts
}

const (
	// defaultTokenMs is the assumed prefill cost of a token before any sample exists. It is high
	// enough to keep a session at the engine that has its prefix cached.
	defaultTokenMs = 1.0
	// maxRequestKinds limits the number of request kinds that are tracked separately.
	maxRequestKinds = 512
	// maxSampleRatio limits a latency sample to this multiple of the usual latency.
	maxSampleRatio = 10
	// minPrefillTokens is the minimum number of tokens to prefill for which the time to the first
	// event shows the prefill cost of a token.
	minPrefillTokens = 256
	// gapSampleWeight is the weight of one gap in samples. It is below 1 because the gaps of one
	// stream carry nearly the same information.
	gapSampleWeight = 0.2
)

// prefillTokenMs returns the prefill time of a token. Until the samples show a slope, it is the
// whole time to the first event divided by the number of tokens, which is an upper bound, but at
// most defaultTokenMs.
func (m *LatencyModel) prefillTokenMs() float64 {
	if slope, known := m.prefillFit.Slope(); known {
		return slope
	}
	firstEventMs, known := m.firstEventMs.mean()
	if tokens, hasTokens := m.prefillTokens.mean(); known && hasTokens && tokens > 0 {
		return min(firstEventMs/tokens, defaultTokenMs)
	}
	return defaultTokenMs
}

// ObserveFirstEvent learns from the first event of a stream, which arrived latencyMs after the
// request was sent to an engine that had a number of tokens to prefill.
func (m *LatencyModel) ObserveFirstEvent(health *EngineHealth, nowMs int64, tokens int64, latencyMs float64) {
	latencyMs /= health.Slowdown()
	m.prefillFit.Add(nowMs, float64(tokens), latencyMs)
	if tokens >= minPrefillTokens {
		if minimum, complete := m.tokenTimes.add(nowMs, latencyMs/float64(tokens)); complete {
			m.minTokenMs.HalfLifeMs = baselineHalfLifeMs
			m.minTokenMs.Add(nowMs, minimum, 1)
		}
	}
	m.firstEventMs.Add(nowMs, latencyMs, 1)
	m.prefillTokens.Add(nowMs, float64(tokens), 1)
	waitMs := max(latencyMs-float64(tokens)*m.prefillTokenMs(), 0)
	others := max(health.EstimatedInFlight(nowMs)-1, 0)
	m.waitMs.Add(nowMs, waitMs, 1)
	m.waitFit.Add(nowMs, others, waitMs)
	m.otherRequests.Add(nowMs, others, 1)
}

// ObserveEventGap learns from the gap before a further event of a stream. The minimum of a few gaps
// tells a slow engine from a busy one: at a busy engine the prefills of other requests lengthen
// some of the gaps, while at a slow engine no gap is short.
func (m *LatencyModel) ObserveEventGap(health *EngineHealth, nowMs int64, gapMs float64) {
	normalizedMs := gapMs / health.Slowdown()
	m.gapMs.Add(nowMs, normalizedMs, gapSampleWeight)
	m.gapFit.Add(nowMs, max(health.EstimatedInFlight(nowMs)-1, 0), normalizedMs)
	if minimum, complete := health.gaps.add(nowMs, gapMs); complete {
		m.ObserveResponse(health, nowMs, gapKind, minimum)
	}
}

// gapKind is the request kind under which the minima of windows of gaps are compared.
const gapKind = "\x00pause"

// ObserveStreamLength learns the number of events of a complete stream.
func (m *LatencyModel) ObserveStreamLength(nowMs int64, events int64) {
	m.streamEvents.Add(nowMs, float64(events), 1)
}

// ObserveResponse learns from the latency of a complete response to a kind of request.
func (m *LatencyModel) ObserveResponse(health *EngineHealth, nowMs int64, kind string, latencyMs float64) {
	mean := entryForKind(&m.responseMs, kind)
	usualMs, known := mean.DecayedTo(nowMs).mean()
	if !known {
		usualMs = latencyMs
	}
	mean.Add(nowMs, min(latencyMs, maxSampleRatio*usualMs), 1)
	if usualMs > 0 {
		health.addLatencyRatio(nowMs, min(latencyMs/usualMs, maxSampleRatio))
	}
}

// usualResponseMs returns the latency of a response to a kind of request, or 0 if it is unknown.
func (m *LatencyModel) usualResponseMs(kind string, nowMs int64) float64 {
	mean, known := m.responseMs[kind]
	if !known {
		return 0
	}
	latencyMs, _ := mean.DecayedTo(nowMs).mean()
	return latencyMs
}

// usualStreamMs returns how long a stream takes beyond the prefill at an average engine under the
// usual load.
func (m *LatencyModel) usualStreamMs(nowMs int64, events float64) float64 {
	waitMs, _ := m.waitMs.DecayedTo(nowMs).mean()
	gapMs, _ := m.gapMs.DecayedTo(nowMs).mean()
	return waitMs + events*gapMs
}

// unloadedStreamMs returns the expected time of a stream beyond the prefill at an average engine
// that serves no other request.
func (m *LatencyModel) unloadedStreamMs(events float64) float64 {
	waitMs, _ := m.waitFit.Intercept()
	gapMs, _ := m.gapFit.Intercept()
	return waitMs + events*gapMs
}

// unloadedTokenMs returns the prefill time of a token at an average engine without other prefills:
// at most the mean of the windows' minima. In an overload the slope of prefillFit also contains the
// prefills of other requests. It then shows what a prefilled token costs all requests, but not how
// much sooner a fast engine would have prefilled it.
func (m *LatencyModel) unloadedTokenMs(nowMs int64) float64 {
	if minimum, known := m.minTokenMs.DecayedTo(nowMs).mean(); known {
		return min(m.prefillTokenMs(), minimum)
	}
	return m.prefillTokenMs()
}

// expectedEvents returns the expected number of events of a stream, at most maxEvents.
func (m *LatencyModel) expectedEvents(nowMs int64, maxEvents int64) float64 {
	if mean, known := m.streamEvents.DecayedTo(nowMs).mean(); known {
		return min(mean, float64(maxEvents))
	}
	return float64(maxEvents) / 2
}

// interferenceMs returns by how much each other request at the engine lengthens a stream. If the
// samples show no slope, a full engine is assumed to be half as fast as one without other requests.
func (m *LatencyModel) interferenceMs(events, usualMs float64, slots int) float64 {
	waitSlope, waitKnown := m.waitFit.Slope()
	gapSlope, gapKnown := m.gapFit.Slope()
	if !waitKnown && !gapKnown && slots > 0 {
		return usualMs / float64(slots)
	}
	return waitSlope + events*gapSlope
}
