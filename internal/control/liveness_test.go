package control

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

const testHoldMs = 200

// heartbeatDriver drives simulated gateways, each of which sends its next heartbeat as soon as
// the last one is answered unless it is frozen.
type heartbeatDriver struct {
	core    *Core
	nowMs   int64
	nextID  RequestID
	senders map[RequestID]string
	// due are the gateways whose next heartbeat is to be sent.
	due    []string
	frozen map[string]bool
	// holdMs is how long gateways allow their heartbeats to be held, and replyCount counts the
	// answers.
	holdMs     int64
	replyCount int
}

func (h *heartbeatDriver) handleReply(id RequestID) {
	sender, known := h.senders[id]
	if !known {
		return
	}
	h.replyCount++
	h.due = append(h.due, sender)
}

func (h *heartbeatDriver) send(name string) {
	h.nextID++
	h.senders[h.nextID] = name
	gateway := &membership.Gateway{Name: name, IsReady: true}
	h.core.HandleRequest(h.nextID, &protocol.FleetSync{Gateway: gateway, FleetVersion: h.core.Fleet().Version(), LongPollMs: h.holdMs}, h.nowMs)
}

// advance advances time with one tick per step.
func (h *heartbeatDriver) advance(t *testing.T, durationMs, stepMs int64) {
	for end := h.nowMs + durationMs; h.nowMs < end; {
		h.nowMs += stepMs
		h.core.Tick(h.nowMs)
		flush(t, h.core)
		due := h.due
		h.due = nil
		for _, name := range due {
			if h.frozen[name] {
				h.due = append(h.due, name)
				continue
			}
			h.send(name)
		}
		flush(t, h.core)
	}
}

func (h *heartbeatDriver) listedGateways() []string {
	var names []string
	for _, gateway := range h.core.Fleet().Gateways() {
		names = append(names, gateway.Name)
	}
	return names
}

// TestFrozenGatewayLeavesTheFleet checks that a frozen gateway is removed from the fleet, and that
// the leader does not count a pause of its own process as silence of the gateways.
func TestFrozenGatewayLeavesTheFleet(t *testing.T) {
	Convey("with gateways that send heartbeats to the leader", t, func() {
		transport := &encodingTransport{t: t}
		h := &heartbeatDriver{core: leadingCore(t, transport), senders: map[RequestID]string{}, frozen: map[string]bool{}, holdMs: testHoldMs}
		transport.onReply = h.handleReply
		h.nowMs = h.core.nowMs
		tickMs := h.core.options.TickMs
		for _, name := range []string{"a", "b", "c"} {
			h.send(name)
		}
		h.advance(t, 5000, tickMs)
		So(h.listedGateways(), ShouldResemble, []string{"a", "b", "c"})
		Convey("a frozen gateway is removed soon and returns with its next heartbeat", func() {
			h.frozen["b"] = true
			h.advance(t, testHoldMs+gatewayRepollTimeoutMs+fleetPlanIntervalMs+4*tickMs, tickMs)
			So(h.listedGateways(), ShouldResemble, []string{"a", "c"})
			h.frozen["b"] = false
			h.advance(t, 4*tickMs, tickMs)
			So(h.listedGateways(), ShouldResemble, []string{"a", "b", "c"})
		})
		Convey("a leader that was frozen itself removes no gateway", func() {
			version := h.core.Fleet().Version()
			h.advance(t, 20_000, 20_000)
			h.advance(t, 1000, tickMs)
			So(h.core.Fleet().Version(), ShouldEqual, version)
		})
	})
}

// TestHoldTimeGrowsWithGateways checks that the heartbeats of a few gateways are held so briefly
// that a frozen one is detected soon, and that many gateways do not cause a higher rate of
// heartbeats at the leader.
func TestHoldTimeGrowsWithGateways(t *testing.T) {
	const longHoldMs = 700
	newDriver := func(gateways int) *heartbeatDriver {
		transport := &encodingTransport{t: t}
		h := &heartbeatDriver{core: leadingCore(t, transport), senders: map[RequestID]string{}, frozen: map[string]bool{}, holdMs: longHoldMs}
		transport.onReply = h.handleReply
		h.nowMs = h.core.nowMs
		for number := range gateways {
			h.send(fmt.Sprintf("gateway-%d", number))
		}
		h.advance(t, 3000, h.core.options.TickMs)
		return h
	}
	Convey("a frozen one among a few gateways is removed soon although they allow a long hold", t, func() {
		h := newDriver(20)
		h.frozen["gateway-7"] = true
		h.advance(t, minHoldMs+gatewayRepollTimeoutMs+fleetPlanIntervalMs+4*h.core.options.TickMs, h.core.options.TickMs)
		So(h.listedGateways(), ShouldHaveLength, 19)
	})
	Convey("a frozen gateway that received a small update is removed within the shorter timeout, and large updates do not count as small", t, func() {
		h := newDriver(20)
		tickMs := h.core.options.TickMs
		h.frozen["gateway-7"] = true
		const reportID = 1 << 40
		report := &membership.ServingEngine{ID: "e", Backend: "b", Address: "e", Slots: 8, Sequence: 1}
		h.core.HandleRequest(reportID, &protocol.FleetRequest{Report: report}, h.nowMs)
		h.advance(t, fleetNotifyIntervalMs+gatewaySmallUpdateRepollTimeoutMs+fleetPlanIntervalMs+4*tickMs, tickMs)
		So(h.listedGateways(), ShouldHaveLength, 19)
		replyWithEngines := func(engines int) *protocol.FleetSyncReply {
			return &protocol.FleetSyncReply{Fleet: protocol.NewShared(membership.FleetDelta{Engines: make([]membership.ServingEngine, engines)})}
		}
		So(h.core.isSmallUpdate(&protocol.FleetSyncReply{}), ShouldBeTrue)
		So(h.core.isSmallUpdate(replyWithEngines(maxSmallUpdateEntries)), ShouldBeTrue)
		So(h.core.isSmallUpdate(replyWithEngines(maxSmallUpdateEntries+1)), ShouldBeFalse)
	})
	Convey("many gateways send no more heartbeats than the hold time that they allow requires", t, func() {
		h := newDriver(800)
		before := h.replyCount
		h.advance(t, 2*longHoldMs, h.core.options.TickMs)
		So(h.replyCount-before, ShouldBeLessThanOrEqualTo, 2*800)
	})
	Convey("the heartbeats of an intermediate number of gateways stay near the maximum rate of hold expiries", t, func() {
		h := newDriver(150)
		before := h.replyCount
		h.advance(t, 2000, h.core.options.TickMs)
		So(h.replyCount-before, ShouldBeBetween, 1.5*maxHoldExpiriesPerSecond, 2*maxHoldExpiriesPerSecond+150)
	})
}
