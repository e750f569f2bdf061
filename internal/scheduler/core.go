// Package scheduler implements the process that owns a cell of engines under a lease and selects
// the engine that runs each call (design sections 3, 4 and 8). It keeps no durable state: the
// ledger enforces turn order, token budgets and at-most-once execution. Core is the control state
// and has no goroutines, clock or sockets of its own. Daemon connects it to TCP and HTTP, and the
// simulator to a virtual network.
package scheduler

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/reconcile"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/settings"
)

// SinkID identifies the destination of the replies to one request on one sidecar connection.
type SinkID uint64

// ControlID identifies one send of a request to a control process. A request that is sent again
// gets a new ControlID.
type ControlID uint64

// AttemptID identifies one attempt to run a call on an engine.
type AttemptID uint64

// EngineAttempt is one attempt to run a call: the engine and the completion request for it.
type EngineAttempt struct {
	ID      AttemptID
	Engine  membership.Engine
	Request engine.CompletionRequest
}

// Transport sends the messages of a Core. Its methods must not call methods of the Core.
type Transport interface {
	// SendControlRequest sends a request to a control process. The reply, or nil if none arrives,
	// is passed to Core.HandleControlReply.
	SendControlRequest(member string, id ControlID, kind protocol.Kind, request any)
	// Reply sends a message to a sidecar. last marks the final message to the sink.
	Reply(sink SinkID, kind protocol.Kind, message any, last bool)
	// StartAttempt sends a call to an engine. The chunks of the response are passed to
	// Core.HandleChunk and the outcome to Core.HandleCompletion.
	StartAttempt(attempt EngineAttempt)
	// StopAttempt closes the response stream of an attempt. The Core ignores an outcome that still
	// arrives.
	StopAttempt(id AttemptID)
	// SendOrder sends a fenced order to an engine, and ReleasePrograms a request to drop the cached
	// state of programs.
	SendOrder(target membership.Engine, order engine.Order)
	ReleasePrograms(target membership.Engine, programs []string)
}

// Options configure a Core.
type Options struct {
	Name    string
	Zone    string
	Address string
	// Incarnation identifies this run of the process; each start has a different one.
	Incarnation uint64
	// ControlMembers are the names of the control processes. They are tried in the configured order,
	// which should start with the scheduler's zone.
	ControlMembers []string
	// SyncLongPollMs is the time for which a control process may delay the reply to a heartbeat
	// while there are no updates.
	SyncLongPollMs int64
	// HistoryCacheBytes limits the memory for cached program histories.
	HistoryCacheBytes int64
	Policy            scheduling.Policy

	// The remaining options disable single mechanisms, for runs that demonstrate their purpose.
	DisableTurnOrder    bool
	DisableAudit        bool
	DisableLeavingClose bool
	DisableRevision     bool
	DisableAtMostOnce   bool
}

// DefaultOptions returns the options of a scheduler process, with the default timing, cache size
// and policy.
func DefaultOptions(name, zone, address string, incarnation uint64, controlMembers []string) Options {
	return Options{
		Name: name, Zone: zone, Address: address, Incarnation: incarnation, ControlMembers: controlMembers,
		SyncLongPollMs: 1000, HistoryCacheBytes: 64 << 20, Policy: scheduling.DefaultPolicy(),
	}
}

// A scheduler polls the state of each of its engines every StatePollIntervalMs. Only one poll in
// CachedProgramsEveryPolls requests the list of cached programs, because the list is most of the
// bytes of a reply.
const (
	StatePollIntervalMs      = 500
	CachedProgramsEveryPolls = 12
)

const (
	controlTimeoutMs      = 3000
	controlRetryDelayMs   = 100
	openTurnRetryDelayMs  = 150
	auditIntervalMs       = 2000
	reconcileIntervalMs   = 250
	engineReportTimeoutMs = 3000
	// engineLostTimeoutMs is the time without a state report from an engine after which its
	// attempts are abandoned: a machine that loses power does not close its connections.
	engineLostTimeoutMs     = 6000
	followerTimeoutMs       = 5000
	maxLaggingSidecars      = 8
	commitTimeoutMs         = 60_000
	programIdleTimeoutMs    = 600_000
	evictionIntervalMs      = 5000
	minExpectedOutputTokens = 16
	// noEngineGraceMs is the time for which calls wait for an engine to return in a cell without a
	// ready and open engine of their pool. After it, the cell refuses the calls, and their sidecars
	// send them to another cell.
	noEngineGraceMs = 1500
	// drainPropagationMs is the time allowed for the directory entry that lists this scheduler as
	// draining to reach the sidecars. drainListingTimeoutMs is the time allowed for control to list
	// that state.
	drainPropagationMs    = 500
	drainListingTimeoutMs = 5000
)

