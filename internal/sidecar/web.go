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
	"github.com/ochrebay/ochrebay/internal/eventstream"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

// Request and response headers of a call.
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
	hardBodyLimitBytes    = 64 << 20
	maxIdentifierBytes    = 128
	maxTimeoutMs          = 24 * 3600 * 1000
	programRequestTimeout = 4 * time.Second
	defaultTenant         = "default"
	defaultTimeoutMs      = 120_000
)

// serveTransportError writes the error reply to a request that fasthttp itself rejects.
func serveTransportError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		control.WriteError(ctx, result.New(result.BodyTooLarge, "the body is longer than %d bytes", hardBodyLimitBytes))
		return
	}
	control.WriteError(ctx, result.New(result.MalformedRequest, "%v", err))
}

func (d *Daemon) serveHTTP(ctx *fasthttp.RequestCtx) {
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
		control.WriteError(ctx, result.New(result.NotFound, "path %s does not exist", path))
	}
}

// serveCall handles an HTTP request that is a call of a program.
func (d *Daemon) serveCall(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		control.WriteError(ctx, result.New(result.MethodNotAllowed, "path %s accepts only POST", engine.PathCompletions))
		return
	}
	body, request, failure := d.parseCall(ctx)
	if failure != nil {
		control.WriteError(ctx, failure)
		return
	}
	ctx.Response.Header.Set(HeaderProgram, request.Program)
	ctx.Response.Header.Set(HeaderRequest, request.Request)
	id, deliveries := d.openCall(request)
	if body.Stream {
		d.serveStream(ctx, id, request, deliveries)
		return
	}
	reply, text := collectReply(deliveries)
	d.logEnd(request, reply)
	if reply.Error != nil {
		control.WriteError(ctx, reply.Error)
		return
	}
	setReplyHeaders(ctx, reply)
	ctx.SetContentType("application/json")
	completion := newCompletionObject("chat.completion", request, reply)
	completion.Choices = []engine.Choice{{Message: &program.Message{Role: "assistant", Content: text}, FinishReason: finishReason("stop")}}
	raw, _ := json.Marshal(completion)
	ctx.SetBody(raw)
}

func setReplyHeaders(ctx *fasthttp.RequestCtx, reply *protocol.CallReply) {
	ctx.Response.Header.Set(HeaderTurn, strconv.FormatUint(reply.Turn, 10))
	ctx.Response.Header.Set(HeaderBudgetLeft, strconv.FormatInt(reply.RemainingTokens, 10))
	ctx.Response.Header.Set(HeaderEngine, reply.Engine)
}

func finishReason(reason string) *string { return &reason }

func (d *Daemon) logEnd(request *protocol.CallRequest, reply *protocol.CallReply) {
	keyValues := []any{"program", request.Program, "request", request.Request, "turn", reply.Turn}
	if reply.Error != nil {
		keyValues = append(keyValues, "code", int(reply.Error.Code), "outcome", string(reply.Error.Outcome), "err", reply.Error.Message)
	}
	telemetry.Info(d.logger, "call ended", keyValues...)
}

// collectReply waits for the final reply and returns it with the complete response text.
func collectReply(deliveries <-chan delivery) (*protocol.CallReply, string) {
	var text strings.Builder
	for next := range deliveries {
		if next.reply != nil {
			return next.reply, text.String()
		}
		text.WriteString(next.text)
	}
	return unreadReply(), ""
}

func newCompletionObject(objectType string, request *protocol.CallRequest, reply *protocol.CallReply) engine.Chunk {
	chunk := engine.Chunk{ID: request.Request, Object: objectType, Created: time.Now().Unix(), Model: request.Service}
	if reply != nil {
		chunk.Usage = &engine.Usage{
			PromptTokens: reply.Usage.PromptTokens, CompletionTokens: reply.Usage.CompletionTokens,
			TotalTokens:         reply.Usage.PromptTokens + reply.Usage.CompletionTokens,
			PromptTokensDetails: engine.PromptTokensDetails{CachedTokens: reply.Usage.CachedTokens},
		}
	}
	return chunk
}

