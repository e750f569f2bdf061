package membership

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/consensus"
)

func testHost(number int, zone string) LedgerHost {
	return LedgerHost{Member: fmt.Sprintf("10.0.0.%d:1", number), Name: fmt.Sprintf("ledger-%d", number), Zone: zone, Replica: consensus.ReplicaID(number)}
}

func testFleetOptions() FleetOptions {
	return FleetOptions{Groups: 2, Replicas: 3, EngineTimeoutMs: 1000, GatewayTimeoutMs: 1000, GatewayRepollTimeoutMs: 200, LedgerTimeoutMs: 1000, LedgerRetentionMs: 5000, InitialPlacementDelayMs: 100}
}

func TestFleet(t *testing.T) {
	Convey("reports are applied in the order of their sequence numbers, an engine that left does not return, and a lost one does", t, func() {
		fleet := NewFleet()
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{{ID: "e", Sequence: 5, Draining: true}}})
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{{ID: "e", Sequence: 4}}})
		engine, _ := fleet.Engine("e")
		So(engine.Draining, ShouldBeTrue)
		fleet.Apply(FleetUpdate{LeftEngines: []string{"e"}})
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{{ID: "e", Sequence: 9}}})
		_, known := fleet.Engine("e")
		So(known, ShouldBeFalse)
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{{ID: "f", Sequence: 1}}})
		fleet.Apply(FleetUpdate{LostEngines: []string{"f"}})
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{{ID: "f", Sequence: 2}}})
		_, known = fleet.Engine("f")
		So(known, ShouldBeTrue)
	})
	Convey("a late report does not restore an engine whose address another engine has taken over", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		report := func(id string) {
			engine := ServingEngine{ID: id, Address: "10.0.0.1:1"}
			if tracker.CheckReport(fleet, engine, 0) {
				fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{engine}})
			}
		}
		known := func(id string) bool {
			_, known := fleet.Engine(id)
			return known
		}
		report("old")
		report("new")
		So(known("old"), ShouldBeFalse)
		for range requiredContradictions - 1 {
			report("old")
		}
		So(known("old"), ShouldBeFalse)
		So(known("new"), ShouldBeTrue)
		Convey("nor after a restore from a snapshot", func() {
			raw, err := fleet.Snapshot()
			So(err, ShouldBeNil)
			So(fleet.Restore(raw), ShouldBeNil)
			tracker = NewFleetTracker(testFleetOptions(), 0)
			report("old")
			So(known("old"), ShouldBeFalse)
			report("newest")
			So(known("new"), ShouldBeFalse)
		})
		Convey("an engine that continues to report is accepted and keeps its address", func() {
			report("old")
			So(known("old"), ShouldBeTrue)
			So(known("new"), ShouldBeFalse)
			report("new")
			So(known("old"), ShouldBeTrue)
		})
	})
	Convey("a silent ledger host is removed once no group is placed on it, and is added again when it reports", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		holding, idle := testHost(1, "a"), testHost(2, "b")
		fleet.Apply(FleetUpdate{
			PutLedgers: []LedgerHost{holding, idle},
			PutGroups:  []Placement{{Group: 1, Members: []string{holding.Member}}, {Group: 2, Members: []string{holding.Member}}},
		})
		So(tracker.Plan(fleet, 4000).RemoveLedgers, ShouldBeEmpty)
		update := tracker.Plan(fleet, 6000)
		So(update.RemoveLedgers, ShouldResemble, []string{idle.Member})
		fleet.Apply(update)
		_, known := fleet.Ledger(idle.Member)
		So(known, ShouldBeFalse)
		fleet.Apply(FleetUpdate{PutLedgers: []LedgerHost{idle}})
		_, known = fleet.Ledger(idle.Member)
		So(known, ShouldBeTrue)
	})
	Convey("a gateway that does not poll again after a reply to its latest heartbeat is lost soon, and any other only after the longer timeout", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		for _, name := range []string{"frozen", "pending", "resent", "silent"} {
			fleet.Apply(FleetUpdate{PutGateways: []Gateway{{Name: name}}})
		}
		frozen := tracker.RecordGatewayHeartbeat("frozen", 100)
		tracker.RecordGatewayHeartbeat("pending", 100)
		number := tracker.RecordGatewayHeartbeat("resent", 100)
		tracker.RecordGatewayHeartbeat("resent", 150)
		tracker.RecordGatewayReply("frozen", frozen, false, 300)
		tracker.RecordGatewayReply("resent", number, false, 300)
		So(tracker.Plan(fleet, 500).RemoveGateways, ShouldBeEmpty)
		So(tracker.Plan(fleet, 501).RemoveGateways, ShouldResemble, []string{"frozen"})
		So(tracker.Plan(fleet, 1000).RemoveGateways, ShouldResemble, []string{"frozen"})
		So(tracker.Plan(fleet, 1001).RemoveGateways, ShouldResemble, []string{"frozen", "silent"})
		So(tracker.Plan(fleet, 1101).RemoveGateways, ShouldResemble, []string{"frozen", "pending", "silent"})
	})
	Convey("the pause of a leader does not count towards the timeouts of gateways", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		fleet.Apply(FleetUpdate{PutGateways: []Gateway{{Name: "g"}}})
		tracker.RecordGatewayReply("g", tracker.RecordGatewayHeartbeat("g", 100), false, 100)
		tracker.RecordPause(3000)
		So(tracker.Plan(fleet, 3200).RemoveGateways, ShouldBeEmpty)
		So(tracker.Plan(fleet, 3301).RemoveGateways, ShouldResemble, []string{"g"})
	})
	Convey("adding and removing gateways causes no deltas for followers", t, func() {
		fleet := NewFleet()
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{{ID: "e", Sequence: 1}}})
		version := fleet.Version()
		fleet.Apply(FleetUpdate{PutGateways: []Gateway{{Name: "g"}}})
		fleet.Apply(FleetUpdate{RemoveGateways: []string{"g"}})
		So(fleet.Gateways(), ShouldBeEmpty)
		So(fleet.ChangedSince(version, Scope{IncludesEngines: true}), ShouldBeFalse)
	})
	Convey("groups are placed once, across zones, after no further ledger host has appeared for the initial delay", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		for number, zone := range []string{"a", "a", "b", "c"} {
			host := testHost(number+1, zone)
			tracker.RecordLedgerReport(LedgerReport{Host: host}, 10)
			fleet.Apply(FleetUpdate{PutLedgers: []LedgerHost{host}})
		}
		So(tracker.Plan(fleet, 50).PutGroups, ShouldBeEmpty)
		update := tracker.Plan(fleet, 200)
		So(len(update.PutGroups), ShouldEqual, 2)
		fleet.Apply(update)
		for _, placement := range fleet.Placements() {
			zones := map[string]bool{}
			for _, member := range placement.Members {
				host, _ := fleet.Ledger(member)
				zones[host.Zone] = true
			}
			So(len(zones), ShouldEqual, 3)
			So(len(placement.Initial.Voters()), ShouldEqual, 3)
		}
		So(tracker.Plan(fleet, 300).PutGroups, ShouldBeEmpty)
	})
	Convey("a silent ledger host is replaced if another one is available, and otherwise keeps its placements", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		reportHosts := func(nowMs int64, numbers ...int) {
			for _, number := range numbers {
				host := testHost(number, fmt.Sprint(number))
				tracker.RecordLedgerReport(LedgerReport{Host: host}, nowMs)
				fleet.Apply(FleetUpdate{PutLedgers: []LedgerHost{host}})
			}
		}
		reportHosts(0, 1, 2, 3)
		fleet.Apply(tracker.Plan(fleet, 200))
		reportHosts(1900, 1, 2)
		So(tracker.Plan(fleet, 2000).PutGroups, ShouldBeEmpty)
		reportHosts(2100, 1, 2, 4)
		update := tracker.Plan(fleet, 2200)
		So(len(update.PutGroups), ShouldEqual, 2)
		fleet.Apply(update)
		for _, placement := range fleet.Placements() {
			So(placement.Members, ShouldContain, testHost(4, "").Member)
			So(placement.Members, ShouldNotContain, testHost(3, "").Member)
		}
	})
	Convey("a ledger host is drained when no group is placed on it and every group's leader has confirmed it", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		for number := 1; number <= 3; number++ {
			host := testHost(number, fmt.Sprint(number))
			tracker.RecordLedgerReport(LedgerReport{Host: host}, 0)
			fleet.Apply(FleetUpdate{PutLedgers: []LedgerHost{host}})
		}
		fleet.Apply(tracker.Plan(fleet, 200))
		third := testHost(3, "3")
		So(tracker.CanRetire(fleet, third.Member, 300), ShouldBeFalse)
		fourth := testHost(4, "4")
		tracker.RecordLedgerReport(LedgerReport{Host: fourth}, 300)
		fleet.Apply(FleetUpdate{PutLedgers: []LedgerHost{fourth}})
		So(tracker.CanRetire(fleet, third.Member, 300), ShouldBeTrue)
		third.Retiring = true
		fleet.Apply(FleetUpdate{PutLedgers: []LedgerHost{third}})
		fleet.Apply(tracker.Plan(fleet, 400))
		So(tracker.IsDrained(fleet, third.Member), ShouldBeFalse)
		for _, placement := range fleet.Placements() {
			tracker.RecordLedgerReport(LedgerReport{Host: fourth, LedGroups: []GroupReport{{Group: placement.Group, Members: placement.Members, IsStable: true}}}, 500)
		}
		So(tracker.IsDrained(fleet, third.Member), ShouldBeTrue)
	})
}
