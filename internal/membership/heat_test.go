package membership

import (
	"testing"

	"pgregory.net/rapid"
)

const heartbeatIntervalMs = 250

// TestOverloadLevelSettles checks that the level of a gateway whose demand is proportional to its
// capacity factor changes at most maxOverloadLevel times within a minute, and that the utilization
// is then below the threshold or the level is the maximum, for any constant demand up to eight
// times the capacity of its processor.
func TestOverloadLevelSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.Float64Range(0, 8).Draw(t, "demand")
		var tracker OverloadTracker
		level, changes := uint8(0), 0
		for nowMs := int64(heartbeatIntervalMs); nowMs < 60_000; nowMs += heartbeatIntervalMs {
			next := tracker.Observe(min(demand*Gateway{OverloadLevel: level}.capacityFactor(), 1), nowMs)
			if next != level {
				changes++
			}
			level = next
		}
		if changes > maxOverloadLevel {
			t.Fatalf("overload level changed %d times under a constant demand of %g", changes, demand)
		}
		if used := demand * (Gateway{OverloadLevel: level}).capacityFactor(); used > overloadThreshold && level < maxOverloadLevel {
			t.Fatalf("overload level is %d at a utilization of %g", level, used)
		}
	})
}

// TestOverloadLevelRecovers checks that a burst of 1.5 s raises the overload level to 1, that the
// level is 0 again 6 s later, and that a single heartbeat at full utilization has no effect.
func TestOverloadLevelRecovers(t *testing.T) {
	var tracker OverloadTracker
	nowMs := int64(heartbeatIntervalMs)
	observe := func(utilization float64, forMs int64) (level uint8) {
		for end := nowMs + forMs; nowMs < end; nowMs += heartbeatIntervalMs {
			level = tracker.Observe(utilization, nowMs)
		}
		return level
	}
	observe(0.1, 5000)
	if level := observe(1, heartbeatIntervalMs); level != 0 {
		t.Fatalf("overload level is %d after one heartbeat at full utilization", level)
	}
	observe(0.1, 3000)
	if level := observe(1, 1500); level != 1 {
		t.Fatalf("overload level is %d after a burst of 1.5 s", level)
	}
	if level := observe(0.1, 2*levelChangeIntervalMs); level != 0 {
		t.Fatalf("overload level is %d long after the burst", level)
	}
}
