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

// advertisedBy is what a follower should be told, by looking at all engines.
func advertisedBy(fleet *Fleet, scope Scope, sizes map[poolKey]SubsetSize) map[string]ServingEngine {
	pools := map[poolKey][]ServingEngine{}
	for _, engine := range fleet.Engines() {
		if key := (poolKey{engine.Backend, engine.Zone}); !engine.Draining {
			pools[key] = append(pools[key], engine)
		}
	}
	told := map[string]ServingEngine{}
	for key, engines := range pools {
		slices.SortFunc(engines, func(a, b ServingEngine) int {
			return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
		})
		size := max(sizes[key].Local, leastNear)
		if key.zone != scope.Zone {
			size = min(max(sizes[key].Remote, leastFar), size)
		}
		for _, engine := range engines[:min(size, len(engines))] {
			told[engine.ID] = engine
		}
	}
	if !scope.IncludesEngines {
		return map[string]ServingEngine{}
	}
	return told
}

// TestFollowProperty holds that a follower which takes news from any version ends with the
// engines that it is to know, whatever happened between and whichever of two replicas of
// the fleet it asks, and that it never steps back.
func TestFollowProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}
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
				t.Fatal("older news were taken")
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
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0, 1, 2, 3, 4:
				apply(FleetUpdate{PutEngines: []ServingEngine{{
					ID: id, Zone: zone, Backend: "b", Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
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
			want := advertisedBy(replicas[1], scope, sizes)
			if !slices.Equal(replicas[1].AdvertisedEngineIDs(scope), slices.Sorted(maps.Keys(want))) {
				t.Fatalf("%+v is told of %v instead of %v", scope, replicas[1].AdvertisedEngineIDs(scope), slices.Sorted(maps.Keys(want)))
			}
			if !slices.Equal(slices.Sorted(maps.Keys(known)), slices.Sorted(maps.Keys(want))) {
				t.Fatalf("%+v knows %v instead of %v", scope, slices.Sorted(maps.Keys(known)), slices.Sorted(maps.Keys(want)))
			}
			for id, engine := range want {
				if known[id].withoutSequence() != engine.withoutSequence() {
					t.Fatalf("%+v instead of %+v", known[id], engine)
				}
			}
		}
	})
}

// fleetOf returns a fleet of engines in five zones.
func fleetOf(engines int) *Fleet {
	fleet := NewFleet()
	for number := range engines {
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{engineAt(number)}})
	}
	return fleet
}

func engineAt(number int) ServingEngine {
	return ServingEngine{
		ID: fmt.Sprintf("i-%06d", number), Backend: "b", Zone: fmt.Sprint("zone-", number%5), Slots: 6, Sequence: 1,
		Address: fmt.Sprintf("10.1.%d.%d:1", number/200, number%200),
	}
}

// TestAdvertised holds that what a change costs does not grow with the fleet.
func TestAdvertised(t *testing.T) {
	gateway := Scope{IncludesEngines: true, Zone: "zone-1"}
	Convey("what a follower is told does not grow with the fleet", t, func() {
		for _, engines := range []int{1000, 10_000} {
			So(len(fleetOf(engines).DeltaSince(0, gateway).Engines), ShouldEqual, leastNear+4*leastFar)
			So(fleetOf(engines).DeltaSince(0, Scope{}).Engines, ShouldBeEmpty)
		}
	})
	Convey("an engine that is not advertised is news for nobody, one that is, for its audience", t, func() {
		for _, engines := range []int{1000, 10_000} {
			fleet := fleetOf(engines)
			heard := func(id string) map[string]FleetDelta {
				version := fleet.Version()
				fleet.Apply(FleetUpdate{LostEngines: []string{id}})
				news := map[string]FleetDelta{}
				for _, scope := range []Scope{{}, {IncludesEngines: true, Zone: "zone-1"}, {IncludesEngines: true, Zone: "zone-2"}} {
					if fleet.ChangedSince(version, scope) {
						news[scope.Zone] = fleet.DeltaSince(version, scope)
					}
				}
				return news
			}
			ranked := slices.Clone(fleet.advertised.pools[poolKey{"b", "zone-1"}].ranked)
			So(heard(ranked[len(ranked)-1].id), ShouldBeEmpty)
			near := heard(ranked[leastNear-1].id)
			So(len(near), ShouldEqual, 1)
			So(len(near["zone-1"].Engines)+len(near["zone-1"].Removed), ShouldEqual, 2)
			everywhere := heard(ranked[0].id)
			So(len(everywhere), ShouldEqual, 2)
			So(len(everywhere["zone-2"].Engines)+len(everywhere["zone-2"].Removed), ShouldEqual, 2)
		}
	})
	Convey("a change allocates as much with 10,000 engines as with 1,000", t, func() {
		allocations := map[int]float64{}
		for _, engines := range []int{1000, 10_000} {
			fleet := fleetOf(engines)
			victim := fleet.advertised.pools[poolKey{"b", "zone-1"}].ranked[0].id
			engine, _ := fleet.Engine(victim)
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
	Convey("engines that drain or leave are replaced by others in the same change", t, func() {
		fleet := fleetOf(1000)
		for range 100 {
			pool := fleet.advertised.pools[poolKey{"b", "zone-1"}]
			leaving, _ := fleet.Engine(pool.ranked[3].id)
			leaving.Draining = true
			leaving.Sequence++
			fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{leaving}})
			news := fleet.DeltaSince(0, gateway)
			So(len(news.Engines), ShouldEqual, leastNear+4*leastFar)
			for _, engine := range news.Engines {
				So(engine.ID, ShouldNotEqual, leaving.ID)
			}
		}
	})
	Convey("a follower that lacks more than is remembered is told the whole", t, func() {
		fleet := fleetOf(20)
		version := fleet.Version()
		for number := range keptWithdrawals + 1 {
			engine := ServingEngine{ID: fmt.Sprint("gone-", number), Backend: "b", Zone: "few"}
			fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{engine}})
			fleet.Apply(FleetUpdate{LostEngines: []string{engine.ID}})
		}
		So(fleet.DeltaSince(version, gateway).IsFull, ShouldBeTrue)
		So(len(fleet.advertised.withdrawals), ShouldBeLessThanOrEqualTo, keptWithdrawals)
	})
}

