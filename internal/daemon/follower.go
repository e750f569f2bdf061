package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	// longPollTimeout is how long the leader may delay its reply to a heartbeat if there are no
	// changes, and syncTimeout the timeout of a heartbeat to the current leader.
	longPollTimeout = 700 * time.Millisecond
	syncTimeout     = 1500 * time.Millisecond
	// discoveryTimeout bounds a request to a process that is not known to be the leader. Such a
	// request does not long-poll, so a reply takes one quorum round trip, some milliseconds; the
	// rest allows for a process that has used up its CPU quota.
	discoveryTimeout = 500 * time.Millisecond
	// confirmationDueAge is the age of the latest routing-table confirmation above which a
	// heartbeat that requests a new one does not long-poll. It is just above the age that a
	// confirmation reaches through long polling alone, the duration of two successive heartbeats.
	confirmationDueAge = 2*longPollTimeout + 100*time.Millisecond
	// engineLoadsInterval is the minimum interval between requests for engine loads. It is well
	// below the 1.5 s half-life of load observations. A reply has an entry for every engine, so
	// loads are not requested with each heartbeat.
	engineLoadsInterval = 600 * time.Millisecond
	// stallThreshold is how late a timeout must fire for this process itself to be considered
	// stalled. Such a timeout is no evidence against the target.
	stallThreshold = 200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed heartbeats, to
	// which a random delay of up to minRetryDelay is added.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 120 * time.Millisecond
	leaderUnknown = ""
)

// Follower synchronizes a process with the control processes: it sends heartbeats to the leader of
// the settings group and applies the updates of the fleet view and the routing table.
type Follower struct {
	// Seeds are the inner addresses of the control processes used for initial discovery.
	Seeds []string
	// FillReport fills in the process's own report in a heartbeat.
	FillReport func(request *protocol.FleetSync)
	// WithRouting makes heartbeats request the routing table as well.
	WithRouting bool
	// OnUpdate receives a new fleet view or routing table. Invariant: it is not called before a
	// quorum has confirmed a reply since the process started.
	OnUpdate func(view *membership.FleetView, table *routing.Table)
	// OnEngineLoads receives the engine loads aggregated over all gateways, and the engines at
	// which requests of several gateways fail. If it is nil, loads are not requested.
	OnEngineLoads func(loads []scheduling.EngineLoad, failing []string)
	// OnEngineUsages receives the engine usage aggregated over all gateways, after a call of
	// OnEngineLoads; it may be nil.
	OnEngineUsages func(usages []scheduling.EngineUsage)
	// OnStreamLateness receives the stream lateness aggregated over all gateways; it may be nil.
	OnStreamLateness func(lateness []scheduling.StreamLateness)
	// OnBackendUsages receives the tenants' usage of backends aggregated over all gateways; it may
	// be nil.
	OnBackendUsages func(usages []admission.BackendUsage)
	Logger          log.Logger

	// latestConfirmation is the latest routing-table confirmation; it is never nil.
	latestConfirmation atomic.Pointer[confirmation]

	client    *Client
	mutex     sync.Mutex
	discovery leaderDiscovery
	// controlsDigest is the digest of the control addresses that the leader last sent.
	controlsDigest uint64
	// currentLeader is the process that last replied as the leader, "" before the first reply and
	// after the leader has been lost.
	currentLeader string
	view          *membership.FleetView
	table         *routing.Table
	confirmed     bool
	// engineLoadsReceivedAt is when the latest loads were received. Only the goroutine of Run
	// uses it.
	engineLoadsReceivedAt time.Time
	// syncRequested cancels the long-polling heartbeat, so that a changed report is sent at once.
	syncRequested chan struct{}
}

// confirmation states that, at the time a request was sent, no routing table newer than the
// local one had been acknowledged.
type confirmation struct {
	// requestSentAt is when the confirmed request was sent, zero before the first confirmation.
	requestSentAt time.Time
	// next is closed when the next confirmation replaces this one.
	next chan struct{}
}

