// Package scheduling decides which engine runs which call next (design section 8). A CellScheduler
// holds the engines and the waiting calls of one scheduler, and Decide returns the calls to
// dispatch and to refuse. SelectEngine selects the engine for a request at a gateway, by what the
// gateways have learned about the engines. The package is pure: its callers pass the time.
package scheduling

import (
	"math"
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/result"
)

// Engine is the state of one engine at the scheduler that owns it.
type Engine struct {
	Name  string
	Pool  string
	Ready bool
	// Closed engines accept no new calls: they are draining, leaving or not responding.
	Closed bool
	// Slots is the maximum number of calls that are sent to the engine at once.
	Slots    int
	InFlight int
	// PendingPromptTokens is the number of prompt tokens of calls in flight that the engine has not
	// cached, and PendingOutputTokens the expected number of their output tokens.
	PendingPromptTokens int64
	PendingOutputTokens int64
	// PrefillTokensPerSecond is the speed of the prefill. A decoding step of a batch of n sequences
	// takes StepMicros + n * StepMicrosPerSequence.
	PrefillTokensPerSecond int64
	StepMicros             int64
	StepMicrosPerSequence  int64
}

// Call is a call that waits for an engine.
type Call struct {
	ID      uint64
	Program string
	Pool    string
	// Priority is the priority of the service; a lower number is more urgent.
	Priority int
	// AttainedServiceMs is the engine time that the program has used so far.
	AttainedServiceMs int64
	ArrivedMs         int64
	// DeadlineMs is 0 for a call without a deadline.
	DeadlineMs int64
	// PromptTokens is the length of the whole prompt, and OutputTokens the expected length of the
	// response.
	PromptTokens int64
	OutputTokens int64
	// CachedTokens is the number of tokens of the prompt that each engine has cached.
	CachedTokens map[string]int64
	// ExcludedEngines are the engines at which this call has failed.
	ExcludedEngines map[string]bool
}

// Policy holds the parameters of the scheduler. The zero value of a switch leaves its mechanism
// enabled.
type Policy struct {
	// AgeingMs is the waiting time that raises the priority of a call by one; 0 disables ageing.
	AgeingMs int64
	// QueueLimit limits the number of waiting calls.
	QueueLimit int
	// MoveFactor is how many times sooner the engine with the cached prefix must be expected to
	// finish for a call to wait for it instead of moving to an engine with a free slot.
	MoveFactor float64

	IgnorePriority        bool
	IgnoreAttainedService bool
	IgnorePrefix          bool
	IgnoreDeadline        bool
	IgnoreBacklog         bool
	FirstComeFirstServed  bool
}

// DefaultPolicy returns the default parameters.
func DefaultPolicy() Policy {
	return Policy{AgeingMs: 10_000, QueueLimit: 2000, MoveFactor: 1.25}
}

// Dispatch assigns a call to an engine.
type Dispatch struct {
	Call   *Call
	Engine *Engine
}

// Refusal ends a waiting call with an error.
type Refusal struct {
	Call  *Call
	Error *result.Error
}

// Decision is the result of Decide.
type Decision struct {
	Dispatches []Dispatch
	Refusals   []Refusal
}

// CellScheduler holds the engines and the waiting calls of one scheduler.
type CellScheduler struct {
	Policy  Policy
	Engines []*Engine
	Waiting []*Call
}

