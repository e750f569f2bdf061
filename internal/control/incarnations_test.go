package control

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// orderReply returns what an order was answered with, nil where it was not.
func (l *loneControl) orderReply(id RequestID) *protocol.FleetOrderReply {
	reply, _ := l.replies[id].(*protocol.FleetOrderReply)
	return reply
}

// report has an engine report to the leader and returns the answer, once all is committed.
func (l *loneControl) report(engine membership.ServingEngine) *protocol.FleetOrderReply {
	id := l.ask(&protocol.FleetOrder{Report: &engine, Incarnations: true})
	l.confirm()
	return l.orderReply(id)
}

func TestEnginesThatStartAgain(t *testing.T) {
	leading := func() *loneControl {
		l := newLoneControl(t)
		l.lead()
		l.confirm()
		l.tick()
		l.confirm()
		return l
	}
	first := membership.ServingEngine{ID: "e", Backend: "b", Address: "10.0.0.1:1", Zone: "z", Slots: 2, Sequence: 30, StartedMs: 100}
	second := first
	second.Sequence, second.StartedMs = 1, 200
	Convey("a new incarnation takes its id up at once, and the one before does not come back", t, func() {
		l := leading()
		So(l.report(first).Error, ShouldBeNil)
		version := l.core.Fleet().Version()
		So(l.report(second), ShouldResemble, &protocol.FleetOrderReply{Restarted: true})
		known, _ := l.core.Fleet().Engine("e")
		So(known, ShouldResemble, second)
		So(l.core.Fleet().DeltaSince(version, membership.Scope{IncludesEngines: true, Zone: "z"}).Engines, ShouldResemble, []membership.ServingEngine{second})
		late := first
		late.Sequence++
		So(l.report(late).Void, ShouldEqual, membership.ReportOutdated.String())
		known, _ = l.core.Fleet().Engine("e")
		So(known, ShouldResemble, second)
		Convey("also where its report came before the newer one was committed", func() {
			third := second
			third.StartedMs = 300
			new := l.ask(&protocol.FleetOrder{Report: &third, Incarnations: true})
			old := l.ask(&protocol.FleetOrder{Report: &late, Incarnations: true})
			l.confirm()
			So(l.orderReply(new).Error, ShouldBeNil)
			So(l.orderReply(old).Void, ShouldEqual, membership.ReportOutdated.String())
			known, _ := l.core.Fleet().Engine("e")
			So(known, ShouldResemble, third)
		})
	})
	Convey("what gateways say that have not heard of the restart is of the life before", t, func() {
		l := leading()
		l.report(first)
		sync := func(version uint64) {
			l.ask(&protocol.FleetSync{
				Gateway: &membership.Gateway{Name: "g", Zone: "z", IsReady: true}, Version: version,
				Loads: []scheduling.EngineLoad{{Engine: "e", InFlight: 5}},
			})
			l.confirm()
		}
		before := l.core.Fleet().Version()
		sync(before)
		So(l.core.loads.InFlight("e", l.nowMs), ShouldEqual, 5)
		l.report(second)
		So(l.core.loads.InFlight("e", l.nowMs), ShouldEqual, 0)
		sync(before)
		So(l.core.loads.InFlight("e", l.nowMs), ShouldEqual, 0)
		sync(l.core.Fleet().Version())
		So(l.core.loads.InFlight("e", l.nowMs), ShouldEqual, 5)
	})
	Convey("beside a process of an earlier release an id that has left stays so until all know incarnations", t, func() {
		l := leading()
		l.report(first)
		left := l.ask(&protocol.FleetOrder{Leave: "e", LeaveBorn: first.StartedMs, Incarnations: true})
		l.confirm()
		So(l.orderReply(left).Error, ShouldBeNil)
		So(l.report(second).Void, ShouldEqual, membership.ReportAwaitsUpgrade.String())
		for _, member := range []string{"b:1", "c:1"} {
			l.core.HandlePeerBatch(protocol.PeerBatch{From: member, Incarnations: true}, l.nowMs)
		}
		So(l.report(second).Void, ShouldBeEmpty)
		known, there := l.core.Fleet().Engine("e")
		So(there, ShouldBeTrue)
		So(known, ShouldResemble, second)
		So(l.report(first).Void, ShouldEqual, membership.ReportOutdated.String())
	})
	Convey("an unknown engine of a back end that no table names is acknowledged and left out", t, func() {
		l := leading()
		table := &routing.Table{Generation: 1, Backends: []routing.Backend{{Name: "b"}}}
		l.ask(&protocol.FleetOrder{Routing: table})
		l.confirm()
		stranger := first
		stranger.Backend = "nowhere"
		So(l.report(stranger).Void, ShouldEqual, membership.ReportUnknownBackend.String())
		So(l.core.Fleet().EngineCount(), ShouldEqual, 0)
		So(l.report(first).Void, ShouldBeEmpty)
		So(l.core.Fleet().EngineCount(), ShouldEqual, 1)
	})
}
