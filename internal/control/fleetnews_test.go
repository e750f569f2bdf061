package control

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

// TestFleetChangesAreBatched checks that engines that register one after the other are announced
// together, so that the number of answers does not grow with the product of gateways and changes.
func TestFleetChangesAreBatched(t *testing.T) {
	Convey("a gateway receives many changes in one answer, and a single change soon", t, func() {
		transport := &encodingTransport{t: t}
		core := leadingCore(t, transport)
		h := &heartbeatDriver{core: core, nowMs: core.nowMs, senders: map[RequestID]string{}, holdMs: testHoldMs}
		answers := 0
		transport.onReply = func(id RequestID) {
			if h.senders[id] != "" {
				answers++
				h.handleReply(id)
			}
		}
		const gateways, engines, stepMs = 20, 100, 10
		for number := range gateways {
			h.send(fmt.Sprint("gateway-", number))
		}
		report := func(number int) {
			engine := membership.ServingEngine{ID: fmt.Sprint("e", number), Backend: fmt.Sprint("b", number), Slots: 1, Sequence: 1}
			h.core.HandleRequest(RequestID(1_000_000+number), &protocol.FleetRequest{Report: &engine}, h.nowMs)
		}
		h.advance(t, 1000, stepMs)
		answers = 0
		for number := range engines {
			report(number)
			h.advance(t, stepMs, stepMs)
		}
		const rounds = engines * stepMs / fleetNotifyIntervalMs
		So(answers, ShouldBeBetweenOrEqual, gateways*(rounds-1), gateways*(rounds+2))
		h.advance(t, 1000, stepMs)
		answers = 0
		report(engines)
		h.advance(t, 2*stepMs, stepMs)
		So(answers, ShouldBeGreaterThanOrEqualTo, gateways)
	})
}

// TestReturnOfAllGateways checks that the number of consensus messages for confirmations does not
// grow with the number of gateways that come back at once.
func TestReturnOfAllGateways(t *testing.T) {
	Convey("gateways that come back together are confirmed together", t, func() {
		messages := map[int]int{}
		for _, gateways := range []int{10, 1000} {
			c := newTestCluster(t, 1)
			c.lossless = true
			c.run(5000)
			leader := c.leader()
			confirmed := 0
			before := c.consensusMessages
			for number := range gateways {
				request := &protocol.FleetSync{Gateway: &membership.Gateway{Name: fmt.Sprint("g", number)}, ConfirmNow: true, LongPollMs: 700}
				leader.ask(request, func(answer any) {
					if answer.(*protocol.FleetSyncReply).IsConfirmed {
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

// TestControlsAreSentOnce checks that an answer does not repeat the list of control processes that
// its receiver already has.
func TestControlsAreSentOnce(t *testing.T) {
	Convey("a follower receives the control processes only if its own list differs", t, func() {
		c := newTestCluster(t, 1)
		c.lossless = true
		c.run(5000)
		leader := c.leader()
		receivedControls := func(knownDigest uint64) []string {
			var controls []string
			request := &protocol.FleetSync{Gateway: &membership.Gateway{Name: "g"}, ControlsDigest: knownDigest}
			leader.ask(request, func(answer any) { controls = answer.(*protocol.FleetSyncReply).ControlAddresses })
			c.run(200)
			return controls
		}
		controls := receivedControls(0)
		So(len(controls), ShouldEqual, 3)
		So(receivedControls(protocol.ControlsDigest(controls)), ShouldBeEmpty)
		So(receivedControls(protocol.ControlsDigest(controls[:2])), ShouldResemble, controls)
	})
}
