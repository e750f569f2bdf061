package scheduling

import (
	"maps"
	"slices"
)

// leastWitnesses is how many gateways' requests must have failed at an engine before all
// others pass it over: one alone may have lost its own way to it.
const leastWitnesses = 2

// witness is a gateway at whose requests an engine failed.
type witness struct {
	zone string
	atMs int64
}

// ReportFailingEngines takes the engines at which a gateway's requests fail.
func (b *LoadAggregator) ReportFailingEngines(gateway, zone string, engines []string, nowMs int64) {
	for _, engine := range engines {
		if b.failing[engine] == nil {
			b.failing[engine] = map[string]witness{}
		}
		b.failing[engine][gateway] = witness{zone, nowMs}
	}
}

// FailingEngines returns those of the engines named at which requests of several gateways of a zone
// fail. In a large fleet each gateway sends so few requests that it would learn of an engine
// that is gone only by losing one of its own. Gateways of other zones are no witnesses: the way
// between zones may be cut.
func (b *LoadAggregator) FailingEngines(engines []string, zone string, nowMs int64) []string {
	var failing []string
	for _, engine := range engines {
		witnesses := 0
		for _, seen := range b.failing[engine] {
			if seen.zone == zone && nowMs-seen.atMs <= loadForgottenMs {
				witnesses++
			}
		}
		if witnesses >= leastWitnesses {
			failing = append(failing, engine)
		}
	}
	return failing
}

// sweepFailing forgets what was reported long ago.
func (b *LoadAggregator) sweepFailing(nowMs int64) {
	for engine, witnesses := range b.failing {
		maps.DeleteFunc(witnesses, func(_ string, seen witness) bool { return nowMs-seen.atMs > loadForgottenMs })
		if len(witnesses) == 0 {
			delete(b.failing, engine)
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
