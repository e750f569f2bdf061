package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/storage"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	drainTimeout      = 4 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// The large requests in progress may hold the process's memory limit divided by frameMemoryDivisor, or
	// defaultFrameMemoryBytes if there is no memory limit; as much is for the large messages of peers. Each needs
	// several times its size until it is applied and stored.
	frameMemoryDivisor      = 32
	defaultFrameMemoryBytes = 64 << 20
	// maxFrameHoldTime bounds how long a request without a reply holds its memory: its group may have been removed.
	maxFrameHoldTime = 5 * time.Second
)

// status is a snapshot of the core's state for other goroutines.
type status struct {
	report        membership.LedgerReport
	isDrained     bool
	retainedTurns int
	// recordedStreams is the number of streams whose origin is on record.
	recordedStreams int
	// heldChains is the number of holds of open turns on the chains that they continue.
	heldChains int
	// crashRecords is the number of requests under which engines ended.
	crashRecords int
	hostedGroups int
	// votingGroups counts the hosted groups in which the local replica is a voter.
	votingGroups   int
	appliedEntries uint64
	syncedWrites   uint64
	// waitingRequests counts the quota requests that wait for headroom in their tenant's window.
	waitingRequests int
	// leaders holds the last known leader of each group hosted here.
	leaders map[uint32]string
}

// Daemon runs a Core over TCP and a disk.
type Daemon struct {
	process  config.Process
	logger   log.Logger
	monitor  *telemetry.Monitor
	store    *storage.Store
	core     *Core
	loop     *daemon.EventLoop
	links    *daemon.Links
	follower *daemon.Follower
	status   atomic.Pointer[status]
	// expiredRequests counts the requests that were dropped because their timeout had passed.
	expiredRequests atomic.Int64

	// Only the event loop uses the following fields. ledTerms holds the term in which each group
	// is led here, zero for groups that are not.
	pendingReplies daemon.PendingReplies[RequestID, *protocol.TurnReply]
	ledTerms       map[uint32]uint64
}

// NewDaemon opens the data folder and restores the placement. It returns storage.ErrInUse if
// another process uses the folder.
func NewDaemon(process config.Process, logger log.Logger) (*Daemon, error) {
	store, err := storage.Open(process.Data.Path)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		process: process, logger: logger, store: store, ledTerms: map[uint32]uint64{},
	}
	options := DefaultOptions(process.Listen.Address, process.Name, process.Zone)
	options.QuotaWindowMs = process.Limits.QuotaWindow().Milliseconds()
	options.QuotaTolerance = quota.Tolerance{OverageFraction: process.Limits.QuotaOverage, SlackRequests: process.Limits.QuotaSlack}
	d.core = NewCore(options, store, d, clock.NowMs())
	if err := d.core.Restore(clock.NowMs()); err != nil {
		_ = store.Close()
		return nil, errorx.Decorate(err, "restoring the placement")
	}
	d.links = daemon.NewLinks(func(member string) string { return member }, func(string) time.Duration { return 0 })
	d.loop = daemon.NewEventLoop(time.Duration(options.TickMs) * time.Millisecond)
	d.loop.Tick = func() { d.core.Tick(clock.NowMs()) }
	d.loop.Flush = d.core.Flush
	d.loop.Publish = d.publishStatus
	d.follower = daemon.NewFollower(process.Cluster.Seeds, logger)
	d.follower.FillReport = func(request *protocol.FleetSync) {
		report := d.status.Load().report
		request.Ledger = &report
	}
	d.follower.OnUpdate = d.applyView
	d.publishStatus()
	d.monitor = telemetry.NewMonitor(func() bool { return len(d.status.Load().report.LedGroups)+d.status.Load().hostedGroups > 0 })
	d.registerMetrics()
	return d, nil
}

