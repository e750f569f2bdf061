package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	// useForgottenMs is when what was said of the use of a back end is too old: a share expires
	// with it, so that nobody is held to one while control is away.
	useForgottenMs = 2500
	// mostShares bounds the tenants of one back end that gateways are told of: those with the
	// most use for their weight. The others count in the sum, as within their share.
	mostShares = 64
	// mostBackends bounds the back ends of one report.
	mostBackends = 64
	// overShare is by how much of its share a tenant may be above it before none of its new
	// programs begins; up to there a growing part is rejected, so that the use settles above
	// the share and does not swing with the age of what is known of it.
	overShare = 0.25
	// returnWithinMs spreads those who are rejected together.
	returnWithinMs = 1000
)

// TenantUse is how many requests of a tenant are under way at a back end, and its weight: its
// configured rate, which is what the operator has sized its part of the fleet by.
type TenantUse struct {
	Tenant   string  `msgpack:"t"`
	Weight   float32 `msgpack:"w"`
	InFlight float32 `msgpack:"f"`
}

// BackendUse is the use of one back end: by tenants, and by all requests together.
type BackendUse struct {
	Backend string      `msgpack:"b"`
	Total   float32     `msgpack:"a"`
	Tenants []TenantUse `msgpack:"t,omitempty"`
}

func sound(value float32) bool {
	return value >= 0 && !math.IsInf(float64(value), 0) && !math.IsNaN(float64(value))
}

// UseBoard adds up at control what gateways say of the use of back ends. It is soft state: an
// empty one says nothing, and then no tenant is held to a share.
type UseBoard struct {
	byGateway map[string]gatewayUse
	// summed is the sum as of summedMs.
	summed   []BackendUse
	summedMs int64
	changed  bool
	// Version counts the sums.
	Version uint64
}

type gatewayUse struct {
	atMs int64
	uses []BackendUse
}

// NewUseBoard returns a board that has heard nothing.
func NewUseBoard() *UseBoard { return &UseBoard{byGateway: map[string]gatewayUse{}} }

// Report takes what a gateway says of the back ends that are short of room there; one that says
// nothing has none.
func (b *UseBoard) Report(gateway string, uses []BackendUse, nowMs int64) {
	if len(uses) == 0 {
		if _, known := b.byGateway[gateway]; known {
			delete(b.byGateway, gateway)
			b.changed = true
		}
		return
	}
	b.byGateway[gateway] = gatewayUse{atMs: nowMs, uses: uses[:min(len(uses), mostBackends)]}
	b.changed = true
}

// sumEveryMs is how old the sums may be: to add them up takes as many steps as there are
// tenants in the reports of all gateways.
const sumEveryMs = 200

// Sums returns the use of each back end over all gateways, of at most mostShares tenants each.
func (b *UseBoard) Sums(nowMs int64) []BackendUse {
	if nowMs-b.summedMs < sumEveryMs && nowMs >= b.summedMs {
		return b.summed
	}
	b.summedMs = nowMs
	for gateway, known := range b.byGateway {
		if nowMs-known.atMs > useForgottenMs {
			delete(b.byGateway, gateway)
			b.changed = true
		}
	}
	if !b.changed {
		return b.summed
	}
	b.changed = false
	b.summed = b.sum()
	b.Version++
	return b.summed
}

func (b *UseBoard) sum() []BackendUse {
	totals := map[string]float32{}
	tenants := map[string]map[string]TenantUse{}
	for _, known := range b.byGateway {
		for _, use := range known.uses {
			if tenants[use.Backend] == nil {
				tenants[use.Backend] = map[string]TenantUse{}
			}
			if sound(use.Total) {
				totals[use.Backend] += use.Total
			}
			for _, tenant := range use.Tenants {
				if !sound(tenant.InFlight) || !sound(tenant.Weight) {
					continue
				}
				sum := tenants[use.Backend][tenant.Tenant]
				sum.Tenant, sum.Weight = tenant.Tenant, max(sum.Weight, tenant.Weight)
				sum.InFlight += tenant.InFlight
				tenants[use.Backend][tenant.Tenant] = sum
			}
		}
	}
	var sums []BackendUse
	for backend, byName := range tenants {
		sum := BackendUse{Backend: backend, Total: totals[backend]}
		for _, tenant := range byName {
			sum.Tenants = append(sum.Tenants, tenant)
		}
		slices.SortFunc(sum.Tenants, func(x, y TenantUse) int {
			return cmp.Or(cmp.Compare(y.perWeight(), x.perWeight()), cmp.Compare(x.Tenant, y.Tenant))
		})
		sum.Tenants = sum.Tenants[:min(len(sum.Tenants), mostShares)]
		sums = append(sums, sum)
	}
	slices.SortFunc(sums, func(x, y BackendUse) int { return cmp.Compare(x.Backend, y.Backend) })
	return sums
}

// leastWeight stands in for tenants without a rate.
const leastWeight = 1e-3

func (t TenantUse) weight() float64    { return max(float64(t.Weight), leastWeight) }
func (t TenantUse) perWeight() float64 { return float64(t.InFlight) / t.weight() }

