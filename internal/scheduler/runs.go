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

// dispatch lets the policy start and refuse waiting calls.
func (c *Core) dispatch() {
	if len(c.cell.Waiting) == 0 {
		return
	}
	decision := c.cell.Decide(c.nowMs)
	for _, refusal := range decision.Refusals {
		current := c.waiting[refusal.Call.ID]
		delete(c.waiting, refusal.Call.ID)
		c.counters.Refused++
		c.abortCall(current, refusal.Error, true, 0)
	}
	for _, start := range decision.Dispatches {
		current := c.waiting[start.Call.ID]
		delete(c.waiting, start.Call.ID)
		c.start(current, start.Engine.Name)
	}
}

func (c *Core) start(current *call, name string) {
	owned := c.engines[name]
	c.nextAttempt++
	current.attempt = c.nextAttempt
	current.engine = name
	current.startedMs = c.nowMs
	current.answer.Reset()
	c.attempts[current.attempt] = current
	c.counters.StartedAttempts++
	c.outlet.StartAttempt(EngineAttempt{
		ID: current.attempt, Engine: owned.info,
		Request: engine.CompletionRequest{
			Model: c.target(owned.info.Pool).Model, Messages: current.prompt, MaxTokens: current.maxTokens, Stream: true,
			Priority: current.schedule.Priority, User: current.request.Program, RequestID: current.request.Request,
		},
	})
}

// HandleChunk takes a part of an answer from an engine.
func (c *Core) HandleChunk(attempt AttemptID, text string, nowMs int64) {
	c.nowMs = nowMs
	current, ok := c.attempts[attempt]
	if !ok {
		return
	}
	current.answer.WriteString(text)
	answer := current.answer.String()
	// Invariant: no token goes out twice. What an earlier attempt has sent must
	// be a prefix of this one's answer; only what is beyond it goes out.
	if len(answer) <= len(current.sent) {
		return
	}
	if !strings.HasPrefix(answer, current.sent) {
		c.stopAttempt(current)
		c.abortCall(current, result.New(result.EngineFailed, "the answer differs from what an earlier engine had sent"), false, c.usedTokens(current))
		return
	}
	fresh := &protocol.CallChunk{Offset: len(current.sent), Text: answer[len(current.sent):]}
	current.sent = answer
	for _, sink := range current.sinks {
		c.outlet.Reply(sink, protocol.KindCallChunk, fresh, false)
	}
}

// usedTokens is what an attempt is known to have used of the budget.
func (c *Core) usedTokens(current *call) int64 {
	return current.newTokens + engine.CountTokens(current.answer.String())
}

// stopAttempt frees the engine's slot.
func (c *Core) stopAttempt(current *call) {
	if _, ok := c.attempts[current.attempt]; !ok {
		return
	}
	delete(c.attempts, current.attempt)
	c.outlet.StopAttempt(current.attempt)
	c.freeSlot(current)
}

func (c *Core) freeSlot(current *call) {
	if owned, ok := c.engines[current.engine]; ok {
		owned.schedule.RemoveCall(current.schedule)
	}
	current.local.attainedMs += c.nowMs - current.startedMs
}

// HandleCompletion takes the outcome of a run.
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
		c.attemptFailed(current, outcome)
	}
	c.dispatch()
}

// attemptFailed decides what becomes of a call whose engine failed.
func (c *Core) attemptFailed(current *call, outcome engine.CompletionOutcome) {
	delete(current.local.warm, current.engine)
	current.schedule.ExcludedEngines[current.engine] = true
	c.counters.FailedAttempts++
	if !outcome.MayHaveStarted {
		// The engine did not start the call: the same attempt goes elsewhere.
		if owned, ok := c.engines[current.engine]; ok {
			owned.schedule.Ready = false
			owned.known = false
		}
		c.requeue(current)
		return
	}
	current.ran = true
	limit := *c.fields("/services/" + current.request.Service).RetryAttempts
	once := current.request.AtMostOnce && !c.options.DisableAtMostOnce
	if once || current.retries >= limit {
		failure := result.New(result.EngineFailed, "engine %s: %v", current.engine, outcome.Err)
		if once {
			failure = result.New(result.OutcomeUnknown, "engine %s was lost: %v", current.engine, outcome.Err)
		}
		c.abortCall(current, failure, false, c.usedTokens(current))
		return
	}
	current.retries++
	current.retryOf = current.fence
	current.lost = c.usedTokens(current)
	c.begin(current)
}

// requeue puts a call back among those that wait.
func (c *Core) requeue(current *call) {
	c.waiting[current.schedule.ID] = current
	c.cell.Waiting = append(c.cell.Waiting, current.schedule)
}

