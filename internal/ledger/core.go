// Package ledger is the process that holds the turns of programs on machines of
// its own: replicas of ledger groups, each placed on several hosts by the leader of
// the settings group. Core is its state without goroutine, clock or socket; Daemon
// runs it over TCP and a real disk.
package ledger

import (
	"bytes"
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

// RequestID names a request whose reply the shell will route.
type RequestID uint64

// Storage is the disk as the core sees it.
type Storage interface {
	replication.Storage
	// PutMetadata keeps a small value by name, and NoteOf returns it, nil where there is none.
	PutMetadata(name string, value []byte) error
	GetMetadata(name string) ([]byte, error)
}

// placementNote is the name under which the last view of the fleet is kept.
const placementNote = "placement"

// Transport takes what the core sends. Its methods must not call back.
type Transport interface {
	Send(member string, batch protocol.PeerBatch)
	Reply(request RequestID, reply *protocol.TurnReply)
}

// Options configure a Core. Times are in milliseconds.
type Options struct {
	// Member is the process's inner address, its name in configurations.
	Member string
	Name   string
	Zone   string
	TickMs int64
	// Replication holds the timings of the groups.
	Replication replication.Options
	// QuotaWindowMs is the span over which tenants' limits are counted (config.Limits).
	QuotaWindowMs int64
	// QuotaTolerance is what programs under way may use beyond a limit (config.Limits).
	QuotaTolerance quota.Tolerance
	// DisableBudget turns the check of budgets off, for runs that show what it is
	// for.
	DisableBudget bool
}

const (
	// defaultTickMs is the length of a consensus tick: some round trips between zones (1 to
	// 3 ms) and syncs (1 ms), so that a tick decides on what the one before has sent.
	defaultTickMs = 50
	// electionTicks is the shortest election timeout, 300 ms: a leader that misses two of
	// its heartbeats, one each heartbeatTicks, is not replaced yet. startTicks is that of a
	// replica that has known no leader since its start.
	electionTicks  = 6
	startTicks     = 3
	heartbeatTicks = 2
	// maxAppendBytes and maxInflight bound what is on its way to one follower, bytes of one
	// message and messages. A heartbeat waits behind one such message for 0.02 s on a link of
	// 47 Mbit/s, against an election timeout of 0.3 s; 1 MiB took most of that.
	maxAppendBytes = 128 << 10
	maxInflight    = 64
	// proposalWaitMs is longer than a gateway waits for one answer (0.45 s).
	proposalWaitMs = 3000
	// compactEntries and compactBytes are how much of the log stays at most, so that a host
	// that was away briefly needs no snapshot.
	compactEntries = 2000
	compactBytes   = 2 << 20
	// reconcileEveryMs is how often groups are compared with the placement, sweepEveryMs how
	// often turns that have expired are looked for.
	reconcileEveryMs = 100
	sweepEveryMs     = 1000
	// forgetGroupAfterMs is how long a replica without a leader, and without a place in the
	// placement, is kept: the vote that takes it out may still be under way.
	forgetGroupAfterMs = 5000
	// caughtUpLag is how many entries a learner may lack when it becomes a voter.
	caughtUpLag = 8
	// balanceAfterMs is how long a host leads before it may hand a group over for balance,
	// balanceEveryMs the least time between two of these.
	balanceAfterMs = 5000
	balanceEveryMs = 1000
)

// DefaultOptions returns the timings of a fleet whose zones are a few milliseconds
// apart.
func DefaultOptions(member, name, zone string) Options {
	return Options{
		Member: member, Name: name, Zone: zone, TickMs: defaultTickMs,
		Replication: replication.Options{
			Name: member, InitialElectionTicks: startTicks, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
			MaxAppendBytes: maxAppendBytes, MaxInflight: maxInflight, ProposalTimeoutMs: proposalWaitMs,
			CompactAfterEntries: compactEntries, CompactAfterBytes: compactBytes,
		},
	}
}

// Core is the state of one ledger host.
type Core struct {
	options Options
	storage Storage
	outlet  Transport
	host    *replication.Host
	nowMs   int64
	view    *membership.FleetView

	lastTickMs      int64
	lastReconcileMs int64
	lastSweepMs     int64
	// leaderlessMs is since when a hosted group has no known leader.
	leaderlessMs map[storage.GroupID]int64
	// preferred are the members that are to lead the groups.
	preferred map[uint32]string
	// ledSinceMs is since when this host leads a group, lastBalanceMs when it last handed
	// one over for balance.
	ledSinceMs    map[storage.GroupID]int64
	lastBalanceMs int64
	// settles are the charges that wait for the next entry of their group.
	settles map[storage.GroupID][]waitingSettle
	// quotas grant the requests of tenants in the groups led here.
	quotas map[storage.GroupID]*quotaOwner
	// kinds is what was learnt of the kinds of tenants' programs, in all groups led here.
	kinds    *admission.ProgramKinds
	draining bool

	quotasGranted atomic.Int64
	quotasDenied  atomic.Int64

	// noted is the placement as the disk remembers it.
	noted []byte
}

// NewCore returns a core that hosts nothing until it hears of its placement.
func NewCore(options Options, disk Storage, outlet Transport, nowMs int64) *Core {
	core := &Core{
		options: options, storage: disk, outlet: outlet, nowMs: nowMs, lastTickMs: nowMs,
		leaderlessMs: map[storage.GroupID]int64{}, settles: map[storage.GroupID][]waitingSettle{}, ledSinceMs: map[storage.GroupID]int64{},
		quotas: map[storage.GroupID]*quotaOwner{}, kinds: admission.NewProgramKinds(),
	}
	core.host = replication.NewHost(options.Replication, disk, func(member string, messages []protocol.PeerMessage) {
		outlet.Send(member, protocol.PeerBatch{From: options.Member, Messages: messages})
	})
	core.setNow(nowMs)
	return core
}

func (c *Core) setNow(nowMs int64) {
	c.nowMs = nowMs
	c.host.NowMs = nowMs
}

// Host returns the replicas for reading.
func (c *Core) Host() *replication.Host { return c.host }

// StateMachine returns the state of a hosted group for reading, nil where it is not hosted.
func (c *Core) StateMachine(id storage.GroupID) *stateMachine {
	group := c.host.FindGroup(id)
	if group == nil {
		return nil
	}
	return group.StateMachine.(*stateMachine)
}

// placementNoted is what a host must know to go on without control.
type placementNoted struct {
	Ledgers []membership.LedgerHost `msgpack:"l"`
	Groups  []membership.Placement  `msgpack:"g"`
}

// notePlacement returns what of a view is worth remembering, in a fixed order.
func notePlacement(view *membership.FleetView) placementNoted {
	var noted placementNoted
	for _, member := range replication.SortedKeys(view.Ledgers) {
		noted.Ledgers = append(noted.Ledgers, view.Ledgers[member])
	}
	for _, group := range replication.SortedKeys(view.Groups) {
		noted.Groups = append(noted.Groups, view.Groups[group])
	}
	return noted
}

// Restore hosts the groups that the disk remembers, so that a fleet which starts
// again as a whole does not wait for control first.
func (c *Core) Restore(nowMs int64) error {
	raw, err := c.storage.GetMetadata(placementNote)
	if err != nil || raw == nil {
		return err
	}
	var noted placementNoted
	if err := protocol.Decode(raw, &noted); err != nil {
		return err
	}
	c.noted = raw
	var view *membership.FleetView
	view, _ = view.ApplyDelta(membership.FleetDelta{IsFull: true, Ledgers: noted.Ledgers, Groups: noted.Groups})
	return c.hostView(view, nowMs)
}

// ApplyView takes a new view of the fleet, remembers what matters of it and hosts the
// groups placed here.
func (c *Core) ApplyView(view *membership.FleetView, nowMs int64) error {
	noted := notePlacement(view)
	raw, err := protocol.Encode(&noted)
	if err != nil {
		return err
	}
	if !bytes.Equal(raw, c.noted) {
		if err := c.storage.PutMetadata(placementNote, raw); err != nil {
			return err
		}
		c.noted = raw
	}
	return c.hostView(view, nowMs)
}

func (c *Core) hostView(view *membership.FleetView, nowMs int64) error {
	c.setNow(nowMs)
	c.view = view
	c.preferred = preferredLeaders(view)
	for _, group := range replication.SortedKeys(view.Groups) {
		if err := c.hostPlaced(view.Groups[group]); err != nil {
			return err
		}
	}
	return nil
}

func (c *Core) hostPlaced(placement membership.Placement) error {
	id := storage.GroupID(placement.Group)
	if !slices.Contains(placement.Members, c.options.Member) || c.host.FindGroup(id) != nil {
		return nil
	}
	// Invariant: a disk that the first configuration doesn't name has promised
	// nothing, so it must not vote before the group lets it in.
	bootstrap := consensus.Configuration{}
	if _, first := placement.Initial.Find(c.storage.Replica()); first {
		bootstrap = placement.Initial
	}
	_, err := c.host.AddGroup(id, newStateMachine(c.options), bootstrap)
	return err
}

// HandlePeerBatch takes a batch of consensus messages from another ledger host.
func (c *Core) HandlePeerBatch(batch protocol.PeerBatch, nowMs int64) {
	c.setNow(nowMs)
	c.host.Step(batch)
}

// Flush carries out what the groups have ready.
func (c *Core) Flush() error { return c.host.ProcessReady() }

// Tick advances the core's clock.
func (c *Core) Tick(nowMs int64) {
	c.setNow(nowMs)
	if nowMs-c.lastTickMs >= c.options.TickMs {
		c.lastTickMs = nowMs
		c.tickQuotas()
		for _, group := range c.host.Groups {
			c.proposeSettles(group)
			group.Node.Tick()
		}
	}
	if nowMs-c.lastReconcileMs >= reconcileEveryMs {
		c.lastReconcileMs = nowMs
		c.reconcile()
	}
	if nowMs-c.lastSweepMs >= sweepEveryMs {
		c.lastSweepMs = nowMs
		c.sweep()
	}
	c.host.ExpirePending()
}

// Report returns what the host says of itself to control.
func (c *Core) Report() membership.LedgerReport {
	report := membership.LedgerReport{Host: membership.LedgerHost{
		Member: c.options.Member, Name: c.options.Name, Zone: c.options.Zone, Replica: c.storage.Replica(),
	}}
	for _, group := range c.host.Groups {
		if group.IsLeader() {
			report.LedGroups = append(report.LedGroups, ledGroup(group))
		}
	}
	return report
}

func ledGroup(group *replication.Group) membership.GroupReport {
	led := membership.GroupReport{Group: uint32(group.ID), Term: group.Node.Term(), IsStable: true}
	for _, replica := range group.Node.Configuration().Replicas {
		led.Members = append(led.Members, replica.Member)
		led.IsStable = led.IsStable && !replica.IsLearner
	}
	return led
}

// Drain hands leadership over, as a planned stop begins.
func (c *Core) Drain() {
	c.draining = true
	for _, group := range c.host.Groups {
		c.handOver(group, anyMember)
	}
}

// IsDrained reports whether this process leads nothing any more.
func (c *Core) IsDrained() bool {
	return !slices.ContainsFunc(c.host.Groups, (*replication.Group).IsLeader)
}

// handOver gives leadership to a voter that is heard, has the whole log and is eligible.
func (c *Core) handOver(group *replication.Group, eligible func(member string) bool) {
	if !group.IsLeader() {
		return
	}
	for _, replica := range group.Node.Configuration().Replicas {
		candidate := replica.ID != group.Node.ID() && eligible(replica.Member) && group.Node.IsRecentlyActive(replica.ID)
		if candidate && group.Node.TransferLeadership(replica.ID) {
			return
		}
	}
}

// anyMember makes every voter eligible: a host that stops leaves its groups to whoever can lead.
func anyMember(string) bool { return true }

// sweep forgets expired turns and idle budgets in the groups led here.
func (c *Core) sweep() {
	for _, group := range c.host.Groups {
		if group.IsLeader() && group.StateMachine.(*stateMachine).turns.IsSweepDue(c.nowMs) {
			c.proposeSweep(group)
		}
	}
}
