package scheduler

import (
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

// Engines returns the cell's engines in ascending order of name.
func (c *Core) Engines() []membership.Engine {
	engines := make([]membership.Engine, 0, len(c.engines))
	for _, name := range sortedNames(c.engines) {
		engines = append(engines, c.engines[name].info)
	}
	return engines
}

// HandleProgramRequest answers a caller's question about a program, or ends it.
func (c *Core) HandleProgramRequest(sink SinkID, request *protocol.ProgramRequest, nowMs int64) {
	c.nowMs = nowMs
	if !c.synced {
		c.replyProgram(sink, &protocol.ProgramReply{Error: result.New(result.NoScheduler, "%s has not heard the settings yet", c.options.Name)})
		return
	}
	if request.End {
		c.endProgram(sink, request)
		return
	}
	read := &protocol.ReadRequest{
		Topic: protocol.ReadProgram, Group: c.groupOf(request.Program), Program: request.Program, Limit: 1,
	}
	c.askControl(read.Group, protocol.KindRead, read, controlTimeoutMs, func(reply any) {
		typed, ok := reply.(*protocol.ReadReply)
		if !ok {
			c.replyProgram(sink, &protocol.ProgramReply{Error: result.New(result.NoQuorum, "the ledger did not answer")})
			return
		}
		c.replyProgram(sink, &protocol.ProgramReply{Error: typed.Error, Body: typed.Body})
	})
}

func (c *Core) replyProgram(sink SinkID, reply *protocol.ProgramReply) {
	c.outlet.Reply(sink, protocol.KindResponse, reply, true)
}

func (c *Core) endProgram(sink SinkID, request *protocol.ProgramRequest) {
	end := &program.End{Program: request.Program, Tenant: request.Tenant, Reason: "caller"}
	message := &protocol.LedgerRequest{Group: c.groupOf(request.Program), Command: program.Command{End: end}}
	c.askControl(message.Group, protocol.KindLedger, message, controlTimeoutMs, func(reply any) {
		typed, ok := reply.(*protocol.LedgerReply)
		if !ok {
			c.replyProgram(sink, &protocol.ProgramReply{Error: result.New(result.NoQuorum, "the ledger did not answer")})
			return
		}
		if typed.Reply.Error != nil {
			c.replyProgram(sink, &protocol.ProgramReply{Error: typed.Reply.Error})
			return
		}
		if local, known := c.programs[request.Program]; known {
			if local.active != nil && !local.active.ended {
				c.giveUp(local.active, result.New(result.ProgramClosed, "the program was ended"))
			}
			c.releaseNow(local)
		}
		c.replyProgram(sink, &protocol.ProgramReply{Body: []byte(`{"ended":true}`)})
	})
}
