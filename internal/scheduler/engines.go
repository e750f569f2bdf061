package scheduler

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/reconcile"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// setEngines takes the cell as the directory gives it. Calls that run on engines
// which went to another owner end there.
func (c *Core) setEngines(engines []membership.Engine) {
	listed := map[string]bool{}
	for _, info := range engines {
		listed[info.Name] = true
		owned, ok := c.engines[info.Name]
		if !ok {
			owned = &ownedEngine{schedule: &scheduling.Engine{Name: info.Name, Pool: info.Pool}}
			c.engines[info.Name] = owned
		}
		if owned.info.Address != info.Address {
			owned.known = false
		}
		owned.info = info
		owned.schedule.Pool = info.Pool
	}
	for name := range c.engines {
		if !listed[name] {
			delete(c.engines, name)
		}
	}
	c.refreshCell()
}

// refreshCell rebuilds the list that decisions are made on.
func (c *Core) refreshCell() {
	c.cell.Engines = c.cell.Engines[:0]
	for _, name := range sortedNames(c.engines) {
		owned := c.engines[name]
		c.refreshEngine(owned)
		c.cell.Engines = append(c.cell.Engines, owned.schedule)
	}
}

func (c *Core) refreshEngine(owned *ownedEngine) {
	hardware := owned.state.Hardware
	silent := c.nowMs-owned.heardMs > engineSilenceMs
	target := c.target(owned.info.Pool)
	owned.schedule.Ready = owned.known && !silent && owned.state.Ready && owned.state.Target.Model == target.Model
	leaving := owned.info.Leaving && !c.options.DisableLeavingClose
	owned.schedule.Closed = leaving || owned.draining
	owned.schedule.Slots = int(*c.fields("/pools/" + owned.info.Pool).EngineConcurrency)
	owned.schedule.PrefillTokensPerSecond = hardware.PrefillTokensPerSecond
	owned.schedule.StepMicros = hardware.BaseStepMicros
	owned.schedule.StepMicrosPerSequence = hardware.StepMicrosPerSequence
}

// HandleEngineState takes an engine's state; ok is false where it didn't answer.
func (c *Core) HandleEngineState(name string, state engine.State, ok bool, nowMs int64) {
	c.nowMs = nowMs
	owned, known := c.engines[name]
	if !known {
		return
	}
	if !ok {
		return
	}
	owned.known = true
	owned.heardMs = nowMs
	if state.CachedProgramsOmitted {
		state.CachedPrograms = owned.state.CachedPrograms
		owned.state = state
	} else {
		owned.state = state
		c.correctWarm(owned)
	}
	c.refreshEngine(owned)
	c.dispatch()
}

// correctWarm brings what is believed of an engine's cache into line with what
// it reports. Reports lag, so only programs that had no call lately change.
func (c *Core) correctWarm(owned *ownedEngine) {
	held := map[string]int64{}
	for _, item := range owned.state.CachedPrograms {
		held[item.Program] = item.Tokens
	}
	for id, local := range c.programs {
		if local.active != nil || c.nowMs-local.lastMs < engineSilenceMs {
			continue
		}
		tokens, ok := held[id]
		if !ok {
			delete(local.warm, owned.info.Name)
		} else if _, believed := local.warm[owned.info.Name]; believed {
			local.warm[owned.info.Name] = min(local.warm[owned.info.Name], tokens)
		}
	}
}

// tickEngines notices silent engines, brings engines into line and audits what
// they hold.
func (c *Core) tickEngines() {
	for _, name := range sortedNames(c.engines) {
		owned := c.engines[name]
		before := owned.schedule.Ready
		c.refreshEngine(owned)
		if before && !owned.schedule.Ready {
			c.forgetWarm(name)
		}
		if owned.schedule.Ready && !owned.schedule.Closed {
			c.readyMs[owned.info.Pool] = c.nowMs
		}
	}
	c.giveBackUnserved()
	if c.synced && c.nowMs-c.lastPlanMs >= reconcileEveryMs {
		c.lastPlanMs = c.nowMs
		for _, name := range sortedNames(c.engines) {
			c.reconcileEngine(c.engines[name])
		}
	}
	if c.synced && c.nowMs-c.lastAuditMs >= auditEveryMs && !c.options.DisableAudit {
		c.lastAuditMs = c.nowMs
		c.audit()
	}
}

// isUnserved reports whether the cell has had no open engine of a pool for so long
// that calls should go to another cell.
func (c *Core) isUnserved(pool string) bool {
	last, ok := c.readyMs[pool]
	if !ok {
		c.readyMs[pool] = c.nowMs
		return false
	}
	return c.nowMs-last > noEngineGraceMs
}

// giveBackUnserved ends waiting calls that no engine of the cell can serve. They
// have not run; their sidecars take them to another cell.
func (c *Core) giveBackUnserved() {
	if len(c.cell.Waiting) == 0 {
		return
	}
	kept := c.cell.Waiting[:0]
	for _, waiting := range c.cell.Waiting {
		if !c.isUnserved(waiting.Pool) {
			kept = append(kept, waiting)
			continue
		}
		current := c.waiting[waiting.ID]
		delete(c.waiting, waiting.ID)
		c.abortCall(current, c.noEngine(waiting.Pool), true, 0)
	}
	c.cell.Waiting = kept
}

