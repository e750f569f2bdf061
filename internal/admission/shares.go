package admission

import "math"

const (
	// usageLifetimeMs is the age above which reported usage is ignored. Shares expire with it, so
	// that no tenant is limited to a share while control is unavailable.
	usageLifetimeMs = 2500
	// maxReportedTenants limits the tenants of a backend that are sent to gateways to those with
	// the highest demand for their weight. The others count in the totals and are treated as within
	// their share.
	maxReportedTenants = 64
	// maxReportedBackends limits the number of backends in one report.
	maxReportedBackends = 64
	// fullRejectionExcess is the excess, as a fraction of its share, from which all new programs of
	// a tenant are rejected. Up to there the rejected fraction grows with the excess, so that usage
	// does not oscillate because of the age of the reports.
	fullRejectionExcess = 0.25
	// slackDeviations is the number of standard deviations by which a tenant's demand may exceed
	// its share by chance; the standard deviation is the square root of the share. A small tenant
	// with one or two programs more than usual is not the cause of an overload.
	slackDeviations = 2
	// retrySpreadMs is the upper bound of the retry delay, which differs between programs so that
	// those rejected together do not retry together.
	retrySpreadMs = 1000
)

// TenantUsage is the usage of a backend by a tenant. Weight is the tenant's configured rate, by
// which the operator has sized the tenant's part of the fleet.
type TenantUsage struct {
	Tenant string  `msgpack:"t"`
	Weight float32 `msgpack:"w"`
	// InFlight is the mean number of requests in flight since the last report.
	InFlight float32 `msgpack:"f,omitempty"`
	// ProgramStarts is the number of programs of the tenant that have started: since the last
	// report in a gateway's report, and per second in control's totals. Rejected programs don't
	// count, since they are retried and would count again.
	ProgramStarts float32 `msgpack:"g,omitempty"`
}

// BackendUsage is the usage of one backend, by tenants and by all requests together.
type BackendUsage struct {
	Backend string `msgpack:"b"`
	// InFlight is the number of requests in flight, with or without a tenant, and ProgramStarts the
	// number of programs that have started since the gateway's last report.
	InFlight      float32 `msgpack:"a,omitempty"`
	ProgramStarts float32 `msgpack:"g,omitempty"`
	// ServiceSecondsPerProgram is, in control's totals, the total duration of a program's requests
	// in seconds, 0 if unknown. Demand is the demand of all tenants together, including those that
	// are not listed.
	ServiceSecondsPerProgram float32       `msgpack:"y,omitempty"`
	Demand                   float32       `msgpack:"d,omitempty"`
	Tenants                  []TenantUsage `msgpack:"t,omitempty"`
}

// TenantDemand returns the number of requests that a tenant will have in flight by Little's law:
// the programs it starts per second times the service seconds per program. The current number of
// requests in flight lags behind that by the duration of programs, and is the lower bound of the
// demand.
func (u BackendUsage) TenantDemand(tenant TenantUsage) float64 {
	return math.Max(float64(tenant.InFlight), float64(tenant.ProgramStarts)*float64(u.ServiceSecondsPerProgram))
}

// areValid reports whether all values are finite and not negative.
func areValid(values ...float32) bool {
	for _, value := range values {
		if value < 0 || math.IsInf(float64(value), 0) || math.IsNaN(float64(value)) {
			return false
		}
	}
	return true
}

// minTenantWeight is the weight of tenants without a rate, and the minimum of all weights.
const minTenantWeight = 1e-3

func (t TenantUsage) weight() float64 { return max(float64(t.Weight), minTenantWeight) }

// FairShareLevel returns the usage per unit of weight that limits the shares of all tenants, so
// that they fill a capacity and are max-min fair by weight: a tenant that asks for less gets what
// it asks for, and the remainder goes to the others. The level is infinite while the capacity
// suffices for all. The listed tenants must be in descending order of their demand per weight. The
// demand of those that are not listed is assumed to be below the level.
func (u BackendUsage) FairShareLevel(capacity float64) float64 {
	total := float64(u.Demand)
	if total <= capacity {
		return math.Inf(1)
	}
	// The tenants up to index are limited to the level, which must be at least the demand per
	// weight of the next one.
	remaining, weight := capacity-total, 0.0
	for index, tenant := range u.Tenants {
		remaining += u.TenantDemand(tenant)
		weight += tenant.weight()
		level := max(remaining, 0) / weight
		if index+1 == len(u.Tenants) || level >= u.demandPerWeight(u.Tenants[index+1]) {
			return level
		}
	}
	return math.Inf(1)
}

