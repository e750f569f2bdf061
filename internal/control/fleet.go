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

// fleetPlanIntervalMs is how often the leader checks for gateways, engines and ledger hosts that
// fell silent.
const fleetPlanIntervalMs = 100

// subsetPlanIntervalMs is how often the leader checks whether enough engines are advertised. The
// check uses the requests in flight, which gateways report every 0.7 s.
const subsetPlanIntervalMs = 300

// handleFleetRequest executes one request of an engine or of the platform's operator.
func (c *Core) handleFleetRequest(id RequestID, request *protocol.FleetRequest) {
	group, leader, failure := c.ledGroup(0)
	if failure != nil || c.fleetTracker == nil {
		if request.Report != nil && c.acknowledgeLocally(*request.Report) {
			c.transport.Reply(id, &protocol.FleetReply{})
			return
		}
		c.transport.Reply(id, &protocol.FleetReply{Error: result.New(result.NotLeader, "not the leader"), Leader: leader})
		return
	}
	switch {
	case request.Report != nil:
		c.handleEngineReport(id, group, request)
	case request.LeaveEngine != "":
		c.handleEngineLeave(id, group, request)
	case request.Routing != nil:
		c.replaceRouting(id, group, request.Routing)
	case request.ReadRouting:
		c.readRouting(id, group)
	case request.RetireLedgerHost != "":
		c.retireLedgerHost(id, group, request.RetireLedgerHost)
	case request.RetirementStatusOf != "":
		c.readRetirement(id, group, request.RetirementStatusOf)
	}
}

// proposeFleetUpdate proposes an update and answers the request once the update is applied.
func (c *Core) proposeFleetUpdate(id RequestID, group *replication.Group, update *membership.FleetUpdate) {
	c.proposeAndReply(id, group, &systemCommand{Fleet: update}, &protocol.FleetReply{})
}

// proposeAndReply proposes a command and sends the reply once the command is applied.
func (c *Core) proposeAndReply(id RequestID, group *replication.Group, command *systemCommand, reply *protocol.FleetReply) {
	failure := c.host.Propose(group, command, func(outcome any) {
		switch typed := outcome.(type) {
		case *result.Error:
			reply.Error = typed
		case settings.Reply:
			reply.Error = typed.Error
		}
		c.transport.Reply(id, reply)
	})
	if failure != nil {
		c.transport.Reply(id, &protocol.FleetReply{Error: failure})
	}
}

// handleEngineReport records that an engine is alive and replicates what has changed
// about it. Invariant: a change, above all that the engine drains, is acknowledged only
// once it is committed.
func (c *Core) handleEngineReport(id RequestID, group *replication.Group, request *protocol.FleetRequest) {
	updates, reportOutcome := c.fleetTracker.HandleReport(c.system.fleet, *request.Report, membership.ReportContext{
		IsRelayed: !request.SupportsIncarnations, IsBackendKnown: c.isBackendKnown(request.Report.Backend), AllSupportIncarnations: c.allSupportIncarnations(), NowMs: c.nowMs,
	})
	current, inFleet := c.system.fleet.Engine(request.Report.ID)
	if reportOutcome == membership.ReportAccepted && !(inFleet && current.StartedMs == request.Report.StartedMs) {
		// The gateways' reports so far, if any, concern an earlier incarnation.
		c.loadAggregator.ForgetEngine(request.Report.ID)
	}
	c.proposeUpdates(id, group, updates, reportOutcome)
}

func (c *Core) handleEngineLeave(id RequestID, group *replication.Group, request *protocol.FleetRequest) {
	updates, reportOutcome := c.fleetTracker.HandleLeave(c.system.fleet, membership.Incarnation{ID: request.LeaveEngine, StartedMs: request.LeaveStartedMs})
	c.proposeUpdates(id, group, updates, reportOutcome)
}

// proposeUpdates proposes updates in order and answers the request once the last one is applied.
// A new incarnation of an engine takes two updates, any other change one.
func (c *Core) proposeUpdates(id RequestID, group *replication.Group, updates []membership.FleetUpdate, reportOutcome membership.ReportOutcome) {
	if len(updates) == 0 {
		reply := &protocol.FleetReply{}
		if reportOutcome.IsRejected() {
			reply.IgnoredReason = reportOutcome.String()
		}
		c.transport.Reply(id, reply)
		return
	}
	last := len(updates) - 1
	for position := range updates[:last] {
		// If this entry is lost, the entries after it are lost too, and the last one reports it.
		_ = c.host.Propose(group, &systemCommand{Fleet: &updates[position]}, func(any) {})
	}
	c.proposeAndReply(id, group, &systemCommand{Fleet: &updates[last]}, &protocol.FleetReply{IsNewIncarnation: last > 0})
}

