package scheduler

import (
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

// Engines returns the engines of the cell, sorted by name.
func (c *Core) Engines() []membership.Engine {
	engines := make([]membership.Engine, 0, len(c.engines))
	for _, name := range sortedNames(c.engines) {
		engines = append(engines, c.engines[name].info)
	}
	return engines
}

// HandleProgramRequest reads a program from the ledger or ends it, and replies to the sink.
func (c *Core) HandleProgramRequest(sink SinkID, request *protocol.ProgramRequest, nowMs int64) {
	c.nowMs = nowMs
	if !c.isSynced {
		c.replyToProgramRequest(sink, &protocol.ProgramReply{Error: result.New(result.NoScheduler, "scheduler %s has not received the settings yet", c.options.Name)})
		return
	}
	if request.End {
		c.endProgram(sink, request)
		return
	}
	read := &protocol.ReadRequest{
		Topic: protocol.ReadProgram, Group: c.groupOf(request.Program), Program: request.Program, Limit: 1,
	}
	c.startControlRequest(read.Group, protocol.KindRead, read, controlTimeoutMs, func(reply any) {
		typed, ok := reply.(*protocol.ReadReply)
		if !ok {
			c.replyToProgramRequest(sink, &protocol.ProgramReply{Error: result.New(result.NoQuorum, "the ledger did not reply in time")})
			return
		}
		c.replyToProgramRequest(sink, &protocol.ProgramReply{Error: typed.Error, Body: typed.Body})
	})
}

func (c *Core) replyToProgramRequest(sink SinkID, reply *protocol.ProgramReply) {
	c.transport.Reply(sink, protocol.KindResponse, reply, true)
}

func (c *Core) endProgram(sink SinkID, request *protocol.ProgramRequest) {
	end := &program.End{Program: request.Program, Tenant: request.Tenant, Reason: "caller"}
	message := &protocol.LedgerRequest{Group: c.groupOf(request.Program), Command: program.Command{End: end}}
	c.startControlRequest(message.Group, protocol.KindLedger, message, controlTimeoutMs, func(reply any) {
		typed, ok := reply.(*protocol.LedgerReply)
		if !ok {
			c.replyToProgramRequest(sink, &protocol.ProgramReply{Error: result.New(result.NoQuorum, "the ledger did not reply in time")})
			return
		}
		if typed.Reply.Error != nil {
			c.replyToProgramRequest(sink, &protocol.ProgramReply{Error: typed.Reply.Error})
			return
		}
		if local, isLocal := c.programs[request.Program]; isLocal {
			if local.activeCall != nil && !local.activeCall.isEnded {
				c.abandonCall(local.activeCall, result.New(result.ProgramClosed, "the program was ended by a request"))
			}
			c.releaseCachedProgram(local)
		}
		c.replyToProgramRequest(sink, &protocol.ProgramReply{Body: []byte(`{"ended":true}`)})
	})
}
