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

// setEngines replaces the engines of the cell with those that the directory assigns to this
// scheduler. Attempts on an engine that now has another owner continue to their end.
func (c *Core) setEngines(engines []membership.Engine) {
	isListed := map[string]bool{}
	for _, info := range engines {
		isListed[info.Name] = true
		owned, ok := c.engines[info.Name]
		if !ok {
			owned = &ownedEngine{schedulingEngine: &scheduling.Engine{Name: info.Name, Pool: info.Pool}}
			c.engines[info.Name] = owned
		}
		if owned.info.Address != info.Address {
			owned.hasState = false
		}
		owned.info = info
		owned.schedulingEngine.Pool = info.Pool
	}
	for name := range c.engines {
		if !isListed[name] {
			delete(c.engines, name)
		}
	}
	c.refreshCell()
}

// refreshCell rebuilds the list of engines that the scheduling policy selects from.
func (c *Core) refreshCell() {
	c.cell.Engines = c.cell.Engines[:0]
	for _, name := range sortedNames(c.engines) {
		owned := c.engines[name]
		c.refreshEngine(owned)
		c.cell.Engines = append(c.cell.Engines, owned.schedulingEngine)
	}
}

func (c *Core) refreshEngine(owned *ownedEngine) {
	hardware := owned.state.Hardware
	isReportOverdue := c.nowMs-owned.lastReportMs > engineReportTimeoutMs
	target := c.poolTarget(owned.info.Pool)
	owned.schedulingEngine.Ready = owned.hasState && !isReportOverdue && owned.state.Ready && owned.state.Target.Model == target.Model
	isLeaving := owned.info.Leaving && !c.options.DisableLeavingClose
	owned.schedulingEngine.Closed = isLeaving || owned.isDraining
	owned.schedulingEngine.Slots = int(*c.effectiveFields("/pools/" + owned.info.Pool).EngineConcurrency)
	owned.schedulingEngine.PrefillTokensPerSecond = hardware.PrefillTokensPerSecond
	owned.schedulingEngine.StepMicros = hardware.BaseStepMicros
	owned.schedulingEngine.StepMicrosPerSequence = hardware.StepMicrosPerSequence
}

// HandleEngineState handles the reply to a state poll of an engine. hasReplied is false if the
// poll failed; the poll is then ignored.
func (c *Core) HandleEngineState(name string, state engine.State, hasReplied bool, nowMs int64) {
	c.nowMs = nowMs
	owned, isOwned := c.engines[name]
	if !isOwned {
		return
	}
	if !hasReplied {
		return
	}
	owned.hasState = true
	owned.lastReportMs = nowMs
	if state.CachedProgramsOmitted {
		state.CachedPrograms = owned.state.CachedPrograms
		owned.state = state
	} else {
		owned.state = state
		c.reconcileCachedTokens(owned)
	}
	c.refreshEngine(owned)
	c.dispatch()
}

// reconcileCachedTokens lowers the cached tokens assumed for an engine to those that it reports.
// Reports lag, so programs with an active call or with activity in the last engineReportTimeoutMs
// are left unchanged.
func (c *Core) reconcileCachedTokens(owned *ownedEngine) {
	reportedTokens := map[string]int64{}
	for _, item := range owned.state.CachedPrograms {
		reportedTokens[item.Program] = item.Tokens
	}
	for id, local := range c.programs {
		if local.activeCall != nil || c.nowMs-local.lastActiveMs < engineReportTimeoutMs {
			continue
		}
		tokens, ok := reportedTokens[id]
		if !ok {
			delete(local.cachedTokens, owned.info.Name)
		} else if _, isCached := local.cachedTokens[owned.info.Name]; isCached {
			local.cachedTokens[owned.info.Name] = min(local.cachedTokens[owned.info.Name], tokens)
		}
	}
}

// tickEngines updates the readiness of the engines, aborts calls that the cell cannot serve,
// reconciles the engines with their targets and audits their cached programs.
func (c *Core) tickEngines() {
	for _, name := range sortedNames(c.engines) {
		owned := c.engines[name]
		wasReady := owned.schedulingEngine.Ready
		c.refreshEngine(owned)
		if wasReady && !owned.schedulingEngine.Ready {
			c.clearCachedTokens(name)
		}
		if owned.schedulingEngine.Ready && !owned.schedulingEngine.Closed {
			c.poolLastReadyMs[owned.info.Pool] = c.nowMs
		}
	}
	c.abortUnserved()
	if c.isSynced && c.nowMs-c.lastReconcileMs >= reconcileIntervalMs {
		c.lastReconcileMs = c.nowMs
		for _, name := range sortedNames(c.engines) {
			c.reconcileEngine(c.engines[name])
		}
	}
	if c.isSynced && c.nowMs-c.lastAuditMs >= auditIntervalMs && !c.options.DisableAudit {
		c.lastAuditMs = c.nowMs
		c.auditCachedPrograms()
	}
}

// isUnserved reports whether the cell has had no ready and open engine of a pool for more than
// noEngineGraceMs, so that calls should go to another cell.
func (c *Core) isUnserved(pool string) bool {
	lastReadyMs, ok := c.poolLastReadyMs[pool]
	if !ok {
		c.poolLastReadyMs[pool] = c.nowMs
		return false
	}
	return c.nowMs-lastReadyMs > noEngineGraceMs
}

// abortUnserved ends the waiting calls that no engine of the cell can serve. The calls have not run,
// so their sidecars send them to another cell.
func (c *Core) abortUnserved() {
	if len(c.cell.Waiting) == 0 {
		return
	}
	remaining := c.cell.Waiting[:0]
	for _, waitingCall := range c.cell.Waiting {
		if !c.isUnserved(waitingCall.Pool) {
			remaining = append(remaining, waitingCall)
			continue
		}
		current := c.waitingCalls[waitingCall.ID]
		delete(c.waitingCalls, waitingCall.ID)
		c.abortCall(current, c.noEngineError(waitingCall.Pool), true, 0)
	}
	c.cell.Waiting = remaining
}

