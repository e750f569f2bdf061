// Package control is the process that holds ochrebay's durable state: replicas
// of the settings group and of the program ledger groups (design sections 2, 4
// and 5). Core is its control state as a state machine without goroutine, clock
// or socket; Daemon runs it over TCP and a real disk, the simulator over virtual
// ones.
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

// RequestID names a request whose reply the shell will route.
type RequestID uint64

// Transport takes what the core sends. Its methods must not call back.
type Transport interface {
	Send(member string, kind protocol.Kind, message any)
	Reply(request RequestID, reply any)
}

// Storage is the disk as the core sees it. Write returns after the sync.
type Storage interface {
	Replica() consensus.ReplicaID
	Bootstrap() (consensus.Configuration, bool, error)
	SetBootstrap(configuration consensus.Configuration) error
	Write(writes []storage.GroupWrite) error
	Load(group storage.GroupID) (consensus.Restored, error)
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
	// Discovered says that Members are only the processes to ask first: more may
	// join, and members that are gone for good are replaced.
	Discovered bool
	// MayBootstrap says that this process may take part in making the first
	// configuration; without it, it waits to be let in.
	MayBootstrap bool
	// MinVoters is how many voters the settings group keeps, whoever is silent.
	MinVoters int
	// Fleet configures the leader's care for gateways, engines and ledger hosts.
	Fleet membership.FleetOptions
	// TickMs is the length of a consensus tick.
	TickMs         int64
	ElectionTicks  int
	HeartbeatTicks int
	QuiesceTicks   int
	// LeaseMs is how long a scheduler may be silent before it is taken over.
	LeaseMs int64
	// CompactEntries is how many applied entries a group keeps at most.
	CompactEntries uint64

	// The rest turn mechanisms off, for runs that show what they are for.
	DisablePreVote      bool
	DisableCheckQuorum  bool
	DisableReadConfirm  bool
	DisableFence        bool
	DisableBudget       bool
	DisableAtMostOnce   bool
	DisableVersionCheck bool
	DisableTurnOrder    bool
}

// DefaultOptions returns the timings of a fleet whose zones are a few
// milliseconds apart.
func DefaultOptions(name string, members []Member, ledgerGroups int) Options {
	return Options{
		Name: name, Members: members, LedgerGroups: ledgerGroups,
		TickMs: 50, ElectionTicks: 12, HeartbeatTicks: 2, QuiesceTicks: 40,
		LeaseMs: 3000, CompactEntries: 4096, MayBootstrap: true,
	}
}

const (
	// helloEveryMs is how often a process that is not let in yet introduces itself, and
	// candidateHellos how often it must have done so before the leader lets it in.
	helloEveryMs    = 200
	candidateHellos = 3
	// presenceEveryMs is how often processes tell each other that they are there, and
	// suspectAfterMs the silence, four of these, after which quiet groups wake.
	presenceEveryMs = 200
	suspectAfterMs  = 800
	// planEveryMs, sweepEveryMs and balanceEveryMs are how often the leader looks after
	// schedulers, idle programs and where groups are led.
	planEveryMs    = 200
	sweepEveryMs   = 2000
	balanceEveryMs = 3000
	// proposalWaitMs is how long a proposal may stay undecided: as long as the longest wait
	// of a caller (askTimeout).
	proposalWaitMs = 5000
	// maxAppendBytes and maxInflight bound what is on its way to one follower, bytes of one
	// message and messages.
	maxAppendBytes = 1 << 20
	maxInflight    = 64
	// compactBytes is how much of a group's log stays.
	compactBytes = 2 << 20
	// startTicks is the shortest election timeout of a replica that has known no leader since
	// its start.
	startTicks = 3
	// keptTables is how many routing tables are kept to tell followers the difference.
	keptTables = 4
	// pauseTicks is from how many ticks on a gap between two counts as a pause: well
	// below what gateways may be silent for, above what a busy loop is late by.
	pauseTicks = 4
)

