package quota

import (
	"cmp"
	"slices"
)

// calmMs is after how long without a request that waited or was denied a tenant counts as below
// its limit again.
const calmMs = 5000

// TenantUsage is what the owner of a limit tells an operator.
type TenantUsage struct {
	Tenant string `json:"tenant"`
	// Used counts in the window; Allowed is the limit there and Most what programs under way
	// may use.
	Used              int64 `json:"used"`
	Allowed           int64 `json:"allowed"`
	AllowedInProgress int64 `json:"most"`
	// Waiting are requests that wait for room, Programs those that began within the last half
	// minute.
	Waiting  int `json:"waiting"`
	Programs int `json:"programs"`
	// DeniedNew are new programs, DeniedUnderWay requests of others that were denied, both since
	// this owner began; AtLimitMs is for how long requests have waited or been denied, 0 where
	// none has lately.
	DeniedNew        int64 `json:"denied_new"`
	DeniedInProgress int64 `json:"denied_under_way"`
	AtLimitMs        int64 `json:"at_limit_ms"`
}

// pressure is since when, and when last, requests of a tenant waited or were denied.
type pressure struct {
	sinceMs, lastMs           int64
	deniedNew, deniedUnderWay int64
}

// note takes a decision at its time.
func (p *pressure) note(decision Decision, newProgram bool, nowMs int64) {
	switch {
	case decision.Verdict != Denied && decision.Verdict != Waiting:
		return
	case decision.Verdict == Denied && newProgram:
		p.deniedNew++
	case decision.Verdict == Denied:
		p.deniedUnderWay++
	}
	if p.lastMs == 0 || nowMs-p.lastMs > calmMs {
		p.sinceMs = nowMs
	}
	p.lastMs = nowMs
}

// atLimitMs is for how long requests have waited or been denied.
func (p *pressure) atLimitMs(nowMs int64) int64 {
	if p.lastMs == 0 || nowMs-p.lastMs > calmMs {
		return 0
	}
	return max(nowMs-p.sinceMs, 1)
}

// Usage tells of all tenants that this owner knows, those with the most denials first.
func (o *Owner) Usage(nowMs int64) []TenantUsage {
	var views []TenantUsage
	for name, tenant := range o.tenants {
		tenant.expire(nowMs)
		views = append(views, TenantUsage{
			Tenant: name, Used: tenant.used(), Allowed: tenant.allowed(), AllowedInProgress: tenant.most(), Waiting: len(tenant.queue),
			Programs: tenant.begun.Len(), DeniedNew: tenant.pressure.deniedNew, DeniedInProgress: tenant.pressure.deniedUnderWay,
			AtLimitMs: tenant.pressure.atLimitMs(nowMs),
		})
	}
	slices.SortFunc(views, func(a, b TenantUsage) int {
		return cmp.Or(cmp.Compare(b.DeniedNew+b.DeniedInProgress, a.DeniedNew+a.DeniedInProgress), cmp.Compare(a.Tenant, b.Tenant))
	})
	return views
}
