package gateway

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// slowFactor is from how many times the time that others take on an engine counts as slow.
const slowFactor = 1.3

// activity notes when this gateway sent or received something of streams, and so shows when
// its process, or its machine, stood still.
type activity struct {
	lastMs int64
	// fromMs and toMs are the last time without any, if it was longer than a pause may be.
	fromMs, toMs int64
}

// leastPauseMs is the shortest time without activity that may be a pause of the process.
const leastPauseMs = 100

func (a *activity) note(nowMs int64) {
	if nowMs-a.lastMs >= leastPauseMs {
		a.fromMs, a.toMs = a.lastMs, nowMs
	}
	a.lastMs = nowMs
}

// paused reports whether nothing happened for half of the time up to nowMs or more.
func (a *activity) paused(nowMs int64, tookMs float64) bool {
	const half = 2
	idleMs := a.toMs - max(a.fromMs, nowMs-int64(tookMs))
	return float64(idleMs)*half >= tookMs
}

// noteBeginning tells admission whether a stream began within its target. What lasted long
// for another reason than that engines have too much to do is left out: an engine that is
// slower than the others, or a pause of this process.
func (e *engines) noteBeginning(c *call, nowMs int64, took float64) {
	target := float64(c.route.TargetLatencyMs)
	slow := c.chosen.health.LatencyRatio(nowMs) > slowFactor
	if target <= 0 || (took > target && (slow || e.activity.paused(nowMs, took))) {
		return
	}
	entryOf(e.admissions, c.backend.Name).ObserveStreamStart(nowMs, took > target)
}

// concurrency is the mean of all gateways' requests over the engines of a back end that the
// others have spoken of lately; false where that is less than half of them, as while control
// has no leader: this gateway's own requests alone would look like an idle fleet.
func (e *engines) concurrency(backend string, nowMs int64) (mean float64, known bool) {
	pool := e.byPool[backend]
	total, heard := 0.0, 0
	for _, engine := range pool {
		health := e.healthOf(engine.ID)
		if !health.HasRecentSharedLoad(nowMs) {
			continue
		}
		total += health.EstimatedInFlight(nowMs)
		heard++
	}
	const half = 2
	return total / float64(max(heard, 1)), heard > 0 && heard*half >= len(pool)
}

// decision is one whether a program may begin, with what it was made from.
type decision struct {
	admitted     bool
	retryAfterMs int64
	concurrency  float64
	limit        float64
	// room is for how many requests an engine has room, position where the tenant stands.
	room     float64
	position admission.ShareStatus
}

// admit decides whether a call that begins a program may go on.
func (e *engines) admit(c *call, position, ranks int) decision {
	if e.disabled.Has(scheduling.MechanismAdmission) {
		return decision{admitted: true}
	}
	draw := float64(xxhash.Sum64String(c.program)) / (1 << 64)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	nowMs := clock.NowMs()
	concurrency, known := e.concurrency(c.backend.Name, nowMs)
	if !known {
		e.begun(c, nowMs)
		return decision{admitted: true}
	}
	made := decision{concurrency: concurrency}
	learnt := entryOf(e.admissions, c.backend.Name)
	learnt.UpdateLimit(nowMs, concurrency, c.backend.Slots)
	made.limit = learnt.Limit()
	made.room = admission.UsableConcurrency(c.backend.Slots, learnt.UnrestrictedConcurrency())
	made.position = e.position(c, made.room, nowMs)
	if made.position.AboveFairShare {
		made.retryAfterMs, made.admitted = made.position.Admit(draw)
	} else {
		// What others use beyond their shares is theirs to give back.
		excess := made.position.Excess / float64(max(len(e.byPool[c.backend.Name]), 1))
		made.retryAfterMs, made.admitted = learnt.Admit(concurrency-excess, position, ranks, draw)
	}
	if made.admitted {
		e.begun(c, nowMs)
	}
	return made
}

// begun tells the meter of a program that has begun.
func (e *engines) begun(c *call, nowMs int64) {
	if c.tenant != nil {
		e.meter.RecordProgramStart(c.backend.Name, c.tenant.Name, c.weight, nowMs)
	}
}

// position returns where the tenant of a call stands at its back end.
func (e *engines) position(c *call, room float64, nowMs int64) admission.ShareStatus {
	if c.tenant == nil || !e.fairShares {
		return admission.ShareStatus{}
	}
	return e.shares.Status(c.backend.Name, c.tenant.Name, room*float64(len(e.byPool[c.backend.Name])), nowMs)
}

// aboveShare reports whether the tenant of a call uses more than its share of a back end that
// is short of room.
func (e *engines) aboveShare(c *call) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	learnt := entryOf(e.admissions, c.backend.Name)
	return e.position(c, admission.UsableConcurrency(c.backend.Slots, learnt.UnrestrictedConcurrency()), clock.NowMs()).AboveFairShare
}

// underWay counts a call at its back end, or takes it off again.
func (e *engines) underWay(c *call, change int) {
	if !c.keyed {
		return
	}
	name := ""
	if c.tenant != nil {
		name = c.tenant.Name
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.meter.AdjustInFlight(c.backend.Name, name, c.weight, change, clock.NowMs())
	e.slots[c.backend.Name] = c.backend.Slots
}

// nearlyShort is the part of the room of a back end from which on gateways name the tenants that
// use it: a half, since demand doubles within the time that it takes to hear of it.
const nearlyShort = 0.5

// usesNews returns what was used here of back ends since the last call, by tenants where they are
// short or nearly so.
func (e *engines) usesNews(nowMs int64) []admission.BackendUsage {
	if !e.fairShares {
		return nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.meter.CollectUsage(nowMs, func(backend string) bool {
		concurrency, known := e.concurrency(backend, nowMs)
		room := admission.UsableConcurrency(e.slots[backend], entryOf(e.admissions, backend).UnrestrictedConcurrency())
		wanted := e.shares.Demand(backend, nowMs) / float64(max(len(e.byPool[backend]), 1))
		return known && room > 0 && max(concurrency, wanted) >= nearlyShort*room
	})
}

// takeUses takes what all gateways' tenants together use of back ends.
func (e *engines) takeUses(uses []admission.BackendUsage, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.shares.ApplyUsage(uses, nowMs)
}

// lateNews returns what this gateway has seen of streams since the last call.
func (e *engines) lateNews(nowMs int64) []scheduling.StreamLateness {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var shares []scheduling.StreamLateness
	for backend, learnt := range e.admissions {
		if news := learnt.CollectStreamLateness(nowMs); news.Weight > 0 {
			shares = append(shares, scheduling.StreamLateness{Backend: backend, Streams: news})
		}
	}
	return shares
}

// takeLate takes what all gateways together have seen of streams.
func (e *engines) takeLate(shares []scheduling.StreamLateness, nowMs int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, share := range shares {
		entryOf(e.admissions, share.Backend).ApplySharedLateness(share.Streams, nowMs)
	}
}
