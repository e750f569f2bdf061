package sidecar

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
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	tickInterval  = 10 * time.Millisecond
	eventQueue    = 16384
	deliverQueue  = 8192
	dialTimeout   = time.Second
	drainTimeout  = 60 * time.Second
	shutdownGrace = 2 * time.Second
)

// delivery is one thing for a caller: a part of the answer, or its end.
type delivery struct {
	text   string
	answer *protocol.CallReply
}

// Daemon runs a Core over HTTP towards callers and TCP towards schedulers.
type Daemon struct {
	process config.Process
	logger  log.Logger
	core    *Core
	monitor *telemetry.Monitor
	events  chan func(core *Core, nowMs int64)
	running context.Context
	stats   atomic.Pointer[Stats]
	view    atomic.Pointer[view]

	nextCaller atomic.Uint64
	mutex      sync.Mutex
	callers    map[CallID]chan delivery
	links      map[string]*protocol.Connection
}

// view is the snapshot that traffic goroutines read.
type view struct {
	ready     bool
	idle      bool
	draining  bool
	bodyLimit int64
	services  map[string]bool
}

// NewDaemon prepares a sidecar.
func NewDaemon(process config.Process, logger log.Logger) *Daemon {
	daemon := &Daemon{
		process: process, logger: logger, events: make(chan func(*Core, int64), eventQueue),
		callers: map[CallID]chan delivery{}, links: map[string]*protocol.Connection{},
	}
	var seeds []membership.Scheduler
	for _, peer := range process.Schedulers {
		seeds = append(seeds, membership.Scheduler{Name: peer.Name, Zone: peer.Zone, Address: peer.Address})
	}
	daemon.core = NewCore(DefaultOptions(process.Name, process.Zone, seeds), daemon, clock.NowMs())
	daemon.stats.Store(&Stats{})
	daemon.view.Store(&view{})
	daemon.monitor = telemetry.NewMonitor(func() bool { return daemon.view.Load().ready })
	gauge := func(name, help string, value func(*Stats) float64) {
		daemon.monitor.RegisterGauge(name, help, func() float64 { return value(daemon.stats.Load()) })
	}
	gauge("settings_revision", "Settings revision in force.", func(s *Stats) float64 { return float64(s.Revision) })
	gauge("caller_calls", "Calls taken since the start.", func(s *Stats) float64 { return float64(s.Calls) })
	gauge("caller_answered", "Calls answered since the start.", func(s *Stats) float64 { return float64(s.Answered) })
	gauge("caller_failed", "Calls that ended in an error.", func(s *Stats) float64 { return float64(s.Failed) })
	gauge("caller_retries", "Calls sent again to a scheduler.", func(s *Stats) float64 { return float64(s.Retries) })
	gauge("caller_open", "Calls under way.", func(s *Stats) float64 { return float64(s.OpenCalls) })
	return daemon
}

// Run serves until ctx ends, then drains: no new calls, those under way end.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.process.Listen.HTTP)
	if err != nil {
		return errorx.Decorate(err, "listening for callers")
	}
	web := &fasthttp.Server{
		Handler: d.serve, NoDefaultServerHeader: true, MaxRequestBodySize: hardBodyLimit,
		CloseOnShutdown: true, ErrorHandler: serveTransportError,
	}
	telemetry.Info(d.logger, "listening", "http", listener.Addr().String())
	tasks := daemon.NewTaskGroup()
	d.running = tasks.Context
	go func() { _ = web.Serve(listener) }()
	tasks.Go(d.loop)
	return tasks.Wait(ctx, func(ctx context.Context) { d.drain(ctx, web) })
}

func (d *Daemon) drain(ctx context.Context, web *fasthttp.Server) {
	telemetry.Info(d.logger, "draining")
	d.events <- func(core *Core, _ int64) { core.Drain() }
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if current := d.view.Load(); current.draining && current.idle {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	bounded, cancel := context.WithTimeout(ctx, shutdownGrace)
	defer cancel()
	_ = web.ShutdownWithContext(bounded)
}

// loop is the one goroutine that owns the core.
func (d *Daemon) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	revision := ^uint64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.core.Tick(clock.NowMs())
		case next := <-d.events:
			next(d.core, clock.NowMs())
		}
		stats := d.core.Stats()
		d.stats.Store(&stats)
		d.publish(revision)
		revision = stats.Revision
	}
}

// publish renews the snapshot; the services are listed anew only when the
// settings have changed. Invariant: no service is called unknown before the
// settings have been heard.
func (d *Daemon) publish(revision uint64) {
	previous := d.view.Load()
	current := &view{
		ready: d.core.IsReady(), idle: d.core.IsIdle(), draining: d.core.draining,
		bodyLimit: previous.bodyLimit, services: previous.services,
	}
	if tree := d.core.SettingsTree(); tree.Revision() > 0 && tree.Revision() != revision {
		current.services = map[string]bool{}
		for _, name := range tree.Children("/services") {
			current.services[name] = true
		}
		current.bodyLimit = *tree.EffectiveFields("/").MaxBodyBytes
		telemetry.Info(d.logger, "settings in force", "revision", tree.Revision())
	}
	d.view.Store(current)
}

