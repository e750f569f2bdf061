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

// Driver runs programs against a fleet as their callers would and checks that each
// response is complete and answers the caller's own conversation, with the correct
// history in the correct order. The check relies on emulated engines, whose responses
// identify the conversation that the engine received.
type Driver struct {
	Sidecars []*Client
	// ToolAddress is the HTTP address of the tool services. If it is empty, the driver
	// sleeps for the duration of a tool call instead.
	ToolAddress string
	TimeScale   float64
	// ResponseLog, if set, receives one line for each response.
	ResponseLog io.Writer
	// RequestIDPrefix makes the request IDs of this run differ from those of other runs.
	RequestIDPrefix string

	mutex      sync.Mutex
	violations []string
}

// ProgramOutcome records the latencies, the token counts and the error, if any, of one
// program.
type ProgramOutcome struct {
	Program Program
	ID      string
	// LatencyMs is the time from the start of the program to its last response, and
	// ToolMs the part of it that was spent in tool calls.
	LatencyMs float64
	ToolMs    float64
	Calls     int
	Retries   int
	// TruncatedStreams counts streams that ended without the [DONE] event.
	TruncatedStreams  int
	TimesToFirstToken []time.Duration
	ChunkGaps         []time.Duration
	PromptTokens      int64
	CachedTokens      int64
	OutputTokens      int64
	// Err is the error that ended the program early, or nil.
	Err *result.Error
}

// Violations describes the responses that failed a check.
func (d *Driver) Violations() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return append([]string(nil), d.violations...)
}

func (d *Driver) recordViolation(format string, arguments ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, arguments...))
}

// programRun is the state of one program in progress.
type programRun struct {
	driver     *Driver
	client     *Client
	program    Program
	outcome    *ProgramOutcome
	callNumber int
}

// conversation is the history of a thread as its caller recorded it.
type conversation struct {
	thread   string
	parent   string
	messages []program.Message
}

const (
	maxAttempts       = 12
	toolTimeoutMargin = 2 * time.Second
	maxRetryDelay     = 5 * time.Second
)

// RunProgram runs one program until it completes or fails.
func (d *Driver) RunProgram(ctx context.Context, p Program) ProgramOutcome {
	outcome := &ProgramOutcome{Program: p}
	run := &programRun{driver: d, client: d.Sidecars[p.ID%len(d.Sidecars)], program: p, outcome: outcome}
	started := time.Now()
	mainThread := &conversation{}
	for position, step := range p.Steps {
		isLast := position == len(p.Steps)-1 && len(step.SubAgent) == 0
		if !run.runStep(ctx, mainThread, step, fmt.Sprintf("step %d", position+1), isLast) {
			break
		}
		if !run.runSubAgent(ctx, mainThread, step.SubAgent, position) {
			break
		}
	}
	outcome.LatencyMs = float64(time.Since(started).Microseconds()) / 1000
	return *outcome
}

func (r *programRun) runSubAgent(ctx context.Context, mainThread *conversation, steps []Step, position int) bool {
	if len(steps) == 0 {
		return true
	}
	child := &conversation{
		thread: fmt.Sprintf("sub-%d", position+1), parent: mainThread.thread, messages: append([]program.Message(nil), mainThread.messages...),
	}
	for index, step := range steps {
		if !r.runStep(ctx, child, step, fmt.Sprintf("sub-agent %d.%d", position+1, index+1), false) {
			return false
		}
	}
	return true
}

// runStep calls the tool of a step, then sends its call with retries. It reports
// whether the call succeeded.
func (r *programRun) runStep(ctx context.Context, thread *conversation, step Step, label string, isLast bool) bool {
	r.callTool(ctx, step)
	r.callNumber++
	message := program.Message{Role: "user", Content: Text(label, step.PromptTokens, step.OutputTokens)}
	call := Call{
		Service: r.program.Service, Messages: []program.Message{message}, Program: r.outcome.ID, Thread: thread.thread,
		ParentThread: thread.parent, RequestID: fmt.Sprintf("%s-%d-%d", r.driver.RequestIDPrefix, r.program.ID, r.callNumber), Tenant: r.program.Tenant,
		AtMostOnce: r.program.AtMostOnce, EndsProgram: isLast, TimeoutMs: r.program.TimeoutMs, BudgetTokens: r.program.BudgetTokens,
	}
	reply := r.callWithRetries(ctx, call)
	r.outcome.Calls++
	if reply.Error != nil {
		r.outcome.Err = reply.Error
		return false
	}
	r.outcome.ID = reply.Program
	thread.messages = append(thread.messages, message)
	r.checkReply(thread, reply, label)
	thread.messages = append(thread.messages, program.Message{Role: "assistant", Content: reply.Content})
	r.outcome.PromptTokens += reply.Usage.PromptTokens
	r.outcome.CachedTokens += reply.Usage.PromptTokensDetails.CachedTokens
	r.outcome.OutputTokens += reply.Usage.CompletionTokens
	r.outcome.TimesToFirstToken = append(r.outcome.TimesToFirstToken, reply.TimeToFirstToken)
	r.outcome.ChunkGaps = append(r.outcome.ChunkGaps, reply.ChunkGaps...)
	if r.driver.ResponseLog != nil {
		_, _ = fmt.Fprintf(r.driver.ResponseLog, "  %-16s %6.1f ms  prompt %d (%d cached)  answer %q\n", label,
			float64(reply.TotalTime.Microseconds())/1000, reply.Usage.PromptTokens, reply.Usage.PromptTokensDetails.CachedTokens, truncate(reply.Content))
	}
	return true
}

