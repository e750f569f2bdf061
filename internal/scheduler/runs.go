package scheduler

import (
	"errors"
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// dispatch starts and refuses waiting calls as the scheduling policy decides.
func (c *Core) dispatch() {
	if len(c.cell.Waiting) == 0 {
		return
	}
	decision := c.cell.Decide(c.nowMs)
	for _, refusal := range decision.Refusals {
		current := c.waitingCalls[refusal.Call.ID]
		delete(c.waitingCalls, refusal.Call.ID)
		c.counters.Refused++
		c.abortCall(current, refusal.Error, true, 0)
	}
	for _, dispatched := range decision.Dispatches {
		current := c.waitingCalls[dispatched.Call.ID]
		delete(c.waitingCalls, dispatched.Call.ID)
		c.startAttempt(current, dispatched.Engine.Name)
	}
}

func (c *Core) startAttempt(current *call, engineName string) {
	owned := c.engines[engineName]
	c.lastAttemptID++
	current.attempt = c.lastAttemptID
	current.engine = engineName
	current.startedMs = c.nowMs
	current.response.Reset()
	c.attempts[current.attempt] = current
	c.counters.StartedAttempts++
	c.transport.StartAttempt(EngineAttempt{
		ID: current.attempt, Engine: owned.info,
		Request: engine.CompletionRequest{
			Model: c.poolTarget(owned.info.Pool).Model, Messages: current.prompt, MaxTokens: current.maxOutputTokens, Stream: true,
			Priority: current.schedulingCall.Priority, User: current.request.Program, RequestID: current.request.Request,
		},
	})
}

// HandleChunk handles a chunk of an engine's response.
func (c *Core) HandleChunk(attempt AttemptID, text string, nowMs int64) {
	c.nowMs = nowMs
	current, ok := c.attempts[attempt]
	if !ok {
		return
	}
	current.response.WriteString(text)
	response := current.response.String()
	// Invariant: no part of a response is sent twice to the same sink. The text that an earlier
	// attempt has sent must be a prefix of this attempt's response, and only the rest is sent.
	if len(response) <= len(current.sentText) {
		return
	}
	if !strings.HasPrefix(response, current.sentText) {
		c.stopAttempt(current)
		c.abortCall(current, result.New(result.EngineFailed, "the response differs from the text that an earlier attempt has sent"), false, c.usedTokens(current))
		return
	}
	chunk := &protocol.CallChunk{Offset: len(current.sentText), Text: response[len(current.sentText):]}
	current.sentText = response
	for _, sink := range current.sinks {
		c.transport.Reply(sink, protocol.KindCallChunk, chunk, false)
	}
}

// usedTokens returns the number of budget tokens that the present attempt is known to have used:
// its new prompt tokens and the tokens of the response received.
func (c *Core) usedTokens(current *call) int64 {
	return current.newPromptTokens + engine.CountTokens(current.response.String())
}

// stopAttempt closes the stream of a running attempt and frees the engine's slot.
func (c *Core) stopAttempt(current *call) {
	if _, ok := c.attempts[current.attempt]; !ok {
		return
	}
	delete(c.attempts, current.attempt)
	c.transport.StopAttempt(current.attempt)
	c.freeSlot(current)
}

func (c *Core) freeSlot(current *call) {
	if owned, ok := c.engines[current.engine]; ok {
		owned.schedulingEngine.RemoveCall(current.schedulingCall)
	}
	current.local.attainedServiceMs += c.nowMs - current.startedMs
}

// HandleCompletion handles the outcome of an attempt.
func (c *Core) HandleCompletion(attempt AttemptID, outcome engine.CompletionOutcome, nowMs int64) {
	c.nowMs = nowMs
	current, ok := c.attempts[attempt]
	if !ok {
		return
	}
	delete(c.attempts, attempt)
	c.freeSlot(current)
	if outcome.Err == nil {
		c.commit(current, outcome.Usage)
	} else {
		c.handleAttemptFailure(current, outcome)
	}
	c.dispatch()
}

// handleAttemptFailure retries a call whose attempt failed or ends it with an error. An attempt
// that may have started is repeated only if the call is repeatable and has retries left.
func (c *Core) handleAttemptFailure(current *call, outcome engine.CompletionOutcome) {
	delete(current.local.cachedTokens, current.engine)
	current.schedulingCall.ExcludedEngines[current.engine] = true
	c.counters.FailedAttempts++
	if !outcome.MayHaveStarted {
		// The engine did not start the call: it can run on another engine under the same fence,
		// even if the call must run at most once.
		if owned, ok := c.engines[current.engine]; ok {
			owned.schedulingEngine.Ready = false
			owned.hasState = false
		}
		c.requeue(current)
		return
	}
	current.mayHaveRun = true
	limit := *c.effectiveFields("/services/" + current.request.Service).RetryAttempts
	atMostOnce := current.request.AtMostOnce && !c.options.DisableAtMostOnce
	if atMostOnce || current.retries >= limit {
		failure := result.New(result.EngineFailed, "attempt on engine %s failed: %v", current.engine, outcome.Err)
		if atMostOnce {
			failure = result.New(result.OutcomeUnknown, "attempt on engine %s failed after it may have started: %v", current.engine, outcome.Err)
		}
		c.abortCall(current, failure, false, c.usedTokens(current))
		return
	}
	current.retries++
	current.retryOfFence = current.fence
	current.lostTokens = c.usedTokens(current)
	c.requestTurn(current)
}

// requeue adds a call with an open turn to the waiting calls again.
func (c *Core) requeue(current *call) {
	c.waitingCalls[current.schedulingCall.ID] = current
	c.cell.Waiting = append(c.cell.Waiting, current.schedulingCall)
}

// commit records the response in the ledger. The final message is sent only after the ledger has
// confirmed the commit.
func (c *Core) commit(current *call, usage program.Usage) {
	request := current.request
	content := current.response.String()
	if usage.CompletionTokens == 0 {
		usage.CompletionTokens = engine.CountTokens(content)
	}
	c.counters.PromptTokens += usage.PromptTokens
	c.counters.CachedTokens += usage.CachedTokens
	commit := &program.Commit{
		Program: request.Program, Fence: current.fence, Messages: current.newMessages,
		Answer: program.Message{Role: "assistant", Content: content},
		Usage:  usage, NewTokens: current.newPromptTokens, Engine: current.engine, EndsProgram: request.EndsProgram,
	}
	message := &protocol.LedgerRequest{Group: c.groupOf(request.Program), Command: program.Command{Commit: commit}}
	c.startControlRequest(message.Group, protocol.KindLedger, message, commitTimeoutMs, func(reply any) {
		c.handleCommitReply(current, commit, reply)
	})
}

func (c *Core) handleCommitReply(current *call, commit *program.Commit, reply any) {
	typed, ok := reply.(*protocol.LedgerReply)
	if !ok {
		c.endWithError(current, result.New(result.NoQuorum, "the ledger did not confirm the commit of the response"))
		return
	}
	if typed.Reply.Error != nil {
		c.endWithError(current, typed.Reply.Error)
		return
	}
	local := current.local
	if local.cachedTurn == current.turn-1 {
		c.cacheRecord(local, program.TurnRecord{
			Turn: current.turn, Thread: current.request.Thread, Request: current.request.Request,
			Messages: commit.Messages, Answer: commit.Answer, Usage: commit.Usage, Engine: commit.Engine,
		})
	}
	local.cachedTokens[current.engine] = engine.CountMessages(current.prompt) + commit.Usage.CompletionTokens
	c.counters.Answered++
	c.endWithReply(current, &protocol.CallReply{
		Content: commit.Answer.Content, Usage: commit.Usage, Turn: typed.Reply.Turn, Engine: current.engine,
		ProgramEnded: typed.Reply.Ended, RemainingTokens: typed.Reply.RemainingTokens,
	})
	if typed.Reply.Ended {
		c.releaseCachedProgram(local)
	}
}

// releaseCachedProgram releases an ended program on the engines that are known to have it cached.
// The audit of cached programs finds the copies that are missed here.
func (c *Core) releaseCachedProgram(local *localProgram) {
	if c.options.DisableAudit {
		return
	}
	for _, name := range sortedNames(local.cachedTokens) {
		if owned, ok := c.engines[name]; ok {
			c.counters.ReleasedPrograms++
			c.transport.ReleasePrograms(owned.info, []string{local.id})
		}
	}
	if local.activeCall == nil && len(local.queue) == 0 {
		c.evict(local)
	}
}

// abortCall sends the error at once and closes the turn in the ledger. The program's next call
// starts when the ledger has replied or commitTimeoutMs has passed.
func (c *Core) abortCall(current *call, failure *result.Error, notRun bool, usedTokens int64) {
	if notRun {
		failure = failure.WithOutcome(result.NotRun)
	}
	request := current.request
	c.sendReply(current, &protocol.CallReply{Error: failure})
	c.abortTurn(request.Program, current.fence, failure.Code, notRun, usedTokens, func() { c.closeCall(current) })
}

func (c *Core) abortTurn(programID string, fence uint64, code result.Code, notRun bool, usedTokens int64, onDone func()) {
	abort := &program.Abort{Program: programID, Fence: fence, Code: code, NotRun: notRun, UsedTokens: usedTokens}
	message := &protocol.LedgerRequest{Group: c.groupOf(programID), Command: program.Command{Abort: abort}}
	c.startControlRequest(message.Group, protocol.KindLedger, message, commitTimeoutMs, func(any) { onDone() })
}

// endWithError ends a call with an error reply.
func (c *Core) endWithError(current *call, failure *result.Error) {
	c.endWithReply(current, &protocol.CallReply{Error: failure})
}

func (c *Core) endWithReply(current *call, reply *protocol.CallReply) {
	c.sendReply(current, reply)
	c.closeCall(current)
}

// sendReply sends the final message of a call to all its sinks, once.
func (c *Core) sendReply(current *call, reply *protocol.CallReply) {
	if current.isEnded {
		return
	}
	current.isEnded = true
	// Invariant: the outcome is "not run" only if no engine may have started the call.
	if reply.Error != nil && reply.Error.Outcome == result.NotRun && current.mayHaveRun {
		reply.Error = reply.Error.WithOutcome(result.Ran)
	}
	c.tenantLimiter.Release(current.request.Tenant)
	for _, sink := range current.sinks {
		delete(c.sinks, sink)
		c.transport.Reply(sink, protocol.KindCallReply, reply, true)
	}
}

// closeCall removes an ended call from its program and starts the program's next call.
func (c *Core) closeCall(current *call) {
	local := current.local
	local.lastActiveMs = c.nowMs
	if local.activeCall == current {
		local.activeCall = nil
	}
	c.startNextCall(local)
	if local.activeCall == nil && len(local.queue) == 0 {
		delete(c.busyPrograms, local.id)
	}
	c.trimCache()
}

// cacheRecord appends the record of a turn to the cached history of a program and counts its size.
func (c *Core) cacheRecord(local *localProgram, record program.TurnRecord) {
	size := int64(len(record.Answer.Content))
	for _, message := range record.Messages {
		size += int64(len(message.Content))
	}
	local.records = append(local.records, record)
	local.cachedTurn = record.Turn
	local.recordBytes += size
	c.cachedHistoryBytes += size
}

func (c *Core) dropRecords(local *localProgram) {
	c.cachedHistoryBytes -= local.recordBytes
	local.recordBytes = 0
	local.records = nil
	local.cachedTurn = 0
}

// trimCache drops the cached histories of programs without an active call, the least recently active
// first, until the cache is within HistoryCacheBytes.
func (c *Core) trimCache() {
	for c.cachedHistoryBytes > c.options.HistoryCacheBytes {
		var leastRecent *localProgram
		for _, local := range c.programs {
			if local.activeCall != nil || len(local.records) == 0 {
				continue
			}
			if leastRecent == nil || local.lastActiveMs < leastRecent.lastActiveMs || (local.lastActiveMs == leastRecent.lastActiveMs && local.id < leastRecent.id) {
				leastRecent = local
			}
		}
		if leastRecent == nil {
			return
		}
		c.dropRecords(leastRecent)
	}
}

func (c *Core) evict(local *localProgram) {
	c.dropRecords(local)
	delete(c.programs, local.id)
}

// HandleCancel ends a call whose caller has disconnected. An active call that is not repeatable
// continues, because its caller may request the response again.
func (c *Core) HandleCancel(cancel *protocol.Cancel, nowMs int64) {
	c.nowMs = nowMs
	local, ok := c.programs[cancel.Program]
	if !ok {
		return
	}
	failure := result.New(result.Cancelled, "the caller disconnected")
	for position, queued := range local.queue {
		if queued.request.Request == cancel.Request {
			local.queue = slices.Delete(local.queue, position, position+1)
			c.endWithError(queued, failure.WithOutcome(result.NotRun))
			return
		}
	}
	current := local.activeCall
	if current == nil || current.request.Request != cancel.Request || current.request.AtMostOnce {
		return
	}
	c.abandonCall(current, failure)
}

// abandonCall ends the active call of a program with an error. It has no effect during the commit of
// the call, and while the turn of a retry is requested.
func (c *Core) abandonCall(current *call, failure *result.Error) {
	if _, isRunning := c.attempts[current.attempt]; isRunning {
		current.mayHaveRun = true
		used := c.usedTokens(current)
		c.stopAttempt(current)
		c.abortCall(current, failure, false, used)
		return
	}
	if current.schedulingCall == nil {
		// The turn is being requested. A grant that still arrives is returned.
		c.endWithError(current, failure.WithOutcome(result.NotRun))
		return
	}
	if _, isWaiting := c.waitingCalls[current.schedulingCall.ID]; isWaiting {
		delete(c.waitingCalls, current.schedulingCall.ID)
		c.cell.Waiting = slices.DeleteFunc(c.cell.Waiting, func(other *scheduling.Call) bool { return other == current.schedulingCall })
		c.abortCall(current, failure, true, 0)
	}
}

// tickLostEngines fails the attempts on engines of the cell that have sent no state report for
// engineLostTimeoutMs.
func (c *Core) tickLostEngines() {
	for _, attempt := range sortedIDs(c.attempts) {
		current := c.attempts[attempt]
		owned, ok := c.engines[current.engine]
		lastContactMs := current.startedMs
		if ok {
			lastContactMs = max(lastContactMs, owned.lastReportMs)
		}
		if c.nowMs-lastContactMs <= engineLostTimeoutMs {
			continue
		}
		if !ok {
			// Another scheduler owns the engine now and receives its reports. The stream continues.
			continue
		}
		c.stopAttempt(current)
		c.handleAttemptFailure(current, engine.CompletionOutcome{MayHaveStarted: true, Err: errEngineReportTimeout})
	}
}

var errEngineReportTimeout = errors.New("the engine has sent no state report within the timeout")

// tickDeadlines ends calls whose deadline has passed: repeatable calls that run on an engine, calls
// that wait for a turn held by another call, and queued calls.
func (c *Core) tickDeadlines() {
	for _, attempt := range sortedIDs(c.attempts) {
		current := c.attempts[attempt]
		if c.nowMs >= current.deadlineMs && !current.request.AtMostOnce {
			c.abandonCall(current, result.New(result.DeadlinePassed, "the deadline passed while an engine ran the call").WithOutcome(result.Ran))
		}
	}
	for _, id := range sortedNames(c.busyPrograms) {
		local := c.busyPrograms[id]
		if current := local.activeCall; current != nil && current.turnRetryAtMs != 0 && c.nowMs >= current.deadlineMs && !current.isEnded {
			current.turnRetryAtMs = 0
			c.endWithError(current, result.New(result.DeadlinePassed, "an earlier call of the program did not end before the deadline"))
		}
		c.expireQueued(local)
	}
}

func (c *Core) expireQueued(local *localProgram) {
	for position := 0; position < len(local.queue); position++ {
		queued := local.queue[position]
		if c.nowMs < queued.deadlineMs {
			continue
		}
		local.queue = slices.Delete(local.queue, position, position+1)
		position--
		c.endWithError(queued, result.New(result.DeadlinePassed, "an earlier call of the program did not end before the deadline"))
	}
}

// HandleSinkClosed removes a sink whose connection has closed. The call continues, because its
// sidecar sends the request again, to this or another scheduler.
func (c *Core) HandleSinkClosed(sink SinkID) {
	current, ok := c.sinks[sink]
	if !ok {
		return
	}
	delete(c.sinks, sink)
	current.sinks = slices.DeleteFunc(current.sinks, func(other SinkID) bool { return other == sink })
}
