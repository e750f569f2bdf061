package scheduling

// Pool is what a gateway has learnt of the engines of one back end from its own
// requests: what reading a token costs, what one more request costs those that run
// beside it, and how long things take at an engine that is like the others. Times are
// in milliseconds.
type Pool struct {
	// reading is the time to the first event over the tokens that had to be read, and
	// crowding the pause between events over the other requests at the engine.
	reading  Line
	crowding Line
	// pace and wait are means over all engines: of the pause between events, and of the
	// time to the first event beyond the reading.
	pace Evidence
	wait Evidence
	// firstEvents and tokens are the means of what the line of reading is fitted to.
	firstEvents Evidence
	tokens      Evidence
	// took is the mean time of whole answers by kind of request.
	took map[string]*Evidence
}

const (
	// unknownTokenMs is what reading a token is taken to cost before anything is known:
	// so much that a session stays where its memory is.
	unknownTokenMs = 1.0
	// maxKinds bounds the kinds of request that are told apart.
	maxKinds = 512
)

// tokenMs is what reading a token takes an engine. Until the samples show a slope, all of
// the time to the first event counts as reading, which is the most that it can be.
func (p *Pool) tokenMs() float64 {
	if slope, known := p.reading.Slope(); known {
		return slope
	}
	first, known := p.firstEvents.own()
	if tokens, some := p.tokens.own(); known && some && tokens > 0 {
		return min(first/tokens, unknownTokenMs)
	}
	return unknownTokenMs
}

// crowdMs is how much longer each pause between events is for every further request at
// an engine, 0 where the samples show nothing.
func (p *Pool) crowdMs() float64 {
	slope, _ := p.crowding.Slope()
	return slope
}

// FirstEvent learns from the first event of a stream that came took after its send to an
// engine that had tokens to read.
func (p *Pool) FirstEvent(health *EngineHealth, nowMs int64, tokens int64, took float64) {
	p.reading.Add(nowMs, float64(tokens), took)
	p.firstEvents.Add(nowMs, took, 1)
	p.tokens.Add(nowMs, float64(tokens), 1)
	rest := max(took-float64(tokens)*p.tokenMs(), 0)
	p.wait.Add(nowMs, rest, 1)
	health.wait.Add(nowMs, rest, 1)
}

// NextEvent learns from the pause before a further event of a stream.
func (p *Pool) NextEvent(health *EngineHealth, nowMs int64, gap float64) {
	p.crowding.Add(nowMs, float64(max(health.InFlight-1, 0)), gap)
	p.pace.Add(nowMs, gap, eventWeight)
	health.pace.Add(nowMs, gap, eventWeight)
}

// eventWeight is what one pause counts for: those of one stream say much the same.
const eventWeight = 0.2

// Answered learns from a whole answer of a kind of request.
func (p *Pool) Answered(health *EngineHealth, nowMs int64, kind string, took float64) {
	mean, known := p.took[kind]
	if !known {
		if p.took == nil || len(p.took) >= maxKinds {
			p.took = map[string]*Evidence{}
		}
		mean = &Evidence{}
		p.took[kind] = mean
	}
	mean.Add(nowMs, took, 1)
	if usual, some := mean.own(); some && usual > 0 {
		health.factor.Add(nowMs, took/usual, 1)
	}
}

// usual returns how long an answer to a kind of request takes, 0 where nothing is known.
func (p *Pool) usual(kind string, nowMs int64) float64 {
	mean, known := p.took[kind]
	if !known {
		return 0
	}
	took, _ := mean.At(nowMs).own()
	return took
}