// commit makes the answer durable; the final message goes out only after that.
func (c *Core) commit(current *call, usage program.Usage) {
	request := current.request
	content := current.answer.String()
	if usage.CompletionTokens == 0 {
		usage.CompletionTokens = engine.CountTokens(content)
	}
	c.counters.PromptTokens += usage.PromptTokens
	c.counters.CachedTokens += usage.CachedTokens
	commit := &program.Commit{
		Program: request.Program, Fence: current.fence, Messages: current.newOnes,
		Answer: program.Message{Role: "assistant", Content: content},
		Usage:  usage, NewTokens: current.newTokens, Engine: current.engine, EndsProgram: request.EndsProgram,
	}
	message := &protocol.LedgerRequest{Group: c.groupOf(request.Program), Command: program.Command{Commit: commit}}
	c.askControl(message.Group, protocol.KindLedger, message, commitPatienceMs, func(reply any) {
		c.committed(current, commit, reply)
	})
}

func (c *Core) committed(current *call, commit *program.Commit, reply any) {
	typed, ok := reply.(*protocol.LedgerReply)
	if !ok {
		c.endCall(current, result.New(result.NoQuorum, "the ledger did not confirm the answer"))
		return
	}
	if typed.Reply.Error != nil {
		c.endCall(current, typed.Reply.Error)
		return
	}
	local := current.local
	if local.knownTurn == current.turn-1 {
		c.cacheRecord(local, program.TurnRecord{
			Turn: current.turn, Thread: current.request.Thread, Request: current.request.Request,
			Messages: commit.Messages, Answer: commit.Answer, Usage: commit.Usage, Engine: commit.Engine,
		})
	}
	local.warm[current.engine] = engine.CountMessages(current.prompt) + commit.Usage.CompletionTokens
	c.counters.Answered++
	c.endWith(current, &protocol.CallReply{
		Content: commit.Answer.Content, Usage: commit.Usage, Turn: typed.Reply.Turn, Engine: current.engine,
		ProgramEnded: typed.Reply.Ended, RemainingTokens: typed.Reply.RemainingTokens,
	})
	if typed.Reply.Ended {
		c.releaseNow(local)
	}
}

// releaseNow drops an ended program from the engines that are known to hold it;
// the audit finds what this misses.
func (c *Core) releaseNow(local *localProgram) {
	if c.options.DisableAudit {
		return
	}
	for _, name := range sortedNames(local.warm) {
		if owned, ok := c.engines[name]; ok {
			c.counters.ReleasedPrograms++
			c.outlet.ReleasePrograms(owned.info, []string{local.id})
		}
	}
	if local.active == nil && len(local.queue) == 0 {
		c.forget(local)
	}
}

// abortCall answers the caller at once and closes the turn in the ledger; the
// program's next call waits for the latter.
func (c *Core) abortCall(current *call, failure *result.Error, notRun bool, tokens int64) {
	if notRun {
		failure = failure.WithOutcome(result.NotRun)
	}
	request := current.request
	c.answer(current, &protocol.CallReply{Error: failure})
	c.abort(request.Program, current.fence, failure.Code, notRun, tokens, func() { c.leave(current) })
}

func (c *Core) abort(id string, fence uint64, code result.Code, notRun bool, tokens int64, done func()) {
	abort := &program.Abort{Program: id, Fence: fence, Code: code, NotRun: notRun, UsedTokens: tokens}
	message := &protocol.LedgerRequest{Group: c.groupOf(id), Command: program.Command{Abort: abort}}
	c.askControl(message.Group, protocol.KindLedger, message, commitPatienceMs, func(any) { done() })
}

// endCall answers a call with an error.
func (c *Core) endCall(current *call, failure *result.Error) {
	c.endWith(current, &protocol.CallReply{Error: failure})
}

func (c *Core) endWith(current *call, answer *protocol.CallReply) {
	c.answer(current, answer)
	c.leave(current)
}

// answer sends the final message of a call to all who wait for it.
func (c *Core) answer(current *call, answer *protocol.CallReply) {
	if current.ended {
		return
	}
	current.ended = true
	// Invariant: "not run" is said only where no engine started the call.
	if answer.Error != nil && answer.Error.Outcome == result.NotRun && current.ran {
		answer.Error = answer.Error.WithOutcome(result.Ran)
	}
	c.tenants.Release(current.request.Tenant)
	for _, sink := range current.sinks {
		delete(c.sinks, sink)
		c.outlet.Reply(sink, protocol.KindCallReply, answer, true)
	}
}

// leave makes way for the program's next call.
func (c *Core) leave(current *call) {
	local := current.local
	local.lastMs = c.nowMs
	if local.active == current {
		local.active = nil
	}
	c.advance(local)
	if local.active == nil && len(local.queue) == 0 {
		delete(c.busy, local.id)
	}
	c.trimCache()
}

