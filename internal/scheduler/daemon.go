package scheduler

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	tickInterval       = 25 * time.Millisecond
	eventQueueCapacity = 16384
	maxEventsPerBatch  = 1024
	dialTimeout        = time.Second
	drainTimeout       = 60 * time.Second
)

// Daemon connects a Core to control processes and sidecars over TCP and to engines over HTTP. It
// implements Transport.
type Daemon struct {
	process      config.Process
	logger       log.Logger
	core         *Core
	monitor      *telemetry.Monitor
	server       *protocol.Server
	engineClient *engine.Client
	events       chan func(core *Core, nowMs int64)
	stats        atomic.Pointer[Stats]
	ownedEngines atomic.Pointer[[]membership.Engine]
	isIdle       atomic.Bool
	isReady      atomic.Bool
	controlLinks map[string]*controlLink
	runContext   context.Context

	lastSink       atomic.Uint64
	mutex          sync.Mutex
	sinks          map[SinkID]sinkTarget
	attemptCancels map[AttemptID]context.CancelFunc
}

// sinkTarget is the connection and the call number that a SinkID stands for.
type sinkTarget struct {
	connection *protocol.Connection
	call       uint64
}

// NewDaemon returns a Daemon; Run starts it.
func NewDaemon(process config.Process, logger log.Logger) *Daemon {
	daemon := &Daemon{
		process: process, logger: logger, engineClient: engine.NewClient(),
		events:       make(chan func(*Core, int64), eventQueueCapacity),
		controlLinks: map[string]*controlLink{}, sinks: map[SinkID]sinkTarget{}, attemptCancels: map[AttemptID]context.CancelFunc{},
	}
	daemon.stats.Store(&Stats{})
	daemon.ownedEngines.Store(&[]membership.Engine{})
	for _, member := range process.Cluster.Members {
		delay := time.Duration(0)
		if member.Zone != process.Zone {
			delay = time.Duration(process.Network.ZoneDelayMs * float64(time.Millisecond))
		}
		daemon.controlLinks[member.Name] = &controlLink{address: member.Address, delay: delay}
	}
	daemon.monitor = telemetry.NewMonitor(daemon.isReady.Load)
	daemon.registerMetrics()
	return daemon
}

func (d *Daemon) registerMetrics() {
	gauge := func(name, help string, value func(*Stats) float64) {
		d.monitor.RegisterGauge(name, help, func() float64 { return value(d.stats.Load()) })
	}
	gauge("settings_revision", "Settings revision in force.", func(s *Stats) float64 { return float64(s.Revision) })
	gauge("engines_owned", "Engines of this cell.", func(s *Stats) float64 { return float64(s.Engines) })
	gauge("engines_ready", "Engines of this cell that are ready.", func(s *Stats) float64 { return float64(s.ReadyEngines) })
	gauge("calls_waiting", "Calls that wait for an engine.", func(s *Stats) float64 { return float64(s.Waiting) })
	gauge("calls_in_flight", "Calls that run on engines.", func(s *Stats) float64 { return float64(s.InFlight) })
	gauge("calls_started", "Runs on engines since the start.", func(s *Stats) float64 { return float64(s.StartedAttempts) })
	gauge("calls_answered", "Calls answered and committed since the start.", func(s *Stats) float64 { return float64(s.Answered) })
	gauge("calls_refused", "Calls refused since the start.", func(s *Stats) float64 { return float64(s.Refused) })
	gauge("attempts_failed", "Runs that failed on an engine.", func(s *Stats) float64 { return float64(s.FailedAttempts) })
	gauge("turns_taken_over", "Open turns taken over from lost schedulers.", func(s *Stats) float64 { return float64(s.TakeOverAttempts) })
	gauge("programs_released", "Programs released on engines.", func(s *Stats) float64 { return float64(s.ReleasedPrograms) })
	gauge("prompt_tokens", "Prompt tokens of answered calls.", func(s *Stats) float64 { return float64(s.PromptTokens) })
	gauge("cached_tokens", "Prompt tokens that engines had cached.", func(s *Stats) float64 { return float64(s.CachedTokens) })
}

// Run serves until ctx is done. It then drains: new calls are refused and calls in progress get up
// to drainTimeout to end.
func (d *Daemon) Run(ctx context.Context) error {
	server, err := protocol.Listen(d.process.Listen.Address, d.handleFrame)
	if err != nil {
		return errorx.Decorate(err, "listening")
	}
	d.server = server
	defer server.Close()
	listener, err := net.Listen("tcp", d.process.Listen.HTTP)
	if err != nil {
		return errorx.Decorate(err, "listening for metrics")
	}
	defer listener.Close()
	httpServer := &fasthttp.Server{Handler: d.serveHTTP, NoDefaultServerHeader: true}
	go func() { _ = httpServer.Serve(listener) }()

	var members []string
	for _, member := range d.process.Cluster.Members {
		members = append(members, member.Name)
	}
	options := DefaultOptions(d.process.Name, d.process.Zone, server.Address(), uint64(time.Now().UnixNano()), members)
	d.core = NewCore(options, d, clock.NowMs())
	telemetry.Info(d.logger, "listening", "address", server.Address(), "http", listener.Addr().String())

	tasks := daemon.NewTaskGroup()
	d.runContext = tasks.Context
	tasks.Go(d.runEventLoop)
	tasks.Go(d.pollEngines)
	return tasks.Wait(ctx, d.drain)
}

