package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Index finds routes, tenants and backends of one table. It is immutable.
type Index struct {
	Table        *Table
	routesByHost map[string][]*Route
	backends     map[string]Backend
	tenantsByKey map[KeyDigest]*Tenant
	// meanTenantRate is the mean rate of the tenants with a rate limit, in requests per second.
	meanTenantRate float64
	// streamPriorities holds the priorities of the streams of each backend, the least urgent first.
	streamPriorities map[string][]requestPriority
}

// requestPriority is the priority of a request: the effective priority first, then that of the
// route. 0 is the highest.
type requestPriority struct{ effective, route int }

// priorityOf returns the priority of a tenant's requests on a route.
func priorityOf(tenant *Tenant, route *Route) requestPriority {
	return requestPriority{tenant.EffectivePriority(route), route.Priority}
}

// compareLeastUrgentFirst orders priorities, the least urgent first.
func compareLeastUrgentFirst(a, b requestPriority) int {
	return cmp.Or(cmp.Compare(b.effective, a.effective), cmp.Compare(b.route, a.route))
}

// NewIndex returns the index of a table, which must not be changed afterwards.
func NewIndex(table *Table) *Index {
	index := &Index{Table: table, routesByHost: map[string][]*Route{}, backends: map[string]Backend{}, tenantsByKey: map[KeyDigest]*Tenant{}, streamPriorities: map[string][]requestPriority{}}
	for number := range table.Routes {
		route := &table.Routes[number]
		host := strings.ToLower(route.Host)
		index.routesByHost[host] = append(index.routesByHost[host], route)
	}
	for _, routes := range index.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, backend := range table.Backends {
		index.backends[backend.Name] = backend
	}
	for number := range table.Tenants {
		for _, digest := range table.Tenants[number].Keys {
			index.tenantsByKey[digest] = &table.Tenants[number]
		}
	}
	index.addStreamPriorities()
	index.meanTenantRate = meanTenantRate(table.Tenants)
	return index
}

// FindRoute returns the route on the host with the longest prefix of path, or nil if there is none.
// A port in host is ignored.
func (i *Index) FindRoute(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range i.routesByHost[name] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// addStreamPriorities collects the priorities of the streams of each backend.
func (i *Index) addStreamPriorities() {
	table := i.Table
	for number := range table.Routes {
		route := &table.Routes[number]
		if route.Kind != KindStream {
			continue
		}
		priorities := []requestPriority{priorityOf(nil, route)}
		if len(table.Tenants) > 0 {
			priorities = priorities[:0]
		}
		for tenantNumber := range table.Tenants {
			priorities = append(priorities, priorityOf(&table.Tenants[tenantNumber], route))
		}
		for _, share := range route.Shares {
			merged := append(i.streamPriorities[share.Backend], priorities...)
			slices.SortFunc(merged, compareLeastUrgentFirst)
			i.streamPriorities[share.Backend] = slices.Compact(merged)
		}
	}
}

// PriorityPosition returns how many of the priorities in use by streams at a backend are less
// urgent than that of a request, and how many are in use.
func (i *Index) PriorityPosition(backend string, tenant *Tenant, route *Route) (position, priorities int) {
	known := i.streamPriorities[backend]
	index, _ := slices.BinarySearchFunc(known, priorityOf(tenant, route), compareLeastUrgentFirst)
	return index, len(known)
}

// TenantByKey returns the tenant that owns a key, or nil if there is none. The lookup uses the
// digest, so that its duration reveals nothing about the keys that exist.
func (i *Index) TenantByKey(key string) *Tenant { return i.tenantsByKey[DigestKey(key)] }

// Backend returns a backend of the table.
func (i *Index) Backend(name string) Backend { return i.backends[name] }

// SelectBackend returns a backend of the route by weight, for a random sample within 0..1.
func (r *Route) SelectBackend(sample float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := sample * total
	selected := ""
	for _, share := range r.Shares {
		if share.Weight <= 0 {
			continue
		}
		selected = share.Backend
		if remaining < share.Weight {
			return selected
		}
		remaining -= share.Weight
	}
	return selected
}

// meanTenantRate returns the mean rate of the tenants with a rate limit, or 1 if there are none.
func meanTenantRate(tenants []Tenant) float64 {
	sum, limited := 0.0, 0
	for number := range tenants {
		if tenants[number].HasRateLimit() {
			sum += tenants[number].RatePerSecond
			limited++
		}
	}
	if limited == 0 {
		return 1
	}
	return sum / float64(limited)
}

// TenantWeight returns a tenant's weight in the sharing of an oversubscribed backend: its rate
// limit, or the mean rate limit of the tenants that have one.
func (i *Index) TenantWeight(tenant *Tenant) float64 {
	if tenant == nil || !tenant.HasRateLimit() {
		return i.meanTenantRate
	}
	return tenant.RatePerSecond
}
