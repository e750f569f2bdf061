package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/reconcile"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	streamQueue      = 4096
	weightsTimeout   = 5 * time.Second
	maxRequestBytes  = 64 << 20
	stepPollInterval = 200 * time.Microsecond
)

// Engine is the HTTP stand-in for one model engine, in real time.
type Engine struct {
	process config.Process
	logger  log.Logger
	monitor *telemetry.Monitor
	started time.Time

	mutex   sync.Mutex
	model   *Model
	streams map[string]*stream
	wake    chan struct{}
	target  reconcile.Target
	fence   reconcile.Fence
	loading bool
	nextID  uint64
	// reported is the state as it was up to LagMs ago.
	reported   engine.State
	reportedAt time.Time
	served     map[string]int
}

type stream struct {
	prompt  Prompt
	sent    int64
	pieces  chan streamPiece
	created int64
}

type streamPiece struct {
	text string
	last *engine.Usage
}

// NewEngine returns an engine that serves no model until it is ordered to.
func NewEngine(process config.Process, logger log.Logger) *Engine {
	stand := &Engine{
		process: process, logger: logger, started: time.Now(),
		model:   NewModel(WithSlowdown(HardwareByName(process.Emulator.Hardware), process.Emulator.Slowdown)),
		streams: map[string]*stream{}, wake: make(chan struct{}, 1), served: map[string]int{},
	}
	stand.monitor = telemetry.NewMonitor(stand.serving)
	stand.monitor.RegisterGauge("emulated_held_tokens", "KV memory held, tokens.", func() float64 {
		stand.mutex.Lock()
		defer stand.mutex.Unlock()
		return float64(stand.model.Hardware().KVCacheCapacityTokens - stand.model.FreeKVCacheTokens())
	})
	return stand
}

// serving reports whether the engine has a model and is not loading another.
func (e *Engine) serving() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.target.Model != "" && !e.loading
}

func (e *Engine) nowUs() int64 {
	return int64(float64(time.Since(e.started).Microseconds()) * e.process.Emulator.TimeScale)
}

// Run serves until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	go e.runModel(ctx)
	return serveHTTP(ctx, e.process, e.logger, e.serve)
}

// serveHTTP runs one stand-in's HTTP server until ctx ends.
func serveHTTP(ctx context.Context, process config.Process, logger log.Logger, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", process.Listen.HTTP)
	if err != nil {
		return errorx.Decorate(err, "listening")
	}
	telemetry.Info(logger, "listening", "http", listener.Addr().String())
	server := &fasthttp.Server{
		Handler: handler, MaxRequestBodySize: maxRequestBytes, NoDefaultServerHeader: true, StreamRequestBody: false,
		CloseOnShutdown: true,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
		bounded, cancel := context.WithTimeout(context.Background(), weightsTimeout)
		defer cancel()
		err := server.ShutdownWithContext(bounded)
		if errors.Is(err, context.DeadlineExceeded) {
			return nil
		}
		return err
	case err := <-failed:
		return err
	}
}

// runModel advances the model in real time.
func (e *Engine) runModel(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		e.mutex.Lock()
		e.advance()
		next, busy := e.model.StepEndUs()
		wait := time.Hour
		if busy {
			wait = time.Duration(float64(next-e.nowUs())/e.process.Emulator.TimeScale) * time.Microsecond
		}
		e.mutex.Unlock()
		timer.Reset(max(wait, stepPollInterval))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
	}
}

func (e *Engine) advance() {
	for _, progress := range e.model.Advance(e.nowUs()) {
		open, ok := e.streams[progress.ID]
		if !ok {
			continue
		}
		piece := streamPiece{text: pieceOf(open.prompt.Response, open.sent, progress.GeneratedTokens)}
		open.sent = progress.GeneratedTokens
		if progress.IsDone {
			piece.last = usageOf(progress)
			delete(e.streams, progress.ID)
		}
		select {
		case open.pieces <- piece:
		default:
			// A reader that has stopped reading is cut off.
			e.model.Cancel(progress.ID)
			delete(e.streams, progress.ID)
			close(open.pieces)
		}
	}
}

