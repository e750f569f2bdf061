package control

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/replication"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/settings"
)

// fleetPlanEveryMs is how often the leader looks for members that fell silent.
const fleetPlanEveryMs = 100

// sizesEveryMs is how often the leader looks whether enough engines are advertised: gateways
// say each 0.7 s what is under way at them.
const sizesEveryMs = 300

// fleetOrder carries out one order of an engine or of the platform's operator.
func (c *Core) fleetOrder(id RequestID, order *protocol.FleetOrder) {
	group, leader, failure := c.leading(0)
	if failure != nil || c.fleetTracker == nil {
		if order.Report != nil && c.acknowledges(*order.Report) {
			c.outlet.Reply(id, &protocol.FleetOrderReply{})
			return
		}
		c.outlet.Reply(id, &protocol.FleetOrderReply{Error: result.New(result.NotLeader, "not the leader"), Leader: leader})
		return
	}
	switch {
	case order.Report != nil:
		c.engineReport(id, group, order)
	case order.Leave != "":
		c.engineLeaves(id, group, order)
	case order.Routing != nil:
		c.replaceRouting(id, group, order.Routing)
	case order.ReadRouting:
		c.readRouting(id, group)
	case order.Retire != "":
		c.retire(id, group, order.Retire)
	case order.RetireState != "":
		c.retireState(id, group, order.RetireState)
	}
}

// proposeFleet proposes an update and answers an order once it is applied.
func (c *Core) proposeFleet(id RequestID, group *replication.Group, update *membership.FleetUpdate) {
	c.proposeOrder(id, group, &systemCommand{Fleet: update}, &protocol.FleetOrderReply{})
}

// proposeOrder proposes a command and sends the reply once it is applied.
func (c *Core) proposeOrder(id RequestID, group *replication.Group, command *systemCommand, reply *protocol.FleetOrderReply) {
	failure := c.host.Propose(group, command, func(outcome any) {
		switch typed := outcome.(type) {
		case *result.Error:
			reply.Error = typed
		case settings.Reply:
			reply.Error = typed.Error
		}
		c.outlet.Reply(id, reply)
	})
	if failure != nil {
		c.outlet.Reply(id, &protocol.FleetOrderReply{Error: failure})
	}
}

// engineReport notes that an engine is alive and replicates what is new of it.
// Invariant: a change, above all the word that it drains, is acknowledged only once
// it is committed.
func (c *Core) engineReport(id RequestID, group *replication.Group, order *protocol.FleetOrder) {
	updates, verdict := c.fleetTracker.HandleReport(c.system.fleet, *order.Report, membership.ReportContext{
		IsRelayed: !order.Incarnations, IsBackendKnown: c.backendKnown(order.Report.Backend), AllSupportIncarnations: c.allKnowIncarnations(), NowMs: c.nowMs,
	})
	known, there := c.system.fleet.Engine(order.Report.ID)
	if verdict == membership.ReportAccepted && !(there && known.StartedMs == order.Report.StartedMs) {
		// What gateways have said was of an earlier life, if of any.
		c.loads.ForgetEngine(order.Report.ID)
	}
	c.proposeUpdates(id, group, updates, verdict)
}

func (c *Core) engineLeaves(id RequestID, group *replication.Group, order *protocol.FleetOrder) {
	updates, verdict := c.fleetTracker.HandleLeave(c.system.fleet, membership.Incarnation{ID: order.Leave, StartedMs: order.LeaveBorn})
	c.proposeUpdates(id, group, updates, verdict)
}

// proposeUpdates proposes updates one after the other; the last one answers the order.
func (c *Core) proposeUpdates(id RequestID, group *replication.Group, updates []membership.FleetUpdate, verdict membership.ReportOutcome) {
	if len(updates) == 0 {
		reply := &protocol.FleetOrderReply{}
		if verdict.IsRejected() {
			reply.Void = verdict.String()
		}
		c.outlet.Reply(id, reply)
		return
	}
	last := len(updates) - 1
	for position := range updates[:last] {
		// Where this one is lost, so is the one after it.
		_ = c.host.Propose(group, &systemCommand{Fleet: &updates[position]}, func(any) {})
	}
	c.proposeOrder(id, group, &systemCommand{Fleet: &updates[last]}, &protocol.FleetOrderReply{Restarted: last > 0})
}

