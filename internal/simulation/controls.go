package simulation

import (
	"fmt"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/scheduler"
)

const (
	controlTickUs   = 50_000
	daemonTickUs    = 50_000
	enginePollUs    = scheduler.StatePollIntervalMs * microsPerMilli
	platformPollUs  = 500_000
	drainCheckUs    = 20_000
	drainTimeoutUs  = 60_000_000
	maxLedgerGroups = 4
	compactEntries  = 200
)

// mustEncode encodes a message as for the wire, so that no two processes share memory.
func mustEncode(message any) []byte {
	raw, err := protocol.Encode(message)
	if err != nil {
		panic(fmt.Sprintf("simulation: encoding %T: %v", message, err))
	}
	return raw
}

func mustDecode(raw []byte, message any) {
	if err := protocol.Decode(raw, message); err != nil {
		panic(fmt.Sprintf("simulation: decoding %T: %v", message, err))
	}
}

// controlNode is a simulated control process.
type controlNode struct {
	*process
	disk           *disk
	options        control.Options
	core           *control.Core
	replyCallbacks map[control.RequestID]func(reply any)
	lastRequest    control.RequestID
}

func (w *world) addControls() {
	var members []control.Member
	for number := range w.deployment.ControlCount {
		zone := w.deployment.Zones[number%len(w.deployment.Zones)]
		members = append(members, control.Member{Name: fmt.Sprintf("control-%d", number+1), Zone: zone, Address: "-"})
	}
	for _, member := range members {
		node := &controlNode{process: w.newProcess(member.Name, member.Zone)}
		node.disk = w.newDisk()
		node.options = control.DefaultOptions(member.Name, members, min(w.deployment.LedgerGroups, maxLedgerGroups))
		node.options.CompactAfterEntries = compactEntries
		w.disableControlMechanisms(&node.options)
		node.onStart = node.boot
		node.onStop = func() { node.disk.crash() }
		w.controls = append(w.controls, node)
	}
}

func (w *world) newDisk() *disk {
	created := newDisk(consensus.ReplicaID(w.random.Uint64() | 1))
	created.delaysSync = w.isDisabled("sync")
	return created
}

func (n *controlNode) boot() {
	n.replyCallbacks = map[control.RequestID]func(any){}
	core, err := control.NewCore(n.options, n.disk, n, n.nowMs())
	if err != nil {
		n.world.checks.reportViolation("restart", "%s: %v", n.name, err)
		return
	}
	n.core = core
	n.runPeriodically(controlTickUs, n.name, func() { n.runAndFlush(func() { n.core.Tick(n.nowMs()) }) })
	n.runPeriodically(platformPollUs, n.name+" list", func() {
		n.runAndFlush(func() { n.core.SetInstances(n.world.platform.instances()) })
	})
}

// runAndFlush runs run on the core and flushes the writes and messages of the core. If a
// write fails, the process dies and restarts later.
func (n *controlNode) runAndFlush(run func()) {
	if !n.isAlive {
		return
	}
	run()
	if err := n.core.Flush(); err != nil {
		n.world.tracef("%s crashes during a write (write persisted: %t)", n.name, n.disk.crashPersistsWrite)
		n.kill(false)
		n.world.after(n.world.randomBetween(200_000, 3_000_000), "restart", n.restart)
	}
	n.world.checks.observeControl(n)
}

// Send sends a message of the core to another control process.
func (n *controlNode) Send(member string, kind protocol.Kind, message any) {
	for _, other := range n.world.controls {
		if other.name != member {
			continue
		}
		raw := mustEncode(message)
		n.world.network.sendUnreliable(n.process, other.process, func() { other.handlePeerMessage(kind, raw) })
	}
}

func (n *controlNode) handlePeerMessage(kind protocol.Kind, raw []byte) {
	if kind == protocol.KindHello {
		var hello protocol.Hello
		mustDecode(raw, &hello)
		n.runAndFlush(func() { n.core.HandleHello(hello, n.nowMs()) })
		return
	}
	var batch protocol.PeerBatch
	mustDecode(raw, &batch)
	n.runAndFlush(func() { n.core.HandlePeerBatch(batch, n.nowMs()) })
}

// Reply sends the reply of the core to the requester.
func (n *controlNode) Reply(request control.RequestID, reply any) {
	if answer, ok := n.replyCallbacks[request]; ok {
		delete(n.replyCallbacks, request)
		answer(reply)
	}
}

// handleRequestFrom carries a request of another process to the node and its reply back.
// The requester gets a nil reply if the request or the reply is lost.
func (n *controlNode) handleRequestFrom(from *process, kind protocol.Kind, message any, reply func(decoded any)) {
	w := n.world
	raw := mustEncode(message)
	senderIncarnation := from.incarnation
	w.network.send(from, n.process, 0, "ask", func() {
		request := protocol.NewRequest(kind)
		mustDecode(raw, request)
		open := n.trackRequest(from, func() { reply(nil) })
		n.lastRequest++
		n.replyCallbacks[n.lastRequest] = func(answer any) {
			delete(n.openRequests, open)
			encoded := mustEncode(answer)
			w.network.send(n.process, from, senderIncarnation, "reply", func() {
				decoded := protocol.NewReply(kind)
				mustDecode(encoded, decoded)
				if ledger, ok := decoded.(*protocol.LedgerReply); ok && ledger.Reply.Error != nil {
					w.tracef("%s replies to %s: %s", n.name, from.name, ledger.Reply.Error)
				}
				reply(decoded)
			}, func() {
				if from.isAlive && from.incarnation == senderIncarnation {
					from.receive(func() { reply(nil) })
				}
			})
		}
		n.runAndFlush(func() { n.core.HandleRequest(n.lastRequest, request, n.nowMs()) })
	}, func() { reply(nil) })
}
