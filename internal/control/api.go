package control

import (
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	// fleetRequestTimeout is shorter than the second after which callers try another process.
	fleetRequestTimeout = 900 * time.Millisecond
	// defaultLookupTTL is how long callers may keep a lookup's answer while the mechanism that
	// tracks the rate of lookups is turned off.
	defaultLookupTTL = time.Second
)

// sendFleetRequest has the leader execute a fleet request.
func (d *Daemon) sendFleetRequest(request *protocol.FleetRequest) *protocol.FleetReply {
	answer := d.askLeaderWithin(fleetRequestTimeout, protocol.KindFleetRequest, request, func() any { return &protocol.FleetReply{} },
		func(reply any) (*result.Error, string) {
			typed := reply.(*protocol.FleetReply)
			return typed.Error, typed.Leader
		})
	if answer == nil {
		return &protocol.FleetReply{Error: result.New(result.NoQuorum, "no leader answered")}
	}
	return answer.(*protocol.FleetReply)
}

// ReportEngine handles an engine's report about itself. It returns once any change is
// committed.
func (d *Daemon) ReportEngine(engine membership.ServingEngine) *result.Error {
	reply := d.sendFleetRequest(&protocol.FleetRequest{Report: &engine, SupportsIncarnations: true})
	if reply.IgnoredReason != "" {
		d.recordIgnoredReport(engine, reply.IgnoredReason)
	}
	if reply.IsNewIncarnation {
		telemetry.Info(d.logger, "engine restarted", "engine", engine.ID, "backend", engine.Backend, "born", engine.StartedMs)
	}
	if engine.Draining {
		telemetry.Info(d.logger, "draining engine reported", "engine", engine.ID, "backend", engine.Backend, "draining", engine.Draining,
			"born", engine.StartedMs, "sequence", engine.Sequence, "err", reply.Error)
	} else if reply.Error != nil {
		d.refusedReports.Add(1)
		d.refusalLog.Do(func() {
			telemetry.Warn(d.logger, "engine reports refused", "engine", engine.ID, "sequence", engine.Sequence, "err", reply.Error,
				"reports", d.refusedReports.Swap(0))
		})
	}
	return reply.Error
}

// DeregisterEngine handles an engine's announcement that it is stopping.
func (d *Daemon) DeregisterEngine(incarnation membership.Incarnation) *result.Error {
	reply := d.sendFleetRequest(&protocol.FleetRequest{LeaveEngine: incarnation.ID, LeaveStartedMs: incarnation.StartedMs, SupportsIncarnations: true})
	if reply.IgnoredReason != "" {
		d.recordIgnoredReport(membership.ServingEngine{ID: incarnation.ID, StartedMs: incarnation.StartedMs}, reply.IgnoredReason)
	}
	telemetry.Info(d.logger, "engine deregistration", "engine", incarnation.ID, "born", incarnation.StartedMs, "err", reply.Error)
	return reply.Error
}

// CountIgnoredReport counts a report that does not describe a usable engine.
func (d *Daemon) CountIgnoredReport(engine, reason string) {
	d.recordIgnoredReport(membership.ServingEngine{ID: engine}, reason)
}

// recordIgnoredReport counts a report that changed nothing, and logs at most once per
// ignoredLogInterval.
func (d *Daemon) recordIgnoredReport(engine membership.ServingEngine, reason string) {
	d.ignoredReports.WithLabelValues(reason).Inc()
	d.unloggedIgnoredReports.Add(1)
	d.ignoredLog.Do(func() {
		telemetry.Warn(d.logger, "engine reports ignored", "engine", engine.ID, "born", engine.StartedMs, "sequence", engine.Sequence,
			"backend", engine.Backend, "address", engine.Address, "reason", reason, "reports", d.unloggedIgnoredReports.Swap(0))
	})
}

// ReplaceRouting puts a complete routing table in force if its generation is above
// that of the present table.
func (d *Daemon) ReplaceRouting(table *routing.Table) *result.Error {
	if failure := table.Validate(); failure != nil {
		telemetry.Info(d.logger, "routing table rejected", "generation", table.Generation, "err", failure)
		return failure
	}
	failure := d.sendFleetRequest(&protocol.FleetRequest{Routing: table}).Error
	telemetry.Info(d.logger, "routing table replacement finished", "generation", table.Generation, "routes", len(table.Routes), "tenants", len(table.Tenants), "err", failure)
	return failure
}

// ReadRouting returns the routing table in force, confirmed by a quorum; nil if there
// is none yet.
func (d *Daemon) ReadRouting() (*routing.Table, *result.Error) {
	reply := d.sendFleetRequest(&protocol.FleetRequest{ReadRouting: true})
	return reply.Routing, reply.Error
}

// RetireLedgerHost starts to move all groups off a ledger host.
func (d *Daemon) RetireLedgerHost(name string) *result.Error {
	failure := d.sendFleetRequest(&protocol.FleetRequest{RetireLedgerHost: name}).Error
	telemetry.Info(d.logger, "ledger host retirement requested", "host", name, "err", failure)
	return failure
}

// IsLedgerHostRetired reports whether a retiring ledger host holds no group any more.
func (d *Daemon) IsLedgerHostRetired(name string) (bool, *result.Error) {
	reply := d.sendFleetRequest(&protocol.FleetRequest{RetirementStatusOf: name})
	return reply.IsRetired, reply.Error
}

// GatewayAddresses returns the addresses of the gateways that a caller should use, and for how long
// the caller may keep them. It answers from the local state of this process.
func (d *Daemon) GatewayAddresses(caller membership.Caller) ([]string, time.Duration) {
	current := d.status.Load()
	if d.process.Policy.Disable.Has(scheduling.MechanismLookupRate) {
		return current.gatewaySelector.Select(caller), defaultLookupTTL
	}
	d.lookupTTLMutex.Lock()
	ttlMs := d.lookupTTL.RecordLookup(current.hasSilentMember, clock.NowMs())
	d.lookupTTLMutex.Unlock()
	return current.gatewaySelector.Select(caller), time.Duration(ttlMs) * time.Millisecond
}
