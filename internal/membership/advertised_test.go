package membership

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// expectedAdvertised computes from all engines which of them a follower should receive.
func expectedAdvertised(fleet *Fleet, scope Scope, sizes map[poolKey]SubsetSize, coversVersions bool) map[string]ServingEngine {
	pools := map[poolKey][]ServingEngine{}
	for _, engine := range fleet.Engines() {
		if key := (poolKey{engine.Backend, engine.Zone}); !engine.Draining {
			pools[key] = append(pools[key], engine)
		}
	}
	expected := map[string]ServingEngine{}
	for key, engines := range pools {
		slices.SortFunc(engines, func(a, b ServingEngine) int {
			return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
		})
		size, versionSize := max(sizes[key].Local, minLocalSubset), minLocalVersionSubset
		if key.zone != scope.Zone {
			size, versionSize = min(max(sizes[key].Remote, minRemoteSubset), size), minRemoteVersionSubset
		}
		counts := map[string]int{}
		for position, engine := range engines {
			if counts[engine.SoftwareVersion]++; position < size || (coversVersions && counts[engine.SoftwareVersion] <= versionSize) {
				expected[engine.ID] = engine
			}
		}
	}
	if !scope.IncludesEngines {
		return map[string]ServingEngine{}
	}
	return expected
}

// TestFollowProperty checks that a follower that applies deltas from any version ends with
// exactly the engines advertised to it, regardless of the changes in between and of which of
// two replicas of the fleet it polls, and that its version never decreases.
func TestFollowProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}
		versions := []string{"v1", "v2", "v3"}
		coversVersions := false
		sizes := map[poolKey]SubsetSize{}
		replicas := []*Fleet{NewFleet(), NewFleet()}
		scopes := []Scope{{}, {IncludesEngines: true, Zone: "a"}, {IncludesEngines: true, Zone: "b"}, {IncludesEngines: true, Zone: "elsewhere"}}
		views := make([]*FleetView, len(scopes))
		follow := func(position int, replica *Fleet) {
			version := uint64(0)
			if views[position] != nil {
				version = views[position].Version
			}
			if version > 0 && !replica.ChangedSince(version, scopes[position]) {
				return
			}
			next, _ := views[position].ApplyDelta(replica.DeltaSince(version, scopes[position]))
			if stale, changed := next.ApplyDelta(FleetDelta{Version: version, IsFull: true}); changed || stale != next {
				t.Fatal("an older delta was applied")
			}
			views[position] = next
		}
		apply := func(update FleetUpdate) {
			for _, replica := range replicas {
				replica.Apply(update)
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			id := fmt.Sprint("e", rapid.IntRange(0, 40).Draw(t, "id"))
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			switch rapid.IntRange(0, 10).Draw(t, "kind") {
			case 10:
				coversVersions = true
				apply(FleetUpdate{CoverVersions: true})
			case 0, 1, 2, 3, 4:
				apply(FleetUpdate{PutEngines: []ServingEngine{{
					ID: id, Zone: zone, Backend: "b", SoftwareVersion: rapid.SampledFrom(versions).Draw(t, "version"), Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
					Sequence: rapid.Uint64Range(1, 9).Draw(t, "sequence"),
				}}})
			case 5:
				apply(FleetUpdate{LostEngines: []string{id}})
			case 6:
				apply(FleetUpdate{LeftEngines: []string{id}})
			case 7:
				size := SubsetSize{Backend: "b", Zone: zone, Local: rapid.IntRange(0, 30).Draw(t, "near"), Remote: rapid.IntRange(0, 30).Draw(t, "far")}
				sizes[poolKey{"b", zone}] = size
				apply(FleetUpdate{PutSubsetSizes: []SubsetSize{size}})
			case 8:
				raw, err := replicas[0].Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored := NewFleet()
				if err := restored.Restore(raw); err != nil || !reflect.DeepEqual(restored.Engines(), replicas[0].Engines()) || restored.Version() != replicas[0].Version() {
					t.Fatalf("the restored fleet differs: %v", err)
				}
				replicas[0] = restored
			default:
				follow(rapid.IntRange(0, len(scopes)-1).Draw(t, "follower"), replicas[rapid.IntRange(0, 1).Draw(t, "replica")])
			}
		}
		for position, scope := range scopes {
			follow(position, replicas[rapid.IntRange(0, 1).Draw(t, "replica")])
			known := map[string]ServingEngine{}
			if views[position] != nil {
				known = views[position].Engines
			}
			want := expectedAdvertised(replicas[1], scope, sizes, coversVersions)
			if !slices.Equal(replicas[1].AdvertisedEngineIDs(scope), slices.Sorted(maps.Keys(want))) {
				t.Fatalf("scope %+v: advertised engines are %v, want %v", scope, replicas[1].AdvertisedEngineIDs(scope), slices.Sorted(maps.Keys(want)))
			}
			if !slices.Equal(slices.Sorted(maps.Keys(known)), slices.Sorted(maps.Keys(want))) {
				t.Fatalf("scope %+v: the follower has engines %v, want %v", scope, slices.Sorted(maps.Keys(known)), slices.Sorted(maps.Keys(want)))
			}
			for id, engine := range want {
				if known[id].withoutSequence() != engine.withoutSequence() {
					t.Fatalf("the follower has %+v, want %+v", known[id], engine)
				}
			}
		}
	})
}

