package membership

import "math"

const (
	// overloadThreshold is the processor utilization above which a gateway is overloaded.
	// Bursts arrive within a second, and requests wait for the processor long before it is
	// fully used.
	overloadThreshold = 0.7
	// recoveryThreshold is the utilization below which the share of callers of an overloaded
	// gateway is doubled. Invariant: twice this utilization stays below overloadThreshold, so
	// that a constant demand does not cause oscillation.
	recoveryThreshold = 0.3
	// utilizationHalfLifeMs is the half-life of a utilization sample. levelChangeIntervalMs is
	// the minimum time between two changes of the level: callers hold the selected gateways
	// for one second, some for three.
	utilizationHalfLifeMs = 700
	levelChangeIntervalMs = 3000
)

// OverloadTracker derives a gateway's overload level from its processor utilization. The zero
// value is a gateway that is not overloaded. Times are in milliseconds.
type OverloadTracker struct {
	level uint8
	// utilization is the exponentially decayed mean of the processor utilization, as a fraction
	// of the processor time that the gateway may use.
	utilization    float64
	observedMs     int64
	levelChangedMs int64
}

// Observe records the processor utilization since the last call and returns the overload
// level. Each level halves the share of callers that the gateway receives.
func (t *OverloadTracker) Observe(utilization float64, nowMs int64) uint8 {
	if t.observedMs == 0 {
		t.observedMs, t.levelChangedMs, t.utilization = nowMs, nowMs-levelChangeIntervalMs, utilization
	}
	decay := math.Exp2(-float64(nowMs-t.observedMs) / utilizationHalfLifeMs)
	t.utilization = decay*t.utilization + (1-decay)*utilization
	t.observedMs = nowMs
	if nowMs-t.levelChangedMs < levelChangeIntervalMs {
		return t.level
	}
	switch {
	case t.utilization > overloadThreshold && t.level < maxOverloadLevel:
		t.level++
		t.levelChangedMs = nowMs
	case t.utilization < recoveryThreshold && t.level > 0:
		t.level--
		t.levelChangedMs = nowMs
	}
	return t.level
}

// Utilization returns the gateway's recent processor utilization.
func (t *OverloadTracker) Utilization() float64 { return t.utilization }
