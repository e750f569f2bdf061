package scheduling

import "math"

const (
	// evidenceHalfLifeMs is when a sample of one engine counts half.
	evidenceHalfLifeMs = 1_500
	// priorSamples is how many samples the expectation counts for while an engine's own
	// are few or old.
	priorSamples = 2
)

// DecayedMean is a mean over samples that count less as they age. Sums of several
// observers may be added up, which gives the mean over all their samples.
type DecayedMean struct {
	Sum    float64 `msgpack:"s"`
	Weight float64 `msgpack:"w"`
	// AtMs is when the sums were last brought up to date.
	AtMs int64 `msgpack:"-"`
	// HalfLifeMs is when a sample counts half; evidenceHalfLifeMs where it is 0.
	HalfLifeMs int64 `msgpack:"-"`
}

// Add takes a sample that counts for a weight.
func (e *DecayedMean) Add(nowMs int64, sample, weight float64) {
	e.ageTo(nowMs)
	e.Sum += sample * weight
	e.Weight += weight
}

// Merge adds another observer's samples, as they counted at nowMs.
func (e *DecayedMean) Merge(nowMs int64, other DecayedMean) {
	e.ageTo(nowMs)
	e.Sum += other.Sum
	e.Weight += other.Weight
}

// ageTo lets the samples lose weight up to nowMs; a clock that steps back changes
// nothing.
func (e *DecayedMean) ageTo(nowMs int64) {
	if e.Weight > 0 && nowMs > e.AtMs {
		halfLifeMs := e.HalfLifeMs
		if halfLifeMs == 0 {
			halfLifeMs = evidenceHalfLifeMs
		}
		factor := math.Exp2(-float64(nowMs-e.AtMs) / float64(halfLifeMs))
		e.Sum *= factor
		e.Weight *= factor
	}
	e.AtMs = max(e.AtMs, nowMs)
}

// At returns the evidence as it counts at nowMs.
func (e DecayedMean) At(nowMs int64) DecayedMean {
	e.ageTo(nowMs)
	return e
}

// ShrunkMean returns the mean, drawn towards what is expected where the samples are few.
func (e DecayedMean) ShrunkMean(expected float64) float64 {
	return (e.Sum + priorSamples*expected) / (e.Weight + priorSamples)
}

// own returns the mean of the samples alone; false where they count for nothing.
func (e DecayedMean) own() (float64, bool) {
	if e.Weight < minimumWeight {
		return 0, false
	}
	return e.Sum / e.Weight, true
}

// minimumWeight is the weight below which samples say nothing.
const minimumWeight = 0.05

const (
	// lineHalfLifeMs is when a sample of a fitted line counts half.
	lineHalfLifeMs = 15_000
	// lineSamples is how many samples it takes before a slope is believed.
	lineSamples = 12
	// clipDeviations bounds how far a sample may lie from the line, in standard
	// deviations of those before it.
	clipDeviations = 2.5
)

// LinearFit is a straight line fitted to samples by least squares; samples count less as
// they age and outliers are clipped.
type LinearFit struct {
	weight, sumX, sumY, sumXX, sumXY, sumYY float64
	atMs                                    int64
}

// Add takes the sample y at x.
func (l *LinearFit) Add(nowMs int64, x, y float64) {
	if l.weight > 0 && nowMs > l.atMs {
		factor := math.Exp2(-float64(nowMs-l.atMs) / lineHalfLifeMs)
		l.weight *= factor
		l.sumX *= factor
		l.sumY *= factor
		l.sumXX *= factor
		l.sumXY *= factor
		l.sumYY *= factor
	}
	l.atMs = max(l.atMs, nowMs)
	if l.weight >= lineSamples {
		y = l.clipped(x, y)
	}
	l.weight++
	l.sumX += x
	l.sumY += y
	l.sumXX += x * x
	l.sumXY += x * y
	l.sumYY += y * y
}

// clipped bounds a sample to what the line and the spread around it make likely.
func (l *LinearFit) clipped(x, y float64) float64 {
	slope, residual, _ := l.fit()
	expected := l.sumY/l.weight + slope*(x-l.sumX/l.weight)
	reach := clipDeviations * math.Sqrt(residual)
	return min(max(y, expected-reach), expected+reach)
}

// fit returns the slope, the variance around the line and that of x; a slope of 0 where
// x does not vary.
func (l *LinearFit) fit() (slope, residual, varianceX float64) {
	meanX := l.sumX / l.weight
	meanY := l.sumY / l.weight
	varianceX = max(l.sumXX/l.weight-meanX*meanX, 0)
	varianceY := max(l.sumYY/l.weight-meanY*meanY, 0)
	if varianceX <= leastVariance+leastSpread*meanX*meanX {
		return 0, varianceY, 0
	}
	covariance := l.sumXY/l.weight - meanX*meanY
	slope = covariance / varianceX
	return slope, max(varianceY-slope*covariance, 0), varianceX
}

// leastVariance is what the variance of x must exceed, in requests or tokens, and
// leastSpread the share of its squared mean, for a slope to be more than rounding.
const (
	leastVariance = 0.01
	leastSpread   = 1e-6
)

// Slope returns the slope where the samples show one above zero beyond chance, false
// where they do not.
func (l *LinearFit) Slope() (float64, bool) {
	if l.weight < lineSamples {
		return 0, false
	}
	slope, residual, varianceX := l.fit()
	if varianceX <= 0 || slope <= significantDeviations*math.Sqrt(residual/varianceX/l.weight) {
		return 0, false
	}
	return slope, true
}

// significantDeviations is how many standard errors a slope must be above zero.
const significantDeviations = 1.5

// Intercept returns what the line gives at zero, at least 0, or the mean of the samples where
// they show no slope; false where there are none.
func (l *LinearFit) Intercept() (float64, bool) {
	if l.weight < minimumWeight {
		return 0, false
	}
	slope, _ := l.Slope()
	return max((l.sumY-slope*l.sumX)/l.weight, 0), true
}
