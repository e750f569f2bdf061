package admission

import "math"

const (
	// useForgottenMs is when what was said of the use of a back end is too old: a share expires
	// with it, so that nobody is held to one while control is away.
	useForgottenMs = 2500
	// mostShares bounds the tenants of one back end that gateways are told of: those that ask for
	// the most for their weight. The others count in the sum, as within their share.
	mostShares = 64
	// mostBackends bounds the back ends of one report.
	mostBackends = 64
	// overShare is by how much of its share a tenant may use more before none of its new programs
	// begins; up to there a growing part is rejected, so that its use does not swing with the
	// age of what is known of it.
	overShare = 0.25
	// slackDeviations is how many standard deviations of chance, the root of its share, a tenant
	// may be above its share: a small tenant with a program or two more than usual is not the one
	// that the others wait for.
	slackDeviations = 2
	// returnWithinMs spreads those who are rejected together.
	returnWithinMs = 1000
)

// TenantUsage is the use that a tenant makes of a back end, and its weight: its configured rate,
// which is what the operator has sized its part of the fleet by.
type TenantUsage struct {
	Tenant string  `msgpack:"t"`
	Weight float32 `msgpack:"w"`
	// InFlight is how many requests are under way, in the mean since the last report.
	InFlight float32 `msgpack:"f,omitempty"`
	// ProgramStarts is how many of the tenant's programs have begun: of a gateway's report since its last
	// one, of control's sums in a second. What was rejected does not count: it comes again, and
	// would count again.
	ProgramStarts float32 `msgpack:"g,omitempty"`
}

// BackendUsage is the use of one back end: by tenants, and by all requests together.
type BackendUsage struct {
	Backend string `msgpack:"b"`
	// InFlight is how many requests are under way, of tenants or not, and Begun how many programs
	// have begun since the gateway's last report.
	InFlight      float32 `msgpack:"a,omitempty"`
	ProgramStarts float32 `msgpack:"g,omitempty"`
	// ServiceSecondsPerProgram is, in control's sums, how many seconds of requests a program brings, 0 where that
	// is not known yet; Demand is that of all tenants together, those that are not named too.
	ServiceSecondsPerProgram float32       `msgpack:"y,omitempty"`
	Demand                   float32       `msgpack:"d,omitempty"`
	Tenants                  []TenantUsage `msgpack:"t,omitempty"`
}

// TenantDemand is what a tenant will use: as Little's law has it, what it begins in a second times what
// each program brings. What is under way lags behind that by the life of programs. No tenant's
// demand is less than what it has under way.
func (u BackendUsage) TenantDemand(tenant TenantUsage) float64 {
	return math.Max(float64(tenant.InFlight), float64(tenant.ProgramStarts)*float64(u.ServiceSecondsPerProgram))
}

func sound(values ...float32) bool {
	for _, value := range values {
		if value < 0 || math.IsInf(float64(value), 0) || math.IsNaN(float64(value)) {
			return false
		}
	}
	return true
}

// leastWeight stands in for tenants without a rate.
const leastWeight = 1e-3

func (t TenantUsage) weight() float64 { return max(float64(t.Weight), leastWeight) }

// FairShareLevel returns the use for each unit of weight that no tenant's share goes beyond, so that the
// shares of all, max-min fair by weight, fill a capacity: a tenant that asks for less gets what
// it asks for, and what it leaves goes to the others. It is infinite while there is room for all.
// The tenants that are named must be in descending order of their demand for their weight; that
// of the others is taken as below the level.
func (u BackendUsage) FairShareLevel(capacity float64) float64 {
	total := float64(u.Demand)
	if total <= capacity {
		return math.Inf(1)
	}
	// Those up to position are held to the level, which must be at least what the next one asks
	// for.
	left, weight := capacity-total, 0.0
	for position, tenant := range u.Tenants {
		left += u.TenantDemand(tenant)
		weight += tenant.weight()
		level := max(left, 0) / weight
		if position+1 == len(u.Tenants) || level >= u.perWeight(u.Tenants[position+1]) {
			return level
		}
	}
	return math.Inf(1)
}

