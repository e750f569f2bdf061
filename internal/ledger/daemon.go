package ledger

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/joomcode/errorx"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/storage"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	drainTimeout = 4 * time.Second
	drainPoll    = 20 * time.Millisecond
)

// status is the snapshot that other goroutines read.
type status struct {
	report  membership.LedgerReport
	drained bool
	turns   int
	hosted  int
	// voting counts the hosted groups in which this replica counts in the quorum.
	voting  int
	applied uint64
	synced  uint64
	// waiting are the requests that wait for room in their tenant's limit.
	waiting int
	// leaders are the members that lead the groups hosted here, as far as known.
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
	// expired counts the requests that waited longer than their senders.
	expired atomic.Int64

	// The loop alone uses these.
	replies daemon.PendingReplies[RequestID, *protocol.TurnReply]
	led     map[uint32]uint64
}

// NewDaemon opens the data folder; it returns storage.ErrInUse where another
// process has it.
func NewDaemon(process config.Process, logger log.Logger) (*Daemon, error) {
	store, err := storage.Open(process.Data.Path)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		process: process, logger: logger, store: store, led: map[uint32]uint64{},
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
	d.loop.Publish = d.publish
	d.follower = daemon.NewFollower(process.Cluster.Seeds, logger)
	d.follower.FillReport = func(request *protocol.FleetSync) {
		report := d.status.Load().report
		request.Ledger = &report
	}
	d.follower.OnUpdate = d.follow
	d.publish()
	d.monitor = telemetry.NewMonitor(func() bool { return len(d.status.Load().report.LedGroups)+d.status.Load().hosted > 0 })
	d.registerMetrics()
	return d, nil
}

func (d *Daemon) registerMetrics() {
	d.monitor.RegisterGauge("ledger_groups_hosted", "Ledger groups with a replica here.", func() float64 { return float64(d.status.Load().hosted) })
	d.monitor.RegisterGauge("ledger_groups_led", "Ledger groups led here.", func() float64 { return float64(len(d.status.Load().report.LedGroups)) })
	d.monitor.RegisterGauge("ledger_groups_voting", "Ledger groups whose quorum counts the replica here.", func() float64 { return float64(d.status.Load().voting) })
	d.monitor.RegisterGauge("ledger_requests_expired", "Requests dropped since the start: they waited longer than their senders.", func() float64 { return float64(d.expired.Load()) })
	d.monitor.RegisterGauge("ledger_turns_kept", "Turns kept in the groups hosted here.", func() float64 { return float64(d.status.Load().turns) })
	d.monitor.RegisterGauge("ledger_entries_applied", "Log entries applied over all groups.", func() float64 { return float64(d.status.Load().applied) })
	d.monitor.RegisterGauge("ledger_quota_granted", "Requests of tenants granted since the start.", func() float64 { return float64(d.core.GrantedRequestCount()) })
	d.monitor.RegisterGauge("ledger_quota_denied", "Requests of tenants denied since the start: their limit was used up.", func() float64 { return float64(d.core.DeniedRequestCount()) })
	d.monitor.RegisterGauge("ledger_quota_waiting", "Requests of programs under way that wait for room in their tenant's limit.", func() float64 { return float64(d.status.Load().waiting) })
	d.monitor.RegisterView("/v1/tenants", d.tenants)
	d.monitor.RegisterGauge("store_syncs", "Synced writes to the data folder.", func() float64 { return float64(d.status.Load().synced) })
}

// tenants tells an operator of the tenants whose limits are owned here.
func (d *Daemon) tenants() any {
	views := make(chan []quota.TenantUsage, 1)
	d.loop.Post(func() { views <- d.core.TenantUsage() })
	return TenantsView{Process: d.process.Name, Tenants: <-views}
}

// TenantsView is a ledger host's answer to an operator.
type TenantsView struct {
	Process string              `json:"process"`
	Tenants []quota.TenantUsage `json:"tenants"`
}

// Follower returns the daemon's link to control, for changed settings.
func (d *Daemon) Follower() *daemon.Follower { return d.follower }

// follow hands a new view of the fleet to the core.
func (d *Daemon) follow(view *membership.FleetView, _ *routing.Table) {
	if view == nil {
		return
	}
	d.loop.Post(func() {
		if err := d.core.ApplyView(view, clock.NowMs()); err != nil {
			telemetry.Warn(d.logger, "placement not followed", "version", view.Version, "err", err)
		}
	})
}

// Run serves until ctx ends, then hands leadership over.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.store.Close()
	server, err := protocol.Listen(d.process.Listen.Address, d.handle)
	if err != nil {
		return errorx.Decorate(err, "listening")
	}
	defer server.Close()
	telemetry.Info(d.logger, "listening", "address", server.Address(), "replica", uint64(d.store.Replica()))
	tasks := daemon.NewTaskGroup()
	tasks.Go(d.loop.Run)
	tasks.Go(d.follower.Run)
	tasks.Go(func(ctx context.Context) error {
		own := daemon.Frontend{Address: d.process.Listen.HTTP, Handler: d.monitor.Handler()}
		return daemon.ServeFrontends(ctx, []daemon.Frontend{own})
	})
	err = tasks.Wait(ctx, d.drain)
	d.links.Close()
	return err
}

// drain waits until this process leads nothing, bounded in time.
func (d *Daemon) drain(ctx context.Context) {
	telemetry.Info(d.logger, "draining")
	d.loop.Post(d.core.Drain)
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil && !d.status.Load().drained {
		time.Sleep(drainPoll)
	}
}

