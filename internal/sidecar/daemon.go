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
	tickInterval          = 10 * time.Millisecond
	eventQueueCapacity    = 16384
	deliveryQueueCapacity = 8192
	dialTimeout           = time.Second
	drainTimeout          = 60 * time.Second
	shutdownTimeout       = 2 * time.Second
)

// delivery is a message for a caller: a part of the response, or the final reply if reply is not
// nil.
type delivery struct {
	text  string
	reply *protocol.CallReply
}

// Daemon connects a Core to callers over HTTP and to schedulers over TCP. It implements Transport.
type Daemon struct {
	process    config.Process
	logger     log.Logger
	core       *Core
	monitor    *telemetry.Monitor
	events     chan func(core *Core, nowMs int64)
	runContext context.Context
	stats      atomic.Pointer[Stats]
	snapshot   atomic.Pointer[snapshot]

	lastCall    atomic.Uint64
	mutex       sync.Mutex
	deliveries  map[CallID]chan delivery
	connections map[string]*protocol.Connection
}

// snapshot is the part of the core's state that the HTTP handlers read.
type snapshot struct {
	isReady        bool
	isIdle         bool
	isDraining     bool
	bodyLimitBytes int64
	services       map[string]bool
}

// NewDaemon returns a Daemon; Run starts it.
func NewDaemon(process config.Process, logger log.Logger) *Daemon {
	daemon := &Daemon{
		process: process, logger: logger, events: make(chan func(*Core, int64), eventQueueCapacity),
		deliveries: map[CallID]chan delivery{}, connections: map[string]*protocol.Connection{},
	}
	var seeds []membership.Scheduler
	for _, peer := range process.Schedulers {
		seeds = append(seeds, membership.Scheduler{Name: peer.Name, Zone: peer.Zone, Address: peer.Address})
	}
	daemon.core = NewCore(DefaultOptions(process.Name, process.Zone, seeds), daemon, clock.NowMs())
	daemon.stats.Store(&Stats{})
	daemon.snapshot.Store(&snapshot{})
	daemon.monitor = telemetry.NewMonitor(func() bool { return daemon.snapshot.Load().isReady })
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

// Run serves until ctx is done. It then drains: new calls are refused and calls in progress get up
// to drainTimeout to end.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.process.Listen.HTTP)
	if err != nil {
		return errorx.Decorate(err, "listening for callers")
	}
	httpServer := &fasthttp.Server{
		Handler: d.serveHTTP, NoDefaultServerHeader: true, MaxRequestBodySize: hardBodyLimitBytes,
		CloseOnShutdown: true, ErrorHandler: serveTransportError,
	}
	telemetry.Info(d.logger, "listening", "http", listener.Addr().String())
	tasks := daemon.NewTaskGroup()
	d.runContext = tasks.Context
	go func() { _ = httpServer.Serve(listener) }()
	tasks.Go(d.runEventLoop)
	return tasks.Wait(ctx, func(ctx context.Context) { d.drain(ctx, httpServer) })
}

func (d *Daemon) drain(ctx context.Context, httpServer *fasthttp.Server) {
	telemetry.Info(d.logger, "draining")
	d.events <- func(core *Core, _ int64) { core.Drain() }
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if current := d.snapshot.Load(); current.isDraining && current.isIdle {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	_ = httpServer.ShutdownWithContext(shutdownCtx)
}

// runEventLoop runs in the only goroutine that accesses the core.
func (d *Daemon) runEventLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	publishedRevision := ^uint64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.core.Tick(clock.NowMs())
		case event := <-d.events:
			event(d.core, clock.NowMs())
		}
		stats := d.core.Stats()
		d.stats.Store(&stats)
		d.publish(publishedRevision)
		publishedRevision = stats.Revision
	}
}

// publish stores a new snapshot. It rebuilds the list of services only if the settings revision
// differs from publishedRevision. Invariant: services is nil until the first settings arrive, so
// that no service is reported as unknown before that.
func (d *Daemon) publish(publishedRevision uint64) {
	previous := d.snapshot.Load()
	current := &snapshot{
		isReady: d.core.IsReady(), isIdle: d.core.IsIdle(), isDraining: d.core.isDraining,
		bodyLimitBytes: previous.bodyLimitBytes, services: previous.services,
	}
	if tree := d.core.SettingsTree(); tree.Revision() > 0 && tree.Revision() != publishedRevision {
		current.services = map[string]bool{}
		for _, name := range tree.Children("/services") {
			current.services[name] = true
		}
		current.bodyLimitBytes = *tree.EffectiveFields("/").MaxBodyBytes
		telemetry.Info(d.logger, "settings applied", "revision", tree.Revision())
	}
	d.snapshot.Store(current)
}

func (d *Daemon) postEvent(event func(core *Core, nowMs int64)) {
	select {
	case d.events <- event:
	case <-d.runContext.Done():
	}
}