func truncate(text string) string {
	const maxBytes = 44
	if len(text) <= maxBytes {
		return text
	}
	return text[:maxBytes] + "..."
}

// checkReply compares a response with the one expected for the caller's own conversation.
func (r *programRun) checkReply(thread *conversation, reply Reply, label string) {
	expectedPrefix := emulator.ResponsePrefix(thread.messages)
	if !strings.HasPrefix(reply.Content, expectedPrefix) {
		r.driver.recordViolation("program %s %s: history: response starts with %q, want %q", r.outcome.ID, label, truncate(reply.Content), expectedPrefix)
	}
	expectedPrompt := emulator.NewPrompt(thread.messages, 0)
	if int64(len(reply.Content)) != int64(len(expectedPrompt.Response)) || reply.Content != expectedPrompt.Response {
		r.driver.recordViolation("program %s %s: response differs from the expected one: got %d bytes, want %d", r.outcome.ID, label, len(reply.Content), len(expectedPrompt.Response))
	}
}

// callWithRetries sends a call and retries it with the same request ID after a connection
// error, a truncated stream or an error that carries a retry delay.
func (r *programRun) callWithRetries(ctx context.Context, call Call) Reply {
	var reply Reply
	for attempt := range maxAttempts {
		var err error
		reply, err = r.client.Do(ctx, call)
		if reply.IsTruncated {
			r.outcome.TruncatedStreams++
		}
		if err != nil || reply.IsTruncated {
			reply.Error = result.New(result.NoScheduler, "sidecar unreachable or stream truncated: %v", err)
			reply.Error.RetryAfterMs = 200
		}
		if reply.Error == nil || reply.Error.RetryAfterMs == 0 || ctx.Err() != nil || attempt == maxAttempts-1 {
			return reply
		}
		r.outcome.Retries++
		delay := min(time.Duration(reply.Error.RetryAfterMs)*time.Millisecond, maxRetryDelay)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
	return reply
}

// callTool makes the tool call that precedes a step and adds its duration to ToolMs.
func (r *programRun) callTool(ctx context.Context, step Step) {
	if step.ToolDurationMs == 0 && !step.ToolHangs {
		return
	}
	started := time.Now()
	defer func() { r.outcome.ToolMs += float64(time.Since(started).Microseconds()) / 1000 }()
	timeout := time.Duration(float64(step.ToolDurationMs)/r.driver.TimeScale)*time.Millisecond + toolTimeoutMargin
	toolContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if r.driver.ToolAddress == "" || step.Tool == "" {
		select {
		case <-toolContext.Done():
		case <-time.After(time.Duration(float64(step.ToolDurationMs)/r.driver.TimeScale) * time.Millisecond):
		}
		return
	}
	body, _ := json.Marshal(emulator.ToolRequest{DurationMs: step.ToolDurationMs, Hangs: step.ToolHangs, Argument: r.outcome.ID})
	request, err := http.NewRequestWithContext(toolContext, http.MethodPost, "http://"+r.driver.ToolAddress+"/v1/tools/"+step.Tool, bytes.NewReader(body))
	if err != nil {
		return
	}
	// A hanging tool times out; the program continues without its result.
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// RunAll starts programs at their arrival times and returns their outcomes in the
// order of programs.
func (d *Driver) RunAll(ctx context.Context, programs []Program) []ProgramOutcome {
	outcomes := make([]ProgramOutcome, len(programs))
	var group sync.WaitGroup
	started := time.Now()
	for position, p := range programs {
		arrival := time.Duration(float64(p.ArrivalMs)/d.TimeScale) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(started.Add(arrival))):
		}
		if ctx.Err() != nil {
			outcomes[position] = ProgramOutcome{Program: p, Err: result.New(result.Cancelled, "load run was cancelled before the program started").WithOutcome(result.NotRun)}
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			outcomes[position] = d.RunProgram(ctx, p)
		}()
	}
	group.Wait()
	return outcomes
}
