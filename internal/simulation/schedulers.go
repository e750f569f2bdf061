package simulation

import (
	"fmt"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/scheduler"
	"github.com/ochrebay/ochrebay/internal/sidecar"
)

// schedulerNode is a simulated scheduler.
type schedulerNode struct {
	*process
	core           *scheduler.Core
	sinkRoutes     map[scheduler.SinkID]sinkRoute
	lastSink       scheduler.SinkID
	attempts       map[scheduler.AttemptID]*engineAttempt
	controlMembers []string
	isPolling      map[string]bool
	pollRounds     int
}

type sinkRoute struct {
	sidecar            *sidecarNode
	sidecarIncarnation int
	sendID             sidecar.OutboundRequestID
	openRequestID      uint64
}

// engineAttempt is an attempt to run a call on an engine. jobID is empty until the engine
// has started it.
type engineAttempt struct {
	id                   scheduler.AttemptID
	scheduler            *schedulerNode
	schedulerIncarnation int
	engine               *engineNode
	jobID                string
	isStopped            bool
	openRequestID        uint64
}

func (w *world) addSchedulers() {
	for _, count := range w.deployment.Schedulers {
		for number := range count.Count {
			node := &schedulerNode{process: w.newProcess(fmt.Sprintf("scheduler-%s-%d", count.Zone, number+1), count.Zone)}
			for _, member := range w.controls {
				if member.zone == node.zone {
					node.controlMembers = append([]string{member.name}, node.controlMembers...)
				} else {
					node.controlMembers = append(node.controlMembers, member.name)
				}
			}
			node.onStart = node.boot
			w.schedulers = append(w.schedulers, node)
		}
	}
}

func (n *schedulerNode) boot() {
	n.sinkRoutes = map[scheduler.SinkID]sinkRoute{}
	n.attempts = map[scheduler.AttemptID]*engineAttempt{}
	n.isPolling = map[string]bool{}
	options := scheduler.DefaultOptions(n.name, n.zone, n.name, uint64(n.world.nowUs)<<8|uint64(n.incarnation), n.controlMembers)
	n.world.disableSchedulerMechanisms(&options)
	n.core = scheduler.NewCore(options, n, n.nowMs())
	n.world.checks.observeSchedulerStart(n)
	n.runPeriodically(daemonTickUs, n.name, func() {
		n.core.Tick(n.nowMs())
		n.world.checks.observeScheduler(n)
	})
	n.runPeriodically(enginePollUs, n.name+" poll", n.pollEngines)
}

// pollEngines requests the state of every engine that the scheduler lists and that has
// no poll in flight.
func (n *schedulerNode) pollEngines() {
	includesCachedPrograms := n.pollRounds%scheduler.CachedProgramsEveryPolls == 0
	n.pollRounds++
	for _, info := range n.core.Engines() {
		target := n.world.engineByName(info.Name)
		if target == nil || n.isPolling[info.Name] {
			continue
		}
		incarnation := n.incarnation
		n.isPolling[info.Name] = true
		n.world.network.send(n.process, target.process, 0, "state", func() {
			state := target.stateReport()
			if !includesCachedPrograms {
				state.CachedPrograms = nil
				state.CachedProgramsOmitted = true
			}
			n.world.network.send(target.process, n.process, incarnation, "state", func() {
				n.isPolling[info.Name] = false
				n.core.HandleEngineState(info.Name, state, true, n.nowMs())
			}, nil)
		}, func() {
			n.isPolling[info.Name] = false
			n.core.HandleEngineState(info.Name, engine.State{}, false, n.nowMs())
		})
		// A poll without a reply is abandoned after its timeout.
		n.world.after(2_000_000, "state timeout", func() {
			if n.isAlive && n.incarnation == incarnation {
				n.isPolling[info.Name] = false
			}
		})
	}
}

// SendControlRequest sends a request of the core to a control process.
func (n *schedulerNode) SendControlRequest(member string, id scheduler.ControlID, kind protocol.Kind, request any) {
	for _, target := range n.world.controls {
		if target.name != member {
			continue
		}
		incarnation := n.incarnation
		target.handleRequestFrom(n.process, kind, request, func(reply any) {
			if n.isAlive && n.incarnation == incarnation {
				n.core.HandleControlReply(id, reply, n.nowMs())
			}
		})
	}
}

