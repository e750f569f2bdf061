package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/storage"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	drainTimeout = 5 * time.Second

	// How long engines, gateways and ledger hosts may be silent at the least, and how long the
	// first placement waits for further ledger hosts, milliseconds.
	engineSilentMs  = 10_000
	gatewaySilentMs = 2_500
	// engineSilentReports is how many reports an engine may leave out: one may be lost with the
	// process that took it, and another may be on its way.
	engineSilentReports = 3
	// gatewayReturnMs is twice the 200 ms after which a lost packet is sent again. Measured
	// at 500 and 400 on days with frozen machines only (docs/measurements/large.md).
	gatewayReturnMs = 400
	// gatewayLightReturnMs covers one lost packet and the way there and back. A false alarm costs
	// little: the gateway is listed again with its next heartbeat.
	gatewayLightReturnMs = 250
	ledgerSilentMs       = 2_000
	ledgerForgottenMs    = 60_000
	formationMs          = 1_500

	// discoveredElectionTicks is shorter than that of a listed cluster: callers wait
	// for the leader of a platform's fleet.
	discoveredElectionTicks = 7

	// fleetLogEvery is how often a process writes the fleet's version at the most: at a start
	// each engine, gateway and ledger host makes one.
	fleetLogEvery = time.Second
	// refusalLogEvery is how often a process writes that it takes no reports: while there is no
	// leader all engines are refused.
	refusalLogEvery = time.Second
	// voidLogEvery is how often a process writes that reports of engines changed nothing: who
	// writes such reports writes many.
	voidLogEvery = time.Second
	// directoryEvery is how often the directory is made anew at the most: its cost grows with the
	// gateways, and so does the number of changes when all come back at once.
	directoryEvery = 50 * time.Millisecond
)

// status is the snapshot that traffic goroutines read.
type status struct {
	syncs    uint64
	formed   bool
	ready    bool
	revision uint64
	drained  bool
	leading  int
	programs int
	applied  uint64
	// memberSilent says that another control process has not been heard lately.
	memberSilent bool
	// spread is the directory for callers, gatewaysVersion the fleet's version at which it
	// last changed, and fleetLogged what the last line about the fleet told.
	spread          *membership.GatewaySelector
	gatewaysVersion uint64
	gatewaysAt      time.Time
	fleetLogged     loggedFleet
}

// loggedFleet is the fleet version that a line told of, and when.
type loggedFleet struct {
	version uint64
	at      time.Time
}

// Daemon runs a Core over TCP and a disk.
type Daemon struct {
	// Frontends are served besides the daemon's own interface.
	Frontends []daemon.Frontend

	process config.Process
	logger  log.Logger
	store   *storage.Store
	core    *Core
	monitor *telemetry.Monitor
	server  *protocol.Server
	web     *fasthttp.Server
	loop    *daemon.Loop
	status  atomic.Pointer[status]
	links   *daemon.Links
	caller  *daemon.Caller
	// reportsRefused counts the reports of engines that were not taken since the last line
	// about them, of which refusalLog writes one a refusalLogEvery.
	reportsRefused atomic.Int64
	refusalLog     rate.Sometimes
	// reportsVoid counts the reports that changed nothing, by reason, and voidCount those since
	// the last line about them, of which voidLog writes one a voidLogEvery.
	reportsVoid *prometheus.CounterVec
	voidCount   atomic.Int64
	voidLog     rate.Sometimes
	// listLog bounds the lines about entries of the platform's list in the same way.
	listLog rate.Sometimes

	replies daemon.Replies[RequestID, any]
	// lookUps counts the callers that ask this process where to go.
	lookUpsMutex sync.Mutex
	lookUps      membership.LookupTTL
}

// NewDaemon opens the data folder; it returns storage.ErrInUse where another
// process has it.
func NewDaemon(process config.Process, logger log.Logger) (*Daemon, error) {
	store, err := storage.Open(process.Data.Path)
	if err != nil {
		return nil, err
	}
	control := &Daemon{process: process, logger: logger, store: store, refusalLog: rate.Sometimes{First: 1, Interval: refusalLogEvery},
		voidLog: rate.Sometimes{First: 1, Interval: voidLogEvery}, listLog: rate.Sometimes{First: 1, Interval: voidLogEvery}}
	control.status.Store(&status{spread: membership.NewGatewaySelector(nil)})
	control.links = daemon.NewLinks(control.addressOf, control.delayOf)
	control.caller = daemon.NewCaller()
	control.core, err = NewCore(coreOptions(process), store, control, clock.NowMs())
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	control.loop = control.newLoop()
	control.monitor = telemetry.NewMonitor(func() bool { return control.status.Load().ready })
	control.registerMetrics()
	return control, nil
}

