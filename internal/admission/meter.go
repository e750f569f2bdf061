package admission

// UsageMeter measures at a gateway the mean number of requests of each tenant in flight at each
// backend since the last collection.
type UsageMeter struct {
	counters    map[meterKey]*usageCounter
	collectedMs int64
}

type meterKey struct{ backend, tenant string }

type usageCounter struct {
	weight   float64
	inFlight int
	// requestMs is the integral of inFlight in requests times milliseconds, and programStarts the
	// number of programs started, both since the last collection.
	requestMs     float64
	programStarts float64
	integratedMs  int64
}

// NewUsageMeter returns a meter without usage.
func NewUsageMeter(nowMs int64) *UsageMeter {
	return &UsageMeter{counters: map[meterKey]*usageCounter{}, collectedMs: nowMs}
}

// integrate adds the requests in flight up to nowMs to requestMs.
func (c *usageCounter) integrate(nowMs int64) {
	c.requestMs += float64(c.inFlight) * float64(max(nowMs-c.integratedMs, 0))
	c.integratedMs = max(nowMs, c.integratedMs)
}

// counter returns the counter of a tenant at a backend, which is created if necessary, and sets its
// weight.
func (m *UsageMeter) counter(backend, tenant string, weight float64, nowMs int64) *usageCounter {
	key := meterKey{backend, tenant}
	counter := m.counters[key]
	if counter == nil {
		counter = &usageCounter{integratedMs: nowMs}
		m.counters[key] = counter
	}
	counter.weight = weight
	return counter
}

// AdjustInFlight adds delta to the requests in flight of a tenant; tenant is empty for requests
// without one.
func (m *UsageMeter) AdjustInFlight(backend, tenant string, weight float64, delta int, nowMs int64) {
	counter := m.counter(backend, tenant, weight, nowMs)
	counter.integrate(nowMs)
	counter.inFlight += delta
}

// RecordProgramStart records that a program of a tenant has started.
func (m *UsageMeter) RecordProgramStart(backend, tenant string, weight float64, nowMs int64) {
	m.counter(backend, tenant, weight, nowMs).programStarts++
}

// CollectUsage returns the usage since the last call, and removes tenants without requests in
// flight. It lists the tenants only of backends that are nearly oversubscribed.
func (m *UsageMeter) CollectUsage(nowMs int64, isNearlyOversubscribed func(backend string) bool) []BackendUsage {
	elapsed := float64(max(nowMs-m.collectedMs, 1))
	m.collectedMs = nowMs
	byBackend := map[string]*BackendUsage{}
	for key, counter := range m.counters {
		counter.integrate(nowMs)
		collected := *counter
		counter.requestMs, counter.programStarts = 0, 0
		if counter.inFlight == 0 {
			delete(m.counters, key)
		}
		if collected.requestMs <= 0 && collected.programStarts == 0 {
			continue
		}
		usage := byBackend[key.backend]
		if usage == nil {
			usage = &BackendUsage{Backend: key.backend}
			byBackend[key.backend] = usage
		}
		mean := float32(collected.requestMs / elapsed)
		usage.InFlight += mean
		usage.ProgramStarts += float32(collected.programStarts)
		if key.tenant != "" && isNearlyOversubscribed(key.backend) {
			usage.Tenants = append(usage.Tenants, TenantUsage{Tenant: key.tenant, Weight: float32(counter.weight), InFlight: mean, ProgramStarts: float32(collected.programStarts)})
		}
	}
	var usages []BackendUsage
	for _, usage := range byBackend {
		usages = append(usages, *usage)
	}
	return usages
}