func (c *Core) noEngine(pool string) *result.Error {
	return result.New(result.NoEngine, "%s has no ready engine of pool %s", c.options.Name, pool)
}

func (c *Core) forgetWarm(name string) {
	for _, local := range c.programs {
		delete(local.warm, name)
	}
}

// reconcileEngine takes the next step that brings an engine to what the settings
// ask of its pool.
func (c *Core) reconcileEngine(owned *ownedEngine) {
	target := c.target(owned.info.Pool)
	if !owned.known || target.Model == "" || c.nowMs-owned.heardMs > engineSilenceMs {
		return
	}
	observed := reconcile.ObservedEngine{
		Name: owned.info.Name, Pool: owned.info.Pool, Current: owned.state.Target, IsLoading: owned.state.Loading,
		IsLeaving: owned.info.Leaving, InFlight: owned.schedule.InFlight,
		// An engine that serves nothing lowers no floor, so it needs no permit.
		HasPermit: owned.permit || owned.state.Target.Model == "", IsDraining: owned.draining || !owned.state.Ready,
	}
	switch reconcile.NextStep(observed, target) {
	case reconcile.StepPermit:
		c.askPermit(owned)
	case reconcile.StepDrain:
		owned.draining = true
		c.refreshEngine(owned)
	case reconcile.StepOrder:
		c.orderEngine(owned, target)
	case reconcile.StepRelease:
		c.releasePermit(owned)
	}
}

func (c *Core) orderEngine(owned *ownedEngine, target reconcile.Target) {
	if c.nowMs-owned.orderedAtMs < controlTimeoutMs {
		return
	}
	owned.orderedAtMs = c.nowMs
	fence := reconcile.Fence{Epoch: owned.info.Epoch, Revision: c.tree.Revision()}
	c.outlet.SendOrder(owned.info, engine.Order{Fence: fence, Target: target})
}

func (c *Core) askPermit(owned *ownedEngine) {
	if owned.permitPending {
		return
	}
	owned.permitPending = true
	request := &protocol.PermitRequest{Scheduler: c.options.Name, Engine: owned.info.Name, Pool: owned.info.Pool}
	c.askControl(0, protocol.KindPermit, request, controlTimeoutMs, func(reply any) {
		owned.permitPending = false
		if typed, ok := reply.(*protocol.PermitReply); ok {
			owned.permit = typed.Granted
		}
	})
}

func (c *Core) releasePermit(owned *ownedEngine) {
	held := owned.permit
	owned.permit = false
	owned.draining = false
	owned.orderedAtMs = 0
	c.refreshEngine(owned)
	if held {
		request := &protocol.PermitRequest{Scheduler: c.options.Name, Engine: owned.info.Name, Pool: owned.info.Pool, Release: true}
		c.askControl(0, protocol.KindPermit, request, controlTimeoutMs, func(any) {})
	}
}

// audit asks the ledgers which of the programs that engines hold have ended, so
// that a release lost in a crash is made up for.
func (c *Core) audit() {
	byGroup := map[uint32]map[string]bool{}
	for _, owned := range c.engines {
		for _, item := range owned.state.CachedPrograms {
			if local, ok := c.programs[item.Program]; ok && local.active != nil {
				continue
			}
			group := c.groupOf(item.Program)
			if byGroup[group] == nil {
				byGroup[group] = map[string]bool{}
			}
			byGroup[group][item.Program] = true
		}
	}
	for group := uint32(1); group <= c.groups; group++ {
		if len(byGroup[group]) == 0 {
			continue
		}
		request := &protocol.EndedProgramsRequest{Group: group, Programs: sortedNames(byGroup[group])}
		c.askControl(group, protocol.KindEndedPrograms, request, controlTimeoutMs, func(reply any) {
			if typed, ok := reply.(*protocol.EndedProgramsReply); ok && typed.Error == nil {
				c.release(typed.EndedOrUnknown)
			}
		})
	}
}

// release tells every engine that holds any of the programs to drop them.
func (c *Core) release(ended []string) {
	if len(ended) == 0 {
		return
	}
	gone := map[string]bool{}
	for _, id := range ended {
		gone[id] = true
		if local, ok := c.programs[id]; ok && local.active == nil && len(local.queue) == 0 {
			c.forget(local)
		}
	}
	for _, name := range sortedNames(c.engines) {
		owned := c.engines[name]
		var here []string
		for _, item := range owned.state.CachedPrograms {
			if gone[item.Program] {
				here = append(here, item.Program)
			}
		}
		if len(here) > 0 {
			c.counters.ReleasedPrograms += uint64(len(here))
			c.outlet.ReleasePrograms(owned.info, here)
			owned.state.CachedPrograms = slices.DeleteFunc(slices.Clone(owned.state.CachedPrograms), func(item engine.CachedProgram) bool { return gone[item.Program] })
		}
	}
}