// Send implements Transport.
func (d *Daemon) Send(address string, id OutboundRequestID, kind protocol.Kind, request any) {
	body, err := protocol.Encode(request)
	if err != nil {
		go d.postEvent(func(core *Core, nowMs int64) { core.HandleLostRequest(id, nowMs) })
		return
	}
	handler := func(frame protocol.Frame) { d.handleFrame(id, frame) }
	if connection := d.connectionTo(address); connection != nil {
		connection.CallRaw(kind, body, handler)
		return
	}
	go func() {
		connection, err := d.dial(address)
		if err != nil {
			handler(protocol.Frame{Kind: protocol.KindClosed, Last: true})
			return
		}
		connection.CallRaw(kind, body, handler)
	}()
}

// Notify implements Transport. The message is dropped if there is no connection to the scheduler.
func (d *Daemon) Notify(address string, kind protocol.Kind, message any) {
	if connection := d.connectionTo(address); connection != nil {
		_ = connection.Send(kind, message)
	}
}

func (d *Daemon) connectionTo(address string) *protocol.Connection {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.connections[address]
}

func (d *Daemon) dial(address string) (*protocol.Connection, error) {
	connection, err := protocol.Dial(address, dialTimeout, 0)
	if err != nil {
		return nil, err
	}
	d.mutex.Lock()
	if existing := d.connections[address]; existing != nil {
		d.mutex.Unlock()
		connection.Close()
		return existing, nil
	}
	d.connections[address] = connection
	d.mutex.Unlock()
	connection.OnClose(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if d.connections[address] == connection {
			delete(d.connections, address)
		}
	})
	return connection, nil
}

// handleFrame handles a frame from a scheduler.
func (d *Daemon) handleFrame(id OutboundRequestID, frame protocol.Frame) {
	switch frame.Kind {
	case protocol.KindCallChunk:
		var chunk protocol.CallChunk
		if protocol.Decode(frame.Body, &chunk) == nil {
			d.postEvent(func(core *Core, nowMs int64) { core.HandleChunk(id, &chunk, nowMs) })
		}
	case protocol.KindCallReply:
		var reply protocol.CallReply
		if protocol.Decode(frame.Body, &reply) == nil {
			d.postEvent(func(core *Core, nowMs int64) { core.HandleCallReply(id, &reply, nowMs) })
			return
		}
		d.postEvent(func(core *Core, nowMs int64) { core.HandleLostRequest(id, nowMs) })
	case protocol.KindResponse:
		var reply protocol.FollowReply
		if protocol.Decode(frame.Body, &reply) == nil {
			d.postEvent(func(core *Core, nowMs int64) { core.HandleFollowReply(id, &reply, nowMs) })
		}
	default:
		// This may run in the event loop, which would block if it waited for its own queue.
		go d.postEvent(func(core *Core, nowMs int64) { core.HandleLostRequest(id, nowMs) })
	}
}

// Deliver implements Transport.
func (d *Daemon) Deliver(id CallID, text string) {
	d.queueDelivery(id, delivery{text: text})
}

// Finish implements Transport.
func (d *Daemon) Finish(id CallID, reply *protocol.CallReply) {
	d.queueDelivery(id, delivery{reply: reply})
	d.mutex.Lock()
	delete(d.deliveries, id)
	d.mutex.Unlock()
}

// queueDelivery passes a message to the HTTP handler of a call without blocking the event loop. If
// the call's queue is full because the caller does not read, its channel is closed; the caller can
// request the response again with the same request id.
func (d *Daemon) queueDelivery(id CallID, next delivery) {
	d.mutex.Lock()
	deliveries, ok := d.deliveries[id]
	d.mutex.Unlock()
	if !ok {
		return
	}
	select {
	case deliveries <- next:
	default:
		d.mutex.Lock()
		delete(d.deliveries, id)
		d.mutex.Unlock()
		close(deliveries)
	}
}

// openCall starts a call and returns the channel of its deliveries.
func (d *Daemon) openCall(request *protocol.CallRequest) (CallID, <-chan delivery) {
	id := CallID(d.lastCall.Add(1))
	deliveries := make(chan delivery, deliveryQueueCapacity)
	d.mutex.Lock()
	d.deliveries[id] = deliveries
	d.mutex.Unlock()
	d.postEvent(func(core *Core, nowMs int64) { core.HandleCall(id, request, nowMs) })
	return id, deliveries
}

// reportDisconnect reports to the core that the caller of a call has disconnected.
func (d *Daemon) reportDisconnect(id CallID) {
	d.mutex.Lock()
	delete(d.deliveries, id)
	d.mutex.Unlock()
	d.postEvent(func(core *Core, _ int64) { core.HandleDisconnect(id) })
}