// backendKnown reports whether engines of a back end may come: it is named by the table in
// force, or there is none yet.
func (c *Core) backendKnown(name string) bool {
	table := c.system.tree.Routing()
	return table == nil || slices.ContainsFunc(table.Backends, func(backend routing.Backend) bool { return backend.Name == name })
}

// allKnowIncarnations reports whether all processes that hold the settings group have said
// that they know incarnations of engines. Invariant: what a replica of an earlier release
// would apply to another state is not proposed before.
func (c *Core) allKnowIncarnations() bool {
	for _, member := range c.memberNames() {
		if member != c.options.Name && !c.knowIncarnations[member] {
			return false
		}
	}
	return true
}

// replaceRouting validates a table and puts it in force.
func (c *Core) replaceRouting(id RequestID, group *replication.Group, table *routing.Table) {
	if failure := table.Validate(); failure != nil {
		c.outlet.Reply(id, &protocol.FleetOrderReply{Error: failure})
		return
	}
	c.proposeOrder(id, group, &systemCommand{Change: &settings.Change{AtMs: c.nowMs, Routing: table}}, &protocol.FleetOrderReply{})
}

func (c *Core) readRouting(id RequestID, group *replication.Group) {
	c.host.LinearizableRead(group, func(failure *result.Error) {
		c.outlet.Reply(id, &protocol.FleetOrderReply{Error: failure, Routing: c.system.tree.Routing()})
	})
}

func (c *Core) ledgerNamed(name string) (membership.LedgerHost, bool) {
	for _, host := range c.system.fleet.Ledgers() {
		if host.Name == name {
			return host, true
		}
	}
	return membership.LedgerHost{}, false
}

// retire begins to empty a ledger host.
func (c *Core) retire(id RequestID, group *replication.Group, name string) {
	host, known := c.ledgerNamed(name)
	switch {
	case !known:
		c.outlet.Reply(id, &protocol.FleetOrderReply{Error: result.New(result.NotFound, "no ledger host %s", name)})
	case host.Retiring:
		c.outlet.Reply(id, &protocol.FleetOrderReply{})
	case !c.fleetTracker.CanRetire(c.system.fleet, host.Member, c.nowMs):
		c.outlet.Reply(id, &protocol.FleetOrderReply{Error: result.New(result.TooFewLeft, "too few ledger hosts would be left without %s", name)})
	default:
		host.Retiring = true
		c.proposeFleet(id, group, &membership.FleetUpdate{PutLedgers: []membership.LedgerHost{host}})
	}
}

func (c *Core) retireState(id RequestID, group *replication.Group, name string) {
	c.host.LinearizableRead(group, func(failure *result.Error) {
		host, known := c.ledgerNamed(name)
		if failure == nil && (!known || !host.Retiring) {
			failure = result.New(result.NotFound, "%s is not being emptied", name)
		}
		done := failure == nil && c.fleetTracker != nil && c.fleetTracker.IsDrained(c.system.fleet, host.Member)
		c.outlet.Reply(id, &protocol.FleetOrderReply{Error: failure, Done: done})
	})
}

// planFleet proposes what silence and lost hosts call for, one update at a time.
func (c *Core) planFleet() {
	if c.fleetPlanning || c.nowMs-c.lastFleetMs < fleetPlanEveryMs {
		return
	}
	group := c.host.Groups[0]
	// Invariant: a leader plans from a fleet that holds every update of the leaders
	// before it.
	if group.Node.TermAt(group.Node.Applied()) != group.Node.Term() {
		return
	}
	c.lastFleetMs = c.nowMs
	update := c.fleetTracker.Plan(c.system.fleet, c.nowMs)
	update.PutSubsetSizes = c.planSizes()
	if update.IsEmpty() {
		return
	}
	failure := c.host.Propose(group, &systemCommand{Fleet: &update}, func(any) { c.fleetPlanning = false })
	c.fleetPlanning = failure == nil
}

// planSizes returns the pools of which more or fewer engines should be advertised.
func (c *Core) planSizes() []membership.SubsetSize {
	if c.nowMs-c.lastSizesMs < sizesEveryMs {
		return nil
	}
	c.lastSizesMs = c.nowMs
	return c.fleetTracker.PlanSubsetSizes(c.system.fleet, func(engine string) float64 { return c.loads.InFlight(engine, c.nowMs) }, c.nowMs)
}