// drain starts the draining of the core, which reports it to control so that sidecars use other
// schedulers, and waits until the core is idle.
func (d *Daemon) drain(ctx context.Context) {
	telemetry.Info(d.logger, "draining")
	drainStarted := make(chan struct{})
	d.events <- func(core *Core, _ int64) {
		core.Drain()
		d.isIdle.Store(false)
		close(drainStarted)
	}
	<-drainStarted
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if d.isIdle.Load() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runEventLoop runs in the only goroutine that accesses the core.
func (d *Daemon) runEventLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wasReady := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.core.Tick(clock.NowMs())
		case event := <-d.events:
			event(d.core, clock.NowMs())
			d.processQueuedEvents()
		}
		d.publish()
		if ready := d.core.IsReady(); ready != wasReady {
			wasReady = ready
			telemetry.Info(d.logger, "readiness changed", "ready", ready, "revision", d.core.SettingsTree().Revision())
		}
	}
}

func (d *Daemon) processQueuedEvents() {
	for range maxEventsPerBatch {
		select {
		case event := <-d.events:
			event(d.core, clock.NowMs())
		default:
			return
		}
	}
}

func (d *Daemon) publish() {
	stats := d.core.Stats()
	d.stats.Store(&stats)
	d.isIdle.Store(d.core.IsIdle())
	d.isReady.Store(d.core.IsReady())
	engines := d.core.Engines()
	d.ownedEngines.Store(&engines)
}

// postEvent queues an event for the event loop, unless the process is ending.
func (d *Daemon) postEvent(event func(core *Core, nowMs int64)) {
	select {
	case d.events <- event:
	case <-d.runContext.Done():
	}
}

