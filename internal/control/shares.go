package control

import (
	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/clock"
)

// ShareView is a tenant's use of a back end, for an operator.
type ShareView struct {
	Tenant   string  `json:"tenant"`
	Weight   float64 `json:"weight"`
	InFlight float64 `json:"in_flight"`
	// Demand is what will be under way of what the tenant begins, Share
	// what it is held to while the back end is short, 0 while it is not.
	Demand         float64 `json:"demand"`
	Share          float64 `json:"share"`
	AboveFairShare bool    `json:"above"`
}

// BackendShares are the shares of one back end, for an operator.
type BackendShares struct {
	Backend string `json:"backend"`
	Engines int    `json:"engines"`
	// Capacity is by the engines' slots; gateways may have learnt that there is less.
	Capacity       float64     `json:"room"`
	Demand         float64     `json:"demand"`
	Oversubscribed bool        `json:"short"`
	Tenants        []ShareView `json:"tenants"`
}

// SharesView is a control process's answer to an operator: empty where it does not lead.
type SharesView struct {
	Process  string          `json:"process"`
	Leads    bool            `json:"leads"`
	Backends []BackendShares `json:"backends"`
}

// Shares tells of the tenants that gateways have named lately.
func (c *Core) Shares(nowMs int64) SharesView {
	view := SharesView{Process: c.options.Name}
	if c.uses == nil {
		return view
	}
	view.Leads = true
	engines, slots := map[string]int{}, map[string]int{}
	for _, engine := range c.system.fleet.Engines() {
		if !engine.Draining {
			engines[engine.Backend]++
		}
	}
	if table := c.system.tree.Routing(); table != nil {
		for _, backend := range table.Backends {
			slots[backend.Name] = backend.Slots
		}
	}
	sums := c.uses.Totals(nowMs)
	var shares admission.FairShares
	shares.ApplyUsage(sums, nowMs)
	for _, use := range sums {
		room := admission.UsableConcurrency(slots[use.Backend], 0) * float64(engines[use.Backend])
		backend := BackendShares{Backend: use.Backend, Engines: engines[use.Backend], Capacity: room, Demand: float64(use.Demand), Oversubscribed: float64(use.Demand) > room}
		for _, tenant := range use.Tenants {
			position := shares.Status(use.Backend, tenant.Tenant, room, nowMs)
			backend.Tenants = append(backend.Tenants, ShareView{
				Tenant: tenant.Tenant, Weight: float64(tenant.Weight), InFlight: float64(tenant.InFlight),
				Demand: use.TenantDemand(tenant), Share: position.Share, AboveFairShare: position.AboveFairShare,
			})
		}
		view.Backends = append(view.Backends, backend)
	}
	return view
}

// shares answers an operator.
func (d *Daemon) shares() any {
	views := make(chan SharesView, 1)
	d.loop.Post(func() { views <- d.core.Shares(clock.NowMs()) })
	return <-views
}
