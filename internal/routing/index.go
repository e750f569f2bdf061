package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Index finds the route of a request in one table; it is never changed.
type Index struct {
	Table    *Table
	byHost   map[string][]*Route
	backends map[string]Backend
	holders  map[KeyDigest]*Tenant
	// meanRate is that of the tenants that have one, requests a second.
	meanRate float64
	// ranks are those of the streams of each back end, the least urgent first.
	ranks map[string][]rank
}

// rank orders requests: by the tenant's priority, then by the route's, 0 first.
type rank struct{ first, second int }

func rankOf(tenant *Tenant, route *Route) rank {
	return rank{tenant.EffectivePriority(route), route.Priority}
}

// lessUrgent orders ranks, the least urgent first.
func lessUrgent(a, b rank) int {
	return cmp.Or(cmp.Compare(b.first, a.first), cmp.Compare(b.second, a.second))
}

// NewIndex returns the index of a table, which must not change after that.
func NewIndex(table *Table) *Index {
	index := &Index{Table: table, byHost: map[string][]*Route{}, backends: map[string]Backend{}, holders: map[KeyDigest]*Tenant{}, ranks: map[string][]rank{}}
	for position := range table.Routes {
		route := &table.Routes[position]
		host := strings.ToLower(route.Host)
		index.byHost[host] = append(index.byHost[host], route)
	}
	for _, routes := range index.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, backend := range table.Backends {
		index.backends[backend.Name] = backend
	}
	for position := range table.Tenants {
		for _, digest := range table.Tenants[position].Keys {
			index.holders[digest] = &table.Tenants[position]
		}
	}
	index.addRanks()
	index.meanRate = meanRate(table.Tenants)
	return index
}

// FindRoute returns the route with the longest prefix of path on host, nil where there
// is none. A port in host does not count.
func (i *Index) FindRoute(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range i.byHost[name] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// addRanks gathers the ranks that the table gives to the streams of each back end.
func (i *Index) addRanks() {
	table := i.Table
	for position := range table.Routes {
		route := &table.Routes[position]
		if route.Kind != KindStream {
			continue
		}
		given := []rank{rankOf(nil, route)}
		if len(table.Tenants) > 0 {
			given = given[:0]
		}
		for number := range table.Tenants {
			given = append(given, rankOf(&table.Tenants[number], route))
		}
		for _, share := range route.Shares {
			ranks := append(i.ranks[share.Backend], given...)
			slices.SortFunc(ranks, lessUrgent)
			i.ranks[share.Backend] = slices.Compact(ranks)
		}
	}
}

// PriorityPosition returns how many of the ranks in use at a back end are less urgent than a
// request's, and how many are in use.
func (i *Index) PriorityPosition(backend string, tenant *Tenant, route *Route) (position, ranks int) {
	known := i.ranks[backend]
	place, _ := slices.BinarySearchFunc(known, rankOf(tenant, route), lessUrgent)
	return place, len(known)
}

// TenantByKey returns the tenant that holds a key, nil where there is none. Look-ups go by digest:
// how long one takes tells nothing of the keys that exist.
func (i *Index) TenantByKey(key string) *Tenant { return i.holders[DigestKey(key)] }

// Backend returns a back end of the table.
func (i *Index) Backend(name string) Backend { return i.backends[name] }

// SelectBackend returns the back end of a route for a draw within 0..1.
func (r *Route) SelectBackend(draw float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	left := draw * total
	chosen := ""
	for _, share := range r.Shares {
		if share.Weight <= 0 {
			continue
		}
		chosen = share.Backend
		if left < share.Weight {
			return chosen
		}
		left -= share.Weight
	}
	return chosen
}

// meanRate returns the mean rate of the tenants that are bounded, 1 where none is.
func meanRate(tenants []Tenant) float64 {
	sum, bounded := 0.0, 0
	for position := range tenants {
		if tenants[position].HasRateLimit() {
			sum += tenants[position].RatePerSecond
			bounded++
		}
	}
	if bounded == 0 {
		return 1
	}
	return sum / float64(bounded)
}

// TenantWeight returns a tenant's part in what is shared while it is short: its rate, and for one
// without a bound the mean of the others.
func (i *Index) TenantWeight(tenant *Tenant) float64 {
	if tenant == nil || !tenant.HasRateLimit() {
		return i.meanRate
	}
	return tenant.RatePerSecond
}
