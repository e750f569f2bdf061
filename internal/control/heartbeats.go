package control

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/replication"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// loadsSummedMs is how long a leader gathers what gateways have seen before it tells the sums:
// a little more than the time between two heartbeats of a gateway (0.7 s).
const loadsSummedMs = 1000

// fleetNewsEveryMs is how often held heartbeats are answered for changes of the fleet at the
// most: while many engines or hosts come and go at once, followers hear of them together (a
// tenth of the answers while 100 engines register in a second). An engine that drains is told of
// this much later, against the seconds for which it may get work.
const fleetNewsEveryMs = 100

const (
	// leastHoldMs is how long a gateway's heartbeat without news is held at the least: a gateway
	// that stands still is noticed when its next heartbeat is overdue, so that its callers lose
	// what they send it for half of this time more on the mean.
	leastHoldMs = 250
	// heldEndsPerSecond bounds the heartbeats of gateways that end for want of news, so that what
	// they cost the leader does not grow with the gateways.
	heldEndsPerSecond = 300
	// lightEntries is how many engines, hosts, routes and tenants a gateway puts in force in some
	// milliseconds, also with a tenth of a core: 48,000 tenants take 16 ms of a whole one
	// (docs/design/0007-tenants.md).
	lightEntries = 1000
)

// pendingFleetSync is a heartbeat of a gateway or ledger host that waits for news.
type pendingFleetSync struct {
	id      RequestID
	request *protocol.FleetSync
	// number tells a gateway's heartbeats apart, 0 for ledger hosts.
	number     uint64
	deadlineMs int64
	// proved says that a quorum has confirmed this leader since the heartbeat came.
	proved bool
}

// fleetSync takes the heartbeat of a gateway or ledger host.
func (c *Core) fleetSync(id RequestID, request *protocol.FleetSync) {
	group, leader, failure := c.leading(0)
	if failure != nil || c.fleetTracker == nil {
		c.outlet.Reply(id, &protocol.FleetSyncReply{Error: result.New(result.NotLeader, "not the leader"), Leader: leader})
		return
	}
	pending := pendingFleetSync{id: id, request: request, deadlineMs: c.nowMs + c.holdMs(request)}
	if request.Gateway != nil {
		pending.number = c.fleetTracker.RecordGatewayHeartbeat(request.Gateway.Name, c.nowMs)
	}
	c.noteSender(group, request)
	if !request.Fresh && !request.Prove {
		c.holdFleetSync(pending)
		return
	}
	c.unproved = append(c.unproved, pending)
	c.proveFleetSyncs()
}

// holdMs returns how long a heartbeat without news is held: as long as its sender allows, and a
// gateway's no longer than the leader can afford to hear it again.
func (c *Core) holdMs(request *protocol.FleetSync) int64 {
	if request.Gateway == nil {
		return request.HoldMs
	}
	affordedMs := int64(c.system.fleet.GatewayCount()) * 1000 / heldEndsPerSecond
	return min(request.HoldMs, max(leastHoldMs, affordedMs))
}

// holdFleetSync answers a heartbeat for which there is news and holds any other.
func (c *Core) holdFleetSync(pending pendingFleetSync) {
	if pending.request.HoldMs == 0 || c.hasFleetNews(pending.request) {
		c.answerFleetSync(pending, c.fleetReply(pending.request))
		return
	}
	c.fleetSyncs = append(c.fleetSyncs, pending)
}

// proveFleetSyncs has a quorum confirm this leader for all heartbeats that have come since
// the last round began. Invariant: one round at a time is under way, so that the rounds a
// second are bounded by the way to the quorum and not by the number of gateways: a round for
// each would cost as many steps as their number squared when all come back at once.
func (c *Core) proveFleetSyncs() {
	if c.proving || len(c.unproved) == 0 {
		return
	}
	batch := c.unproved
	c.unproved = nil
	c.proving = true
	tracker := c.fleetTracker
	c.host.LinearizableRead(c.host.Groups[0], func(failure *result.Error) {
		c.proving = false
		if failure == nil && c.fleetTracker != tracker {
			failure = result.New(result.NotLeader, "leadership moved on")
		}
		for _, pending := range batch {
			if failure != nil {
				c.answerFleetSync(pending, &protocol.FleetSyncReply{Error: failure})
				continue
			}
			pending.proved = true
			if pending.request.Fresh {
				c.answerFleetSync(pending, c.fleetReply(pending.request))
				continue
			}
			c.holdFleetSync(pending)
		}
		c.proveFleetSyncs()
	})
}

