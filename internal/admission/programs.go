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

// TenantPrograms are the programs of one tenant that have begun, and what they will ask for within
// the coming window.
type TenantPrograms struct {
	kinds    *ProgramKinds
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
	kind *ProgramKind
	// made is how many of its requests were granted, lastMs when the last one was.
	made   int
	lastMs int64
	// ended says that it has been silent for so long that it counts as ended.
	ended bool
}

// NewTenantPrograms returns the programs of a tenant whose limit counts over a window.
func NewTenantPrograms(kinds *ProgramKinds, windowMs int64) *TenantPrograms {
	return &TenantPrograms{kinds: kinds, windowMs: windowMs, byName: map[string]*program{}}
}

// IsInProgress reports whether a program has begun.
func (p *TenantPrograms) IsInProgress(name string) bool {
	_, known := p.byName[name]
	return known
}

// Len returns how many programs are remembered.
func (p *TenantPrograms) Len() int { return len(p.byName) }

// RecordGrant notes a request of a program that was asked for and granted at times; kind is that
// of the program where the request is a turn.
func (p *TenantPrograms) RecordGrant(name, kind string, askedMs, nowMs int64) {
	known := p.byName[name]
	if known == nil {
		known = &program{kind: p.kinds.GetOrCreate(kind), made: 1, lastMs: nowMs}
		p.byName[name] = known
		p.begunMs = nowMs
		p.add(known, nowMs)
		return
	}
	if known.ended {
		known.ended = false
		known.kind.UndoEnd(known.made)
	}
	known.kind.ObserveContinuation(known.made, askedMs-known.lastMs)
	known.made++
	known.lastMs = nowMs
}

// UndoGrant takes back a request that no engine ran: a program of which nothing has run has not
// begun.
func (p *TenantPrograms) UndoGrant(name string) {
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
	known.kind.UndoContinuation(known.made)
}

// add counts what one program will ask for.
func (p *TenantPrograms) add(known *program, nowMs int64) {
	ahead, bucket := known.kind.outlookAt(nowMs, p.windowMs), madeBucket(known.made)
	goesOn := known.kind.underWay(ahead.endsNow[bucket], float64(nowMs-known.lastMs))
	for position, coming := range ahead.within[bucket] {
		p.demand[position] += goesOn * coming
	}
}

// forecast brings the demand up to date.
func (p *TenantPrograms) forecast(nowMs int64) {
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
		case float64(silentMs) >= known.kind.InactivityTimeoutMs():
			known.ended = true
			known.kind.ObserveEnd(known.made)
		default:
			p.add(known, nowMs)
		}
	}
}

// RemoveIdle forgets idle programs.
func (p *TenantPrograms) RemoveIdle(nowMs int64) { p.forecast(nowMs) }

// AdmissionDecision is whether a program may begin, with what that was decided by.
type AdmissionDecision struct {
	Admitted bool
	// CountedRequests are the requests that count already, Expected those that programs under way
	// will ask for and Own those of the program itself, up to the moment at which the room is
	// least.
	CountedRequests  int64
	ExpectedRequests float64
	OwnRequests      float64
	// AdmissionIntervalMs is at which intervals programs of the kind find room in the long run.
	AdmissionIntervalMs int64
}

// DecideAdmission decides whether a program of a kind may begin: whether at no moment of the coming
// window more would count in the mean than is allowed. The spread around the mean is for the
// queue: to keep a standard deviation free besides refuses a fifth more programs, and what waits
// then waits 0.1 s in place of 0.3 at the 99th percentile (docs/design/0011-limits-by-program.md). Counted returns what of the requests granted so
// far still counts at a time. Expecting is a demand within the window that is known of
// otherwise, as of programs of which a new owner has not heard yet.
//
// A tenant without a program under way may always begin one, however small its limit: it
// then uses what there is.
func (p *TenantPrograms) DecideAdmission(kind string, nowMs int64, allowed int64, expecting float64, counted func(atMs int64) int64) AdmissionDecision {
	p.forecast(nowMs)
	own := p.kinds.GetOrCreate(kind).outlookAt(nowMs, p.windowMs)
	goesOn := 1 - own.endsNow[0]
	result := AdmissionDecision{AdmissionIntervalMs: int64(float64(p.windowMs) * own.requests / math.Max(float64(allowed), 1))}
	least := math.Inf(1)
	for position, coming := range own.within[0] {
		horizon := horizonMs(p.windowMs, position)
		ownDemand := 1 + goesOn*coming
		expected := math.Max(p.demand[position], expecting*float64(horizon)/float64(p.windowMs))
		past := counted(nowMs + horizon)
		room := float64(allowed) - float64(past) - expected - ownDemand
		if room < least {
			least = room
			result.CountedRequests, result.ExpectedRequests, result.OwnRequests = past, expected, ownDemand
		}
	}
	result.Admitted = least >= 0 || (p.demand[horizons-1] < 1 && expecting < 1)
	return result
}

// LastStartMs is when a program began last, 0 for never.
func (p *TenantPrograms) LastStartMs() int64 { return p.begunMs }
