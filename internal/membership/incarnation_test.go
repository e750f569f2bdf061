package membership

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// engineMessage is a report or a leave message of an engine.
type engineMessage struct {
	engine  ServingEngine
	isLeave bool
}

// drawIncarnations generates the messages of several incarnations of one engine, in the order in
// which they are sent, and returns the last report of the last incarnation, or nil if it has left.
func drawIncarnations(run *rapid.T, id string) (messages []engineMessage, last *ServingEngine) {
	incarnations := rapid.Int64Range(1, 4).Draw(run, "incarnations")
	for incarnation := int64(1); incarnation <= incarnations; incarnation++ {
		engine := ServingEngine{ID: id, Backend: "b", Address: fmt.Sprintf("%s:%d", id, rapid.IntRange(1, 2).Draw(run, "port")), Zone: "z", Slots: 2, StartedMs: incarnation * 10}
		drainsAt := rapid.Uint64Range(1, 6).Draw(run, "drains")
		reports := rapid.Uint64Range(1, 5).Draw(run, "reports")
		for sequence := uint64(1); sequence <= reports; sequence++ {
			engine.Sequence = sequence
			engine.Draining = sequence >= drainsAt
			messages = append(messages, engineMessage{engine: engine})
		}
		current := engine
		last = &current
		if rapid.Bool().Draw(run, "leaves") {
			messages = append(messages, engineMessage{engine: engine, isLeave: true})
			last = nil
		}
	}
	return messages, last
}

// TestLatestIncarnation checks that the fleet ends with the last state of the last incarnation,
// even if messages are late, repeated, or arrive after those of the next incarnation.
func TestLatestIncarnation(t *testing.T) {
	rapid.Check(t, func(run *rapid.T) {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		messages, last := drawIncarnations(run, "e")
		messages = append(messages, rapid.SliceOfN(rapid.SampledFrom(messages), 0, 6).Draw(run, "again")...)
		for _, message := range rapid.Permutation(messages).Draw(run, "order") {
			var updates []FleetUpdate
			if message.isLeave {
				updates, _ = tracker.HandleLeave(fleet, message.engine.Incarnation())
			} else {
				updates, _ = tracker.HandleReport(fleet, message.engine, ReportContext{IsBackendKnown: true, AllSupportIncarnations: true, NowMs: 1})
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
				tracker = NewFleetTracker(testFleetOptions(), 0)
			}
		}
		checkLatest(run, fleet, last)
	})
}

// TestUpdatesInAnyOrder checks that the fleet ends with the last state of the last incarnation,
// regardless of the order of the updates that leaders propose. Their order in the log is arbitrary
// when the leadership changes.
func TestUpdatesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(run *rapid.T) {
		fleet := NewFleet()
		messages, last := drawIncarnations(run, "e")
		for _, message := range rapid.Permutation(messages).Draw(run, "order") {
			if message.isLeave {
				fleet.Apply(FleetUpdate{LeftEngines: []string{"e"}, EndedIncarnations: []Incarnation{message.engine.Incarnation()}})
			} else {
				fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{message.engine}})
			}
		}
		checkLatest(run, fleet, last)
	})
}

func checkLatest(run *rapid.T, fleet *Fleet, last *ServingEngine) {
	known, listed := fleet.Engine("e")
	switch {
	case last == nil && listed:
		run.Fatalf("engine %+v is listed although its last incarnation has left", known)
	case last != nil && (!listed || known.withoutSequence() != last.withoutSequence()):
		run.Fatalf("listed engine is %+v (%v), the last report was %+v", known, listed, *last)
	}
	if advertised := fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: "z"}); (len(advertised) == 1) != (last != nil && !last.Draining) {
		run.Fatalf("advertised engines are %v, the last report was %+v", advertised, last)
	}
}

