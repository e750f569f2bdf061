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
	ledgerGroupsMax = 4
	compactEntries  = 200
)

// mustEncode copies a message as the wire would, so that no two processes share
// memory.
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

// controlNode is one control process.
type controlNode struct {
	*process
	disk    *disk
	options control.Options
	core    *control.Core
	replies map[control.RequestID]func(reply any)
	next    control.RequestID
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
		node.options = control.DefaultOptions(member.Name, members, min(w.deployment.LedgerGroups, ledgerGroupsMax))
		node.options.CompactAfterEntries = compactEntries
		w.disableControl(&node.options)
		node.start = node.boot
		node.stopped = func() { node.disk.crash() }
		w.controls = append(w.controls, node)
	}
}

func (w *world) newDisk() *disk {
	fresh := newDisk(consensus.ReplicaID(w.random.Uint64() | 1))
	fresh.keepUnsynced = w.isDisabled("sync")
	return fresh
}

func (n *controlNode) boot() {
	n.replies = map[control.RequestID]func(any){}
	core, err := control.NewCore(n.options, n.disk, n, n.nowMs())
	if err != nil {
		n.world.checks.violate("restart", "%s: %v", n.name, err)
		return
	}
	n.core = core
	n.every(controlTickUs, n.name, func() { n.act(func() { n.core.Tick(n.nowMs()) }) })
	n.every(platformPollUs, n.name+" list", func() {
		n.act(func() { n.core.SetInstances(n.world.platform.list()) })
	})
}

// act runs something on the core and carries out what it has ready; a process
// that dies in a write is dead.
func (n *controlNode) act(run func()) {
	if !n.alive {
		return
	}
	run()
	if err := n.core.Flush(); err != nil {
		n.world.tell("%s dies in a write (write kept: %t)", n.name, n.disk.crashAfter)
		n.kill(false)
		n.world.after(n.world.between(200_000, 3_000_000), "restart", n.restart)
	}
	n.world.checks.observeControl(n)
}

// Send is the core's outlet to other control processes.
func (n *controlNode) Send(member string, kind protocol.Kind, message any) {
	for _, other := range n.world.controls {
		if other.name != member {
			continue
		}
		raw := mustEncode(message)
		n.world.network.sendLoose(n.process, other.process, func() { other.takePeer(kind, raw) })
	}
}

func (n *controlNode) takePeer(kind protocol.Kind, raw []byte) {
	if kind == protocol.KindHello {
		var hello protocol.Hello
		mustDecode(raw, &hello)
		n.act(func() { n.core.HandleHello(hello, n.nowMs()) })
		return
	}
	var batch protocol.PeerBatch
	mustDecode(raw, &batch)
	n.act(func() { n.core.HandlePeerBatch(batch, n.nowMs()) })
}

// Reply is the core's outlet to whoever asked.
func (n *controlNode) Reply(request control.RequestID, reply any) {
	if answer, ok := n.replies[request]; ok {
		delete(n.replies, request)
		answer(reply)
	}
}

// ask carries a request of another process to the node and its reply, or nil,
// back.
func (n *controlNode) ask(from *process, kind protocol.Kind, message any, reply func(decoded any)) {
	w := n.world
	raw := mustEncode(message)
	fromLife := from.life
	w.network.send(from, n.process, 0, "ask", func() {
		request := protocol.NewRequest(kind)
		mustDecode(raw, request)
		open := n.open(from, func() { reply(nil) })
		n.next++
		n.replies[n.next] = func(answer any) {
			delete(n.pending, open)
			encoded := mustEncode(answer)
			w.network.send(n.process, from, fromLife, "reply", func() {
				decoded := protocol.NewReply(kind)
				mustDecode(encoded, decoded)
				if ledger, ok := decoded.(*protocol.LedgerReply); ok && ledger.Reply.Error != nil {
					w.tell("%s tells %s: %s", n.name, from.name, ledger.Reply.Error)
				}
				reply(decoded)
			}, func() {
				if from.alive && from.life == fromLife {
					from.receive(func() { reply(nil) })
				}
			})
		}
		n.act(func() { n.core.HandleRequest(n.next, request, n.nowMs()) })
	}, func() { reply(nil) })
}