// Core is the control state of one control process.
type Core struct {
	options Options
	storage Storage
	outlet  Transport
	nowMs   int64
	formed  bool
	host    *replication.Host
	system  *systemMachine

	startMs        int64
	lastTickMs     int64
	lastHelloMs    int64
	lastPresenceMs int64
	lastPlanMs     int64
	lastSweepMs    int64
	lastBalanceMs  int64
	heardMs        map[string]int64
	revisions      map[string]uint64
	// knowIncarnations are the other processes whose replicas know incarnations of engines.
	knowIncarnations map[string]bool
	unformed         map[string]consensus.ReplicaID
	candidates       map[string]*candidate

	tracker *membership.Tracker
	permits *reconcile.Permits
	syncs   []pendingSync
	// fleetTracker is the leader's soft state of the fleet, nil elsewhere.
	fleetTracker *membership.FleetTracker
	// loads is what gateways have said of engines to this leader, nil elsewhere.
	loads *scheduling.LoadAggregator
	// uses is what gateways have said of tenants to this leader, nil elsewhere.
	uses       *admission.UsageAggregator
	fleetSyncs []pendingFleetSync
	// reports are those of engines that the leader is told of in lists.
	reports engineReports
	// unproved are heartbeats that wait for the next round of confirmation; proving says
	// that one is under way.
	unproved []pendingFleetSync
	// fleetNewsVersion is the version of the fleet that heartbeats were last answered with for
	// its changes, since fleetNewsMs.
	fleetNewsVersion uint64
	fleetNewsMs      int64
	proving          bool
	fleetPlanning    bool
	// tables are the routing tables that were in force lately, the newest last.
	tables []*routing.Table
	// news are the latest answers to heartbeats, for those that ask for the same.
	news        newsCache
	lastFleetMs int64
	lastSizesMs int64
	planning    uint64
	draining    bool
	// leaderSeenMs is when the settings group was last known to have a leader.
	leaderSeenMs int64
	// leadingTerm is the term in which this process last led the settings group, and
	// leadingSinceMs when that began.
	leadingTerm    uint64
	leadingSinceMs int64
}

// candidate is a replica on a new disk that asks to be let in.
type candidate struct {
	replica consensus.ReplicaID
	hellos  int
	lastMs  int64
}

// NewCore returns the core as its disk describes it.
func NewCore(options Options, disk Storage, outlet Transport, nowMs int64) (*Core, error) {
	core := &Core{
		options: options, storage: disk, outlet: outlet, nowMs: nowMs, startMs: nowMs, lastTickMs: nowMs,
		heardMs: map[string]int64{}, revisions: map[string]uint64{}, knowIncarnations: map[string]bool{}, unformed: map[string]consensus.ReplicaID{},
		candidates: map[string]*candidate{}, reports: newEngineReports(),
	}
	core.host = replication.NewHost(hostOptions(options), disk, core.sendBatch)
	core.host.OnApplied = core.applied
	core.setNow(nowMs)
	for _, member := range options.Members {
		core.heardMs[member.Name] = nowMs
	}
	bootstrap, formed, err := disk.Bootstrap()
	if err != nil {
		return nil, err
	}
	if formed {
		return core, core.form(bootstrap)
	}
	return core, nil
}

func hostOptions(options Options) replication.Options {
	return replication.Options{
		Name: options.Name, StartTicks: startTicks, ElectionTicks: options.ElectionTicks, HeartbeatTicks: options.HeartbeatTicks,
		QuiesceTicks: options.QuiesceTicks, MaxAppendBytes: maxAppendBytes, MaxInflight: maxInflight,
		ProposalTimeoutMs: proposalWaitMs, CompactAfterEntries: options.CompactEntries, CompactAfterBytes: compactBytes,
		DisablePreVote: options.DisablePreVote, DisableCheckQuorum: options.DisableCheckQuorum,
		DisableReadConfirm: options.DisableReadConfirm,
	}
}

