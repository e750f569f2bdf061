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

// waitingSettle is a charge for a turn that is not kept. Nobody waits for it, so that it
// goes with the next entry of its group, or with the next tick, and needs no messages
// and no sync of its own.
type waitingSettle struct {
	id     RequestID
	settle *program.Settle
}

// HandleRequest takes one request of a gateway; the reply comes through the outlet, now
// or later.
func (c *Core) HandleRequest(id RequestID, request *protocol.TurnRequest, nowMs int64) {
	c.setNow(nowMs)
	group := c.host.FindGroup(storage.GroupID(request.Group))
	if group != nil && len(request.ContentsOf) > 0 {
		c.outlet.Reply(id, c.contents(group, request.ContentsOf))
		return
	}
	if group == nil || !group.IsLeader() || c.draining {
		reply := &protocol.TurnReply{Error: result.New(result.NotLeader, "%s does not lead group %d", c.options.Name, request.Group)}
		if group != nil {
			reply.Leader = group.LeaderMember()
		}
		c.outlet.Reply(id, reply)
		return
	}
	switch {
	case request.Quota != nil:
		c.askQuota(id, group, request)
	case request.Reserve != nil:
		c.reserve(id, group, request)
	case request.Settle != nil && !request.Settle.Retain:
		c.settles[group.ID] = append(c.settles[group.ID], waitingSettle{id, request.Settle})
	case request.Settle != nil:
		c.propose(id, group, program.TurnCommand{Settle: request.Settle}, nil)
	case request.HistoryOf != "":
		c.find(id, group, request.HistoryOf)
	default:
		c.outlet.Reply(id, &protocol.TurnReply{Error: result.New(result.MalformedRequest, "empty request")})
	}
}

// reserve opens a turn. A turn without a budget changes nothing, so that a
// confirmed read is enough.
func (c *Core) reserve(id RequestID, group *replication.Group, request *protocol.TurnRequest) {
	previous := request.Reserve.PreviousRequest
	withChain := func() *protocol.TurnReply {
		if previous == "" {
			return &protocol.TurnReply{}
		}
		return c.chain(group, previous, request.CachedTurn, request.Zone)
	}
	if request.Reserve.BudgetTokens <= 0 {
		c.host.LinearizableRead(group, func(failure *result.Error) {
			if failure == nil && previous != "" && !c.has(group, previous) {
				failure = result.New(result.UnknownTurn, "no turn %s", previous)
			}
			if failure != nil {
				c.outlet.Reply(id, &protocol.TurnReply{Error: failure})
				return
			}
			c.outlet.Reply(id, withChain())
		})
		return
	}
	c.propose(id, group, program.TurnCommand{Reserve: request.Reserve}, withChain)
}

func (c *Core) has(group *replication.Group, request string) bool {
	return group.StateMachine.(*stateMachine).turns.HasTurn(request)
}

// proposeSettles proposes the charges that wait.
func (c *Core) proposeSettles(group *replication.Group) {
	waiting := c.settles[group.ID]
	delete(c.settles, group.ID)
	for _, next := range waiting {
		c.proposeOne(next.id, group, program.TurnCommand{Settle: next.settle}, nil)
	}
}

// propose appends a command, after the charges that wait, and answers once it is
// applied.
func (c *Core) propose(id RequestID, group *replication.Group, command program.TurnCommand, reply func() *protocol.TurnReply) {
	c.proposeSettles(group)
	c.proposeOne(id, group, command, reply)
}

// proposeOne appends a command and answers once it is applied; reply makes the answer
// to a command that was granted, nil for an empty one.
func (c *Core) proposeOne(id RequestID, group *replication.Group, command program.TurnCommand, reply func() *protocol.TurnReply) {
	command.NowMs = c.nowMs
	failure := c.host.Propose(group, &command, func(applied any) {
		answer := &protocol.TurnReply{}
		switch typed := applied.(type) {
		case program.TurnReply:
			answer.Error = typed.Error
			answer.AffineEngine = typed.Engine
			answer.IsFirstTurn = typed.IsFirstTurn
		case *result.Error:
			answer.Error = typed
		}
		if answer.Error == nil && reply != nil {
			engine, first := answer.AffineEngine, answer.IsFirstTurn
			answer = reply()
			answer.AffineEngine, answer.IsFirstTurn = engine, first
		}
		c.outlet.Reply(id, answer)
	})
	if failure != nil {
		c.outlet.Reply(id, &protocol.TurnReply{Error: failure})
	}
}

// find answers with the chain of a turn that another group may not know.
func (c *Core) find(id RequestID, group *replication.Group, request string) {
	c.host.LinearizableRead(group, func(failure *result.Error) {
		switch {
		case failure != nil:
			c.outlet.Reply(id, &protocol.TurnReply{Error: failure})
		case !c.has(group, request):
			c.outlet.Reply(id, &protocol.TurnReply{Error: result.New(result.UnknownTurn, "no turn %s", request)})
		default:
			c.outlet.Reply(id, c.chain(group, request, "", ""))
		}
	})
}

// chain joins the content of a line of turns, oldest first; where the line goes through
// the turn that the asker knows, only what follows that one. For an asker in a zone with
// a replica of its own it names all turns but the last, which that replica may not have
// applied yet.
func (c *Core) chain(group *replication.Group, last, known, zone string) *protocol.TurnReply {
	reply := &protocol.TurnReply{}
	line := group.StateMachine.(*stateMachine).turns.Chain(last)
	if place := slices.Index(line, known); place >= 0 {
		line = line[place+1:]
		reply.IsContinuation = true
	}
	if len(line) > 1 && c.replicaElsewhere(group, zone) {
		reply.OlderTurns = line[:len(line)-1]
		line = line[len(line)-1:]
	}
	joined := c.contents(group, line)
	reply.History, reply.Error = joined.History, joined.Error
	return reply
}

// replicaElsewhere reports whether a zone that is not this host's has a voter of the
// group.
func (c *Core) replicaElsewhere(group *replication.Group, zone string) bool {
	if zone == "" || zone == c.options.Zone || c.view == nil {
		return false
	}
	return slices.ContainsFunc(group.Node.Configuration().Replicas, func(replica consensus.Replica) bool {
		return !replica.IsLearner && c.view.Ledgers[replica.Member].Zone == zone
	})
}

// contents joins the content of turns. Invariant: a turn never changes once it is kept,
// so that any replica which has applied it may answer; one that has not sends the asker
// to the leader, and says nothing of whether there is such a turn.
func (c *Core) contents(group *replication.Group, turns []string) *protocol.TurnReply {
	reply := &protocol.TurnReply{}
	for _, request := range turns {
		if !group.IsLeader() && !c.has(group, request) {
			return &protocol.TurnReply{Leader: group.LeaderMember(), Error: result.New(result.NotLeader, "turn %s is not here", request)}
		}
		records, err := c.host.Records(group, request, 0)
		if err != nil || len(records) != 1 {
			return &protocol.TurnReply{Error: result.New(result.Internal, "turn %s has %d records: %v", request, len(records), err)}
		}
		reply.History = append(reply.History, records[0]...)
	}
	return reply
}

func (c *Core) proposeSweep(group *replication.Group) {
	_ = c.host.Propose(group, &program.TurnCommand{NowMs: c.nowMs, Sweep: true}, func(any) {})
}
