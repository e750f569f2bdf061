package control

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

const testHoldMs = 200

// heartbeats drives gateways that report again as soon as they are answered, as long as
// they are not frozen.
type heartbeats struct {
	core    *Core
	nowMs   int64
	nextID  RequestID
	senders map[RequestID]string
	// answered are the gateways whose next heartbeat is due.
	answered []string
	frozen   map[string]bool
	// holdMs is how long gateways let their heartbeats be held, and replies counts the answers.
	holdMs  int64
	replies int
}

func (h *heartbeats) reply(id RequestID) {
	sender, known := h.senders[id]
	if !known {
		return
	}
	h.replies++
	h.answered = append(h.answered, sender)
}

func (h *heartbeats) send(name string) {
	h.nextID++
	h.senders[h.nextID] = name
	gateway := &membership.Gateway{Name: name, IsReady: true}
	h.core.HandleRequest(h.nextID, &protocol.FleetSync{Gateway: gateway, Version: h.core.Fleet().Version(), HoldMs: h.holdMs}, h.nowMs)
}

// run lets time pass, a tick each step.
func (h *heartbeats) run(t *testing.T, forMs, stepMs int64) {
	for end := h.nowMs + forMs; h.nowMs < end; {
		h.nowMs += stepMs
		h.core.Tick(h.nowMs)
		flush(t, h.core)
		due := h.answered
		h.answered = nil
		for _, name := range due {
			if h.frozen[name] {
				h.answered = append(h.answered, name)
				continue
			}
			h.send(name)
		}
		flush(t, h.core)
	}
}

func (h *heartbeats) listed() []string {
	var names []string
	for _, gateway := range h.core.Fleet().Gateways() {
		names = append(names, gateway.Name)
	}
	return names
}

// TestFrozenGatewayLeavesTheDirectory holds that callers are not sent to gateways that
// stand still, and that the leader does not take a pause of its own for theirs.
func TestFrozenGatewayLeavesTheDirectory(t *testing.T) {
	Convey("gateways that report to the leader", t, func() {
		outlet := &encodingOutlet{test: t}
		h := &heartbeats{core: leadingCore(t, outlet), senders: map[RequestID]string{}, frozen: map[string]bool{}, holdMs: testHoldMs}
		outlet.onReply = h.reply
		h.nowMs = h.core.nowMs
		tickMs := h.core.options.TickMs
		for _, name := range []string{"a", "b", "c"} {
			h.send(name)
		}
		h.run(t, 5000, tickMs)
		So(h.listed(), ShouldResemble, []string{"a", "b", "c"})
		Convey("one that freezes leaves soon, and is back with its next heartbeat", func() {
			h.frozen["b"] = true
			h.run(t, testHoldMs+gatewayReturnMs+fleetPlanEveryMs+4*tickMs, tickMs)
			So(h.listed(), ShouldResemble, []string{"a", "c"})
			h.frozen["b"] = false
			h.run(t, 4*tickMs, tickMs)
			So(h.listed(), ShouldResemble, []string{"a", "b", "c"})
		})
		Convey("a leader that stood still itself takes none out", func() {
			version := h.core.Fleet().Version()
			h.run(t, 20_000, 20_000)
			h.run(t, 1000, tickMs)
			So(h.core.Fleet().Version(), ShouldEqual, version)
		})
	})
}

// TestHeartbeatsAsOftenAsTheLeaderAffords holds that a few gateways are heard often enough for one
// that stands still to be noticed soon, and that very many don't cost the leader more for it.
func TestHeartbeatsAsOftenAsTheLeaderAffords(t *testing.T) {
	const longHoldMs = 700
	heard := func(gateways int) *heartbeats {
		outlet := &encodingOutlet{test: t}
		h := &heartbeats{core: leadingCore(t, outlet), senders: map[RequestID]string{}, frozen: map[string]bool{}, holdMs: longHoldMs}
		outlet.onReply = h.reply
		h.nowMs = h.core.nowMs
		for number := range gateways {
			h.send(fmt.Sprintf("gateway-%d", number))
		}
		h.run(t, 3000, h.core.options.TickMs)
		return h
	}
	Convey("a few gateways that let their heartbeats be held for long", t, func() {
		h := heard(20)
		h.frozen["gateway-7"] = true
		h.run(t, leastHoldMs+gatewayReturnMs+fleetPlanEveryMs+4*h.core.options.TickMs, h.core.options.TickMs)
		So(h.listed(), ShouldHaveLength, 19)
	})
	Convey("one that was told little is missed sooner than one that has much to put in force", t, func() {
		h := heard(20)
		tickMs := h.core.options.TickMs
		h.frozen["gateway-7"] = true
		const order = 1 << 40
		report := &membership.ServingEngine{ID: "e", Backend: "b", Address: "e", Slots: 8, Sequence: 1}
		h.core.HandleRequest(order, &protocol.FleetOrder{Report: report}, h.nowMs)
		h.run(t, fleetNewsEveryMs+gatewayLightReturnMs+fleetPlanEveryMs+4*tickMs, tickMs)
		So(h.listed(), ShouldHaveLength, 19)
		news := func(engines int) *protocol.FleetSyncReply {
			return &protocol.FleetSyncReply{Fleet: protocol.NewShared(membership.FleetDelta{Engines: make([]membership.ServingEngine, engines)})}
		}
		So(h.core.light(&protocol.FleetSyncReply{}), ShouldBeTrue)
		So(h.core.light(news(lightEntries)), ShouldBeTrue)
		So(h.core.light(news(lightEntries+1)), ShouldBeFalse)
	})
	Convey("many of them", t, func() {
		h := heard(800)
		before := h.replies
		h.run(t, 2*longHoldMs, h.core.options.TickMs)
		So(h.replies-before, ShouldBeLessThanOrEqualTo, 2*800)
	})
	Convey("a number between", t, func() {
		h := heard(150)
		before := h.replies
		h.run(t, 2000, h.core.options.TickMs)
		So(h.replies-before, ShouldBeBetween, 1.5*heldEndsPerSecond, 2*heldEndsPerSecond+150)
	})
}
