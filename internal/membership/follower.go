package membership

import "maps"

// FleetView is a follower's view of the fleet. Every change creates a new view, so that
// readers need no lock.
type FleetView struct {
	Version uint64
	Engines map[string]ServingEngine
	Ledgers map[string]LedgerHost
	Groups  map[uint32]Placement
}

// ApplyDelta returns the view with the delta applied and reports whether anything changed.
// Invariant: the version only increases during the lifetime of the follower's process.
func (v *FleetView) ApplyDelta(delta FleetDelta) (*FleetView, bool) {
	if v != nil && delta.Version <= v.Version {
		return v, false
	}
	next := &FleetView{Version: delta.Version}
	if v == nil || delta.IsFull {
		next.Engines, next.Ledgers, next.Groups = map[string]ServingEngine{}, map[string]LedgerHost{}, map[uint32]Placement{}
	} else {
		next.Engines, next.Ledgers, next.Groups = maps.Clone(v.Engines), maps.Clone(v.Ledgers), maps.Clone(v.Groups)
	}
	for _, key := range delta.Removed {
		delete(next.Engines, key)
		delete(next.Ledgers, key)
	}
	for _, engine := range delta.Engines {
		next.Engines[engine.ID] = engine
	}
	for _, host := range delta.Ledgers {
		next.Ledgers[host.Member] = host
	}
	for _, placement := range delta.Groups {
		next.Groups[placement.Group] = placement
	}
	return next, true
}
