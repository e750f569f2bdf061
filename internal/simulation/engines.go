package simulation

import (
	"errors"
	"fmt"

	"github.com/ochrebay/ochrebay/internal/emulator"
	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/reconcile"
)

var errEngineLost = errors.New("connection to the engine was lost")

// engineNode is an emulated engine in virtual time.
type engineNode struct {
	*process
	pool               string
	hardware           string
	model              *emulator.Model
	target             reconcile.Target
	fence              reconcile.Fence
	isLoading          bool
	jobs               map[string]*engineJob
	lastJob            int
	scheduledStepEndUs int64
	// reportLagUs is how long a state report is reused before it is renewed;
	// omitProbability is the probability that a report omits a cached program.
	reportLagUs     int64
	omitProbability float64
	lastReport      engine.State
	lastReportUs    int64
}

type engineJob struct {
	attempt    *engineAttempt
	prompt     emulator.Prompt
	program    string
	request    string
	sentTokens int64
}

func (w *world) addEngines() {
	for _, count := range w.deployment.Engines {
		for number := range count.Count {
			name := fmt.Sprintf("engine-%s-%s-%s-%d", count.Pool, count.Zone, count.Hardware, number+1)
			node := &engineNode{process: w.newProcess(name, count.Zone), pool: count.Pool, hardware: count.Hardware}
			node.onStart = node.boot
			node.onStop = func() { node.jobs = map[string]*engineJob{} }
			node.reportLagUs = 200_000
			w.engines = append(w.engines, node)
		}
	}
}

func (e *engineNode) boot() {
	e.model = emulator.NewModel(emulator.HardwareByName(e.hardware))
	e.target = reconcile.Target{}
	e.fence = reconcile.Fence{}
	e.isLoading = false
	e.jobs = map[string]*engineJob{}
	e.scheduledStepEndUs = 0
	e.lastReportUs = -e.reportLagUs * 2
}

// startAttempt starts a call, or rejects it if the engine does not serve the model.
func (e *engineNode) startAttempt(attempt *engineAttempt, request engine.CompletionRequest, endWithLoss func(bool) func()) {
	w := e.world
	if e.isLoading || e.target.Model == "" || request.Model != e.target.Model {
		w.network.send(e.process, attempt.scheduler.process, attempt.schedulerIncarnation, "refused", endWithLoss(false), nil)
		return
	}
	w.checks.observeEngineStart(e, request)
	w.checks.checkTurnOrder(attempt, request)
	e.lastJob++
	attempt.jobID = fmt.Sprintf("%s/%d/%d", e.name, e.incarnation, e.lastJob)
	open := e.trackRequest(attempt.scheduler.process, endWithLoss(true))
	prompt := emulator.NewPrompt(request.Messages, request.MaxTokens)
	e.jobs[attempt.jobID] = &engineJob{attempt: attempt, prompt: prompt, program: request.User, request: request.RequestID}
	e.model.Submit(emulator.Job{
		ID: attempt.jobID, Program: request.User, Priority: request.Priority, Segments: prompt.Segments,
		OutputTokens: prompt.OutputTokens, DigestWithResponse: prompt.DigestWithResponse,
	}, w.nowUs)
	attempt.openRequestID = open
	e.scheduleStepEnd()
}

func (e *engineNode) scheduleStepEnd() {
	next, busy := e.model.StepEndUs()
	if !busy || (e.scheduledStepEndUs != 0 && e.scheduledStepEndUs <= next && e.scheduledStepEndUs > e.world.nowUs) {
		return
	}
	e.scheduledStepEndUs = next
	incarnation := e.incarnation
	e.world.after(next-e.world.nowUs, e.name, func() {
		if e.isAlive && e.incarnation == incarnation {
			e.receive(e.advance)
		}
	})
}

func (e *engineNode) advance() {
	e.scheduledStepEndUs = 0
	for _, progress := range e.model.Advance(e.world.nowUs) {
		current, ok := e.jobs[progress.ID]
		if !ok {
			continue
		}
		e.sendChunk(current, progress)
	}
	e.scheduleStepEnd()
}