// newFleetWithEngines returns a fleet with this number of engines in five zones.
func newFleetWithEngines(engines int) *Fleet {
	fleet := NewFleet()
	for number := range engines {
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{testEngine(number)}})
	}
	return fleet
}

func testEngine(number int) ServingEngine {
	return ServingEngine{
		ID: fmt.Sprintf("i-%06d", number), Backend: "b", Zone: fmt.Sprint("zone-", number%5), Slots: 6, Sequence: 1,
		Address: fmt.Sprintf("10.1.%d.%d:1", number/200, number%200),
	}
}

// TestAdvertisedVersions guards against gateways that know no engine of a software version that few
// engines of a zone run, and against more advertised engines while all run the same version.
func TestAdvertisedVersions(t *testing.T) {
	const engines = 200
	advertisedOf := func(fleet *Fleet, zone, version string) int {
		count := 0
		for _, id := range fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: zone}) {
			if engine, _ := fleet.Engine(id); engine.SoftwareVersion == version {
				count++
			}
		}
		return count
	}
	Convey("two engines of a software version are known in every zone", t, func() {
		fleet := newFleetWithEngines(engines)
		before := fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: "zone-1"})
		fleet.Apply(FleetUpdate{CoverVersions: true})
		So(fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: "zone-1"}), ShouldResemble, before)
		// The engines with the highest ranks are the last to be advertised.
		last := fleet.advertisements.pools[poolKey{"b", "zone-0"}].ranked[engines/5-2:]
		for _, entry := range last {
			engine, _ := fleet.Engine(entry.id)
			engine.SoftwareVersion, engine.Sequence = "canary", engine.Sequence+1
			fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{engine}})
		}
		for _, zone := range []string{"zone-0", "zone-1", "elsewhere"} {
			So(advertisedOf(fleet, zone, "canary"), ShouldEqual, 2)
		}
		So(len(fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: "zone-1"})), ShouldEqual, len(before)+2)
	})
	Convey("a fleet with replicas of an earlier release advertises as they do", t, func() {
		fleet := newFleetWithEngines(engines)
		engine := testEngine(engines)
		engine.SoftwareVersion = "canary"
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{engine}})
		for _, zone := range []string{"zone-0", "zone-1"} {
			So(len(fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: zone})), ShouldEqual, minLocalSubset+4*minRemoteSubset)
		}
	})
}

