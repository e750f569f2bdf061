package membership

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// said is one thing that an engine says of itself.
type said struct {
	engine ServingEngine
	leaves bool
}

// livesOf draws what the incarnations of one engine say, each in its order, and returns what
// the last one said at the end: nil where it has left.
func livesOf(run *rapid.T, id string) (words []said, last *ServingEngine) {
	lives := rapid.Int64Range(1, 4).Draw(run, "lives")
	for born := int64(1); born <= lives; born++ {
		engine := ServingEngine{ID: id, Backend: "b", Address: fmt.Sprintf("%s:%d", id, rapid.IntRange(1, 2).Draw(run, "port")), Zone: "z", Slots: 2, StartedMs: born * 10}
		drainsAt := rapid.Uint64Range(1, 6).Draw(run, "drains")
		reports := rapid.Uint64Range(1, 5).Draw(run, "reports")
		for sequence := uint64(1); sequence <= reports; sequence++ {
			engine.Sequence = sequence
			engine.Draining = sequence >= drainsAt
			words = append(words, said{engine: engine})
		}
		current := engine
		last = &current
		if rapid.Bool().Draw(run, "leaves") {
			words = append(words, said{engine: engine, leaves: true})
			last = nil
		}
	}
	return words, last
}

// TestLatestIncarnation holds that whatever order an engine's words come in, late, twice or
// after those of its next life, the fleet ends with what its last life said last.
func TestLatestIncarnation(t *testing.T) {
	rapid.Check(t, func(run *rapid.T) {
		fleet := NewFleet()
		tracker := NewFleetTracker(fleetOptions(), 0)
		words, last := livesOf(run, "e")
		words = append(words, rapid.SliceOfN(rapid.SampledFrom(words), 0, 6).Draw(run, "again")...)
		for _, word := range rapid.Permutation(words).Draw(run, "order") {
			var updates []FleetUpdate
			if word.leaves {
				updates, _ = tracker.HandleLeave(fleet, word.engine.Incarnation())
			} else {
				updates, _ = tracker.HandleReport(fleet, word.engine, ReportContext{IsBackendKnown: true, AllSupportIncarnations: true, NowMs: 1})
			}
			for _, update := range updates {
				fleet.Apply(update)
			}
			if rapid.IntRange(0, 9).Draw(run, "snapshot") == 0 {
				raw, err := fleet.Snapshot()
				if err == nil {
					err = fleet.Restore(raw)
				}
				if err != nil {
					run.Fatal(err)
				}
				tracker = NewFleetTracker(fleetOptions(), 0)
			}
		}
		holdLatest(run, fleet, last)
	})
}

// TestUpdatesInAnyOrder holds the same of updates that leaders have proposed, which are in the
// log in any order when the lead changes hands.
func TestUpdatesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(run *rapid.T) {
		fleet := NewFleet()
		words, last := livesOf(run, "e")
		for _, word := range rapid.Permutation(words).Draw(run, "order") {
			if word.leaves {
				fleet.Apply(FleetUpdate{LeftEngines: []string{"e"}, EndedIncarnations: []Incarnation{word.engine.Incarnation()}})
			} else {
				fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{word.engine}})
			}
		}
		holdLatest(run, fleet, last)
	})
}

func holdLatest(run *rapid.T, fleet *Fleet, last *ServingEngine) {
	known, there := fleet.Engine("e")
	switch {
	case last == nil && there:
		run.Fatalf("%+v is there, its last life has left", known)
	case last != nil && (!there || known.withoutSequence() != last.withoutSequence()):
		run.Fatalf("%+v is there (%v), the last word was %+v", known, there, *last)
	}
	if advertised := fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: "z"}); (len(advertised) == 1) != (last != nil && !last.Draining) {
		run.Fatalf("advertised: %v, the last word was %+v", advertised, last)
	}
}

// takeAll has a tracker take a report and the fleet apply what it calls for.
func takeAll(tracker *FleetTracker, fleet *Fleet, engine ServingEngine, terms ReportContext) ReportOutcome {
	updates, verdict := tracker.HandleReport(fleet, engine, terms)
	for _, update := range updates {
		fleet.Apply(update)
	}
	return verdict
}