// demandPerWeight returns the demand of a tenant per unit of its weight.
func (u BackendUsage) demandPerWeight(tenant TenantUsage) float64 {
	return u.TenantDemand(tenant) / tenant.weight()
}

// ShareStatus is the state of a tenant at a backend with respect to its fair share.
type ShareStatus struct {
	// HasRecentUsage means that the usage of all gateways was received recently. If it is false,
	// the other fields are zero.
	HasRecentUsage bool
	// Oversubscribed means that the demand on the backend exceeds its capacity, and AboveFairShare
	// that the tenant's demand exceeds its share.
	Oversubscribed, AboveFairShare bool
	// InFlight, Demand and Share are numbers of requests in flight. Excess is the sum over the
	// listed tenants of their requests in flight beyond their shares.
	InFlight, Demand, Share, Excess float64
}

// toleratedDemand returns the demand up to which a tenant counts as within its share.
func (s ShareStatus) toleratedDemand() float64 { return s.Share + slackDeviations*math.Sqrt(s.Share) }

// RejectedFraction returns the fraction of the tenant's new programs that is rejected: 0 within its
// share, and otherwise the fraction that reduces the demand to the share. It rises to 1 as the
// requests in flight exceed the share by fullRejectionExcess.
func (s ShareStatus) RejectedFraction() float64 {
	if !s.AboveFairShare {
		return 0
	}
	excessFraction := 1 - s.Share/s.Demand
	return min(max(excessFraction, (s.InFlight-s.Share)/max(s.Share*fullRejectionExcess, 1)), 1)
}

// Admit reports whether a new program of the tenant may start, and otherwise the delay after which
// it should retry, in milliseconds. sample is a random number within 0..1 that is the same for
// every attempt of a program.
func (s ShareStatus) Admit(sample float64) (retryAfterMs int64, admitted bool) {
	excess := s.RejectedFraction() - sample
	if excess <= 0 {
		return 0, true
	}
	return int64(math.Ceil(excess * retrySpreadMs)), false
}

// FairShares holds at a gateway the usage of backends over all gateways.
type FairShares struct {
	usageByBackend map[string]BackendUsage
	receivedMs     int64
	hasUsage       bool
}

// ApplyUsage sets the totals received from control.
func (s *FairShares) ApplyUsage(usages []BackendUsage, nowMs int64) {
	s.usageByBackend = map[string]BackendUsage{}
	for _, usage := range usages {
		s.usageByBackend[usage.Backend] = usage
	}
	s.receivedMs, s.hasUsage = nowMs, true
}

// Status returns the state of a tenant at a backend with a capacity, in requests in flight.
func (s *FairShares) Status(backend, tenant string, capacity float64, nowMs int64) ShareStatus {
	usage, known := s.usageByBackend[backend]
	if !s.hasUsage || !known || nowMs-s.receivedMs > usageLifetimeMs || capacity <= 0 {
		return ShareStatus{}
	}
	level := usage.FairShareLevel(capacity)
	status := ShareStatus{HasRecentUsage: true, Oversubscribed: !math.IsInf(level, 1)}
	if !status.Oversubscribed {
		return status
	}
	for _, tenantUsage := range usage.Tenants {
		share := level * tenantUsage.weight()
		status.Excess += max(float64(tenantUsage.InFlight)-share, 0)
		if tenantUsage.Tenant == tenant {
			status.InFlight, status.Demand, status.Share = float64(tenantUsage.InFlight), usage.TenantDemand(tenantUsage), share
			status.AboveFairShare = status.Demand > status.toleratedDemand()
		}
	}
	return status
}

// Demand returns the demand of all tenants on a backend, in requests in flight, or 0 if none was
// received recently.
func (s *FairShares) Demand(backend string, nowMs int64) float64 {
	if !s.hasUsage || nowMs-s.receivedMs > usageLifetimeMs {
		return 0
	}
	return float64(s.usageByBackend[backend].Demand)
}

// UsableConcurrency returns how many requests an engine can serve while further streams still start
// at once. This is one less than its slots, so that a new request finds a free one, and at most
// limit, the learned concurrency up to which streams started on time. It is 0 if neither is known.
func UsableConcurrency(slots int, limit float64) float64 {
	concurrency := float64(max(slots-1, 0))
	if limit > 0 && (slots == 0 || limit < concurrency) {
		return limit
	}
	return concurrency
}
