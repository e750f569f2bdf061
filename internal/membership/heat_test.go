package membership

import (
	"testing"

	"pgregory.net/rapid"
)

const heartbeatMs = 250

// TestHeatSettles holds that a gateway that gets a constant demand in proportion to its level
// comes to rest at one level: nothing flaps. The load: any demand up to eight times its processor.
func TestHeatSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.Float64Range(0, 8).Draw(t, "demand")
		var heat OverloadTracker
		level, changes := uint8(0), 0
		for nowMs := int64(heartbeatMs); nowMs < 60_000; nowMs += heartbeatMs {
			next := heat.Observe(min(demand*Gateway{OverloadLevel: level}.room(), 1), nowMs)
			if next != level {
				changes++
			}
			level = next
		}
		if changes > mostBusy {
			t.Fatalf("%d changes of level under a constant demand of %g", changes, demand)
		}
		if used := demand * (Gateway{OverloadLevel: level}).room(); used > hotAbove && level < mostBusy {
			t.Fatalf("level %d at a use of %g", level, used)
		}
	})
}

// TestHeatReturns holds that a burst makes a gateway hot within a second or so and that it is cool again
// some seconds after; a single long step makes it nothing.
func TestHeatReturns(t *testing.T) {
	var heat OverloadTracker
	nowMs := int64(heartbeatMs)
	observe := func(use float64, forMs int64) (level uint8) {
		for end := nowMs + forMs; nowMs < end; nowMs += heartbeatMs {
			level = heat.Observe(use, nowMs)
		}
		return level
	}
	observe(0.1, 5000)
	if level := observe(1, heartbeatMs); level != 0 {
		t.Fatalf("level %d after one heartbeat", level)
	}
	observe(0.1, 3000)
	if level := observe(1, 1500); level != 1 {
		t.Fatalf("level %d after a burst of 1.5 s", level)
	}
	if level := observe(0.1, 2*heatStepMs); level != 0 {
		t.Fatalf("level %d long after the burst", level)
	}
}