// serveStream waits for the first delivery, so that an early error is returned with its HTTP
// status, and then streams the response.
func (d *Daemon) serveStream(ctx *fasthttp.RequestCtx, id CallID, request *protocol.CallRequest, deliveries <-chan delivery) {
	first, ok := <-deliveries
	if !ok {
		first.reply = unreadReply()
	}
	if first.reply != nil && first.reply.Error != nil {
		d.logEnd(request, first.reply)
		control.WriteError(ctx, first.reply.Error)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	eventstream.SetBody(ctx, func(writer *bufio.Writer) error { return d.writeStream(writer, id, request, first, deliveries) })
}

// writeStream writes the events of a response. It returns an error if the caller disconnects or does
// not read the response, which then must not look complete.
func (d *Daemon) writeStream(writer *bufio.Writer, id CallID, request *protocol.CallRequest, first delivery, deliveries <-chan delivery) error {
	for next, open := first, true; open; next, open = <-deliveries {
		if next.reply != nil {
			d.logEnd(request, next.reply)
			writeFinalEvent(writer, request, next.reply)
			return nil
		}
		chunk := newCompletionObject("chat.completion.chunk", request, nil)
		chunk.Choices = []engine.Choice{{Delta: &engine.Delta{Content: next.text}}}
		if err := writeEvent(writer, chunk); err != nil {
			d.reportDisconnect(id)
			return err
		}
	}
	unread := unreadReply()
	d.logEnd(request, unread)
	return unread.Error
}

// unreadReply ends a call whose caller does not read the response.
func unreadReply() *protocol.CallReply {
	return &protocol.CallReply{Error: result.New(result.Cancelled, "the caller did not read the response")}
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

// writeFinalEvent ends a stream with the last chunk, which contains the usage, or with the error,
// and then [DONE].
func writeFinalEvent(writer *bufio.Writer, request *protocol.CallRequest, reply *protocol.CallReply) {
	if reply.Error != nil {
		_ = writeEvent(writer, result.Body{Error: result.From(reply.Error)})
	} else {
		last := newCompletionObject("chat.completion.chunk", request, reply)
		last.Choices = []engine.Choice{{Delta: &engine.Delta{}, FinishReason: finishReason("stop")}}
		_ = writeEvent(writer, last)
	}
	_, _ = writer.WriteString("data: [DONE]\n\n")
	_ = writer.Flush()
}

// ParseBody parses the JSON body of a call and checks the fields that ochrebay needs. Fields that
// it does not use are allowed.
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
	snapshot := d.snapshot.Load()
	if limit := snapshot.bodyLimitBytes; limit > 0 && int64(len(ctx.PostBody())) > limit {
		return engine.CompletionRequest{}, nil, result.New(result.BodyTooLarge, "the body has %d bytes, but the limit is %d", len(ctx.PostBody()), limit)
	}
	body, failure := ParseBody(ctx.PostBody())
	if failure != nil {
		return body, nil, failure
	}
	if snapshot.isDraining {
		return body, nil, result.New(result.Draining, "sidecar %s is draining", d.process.Name)
	}
	if snapshot.services != nil && !snapshot.services[body.Model] {
		return body, nil, result.New(result.UnknownService, "service %q is not in the settings", body.Model)
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

func requestHeader(ctx *fasthttp.RequestCtx, name string) string {
	return string(ctx.Request.Header.Peek(name))
}

func parseIdentifier(ctx *fasthttp.RequestCtx, name string) (string, *result.Error) {
	value := requestHeader(ctx, name)
	if len(value) > maxIdentifierBytes {
		return "", result.New(result.InvalidHeader, "header %s is longer than %d bytes", name, maxIdentifierBytes)
	}
	for _, character := range value {
		if character <= ' ' || character > '~' {
			return "", result.New(result.InvalidHeader, "header %s contains a character other than visible ASCII", name)
		}
	}
	return value, nil
}

func parseHeaders(ctx *fasthttp.RequestCtx, sidecar string) (*protocol.CallRequest, *result.Error) {
	request := &protocol.CallRequest{Tenant: defaultTenant}
	identifiers := []struct {
		name   string
		target *string
	}{
		{HeaderProgram, &request.Program},
		{HeaderThread, &request.Thread},
		{HeaderParentThread, &request.ParentThread},
		{HeaderRequest, &request.Request},
		{HeaderTenant, &request.Tenant},
	}
	for _, entry := range identifiers {
		value, failure := parseIdentifier(ctx, entry.name)
		if failure != nil {
			return nil, failure
		}
		if value != "" {
			*entry.target = value
		}
	}
	timeoutMs, failure := parseInteger(ctx, HeaderDeadline, defaultTimeoutMs, maxTimeoutMs)
	if failure != nil {
		return nil, failure
	}
	request.TimeoutMs = timeoutMs
	if request.BudgetTokens, failure = parseInteger(ctx, HeaderBudget, 0, 1<<40); failure != nil {
		return nil, failure
	}
	repeatable, failure := parseBoolean(ctx, HeaderRepeatable, true)
	if failure != nil {
		return nil, failure
	}
	request.AtMostOnce = !repeatable
	if request.EndsProgram, failure = parseBoolean(ctx, HeaderEnd, false); failure != nil {
		return nil, failure
	}
	assignIDs(request, sidecar)
	return request, nil
}

// assignIDs assigns a request id to a call without one, and creates a program for a call without
// one. The program id is derived from the tenant and the request id if the caller sent a request id,
// so that a caller whose first response was lost gets the same program again.
func assignIDs(request *protocol.CallRequest, sidecar string) {
	hasRequestID := request.Request != ""
	if !hasRequestID {
		request.Request = randomID("r-")
	}
	if request.Program != "" {
		return
	}
	request.Create = true
	if hasRequestID {
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

func parseInteger(ctx *fasthttp.RequestCtx, name string, defaultValue, maximum int64) (int64, *result.Error) {
	value := requestHeader(ctx, name)
	if value == "" {
		return defaultValue, nil
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number > maximum {
		return 0, result.New(result.InvalidHeader, "header %s: %q is not an integer up to %d", name, value, maximum)
	}
	return number, nil
}

func parseBoolean(ctx *fasthttp.RequestCtx, name string, defaultValue bool) (bool, *result.Error) {
	value := requestHeader(ctx, name)
	if value == "" {
		return defaultValue, nil
	}
	parsed, err := strconv.ParseBool(value)
	if err != nil {
		return false, result.New(result.InvalidHeader, "header %s: %q is not a boolean", name, value)
	}
	return parsed, nil
}

// serveProgram handles HTTP requests that read or end a program.
func (d *Daemon) serveProgram(ctx *fasthttp.RequestCtx, rest string) {
	id, wantsHistory := strings.CutSuffix(rest, "/history")
	tenant, failure := parseIdentifier(ctx, HeaderTenant)
	if failure != nil {
		control.WriteError(ctx, failure)
		return
	}
	if tenant == "" {
		tenant = defaultTenant
	}
	if !ctx.IsGet() && !ctx.IsDelete() {
		control.WriteError(ctx, result.New(result.MethodNotAllowed, "path %s accepts only GET and DELETE", ctx.Path()))
		return
	}
	if ctx.IsDelete() {
		if reply := d.requestProgram(&protocol.ProgramRequest{Program: id, Tenant: tenant, End: true}); reply.Error != nil {
			control.WriteError(ctx, reply.Error)
			return
		}
	}
	view, failure := d.readProgram(id, tenant)
	if failure != nil {
		control.WriteError(ctx, failure)
		return
	}
	var body any = view
	if wantsHistory {
		if body, failure = findThreadHistory(view, string(ctx.QueryArgs().Peek("thread"))); failure != nil {
			control.WriteError(ctx, failure)
			return
		}
	}
	raw, _ := json.Marshal(body)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

func (d *Daemon) readProgram(id, tenant string) (*control.ProgramView, *result.Error) {
	reply := d.requestProgram(&protocol.ProgramRequest{Program: id, Tenant: tenant})
	if reply.Error != nil {
		return nil, reply.Error
	}
	var view control.ProgramView
	if err := json.Unmarshal(reply.Body, &view); err != nil {
		return nil, result.New(result.Internal, "%v", err)
	}
	if view.Tenant != tenant {
		return nil, result.New(result.ForeignProgram, "program %s does not belong to tenant %q", id, tenant)
	}
	return &view, nil
}

// ThreadHistory is the conversation of one thread of a program.
type ThreadHistory struct {
	Program  string            `json:"program"`
	Thread   string            `json:"thread"`
	Messages []program.Message `json:"messages"`
}

func findThreadHistory(view *control.ProgramView, thread string) (*ThreadHistory, *result.Error) {
	for _, candidate := range view.Threads {
		if candidate.Name == thread {
			return &ThreadHistory{Program: view.ID, Thread: thread, Messages: program.Conversation(candidate.Lineage, view.Turns)}, nil
		}
	}
	return nil, result.New(result.UnknownThread, "thread %q does not exist in program %s", thread, view.ID)
}

// requestProgram sends a request to one scheduler after another until one replies.
func (d *Daemon) requestProgram(request *protocol.ProgramRequest) *protocol.ProgramReply {
	addresses := make(chan []string, 1)
	d.postEvent(func(core *Core, _ int64) { addresses <- core.SchedulerAddresses() })
	requestCtx, cancel := context.WithTimeout(d.runContext, programRequestTimeout)
	defer cancel()
	noReply := &protocol.ProgramReply{Error: result.New(result.NoScheduler, "no scheduler replied in time")}
	select {
	case <-requestCtx.Done():
		return noReply
	case list := <-addresses:
		for _, address := range list {
			if reply := d.requestProgramFrom(requestCtx, address, request); reply != nil {
				return reply
			}
		}
	}
	return noReply
}

func (d *Daemon) requestProgramFrom(ctx context.Context, address string, request *protocol.ProgramRequest) *protocol.ProgramReply {
	connection := d.connectionTo(address)
	if connection == nil {
		var err error
		if connection, err = d.dial(address); err != nil {
			return nil
		}
	}
	frames := make(chan protocol.Frame, 1)
	connection.Call(protocol.KindProgram, request, func(frame protocol.Frame) { frames <- frame })
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
