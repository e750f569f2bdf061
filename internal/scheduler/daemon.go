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
	tickInterval   = 25 * time.Millisecond
	eventQueue     = 16384
	eventsPerRound = 1024
	dialTimeout    = time.Second
	drainTimeout   = 60 * time.Second
)

// Daemon runs a Core over TCP towards control and sidecars, and HTTP towards
// engines.
type Daemon struct {
	process config.Process
	logger  log.Logger
	core    *Core
	monitor *telemetry.Monitor
	server  *protocol.Server
	engines *engine.Client
	events  chan func(core *Core, nowMs int64)
	stats   atomic.Pointer[Stats]
	owned   atomic.Pointer[[]membership.Engine]
	idle    atomic.Bool
	ready   atomic.Bool
	control map[string]*controlLink
	running context.Context

	nextSink atomic.Uint64
	mutex    sync.Mutex
	sinks    map[SinkID]sinkTarget
	stops    map[AttemptID]context.CancelFunc
}

// sinkTarget is one call of one sidecar's connection.
type sinkTarget struct {
	connection *protocol.Connection
	call       uint64
}

// NewDaemon prepares a scheduler.
func NewDaemon(process config.Process, logger log.Logger) *Daemon {
	daemon := &Daemon{
		process: process, logger: logger, engines: engine.NewClient(),
		events:  make(chan func(*Core, int64), eventQueue),
		control: map[string]*controlLink{}, sinks: map[SinkID]sinkTarget{}, stops: map[AttemptID]context.CancelFunc{},
	}
	daemon.stats.Store(&Stats{})
	daemon.owned.Store(&[]membership.Engine{})
	for _, member := range process.Cluster.Members {
		delay := time.Duration(0)
		if member.Zone != process.Zone {
			delay = time.Duration(process.Network.ZoneDelayMs * float64(time.Millisecond))
		}
		daemon.control[member.Name] = &controlLink{address: member.Address, delay: delay}
	}
	daemon.monitor = telemetry.NewMonitor(daemon.ready.Load)
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

// Run serves until ctx ends, then drains: no new calls, those under way end.
func (d *Daemon) Run(ctx context.Context) error {
	server, err := protocol.Listen(d.process.Listen.Address, d.handle)
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
	web := &fasthttp.Server{Handler: d.serveWeb, NoDefaultServerHeader: true}
	go func() { _ = web.Serve(listener) }()

	var members []string
	for _, member := range d.process.Cluster.Members {
		members = append(members, member.Name)
	}
	options := DefaultOptions(d.process.Name, d.process.Zone, server.Address(), uint64(time.Now().UnixNano()), members)
	d.core = NewCore(options, d, clock.NowMs())
	telemetry.Info(d.logger, "listening", "address", server.Address(), "http", listener.Addr().String())

	tasks := daemon.NewTaskGroup()
	d.running = tasks.Context
	tasks.Go(d.loop)
	tasks.Go(d.pollEngines)
	return tasks.Wait(ctx, d.drain)
}

// drain tells control first, so that sidecars go elsewhere, and then waits for
// the calls under way.
func (d *Daemon) drain(ctx context.Context) {
	telemetry.Info(d.logger, "draining")
	begun := make(chan struct{})
	d.events <- func(core *Core, _ int64) {
		core.Drain()
		d.idle.Store(false)
		close(begun)
	}
	<-begun
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if d.idle.Load() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// loop is the one goroutine that owns the core.
func (d *Daemon) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wasReady := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.core.Tick(clock.NowMs())
		case next := <-d.events:
			next(d.core, clock.NowMs())
			d.takeWaiting()
		}
		d.publish()
		if ready := d.core.IsReady(); ready != wasReady {
			wasReady = ready
			telemetry.Info(d.logger, "readiness changed", "ready", ready, "revision", d.core.SettingsTree().Revision())
		}
	}
}

