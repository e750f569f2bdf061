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
	"github.com/ochrebay/ochrebay/internal/eventstream"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/reconcile"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	// streamQueueLength is the maximum number of unsent chunks of a stream; one more
	// cancels the stream.
	streamQueueLength = 4096
	// operationTimeout limits a request to the weight store and the shutdown of a server.
	operationTimeout = 5 * time.Second
	maxRequestBytes  = 64 << 20
	// minTimerWait is the shortest timer wait of runModel. Steps that end during one
	// wait are executed together.
	minTimerWait = 200 * time.Microsecond
)

// Engine emulates one model engine behind an HTTP interface, in real time.
type Engine struct {
	process   config.Process
	logger    log.Logger
	monitor   *telemetry.Monitor
	startedAt time.Time

	mutex     sync.Mutex
	model     *Model
	streams   map[string]*stream
	wake      chan struct{}
	target    reconcile.Target
	fence     reconcile.Fence
	isLoading bool
	lastID    uint64
	// reported is the state returned to callers. A state request refreshes it only if
	// it is older than the configured ReportDelayMs (virtual time), or if programs were
	// released or a model load started or ended since the last refresh.
	reported    engine.State
	reportedAt  time.Time
	startCounts map[string]int
}

type stream struct {
	prompt      Prompt
	sentTokens  int64
	chunks      chan streamChunk
	createdUnix int64
}

type streamChunk struct {
	text       string
	finalUsage *engine.Usage
}

// NewEngine returns an engine that serves no model until it receives an order.
func NewEngine(process config.Process, logger log.Logger) *Engine {
	emulated := &Engine{
		process: process, logger: logger, startedAt: time.Now(),
		model:   NewModel(WithSlowdown(HardwareByName(process.Emulator.Hardware), process.Emulator.Slowdown)),
		streams: map[string]*stream{}, wake: make(chan struct{}, 1), startCounts: map[string]int{},
	}
	emulated.monitor = telemetry.NewMonitor(emulated.isServing)
	emulated.monitor.RegisterGauge("emulated_held_tokens", "KV memory held, tokens.", func() float64 {
		emulated.mutex.Lock()
		defer emulated.mutex.Unlock()
		return float64(emulated.model.Hardware().KVCacheCapacityTokens - emulated.model.FreeKVCacheTokens())
	})
	return emulated
}

// isServing reports whether the engine has loaded a model and is not loading another one.
func (e *Engine) isServing() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.target.Model != "" && !e.isLoading
}

// nowUs returns the virtual time since the engine was created, in microseconds.
func (e *Engine) nowUs() int64 {
	return int64(float64(time.Since(e.startedAt).Microseconds()) * e.process.Emulator.TimeScale)
}

// Run serves requests until ctx is cancelled.
func (e *Engine) Run(ctx context.Context) error {
	go e.runModel(ctx)
	return serveHTTP(ctx, e.process, e.logger, e.serve)
}

// serveHTTP runs the HTTP server of one emulated process until ctx is cancelled.
// Connections that are still open after operationTimeout are not an error.
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
	serveError := make(chan error, 1)
	go func() { serveError <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
		shutdownContext, cancel := context.WithTimeout(context.Background(), operationTimeout)
		defer cancel()
		err := server.ShutdownWithContext(shutdownContext)
		if errors.Is(err, context.DeadlineExceeded) {
			return nil
		}
		return err
	case err := <-serveError:
		return err
	}
}

// runModel advances the model in real time until ctx is cancelled.
func (e *Engine) runModel(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		e.mutex.Lock()
		e.advanceModel()
		stepEndUs, isRunning := e.model.StepEndUs()
		wait := time.Hour
		if isRunning {
			wait = time.Duration(float64(stepEndUs-e.nowUs())/e.process.Emulator.TimeScale) * time.Microsecond
		}
		e.mutex.Unlock()
		timer.Reset(max(wait, minTimerWait))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
	}
}

func (e *Engine) advanceModel() {
	for _, progress := range e.model.Advance(e.nowUs()) {
		current, ok := e.streams[progress.ID]
		if !ok {
			continue
		}
		chunk := streamChunk{text: chunkText(current.prompt.Response, current.sentTokens, progress.GeneratedTokens)}
		current.sentTokens = progress.GeneratedTokens
		if progress.IsDone {
			chunk.finalUsage = newUsage(progress)
			delete(e.streams, progress.ID)
		}
		select {
		case current.chunks <- chunk:
		default:
			// The chunk queue is full because the client has stopped reading:
			// cancel the job and close the stream.
			e.model.Cancel(progress.ID)
			delete(e.streams, progress.ID)
			close(current.chunks)
		}
	}
}

func newUsage(progress Progress) *engine.Usage {
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
		e.serveStartCounts(ctx)
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
	id, current, failure := e.submit(request)
	if failure != nil {
		writeError(ctx, failure)
		return
	}
	ctx.SetContentType("text/event-stream")
	eventstream.SetBody(ctx, func(writer *bufio.Writer) error {
		defer e.cancel(id)
		return writeStream(writer, request.Model, id, current)
	})
}

