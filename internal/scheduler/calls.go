package scheduler

import (
	"strings"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// localProgram is the state that a scheduler keeps for a program between its calls. None of it is
// durable: the turn records can be read again from the ledger, the rest is rebuilt.
type localProgram struct {
	id string
	// queue holds calls in the order of their arrival. activeCall is the call whose turn is open or
	// requested, or nil.
	queue      []*call
	activeCall *call
	// records are the turn records up to cachedTurn, without gaps, and recordBytes their size.
	records           []program.TurnRecord
	cachedTurn        uint64
	recordBytes       int64
	cachedTokens      map[string]int64
	attainedServiceMs int64
	lastActiveMs      int64
}

// call is the state of one call from its arrival to its final reply.
type call struct {
	local         *localProgram
	request       *protocol.CallRequest
	sinks         []SinkID
	contentDigest uint64
	arrivedMs     int64
	deadlineMs    int64
	nonce         uint64

	turn            uint64
	fence           uint64
	newMessages     []program.Message
	prompt          []program.Message
	newPromptTokens int64
	maxOutputTokens int64

	schedulingCall *scheduling.Call
	attempt        AttemptID
	engine         string
	startedMs      int64
	// response is the text that the present attempt has produced. sentText is the text that has
	// been sent to the sinks, from this or an earlier attempt.
	response strings.Builder
	sentText string
	retries  int64
	// retryOfFence is the fence of the attempt that failed, and lostTokens the number of tokens that
	// it is known to have used.
	retryOfFence  uint64
	lostTokens    int64
	isTakeOver    bool
	turnRetryAtMs int64
	// mayHaveRun is set when an engine may have started the call.
	mayHaveRun bool
	isEnded    bool
}

// HandleCall handles a call of a program from a sidecar.
func (c *Core) HandleCall(sink SinkID, request *protocol.CallRequest, nowMs int64) {
	c.nowMs = nowMs
	if existing := c.findCall(request); existing != nil {
		c.attachSink(existing, sink, request)
		return
	}
	if failure := c.admit(request); failure != nil {
		c.counters.Refused++
		c.replyError(sink, failure)
		return
	}
	local := c.ensureProgram(request.Program)
	incoming := &call{
		local: local, request: request, sinks: []SinkID{sink}, arrivedMs: nowMs,
		deadlineMs:    nowMs + request.TimeoutMs,
		contentDigest: program.ContentDigest(request.Service, request.Thread, request.Messages),
	}
	c.sinks[sink] = incoming
	local.queue = append(local.queue, incoming)
	c.busyPrograms[local.id] = local
	c.startNextCall(local)
}

func (c *Core) ensureProgram(id string) *localProgram {
	local, ok := c.programs[id]
	if !ok {
		local = &localProgram{id: id, cachedTokens: map[string]int64{}, lastActiveMs: c.nowMs}
		c.programs[id] = local
	}
	return local
}

// findCall returns the call in progress at this scheduler that has the same request id, or nil.
func (c *Core) findCall(request *protocol.CallRequest) *call {
	local, ok := c.programs[request.Program]
	if !ok {
		return nil
	}
	if local.activeCall != nil && !local.activeCall.isEnded && local.activeCall.request.Request == request.Request {
		return local.activeCall
	}
	for _, queued := range local.queue {
		if queued.request.Request == request.Request {
			return queued
		}
	}
	return nil
}

// attachSink adds a sink to a call whose request has arrived again, because its sidecar lost the
// connection or its caller sent it again.
func (c *Core) attachSink(existing *call, sink SinkID, request *protocol.CallRequest) {
	if existing.contentDigest != program.ContentDigest(request.Service, request.Thread, request.Messages) {
		c.replyError(sink, result.New(result.RequestConflict, "request %s is in progress with different content", request.Request))
		return
	}
	existing.sinks = append(existing.sinks, sink)
	c.sinks[sink] = existing
	if existing.sentText != "" {
		c.transport.Reply(sink, protocol.KindCallChunk, &protocol.CallChunk{Offset: 0, Text: existing.sentText}, false)
	}
}

// admit returns an error for a call that is refused on arrival, before any engine may start it.
func (c *Core) admit(request *protocol.CallRequest) *result.Error {
	if c.isDraining {
		return result.New(result.Draining, "scheduler %s is draining", c.options.Name)
	}
	if !c.isSynced || !c.isListed {
		return result.New(result.NoScheduler, "scheduler %s is not yet listed in the directory", c.options.Name)
	}
	if request.TimeoutMs <= 0 {
		return result.New(result.DeadlinePassed, "the deadline had passed when the call arrived")
	}
	if _, ok := c.tree.Get("/services/" + request.Service); !ok {
		return result.New(result.UnknownService, "service %q is not in the settings", request.Service)
	}
	fields := c.effectiveFields("/services/" + request.Service)
	candidate := &scheduling.Call{
		Pool: *fields.Pool, Priority: int(*fields.Priority), ArrivedMs: c.nowMs, DeadlineMs: c.nowMs + request.TimeoutMs,
		PromptTokens: engine.CountMessages(request.Messages), OutputTokens: expectedOutputTokens(request, *fields.MaxOutputTokens),
	}
	if c.isUnserved(candidate.Pool) {
		return c.noEngineError(candidate.Pool)
	}
	if refusal := c.cell.Admit(candidate, c.nowMs); refusal != nil {
		return refusal
	}
	tenant := c.effectiveFields("/tenants/" + tenantOrDefault(request.Tenant))
	limits := scheduling.TenantLimits{MaxInFlight: *tenant.TenantMaxInFlight, TokensPerSecond: *tenant.TokensPerSecond}
	return c.tenantLimiter.Acquire(request.Tenant, limits, candidate.PromptTokens+candidate.OutputTokens, len(c.roster.List()), c.nowMs)
}

func tenantOrDefault(tenant string) string {
	if tenant == "" {
		return "default"
	}
	return tenant
}

// expectedOutputTokens estimates the length of the response as half of the allowed tokens, but at
// least minExpectedOutputTokens.
func expectedOutputTokens(request *protocol.CallRequest, allowedTokens int64) int64 {
	return max(minExpectedOutputTokens, outputTokenLimit(request, allowedTokens)/2)
}

func outputTokenLimit(request *protocol.CallRequest, allowedTokens int64) int64 {
	if request.MaxTokens > 0 {
		return min(request.MaxTokens, allowedTokens)
	}
	return allowedTokens
}

// startNextCall requests the turn of a program's next queued call. Invariant: a program has at most
// one active call, unless DisableTurnOrder is set; the ledger enforces the same across schedulers.
func (c *Core) startNextCall(local *localProgram) {
	if (local.activeCall != nil && !c.options.DisableTurnOrder) || len(local.queue) == 0 {
		return
	}
	next := local.queue[0]
	local.queue = local.queue[1:]
	local.activeCall = next
	local.lastActiveMs = c.nowMs
	c.requestTurn(next)
}

// requestTurn requests the turn of a call from the ledger.
func (c *Core) requestTurn(current *call) {
	request := current.request
	fields := c.effectiveFields("/services/" + request.Service)
	current.newPromptTokens = engine.CountMessages(request.Messages)
	current.maxOutputTokens = outputTokenLimit(request, *fields.MaxOutputTokens)
	c.lastCallID++
	current.nonce = c.nonceBase + c.lastCallID
	begin := &program.Begin{
		Program: request.Program, Tenant: request.Tenant, Service: request.Service,
		Thread: request.Thread, Parent: request.ParentThread, Request: request.Request, Create: request.Create,
		Limits: program.Limits{
			BudgetTokens: *fields.BudgetTokens, MaxTurns: *fields.MaxTurns, WallTimeMs: *fields.WallTimeMs, IdleTimeoutMs: *fields.IdleTimeoutMs,
		},
		Digest: current.contentDigest, AtMostOnce: request.AtMostOnce, NewTokens: current.newPromptTokens, MaxTokens: current.maxOutputTokens,
		Scheduler: c.options.Name, TakeOver: current.isTakeOver, RetryOf: current.retryOfFence, LostTokens: current.lostTokens,
		Nonce: current.nonce, Incarnation: c.options.Incarnation, TimeoutMs: max(0, current.deadlineMs-c.nowMs),
	}
	if request.BudgetTokens > 0 {
		begin.Limits.BudgetTokens = min(begin.Limits.BudgetTokens, request.BudgetTokens)
	}
	if program.IncludesHistory(request.Messages) {
		begin.PrefixDigests = program.PrefixDigests(request.Messages)
	}
	message := &protocol.LedgerRequest{
		Group: c.groupOf(request.Program), Command: program.Command{Begin: begin}, CachedTurn: current.local.cachedTurn,
	}
	timeoutMs := max(1, current.deadlineMs-c.nowMs)
	c.startControlRequest(message.Group, protocol.KindLedger, message, timeoutMs, func(reply any) { c.handleTurnReply(current, reply) })
}

// handleTurnReply handles the ledger's reply to a Begin.
func (c *Core) handleTurnReply(current *call, reply any) {
	if current.isEnded {
		c.returnGrant(current, reply)
		return
	}
	typed, ok := reply.(*protocol.LedgerReply)
	if !ok {
		c.endWithError(current, result.New(result.NoQuorum, "the ledger did not reply before the deadline").WithOutcome(result.NotRun))
		return
	}
	failure := typed.Reply.Error
	switch {
	case failure != nil && failure.Code == result.TurnOpen:
		c.scheduleTurnRetry(current, typed)
	case failure != nil:
		c.endWithError(current, failure)
	case typed.Reply.ClosedTurn > 0:
		c.replyFromRecord(current, typed)
	default:
		c.enqueueGranted(current, typed)
	}
}

// returnGrant aborts a turn that was granted to a call after the call had ended.
func (c *Core) returnGrant(current *call, reply any) {
	typed, ok := reply.(*protocol.LedgerReply)
	if ok && typed.Reply.Error == nil && typed.Reply.Fence > 0 {
		c.abortTurn(current.request.Program, typed.Reply.Fence, result.Cancelled, true, 0, func() {})
	}
}

// scheduleTurnRetry retries a turn request after openTurnRetryDelayMs because another call holds
// the program's turn. The retry takes the turn over if the scheduler that holds it is lost.
func (c *Core) scheduleTurnRetry(current *call, reply *protocol.LedgerReply) {
	holder := reply.Reply.Holder
	// If the holder has this scheduler's name, the turn is left from an earlier incarnation or an
	// earlier call: no other call here can hold it, because a program has one active call.
	current.isTakeOver = holder == c.options.Name || (holder != "" && !c.isAlive(holder, reply.Reply.HolderIncarnation))
	if current.isTakeOver {
		c.counters.TakeOverAttempts++
	}
	current.turnRetryAtMs = c.nowMs + openTurnRetryDelayMs
}

// tickPrograms repeats the turn requests that are due and evicts idle programs.
func (c *Core) tickPrograms() {
	for _, id := range sortedNames(c.busyPrograms) {
		current := c.busyPrograms[id].activeCall
		if current != nil && !current.isEnded && current.turnRetryAtMs != 0 && c.nowMs >= current.turnRetryAtMs {
			current.turnRetryAtMs = 0
			c.requestTurn(current)
		}
	}
	if c.nowMs-c.lastEvictionMs < evictionIntervalMs {
		return
	}
	c.lastEvictionMs = c.nowMs
	for _, id := range sortedNames(c.programs) {
		local := c.programs[id]
		if local.activeCall == nil && len(local.queue) == 0 && c.nowMs-local.lastActiveMs > programIdleTimeoutMs {
			c.evict(local)
		}
	}
}

// replyFromRecord ends a call with the result that the ledger has recorded for its request.
func (c *Core) replyFromRecord(current *call, reply *protocol.LedgerReply) {
	var record program.TurnRecord
	if len(reply.Records) != 1 || protocol.Decode(reply.Records[0], &record) != nil {
		c.endWithError(current, result.New(result.Internal, "the ledger reply has no valid record of turn %d", reply.Reply.ClosedTurn))
		return
	}
	if record.Code != result.OK {
		c.endWithError(current, result.New(record.Code, "request %s ended with this error before", record.Request))
		return
	}
	c.endWithReply(current, &protocol.CallReply{
		Content: record.Answer.Content, Usage: record.Usage, Turn: record.Turn, Engine: record.Engine,
		ProgramEnded: reply.Reply.Ended, RemainingTokens: reply.Reply.RemainingTokens,
	})
}

// enqueueGranted adds a call whose turn was granted to the calls that wait for an engine.
func (c *Core) enqueueGranted(current *call, reply *protocol.LedgerReply) {
	local := current.local
	if !c.addRecords(local, reply) {
		// Turn records are missing: request the turn again, with all records.
		c.dropRecords(local)
		current.turnRetryAtMs = c.nowMs + 1
		current.retryOfFence = reply.Reply.Fence
		current.lostTokens = 0
		return
	}
	request := current.request
	current.turn = reply.Reply.Turn
	current.fence = reply.Reply.Fence
	current.retryOfFence = 0
	current.isTakeOver = false
	current.newMessages = request.Messages[reply.Reply.SkipMessages:]
	current.newPromptTokens = engine.CountMessages(current.newMessages)
	history := program.Conversation(reply.Reply.Lineage, local.records)
	current.prompt = append(history, current.newMessages...)
	fields := c.effectiveFields("/services/" + request.Service)
	c.lastCallID++
	excluded := map[string]bool{}
	if current.schedulingCall != nil {
		excluded = current.schedulingCall.ExcludedEngines
	}
	current.schedulingCall = &scheduling.Call{
		ID: c.lastCallID, Program: request.Program, Pool: *fields.Pool, Priority: int(*fields.Priority),
		AttainedServiceMs: local.attainedServiceMs, ArrivedMs: current.arrivedMs, DeadlineMs: current.deadlineMs,
		PromptTokens: engine.CountMessages(current.prompt),
		OutputTokens: expectedOutputTokens(request, *fields.MaxOutputTokens),
		CachedTokens: local.cachedTokens, ExcludedEngines: excluded,
	}
	c.waitingCalls[current.schedulingCall.ID] = current
	c.cell.Waiting = append(c.cell.Waiting, current.schedulingCall)
	c.dispatch()
}

// addRecords adds the turn records of a grant to the cached history. It reports whether the history
// is complete up to the turn before the granted one.
func (c *Core) addRecords(local *localProgram, reply *protocol.LedgerReply) bool {
	for _, raw := range reply.Records {
		var record program.TurnRecord
		if protocol.Decode(raw, &record) != nil {
			return false
		}
		if record.Turn == local.cachedTurn+1 {
			c.cacheRecord(local, record)
		}
	}
	return local.cachedTurn == reply.Reply.Turn-1
}