func (d *Daemon) post(next func(core *Core, nowMs int64)) {
	select {
	case d.events <- next:
	case <-d.running.Done():
	}
}

// Send is the core's outlet to schedulers.
func (d *Daemon) Send(address string, id OutboundRequestID, kind protocol.Kind, request any) {
	body, err := protocol.Encode(request)
	if err != nil {
		go d.post(func(core *Core, nowMs int64) { core.HandleLostRequest(id, nowMs) })
		return
	}
	handler := func(frame protocol.Frame) { d.handle(id, frame) }
	if link := d.link(address); link != nil {
		link.CallRaw(kind, body, handler)
		return
	}
	go func() {
		link, err := d.dial(address)
		if err != nil {
			handler(protocol.Frame{Kind: protocol.KindClosed, Last: true})
			return
		}
		link.CallRaw(kind, body, handler)
	}()
}

// Notify sends a one-way message where there is a connection.
func (d *Daemon) Notify(address string, kind protocol.Kind, message any) {
	if link := d.link(address); link != nil {
		_ = link.Send(kind, message)
	}
}

func (d *Daemon) link(address string) *protocol.Connection {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.links[address]
}

func (d *Daemon) dial(address string) (*protocol.Connection, error) {
	connection, err := protocol.Dial(address, dialTimeout, 0)
	if err != nil {
		return nil, err
	}
	d.mutex.Lock()
	if existing := d.links[address]; existing != nil {
		d.mutex.Unlock()
		connection.Close()
		return existing, nil
	}
	d.links[address] = connection
	d.mutex.Unlock()
	connection.OnClose(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if d.links[address] == connection {
			delete(d.links, address)
		}
	})
	return connection, nil
}

// handle takes a frame from a scheduler.
func (d *Daemon) handle(id OutboundRequestID, frame protocol.Frame) {
	switch frame.Kind {
	case protocol.KindCallChunk:
		var piece protocol.CallChunk
		if protocol.Decode(frame.Body, &piece) == nil {
			d.post(func(core *Core, nowMs int64) { core.HandleChunk(id, &piece, nowMs) })
		}
	case protocol.KindCallReply:
		var answer protocol.CallReply
		if protocol.Decode(frame.Body, &answer) == nil {
			d.post(func(core *Core, nowMs int64) { core.HandleCallReply(id, &answer, nowMs) })
			return
		}
		d.post(func(core *Core, nowMs int64) { core.HandleLostRequest(id, nowMs) })
	case protocol.KindResponse:
		var reply protocol.FollowReply
		if protocol.Decode(frame.Body, &reply) == nil {
			d.post(func(core *Core, nowMs int64) { core.HandleFollowReply(id, &reply, nowMs) })
		}
	default:
		// This may run on the control loop, which must not wait for itself.
		go d.post(func(core *Core, nowMs int64) { core.HandleLostRequest(id, nowMs) })
	}
}

// Deliver hands a part of an answer to the caller's goroutine.
func (d *Daemon) Deliver(caller CallID, text string) {
	d.toCaller(caller, delivery{text: text})
}

// Finish hands over the end of a call.
func (d *Daemon) Finish(caller CallID, answer *protocol.CallReply) {
	d.toCaller(caller, delivery{answer: answer})
	d.mutex.Lock()
	delete(d.callers, caller)
	d.mutex.Unlock()
}

// toCaller never blocks the loop: a caller that doesn't read is cut off, and its
// request id gives it the answer later.
func (d *Daemon) toCaller(caller CallID, next delivery) {
	d.mutex.Lock()
	deliveries, ok := d.callers[caller]
	d.mutex.Unlock()
	if !ok {
		return
	}
	select {
	case deliveries <- next:
	default:
		d.mutex.Lock()
		delete(d.callers, caller)
		d.mutex.Unlock()
		close(deliveries)
	}
}

// open starts a call; its deliveries come on the channel.
func (d *Daemon) open(request *protocol.CallRequest) (CallID, <-chan delivery) {
	caller := CallID(d.nextCaller.Add(1))
	deliveries := make(chan delivery, deliverQueue)
	d.mutex.Lock()
	d.callers[caller] = deliveries
	d.mutex.Unlock()
	d.post(func(core *Core, nowMs int64) { core.HandleCall(caller, request, nowMs) })
	return caller, deliveries
}

// gone tells the core that a caller went away.
func (d *Daemon) gone(caller CallID) {
	d.mutex.Lock()
	delete(d.callers, caller)
	d.mutex.Unlock()
	d.post(func(core *Core, _ int64) { core.HandleDisconnect(caller) })
}
