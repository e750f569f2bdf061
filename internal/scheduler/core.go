// Package scheduler is the process that owns a cell of engines under a lease and
// decides which of them runs each call (design sections 3, 4 and 8). It holds
// nothing that must survive: the ledger judges order, budget and at-most-once.
// Core is its control state without goroutine, clock or socket; Daemon runs it
// over TCP and HTTP, the simulator over virtual ones.
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

// SinkID names the place to which a call's answer goes: one call of one sidecar.
type SinkID uint64

// ControlID names a request to a control process.
type ControlID uint64

// AttemptID names one run of a call on an engine.
type AttemptID uint64

// EngineAttempt is what an engine is asked to do.
type EngineAttempt struct {
	ID      AttemptID
	Engine  membership.Engine
	Request engine.CompletionRequest
}

// Transport takes what the core sends. Its methods must not call back.
type Transport interface {
	// SendControlRequest sends a request to a control process; the answer, or its absence,
	// comes back as ControlReply.
	SendControlRequest(member string, id ControlID, kind protocol.Kind, request any)
	// Reply sends a message to a sidecar.
	Reply(sink SinkID, kind protocol.Kind, message any, last bool)
	// StartAttempt runs a call; pieces and the outcome come back as Piece and Ended.
	StartAttempt(run EngineAttempt)
	// StopAttempt closes a run's stream; no outcome is needed.
	StopAttempt(attempt AttemptID)
	// SendOrder gives an engine a fenced order, Release tells it to drop programs.
	SendOrder(target membership.Engine, order engine.Order)
	ReleasePrograms(target membership.Engine, programs []string)
}

// Options configure a Core.
type Options struct {
	Name    string
	Zone    string
	Address string
	// Incarnation identifies the process; it differs at each start.
	Incarnation uint64
	// ControlMembers are the control processes, one's own zone first.
	ControlMembers []string
	// SyncLongPollMs is how long control may hold a heartbeat that brings no news.
	SyncLongPollMs int64
	// HistoryCacheBytes bounds the histories kept in memory.
	HistoryCacheBytes int64
	Policy            scheduling.Policy

	// The rest turn mechanisms off, for runs that show what they are for.
	DisableTurnOrder    bool
	DisableAudit        bool
	DisableLeavingClose bool
	DisableRevision     bool
	DisableAtMostOnce   bool
}

// DefaultOptions returns the timings in use.
func DefaultOptions(name, zone, address string, start uint64, members []string) Options {
	return Options{
		Name: name, Zone: zone, Address: address, Incarnation: start, ControlMembers: members,
		SyncLongPollMs: 1000, HistoryCacheBytes: 64 << 20, Policy: scheduling.DefaultPolicy(),
	}
}

// An owner asks each engine for its state every StatePollMs, and every HeldEvery
// times for the list of programs that it holds, which is most of the bytes.
const (
	StatePollIntervalMs      = 500
	CachedProgramsEveryPolls = 12
)

const (
	controlTimeoutMs = 3000
	controlPauseMs   = 100
	openTurnPauseMs  = 150
	auditEveryMs     = 2000
	reconcileEveryMs = 250
	engineSilenceMs  = 3000
	// engineLostMs is how long an engine may be silent before its runs are given
	// up: a machine that lost its power closes no connection.
	engineLostMs      = 6000
	followSilenceMs   = 5000
	maxLagging        = 8
	commitPatienceMs  = 60_000
	programIdleMs     = 600_000
	forgetEveryMs     = 5000
	expectedOutputMin = 16
	// noEngineGraceMs is how long calls wait for an engine to come back before
	// they are sent to another cell.
	noEngineGraceMs = 1500
	// drainSettleMs is how long sidecars get to hear that this scheduler drains,
	// and drainPatienceMs how long control gets to list it so.
	drainSettleMs   = 500
	drainPatienceMs = 5000
)

// Core is the control state of one scheduler.
type Core struct {
	options Options
	outlet  Transport
	nowMs   int64

	tree      *settings.Tree
	effective map[string]settings.Fields
	roster    *membership.Roster
	groups    uint32
	engines   map[string]*ownedEngine
	// readyMs is when the cell last had an open engine of a pool.
	readyMs map[string]int64
	cell    scheduling.CellScheduler
	tenants *scheduling.TenantLimiter

	programs map[string]*localProgram
	// busy are the programs with a call under way.
	busy         map[string]*localProgram
	cacheBytes   int64
	lastForgetMs int64
	waiting      map[uint64]*call
	attempts     map[AttemptID]*call
	sinks        map[SinkID]*call
	nextCall     uint64
	// nonceBase differs between schedulers, and between starts of one.
	nonceBase   uint64
	nextAttempt AttemptID

	control     map[ControlID]*controlRequest
	nextControl ControlID
	leaders     map[uint32]string
	memberTurn  int

	follows map[string]*follower
	synced  bool
	// listed is set once the directory names this start of the process: before
	// that, others would take its turns for those of a lost one.
	listed  bool
	syncing bool
	// reportedRevision is the last revision that all sidecars were reported at.
	reportedRevision uint64
	draining         bool
	// drainMs is when draining began, and drainListedMs when the directory first
	// showed it.
	drainMs       int64
	drainListedMs int64
	lastAuditMs   int64
	lastPlanMs    int64

	// Counters are read through Stats.
	counters Stats
}

// Stats counts what the scheduler did; the gauges are of now.
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

