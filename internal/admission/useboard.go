package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	// totalsLifetimeMs is how long totals are reused. Computing them takes as many steps as there
	// are tenants in the reports of all gateways.
	totalsLifetimeMs = 200
	// startHalfLifeMs is the half-life of a program start. It is long enough that one program of a
	// small tenant does not look like a burst.
	startHalfLifeMs = 2_000
	// serviceHalfLifeMs is the half-life of the observed service time of programs, longer than the
	// duration of programs. With fewer than minProgramStarts programs the service time is unknown.
	serviceHalfLifeMs = 10_000
	minProgramStarts  = 8
	// minDecayedCount is the count below which a decayed count is removed.
	minDecayedCount = 0.01
)

// decayingCount is a count that decays exponentially.
type decayingCount struct {
	count float64
	atMs  int64
}

// at returns the count decayed to nowMs.
func (d *decayingCount) at(nowMs int64, halfLifeMs float64) float64 {
	if nowMs > d.atMs {
		d.count *= math.Exp2(-float64(nowMs-d.atMs) / halfLifeMs)
		d.atMs = nowMs
	}
	return d.count
}

// add adds to the count at nowMs.
func (d *decayingCount) add(count float64, nowMs int64, halfLifeMs float64) {
	d.at(nowMs, halfLifeMs)
	d.count += count
}

// UsageAggregator aggregates the usage reports of gateways at control. It is soft state: an empty
// aggregator returns no usage, and no tenant is then limited to a share.
type UsageAggregator struct {
	byGateway map[string]gatewayReport
	backends  map[string]*backendStatistics
	totals    []BackendUsage
	totalsMs  int64
	// Version is incremented with every new computation of the totals.
	Version uint64
}

// gatewayReport is the last report of a gateway.
type gatewayReport struct {
	atMs   int64
	usages []BackendUsage
}

// backendStatistics holds the observed service time and program starts of one backend.
type backendStatistics struct {
	// serviceSeconds is the total duration of requests in seconds, and programStarts the number of
	// programs started.
	serviceSeconds, programStarts decayingCount
	startsByTenant                map[string]*decayingCount
}

// NewUsageAggregator returns an empty aggregator.
func NewUsageAggregator() *UsageAggregator {
	return &UsageAggregator{byGateway: map[string]gatewayReport{}, backends: map[string]*backendStatistics{}}
}

// ReportUsage replaces the report of a gateway, which omits backends without usage.
func (a *UsageAggregator) ReportUsage(gateway string, usages []BackendUsage, nowMs int64) {
	previous, hasPrevious := a.byGateway[gateway]
	delete(a.byGateway, gateway)
	if len(usages) == 0 {
		return
	}
	usages = usages[:min(len(usages), maxReportedBackends)]
	a.byGateway[gateway] = gatewayReport{atMs: nowMs, usages: usages}
	const millisecondsPerSecond = 1000
	elapsed := 0.0
	if hasPrevious {
		elapsed = float64(min(nowMs-previous.atMs, usageLifetimeMs)) / millisecondsPerSecond
	}
	for _, usage := range usages {
		if !areValid(usage.InFlight, usage.ProgramStarts) {
			continue
		}
		statistics := a.backends[usage.Backend]
		if statistics == nil {
			statistics = &backendStatistics{startsByTenant: map[string]*decayingCount{}}
			a.backends[usage.Backend] = statistics
		}
		statistics.serviceSeconds.add(float64(usage.InFlight)*elapsed, nowMs, serviceHalfLifeMs)
		statistics.programStarts.add(float64(usage.ProgramStarts), nowMs, serviceHalfLifeMs)
		statistics.addTenantStarts(usage.Tenants, nowMs)
	}
}

// addTenantStarts adds the programs that tenants have started.
func (s *backendStatistics) addTenantStarts(tenants []TenantUsage, nowMs int64) {
	for _, tenant := range tenants {
		if !areValid(tenant.ProgramStarts) || tenant.ProgramStarts == 0 {
			continue
		}
		if s.startsByTenant[tenant.Tenant] == nil {
			s.startsByTenant[tenant.Tenant] = &decayingCount{}
		}
		s.startsByTenant[tenant.Tenant].add(float64(tenant.ProgramStarts), nowMs, startHalfLifeMs)
	}
}

// serviceSecondsPerProgram returns the mean total duration of a program's requests in seconds, 0 if
// unknown.
func (s *backendStatistics) serviceSecondsPerProgram(nowMs int64) float32 {
	starts := s.programStarts.at(nowMs, serviceHalfLifeMs)
	if starts < minProgramStarts {
		return 0
	}
	return float32(s.serviceSeconds.at(nowMs, serviceHalfLifeMs) / starts)
}