// TestSizes holds that more engines are advertised before those that are have too much to
// do, and fewer only after long.
func TestSizes(t *testing.T) {
	key := poolKey{"b", "zone-1"}
	// at has requests under way at each advertised engine, and more at those that other zones
	// know; it returns the sizes that follow.
	at := func(fleet *Fleet, tracker *FleetTracker, each, fromOthers float64, nowMs int64) SubsetSize {
		near := fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: key.zone})
		far := fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: "another"})
		inFlight := func(id string) float64 {
			switch {
			case slices.Contains(far, id):
				return each + fromOthers
			case slices.Contains(near, id):
				return each
			}
			return 0
		}
		fleet.Apply(FleetUpdate{PutSubsetSizes: tracker.PlanSubsetSizes(fleet, inFlight, nowMs)})
		pool := fleet.advertised.pools[key]
		return SubsetSize{Local: pool.sizes[nearAudience], Remote: pool.sizes[farAudience]}
	}
	Convey("the number of engines advertised follows what is under way", t, func() {
		fleet := fleetOf(1000)
		tracker := NewFleetTracker(fleetOptions(), 0)
		So(at(fleet, tracker, 1.4, 0, 100), ShouldResemble, SubsetSize{Local: leastNear, Remote: leastFar})
		So(at(fleet, tracker, 3, 0, 200), ShouldResemble, SubsetSize{Local: 24, Remote: leastFar})
		So(at(fleet, tracker, 6, 0, 300), ShouldResemble, SubsetSize{Local: 96, Remote: leastFar})
		Convey("up to all that there are, and to no others where all are as full", func() {
			So(at(fleet, tracker, 50, 0, 400), ShouldResemble, SubsetSize{Local: 200, Remote: leastFar})
			So(at(fleet, tracker, 50, 0, 500), ShouldResemble, SubsetSize{Local: 200, Remote: leastFar})
		})
		Convey("to other zones where these crowd the few that they know", func() {
			So(at(fleet, tracker, 0.1, 4.4, 400), ShouldResemble, SubsetSize{Local: 96, Remote: 12})
		})
		Convey("and down again by half, after a minute of calm", func() {
			So(at(fleet, tracker, 0.1, 0, 1000).Local, ShouldEqual, 96)
			So(at(fleet, tracker, 0.1, 0, 1000+calmMs-1).Local, ShouldEqual, 96)
			So(at(fleet, tracker, 0.1, 0, 1000+calmMs).Local, ShouldEqual, 48)
			So(at(fleet, tracker, 0.1, 0, 1000+calmMs+1).Local, ShouldEqual, 48)
		})
	})
	Convey("what was heard of engines that are gone does not add up", t, func() {
		fleet := fleetOf(100)
		tracker := NewFleetTracker(fleetOptions(), 0)
		for nowMs := int64(1); nowMs < 20_000; nowMs += 10 {
			tracker.RecordEngineAlive(fmt.Sprint("gone-", nowMs), nowMs)
			tracker.Plan(fleet, nowMs)
		}
		So(len(tracker.heard), ShouldBeLessThanOrEqualTo, 2*100+100)
	})
	Convey("sizes outlive a snapshot", t, func() {
		fleet := fleetOf(1000)
		fleet.Apply(FleetUpdate{PutSubsetSizes: []SubsetSize{{Backend: "b", Zone: "zone-1", Local: 30, Remote: 10}}})
		raw, err := fleet.Snapshot()
		So(err, ShouldBeNil)
		restored := NewFleet()
		So(restored.Restore(raw), ShouldBeNil)
		scope := Scope{IncludesEngines: true, Zone: "zone-1"}
		So(restored.DeltaSince(0, scope).Engines, ShouldResemble, fleet.DeltaSince(0, scope).Engines)
	})
}