func (d *Daemon) registerMetrics() {
	d.monitor.RegisterGauge("ledger_groups_hosted", "Ledger groups with a replica here.", func() float64 { return float64(d.status.Load().hostedGroups) })
	d.monitor.RegisterGauge("ledger_groups_led", "Ledger groups led here.", func() float64 { return float64(len(d.status.Load().report.LedGroups)) })
	d.monitor.RegisterGauge("ledger_groups_voting", "Ledger groups whose quorum counts the replica here.", func() float64 { return float64(d.status.Load().votingGroups) })
	d.monitor.RegisterGauge("ledger_requests_expired", "Requests dropped since the start: they waited longer than their senders.", func() float64 { return float64(d.expiredRequests.Load()) })
	d.monitor.RegisterGauge("ledger_turns_kept", "Turns kept in the groups hosted here.", func() float64 { return float64(d.status.Load().retainedTurns) })
	d.monitor.RegisterGauge("ledger_crash_records", "Requests under which engines ended, in the groups hosted here.", func() float64 { return float64(d.status.Load().crashRecords) })
	d.monitor.RegisterGauge("ledger_chains_held", "Holds of open turns on the chains that they continue, in the groups hosted here.", func() float64 { return float64(d.status.Load().heldChains) })
	d.monitor.RegisterGauge("ledger_streams_recorded", "Streams whose software version is on record in the groups hosted here.", func() float64 { return float64(d.status.Load().recordedStreams) })
	d.monitor.RegisterGauge("ledger_entries_applied", "Log entries applied over all groups.", func() float64 { return float64(d.status.Load().appliedEntries) })
	d.monitor.RegisterGauge("ledger_quota_granted", "Requests of tenants granted since the start.", func() float64 { return float64(d.core.GrantedRequestCount()) })
	d.monitor.RegisterGauge("ledger_quota_denied", "Requests of tenants denied since the start: their limit was used up.", func() float64 { return float64(d.core.DeniedRequestCount()) })
	d.monitor.RegisterGauge("ledger_quota_waiting", "Requests of programs under way that wait for room in their tenant's limit.", func() float64 { return float64(d.status.Load().waitingRequests) })
	d.monitor.RegisterView("/v1/tenants", d.tenantsView)
	d.monitor.RegisterGauge("store_syncs", "Synced writes to the data folder.", func() float64 { return float64(d.status.Load().syncedWrites) })
}

// tenantsView returns the usage of the tenants whose limits are enforced here.
func (d *Daemon) tenantsView() any {
	views := make(chan []quota.TenantUsage, 1)
	d.loop.Post(func() { views <- d.core.TenantUsage() })
	return TenantsView{Process: d.process.Name, Tenants: <-views}
}

// TenantsView is the response to an operator's query for the tenants of a ledger host.
type TenantsView struct {
	Process string              `json:"process"`
	Tenants []quota.TenantUsage `json:"tenants"`
}

// Follower returns the daemon's link to control, through which settings changes arrive.
func (d *Daemon) Follower() *daemon.Follower { return d.follower }

// applyView applies a new view of the fleet on the event loop. A nil view is ignored.
func (d *Daemon) applyView(view *membership.FleetView, _ *routing.Table) {
	if view == nil {
		return
	}
	d.loop.Post(func() {
		if err := d.core.ApplyView(view, clock.NowMs()); err != nil {
			telemetry.Warn(d.logger, "applying the placement failed", "version", view.Version, "err", err)
		}
	})
}

// Run serves until ctx ends and then transfers the leadership of the groups led here.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.store.Close()
	limits := protocol.Limits{
		Connections: daemon.MaxConnections(d.process.Limits, daemon.PeersShare),
		FrameMemory: protocol.NewFrameMemory(d.process.Limits.MemoryShare(frameMemoryDivisor, defaultFrameMemoryBytes)),
	}
	server, err := protocol.ListenWithin(d.process.Listen.Address, limits, d.handle)
	if err != nil {
		return errorx.Decorate(err, "listening")
	}
	defer server.Close()
	telemetry.Info(d.logger, "listening", "address", server.Address(), "replica", uint64(d.store.Replica()))
	connections := daemon.NewConnectionWatch(d.monitor)
	connections.Add("peers", server.Connections)
	tasks := daemon.NewTaskGroup()
	tasks.Go(func(ctx context.Context) error { return connections.Run(ctx, d.logger) })
	tasks.Go(d.loop.Run)
	tasks.Go(d.follower.Run)
	tasks.Go(func(ctx context.Context) error {
		frontend := daemon.Frontend{Address: d.process.Listen.HTTP, Handler: d.monitor.Handler(), Name: "monitoring", Share: daemon.MonitoringShare}
		return daemon.ServeFrontends(ctx, d.process.Limits, connections, []daemon.Frontend{frontend})
	})
	err = tasks.Wait(ctx, d.drain)
	d.links.Close()
	return err
}

