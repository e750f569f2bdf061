package gateway

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"

	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/bytebudget"
	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/listener"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/telemetry"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

const (
	defaultMaxBodyBytes = 8 << 20
	// headerTimeout and idleTimeout bound callers' connections; they are above the header and idle
	// timeouts in the limits of routing tables.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	sweepInterval = time.Second
	// closeTimeout bounds how long a stopping gateway waits until its last responses are sent.
	closeTimeout = 200 * time.Millisecond
	// The history cache may use the process's memory limit divided by historyCacheDivisor, or
	// defaultHistoryCacheBytes if there is no memory limit.
	historyCacheDivisor      = 6
	defaultHistoryCacheBytes = 64 << 20
	// The responses in progress may use the process's memory limit divided by responseMemoryDivisor, or
	// defaultResponseMemoryBytes if there is no memory limit.
	responseMemoryDivisor      = 8
	defaultResponseMemoryBytes = 64 << 20
	// The requests in progress may use the process's memory limit divided by requestMemoryDivisor, or
	// defaultRequestMemoryBytes if there is no memory limit.
	requestMemoryDivisor      = 6
	defaultRequestMemoryBytes = 256 << 20
	// instanceBase is the base in which the gateway's random instance number is written.
	instanceBase = 36
)

// view is the immutable state that calls are routed by. Every change creates a new one.
type view struct {
	routes *routing.Index
	fleet  *membership.FleetView
}

// Daemon is one gateway process.
type Daemon struct {
	// Frontends are served in addition to the daemon's own interface.
	Frontends []daemon.Frontend
	// EngineStatusPath is the path at which an engine responds without running anything.
	EngineStatusPath string

	process     config.Process
	headerNames HeaderNames
	logger      log.Logger
	monitor     *telemetry.Monitor
	metrics     *metrics
	connections *daemon.ConnectionWatch
	follower    *daemon.Follower
	pool        *upstream.Pool
	engines     *engineRegistry
	waitQueues  *waitQueues
	retries     *retryPolicy
	ledgers     *ledgerClient
	histories   *historyCache
	// responseMemory is what all calls together may hold of responses in progress, and requestMemory what they may
	// hold of requests: bodies, histories, and the copies that are made of them.
	responseMemory *bytebudget.Budget
	requestMemory  *bytebudget.ReceiveBudget
	denials        *denials
	crashes        *crashTracker
	// instance distinguishes the starts of all gateways, and attemptNames numbers the attempts of this one.
	instance     string
	attemptNames attemptNames
	serviceTimes *serviceTimes
	view         atomic.Pointer[view]
	// confirmationAge returns how long ago control last confirmed that the routing table is in
	// force, and false if it never has.
	confirmationAge func() (time.Duration, bool)
	// nextConfirmation returns a channel that is closed at the next confirmation.
	nextConfirmation func() <-chan struct{}
	stalls           stallDetector
	processorLoad    processorLoad
	drain            drainState
	inFlight         atomic.Int64
	// settlements counts the turns that are being charged, and the claims that are being closed, in the
	// background.
	settlements atomic.Int64
	// callsContext is the context of all calls. endCalls ends it when the drain is over.
	callsContext context.Context
	endCalls     context.CancelCauseFunc
	// lastRequestMs is the clock.NowMs time at which the latest request arrived.
	lastRequestMs atomic.Int64
}