// NewFollower returns a follower that has no fleet view and no routing table yet.
func NewFollower(seeds []string, logger log.Logger) *Follower {
	follower := &Follower{Seeds: seeds, Logger: logger, client: NewClient(), discovery: leaderDiscovery{controls: slices.Clone(seeds)}, syncRequested: make(chan struct{}, 1)}
	follower.latestConfirmation.Store(&confirmation{next: make(chan struct{})})
	return follower
}

// SetSeeds replaces the seeds after the settings file has changed. Known control processes are
// kept and new seeds are added to them.
func (f *Follower) SetSeeds(seeds []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.Seeds = seeds
	for _, seed := range seeds {
		if !slices.Contains(f.discovery.controls, seed) {
			f.discovery.controls = append(f.discovery.controls, seed)
		}
	}
}

// SyncNow makes the follower send its next heartbeat at once.
func (f *Follower) SyncNow() {
	select {
	case f.syncRequested <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) error {
	defer f.client.Close()
	delay := minRetryDelay
	for ctx.Err() == nil {
		target := f.nextTarget()
		if f.syncOnce(ctx, target) {
			delay = minRetryDelay
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay + rand.N(minRetryDelay)):
		}
		delay = min(2*delay, maxRetryDelay)
	}
	return ctx.Err()
}

// nextTarget returns the process to send the next heartbeat to, "" if none is known.
func (f *Follower) nextTarget() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.discovery.nextTarget(time.Now(), rand.Int())
}

// recordFailure records that a process did not reply as the leader; unresponsive means that it
// did not reply before the timeout.
func (f *Follower) recordFailure(target string, unresponsive bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if target == leaderUnknown {
		return
	}
	if f.currentLeader == target {
		telemetry.Warn(f.Logger, "control leader lost", "leader", target, "silent", unresponsive)
		f.currentLeader = leaderUnknown
	}
	f.discovery.recordFailure(target, unresponsive, time.Now())
}

// isCurrentLeader reports whether a process was the last one to reply as the leader.
func (f *Follower) isCurrentLeader(target string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.currentLeader == target
}

// syncOnce sends one heartbeat and applies the reply. It returns false if the caller should back
// off before the next heartbeat: the target is unknown, the request failed, or the target is not
// the leader and its redirect is not followed at once.
func (f *Follower) syncOnce(ctx context.Context, target string) bool {
	if target == leaderUnknown {
		return false
	}
	sentAt := time.Now()
	request := f.newRequest()
	timeout := syncTimeout
	if !f.isCurrentLeader(target) {
		request.LongPollMs = 0
		timeout = discoveryTimeout
	}
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go f.cancelOnSyncNow(requestCtx, cancel)
	var reply protocol.FleetSyncReply
	err := f.client.Call(requestCtx, target, protocol.KindFleetSync, request, &reply)
	switch {
	case err != nil && requestCtx.Err() == context.Canceled && ctx.Err() == nil:
		return true
	case err != nil:
		f.client.Disconnect(target)
		f.recordFailure(target, requestCtx.Err() != nil && time.Since(sentAt) < timeout+stallThreshold)
		return false
	case reply.Error != nil:
		f.recordFailure(target, false)
		return f.followRedirect(&reply)
	}
	f.applyReply(target, &reply)
	f.recordConfirmation(sentAt, &reply)
	if f.OnStreamLateness != nil && len(reply.StreamLateness) > 0 {
		f.OnStreamLateness(reply.StreamLateness)
	}
	if f.OnBackendUsages != nil && reply.BackendUsages != nil {
		f.OnBackendUsages(reply.BackendUsages.Value)
	}
	if f.OnEngineLoads != nil && reply.EngineLoads != nil {
		f.engineLoadsReceivedAt = time.Now()
		f.OnEngineLoads(reply.EngineLoads.Value, reply.FailingEngines)
		if f.OnEngineUsages != nil && reply.EngineUsages != nil {
			f.OnEngineUsages(reply.EngineUsages.Value)
		}
	}
	return true
}

