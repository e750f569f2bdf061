package simulation

import (
	"fmt"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/scheduler"
	"github.com/ochrebay/ochrebay/internal/sidecar"
)

const (
	controlTickUs   = 50_000
	daemonTickUs    = 50_000
	enginePollUs    = 250_000
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
	for number := range w.deployment.Controls {
		zone := w.deployment.Zones[number%len(w.deployment.Zones)]
		members = append(members, control.Member{Name: fmt.Sprintf("control-%d", number+1), Zone: zone, Address: "-"})
	}
	for _, member := range members {
		node := &controlNode{process: w.newProcess(member.Name, member.Zone)}
		node.disk = w.newDisk()
		node.options = control.DefaultOptions(member.Name, members, min(w.deployment.LedgerGroups, ledgerGroupsMax))
		node.options.CompactEntries = compactEntries
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
		n.act(func() { n.core.Listed(n.world.platform.list()) })
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
		n.act(func() { n.core.Hello(hello, n.nowMs()) })
		return
	}
	var batch protocol.PeerBatch
	mustDecode(raw, &batch)
	n.act(func() { n.core.Peer(batch, n.nowMs()) })
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
		request := requestOf(kind)
		mustDecode(raw, request)
		open := n.open(from, func() { reply(nil) })
		n.next++
		n.replies[n.next] = func(answer any) {
			delete(n.pending, open)
			encoded := mustEncode(answer)
			w.network.send(n.process, from, fromLife, "reply", func() {
				decoded := replyOf(kind)
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
		n.act(func() { n.core.Request(n.next, request, n.nowMs()) })
	}, func() { reply(nil) })
}

func requestOf(kind protocol.Kind) any {
	switch kind {
	case protocol.KindLedger:
		return &protocol.LedgerRequest{}
	case protocol.KindSync:
		return &protocol.SyncRequest{}
	case protocol.KindReleased:
		return &protocol.ReleasedRequest{}
	case protocol.KindPermit:
		return &protocol.PermitRequest{}
	case protocol.KindSettings:
		return &protocol.SettingsRequest{}
	}
	return &protocol.ReadRequest{}
}

func replyOf(kind protocol.Kind) any {
	switch kind {
	case protocol.KindLedger:
		return &protocol.LedgerReply{}
	case protocol.KindSync:
		return &protocol.SyncReply{}
	case protocol.KindReleased:
		return &protocol.ReleasedReply{}
	case protocol.KindPermit:
		return &protocol.PermitReply{}
	case protocol.KindSettings:
		return &protocol.SettingsReply{}
	}
	return &protocol.ReadReply{}
}

// schedulerNode is one scheduler.
type schedulerNode struct {
	*process
	core     *scheduler.Core
	sinks    map[scheduler.SinkID]sinkRoute
	nextSink scheduler.SinkID
	attempts map[scheduler.AttemptID]*engineRun
	members  []string
	polling  map[string]bool
}

type sinkRoute struct {
	node *sidecarNode
	life int
	send sidecar.SendID
	open uint64
}

// engineRun is one call under way on an engine.
type engineRun struct {
	attempt   scheduler.AttemptID
	scheduler *schedulerNode
	life      int
	engine    *engineNode
	job       string
	stopped   bool
	openID    uint64
}

func (w *world) addSchedulers() {
	for _, count := range w.deployment.Schedulers {
		for number := range count.Count {
			node := &schedulerNode{process: w.newProcess(fmt.Sprintf("scheduler-%s-%d", count.Zone, number+1), count.Zone)}
			for _, member := range w.controls {
				if member.zone == node.zone {
					node.members = append([]string{member.name}, node.members...)
				} else {
					node.members = append(node.members, member.name)
				}
			}
			node.start = node.boot
			w.schedulers = append(w.schedulers, node)
		}
	}
}

func (n *schedulerNode) boot() {
	n.sinks = map[scheduler.SinkID]sinkRoute{}
	n.attempts = map[scheduler.AttemptID]*engineRun{}
	n.polling = map[string]bool{}
	options := scheduler.DefaultOptions(n.name, n.zone, n.name, uint64(n.world.nowUs)<<8|uint64(n.life), n.members)
	n.world.disableScheduler(&options)
	n.core = scheduler.NewCore(options, n, n.nowMs())
	n.world.checks.startedScheduler(n)
	n.every(daemonTickUs, n.name, func() {
		n.core.Tick(n.nowMs())
		n.world.checks.observeScheduler(n)
	})
	n.every(enginePollUs, n.name+" poll", n.poll)
}

// poll asks each engine of the cell for its state.
func (n *schedulerNode) poll() {
	for _, info := range n.core.Engines() {
		target := n.world.engine(info.Name)
		if target == nil || n.polling[info.Name] {
			continue
		}
		life := n.life
		n.polling[info.Name] = true
		n.world.network.send(n.process, target.process, 0, "state", func() {
			state := target.report()
			n.world.network.send(target.process, n.process, life, "state", func() {
				n.polling[info.Name] = false
				n.core.EngineReport(info.Name, state, true, n.nowMs())
			}, nil)
		}, func() {
			n.polling[info.Name] = false
			n.core.EngineReport(info.Name, engine.State{}, false, n.nowMs())
		})
		// A request without an answer is given up after its timeout.
		n.world.after(2_000_000, "state timeout", func() {
			if n.alive && n.life == life {
				n.polling[info.Name] = false
			}
		})
	}
}

// Control is the core's outlet to control processes.
func (n *schedulerNode) Control(member string, id scheduler.ControlID, kind protocol.Kind, request any) {
	for _, target := range n.world.controls {
		if target.name != member {
			continue
		}
		life := n.life
		target.ask(n.process, kind, request, func(reply any) {
			if n.alive && n.life == life {
				n.core.ControlReply(id, reply, n.nowMs())
			}
		})
	}
}

// Reply is the core's outlet to sidecars.
func (n *schedulerNode) Reply(sink scheduler.SinkID, kind protocol.Kind, message any, last bool) {
	route, ok := n.sinks[sink]
	if !ok {
		return
	}
	node := route.node
	if last {
		delete(n.sinks, sink)
		delete(n.pending, route.open)
	}
	if answer, ok := message.(*protocol.Answer); ok && answer.Error != nil {
		n.world.tell("%s answers %s: %s", n.name, node.name, answer.Error)
	}
	raw := mustEncode(message)
	n.world.network.send(n.process, node.process, route.life, "reply", func() { node.take(route.send, kind, raw) }, func() {
		if _, still := n.sinks[sink]; still {
			delete(n.sinks, sink)
			n.core.Gone(sink)
		}
		node.connectionLost(route)
	})
}

// Start is the core's outlet to engines.
func (n *schedulerNode) Start(run scheduler.Run) {
	target := n.world.engine(run.Engine.Name)
	started := &engineRun{attempt: run.Attempt, scheduler: n, life: n.life, engine: target}
	n.attempts[run.Attempt] = started
	failed := func(ran bool) func() {
		return func() { n.ended(started, engine.Outcome{Started: ran, Err: errEngineLost}) }
	}
	if target == nil {
		n.world.after(connectRefused, "refused", failed(false))
		return
	}
	request := run.Request
	n.world.network.send(n.process, target.process, 0, "run", func() { target.run(started, request, failed) }, failed(false))
}

func (n *schedulerNode) ended(run *engineRun, outcome engine.Outcome) {
	if !n.alive || n.life != run.life || n.attempts[run.attempt] != run {
		return
	}
	delete(n.attempts, run.attempt)
	n.core.Ended(run.attempt, outcome, n.nowMs())
}

// Stop closes a run's stream.
func (n *schedulerNode) Stop(attempt scheduler.AttemptID) {
	run, ok := n.attempts[attempt]
	if !ok {
		return
	}
	delete(n.attempts, attempt)
	run.stopped = true
	if run.engine != nil {
		n.world.network.send(n.process, run.engine.process, 0, "stop", func() { run.engine.cancel(run) }, nil)
	}
}

// Order gives an engine a fenced order.
func (n *schedulerNode) Order(target membership.Engine, order engine.Order) {
	if node := n.world.engine(target.Name); node != nil {
		n.world.network.send(n.process, node.process, 0, "order", func() { node.order(order) }, nil)
	}
}

// Release tells an engine to drop programs.
func (n *schedulerNode) Release(target membership.Engine, programs []string) {
	if node := n.world.engine(target.Name); node != nil {
		n.world.network.send(n.process, node.process, 0, "release", func() { node.release(programs) }, nil)
	}
}

// sidecarNode is one sidecar.
type sidecarNode struct {
	*process
	core    *sidecar.Core
	callers map[sidecar.CallerID]*callerSend
	next    sidecar.CallerID
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
	n.callers = map[sidecar.CallerID]*callerSend{}
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
func (n *sidecarNode) Send(address string, id sidecar.SendID, kind protocol.Kind, request any) {
	target := n.world.scheduler(address)
	life := n.life
	lost := func() {
		if n.alive && n.life == life {
			n.core.Lost(id, n.nowMs())
		}
	}
	if target == nil {
		n.world.after(connectRefused, "refused", lost)
		return
	}
	raw := mustEncode(request)
	n.world.network.send(n.process, target.process, 0, "call", func() { target.takeCall(n, life, id, kind, raw, lost) }, lost)
}

func (n *schedulerNode) takeCall(from *sidecarNode, life int, id sidecar.SendID, kind protocol.Kind, raw []byte, lost func()) {
	n.nextSink++
	sink := n.nextSink
	open := n.open(from.process, lost)
	n.sinks[sink] = sinkRoute{node: from, life: life, send: id, open: open}
	if kind == protocol.KindFollow {
		var request protocol.FollowRequest
		mustDecode(raw, &request)
		n.core.Follow(sink, &request, n.nowMs())
		return
	}
	var request protocol.CallRequest
	mustDecode(raw, &request)
	n.core.Call(sink, &request, n.nowMs())
}

// connectionLost tells the sidecar that the scheduler's answers can't arrive.
func (n *sidecarNode) connectionLost(route sinkRoute) {
	n.world.after(lostNoticeUs, "reset", func() {
		if n.alive && n.life == route.life {
			n.receive(func() { n.core.Lost(route.send, n.nowMs()) })
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
		target.core.Cancel(&cancel, target.nowMs())
	}, nil)
}

// take is a frame from a scheduler.
func (n *sidecarNode) take(id sidecar.SendID, kind protocol.Kind, raw []byte) {
	switch kind {
	case protocol.KindPiece:
		var piece protocol.Piece
		mustDecode(raw, &piece)
		n.core.Piece(id, &piece, n.nowMs())
	case protocol.KindAnswer:
		var answer protocol.Answer
		mustDecode(raw, &answer)
		n.core.Answer(id, &answer, n.nowMs())
	default:
		var reply protocol.FollowReply
		mustDecode(raw, &reply)
		n.core.Followed(id, &reply, n.nowMs())
	}
}

// Deliver hands the next part of an answer to the caller.
func (n *sidecarNode) Deliver(id sidecar.CallerID, text string) {
	if send, ok := n.callers[id]; ok {
		send.deliver(text)
	}
}

// Finish ends a caller's request.
func (n *sidecarNode) Finish(id sidecar.CallerID, answer *protocol.Answer) {
	if send, ok := n.callers[id]; ok {
		delete(n.callers, id)
		send.finish(answer)
	}
}

func (w *world) engine(name string) *engineNode {
	for _, node := range w.engines {
		if node.name == name {
			return node
		}
	}
	return nil
}

func (w *world) scheduler(name string) *schedulerNode {
	for _, node := range w.schedulers {
		if node.name == name {
			return node
		}
	}
	return nil
}
