package scheduling

const (
	// paceHalfLifeMs is the half-life of the samples of an engine's pace. It is many times as long
	// as a stall of an engine that shares its machine (0.6 s), so that such stalls average out, and
	// short enough to follow an engine that was moved or throttled.
	paceHalfLifeMs = 8_000
	// baselineHalfLifeMs is the half-life of the samples of all engines together.
	baselineHalfLifeMs = 15_000
	// maxGapCountClass is the number of gaps from which on all streams are compared with each
	// other: the minimum of many gaps hardly falls any further with more of them.
	maxGapCountClass = 8
	// maxPaceRatio limits a sample to this multiple of the engine's previous mean, so that one
	// stalled stream moves the mean little.
	maxPaceRatio = 3
	// maxIndependentSamples limits the weight of an engine's samples when its mean is tested
	// against chance. The samples of one stall are not independent, and paceHalfLifeMs holds about
	// this number of stalls.
	maxIndependentSamples = 16
	// paceVarianceMargin is the factor by which the variance between the engines must exceed the
	// variance expected by chance before their speeds count at all.
	paceVarianceMargin = 4
	// maxLoadCorrection limits the factor by which a sample is corrected, upwards or downwards, for
	// other requests.
	maxLoadCorrection = 4.0
	// slowdownIntervalMs is the minimum interval between two computations of the slowdowns, each of
	// which takes as many steps as there are engines. It may be long because the means change only
	// over paceHalfLifeMs.
	slowdownIntervalMs = 50
	// anchorWeight is the weight, in samples, with which the mean pace of all engines is pulled
	// towards 1, so that the ratios that several gateways learn from each other do not drift
	// together.
	anchorWeight = 2
)

// paceModel is the pace of streams over the engines of a backend.
type paceModel struct {
	// minGapMs holds the means of the minimum gap of a stream by the number of its gaps, at an
	// engine with a slowdown of 1. The minimum of many gaps is lower than that of a few.
	minGapMs [maxGapCountClass + 1]DecayedMean
	// relativeVariance is the mean squared deviation of a sample from the mean of its engine,
	// relative to that mean.
	relativeVariance DecayedMean
	// loadFit fits a sample to the number of other requests at its engine, since a gap that is
	// longer because of them says nothing about the engine's speed.
	loadFit LinearFit
	// updatedMs is when the slowdowns were last recomputed, and updatedEngines for how many
	// engines.
	updatedMs      int64
	updatedEngines int
}

// ObserveStreamPace learns from the gaps of a stream that has ended, was interrupted or was
// cancelled: their number and their minimum. The minimum tells a slow engine from a busy one. Only
// streams with the same number of gaps are compared, so that one stream yields a sample even if a
// gateway sends few of them to an engine.
func (m *LatencyModel) ObserveStreamPace(health *EngineHealth, nowMs int64, gaps int, minGapMs float64) {
	if gaps < 1 || minGapMs <= 0 {
		return
	}
	baseline := &m.pace.minGapMs[min(gaps, maxGapCountClass)]
	baseline.HalfLifeMs = baselineHalfLifeMs
	expected, known := baseline.DecayedTo(nowMs).mean()
	if !known {
		expected = minGapMs / health.Slowdown()
	}
	ratio := m.pace.loadAdjusted(health, nowMs, minGapMs/expected)
	previous, weight := health.paceMean(nowMs)
	if weight > minWeight {
		ratio = min(ratio, maxPaceRatio*previous)
		deviation := ratio/previous - 1
		m.pace.relativeVariance.HalfLifeMs = baselineHalfLifeMs
		m.pace.relativeVariance.Add(nowMs, deviation*deviation, 1)
	}
	baseline.Add(nowMs, ratio*expected/health.Slowdown(), 1)
	health.addPaceSample(nowMs, ratio)
}

