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

// loadWarmupMs is how long a new leader collects the gateways' reports before it sends aggregates:
// a little more than the time between two heartbeats of a gateway (0.7 s).
const loadWarmupMs = 1000

// fleetNotifyIntervalMs is the minimum time between two rounds of answers to held heartbeats for
// changes of the fleet. While many engines or hosts come and go at once, followers receive the
// changes together (a tenth of the answers while 100 engines register in a second). The drain of an
// engine is announced later by up to this time, which is short compared to the seconds for which
// the engine may still get work.
const fleetNotifyIntervalMs = 100

const (
	// minHoldMs is the shortest time for which a gateway's heartbeat is held while nothing has
	// changed. A frozen gateway is detected when its next heartbeat is overdue, so the hold delays
	// the detection by half of this time on average. Callers lose the requests that they send to
	// the gateway meanwhile.
	minHoldMs = 250
	// maxHoldExpiriesPerSecond bounds the rate at which held heartbeats of gateways end without any
	// change, so that their cost to the leader does not grow with the number of gateways.
	maxHoldExpiriesPerSecond = 300
	// maxSmallUpdateEntries is how many engines, hosts, routes and tenants a gateway applies within
	// some milliseconds, even with a tenth of a core: 48,000 tenants take 16 ms of a whole core
	// (docs/design/0007-tenants.md).
	maxSmallUpdateEntries = 1000
)

// pendingFleetSync is a heartbeat of a gateway or ledger host that waits for its answer.
type pendingFleetSync struct {
	id      RequestID
	request *protocol.FleetSync
	// heartbeatNumber distinguishes the heartbeats of a gateway, 0 for ledger hosts.
	heartbeatNumber uint64
	deadlineMs      int64
	// confirmed says that a quorum has confirmed this leader since the heartbeat arrived.
	confirmed bool
}

// handleFleetSync handles the heartbeat of a gateway or ledger host.
func (c *Core) handleFleetSync(id RequestID, request *protocol.FleetSync) {
	group, leader, failure := c.ledGroup(0)
	if failure != nil || c.fleetTracker == nil {
		c.transport.Reply(id, &protocol.FleetSyncReply{Error: result.New(result.NotLeader, "not the leader"), Leader: leader})
		return
	}
	pending := pendingFleetSync{id: id, request: request, deadlineMs: c.nowMs + c.holdMs(request)}
	if request.Gateway != nil {
		pending.heartbeatNumber = c.fleetTracker.RecordGatewayHeartbeat(request.Gateway.Name, c.nowMs)
	}
	c.recordReports(group, request)
	if !request.ConfirmNow && !request.ConfirmLeadership {
		c.answerOrHoldFleetSync(pending)
		return
	}
	c.unconfirmedFleetSyncs = append(c.unconfirmedFleetSyncs, pending)
	c.confirmFleetSyncs()
}

// holdMs returns how long a heartbeat is held while nothing has changed: as long as its sender
// allows, but for a gateway no longer than the leader needs to keep the rate of expiring heartbeats
// within maxHoldExpiriesPerSecond.
func (c *Core) holdMs(request *protocol.FleetSync) int64 {
	if request.Gateway == nil {
		return request.LongPollMs
	}
	affordableMs := int64(c.system.fleet.GatewayCount()) * 1000 / maxHoldExpiriesPerSecond
	return min(request.LongPollMs, max(minHoldMs, affordableMs))
}

// answerOrHoldFleetSync answers a heartbeat that allows no hold or whose sender lacks a change, and
// holds any other.
func (c *Core) answerOrHoldFleetSync(pending pendingFleetSync) {
	if pending.request.LongPollMs == 0 || c.hasFleetChanges(pending.request) {
		c.answerFleetSync(pending, c.fleetSyncReply(pending.request))
		return
	}
	c.pendingFleetSyncs = append(c.pendingFleetSyncs, pending)
}

// confirmFleetSyncs has a quorum confirm this leader for all heartbeats that have arrived since
// the last round began. Invariant: at most one round is in progress, so that the rounds per second
// are bounded by the round trip to the quorum and not by the number of gateways. One round for each
// heartbeat would cost quadratic work in the number of gateways when all return at once.
func (c *Core) confirmFleetSyncs() {
	if c.confirmationInProgress || len(c.unconfirmedFleetSyncs) == 0 {
		return
	}
	batch := c.unconfirmedFleetSyncs
	c.unconfirmedFleetSyncs = nil
	c.confirmationInProgress = true
	trackerAtStart := c.fleetTracker
	c.host.LinearizableRead(c.host.Groups[0], func(failure *result.Error) {
		c.confirmationInProgress = false
		if failure == nil && c.fleetTracker != trackerAtStart {
			failure = result.New(result.NotLeader, "leadership changed during the confirmation")
		}
		for _, pending := range batch {
			if failure != nil {
				c.answerFleetSync(pending, &protocol.FleetSyncReply{Error: failure})
				continue
			}
			pending.confirmed = true
			if pending.request.ConfirmNow {
				c.answerFleetSync(pending, c.fleetSyncReply(pending.request))
				continue
			}
			c.answerOrHoldFleetSync(pending)
		}
		c.confirmFleetSyncs()
	})
}

