package membership

import "maps"

// FleetView is what a follower of the fleet knows; a new one is made for every
// change, so that readers need no lock.
type FleetView struct {
	Version uint64
	Engines map[string]ServingEngine
	Ledgers map[string]LedgerHost
	Groups  map[uint32]Placement
}

// ApplyDelta returns the view after news, and whether anything changed. Invariant: the
// version only grows within one life of the follower.
func (v *FleetView) ApplyDelta(news FleetDelta) (*FleetView, bool) {
	if v != nil && news.Version <= v.Version {
		return v, false
	}
	next := &FleetView{Version: news.Version}
	if v == nil || news.IsFull {
		next.Engines, next.Ledgers, next.Groups = map[string]ServingEngine{}, map[string]LedgerHost{}, map[uint32]Placement{}
	} else {
		next.Engines, next.Ledgers, next.Groups = maps.Clone(v.Engines), maps.Clone(v.Ledgers), maps.Clone(v.Groups)
	}
	for _, key := range news.Removed {
		delete(next.Engines, key)
		delete(next.Ledgers, key)
	}
	for _, engine := range news.Engines {
		next.Engines[engine.ID] = engine
	}
	for _, host := range news.Ledgers {
		next.Ledgers[host.Member] = host
	}
	for _, placement := range news.Groups {
		next.Groups[placement.Group] = placement
	}
	return next, true
}