// Level returns the use for each unit of weight that no tenant's share goes beyond, so that the
// shares of all, max-min fair by weight, fill a capacity: a tenant whose use is below gets what
// it uses, and what it leaves goes to the others. It is infinite while there is room for all.
// Tenants must be in descending order of their use for their weight; what others use is taken as
// below the level.
func Level(tenants []TenantUse, total, capacity float64) float64 {
	if total <= capacity {
		return math.Inf(1)
	}
	// Those before position are held to the level, which must lie between the use of the last
	// of them and that of the next.
	left, weight := capacity-total, 0.0
	for position, tenant := range tenants {
		left += float64(tenant.InFlight)
		weight += tenant.weight()
		level := max(left, 0) / weight
		if position+1 == len(tenants) || level >= tenants[position+1].perWeight() {
			return level
		}
	}
	return math.Inf(1)
}

// Position is where a tenant stands at a back end.
type Position struct {
	// Known says that the use of all gateways was heard lately; without it the rest is empty.
	Known bool
	// Short says that the back end is asked for more than it has room for, and Above that the
	// tenant uses more than its share of it.
	Short, Above bool
	// Use and Share are in requests under way, Excess what all tenants together use beyond
	// their shares.
	Use, Share, Excess float64
}

// Rejected is the part of the tenant's new programs that is rejected: none within its share.
func (p Position) Rejected() float64 {
	if !p.Above {
		return 0
	}
	return min((p.Use-p.Share)/max(p.Share*overShare, 1), 1)
}

// Admit reports whether a new program of the tenant may begin, and else when it is to come back,
// milliseconds. Draw is within 0..1 and the same for each try of a program.
func (p Position) Admit(draw float64) (retryAfterMs int64, admitted bool) {
	above := p.Rejected() - draw
	if above <= 0 {
		return 0, true
	}
	return int64(math.Ceil(above * returnWithinMs)), false
}

// Shares are a gateway's: what all gateways together use of back ends.
type Shares struct {
	uses    map[string]BackendUse
	heardMs int64
	heard   bool
}

// Take takes the sums that control has sent.
func (s *Shares) Take(uses []BackendUse, nowMs int64) {
	s.uses = map[string]BackendUse{}
	for _, use := range uses {
		s.uses[use.Backend] = use
	}
	s.heardMs, s.heard = nowMs, true
}

// Of returns where a tenant stands at a back end that has room for so many requests.
func (s *Shares) Of(backend, tenant string, capacity float64, nowMs int64) Position {
	use, known := s.uses[backend]
	if !s.heard || !known || nowMs-s.heardMs > useForgottenMs || capacity <= 0 {
		return Position{}
	}
	level := Level(use.Tenants, float64(use.Total), capacity)
	position := Position{Known: true, Short: !math.IsInf(level, 1)}
	if !position.Short {
		return position
	}
	for _, each := range use.Tenants {
		share := level * each.weight()
		position.Excess += max(float64(each.InFlight)-share, 0)
		if each.Tenant == tenant {
			position.Use, position.Share = float64(each.InFlight), share
			position.Above = position.Use > share
		}
	}
	return position
}

// Meter measures at a gateway how many requests of each tenant are under way at each back end, in
// the mean since it was read last.
type Meter struct {
	byKey  map[meterKey]*metered
	readMs int64
}

type meterKey struct{ backend, tenant string }

type metered struct {
	weight   float64
	inFlight int
	// sum is in requests x milliseconds since the last reading.
	sum    float64
	lastMs int64
}

// NewMeter returns a meter that has seen nothing.
func NewMeter(nowMs int64) *Meter { return &Meter{byKey: map[meterKey]*metered{}, readMs: nowMs} }

func (m *metered) bringTo(nowMs int64) {
	m.sum += float64(m.inFlight) * float64(max(nowMs-m.lastMs, 0))
	m.lastMs = max(nowMs, m.lastMs)
}

// Change notes that requests of a tenant, "" for none, have begun or ended.
func (m *Meter) Change(backend, tenant string, weight float64, change int, nowMs int64) {
	key := meterKey{backend, tenant}
	known := m.byKey[key]
	if known == nil {
		known = &metered{lastMs: nowMs}
		m.byKey[key] = known
	}
	known.bringTo(nowMs)
	known.weight = weight
	known.inFlight += change
}

// Read returns the use since the last reading of the back ends that are short, and forgets
// tenants without any.
func (m *Meter) Read(nowMs int64, short func(backend string) bool) []BackendUse {
	elapsed := float64(max(nowMs-m.readMs, 1))
	m.readMs = nowMs
	byBackend := map[string]*BackendUse{}
	for key, known := range m.byKey {
		known.bringTo(nowMs)
		mean := known.sum / elapsed
		known.sum = 0
		if known.inFlight == 0 {
			delete(m.byKey, key)
		}
		if mean <= 0 || !short(key.backend) {
			continue
		}
		use := byBackend[key.backend]
		if use == nil {
			use = &BackendUse{Backend: key.backend}
			byBackend[key.backend] = use
		}
		use.Total += float32(mean)
		if key.tenant != "" {
			use.Tenants = append(use.Tenants, TenantUse{Tenant: key.tenant, Weight: float32(known.weight), InFlight: float32(mean)})
		}
	}
	var uses []BackendUse
	for _, use := range byBackend {
		uses = append(uses, *use)
	}
	return uses
}

// Room returns for how many requests an engine has room while streams still begin at once: its
// slots less their square root, as in square-root staffing, since requests come at random and
// engines fill unevenly; and no more than up to which streams began in time, where that was
// learnt. It is 0 where neither is known.
func Room(slots int, limit float64) float64 {
	room := float64(slots) - math.Sqrt(float64(slots))
	if limit > 0 && (slots == 0 || limit < room) {
		return limit
	}
	return room
}