// NewDaemon returns a gateway that has no fleet view or routing table yet. headerNames are the names
// of the headers that it reads and sets.
func NewDaemon(process config.Process, headerNames HeaderNames, logger log.Logger) *Daemon {
	d := &Daemon{
		process: process, headerNames: headerNames, logger: logger, pool: upstream.NewPool(),
		engines: newEngineRegistry(process.Zone, process.Policy), waitQueues: newWaitQueues(process.Policy.Waiting, process.Policy.Disable),
		retries:   newRetryPolicy(process.Policy.Retry, process.Policy.Disable),
		histories: newHistoryCache(historyCacheBytes(process.Limits, process.Policy.Disable)), denials: newDenials(),
		responseMemory: bytebudget.New(process.Limits.MemoryShare(responseMemoryDivisor, defaultResponseMemoryBytes)),
		requestMemory:  bytebudget.NewReceiveBudget(process.Limits.MemoryShare(requestMemoryDivisor, defaultRequestMemoryBytes)),
		crashes:        newCrashTracker(), instance: strconv.FormatUint(rand.Uint64(), instanceBase), EngineStatusPath: DefaultEngineStatusPath,
		serviceTimes: newServiceTimes(),
	}
	d.callsContext, d.endCalls = context.WithCancelCause(context.Background())
	d.drain.begun = make(chan struct{})
	d.pool.OnDial = d.engines.observeDial
	d.monitor = telemetry.NewMonitor(d.Ready)
	d.metrics = newMetrics(d.monitor, d)
	d.connections = daemon.NewConnectionWatch(d.monitor)
	d.pool.OnStrayResponse = d.recordStrayResponse
	d.ledgers = newLedgerClient(process.Zone, d.metrics.historyReads, process.Policy.Disable)
	d.follower = daemon.NewFollower(process.Cluster.Seeds, logger)
	d.follower.WithRouting = true
	d.follower.FillReport = d.fillHeartbeat
	d.follower.OnUpdate = d.applyUpdate
	d.confirmationAge = d.follower.ConfirmationAge
	d.nextConfirmation = d.follower.NextConfirmation
	d.follower.OnEngineLoads = d.applySharedLoads
	d.follower.OnEngineUsages = func(usages []scheduling.EngineUsage) { d.engines.applySharedUsages(usages, clock.NowMs()) }
	d.follower.OnStreamLateness = func(lateness []scheduling.StreamLateness) { d.engines.applySharedLateness(lateness, clock.NowMs()) }
	d.follower.OnBackendUsages = func(usages []admission.BackendUsage) { d.engines.applySharedTenantUsage(usages, clock.NowMs()) }
	return d
}

// historyCacheBytes returns the size limit of the history cache in bytes, 0 if it is disabled.
func historyCacheBytes(limits config.Limits, disabled scheduling.DisabledMechanisms) int {
	if disabled.Has(scheduling.MechanismHistoryCache) {
		return 0
	}
	if limits.MemoryMB == 0 {
		return defaultHistoryCacheBytes
	}
	return (limits.MemoryMB << 20) / historyCacheDivisor
}

// Follower returns the daemon's link to control. Changed settings are applied to it.
func (d *Daemon) Follower() *daemon.Follower { return d.follower }

// Ready reports whether the gateway accepts requests: it has a routing table and is not draining.
func (d *Daemon) Ready() bool { return d.view.Load() != nil && !d.drain.hasBegun() }

// fillHeartbeat fills in the gateway's heartbeat to control.
func (d *Daemon) fillHeartbeat(request *protocol.FleetSync) {
	request.Gateway = &membership.Gateway{
		Name: d.process.Name, Zone: d.process.Zone, Region: d.process.Region, Address: d.process.Listen.Callers, IsReady: d.Ready(),
	}
	if !d.process.Policy.Disable.Has(scheduling.MechanismCapacityWeights) {
		request.Gateway.Capacity = d.process.Limits.CPUShare
		request.Gateway.OverloadLevel = d.overloadLevel()
	}
	request.EngineLoads = d.engines.collectLoads(clock.NowMs())
	request.EngineUsages = d.engines.collectUsages(clock.NowMs())
	request.FailingEngines = d.engines.failingEngines(clock.NowMs())
	request.StreamLateness = d.engines.collectStreamLateness(clock.NowMs())
	request.BackendUsages = d.engines.collectTenantUsage(clock.NowMs())
}