// cache counts a change in the size of the histories kept.
func (c *Core) cacheRecord(local *localProgram, record program.TurnRecord) {
	size := int64(len(record.Answer.Content))
	for _, message := range record.Messages {
		size += int64(len(message.Content))
	}
	local.records = append(local.records, record)
	local.knownTurn = record.Turn
	local.bytes += size
	c.cacheBytes += size
}

func (c *Core) dropRecords(local *localProgram) {
	c.cacheBytes -= local.bytes
	local.bytes = 0
	local.records = nil
	local.knownTurn = 0
}

// trimCache forgets the histories of the programs that were idle longest.
func (c *Core) trimCache() {
	for c.cacheBytes > c.options.HistoryCacheBytes {
		var oldest *localProgram
		for _, local := range c.programs {
			if local.active != nil || len(local.records) == 0 {
				continue
			}
			if oldest == nil || local.lastMs < oldest.lastMs || (local.lastMs == oldest.lastMs && local.id < oldest.id) {
				oldest = local
			}
		}
		if oldest == nil {
			return
		}
		c.dropRecords(oldest)
	}
}

func (c *Core) forget(local *localProgram) {
	c.dropRecords(local)
	delete(c.programs, local.id)
}

// HandleCancel drops a call whose caller has gone. A call that is not repeatable goes
// on: its caller may ask for the answer again.
func (c *Core) HandleCancel(cancel *protocol.Cancel, nowMs int64) {
	c.nowMs = nowMs
	local, ok := c.programs[cancel.Program]
	if !ok {
		return
	}
	failure := result.New(result.Cancelled, "the caller went away")
	for position, queued := range local.queue {
		if queued.request.Request == cancel.Request {
			local.queue = slices.Delete(local.queue, position, position+1)
			c.endCall(queued, failure.WithOutcome(result.NotRun))
			return
		}
	}
	current := local.active
	if current == nil || current.request.Request != cancel.Request || current.request.AtMostOnce {
		return
	}
	c.giveUp(current, failure)
}

// giveUp ends the active call of a program wherever it is, except in commit.
func (c *Core) giveUp(current *call, failure *result.Error) {
	if _, running := c.attempts[current.attempt]; running {
		current.ran = true
		used := c.usedTokens(current)
		c.stopAttempt(current)
		c.abortCall(current, failure, false, used)
		return
	}
	if current.schedule == nil {
		// The turn is being asked for; a grant that still comes is given back.
		c.endCall(current, failure.WithOutcome(result.NotRun))
		return
	}
	if _, waits := c.waiting[current.schedule.ID]; waits {
		delete(c.waiting, current.schedule.ID)
		c.cell.Waiting = slices.DeleteFunc(c.cell.Waiting, func(other *scheduling.Call) bool { return other == current.schedule })
		c.abortCall(current, failure, true, 0)
	}
}

// tickSilent gives up the runs of engines that have been silent for too long.
func (c *Core) tickSilent() {
	for _, attempt := range sortedIDs(c.attempts) {
		current := c.attempts[attempt]
		owned, ok := c.engines[current.engine]
		since := current.startedMs
		if ok {
			since = max(since, owned.heardMs)
		}
		if c.nowMs-since <= engineLostMs {
			continue
		}
		if !ok {
			// The engine has another owner now, which hears it; the stream goes on.
			continue
		}
		c.stopAttempt(current)
		c.attemptFailed(current, engine.CompletionOutcome{MayHaveStarted: true, Err: errEngineSilent})
	}
}

var errEngineSilent = errors.New("the engine has been silent for too long")

// tickDeadlines ends calls that run past their deadline.
func (c *Core) tickDeadlines() {
	for _, attempt := range sortedIDs(c.attempts) {
		current := c.attempts[attempt]
		if c.nowMs >= current.deadlineMs && !current.request.AtMostOnce {
			c.giveUp(current, result.New(result.DeadlinePassed, "the deadline passed while the call ran").WithOutcome(result.Ran))
		}
	}
	for _, id := range sortedNames(c.busy) {
		local := c.busy[id]
		if current := local.active; current != nil && current.nextMs != 0 && c.nowMs >= current.deadlineMs && !current.ended {
			current.nextMs = 0
			c.endCall(current, result.New(result.DeadlinePassed, "the program's earlier call did not end in time"))
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
		c.endCall(queued, result.New(result.DeadlinePassed, "the program's earlier call did not end in time"))
	}
}

// HandleSinkClosed forgets a sink whose connection has ended. The call goes on: its sidecar
// comes back for it, here or elsewhere.
func (c *Core) HandleSinkClosed(sink SinkID) {
	current, ok := c.sinks[sink]
	if !ok {
		return
	}
	delete(c.sinks, sink)
	current.sinks = slices.DeleteFunc(current.sinks, func(other SinkID) bool { return other == sink })
}
