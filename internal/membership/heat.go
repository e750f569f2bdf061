package membership

import "math"

const (
	// hotAbove is the share of its processor from which a gateway is hot: bursts come within
	// a second, and requests wait for the processor long before it is used up.
	hotAbove = 0.7
	// coolBelow is the share below which a hot one may get twice as much again. Invariant: twice
	// as much stays below hotAbove, so that a constant demand does not swing it.
	coolBelow = 0.3
	// heatHalfLifeMs is after what time a measured use counts half, and heatStepMs how long a level
	// stands before the next: callers hold what they were named for a second, some for three.
	heatHalfLifeMs = 700
	heatStepMs     = 3000
)

// OverloadTracker tells from the processor time that a gateway uses how much of its capacity callers should
// bring. The zero value is a gateway that is cool. Times are in milliseconds.
type OverloadTracker struct {
	level uint8
	// use is the decaying mean of the share of its processor that is taken.
	use       float64
	atMs      int64
	changedMs int64
}

// Observe takes the share of its processor that a gateway has used since the last time, and returns
// its level: each one halves what callers bring.
func (h *OverloadTracker) Observe(use float64, nowMs int64) uint8 {
	if h.atMs == 0 {
		h.atMs, h.changedMs, h.use = nowMs, nowMs-heatStepMs, use
	}
	kept := math.Exp2(-float64(nowMs-h.atMs) / heatHalfLifeMs)
	h.use = kept*h.use + (1-kept)*use
	h.atMs = nowMs
	if nowMs-h.changedMs < heatStepMs {
		return h.level
	}
	switch {
	case h.use > hotAbove && h.level < mostBusy:
		h.level++
		h.changedMs = nowMs
	case h.use < coolBelow && h.level > 0:
		h.level--
		h.changedMs = nowMs
	}
	return h.level
}

// Utilization returns the share of its processor that a gateway has used lately.
func (h *OverloadTracker) Utilization() float64 { return h.use }