// applySharedLoads applies the engine loads aggregated over all gateways, and logs the engines that
// become suspect because requests of several gateways fail there.
func (d *Daemon) applySharedLoads(loads []scheduling.EngineLoad, failing []string) {
	for _, engine := range d.engines.applySharedLoads(loads, failing, clock.NowMs()) {
		telemetry.Info(d.logger, "engine fails requests of several gateways", "engine", engine)
	}
}

// applyUpdate applies a fleet view and a routing table from control. Without a fleet view it does
// nothing, and without a table it keeps the current routes.
func (d *Daemon) applyUpdate(fleet *membership.FleetView, table *routing.Table) {
	if fleet == nil {
		return
	}
	for _, address := range d.engines.applyFleet(fleet) {
		d.pool.CloseIdle(address)
	}
	left := d.engines.replaceRegistered(fleet)
	d.logEnginesLeft(left)
	d.crashes.open.Remove(left)
	d.ledgers.applyFleet(fleet)
	telemetry.Info(d.logger, "fleet in force", "version", fleet.Version, "engines", len(fleet.Engines), "ledgers", len(fleet.Ledgers),
		"groups", len(fleet.Groups))
	if table == nil {
		return
	}
	previousView := d.view.Load()
	nextView := &view{fleet: fleet}
	if previousView != nil && previousView.routes.Table == table {
		nextView.routes = previousView.routes
	} else {
		nextView.routes = routing.NewIndex(table)
		telemetry.Info(d.logger, "routing in force", "generation", table.Generation, "routes", len(table.Routes),
			"keyed", table.RequiresKey, "tenants", len(table.Tenants))
	}
	d.view.Store(nextView)
	if previousView == nil {
		d.follower.SyncNow()
	}
}

func (d *Daemon) randomFraction() float64 { return rand.Float64() }

// Run serves until ctx ends and then drains.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := listener.Listen(d.process.Listen.Callers, daemon.MaxConnections(d.process.Limits, daemon.CallersShare))
	if err != nil {
		return errorx.Decorate(err, "listening for callers")
	}
	d.connections.Add("callers", callers.Counts)
	server := d.newServer()
	telemetry.Info(d.logger, "listening", "callers", callers.Addr().String())
	tasks := daemon.NewTaskGroup()
	tasks.Go(d.follower.Run)
	tasks.Go(func(ctx context.Context) error {
		return daemon.ServeFrontends(ctx, d.process.Limits, d.connections, append(d.Frontends, d.monitoringFrontend()))
	})
	tasks.Go(func(ctx context.Context) error { return d.connections.Run(ctx, d.logger) })
	tasks.Go(d.sweep)
	tasks.Go(func(context.Context) error {
		if err := callers.Serve(server, 0); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	tasks.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return closeServer(server)
	})
	return tasks.Wait(ctx, d.drainCalls)
}

// newServer returns the server of callers.
func (d *Daemon) newServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: d.process.Limits.HeaderBytes, ErrorLog: stdlog.New(io.Discard, "", 0), BaseContext: d.baseContext,
	}
}

// closeServer closes the connections of callers, those with a response in progress after closeTimeout.
func closeServer(server *http.Server) error {
	closeContext, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = server.Shutdown(closeContext)
	return server.Close()
}

func (d *Daemon) baseContext(net.Listener) context.Context { return d.callsContext }

// monitoringFrontend returns the frontend that serves metrics and health checks.
func (d *Daemon) monitoringFrontend() daemon.Frontend {
	return daemon.Frontend{Address: d.process.Listen.HTTP, Handler: d.monitor.Handler(), Name: "monitoring", Share: daemon.MonitoringShare}
}

// sweep periodically closes engine connections that were idle for too long, and ticks the stall
// detector.
func (d *Daemon) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			d.stalls.tick(sweepInterval, clock.NowMs())
			d.pool.CloseExpired(now)
		}
	}
}
