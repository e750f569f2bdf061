package quota

import (
	"cmp"
	"slices"
)

// limitPressureTimeoutMs is the time without a waiting or denied request after which a tenant
// counts as below its limit again, in milliseconds.
const limitPressureTimeoutMs = 5000

// TenantUsage is the usage of one tenant's limit as reported to operators.
type TenantUsage struct {
	Tenant string `json:"tenant"`
	// Used is the number of requests that count in the window, Allowed the limit of the window,
	// and AllowedInProgress the limit for programs in progress, tolerance included.
	Used              int64 `json:"used"`
	Allowed           int64 `json:"allowed"`
	AllowedInProgress int64 `json:"most"`
	// Waiting is the number of requests that wait for headroom. Programs is the number of tracked
	// programs, which are removed after half a minute without a request.
	Waiting  int `json:"waiting"`
	Programs int `json:"programs"`
	// DeniedNew counts the denied requests of new programs and DeniedInProgress all other denied
	// requests, both since this owner's term began. AtLimitMs is how long requests have been
	// waiting or denied, in milliseconds; 0 if none was within limitPressureTimeoutMs.
	DeniedNew        int64 `json:"denied_new"`
	DeniedInProgress int64 `json:"denied_under_way"`
	AtLimitMs        int64 `json:"at_limit_ms"`
}

// limitPressure records since when requests of a tenant have been waiting or denied, when one last
// was, and the numbers of denied requests.
type limitPressure struct {
	sinceMs, lastMs             int64
	deniedNew, deniedInProgress int64
}

// record updates the pressure with the decision made at nowMs.
func (p *limitPressure) record(decision Decision, newProgram bool, nowMs int64) {
	switch {
	case decision.Verdict != Denied && decision.Verdict != Waiting:
		return
	case decision.Verdict == Denied && newProgram:
		p.deniedNew++
	case decision.Verdict == Denied:
		p.deniedInProgress++
	}
	if p.lastMs == 0 || nowMs-p.lastMs > limitPressureTimeoutMs {
		p.sinceMs = nowMs
	}
	p.lastMs = nowMs
}

// atLimitMs returns for how long requests have been waiting or denied, 0 if none was within the
// last limitPressureTimeoutMs.
func (p *limitPressure) atLimitMs(nowMs int64) int64 {
	if p.lastMs == 0 || nowMs-p.lastMs > limitPressureTimeoutMs {
		return 0
	}
	return max(nowMs-p.sinceMs, 1)
}

// Usage returns the usage of all tenants of this owner, in descending order of denials.
func (o *Owner) Usage(nowMs int64) []TenantUsage {
	var usages []TenantUsage
	for name, tenant := range o.tenants {
		tenant.expire(nowMs)
		usages = append(usages, TenantUsage{
			Tenant: name, Used: tenant.used(), Allowed: tenant.allowed(), AllowedInProgress: tenant.allowedInProgress(), Waiting: len(tenant.queue),
			Programs: tenant.programs.Len(), DeniedNew: tenant.pressure.deniedNew, DeniedInProgress: tenant.pressure.deniedInProgress,
			AtLimitMs: tenant.pressure.atLimitMs(nowMs),
		})
	}
	slices.SortFunc(usages, func(a, b TenantUsage) int {
		return cmp.Or(cmp.Compare(b.DeniedNew+b.DeniedInProgress, a.DeniedNew+a.DeniedInProgress), cmp.Compare(a.Tenant, b.Tenant))
	})
	return usages
}