// coreOptions returns the options of a fleet whose members are listed, or of one
// that is discovered from seeds, whose members are named by their inner addresses.
func coreOptions(process config.Process) Options {
	var members []Member
	if !process.Cluster.Discovered() {
		for _, peer := range process.Cluster.Members {
			members = append(members, Member{Name: peer.Name, Zone: peer.Zone, Address: peer.Address})
		}
		options := DefaultOptions(process.Name, members, process.Cluster.LedgerGroups)
		options.LeaseMs = process.Cluster.LeaseMs
		return options
	}
	for _, seed := range process.Cluster.Seeds {
		members = append(members, Member{Name: seed, Address: seed})
	}
	options := DefaultOptions(process.Listen.Address, members, 0)
	options.LeaseMs = process.Cluster.LeaseMs
	options.Discovered = true
	options.ElectionTicks = discoveredElectionTicks
	options.MayBootstrap = process.Cluster.Bootstrap
	options.MinVoters = 2*process.Cluster.ToleratedMachines + 1
	options.Fleet = membership.FleetOptions{
		Groups: process.Cluster.LedgerGroups, Replicas: options.MinVoters,
		EngineTimeoutMs:  max(engineSilentMs, engineSilentReports*process.Cluster.EngineHeartbeatMs),
		GatewayTimeoutMs: gatewaySilentMs, GatewayRepollTimeoutMs: gatewayReturnMs, GatewaySmallDeltaRepollTimeoutMs: gatewayLightReturnMs, LedgerTimeoutMs: ledgerSilentMs, LedgerRetentionMs: ledgerForgottenMs,
		InitialPlacementDelayMs: formationMs,
	}
	return options
}

// SetSeeds takes the seeds of a settings file that has changed.
func (d *Daemon) SetSeeds(seeds []string) {
	d.loop.Post(func() { d.core.SetSeeds(seeds) })
}

// addressOf returns the inner address of another control process, "" where it is
// unknown; discovered members are named by their addresses.
func (d *Daemon) addressOf(member string) string {
	if d.process.Cluster.Discovered() {
		return member
	}
	for _, peer := range d.process.Cluster.Members {
		if peer.Name == member {
			return peer.Address
		}
	}
	return ""
}

// delayOf returns the delay that stands in for the distance to another control
// process.
func (d *Daemon) delayOf(member string) time.Duration {
	for _, peer := range d.process.Cluster.Members {
		if peer.Name == member {
			return d.delayTo(peer.Zone)
		}
	}
	return 0
}

func (d *Daemon) registerMetrics() {
	d.monitor.JSON("/v1/shares", d.shares)
	d.reportsVoid = d.monitor.Counters("control_engine_reports_void_total", "Reports of engines that changed nothing, by reason.", "reason")
	d.monitor.Gauge("settings_revision", "Settings revision in force.", func() float64 { return float64(d.status.Load().revision) })
	d.monitor.Gauge("groups_led", "Log groups that this process leads.", func() float64 { return float64(d.status.Load().leading) })
	d.monitor.Gauge("programs", "Program headers held.", func() float64 { return float64(d.status.Load().programs) })
	d.monitor.Gauge("entries_applied", "Log entries applied over all groups.", func() float64 { return float64(d.status.Load().applied) })
	d.monitor.Gauge("store_syncs", "Synced writes to the data folder.", func() float64 { return float64(d.status.Load().syncs) })
}

func (d *Daemon) delayTo(zone string) time.Duration {
	if zone == d.process.Zone {
		return 0
	}
	return time.Duration(d.process.Network.ZoneDelayMs * float64(time.Millisecond))
}

// Run serves until ctx ends, then drains: leadership is handed over first.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.store.Close()
	server, err := protocol.Listen(d.process.Listen.Address, d.handle)
	if err != nil {
		return errorx.Decorate(err, "listening")
	}
	d.server = server
	defer server.Close()
	web, address, err := d.listenWeb()
	if err != nil {
		return err
	}
	defer web()
	telemetry.Info(d.logger, "listening", "address", server.Address(), "http", address, "replica", uint64(d.store.Replica()))
	tasks := daemon.NewGroup()
	tasks.Go(d.loop.Run)
	tasks.Go(d.pollPlatform)
	tasks.Go(func(ctx context.Context) error { return daemon.ServeFrontends(ctx, d.Frontends) })
	err = tasks.Wait(ctx, d.drain)
	d.links.Close()
	d.caller.Close()
	return err
}