// isBackendKnown reports whether engines of a backend may register: the routing table in force
// names the backend, or there is no table yet.
func (c *Core) isBackendKnown(name string) bool {
	table := c.system.tree.Routing()
	return table == nil || slices.ContainsFunc(table.Backends, func(backend routing.Backend) bool { return backend.Name == name })
}

// allSupportIncarnations reports whether all processes that hold the settings group have
// announced support for engine incarnations. Invariant: no update is proposed that a replica of an
// earlier release in the group would apply with a different result.
func (c *Core) allSupportIncarnations() bool { return c.allMembers(c.supportsIncarnations) }

// allMembers reports whether all other processes that hold the settings group support a feature.
func (c *Core) allMembers(supports map[string]bool) bool {
	for _, member := range c.memberNames() {
		if member != c.options.Name && !supports[member] {
			return false
		}
	}
	return true
}

// replaceRouting validates a routing table and proposes it.
func (c *Core) replaceRouting(id RequestID, group *replication.Group, table *routing.Table) {
	if failure := table.Validate(); failure != nil {
		c.transport.Reply(id, &protocol.FleetReply{Error: failure})
		return
	}
	c.proposeAndReply(id, group, &systemCommand{Change: &settings.Change{AtMs: c.nowMs, Routing: table}}, &protocol.FleetReply{})
}

func (c *Core) readRouting(id RequestID, group *replication.Group) {
	c.host.LinearizableRead(group, func(failure *result.Error) {
		c.transport.Reply(id, &protocol.FleetReply{Error: failure, Routing: c.system.tree.Routing()})
	})
}

func (c *Core) ledgerHostByName(name string) (membership.LedgerHost, bool) {
	for _, host := range c.system.fleet.Ledgers() {
		if host.Name == name {
			return host, true
		}
	}
	return membership.LedgerHost{}, false
}

// retireLedgerHost starts to move all groups off a ledger host.
func (c *Core) retireLedgerHost(id RequestID, group *replication.Group, name string) {
	host, known := c.ledgerHostByName(name)
	switch {
	case !known:
		c.transport.Reply(id, &protocol.FleetReply{Error: result.New(result.NotFound, "no ledger host %s", name)})
	case host.Retiring:
		c.transport.Reply(id, &protocol.FleetReply{})
	case !c.fleetTracker.CanRetire(c.system.fleet, host.Member, c.nowMs):
		c.transport.Reply(id, &protocol.FleetReply{Error: result.New(result.TooFewLeft, "too few ledger hosts would remain without %s", name)})
	default:
		host.Retiring = true
		c.proposeFleetUpdate(id, group, &membership.FleetUpdate{PutLedgers: []membership.LedgerHost{host}})
	}
}

func (c *Core) readRetirement(id RequestID, group *replication.Group, name string) {
	c.host.LinearizableRead(group, func(failure *result.Error) {
		host, known := c.ledgerHostByName(name)
		if failure == nil && (!known || !host.Retiring) {
			failure = result.New(result.NotFound, "ledger host %s is not retiring", name)
		}
		done := failure == nil && c.fleetTracker != nil && c.fleetTracker.IsDrained(c.system.fleet, host.Member)
		c.transport.Reply(id, &protocol.FleetReply{Error: failure, IsRetired: done})
	})
}

// planFleet proposes the changes that silent gateways and engines, lost ledger hosts and subset
// sizes require, one update at a time.
func (c *Core) planFleet() {
	if c.fleetUpdatePending || c.nowMs-c.lastFleetPlanMs < fleetPlanIntervalMs {
		return
	}
	group := c.host.Groups[0]
	// Invariant: a leader plans only from a fleet that includes every update of
	// earlier leaders.
	if group.Node.TermAt(group.Node.AppliedIndex()) != group.Node.Term() {
		return
	}
	c.lastFleetPlanMs = c.nowMs
	update := c.fleetTracker.Plan(c.system.fleet, c.nowMs)
	update.PutSubsetSizes = c.planSubsetSizes()
	update.CoverVersions = !c.system.fleet.CoversVersions() && c.allMembers(c.supportsVersionSubsets)
	if update.IsEmpty() {
		return
	}
	failure := c.host.Propose(group, &systemCommand{Fleet: &update}, func(any) { c.fleetUpdatePending = false })
	c.fleetUpdatePending = failure == nil
}

// planSubsetSizes returns the new sizes of the subsets in which more or fewer engines should be
// advertised.
func (c *Core) planSubsetSizes() []membership.SubsetSize {
	if c.nowMs-c.lastSubsetPlanMs < subsetPlanIntervalMs {
		return nil
	}
	c.lastSubsetPlanMs = c.nowMs
	return c.fleetTracker.PlanSubsetSizes(c.system.fleet, func(engine string) float64 { return c.loadAggregator.InFlight(engine, c.nowMs) }, c.nowMs)
}
