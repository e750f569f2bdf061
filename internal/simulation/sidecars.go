package simulation

import (
	"fmt"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/sidecar"
)

// sidecarNode is a simulated sidecar.
type sidecarNode struct {
	*process
	core       *sidecar.Core
	attempts   map[sidecar.CallID]*callerAttempt
	lastCaller sidecar.CallID
}

func (w *world) addSidecars() {
	for _, count := range w.deployment.Sidecars {
		for number := range count.Count {
			node := &sidecarNode{process: w.newProcess(fmt.Sprintf("sidecar-%s-%d", count.Zone, number+1), count.Zone)}
			node.onStart = node.boot
			w.sidecars = append(w.sidecars, node)
		}
	}
}

func (n *sidecarNode) boot() {
	n.attempts = map[sidecar.CallID]*callerAttempt{}
	var seeds []membership.Scheduler
	for _, known := range n.world.schedulers {
		seed := membership.Scheduler{Name: known.name, Zone: known.zone, Address: known.name}
		if known.zone == n.zone {
			seeds = append([]membership.Scheduler{seed}, seeds...)
		} else {
			seeds = append(seeds, seed)
		}
	}
	options := sidecar.DefaultOptions(n.name, n.zone, seeds)
	n.world.disableSidecarMechanisms(&options)
	n.core = sidecar.NewCore(options, n, n.nowMs())
	n.runPeriodically(daemonTickUs, n.name, func() {
		n.core.Tick(n.nowMs())
		n.world.checks.observeSidecar(n)
	})
}

// Send sends a request of the core to a scheduler.
func (n *sidecarNode) Send(address string, id sidecar.OutboundRequestID, kind protocol.Kind, request any) {
	target := n.world.schedulerByName(address)
	incarnation := n.incarnation
	lost := func() {
		if n.isAlive && n.incarnation == incarnation {
			n.core.HandleLostRequest(id, n.nowMs())
		}
	}
	if target == nil {
		n.world.after(connectRefusedDelayUs, "refused", lost)
		return
	}
	raw := mustEncode(request)
	n.world.network.send(n.process, target.process, 0, "call", func() { target.handleSidecarRequest(n, incarnation, id, kind, raw, lost) }, lost)
}

// connectionLost reports to the sidecar that the reply of the scheduler cannot arrive.
func (n *sidecarNode) connectionLost(route sinkRoute) {
	n.world.after(lossNoticeDelayUs, "reset", func() {
		if n.isAlive && n.incarnation == route.sidecarIncarnation {
			n.receive(func() { n.core.HandleLostRequest(route.sendID, n.nowMs()) })
		}
	})
}

// Notify sends a one-way message to a scheduler.
func (n *sidecarNode) Notify(address string, _ protocol.Kind, message any) {
	target := n.world.schedulerByName(address)
	if target == nil {
		return
	}
	raw := mustEncode(message)
	n.world.network.send(n.process, target.process, 0, "cancel", func() {
		var cancel protocol.Cancel
		mustDecode(raw, &cancel)
		target.core.HandleCancel(&cancel, target.nowMs())
	}, nil)
}

// handleFrame passes a frame from a scheduler to the core.
func (n *sidecarNode) handleFrame(id sidecar.OutboundRequestID, kind protocol.Kind, raw []byte) {
	switch kind {
	case protocol.KindCallChunk:
		var chunk protocol.CallChunk
		mustDecode(raw, &chunk)
		n.core.HandleChunk(id, &chunk, n.nowMs())
	case protocol.KindCallReply:
		var answer protocol.CallReply
		mustDecode(raw, &answer)
		n.core.HandleCallReply(id, &answer, n.nowMs())
	default:
		var reply protocol.FollowReply
		mustDecode(raw, &reply)
		n.core.HandleFollowReply(id, &reply, n.nowMs())
	}
}

// Deliver sends the next text of a response to the caller.
func (n *sidecarNode) Deliver(id sidecar.CallID, text string) {
	if send, ok := n.attempts[id]; ok {
		send.deliver(text)
	}
}

// Finish ends the request of a caller with its final reply.
func (n *sidecarNode) Finish(id sidecar.CallID, answer *protocol.CallReply) {
	if send, ok := n.attempts[id]; ok {
		delete(n.attempts, id)
		send.finish(answer)
	}
}