// handleReport passes a report to a tracker and applies the resulting updates to the fleet.
func handleReport(tracker *FleetTracker, fleet *Fleet, engine ServingEngine, reportContext ReportContext) ReportOutcome {
	updates, outcome := tracker.HandleReport(fleet, engine, reportContext)
	for _, update := range updates {
		fleet.Apply(update)
	}
	return outcome
}

func TestReportsOfOtherProcesses(t *testing.T) {
	reportContext := ReportContext{IsBackendKnown: true, AllSupportIncarnations: true, NowMs: 1000}
	registered := ServingEngine{ID: "good", Backend: "b", Address: "10.0.0.1:1", Zone: "z", Slots: 2, Sequence: 9, StartedMs: 500}
	newRegistered := func() (*FleetTracker, *Fleet) {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		So(handleReport(tracker, fleet, registered, reportContext), ShouldEqual, ReportAccepted)
		return tracker, fleet
	}
	checkUnchanged := func(fleet *Fleet) {
		known, listed := fleet.Engine("good")
		So(listed, ShouldBeTrue)
		So(known.Address, ShouldEqual, registered.Address)
		So(known.Draining, ShouldBeFalse)
		So(fleet.AdvertisedEngineIDs(Scope{IncludesEngines: true, Zone: "z"}), ShouldResemble, []string{"good"})
	}
	Convey("a report that has a listed engine's id but no incarnation changes nothing", t, func() {
		tracker, fleet := newRegistered()
		foreign := registered
		foreign.StartedMs, foreign.Sequence, foreign.Draining = 0, 100, true
		So(handleReport(tracker, fleet, foreign, reportContext), ShouldEqual, ReportOutdated)
		checkUnchanged(fleet)
		Convey("it is accepted if a process without support for incarnations forwarded it", func() {
			relayed := reportContext
			relayed.IsRelayed = true
			So(handleReport(tracker, fleet, foreign, relayed), ShouldEqual, ReportAccepted)
			known, _ := fleet.Engine("good")
			So(known.Draining, ShouldBeTrue)
			So(known.StartedMs, ShouldEqual, registered.StartedMs)
		})
	})
	Convey("an incarnation does not change its location while it reports from the previous one", t, func() {
		tracker, fleet := newRegistered()
		for round := range 10 {
			foreign := registered
			foreign.Address, foreign.Sequence = "10.0.0.9:1", uint64(100+round)
			reportContext.NowMs += 100
			So(handleReport(tracker, fleet, foreign, reportContext), ShouldEqual, ReportContradictory)
			current := registered
			current.Sequence += uint64(round)
			reportContext.NowMs += 100
			So(handleReport(tracker, fleet, current, reportContext), ShouldEqual, ReportUnchanged)
		}
		checkUnchanged(fleet)
	})
	Convey("an older engine takes over an address only by repeated reports while the current holder is silent", t, func() {
		tracker, fleet := newRegistered()
		older := ServingEngine{ID: "older", Backend: "b", Address: registered.Address, Zone: "z", Slots: 2, Sequence: 1, StartedMs: 400}
		for range requiredContradictions - 1 {
			reportContext.NowMs += 1000
			older.Sequence++
			So(handleReport(tracker, fleet, older, reportContext), ShouldEqual, ReportContradictory)
		}
		checkUnchanged(fleet)
		reportContext.NowMs += 1000
		older.Sequence++
		So(handleReport(tracker, fleet, older, reportContext), ShouldEqual, ReportAccepted)
	})
	Convey("an engine with a later start time takes over an address immediately", t, func() {
		tracker, fleet := newRegistered()
		younger := ServingEngine{ID: "younger", Backend: "b", Address: registered.Address, Zone: "z", Slots: 2, Sequence: 1, StartedMs: 600}
		So(handleReport(tracker, fleet, younger, reportContext), ShouldEqual, ReportAccepted)
		_, listed := fleet.Engine("good")
		So(listed, ShouldBeFalse)
	})
	Convey("an unknown engine of an unknown backend does not take over an address", t, func() {
		tracker, fleet := newRegistered()
		unknownBackend := reportContext
		unknownBackend.IsBackendKnown = false
		unknown := ServingEngine{ID: "stranger", Backend: "nowhere", Address: registered.Address, Zone: "z", Slots: 2, Sequence: 1, StartedMs: 600}
		So(handleReport(tracker, fleet, unknown, unknownBackend), ShouldEqual, ReportUnknownBackend)
		checkUnchanged(fleet)
		Convey("a listed engine is accepted although its backend is no longer in the routing table", func() {
			draining := registered
			draining.Sequence, draining.Draining = 10, true
			So(handleReport(tracker, fleet, draining, unknownBackend), ShouldEqual, ReportAccepted)
		})
	})
	Convey("a late leave message of the previous incarnation does not end the current one", t, func() {
		tracker, fleet := newRegistered()
		updates, outcome := tracker.HandleLeave(fleet, Incarnation{ID: "good", StartedMs: 400})
		So(outcome, ShouldEqual, ReportOutdated)
		So(updates, ShouldBeEmpty)
		checkUnchanged(fleet)
	})
}

