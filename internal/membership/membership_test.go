package membership

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const leaseMs = 1000

func testHeartbeat(name, zone string) Heartbeat {
	return Heartbeat{Scheduler: Scheduler{Name: name, Zone: zone, Address: "127.0.0.1:1", Incarnation: 1}}
}

func testInstances(count int) []Instance {
	var list []Instance
	for position := range count {
		list = append(list, Instance{Name: fmt.Sprint("engine-", position), Zone: []string{"a", "b"}[position%2], Pool: "p"})
	}
	return list
}

func TestTakeover(t *testing.T) {
	Convey("engines are assigned to schedulers in their zone, and those of a lost scheduler are taken over with a higher epoch", t, func() {
		directory := NewDirectory()
		tracker := NewTracker(leaseMs, 0)
		tracker.RecordHeartbeat(testHeartbeat("s1", "a"), 0)
		tracker.RecordHeartbeat(testHeartbeat("s2", "b"), 0)
		tracker.SetInstances(testInstances(6))
		directory.Apply(tracker.Plan(directory, 0))
		So(len(directory.OwnedBy("s1")), ShouldEqual, 3)
		So(directory.OwnedBy("s2")[0].Zone, ShouldEqual, "b")
		epoch := directory.OwnedBy("s1")[0].Epoch
		tracker.RecordHeartbeat(testHeartbeat("s2", "b"), 900)
		So(tracker.Plan(directory, 1000).IsEmpty(), ShouldBeTrue)
		directory.Apply(tracker.Plan(directory, 1100))
		So(len(directory.OwnedBy("s2")), ShouldEqual, 6)
		So(directory.Engines["engine-0"].Epoch, ShouldBeGreaterThan, epoch)
		tracker.RecordHeartbeat(testHeartbeat("s1", "a"), 1200)
		directory.Apply(tracker.Plan(directory, 1200))
		So(len(directory.OwnedBy("s1")), ShouldEqual, 3)
	})
	Convey("a new leader removes a scheduler only after a full lease", t, func() {
		directory := NewDirectory()
		directory.Apply(Update{Schedulers: []Scheduler{testHeartbeat("s1", "a").Scheduler}})
		tracker := NewTracker(leaseMs, 5000)
		So(tracker.Plan(directory, 5900).IsEmpty(), ShouldBeTrue)
		So(tracker.Plan(directory, 6100).RemoveSchedulers, ShouldResemble, []string{"s1"})
	})
	Convey("the engines of a draining scheduler move to other schedulers", t, func() {
		directory := NewDirectory()
		tracker := NewTracker(leaseMs, 0)
		tracker.RecordHeartbeat(testHeartbeat("s1", "a"), 0)
		tracker.RecordHeartbeat(testHeartbeat("s2", "b"), 0)
		tracker.SetInstances(testInstances(4))
		directory.Apply(tracker.Plan(directory, 0))
		draining := testHeartbeat("s1", "a")
		draining.Scheduler.Draining = true
		tracker.RecordHeartbeat(draining, 10)
		directory.Apply(tracker.Plan(directory, 10))
		So(len(directory.OwnedBy("s2")), ShouldEqual, 4)
	})
}

// TestPlanSettles checks, after any history, that repeated planning ends without further
// changes, that every engine has a live owner if any scheduler is alive, and that epochs never
// decrease.
func TestPlanSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		directory := NewDirectory()
		tracker := NewTracker(leaseMs, 0)
		nowMs := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			nowMs += int64(rapid.IntRange(0, 600).Draw(t, "pause"))
			name := fmt.Sprint("s", rapid.IntRange(1, 4).Draw(t, "scheduler"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				tracker.SetInstances(testInstances(rapid.IntRange(0, 12).Draw(t, "engines")))
			default:
				tracker.RecordHeartbeat(testHeartbeat(name, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")), nowMs)
			}
			epochs := map[string]uint64{}
			for _, engine := range directory.Engines {
				epochs[engine.Name] = engine.Epoch
			}
			for round := 0; ; round++ {
				update := tracker.Plan(directory, nowMs)
				if update.IsEmpty() {
					break
				}
				if round > 20 {
					t.Fatalf("the plan does not settle: %+v", update)
				}
				directory.Apply(update)
			}
			for _, engine := range directory.Engines {
				if engine.Epoch < epochs[engine.Name] {
					t.Fatalf("epoch of %s decreased", engine.Name)
				}
				if _, ok := directory.Schedulers[engine.Owner]; !ok && len(directory.Schedulers) > 0 {
					t.Fatalf("%s is owned by %q, which is not alive", engine.Name, engine.Owner)
				}
			}
		}
	})
}