func (c *Core) noEngineError(pool string) *result.Error {
	return result.New(result.NoEngine, "scheduler %s has no ready engine of pool %s", c.options.Name, pool)
}

func (c *Core) clearCachedTokens(name string) {
	for _, local := range c.programs {
		delete(local.cachedTokens, name)
	}
}

// reconcileEngine performs the next step that brings an engine to the target of its pool.
func (c *Core) reconcileEngine(owned *ownedEngine) {
	target := c.poolTarget(owned.info.Pool)
	if !owned.hasState || target.Model == "" || c.nowMs-owned.lastReportMs > engineReportTimeoutMs {
		return
	}
	observed := reconcile.ObservedEngine{
		Name: owned.info.Name, Pool: owned.info.Pool, Current: owned.state.Target, IsLoading: owned.state.Loading,
		IsLeaving: owned.info.Leaving, InFlight: owned.schedulingEngine.InFlight,
		// Loading an engine that serves no model cannot lower the number of ready engines below
		// the pool's minimum (the setting ready_floor), so it needs no permit.
		HasPermit: owned.hasPermit || owned.state.Target.Model == "", IsDraining: owned.isDraining || !owned.state.Ready,
	}
	switch reconcile.NextStep(observed, target) {
	case reconcile.StepPermit:
		c.requestPermit(owned)
	case reconcile.StepDrain:
		owned.isDraining = true
		c.refreshEngine(owned)
	case reconcile.StepOrder:
		c.sendEngineOrder(owned, target)
	case reconcile.StepRelease:
		c.releasePermit(owned)
	}
}

func (c *Core) sendEngineOrder(owned *ownedEngine, target reconcile.Target) {
	if c.nowMs-owned.lastOrderMs < controlTimeoutMs {
		return
	}
	owned.lastOrderMs = c.nowMs
	fence := reconcile.Fence{Epoch: owned.info.Epoch, Revision: c.tree.Revision()}
	c.transport.SendOrder(owned.info, engine.Order{Fence: fence, Target: target})
}

func (c *Core) requestPermit(owned *ownedEngine) {
	if owned.isPermitPending {
		return
	}
	owned.isPermitPending = true
	request := &protocol.PermitRequest{Scheduler: c.options.Name, Engine: owned.info.Name, Pool: owned.info.Pool}
	c.startControlRequest(0, protocol.KindPermit, request, controlTimeoutMs, func(reply any) {
		owned.isPermitPending = false
		if typed, ok := reply.(*protocol.PermitReply); ok {
			owned.hasPermit = typed.Granted
		}
	})
}

func (c *Core) releasePermit(owned *ownedEngine) {
	hadPermit := owned.hasPermit
	owned.hasPermit = false
	owned.isDraining = false
	owned.lastOrderMs = 0
	c.refreshEngine(owned)
	if hadPermit {
		request := &protocol.PermitRequest{Scheduler: c.options.Name, Engine: owned.info.Name, Pool: owned.info.Pool, Release: true}
		c.startControlRequest(0, protocol.KindPermit, request, controlTimeoutMs, func(any) {})
	}
}

// auditCachedPrograms queries the ledger groups for the programs cached on engines that have ended
// or are unknown, and releases them. This repeats releases that were lost in a crash.
func (c *Core) auditCachedPrograms() {
	programsByGroup := map[uint32]map[string]bool{}
	for _, owned := range c.engines {
		for _, item := range owned.state.CachedPrograms {
			if local, ok := c.programs[item.Program]; ok && local.activeCall != nil {
				continue
			}
			group := c.groupOf(item.Program)
			if programsByGroup[group] == nil {
				programsByGroup[group] = map[string]bool{}
			}
			programsByGroup[group][item.Program] = true
		}
	}
	for group := uint32(1); group <= c.groups; group++ {
		if len(programsByGroup[group]) == 0 {
			continue
		}
		request := &protocol.EndedProgramsRequest{Group: group, Programs: sortedNames(programsByGroup[group])}
		c.startControlRequest(group, protocol.KindEndedPrograms, request, controlTimeoutMs, func(reply any) {
			if typed, ok := reply.(*protocol.EndedProgramsReply); ok && typed.Error == nil {
				c.releaseEndedPrograms(typed.EndedOrUnknown)
			}
		})
	}
}

// releaseEndedPrograms sends a release to every engine that has any of the programs cached.
func (c *Core) releaseEndedPrograms(ended []string) {
	if len(ended) == 0 {
		return
	}
	isEnded := map[string]bool{}
	for _, id := range ended {
		isEnded[id] = true
		if local, ok := c.programs[id]; ok && local.activeCall == nil && len(local.queue) == 0 {
			c.evict(local)
		}
	}
	for _, name := range sortedNames(c.engines) {
		owned := c.engines[name]
		var programsToRelease []string
		for _, item := range owned.state.CachedPrograms {
			if isEnded[item.Program] {
				programsToRelease = append(programsToRelease, item.Program)
			}
		}
		if len(programsToRelease) > 0 {
			c.counters.ReleasedPrograms += uint64(len(programsToRelease))
			c.transport.ReleasePrograms(owned.info, programsToRelease)
			owned.state.CachedPrograms = slices.DeleteFunc(slices.Clone(owned.state.CachedPrograms), func(item engine.CachedProgram) bool { return isEnded[item.Program] })
		}
	}
}
