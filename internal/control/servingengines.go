package control

import (
	"github.com/ochrebay/ochrebay/internal/membership"
)

// ServingView describes an engine that serves gateways, with what they have reported about it.
type ServingView struct {
	membership.ServingEngine
	// InFlight is the number of requests that all gateways have in flight at the engine, and
	// ReservedKVCacheTokens the number of KV cache tokens reserved for them, both as means since
	// the gateways' last reports.
	InFlight              float64 `json:"in_flight"`
	ReservedKVCacheTokens float64 `json:"held_tokens"`
	// Slowdown is the engine's time per token as a multiple of the time at the usual engine of its
	// backend, 0 if its streams have given no recent samples.
	Slowdown float64 `json:"slowness,omitempty"`
	// Advertised says that the engine is advertised to the gateways of at least one zone.
	Advertised bool `json:"advertised"`
	// AvoidReason says why gateways send the engine no new work; empty if they do.
	AvoidReason string `json:"avoided,omitempty"`
}

// Reasons for which gateways send an engine no new work.
const (
	avoidReasonDraining      = "draining"
	avoidReasonFailing       = "requests fail there"
	avoidReasonNotAdvertised = "not advertised: others suffice"
)

// servingViews lists the engines that serve gateways. Only the leader has the gateways' reports; a
// follower's list holds zeros for them.
func (c *Core) servingViews() []ServingView {
	var views []ServingView
	advertised := map[string]bool{}
	zones := map[string]bool{}
	for _, gateway := range c.system.fleet.Gateways() {
		if zones[gateway.Zone] {
			continue
		}
		zones[gateway.Zone] = true
		for _, engine := range c.system.fleet.AdvertisedEngineIDs(membership.Scope{IncludesEngines: true, Zone: gateway.Zone}) {
			advertised[engine] = true
		}
	}
	for _, engine := range c.system.fleet.Engines() {
		view := ServingView{ServingEngine: engine, Advertised: advertised[engine.ID]}
		c.addGatewayReports(&view)
		switch {
		case engine.Draining:
			view.AvoidReason = avoidReasonDraining
		case c.loadAggregator != nil && len(c.loadAggregator.FailingEngines([]string{engine.ID}, engine.Zone, c.nowMs)) > 0:
			view.AvoidReason = avoidReasonFailing
		case !view.Advertised && len(zones) > 0:
			view.AvoidReason = avoidReasonNotAdvertised
		}
		views = append(views, view)
	}
	return views
}

// addGatewayReports adds what gateways have reported about an engine.
func (c *Core) addGatewayReports(view *ServingView) {
	if c.loadAggregator == nil {
		return
	}
	view.InFlight = c.loadAggregator.InFlight(view.ID, c.nowMs)
	for _, usage := range c.loadAggregator.Usages([]string{view.ID}, c.nowMs) {
		view.ReservedKVCacheTokens = float64(usage.ReservedKVCacheTokens)
		view.Slowdown = usage.Pace.Mean()
	}
}
