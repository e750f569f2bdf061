package scheduling

import "math"

// EngineLoad is the load of one engine, as observed by one gateway since its last report or by all
// gateways together.
type EngineLoad struct {
	//lint:ignore U1000 It tells the codec to leave the fields' names out.
	_msgpack struct{} `msgpack:",as_array"`
	Engine   string
	// InFlight is the mean number of requests in flight since the last report.
	InFlight float32
	// LatencyRatios holds samples of latencies as multiples of the usual latency.
	LatencyRatios WeightedSum
}

// StreamLateness holds the streams of one backend that started: the weight of Streams is their
// number, and its sum the number of those that started later than their target.
type StreamLateness struct {
	//lint:ignore U1000 As above.
	_msgpack struct{} `msgpack:",as_array"`
	Backend  string
	Lateness WeightedSum
}

// WeightedSum is a DecayedMean without its time.
type WeightedSum struct {
	//lint:ignore U1000 As above.
	_msgpack struct{} `msgpack:",as_array"`
	Sum      float32
	Weight   float32
}

// isValid reports whether the sums may be used. Values that come over the network must not produce
// a mean that is not a number.
func (s WeightedSum) isValid() bool {
	sum, weight := float64(s.Sum), float64(s.Weight)
	return weight > 0 && sum >= 0 && !math.IsInf(sum, 0) && !math.IsInf(weight, 0) && !math.IsNaN(sum) && !math.IsNaN(weight)
}

// Mean returns the mean of the samples, or 0 if there are none.
func (s WeightedSum) Mean() float64 {
	if !s.isValid() {
		return 0
	}
	return float64(s.Sum) / float64(s.Weight)
}

// decayedMean returns the samples as a mean that is current at nowMs.
func (s WeightedSum) decayedMean(nowMs int64) DecayedMean {
	if !s.isValid() {
		return DecayedMean{AtMs: nowMs}
	}
	return DecayedMean{Sum: float64(s.Sum), Weight: float64(s.Weight), AtMs: nowMs}
}

// weightedSum returns the sums of the mean, decayed to nowMs.
func (m DecayedMean) weightedSum(nowMs int64) WeightedSum {
	decayed := m.DecayedTo(nowMs)
	return WeightedSum{Sum: float32(decayed.Sum), Weight: float32(decayed.Weight)}
}

const (
	// loadLifetimeMs is the age above which a reported load is ignored.
	loadLifetimeMs = 2_500
	// loadExpiryIntervalMs is the interval at which expired loads are removed.
	loadExpiryIntervalMs = 500
	// sweepIntervalMs is the interval at which an aggregator removes engines without reports, and
	// the age of the last report above which it does.
	sweepIntervalMs = 5_000
)

// engineAggregate is the aggregated load of one engine.
type engineAggregate struct {
	latencyRatios DecayedMean
	// byGateway is the last reported number of requests in flight of each gateway, and
	// totalInFlight is their sum. The sum is maintained as reports arrive: to compute it for each
	// reply would take as many steps as there are pairs of gateway and engine.
	byGateway     map[string]gatewayValue
	totalInFlight float64
	reportedMs    int64
}

// setInFlight sets the requests in flight of a gateway.
func (e *engineAggregate) setInFlight(gateway string, inFlight float64, nowMs int64) {
	e.totalInFlight += inFlight - e.byGateway[gateway].value
	e.byGateway[gateway] = gatewayValue{value: inFlight, atMs: nowMs}
	if inFlight == 0 {
		delete(e.byGateway, gateway)
	}
	e.resetIfEmpty()
}

// expire removes reports that are too old.
func (e *engineAggregate) expire(nowMs int64) {
	for gateway, reported := range e.byGateway {
		if nowMs-reported.atMs > loadLifetimeMs {
			e.totalInFlight -= reported.value
			delete(e.byGateway, gateway)
		}
	}
	e.resetIfEmpty()
}

// resetIfEmpty resets the total of an engine without requests in flight, so that the rounding
// errors of many additions do not accumulate.
func (e *engineAggregate) resetIfEmpty() {
	if len(e.byGateway) == 0 {
		e.totalInFlight = 0
	}
}

// gatewayValue is a value reported by a gateway, and when it was reported.
type gatewayValue struct {
	value float64
	atMs  int64
}

// LoadAggregator aggregates the reports of gateways about engines, so that each gateway learns from
// the requests of all. It is soft state: an empty aggregator returns nothing, and its data is only
// ever a hint. Times are in milliseconds.
type LoadAggregator struct {
	engines map[string]*engineAggregate
	// lateness holds the streams of each backend.
	lateness map[string]*DecayedMean
	// failureReports holds, by engine, the gateways whose requests fail there.
	failureReports map[string]map[string]failureReport
	// usages holds the usage of each engine, which is kept longer than its load.
	usages  map[string]*usageAggregate
	sweptMs int64
	// expiredMs is when expired loads were last removed.
	expiredMs int64
}

