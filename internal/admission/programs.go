package admission

import "math"

const (
	// horizons is at how many points of the coming window the demand is compared with the
	// room.
	horizons = 10
	// forecastMs is how long a forecast over all programs of a tenant is kept.
	forecastMs = 100
	// programIdleMs is how long a program without requests is remembered.
	programIdleMs = 30_000
)

// Programs are the programs of one tenant that have begun, and what they will ask for within
// the coming window.
type Programs struct {
	kinds    *Kinds
	windowMs int64
	byName   map[string]*program
	// demand is how many requests the programs will make up to each horizon in the mean, as of
	// forecastedMs; what began since is added.
	demand       [horizons]float64
	forecastedMs int64
	forecasted   bool
	// begunMs is when a program began last, 0 for never.
	begunMs int64
}

// program is one that has begun.
type program struct {
	kind *Kind
	// made is how many of its requests were granted, lastMs when the last one was.
	made   int
	lastMs int64
	// ended says that it has been silent for so long that it counts as ended.
	ended bool
}

// NewPrograms returns the programs of a tenant whose limit counts over a window.
func NewPrograms(kinds *Kinds, windowMs int64) *Programs {
	return &Programs{kinds: kinds, windowMs: windowMs, byName: map[string]*program{}}
}

// UnderWay reports whether a program has begun.
func (p *Programs) UnderWay(name string) bool {
	_, known := p.byName[name]
	return known
}

// Len returns how many programs are remembered.
func (p *Programs) Len() int { return len(p.byName) }

// Granted notes a request of a program that was asked for and granted at times; kind is that
// of the program where the request is a turn.
func (p *Programs) Granted(name, kind string, askedMs, nowMs int64) {
	known := p.byName[name]
	if known == nil {
		known = &program{kind: p.kinds.Of(kind), made: 1, lastMs: nowMs}
		p.byName[name] = known
		p.begunMs = nowMs
		p.add(known, nowMs)
		return
	}
	if known.ended {
		known.ended = false
		known.kind.Resumed(known.made)
	}
	known.kind.Continued(known.made, askedMs-known.lastMs)
	known.made++
	known.lastMs = nowMs
}

// Undo takes back a request that no engine ran: a program of which nothing has run has not
// begun.
func (p *Programs) Undo(name string) {
	known := p.byName[name]
	if known == nil {
		return
	}
	known.made--
	if known.made <= 0 {
		delete(p.byName, name)
		p.forecasted = false
		return
	}
	known.kind.Undone(known.made)
}

// add counts what one program will ask for.
func (p *Programs) add(known *program, nowMs int64) {
	ahead, bucket := known.kind.outlookAt(nowMs, p.windowMs), madeBucket(known.made)
	goesOn := known.kind.underWay(ahead.endsNow[bucket], float64(nowMs-known.lastMs))
	for position, coming := range ahead.within[bucket] {
		p.demand[position] += goesOn * coming
	}
}

// forecast brings the demand up to date.
func (p *Programs) forecast(nowMs int64) {
	if p.forecasted && nowMs-p.forecastedMs < forecastMs {
		return
	}
	p.forecasted, p.forecastedMs = true, nowMs
	p.demand = [horizons]float64{}
	for name, known := range p.byName {
		silentMs := nowMs - known.lastMs
		switch {
		case silentMs > programIdleMs:
			delete(p.byName, name)
		case known.ended:
		case float64(silentMs) >= known.kind.EndedAfterMs():
			known.ended = true
			known.kind.Ended(known.made)
		default:
			p.add(known, nowMs)
		}
	}
}

// Sweep forgets idle programs.
func (p *Programs) Sweep(nowMs int64) { p.forecast(nowMs) }

// Fit is whether a program may begin, with what that was decided by.
type Fit struct {
	Fits bool
	// Counted are the requests that count already, Expected those that programs under way
	// will ask for and Own those of the program itself, up to the moment at which the room is
	// least.
	Counted  int64
	Expected float64
	Own      float64
	// EveryMs is at which intervals programs of the kind find room in the long run.
	EveryMs int64
}

// Fits decides whether a program of a kind may begin: whether at no moment of the coming
// window more would count in the mean than is allowed. The spread around the mean is for the
// queue: to keep a standard deviation free besides refuses a fifth more programs, and what waits
// then waits 0.1 s in place of 0.3 at the 99th percentile (docs/design/0011-limits-by-program.md). Counted returns what of the requests granted so
// far still counts at a time. Expecting is a demand within the window that is known of
// otherwise, as of programs of which a new owner has not heard yet.
//
// A tenant without a program under way may always begin one, however small its limit: it
// then uses what there is.
func (p *Programs) Fits(kind string, nowMs int64, allowed int64, expecting float64, counted func(atMs int64) int64) Fit {
	p.forecast(nowMs)
	own := p.kinds.Of(kind).outlookAt(nowMs, p.windowMs)
	goesOn := 1 - own.endsNow[0]
	result := Fit{EveryMs: int64(float64(p.windowMs) * own.requests / math.Max(float64(allowed), 1))}
	least := math.Inf(1)
	for position, coming := range own.within[0] {
		horizon := horizonMs(p.windowMs, position)
		ownDemand := 1 + goesOn*coming
		expected := math.Max(p.demand[position], expecting*float64(horizon)/float64(p.windowMs))
		past := counted(nowMs + horizon)
		room := float64(allowed) - float64(past) - expected - ownDemand
		if room < least {
			least = room
			result.Counted, result.Expected, result.Own = past, expected, ownDemand
		}
	}
	result.Fits = least >= 0 || (p.demand[horizons-1] < 1 && expecting < 1)
	return result
}

// BegunMs is when a program began last, 0 for never.
func (p *Programs) BegunMs() int64 { return p.begunMs }
