package membership

import "math"

const (
	// overloadThreshold is the processor utilization above which a gateway is overloaded.
	// Bursts arrive within a second, and requests wait for the processor long before it is
	// fully used.
	overloadThreshold = 0.7
	// recoveryThreshold is the utilization below which an overloaded gateway may receive twice
	// as much again. Invariant: twice this utilization stays below overloadThreshold, so that
	// a constant demand does not cause oscillation.
	recoveryThreshold = 0.3
	// utilizationHalfLifeMs is the half-life of a utilization sample. levelChangeIntervalMs is
	// the minimum time between two changes of the level: callers hold the selected gateways
	// for one second, some for three.
	utilizationHalfLifeMs = 700
	levelChangeIntervalMs = 3000
)

// OverloadTracker derives, from the processor time that a gateway uses, the share of its
// capacity that callers should be sent to. The zero value is a gateway that is not overloaded.
// Times are in milliseconds.
type OverloadTracker struct {
	level uint8
	// utilization is the exponentially decayed mean of the processor utilization.
	utilization float64
	atMs        int64
	changedMs   int64
}

// Observe records the processor utilization since the last call and returns the overload
// level. Each level halves the share of callers that the gateway receives.
func (h *OverloadTracker) Observe(utilization float64, nowMs int64) uint8 {
	if h.atMs == 0 {
		h.atMs, h.changedMs, h.utilization = nowMs, nowMs-levelChangeIntervalMs, utilization
	}
	decay := math.Exp2(-float64(nowMs-h.atMs) / utilizationHalfLifeMs)
	h.utilization = decay*h.utilization + (1-decay)*utilization
	h.atMs = nowMs
	if nowMs-h.changedMs < levelChangeIntervalMs {
		return h.level
	}
	switch {
	case h.utilization > overloadThreshold && h.level < maxOverloadLevel:
		h.level++
		h.changedMs = nowMs
	case h.utilization < recoveryThreshold && h.level > 0:
		h.level--
		h.changedMs = nowMs
	}
	return h.level
}

// Utilization returns the gateway's recent processor utilization.
func (h *OverloadTracker) Utilization() float64 { return h.utilization }
