package control

import (
	"github.com/ochrebay/ochrebay/internal/membership"
)

// ServingView is an engine that gateways send to, with what they have reported of it.
type ServingView struct {
	membership.ServingEngine
	// InFlight is how many requests all gateways have there, and HeldTokens what these take of
	// its memory, on the mean since their last reports.
	InFlight   float64 `json:"in_flight"`
	HeldTokens float64 `json:"held_tokens"`
	// Slowness is how many times longer than at the usual engine of its back end a token takes,
	// 0 where its streams have shown nothing lately.
	Slowness float64 `json:"slowness,omitempty"`
	// Advertised says that gateways are told of it.
	Advertised bool `json:"advertised"`
	// AvoidReason says why gateways send it no new work; empty where they do.
	AvoidReason string `json:"avoided,omitempty"`
}

// Why gateways send an engine no new work.
const (
	avoidedDraining = "draining"
	avoidedFailing  = "requests fail there"
	avoidedSpare    = "not advertised: others suffice"
)

// servingViews lists the engines that gateways send to. What gateways report is known to the
// leader alone; a follower's list holds zeros for it.
func (c *Core) servingViews() []ServingView {
	var views []ServingView
	told := map[string]bool{}
	scopes := map[string]bool{}
	for _, gateway := range c.system.fleet.Gateways() {
		if scopes[gateway.Zone] {
			continue
		}
		scopes[gateway.Zone] = true
		for _, engine := range c.system.fleet.AdvertisedEngineIDs(membership.Scope{IncludesEngines: true, Zone: gateway.Zone}) {
			told[engine] = true
		}
	}
	for _, engine := range c.system.fleet.Engines() {
		view := ServingView{ServingEngine: engine, Advertised: told[engine.ID]}
		c.addReported(&view)
		switch {
		case engine.Draining:
			view.AvoidReason = avoidedDraining
		case c.loads != nil && len(c.loads.FailingEngines([]string{engine.ID}, engine.Zone, c.nowMs)) > 0:
			view.AvoidReason = avoidedFailing
		case !view.Advertised && len(scopes) > 0:
			view.AvoidReason = avoidedSpare
		}
		views = append(views, view)
	}
	return views
}

// addReported adds what gateways have reported of an engine.
func (c *Core) addReported(view *ServingView) {
	if c.loads == nil {
		return
	}
	view.InFlight = c.loads.InFlight(view.ID, c.nowMs)
	for _, usage := range c.loads.Usages([]string{view.ID}, c.nowMs) {
		view.HeldTokens = float64(usage.ReservedKVCacheTokens)
		view.Slowness = usage.Pace.Mean()
	}
}