func TestReportsOfOthers(t *testing.T) {
	terms := ReportContext{IsBackendKnown: true, AllSupportIncarnations: true, NowMs: 1000}
	good := ServingEngine{ID: "good", Backend: "b", Address: "10.0.0.1:1", Zone: "z", Slots: 2, Sequence: 9, StartedMs: 500}
	stand := func() (*FleetTracker, *Fleet) {
		fleet := NewFleet()
		tracker := NewFleetTracker(fleetOptions(), 0)
		So(takeAll(tracker, fleet, good, terms), ShouldEqual, ReportAccepted)
		return tracker, fleet
	}
	holds := func(fleet *Fleet) {
		known, there := fleet.Engine("good")
		So(there, ShouldBeTrue)
		So(known.Address, ShouldEqual, good.Address)
		So(known.Draining, ShouldBeFalse)
		So(fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: "z"}), ShouldResemble, []string{"good"})
	}
	Convey("a report under a good engine's id that lacks its incarnation changes nothing", t, func() {
		tracker, fleet := stand()
		foreign := good
		foreign.StartedMs, foreign.Sequence, foreign.Draining = 0, 100, true
		So(takeAll(tracker, fleet, foreign, terms), ShouldEqual, ReportOutdated)
		holds(fleet)
		Convey("unless a process passed it on that knows no incarnations", func() {
			relayed := terms
			relayed.IsRelayed = true
			So(takeAll(tracker, fleet, foreign, relayed), ShouldEqual, ReportAccepted)
			known, _ := fleet.Engine("good")
			So(known.Draining, ShouldBeTrue)
			So(known.StartedMs, ShouldEqual, good.StartedMs)
		})
	})
	Convey("an incarnation does not move while it goes on reporting from its place", t, func() {
		tracker, fleet := stand()
		for round := range 10 {
			foreign := good
			foreign.Address, foreign.Sequence = "10.0.0.9:1", uint64(100+round)
			terms.NowMs += 100
			So(takeAll(tracker, fleet, foreign, terms), ShouldEqual, ReportContradictory)
			current := good
			current.Sequence += uint64(round)
			terms.NowMs += 100
			So(takeAll(tracker, fleet, current, terms), ShouldEqual, ReportUnchanged)
		}
		holds(fleet)
	})
	Convey("an older engine does not take a good one's address, unless it insists while that one is silent", t, func() {
		tracker, fleet := stand()
		older := ServingEngine{ID: "older", Backend: "b", Address: good.Address, Zone: "z", Slots: 2, Sequence: 1, StartedMs: 400}
		for range doubtfulReports - 1 {
			terms.NowMs += 1000
			older.Sequence++
			So(takeAll(tracker, fleet, older, terms), ShouldEqual, ReportContradictory)
		}
		holds(fleet)
		terms.NowMs += 1000
		older.Sequence++
		So(takeAll(tracker, fleet, older, terms), ShouldEqual, ReportAccepted)
	})
	Convey("a younger one takes it at once", t, func() {
		tracker, fleet := stand()
		younger := ServingEngine{ID: "younger", Backend: "b", Address: good.Address, Zone: "z", Slots: 2, Sequence: 1, StartedMs: 600}
		So(takeAll(tracker, fleet, younger, terms), ShouldEqual, ReportAccepted)
		_, there := fleet.Engine("good")
		So(there, ShouldBeFalse)
	})
	Convey("an unknown engine of an unknown back end takes no address", t, func() {
		tracker, fleet := stand()
		unknown := terms
		unknown.IsBackendKnown = false
		stranger := ServingEngine{ID: "stranger", Backend: "nowhere", Address: good.Address, Zone: "z", Slots: 2, Sequence: 1, StartedMs: 600}
		So(takeAll(tracker, fleet, stranger, unknown), ShouldEqual, ReportUnknownBackend)
		holds(fleet)
		Convey("while a known one is heard though its back end is in the table no more", func() {
			drains := good
			drains.Sequence, drains.Draining = 10, true
			So(takeAll(tracker, fleet, drains, unknown), ShouldEqual, ReportAccepted)
		})
	})
	Convey("a late word that the life before ends does not end this one", t, func() {
		tracker, fleet := stand()
		updates, verdict := tracker.HandleLeave(fleet, Incarnation{ID: "good", StartedMs: 400})
		So(verdict, ShouldEqual, ReportOutdated)
		So(updates, ShouldBeEmpty)
		holds(fleet)
	})
}

func TestIncarnationsBesideEarlierReleases(t *testing.T) {
	terms := ReportContext{IsBackendKnown: true, NowMs: 1000}
	engine := ServingEngine{ID: "e", Backend: "b", Address: "10.0.0.1:1", Zone: "z", Slots: 2, Sequence: 40}
	Convey("the first word of when a known engine started is no new life", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(fleetOptions(), 0)
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{engine}})
		told := engine
		told.Sequence, told.StartedMs = 41, 700
		So(takeAll(tracker, fleet, told, terms), ShouldEqual, ReportAccepted)
		So(fleet.IncarnationVersion("e"), ShouldEqual, 0)
		Convey("and a late one is not believed at once", func() {
			fleet := NewFleet()
			drains := engine
			drains.Draining = true
			fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{drains}})
			late := told
			late.Sequence = 39
			So(takeAll(tracker, fleet, late, terms), ShouldEqual, ReportContradictory)
			known, _ := fleet.Engine("e")
			So(known.Draining, ShouldBeTrue)
		})
	})
	Convey("an id that has left is taken up again only once all replicas know incarnations", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(fleetOptions(), 0)
		first, second := engine, engine
		first.StartedMs, second.StartedMs, second.Sequence = 700, 800, 1
		takeAll(tracker, fleet, first, terms)
		updates, _ := tracker.HandleLeave(fleet, first.Incarnation())
		fleet.Apply(updates[0])
		So(updates[0].LeftEngines, ShouldResemble, []string{"e"})
		So(takeAll(tracker, fleet, second, terms), ShouldEqual, ReportAwaitsUpgrade)
		terms := terms
		terms.AllSupportIncarnations = true
		So(takeAll(tracker, fleet, second, terms), ShouldEqual, ReportAccepted)
		So(fleet.IncarnationVersion("e"), ShouldBeGreaterThan, 0)
		So(takeAll(tracker, fleet, first, terms), ShouldEqual, ReportOutdated)
	})
	Convey("a restart is proposed in words that every release applies alike", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(fleetOptions(), 0)
		first, second := engine, engine
		first.StartedMs, second.StartedMs, second.Sequence = 700, 800, 1
		takeAll(tracker, fleet, first, terms)
		updates, verdict := tracker.HandleReport(fleet, second, terms)
		So(verdict, ShouldEqual, ReportAccepted)
		So(updates, ShouldHaveLength, 2)
		So(updates[0].LostEngines, ShouldResemble, []string{"e"})
		So(updates[1].PutEngines, ShouldResemble, []ServingEngine{second})
	})
}