// TestAdvertised checks the deltas that changes cause for followers, and that their cost does not
// grow with the fleet.
func TestAdvertised(t *testing.T) {
	gateway := Scope{IncludesEngines: true, Zone: "zone-1"}
	Convey("the full state sent to a follower does not grow with the fleet", t, func() {
		for _, engines := range []int{1000, 10_000} {
			So(len(newFleetWithEngines(engines).DeltaSince(0, gateway).Engines), ShouldEqual, minLocalSubset+4*minRemoteSubset)
			So(newFleetWithEngines(engines).DeltaSince(0, Scope{}).Engines, ShouldBeEmpty)
		}
	})
	Convey("the loss of an engine causes deltas only for the audiences to which it is advertised", t, func() {
		for _, engines := range []int{1000, 10_000} {
			fleet := newFleetWithEngines(engines)
			deltasAfterLoss := func(id string) map[string]FleetDelta {
				version := fleet.Version()
				fleet.Apply(FleetUpdate{LostEngines: []string{id}})
				deltas := map[string]FleetDelta{}
				for _, scope := range []Scope{{}, {IncludesEngines: true, Zone: "zone-1"}, {IncludesEngines: true, Zone: "zone-2"}} {
					if fleet.ChangedSince(version, scope) {
						deltas[scope.Zone] = fleet.DeltaSince(version, scope)
					}
				}
				return deltas
			}
			ranked := slices.Clone(fleet.advertisements.pools[poolKey{"b", "zone-1"}].ranked)
			So(deltasAfterLoss(ranked[len(ranked)-1].id), ShouldBeEmpty)
			localDeltas := deltasAfterLoss(ranked[minLocalSubset-1].id)
			So(len(localDeltas), ShouldEqual, 1)
			So(len(localDeltas["zone-1"].Engines)+len(localDeltas["zone-1"].Removed), ShouldEqual, 2)
			allDeltas := deltasAfterLoss(ranked[0].id)
			So(len(allDeltas), ShouldEqual, 2)
			So(len(allDeltas["zone-2"].Engines)+len(allDeltas["zone-2"].Removed), ShouldEqual, 2)
		}
	})
	Convey("a change makes at most two more allocations with 10,000 engines than with 1,000", t, func() {
		allocations := map[int]float64{}
		for _, engines := range []int{1000, 10_000} {
			fleet := newFleetWithEngines(engines)
			firstID := fleet.advertisements.pools[poolKey{"b", "zone-1"}].ranked[0].id
			engine, _ := fleet.Engine(firstID)
			sequence := engine.Sequence
			allocations[engines] = testing.AllocsPerRun(50, func() {
				for _, draining := range []bool{true, false} {
					version := fleet.Version()
					sequence++
					engine.Draining, engine.Sequence = draining, sequence
					fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{engine}})
					fleet.DeltaSince(version, gateway)
				}
			})
		}
		So(allocations[10_000], ShouldBeLessThanOrEqualTo, allocations[1000]+2)
	})
	Convey("an engine that drains is replaced by another one in the same change", t, func() {
		fleet := newFleetWithEngines(1000)
		for range 100 {
			pool := fleet.advertisements.pools[poolKey{"b", "zone-1"}]
			draining, _ := fleet.Engine(pool.ranked[3].id)
			draining.Draining = true
			draining.Sequence++
			fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{draining}})
			delta := fleet.DeltaSince(0, gateway)
			So(len(delta.Engines), ShouldEqual, minLocalSubset+4*minRemoteSubset)
			for _, engine := range delta.Engines {
				So(engine.ID, ShouldNotEqual, draining.ID)
			}
		}
	})
	Convey("a follower that lacks more withdrawals than are retained receives the full state", t, func() {
		fleet := newFleetWithEngines(20)
		version := fleet.Version()
		for number := range maxWithdrawals + 1 {
			engine := ServingEngine{ID: fmt.Sprint("gone-", number), Backend: "b", Zone: "few"}
			fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{engine}})
			fleet.Apply(FleetUpdate{LostEngines: []string{engine.ID}})
		}
		So(fleet.DeltaSince(version, gateway).IsFull, ShouldBeTrue)
		So(len(fleet.advertisements.withdrawals), ShouldBeLessThanOrEqualTo, maxWithdrawals)
	})
}