func (u BackendUsage) perWeight(tenant TenantUsage) float64 {
	return u.TenantDemand(tenant) / tenant.weight()
}

// ShareStatus is where a tenant stands at a back end.
type ShareStatus struct {
	// Known says that the use of all gateways was heard lately; without it the rest is empty.
	Known bool
	// Oversubscribed says that the back end is asked for more than it has room for, and Above that the
	// tenant asks for more than its share of it.
	Oversubscribed, AboveFairShare bool
	// InFlight, Demand and Share are in requests under way, Excess what all tenants together use
	// beyond their shares.
	InFlight, Demand, Share, Excess float64
}

// slack is up to what demand a tenant counts as within its share.
func (p ShareStatus) slack() float64 { return p.Share + slackDeviations*math.Sqrt(p.Share) }

// RejectedFraction is the part of the tenant's new programs that is rejected: none within its share, and
// else so many that the others bring its share; all where it uses overShare more than that
// already.
func (p ShareStatus) RejectedFraction() float64 {
	if !p.AboveFairShare {
		return 0
	}
	thinned := 1 - p.Share/p.Demand
	return min(max(thinned, (p.InFlight-p.Share)/max(p.Share*overShare, 1)), 1)
}

// Admit reports whether a new program of the tenant may begin, and else when it is to come back,
// milliseconds. Draw is within 0..1 and the same for each try of a program.
func (p ShareStatus) Admit(draw float64) (retryAfterMs int64, admitted bool) {
	above := p.RejectedFraction() - draw
	if above <= 0 {
		return 0, true
	}
	return int64(math.Ceil(above * returnWithinMs)), false
}

// FairShares are a gateway's: what all gateways together use of back ends.
type FairShares struct {
	uses    map[string]BackendUsage
	heardMs int64
	heard   bool
}

// ApplyUsage takes the sums that control has sent.
func (s *FairShares) ApplyUsage(uses []BackendUsage, nowMs int64) {
	s.uses = map[string]BackendUsage{}
	for _, use := range uses {
		s.uses[use.Backend] = use
	}
	s.heardMs, s.heard = nowMs, true
}

// Status returns where a tenant stands at a back end that has room for so many requests.
func (s *FairShares) Status(backend, tenant string, capacity float64, nowMs int64) ShareStatus {
	use, known := s.uses[backend]
	if !s.heard || !known || nowMs-s.heardMs > useForgottenMs || capacity <= 0 {
		return ShareStatus{}
	}
	level := use.FairShareLevel(capacity)
	position := ShareStatus{Known: true, Oversubscribed: !math.IsInf(level, 1)}
	if !position.Oversubscribed {
		return position
	}
	for _, each := range use.Tenants {
		share := level * each.weight()
		position.Excess += max(float64(each.InFlight)-share, 0)
		if each.Tenant == tenant {
			position.InFlight, position.Demand, position.Share = float64(each.InFlight), use.TenantDemand(each), share
			position.AboveFairShare = position.Demand > position.slack()
		}
	}
	return position
}

// Demand returns what all tenants ask for of a back end, in requests under way, as far as that
// was heard lately.
func (s *FairShares) Demand(backend string, nowMs int64) float64 {
	if !s.heard || nowMs-s.heardMs > useForgottenMs {
		return 0
	}
	return float64(s.uses[backend].Demand)
}

// UsableConcurrency returns for how many requests an engine has room while streams still begin at once: its
// slots but one, so that who comes finds one free; and no more than up to which streams began in
// time, where that was learnt. It is 0 where neither is known.
func UsableConcurrency(slots int, limit float64) float64 {
	room := float64(max(slots-1, 0))
	if limit > 0 && (slots == 0 || limit < room) {
		return limit
	}
	return room
}
