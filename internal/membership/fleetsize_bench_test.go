package membership

import (
	"fmt"
	"testing"
)

// BenchmarkPlan measures ten rounds of the plan that the leader makes every 0.1 s.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fleet := NewFleet()
			for number := range engines {
				fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{{ID: fmt.Sprintf("i-%06d", number), Backend: "b", Zone: fmt.Sprint("z", number%5), Sequence: 1}}})
			}
			options := testFleetOptions()
			options.EngineTimeoutMs = 1 << 40
			tracker := NewFleetTracker(options, 0)
			nowMs := int64(0)
			b.ReportAllocs()
			for b.Loop() {
				for range 10 {
					nowMs += 100
					tracker.Plan(fleet, nowMs)
				}
			}
		})
	}
}

// BenchmarkRegistration measures one engine that joins a fleet and leaves it.
func BenchmarkRegistration(b *testing.B) {
	for _, engines := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fleet := NewFleet()
			for number := range engines {
				fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{{ID: fmt.Sprintf("i-%06d", number), Backend: "b", Zone: fmt.Sprint("z", number%5), Sequence: 1}}})
			}
			number := 0
			b.ReportAllocs()
			for b.Loop() {
				number++
				id := fmt.Sprintf("new-%d", number)
				fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{{ID: id, Backend: "b", Zone: "z1", Sequence: 1}}})
				fleet.Apply(FleetUpdate{LostEngines: []string{id}})
			}
		})
	}
}
