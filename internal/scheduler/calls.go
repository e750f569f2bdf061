package scheduler

import (
	"strings"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// localProgram is what a scheduler keeps of a program between its calls; all of
// it can be had again from the ledger.
type localProgram struct {
	id string
	// queue holds calls in the order in which they came; active is the one whose
	// turn is open or being opened.
	queue  []*call
	active *call
	// records are the turns up to knownTurn, without gaps.
	records    []program.TurnRecord
	knownTurn  uint64
	bytes      int64
	warm       map[string]int64
	attainedMs int64
	lastMs     int64
}

// call is one request on its way through the scheduler.
type call struct {
	local      *localProgram
	request    *protocol.CallRequest
	sinks      []SinkID
	digest     uint64
	arrivedMs  int64
	deadlineMs int64
	nonce      uint64

	turn      uint64
	fence     uint64
	newOnes   []program.Message
	prompt    []program.Message
	newTokens int64
	maxTokens int64

	schedule  *scheduling.Call
	attempt   AttemptID
	engine    string
	startedMs int64
	// answer is what the present attempt has produced; sent is how much of the
	// answer the sinks have, from this or an earlier attempt.
	answer  strings.Builder
	sent    string
	retries int64
	// retryOf is the fence of the attempt that failed, lost its tokens.
	retryOf  uint64
	lost     int64
	takeOver bool
	nextMs   int64
	// ran is set once an engine may have started the call.
	ran   bool
	ended bool
}

// HandleCall takes one call of a program from a sidecar.
func (c *Core) HandleCall(sink SinkID, request *protocol.CallRequest, nowMs int64) {
	c.nowMs = nowMs
	if existing := c.findCall(request); existing != nil {
		c.join(existing, sink, request)
		return
	}
	if failure := c.admit(request); failure != nil {
		c.counters.Refused++
		c.finish(sink, failure)
		return
	}
	local := c.local(request.Program)
	incoming := &call{
		local: local, request: request, sinks: []SinkID{sink}, arrivedMs: nowMs,
		deadlineMs: nowMs + request.TimeoutMs,
		digest:     program.ContentDigest(request.Service, request.Thread, request.Messages),
	}
	c.sinks[sink] = incoming
	local.queue = append(local.queue, incoming)
	c.busy[local.id] = local
	c.advance(local)
}

func (c *Core) local(id string) *localProgram {
	local, ok := c.programs[id]
	if !ok {
		local = &localProgram{id: id, warm: map[string]int64{}, lastMs: c.nowMs}
		c.programs[id] = local
	}
	return local
}

// findCall returns the call with the same request id that is under way here.
func (c *Core) findCall(request *protocol.CallRequest) *call {
	local, ok := c.programs[request.Program]
	if !ok {
		return nil
	}
	if local.active != nil && !local.active.ended && local.active.request.Request == request.Request {
		return local.active
	}
	for _, queued := range local.queue {
		if queued.request.Request == request.Request {
			return queued
		}
	}
	return nil
}

// join adds a sink to a call: the same request came again, since its sidecar
// lost the connection or its caller resent.
func (c *Core) join(existing *call, sink SinkID, request *protocol.CallRequest) {
	if existing.digest != program.ContentDigest(request.Service, request.Thread, request.Messages) {
		c.finish(sink, result.New(result.RequestConflict, "request %s is under way with other content", request.Request))
		return
	}
	existing.sinks = append(existing.sinks, sink)
	c.sinks[sink] = existing
	if existing.sent != "" {
		c.outlet.Reply(sink, protocol.KindCallChunk, &protocol.CallChunk{Offset: 0, Text: existing.sent}, false)
	}
}

// admit refuses at once what can't be served. Nothing has run yet.
func (c *Core) admit(request *protocol.CallRequest) *result.Error {
	if c.draining {
		return result.New(result.Draining, "%s is stopping", c.options.Name)
	}
	if !c.synced || !c.listed {
		return result.New(result.NoScheduler, "%s is not in the directory yet", c.options.Name)
	}
	if request.TimeoutMs <= 0 {
		return result.New(result.DeadlinePassed, "the deadline was past on arrival")
	}
	if _, ok := c.tree.Get("/services/" + request.Service); !ok {
		return result.New(result.UnknownService, "no service %q", request.Service)
	}
	fields := c.fields("/services/" + request.Service)
	probe := &scheduling.Call{
		Pool: *fields.Pool, Priority: int(*fields.Priority), ArrivedMs: c.nowMs, DeadlineMs: c.nowMs + request.TimeoutMs,
		PromptTokens: engine.CountMessages(request.Messages), OutputTokens: expectedOutput(request, *fields.MaxOutputTokens),
	}
	if c.isUnserved(probe.Pool) {
		return c.noEngine(probe.Pool)
	}
	if refusal := c.cell.Admit(probe, c.nowMs); refusal != nil {
		return refusal
	}
	tenant := c.fields("/tenants/" + tenantName(request.Tenant))
	limits := scheduling.TenantLimits{MaxInFlight: *tenant.TenantMaxInFlight, TokensPerSecond: *tenant.TokensPerSecond}
	return c.tenants.Acquire(request.Tenant, limits, probe.PromptTokens+probe.OutputTokens, len(c.roster.List()), c.nowMs)
}

func tenantName(tenant string) string {
	if tenant == "" {
		return "default"
	}
	return tenant
}

// expectedOutput guesses the answer's length: half of what is allowed.
func expectedOutput(request *protocol.CallRequest, allowed int64) int64 {
	return max(expectedOutputMin, maxTokens(request, allowed)/2)
}

func maxTokens(request *protocol.CallRequest, allowed int64) int64 {
	if request.MaxTokens > 0 {
		return min(request.MaxTokens, allowed)
	}
	return allowed
}

// advance opens the turn of a program's next call. Invariant: one call of a
// program at a time; the ledger holds the same across schedulers.
func (c *Core) advance(local *localProgram) {
	if (local.active != nil && !c.options.DisableTurnOrder) || len(local.queue) == 0 {
		return
	}
	next := local.queue[0]
	local.queue = local.queue[1:]
	local.active = next
	local.lastMs = c.nowMs
	c.begin(next)
}

// begin asks the ledger for the turn.
func (c *Core) begin(current *call) {
	request := current.request
	fields := c.fields("/services/" + request.Service)
	current.newTokens = engine.CountMessages(request.Messages)
	current.maxTokens = maxTokens(request, *fields.MaxOutputTokens)
	c.nextCall++
	current.nonce = c.nonceBase + c.nextCall
	begin := &program.Begin{
		Program: request.Program, Tenant: request.Tenant, Service: request.Service,
		Thread: request.Thread, Parent: request.ParentThread, Request: request.Request, Create: request.Create,
		Limits: program.Limits{
			BudgetTokens: *fields.BudgetTokens, MaxTurns: *fields.MaxTurns, WallTimeMs: *fields.WallTimeMs, IdleTimeoutMs: *fields.IdleTimeoutMs,
		},
		Digest: current.digest, AtMostOnce: request.AtMostOnce, NewTokens: current.newTokens, MaxTokens: current.maxTokens,
		Scheduler: c.options.Name, TakeOver: current.takeOver, RetryOf: current.retryOf, LostTokens: current.lost,
		Nonce: current.nonce, Incarnation: c.options.Incarnation, TimeoutMs: max(0, current.deadlineMs-c.nowMs),
	}
	if request.BudgetTokens > 0 {
		begin.Limits.BudgetTokens = min(begin.Limits.BudgetTokens, request.BudgetTokens)
	}
	if program.IncludesHistory(request.Messages) {
		begin.PrefixDigests = program.PrefixDigests(request.Messages)
	}
	message := &protocol.LedgerRequest{
		Group: c.groupOf(request.Program), Command: program.Command{Begin: begin}, CachedTurn: current.local.knownTurn,
	}
	patience := max(1, current.deadlineMs-c.nowMs)
	c.askControl(message.Group, protocol.KindLedger, message, patience, func(reply any) { c.begun(current, reply) })
}

// begun takes the ledger's answer to a Begin.
func (c *Core) begun(current *call, reply any) {
	if current.ended {
		c.abandonGrant(current, reply)
		return
	}
	typed, ok := reply.(*protocol.LedgerReply)
	if !ok {
		c.endCall(current, result.New(result.NoQuorum, "the ledger did not answer before the deadline").WithOutcome(result.NotRun))
		return
	}
	failure := typed.Reply.Error
	switch {
	case failure != nil && failure.Code == result.TurnOpen:
		c.waitForTurn(current, typed)
	case failure != nil:
		c.endCall(current, failure)
	case typed.Reply.ClosedTurn > 0:
		c.answerRecorded(current, typed)
	default:
		c.granted(current, typed)
	}
}

// abandonGrant gives back a turn that was granted to a call which has ended.
func (c *Core) abandonGrant(current *call, reply any) {
	typed, ok := reply.(*protocol.LedgerReply)
	if ok && typed.Reply.Error == nil && typed.Reply.Fence > 0 {
		c.abort(current.request.Program, typed.Reply.Fence, result.Cancelled, true, 0, func() {})
	}
}

// waitForTurn comes back for a turn that another call holds; a holder that is
// lost is taken over from.
func (c *Core) waitForTurn(current *call, reply *protocol.LedgerReply) {
	holder := reply.Reply.Holder
	// The holder may be this scheduler before its last start: nothing here has
	// the turn, since a program has one active call.
	current.takeOver = holder == c.options.Name || (holder != "" && !c.alive(holder, reply.Reply.HolderIncarnation))
	if current.takeOver {
		c.counters.TakeOverAttempts++
	}
	current.nextMs = c.nowMs + openTurnPauseMs
}

// tickPrograms repeats Begins that are due and forgets idle programs.
func (c *Core) tickPrograms() {
	for _, id := range sortedNames(c.busy) {
		current := c.busy[id].active
		if current != nil && !current.ended && current.nextMs != 0 && c.nowMs >= current.nextMs {
			current.nextMs = 0
			c.begin(current)
		}
	}
	if c.nowMs-c.lastForgetMs < forgetEveryMs {
		return
	}
	c.lastForgetMs = c.nowMs
	for _, id := range sortedNames(c.programs) {
		local := c.programs[id]
		if local.active == nil && len(local.queue) == 0 && c.nowMs-local.lastMs > programIdleMs {
			c.forget(local)
		}
	}
}

// answerRecorded gives the answer that the ledger has for this request.
func (c *Core) answerRecorded(current *call, reply *protocol.LedgerReply) {
	var record program.TurnRecord
	if len(reply.Records) != 1 || protocol.Decode(reply.Records[0], &record) != nil {
		c.endCall(current, result.New(result.Internal, "no record of turn %d", reply.Reply.ClosedTurn))
		return
	}
	if record.Code != result.OK {
		c.endCall(current, result.New(record.Code, "request %s was answered so before", record.Request))
		return
	}
	c.endWith(current, &protocol.CallReply{
		Content: record.Answer.Content, Usage: record.Usage, Turn: record.Turn, Engine: record.Engine,
		ProgramEnded: reply.Reply.Ended, RemainingTokens: reply.Reply.RemainingTokens,
	})
}

// granted puts a call whose turn is open among those that wait for an engine.
func (c *Core) granted(current *call, reply *protocol.LedgerReply) {
	local := current.local
	if !c.remember(local, reply) {
		// Records are missing; ask again for all of them.
		c.dropRecords(local)
		current.nextMs = c.nowMs + 1
		current.retryOf = reply.Reply.Fence
		current.lost = 0
		return
	}
	request := current.request
	current.turn = reply.Reply.Turn
	current.fence = reply.Reply.Fence
	current.retryOf = 0
	current.takeOver = false
	current.newOnes = request.Messages[reply.Reply.SkipMessages:]
	current.newTokens = engine.CountMessages(current.newOnes)
	history := program.Conversation(reply.Reply.Lineage, local.records)
	current.prompt = append(history, current.newOnes...)
	fields := c.fields("/services/" + request.Service)
	c.nextCall++
	excluded := map[string]bool{}
	if current.schedule != nil {
		excluded = current.schedule.ExcludedEngines
	}
	current.schedule = &scheduling.Call{
		ID: c.nextCall, Program: request.Program, Pool: *fields.Pool, Priority: int(*fields.Priority),
		AttainedServiceMs: local.attainedMs, ArrivedMs: current.arrivedMs, DeadlineMs: current.deadlineMs,
		PromptTokens: engine.CountMessages(current.prompt),
		OutputTokens: expectedOutput(request, *fields.MaxOutputTokens),
		CachedTokens: local.warm, ExcludedEngines: excluded,
	}
	c.waiting[current.schedule.ID] = current
	c.cell.Waiting = append(c.cell.Waiting, current.schedule)
	c.dispatch()
}

// remember adds records that came with a grant; false where some are missing.
func (c *Core) remember(local *localProgram, reply *protocol.LedgerReply) bool {
	for _, raw := range reply.Records {
		var record program.TurnRecord
		if protocol.Decode(raw, &record) != nil {
			return false
		}
		if record.Turn == local.knownTurn+1 {
			c.cacheRecord(local, record)
		}
	}
	return local.knownTurn == reply.Reply.Turn-1
}
