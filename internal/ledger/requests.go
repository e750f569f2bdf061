package ledger

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/replication"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// deferredCommand is a command whose effect no caller waits for: a settlement that charges a turn
// without retaining it, or the end of claims. It is proposed together with the next command of its
// group, or at the next tick, and needs no messages and no sync of its own.
type deferredCommand struct {
	id      RequestID
	command program.TurnCommand
}

// HandleRequest processes a request of a gateway. The reply goes through the transport, before or
// after HandleRequest returns. Any replica serves stored contents; only the leader serves other
// requests.
func (c *Core) HandleRequest(id RequestID, request *protocol.TurnRequest, nowMs int64) {
	c.setNow(nowMs)
	group := c.host.FindGroup(storage.GroupID(request.Group))
	if group != nil && len(request.ContentsOf) > 0 {
		c.transport.Reply(id, c.joinContents(group, request.ContentsOf))
		return
	}
	if group == nil || !group.IsLeader() || c.draining {
		reply := &protocol.TurnReply{Error: result.New(result.NotLeader, "%s does not lead group %d", c.options.Name, request.Group)}
		if group != nil {
			reply.Leader = group.LeaderMember()
		}
		c.transport.Reply(id, reply)
		return
	}
	switch {
	case request.Quota != nil:
		c.handleQuotaRequest(id, group, request)
	case request.Reserve != nil:
		c.onceSupportKnown(id, group, func() { c.openTurn(id, group, request) })
	case request.Stream != nil:
		c.proposeAfterDeferred(id, group, program.TurnCommand{Stream: request.Stream}, nil)
	case request.Crash != nil && request.Crash.IsClosing():
		c.deferCommand(id, group, program.TurnCommand{Crash: request.Crash})
	case request.Crash != nil:
		c.proposeAfterDeferred(id, group, program.TurnCommand{Crash: request.Crash}, nil)
	case request.CrashesOf != nil:
		c.replyCrashes(id, group, *request.CrashesOf)
	case request.Settle != nil:
		c.onceSupportKnown(id, group, func() { c.settleTurn(id, group, request.Settle) })
	case request.HistoryOf != "":
		c.replyHistory(id, group, request.HistoryOf)
	default:
		c.transport.Reply(id, &protocol.TurnReply{Error: result.New(result.MalformedRequest, "empty request")})
	}
}

// settleTurn closes a turn. Claims are closed by a command of their own while a replica of an earlier
// release would ignore them in the settlement.
func (c *Core) settleTurn(id RequestID, group *replication.Group, settle *program.Settle) {
	if settle.ClosedClaim != nil && !c.groupSupportsClaims(group) {
		_ = c.host.Propose(group, &program.TurnCommand{NowMs: c.nowMs, Crash: settle.ClosedClaim}, func(any) {})
		withoutClaim := *settle
		withoutClaim.ClosedClaim = nil
		settle = &withoutClaim
	}
	settle = c.withReleasedHold(group, settle)
	if settle.Retain {
		c.proposeAfterDeferred(id, group, program.TurnCommand{Settle: settle}, nil)
		return
	}
	c.deferCommand(id, group, program.TurnCommand{Settle: settle})
}

// deferCommand keeps a command for the next proposal of its group.
func (c *Core) deferCommand(id RequestID, group *replication.Group, command program.TurnCommand) {
	c.deferredCommands[group.ID] = append(c.deferredCommands[group.ID], deferredCommand{id, command})
}

// groupSupportsClaims reports whether all replicas of a group record claims together with turns.
// Invariant: an entry with such a claim is proposed only then, because replicas of an earlier release
// would ignore it and come to another state.
func (c *Core) groupSupportsClaims(group *replication.Group) bool {
	for _, replica := range group.Node.Configuration().Replicas {
		if replica.Member != c.options.Member && !c.supportsClaims[replica.Member] {
			return false
		}
	}
	return true
}

