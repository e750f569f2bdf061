package sidecar

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

// Headers of a call.
const (
	HeaderProgram      = "Ochrebay-Program"
	HeaderThread       = "Ochrebay-Thread"
	HeaderParentThread = "Ochrebay-Parent-Thread"
	HeaderRequest      = "Ochrebay-Request"
	HeaderRepeatable   = "Ochrebay-Repeatable"
	HeaderDeadline     = "Ochrebay-Deadline-Ms"
	HeaderEnd          = "Ochrebay-End"
	HeaderTenant       = "Ochrebay-Tenant"
	HeaderBudget       = "Ochrebay-Budget"
	HeaderTurn         = "Ochrebay-Turn"
	HeaderBudgetLeft   = "Ochrebay-Budget-Left"
	HeaderEngine       = "Ochrebay-Engine"
)

const (
	hardBodyLimit     = 64 << 20
	maxIdentifier     = 128
	maxDeadlineMs     = 24 * 3600 * 1000
	programTimeout    = 4 * time.Second
	defaultTenant     = "default"
	defaultDeadlineMs = 120_000
)

// serveTransportError answers what fasthttp itself refuses.
func serveTransportError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		control.WriteError(ctx, result.New(result.BodyTooLarge, "the body is over %d bytes", hardBodyLimit))
		return
	}
	control.WriteError(ctx, result.New(result.MalformedRequest, "%v", err))
}

func (d *Daemon) serve(ctx *fasthttp.RequestCtx) {
	if d.monitor.Serve(ctx) {
		return
	}
	path := string(ctx.Path())
	switch {
	case path == engine.PathCompletions:
		d.serveCall(ctx)
	case strings.HasPrefix(path, "/v1/programs/"):
		d.serveProgram(ctx, strings.TrimPrefix(path, "/v1/programs/"))
	default:
		control.WriteError(ctx, result.New(result.NotFound, "no path %s", path))
	}
}

// serveCall takes one call of a program.
func (d *Daemon) serveCall(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		control.WriteError(ctx, result.New(result.MethodNotAllowed, "%s takes POST", engine.PathCompletions))
		return
	}
	body, request, failure := d.parseCall(ctx)
	if failure != nil {
		control.WriteError(ctx, failure)
		return
	}
	ctx.Response.Header.Set(HeaderProgram, request.Program)
	ctx.Response.Header.Set(HeaderRequest, request.Request)
	caller, deliveries := d.open(request)
	if body.Stream {
		d.serveStream(ctx, caller, request, deliveries)
		return
	}
	answer, text := collect(deliveries)
	d.logEnd(request, answer)
	if answer.Error != nil {
		control.WriteError(ctx, answer.Error)
		return
	}
	setAnswerHeaders(ctx, answer)
	ctx.SetContentType("application/json")
	whole := newChunk("chat.completion", request, answer)
	whole.Choices = []engine.Choice{{Message: &program.Message{Role: "assistant", Content: text}, FinishReason: finishReason("stop")}}
	raw, _ := json.Marshal(whole)
	ctx.SetBody(raw)
}

func setAnswerHeaders(ctx *fasthttp.RequestCtx, answer *protocol.CallReply) {
	ctx.Response.Header.Set(HeaderTurn, strconv.FormatUint(answer.Turn, 10))
	ctx.Response.Header.Set(HeaderBudgetLeft, strconv.FormatInt(answer.RemainingTokens, 10))
	ctx.Response.Header.Set(HeaderEngine, answer.Engine)
}

func finishReason(reason string) *string { return &reason }

func (d *Daemon) logEnd(request *protocol.CallRequest, answer *protocol.CallReply) {
	keyValues := []any{"program", request.Program, "request", request.Request, "turn", answer.Turn}
	if answer.Error != nil {
		keyValues = append(keyValues, "code", int(answer.Error.Code), "outcome", string(answer.Error.Outcome), "err", answer.Error.Message)
	}
	telemetry.Info(d.logger, "call ended", keyValues...)
}