// Core is the control state of one scheduler.
type Core struct {
	options   Options
	transport Transport
	nowMs     int64

	tree         *settings.Tree
	fieldsByPath map[string]settings.Fields
	roster       *membership.Roster
	groups       uint32
	engines      map[string]*ownedEngine
	// poolLastReadyMs is, for each pool, the last time at which the cell had a ready and open
	// engine. If there was none by the first check of the pool, it is the time of that check.
	poolLastReadyMs map[string]int64
	cell            scheduling.CellScheduler
	tenantLimiter   *scheduling.TenantLimiter

	programs map[string]*localProgram
	// busyPrograms are the programs with an active or a queued call.
	busyPrograms       map[string]*localProgram
	cachedHistoryBytes int64
	lastEvictionMs     int64
	waitingCalls       map[uint64]*call
	attempts           map[AttemptID]*call
	sinks              map[SinkID]*call
	lastCallID         uint64
	// nonceBase is a hash of the scheduler's name and incarnation, so that the nonces of two
	// schedulers, or of two incarnations of one scheduler, differ.
	nonceBase     uint64
	lastAttemptID AttemptID

	controlRequests map[ControlID]*controlRequest
	lastControlID   ControlID
	leaders         map[uint32]string
	memberIndex     int

	followers map[string]*follower
	isSynced  bool
	// isListed is set when the directory lists this scheduler, and no later incarnation of it.
	// Before that, other schedulers would take over its turns as those of a lost scheduler.
	isListed  bool
	isSyncing bool
	// reportedRevision is the last revision for which this scheduler reported to control that all
	// its sidecars had reached it.
	reportedRevision uint64
	isDraining       bool
	// drainStartedMs is the time at which draining started, and drainListedMs the time at which
	// the directory first listed this scheduler as draining, or 0.
	drainStartedMs  int64
	drainListedMs   int64
	lastAuditMs     int64
	lastReconcileMs int64

	// counters holds only the counters of Stats; Core.Stats adds the gauges.
	counters Stats
}

// Stats holds counters since the start of the process and gauges of the present state.
type Stats struct {
	StartedAttempts  uint64
	Answered         uint64
	Refused          uint64
	FailedAttempts   uint64
	ReleasedPrograms uint64
	TakeOverAttempts uint64
	Waiting          int
	InFlight         int
	Engines          int
	ReadyEngines     int
	Revision         uint64
	IsSynced         bool
	PromptTokens     int64
	CachedTokens     int64
}

// ownedEngine is the state of one engine of the cell.
type ownedEngine struct {
	info         membership.Engine
	state        engine.State
	lastReportMs int64
	// hasState is set by a state report. It is cleared if the address changes or the engine did not
	// start an attempt.
	hasState         bool
	schedulingEngine *scheduling.Engine
	// The remaining fields are the progress towards the pool's target.
	hasPermit       bool
	isPermitPending bool
	isDraining      bool
	lastOrderMs     int64
}

// follower is a sidecar that receives updates of the settings and the directory from this
// scheduler.
type follower struct {
	revision       uint64
	lastContactMs  int64
	sink           SinkID
	request        *protocol.FollowRequest
	pollDeadlineMs int64
	isWaiting      bool
}

// NewCore returns a Core without settings, directory or engines; it gets them from control with the
// first sync.
func NewCore(options Options, transport Transport, nowMs int64) *Core {
	return &Core{
		options: options, transport: transport, nowMs: nowMs,
		tree: settings.NewTree(), roster: membership.NewRoster(), fieldsByPath: map[string]settings.Fields{},
		engines: map[string]*ownedEngine{}, poolLastReadyMs: map[string]int64{}, tenantLimiter: scheduling.NewTenantLimiter(),
		cell:     scheduling.CellScheduler{Policy: options.Policy},
		programs: map[string]*localProgram{}, busyPrograms: map[string]*localProgram{}, waitingCalls: map[uint64]*call{}, attempts: map[AttemptID]*call{},
		sinks: map[SinkID]*call{}, controlRequests: map[ControlID]*controlRequest{}, leaders: map[uint32]string{},
		followers: map[string]*follower{}, nonceBase: xxhash.Sum64String(fmt.Sprint(options.Name, options.Incarnation)),
	}
}

// IsReady reports whether the scheduler has the settings, is listed in the directory and is not
// draining.
func (c *Core) IsReady() bool { return c.isSynced && c.isListed && !c.isDraining }

