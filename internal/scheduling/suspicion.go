package scheduling

import (
	"maps"
	"slices"
)

// minFailingGateways is the number of gateways whose requests must have failed at an engine before
// all others avoid it. A single gateway may have lost its own connection to the engine.
const minFailingGateways = 2

// failureReport is a gateway's report that its requests fail at an engine.
type failureReport struct {
	zone string
	atMs int64
}

// ReportFailingEngines records the engines at which a gateway's requests fail.
func (a *LoadAggregator) ReportFailingEngines(gateway, zone string, engines []string, nowMs int64) {
	for _, engine := range engines {
		if a.failureReports[engine] == nil {
			a.failureReports[engine] = map[string]failureReport{}
		}
		a.failureReports[engine][gateway] = failureReport{zone, nowMs}
	}
}

// FailingEngines returns the given engines at which requests of at least minFailingGateways
// gateways in a zone fail. In a large fleet each gateway sends few requests to an engine, and would
// detect that the engine is gone only by losing one of its own requests. Reports from other zones
// don't count, because the network between the zones may be partitioned.
func (a *LoadAggregator) FailingEngines(engines []string, zone string, nowMs int64) []string {
	var failing []string
	for _, engine := range engines {
		gateways := 0
		for _, report := range a.failureReports[engine] {
			if report.zone == zone && nowMs-report.atMs <= loadLifetimeMs {
				gateways++
			}
		}
		if gateways >= minFailingGateways {
			failing = append(failing, engine)
		}
	}
	return failing
}

// sweepFailureReports removes reports that are too old.
func (a *LoadAggregator) sweepFailureReports(nowMs int64) {
	for engine, reports := range a.failureReports {
		maps.DeleteFunc(reports, func(_ string, report failureReport) bool { return nowMs-report.atMs > loadLifetimeMs })
		if len(reports) == 0 {
			delete(a.failureReports, engine)
		}
	}
}

// FailingEngines returns the engines at which this gateway's requests fail, in ascending order.
func FailingEngines(engines map[string]*EngineHealth, nowMs int64) []string {
	var failing []string
	for id, health := range engines {
		if health.IsFailing(nowMs) {
			failing = append(failing, id)
		}
	}
	slices.Sort(failing)
	return failing
}
