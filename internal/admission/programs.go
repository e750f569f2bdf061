package admission

import "math"

const (
	// horizonCount is the number of points of the coming window at which the demand is compared
	// with the limit.
	horizonCount = 10
	// forecastLifetimeMs is how long a forecast is used, both for a kind and over all programs of a
	// tenant.
	forecastLifetimeMs = 100
	// idleProgramLifetimeMs is how long a program without requests is kept.
	idleProgramLifetimeMs = 30_000
)

// TenantPrograms holds the programs of one tenant that have started, and the forecast of their
// requests within the coming window.
type TenantPrograms struct {
	kinds    *ProgramKinds
	windowMs int64
	byName   map[string]*program
	// demand is the mean number of requests that the programs will make up to each horizon, as of
	// forecastedMs. Programs that started later are added to it.
	demand       [horizonCount]float64
	forecastedMs int64
	hasForecast  bool
	// lastStartMs is when a program last started, 0 for never.
	lastStartMs int64
}

// program is a program that has started.
type program struct {
	kind *ProgramKind
	// grantedRequests is the number of its granted requests, and lastGrantMs is when the last one
	// was granted.
	grantedRequests int
	lastGrantMs     int64
	// countsAsEnded means that the program has made no request for so long that it counts as ended.
	countsAsEnded bool
}

// NewTenantPrograms returns the programs of a tenant whose limit applies to a window.
func NewTenantPrograms(kinds *ProgramKinds, windowMs int64) *TenantPrograms {
	return &TenantPrograms{kinds: kinds, windowMs: windowMs, byName: map[string]*program{}}
}

// IsInProgress reports whether a program has started and is still kept.
func (p *TenantPrograms) IsInProgress(name string) bool {
	_, inProgress := p.byName[name]
	return inProgress
}

// Len returns the number of programs that are kept.
func (p *TenantPrograms) Len() int { return len(p.byName) }

// RecordGrant records a request of a program that was made at requestedMs and granted at nowMs.
// kind is the kind of the program if the request is a turn, and empty otherwise.
func (p *TenantPrograms) RecordGrant(name, kind string, requestedMs, nowMs int64) {
	current := p.byName[name]
	if current == nil {
		current = &program{kind: p.kinds.GetOrCreate(kind), grantedRequests: 1, lastGrantMs: nowMs}
		p.byName[name] = current
		p.lastStartMs = nowMs
		p.addDemand(current, nowMs)
		return
	}
	if current.countsAsEnded {
		current.countsAsEnded = false
		current.kind.UndoEnd(current.grantedRequests)
	}
	current.kind.ObserveContinuation(current.grantedRequests, requestedMs-current.lastGrantMs)
	current.grantedRequests++
	current.lastGrantMs = nowMs
}

// UndoGrant reverts RecordGrant for a request that no engine ran. A program of which nothing has
// run has not started.
func (p *TenantPrograms) UndoGrant(name string) {
	current := p.byName[name]
	if current == nil {
		return
	}
	current.grantedRequests--
	if current.grantedRequests <= 0 {
		delete(p.byName, name)
		p.hasForecast = false
		return
	}
	current.kind.UndoContinuation(current.grantedRequests)
}

// addDemand adds the forecast of one program to the demand.
func (p *TenantPrograms) addDemand(current *program, nowMs int64) {
	forecast, bucket := current.kind.forecastAt(nowMs, p.windowMs), progressBucket(current.grantedRequests)
	continueProbability := current.kind.continueProbability(forecast.endProbability[bucket], float64(nowMs-current.lastGrantMs))
	for horizon, requests := range forecast.requestsWithin[bucket] {
		p.demand[horizon] += continueProbability * requests
	}
}

// updateForecast recomputes the demand when it is out of date. It also removes idle programs and
// marks those that count as ended.
func (p *TenantPrograms) updateForecast(nowMs int64) {
	if p.hasForecast && nowMs-p.forecastedMs < forecastLifetimeMs {
		return
	}
	p.hasForecast, p.forecastedMs = true, nowMs
	p.demand = [horizonCount]float64{}
	for name, current := range p.byName {
		idleMs := nowMs - current.lastGrantMs
		switch {
		case idleMs > idleProgramLifetimeMs:
			delete(p.byName, name)
		case current.countsAsEnded:
		case float64(idleMs) >= current.kind.InactivityTimeoutMs():
			current.countsAsEnded = true
			current.kind.ObserveEnd(current.grantedRequests)
		default:
			p.addDemand(current, nowMs)
		}
	}
}

// RemoveIdle removes idle programs, if the forecast is out of date.
func (p *TenantPrograms) RemoveIdle(nowMs int64) { p.updateForecast(nowMs) }

// Decision is the decision whether a program may start, with the figures on which it is based.
type Decision struct {
	Admitted bool
	// CountedRequests is the number of granted requests that still count, ExpectedRequests the
	// number expected of the programs in progress, and OwnRequests the number of the program
	// itself, all up to the moment with the least headroom.
	CountedRequests  int64
	ExpectedRequests float64
	OwnRequests      float64
	// AdmissionIntervalMs is the mean interval at which programs of the kind fit the limit in the
	// long run.
	AdmissionIntervalMs int64
}

// DecideAdmission decides whether a program of a kind may start: at no moment of the coming window
// may the mean number of requests exceed allowed. The queue absorbs the spread around the mean.
// Keeping a standard deviation free as well would refuse a fifth more programs and shorten the 99th
// percentile of the wait from 0.3 to 0.1 s (docs/design/0011-limits-by-program.md). countedAt
// returns how many of the requests granted so far still count at a time. externalDemand is an
// estimate of the demand within the window from another source, such as that of programs that a new
// owner of the tenant's limit has not seen yet; the higher estimate counts.
//
// A tenant without a program in progress may always start one, however small its limit. The program
// then uses what the limit allows.
func (p *TenantPrograms) DecideAdmission(kind string, nowMs int64, allowed int64, externalDemand float64, countedAt func(atMs int64) int64) Decision {
	p.updateForecast(nowMs)
	ownForecast := p.kinds.GetOrCreate(kind).forecastAt(nowMs, p.windowMs)
	continueProbability := 1 - ownForecast.endProbability[0]
	decision := Decision{AdmissionIntervalMs: int64(float64(p.windowMs) * ownForecast.meanRequests / math.Max(float64(allowed), 1))}
	minHeadroom := math.Inf(1)
	for index, requests := range ownForecast.requestsWithin[0] {
		aheadMs := horizonMs(p.windowMs, index)
		ownDemand := 1 + continueProbability*requests
		expected := math.Max(p.demand[index], externalDemand*float64(aheadMs)/float64(p.windowMs))
		counted := countedAt(nowMs + aheadMs)
		headroom := float64(allowed) - float64(counted) - expected - ownDemand
		if headroom < minHeadroom {
			minHeadroom = headroom
			decision.CountedRequests, decision.ExpectedRequests, decision.OwnRequests = counted, expected, ownDemand
		}
	}
	decision.Admitted = minHeadroom >= 0 || (p.demand[horizonCount-1] < 1 && externalDemand < 1)
	return decision
}

// LastStartMs returns when a program last started, 0 for never.
func (p *TenantPrograms) LastStartMs() int64 { return p.lastStartMs }
