package scheduling

import "math"

// Load is what observers know of one engine: one gateway since its last report, or all
// gateways together.
type Load struct {
	//lint:ignore U1000 It tells the codec to leave the fields' names out.
	_msgpack struct{} `msgpack:",as_array"`
	Engine   string
	// InFlight is how many requests were under way, on the mean since the last report.
	InFlight float32
	// Factor are samples of how many times longer than usual things took there.
	Factor Samples
}

// LateShare is what observers know of the streams of one back end: how many began, and how
// many of these later than their target.
type LateShare struct {
	//lint:ignore U1000 As above.
	_msgpack struct{} `msgpack:",as_array"`
	Backend  string
	Streams  Samples
}

// Samples are the sums of some evidence without its time.
type Samples struct {
	//lint:ignore U1000 As above.
	_msgpack struct{} `msgpack:",as_array"`
	Sum      float32
	Weight   float32
}

// sound reports whether the sums can be counted: whatever comes over the network must
// not make a mean of nothing.
func (s Samples) sound() bool {
	sum, weight := float64(s.Sum), float64(s.Weight)
	return weight > 0 && sum >= 0 && !math.IsInf(sum, 0) && !math.IsInf(weight, 0) && !math.IsNaN(sum) && !math.IsNaN(weight)
}

// Mean returns the mean of the samples, 0 where there are none.
func (s Samples) Mean() float64 {
	if !s.sound() {
		return 0
	}
	return float64(s.Sum) / float64(s.Weight)
}

// evidence returns the samples as they count at nowMs.
func (s Samples) evidence(nowMs int64) Evidence {
	if !s.sound() {
		return Evidence{AtMs: nowMs}
	}
	return Evidence{Sum: float64(s.Sum), Weight: float64(s.Weight), AtMs: nowMs}
}

// samples returns evidence as it counts at nowMs without its time.
func (e Evidence) samples(nowMs int64) Samples {
	aged := e.At(nowMs)
	return Samples{Sum: float32(aged.Sum), Weight: float32(aged.Weight)}
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
	factor Evidence
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

// Board adds up what gateways report of engines, so that each learns from the requests
// of all. It is soft state: one that is empty says nothing, and what it says is only
// ever a hint. Times are in milliseconds.
type Board struct {
	engines map[string]*boardEntry
	// late holds the streams of each back end.
	late map[string]*Evidence
	// failing are the gateways whose requests fail at an engine, with when they last said so.
	failing map[string]map[string]witness
	// usages holds what is known of engines over a longer time than their loads.
	usages  map[string]*usageEntry
	sweptMs int64
	// expiredMs is when old counts were last taken out.
	expiredMs int64
}

// NewBoard returns a board that has heard nothing.
func NewBoard() *Board {
	return &Board{engines: map[string]*boardEntry{}, late: map[string]*Evidence{}, failing: map[string]map[string]witness{}, usages: map[string]*usageEntry{}}
}

// maxLateShares bounds the back ends of one report.
const maxLateShares = 64

// ReportLate takes what a gateway has seen of streams since its last report.
func (b *Board) ReportLate(shares []LateShare, nowMs int64) {
	for _, share := range shares[:min(len(shares), maxLateShares)] {
		known := b.late[share.Backend]
		if known == nil {
			known = &Evidence{}
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

// Late returns what all gateways together have seen of streams.
func (b *Board) Late(nowMs int64) []LateShare {
	var shares []LateShare
	for backend, known := range b.late {
		shares = append(shares, LateShare{Backend: backend, Streams: known.samples(nowMs)})
	}
	return shares
}

// Report takes what a gateway says of engines that there are: the caller leaves others out,
// so that a board never holds more than the fleet.
func (b *Board) Report(gateway string, loads []Load, nowMs int64) {
	for _, load := range loads {
		entry, known := b.engines[load.Engine]
		if !known {
			entry = &boardEntry{inFlight: map[string]boardCount{}}
			b.engines[load.Engine] = entry
		}
		entry.heardMs = nowMs
		entry.factor.Merge(nowMs, load.Factor.evidence(nowMs))
		if inFlight := float64(load.InFlight); inFlight >= 0 && !math.IsInf(inFlight, 0) {
			entry.count(gateway, inFlight, nowMs)
		}
	}
	if nowMs-b.sweptMs >= loadSweepMs {
		b.sweptMs = nowMs
		b.sweep(nowMs)
	}
}

// Forget drops what is known of an engine, which has started again.
func (b *Board) Forget(engine string) {
	delete(b.usages, engine)
	delete(b.engines, engine)
	delete(b.failing, engine)
}

// sweep forgets engines that nobody speaks of any more and gateways that fell silent.
func (b *Board) sweep(nowMs int64) {
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
func (b *Board) expire(nowMs int64) {
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
func (b *Board) Loads(engines []string, nowMs int64) []Load {
	b.expire(nowMs)
	var loads []Load
	for _, engine := range engines {
		if entry, known := b.engines[engine]; known {
			loads = append(loads, entry.load(engine, nowMs))
		}
	}
	return loads
}

// InFlight returns how many requests all gateways together have under way at an engine.
func (b *Board) InFlight(engine string, nowMs int64) float64 {
	b.expire(nowMs)
	entry, known := b.engines[engine]
	if !known {
		return 0
	}
	return max(entry.total, 0)
}

func (e *boardEntry) load(engine string, nowMs int64) Load {
	return Load{Engine: engine, InFlight: float32(max(e.total, 0)), Factor: e.factor.samples(nowMs)}
}
