package simulation

import (
	"fmt"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/scheduler"
	"github.com/ochrebay/ochrebay/internal/sidecar"
)

// schedulerNode is one scheduler.
type schedulerNode struct {
	*process
	core     *scheduler.Core
	sinks    map[scheduler.SinkID]sinkRoute
	nextSink scheduler.SinkID
	attempts map[scheduler.AttemptID]*engineRun
	members  []string
	polling  map[string]bool
	polls    int
}

type sinkRoute struct {
	node *sidecarNode
	life int
	send sidecar.OutboundRequestID
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
	held := n.polls%scheduler.CachedProgramsEveryPolls == 0
	n.polls++
	for _, info := range n.core.Engines() {
		target := n.world.engine(info.Name)
		if target == nil || n.polling[info.Name] {
			continue
		}
		life := n.life
		n.polling[info.Name] = true
		n.world.network.send(n.process, target.process, 0, "state", func() {
			state := target.report()
			if !held {
				state.CachedPrograms = nil
				state.CachedProgramsOmitted = true
			}
			n.world.network.send(target.process, n.process, life, "state", func() {
				n.polling[info.Name] = false
				n.core.HandleEngineState(info.Name, state, true, n.nowMs())
			}, nil)
		}, func() {
			n.polling[info.Name] = false
			n.core.HandleEngineState(info.Name, engine.State{}, false, n.nowMs())
		})
		// A request without an answer is given up after its timeout.
		n.world.after(2_000_000, "state timeout", func() {
			if n.alive && n.life == life {
				n.polling[info.Name] = false
			}
		})
	}
}

// SendControlRequest is the core's outlet to control processes.
func (n *schedulerNode) SendControlRequest(member string, id scheduler.ControlID, kind protocol.Kind, request any) {
	for _, target := range n.world.controls {
		if target.name != member {
			continue
		}
		life := n.life
		target.ask(n.process, kind, request, func(reply any) {
			if n.alive && n.life == life {
				n.core.HandleControlReply(id, reply, n.nowMs())
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
	if answer, ok := message.(*protocol.CallReply); ok && answer.Error != nil {
		n.world.tell("%s answers %s: %s", n.name, node.name, answer.Error)
	}
	raw := mustEncode(message)
	n.world.network.send(n.process, node.process, route.life, "reply", func() { node.take(route.send, kind, raw) }, func() {
		if _, still := n.sinks[sink]; still {
			delete(n.sinks, sink)
			n.core.HandleSinkClosed(sink)
		}
		node.connectionLost(route)
	})
}

// StartAttempt is the core's outlet to engines.
func (n *schedulerNode) StartAttempt(run scheduler.EngineAttempt) {
	target := n.world.engine(run.Engine.Name)
	started := &engineRun{attempt: run.ID, scheduler: n, life: n.life, engine: target}
	n.attempts[run.ID] = started
	failed := func(ran bool) func() {
		return func() { n.ended(started, engine.CompletionOutcome{MayHaveStarted: ran, Err: errEngineLost}) }
	}
	if target == nil {
		n.world.after(connectRefused, "refused", failed(false))
		return
	}
	request := run.Request
	n.world.network.send(n.process, target.process, 0, "run", func() { target.run(started, request, failed) }, failed(false))
}

func (n *schedulerNode) ended(run *engineRun, outcome engine.CompletionOutcome) {
	if !n.alive || n.life != run.life || n.attempts[run.attempt] != run {
		return
	}
	delete(n.attempts, run.attempt)
	n.core.HandleCompletion(run.attempt, outcome, n.nowMs())
}

// StopAttempt closes a run's stream.
func (n *schedulerNode) StopAttempt(attempt scheduler.AttemptID) {
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

// SendOrder gives an engine a fenced order.
func (n *schedulerNode) SendOrder(target membership.Engine, order engine.Order) {
	if node := n.world.engine(target.Name); node != nil {
		n.world.network.send(n.process, node.process, 0, "order", func() { node.order(order) }, nil)
	}
}

// ReleasePrograms tells an engine to drop programs.
func (n *schedulerNode) ReleasePrograms(target membership.Engine, programs []string) {
	if node := n.world.engine(target.Name); node != nil {
		n.world.network.send(n.process, node.process, 0, "release", func() { node.release(programs) }, nil)
	}
}

func (n *schedulerNode) takeCall(from *sidecarNode, life int, id sidecar.OutboundRequestID, kind protocol.Kind, raw []byte, lost func()) {
	n.nextSink++
	sink := n.nextSink
	open := n.open(from.process, lost)
	n.sinks[sink] = sinkRoute{node: from, life: life, send: id, open: open}
	if kind == protocol.KindFollow {
		var request protocol.FollowRequest
		mustDecode(raw, &request)
		n.core.HandleFollow(sink, &request, n.nowMs())
		return
	}
	var request protocol.CallRequest
	mustDecode(raw, &request)
	n.core.HandleCall(sink, &request, n.nowMs())
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
