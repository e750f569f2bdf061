package reconcile

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestReadyFloorIsKept checks that engines that load with permits, in any interleaving of requests
// and loads, never reduce the number of ready engines below the pool's floor.
func TestReadyFloorIsKept(t *testing.T) {
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
			// Reports are delayed: an engine that has a permit may still be counted as ready.
			limits.ReadyEngines = engines - rapid.IntRange(0, len(loading)).Draw(t, "seen loading")
			if !permits.Grant(name, "p", limits, nowMs) {
				continue
			}
			if nowMs < InitialGrantDelayMs {
				t.Fatalf("a permit was granted %d ms after the leader was elected", nowMs)
			}
			loading[number] = true
			if ready := engines - len(loading); ready < min(floor, engines-1) {
				t.Fatalf("%d of %d engines are ready, the floor is %d", ready, engines, floor)
			}
			if len(loading) > limits.MaxConcurrentLoads {
				t.Fatalf("%d engines load concurrently, the limit is %d", len(loading), limits.MaxConcurrentLoads)
			}
		}
	})
}

// TestStepOrder checks that an engine receives an order only when it has a permit, is draining and
// has no request in flight, and that it is released when it serves its target.
func TestStepOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := Target{Model: "m", Version: "2"}
		observed := ObservedEngine{
			Current:   Target{Model: "m", Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")},
			IsLoading: rapid.Bool().Draw(t, "loading"), IsLeaving: rapid.Bool().Draw(t, "leaving"),
			InFlight: rapid.IntRange(0, 2).Draw(t, "in flight"), HasPermit: rapid.Bool().Draw(t, "permit"), IsDraining: rapid.Bool().Draw(t, "draining"),
		}
		step := NextStep(observed, target)
		atTarget := observed.Current == target && !observed.IsLoading
		mayOrder := observed.HasPermit && observed.IsDraining && observed.InFlight == 0 && !observed.IsLoading && !observed.IsLeaving
		switch {
		case step == StepOrder && (atTarget || !mayOrder):
			t.Fatalf("an order was sent too early or to an engine at its target: %+v", observed)
		case atTarget && step != StepNone && step != StepRelease:
			t.Fatalf("step other than release for an engine at its target: %+v: %d", observed, step)
		case atTarget && (observed.HasPermit || observed.IsDraining) && step != StepRelease:
			t.Fatalf("an engine at its target was not released: %+v", observed)
		}
	})
}
