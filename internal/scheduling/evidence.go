package scheduling

import "math"

const (
	// evidenceHalfLifeMs is when a sample of one engine counts half.
	evidenceHalfLifeMs = 1_500
	// priorSamples is how many samples the expectation counts for while an engine's own
	// are few or old.
	priorSamples = 2
)

// Evidence is a mean over samples that count less as they age. Sums of several
// observers may be added up, which gives the mean over all their samples.
type Evidence struct {
	Sum    float64 `msgpack:"s"`
	Weight float64 `msgpack:"w"`
	// AtMs is when the sums were last brought up to date.
	AtMs int64 `msgpack:"-"`
}

// Add takes a sample that counts for a weight.
func (e *Evidence) Add(nowMs int64, sample, weight float64) {
	e.ageTo(nowMs)
	e.Sum += sample * weight
	e.Weight += weight
}

// Merge adds another observer's samples, as they counted at nowMs.
func (e *Evidence) Merge(nowMs int64, other Evidence) {
	e.ageTo(nowMs)
	e.Sum += other.Sum
	e.Weight += other.Weight
}

// ageTo lets the samples lose weight up to nowMs; a clock that steps back changes
// nothing.
func (e *Evidence) ageTo(nowMs int64) {
	if e.Weight > 0 && nowMs > e.AtMs {
		factor := math.Exp2(-float64(nowMs-e.AtMs) / evidenceHalfLifeMs)
		e.Sum *= factor
		e.Weight *= factor
	}
	e.AtMs = max(e.AtMs, nowMs)
}

// At returns the evidence as it counts at nowMs.
func (e Evidence) At(nowMs int64) Evidence {
	e.ageTo(nowMs)
	return e
}

// Mean returns the mean, drawn towards what is expected where the samples are few.
func (e Evidence) Mean(expected float64) float64 {
	return (e.Sum + priorSamples*expected) / (e.Weight + priorSamples)
}

// own returns the mean of the samples alone; false where they count for nothing.
func (e Evidence) own() (float64, bool) {
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
	// clipFactor bounds an outlier to this many times the mean.
	clipFactor = 6
)

// Line is a straight line fitted to samples by least squares; samples count less as
// they age and outliers are clipped.
type Line struct {
	weight, sumX, sumY, sumXX, sumXY, sumYY float64
	atMs                                    int64
}

// Add takes the sample y at x.
func (l *Line) Add(nowMs int64, x, y float64) {
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
		y = min(y, clipFactor*max(l.expected(x), l.sumY/l.weight))
	}
	l.weight++
	l.sumX += x
	l.sumY += y
	l.sumXX += x * x
	l.sumXY += x * y
	l.sumYY += y * y
}

// expected returns the line's value at x.
func (l *Line) expected(x float64) float64 {
	slope, _ := l.fit()
	return l.sumY/l.weight + slope*(x-l.sumX/l.weight)
}

// fit returns the slope and its standard error; the error is infinite where the
// samples do not tell.
func (l *Line) fit() (slope, deviation float64) {
	if l.weight < lineSamples {
		return 0, math.Inf(1)
	}
	meanX := l.sumX / l.weight
	meanY := l.sumY / l.weight
	varianceX := l.sumXX/l.weight - meanX*meanX
	covariance := l.sumXY/l.weight - meanX*meanY
	if varianceX <= 1e-9*max(meanX*meanX, 1e-9) {
		return 0, math.Inf(1)
	}
	slope = covariance / varianceX
	residual := max(l.sumYY/l.weight-meanY*meanY-slope*covariance, 0)
	return slope, math.Sqrt(residual / varianceX / l.weight)
}

// Slope returns the slope where the samples show one above zero beyond chance, false
// where they do not.
func (l *Line) Slope() (float64, bool) {
	slope, deviation := l.fit()
	if slope <= significantDeviations*deviation {
		return 0, false
	}
	return slope, true
}

// significantDeviations is how many standard errors a slope must be above zero.
const significantDeviations = 1.5
