package routing

import "reflect"

// Delta is what changed from one table to a later one: fan-out sends it in place
// of whole tables.
type Delta struct {
	// From is the generation that the delta builds on; zero carries a whole table.
	From       uint64    `msgpack:"f,omitempty"`
	Generation uint64    `msgpack:"g"`
	Put        []Route   `msgpack:"p,omitempty"`
	Removed    []string  `msgpack:"r,omitempty"`
	Backends   []Backend `msgpack:"b,omitempty"`
	Limits     Limits    `msgpack:"l"`
}

func routeKey(route *Route) string { return route.Host + "\x00" + route.PathPrefix }

// NewDelta returns what leads from a table, nil for none, to a later one.
func NewDelta(from, to *Table) *Delta {
	delta := &Delta{Generation: to.Generation, Backends: to.Backends, Limits: to.Limits}
	old := map[string]*Route{}
	if from != nil {
		delta.From = from.Generation
		for position := range from.Routes {
			old[routeKey(&from.Routes[position])] = &from.Routes[position]
		}
	}
	for position := range to.Routes {
		route := &to.Routes[position]
		key := routeKey(route)
		previous, known := old[key]
		delete(old, key)
		if !known || !reflect.DeepEqual(previous, route) {
			delta.Put = append(delta.Put, *route)
		}
	}
	for key := range old {
		delta.Removed = append(delta.Removed, key)
	}
	return delta
}

// Apply returns the table after a delta; false where the delta builds on another
// table or leads to an older one. Invariant: the generation only grows.
func (d *Delta) Apply(current *Table) (*Table, bool) {
	if current != nil && d.Generation <= current.Generation {
		return current, false
	}
	if d.From != 0 && (current == nil || current.Generation != d.From) {
		return current, false
	}
	removed := map[string]bool{}
	for _, key := range d.Removed {
		removed[key] = true
	}
	replaced := map[string]bool{}
	for position := range d.Put {
		replaced[routeKey(&d.Put[position])] = true
	}
	next := &Table{Generation: d.Generation, Backends: d.Backends, Limits: d.Limits}
	if d.From != 0 {
		for position := range current.Routes {
			key := routeKey(&current.Routes[position])
			if !removed[key] && !replaced[key] {
				next.Routes = append(next.Routes, current.Routes[position])
			}
		}
	}
	next.Routes = append(next.Routes, d.Put...)
	return next, true
}
