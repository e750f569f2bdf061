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

var errEngineLost = errors.New("the engine was lost")

// engineNode is one emulated engine in virtual time.
type engineNode struct {
	*process
	pool     string
	hardware string
	model    *emulator.Model
	target   reconcile.Target
	fence    reconcile.Fence
	loading  bool
	runs     map[string]*simulatedRun
	nextJob  int
	wakeUs   int64
	// lagUs is how old reports are; gaps is the share of held programs that a
	// report leaves out.
	lagUs    int64
	gaps     float64
	reported engine.State
	reportUs int64
}

type simulatedRun struct {
	run     *engineRun
	prompt  emulator.Prompt
	program string
	request string
	sent    int64
}

func (w *world) addEngines() {
	for _, count := range w.deployment.Engines {
		for number := range count.Count {
			name := fmt.Sprintf("engine-%s-%s-%s-%d", count.Pool, count.Zone, count.Hardware, number+1)
			node := &engineNode{process: w.newProcess(name, count.Zone), pool: count.Pool, hardware: count.Hardware}
			node.start = node.boot
			node.stopped = func() { node.runs = map[string]*simulatedRun{} }
			node.lagUs = 200_000
			w.engines = append(w.engines, node)
		}
	}
}

func (e *engineNode) boot() {
	e.model = emulator.NewModel(emulator.HardwareByName(e.hardware))
	e.target = reconcile.Target{}
	e.fence = reconcile.Fence{}
	e.loading = false
	e.runs = map[string]*simulatedRun{}
	e.wakeUs = 0
	e.reportUs = -e.lagUs * 2
}

// run starts a call or refuses it.
func (e *engineNode) run(started *engineRun, request engine.CompletionRequest, failed func(bool) func()) {
	w := e.world
	if e.loading || e.target.Model == "" || request.Model != e.target.Model {
		w.network.send(e.process, started.scheduler.process, started.life, "refused", failed(false), nil)
		return
	}
	w.checks.engineStarted(e, request)
	w.checks.checkOrder(started, request)
	e.nextJob++
	started.job = fmt.Sprintf("%s/%d/%d", e.name, e.life, e.nextJob)
	open := e.open(started.scheduler.process, failed(true))
	prompt := emulator.NewPrompt(request.Messages, request.MaxTokens)
	e.runs[started.job] = &simulatedRun{run: started, prompt: prompt, program: request.User, request: request.RequestID}
	e.model.Submit(emulator.Job{
		ID: started.job, Program: request.User, Priority: request.Priority, Segments: prompt.Segments,
		OutputTokens: prompt.OutputTokens, DigestWithResponse: prompt.DigestWithResponse,
	}, w.nowUs)
	started.openID = open
	e.wake()
}

func (e *engineNode) wake() {
	next, busy := e.model.StepEndUs()
	if !busy || (e.wakeUs != 0 && e.wakeUs <= next && e.wakeUs > e.world.nowUs) {
		return
	}
	e.wakeUs = next
	life := e.life
	e.world.after(next-e.world.nowUs, e.name, func() {
		if e.alive && e.life == life {
			e.receive(e.advance)
		}
	})
}

func (e *engineNode) advance() {
	e.wakeUs = 0
	for _, progress := range e.model.Advance(e.world.nowUs) {
		current, ok := e.runs[progress.ID]
		if !ok {
			continue
		}
		e.stream(current, progress)
	}
	e.wake()
}

func (e *engineNode) stream(current *simulatedRun, progress emulator.Progress) {
	const tokenBytes = 4
	w := e.world
	run := current.run
	node := run.scheduler
	text := current.prompt.Response[current.sent*tokenBytes : progress.GeneratedTokens*tokenBytes]
	w.checks.generated(current.program, progress.GeneratedTokens-current.sent)
	current.sent = progress.GeneratedTokens
	if progress.IsDone {
		delete(e.runs, progress.ID)
		delete(e.pending, run.openID)
	}
	if run.stopped {
		return
	}
	usage := program.Usage{
		PromptTokens: progress.PromptTokens, CompletionTokens: progress.GeneratedTokens, CachedTokens: progress.CachedTokens,
	}
	w.network.send(e.process, node.process, run.life, "piece", func() {
		if node.attempts[run.attempt] != run {
			return
		}
		node.core.HandleChunk(run.attempt, text, node.nowMs())
		if progress.IsDone {
			node.ended(run, engine.CompletionOutcome{Usage: usage, MayHaveStarted: true})
		}
	}, func() {
		// A broken connection breaks for both ends.
		e.cancel(run)
		w.after(lostNoticeUs, "reset", func() { node.ended(run, engine.CompletionOutcome{MayHaveStarted: true, Err: errEngineLost}) })
	})
}

// cancel frees the slot of a run whose stream was closed.
func (e *engineNode) cancel(run *engineRun) {
	if _, ok := e.runs[run.job]; !ok {
		return
	}
	delete(e.runs, run.job)
	delete(e.pending, run.openID)
	e.model.Cancel(run.job)
}

// report is the engine's state as it was up to the lag ago, with gaps.
func (e *engineNode) report() engine.State {
	if e.world.nowUs-e.reportUs >= e.lagUs {
		running, waiting := e.model.JobCounts()
		e.reported = engine.State{
			Name: e.name, Ready: e.target.Model != "" && !e.loading, Loading: e.loading, Target: e.target, Fence: e.fence,
			Running: running, Waiting: waiting, Hardware: e.model.Hardware(), FreeKVCacheTokens: e.model.FreeKVCacheTokens(),
		}
		for _, held := range e.model.CachedPrograms() {
			if e.gaps == 0 || !e.world.chance(e.gaps) {
				e.reported.CachedPrograms = append(e.reported.CachedPrograms, held)
			}
		}
		e.reportUs = e.world.nowUs
	}
	return e.reported
}

const loadUs = 800_000

// order takes a fenced order; loads go one after another at the weight store.
func (e *engineNode) order(order engine.Order) {
	w := e.world
	if order.Fence.Less(e.fence) {
		return
	}
	e.fence = order.Fence
	if order.Target == e.target || e.loading {
		return
	}
	e.loading = true
	w.weightsUs = max(w.weightsUs, w.nowUs) + loadUs/int64(len(w.engines))
	life := e.life
	w.after(w.weightsUs-w.nowUs, "load", func() {
		if e.alive && e.life == life {
			e.target = order.Target
			e.loading = false
			e.model.ClearCache()
		}
	})
}

func (e *engineNode) release(programs []string) {
	for _, name := range programs {
		e.model.ReleaseProgram(name)
	}
}

// platform is the provider's list of machines; it lags and errs.
type platform struct {
	world   *world
	leaving map[string]bool
	// hidden machines are left out of the list by mistake.
	hidden map[string]bool
	lagUs  int64
	asOfUs int64
	last   []membership.Instance
}

func (p *platform) list() []membership.Instance {
	if p.last != nil && p.world.nowUs-p.asOfUs < p.lagUs {
		return p.last
	}
	p.asOfUs = p.world.nowUs
	p.last = []membership.Instance{}
	for _, node := range p.world.engines {
		if p.hidden[node.name] {
			continue
		}
		p.last = append(p.last, membership.Instance{
			Name: node.name, Zone: node.zone, Address: node.name, Pool: node.pool, Leaving: p.leaving[node.name],
		})
	}
	return p.last
}
