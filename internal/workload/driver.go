package workload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/emulator"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/result"
)

// Driver runs programs against a fleet as their callers would, and checks what
// the callers see: order and history (every answer of an emulated engine tells
// which conversation it saw), whole answers, and at most one run of calls that
// are not repeatable.
type Driver struct {
	Sidecars []*Client
	// ToolAddress is the HTTP address of the tool services; "" sleeps instead.
	ToolAddress string
	TimeScale   float64
	// ResponseLog, where set, gets a line for each answer.
	ResponseLog io.Writer
	// RequestIDPrefix makes request ids of this run unlike those of others.
	RequestIDPrefix string

	mutex      sync.Mutex
	violations []string
}

// ProgramOutcome is how one program ended.
type ProgramOutcome struct {
	Program Program
	ID      string
	// LatencyMs runs from the first call to the last answer; ToolMs is the part
	// of it that tools took.
	LatencyMs float64
	ToolMs    float64
	Calls     int
	Retries   int
	// TruncatedStreams counts answers whose stream ended without its closing event.
	TruncatedStreams  int
	TimesToFirstToken []time.Duration
	ChunkGaps         []time.Duration
	PromptTokens      int64
	CachedTokens      int64
	OutputTokens      int64
	// Err is the final answer that ended the program early.
	Err *result.Error
}

// Violations returns what was seen that must never be.
func (d *Driver) Violations() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return append([]string(nil), d.violations...)
}

func (d *Driver) violation(format string, arguments ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, arguments...))
}

// runner is one program under way.
type runner struct {
	driver  *Driver
	client  *Client
	program Program
	outcome *ProgramOutcome
	number  int
}

// conversation is what a caller believes a thread's history to be.
type conversation struct {
	thread   string
	parent   string
	messages []program.Message
}

const (
	resendLimit  = 12
	hangPatience = 2 * time.Second
	longestWait  = 5 * time.Second
)

// Run runs one program to its end.
func (d *Driver) Run(ctx context.Context, p Program) ProgramOutcome {
	outcome := &ProgramOutcome{Program: p}
	current := &runner{driver: d, client: d.Sidecars[p.ID%len(d.Sidecars)], program: p, outcome: outcome}
	started := time.Now()
	main := &conversation{}
	for position, step := range p.Steps {
		last := position == len(p.Steps)-1 && len(step.SubAgent) == 0
		if !current.step(ctx, main, step, fmt.Sprintf("step %d", position+1), last) {
			break
		}
		if !current.subAgent(ctx, main, step.SubAgent, position) {
			break
		}
	}
	outcome.LatencyMs = float64(time.Since(started).Microseconds()) / 1000
	return *outcome
}

func (r *runner) subAgent(ctx context.Context, main *conversation, steps []Step, position int) bool {
	if len(steps) == 0 {
		return true
	}
	child := &conversation{
		thread: fmt.Sprintf("sub-%d", position+1), parent: main.thread, messages: append([]program.Message(nil), main.messages...),
	}
	for index, step := range steps {
		if !r.step(ctx, child, step, fmt.Sprintf("sub-agent %d.%d", position+1, index+1), false) {
			return false
		}
	}
	return true
}

// step waits for the tool and makes the call, resending as a caller would.
func (r *runner) step(ctx context.Context, thread *conversation, step Step, label string, last bool) bool {
	r.pause(ctx, step)
	r.number++
	message := program.Message{Role: "user", Content: Text(label, step.PromptTokens, step.OutputTokens)}
	call := Call{
		Service: r.program.Service, Messages: []program.Message{message}, Program: r.outcome.ID, Thread: thread.thread,
		ParentThread: thread.parent, RequestID: fmt.Sprintf("%s-%d-%d", r.driver.RequestIDPrefix, r.program.ID, r.number), Tenant: r.program.Tenant,
		AtMostOnce: r.program.AtMostOnce, EndsProgram: last, TimeoutMs: r.program.TimeoutMs, BudgetTokens: r.program.BudgetTokens,
	}
	reply := r.call(ctx, call)
	r.outcome.Calls++
	if reply.Error != nil {
		r.outcome.Err = reply.Error
		return false
	}
	r.outcome.ID = reply.Program
	thread.messages = append(thread.messages, message)
	r.check(thread, reply, label)
	thread.messages = append(thread.messages, program.Message{Role: "assistant", Content: reply.Content})
	r.outcome.PromptTokens += reply.Usage.PromptTokens
	r.outcome.CachedTokens += reply.Usage.PromptTokensDetails.CachedTokens
	r.outcome.OutputTokens += reply.Usage.CompletionTokens
	r.outcome.TimesToFirstToken = append(r.outcome.TimesToFirstToken, reply.TimeToFirstToken)
	r.outcome.ChunkGaps = append(r.outcome.ChunkGaps, reply.ChunkGaps...)
	if r.driver.ResponseLog != nil {
		_, _ = fmt.Fprintf(r.driver.ResponseLog, "  %-16s %6.1f ms  prompt %d (%d cached)  answer %q\n", label,
			float64(reply.TotalTime.Microseconds())/1000, reply.Usage.PromptTokens, reply.Usage.PromptTokensDetails.CachedTokens, shorten(reply.Content))
	}
	return true
}