// answerFleetSync answers a heartbeat; from then on the next one is expected.
func (c *Core) answerFleetSync(pending pendingFleetSync, reply *protocol.FleetSyncReply) {
	if pending.request.Gateway != nil && c.fleetTracker != nil {
		c.fleetTracker.RecordGatewayReply(pending.request.Gateway.Name, pending.number, c.light(reply), c.nowMs)
	}
	reply.Confirmed = reply.Confirmed || (pending.proved && reply.Error == nil)
	c.outlet.Reply(pending.id, reply)
}

// light reports whether a gateway puts an answer in force in next to no time. A changed table is
// indexed anew as a whole, so that its size counts, not the difference's.
func (c *Core) light(reply *protocol.FleetSyncReply) bool {
	entries := 0
	if reply.Fleet != nil {
		entries += len(reply.Fleet.Value.Engines) + len(reply.Fleet.Value.Ledgers) + len(reply.Fleet.Value.Groups)
	}
	if table := c.system.tree.Routing(); reply.Routing != nil && table != nil {
		entries += len(table.Routes) + len(table.Tenants)
	}
	return entries <= lightEntries
}

// noteSender replicates what is new of the sender of a heartbeat.
func (c *Core) noteSender(group *replication.Group, request *protocol.FleetSync) {
	var update membership.FleetUpdate
	if gateway := request.Gateway; gateway != nil {
		// What a gateway says that does not know of an engine's restart yet is of the life before.
		void := func(engine string) bool {
			return c.notInFleet(engine) || request.Version < c.system.fleet.IncarnationVersion(engine)
		}
		loads := slices.DeleteFunc(request.Loads, func(load scheduling.EngineLoad) bool { return void(load.Engine) })
		c.loads.ReportLoads(gateway.Name, loads, c.nowMs)
		usages := slices.DeleteFunc(request.Usages, func(usage scheduling.EngineUsage) bool { return void(usage.Engine) })
		c.loads.ReportUsage(gateway.Name, usages, c.nowMs)
		c.loads.ReportFailingEngines(gateway.Name, gateway.Zone, slices.DeleteFunc(request.Failing, void), c.nowMs)
		c.loads.ReportStreamLateness(request.Late, c.nowMs)
		c.uses.ReportUsage(gateway.Name, request.Uses, c.nowMs)
		if known, ok := c.system.fleet.Gateway(gateway.Name); !ok || known != *gateway {
			update.PutGateways = append(update.PutGateways, *gateway)
		}
	}
	if report := request.Ledger; report != nil {
		c.fleetTracker.RecordLedgerReport(*report, c.nowMs)
		host := report.Host
		known, ok := c.system.fleet.Ledger(host.Member)
		// Invariant: only the operator's order makes a host retire; an empty disk
		// under the same address is another host.
		host.Retiring = ok && known.Retiring && known.Replica == host.Replica
		if !ok || known != host {
			update.PutLedgers = append(update.PutLedgers, host)
		}
	}
	if !update.IsEmpty() {
		_ = c.host.Propose(group, &systemCommand{Fleet: &update}, func(any) {})
	}
}

// notInFleet reports whether an engine that a gateway speaks of has gone, or never was.
func (c *Core) notInFleet(engine string) bool {
	_, known := c.system.fleet.Engine(engine)
	return !known
}

// hasFleetNews reports whether a heartbeat is to be answered now for what is new.
func (c *Core) hasFleetNews(request *protocol.FleetSync) bool {
	table := c.system.tree.Routing()
	if request.WithRouting && table != nil && table.Generation > request.Generation {
		return true
	}
	return c.fleetNewsDue() && c.system.fleet.ChangedSince(request.Version, scopeOf(request))
}