// setNow advances the clock that the core and its host share.
func (c *Core) setNow(nowMs int64) {
	c.nowMs = nowMs
	c.host.NowMs = nowMs
}

// form builds the groups; an empty bootstrap configuration makes a replica that
// waits to be let in.
func (c *Core) form(bootstrap consensus.Configuration) error {
	c.system = newSystemMachine(c.options)
	for id := 0; id <= c.options.LedgerGroups; id++ {
		var state replication.StateMachine = c.system
		if id > 0 {
			state = newLedgerMachine(c.options)
		}
		if _, err := c.host.AddGroup(storage.GroupID(id), state, bootstrap); err != nil {
			return err
		}
	}
	c.formed = true
	return nil
}

// Formed reports whether the process takes part in a cluster.
func (c *Core) Formed() bool { return c.formed }

// Leads reports whether this process leads a group.
func (c *Core) Leads(id storage.GroupID) bool {
	return c.formed && int(id) < len(c.host.Groups) && c.host.Groups[id].Node.Role() == consensus.Leader
}

// Ready reports whether every group has a leader that this process knows.
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

// Revision returns the settings revision in force here.
func (c *Core) Revision() uint64 {
	if !c.formed {
		return 0
	}
	return c.system.tree.Revision()
}

// Fleet returns the fleet for reading.
func (c *Core) Fleet() *membership.Fleet { return c.system.fleet }

// SettingsTree returns the settings tree for reading.
func (c *Core) SettingsTree() *settings.Tree { return c.system.tree }

// Directory returns the directory for reading.
func (c *Core) Directory() *membership.Directory { return c.system.directory }

// Ledger returns a ledger group's state for reading.
func (c *Core) Ledger(id storage.GroupID) *program.Ledger {
	return c.host.Groups[id].StateMachine.(*ledgerMachine).ledger
}

// SyncCount counts the writes that were synced since the start.
func (c *Core) SyncCount() uint64 { return c.host.SyncedWrites }

// GroupCount returns how many groups the process holds, the settings group included.
func (c *Core) GroupCount() int { return len(c.host.Groups) }

// Node returns a group's consensus replica for reading.
func (c *Core) Node(id storage.GroupID) *consensus.Node { return c.host.Groups[id].Node }

// leaderName returns the member that leads a group, "" where unknown.
func (c *Core) leaderName(group *replication.Group) string {
	replica, ok := group.Node.Configuration().Find(group.Node.Leader())
	if !ok {
		return ""
	}
	return replica.Member
}

// Tick advances the core's clock.
func (c *Core) Tick(nowMs int64) {
	c.setNow(nowMs)
	c.notePause(nowMs - c.lastTickMs)
	c.sendHellos()
	if !c.formed {
		return
	}
	// A process that was frozen ticks once, not once for each tick it missed:
	// it must hear what has happened before it acts on its timers.
	if nowMs-c.lastTickMs >= c.options.TickMs {
		c.lastTickMs = nowMs
		for _, group := range c.host.Groups {
			group.Node.Tick()
		}
	}
	c.checkPeers()
	c.noteLeader()
	c.followTerm()
	c.tickLeader()
	c.expireSyncs()
	c.expireFleetSyncs()
	c.host.ExpirePending()
}

// notePause takes a long time between ticks for a pause of this process, as when its
// machine is frozen or slow.
func (c *Core) notePause(sinceTickMs int64) {
	if sinceTickMs > pauseTicks*c.options.TickMs && c.fleetTracker != nil {
		c.fleetTracker.RecordPause(sinceTickMs)
	}
}