// collect waits for a whole answer.
func collect(deliveries <-chan delivery) (*protocol.CallReply, string) {
	var text strings.Builder
	for next := range deliveries {
		if next.answer != nil {
			return next.answer, text.String()
		}
		text.WriteString(next.text)
	}
	return &protocol.CallReply{Error: result.New(result.Cancelled, "the caller did not read the answer")}, ""
}

func newChunk(object string, request *protocol.CallRequest, answer *protocol.CallReply) engine.Chunk {
	chunk := engine.Chunk{ID: request.Request, Object: object, Created: time.Now().Unix(), Model: request.Service}
	if answer != nil {
		chunk.Usage = &engine.Usage{
			PromptTokens: answer.Usage.PromptTokens, CompletionTokens: answer.Usage.CompletionTokens,
			TotalTokens:         answer.Usage.PromptTokens + answer.Usage.CompletionTokens,
			PromptTokensDetails: engine.PromptTokensDetails{CachedTokens: answer.Usage.CachedTokens},
		}
	}
	return chunk
}

// serveStream waits for the first delivery, so that an early refusal has its
// HTTP status, and then streams.
func (d *Daemon) serveStream(ctx *fasthttp.RequestCtx, caller CallID, request *protocol.CallRequest, deliveries <-chan delivery) {
	first, ok := <-deliveries
	if !ok {
		first.answer = &protocol.CallReply{Error: result.New(result.Cancelled, "the caller did not read the answer")}
	}
	if first.answer != nil && first.answer.Error != nil {
		d.logEnd(request, first.answer)
		control.WriteError(ctx, first.answer.Error)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		next, open := first, true
		for open {
			if next.answer != nil {
				d.logEnd(request, next.answer)
				writeEnd(writer, request, next.answer)
				return
			}
			chunk := newChunk("chat.completion.chunk", request, nil)
			chunk.Choices = []engine.Choice{{Delta: &engine.Delta{Content: next.text}}}
			if writeEvent(writer, chunk) != nil {
				d.gone(caller)
				return
			}
			next, open = <-deliveries
		}
	})
}

func writeEvent(writer *bufio.Writer, event any) error {
	raw, err := json.Marshal(event)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(writer, "data: %s\n\n", raw); err != nil {
		return err
	}
	return writer.Flush()
}

// writeEnd closes a stream: the last chunk with usage, or the error, and [DONE].
func writeEnd(writer *bufio.Writer, request *protocol.CallRequest, answer *protocol.CallReply) {
	if answer.Error != nil {
		_ = writeEvent(writer, result.Body{Error: result.From(answer.Error)})
	} else {
		last := newChunk("chat.completion.chunk", request, answer)
		last.Choices = []engine.Choice{{Delta: &engine.Delta{}, FinishReason: finishReason("stop")}}
		_ = writeEvent(writer, last)
	}
	_, _ = writer.WriteString("data: [DONE]\n\n")
	_ = writer.Flush()
}