func (d *Daemon) serveHTTP(ctx *fasthttp.RequestCtx) {
	if !d.monitor.Serve(ctx) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleFrame handles a frame from a sidecar. An invalid frame closes the connection.
func (d *Daemon) handleFrame(connection *protocol.Connection, frame protocol.Frame) {
	switch frame.Kind {
	case protocol.KindCall:
		var request protocol.CallRequest
		if protocol.Decode(frame.Body, &request) != nil {
			connection.Close()
			return
		}
		sink := d.addSink(connection, frame.Call)
		telemetry.Debug(d.logger, "call", "program", request.Program, "request", request.Request)
		d.postEvent(func(core *Core, nowMs int64) { core.HandleCall(sink, &request, nowMs) })
	case protocol.KindFollow:
		var request protocol.FollowRequest
		if protocol.Decode(frame.Body, &request) != nil {
			connection.Close()
			return
		}
		sink := d.addSink(connection, frame.Call)
		d.postEvent(func(core *Core, nowMs int64) { core.HandleFollow(sink, &request, nowMs) })
	case protocol.KindCancel:
		var cancel protocol.Cancel
		if protocol.Decode(frame.Body, &cancel) != nil {
			connection.Close()
			return
		}
		d.postEvent(func(core *Core, nowMs int64) { core.HandleCancel(&cancel, nowMs) })
	case protocol.KindProgram:
		var request protocol.ProgramRequest
		if protocol.Decode(frame.Body, &request) != nil {
			connection.Close()
			return
		}
		sink := d.addSink(connection, frame.Call)
		d.postEvent(func(core *Core, nowMs int64) { core.HandleProgramRequest(sink, &request, nowMs) })
	default:
		connection.Close()
	}
}

func (d *Daemon) addSink(connection *protocol.Connection, call uint64) SinkID {
	sink := SinkID(d.lastSink.Add(1))
	d.mutex.Lock()
	d.sinks[sink] = sinkTarget{connection, call}
	d.mutex.Unlock()
	return sink
}

// Reply implements Transport.
func (d *Daemon) Reply(sink SinkID, kind protocol.Kind, message any, last bool) {
	d.mutex.Lock()
	target, ok := d.sinks[sink]
	if last {
		delete(d.sinks, sink)
	}
	d.mutex.Unlock()
	if !ok {
		return
	}
	if callReply, isCallReply := message.(*protocol.CallReply); isCallReply && callReply.Error != nil {
		telemetry.Info(d.logger, "call ended", "code", int(callReply.Error.Code), "err", callReply.Error)
	}
	if target.connection.Reply(target.call, kind, message, last) != nil {
		d.mutex.Lock()
		delete(d.sinks, sink)
		d.mutex.Unlock()
		go d.postEvent(func(core *Core, _ int64) { core.HandleSinkClosed(sink) })
	}
}

// SendControlRequest implements Transport.
func (d *Daemon) SendControlRequest(member string, id ControlID, kind protocol.Kind, request any) {
	link, ok := d.controlLinks[member]
	if !ok {
		go d.postEvent(func(core *Core, nowMs int64) { core.HandleControlReply(id, nil, nowMs) })
		return
	}
	// The request may share memory with the core, so it is encoded before the method returns.
	body, err := protocol.Encode(request)
	if err != nil {
		telemetry.Warn(d.logger, "cannot encode control request", "err", err)
		return
	}
	link.call(kind, body, func(frame protocol.Frame) {
		if frame.Kind != protocol.KindResponse {
			// This may run in the event loop, which would block if it waited for its own queue.
			go d.postEvent(func(core *Core, nowMs int64) { core.HandleControlReply(id, nil, nowMs) })
			return
		}
		reply := protocol.NewReply(kind)
		if protocol.Decode(frame.Body, reply) != nil {
			reply = nil
		}
		d.postEvent(func(core *Core, nowMs int64) { core.HandleControlReply(id, reply, nowMs) })
	})
}

// StartAttempt implements Transport.
func (d *Daemon) StartAttempt(attempt EngineAttempt) {
	ctx, cancel := context.WithCancel(d.runContext)
	d.mutex.Lock()
	d.attemptCancels[attempt.ID] = cancel
	d.mutex.Unlock()
	go func() {
		defer cancel()
		outcome := d.engineClient.Complete(ctx, attempt.Engine.Address, attempt.Request, func(text string) {
			d.postEvent(func(core *Core, nowMs int64) { core.HandleChunk(attempt.ID, text, nowMs) })
		})
		d.mutex.Lock()
		delete(d.attemptCancels, attempt.ID)
		d.mutex.Unlock()
		if outcome.Err != nil && ctx.Err() == nil {
			telemetry.Warn(d.logger, "engine attempt failed", "engine", attempt.Engine.Name, "program", attempt.Request.User,
				"request", attempt.Request.RequestID, "started", outcome.MayHaveStarted, "err", outcome.Err)
		}
		d.postEvent(func(core *Core, nowMs int64) { core.HandleCompletion(attempt.ID, outcome, nowMs) })
	}()
}

// StopAttempt implements Transport.
func (d *Daemon) StopAttempt(id AttemptID) {
	d.mutex.Lock()
	cancel, ok := d.attemptCancels[id]
	d.mutex.Unlock()
	if ok {
		cancel()
	}
}

// SendOrder implements Transport.
func (d *Daemon) SendOrder(target membership.Engine, order engine.Order) {
	telemetry.Info(d.logger, "sending order to engine", "engine", target.Name, "model", order.Target.Model,
		"version", order.Target.Version, "epoch", order.Fence.Epoch, "revision", order.Fence.Revision)
	go func() {
		if err := d.engineClient.SendOrder(d.runContext, target.Address, order); err != nil && result.CodeOf(err) != result.Internal {
			telemetry.Warn(d.logger, "engine rejected an order", "engine", target.Name, "err", err)
		}
	}()
}

// ReleasePrograms implements Transport.
func (d *Daemon) ReleasePrograms(target membership.Engine, programs []string) {
	telemetry.Debug(d.logger, "releasing programs on engine", "engine", target.Name, "count", len(programs))
	go func() { _ = d.engineClient.ReleasePrograms(d.runContext, target.Address, programs) }()
}

// pollEngines polls the state of each engine of the cell. An engine is not polled again while its
// last poll is in flight.
func (d *Daemon) pollEngines(ctx context.Context) error {
	ticker := time.NewTicker(StatePollIntervalMs * time.Millisecond)
	defer ticker.Stop()
	var pollsInFlight sync.Map
	for poll := 0; ; poll++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for _, owned := range *d.ownedEngines.Load() {
			if _, isPolling := pollsInFlight.LoadOrStore(owned.Name, true); isPolling {
				continue
			}
			go func() {
				defer pollsInFlight.Delete(owned.Name)
				state, err := d.engineClient.State(ctx, owned.Address, poll%CachedProgramsEveryPolls == 0)
				d.postEvent(func(core *Core, nowMs int64) { core.HandleEngineState(owned.Name, state, err == nil, nowMs) })
			}()
		}
	}
}

// controlLink is the connection to one control process. It is dialed on the first call and again
// after it has closed.
type controlLink struct {
	address    string
	delay      time.Duration
	mutex      sync.Mutex
	connection *protocol.Connection
}

// call sends a request. If no connection can be made, handler gets a frame of KindClosed.
func (l *controlLink) call(kind protocol.Kind, body []byte, handler func(protocol.Frame)) {
	l.mutex.Lock()
	connection := l.connection
	l.mutex.Unlock()
	if connection != nil {
		connection.CallRaw(kind, body, handler)
		return
	}
	go func() {
		connection, err := l.dial()
		if err != nil {
			handler(protocol.Frame{Kind: protocol.KindClosed, Last: true})
			return
		}
		connection.CallRaw(kind, body, handler)
	}()
}

func (l *controlLink) dial() (*protocol.Connection, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.connection != nil {
		return l.connection, nil
	}
	connection, err := protocol.Dial(l.address, dialTimeout, l.delay)
	if err != nil {
		return nil, err
	}
	l.connection = connection
	connection.OnClose(func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if l.connection == connection {
			l.connection = nil
		}
	})
	return connection, nil
}