func usageOf(progress Progress) *engine.Usage {
	return &engine.Usage{
		PromptTokens: progress.PromptTokens, CompletionTokens: progress.GeneratedTokens,
		TotalTokens:         progress.PromptTokens + progress.GeneratedTokens,
		PromptTokensDetails: engine.PromptTokensDetails{CachedTokens: progress.CachedTokens},
	}
}

func (e *Engine) serve(ctx *fasthttp.RequestCtx) {
	if e.monitor.Serve(ctx) {
		return
	}
	switch string(ctx.Path()) {
	case engine.PathCompletions:
		e.serveCompletion(ctx)
	case engine.PathState:
		e.serveState(ctx)
	case engine.PathOrders:
		e.serveOrder(ctx)
	case engine.PathRelease:
		e.serveRelease(ctx)
	case "/v1/emulator/served":
		e.serveServed(ctx)
	default:
		writeError(ctx, result.New(result.NotFound, "no path %s", ctx.Path()))
	}
}

func writeError(ctx *fasthttp.RequestCtx, failure *result.Error) {
	body, _ := json.Marshal(result.Body{Error: failure})
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(failure.HTTPStatus())
	ctx.SetBody(body)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeError(ctx, result.New(result.Internal, "%v", err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (e *Engine) serveCompletion(ctx *fasthttp.RequestCtx) {
	var request engine.CompletionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeError(ctx, result.New(result.MalformedRequest, "%v", err))
		return
	}
	id, open, failure := e.submit(request)
	if failure != nil {
		writeError(ctx, failure)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer e.cancel(id)
		e.writeStream(writer, request.Model, id, open)
	})
}

// submit starts a call; its failures all mean that the call did not start.
func (e *Engine) submit(request engine.CompletionRequest) (string, *stream, *result.Error) {
	prompt := NewPrompt(request.Messages, request.MaxTokens)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.loading || e.target.Model == "" || request.Model != e.target.Model {
		return "", nil, result.New(result.EngineRefused, "engine serves %q, not %q", e.target.Model, request.Model)
	}
	e.nextID++
	id := fmt.Sprintf("%s-%d", e.process.Name, e.nextID)
	open := &stream{prompt: prompt, pieces: make(chan streamPiece, streamQueue), created: time.Now().Unix()}
	e.served[request.RequestID]++
	if e.process.Emulator.RespondsInstantly {
		open.pieces <- streamPiece{text: prompt.Response, last: &engine.Usage{CompletionTokens: prompt.OutputTokens}}
		return id, open, nil
	}
	e.streams[id] = open
	e.model.Submit(Job{
		ID: id, Program: request.User, Priority: request.Priority, Segments: prompt.Segments,
		OutputTokens: prompt.OutputTokens, DigestWithResponse: prompt.DigestWithResponse,
	}, e.nowUs())
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return id, open, nil
}

func (e *Engine) cancel(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, ok := e.streams[id]; ok {
		e.model.Cancel(id)
		delete(e.streams, id)
	}
}

func (e *Engine) writeStream(writer *bufio.Writer, model, id string, open *stream) {
	for piece := range open.pieces {
		chunk := engine.Chunk{
			ID: id, Object: "chat.completion.chunk", Created: open.created, Model: model,
			Choices: []engine.Choice{{Delta: &engine.Delta{Content: piece.text}}}, Usage: piece.last,
		}
		raw, _ := json.Marshal(chunk)
		_, _ = fmt.Fprintf(writer, "data: %s\n\n", raw)
		if piece.last != nil {
			_, _ = writer.WriteString("data: [DONE]\n\n")
			_ = writer.Flush()
			return
		}
		if writer.Flush() != nil {
			return
		}
	}
}

func (e *Engine) serveState(ctx *fasthttp.RequestCtx) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	lag := time.Duration(float64(e.process.Emulator.ReportDelayMs)/e.process.Emulator.TimeScale) * time.Millisecond
	if time.Since(e.reportedAt) > lag {
		running, waiting := e.model.JobCounts()
		e.reported = engine.State{
			Name: e.process.Name, Ready: e.target.Model != "" && !e.loading, Loading: e.loading, Target: e.target,
			Fence: e.fence, Running: running, Waiting: waiting, CachedPrograms: e.model.CachedPrograms(),
			Hardware: e.model.Hardware(), FreeKVCacheTokens: e.model.FreeKVCacheTokens(),
		}
		e.reportedAt = time.Now()
	}
	reported := e.reported
	if string(ctx.QueryArgs().Peek("held")) == "false" {
		reported.CachedPrograms = nil
		reported.CachedProgramsOmitted = true
	}
	writeJSON(ctx, reported)
}