// Reply sends a reply of the core to the sidecar behind the sink.
func (n *schedulerNode) Reply(sink scheduler.SinkID, kind protocol.Kind, message any, last bool) {
	route, ok := n.sinkRoutes[sink]
	if !ok {
		return
	}
	node := route.sidecar
	if last {
		delete(n.sinkRoutes, sink)
		delete(n.openRequests, route.openRequestID)
	}
	if answer, ok := message.(*protocol.CallReply); ok && answer.Error != nil {
		n.world.tracef("%s replies to %s: %s", n.name, node.name, answer.Error)
	}
	raw := mustEncode(message)
	n.world.network.send(n.process, node.process, route.sidecarIncarnation, "reply", func() { node.handleFrame(route.sendID, kind, raw) }, func() {
		if _, still := n.sinkRoutes[sink]; still {
			delete(n.sinkRoutes, sink)
			n.core.HandleSinkClosed(sink)
		}
		node.connectionLost(route)
	})
}

// StartAttempt starts an attempt of the core on its engine.
func (n *schedulerNode) StartAttempt(run scheduler.EngineAttempt) {
	target := n.world.engineByName(run.Engine.Name)
	attempt := &engineAttempt{id: run.ID, scheduler: n, schedulerIncarnation: n.incarnation, engine: target}
	n.attempts[run.ID] = attempt
	endWithLoss := func(mayHaveStarted bool) func() {
		return func() {
			n.endAttempt(attempt, engine.CompletionOutcome{MayHaveStarted: mayHaveStarted, Err: errEngineLost})
		}
	}
	if target == nil {
		n.world.after(connectRefusedDelayUs, "refused", endWithLoss(false))
		return
	}
	request := run.Request
	n.world.network.send(n.process, target.process, 0, "run", func() { target.startAttempt(attempt, request, endWithLoss) }, endWithLoss(false))
}

func (n *schedulerNode) endAttempt(run *engineAttempt, outcome engine.CompletionOutcome) {
	if !n.isAlive || n.incarnation != run.schedulerIncarnation || n.attempts[run.id] != run {
		return
	}
	delete(n.attempts, run.id)
	n.core.HandleCompletion(run.id, outcome, n.nowMs())
}

// StopAttempt closes the stream of an attempt.
func (n *schedulerNode) StopAttempt(attempt scheduler.AttemptID) {
	run, ok := n.attempts[attempt]
	if !ok {
		return
	}
	delete(n.attempts, attempt)
	run.isStopped = true
	if run.engine != nil {
		n.world.network.send(n.process, run.engine.process, 0, "stop", func() { run.engine.cancel(run) }, nil)
	}
}

// SendOrder sends a fenced order to an engine.
func (n *schedulerNode) SendOrder(target membership.Engine, order engine.Order) {
	if node := n.world.engineByName(target.Name); node != nil {
		n.world.network.send(n.process, node.process, 0, "order", func() { node.handleOrder(order) }, nil)
	}
}

// ReleasePrograms asks an engine to release cached programs.
func (n *schedulerNode) ReleasePrograms(target membership.Engine, programs []string) {
	if node := n.world.engineByName(target.Name); node != nil {
		n.world.network.send(n.process, node.process, 0, "release", func() { node.releasePrograms(programs) }, nil)
	}
}

func (n *schedulerNode) handleSidecarRequest(sender *sidecarNode, senderIncarnation int, id sidecar.OutboundRequestID, kind protocol.Kind, raw []byte, lost func()) {
	n.lastSink++
	sink := n.lastSink
	open := n.trackRequest(sender.process, lost)
	n.sinkRoutes[sink] = sinkRoute{sidecar: sender, sidecarIncarnation: senderIncarnation, sendID: id, openRequestID: open}
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

func (w *world) engineByName(name string) *engineNode {
	for _, node := range w.engines {
		if node.name == name {
			return node
		}
	}
	return nil
}

func (w *world) schedulerByName(name string) *schedulerNode {
	for _, node := range w.schedulers {
		if node.name == name {
			return node
		}
	}
	return nil
}
