package scheduling

import "math"

// EngineLoad is what observers know of one engine: one gateway since its last report, or all
// gateways together.
type EngineLoad struct {
	//lint:ignore U1000 It tells the codec to leave the fields' names out.
	_msgpack struct{} `msgpack:",as_array"`
	Engine   string
	// InFlight is how many requests were under way, on the mean since the last report.
	InFlight float32
	// LatencyRatios are samples of how many times longer than usual things took there.
	LatencyRatios WeightedSum
}

// StreamLateness is what observers know of the streams of one back end: how many began, and how
// many of these later than their target.
type StreamLateness struct {
	//lint:ignore U1000 As above.
	_msgpack struct{} `msgpack:",as_array"`
	Backend  string
	Streams  WeightedSum
}

// WeightedSum are the sums of some evidence without its time.
type WeightedSum struct {
	//lint:ignore U1000 As above.
	_msgpack struct{} `msgpack:",as_array"`
	Sum      float32
	Weight   float32
}

// sound reports whether the sums can be counted: whatever comes over the network must
// not make a mean of nothing.
func (s WeightedSum) sound() bool {
	sum, weight := float64(s.Sum), float64(s.Weight)
	return weight > 0 && sum >= 0 && !math.IsInf(sum, 0) && !math.IsInf(weight, 0) && !math.IsNaN(sum) && !math.IsNaN(weight)
}

// Mean returns the mean of the samples, 0 where there are none.
func (s WeightedSum) Mean() float64 {
	if !s.sound() {
		return 0
	}
	return float64(s.Sum) / float64(s.Weight)
}

// evidence returns the samples as they count at nowMs.
func (s WeightedSum) evidence(nowMs int64) DecayedMean {
	if !s.sound() {
		return DecayedMean{AtMs: nowMs}
	}
	return DecayedMean{Sum: float64(s.Sum), Weight: float64(s.Weight), AtMs: nowMs}
}

// samples returns evidence as it counts at nowMs without its time.
func (e DecayedMean) samples(nowMs int64) WeightedSum {
	aged := e.At(nowMs)
	return WeightedSum{Sum: float32(aged.Sum), Weight: float32(aged.Weight)}
}

const (
	// loadForgottenMs is when what an observer said of an engine's requests is too old.
	loadForgottenMs = 2_500
	// loadExpireMs is how often what is too old is looked for.
	loadExpireMs = 500
	// loadSweepMs is how often a board looks for what it can forget.
	loadSweepMs = 5_000
)

// boardEntry is what a board knows of one engine.
type boardEntry struct {
	factor DecayedMean
	// inFlight is what each gateway said last, and total their sum, kept as they report: to add
	// them up for each answer would cost as many steps as there are pairs of gateway and engine.
	inFlight map[string]boardCount
	total    float64
	heardMs  int64
}

// count takes what a gateway says of its requests under way.
func (e *boardEntry) count(gateway string, inFlight float64, nowMs int64) {
	e.total += inFlight - e.inFlight[gateway].inFlight
	e.inFlight[gateway] = boardCount{inFlight: inFlight, atMs: nowMs}
	if inFlight == 0 {
		delete(e.inFlight, gateway)
	}
	e.settle()
}

// expire takes out what gateways said too long ago.
func (e *boardEntry) expire(nowMs int64) {
	for gateway, count := range e.inFlight {
		if nowMs-count.atMs > loadForgottenMs {
			e.total -= count.inFlight
			delete(e.inFlight, gateway)
		}
	}
	e.settle()
}

// settle keeps rounding errors of many additions from adding up.
func (e *boardEntry) settle() {
	if len(e.inFlight) == 0 {
		e.total = 0
	}
}

type boardCount struct {
	inFlight float64
	atMs     int64
}

// LoadAggregator adds up what gateways report of engines, so that each learns from the requests
// of all. It is soft state: one that is empty says nothing, and what it says is only
// ever a hint. Times are in milliseconds.
type LoadAggregator struct {
	engines map[string]*boardEntry
	// late holds the streams of each back end.
	late map[string]*DecayedMean
	// failing are the gateways whose requests fail at an engine, with when they last said so.
	failing map[string]map[string]witness
	// usages holds what is known of engines over a longer time than their loads.
	usages  map[string]*usageEntry
	sweptMs int64
	// expiredMs is when old counts were last taken out.
	expiredMs int64
}

