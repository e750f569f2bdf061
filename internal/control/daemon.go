package control

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/ochrebay/ochrebay/internal/bytebudget"
	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/storage"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	drainTimeout = 5 * time.Second

	// engineTimeoutMs and gatewayTimeoutMs are the silence after which engines and gateways count
	// as lost. The engines' timeout is longer if engineTimeoutReports requires it.
	engineTimeoutMs  = 10_000
	gatewayTimeoutMs = 2_500
	// engineTimeoutReports is how many report intervals of an engine its silence may last: one
	// report may be lost with the process that took it, and another may be in flight.
	engineTimeoutReports = 3
	// gatewayRepollTimeoutMs is the time within which a gateway must send its next heartbeat after
	// an answer: twice the 200 ms after which a lost packet is retransmitted. The comparison of 500
	// and 400 ms in docs/measurements/large.md covers only frozen machines.
	gatewayRepollTimeoutMs = 400
	// gatewaySmallUpdateRepollTimeoutMs is the same time after an answer that the gateway applies
	// almost at once. It covers one lost packet and a network round trip. A false positive costs
	// little: the gateway is listed again with its next heartbeat.
	gatewaySmallUpdateRepollTimeoutMs = 250
	// ledgerTimeoutMs is the silence after which a ledger host counts as lost, ledgerRetentionMs
	// the silence after which one that holds no groups is removed, and initialPlacementDelayMs how
	// long the first placement waits for further ledger hosts.
	ledgerTimeoutMs         = 2_000
	ledgerRetentionMs       = 60_000
	initialPlacementDelayMs = 1_500

	// discoveredElectionTicks is the election timeout in ticks of a cluster whose members are
	// discovered. It is shorter than that of a cluster with listed members, since callers wait
	// for the leader of a platform's fleet.
	discoveredElectionTicks = 7

	// fleetLogInterval is the minimum time between two log lines about the fleet's version: at a
	// start each engine, gateway and ledger host causes a new version.
	fleetLogInterval = time.Second
	// The configurations and changes of settings in progress may use the process's memory limit divided by
	// documentMemoryDivisor, or defaultDocumentMemoryBytes if there is no memory limit.
	documentMemoryDivisor      = 5
	defaultDocumentMemoryBytes = 512 << 20
	// refusalLogInterval is the minimum time between two log lines about refused engine reports:
	// while there is no leader, the reports of all engines are refused.
	refusalLogInterval = time.Second
	// ignoredLogInterval is the minimum time between two log lines about engine reports that
	// changed nothing: a sender of such reports usually sends many.
	ignoredLogInterval = time.Second
	// gatewaySelectorInterval is the minimum time between two rebuilds of the gateway selector:
	// the cost of a rebuild grows with the number of gateways, and so does the number of changes
	// when all gateways come back at once.
	gatewaySelectorInterval = 50 * time.Millisecond
)

// status is the snapshot of the core's state that other goroutines read.
type status struct {
	syncCount      uint64
	formed         bool
	isReady        bool
	revision       uint64
	isDrained      bool
	groupsLed      int
	programCount   int
	entriesApplied uint64
	// hasSilentMember says that another control process has been silent for longer than
	// suspectTimeoutMs.
	hasSilentMember bool
	// gatewaySelector selects gateways for callers, gatewaysVersion is the version of the fleet's
	// gateways that it was built from, selectorBuiltAt the time of the last rebuild, and
	// lastFleetLog the last log line about the fleet.
	gatewaySelector *membership.GatewaySelector
	gatewaysVersion uint64
	selectorBuiltAt time.Time
	lastFleetLog    fleetLog
	// configuration is that of the settings group, and isQuorumLost says whether its quorum is lost.
	configuration consensus.Configuration
	isQuorumLost  bool
}

// fleetLog is the fleet version in a log line, and the time of the line.
type fleetLog struct {
	version uint64
	at      time.Time
}

