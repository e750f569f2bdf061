// Package control implements the control process, which stores ochrebay's durable
// state: replicas of the settings group and of the program ledger groups (design
// sections 2, 4 and 5). Core is the control state as a state machine without
// goroutines, clock or sockets; Daemon runs it on TCP and a real disk, the
// simulator on virtual ones.
package control

import (
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/reconcile"
	"github.com/ochrebay/ochrebay/internal/replication"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/settings"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// RequestID identifies a request, so that the caller of the core can route the reply.
type RequestID uint64

// Transport sends the core's messages to other members and its replies to requesters.
// Its methods must not call back into the core.
type Transport interface {
	Send(member string, kind protocol.Kind, message any)
	Reply(request RequestID, reply any)
}

// Storage is the disk interface of the core. Write returns after the sync.
type Storage interface {
	Replica() consensus.ReplicaID
	Bootstrap() (consensus.Configuration, bool, error)
	SetBootstrap(configuration consensus.Configuration) error
	Write(writes []storage.GroupWrite) error
	Load(group storage.GroupID) (consensus.PersistedState, error)
	Records(group storage.GroupID, program string, after uint64) ([]storage.Record, error)
	RecordsAfter(group storage.GroupID, after storage.RecordKey, maxBytes int) ([]storage.Record, bool, error)
}

// Member is one control process of the cluster.
type Member struct {
	Name    string `yaml:"name" json:"name" validate:"required"`
	Zone    string `yaml:"zone" json:"zone" validate:"required"`
	Address string `yaml:"address" json:"address" validate:"required"`
}

// Options configure a Core.
type Options struct {
	Name         string
	Members      []Member
	LedgerGroups int
	// Discovered says that Members lists only the processes to contact first: others
	// may join, and members that are permanently gone are replaced.
	Discovered bool
	// MayBootstrap says that this process may take part in creating the first
	// configuration. Without it, the process waits until a cluster admits it.
	MayBootstrap bool
	// MinVoters is the number of voters that the settings group keeps even when
	// members are silent.
	MinVoters int
	// Fleet configures how the leader tracks gateways, engines and ledger hosts.
	Fleet membership.FleetOptions
	// TickMs is the interval between consensus ticks, in milliseconds.
	TickMs         int64
	ElectionTicks  int
	HeartbeatTicks int
	QuiesceTicks   int
	// LeaseMs is how long a scheduler may be silent before its engines are reassigned,
	// in milliseconds.
	LeaseMs int64
	// CompactAfterEntries is the number of applied entries since the last compaction after which a
	// group's log is compacted.
	CompactAfterEntries uint64

	// The remaining options each turn off one mechanism, for runs that demonstrate
	// which failures the mechanism prevents.
	DisablePreVote          bool
	DisableCheckQuorum      bool
	DisableReadConfirmation bool
	DisableFencing          bool
	DisableBudget           bool
	DisableAtMostOnce       bool
	DisableVersionCheck     bool
	DisableTurnOrder        bool
}

// DefaultOptions returns options with timings for a fleet whose zones are a few
// milliseconds apart.
func DefaultOptions(name string, members []Member, ledgerGroups int) Options {
	return Options{
		Name: name, Members: members, LedgerGroups: ledgerGroups,
		TickMs: 50, ElectionTicks: 12, HeartbeatTicks: 2, QuiesceTicks: 40,
		LeaseMs: 3000, CompactAfterEntries: 4096, MayBootstrap: true,
	}
}

const (
	// helloIntervalMs is how often a process that is not admitted yet sends hello messages,
	// and minCandidateHellos how many of them the leader must receive before it admits the
	// process.
	helloIntervalMs    = 200
	minCandidateHellos = 3
	// presenceIntervalMs is how often processes send each other presence messages, and
	// suspectTimeoutMs the silence, four of these intervals, after which quiescent groups
	// wake.
	presenceIntervalMs = 200
	suspectTimeoutMs   = 800
	// planIntervalMs, sweepIntervalMs and balanceIntervalMs are how often the leader checks
	// the schedulers, the idle programs and the distribution of group leaders.
	planIntervalMs    = 200
	sweepIntervalMs   = 2000
	balanceIntervalMs = 3000
	// proposalTimeoutMs is how long a proposal may stay undecided: as long as the longest
	// wait of a caller (requestTimeout).
	proposalTimeoutMs = 5000
	// maxAppendBytes and maxInflightAppends bound what is in flight to one follower: the
	// bytes of one message and the number of messages.
	maxAppendBytes     = 1 << 20
	maxInflightAppends = 64
	// compactBytes is the number of bytes of applied entries since the last compaction after
	// which a group's log is compacted.
	compactBytes = 2 << 20
	// startElectionTicks is the shortest election timeout of a replica that has known no
	// leader since its start, in ticks. It is shorter than the regular timeout, since such a
	// replica has no leader whose failure it would have to detect.
	startElectionTicks = 3
	// maxRecentTables is how many routing tables are kept to compute deltas for followers. A
	// follower that has an older table receives the whole table.
	maxRecentTables = 4
	// pauseThresholdTicks is the time between two ticks, in tick intervals, above which the
	// process counts as having been paused. It is well below the silence allowed to gateways
	// and above the delay of a busy event loop.
	pauseThresholdTicks = 4
)

// Core is the control state of one control process.
type Core struct {
	options   Options
	storage   Storage
	transport Transport
	nowMs     int64
	formed    bool
	host      *replication.Host
	system    *systemStateMachine

	startMs         int64
	lastTickMs      int64
	lastHelloMs     int64
	lastPresenceMs  int64
	lastPlanMs      int64
	lastSweepMs     int64
	lastBalanceMs   int64
	lastReceivedMs  map[string]int64
	memberRevisions map[string]uint64
	// supportsIncarnations holds, by member name, whether the replicas of another process
	// support engine incarnations.
	supportsIncarnations map[string]bool
	// supportsVersionSubsets holds, by member name, whether they advertise engines of every software
	// version.
	supportsVersionSubsets map[string]bool
	// supportsReplacement holds, by member name, whether they know joint configurations.
	supportsReplacement map[string]bool
	unformedReplicas    map[string]consensus.ReplicaID
	candidates          map[string]*candidate

	schedulerTracker *membership.Tracker
	permits          *reconcile.Permits
	pendingSyncs     []pendingSync
	// fleetTracker is the leader's soft state about the fleet, nil on other members.
	fleetTracker *membership.FleetTracker
	// loadAggregator aggregates what gateways have reported about engines to this leader, nil on
	// other members.
	loadAggregator *scheduling.LoadAggregator
	// usageAggregator aggregates what gateways have reported about tenants to this leader, nil on
	// other members.
	usageAggregator   *admission.UsageAggregator
	pendingFleetSyncs []pendingFleetSync
	// engineReports holds the engine reports that this process passes on to the leader in
	// batches.
	engineReports engineReports
	// unconfirmedFleetSyncs are heartbeats that wait for the next round in which a quorum
	// confirms this leader; confirmationInProgress says that a round is in progress.
	unconfirmedFleetSyncs []pendingFleetSync
	// notifiedFleetVersion is the fleet version at the start of the last round of answers to
	// held heartbeats, and fleetNotifiedMs the time of that start.
	notifiedFleetVersion   uint64
	fleetNotifiedMs        int64
	confirmationInProgress bool
	fleetUpdatePending     bool
	// recentTables are the routing tables that were in force recently, the newest last.
	recentTables []*routing.Table
	// deltas caches the content of recent heartbeat answers, for other senders with the same
	// version.
	deltas           deltaCache
	lastFleetPlanMs  int64
	lastSubsetPlanMs int64
	// pendingUpdateIndex is the log index of the directory update that is being committed, 0 for
	// none.
	pendingUpdateIndex uint64
	draining           bool
	// leaderSeenMs is when this process last knew a leader of the settings group.
	leaderSeenMs int64
	// leadingTerm is the term in which this process last led the settings group, and
	// leadingSinceMs when that leadership began.
	leadingTerm    uint64
	leadingSinceMs int64
}

// candidate is a replica that asks to be admitted to the groups: one on a new disk, or one that
// has known no leader for orphanTimeoutMs.
type candidate struct {
	replica     consensus.ReplicaID
	helloCount  int
	lastHelloMs int64
}

// NewCore returns a core with the state that its disk holds.
func NewCore(options Options, disk Storage, transport Transport, nowMs int64) (*Core, error) {
	core := &Core{
		options: options, storage: disk, transport: transport, nowMs: nowMs, startMs: nowMs, lastTickMs: nowMs,
		lastReceivedMs: map[string]int64{}, memberRevisions: map[string]uint64{}, supportsIncarnations: map[string]bool{}, supportsVersionSubsets: map[string]bool{}, supportsReplacement: map[string]bool{}, unformedReplicas: map[string]consensus.ReplicaID{},
		candidates: map[string]*candidate{}, engineReports: newEngineReports(),
	}
	core.host = replication.NewHost(hostOptions(options), disk, core.sendBatch)
	core.host.OnApplied = core.handleApplied
	core.setNow(nowMs)
	for _, member := range options.Members {
		core.lastReceivedMs[member.Name] = nowMs
	}
	bootstrap, formed, err := disk.Bootstrap()
	if err != nil {
		return nil, err
	}
	if formed {
		return core, core.createGroups(bootstrap)
	}
	return core, nil
}

func hostOptions(options Options) replication.Options {
	return replication.Options{
		Name: options.Name, InitialElectionTicks: startElectionTicks, ElectionTicks: options.ElectionTicks, HeartbeatTicks: options.HeartbeatTicks,
		QuiesceTicks: options.QuiesceTicks, MaxAppendBytes: maxAppendBytes, MaxInflight: maxInflightAppends,
		ProposalTimeoutMs: proposalTimeoutMs, CompactAfterEntries: options.CompactAfterEntries, CompactAfterBytes: compactBytes,
		DisablePreVote: options.DisablePreVote, DisableCheckQuorum: options.DisableCheckQuorum,
		DisableReadConfirmation: options.DisableReadConfirmation,
	}
}

// setNow advances the clock of the core and of its replication host.
func (c *Core) setNow(nowMs int64) {
	c.nowMs = nowMs
	c.host.NowMs = nowMs
}

// createGroups creates the replicas of all groups. With an empty bootstrap
// configuration they are not members of their groups until they are admitted.
func (c *Core) createGroups(bootstrap consensus.Configuration) error {
	c.system = newSystemStateMachine(c.options)
	for id := 0; id <= c.options.LedgerGroups; id++ {
		var stateMachine replication.StateMachine = c.system
		if id > 0 {
			stateMachine = newLedgerStateMachine(c.options)
		}
		if _, err := c.host.AddGroup(storage.GroupID(id), stateMachine, bootstrap); err != nil {
			return err
		}
	}
	c.formed = true
	return nil
}

// Formed reports whether the process has created its replicas, for the first
// configuration or to be admitted to an existing cluster.
func (c *Core) Formed() bool { return c.formed }

// IsLeader reports whether this process leads the group.
func (c *Core) IsLeader(id storage.GroupID) bool {
	return c.formed && int(id) < len(c.host.Groups) && c.host.Groups[id].Node.Role() == consensus.Leader
}

// Ready reports whether this process knows a leader of every group.
func (c *Core) Ready() bool {
	if !c.formed {
		return false
	}
	for _, group := range c.host.Groups {
		if group.Node.Leader() == consensus.None {
			return false
		}
	}
	return true
}

// SettingsRevision returns the settings revision that this process has applied, 0 before it has formed.
func (c *Core) SettingsRevision() uint64 {
	if !c.formed {
		return 0
	}
	return c.system.tree.Revision()
}

// Fleet returns the fleet; callers must not change it. The process must have formed.
func (c *Core) Fleet() *membership.Fleet { return c.system.fleet }

// SettingsTree returns the settings tree; callers must not change it. The process must have formed.
func (c *Core) SettingsTree() *settings.Tree { return c.system.tree }

// Directory returns the directory of schedulers and their engines; callers must not change it. The
// process must have formed.
func (c *Core) Directory() *membership.Directory { return c.system.directory }

// Ledger returns the state of a ledger group; callers must not change it.
func (c *Core) Ledger(id storage.GroupID) *program.Ledger {
	return c.host.Groups[id].StateMachine.(*ledgerStateMachine).ledger
}

// SyncCount returns the number of writes synced to disk since the process started.
func (c *Core) SyncCount() uint64 { return c.host.SyncedWrites }

// GroupCount returns the number of groups of which the process holds a replica, including
// the settings group.
func (c *Core) GroupCount() int { return len(c.host.Groups) }

// Node returns the consensus replica of a group; callers must not change it.
func (c *Core) Node(id storage.GroupID) *consensus.Node { return c.host.Groups[id].Node }

// leaderName returns the member that leads a group, "" if it is unknown.
func (c *Core) leaderName(group *replication.Group) string {
	replica, ok := group.Node.Configuration().Find(group.Node.Leader())
	if !ok {
		return ""
	}
	return replica.Member
}

// Tick advances the core's clock and runs the timers that are due.
func (c *Core) Tick(nowMs int64) {
	c.setNow(nowMs)
	c.detectPause(nowMs - c.lastTickMs)
	c.sendHellos()
	if !c.formed {
		return
	}
	// A process that was frozen ticks once, not once for each tick it missed: it
	// must receive the messages sent meanwhile before its consensus timers expire.
	if nowMs-c.lastTickMs >= c.options.TickMs {
		c.lastTickMs = nowMs
		for _, group := range c.host.Groups {
			group.Node.Tick()
		}
	}
	c.trackMembers()
	c.checkPeers()
	c.recordLeader()
	c.updateLeaderState()
	c.tickLeader()
	c.expireSyncs()
	c.expireFleetSyncs()
	c.host.ExpirePending()
}

// detectPause treats a long time between ticks as a pause of this process, as when its
// machine is frozen or slow, so that it does not count as silence of other processes.
func (c *Core) detectPause(sinceTickMs int64) {
	thresholdMs := pauseThresholdTicks * c.options.TickMs
	if !c.formed || sinceTickMs <= thresholdMs {
		return
	}
	c.discountPause(sinceTickMs - thresholdMs)
	if c.fleetTracker != nil {
		c.fleetTracker.RecordPause(sinceTickMs)
	}
}

// checkPeers sends presence messages when they are due, and wakes quiescent groups
// when a peer process falls silent: a quiescent group sends no heartbeats of its own
// and relies on the presence messages.
func (c *Core) checkPeers() {
	if c.nowMs-c.lastPresenceMs >= presenceIntervalMs {
		c.lastPresenceMs = c.nowMs
		c.engineReports.setLeader(c.leaderName(c.host.Groups[0]))
		for _, member := range c.memberNames() {
			if member != c.options.Name {
				c.transport.Send(member, protocol.KindPeer, protocol.PeerBatch{
					From: c.options.Name, Revision: c.SettingsRevision(), EngineLiveness: c.engineLiveness(member), SupportsIncarnations: true, SupportsVersionSubsets: true, SupportsReplacement: true,
				})
			}
		}
	}
	for _, member := range c.memberNames() {
		if member == c.options.Name || c.silenceMs(member) <= suspectTimeoutMs {
			continue
		}
		for _, group := range c.host.Groups {
			group.Node.Wake()
		}
		return
	}
}

// memberNames returns the names of the control processes: the configured ones, or the
// replicas of the settings group if members are discovered.
func (c *Core) memberNames() []string {
	var names []string
	if !c.options.Discovered {
		for _, member := range c.options.Members {
			names = append(names, member.Name)
		}
		return names
	}
	for _, replica := range c.host.Groups[0].Node.Configuration().Replicas {
		names = append(names, replica.Member)
	}
	return names
}

// silenceMs returns the time since the last message from another control process,
// counted from this process's start if none has come.
func (c *Core) silenceMs(member string) int64 {
	lastMs, ok := c.lastReceivedMs[member]
	if !ok {
		lastMs = c.startMs
	}
	return c.nowMs - lastMs
}

// HandlePeerBatch handles a batch of consensus messages or a presence message, which is a batch
// without any, from another control process.
func (c *Core) HandlePeerBatch(batch protocol.PeerBatch, nowMs int64) {
	c.setNow(nowMs)
	c.lastReceivedMs[batch.From] = nowMs
	c.memberRevisions[batch.From] = batch.Revision
	c.supportsIncarnations[batch.From] = batch.SupportsIncarnations
	c.supportsVersionSubsets[batch.From] = batch.SupportsVersionSubsets
	c.supportsReplacement[batch.From] = batch.SupportsReplacement
	if !c.formed {
		return
	}
	c.host.Step(batch)
	c.updateLeaderState()
	c.handleEngineLiveness(batch.From, batch.EngineLiveness)
}

// sendBatch sends the replication host's messages to another control process.
func (c *Core) sendBatch(member string, messages []protocol.PeerMessage) {
	c.transport.Send(member, protocol.KindPeer, protocol.PeerBatch{
		From: c.options.Name, Revision: c.SettingsRevision(), Messages: messages, SupportsIncarnations: true, SupportsVersionSubsets: true, SupportsReplacement: true,
	})
}

// Flush performs the pending output of the groups: sends, one synced write for all
// groups, and only then acknowledgements and replies.
func (c *Core) Flush() error {
	return c.host.ProcessReady()
}

// SetInstances sets the platform's list of instances that run engines.
func (c *Core) SetInstances(instances []membership.Instance) {
	if c.schedulerTracker != nil {
		c.schedulerTracker.SetInstances(instances)
	}
}

// Drain begins a planned stop: the process starts to transfer the leadership of its groups and
// continues to do so at each tick.
func (c *Core) Drain() {
	c.draining = true
	for _, group := range c.host.Groups {
		c.transferLeadership(group)
	}
}

// Drained reports whether this process leads no group.
func (c *Core) Drained() bool {
	for _, group := range c.host.Groups {
		if group.Node.Role() == consensus.Leader {
			return false
		}
	}
	return true
}

func (c *Core) transferLeadership(group *replication.Group) {
	if group.Node.Role() != consensus.Leader {
		return
	}
	for _, replica := range group.Node.Configuration().Replicas {
		alive := c.silenceMs(replica.Member) < suspectTimeoutMs
		if replica.ID != group.Node.ID() && alive && group.Node.TransferLeadership(replica.ID) {
			return
		}
	}
}

// balanceLeaders transfers the leadership of the groups that this process leads so that the
// leaders spread over the processes: the group's number selects a voter from the sorted member
// names, and that voter becomes the leader unless it is silent.
func (c *Core) balanceLeaders() {
	if c.nowMs-c.lastBalanceMs < balanceIntervalMs {
		return
	}
	c.lastBalanceMs = c.nowMs
	for _, group := range c.host.Groups {
		if group.Node.Role() != consensus.Leader {
			continue
		}
		configuration := group.Node.Configuration()
		var names []string
		ids := map[string]consensus.ReplicaID{}
		for _, replica := range configuration.Replicas {
			if !replica.IsLearner {
				names = append(names, replica.Member)
				ids[replica.Member] = replica.ID
			}
		}
		slices.SortFunc(names, strings.Compare)
		preferred := names[int(group.ID)%len(names)]
		if preferred != c.options.Name && c.silenceMs(preferred) < suspectTimeoutMs {
			group.Node.TransferLeadership(ids[preferred])
		}
	}
}
