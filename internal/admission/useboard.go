package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	// sumEveryMs is how old the sums may be: to add them up takes as many steps as there are
	// tenants in the reports of all gateways.
	sumEveryMs = 200
	// begunHalfLifeMs is when a program that has begun counts half: long enough that one program
	// of a small tenant does not look like a crowd.
	begunHalfLifeMs = 2_000
	// busyHalfLifeMs is that of what a program brings, longer than programs live; fewer than
	// leastBegun programs say nothing of it.
	busyHalfLifeMs = 10_000
	leastBegun     = 8
	// forgottenCount is a count that has decayed to nothing.
	forgottenCount = 0.01
)

// decaying is a count whose parts count half after a half-life.
type decaying struct {
	count float64
	atMs  int64
}

func (d *decaying) at(nowMs int64, halfLifeMs float64) float64 {
	if nowMs > d.atMs {
		d.count *= math.Exp2(-float64(nowMs-d.atMs) / halfLifeMs)
		d.atMs = nowMs
	}
	return d.count
}

func (d *decaying) add(count float64, nowMs int64, halfLifeMs float64) {
	d.at(nowMs, halfLifeMs)
	d.count += count
}

// UsageAggregator adds up at control what gateways say of the use of back ends. It is soft state: an
// empty one says nothing, and then no tenant is held to a share.
type UsageAggregator struct {
	byGateway map[string]gatewayUse
	backends  map[string]*boardBackend
	summed    []BackendUsage
	summedMs  int64
	// Version counts the sums.
	Version uint64
}

type gatewayUse struct {
	atMs int64
	uses []BackendUsage
}

// boardBackend is what is learnt of one back end.
type boardBackend struct {
	// busy is in seconds of requests, begun in programs.
	busy, begun decaying
	byTenant    map[string]*decaying
}

// NewUsageAggregator returns a board that has heard nothing.
func NewUsageAggregator() *UsageAggregator {
	return &UsageAggregator{byGateway: map[string]gatewayUse{}, backends: map[string]*boardBackend{}}
}

// ReportUsage takes what a gateway says of back ends; it says nothing of those without any use.
func (b *UsageAggregator) ReportUsage(gateway string, uses []BackendUsage, nowMs int64) {
	earlier, heard := b.byGateway[gateway]
	delete(b.byGateway, gateway)
	if len(uses) == 0 {
		return
	}
	uses = uses[:min(len(uses), mostBackends)]
	b.byGateway[gateway] = gatewayUse{atMs: nowMs, uses: uses}
	const millisecondsPerSecond = 1000
	elapsed := 0.0
	if heard {
		elapsed = float64(min(nowMs-earlier.atMs, useForgottenMs)) / millisecondsPerSecond
	}
	for _, use := range uses {
		if !sound(use.InFlight, use.ProgramStarts) {
			continue
		}
		known := b.backends[use.Backend]
		if known == nil {
			known = &boardBackend{byTenant: map[string]*decaying{}}
			b.backends[use.Backend] = known
		}
		known.busy.add(float64(use.InFlight)*elapsed, nowMs, busyHalfLifeMs)
		known.begun.add(float64(use.ProgramStarts), nowMs, busyHalfLifeMs)
		known.take(use.Tenants, nowMs)
	}
}

func (b *boardBackend) take(tenants []TenantUsage, nowMs int64) {
	for _, tenant := range tenants {
		if !sound(tenant.ProgramStarts) || tenant.ProgramStarts == 0 {
			continue
		}
		if b.byTenant[tenant.Tenant] == nil {
			b.byTenant[tenant.Tenant] = &decaying{}
		}
		b.byTenant[tenant.Tenant].add(float64(tenant.ProgramStarts), nowMs, begunHalfLifeMs)
	}
}

// perProgram is how many seconds of requests a program brings, 0 where that is not known.
func (b *boardBackend) perProgram(nowMs int64) float32 {
	begun := b.begun.at(nowMs, busyHalfLifeMs)
	if begun < leastBegun {
		return 0
	}
	return float32(b.busy.at(nowMs, busyHalfLifeMs) / begun)
}

