// Package scheduling decides which engine runs which call next (design section
// 8). It is pure: a Cell is what one scheduler knows of its engines and waiting
// calls, and Decide returns what to start and what to refuse.
package scheduling

import (
	"math"
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/result"
)

// Engine is one engine as its owner knows it.
type Engine struct {
	Name  string
	Pool  string
	Ready bool
	// Closed engines take no new work: they drain, leave or don't answer.
	Closed bool
	// Slots is how many calls the engine is sent at once.
	Slots    int
	InFlight int
	// PendingPromptTokens are prompt tokens sent and not yet answered, and
	// OutputTokens the answer tokens expected of calls in flight.
	PendingPromptTokens int64
	PendingOutputTokens int64
	// PrefillTokensPerSecond and StepMicros describe its speed.
	PrefillTokensPerSecond int64
	StepMicros             int64
	StepMicrosPerSequence  int64
}

// Call is one call that waits for an engine.
type Call struct {
	ID      uint64
	Program string
	Pool    string
	// Rank is the service's rank; lower is more urgent.
	Rank int
	// AttainedServiceMs is the engine time that the program has had.
	AttainedServiceMs int64
	ArrivedMs         int64
	DeadlineMs        int64
	// PromptTokens is the length of the whole prompt, OutputTokens what the
	// answer is expected to need.
	PromptTokens int64
	OutputTokens int64
	// CachedTokens tells how many tokens of the prompt each engine holds.
	CachedTokens map[string]int64
	// ExcludedEngines engines failed this call before.
	ExcludedEngines map[string]bool
}

// Policy holds the parameters of the decision. The zero value of a switch means
// that the mechanism is on.
type Policy struct {
	// AgeingMs is the wait after which a call counts as one rank more urgent.
	AgeingMs int64
	// QueueLimit bounds the waiting calls of the cell.
	QueueLimit int
	// MoveFactor is how much sooner another engine must be expected to finish
	// before a call leaves the engine that holds its prefix.
	MoveFactor float64

	IgnoreRank            bool
	IgnoreAttainedService bool
	IgnorePrefix          bool
	IgnoreDeadline        bool
	IgnoreBacklog         bool
	FirstComeFirstServed  bool
}

// DefaultPolicy returns the parameters in use; they were chosen before any
// measurement, from the design.
func DefaultPolicy() Policy {
	return Policy{AgeingMs: 10_000, QueueLimit: 2000, MoveFactor: 1.25}
}

// Dispatch sends a call to an engine.
type Dispatch struct {
	Call   *Call
	Engine *Engine
}

// Refusal ends a call that waits.
type Refusal struct {
	Call  *Call
	Error *result.Error
}

// Decision is what Decide returns.
type Decision struct {
	Dispatches []Dispatch
	Refusals   []Refusal
}

// CellScheduler is one scheduler's engines and waiting calls.
type CellScheduler struct {
	Policy  Policy
	Engines []*Engine
	Waiting []*Call
}

// Decide goes through the waiting calls in order of urgency and starts those for
// which an engine should be used now. Started and refused calls leave Waiting;
// the engines' counts are updated.
func (c *CellScheduler) Decide(nowMs int64) Decision {
	var decision Decision
	c.order(nowMs)
	var still []*Call
	full := map[string]bool{}
	for _, call := range c.Waiting {
		if refusal := c.overdue(call, nowMs); refusal != nil {
			decision.Refusals = append(decision.Refusals, Refusal{call, refusal})
			continue
		}
		if full[call.Pool] {
			still = append(still, call)
			continue
		}
		engine, open := c.place(call)
		if engine == nil {
			// A call that has excluded the engines with room says nothing of the others.
			full[call.Pool] = !open && len(call.ExcludedEngines) == 0
			still = append(still, call)
			continue
		}
		engine.AddCall(call)
		decision.Dispatches = append(decision.Dispatches, Dispatch{call, engine})
	}
	c.Waiting = still
	return decision
}

// AddCall counts a call that the engine is sent.
func (e *Engine) AddCall(call *Call) {
	e.InFlight++
	e.PendingPromptTokens += call.PromptTokens - call.CachedTokens[e.Name]
	e.PendingOutputTokens += call.OutputTokens
}

// RemoveCall counts a call that the engine is rid of.
func (e *Engine) RemoveCall(call *Call) {
	e.InFlight = max(0, e.InFlight-1)
	e.PendingPromptTokens = max(0, e.PendingPromptTokens-(call.PromptTokens-call.CachedTokens[e.Name]))
	e.PendingOutputTokens = max(0, e.PendingOutputTokens-call.OutputTokens)
}