// NewLoadAggregator returns an empty aggregator.
func NewLoadAggregator() *LoadAggregator {
	return &LoadAggregator{engines: map[string]*engineAggregate{}, lateness: map[string]*DecayedMean{}, failureReports: map[string]map[string]failureReport{}, usages: map[string]*usageAggregate{}}
}

// maxLatenessBackends limits the number of backends in one report.
const maxLatenessBackends = 64

// ReportStreamLateness adds the streams that a gateway has observed since its last report.
func (a *LoadAggregator) ReportStreamLateness(reports []StreamLateness, nowMs int64) {
	for _, report := range reports[:min(len(reports), maxLatenessBackends)] {
		mean := a.lateness[report.Backend]
		if mean == nil {
			mean = &DecayedMean{}
			a.lateness[report.Backend] = mean
		}
		mean.Merge(nowMs, report.Lateness.decayedMean(nowMs))
	}
	for backend, known := range a.lateness {
		if known.DecayedTo(nowMs).Weight < minWeight {
			delete(a.lateness, backend)
		}
	}
}

// StreamLateness returns the lateness of streams over all gateways.
func (a *LoadAggregator) StreamLateness(nowMs int64) []StreamLateness {
	var all []StreamLateness
	for backend, mean := range a.lateness {
		all = append(all, StreamLateness{Backend: backend, Lateness: mean.weightedSum(nowMs)})
	}
	return all
}

// ReportLoads applies a gateway's report on existing engines. The caller omits others, so that an
// aggregator never holds more engines than the fleet has.
func (a *LoadAggregator) ReportLoads(gateway string, loads []EngineLoad, nowMs int64) {
	for _, load := range loads {
		entry, known := a.engines[load.Engine]
		if !known {
			entry = &engineAggregate{byGateway: map[string]gatewayValue{}}
			a.engines[load.Engine] = entry
		}
		entry.reportedMs = nowMs
		entry.latencyRatios.Merge(nowMs, load.LatencyRatios.decayedMean(nowMs))
		if inFlight := float64(load.InFlight); inFlight >= 0 && !math.IsInf(inFlight, 0) {
			entry.setInFlight(gateway, inFlight, nowMs)
		}
	}
	if nowMs-a.sweptMs >= sweepIntervalMs {
		a.sweptMs = nowMs
		a.sweep(nowMs)
	}
}

// ForgetEngine removes all data on an engine that has restarted.
func (a *LoadAggregator) ForgetEngine(engine string) {
	delete(a.usages, engine)
	delete(a.engines, engine)
	delete(a.failureReports, engine)
}

// sweep removes engines and gateways without recent reports.
func (a *LoadAggregator) sweep(nowMs int64) {
	a.sweepFailureReports(nowMs)
	a.sweepUsages(nowMs)
	for engine, entry := range a.engines {
		if nowMs-entry.reportedMs > sweepIntervalMs {
			delete(a.engines, engine)
		}
	}
}

// expire removes reports that are too old. It runs at most every loadExpiryIntervalMs, so that its
// cost is small compared with that of the reports.
func (a *LoadAggregator) expire(nowMs int64) {
	if nowMs-a.expiredMs < loadExpiryIntervalMs {
		return
	}
	a.expiredMs = nowMs
	for _, entry := range a.engines {
		entry.expire(nowMs)
	}
}

// Loads returns the load of the given engines over all gateways, without engines that were not
// reported recently.
func (a *LoadAggregator) Loads(engines []string, nowMs int64) []EngineLoad {
	a.expire(nowMs)
	var loads []EngineLoad
	for _, engine := range engines {
		if entry, known := a.engines[engine]; known {
			loads = append(loads, entry.load(engine, nowMs))
		}
	}
	return loads
}

// InFlight returns the number of requests that all gateways together have in flight at an engine.
func (a *LoadAggregator) InFlight(engine string, nowMs int64) float64 {
	a.expire(nowMs)
	entry, known := a.engines[engine]
	if !known {
		return 0
	}
	return max(entry.totalInFlight, 0)
}

func (e *engineAggregate) load(engine string, nowMs int64) EngineLoad {
	return EngineLoad{Engine: engine, InFlight: float32(max(e.totalInFlight, 0)), LatencyRatios: e.latencyRatios.weightedSum(nowMs)}
}
