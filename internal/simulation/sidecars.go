package simulation

import (
	"fmt"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/sidecar"
)

// sidecarNode is one sidecar.
type sidecarNode struct {
	*process
	core    *sidecar.Core
	callers map[sidecar.CallID]*callerSend
	next    sidecar.CallID
}

func (w *world) addSidecars() {
	for _, count := range w.deployment.Sidecars {
		for number := range count.Count {
			node := &sidecarNode{process: w.newProcess(fmt.Sprintf("sidecar-%s-%d", count.Zone, number+1), count.Zone)}
			node.start = node.boot
			w.sidecars = append(w.sidecars, node)
		}
	}
}

func (n *sidecarNode) boot() {
	n.callers = map[sidecar.CallID]*callerSend{}
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
	n.world.disableSidecar(&options)
	n.core = sidecar.NewCore(options, n, n.nowMs())
	n.every(daemonTickUs, n.name, func() {
		n.core.Tick(n.nowMs())
		n.world.checks.observeSidecar(n)
	})
}

// Send is the core's outlet to schedulers.
func (n *sidecarNode) Send(address string, id sidecar.OutboundRequestID, kind protocol.Kind, request any) {
	target := n.world.scheduler(address)
	life := n.life
	lost := func() {
		if n.alive && n.life == life {
			n.core.HandleLostRequest(id, n.nowMs())
		}
	}
	if target == nil {
		n.world.after(connectRefused, "refused", lost)
		return
	}
	raw := mustEncode(request)
	n.world.network.send(n.process, target.process, 0, "call", func() { target.takeCall(n, life, id, kind, raw, lost) }, lost)
}

// connectionLost tells the sidecar that the scheduler's answers can't arrive.
func (n *sidecarNode) connectionLost(route sinkRoute) {
	n.world.after(lostNoticeUs, "reset", func() {
		if n.alive && n.life == route.life {
			n.receive(func() { n.core.HandleLostRequest(route.send, n.nowMs()) })
		}
	})
}

// Notify sends a one-way message to a scheduler.
func (n *sidecarNode) Notify(address string, _ protocol.Kind, message any) {
	target := n.world.scheduler(address)
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

// take is a frame from a scheduler.
func (n *sidecarNode) take(id sidecar.OutboundRequestID, kind protocol.Kind, raw []byte) {
	switch kind {
	case protocol.KindCallChunk:
		var piece protocol.CallChunk
		mustDecode(raw, &piece)
		n.core.HandleChunk(id, &piece, n.nowMs())
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

// Deliver hands the next part of an answer to the caller.
func (n *sidecarNode) Deliver(id sidecar.CallID, text string) {
	if send, ok := n.callers[id]; ok {
		send.deliver(text)
	}
}

// Finish ends a caller's request.
func (n *sidecarNode) Finish(id sidecar.CallID, answer *protocol.CallReply) {
	if send, ok := n.callers[id]; ok {
		delete(n.callers, id)
		send.finish(answer)
	}
}