func (d *Daemon) takeWaiting() {
	for range eventsPerRound {
		select {
		case next := <-d.events:
			next(d.core, clock.NowMs())
		default:
			return
		}
	}
}

func (d *Daemon) publish() {
	stats := d.core.Stats()
	d.stats.Store(&stats)
	d.idle.Store(d.core.IsIdle())
	d.ready.Store(d.core.IsReady())
	engines := d.core.Engines()
	d.owned.Store(&engines)
}

// post hands an event to the loop, unless the process is ending.
func (d *Daemon) post(next func(core *Core, nowMs int64)) {
	select {
	case d.events <- next:
	case <-d.running.Done():
	}
}

func (d *Daemon) serveWeb(ctx *fasthttp.RequestCtx) {
	if !d.monitor.Serve(ctx) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handle takes a frame from a sidecar.
func (d *Daemon) handle(connection *protocol.Connection, frame protocol.Frame) {
	switch frame.Kind {
	case protocol.KindCall:
		var request protocol.CallRequest
		if protocol.Decode(frame.Body, &request) != nil {
			connection.Close()
			return
		}
		sink := d.addSink(connection, frame.Call)
		telemetry.Debug(d.logger, "call", "program", request.Program, "request", request.Request)
		d.post(func(core *Core, nowMs int64) { core.HandleCall(sink, &request, nowMs) })
	case protocol.KindFollow:
		var request protocol.FollowRequest
		if protocol.Decode(frame.Body, &request) != nil {
			connection.Close()
			return
		}
		sink := d.addSink(connection, frame.Call)
		d.post(func(core *Core, nowMs int64) { core.HandleFollow(sink, &request, nowMs) })
	case protocol.KindCancel:
		var cancel protocol.Cancel
		if protocol.Decode(frame.Body, &cancel) != nil {
			connection.Close()
			return
		}
		d.post(func(core *Core, nowMs int64) { core.HandleCancel(&cancel, nowMs) })
	case protocol.KindProgram:
		var request protocol.ProgramRequest
		if protocol.Decode(frame.Body, &request) != nil {
			connection.Close()
			return
		}
		sink := d.addSink(connection, frame.Call)
		d.post(func(core *Core, nowMs int64) { core.HandleProgramRequest(sink, &request, nowMs) })
	default:
		connection.Close()
	}
}

func (d *Daemon) addSink(connection *protocol.Connection, call uint64) SinkID {
	sink := SinkID(d.nextSink.Add(1))
	d.mutex.Lock()
	d.sinks[sink] = sinkTarget{connection, call}
	d.mutex.Unlock()
	return sink
}

// Reply is the core's outlet to sidecars.
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
	if answer, isAnswer := message.(*protocol.CallReply); isAnswer && answer.Error != nil {
		telemetry.Info(d.logger, "call ended", "code", int(answer.Error.Code), "err", answer.Error)
	}
	if target.connection.Reply(target.call, kind, message, last) != nil {
		d.mutex.Lock()
		delete(d.sinks, sink)
		d.mutex.Unlock()
		go d.post(func(core *Core, _ int64) { core.HandleSinkClosed(sink) })
	}
}

// SendControlRequest is the core's outlet to control processes.
func (d *Daemon) SendControlRequest(member string, id ControlID, kind protocol.Kind, request any) {
	link, ok := d.control[member]
	if !ok {
		go d.post(func(core *Core, nowMs int64) { core.HandleControlReply(id, nil, nowMs) })
		return
	}
	// The message may share memory with the core, so it is encoded here.
	body, err := protocol.Encode(request)
	if err != nil {
		telemetry.Warn(d.logger, "request not encoded", "err", err)
		return
	}
	link.call(kind, body, func(frame protocol.Frame) {
		if frame.Kind != protocol.KindResponse {
			// This may run on the control loop, which must not wait for itself.
			go d.post(func(core *Core, nowMs int64) { core.HandleControlReply(id, nil, nowMs) })
			return
		}
		reply := protocol.NewReply(kind)
		if protocol.Decode(frame.Body, reply) != nil {
			reply = nil
		}
		d.post(func(core *Core, nowMs int64) { core.HandleControlReply(id, reply, nowMs) })
	})
}

