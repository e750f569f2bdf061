package control

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

// TestFleetNewsComeTogether holds that what the leader sends does not grow with gateways
// times changes: engines that register one after the other are told of together.
func TestFleetNewsComeTogether(t *testing.T) {
	Convey("a gateway hears of many changes in one answer, and of a single one soon", t, func() {
		outlet := &encodingOutlet{test: t}
		core := leadingCore(t, outlet)
		h := &heartbeats{core: core, nowMs: core.nowMs, senders: map[RequestID]string{}, holdMs: testHoldMs}
		answers := 0
		outlet.onReply = func(id RequestID) {
			if h.senders[id] != "" {
				answers++
				h.reply(id)
			}
		}
		const gateways, engines, stepMs = 20, 100, 10
		for number := range gateways {
			h.send(fmt.Sprint("gateway-", number))
		}
		report := func(number int) {
			engine := membership.ServingEngine{ID: fmt.Sprint("e", number), Backend: fmt.Sprint("b", number), Slots: 1, Sequence: 1}
			h.core.HandleRequest(RequestID(1_000_000+number), &protocol.FleetOrder{Report: &engine}, h.nowMs)
		}
		h.run(t, 1000, stepMs)
		answers = 0
		for number := range engines {
			report(number)
			h.run(t, stepMs, stepMs)
		}
		const rounds = engines * stepMs / fleetNewsEveryMs
		So(answers, ShouldBeBetweenOrEqual, gateways*(rounds-1), gateways*(rounds+2))
		h.run(t, 1000, stepMs)
		answers = 0
		report(engines)
		h.run(t, 2*stepMs, stepMs)
		So(answers, ShouldBeGreaterThanOrEqualTo, gateways)
	})
}

// TestReturnOfAllGateways holds that what a leader asks its quorum does not grow with the
// number of gateways that come back at once.
func TestReturnOfAllGateways(t *testing.T) {
	Convey("gateways that come back together are confirmed together", t, func() {
		messages := map[int]int{}
		for _, gateways := range []int{10, 1000} {
			c := newProofCluster(t, 1)
			c.sound = true
			c.run(5000)
			leader := c.leader()
			confirmed := 0
			before := c.consensusMessages
			for number := range gateways {
				request := &protocol.FleetSync{Gateway: &membership.Gateway{Name: fmt.Sprint("g", number)}, Fresh: true, HoldMs: 700}
				leader.ask(request, func(answer any) {
					if answer.(*protocol.FleetSyncReply).Confirmed {
						confirmed++
					}
				})
			}
			c.run(300)
			So(confirmed, ShouldEqual, gateways)
			messages[gateways] = c.consensusMessages - before
		}
		So(messages[1000], ShouldBeLessThan, 3*messages[10])
	})
}

// TestControlsAreToldOnce holds that an answer without news does not repeat what its receiver
// knows.
func TestControlsAreToldOnce(t *testing.T) {
	Convey("a follower is told of the control processes where it knows others", t, func() {
		c := newProofCluster(t, 1)
		c.sound = true
		c.run(5000)
		leader := c.leader()
		told := func(known uint64) []string {
			var controls []string
			request := &protocol.FleetSync{Gateway: &membership.Gateway{Name: "g"}, Controls: known}
			leader.ask(request, func(answer any) { controls = answer.(*protocol.FleetSyncReply).Controls })
			c.run(200)
			return controls
		}
		controls := told(0)
		So(len(controls), ShouldEqual, 3)
		So(told(protocol.ControlsDigest(controls)), ShouldBeEmpty)
		So(told(protocol.ControlsDigest(controls[:2])), ShouldResemble, controls)
	})
}