// ownedEngine is one engine of the cell.
type ownedEngine struct {
	info     membership.Engine
	state    engine.State
	heardMs  int64
	known    bool
	schedule *scheduling.Engine
	// permit and draining are reconcile's progress.
	permit        bool
	permitPending bool
	draining      bool
	orderedAtMs   int64
}

// follower is a sidecar that follows the tree through this scheduler.
type follower struct {
	revision  uint64
	heardMs   int64
	sink      SinkID
	request   *protocol.FollowRequest
	untilMs   int64
	isWaiting bool
}

// NewCore returns a scheduler that knows nothing yet.
func NewCore(options Options, outlet Transport, nowMs int64) *Core {
	return &Core{
		options: options, outlet: outlet, nowMs: nowMs,
		tree: settings.NewTree(), roster: membership.NewRoster(), effective: map[string]settings.Fields{},
		engines: map[string]*ownedEngine{}, readyMs: map[string]int64{}, tenants: scheduling.NewTenantLimiter(),
		cell:     scheduling.CellScheduler{Policy: options.Policy},
		programs: map[string]*localProgram{}, busy: map[string]*localProgram{}, waiting: map[uint64]*call{}, attempts: map[AttemptID]*call{},
		sinks: map[SinkID]*call{}, control: map[ControlID]*controlRequest{}, leaders: map[uint32]string{},
		follows: map[string]*follower{}, nonceBase: xxhash.Sum64String(fmt.Sprint(options.Name, options.Incarnation)),
	}
}

// IsReady reports whether the scheduler knows the settings and may take calls.
func (c *Core) IsReady() bool { return c.synced && c.listed && !c.draining }

// Stats returns counters and gauges.
func (c *Core) Stats() Stats {
	stats := c.counters
	stats.Waiting = len(c.waiting)
	stats.InFlight = len(c.attempts)
	stats.Engines = len(c.engines)
	stats.Revision = c.tree.Revision()
	stats.IsSynced = c.synced
	for _, owned := range c.engines {
		if owned.schedule.Ready {
			stats.ReadyEngines++
		}
	}
	return stats
}

// SettingsTree returns the settings in force here, for reading.
func (c *Core) SettingsTree() *settings.Tree { return c.tree }

// IsIdle reports whether no call is under way, so that a process that drains may
// end. Invariant: it doesn't end while sidecars may still believe that it takes
// calls, unless control can't be reached to tell them.
func (c *Core) IsIdle() bool {
	if c.draining && !c.drainKnown() {
		return false
	}
	return len(c.sinks) == 0 && len(c.attempts) == 0 && !c.committing()
}

// drainKnown reports whether the directory has listed this scheduler as draining
// for long enough to have reached the sidecars.
func (c *Core) drainKnown() bool {
	if c.drainListedMs != 0 {
		return c.nowMs-c.drainListedMs >= drainSettleMs
	}
	return c.nowMs-c.drainMs >= drainPatienceMs
}

func (c *Core) committing() bool {
	return len(c.busy) > 0
}

// Drain stops taking calls; those under way go on to their end.
func (c *Core) Drain() {
	if c.draining {
		return
	}
	c.draining = true
	c.drainMs = c.nowMs
	c.reportNow()
}

// Tick advances the core's clock.
func (c *Core) Tick(nowMs int64) {
	c.nowMs = nowMs
	c.heartbeat()
	c.tickControl()
	c.tickPrograms()
	c.tickFollows()
	c.tickEngines()
	c.tickSilent()
	c.tickDeadlines()
	c.dispatch()
}

// fields returns the effective settings of a path, computed once a revision.
func (c *Core) fields(path string) settings.Fields {
	if known, ok := c.effective[path]; ok {
		return known
	}
	fields := c.tree.EffectiveFields(path)
	c.effective[path] = fields
	return fields
}

// applyFeed takes news from control. Invariant: the revision only grows; what is
// older than the revision in force is dropped.
func (c *Core) applyFeed(feed protocol.Feed) {
	before := c.tree.Revision()
	c.tree = feed.ApplyTo(c.tree, c.options.DisableRevision)
	if c.tree.Revision() != before {
		clear(c.effective)
	}
	if feed.Groups > 0 {
		c.groups = feed.Groups
	}
	if c.roster.ApplyDelta(feed.Roster) {
		c.listed = c.listed || c.alive(c.options.Name, c.options.Incarnation)
		c.noteDrainListed()
	}
	root := c.fields("/")
	c.cell.Policy.AgeingMs = *root.AgeingMs
	c.cell.Policy.QueueLimit = int(*root.QueueLimit)
}

func (c *Core) groupOf(id string) uint32 {
	return program.GroupOf(id, c.groups)
}

func (c *Core) noteDrainListed() {
	own, ok := c.roster.Find(c.options.Name)
	if ok && own.Draining && c.drainListedMs == 0 {
		c.drainListedMs = c.nowMs
	}
}

// alive reports whether the directory lists a scheduler and no later start of it.
func (c *Core) alive(name string, start uint64) bool {
	peer, ok := c.roster.Find(name)
	return ok && peer.Incarnation <= start
}

// target returns what the settings ask of a pool's engines.
func (c *Core) target(pool string) reconcile.Target {
	fields := c.fields("/pools/" + pool)
	if fields.Model == nil {
		return reconcile.Target{}
	}
	return reconcile.Target{Model: *fields.Model, Adapter: *fields.Adapter, Version: *fields.Version, Role: *fields.Role}
}

func (c *Core) finish(sink SinkID, failure *result.Error) {
	c.outlet.Reply(sink, protocol.KindCallReply, &protocol.CallReply{Error: failure}, true)
}