func shorten(text string) string {
	const shown = 44
	if len(text) <= shown {
		return text
	}
	return text[:shown] + "..."
}

// check holds an answer against the caller's own conversation.
func (r *runner) check(thread *conversation, reply Reply, label string) {
	expected := emulator.ResponsePrefix(thread.messages)
	if !strings.HasPrefix(reply.Content, expected) {
		r.driver.violation("program %s %s: history: the engine %q, the caller expects %q", r.outcome.ID, label, shorten(reply.Content), expected)
	}
	whole := emulator.NewPrompt(thread.messages, 0)
	if int64(len(reply.Content)) != int64(len(whole.Response)) || reply.Content != whole.Response {
		r.driver.violation("program %s %s: answer: %d bytes instead of %d", r.outcome.ID, label, len(reply.Content), len(whole.Response))
	}
}

// call resends the same request id after a lost connection or a refusal that
// names a time to come back.
func (r *runner) call(ctx context.Context, call Call) Reply {
	var reply Reply
	for attempt := range resendLimit {
		var err error
		reply, err = r.client.Do(ctx, call)
		if reply.IsTruncated {
			r.outcome.TruncatedStreams++
		}
		if err != nil || reply.IsTruncated {
			reply.Error = result.New(result.NoScheduler, "sidecar not reached: %v", err)
			reply.Error.RetryAfterMs = 200
		}
		if reply.Error == nil || reply.Error.RetryAfterMs == 0 || ctx.Err() != nil || attempt == resendLimit-1 {
			return reply
		}
		r.outcome.Retries++
		wait := min(time.Duration(reply.Error.RetryAfterMs)*time.Millisecond, longestWait)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return reply
}

// pause calls the tool that the program waits for.
func (r *runner) pause(ctx context.Context, step Step) {
	if step.ToolDurationMs == 0 && !step.ToolHangs {
		return
	}
	started := time.Now()
	defer func() { r.outcome.ToolMs += float64(time.Since(started).Microseconds()) / 1000 }()
	patience := time.Duration(float64(step.ToolDurationMs)/r.driver.TimeScale)*time.Millisecond + hangPatience
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if r.driver.ToolAddress == "" || step.Tool == "" {
		select {
		case <-bounded.Done():
		case <-time.After(time.Duration(float64(step.ToolDurationMs)/r.driver.TimeScale) * time.Millisecond):
		}
		return
	}
	body, _ := json.Marshal(emulator.ToolRequest{DurationMs: step.ToolDurationMs, Hangs: step.ToolHangs, Argument: r.outcome.ID})
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, "http://"+r.driver.ToolAddress+"/v1/tools/"+step.Tool, bytes.NewReader(body))
	if err != nil {
		return
	}
	// A tool that hangs is given up on: the program goes on without its result.
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// RunAll runs programs at their arrival times and returns their outcomes in
// order of id.
func (d *Driver) RunAll(ctx context.Context, programs []Program) []ProgramOutcome {
	outcomes := make([]ProgramOutcome, len(programs))
	var group sync.WaitGroup
	started := time.Now()
	for position, p := range programs {
		at := time.Duration(float64(p.ArrivalMs)/d.TimeScale) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(started.Add(at))):
		}
		if ctx.Err() != nil {
			outcomes[position] = ProgramOutcome{Program: p, Err: result.New(result.Cancelled, "the load was stopped").WithOutcome(result.NotRun)}
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			outcomes[position] = d.Run(ctx, p)
		}()
	}
	group.Wait()
	return outcomes
}