func TestIncarnationsWithEarlierReleases(t *testing.T) {
	reportContext := ReportContext{IsBackendKnown: true, NowMs: 1000}
	engine := ServingEngine{ID: "e", Backend: "b", Address: "10.0.0.1:1", Zone: "z", Slots: 2, Sequence: 40}
	Convey("the first report with a start time of a listed engine is not a restart", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{engine}})
		withStartTime := engine
		withStartTime.Sequence, withStartTime.StartedMs = 41, 700
		So(handleReport(tracker, fleet, withStartTime, reportContext), ShouldEqual, ReportAccepted)
		So(fleet.IncarnationVersion("e"), ShouldEqual, 0)
		Convey("a late report with a start time is not accepted immediately", func() {
			fleet := NewFleet()
			draining := engine
			draining.Draining = true
			fleet.Apply(FleetUpdate{PutEngines: []ServingEngine{draining}})
			late := withStartTime
			late.Sequence = 39
			So(handleReport(tracker, fleet, late, reportContext), ShouldEqual, ReportContradictory)
			known, _ := fleet.Engine("e")
			So(known.Draining, ShouldBeTrue)
		})
	})
	Convey("an id that has left is accepted again only after all replicas support incarnations", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		first, second := engine, engine
		first.StartedMs, second.StartedMs, second.Sequence = 700, 800, 1
		handleReport(tracker, fleet, first, reportContext)
		updates, _ := tracker.HandleLeave(fleet, first.Incarnation())
		fleet.Apply(updates[0])
		So(updates[0].LeftEngines, ShouldResemble, []string{"e"})
		So(handleReport(tracker, fleet, second, reportContext), ShouldEqual, ReportAwaitsUpgrade)
		reportContext := reportContext
		reportContext.AllSupportIncarnations = true
		So(handleReport(tracker, fleet, second, reportContext), ShouldEqual, ReportAccepted)
		So(fleet.IncarnationVersion("e"), ShouldBeGreaterThan, 0)
		So(handleReport(tracker, fleet, first, reportContext), ShouldEqual, ReportOutdated)
	})
	Convey("a restart is proposed as the loss of the engine and then its report, for releases without incarnations", t, func() {
		fleet := NewFleet()
		tracker := NewFleetTracker(testFleetOptions(), 0)
		first, second := engine, engine
		first.StartedMs, second.StartedMs, second.Sequence = 700, 800, 1
		handleReport(tracker, fleet, first, reportContext)
		updates, outcome := tracker.HandleReport(fleet, second, reportContext)
		So(outcome, ShouldEqual, ReportAccepted)
		So(updates, ShouldHaveLength, 2)
		So(updates[0].LostEngines, ShouldResemble, []string{"e"})
		So(updates[1].PutEngines, ShouldResemble, []ServingEngine{second})
	})
}
