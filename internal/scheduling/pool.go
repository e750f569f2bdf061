package scheduling

// LatencyModel is what a gateway has learnt of the engines of one back end from its own
// requests: what reading a token costs, what company costs, and how long things take at
// an engine that is like the others. Times are in milliseconds.
type LatencyModel struct {
	// reading is the time to the first event over the tokens that had to be read;
	// waiting is what is left of it over the other requests at the engine, and pausing
	// the pause between events over them.
	reading LinearFit
	waiting LinearFit
	pausing LinearFit
	// firstEvents and tokens are the means of what the line of reading is fitted to,
	// wait, pace and events those of the time to the first event beyond the reading, of
	// the pause between events and of the events of a stream.
	firstEvents DecayedMean
	tokens      DecayedMean
	wait        DecayedMean
	pace        DecayedMean
	events      DecayedMean
	// company is how many requests a stream met at its engine.
	company DecayedMean
	// paced is what tells the speeds of engines apart.
	paced paced
	// reads gathers the times to the first event over the tokens read, and leastRead is the
	// mean of the shortest of a few.
	reads     pauseWindow
	leastRead DecayedMean
	// took is the mean time of whole answers by kind of request, and of the shortest of a
	// few pauses.
	took map[string]*DecayedMean
	// turns are the turns of sessions by kind of request.
	turns map[string]*turnCounts
}

const (
	// unknownTokenMs is what reading a token is taken to cost before anything is known:
	// so much that a session stays where its memory is.
	unknownTokenMs = 1.0
	// maxKinds bounds the kinds of request that are told apart.
	maxKinds = 512
	// largestFactor bounds how many times longer than usual one sample may count.
	largestFactor = 10
	// leastReadTokens is from how many tokens on the time to the first event says something of
	// reading them.
	leastReadTokens = 256
	// eventWeight is what one pause counts for: those of one stream say much the same.
	eventWeight = 0.2
)

// tokenMs is what reading a token takes an engine. Until the samples show a slope, all of
// the time to the first event counts as reading, which is the most that it can be.
func (p *LatencyModel) tokenMs() float64 {
	if slope, known := p.reading.Slope(); known {
		return slope
	}
	first, known := p.firstEvents.own()
	if tokens, some := p.tokens.own(); known && some && tokens > 0 {
		return min(first/tokens, unknownTokenMs)
	}
	return unknownTokenMs
}

// ObserveFirstEvent learns from the first event of a stream that came took after its send to an
// engine that had tokens to read.
func (p *LatencyModel) ObserveFirstEvent(health *EngineHealth, nowMs int64, tokens int64, took float64) {
	took /= health.Slowdown()
	p.reading.Add(nowMs, float64(tokens), took)
	if tokens >= leastReadTokens {
		if shortest, enough := p.reads.add(nowMs, took/float64(tokens)); enough {
			p.leastRead.HalfLifeMs = usualPaceHalfLifeMs
			p.leastRead.Add(nowMs, shortest, 1)
		}
	}
	p.firstEvents.Add(nowMs, took, 1)
	p.tokens.Add(nowMs, float64(tokens), 1)
	rest := max(took-float64(tokens)*p.tokenMs(), 0)
	others := max(health.EstimatedInFlight(nowMs)-1, 0)
	p.wait.Add(nowMs, rest, 1)
	p.waiting.Add(nowMs, others, rest)
	p.company.Add(nowMs, others, 1)
}

// ObserveEventGap learns from the pause before a further event of a stream. The shortest of a
// few pauses tells a slow engine from a busy one: at a busy one the reading of others
// makes some of them long, at a slow one none is short.
func (p *LatencyModel) ObserveEventGap(health *EngineHealth, nowMs int64, gap float64) {
	even := gap / health.Slowdown()
	p.pace.Add(nowMs, even, eventWeight)
	p.pausing.Add(nowMs, max(health.EstimatedInFlight(nowMs)-1, 0), even)
	if shortest, enough := health.pauses.add(nowMs, gap); enough {
		p.ObserveResponse(health, nowMs, pauseKind, shortest)
	}
}

// pauseKind is the kind under which the shortest of a few pauses is judged.
const pauseKind = "\x00pause"

// ObserveStreamLength learns from a whole stream.
func (p *LatencyModel) ObserveStreamLength(nowMs int64, events int64) {
	p.events.Add(nowMs, float64(events), 1)
}

// ObserveResponse learns from a whole answer of a kind of request.
func (p *LatencyModel) ObserveResponse(health *EngineHealth, nowMs int64, kind string, took float64) {
	mean := entryOfKind(&p.took, kind)
	usual, some := mean.At(nowMs).own()
	if !some {
		usual = took
	}
	mean.Add(nowMs, min(took, largestFactor*usual), 1)
	if usual > 0 {
		health.sawFactor(nowMs, min(took/usual, largestFactor))
	}
}

// usual returns how long an answer to a kind of request takes, 0 where nothing is known.
func (p *LatencyModel) usual(kind string, nowMs int64) float64 {
	mean, known := p.took[kind]
	if !known {
		return 0
	}
	took, _ := mean.At(nowMs).own()
	return took
}

// streamMs is how long a stream takes beyond the reading at an engine without company
// that is like the others.
func (p *LatencyModel) streamMs(nowMs int64, events float64) float64 {
	wait, _ := p.wait.At(nowMs).own()
	pace, _ := p.pace.At(nowMs).own()
	return wait + events*pace
}

// aloneMs is how long a stream is expected to take beyond the reading at an engine that is
// like the others and works on nothing else.
func (p *LatencyModel) aloneMs(events float64) float64 {
	wait, _ := p.waiting.Intercept()
	pace, _ := p.pausing.Intercept()
	return wait + events*pace
}

// readAloneMs is what reading a token takes an engine that is like the others and reads
// nothing else: at most the shortest of a few times to the first event shows. In an overload
// the slope over the tokens holds what others have read meanwhile; it then says what reading
// costs all, but not how much sooner a quick engine would have done it.
func (p *LatencyModel) readAloneMs(nowMs int64) float64 {
	if least, known := p.leastRead.At(nowMs).own(); known {
		return min(p.tokenMs(), least)
	}
	return p.tokenMs()
}

// expectedEvents is how many events a stream is expected to have, at most as many as it
// may.
func (p *LatencyModel) expectedEvents(nowMs int64, most int64) float64 {
	if mean, known := p.events.At(nowMs).own(); known {
		return min(mean, float64(most))
	}
	return float64(most) / 2
}

// companyMs is how much longer a stream takes for each other request at its engine.
// Where the samples show nothing, a full engine is taken to be half as quick as one
// without company.
func (p *LatencyModel) companyMs(events, usual float64, slots int) float64 {
	wait, waitKnown := p.waiting.Slope()
	pause, pauseKnown := p.pausing.Slope()
	if !waitKnown && !pauseKnown && slots > 0 {
		return usual / float64(slots)
	}
	return wait + events*pause
}