// drain starts the leadership transfers and waits until this process leads no group, for at most
// drainTimeout.
func (d *Daemon) drain(ctx context.Context) {
	telemetry.Info(d.logger, "draining")
	d.loop.Post(d.core.Drain)
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil && !d.status.Load().isDrained {
		time.Sleep(drainPollInterval)
	}
}

// publishStatus publishes a status snapshot for other goroutines and logs leadership changes.
func (d *Daemon) publishStatus() {
	current := &status{
		leaders: map[uint32]string{}, report: d.core.Report(), isDrained: d.core.IsDrained(), hostedGroups: len(d.core.host.Groups), syncedWrites: d.core.host.SyncedWrites,
		waitingRequests: d.core.WaitingRequestCount(),
	}
	for _, group := range d.core.host.Groups {
		current.leaders[uint32(group.ID)] = group.LeaderMember()
		current.retainedTurns += group.StateMachine.(*stateMachine).turns.TurnCount()
		current.crashRecords += group.StateMachine.(*stateMachine).turns.CrashRecordCount()
		current.heldChains += group.StateMachine.(*stateMachine).turns.HoldCount()
		current.recordedStreams += group.StateMachine.(*stateMachine).turns.StreamCount()
		current.appliedEntries += group.Node.AppliedIndex()
		if group.Node.Configuration().IsVoter(group.Node.ID()) {
			current.votingGroups++
		}
		term := uint64(0)
		if group.IsLeader() {
			term = group.Node.Term()
		}
		if d.ledTerms[uint32(group.ID)] != term {
			d.ledTerms[uint32(group.ID)] = term
			telemetry.Info(d.logger, "leadership changed", "group", uint32(group.ID), "leads", group.IsLeader(), "term", group.Node.Term())
		}
	}
	d.status.Store(current)
}

// Send implements Transport. Bulk batches are sent over a separate connection.
func (d *Daemon) Send(member string, batch protocol.PeerBatch) {
	if batch.IsBulk() {
		d.links.SendBulk(member, protocol.KindPeer, batch)
		return
	}
	d.links.Send(member, protocol.KindPeer, batch)
}

// Reply implements Transport. It encodes the reply before it returns, since the reply may share
// memory with the core's state.
func (d *Daemon) Reply(request RequestID, reply *protocol.TurnReply) {
	d.pendingReplies.Deliver(request, reply)
}

// handle processes a frame from another process. A frame that is malformed or of another kind
// closes the connection.
func (d *Daemon) handle(connection *protocol.Connection, frame protocol.Frame) {
	switch frame.Kind {
	case protocol.KindPeer:
		var batch protocol.PeerBatch
		if protocol.Decode(frame.Body, &batch) == nil {
			release := frame.Retain()
			d.loop.PostMessage(len(frame.Body), func() {
				d.core.HandlePeerBatch(batch, clock.NowMs())
				release()
			})
			return
		}
	case protocol.KindTurn:
		var request protocol.TurnRequest
		if protocol.Decode(frame.Body, &request) == nil {
			d.handleTurnRequest(connection, frame, &request)
			return
		}
	}
	connection.Close()
}

// handleTurnRequest answers a leader probe immediately, independent of the load of the event loop,
// and queues other requests for the loop. Invariant: a request whose timeout passed in the queue
// is dropped. Its sender has given up and retries, so executing it would only add to an overload.
func (d *Daemon) handleTurnRequest(connection *protocol.Connection, frame protocol.Frame, request *protocol.TurnRequest) {
	if request.ProbeLeader {
		_ = connection.Reply(frame.Call, protocol.KindResponse, d.probeReply(request.Group), true)
		return
	}
	received := time.Now()
	release := sync.OnceFunc(frame.Retain())
	// The event must not keep the body of the frame, which is decoded.
	call, isLarge := frame.Call, frame.IsLarge()
	d.loop.PostMessage(len(frame.Body), func() {
		if request.TimeoutMs > 0 && time.Since(received).Milliseconds() > request.TimeoutMs {
			d.expiredRequests.Add(1)
			release()
			return
		}
		if isLarge {
			time.AfterFunc(maxFrameHoldTime, release)
		}
		d.submitRequest(connection, call, request, release)
	})
}

