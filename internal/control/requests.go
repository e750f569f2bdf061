package control

import (
	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/reconcile"
	"github.com/ochrebay/ochrebay/internal/replication"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/settings"
)

// HandleRequest handles one request of a scheduler, gateway, engine, ledger host, control
// process or operator. The reply goes through the transport, now or later.
func (c *Core) HandleRequest(id RequestID, request any, nowMs int64) {
	c.setNow(nowMs)
	switch typed := request.(type) {
	case *protocol.LedgerRequest:
		c.handleLedgerRequest(id, typed)
	case *protocol.SyncRequest:
		c.handleSyncRequest(id, typed)
	case *protocol.EndedProgramsRequest:
		c.handleEndedProgramsRequest(id, typed)
	case *protocol.PermitRequest:
		c.handlePermitRequest(id, typed)
	case *protocol.SettingsRequest:
		c.handleSettingsRequest(id, typed)
	case *protocol.ReadRequest:
		c.handleReadRequest(id, typed)
	case *protocol.FleetRequest:
		c.handleFleetRequest(id, typed)
	case *protocol.FleetSync:
		c.handleFleetSync(id, typed)
	}
}

// ledGroup returns the group if this process leads it, and otherwise the leader's name
// and the error for the reply.
func (c *Core) ledGroup(id uint32) (*replication.Group, string, *result.Error) {
	if !c.formed || int(id) >= len(c.host.Groups) {
		return nil, "", result.New(result.NotLeader, "%s holds no group %d", c.options.Name, id)
	}
	group := c.host.Groups[id]
	if group.Node.Role() != consensus.Leader {
		return nil, c.leaderName(group), result.New(result.NotLeader, "%s does not lead group %d", c.options.Name, id)
	}
	return group, "", nil
}

func (c *Core) handleLedgerRequest(id RequestID, request *protocol.LedgerRequest) {
	group, leader, failure := c.ledGroup(request.Group)
	if failure != nil {
		c.transport.Reply(id, &protocol.LedgerReply{Reply: program.Reply{Error: failure}, Leader: leader})
		return
	}
	request.Command.NowMs = c.nowMs
	failure = c.host.Propose(group, &request.Command, func(reply any) {
		c.answerLedger(id, group, request, reply)
	})
	if failure != nil {
		c.transport.Reply(id, &protocol.LedgerReply{Reply: program.Reply{Error: failure}})
	}
}

func (c *Core) answerLedger(id RequestID, group *replication.Group, request *protocol.LedgerRequest, outcome any) {
	answer := &protocol.LedgerReply{}
	switch typed := outcome.(type) {
	case program.Reply:
		answer.Reply = typed
	case *result.Error:
		answer.Reply.Error = typed
	}
	if begin := request.Command.Begin; begin != nil && answer.Reply.Error == nil {
		records, err := c.recordsForGrant(group, request, answer.Reply)
		if err != nil {
			answer.Reply.Error = result.New(result.Internal, "reading turn records: %v", err)
		}
		answer.Records = records
	}
	c.transport.Reply(id, answer)
}

// recordsForGrant returns the turn records for the reply to a Begin command: the history after the
// last turn that the scheduler has cached or, if the command had been completed before, the record
// of its turn.
func (c *Core) recordsForGrant(group *replication.Group, request *protocol.LedgerRequest, reply program.Reply) ([][]byte, error) {
	name := request.Command.Begin.Program
	if reply.ClosedTurn > 0 {
		records, err := c.host.Records(group, name, reply.ClosedTurn-1)
		if len(records) > 1 {
			records = records[:1]
		}
		return records, err
	}
	if reply.Turn <= request.CachedTurn+1 {
		return nil, nil
	}
	return c.host.Records(group, name, request.CachedTurn)
}

func (c *Core) handleEndedProgramsRequest(id RequestID, request *protocol.EndedProgramsRequest) {
	group, leader, failure := c.ledGroup(request.Group)
	if failure != nil {
		c.transport.Reply(id, &protocol.EndedProgramsReply{Error: failure, Leader: leader})
		return
	}
	c.host.LinearizableRead(group, func(failure *result.Error) {
		if failure != nil {
			c.transport.Reply(id, &protocol.EndedProgramsReply{Error: failure})
			return
		}
		ledger := group.StateMachine.(*ledgerStateMachine).ledger
		c.transport.Reply(id, &protocol.EndedProgramsReply{EndedOrUnknown: ledger.EndedOrUnknown(request.Programs)})
	})
}