// checkPeers wakes quiet groups when a peer process falls silent: a group that
// has gone quiet relies on the process's presence messages.
func (c *Core) checkPeers() {
	if c.nowMs-c.lastPresenceMs >= presenceEveryMs {
		c.lastPresenceMs = c.nowMs
		c.reports.follow(c.leaderName(c.host.Groups[0]))
		for _, member := range c.memberNames() {
			if member != c.options.Name {
				c.outlet.Send(member, protocol.KindPeer, protocol.PeerBatch{
					From: c.options.Name, Revision: c.Revision(), Engines: c.engineList(member), Incarnations: true,
				})
			}
		}
	}
	for _, member := range c.memberNames() {
		if member == c.options.Name || c.silentMs(member) <= suspectAfterMs {
			continue
		}
		for _, group := range c.host.Groups {
			group.Node.Wake()
		}
		return
	}
}

// memberNames returns the control processes: the ones configured, or the ones of
// the settings group where members are discovered.
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

// silentMs returns how long another control process has not been heard.
func (c *Core) silentMs(member string) int64 {
	heard, ok := c.heardMs[member]
	if !ok {
		heard = c.startMs
	}
	return c.nowMs - heard
}

// HandlePeerBatch takes a batch of consensus messages from another control process.
func (c *Core) HandlePeerBatch(batch protocol.PeerBatch, nowMs int64) {
	c.setNow(nowMs)
	c.heardMs[batch.From] = nowMs
	c.revisions[batch.From] = batch.Revision
	c.knowIncarnations[batch.From] = batch.Incarnations
	if !c.formed {
		return
	}
	c.host.Step(batch)
	c.followTerm()
	c.takeEngineList(batch.From, batch.Engines)
}

// sendBatch is the host's way to another control process.
func (c *Core) sendBatch(member string, messages []protocol.PeerMessage) {
	c.outlet.Send(member, protocol.KindPeer, protocol.PeerBatch{
		From: c.options.Name, Revision: c.Revision(), Messages: messages, Incarnations: true,
	})
}

// Flush carries out what the groups have ready: sends, one synced write for all
// groups, and only then acknowledgements and replies.
func (c *Core) Flush() error {
	return c.host.ProcessReady()
}

// SetInstances takes the platform's list of engines.
func (c *Core) SetInstances(instances []membership.Instance) {
	if c.tracker != nil {
		c.tracker.SetInstances(instances)
	}
}

// Drain hands leadership over, as a planned stop begins.
func (c *Core) Drain() {
	c.draining = true
	for _, group := range c.host.Groups {
		c.handOver(group)
	}
}

// Drained reports whether this process leads nothing any more.
func (c *Core) Drained() bool {
	for _, group := range c.host.Groups {
		if group.Node.Role() == consensus.Leader {
			return false
		}
	}
	return true
}

func (c *Core) handOver(group *replication.Group) {
	if group.Node.Role() != consensus.Leader {
		return
	}
	for _, replica := range group.Node.Configuration().Replicas {
		alive := c.silentMs(replica.Member) < suspectAfterMs
		if replica.ID != group.Node.ID() && alive && group.Node.TransferLeadership(replica.ID) {
			return
		}
	}
}

// balance hands groups to the member whose turn it is by the group's number, so
// that no process leads them all.
func (c *Core) balance() {
	if c.nowMs-c.lastBalanceMs < balanceEveryMs {
		return
	}
	c.lastBalanceMs = c.nowMs
	for _, group := range c.host.Groups {
		if group.Node.Role() != consensus.Leader {
			continue
		}
		voters := group.Node.Configuration()
		var names []string
		ids := map[string]consensus.ReplicaID{}
		for _, replica := range voters.Replicas {
			if !replica.Learner {
				names = append(names, replica.Member)
				ids[replica.Member] = replica.ID
			}
		}
		slices.SortFunc(names, strings.Compare)
		preferred := names[int(group.ID)%len(names)]
		if preferred != c.options.Name && c.silentMs(preferred) < suspectAfterMs {
			group.Node.TransferLeadership(ids[preferred])
		}
	}
}