// answerFleetSync answers a heartbeat; from then on the sender's next one is expected.
func (c *Core) answerFleetSync(pending pendingFleetSync, reply *protocol.FleetSyncReply) {
	if pending.request.Gateway != nil && c.fleetTracker != nil {
		c.fleetTracker.RecordGatewayReply(pending.request.Gateway.Name, pending.heartbeatNumber, c.isSmallUpdate(reply), c.nowMs)
	}
	reply.IsConfirmed = reply.IsConfirmed || (pending.confirmed && reply.Error == nil)
	c.transport.Reply(pending.id, reply)
}

// isSmallUpdate reports whether a gateway can apply an answer almost at once. A gateway rebuilds
// the index of a changed routing table as a whole, so the size of the table counts and not that of
// the delta.
func (c *Core) isSmallUpdate(reply *protocol.FleetSyncReply) bool {
	entries := 0
	if reply.Fleet != nil {
		entries += len(reply.Fleet.Value.Engines) + len(reply.Fleet.Value.Ledgers) + len(reply.Fleet.Value.Groups)
	}
	if table := c.system.tree.Routing(); reply.Routing != nil && table != nil {
		entries += len(table.Routes) + len(table.Tenants)
	}
	return entries <= maxSmallUpdateEntries
}

// recordReports records the reports in a heartbeat and replicates what has changed about its
// sender.
func (c *Core) recordReports(group *replication.Group, request *protocol.FleetSync) {
	var update membership.FleetUpdate
	if gateway := request.Gateway; gateway != nil {
		// A gateway that has not received an engine's restart yet reports on the previous
		// incarnation.
		isStale := func(engine string) bool {
			return c.notInFleet(engine) || request.FleetVersion < c.system.fleet.IncarnationVersion(engine)
		}
		loads := slices.DeleteFunc(request.EngineLoads, func(load scheduling.EngineLoad) bool { return isStale(load.Engine) })
		c.loadAggregator.ReportLoads(gateway.Name, loads, c.nowMs)
		usages := slices.DeleteFunc(request.EngineUsages, func(usage scheduling.EngineUsage) bool { return isStale(usage.Engine) })
		c.loadAggregator.ReportUsage(gateway.Name, usages, c.nowMs)
		c.loadAggregator.ReportFailingEngines(gateway.Name, gateway.Zone, slices.DeleteFunc(request.FailingEngines, isStale), c.nowMs)
		c.loadAggregator.ReportStreamLateness(request.StreamLateness, c.nowMs)
		c.usageAggregator.ReportUsage(gateway.Name, request.BackendUsages, c.nowMs)
		if known, ok := c.system.fleet.Gateway(gateway.Name); !ok || known != *gateway {
			update.PutGateways = append(update.PutGateways, *gateway)
		}
	}
	if report := request.Ledger; report != nil {
		c.fleetTracker.RecordLedgerReport(*report, c.nowMs)
		host := report.Host
		known, ok := c.system.fleet.Ledger(host.Member)
		// Invariant: a host retires only at an operator's request. An empty disk at
		// the same address is a different host.
		host.Retiring = ok && known.Retiring && known.Replica == host.Replica
		if !ok || known != host {
			update.PutLedgers = append(update.PutLedgers, host)
		}
	}
	if !update.IsEmpty() {
		_ = c.host.Propose(group, &systemCommand{Fleet: &update}, func(any) {})
	}
}

// notInFleet reports whether an engine named by a gateway has left the fleet or never was in it.
func (c *Core) notInFleet(engine string) bool {
	_, known := c.system.fleet.Engine(engine)
	return !known
}

// hasFleetChanges reports whether a heartbeat is to be answered now because its sender lacks a
// change.
func (c *Core) hasFleetChanges(request *protocol.FleetSync) bool {
	table := c.system.tree.Routing()
	if request.WithRouting && table != nil && table.Generation > request.RoutingGeneration {
		return true
	}
	return c.startNotifyRoundIfDue() && c.system.fleet.ChangedSince(request.FleetVersion, scopeOf(request))
}

