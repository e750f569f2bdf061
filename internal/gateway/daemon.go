package gateway

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"

	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/telemetry"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

const (
	defaultMaxBodyBytes = 8 << 20
	// headerTimeout and idleTimeout bound callers' connections; they are above what
	// routing tables grant.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	sweepInterval = time.Second
	// drainQuietPeriod is how long no request may have come before a draining gateway
	// ends, and leastDrain how long it serves in any case.
	drainQuietPeriod  = 1500 * time.Millisecond
	minDrainTime      = 3500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// historyCacheDivisor is the part of the process's memory that chains may take.
	historyCacheDivisor      = 6
	defaultHistoryCacheBytes = 64 << 20
)

// view is what calls are routed by; a new one is made for every change.
type view struct {
	routes *routing.Index
	fleet  *membership.FleetView
}

// Daemon is one gateway.
type Daemon struct {
	// Frontends are served besides the daemon's own interface.
	Frontends []daemon.Frontend

	process      config.Process
	headerNames  HeaderNames
	logger       log.Logger
	monitor      *telemetry.Monitor
	metrics      *metrics
	follower     *daemon.Follower
	pool         *upstream.Pool
	engines      *engineRegistry
	waitQueues   *waitQueues
	retries      *retryPolicy
	ledgers      *ledgerClient
	histories    *historyCache
	denials      *denials
	serviceTimes *serviceTimes
	view         atomic.Pointer[view]
	// confirmationAge says how old the proof is that the routing table is in force.
	confirmationAge func() (time.Duration, bool)
	// nextConfirmation is closed once a proof has come after the latest.
	nextConfirmation func() <-chan struct{}
	stalls           stallDetector
	processorLoad    processorLoad
	draining         atomic.Bool
	inFlight         atomic.Int64
	// lastRequestMs is when a request last came, clock.NowMs.
	lastRequestMs atomic.Int64
}

// NewDaemon returns a gateway that has heard nothing yet; names are the headers it
// speaks.
func NewDaemon(process config.Process, headerNames HeaderNames, logger log.Logger) *Daemon {
	d := &Daemon{
		process: process, headerNames: headerNames, logger: logger, pool: upstream.NewPool(),
		engines: newEngineRegistry(process.Zone, process.Policy), waitQueues: newWaitQueues(process.Policy.Waiting, process.Policy.Disable),
		retries:   newRetries(process.Policy.Retry, process.Policy.Disable),
		histories: newHistoryCache(historyCacheBytes(process.Limits, process.Policy.Disable)), denials: newDenials(),
		serviceTimes: newServiceTimes(),
	}
	d.pool.OnDial = d.engines.observeDial
	d.monitor = telemetry.NewMonitor(d.Ready)
	d.metrics = newMetrics(d.monitor, d)
	d.ledgers = newLedgerClient(process.Zone, d.metrics.historyReads, process.Policy.Disable)
	d.follower = daemon.NewFollower(process.Cluster.Seeds, logger)
	d.follower.WithRouting = true
	d.follower.Report = d.fillHeartbeat
	d.follower.OnNews = d.applyUpdate
	d.confirmationAge = d.follower.ProofAge
	d.nextConfirmation = d.follower.NextProof
	d.follower.OnLoads = d.applySharedLoads
	d.follower.OnUsages = func(usages []scheduling.EngineUsage) { d.engines.applySharedUsages(usages, clock.NowMs()) }
	d.follower.OnLate = func(lateness []scheduling.StreamLateness) { d.engines.applySharedLateness(lateness, clock.NowMs()) }
	d.follower.OnUses = func(usages []admission.BackendUsage) { d.engines.applySharedTenantUsage(usages, clock.NowMs()) }
	return d
}

// historyCacheBytes is how much the cache of chains may hold.
func historyCacheBytes(limits config.Limits, disabled scheduling.DisabledMechanisms) int {
	if disabled.Has(scheduling.MechanismHistoryCache) {
		return 0
	}
	if limits.MemoryMB == 0 {
		return defaultHistoryCacheBytes
	}
	return (limits.MemoryMB << 20) / historyCacheDivisor
}