// submit starts a request. Every error that it returns means that the request
// did not start.
func (e *Engine) submit(request engine.CompletionRequest) (string, *stream, *result.Error) {
	prompt := NewPrompt(request.Messages, request.MaxTokens)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.isLoading || e.target.Model == "" || request.Model != e.target.Model {
		return "", nil, result.New(result.EngineRefused, "engine serves %q, not %q", e.target.Model, request.Model)
	}
	e.lastID++
	id := fmt.Sprintf("%s-%d", e.process.Name, e.lastID)
	current := &stream{prompt: prompt, chunks: make(chan streamChunk, streamQueueLength), createdUnix: time.Now().Unix()}
	e.startCounts[request.RequestID]++
	if e.process.Emulator.RespondsInstantly {
		current.chunks <- streamChunk{text: prompt.Response, finalUsage: &engine.Usage{CompletionTokens: prompt.OutputTokens}}
		return id, current, nil
	}
	e.streams[id] = current
	e.model.Submit(Job{
		ID: id, Program: request.User, Priority: request.Priority, Segments: prompt.Segments,
		OutputTokens: prompt.OutputTokens, DigestWithResponse: prompt.DigestWithResponse,
	}, e.nowUs())
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return id, current, nil
}

func (e *Engine) cancel(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, ok := e.streams[id]; ok {
		e.model.Cancel(id)
		delete(e.streams, id)
	}
}

var errUnreadStream = errors.New("emulator: the client does not read the stream")

// writeStream writes the events of a stream. It returns an error if the stream ends before its last
// event.
func writeStream(writer *bufio.Writer, model, id string, current *stream) error {
	for next := range current.chunks {
		chunk := engine.Chunk{
			ID: id, Object: "chat.completion.chunk", Created: current.createdUnix, Model: model,
			Choices: []engine.Choice{{Delta: &engine.Delta{Content: next.text}}}, Usage: next.finalUsage,
		}
		raw, err := json.Marshal(chunk)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(writer, "data: %s\n\n", raw)
		if next.finalUsage != nil {
			_, _ = writer.WriteString("data: [DONE]\n\n")
			return writer.Flush()
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
	return errUnreadStream
}

func (e *Engine) serveState(ctx *fasthttp.RequestCtx) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	reportDelay := time.Duration(float64(e.process.Emulator.ReportDelayMs)/e.process.Emulator.TimeScale) * time.Millisecond
	if time.Since(e.reportedAt) > reportDelay {
		running, waiting := e.model.JobCounts()
		e.reported = engine.State{
			Name: e.process.Name, Ready: e.target.Model != "" && !e.isLoading, Loading: e.isLoading, Target: e.target,
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
	if order.Target != e.target && !e.isLoading {
		e.isLoading = true
		e.reportedAt = time.Time{}
		go e.loadModel(order.Target)
	}
	writeJSON(ctx, map[string]bool{"accepted": true})
}

// loadModel fetches the weights at the rate of the weight store and then serves
// the new target.
func (e *Engine) loadModel(target reconcile.Target) {
	telemetry.Info(e.logger, "loading", "model", target.Model, "adapter", target.Adapter, "version", target.Version)
	if err := e.fetchWeights(target); err != nil {
		telemetry.Warn(e.logger, "model load failed", "model", target.Model, "err", err)
		e.mutex.Lock()
		e.isLoading = false
		e.reportedAt = time.Time{}
		e.mutex.Unlock()
		return
	}
	e.mutex.Lock()
	e.target = target
	e.isLoading = false
	e.model.ClearCache()
	e.reportedAt = time.Time{}
	e.mutex.Unlock()
	telemetry.Info(e.logger, "serving", "model", target.Model, "adapter", target.Adapter, "version", target.Version)
}

func (e *Engine) fetchWeights(target reconcile.Target) error {
	if e.process.Emulator.WeightStoreAddress == "" {
		return nil
	}
	url := fmt.Sprintf("http://%s/v1/weights/%s?version=%s&bytes=%d", e.process.Emulator.WeightStoreAddress, target.Model, target.Version, e.model.Hardware().WeightBytes)
	status, body, err := fasthttp.GetTimeout(nil, url, operationTimeout)
	if err != nil {
		return err
	}
	var slot weightLoadSlot
	if err := json.Unmarshal(body, &slot); err != nil || status != fasthttp.StatusOK {
		return errorx.IllegalState.New("weight store returned status %d", status)
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

// serveStartCounts returns how often each request was started on this engine, by
// request ID. Tests use it to detect duplicate execution.
func (e *Engine) serveStartCounts(ctx *fasthttp.RequestCtx) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	writeJSON(ctx, e.startCounts)
}

// ResponsePrefix returns the start of the response to a conversation. Callers
// compare it with a response to check which conversation the engine received.
func ResponsePrefix(messages []program.Message) string {
	var digest uint64
	for _, message := range messages {
		digest = program.ChainDigest(digest, message)
	}
	return fmt.Sprintf("saw %016x of %04d ", digest, len(messages))
}