// Daemon runs a Core on TCP and a disk.
type Daemon struct {
	// Frontends are HTTP interfaces served in addition to the daemon's own.
	Frontends []daemon.Frontend

	process config.Process
	logger  log.Logger
	store   *storage.Store
	core    *Core
	monitor *telemetry.Monitor
	// connections are those to all addresses.
	connections *daemon.ConnectionWatch
	server      *protocol.Server
	httpServer  *fasthttp.Server
	loop        *daemon.EventLoop
	status      atomic.Pointer[status]
	links       *daemon.Links
	caller      *daemon.Client
	// refusedReports counts the engine reports that were refused since the last log line about
	// them; refusalLog limits these lines to one per refusalLogInterval.
	refusedReports atomic.Int64
	refusalLog     rate.Sometimes
	// ignoredReports counts the engine reports that changed nothing, by reason, and
	// unloggedIgnoredReports those since the last log line about them; ignoredLog limits these
	// lines to one per ignoredLogInterval.
	ignoredReports         *prometheus.CounterVec
	unloggedIgnoredReports atomic.Int64
	ignoredLog             rate.Sometimes
	// instanceListLog limits the log lines about entries of the platform's list in the same way.
	instanceListLog rate.Sometimes

	// documentMemory is what the configurations and changes of settings in progress may hold.
	documentMemory *bytebudget.ReceiveBudget

	replies daemon.PendingReplies[RequestID, any]
	// lookupTTL tracks the rate at which callers look up gateways at this process.
	lookupTTLMutex sync.Mutex
	lookupTTL      membership.LookupTTL
}

// NewDaemon opens the data folder and returns a daemon that is not running yet. It
// returns storage.ErrInUse if another process has the folder open.
func NewDaemon(process config.Process, logger log.Logger) (*Daemon, error) {
	store, err := storage.Open(process.Data.Path)
	if err != nil {
		return nil, err
	}
	d := &Daemon{process: process, logger: logger, store: store, documentMemory: bytebudget.NewReceiveBudget(process.Limits.MemoryShare(documentMemoryDivisor, defaultDocumentMemoryBytes)), refusalLog: rate.Sometimes{First: 1, Interval: refusalLogInterval},
		ignoredLog: rate.Sometimes{First: 1, Interval: ignoredLogInterval}, instanceListLog: rate.Sometimes{First: 1, Interval: ignoredLogInterval}}
	d.status.Store(&status{gatewaySelector: membership.NewGatewaySelector(nil)})
	d.links = daemon.NewLinks(d.addressOf, d.delayOf)
	d.caller = daemon.NewClient()
	d.core, err = NewCore(coreOptions(process), store, d, clock.NowMs())
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	d.loop = d.newLoop()
	d.monitor = telemetry.NewMonitor(func() bool { return d.status.Load().isReady })
	d.registerMetrics()
	d.connections = daemon.NewConnectionWatch(d.monitor)
	return d, nil
}

// DocumentMemory returns what the configurations and changes of settings in progress may hold.
func (d *Daemon) DocumentMemory() *bytebudget.ReceiveBudget { return d.documentMemory }

// coreOptions returns the options of the core for a cluster whose members are listed, or
// for one that is discovered from seeds, where members are named by their internal
// addresses.
func coreOptions(process config.Process) Options {
	var members []Member
	if !process.Cluster.UsesDiscovery() {
		for _, peer := range process.Cluster.Members {
			members = append(members, Member{Name: peer.Name, Zone: peer.Zone, Address: peer.Address})
		}
		options := DefaultOptions(process.Name, members, process.Cluster.LedgerGroups)
		options.LeaseMs = process.Cluster.SchedulerLeaseMs
		return options
	}
	for _, seed := range process.Cluster.Seeds {
		members = append(members, Member{Name: seed, Address: seed})
	}
	options := DefaultOptions(process.Listen.Address, members, 0)
	options.LeaseMs = process.Cluster.SchedulerLeaseMs
	options.Discovered = true
	options.ElectionTicks = discoveredElectionTicks
	options.MayBootstrap = process.Cluster.Bootstrap
	options.MinVoters = 2*process.Cluster.ToleratedMachines + 1
	options.Fleet = membership.FleetOptions{
		Groups: process.Cluster.LedgerGroups, Replicas: options.MinVoters,
		EngineTimeoutMs:  max(engineTimeoutMs, engineTimeoutReports*process.Cluster.EngineHeartbeatMs),
		GatewayTimeoutMs: gatewayTimeoutMs, GatewayRepollTimeoutMs: gatewayRepollTimeoutMs, GatewaySmallUpdateRepollTimeoutMs: gatewaySmallUpdateRepollTimeoutMs, LedgerTimeoutMs: ledgerTimeoutMs, LedgerRetentionMs: ledgerRetentionMs,
		InitialPlacementDelayMs: initialPlacementDelayMs,
	}
	return options
}

// SetSeeds sets the seeds from a settings file that has changed.
func (d *Daemon) SetSeeds(seeds []string) {
	d.loop.Post(func() { d.core.SetSeeds(seeds) })
}

