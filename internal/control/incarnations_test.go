package control

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// fleetRequestReply returns the reply to a fleet request, nil if there is none yet.
func (s *scriptedControl) fleetRequestReply(id RequestID) *protocol.FleetReply {
	reply, _ := s.replies[id].(*protocol.FleetReply)
	return reply
}

// report sends an engine's report to the leader and returns the reply once the log is committed.
func (s *scriptedControl) report(engine membership.ServingEngine) *protocol.FleetReply {
	id := s.ask(&protocol.FleetRequest{Report: &engine, SupportsIncarnations: true})
	s.confirm()
	return s.fleetRequestReply(id)
}

func TestEngineRestarts(t *testing.T) {
	newLeader := func() *scriptedControl {
		s := newScriptedControl(t)
		s.becomeLeader()
		s.confirm()
		s.tick()
		s.confirm()
		return s
	}
	first := membership.ServingEngine{ID: "e", Backend: "b", Address: "10.0.0.1:1", Zone: "z", Slots: 2, Sequence: 30, StartedMs: 100}
	second := first
	second.Sequence, second.StartedMs = 1, 200
	Convey("a new incarnation replaces the previous one at once, and the previous one does not come back", t, func() {
		s := newLeader()
		So(s.report(first).Error, ShouldBeNil)
		version := s.core.Fleet().Version()
		So(s.report(second), ShouldResemble, &protocol.FleetReply{IsNewIncarnation: true})
		current, _ := s.core.Fleet().Engine("e")
		So(current, ShouldResemble, second)
		So(s.core.Fleet().DeltaSince(version, membership.Scope{IncludesEngines: true, Zone: "z"}).Engines, ShouldResemble, []membership.ServingEngine{second})
		lateReport := first
		lateReport.Sequence++
		So(s.report(lateReport).IgnoredReason, ShouldEqual, membership.ReportOutdated.String())
		current, _ = s.core.Fleet().Engine("e")
		So(current, ShouldResemble, second)
		Convey("even if the previous one's report comes before the newer one is committed", func() {
			third := second
			third.StartedMs = 300
			newerID := s.ask(&protocol.FleetRequest{Report: &third, SupportsIncarnations: true})
			lateID := s.ask(&protocol.FleetRequest{Report: &lateReport, SupportsIncarnations: true})
			s.confirm()
			So(s.fleetRequestReply(newerID).Error, ShouldBeNil)
			So(s.fleetRequestReply(lateID).IgnoredReason, ShouldEqual, membership.ReportOutdated.String())
			current, _ := s.core.Fleet().Engine("e")
			So(current, ShouldResemble, third)
		})
	})
	Convey("reports of gateways that have not received the restart are not counted for the new incarnation", t, func() {
		s := newLeader()
		s.report(first)
		sync := func(version uint64) {
			s.ask(&protocol.FleetSync{
				Gateway: &membership.Gateway{Name: "g", Zone: "z", IsReady: true}, FleetVersion: version,
				EngineLoads: []scheduling.EngineLoad{{Engine: "e", InFlight: 5}},
			})
			s.confirm()
		}
		before := s.core.Fleet().Version()
		sync(before)
		So(s.core.loadAggregator.InFlight("e", s.nowMs), ShouldEqual, 5)
		s.report(second)
		So(s.core.loadAggregator.InFlight("e", s.nowMs), ShouldEqual, 0)
		sync(before)
		So(s.core.loadAggregator.InFlight("e", s.nowMs), ShouldEqual, 0)
		sync(s.core.Fleet().Version())
		So(s.core.loadAggregator.InFlight("e", s.nowMs), ShouldEqual, 5)
	})
	Convey("an engine that has left does not return until all processes support incarnations", t, func() {
		s := newLeader()
		s.report(first)
		leaveID := s.ask(&protocol.FleetRequest{LeaveEngine: "e", LeaveStartedMs: first.StartedMs, SupportsIncarnations: true})
		s.confirm()
		So(s.fleetRequestReply(leaveID).Error, ShouldBeNil)
		So(s.report(second).IgnoredReason, ShouldEqual, membership.ReportAwaitsUpgrade.String())
		for _, member := range []string{"b:1", "c:1"} {
			s.core.HandlePeerBatch(protocol.PeerBatch{From: member, SupportsIncarnations: true}, s.nowMs)
		}
		So(s.report(second).IgnoredReason, ShouldBeEmpty)
		current, inFleet := s.core.Fleet().Engine("e")
		So(inFleet, ShouldBeTrue)
		So(current, ShouldResemble, second)
		So(s.report(first).IgnoredReason, ShouldEqual, membership.ReportOutdated.String())
	})
	Convey("a report of an unknown engine is ignored if the routing table does not name its backend", t, func() {
		s := newLeader()
		table := &routing.Table{Generation: 1, Backends: []routing.Backend{{Name: "b"}}}
		s.ask(&protocol.FleetRequest{Routing: table})
		s.confirm()
		unnamedBackend := first
		unnamedBackend.Backend = "nowhere"
		So(s.report(unnamedBackend).IgnoredReason, ShouldEqual, membership.ReportUnknownBackend.String())
		So(s.core.Fleet().EngineCount(), ShouldEqual, 0)
		So(s.report(first).IgnoredReason, ShouldBeEmpty)
		So(s.core.Fleet().EngineCount(), ShouldEqual, 1)
	})
}

// TestVersionSubsetsAwaitUpgrade guards against control processes of two releases that advertise
// different engines to the gateways: a gateway that changes between them would keep engines that
// have left.
func TestVersionSubsetsAwaitUpgrade(t *testing.T) {
	Convey("engines of every software version are advertised only once all processes support it", t, func() {
		s := newScriptedControl(t)
		s.becomeLeader()
		// plan lets the leader plan several times, each time after an announcement of both peers.
		plan := func(supportOfPeerC bool) {
			for range 3 * fleetPlanIntervalMs / s.core.options.TickMs {
				for member, supports := range map[string]bool{"b:1": true, "c:1": supportOfPeerC} {
					s.core.HandlePeerBatch(protocol.PeerBatch{From: member, SupportsIncarnations: true, SupportsVersionSubsets: supports}, s.nowMs)
				}
				s.tick()
				s.confirm()
			}
		}
		plan(false)
		So(s.core.Fleet().CoversVersions(), ShouldBeFalse)
		plan(true)
		So(s.core.Fleet().CoversVersions(), ShouldBeTrue)
	})
}