// Follower returns the daemon's link to control, for changed settings.
func (d *Daemon) Follower() *daemon.Follower { return d.follower }

// Ready reports whether the gateway takes requests: it knows the routing table and
// is not stopping.
func (d *Daemon) Ready() bool { return d.view.Load() != nil && !d.draining.Load() }

// fillHeartbeat is the gateway's heartbeat.
func (d *Daemon) fillHeartbeat(request *protocol.FleetSync) {
	request.Gateway = &membership.Gateway{
		Name: d.process.Name, Zone: d.process.Zone, Region: d.process.Region, Address: d.process.Listen.Callers, IsReady: d.Ready(),
	}
	if !d.process.Policy.Disable.Has(scheduling.MechanismCapacityWeights) {
		request.Gateway.Capacity = d.process.Limits.CPUShare
		request.Gateway.OverloadLevel = d.overloadLevel()
	}
	request.Loads = d.engines.collectLoads(clock.NowMs())
	request.Usages = d.engines.collectUsages(clock.NowMs())
	request.Failing = d.engines.failingEngines(clock.NowMs())
	request.Late = d.engines.collectStreamLateness(clock.NowMs())
	request.Uses = d.engines.collectTenantUsage(clock.NowMs())
}

// applySharedLoads takes what all gateways together have seen of engines.
func (d *Daemon) applySharedLoads(loads []scheduling.EngineLoad, failing []string) {
	for _, engine := range d.engines.applySharedLoads(loads, failing, clock.NowMs()) {
		telemetry.Info(d.logger, "engine fails at other gateways", "engine", engine)
	}
}

// applyUpdate puts news of control in force.
func (d *Daemon) applyUpdate(fleet *membership.FleetView, table *routing.Table) {
	if fleet == nil {
		return
	}
	for _, address := range d.engines.applyFleet(fleet) {
		d.pool.CloseIdle(address)
	}
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
		d.follower.Poke()
	}
}

func (d *Daemon) randomFraction() float64 { return rand.Float64() }

// Run serves until ctx ends, then drains.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.process.Listen.Callers)
	if err != nil {
		return errorx.Decorate(err, "listening for callers")
	}
	server := &http.Server{
		Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: d.process.Limits.HeaderBytes, ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	telemetry.Info(d.logger, "listening", "callers", listener.Addr().String())
	tasks := daemon.NewGroup()
	tasks.Go(d.follower.Run)
	tasks.Go(func(ctx context.Context) error {
		return daemon.ServeFrontends(ctx, append(d.Frontends, d.monitoringFrontend()))
	})
	tasks.Go(d.sweep)
	tasks.Go(func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	tasks.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	return tasks.Wait(ctx, d.drain)
}

// monitoringFrontend serves metrics and health.
func (d *Daemon) monitoringFrontend() daemon.Frontend {
	return daemon.Frontend{Address: d.process.Listen.HTTP, Handler: d.monitor.Handler()}
}

// sweep closes engine connections that have rested too long, and notices pauses of the process.
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

// drain takes the gateway out of the directory and serves on until callers have
// stopped coming, bounded by the grace of the platform.
func (d *Daemon) drain(ctx context.Context) {
	d.draining.Store(true)
	d.follower.Poke()
	telemetry.Info(d.logger, "draining", "in_flight", d.inFlight.Load())
	startedAt := time.Now()
	latestEnd := startedAt.Add(d.process.Limits.Grace())
	for time.Now().Before(latestEnd) && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
		isQuiet := clock.NowMs()-d.lastRequestMs.Load() > drainQuietPeriod.Milliseconds()
		if time.Since(startedAt) > minDrainTime && isQuiet && d.inFlight.Load() == 0 {
			break
		}
	}
	telemetry.Info(d.logger, "stopping", "in_flight", d.inFlight.Load())
}