// addressOf returns the internal address of another control process, "" if it is
// unknown. Discovered members are named by their addresses.
func (d *Daemon) addressOf(member string) string {
	if d.process.Cluster.UsesDiscovery() {
		return member
	}
	for _, peer := range d.process.Cluster.Members {
		if peer.Name == member {
			return peer.Address
		}
	}
	return ""
}

// delayOf returns the delay that simulates the network distance to another control
// process.
func (d *Daemon) delayOf(member string) time.Duration {
	for _, peer := range d.process.Cluster.Members {
		if peer.Name == member {
			return d.zoneDelay(peer.Zone)
		}
	}
	return 0
}

func (d *Daemon) registerMetrics() {
	d.monitor.RegisterView("/v1/shares", d.shares)
	d.ignoredReports = d.monitor.RegisterCounter("control_engine_reports_void_total", "Reports of engines that changed nothing, by reason.", "reason")
	d.monitor.RegisterGauge("settings_revision", "Settings revision in force.", func() float64 { return float64(d.status.Load().revision) })
	d.monitor.RegisterGauge("control_document_memory", "Bytes held by configurations and changes of settings in progress.", func() float64 { return float64(d.documentMemory.TakenBytes()) })
	d.monitor.RegisterGauge("groups_led", "Log groups that this process leads.", func() float64 { return float64(d.status.Load().groupsLed) })
	d.monitor.RegisterGauge("programs", "Program headers held.", func() float64 { return float64(d.status.Load().programCount) })
	d.monitor.RegisterGauge("entries_applied", "Log entries applied over all groups.", func() float64 { return float64(d.status.Load().entriesApplied) })
	d.monitor.RegisterGauge("store_syncs", "Synced writes to the data folder.", func() float64 { return float64(d.status.Load().syncCount) })
}

func (d *Daemon) zoneDelay(zone string) time.Duration {
	if zone == d.process.Zone {
		return 0
	}
	return time.Duration(d.process.Network.ZoneDelayMs * float64(time.Millisecond))
}

// Run serves until ctx ends, then drains: it transfers leadership before it stops.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.store.Close()
	limits := protocol.Limits{
		Connections: daemon.MaxConnections(d.process.Limits, daemon.PeersShare),
		FrameMemory: protocol.NewFrameMemory(d.process.Limits.MemoryShare(documentMemoryDivisor, defaultDocumentMemoryBytes)),
	}
	server, err := protocol.ListenWithin(d.process.Listen.Address, limits, d.handleFrame)
	if err != nil {
		return errorx.Decorate(err, "listening")
	}
	d.server = server
	defer server.Close()
	closeHTTP, address, err := d.listenHTTP()
	if err != nil {
		return err
	}
	defer closeHTTP()
	telemetry.Info(d.logger, "listening", "address", server.Address(), "http", address, "replica", uint64(d.store.Replica()))
	d.connections.Add("peers", server.Connections)
	tasks := daemon.NewTaskGroup()
	tasks.Go(func(ctx context.Context) error { return d.connections.Run(ctx, d.logger) })
	tasks.Go(d.loop.Run)
	tasks.Go(d.pollPlatform)
	tasks.Go(func(ctx context.Context) error {
		return daemon.ServeFrontends(ctx, d.process.Limits, d.connections, d.Frontends)
	})
	err = tasks.Wait(ctx, d.drain)
	d.links.Close()
	d.caller.Close()
	return err
}

