package control

import (
	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/clock"
)

// ShareView describes a tenant's use of a backend to an operator.
type ShareView struct {
	Tenant   string  `json:"tenant"`
	Weight   float64 `json:"weight"`
	InFlight float64 `json:"in_flight"`
	// Demand is the number of requests that the tenant will have in flight at the
	// rate at which it starts programs. Share is the fair share to which the tenant
	// is limited while the backend is oversubscribed, 0 while it is not.
	// AboveFairShare says that the demand exceeds that share.
	Demand         float64 `json:"demand"`
	Share          float64 `json:"share"`
	AboveFairShare bool    `json:"above"`
}

// BackendShares describes the tenants' shares of one backend to an operator.
type BackendShares struct {
	Backend string `json:"backend"`
	Engines int    `json:"engines"`
	// Capacity is computed from the engines' slots; gateways may have learned a lower one.
	Capacity       float64     `json:"room"`
	Demand         float64     `json:"demand"`
	Oversubscribed bool        `json:"short"`
	Tenants        []ShareView `json:"tenants"`
}

// SharesView is a control process's answer to an operator. It lists no backends if the process
// does not lead the settings group.
type SharesView struct {
	Process  string          `json:"process"`
	IsLeader bool            `json:"leads"`
	Backends []BackendShares `json:"backends"`
}

// Shares returns the shares of the tenants that gateways have reported recently.
func (c *Core) Shares(nowMs int64) SharesView {
	view := SharesView{Process: c.options.Name}
	if c.usageAggregator == nil {
		return view
	}
	view.IsLeader = true
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
	totals := c.usageAggregator.Totals(nowMs)
	var shares admission.FairShares
	shares.ApplyUsage(totals, nowMs)
	for _, usage := range totals {
		capacity := admission.UsableConcurrency(slots[usage.Backend], 0) * float64(engines[usage.Backend])
		backend := BackendShares{Backend: usage.Backend, Engines: engines[usage.Backend], Capacity: capacity, Demand: float64(usage.Demand), Oversubscribed: float64(usage.Demand) > capacity}
		for _, tenant := range usage.Tenants {
			status := shares.Status(usage.Backend, tenant.Tenant, capacity, nowMs)
			backend.Tenants = append(backend.Tenants, ShareView{
				Tenant: tenant.Tenant, Weight: float64(tenant.Weight), InFlight: float64(tenant.InFlight),
				Demand: usage.TenantDemand(tenant), Share: status.Share, AboveFairShare: status.AboveFairShare,
			})
		}
		view.Backends = append(view.Backends, backend)
	}
	return view
}

// shares returns the SharesView of the core, read on its event loop.
func (d *Daemon) shares() any {
	views := make(chan SharesView, 1)
	d.loop.Post(func() { views <- d.core.Shares(clock.NowMs()) })
	return <-views
}