// StartAttempt is the core's outlet to engines.
func (d *Daemon) StartAttempt(run EngineAttempt) {
	ctx, cancel := context.WithCancel(d.running)
	d.mutex.Lock()
	d.stops[run.ID] = cancel
	d.mutex.Unlock()
	go func() {
		defer cancel()
		outcome := d.engines.Complete(ctx, run.Engine.Address, run.Request, func(text string) {
			d.post(func(core *Core, nowMs int64) { core.HandleChunk(run.ID, text, nowMs) })
		})
		d.mutex.Lock()
		delete(d.stops, run.ID)
		d.mutex.Unlock()
		if outcome.Err != nil && ctx.Err() == nil {
			telemetry.Warn(d.logger, "run failed", "engine", run.Engine.Name, "program", run.Request.User,
				"request", run.Request.RequestID, "started", outcome.MayHaveStarted, "err", outcome.Err)
		}
		d.post(func(core *Core, nowMs int64) { core.HandleCompletion(run.ID, outcome, nowMs) })
	}()
}

// StopAttempt closes a run's stream.
func (d *Daemon) StopAttempt(attempt AttemptID) {
	d.mutex.Lock()
	cancel, ok := d.stops[attempt]
	d.mutex.Unlock()
	if ok {
		cancel()
	}
}

// SendOrder gives an engine a fenced order.
func (d *Daemon) SendOrder(target membership.Engine, order engine.Order) {
	telemetry.Info(d.logger, "engine ordered", "engine", target.Name, "model", order.Target.Model,
		"version", order.Target.Version, "epoch", order.Fence.Epoch, "revision", order.Fence.Revision)
	go func() {
		if err := d.engines.SendOrder(d.running, target.Address, order); err != nil && result.CodeOf(err) != result.Internal {
			telemetry.Warn(d.logger, "order refused", "engine", target.Name, "err", err)
		}
	}()
}

// ReleasePrograms tells an engine to drop programs.
func (d *Daemon) ReleasePrograms(target membership.Engine, programs []string) {
	telemetry.Debug(d.logger, "programs released", "engine", target.Name, "count", len(programs))
	go func() { _ = d.engines.ReleasePrograms(d.running, target.Address, programs) }()
}

// pollEngines asks each engine of the cell for its state.
func (d *Daemon) pollEngines(ctx context.Context) error {
	ticker := time.NewTicker(StatePollIntervalMs * time.Millisecond)
	defer ticker.Stop()
	var busy sync.Map
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for _, owned := range *d.owned.Load() {
			if _, loaded := busy.LoadOrStore(owned.Name, true); loaded {
				continue
			}
			go func() {
				defer busy.Delete(owned.Name)
				state, err := d.engines.State(ctx, owned.Address, round%CachedProgramsEveryPolls == 0)
				d.post(func(core *Core, nowMs int64) { core.HandleEngineState(owned.Name, state, err == nil, nowMs) })
			}()
		}
	}
}

// controlLink is the connection to one control process; it redials by itself.
type controlLink struct {
	address string
	delay   time.Duration
	mutex   sync.Mutex
	current *protocol.Connection
}

// call sends a request; handler gets KindClosed where there is no connection.
func (l *controlLink) call(kind protocol.Kind, body []byte, handler func(protocol.Frame)) {
	l.mutex.Lock()
	connection := l.current
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
	if l.current != nil {
		return l.current, nil
	}
	connection, err := protocol.Dial(l.address, dialTimeout, l.delay)
	if err != nil {
		return nil, err
	}
	l.current = connection
	connection.OnClose(func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if l.current == connection {
			l.current = nil
		}
	})
	return connection, nil
}
