// Package ledger implements the ledger host, a process that runs on a dedicated machine and stores
// the turns of programs. It holds replicas of ledger groups. The leader of the settings group places
// each group on several hosts. Core is the state of a host without goroutines, clocks or sockets;
// Daemon runs a Core over TCP and a real disk.
package ledger

import (
	"bytes"
	"errors"
	"slices"
	"sync/atomic"

	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/replication"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// RequestID identifies a request, so that the daemon can route its reply.
type RequestID uint64

// Storage is the disk interface of a Core.
type Storage interface {
	replication.Storage
	// PutMetadata stores a small value under a name.
	PutMetadata(name string, value []byte) error
	// GetMetadata returns the value stored under a name, or nil if there is none.
	GetMetadata(name string) ([]byte, error)
}

// placementMetadataKey is the metadata name of the latest placement that this host received.
const placementMetadataKey = "placement"

// Transport sends the messages and replies of a Core. Its methods must not call the core.
type Transport interface {
	// Send sends consensus messages to another ledger host.
	Send(member string, batch protocol.PeerBatch)
	// Reply sends the reply to a request. The reply may share memory with the core's state.
	Reply(request RequestID, reply *protocol.TurnReply)
}

// Options configure a Core. Times are in milliseconds.
type Options struct {
	// Member is the address of this process for other processes of the fleet. It is also the
	// member name in group configurations.
	Member string
	Name   string
	Zone   string
	TickMs int64
	// Replication holds the timings and limits of the groups.
	Replication replication.Options
	// QuotaWindowMs is the length of the window in which a tenant's requests are counted
	// (config.Limits).
	QuotaWindowMs int64
	// QuotaTolerance bounds the requests of programs in progress beyond a limit (config.Limits).
	QuotaTolerance quota.Tolerance
	// DisableBudget turns the check of token budgets off, for test runs that show which
	// failures the check prevents.
	DisableBudget bool
}

const (
	// defaultTickMs is the interval between consensus ticks. It covers several round trips
	// between zones (1 to 3 ms) and syncs (1 ms), so that the responses to the messages of one
	// tick have arrived before the next tick.
	defaultTickMs = 50
	// electionTicks is the minimum election timeout, 300 ms. A leader sends a heartbeat every
	// heartbeatTicks and is not replaced after two missed heartbeats. initialElectionTicks is
	// the minimum election timeout of a replica that has had no leader since it started.
	electionTicks        = 6
	initialElectionTicks = 3
	heartbeatTicks       = 2
	// maxAppendBytes bounds the size of one append message, and maxInflight the number of
	// append messages in flight to one follower. On a link of 47 Mbit/s a heartbeat is delayed
	// by 0.02 s behind one message of this size, against an election timeout of 0.3 s. A message
	// of 1 MiB would delay it for most of the election timeout.
	maxAppendBytes = 128 << 10
	maxInflight    = 64
	// proposalTimeoutMs is longer than a gateway waits for one reply (0.45 s).
	proposalTimeoutMs = 3000
	// compactAfterEntries and compactAfterBytes are the numbers of applied entries and bytes
	// after which the log is compacted, which bounds its size. The part that a compaction
	// retains is large enough that a host needs no snapshot after a short outage.
	compactAfterEntries = 2000
	compactAfterBytes   = 2 << 20
	// reconcileIntervalMs is the interval at which the groups are compared with their placement,
	// and sweepIntervalMs the interval at which expired turns are removed.
	reconcileIntervalMs = 100
	sweepIntervalMs     = 1000
	// removeOrphanAfterMs is how long a replica that is not part of the placement has no leader
	// before it asks whether it was removed: the change that removes it may still be in progress.
	removeOrphanAfterMs = 5000
	// maxLearnerLagEntries is how many entries a learner may lag behind when it becomes a voter.
	maxLearnerLagEntries = 8
	// balanceMinLeadMs is how long a host leads a group before it may transfer the leadership to
	// balance the load. balanceIntervalMs is the minimum time between two such transfers.
	balanceMinLeadMs  = 5000
	balanceIntervalMs = 1000
)

// DefaultOptions returns options for a fleet whose zones are a few milliseconds apart.
func DefaultOptions(member, name, zone string) Options {
	return Options{
		Member: member, Name: name, Zone: zone, TickMs: defaultTickMs,
		Replication: replication.Options{
			Name: member, InitialElectionTicks: initialElectionTicks, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
			MaxAppendBytes: maxAppendBytes, MaxInflight: maxInflight, ProposalTimeoutMs: proposalTimeoutMs,
			CompactAfterEntries: compactAfterEntries, CompactAfterBytes: compactAfterBytes,
		},
	}
}

// Core is the state of one ledger host.
type Core struct {
	options   Options
	storage   Storage
	transport Transport
	host      *replication.Host
	nowMs     int64
	fleetView *membership.FleetView

	lastTickMs      int64
	lastReconcileMs int64
	lastSweepMs     int64
	// leaderlessSinceMs is the time since which a hosted group that is not placed here has had
	// no known leader.
	leaderlessSinceMs map[storage.GroupID]int64
	// lastMembershipQueryMs is the time of the last question about a replica of such a group.
	lastMembershipQueryMs map[storage.GroupID]int64
	// isDiskChecked holds the groups for which it is known whether the disk held a replica at the start.
	isDiskChecked map[storage.GroupID]bool
	// preferredLeader holds the member that should lead each group.
	preferredLeader map[uint32]string
	// ledSinceMs is the time since which this host has led a group, and lastBalanceMs the time
	// of its latest leadership transfer for load balancing.
	ledSinceMs    map[storage.GroupID]int64
	lastBalanceMs int64
	// deferredCommands holds the commands that wait for the next proposal in their group.
	deferredCommands map[storage.GroupID][]deferredCommand
	// supportsClaims holds, by member, whether its latest messages said that it records claims together
	// with turns.
	supportsClaims map[string]bool
	// supportsReplacement holds, by member, whether its latest messages said that its replicas know joint
	// configurations.
	supportsReplacement map[string]bool
	// supportsHolds holds, by member, whether its latest messages said that its replicas retain the chains
	// of open turns. Members that have sent no message since this process started are absent.
	supportsHolds map[string]bool
	// quotaOwners grant the requests of the tenants that belong to the groups led here.
	quotaOwners map[storage.GroupID]*quotaOwner
	// programKinds holds the learned statistics of the kinds of tenants' programs, over all
	// groups led here.
	programKinds *admission.ProgramKinds
	draining     bool

	grantedRequests atomic.Int64
	deniedRequests  atomic.Int64

	// deferredErr is a disk error that occurred outside Flush, which returns it.
	deferredErr error
	// encodedPlacement is the placement as it was last written to disk.
	encodedPlacement []byte
}

// NewCore returns a core that hosts no groups until Restore or ApplyView.
func NewCore(options Options, store Storage, transport Transport, nowMs int64) *Core {
	core := &Core{
		options: options, storage: store, transport: transport, nowMs: nowMs, lastTickMs: nowMs,
		leaderlessSinceMs: map[storage.GroupID]int64{}, lastMembershipQueryMs: map[storage.GroupID]int64{}, isDiskChecked: map[storage.GroupID]bool{}, deferredCommands: map[storage.GroupID][]deferredCommand{}, supportsClaims: map[string]bool{}, supportsReplacement: map[string]bool{}, supportsHolds: map[string]bool{}, ledSinceMs: map[storage.GroupID]int64{},
		quotaOwners: map[storage.GroupID]*quotaOwner{}, programKinds: admission.NewProgramKinds(),
	}
	core.host = replication.NewHost(options.Replication, store, func(member string, messages []protocol.PeerMessage) {
		transport.Send(member, core.newBatch(protocol.PeerBatch{Messages: messages}))
	})
	core.setNow(nowMs)
	return core
}

// newBatch completes a batch to another host with its sender and with what the replicas here support.
func (c *Core) newBatch(batch protocol.PeerBatch) protocol.PeerBatch {
	batch.From = c.options.Member
	batch.SupportsClaims = true
	batch.SupportsReplacement = true
	batch.SupportsHolds = true
	return batch
}

// setNow sets the clock of the core and of its replicas.
func (c *Core) setNow(nowMs int64) {
	c.nowMs = nowMs
	c.host.NowMs = nowMs
}

// Host returns the replicas, for inspection.
func (c *Core) Host() *replication.Host { return c.host }

// StateMachine returns the state machine of a group, for inspection, or nil if the group is not
// hosted here.
func (c *Core) StateMachine(id storage.GroupID) *stateMachine {
	group := c.host.FindGroup(id)
	if group == nil {
		return nil
	}
	return group.StateMachine.(*stateMachine)
}

// savedPlacement is the part of a fleet view that a host needs to serve its groups while control
// is unavailable.
type savedPlacement struct {
	Ledgers []membership.LedgerHost `msgpack:"l"`
	Groups  []membership.Placement  `msgpack:"g"`
}

// newSavedPlacement extracts the placement from a view, in a fixed order, so that equal placements
// have equal encodings.
func newSavedPlacement(view *membership.FleetView) savedPlacement {
	var saved savedPlacement
	for _, member := range replication.SortedKeys(view.Ledgers) {
		saved.Ledgers = append(saved.Ledgers, view.Ledgers[member])
	}
	for _, group := range replication.SortedKeys(view.Groups) {
		saved.Groups = append(saved.Groups, view.Groups[group])
	}
	return saved
}

// Restore hosts the groups of the placement on disk, so that a fleet that restarts as a whole does
// not have to wait for control.
func (c *Core) Restore(nowMs int64) error {
	raw, err := c.storage.GetMetadata(placementMetadataKey)
	if err != nil || raw == nil {
		return err
	}
	var saved savedPlacement
	if err := protocol.Decode(raw, &saved); err != nil {
		return err
	}
	c.encodedPlacement = raw
	var view *membership.FleetView
	view, _ = view.ApplyDelta(membership.FleetDelta{IsFull: true, Ledgers: saved.Ledgers, Groups: saved.Groups})
	return c.hostPlacedGroups(view, nowMs)
}

// ApplyView applies a new view of the fleet: it saves the placement if it changed and hosts the
// groups that are placed here.
func (c *Core) ApplyView(view *membership.FleetView, nowMs int64) error {
	saved := newSavedPlacement(view)
	raw, err := protocol.Encode(&saved)
	if err != nil {
		return err
	}
	if !bytes.Equal(raw, c.encodedPlacement) {
		if err := c.storage.PutMetadata(placementMetadataKey, raw); err != nil {
			return err
		}
		c.encodedPlacement = raw
	}
	return c.hostPlacedGroups(view, nowMs)
}

// hostPlacedGroups hosts the groups that a view places on this host.
func (c *Core) hostPlacedGroups(view *membership.FleetView, nowMs int64) error {
	c.setNow(nowMs)
	c.fleetView = view
	c.preferredLeader = preferredLeaders(view)
	for _, group := range replication.SortedKeys(view.Groups) {
		if err := c.hostIfPlaced(view.Groups[group]); err != nil {
			return err
		}
	}
	return nil
}

// hostIfPlaced starts a replica of a group that is not hosted yet if the group is placed here or the disk holds a
// replica that the group has not removed: the group may need its vote to move to its placement.
func (c *Core) hostIfPlaced(placement membership.Placement) error {
	id := storage.GroupID(placement.Group)
	if c.host.FindGroup(id) != nil {
		return nil
	}
	if isPlacedAt(placement, c.options.Member) {
		if err := c.recordReturn(id); err != nil {
			return err
		}
	} else if holdsReplica, err := c.holdsReplica(id); err != nil || !holdsReplica {
		return err
	}
	// Invariant: a replica that is not part of the initial configuration does not vote before
	// the group adds it. Until then, its disk has cast no votes and acknowledged no entries.
	bootstrap := consensus.Configuration{}
	if _, isInitialMember := placement.Initial.Find(c.storage.Replica()); isInitialMember {
		bootstrap = placement.Initial
	}
	_, err := c.host.AddGroup(id, newStateMachine(c.options), bootstrap)
	return err
}

// HandlePeerBatch processes a batch of consensus messages from another ledger host.
func (c *Core) HandlePeerBatch(batch protocol.PeerBatch, nowMs int64) {
	c.setNow(nowMs)
	c.supportsClaims[batch.From] = batch.SupportsClaims
	c.supportsReplacement[batch.From] = batch.SupportsReplacement
	c.supportsHolds[batch.From] = batch.SupportsHolds
	c.host.Step(batch)
	c.handleMembershipQueries(batch.From, batch.MembershipQueries)
	c.deferredErr = errors.Join(c.deferredErr, c.handleRemovedReplicas(batch.RemovedReplicas))
}

// Flush does the pending work of the groups: sends, writes and applies.
func (c *Core) Flush() error { return errors.Join(c.deferredErr, c.host.ProcessReady()) }

// Tick advances the core's clock and runs the periodic work that is due.
func (c *Core) Tick(nowMs int64) {
	c.setNow(nowMs)
	if nowMs-c.lastTickMs >= c.options.TickMs {
		c.lastTickMs = nowMs
		c.tickQuotas()
		for _, group := range c.host.Groups {
			c.proposeDeferred(group)
			group.Node.Tick()
		}
	}
	if nowMs-c.lastReconcileMs >= reconcileIntervalMs {
		c.lastReconcileMs = nowMs
		c.reconcile()
	}
	if nowMs-c.lastSweepMs >= sweepIntervalMs {
		c.lastSweepMs = nowMs
		c.proposeSweeps()
	}
	c.host.ExpirePending()
}

// Report returns the host's report to control: its identity and the groups that it leads.
func (c *Core) Report() membership.LedgerReport {
	report := membership.LedgerReport{Host: membership.LedgerHost{
		Member: c.options.Member, Name: c.options.Name, Zone: c.options.Zone, Replica: c.storage.Replica(),
	}}
	for _, group := range c.host.Groups {
		if group.IsLeader() {
			report.LedGroups = append(report.LedGroups, newGroupReport(group))
		}
	}
	return report
}

// newGroupReport describes a group that is led here. A group with a learner is not stable.
func newGroupReport(group *replication.Group) membership.GroupReport {
	report := membership.GroupReport{Group: uint32(group.ID), Term: group.Node.Term(), IsStable: true}
	for _, replica := range group.Node.Configuration().Replicas {
		report.Members = append(report.Members, replica.Member)
		report.IsStable = report.IsStable && !replica.IsLearner
	}
	return report
}

// Drain begins a planned stop: it transfers the leadership of all groups led here.
func (c *Core) Drain() {
	c.draining = true
	for _, group := range c.host.Groups {
		c.transferLeadership(group, anyMember)
	}
}

// IsDrained reports whether this process leads no group.
func (c *Core) IsDrained() bool {
	return !slices.ContainsFunc(c.host.Groups, (*replication.Group).IsLeader)
}

// transferLeadership transfers the leadership of a group to an eligible voter that has responded
// recently and has nearly the whole log.
func (c *Core) transferLeadership(group *replication.Group, eligible func(member string) bool) {
	if !group.IsLeader() {
		return
	}
	for _, replica := range group.Node.Configuration().Replicas {
		isCandidate := replica.ID != group.Node.ID() && eligible(replica.Member) && group.Node.IsRecentlyActive(replica.ID)
		if isCandidate && group.Node.TransferLeadership(replica.ID) {
			return
		}
	}
}

// anyMember makes every voter eligible: a host that stops transfers its groups to any voter that
// can lead them.
func anyMember(string) bool { return true }

// proposeSweeps proposes the removal of expired turns and idle budgets in the groups led here.
func (c *Core) proposeSweeps() {
	for _, group := range c.host.Groups {
		if group.IsLeader() && group.StateMachine.(*stateMachine).turns.IsSweepDue(c.nowMs) {
			c.proposeSweep(group)
		}
	}
}