// drain waits until this process leads nothing, bounded in time.
func (d *Daemon) drain(ctx context.Context) {
	telemetry.Info(d.logger, "draining")
	d.loop.Post(d.core.Drain)
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if current := d.status.Load(); !current.formed || current.drained {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// newLoop returns the one goroutine that owns the core.
func (d *Daemon) newLoop() *daemon.Loop {
	loop := daemon.NewLoop(time.Duration(d.core.options.TickMs) * time.Millisecond)
	wasFormed := d.core.Formed()
	loop.Tick = func() { d.core.Tick(clock.NowMs()) }
	loop.Flush = d.core.Flush
	loop.Publish = func() {
		if formed := d.core.Formed(); formed != wasFormed {
			wasFormed = formed
			telemetry.Info(d.logger, "cluster joined", "admitted", d.core.admitted())
		}
		d.publish()
	}
	return loop
}

// request hands a request to the core; reply is called from the loop.
func (d *Daemon) request(request any, reply func(reply any)) {
	d.loop.Post(func() {
		d.core.HandleRequest(d.replies.Expect(reply), request, clock.NowMs())
	})
}

func (d *Daemon) publish() {
	current := &status{formed: d.core.Formed(), syncs: d.core.SyncCount(), ready: d.core.Ready(), revision: d.core.Revision(), spread: d.status.Load().spread}
	if current.formed {
		d.publishFleet(current)
		current.drained = d.core.Drained()
		current.memberSilent = d.core.HasSilentMember()
		for id := range d.core.host.Groups {
			if d.core.Leads(storage.GroupID(id)) {
				current.leading++
			}
			current.applied += d.core.host.Groups[id].Node.Applied()
			if id > 0 {
				current.programs += d.core.Ledger(storage.GroupID(id)).Len()
			}
		}
	}
	d.status.Store(current)
}

// publishFleet adds the directory; it is made anew only when the gateways have changed.
func (d *Daemon) publishFleet(current *status) {
	previous := d.status.Load()
	fleet := d.core.Fleet()
	current.gatewaysVersion, current.gatewaysAt = previous.gatewaysVersion, previous.gatewaysAt
	current.fleetLogged = previous.fleetLogged
	if fleet.GatewaysVersion() != previous.gatewaysVersion && time.Since(previous.gatewaysAt) >= directoryEvery {
		current.spread, current.gatewaysVersion, current.gatewaysAt = membership.NewGatewaySelector(fleet.Gateways()), fleet.GatewaysVersion(), time.Now()
	}
	if fleet.Version() == previous.fleetLogged.version || time.Since(previous.fleetLogged.at) < fleetLogEvery {
		return
	}
	current.fleetLogged = loggedFleet{version: fleet.Version(), at: time.Now()}
	telemetry.Info(d.logger, "fleet in force", "version", fleet.Version(), "engines", fleet.EngineCount(), "advertised", fleet.AdvertisedCount(),
		"gateways", current.spread.ReadyCount(), "ledgers", fleet.LedgerCount(), "leads", d.core.Leads(0))
}

// Send is the core's outlet to other control processes.
func (d *Daemon) Send(member string, kind protocol.Kind, message any) {
	d.links.Send(member, kind, message)
}

// Reply is the core's outlet to whoever asked. The reply is encoded before it
// returns, since it may share memory with the core's state.
func (d *Daemon) Reply(request RequestID, reply any) { d.replies.Take(request, reply) }

// handle takes a frame from another process.
func (d *Daemon) handle(connection *protocol.Connection, frame protocol.Frame) {
	switch frame.Kind {
	case protocol.KindPeer:
		var batch protocol.PeerBatch
		if protocol.Decode(frame.Body, &batch) == nil {
			d.loop.PostMessage(len(frame.Body), func() { d.core.HandlePeerBatch(batch, clock.NowMs()) })
			return
		}
	case protocol.KindHello:
		var hello protocol.Hello
		if protocol.Decode(frame.Body, &hello) == nil {
			d.loop.Post(func() { d.core.HandleHello(hello, clock.NowMs()) })
			return
		}
	default:
		request := protocol.NewRequest(frame.Kind)
		if request != nil && protocol.Decode(frame.Body, request) == nil {
			d.request(request, func(reply any) { _ = connection.Reply(frame.Call, protocol.KindResponse, reply, true) })
			return
		}
	}
	connection.Close()
}