// publish makes the snapshot for other goroutines and logs changes of leadership.
func (d *Daemon) publish() {
	current := &status{
		leaders: map[uint32]string{}, report: d.core.Report(), drained: d.core.IsDrained(), hosted: len(d.core.host.Groups), synced: d.core.host.SyncedWrites,
		waiting: d.core.WaitingRequestCount(),
	}
	for _, group := range d.core.host.Groups {
		current.leaders[uint32(group.ID)] = group.LeaderMember()
		current.turns += group.StateMachine.(*stateMachine).turns.TurnCount()
		current.applied += group.Node.AppliedIndex()
		if group.Node.Configuration().IsVoter(group.Node.ID()) {
			current.voting++
		}
		term := uint64(0)
		if group.IsLeader() {
			term = group.Node.Term()
		}
		if d.led[uint32(group.ID)] != term {
			d.led[uint32(group.ID)] = term
			telemetry.Info(d.logger, "leadership changed", "group", uint32(group.ID), "leads", group.IsLeader(), "term", group.Node.Term())
		}
	}
	d.status.Store(current)
}

// Send is the core's outlet to other ledger hosts.
func (d *Daemon) Send(member string, batch protocol.PeerBatch) {
	if batch.IsBulk() {
		d.links.SendBulk(member, protocol.KindPeer, batch)
		return
	}
	d.links.Send(member, protocol.KindPeer, batch)
}

// Reply is the core's outlet to whoever asked. The reply is encoded before it
// returns, since it may share memory with the core's state.
func (d *Daemon) Reply(request RequestID, reply *protocol.TurnReply) {
	d.replies.Deliver(request, reply)
}

// handle takes a frame from another process.
func (d *Daemon) handle(connection *protocol.Connection, frame protocol.Frame) {
	switch frame.Kind {
	case protocol.KindPeer:
		var batch protocol.PeerBatch
		if protocol.Decode(frame.Body, &batch) == nil {
			d.loop.PostMessage(len(frame.Body), func() { d.core.HandlePeerBatch(batch, clock.NowMs()) })
			return
		}
	case protocol.KindTurn:
		var request protocol.TurnRequest
		if protocol.Decode(frame.Body, &request) == nil {
			d.takeRequest(connection, frame, &request)
			return
		}
	}
	connection.Close()
}

// takeRequest answers a probe at once, however much the loop has to do, and hands all
// else to the loop. Invariant: a request that waited longer than its sender does is
// dropped, since the sender asks again: work for nobody must not add to an overload.
func (d *Daemon) takeRequest(connection *protocol.Connection, frame protocol.Frame, request *protocol.TurnRequest) {
	if request.ProbeLeader {
		_ = connection.Reply(frame.Call, protocol.KindResponse, d.probed(request.Group), true)
		return
	}
	arrived := time.Now()
	d.loop.PostMessage(len(frame.Body), func() {
		if request.TimeoutMs > 0 && time.Since(arrived).Milliseconds() > request.TimeoutMs {
			d.expired.Add(1)
			return
		}
		d.request(connection, frame.Call, request)
	})
}

// probed says whether this host leads a group, and who does as far as it knows.
func (d *Daemon) probed(group uint32) *protocol.TurnReply {
	leader := d.status.Load().leaders[group]
	if leader == d.process.Listen.Address {
		return &protocol.TurnReply{}
	}
	return &protocol.TurnReply{Leader: leader, Error: result.New(result.NotLeader, "%s does not lead group %d", d.process.Name, group)}
}

func (d *Daemon) request(connection *protocol.Connection, call uint64, request *protocol.TurnRequest) {
	began := time.Now()
	id := d.replies.Register(func(reply *protocol.TurnReply) {
		_ = connection.Reply(call, protocol.KindResponse, reply, true)
		d.logTurn(request, reply, time.Since(began))
	})
	d.core.HandleRequest(id, request, clock.NowMs())
}

// logTurn writes the one line that says what became of a gateway's request.
func (d *Daemon) logTurn(request *protocol.TurnRequest, reply *protocol.TurnReply, took time.Duration) {
	if request.Quota != nil && (reply.Error == nil || reply.Error.Code == result.TenantLimit) {
		// The gateway's own line tells of a denial, and of a grant how long it took.
		return
	}
	id := request.HistoryOf
	keyValues := []any{"group", request.Group, "took", took.Round(100 * time.Microsecond).String()}
	message := "turn looked for"
	switch {
	case request.Reserve != nil:
		id, message = request.Reserve.Request, "turn opened"
		keyValues = append(keyValues, "program", request.Reserve.Program, "budget", request.Reserve.BudgetTokens, "most", request.Reserve.MaxTokens,
			"previous", request.Reserve.PreviousRequest, "home", reply.AffineEngine)
	case request.Settle != nil:
		id, message = request.Settle.Request, "turn settled"
		keyValues = append(keyValues, "program", request.Settle.Program, "used", request.Settle.UsedTokens, "keep", request.Settle.Retain)
	}
	if request.Quota != nil {
		message = "quota asked for"
		keyValues = append(keyValues, "tenant", request.Quota.Tenant)
	}
	if len(request.ContentsOf) > 0 {
		id, message = request.ContentsOf[len(request.ContentsOf)-1], "contents read"
		keyValues = append(keyValues, "turns", len(request.ContentsOf), "bytes", len(reply.History))
	}
	keyValues = append(keyValues, "request", id)
	if reply.Error == nil {
		telemetry.InfoSampled(d.logger, id, message, keyValues...)
		return
	}
	keyValues = append(keyValues, "leader", reply.Leader, "code", int(reply.Error.Code), "err", reply.Error.Error())
	telemetry.Warn(d.logger, "turn refused", keyValues...)
}