// recordConfirmation records that no routing table newer than the local one had been
// acknowledged when the request was sent. Invariant: it runs after the table delta of the reply
// has been applied, and a delta that could not be applied confirms nothing.
func (f *Follower) recordConfirmation(sentAt time.Time, reply *protocol.FleetSyncReply) {
	if !reply.IsConfirmed || !f.WithRouting {
		return
	}
	f.mutex.Lock()
	generation := uint64(0)
	if f.table != nil {
		generation = f.table.Generation
	}
	f.mutex.Unlock()
	if reply.Routing != nil && reply.Routing.Value.Generation > generation {
		return
	}
	previous := f.latestConfirmation.Swap(&confirmation{requestSentAt: sentAt, next: make(chan struct{})})
	close(previous.next)
}

// NextConfirmation returns a channel that is closed when a confirmation newer than the latest
// one arrives.
func (f *Follower) NextConfirmation() <-chan struct{} { return f.latestConfirmation.Load().next }

// ConfirmationAge returns the time since the local routing table was last confirmed to be the
// newest acknowledged one, false if it never was. The age counts on the monotonic clock from
// before the request was sent, so that neither network latency nor a stall of this process
// makes a confirmation look younger.
func (f *Follower) ConfirmationAge() (time.Duration, bool) {
	sentAt := f.latestConfirmation.Load().requestSentAt
	if sentAt.IsZero() {
		return 0, false
	}
	return time.Since(sentAt), true
}

// cancelOnSyncNow cancels a heartbeat in flight when SyncNow is called.
func (f *Follower) cancelOnSyncNow(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-f.syncRequested:
		cancel()
	case <-ctx.Done():
	}
}

func (f *Follower) newRequest() *protocol.FleetSync {
	f.mutex.Lock()
	request := &protocol.FleetSync{LongPollMs: longPollTimeout.Milliseconds(), WithRouting: f.WithRouting, ConfirmNow: !f.confirmed, ControlsDigest: f.controlsDigest}
	request.WithLoads = f.OnEngineLoads != nil && time.Since(f.engineLoadsReceivedAt) >= engineLoadsInterval
	if f.view != nil {
		request.FleetVersion = f.view.Version
	}
	if f.table != nil {
		request.RoutingGeneration = f.table.Generation
		request.ConfirmLeadership = f.table.RequiresKey
	}
	if age, hasAge := f.ConfirmationAge(); request.ConfirmLeadership && (!hasAge || age > confirmationDueAge) {
		request.LongPollMs = 0
	}
	f.mutex.Unlock()
	f.FillReport(request)
	return request
}

// followRedirect follows the redirect to the leader in the reply of a process that is not the
// leader. It reports whether the next request should be sent at once.
func (f *Follower) followRedirect(reply *protocol.FleetSyncReply) bool {
	if reply.Error.Code != result.NotLeader {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.discovery.followRedirect(reply.Leader, time.Now())
}

// applyReply applies the updates in a leader's reply. Invariant: neither the fleet version nor
// the routing generation ever decreases while the process runs.
func (f *Follower) applyReply(target string, reply *protocol.FleetSyncReply) {
	f.mutex.Lock()
	if f.currentLeader != target {
		telemetry.Info(f.Logger, "control leader found", "leader", target)
	}
	f.currentLeader = target
	f.discovery.recordLeader(target)
	if len(reply.ControlAddresses) > 0 {
		f.controlsDigest = protocol.ControlsDigest(reply.ControlAddresses)
		f.discovery.controls = slices.Clone(reply.ControlAddresses)
		for _, seed := range f.Seeds {
			if !slices.Contains(f.discovery.controls, seed) {
				f.discovery.controls = append(f.discovery.controls, seed)
			}
		}
	}
	changed := false
	if reply.Fleet != nil {
		var updated bool
		f.view, updated = f.view.ApplyDelta(reply.Fleet.Value)
		changed = changed || updated
	}
	if reply.Routing != nil {
		var updated bool
		f.table, updated = reply.Routing.Value.Apply(f.table)
		changed = changed || updated
	}
	if reply.IsConfirmed && !f.confirmed {
		f.confirmed = true
		changed = true
	}
	view, table, confirmed := f.view, f.table, f.confirmed
	f.mutex.Unlock()
	if changed && confirmed {
		f.OnUpdate(view, table)
	}
}