// loadAdjusted returns a sample corrected to the mean number of other requests at an engine.
func (p *paceModel) loadAdjusted(health *EngineHealth, nowMs int64, ratio float64) float64 {
	others := max(health.EstimatedInFlight(nowMs)-1, 0)
	p.loadFit.Add(nowMs, others, ratio/health.Slowdown())
	slope, known := p.loadFit.Slope()
	if !known {
		return ratio
	}
	meanOthers, meanRatio := p.loadFit.sumX/p.loadFit.weight, p.loadFit.sumY/p.loadFit.weight
	loadFactor := (meanRatio + slope*(others-meanOthers)) / meanRatio
	return ratio / min(max(loadFactor, 1/maxLoadCorrection), maxLoadCorrection)
}

// updateSlowdowns recomputes the slowdowns of all engines if they are out of date. The mean of each
// engine is shrunk towards the mean of all engines to the extent that chance explains their
// differences (James and Stein, Estimation with Quadratic Loss, 1961). Engines of the same speed
// keep the same slowdown, and a new engine starts at the mean.
func (m *LatencyModel) updateSlowdowns(candidates []Candidate, nowMs int64) {
	if elapsedMs := nowMs - m.pace.updatedMs; elapsedMs >= 0 && elapsedMs < slowdownIntervalMs && m.pace.updatedEngines == len(candidates) {
		return
	}
	m.pace.updatedMs, m.pace.updatedEngines = nowMs, len(candidates)
	relativeVariance, known := m.pace.relativeVariance.DecayedTo(nowMs).mean()
	sum, total := float64(anchorWeight), float64(anchorWeight)
	for index := range candidates {
		health := candidates[index].Health
		mean, weight := health.paceMean(nowMs)
		health.pace.mean, health.pace.weight = mean, min(weight, maxIndependentSamples)
		sum += mean * health.pace.weight
		total += health.pace.weight
	}
	center := sum / total
	observed, expected := 0.0, 0.0
	for index := range candidates {
		pace := &candidates[index].Health.pace
		observed += pace.weight * (pace.mean - center) * (pace.mean - center)
		if pace.weight > minWeight {
			expected += relativeVariance * pace.mean * pace.mean
		}
	}
	variance := max(observed-paceVarianceMargin*expected, 0) / total
	for index := range candidates {
		pace := &candidates[index].Health.pace
		pace.slowdown = center
		if known && variance > 0 && pace.weight > minWeight {
			noise := relativeVariance * pace.mean * pace.mean / pace.weight
			pace.slowdown = center + (pace.mean-center)*variance/(variance+noise)
		}
	}
}

// enginePace is the time that an engine takes for a token, as a multiple of the usual time at the
// engines of its backend.
type enginePace struct {
	// own holds the samples of this gateway, unreported those of them that were not yet reported,
	// and shared those of all gateways.
	own        DecayedMean
	unreported DecayedMean
	shared     DecayedMean
	// mean, weight and slowdown are those of the last update of the slowdowns.
	mean     float64
	weight   float64
	slowdown float64
}

// addPaceSample adds a sample of the engine's pace.
func (h *EngineHealth) addPaceSample(nowMs int64, ratio float64) {
	h.pace.own.HalfLifeMs = paceHalfLifeMs
	h.pace.unreported.HalfLifeMs = paceHalfLifeMs
	h.pace.own.Add(nowMs, ratio, 1)
	h.pace.unreported.Add(nowMs, ratio, 1)
}

// paceMean returns the mean of all samples and their weight, or 1 and 0 if there are none.
func (h *EngineHealth) paceMean(nowMs int64) (mean, weight float64) {
	merged := h.pace.shared.DecayedTo(nowMs)
	merged.HalfLifeMs = paceHalfLifeMs
	merged.Merge(nowMs, h.pace.own.DecayedTo(nowMs))
	if mean, known := merged.mean(); known {
		return mean, merged.Weight
	}
	return 1, 0
}

// Slowdown returns how many times longer a token takes at this engine than at an average engine of
// its backend, as of the last selection.
func (h *EngineHealth) Slowdown() float64 {
	if h.pace.slowdown <= 0 {
		return 1
	}
	return h.pace.slowdown
}