// NewLoadAggregator returns a board that has heard nothing.
func NewLoadAggregator() *LoadAggregator {
	return &LoadAggregator{engines: map[string]*boardEntry{}, late: map[string]*DecayedMean{}, failing: map[string]map[string]witness{}, usages: map[string]*usageEntry{}}
}

// maxLateShares bounds the back ends of one report.
const maxLateShares = 64

// ReportStreamLateness takes what a gateway has seen of streams since its last report.
func (b *LoadAggregator) ReportStreamLateness(shares []StreamLateness, nowMs int64) {
	for _, share := range shares[:min(len(shares), maxLateShares)] {
		known := b.late[share.Backend]
		if known == nil {
			known = &DecayedMean{}
			b.late[share.Backend] = known
		}
		known.Merge(nowMs, share.Streams.evidence(nowMs))
	}
	for backend, known := range b.late {
		if known.At(nowMs).Weight < minimumWeight {
			delete(b.late, backend)
		}
	}
}

// StreamLateness returns what all gateways together have seen of streams.
func (b *LoadAggregator) StreamLateness(nowMs int64) []StreamLateness {
	var shares []StreamLateness
	for backend, known := range b.late {
		shares = append(shares, StreamLateness{Backend: backend, Streams: known.samples(nowMs)})
	}
	return shares
}

// ReportLoads takes what a gateway says of engines that there are: the caller leaves others out,
// so that a board never holds more than the fleet.
func (b *LoadAggregator) ReportLoads(gateway string, loads []EngineLoad, nowMs int64) {
	for _, load := range loads {
		entry, known := b.engines[load.Engine]
		if !known {
			entry = &boardEntry{inFlight: map[string]boardCount{}}
			b.engines[load.Engine] = entry
		}
		entry.heardMs = nowMs
		entry.factor.Merge(nowMs, load.LatencyRatios.evidence(nowMs))
		if inFlight := float64(load.InFlight); inFlight >= 0 && !math.IsInf(inFlight, 0) {
			entry.count(gateway, inFlight, nowMs)
		}
	}
	if nowMs-b.sweptMs >= loadSweepMs {
		b.sweptMs = nowMs
		b.sweep(nowMs)
	}
}

// ForgetEngine drops what is known of an engine, which has started again.
func (b *LoadAggregator) ForgetEngine(engine string) {
	delete(b.usages, engine)
	delete(b.engines, engine)
	delete(b.failing, engine)
}

// sweep forgets engines that nobody speaks of any more and gateways that fell silent.
func (b *LoadAggregator) sweep(nowMs int64) {
	b.sweepFailing(nowMs)
	b.sweepUsages(nowMs)
	for engine, entry := range b.engines {
		if nowMs-entry.heardMs > loadSweepMs {
			delete(b.engines, engine)
		}
	}
}

// expire takes out what gateways said too long ago, so often at the most that it costs little
// beside their reports.
func (b *LoadAggregator) expire(nowMs int64) {
	if nowMs-b.expiredMs < loadExpireMs {
		return
	}
	b.expiredMs = nowMs
	for _, entry := range b.engines {
		entry.expire(nowMs)
	}
}

// Loads returns what all gateways together know of the engines named; those of which nobody
// has spoken lately are left out.
func (b *LoadAggregator) Loads(engines []string, nowMs int64) []EngineLoad {
	b.expire(nowMs)
	var loads []EngineLoad
	for _, engine := range engines {
		if entry, known := b.engines[engine]; known {
			loads = append(loads, entry.load(engine, nowMs))
		}
	}
	return loads
}

// InFlight returns how many requests all gateways together have under way at an engine.
func (b *LoadAggregator) InFlight(engine string, nowMs int64) float64 {
	b.expire(nowMs)
	entry, known := b.engines[engine]
	if !known {
		return 0
	}
	return max(entry.total, 0)
}

func (e *boardEntry) load(engine string, nowMs int64) EngineLoad {
	return EngineLoad{Engine: engine, InFlight: float32(max(e.total, 0)), LatencyRatios: e.factor.samples(nowMs)}
}
