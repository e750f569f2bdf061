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
	// orderTimeout is below the second after which callers turn to another process.
	orderTimeout = 900 * time.Millisecond
	// usualHeld is how long callers may hold an answer of the directory where it is not learnt
	// how often they ask.
	usualHeld = time.Second
)

// order has the leader carry out a fleet order.
func (d *Daemon) order(order *protocol.FleetOrder) *protocol.FleetOrderReply {
	answer := d.askWithin(orderTimeout, protocol.KindFleetOrder, order, func() any { return &protocol.FleetOrderReply{} },
		func(reply any) (*result.Error, string) {
			typed := reply.(*protocol.FleetOrderReply)
			return typed.Error, typed.Leader
		})
	if answer == nil {
		return &protocol.FleetOrderReply{Error: result.New(result.NoQuorum, "no leader answered")}
	}
	return answer.(*protocol.FleetOrderReply)
}

// ReportEngine takes an engine's report of itself; it returns once what is new of
// it is committed.
func (d *Daemon) ReportEngine(engine membership.ServingEngine) *result.Error {
	reply := d.order(&protocol.FleetOrder{Report: &engine, Incarnations: true})
	if reply.Void != "" {
		d.noteVoid(engine, reply.Void)
	}
	if reply.Restarted {
		telemetry.Info(d.logger, "engine started again", "engine", engine.ID, "backend", engine.Backend, "born", engine.StartedMs)
	}
	if engine.Draining {
		telemetry.Info(d.logger, "engine report", "engine", engine.ID, "backend", engine.Backend, "draining", engine.Draining,
			"born", engine.StartedMs, "sequence", engine.Sequence, "err", reply.Error)
	} else if reply.Error != nil {
		d.reportsRefused.Add(1)
		d.refusalLog.Do(func() {
			telemetry.Warn(d.logger, "engine reports not taken", "engine", engine.ID, "sequence", engine.Sequence, "err", reply.Error,
				"reports", d.reportsRefused.Swap(0))
		})
	}
	return reply.Error
}

// DeregisterEngine takes an engine's word that it ends.
func (d *Daemon) DeregisterEngine(incarnation membership.Incarnation) *result.Error {
	reply := d.order(&protocol.FleetOrder{Leave: incarnation.ID, LeaveBorn: incarnation.StartedMs, Incarnations: true})
	if reply.Void != "" {
		d.noteVoid(membership.ServingEngine{ID: incarnation.ID, StartedMs: incarnation.StartedMs}, reply.Void)
	}
	telemetry.Info(d.logger, "engine leaves", "engine", incarnation.ID, "born", incarnation.StartedMs, "err", reply.Error)
	return reply.Error
}

// CountIgnoredReport notes a report that names no engine to use.
func (d *Daemon) CountIgnoredReport(engine, reason string) {
	d.noteVoid(membership.ServingEngine{ID: engine}, reason)
}

// noteVoid counts a report that changed nothing, and writes one line a voidLogEvery.
func (d *Daemon) noteVoid(engine membership.ServingEngine, reason string) {
	d.reportsVoid.WithLabelValues(reason).Inc()
	d.voidCount.Add(1)
	d.voidLog.Do(func() {
		telemetry.Warn(d.logger, "engine reports void", "engine", engine.ID, "born", engine.StartedMs, "sequence", engine.Sequence,
			"backend", engine.Backend, "address", engine.Address, "reason", reason, "reports", d.voidCount.Swap(0))
	})
}

// ReplaceRouting puts a whole routing table in force where its generation is above
// the one held.
func (d *Daemon) ReplaceRouting(table *routing.Table) *result.Error {
	if failure := table.Validate(); failure != nil {
		telemetry.Info(d.logger, "routing refused", "generation", table.Generation, "err", failure)
		return failure
	}
	failure := d.order(&protocol.FleetOrder{Routing: table}).Error
	telemetry.Info(d.logger, "routing acknowledged", "generation", table.Generation, "routes", len(table.Routes), "tenants", len(table.Tenants), "err", failure)
	return failure
}

// ReadRouting returns the table in force, confirmed by a quorum; nil where there
// has been none.
func (d *Daemon) ReadRouting() (*routing.Table, *result.Error) {
	reply := d.order(&protocol.FleetOrder{ReadRouting: true})
	return reply.Routing, reply.Error
}

// RetireLedgerHost begins to empty a ledger host.
func (d *Daemon) RetireLedgerHost(name string) *result.Error {
	failure := d.order(&protocol.FleetOrder{Retire: name}).Error
	telemetry.Info(d.logger, "retire ordered", "host", name, "err", failure)
	return failure
}

// IsLedgerHostRetired reports whether a ledger host is empty.
func (d *Daemon) IsLedgerHostRetired(name string) (bool, *result.Error) {
	reply := d.order(&protocol.FleetOrder{RetireState: name})
	return reply.Done, reply.Error
}

// GatewayAddresses returns the addresses of the gateways that a caller should use, and for how long it may
// hold them. It answers from what this process knows.
func (d *Daemon) GatewayAddresses(caller membership.Caller) ([]string, time.Duration) {
	current := d.status.Load()
	if d.process.Policy.Disable.Has(scheduling.MechanismLookupRate) {
		return current.spread.Select(caller), usualHeld
	}
	d.lookUpsMutex.Lock()
	heldMs := d.lookUps.RecordLookup(current.memberSilent, clock.NowMs())
	d.lookUpsMutex.Unlock()
	return current.spread.Select(caller), time.Duration(heldMs) * time.Millisecond
}