// fleetNewsDue reports whether changes of the fleet may be told now. Those that came since
// a round of answers wait for the next round.
func (c *Core) fleetNewsDue() bool {
	if c.fleetNewsVersion == c.system.fleet.Version() {
		return true
	}
	if c.nowMs-c.fleetNewsMs < fleetNewsEveryMs {
		return false
	}
	c.fleetNewsMs = c.nowMs
	c.fleetNewsVersion = c.system.fleet.Version()
	return true
}

// scopeOf returns what the sender of a heartbeat is told of: ledger hosts send to no engine.
func scopeOf(request *protocol.FleetSync) membership.Scope {
	if request.Gateway == nil {
		return membership.Scope{}
	}
	return membership.Scope{IncludesEngines: true, Zone: request.Gateway.Zone}
}

func (c *Core) fleetReply(request *protocol.FleetSync) *protocol.FleetSyncReply {
	reply := &protocol.FleetSyncReply{}
	if controls := c.memberNames(); protocol.ControlsDigest(controls) != request.Controls {
		reply.Controls = controls
	}
	fleet := c.system.fleet
	scope := scopeOf(request)
	if request.Version == 0 || fleet.ChangedSince(request.Version, scope) {
		reply.Fleet = c.news.fleetSince(fleet, request.Version, scope)
	}
	// Until every gateway has reported to a new leader its sums lack those that have not.
	summed := c.loads != nil && c.nowMs-c.leadingSinceMs >= loadsSummedMs
	if request.WithLoads && summed {
		summed := c.news.loadsOf(c.loads, fleet, scope, c.nowMs)
		reply.Loads, reply.Usages, reply.Failing = summed.loads, summed.usages, summed.failing
		if table := c.system.tree.Routing(); table != nil && table.RequiresKey {
			reply.Uses = c.news.usesOf(c.uses, c.nowMs)
		}
	}
	if request.Gateway != nil && summed {
		reply.Late = c.loads.StreamLateness(c.nowMs)
	}
	table := c.system.tree.Routing()
	if request.WithRouting && table != nil && table.Generation > request.Generation {
		reply.Routing = c.news.routingSince(c.tableAt(request.Generation), table)
	}
	return reply
}

// answerFleetSyncs answers the heartbeats for which there is news and those that
// have waited long enough.
func (c *Core) answerFleetSyncs() {
	c.keepTable()
	waiting := c.fleetSyncs[:0]
	for _, pending := range c.fleetSyncs {
		if c.nowMs < pending.deadlineMs && !c.hasFleetNews(pending.request) {
			waiting = append(waiting, pending)
			continue
		}
		c.answerFleetSync(pending, c.fleetReply(pending.request))
	}
	clear(c.fleetSyncs[len(waiting):])
	c.fleetSyncs = waiting
}

// expireFleetSyncs ends the waiting of heartbeats by the clock.
func (c *Core) expireFleetSyncs() {
	if len(c.fleetSyncs) > 0 && c.fleetTracker != nil {
		c.answerFleetSyncs()
	}
}

// refuseFleetSyncs ends the waiting of heartbeats because their term is over.
func (c *Core) refuseFleetSyncs() {
	leader := c.leaderName(c.host.Groups[0])
	for _, pending := range slices.Concat(c.fleetSyncs, c.unproved) {
		c.outlet.Reply(pending.id, &protocol.FleetSyncReply{Error: result.New(result.NotLeader, "not the leader"), Leader: leader})
	}
	c.fleetSyncs = nil
	c.unproved = nil
}

// keepTable remembers the tables that were in force lately, so that followers get
// differences.
func (c *Core) keepTable() {
	table := c.system.tree.Routing()
	if table == nil || (len(c.tables) > 0 && c.tables[len(c.tables)-1].Generation == table.Generation) {
		return
	}
	c.tables = append(c.tables, table.WithoutSourceDocument())
	if len(c.tables) > keptTables {
		c.tables = c.tables[1:]
	}
}

// tableAt returns a table that was in force lately, nil where it is not kept.
func (c *Core) tableAt(generation uint64) *routing.Table {
	for _, table := range c.tables {
		if table.Generation == generation {
			return table
		}
	}
	return nil
}