// probeReply answers whether this host leads a group, and otherwise names the last known leader.
func (d *Daemon) probeReply(group uint32) *protocol.TurnReply {
	leader := d.status.Load().leaders[group]
	if leader == d.process.Listen.Address {
		return &protocol.TurnReply{}
	}
	return &protocol.TurnReply{Leader: leader, Error: result.New(result.NotLeader, "%s does not lead group %d", d.process.Name, group)}
}

// submitRequest passes a request to the core and sends and logs its reply. Then it releases the request's memory.
func (d *Daemon) submitRequest(connection *protocol.Connection, call uint64, request *protocol.TurnRequest, release func()) {
	started := time.Now()
	logged := request.WithoutContent()
	id := d.pendingReplies.Register(func(reply *protocol.TurnReply) {
		defer release()
		_ = connection.Reply(call, protocol.KindResponse, reply, true)
		d.logTurn(logged, reply, time.Since(started))
	})
	d.core.HandleRequest(id, request, clock.NowMs())
}

// logTurn writes the log line for the outcome of a gateway's request.
func (d *Daemon) logTurn(request *protocol.TurnRequest, reply *protocol.TurnReply, elapsed time.Duration) {
	if request.Quota != nil && (reply.Error == nil || reply.Error.Code == result.TenantLimit) {
		// The gateway logs denials, and the time that a grant took.
		return
	}
	if (request.Crash != nil || request.CrashesOf != nil) && reply.Error == nil {
		// The gateway logs the attempts that matter; each attempt of a call has a claim.
		return
	}
	id := request.HistoryOf
	keyValues := []any{"group", request.Group, "took", elapsed.Round(100 * time.Microsecond).String()}
	message := "turn history read"
	switch {
	case request.Reserve != nil:
		id, message = request.Reserve.Request, "turn opened"
		keyValues = append(keyValues, "program", request.Reserve.Program, "budget", request.Reserve.BudgetTokens, "most", request.Reserve.MaxTokens,
			"previous", request.Reserve.PreviousRequest, "home", reply.AffineEngine)
		keyValues = append(keyValues, streamFields(request.Reserve.Stream, reply)...)
	case request.Settle != nil:
		id, message = request.Settle.Request, "turn settled"
		keyValues = append(keyValues, "program", request.Settle.Program, "used", request.Settle.UsedTokens, "keep", request.Settle.Retain)
	}
	if request.Stream != nil {
		id, message = request.Stream.Request, "stream opened"
		keyValues = append(keyValues, "program", request.Stream.Program, "attempt", request.Stream.Opening.Attempt)
		keyValues = append(keyValues, streamFields(&request.Stream.Opening, reply)...)
	}
	if request.Quota != nil {
		message = "quota requested"
		keyValues = append(keyValues, "tenant", request.Quota.Tenant)
	}
	if len(request.ContentsOf) > 0 {
		id, message = request.ContentsOf[len(request.ContentsOf)-1], "turn contents read"
		keyValues = append(keyValues, "turns", len(request.ContentsOf), "bytes", len(reply.History))
	}
	keyValues = append(keyValues, "request", id)
	if reply.Error == nil {
		telemetry.InfoSampled(d.logger, id, message, keyValues...)
		return
	}
	keyValues = append(keyValues, "leader", reply.Leader, "code", int(reply.Error.Code), "err", reply.Error.Error())
	telemetry.Warn(d.logger, "turn request refused", keyValues...)
}

// streamFields returns the fields of a log line on the stream that a request opened, nothing if it
// opened none.
func streamFields(opening *program.StreamOpening, reply *protocol.TurnReply) []any {
	if opening == nil {
		return nil
	}
	var fields []any
	if opening.Origin == nil {
		fields = append(fields, "takes_up", opening.TakesUp)
	}
	if reply.Stream != nil {
		fields = append(fields, "software", reply.Stream.SoftwareVersion)
	}
	return fields
}
