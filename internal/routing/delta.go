package routing

import "reflect"

// Delta is the difference between a table and a later one. It is distributed instead of whole
// tables.
type Delta struct {
	// BaseGeneration is the generation that the delta applies to; zero means that the delta
	// contains a whole table.
	BaseGeneration uint64    `msgpack:"f,omitempty"`
	Generation     uint64    `msgpack:"g"`
	PutRoutes      []Route   `msgpack:"p,omitempty"`
	RemovedRoutes  []string  `msgpack:"r,omitempty"`
	Backends       []Backend `msgpack:"b,omitempty"`
	Limits         Limits    `msgpack:"l"`
	RequiresKey    bool      `msgpack:"y,omitempty"`
	// PutTenants are the new or changed tenants, and RemovedTenants the names of the removed ones.
	PutTenants     []Tenant `msgpack:"t,omitempty"`
	RemovedTenants []string `msgpack:"d,omitempty"`
}

// routeKey returns the key that identifies a route in deltas.
func routeKey(route *Route) string { return route.Host + "\x00" + route.PathPrefix }

// tenantKey returns the key that identifies a tenant in deltas.
func tenantKey(tenant *Tenant) string { return tenant.Name }

// NewDelta returns the delta from a table, which may be nil, to a later one.
func NewDelta(from, to *Table) *Delta {
	delta := &Delta{Generation: to.Generation, Backends: to.Backends, Limits: to.Limits, RequiresKey: to.RequiresKey}
	if from == nil {
		from = &Table{}
	}
	delta.BaseGeneration = from.Generation
	delta.PutRoutes, delta.RemovedRoutes = diff(from.Routes, to.Routes, routeKey)
	delta.PutTenants, delta.RemovedTenants = diff(from.Tenants, to.Tenants, tenantKey)
	return delta
}

// diff returns the items of to that are new or differ from those of from, and the keys of the items
// that are missing in to.
func diff[T any](from, to []T, key func(*T) string) (put []T, removed []string) {
	remaining := make(map[string]*T, len(from))
	for number := range from {
		remaining[key(&from[number])] = &from[number]
	}
	for number := range to {
		item := &to[number]
		previous, known := remaining[key(item)]
		delete(remaining, key(item))
		if !known || !reflect.DeepEqual(previous, item) {
			put = append(put, *item)
		}
	}
	for removedKey := range remaining {
		removed = append(removed, removedKey)
	}
	return put, removed
}

// Apply returns the table after the delta. It returns the current table and false if the delta
// applies to another table or does not lead to a newer one. Invariant: the generation only grows.
func (d *Delta) Apply(current *Table) (*Table, bool) {
	if current != nil && d.Generation <= current.Generation {
		return current, false
	}
	if d.BaseGeneration != 0 && (current == nil || current.Generation != d.BaseGeneration) {
		return current, false
	}
	base := &Table{}
	if d.BaseGeneration != 0 {
		base = current
	}
	return &Table{
		Generation: d.Generation, Backends: d.Backends, Limits: d.Limits, RequiresKey: d.RequiresKey,
		Routes:  applyChanges(base.Routes, d.PutRoutes, d.RemovedRoutes, routeKey),
		Tenants: applyChanges(base.Tenants, d.PutTenants, d.RemovedTenants, tenantKey),
	}, true
}

// applyChanges returns the items that are neither removed nor replaced, followed by those in put.
func applyChanges[T any](items, put []T, removed []string, key func(*T) string) []T {
	superseded := make(map[string]bool, len(removed)+len(put))
	for _, name := range removed {
		superseded[name] = true
	}
	for number := range put {
		superseded[key(&put[number])] = true
	}
	var result []T
	for number := range items {
		if !superseded[key(&items[number])] {
			result = append(result, items[number])
		}
	}
	return append(result, put...)
}