// TestSubsetSizes checks that more engines are advertised before the advertised ones are overloaded,
// and fewer only after a long time.
func TestSubsetSizes(t *testing.T) {
	key := poolKey{"b", "zone-1"}
	// resizeAtLoad puts perEngine requests in flight at each advertised engine, and
	// fromOtherZones more at those advertised to other zones, and returns the resulting sizes.
	resizeAtLoad := func(fleet *Fleet, tracker *FleetTracker, perEngine, fromOtherZones float64, nowMs int64) SubsetSize {
		localIDs := fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: key.zone})
		remoteIDs := fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: "another"})
		inFlight := func(id string) float64 {
			switch {
			case slices.Contains(remoteIDs, id):
				return perEngine + fromOtherZones
			case slices.Contains(localIDs, id):
				return perEngine
			}
			return 0
		}
		fleet.Apply(FleetUpdate{PutSubsetSizes: tracker.PlanSubsetSizes(fleet, inFlight, nowMs)})
		pool := fleet.advertisements.pools[key]
		return SubsetSize{Local: pool.sizes[localAudience], Remote: pool.sizes[remoteAudience]}
	}
	Convey("the number of advertised engines follows the requests in flight", t, func() {
		fleet := newFleetWithEngines(1000)
		tracker := NewFleetTracker(testFleetOptions(), 0)
		So(resizeAtLoad(fleet, tracker, 1.4, 0, 100), ShouldResemble, SubsetSize{Local: minLocalSubset, Remote: minRemoteSubset})
		So(resizeAtLoad(fleet, tracker, 3, 0, 200), ShouldResemble, SubsetSize{Local: 24, Remote: minRemoteSubset})
		So(resizeAtLoad(fleet, tracker, 6, 0, 300), ShouldResemble, SubsetSize{Local: 96, Remote: minRemoteSubset})
		Convey("it grows up to all engines, and the remote subset does not grow if all engines are equally utilized", func() {
			So(resizeAtLoad(fleet, tracker, 50, 0, 400), ShouldResemble, SubsetSize{Local: 200, Remote: minRemoteSubset})
			So(resizeAtLoad(fleet, tracker, 50, 0, 500), ShouldResemble, SubsetSize{Local: 200, Remote: minRemoteSubset})
		})
		Convey("the remote subset grows if the engines advertised to other zones have a higher utilization", func() {
			So(resizeAtLoad(fleet, tracker, 0.1, 4.4, 400), ShouldResemble, SubsetSize{Local: 96, Remote: 12})
		})
		Convey("it is halved after a minute of low load", func() {
			So(resizeAtLoad(fleet, tracker, 0.1, 0, 1000).Local, ShouldEqual, 96)
			So(resizeAtLoad(fleet, tracker, 0.1, 0, 1000+shrinkDelayMs-1).Local, ShouldEqual, 96)
			So(resizeAtLoad(fleet, tracker, 0.1, 0, 1000+shrinkDelayMs).Local, ShouldEqual, 48)
			So(resizeAtLoad(fleet, tracker, 0.1, 0, 1000+shrinkDelayMs+1).Local, ShouldEqual, 48)
		})
	})
	Convey("records of engines that are gone do not accumulate", t, func() {
		fleet := newFleetWithEngines(100)
		tracker := NewFleetTracker(testFleetOptions(), 0)
		for nowMs := int64(1); nowMs < 20_000; nowMs += 10 {
			tracker.RecordEngineAlive(fmt.Sprint("gone-", nowMs), nowMs)
			tracker.Plan(fleet, nowMs)
		}
		So(len(tracker.lastReportMs), ShouldBeLessThanOrEqualTo, 2*100+100)
	})
	Convey("subset sizes are restored from a snapshot", t, func() {
		fleet := newFleetWithEngines(1000)
		fleet.Apply(FleetUpdate{PutSubsetSizes: []SubsetSize{{Backend: "b", Zone: "zone-1", Local: 30, Remote: 10}}})
		raw, err := fleet.Snapshot()
		So(err, ShouldBeNil)
		restored := NewFleet()
		So(restored.Restore(raw), ShouldBeNil)
		scope := Scope{IncludesEngines: true, Zone: "zone-1"}
		So(restored.DeltaSince(0, scope).Engines, ShouldResemble, fleet.DeltaSince(0, scope).Engines)
	})
}