// openTurn opens a turn. A turn without a budget that continues no other one, whose stream is not recorded
// and that claims nothing changes no state, so a linearizable read is sufficient.
func (c *Core) openTurn(id RequestID, group *replication.Group, request *protocol.TurnRequest) {
	reserve := request.Reserve
	if reserve.Claim != nil && !c.groupSupportsClaims(group) {
		// The gateway claims its attempt in a request of its own.
		withoutClaim := *reserve
		withoutClaim.Claim = nil
		reserve = &withoutClaim
	}
	reserve = c.withHold(group, reserve)
	previous := reserve.PreviousRequest
	makeHistoryReply := func() *protocol.TurnReply {
		reply := &protocol.TurnReply{}
		if previous != "" {
			reply = c.turnHistory(group, previous, request.CachedTurn, request.Zone)
		}
		reply.Crashes = c.crashesOf(group, reserve.Key())
		return reply
	}
	if reserve.BudgetTokens <= 0 && reserve.Stream == nil && reserve.Claim == nil && reserve.Hold == nil {
		c.host.LinearizableRead(group, func(failure *result.Error) {
			if failure != nil {
				c.transport.Reply(id, &protocol.TurnReply{Error: failure})
				return
			}
			c.transport.Reply(id, makeHistoryReply())
		})
		return
	}
	c.proposeAfterDeferred(id, group, program.TurnCommand{Reserve: reserve}, makeHistoryReply)
}

// crashesOf returns the crash record of a request as the local replica has applied it, nil if there is
// none.
func (c *Core) crashesOf(group *replication.Group, key program.RequestKey) *program.CrashHistory {
	crashes := group.StateMachine.(*stateMachine).turns.Crashes(c.nowMs, key)
	if len(crashes.Attempts) == 0 {
		return nil
	}
	return &crashes
}

// hasTurn reports whether the local replica of a group has a turn.
func (c *Core) hasTurn(group *replication.Group, request string) bool {
	return group.StateMachine.(*stateMachine).turns.HasTurn(request)
}

// proposeDeferred proposes the deferred commands of a group.
func (c *Core) proposeDeferred(group *replication.Group) {
	waiting := c.deferredCommands[group.ID]
	delete(c.deferredCommands, group.ID)
	for _, deferred := range waiting {
		c.proposeCommand(deferred.id, group, deferred.command, nil)
	}
}

// proposeAfterDeferred proposes a command after the deferred commands of its group, and replies once
// it is applied.
func (c *Core) proposeAfterDeferred(id RequestID, group *replication.Group, command program.TurnCommand, makeReply func() *protocol.TurnReply) {
	c.proposeDeferred(group)
	c.proposeCommand(id, group, command, makeReply)
}

// proposeCommand proposes a command and replies once it is applied. makeReply builds the reply to a
// successful command; nil means an empty reply.
func (c *Core) proposeCommand(id RequestID, group *replication.Group, command program.TurnCommand, makeReply func() *protocol.TurnReply) {
	command.NowMs = c.nowMs
	failure := c.host.Propose(group, &command, func(applied any) {
		response := &protocol.TurnReply{}
		switch typed := applied.(type) {
		case program.TurnReply:
			response.Error = typed.Error
			response.AffineEngine = typed.Engine
			response.IsFirstTurn = typed.IsFirstTurn
			response.Stream = typed.Stream
			if len(typed.Crashes.Attempts) > 0 {
				response.Crashes = &typed.Crashes
			}
		case *result.Error:
			response.Error = typed
		}
		if response.Error == nil && makeReply != nil {
			opened := response
			response = makeReply()
			response.AffineEngine, response.IsFirstTurn, response.Stream = opened.AffineEngine, opened.IsFirstTurn, opened.Stream
		}
		c.transport.Reply(id, response)
	})
	if failure != nil {
		c.transport.Reply(id, &protocol.TurnReply{Error: failure})
	}
}