// drain transfers leadership and waits until this process leads no group, but at most for
// drainTimeout.
func (d *Daemon) drain(ctx context.Context) {
	telemetry.Info(d.logger, "draining")
	d.loop.Post(d.core.Drain)
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if current := d.status.Load(); !current.formed || current.isDrained {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// newLoop returns the event loop. Only its goroutine uses the core.
func (d *Daemon) newLoop() *daemon.EventLoop {
	loop := daemon.NewEventLoop(time.Duration(d.core.options.TickMs) * time.Millisecond)
	wasFormed := d.core.Formed()
	loop.Tick = func() { d.core.Tick(clock.NowMs()) }
	loop.Flush = d.core.Flush
	loop.Publish = func() {
		if formed := d.core.Formed(); formed != wasFormed {
			wasFormed = formed
			telemetry.Info(d.logger, "replicas created", "admitted", d.core.isAdmitted())
		}
		d.publish()
	}
	return loop
}

// submit passes a request to the core on the event loop, which also calls reply.
func (d *Daemon) submit(request any, reply func(reply any)) {
	d.loop.Post(func() {
		d.core.HandleRequest(d.replies.Register(reply), request, clock.NowMs())
	})
}

func (d *Daemon) publish() {
	current := &status{formed: d.core.Formed(), syncCount: d.core.SyncCount(), isReady: d.core.Ready(), revision: d.core.SettingsRevision(), gatewaySelector: d.status.Load().gatewaySelector}
	if current.formed {
		d.publishFleet(current)
		d.publishQuorum(current)
		current.isDrained = d.core.Drained()
		current.hasSilentMember = d.core.HasSilentMember()
		for id := range d.core.host.Groups {
			if d.core.IsLeader(storage.GroupID(id)) {
				current.groupsLed++
			}
			current.entriesApplied += d.core.host.Groups[id].Node.AppliedIndex()
			if id > 0 {
				current.programCount += d.core.Ledger(storage.GroupID(id)).Len()
			}
		}
	}
	d.status.Store(current)
}

// publishFleet adds the gateway selector, rebuilt only when the gateways have changed, and logs new
// fleet versions.
func (d *Daemon) publishFleet(current *status) {
	previous := d.status.Load()
	fleet := d.core.Fleet()
	current.gatewaysVersion, current.selectorBuiltAt = previous.gatewaysVersion, previous.selectorBuiltAt
	current.lastFleetLog = previous.lastFleetLog
	if fleet.GatewaysVersion() != previous.gatewaysVersion && time.Since(previous.selectorBuiltAt) >= gatewaySelectorInterval {
		current.gatewaySelector, current.gatewaysVersion, current.selectorBuiltAt = membership.NewGatewaySelector(fleet.Gateways()), fleet.GatewaysVersion(), time.Now()
	}
	if fleet.Version() == previous.lastFleetLog.version || time.Since(previous.lastFleetLog.at) < fleetLogInterval {
		return
	}
	current.lastFleetLog = fleetLog{version: fleet.Version(), at: time.Now()}
	telemetry.Info(d.logger, "fleet in force", "version", fleet.Version(), "engines", fleet.EngineCount(), "advertised", fleet.AdvertisedCount(),
		"gateways", current.gatewaySelector.ReadyCount(), "ledgers", fleet.LedgerCount(), "leads", d.core.IsLeader(0))
}

// publishQuorum logs changes of the settings group's configuration, and when its quorum is lost or back.
func (d *Daemon) publishQuorum(current *status) {
	previous := d.status.Load()
	state := d.core.QuorumState()
	current.configuration, current.isQuorumLost = state.Configuration, state.IsLost
	if !state.Configuration.Equal(previous.configuration) {
		telemetry.Info(d.logger, "settings group configuration", "replicas", describeConfiguration(state.Configuration), "term", d.core.Node(0).Term(), "leads", d.core.IsLeader(0))
	}
	switch {
	case state.IsLost && !previous.isQuorumLost:
		telemetry.Warn(d.logger, "settings group has no quorum", "replicas", describeConfiguration(state.Configuration), "silent", strings.Join(state.Silent, ","), "silence_ms", lostMemberTimeoutMs)
	case !state.IsLost && previous.isQuorumLost:
		telemetry.Info(d.logger, "settings group has a quorum again", "replicas", describeConfiguration(state.Configuration))
	}
}

// describeConfiguration returns the members of a configuration with their roles, separated by commas.
func describeConfiguration(configuration consensus.Configuration) string {
	var described []string
	for _, replica := range configuration.Replicas {
		role := ""
		switch {
		case replica.IsLearner && configuration.IsVoter(replica.ID):
			role = "(outgoing)"
		case replica.IsLearner:
			role = "(learner)"
		}
		described = append(described, replica.Member+role)
	}
	return strings.Join(described, ",")
}

// Send sends a message of the core to another control process.
func (d *Daemon) Send(member string, kind protocol.Kind, message any) {
	d.links.Send(member, kind, message)
}

// Reply sends a reply of the core to the requester. The reply is encoded before Reply
// returns, since it may share memory with the core's state.
func (d *Daemon) Reply(request RequestID, reply any) { d.replies.Deliver(request, reply) }

// handleFrame handles a frame from another process. It closes the connection on a frame
// that cannot be decoded.
func (d *Daemon) handleFrame(connection *protocol.Connection, frame protocol.Frame) {
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
			d.submit(request, func(reply any) { _ = connection.Reply(frame.Call, protocol.KindResponse, reply, true) })
			return
		}
	}
	connection.Close()
}