func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var order engine.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		writeError(ctx, result.New(result.MalformedRequest, "%v", err))
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Fence.Less(e.fence) {
		writeError(ctx, result.New(result.StaleOrder, "fence %+v is below %+v", order.Fence, e.fence))
		return
	}
	e.fence = order.Fence
	if order.Target != e.target && !e.loading {
		e.loading = true
		e.reportedAt = time.Time{}
		go e.load(order.Target)
	}
	writeJSON(ctx, map[string]bool{"accepted": true})
}

// load fetches the weights at the weight store's pace and serves the new target.
func (e *Engine) load(target reconcile.Target) {
	telemetry.Info(e.logger, "loading", "model", target.Model, "adapter", target.Adapter, "version", target.Version)
	if err := e.fetchWeights(target); err != nil {
		telemetry.Warn(e.logger, "load failed", "model", target.Model, "err", err)
		e.mutex.Lock()
		e.loading = false
		e.reportedAt = time.Time{}
		e.mutex.Unlock()
		return
	}
	e.mutex.Lock()
	e.target = target
	e.loading = false
	e.model.ClearCache()
	e.reportedAt = time.Time{}
	e.mutex.Unlock()
	telemetry.Info(e.logger, "serving", "model", target.Model, "adapter", target.Adapter, "version", target.Version)
}

func (e *Engine) fetchWeights(target reconcile.Target) error {
	if e.process.Emulator.WeightStoreAddress == "" {
		return nil
	}
	address := fmt.Sprintf("http://%s/v1/weights/%s?version=%s&bytes=%d", e.process.Emulator.WeightStoreAddress, target.Model, target.Version, e.model.Hardware().WeightBytes)
	status, body, err := fasthttp.GetTimeout(nil, address, weightsTimeout)
	if err != nil {
		return err
	}
	var slot weightSlot
	if err := json.Unmarshal(body, &slot); err != nil || status != fasthttp.StatusOK {
		return errorx.IllegalState.New("weight store answered with status %d", status)
	}
	time.Sleep(time.Duration(slot.WaitMs) * time.Millisecond)
	return nil
}

func (e *Engine) serveRelease(ctx *fasthttp.RequestCtx) {
	var request engine.ReleaseRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeError(ctx, result.New(result.MalformedRequest, "%v", err))
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, name := range request.Programs {
		e.model.ReleaseProgram(name)
	}
	e.reportedAt = time.Time{}
	writeJSON(ctx, map[string]int{"released": len(request.Programs)})
}

// serveServed tells tests how often each request was started here.
func (e *Engine) serveServed(ctx *fasthttp.RequestCtx) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	writeJSON(ctx, e.served)
}

// ResponsePrefix returns the first words of the answer to a conversation, by which a
// caller checks what the engine saw.
func ResponsePrefix(messages []program.Message) string {
	var digest uint64
	for _, message := range messages {
		digest = program.ChainDigest(digest, message)
	}
	return fmt.Sprintf("saw %016x of %04d ", digest, len(messages))
}