// Decide goes through the waiting calls in order of urgency and dispatches those for which an
// engine should be used now. Dispatched and refused calls are removed from Waiting, and the counts
// of the engines are updated.
func (c *CellScheduler) Decide(nowMs int64) Decision {
	var decision Decision
	c.sortWaiting(nowMs)
	var waiting []*Call
	fullPools := map[string]bool{}
	for _, call := range c.Waiting {
		if refusal := c.deadlineError(call, nowMs); refusal != nil {
			decision.Refusals = append(decision.Refusals, Refusal{call, refusal})
			continue
		}
		if fullPools[call.Pool] {
			waiting = append(waiting, call)
			continue
		}
		engine, hasFreeSlot := c.findEngine(call)
		if engine == nil {
			// A call that has excluded the engines with free slots says nothing about the other
			// calls of the pool.
			fullPools[call.Pool] = !hasFreeSlot && len(call.ExcludedEngines) == 0
			waiting = append(waiting, call)
			continue
		}
		engine.AddCall(call)
		decision.Dispatches = append(decision.Dispatches, Dispatch{call, engine})
	}
	c.Waiting = waiting
	return decision
}

// AddCall counts a call that is sent to the engine.
func (e *Engine) AddCall(call *Call) {
	e.InFlight++
	e.PendingPromptTokens += call.PromptTokens - call.CachedTokens[e.Name]
	e.PendingOutputTokens += call.OutputTokens
}

// RemoveCall counts a call that the engine no longer runs.
func (e *Engine) RemoveCall(call *Call) {
	e.InFlight = max(0, e.InFlight-1)
	e.PendingPromptTokens = max(0, e.PendingPromptTokens-(call.PromptTokens-call.CachedTokens[e.Name]))
	e.PendingOutputTokens = max(0, e.PendingOutputTokens-call.OutputTokens)
}

// sortWaiting sorts the waiting calls by priority, within a priority by least attained service, and
// then by arrival. The priority rises with the waiting time, so that the least urgent calls are not
// starved.
func (c *CellScheduler) sortWaiting(nowMs int64) {
	slices.SortStableFunc(c.Waiting, func(a, b *Call) int {
		if c.Policy.FirstComeFirstServed {
			return int(a.ArrivedMs - b.ArrivedMs)
		}
		if priorityDifference := c.effectivePriority(a, nowMs) - c.effectivePriority(b, nowMs); priorityDifference != 0 {
			return priorityDifference
		}
		if serviceDifference := a.AttainedServiceMs - b.AttainedServiceMs; serviceDifference != 0 && !c.Policy.IgnoreAttainedService {
			return int(min(max(serviceDifference, math.MinInt32), math.MaxInt32))
		}
		if arrivalDifference := a.ArrivedMs - b.ArrivedMs; arrivalDifference != 0 {
			return int(arrivalDifference)
		}
		return strings.Compare(a.Program, b.Program)
	})
}

// effectivePriority returns the priority of a call, raised by its waiting time.
func (c *CellScheduler) effectivePriority(call *Call, nowMs int64) int {
	if c.Policy.IgnorePriority {
		return 0
	}
	if c.Policy.AgeingMs <= 0 {
		return call.Priority
	}
	return call.Priority - int((nowMs-call.ArrivedMs)/c.Policy.AgeingMs)
}

// deadlineError returns an error if the deadline of a call has passed.
func (c *CellScheduler) deadlineError(call *Call, nowMs int64) *result.Error {
	if c.Policy.IgnoreDeadline || call.DeadlineMs == 0 || nowMs < call.DeadlineMs {
		return nil
	}
	return result.New(result.DeadlinePassed, "the deadline passed after %d ms in the queue", nowMs-call.ArrivedMs)
}

// findEngine returns the engine that should run the call now, or nil if the call should wait.
// hasFreeSlot reports whether any engine considered has a free slot.
func (c *CellScheduler) findEngine(call *Call) (best *Engine, hasFreeSlot bool) {
	best, hasFreeSlot, hasUsable := c.findEngineAmong(call, false)
	if hasUsable || len(call.ExcludedEngines) == 0 {
		return best, hasFreeSlot
	}
	// The call has failed at every open engine: all of them may be tried again.
	best, hasFreeSlot, _ = c.findEngineAmong(call, true)
	return best, hasFreeSlot
}

