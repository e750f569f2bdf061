package routing

import (
	"slices"
	"strings"
)

// Index finds the route of a request in one table; it is never changed.
type Index struct {
	Table    *Table
	byHost   map[string][]*Route
	backends map[string]Backend
	holders  map[KeyDigest]*Tenant
}

// NewIndex returns the index of a table, which must not change after that.
func NewIndex(table *Table) *Index {
	index := &Index{Table: table, byHost: map[string][]*Route{}, backends: map[string]Backend{}, holders: map[KeyDigest]*Tenant{}}
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
	return index
}

// Find returns the route with the longest prefix of path on host, nil where there
// is none. A port in host does not count.
func (i *Index) Find(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range i.byHost[name] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Holder returns the tenant that holds a key, nil where there is none. Look-ups go by digest:
// how long one takes tells nothing of the keys that exist.
func (i *Index) Holder(key string) *Tenant { return i.holders[DigestKey(key)] }

// Backend returns a back end of the table.
func (i *Index) Backend(name string) Backend { return i.backends[name] }

// Choose returns the back end of a route for a draw within 0..1.
func (r *Route) Choose(draw float64) string {
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