func (e *engineNode) sendChunk(current *engineJob, progress emulator.Progress) {
	const tokenBytes = 4
	w := e.world
	run := current.attempt
	node := run.scheduler
	text := current.prompt.Response[current.sentTokens*tokenBytes : progress.GeneratedTokens*tokenBytes]
	w.checks.addGeneratedTokens(current.program, progress.GeneratedTokens-current.sentTokens)
	current.sentTokens = progress.GeneratedTokens
	if progress.IsDone {
		delete(e.jobs, progress.ID)
		delete(e.openRequests, run.openRequestID)
	}
	if run.isStopped {
		return
	}
	usage := program.Usage{
		PromptTokens: progress.PromptTokens, CompletionTokens: progress.GeneratedTokens, CachedTokens: progress.CachedTokens,
	}
	w.network.send(e.process, node.process, run.schedulerIncarnation, "piece", func() {
		if node.attempts[run.id] != run {
			return
		}
		node.core.HandleChunk(run.id, text, node.nowMs())
		if progress.IsDone {
			node.endAttempt(run, engine.CompletionOutcome{Usage: usage, MayHaveStarted: true})
		}
	}, func() {
		// A broken connection is closed at both ends.
		e.cancel(run)
		w.after(lossNoticeDelayUs, "reset", func() { node.endAttempt(run, engine.CompletionOutcome{MayHaveStarted: true, Err: errEngineLost}) })
	})
}

// cancel frees the slot of an attempt whose stream was closed.
func (e *engineNode) cancel(run *engineAttempt) {
	if _, ok := e.jobs[run.jobID]; !ok {
		return
	}
	delete(e.jobs, run.jobID)
	delete(e.openRequests, run.openRequestID)
	e.model.Cancel(run.jobID)
}

// stateReport returns the state of the engine, up to reportLagUs old and possibly without
// some of the cached programs.
func (e *engineNode) stateReport() engine.State {
	if e.world.nowUs-e.lastReportUs >= e.reportLagUs {
		running, waiting := e.model.JobCounts()
		e.lastReport = engine.State{
			Name: e.name, Ready: e.target.Model != "" && !e.isLoading, Loading: e.isLoading, Target: e.target, Fence: e.fence,
			Running: running, Waiting: waiting, Hardware: e.model.Hardware(), FreeKVCacheTokens: e.model.FreeKVCacheTokens(),
		}
		for _, cached := range e.model.CachedPrograms() {
			if e.omitProbability == 0 || !e.world.randomBool(e.omitProbability) {
				e.lastReport.CachedPrograms = append(e.lastReport.CachedPrograms, cached)
			}
		}
		e.lastReportUs = e.world.nowUs
	}
	return e.lastReport
}

const weightLoadUs = 800_000

// handleOrder executes a fenced order, unless it is older than the last one. The weight
// store serves the loads of all engines one after another.
func (e *engineNode) handleOrder(order engine.Order) {
	w := e.world
	if order.Fence.Less(e.fence) {
		return
	}
	e.fence = order.Fence
	if order.Target == e.target || e.isLoading {
		return
	}
	e.isLoading = true
	w.weightStoreFreeUs = max(w.weightStoreFreeUs, w.nowUs) + weightLoadUs/int64(len(w.engines))
	incarnation := e.incarnation
	w.after(w.weightStoreFreeUs-w.nowUs, "load", func() {
		if e.isAlive && e.incarnation == incarnation {
			e.target = order.Target
			e.isLoading = false
			e.model.ClearCache()
		}
	})
}

func (e *engineNode) releasePrograms(programs []string) {
	for _, name := range programs {
		e.model.ReleaseProgram(name)
	}
}

// platform is the instance list of the platform, which can be stale or incomplete.
type platform struct {
	world   *world
	leaving map[string]bool
	// unlisted holds the instances that the list wrongly omits.
	unlisted   map[string]bool
	lagUs      int64
	listedAtUs int64
	lastList   []membership.Instance
}

func (p *platform) instances() []membership.Instance {
	if p.lastList != nil && p.world.nowUs-p.listedAtUs < p.lagUs {
		return p.lastList
	}
	p.listedAtUs = p.world.nowUs
	p.lastList = []membership.Instance{}
	for _, node := range p.world.engines {
		if p.unlisted[node.name] {
			continue
		}
		p.lastList = append(p.lastList, membership.Instance{
			Name: node.name, Zone: node.zone, Address: node.name, Pool: node.pool, Leaving: p.leaving[node.name],
		})
	}
	return p.lastList
}