// ParseBody reads a caller's JSON strictly enough to be sure what is meant:
// fields of the OpenAI shape that ochrebay doesn't use are allowed.
func ParseBody(raw []byte) (engine.CompletionRequest, *result.Error) {
	var body engine.CompletionRequest
	if err := json.Unmarshal(raw, &body); err != nil {
		return body, result.New(result.MalformedRequest, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if body.Model == "" {
		return body, result.New(result.MalformedRequest, "field model is missing")
	}
	if len(body.Messages) == 0 {
		return body, result.New(result.MalformedRequest, "field messages is missing")
	}
	if body.MaxTokens < 0 {
		return body, result.New(result.MalformedRequest, "field max_tokens is negative")
	}
	for position, message := range body.Messages {
		if message.Role == "" {
			return body, result.New(result.MalformedRequest, "field messages[%d].role is missing", position)
		}
	}
	return body, nil
}

func (d *Daemon) parseCall(ctx *fasthttp.RequestCtx) (engine.CompletionRequest, *protocol.CallRequest, *result.Error) {
	current := d.view.Load()
	if limit := current.bodyLimit; limit > 0 && int64(len(ctx.PostBody())) > limit {
		return engine.CompletionRequest{}, nil, result.New(result.BodyTooLarge, "the body has %d bytes, the limit is %d", len(ctx.PostBody()), limit)
	}
	body, failure := ParseBody(ctx.PostBody())
	if failure != nil {
		return body, nil, failure
	}
	if current.draining {
		return body, nil, result.New(result.Draining, "%s is stopping", d.process.Name)
	}
	if current.services != nil && !current.services[body.Model] {
		return body, nil, result.New(result.UnknownService, "no service %q", body.Model)
	}
	request, failure := parseHeaders(ctx, d.process.Name)
	if failure != nil {
		return body, nil, failure
	}
	request.Service = body.Model
	request.Messages = body.Messages
	request.MaxTokens = body.MaxTokens
	return body, request, nil
}

func header(ctx *fasthttp.RequestCtx, name string) string {
	return string(ctx.Request.Header.Peek(name))
}

func identifier(ctx *fasthttp.RequestCtx, name string) (string, *result.Error) {
	value := header(ctx, name)
	if len(value) > maxIdentifier {
		return "", result.New(result.InvalidHeader, "%s is over %d bytes", name, maxIdentifier)
	}
	for _, character := range value {
		if character <= ' ' || character > '~' {
			return "", result.New(result.InvalidHeader, "%s holds a character that is not allowed", name)
		}
	}
	return value, nil
}

func parseHeaders(ctx *fasthttp.RequestCtx, sidecar string) (*protocol.CallRequest, *result.Error) {
	request := &protocol.CallRequest{Tenant: defaultTenant}
	targets := []struct {
		name   string
		target *string
	}{
		{HeaderProgram, &request.Program},
		{HeaderThread, &request.Thread},
		{HeaderParentThread, &request.ParentThread},
		{HeaderRequest, &request.Request},
		{HeaderTenant, &request.Tenant},
	}
	for _, entry := range targets {
		value, failure := identifier(ctx, entry.name)
		if failure != nil {
			return nil, failure
		}
		if value != "" {
			*entry.target = value
		}
	}
	deadline, failure := integer(ctx, HeaderDeadline, defaultDeadlineMs, maxDeadlineMs)
	if failure != nil {
		return nil, failure
	}
	request.TimeoutMs = deadline
	if request.BudgetTokens, failure = integer(ctx, HeaderBudget, 0, 1<<40); failure != nil {
		return nil, failure
	}
	repeatable, failure := boolean(ctx, HeaderRepeatable, true)
	if failure != nil {
		return nil, failure
	}
	request.AtMostOnce = !repeatable
	if request.EndsProgram, failure = boolean(ctx, HeaderEnd, false); failure != nil {
		return nil, failure
	}
	identify(request, sidecar)
	return request, nil
}

// identify gives a call without a program a new one. Its id follows from the
// request id where the caller gave one, so that a caller whose first answer was
// lost comes back to the same program.
func identify(request *protocol.CallRequest, sidecar string) {
	named := request.Request != ""
	if !named {
		request.Request = randomID("r-")
	}
	if request.Program != "" {
		return
	}
	request.Create = true
	if named {
		sum := xxhash.Sum64String(request.Tenant + "\x00" + request.Request)
		second := xxhash.Sum64String(request.Request + "\x00" + request.Tenant)
		request.Program = fmt.Sprintf("p-%016x%08x", sum, uint32(second))
		return
	}
	request.Program = randomID("p-")
}

func randomID(prefix string) string {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw)
	return prefix + hex.EncodeToString(raw)
}

func integer(ctx *fasthttp.RequestCtx, name string, missing, highest int64) (int64, *result.Error) {
	value := header(ctx, name)
	if value == "" {
		return missing, nil
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number > highest {
		return 0, result.New(result.InvalidHeader, "%s: %q is not a whole number up to %d", name, value, highest)
	}
	return number, nil
}

func boolean(ctx *fasthttp.RequestCtx, name string, missing bool) (bool, *result.Error) {
	value := header(ctx, name)
	if value == "" {
		return missing, nil
	}
	parsed, err := strconv.ParseBool(value)
	if err != nil {
		return false, result.New(result.InvalidHeader, "%s: %q is neither true nor false", name, value)
	}
	return parsed, nil
}

// serveProgram answers questions about a program.
func (d *Daemon) serveProgram(ctx *fasthttp.RequestCtx, rest string) {
	id, wantHistory := strings.CutSuffix(rest, "/history")
	tenant, failure := identifier(ctx, HeaderTenant)
	if failure != nil {
		control.WriteError(ctx, failure)
		return
	}
	if tenant == "" {
		tenant = defaultTenant
	}
	if !ctx.IsGet() && !ctx.IsDelete() {
		control.WriteError(ctx, result.New(result.MethodNotAllowed, "%s takes GET and DELETE", ctx.Path()))
		return
	}
	if ctx.IsDelete() {
		if reply := d.askProgram(&protocol.ProgramRequest{Program: id, Tenant: tenant, End: true}); reply.Error != nil {
			control.WriteError(ctx, reply.Error)
			return
		}
	}
	view, failure := d.readProgram(id, tenant)
	if failure != nil {
		control.WriteError(ctx, failure)
		return
	}
	var shown any = view
	if wantHistory {
		if shown, failure = historyOf(view, string(ctx.QueryArgs().Peek("thread"))); failure != nil {
			control.WriteError(ctx, failure)
			return
		}
	}
	raw, _ := json.Marshal(shown)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

func (d *Daemon) readProgram(id, tenant string) (*control.ProgramView, *result.Error) {
	reply := d.askProgram(&protocol.ProgramRequest{Program: id, Tenant: tenant})
	if reply.Error != nil {
		return nil, reply.Error
	}
	var view control.ProgramView
	if err := json.Unmarshal(reply.Body, &view); err != nil {
		return nil, result.New(result.Internal, "%v", err)
	}
	if view.Tenant != tenant {
		return nil, result.New(result.ForeignProgram, "program %s is not of tenant %q", id, tenant)
	}
	return &view, nil
}

// ThreadHistory is a thread's conversation.
type ThreadHistory struct {
	Program  string            `json:"program"`
	Thread   string            `json:"thread"`
	Messages []program.Message `json:"messages"`
}

func historyOf(view *control.ProgramView, thread string) (*ThreadHistory, *result.Error) {
	for _, known := range view.Threads {
		if known.Name == thread {
			return &ThreadHistory{Program: view.ID, Thread: thread, Messages: program.Conversation(known.Lineage, view.Turns)}, nil
		}
	}
	return nil, result.New(result.UnknownThread, "no thread %q in program %s", thread, view.ID)
}

// askProgram asks schedulers in turn until one answers.
func (d *Daemon) askProgram(request *protocol.ProgramRequest) *protocol.ProgramReply {
	addresses := make(chan []string, 1)
	d.post(func(core *Core, _ int64) { addresses <- core.SchedulerAddresses() })
	bounded, cancel := context.WithTimeout(d.running, programTimeout)
	defer cancel()
	failed := &protocol.ProgramReply{Error: result.New(result.NoScheduler, "no scheduler answered")}
	select {
	case <-bounded.Done():
		return failed
	case list := <-addresses:
		for _, address := range list {
			if reply := d.askOne(bounded, address, request); reply != nil {
				return reply
			}
		}
	}
	return failed
}

func (d *Daemon) askOne(ctx context.Context, address string, request *protocol.ProgramRequest) *protocol.ProgramReply {
	link := d.link(address)
	if link == nil {
		var err error
		if link, err = d.dial(address); err != nil {
			return nil
		}
	}
	frames := make(chan protocol.Frame, 1)
	link.Call(protocol.KindProgram, request, func(frame protocol.Frame) { frames <- frame })
	select {
	case <-ctx.Done():
		return nil
	case frame := <-frames:
		var reply protocol.ProgramReply
		if frame.Kind != protocol.KindResponse || protocol.Decode(frame.Body, &reply) != nil {
			return nil
		}
		return &reply
	}
}
