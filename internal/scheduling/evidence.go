package scheduling

import "math"

const (
	// defaultHalfLifeMs is the half-life of a sample of one engine.
	defaultHalfLifeMs = 1_500
	// priorWeight is the weight of the prior in ShrunkMean, in samples. It matters while an
	// engine's samples are few or old.
	priorWeight = 2
)

// DecayedMean is a mean over samples whose weight decays exponentially with their age. The sums of
// several observers can be added, which gives the mean over all their samples.
type DecayedMean struct {
	Sum    float64 `msgpack:"s"`
	Weight float64 `msgpack:"w"`
	// AtMs is when the sums were last decayed.
	AtMs int64 `msgpack:"-"`
	// HalfLifeMs is the half-life of a sample; 0 stands for defaultHalfLifeMs.
	HalfLifeMs int64 `msgpack:"-"`
}

// Add adds a sample with a weight.
func (m *DecayedMean) Add(nowMs int64, sample, weight float64) {
	m.decayTo(nowMs)
	m.Sum += sample * weight
	m.Weight += weight
}

// Merge adds the sums of another observer, which must be decayed to nowMs.
func (m *DecayedMean) Merge(nowMs int64, other DecayedMean) {
	m.decayTo(nowMs)
	m.Sum += other.Sum
	m.Weight += other.Weight
}

// decayTo decays the sums to nowMs. A clock that steps backwards has no effect.
func (m *DecayedMean) decayTo(nowMs int64) {
	if m.Weight > 0 && nowMs > m.AtMs {
		halfLifeMs := m.HalfLifeMs
		if halfLifeMs == 0 {
			halfLifeMs = defaultHalfLifeMs
		}
		factor := math.Exp2(-float64(nowMs-m.AtMs) / float64(halfLifeMs))
		m.Sum *= factor
		m.Weight *= factor
	}
	m.AtMs = max(m.AtMs, nowMs)
}

// DecayedTo returns the mean decayed to nowMs.
func (m DecayedMean) DecayedTo(nowMs int64) DecayedMean {
	m.decayTo(nowMs)
	return m
}

// ShrunkMean returns the mean, shrunk towards a prior while the samples are few.
func (m DecayedMean) ShrunkMean(prior float64) float64 {
	return (m.Sum + priorWeight*prior) / (m.Weight + priorWeight)
}

// mean returns the mean of the samples alone. It returns false if their weight is too low.
func (m DecayedMean) mean() (float64, bool) {
	if m.Weight < minWeight {
		return 0, false
	}
	return m.Sum / m.Weight, true
}

// minWeight is the weight below which samples are ignored.
const minWeight = 0.05

const (
	// fitHalfLifeMs is the half-life of a sample of a fit.
	fitHalfLifeMs = 15_000
	// minFitSamples is the minimum weight of the samples for a slope to be computed and for further
	// samples to be clipped.
	minFitSamples = 12
	// clipDeviations limits the distance of a sample from the line, in standard deviations of the
	// earlier samples.
	clipDeviations = 2.5
)

// LinearFit is a least-squares line through samples whose weight decays exponentially with their
// age. Outliers are clipped.
type LinearFit struct {
	weight, sumX, sumY, sumXX, sumXY, sumYY float64
	atMs                                    int64
}

// Add adds the sample y at x.
func (f *LinearFit) Add(nowMs int64, x, y float64) {
	if f.weight > 0 && nowMs > f.atMs {
		factor := math.Exp2(-float64(nowMs-f.atMs) / fitHalfLifeMs)
		f.weight *= factor
		f.sumX *= factor
		f.sumY *= factor
		f.sumXX *= factor
		f.sumXY *= factor
		f.sumYY *= factor
	}
	f.atMs = max(f.atMs, nowMs)
	if f.weight >= minFitSamples {
		y = f.clip(x, y)
	}
	f.weight++
	f.sumX += x
	f.sumY += y
	f.sumXX += x * x
	f.sumXY += x * y
	f.sumYY += y * y
}

// clip limits a sample to what is likely given the line and the variance around it.
func (f *LinearFit) clip(x, y float64) float64 {
	slope, residual, _ := f.fit()
	expected := f.sumY/f.weight + slope*(x-f.sumX/f.weight)
	maxDeviation := clipDeviations * math.Sqrt(residual)
	return min(max(y, expected-maxDeviation), expected+maxDeviation)
}

// fit returns the slope, the variance around the line and the variance of x. The slope is 0 if x
// does not vary.
func (f *LinearFit) fit() (slope, residual, varianceX float64) {
	meanX := f.sumX / f.weight
	meanY := f.sumY / f.weight
	varianceX = max(f.sumXX/f.weight-meanX*meanX, 0)
	varianceY := max(f.sumYY/f.weight-meanY*meanY, 0)
	if varianceX <= minVariance+minRelativeVariance*meanX*meanX {
		return 0, varianceY, 0
	}
	covariance := f.sumXY/f.weight - meanX*meanY
	slope = covariance / varianceX
	return slope, max(varianceY-slope*covariance, 0), varianceX
}

// A slope is computed only if the variance of x exceeds minVariance, in squared requests or tokens,
// plus minRelativeVariance times the squared mean of x. Below that it may be a rounding error.
const (
	minVariance         = 0.01
	minRelativeVariance = 1e-6
)

// Slope returns the slope. It returns false if the samples do not show a slope that is
// significantly above zero.
func (f *LinearFit) Slope() (float64, bool) {
	if f.weight < minFitSamples {
		return 0, false
	}
	slope, residual, varianceX := f.fit()
	if varianceX <= 0 || slope <= minSlopeErrors*math.Sqrt(residual/varianceX/f.weight) {
		return 0, false
	}
	return slope, true
}

// minSlopeErrors is the number of standard errors by which a slope must exceed zero.
const minSlopeErrors = 1.5

// Intercept returns the value of the line at zero, at least 0, or the mean of the samples if they
// show no slope. It returns false if there are none.
func (f *LinearFit) Intercept() (float64, bool) {
	if f.weight < minWeight {
		return 0, false
	}
	slope, _ := f.Slope()
	return max((f.sumY-slope*f.sumX)/f.weight, 0), true
}
