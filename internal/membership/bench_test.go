package membership

import (
	"fmt"
	"testing"
)

// largeFleet returns a fleet of hundreds of machines that has lost 3000 other engines.
func largeFleet() *Fleet {
	fleet := NewFleet()
	for number := range 140 {
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{{ID: fmt.Sprintf("i-%010d", number), Backend: "b", Address: fmt.Sprintf("10.1.64.%d:8364", number), Zone: "zone", Slots: 6, Sequence: 1}}})
	}
	for number := range 36 {
		fleet.Apply(FleetUpdate{PutLedgers: []LedgerHost{testHost(number, "zone")}})
	}
	for number := range 259 {
		fleet.Apply(FleetUpdate{PutGateways: []Gateway{{Name: fmt.Sprintf("gateway-%d", number), IsReady: true}}})
	}
	for number := range 3000 {
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{{ID: fmt.Sprintf("gone-%d", number)}}})
		fleet.Apply(FleetUpdate{LostEngines: []string{fmt.Sprintf("gone-%d", number)}})
	}
	return fleet
}

// BenchmarkChangedSince measures the check that control's leader performs for each pending
// long poll at each change.
func BenchmarkChangedSince(b *testing.B) {
	fleet := largeFleet()
	version := fleet.Version()
	fleet.Apply(FleetUpdate{PutGateways: []Gateway{{Name: "gateway-1"}}})
	for b.Loop() {
		if fleet.ChangedSince(version, Scope{IncludesEngines: true, Zone: "zone"}) {
			b.Fatal("a change of a gateway caused a delta")
		}
	}
}
