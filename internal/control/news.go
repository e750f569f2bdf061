package control

import (
	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// loadsMaxAgeMs is how old the aggregates of the gateways' reports may be, in milliseconds: a
// tenth of the time between two answers to one gateway. The cost of computing them grows with the
// number of pairs of gateway and engine.
const loadsMaxAgeMs = 70

// deltaCache caches the content of heartbeat answers by the version that the sender of the heartbeat
// has: after a change, or when all processes reconnect at once, hundreds of senders need the same
// content.
type deltaCache struct {
	fleet   map[membership.Scope]*versionedDeltas[membership.FleetDelta]
	routing versionedDeltas[routing.Delta]
	// loads holds the load aggregates last sent to gateways, by the gateways' scope.
	loads map[membership.Scope]loadAggregates
	// usage is the tenant usage last sent to gateways, aggregated by usageAggregator at usageVersion.
	usage           *protocol.Shared[[]admission.BackendUsage]
	usageAggregator *admission.UsageAggregator
	usageVersion    uint64
}

// loadAggregates are the aggregates of the gateways' reports about engines, computed at atMs.
type loadAggregates struct {
	atMs    int64
	loads   *protocol.Shared[[]scheduling.EngineLoad]
	usages  *protocol.Shared[[]scheduling.EngineUsage]
	failing []string
}

// versionedDeltas holds the deltas from older versions to the current one.
type versionedDeltas[T any] struct {
	version uint64
	since   map[uint64]*protocol.Shared[T]
}

// get returns the delta from one version to the current one, and builds it on the first request. A
// new current version discards the deltas to the previous one.
func (d *versionedDeltas[T]) get(version, from uint64, build func() T) *protocol.Shared[T] {
	if d.since == nil || d.version != version {
		d.version = version
		d.since = map[uint64]*protocol.Shared[T]{}
	}
	if d.since[from] == nil {
		d.since[from] = protocol.NewShared(build())
	}
	return d.since[from]
}

// fleetSince returns the delta that brings a follower from a version to the current fleet.
func (c *deltaCache) fleetSince(fleet *membership.Fleet, version uint64, scope membership.Scope) *protocol.Shared[membership.FleetDelta] {
	cached, known := c.fleet[scope]
	if c.fleet == nil {
		c.fleet = map[membership.Scope]*versionedDeltas[membership.FleetDelta]{}
	}
	if !known {
		cached = &versionedDeltas[membership.FleetDelta]{}
		c.fleet[scope] = cached
	}
	return cached.get(fleet.LatestVersion(scope), version, func() membership.FleetDelta { return fleet.DeltaSince(version, scope) })
}

// routingSince returns the delta from one routing table, nil for none, to the one in force.
func (c *deltaCache) routingSince(from, to *routing.Table) *protocol.Shared[routing.Delta] {
	generation := uint64(0)
	if from != nil {
		generation = from.Generation
	}
	return c.routing.get(to.Generation, generation, func() routing.Delta { return *routing.NewDelta(from, to) })
}

// loadsFor returns the recent reports of all gateways, aggregated for the engines that are
// advertised to a scope. The size of the result does not grow with the number of engines in the
// fleet.
func (c *deltaCache) loadsFor(aggregator *scheduling.LoadAggregator, fleet *membership.Fleet, scope membership.Scope, nowMs int64) loadAggregates {
	cached, found := c.loads[scope]
	if found && nowMs-cached.atMs < loadsMaxAgeMs && nowMs >= cached.atMs {
		return cached
	}
	if c.loads == nil {
		c.loads = map[membership.Scope]loadAggregates{}
	}
	engines := fleet.AdvertisedEngineIDs(scope)
	cached = loadAggregates{
		atMs: nowMs, loads: protocol.NewShared(aggregator.Loads(engines, nowMs)),
		usages: protocol.NewShared(aggregator.Usages(engines, nowMs)), failing: aggregator.FailingEngines(engines, scope.Zone, nowMs),
	}
	c.loads[scope] = cached
	return cached
}

// tenantUsage returns the use of backends by tenants, aggregated over all gateways.
func (c *deltaCache) tenantUsage(aggregator *admission.UsageAggregator, nowMs int64) *protocol.Shared[[]admission.BackendUsage] {
	totals := aggregator.Totals(nowMs)
	if c.usage == nil || c.usageAggregator != aggregator || c.usageVersion != aggregator.Version {
		c.usage, c.usageAggregator, c.usageVersion = protocol.NewShared(totals), aggregator, aggregator.Version
	}
	return c.usage
}
