package reconcile

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestFloorHolds: engines that load under permits, in any interleaving of asking,
// loading and crashing, never leave fewer ready than the pool's floor.
func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 8).Draw(t, "engines")
		floor := rapid.IntRange(0, 9).Draw(t, "floor")
		limits := Limits{PoolSize: engines, ReadyFloor: floor, MaxConcurrentLoads: rapid.IntRange(1, 4).Draw(t, "concurrent")}
		permits := NewPermits(0)
		loading := map[int]bool{}
		nowMs := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 1500).Draw(t, "pause")
			number := rapid.IntRange(0, engines-1).Draw(t, "engine")
			name := fmt.Sprint("e", number)
			if loading[number] {
				delete(loading, number)
				permits.Release(name)
				continue
			}
			// Reports lag: an engine that holds a permit may still be counted as ready.
			limits.ReadyEngines = engines - rapid.IntRange(0, len(loading)).Draw(t, "seen loading")
			if !permits.Grant(name, "p", limits, nowMs) {
				continue
			}
			if nowMs < InitialGrantDelayMs {
				t.Fatalf("a grant %d ms after the leader began", nowMs)
			}
			loading[number] = true
			if ready := engines - len(loading); ready < min(floor, engines-1) {
				t.Fatalf("%d of %d engines ready, the floor is %d", ready, engines, floor)
			}
			if len(loading) > limits.MaxConcurrentLoads {
				t.Fatalf("%d load at once, %d may", len(loading), limits.MaxConcurrentLoads)
			}
		}
	})
}

// TestPlanOrder: an engine is never ordered before it has a permit, is closed to
// new work and is empty, and is let in again once it serves its target.
func TestPlanOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := Target{Model: "m", Version: "2"}
		observed := ObservedEngine{
			Current:   Target{Model: "m", Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")},
			IsLoading: rapid.Bool().Draw(t, "loading"), IsLeaving: rapid.Bool().Draw(t, "leaving"),
			InFlight: rapid.IntRange(0, 2).Draw(t, "in flight"), HasPermit: rapid.Bool().Draw(t, "permit"), IsDraining: rapid.Bool().Draw(t, "draining"),
		}
		step := NextStep(observed, target)
		serves := observed.Current == target && !observed.IsLoading
		ready := observed.HasPermit && observed.IsDraining && observed.InFlight == 0 && !observed.IsLoading && !observed.IsLeaving
		switch {
		case step == StepOrder && (serves || !ready):
			t.Fatalf("ordered: %+v", observed)
		case serves && step != StepNone && step != StepRelease:
			t.Fatalf("disturbed though it serves its target: %+v: %d", observed, step)
		case serves && (observed.HasPermit || observed.IsDraining) && step != StepRelease:
			t.Fatalf("kept out: %+v", observed)
		}
	})
}