// begunPerSecond is how many programs a tenant begins in a second.
func (b *boardBackend) begunPerSecond(tenant string, nowMs int64) float32 {
	known := b.byTenant[tenant]
	if known == nil {
		return 0
	}
	const perSecond = math.Ln2 * 1000
	return float32(known.at(nowMs, begunHalfLifeMs) * perSecond / begunHalfLifeMs)
}

// Totals returns the use of each back end over all gateways, with at most mostShares tenants each.
func (b *UsageAggregator) Totals(nowMs int64) []BackendUsage {
	if b.Version > 0 && nowMs-b.summedMs < sumEveryMs && nowMs >= b.summedMs {
		return b.summed
	}
	b.summedMs = nowMs
	b.Version++
	b.forget(nowMs)
	b.summed = b.sum(nowMs)
	return b.summed
}

// forget drops gateways that fell silent and counts that have decayed.
func (b *UsageAggregator) forget(nowMs int64) {
	for gateway, known := range b.byGateway {
		if nowMs-known.atMs > useForgottenMs {
			delete(b.byGateway, gateway)
		}
	}
	for name, known := range b.backends {
		for tenant, count := range known.byTenant {
			if count.at(nowMs, begunHalfLifeMs) < forgottenCount {
				delete(known.byTenant, tenant)
			}
		}
		if known.busy.at(nowMs, busyHalfLifeMs) < forgottenCount && known.begun.at(nowMs, busyHalfLifeMs) < forgottenCount {
			delete(b.backends, name)
		}
	}
}

func (b *UsageAggregator) sum(nowMs int64) []BackendUsage {
	sums := map[string]*BackendUsage{}
	tenants := map[string]map[string]TenantUsage{}
	for _, known := range b.byGateway {
		for _, use := range known.uses {
			if sums[use.Backend] == nil {
				sums[use.Backend] = &BackendUsage{Backend: use.Backend}
				tenants[use.Backend] = map[string]TenantUsage{}
			}
			if sound(use.InFlight) {
				sums[use.Backend].InFlight += use.InFlight
			}
			addTenants(tenants[use.Backend], use.Tenants)
		}
	}
	var all []BackendUsage
	for backend, sum := range sums {
		if known := b.backends[backend]; known != nil {
			sum.ServiceSecondsPerProgram = known.perProgram(nowMs)
			known.addBegun(tenants[backend], nowMs)
		}
		all = append(all, sum.withTenants(tenants[backend]))
	}
	slices.SortFunc(all, func(x, y BackendUsage) int { return cmp.Compare(x.Backend, y.Backend) })
	return all
}

func addTenants(into map[string]TenantUsage, tenants []TenantUsage) {
	for _, tenant := range tenants {
		if !sound(tenant.InFlight, tenant.Weight) {
			continue
		}
		sum := into[tenant.Tenant]
		sum.Tenant, sum.Weight = tenant.Tenant, max(sum.Weight, tenant.Weight)
		sum.InFlight += tenant.InFlight
		into[tenant.Tenant] = sum
	}
}

// addBegun fills in how many programs each tenant that is named begins in a second.
func (b *boardBackend) addBegun(tenants map[string]TenantUsage, nowMs int64) {
	for name, tenant := range tenants {
		tenant.ProgramStarts = b.begunPerSecond(name, nowMs)
		tenants[name] = tenant
	}
}

// withTenants returns the sum with the tenants that ask for the most for their weight.
func (u *BackendUsage) withTenants(tenants map[string]TenantUsage) BackendUsage {
	sum, named := *u, 0.0
	for _, tenant := range tenants {
		sum.Tenants = append(sum.Tenants, tenant)
		sum.Demand += float32(sum.TenantDemand(tenant))
		named += float64(tenant.InFlight)
	}
	sum.Demand += float32(max(float64(sum.InFlight)-named, 0))
	slices.SortFunc(sum.Tenants, func(x, y TenantUsage) int {
		return cmp.Or(cmp.Compare(sum.perWeight(y), sum.perWeight(x)), cmp.Compare(x.Tenant, y.Tenant))
	})
	sum.Tenants = sum.Tenants[:min(len(sum.Tenants), mostShares)]
	return sum
}
