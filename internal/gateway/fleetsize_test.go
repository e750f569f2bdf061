package gateway

import (
	"fmt"
	"testing"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// newFleetViewOfSize returns the view that a gateway gets from control if the fleet has the given
// number of engines.
func newFleetViewOfSize(engines int) *membership.FleetView {
	fleet := membership.NewFleet()
	for number := range engines {
		fleet.Apply(membership.FleetUpdate{PutEngines: []membership.ServingEngine{{
			ID: fmt.Sprintf("i-%06d", number), Backend: "b", Zone: fmt.Sprint("z", number%5), Slots: 6, Sequence: 1,
			Address: fmt.Sprintf("10.1.%d.%d:1", number/250, number%250),
		}}})
	}
	var view *membership.FleetView
	view, _ = view.ApplyDelta(fleet.DeltaSince(0, membership.Scope{IncludesEngines: true, Zone: "z1"}))
	return view
}

// BenchmarkFollow measures how long a gateway takes to apply a fleet view.
func BenchmarkFollow(b *testing.B) {
	for _, engines := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			e := newEngineRegistry("z1", config.Policy{})
			view := newFleetViewOfSize(engines)
			b.ReportAllocs()
			for b.Loop() {
				e.applyFleet(view)
			}
		})
	}
}

// BenchmarkChoose measures the selection of an engine for one request.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			e := newEngineRegistry("z1", config.Policy{})
			e.applyFleet(newFleetViewOfSize(engines))
			b.ReportAllocs()
			for b.Loop() {
				if _, found := e.selectEngine(routing.Backend{Name: "b", Slots: 6}, scheduling.SelectionInput{IsStream: true, NowMs: 1000, MaxEvents: 4}, versionRequirement{}, false); !found {
					b.Fatal("no engine selected")
				}
			}
		})
	}
}

// TestSharedSuspicionOfAGateway checks that an engine at which other gateways' requests fail becomes
// suspect, and is returned as newly suspect only once.
func TestSharedSuspicionOfAGateway(t *testing.T) {
	e := newEngineRegistry("z1", config.Policy{})
	if newlySuspect := e.applySharedLoads(nil, []string{"i-1"}, 1000); len(newlySuspect) != 1 || !e.healthOf("i-1").IsSuspect(1000) {
		t.Fatalf("newly suspect engines %v, is suspect: %v", newlySuspect, e.healthOf("i-1").IsSuspect(1000))
	}
	if newlySuspect := e.applySharedLoads(nil, []string{"i-1"}, 1500); len(newlySuspect) != 0 {
		t.Fatalf("engines %v returned as newly suspect again", newlySuspect)
	}
	disabled := newEngineRegistry("z1", config.Policy{Disable: scheduling.DisabledMechanisms{scheduling.MechanismSharedState}})
	if disabled.applySharedLoads(nil, []string{"i-1"}, 1000); disabled.healthOf("i-1").IsSuspect(1000) {
		t.Fatal("shared suspicion applied although disabled")
	}
}