// Stats returns the counters and the present values of the gauges.
func (c *Core) Stats() Stats {
	stats := c.counters
	stats.Waiting = len(c.waitingCalls)
	stats.InFlight = len(c.attempts)
	stats.Engines = len(c.engines)
	stats.Revision = c.tree.Revision()
	stats.IsSynced = c.isSynced
	for _, owned := range c.engines {
		if owned.schedulingEngine.Ready {
			stats.ReadyEngines++
		}
	}
	return stats
}

// SettingsTree returns the settings that this scheduler has applied. The caller must not modify
// them.
func (c *Core) SettingsTree() *settings.Tree { return c.tree }

// IsIdle reports whether no call is in progress, so that a draining process may exit. A draining
// scheduler is not idle until its draining state has had time to reach the sidecars, which would
// otherwise still send calls to it. If control has not listed that state within
// drainListingTimeoutMs, for example because it is unreachable, the scheduler does not wait longer.
func (c *Core) IsIdle() bool {
	if c.isDraining && !c.isDrainPropagated() {
		return false
	}
	return len(c.sinks) == 0 && len(c.attempts) == 0 && !c.hasBusyPrograms()
}

// isDrainPropagated reports whether the directory has listed this scheduler as draining for
// drainPropagationMs, or has not listed it as draining within drainListingTimeoutMs.
func (c *Core) isDrainPropagated() bool {
	if c.drainListedMs != 0 {
		return c.nowMs-c.drainListedMs >= drainPropagationMs
	}
	return c.nowMs-c.drainStartedMs >= drainListingTimeoutMs
}

func (c *Core) hasBusyPrograms() bool {
	return len(c.busyPrograms) > 0
}

// Drain refuses new calls. Calls in progress continue.
func (c *Core) Drain() {
	if c.isDraining {
		return
	}
	c.isDraining = true
	c.drainStartedMs = c.nowMs
	c.sendHeartbeat()
}

// Tick advances the core's clock and performs what is due at the new time.
func (c *Core) Tick(nowMs int64) {
	c.nowMs = nowMs
	c.syncWithControl()
	c.tickControl()
	c.tickPrograms()
	c.tickFollowers()
	c.tickEngines()
	c.tickLostEngines()
	c.tickDeadlines()
	c.dispatch()
}

// effectiveFields returns the effective settings of a path. They are computed once per revision.
func (c *Core) effectiveFields(path string) settings.Fields {
	if cached, ok := c.fieldsByPath[path]; ok {
		return cached
	}
	fields := c.tree.EffectiveFields(path)
	c.fieldsByPath[path] = fields
	return fields
}

// applyFeed applies an update of settings and directory from control. Invariant: the revision
// never decreases, unless DisableRevision is set; older settings are ignored.
func (c *Core) applyFeed(feed protocol.Feed) {
	previousRevision := c.tree.Revision()
	c.tree = feed.ApplyTo(c.tree, c.options.DisableRevision)
	if c.tree.Revision() != previousRevision {
		clear(c.fieldsByPath)
	}
	if feed.Groups > 0 {
		c.groups = feed.Groups
	}
	if c.roster.ApplyDelta(feed.Roster) {
		c.isListed = c.isListed || c.isAlive(c.options.Name, c.options.Incarnation)
		c.recordDrainListed()
	}
	root := c.effectiveFields("/")
	c.cell.Policy.AgeingMs = *root.AgeingMs
	c.cell.Policy.QueueLimit = int(*root.QueueLimit)
}

func (c *Core) groupOf(id string) uint32 {
	return program.GroupOf(id, c.groups)
}

func (c *Core) recordDrainListed() {
	listed, ok := c.roster.Find(c.options.Name)
	if ok && listed.Draining && c.drainListedMs == 0 {
		c.drainListedMs = c.nowMs
	}
}

// isAlive reports whether the directory lists a scheduler and no later incarnation of it.
func (c *Core) isAlive(name string, incarnation uint64) bool {
	peer, ok := c.roster.Find(name)
	return ok && peer.Incarnation <= incarnation
}

// poolTarget returns the target that the settings define for a pool's engines, or the zero Target
// if the pool has no model.
func (c *Core) poolTarget(pool string) reconcile.Target {
	fields := c.effectiveFields("/pools/" + pool)
	if fields.Model == nil {
		return reconcile.Target{}
	}
	return reconcile.Target{Model: *fields.Model, Adapter: *fields.Adapter, Version: *fields.Version, Role: *fields.Role}
}

func (c *Core) replyError(sink SinkID, failure *result.Error) {
	c.transport.Reply(sink, protocol.KindCallReply, &protocol.CallReply{Error: failure}, true)
}