// order sorts the waiting calls: by rank, which waiting improves so that the
// lowest rank still ends; inside a rank by least attained service; then by
// arrival.
func (c *CellScheduler) order(nowMs int64) {
	slices.SortStableFunc(c.Waiting, func(a, b *Call) int {
		if c.Policy.FirstComeFirstServed {
			return int(a.ArrivedMs - b.ArrivedMs)
		}
		if ranks := c.effectiveRank(a, nowMs) - c.effectiveRank(b, nowMs); ranks != 0 {
			return ranks
		}
		if service := a.AttainedServiceMs - b.AttainedServiceMs; service != 0 && !c.Policy.IgnoreAttainedService {
			return int(min(max(service, math.MinInt32), math.MaxInt32))
		}
		if arrival := a.ArrivedMs - b.ArrivedMs; arrival != 0 {
			return int(arrival)
		}
		return strings.Compare(a.Program, b.Program)
	})
}

func (c *CellScheduler) effectiveRank(call *Call, nowMs int64) int {
	if c.Policy.IgnoreRank {
		return 0
	}
	if c.Policy.AgeingMs <= 0 {
		return call.Rank
	}
	return call.Rank - int((nowMs-call.ArrivedMs)/c.Policy.AgeingMs)
}

func (c *CellScheduler) overdue(call *Call, nowMs int64) *result.Error {
	if c.Policy.IgnoreDeadline || call.DeadlineMs == 0 || nowMs < call.DeadlineMs {
		return nil
	}
	return result.New(result.DeadlinePassed, "the deadline passed after %d ms in the queue", nowMs-call.ArrivedMs)
}

// place returns the engine that should run the call now, nil where it should
// wait; open reports whether any engine of the pool has a free slot.
func (c *CellScheduler) place(call *Call) (best *Engine, open bool) {
	best, open, usable := c.placeAmong(call, false)
	if usable || len(call.ExcludedEngines) == 0 {
		return best, open
	}
	// Every open engine has failed the call once: all may be tried again.
	best, open, _ = c.placeAmong(call, true)
	return best, open
}

func (c *CellScheduler) placeAmong(call *Call, excluded bool) (best *Engine, open, usable bool) {
	var bestFree, bestAny *Engine
	var freeMicros, anyMicros int64
	for _, engine := range c.Engines {
		if engine.Pool != call.Pool || !engine.Ready || engine.Closed || call.ExcludedEngines[engine.Name] != excluded {
			continue
		}
		usable = true
		micros := c.EstimateCompletionMicros(engine, call)
		if bestAny == nil || micros < anyMicros {
			bestAny, anyMicros = engine, micros
		}
		if engine.InFlight < engine.Slots {
			open = true
			if bestFree == nil || micros < freeMicros {
				bestFree, freeMicros = engine, micros
			}
		}
	}
	if bestFree == nil {
		return nil, open, usable
	}
	// A call waits for the engine that holds its prefix while starting elsewhere
	// would end much later.
	if bestAny != bestFree && float64(freeMicros) > c.Policy.MoveFactor*float64(anyMicros) {
		return nil, open, usable
	}
	return bestFree, open, usable
}

// EstimateCompletionMicros estimates how long a call would take on an engine: the backlog
// before it, the prompt tokens the engine lacks, and the answer at the batch it
// would run in.
func (c *CellScheduler) EstimateCompletionMicros(engine *Engine, call *Call) int64 {
	missing := call.PromptTokens
	if !c.Policy.IgnorePrefix {
		missing -= call.CachedTokens[engine.Name]
	}
	backlog := engine.PendingPromptTokens
	if c.Policy.IgnoreBacklog {
		backlog = 0
	}
	rate := max(1, engine.PrefillTokensPerSecond)
	prefill := (backlog + missing) * 1_000_000 / rate
	step := engine.StepMicros + int64(engine.InFlight+1)*engine.StepMicrosPerSequence
	queue := int64(0)
	if engine.InFlight >= engine.Slots && engine.Slots > 0 {
		// The call waits for one of the calls in flight to end.
		queue = engine.PendingOutputTokens / int64(engine.InFlight) * step / 2
	}
	return queue + prefill + call.OutputTokens*step
}

// Admit decides whether a new call may join the queue: a refusal is final and at
// once, with the time after which the queue will have drained.
func (c *CellScheduler) Admit(call *Call, nowMs int64) *result.Error {
	ready := 0
	var best int64 = math.MaxInt64
	for _, engine := range c.Engines {
		if engine.Pool == call.Pool && engine.Ready && !engine.Closed {
			ready++
			best = min(best, c.EstimateCompletionMicros(engine, call))
		}
	}
	drain := c.drainMs(call.Pool)
	if ready > 0 && len(c.Waiting) >= c.Policy.QueueLimit {
		return result.New(result.Overloaded, "%d calls wait", len(c.Waiting)).WithRetryAfter(msDuration(drain))
	}
	if ready == 0 || c.Policy.IgnoreDeadline || call.DeadlineMs == 0 {
		return nil
	}
	expected := c.aheadMs(call, nowMs) + best/1000
	if nowMs+expected > call.DeadlineMs {
		return result.New(result.DeadlineTooClose, "expected to finish in %d ms, the deadline is in %d ms", expected, call.DeadlineMs-nowMs).
			WithRetryAfter(msDuration(max(drain, 100)))
	}
	return nil
}
