package routing

import "reflect"

// Delta is what changed from one table to a later one: fan-out sends it in place
// of whole tables.
type Delta struct {
	// BaseGeneration is the generation that the delta builds on; zero carries a whole table.
	BaseGeneration uint64    `msgpack:"f,omitempty"`
	Generation     uint64    `msgpack:"g"`
	PutRoutes      []Route   `msgpack:"p,omitempty"`
	RemovedRoutes  []string  `msgpack:"r,omitempty"`
	Backends       []Backend `msgpack:"b,omitempty"`
	Limits         Limits    `msgpack:"l"`
	RequiresKey    bool      `msgpack:"y,omitempty"`
	// PutTenants are new or changed, RemovedTenants gone, by name.
	PutTenants     []Tenant `msgpack:"t,omitempty"`
	RemovedTenants []string `msgpack:"d,omitempty"`
}

func routeKey(route *Route) string { return route.Host + "\x00" + route.PathPrefix }

func tenantKey(tenant *Tenant) string { return tenant.Name }

// NewDelta returns what leads from a table, nil for none, to a later one.
func NewDelta(from, to *Table) *Delta {
	delta := &Delta{Generation: to.Generation, Backends: to.Backends, Limits: to.Limits, RequiresKey: to.RequiresKey}
	if from == nil {
		from = &Table{}
	}
	delta.BaseGeneration = from.Generation
	delta.PutRoutes, delta.RemovedRoutes = difference(from.Routes, to.Routes, routeKey)
	delta.PutTenants, delta.RemovedTenants = difference(from.Tenants, to.Tenants, tenantKey)
	return delta
}

// difference returns the items of to that from lacks or has otherwise, and the keys of those
// that to lacks.
func difference[T any](from, to []T, key func(*T) string) (put []T, removed []string) {
	old := make(map[string]*T, len(from))
	for position := range from {
		old[key(&from[position])] = &from[position]
	}
	for position := range to {
		item := &to[position]
		previous, known := old[key(item)]
		delete(old, key(item))
		if !known || !reflect.DeepEqual(previous, item) {
			put = append(put, *item)
		}
	}
	for gone := range old {
		removed = append(removed, gone)
	}
	return put, removed
}

// Apply returns the table after a delta; false where the delta builds on another
// table or leads to an older one. Invariant: the generation only grows.
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
		Routes:  applied(base.Routes, d.PutRoutes, d.RemovedRoutes, routeKey),
		Tenants: applied(base.Tenants, d.PutTenants, d.RemovedTenants, tenantKey),
	}, true
}

// applied returns the items without the removed and replaced ones, and after them the new.
func applied[T any](items, put []T, removed []string, key func(*T) string) []T {
	gone := make(map[string]bool, len(removed)+len(put))
	for _, name := range removed {
		gone[name] = true
	}
	for position := range put {
		gone[key(&put[position])] = true
	}
	var next []T
	for position := range items {
		if !gone[key(&items[position])] {
			next = append(next, items[position])
		}
	}
	return append(next, put...)
}