// findEngineAmong considers the engines of the pool that the call has excluded, or those that it
// has not. hasUsable reports whether there is any that accepts calls.
func (c *CellScheduler) findEngineAmong(call *Call, excluded bool) (best *Engine, hasFreeSlot, hasUsable bool) {
	var bestFree, bestAny *Engine
	var freeMicros, anyMicros int64
	for _, engine := range c.Engines {
		if engine.Pool != call.Pool || !engine.Ready || engine.Closed || call.ExcludedEngines[engine.Name] != excluded {
			continue
		}
		hasUsable = true
		micros := c.EstimateCompletionMicros(engine, call)
		if bestAny == nil || micros < anyMicros {
			bestAny, anyMicros = engine, micros
		}
		if engine.InFlight < engine.Slots {
			hasFreeSlot = true
			if bestFree == nil || micros < freeMicros {
				bestFree, freeMicros = engine, micros
			}
		}
	}
	if bestFree == nil {
		return nil, hasFreeSlot, hasUsable
	}
	// A call waits for a busy engine, usually the one that has its prefix cached, if it would
	// finish much later at the best engine with a free slot.
	if bestAny != bestFree && float64(freeMicros) > c.Policy.MoveFactor*float64(anyMicros) {
		return nil, hasFreeSlot, hasUsable
	}
	return bestFree, hasFreeSlot, hasUsable
}

// EstimateCompletionMicros estimates how long a call would take on an engine: the prefill of the
// backlog and of the prompt tokens that are not cached, the decoding of the output in the batch it
// would join, and for a full engine the wait for a slot.
func (c *CellScheduler) EstimateCompletionMicros(engine *Engine, call *Call) int64 {
	uncached := call.PromptTokens
	if !c.Policy.IgnorePrefix {
		uncached -= call.CachedTokens[engine.Name]
	}
	backlogTokens := engine.PendingPromptTokens
	if c.Policy.IgnoreBacklog {
		backlogTokens = 0
	}
	tokensPerSecond := max(1, engine.PrefillTokensPerSecond)
	prefillMicros := (backlogTokens + uncached) * 1_000_000 / tokensPerSecond
	stepMicros := engine.StepMicros + int64(engine.InFlight+1)*engine.StepMicrosPerSequence
	queueMicros := int64(0)
	if engine.InFlight >= engine.Slots && engine.Slots > 0 {
		// The call waits until one of the calls in flight ends, on average after half of their mean
		// decoding time.
		queueMicros = engine.PendingOutputTokens / int64(engine.InFlight) * stepMicros / 2
	}
	return queueMicros + prefillMicros + call.OutputTokens*stepMicros
}

// Admit decides whether a new call may join the queue. A refusal is final and immediate, and
// carries the time after which the queue will have drained.
func (c *CellScheduler) Admit(call *Call, nowMs int64) *result.Error {
	ready := 0
	var bestMicros int64 = math.MaxInt64
	for _, engine := range c.Engines {
		if engine.Pool == call.Pool && engine.Ready && !engine.Closed {
			ready++
			bestMicros = min(bestMicros, c.EstimateCompletionMicros(engine, call))
		}
	}
	drainMs := c.queueDrainMs(call.Pool)
	if ready > 0 && len(c.Waiting) >= c.Policy.QueueLimit {
		return result.New(result.Overloaded, "the queue of the scheduler is full with %d waiting calls", len(c.Waiting)).WithRetryAfter(msDuration(drainMs))
	}
	if ready == 0 || c.Policy.IgnoreDeadline || call.DeadlineMs == 0 {
		return nil
	}
	expectedMs := c.queueAheadMs(call, nowMs) + bestMicros/1000
	if nowMs+expectedMs > call.DeadlineMs {
		return result.New(result.DeadlineTooClose, "the call is expected to finish in %d ms, but its deadline is in %d ms", expectedMs, call.DeadlineMs-nowMs).
			WithRetryAfter(msDuration(max(drainMs, 100)))
	}
	return nil
}