// replyCrashes replies with the crash record of a request, after a linearizable read: a replica that
// leads no longer would reply without the latest crash.
func (c *Core) replyCrashes(id RequestID, group *replication.Group, key program.RequestKey) {
	c.host.LinearizableRead(group, func(failure *result.Error) {
		if failure != nil {
			c.transport.Reply(id, &protocol.TurnReply{Error: failure})
			return
		}
		c.transport.Reply(id, &protocol.TurnReply{Crashes: c.crashesOf(group, key)})
	})
}

// replyHistory replies with the history of a turn, after a linearizable read. The requester may be
// about to continue the turn in another group, which does not store it.
func (c *Core) replyHistory(id RequestID, group *replication.Group, request string) {
	c.host.LinearizableRead(group, func(failure *result.Error) {
		if failure != nil {
			c.transport.Reply(id, &protocol.TurnReply{Error: failure})
			return
		}
		c.transport.Reply(id, c.turnHistory(group, request, "", ""))
	})
}

// turnHistory joins the contents of a chain of turns, oldest first. Invariant: a chain that is not whole is
// refused as an unknown turn, and no part of it is returned. If the requester has the chain
// up to cachedTurn, the reply contains only the turns after it. If the requester is in another zone
// that has a voter, the reply contains only the last turn, which that voter may not have applied
// yet, and the names of the older turns. The requester reads these from the voter in its zone.
func (c *Core) turnHistory(group *replication.Group, lastTurn, cachedTurn, zone string) *protocol.TurnReply {
	turns, isWhole := group.StateMachine.(*stateMachine).turns.Chain(lastTurn)
	if !isWhole {
		return &protocol.TurnReply{Error: result.New(result.UnknownTurn, "the chain of turn %s is not retained", lastTurn)}
	}
	reply := &protocol.TurnReply{}
	if position := slices.Index(turns, cachedTurn); position >= 0 {
		turns = turns[position+1:]
		reply.IsContinuation = true
	}
	if len(turns) > 1 && c.hasRemoteVoter(group, zone) {
		reply.OlderTurns = turns[:len(turns)-1]
		turns = turns[len(turns)-1:]
	}
	contents := c.joinContents(group, turns)
	reply.History, reply.Error = contents.History, contents.Error
	return reply
}

// hasRemoteVoter reports whether a zone other than this host's has a voter of the group.
func (c *Core) hasRemoteVoter(group *replication.Group, zone string) bool {
	if zone == "" || zone == c.options.Zone || c.fleetView == nil {
		return false
	}
	return slices.ContainsFunc(group.Node.Configuration().Replicas, func(replica consensus.Replica) bool {
		return !replica.IsLearner && c.fleetView.Ledgers[replica.Member].Zone == zone
	})
}

// joinContents joins the contents of turns. Invariant: a retained turn never changes, so any replica
// that has applied it may serve it. A follower that has not applied it redirects the requester to
// the leader, and makes no statement on whether the turn exists. Neither does a replica that has the turn
// without its content, nor one that leads without the turn: it may have been replaced.
func (c *Core) joinContents(group *replication.Group, turns []string) *protocol.TurnReply {
	reply := &protocol.TurnReply{}
	for _, request := range turns {
		if !group.IsLeader() && !c.hasTurn(group, request) {
			return &protocol.TurnReply{Leader: group.LeaderMember(), Error: result.New(result.NotLeader, "turn %s is not applied on this replica", request)}
		}
		records, err := c.host.Records(group, request, 0)
		if err != nil || len(records) != 1 {
			return &protocol.TurnReply{Error: result.New(result.LedgerUnreachable, "turn %s has %d records: %v", request, len(records), err)}
		}
		reply.History = append(reply.History, records[0]...)
	}
	return reply
}

// proposeSweep proposes the removal of a group's expired turns and idle budgets.
func (c *Core) proposeSweep(group *replication.Group) {
	_ = c.host.Propose(group, &program.TurnCommand{NowMs: c.nowMs, Sweep: true}, func(any) {})
}