// startsPerSecond returns how many programs a tenant starts per second. At a constant rate, the
// decayed count is the rate times the half-life divided by ln 2.
func (s *backendStatistics) startsPerSecond(tenant string, nowMs int64) float32 {
	starts := s.startsByTenant[tenant]
	if starts == nil {
		return 0
	}
	const perSecond = math.Ln2 * 1000
	return float32(starts.at(nowMs, startHalfLifeMs) * perSecond / startHalfLifeMs)
}

// Totals returns the usage of each backend over all gateways, with at most maxReportedTenants
// tenants each.
func (a *UsageAggregator) Totals(nowMs int64) []BackendUsage {
	if a.Version > 0 && nowMs-a.totalsMs < totalsLifetimeMs && nowMs >= a.totalsMs {
		return a.totals
	}
	a.totalsMs = nowMs
	a.Version++
	a.removeExpired(nowMs)
	a.totals = a.computeTotals(nowMs)
	return a.totals
}

// removeExpired removes gateways without recent reports and counts that have decayed.
func (a *UsageAggregator) removeExpired(nowMs int64) {
	for gateway, report := range a.byGateway {
		if nowMs-report.atMs > usageLifetimeMs {
			delete(a.byGateway, gateway)
		}
	}
	for name, statistics := range a.backends {
		for tenant, count := range statistics.startsByTenant {
			if count.at(nowMs, startHalfLifeMs) < minDecayedCount {
				delete(statistics.startsByTenant, tenant)
			}
		}
		if statistics.serviceSeconds.at(nowMs, serviceHalfLifeMs) < minDecayedCount && statistics.programStarts.at(nowMs, serviceHalfLifeMs) < minDecayedCount {
			delete(a.backends, name)
		}
	}
}

// computeTotals adds up the reports of all gateways.
func (a *UsageAggregator) computeTotals(nowMs int64) []BackendUsage {
	totals := map[string]*BackendUsage{}
	tenants := map[string]map[string]TenantUsage{}
	for _, report := range a.byGateway {
		for _, usage := range report.usages {
			if totals[usage.Backend] == nil {
				totals[usage.Backend] = &BackendUsage{Backend: usage.Backend}
				tenants[usage.Backend] = map[string]TenantUsage{}
			}
			if areValid(usage.InFlight) {
				totals[usage.Backend].InFlight += usage.InFlight
			}
			addTenantUsages(tenants[usage.Backend], usage.Tenants)
		}
	}
	var all []BackendUsage
	for backend, total := range totals {
		if statistics := a.backends[backend]; statistics != nil {
			total.ServiceSecondsPerProgram = statistics.serviceSecondsPerProgram(nowMs)
			statistics.setProgramStarts(tenants[backend], nowMs)
		}
		all = append(all, total.withTopTenants(tenants[backend]))
	}
	slices.SortFunc(all, func(x, y BackendUsage) int { return cmp.Compare(x.Backend, y.Backend) })
	return all
}

// addTenantUsages adds the valid usages of tenants to the totals.
func addTenantUsages(totals map[string]TenantUsage, tenants []TenantUsage) {
	for _, tenant := range tenants {
		if !areValid(tenant.InFlight, tenant.Weight) {
			continue
		}
		total := totals[tenant.Tenant]
		total.Tenant, total.Weight = tenant.Tenant, max(total.Weight, tenant.Weight)
		total.InFlight += tenant.InFlight
		totals[tenant.Tenant] = total
	}
}

// setProgramStarts sets the program starts per second of each listed tenant.
func (s *backendStatistics) setProgramStarts(tenants map[string]TenantUsage, nowMs int64) {
	for name, tenant := range tenants {
		tenant.ProgramStarts = s.startsPerSecond(name, nowMs)
		tenants[name] = tenant
	}
}

// withTopTenants returns the total with the tenants that have the highest demand for their weight.
func (u *BackendUsage) withTopTenants(tenants map[string]TenantUsage) BackendUsage {
	total, listedInFlight := *u, 0.0
	for _, tenant := range tenants {
		total.Tenants = append(total.Tenants, tenant)
		total.Demand += float32(total.TenantDemand(tenant))
		listedInFlight += float64(tenant.InFlight)
	}
	total.Demand += float32(max(float64(total.InFlight)-listedInFlight, 0))
	slices.SortFunc(total.Tenants, func(x, y TenantUsage) int {
		return cmp.Or(cmp.Compare(total.demandPerWeight(y), total.demandPerWeight(x)), cmp.Compare(x.Tenant, y.Tenant))
	})
	total.Tenants = total.Tenants[:min(len(total.Tenants), maxReportedTenants)]
	return total
}
