package scheduling

const (
	// paceHalfLifeMs is when a sample of an engine's pace counts half: many times as long as
	// an engine that shares its machine is held up at a stretch (0.6 s), so that such spells
	// average out, and short enough to follow an engine that was moved or throttled.
	paceHalfLifeMs = 8_000
	// usualPaceHalfLifeMs is the same for what all engines together show.
	usualPaceHalfLifeMs = 15_000
	// longestPaced is from how many pauses on streams are compared with each other: the
	// shortest of many pauses hardly gets shorter with more of them.
	longestPaced = 8
	// clippedPace bounds one sample to so many times what its engine showed before, so that
	// one stream that was held up moves the mean little.
	clippedPace = 3
	// independentSamples bounds what the samples of one engine count for when its mean is
	// held against chance: those of one spell are no independent ones, and paceHalfLifeMs
	// holds about so many spells.
	independentSamples = 16
	// speedMargin is how many times more than by chance engines must differ before their
	// speeds count at all.
	speedMargin = 4
	// largestCrowding bounds what company may explain of one sample.
	largestCrowding = 4.0
	// learnEveryMs bounds how often the slowness of all engines is worked out, which takes as
	// many steps as there are engines: their means move with paceHalfLifeMs.
	learnEveryMs = 50
	// gaugeSamples draws the mean pace of all engines towards 1, so that ratios that several
	// gateways learn from each other do not drift together.
	gaugeSamples = 2
)

// paced is what is known of the pace of streams over the engines of a back end.
type paced struct {
	// shortest are the means of the shortest pause of streams by how many pauses they have,
	// at an engine whose slowness is 1: the shortest of many is shorter than that of a few.
	shortest [longestPaced + 1]DecayedMean
	// spread is the mean squared deviation of one sample from its engine's mean, as a share
	// of the mean.
	spread DecayedMean
	// crowding is a sample over the other requests at its engine: what more company makes of a
	// pause is no speed of the engine.
	crowding LinearFit
	// learntMs is when the slowness of engines was last worked out, and learntOf of how many.
	learntMs int64
	learntOf int
}

// ObserveStreamPace learns from the pauses of a stream that ended, broke off or was cancelled: how
// many it had and the shortest. The shortest tells a slow engine from a busy one, and streams
// with as many pauses are compared with each other, so that one stream is enough for a
// sample however few of them a gateway sends to an engine.
func (p *LatencyModel) ObserveStreamPace(health *EngineHealth, nowMs int64, pauses int, shortest float64) {
	if pauses < 1 || shortest <= 0 {
		return
	}
	usual := &p.paced.shortest[min(pauses, longestPaced)]
	usual.HalfLifeMs = usualPaceHalfLifeMs
	expected, known := usual.At(nowMs).own()
	if !known {
		expected = shortest / health.Slowdown()
	}
	ratio := p.paced.alone(health, nowMs, shortest/expected)
	before, weight := health.paceMean(nowMs)
	if weight > minimumWeight {
		ratio = min(ratio, clippedPace*before)
		deviation := ratio/before - 1
		p.paced.spread.HalfLifeMs = usualPaceHalfLifeMs
		p.paced.spread.Add(nowMs, deviation*deviation, 1)
	}
	usual.Add(nowMs, ratio*expected/health.Slowdown(), 1)
	health.sawPace(nowMs, ratio)
}

// alone returns a sample as it would be with as many requests at its engine as at others on
// the mean.
func (p *paced) alone(health *EngineHealth, nowMs int64, ratio float64) float64 {
	others := max(health.EstimatedInFlight(nowMs)-1, 0)
	p.crowding.Add(nowMs, others, ratio/health.Slowdown())
	slope, known := p.crowding.Slope()
	if !known {
		return ratio
	}
	meanOthers, meanRatio := p.crowding.sumX/p.crowding.weight, p.crowding.sumY/p.crowding.weight
	crowded := (meanRatio + slope*(others-meanOthers)) / meanRatio
	return ratio / min(max(crowded, 1/largestCrowding), largestCrowding)
}

// learnSpeeds brings the slowness of all engines up to nowMs. Each engine's mean is drawn
// towards that of all by as much as chance explains of their differences (James and Stein,
// Estimation with Quadratic Loss, 1961): engines that are alike stay alike, and one that is
// new starts where the others are on the mean.
func (p *LatencyModel) learnSpeeds(candidates []Candidate, nowMs int64) {
	if since := nowMs - p.paced.learntMs; since >= 0 && since < learnEveryMs && p.paced.learntOf == len(candidates) {
		return
	}
	p.paced.learntMs, p.paced.learntOf = nowMs, len(candidates)
	spread, known := p.paced.spread.At(nowMs).own()
	sum, total := float64(gaugeSamples), float64(gaugeSamples)
	for position := range candidates {
		health := candidates[position].Health
		mean, weight := health.paceMean(nowMs)
		health.pace.mean, health.pace.weight = mean, min(weight, independentSamples)
		sum += mean * health.pace.weight
		total += health.pace.weight
	}
	middle := sum / total
	varied, chance := 0.0, 0.0
	for position := range candidates {
		pace := &candidates[position].Health.pace
		varied += pace.weight * (pace.mean - middle) * (pace.mean - middle)
		if pace.weight > minimumWeight {
			chance += spread * pace.mean * pace.mean
		}
	}
	variance := max(varied-speedMargin*chance, 0) / total
	for position := range candidates {
		pace := &candidates[position].Health.pace
		pace.slowness = middle
		if known && variance > 0 && pace.weight > minimumWeight {
			noise := spread * pace.mean * pace.mean / pace.weight
			pace.slowness = middle + (pace.mean-middle)*variance/(variance+noise)
		}
	}
}

// enginePace is what is known of how long an engine takes for a token, as a multiple of what
// is usual over the engines of its back end.
type enginePace struct {
	// own, news and shared are as for the quick samples of EngineHealth.
	own    DecayedMean
	news   DecayedMean
	shared DecayedMean
	// mean, weight and slowness are as of the last choice.
	mean     float64
	weight   float64
	slowness float64
}

// sawPace takes one sample.
func (h *EngineHealth) sawPace(nowMs int64, ratio float64) {
	h.pace.own.HalfLifeMs = paceHalfLifeMs
	h.pace.news.HalfLifeMs = paceHalfLifeMs
	h.pace.own.Add(nowMs, ratio, 1)
	h.pace.news.Add(nowMs, ratio, 1)
}

// paceMean returns the mean of all samples and what they count for; 1 where there are none.
func (h *EngineHealth) paceMean(nowMs int64) (mean, weight float64) {
	known := h.pace.shared.At(nowMs)
	known.HalfLifeMs = paceHalfLifeMs
	known.Merge(nowMs, h.pace.own.At(nowMs))
	if mean, some := known.own(); some {
		return mean, known.Weight
	}
	return 1, 0
}

// Slowdown is how many times longer than at the usual engine of its back end a token takes at
// this one, as of the last choice.
func (h *EngineHealth) Slowdown() float64 {
	if h.pace.slowness <= 0 {
		return 1
	}
	return h.pace.slowness
}