func (c *Core) handleSettingsRequest(id RequestID, request *protocol.SettingsRequest) {
	group, leader, failure := c.ledGroup(0)
	if failure != nil {
		c.transport.Reply(id, &protocol.SettingsReply{Reply: settings.Reply{Error: failure}, Leader: leader})
		return
	}
	if request.Validate {
		winner, failure := c.system.tree.Validate(request.Change)
		c.transport.Reply(id, &protocol.SettingsReply{Reply: settings.Reply{Error: failure, Winner: winner, Revision: c.SettingsRevision()}})
		return
	}
	request.Change.AtMs = c.nowMs
	failure = c.host.Propose(group, &systemCommand{Change: &request.Change}, func(outcome any) {
		answer := &protocol.SettingsReply{}
		switch typed := outcome.(type) {
		case settings.Reply:
			answer.Reply = typed
		case *result.Error:
			answer.Reply.Error = typed
		}
		c.transport.Reply(id, answer)
	})
	if failure != nil {
		c.transport.Reply(id, &protocol.SettingsReply{Reply: settings.Reply{Error: failure}})
	}
}

func (c *Core) handlePermitRequest(id RequestID, request *protocol.PermitRequest) {
	_, leader, failure := c.ledGroup(0)
	if failure != nil || c.schedulerTracker == nil {
		c.transport.Reply(id, &protocol.PermitReply{Error: result.New(result.NotLeader, "not the leader"), Leader: leader})
		return
	}
	if request.Release {
		c.permits.Release(request.Engine)
		c.transport.Reply(id, &protocol.PermitReply{Granted: true})
		return
	}
	fields := c.system.tree.EffectiveFields("/pools/" + request.Pool)
	engines := 0
	for _, engine := range c.system.directory.Engines {
		if engine.Pool == request.Pool && !engine.Leaving {
			engines++
		}
	}
	granted := c.permits.Grant(request.Engine, request.Pool, reconcile.Limits{
		PoolSize: engines, ReadyEngines: c.schedulerTracker.ReadyEngines(request.Pool, c.nowMs),
		ReadyFloor: int(*fields.ReadyFloor), MaxConcurrentLoads: int(*fields.ConcurrentLoads),
	}, c.nowMs)
	c.transport.Reply(id, &protocol.PermitReply{Granted: granted})
}

// pendingSync is a scheduler's heartbeat that is held until something changes.
type pendingSync struct {
	id         RequestID
	request    *protocol.SyncRequest
	deadlineMs int64
}

func (c *Core) handleSyncRequest(id RequestID, request *protocol.SyncRequest) {
	group, leader, failure := c.ledGroup(0)
	if failure != nil || c.schedulerTracker == nil {
		c.transport.Reply(id, &protocol.SyncReply{Error: result.New(result.NotLeader, "not the leader"), Leader: leader})
		return
	}
	c.schedulerTracker.RecordHeartbeat(request.Heartbeat, c.nowMs)
	if request.ConfirmNow {
		c.host.LinearizableRead(group, func(failure *result.Error) {
			if failure != nil {
				c.transport.Reply(id, &protocol.SyncReply{Error: failure})
				return
			}
			c.transport.Reply(id, c.syncReply(request))
		})
		return
	}
	if c.hasChanges(request) {
		c.transport.Reply(id, c.syncReply(request))
		return
	}
	c.pendingSyncs = append(c.pendingSyncs, pendingSync{id: id, request: request, deadlineMs: c.nowMs + request.LongPollMs})
}

func (c *Core) hasChanges(request *protocol.SyncRequest) bool {
	directory := c.system.directory
	return c.system.tree.Revision() > request.Revision || directory.Roster().ChangeVersion() > request.DirectoryVersion ||
		directory.OwnedEnginesVersion(request.Heartbeat.Scheduler.Name) > request.DirectoryVersion
}

func (c *Core) syncReply(request *protocol.SyncRequest) *protocol.SyncReply {
	reply := &protocol.SyncReply{Feed: protocol.NewFeed(c.system.tree, request.Revision)}
	directory := c.system.directory
	reply.Feed.Roster = directory.Roster().DeltaSince(request.DirectoryVersion)
	reply.Feed.Groups = uint32(c.options.LedgerGroups)
	name := request.Heartbeat.Scheduler.Name
	if directory.OwnedEnginesVersion(name) > request.DirectoryVersion {
		reply.EnginesChanged = true
		reply.Engines = directory.OwnedBy(name)
	}
	return reply
}

// answerSyncs answers the held heartbeats whose senders lack a change and those whose hold
// time is over, or all of them.
func (c *Core) answerSyncs(all bool) {
	var waiting []pendingSync
	for _, pending := range c.pendingSyncs {
		if !all && c.nowMs < pending.deadlineMs && !c.hasChanges(pending.request) {
			waiting = append(waiting, pending)
			continue
		}
		c.transport.Reply(pending.id, c.syncReply(pending.request))
	}
	c.pendingSyncs = waiting
}

func (c *Core) expireSyncs() {
	if len(c.pendingSyncs) > 0 && c.schedulerTracker != nil {
		c.answerSyncs(false)
	}
}

// refuseSyncs refuses all held heartbeats because the term of this leader is over.
func (c *Core) refuseSyncs() {
	leader := c.leaderName(c.host.Groups[0])
	for _, pending := range c.pendingSyncs {
		c.transport.Reply(pending.id, &protocol.SyncReply{Error: result.New(result.NotLeader, "not the leader"), Leader: leader})
	}
	c.pendingSyncs = nil
}