// startNotifyRoundIfDue reports whether changes of the fleet may be sent now, and starts a new
// round of answers when one is due. Changes that came after the start of a round wait for the next
// one.
func (c *Core) startNotifyRoundIfDue() bool {
	if c.notifiedFleetVersion == c.system.fleet.Version() {
		return true
	}
	if c.nowMs-c.fleetNotifiedMs < fleetNotifyIntervalMs {
		return false
	}
	c.fleetNotifiedMs = c.nowMs
	c.notifiedFleetVersion = c.system.fleet.Version()
	return true
}

// scopeOf returns the part of the fleet that the sender of a heartbeat receives: ledger hosts send
// no requests to engines.
func scopeOf(request *protocol.FleetSync) membership.Scope {
	if request.Gateway == nil {
		return membership.Scope{}
	}
	return membership.Scope{IncludesEngines: true, Zone: request.Gateway.Zone}
}

func (c *Core) fleetSyncReply(request *protocol.FleetSync) *protocol.FleetSyncReply {
	reply := &protocol.FleetSyncReply{}
	if controls := c.memberNames(); protocol.ControlsDigest(controls) != request.ControlsDigest {
		reply.ControlAddresses = controls
	}
	fleet := c.system.fleet
	scope := scopeOf(request)
	if request.FleetVersion == 0 || fleet.ChangedSince(request.FleetVersion, scope) {
		reply.Fleet = c.deltas.fleetSince(fleet, request.FleetVersion, scope)
	}
	// A new leader's aggregates lack the gateways that have not reported to it yet.
	hasAggregates := c.loadAggregator != nil && c.nowMs-c.leadingSinceMs >= loadWarmupMs
	if request.WithLoads && hasAggregates {
		aggregates := c.deltas.loadsFor(c.loadAggregator, fleet, scope, c.nowMs)
		reply.EngineLoads, reply.EngineUsages, reply.FailingEngines = aggregates.loads, aggregates.usages, aggregates.failing
		if table := c.system.tree.Routing(); table != nil && table.RequiresKey {
			reply.BackendUsages = c.deltas.tenantUsage(c.usageAggregator, c.nowMs)
		}
	}
	if request.Gateway != nil && hasAggregates {
		reply.StreamLateness = c.loadAggregator.StreamLateness(c.nowMs)
	}
	table := c.system.tree.Routing()
	if request.WithRouting && table != nil && table.Generation > request.RoutingGeneration {
		reply.Routing = c.deltas.routingSince(c.recentTable(request.RoutingGeneration), table)
	}
	return reply
}

// answerFleetSyncs answers the held heartbeats whose senders lack a change and those
// whose hold time is over.
func (c *Core) answerFleetSyncs() {
	c.recordTable()
	waiting := c.pendingFleetSyncs[:0]
	for _, pending := range c.pendingFleetSyncs {
		if c.nowMs < pending.deadlineMs && !c.hasFleetChanges(pending.request) {
			waiting = append(waiting, pending)
			continue
		}
		c.answerFleetSync(pending, c.fleetSyncReply(pending.request))
	}
	clear(c.pendingFleetSyncs[len(waiting):])
	c.pendingFleetSyncs = waiting
}

// expireFleetSyncs answers the held heartbeats whose hold time is over, and those whose senders lack
// a change for which a round of answers has become due.
func (c *Core) expireFleetSyncs() {
	if len(c.pendingFleetSyncs) > 0 && c.fleetTracker != nil {
		c.answerFleetSyncs()
	}
}

// refuseFleetSyncs refuses the held heartbeats and those that wait for a confirmation because the
// term of this leader is over.
func (c *Core) refuseFleetSyncs() {
	leader := c.leaderName(c.host.Groups[0])
	for _, pending := range slices.Concat(c.pendingFleetSyncs, c.unconfirmedFleetSyncs) {
		c.transport.Reply(pending.id, &protocol.FleetSyncReply{Error: result.New(result.NotLeader, "not the leader"), Leader: leader})
	}
	c.pendingFleetSyncs = nil
	c.unconfirmedFleetSyncs = nil
}

// recordTable keeps the routing tables that were in force recently, so that followers
// can be sent deltas.
func (c *Core) recordTable() {
	table := c.system.tree.Routing()
	if table == nil || (len(c.recentTables) > 0 && c.recentTables[len(c.recentTables)-1].Generation == table.Generation) {
		return
	}
	c.recentTables = append(c.recentTables, table.WithoutSourceDocument())
	if len(c.recentTables) > maxRecentTables {
		c.recentTables = c.recentTables[1:]
	}
}

// recentTable returns the routing table of a recent generation, nil if it is not kept.
func (c *Core) recentTable(generation uint64) *routing.Table {
	for _, table := range c.recentTables {
		if table.Generation == generation {
			return table
		}
	}
	return nil
}
