package admission

// UsageMeter measures at a gateway how many requests of each tenant are under way at each back end, in
// the mean since it was read last.
type UsageMeter struct {
	byKey  map[meterKey]*metered
	readMs int64
}

type meterKey struct{ backend, tenant string }

type metered struct {
	weight   float64
	inFlight int
	// sum is in requests x milliseconds, begun in programs since the last reading.
	sum    float64
	begun  float64
	lastMs int64
}

// NewUsageMeter returns a meter that has seen nothing.
func NewUsageMeter(nowMs int64) *UsageMeter {
	return &UsageMeter{byKey: map[meterKey]*metered{}, readMs: nowMs}
}

func (m *metered) bringTo(nowMs int64) {
	m.sum += float64(m.inFlight) * float64(max(nowMs-m.lastMs, 0))
	m.lastMs = max(nowMs, m.lastMs)
}

func (m *UsageMeter) of(backend, tenant string, weight float64, nowMs int64) *metered {
	key := meterKey{backend, tenant}
	known := m.byKey[key]
	if known == nil {
		known = &metered{lastMs: nowMs}
		m.byKey[key] = known
	}
	known.weight = weight
	return known
}

// AdjustInFlight notes that requests of a tenant, "" for none, have begun or ended.
func (m *UsageMeter) AdjustInFlight(backend, tenant string, weight float64, change int, nowMs int64) {
	known := m.of(backend, tenant, weight, nowMs)
	known.bringTo(nowMs)
	known.inFlight += change
}

// RecordProgramStart notes that a program of a tenant has begun.
func (m *UsageMeter) RecordProgramStart(backend, tenant string, weight float64, nowMs int64) {
	m.of(backend, tenant, weight, nowMs).begun++
}

// CollectUsage returns the use since the last reading, naming the tenants of back ends that are nearly
// short, and forgets tenants without any.
func (m *UsageMeter) CollectUsage(nowMs int64, short func(backend string) bool) []BackendUsage {
	elapsed := float64(max(nowMs-m.readMs, 1))
	m.readMs = nowMs
	byBackend := map[string]*BackendUsage{}
	for key, known := range m.byKey {
		known.bringTo(nowMs)
		read := *known
		known.sum, known.begun = 0, 0
		if known.inFlight == 0 {
			delete(m.byKey, key)
		}
		if read.sum <= 0 && read.begun == 0 {
			continue
		}
		use := byBackend[key.backend]
		if use == nil {
			use = &BackendUsage{Backend: key.backend}
			byBackend[key.backend] = use
		}
		mean := float32(read.sum / elapsed)
		use.InFlight += mean
		use.ProgramStarts += float32(read.begun)
		if key.tenant != "" && short(key.backend) {
			use.Tenants = append(use.Tenants, TenantUsage{Tenant: key.tenant, Weight: float32(known.weight), InFlight: mean, ProgramStarts: float32(read.begun)})
		}
	}
	var uses []BackendUsage
	for _, use := range byBackend {
		uses = append(uses, *use)
	}
	return uses
}
