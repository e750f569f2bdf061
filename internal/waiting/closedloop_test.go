package waiting

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Load of these tests: 38 engines with 8 slots and a queue of 24 each, behind 12 gateways.
// Requests take 100 ms on average and 3 in 10 are urgent. The load is 0.8 of the engines'
// capacity, and 2.5 times that for 5 s. Callers wait for 3 s and retry once.
const (
	loadEngines        = 38
	loadSlots          = 8
	loadEngineQueue    = 24
	loadGateways       = 12
	loadServiceMs      = 100
	loadUtilization    = 0.8
	loadBurstFactor    = 2.5
	loadBurstStartMs   = 2_000
	loadBurstEndMs     = 7_000
	loadEndMs          = 12_000
	loadUrgentFraction = 0.3
	loadTimeoutMs      = 3_000
	// loadRefusalMs is the round trip of a request to an engine that refuses it.
	loadRefusalMs = 4
	// loadRetryDivisor bounds the pause before a retry: a caller waits for the requested time,
	// but at most for its remaining time divided by loadRetryDivisor.
	loadRetryDivisor = 3
)

// allEngines has the bit of every engine set.
const allEngines = 1<<loadEngines - 1

// loadEvent is a scheduled event.
type loadEvent struct {
	atMs  float64
	order int
	run   func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int { return len(e) }
func (e loadEvents) Less(i, j int) bool {
	return e[i].atMs < e[j].atMs || (e[i].atMs == e[j].atMs && e[i].order < e[j].order)
}
func (e loadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loadCall is one caller's request with all its attempts.
type loadCall struct {
	arrivedMs         float64
	urgent            bool
	programInProgress bool
	arrivals          int
	entry             *Entry
	polls             int
	// excluded has a bit set for each engine that must not be tried again.
	excluded uint64
	gateway  int
}

func (c *loadCall) deadlineMs() float64 { return c.arrivedMs + loadTimeoutMs }

type loadEngine struct {
	running int
	queue   []*loadCall
}

// loadResult holds the outcome of a run.
type loadResult struct {
	offered, served           [2]int
	totalLatencyMs            float64
	refusals, falseRejections int
	rejected, futileWaits     int
	retriesMs                 []float64
	lastServedMs              [2]float64
	longestGapMs              [2]float64
}

func (r *loadResult) servedFraction(class int) float64 {
	return float64(r.served[class]) / float64(r.offered[class])
}

// String lists the figures that the tests compare.
func (r *loadResult) String() string {
	return fmt.Sprintf("served %.3f (urgent %.3f, other %.3f), mean %.0f ms, refusals %d, rejected %d (falsely %d), futile waits %d, longest gaps between services %.0f ms",
		r.totalServedFraction(), r.servedFraction(0), r.servedFraction(1), r.meanLatencyMs(), r.refusals, r.rejected, r.falseRejections, r.futileWaits, r.longestGapMs)
}

func (r *loadResult) meanLatencyMs() float64 {
	return r.totalLatencyMs / float64(r.served[0]+r.served[1])
}

func (r *loadResult) totalServedFraction() float64 {
	return float64(r.served[0]+r.served[1]) / float64(r.offered[0]+r.offered[1])
}

// loadRun simulates the load. usesQueue is false for gateways that poll the engines.
type loadRun struct {
	random      *rand.Rand
	events      loadEvents
	order       int
	nowMs       float64
	engines     []*loadEngine
	queues      []*Queue
	callByEntry map[*Entry]*loadCall
	usesQueue   bool
	result      loadResult
}

func simulateLoad(usesQueue bool, settings Settings, seed uint64) *loadResult {
	run := &loadRun{random: rand.New(rand.NewPCG(seed, 1)), usesQueue: usesQueue, callByEntry: map[*Entry]*loadCall{}}
	for range loadEngines {
		run.engines = append(run.engines, &loadEngine{})
	}
	for range loadGateways {
		run.queues = append(run.queues, NewQueue(settings))
	}
	run.after(0, run.arrive)
	for len(run.events) > 0 {
		event := heap.Pop(&run.events).(loadEvent)
		run.nowMs = event.atMs
		event.run()
	}
	for _, queue := range run.queues {
		misjudgments := queue.Misjudgments()
		run.result.falseRejections += misjudgments.FalseRejections
		run.result.futileWaits += misjudgments.FutileWaits
	}
	return &run.result
}

func (r *loadRun) after(ms float64, run func()) {
	r.order++
	heap.Push(&r.events, loadEvent{r.nowMs + ms, r.order, run})
}

// arrive adds one caller and schedules the next.
func (r *loadRun) arrive() {
	perMs := loadUtilization * loadEngines * loadSlots / float64(loadServiceMs)
	if r.nowMs >= loadBurstStartMs && r.nowMs < loadBurstEndMs {
		perMs *= loadBurstFactor
	}
	if r.nowMs < loadEndMs {
		r.after(r.random.ExpFloat64()/perMs, r.arrive)
	}
	call := &loadCall{arrivedMs: r.nowMs, urgent: r.random.Float64() < loadUrgentFraction, programInProgress: r.random.Float64() < 0.7}
	r.result.offered[call.class()]++
	r.sendToGateway(call)
}

// class returns the index of the call's results: 0 for urgent calls, 1 for others.
func (c *loadCall) class() int {
	if c.urgent {
		return 0
	}
	return 1
}

func (c *loadCall) asCall() Call {
	priority := 3
	if c.urgent {
		priority = 0
	}
	return Call{Priority: priority, ProgramInProgress: c.programInProgress, DueTimeMs: int64(c.deadlineMs()), LatestStartMs: int64(c.deadlineMs()) - 2*loadServiceMs}
}

// sendToGateway sends a call to a random gateway.
func (r *loadRun) sendToGateway(call *loadCall) {
	call.arrivals++
	call.gateway = r.random.IntN(loadGateways)
	call.excluded = 0
	call.polls = 0
	if r.usesQueue && r.queues[call.gateway].MustWait(call.asCall()) {
		r.enqueue(call)
		return
	}
	r.dispatch(call, loadEngines)
}

// dispatch sends a call to the less loaded of two random engines. A refused call is sent to other
// engines, with at most attemptsLeft attempts in all.
func (r *loadRun) dispatch(call *loadCall, attemptsLeft int) {
	best := -1
	for sample := 0; sample < 2; sample++ {
		engine := r.random.IntN(loadEngines)
		for skipped := 0; call.excluded>>engine&1 == 1 && skipped < loadEngines; skipped++ {
			engine = (engine + 1) % loadEngines
		}
		if best < 0 || r.inFlight(engine) < r.inFlight(best) {
			best = engine
		}
	}
	if attemptsLeft == 0 || call.excluded == allEngines {
		r.handleRefusal(call)
		return
	}
	engine := r.engines[best]
	if engine.running >= loadSlots && len(engine.queue) >= loadEngineQueue {
		r.result.refusals++
		call.excluded |= 1 << best
		r.after(loadRefusalMs, func() { r.dispatch(call, attemptsLeft-1) })
		return
	}
	if call.entry != nil {
		r.wake(call.gateway, r.queues[call.gateway].Leave(int64(r.nowMs), call.entry, true), -1)
		call.entry = nil
	}
	if engine.running < loadSlots {
		r.startService(best, call)
	} else {
		engine.queue = append(engine.queue, call)
	}
}

func (r *loadRun) inFlight(engine int) int {
	return r.engines[engine].running + len(r.engines[engine].queue)
}

func (r *loadRun) startService(engine int, call *loadCall) {
	r.engines[engine].running++
	serviceMs := loadServiceMs * r.random.ExpFloat64()
	r.after(serviceMs, func() {
		r.engines[engine].running--
		r.recordServed(call)
		for len(r.engines[engine].queue) > 0 && r.engines[engine].running < loadSlots {
			next := r.engines[engine].queue[0]
			r.engines[engine].queue = r.engines[engine].queue[1:]
			if next.deadlineMs() > r.nowMs {
				r.startService(engine, next)
			}
		}
		if r.usesQueue {
			r.wake(call.gateway, r.queues[call.gateway].RecordCompletion(int64(r.nowMs)), engine)
		}
	})
}

func (r *loadRun) recordServed(call *loadCall) {
	if r.nowMs > call.deadlineMs() {
		return
	}
	class := call.class()
	r.result.served[class]++
	r.result.totalLatencyMs += r.nowMs - call.arrivedMs
	if last := r.result.lastServedMs[class]; last > 0 {
		r.result.longestGapMs[class] = math.Max(r.result.longestGapMs[class], r.nowMs-last)
	}
	r.result.lastServedMs[class] = r.nowMs
}

// handleRefusal handles a call that found no capacity at any engine it tried.
func (r *loadRun) handleRefusal(call *loadCall) {
	if r.usesQueue {
		r.enqueue(call)
		return
	}
	// Polling: pauses of 8 to 60 ms, lengthened by up to 100% of jitter, until half of the call's
	// time has passed.
	pauseMs := math.Min(8*math.Pow(2, math.Min(float64(call.polls), 4)), 60)
	pauseMs *= 1 + r.random.Float64()
	call.polls++
	if call.deadlineMs()-r.nowMs-pauseMs < (call.deadlineMs()-call.arrivedMs)/2 {
		r.retryLater(call, 100)
		return
	}
	call.excluded = 0
	r.after(pauseMs, func() { r.dispatch(call, loadEngines) })
}

func (r *loadRun) enqueue(call *loadCall) {
	queue := r.queues[call.gateway]
	var rejection *Rejection
	if call.entry == nil {
		call.entry, rejection = queue.Join(int64(r.nowMs), call.asCall())
		if call.entry != nil {
			r.callByEntry[call.entry] = call
		}
	} else {
		rejection = queue.Requeue(int64(r.nowMs), call.entry)
	}
	if rejection != nil {
		call.entry = nil
		r.retryLater(call, float64(rejection.RetryAfterMs))
		return
	}
	r.scheduleProbe(call, call.entry)
}

// scheduleProbe lets a call that is not woken probe for capacity.
func (r *loadRun) scheduleProbe(call *loadCall, entry *Entry) {
	queue := r.queues[call.gateway]
	r.after(float64(queue.ProbeDelayMs(int64(r.nowMs), entry)), func() {
		if call.entry != entry || entry.probing {
			return
		}
		switch {
		case int64(r.nowMs) >= entry.call.LatestStartMs:
			r.enqueue(call)
		case queue.StartProbe(entry):
			call.excluded = 0
			r.dispatch(call, 3)
		default:
			r.scheduleProbe(call, entry)
		}
	})
}

// wake dispatches the call of a woken entry. engine is -1 if the engine with capacity is unknown.
func (r *loadRun) wake(gateway int, entry *Entry, engine int) {
	if entry == nil {
		return
	}
	call := r.callByEntry[entry]
	call.excluded = 0
	attemptsLeft := 3
	if engine >= 0 {
		call.excluded = allEngines &^ (1 << engine)
		attemptsLeft = 1
	}
	r.after(loadRefusalMs/2, func() { r.dispatch(call, attemptsLeft) })
}

// retryLater lets a rejected caller retry once, after the time it was given.
func (r *loadRun) retryLater(call *loadCall, afterMs float64) {
	r.result.rejected++
	remainingMs := call.deadlineMs() - r.nowMs
	if call.arrivals > 1 || remainingMs <= 0 {
		return
	}
	pauseMs := math.Min(afterMs, remainingMs/loadRetryDivisor)
	r.result.retriesMs = append(r.result.retriesMs, r.nowMs+pauseMs)
	r.after(pauseMs, func() { r.sendToGateway(call) })
}

func TestBurst(t *testing.T) {
	polled := simulateLoad(false, Settings{}, 1)
	queued := simulateLoad(true, DefaultSettings(), 1)
	t.Logf("polled: %v", polled)
	t.Logf("queued: %v", queued)
	Convey("in a burst of 2.5 times the load for 5 s at 38 engines", t, func() {
		Convey("a wait queue serves more calls than polling, more of the urgent calls, with less than a tenth of the refusals", func() {
			So(queued.totalServedFraction(), ShouldBeGreaterThan, polled.totalServedFraction())
			So(queued.servedFraction(0), ShouldBeGreaterThan, polled.servedFraction(0)+0.05)
			So(queued.refusals, ShouldBeLessThan, polled.refusals/10)
		})
		Convey("the mean latency is below a second, no class goes unserved for 0.5 s, and the served fraction of other calls is less than 0.15 below that of urgent calls", func() {
			So(queued.meanLatencyMs(), ShouldBeLessThan, 1000)
			So(max(queued.longestGapMs[0], queued.longestGapMs[1]), ShouldBeLessThan, 500)
			So(queued.servedFraction(1), ShouldBeGreaterThan, queued.servedFraction(0)-0.15)
		})
	})
}

func TestRetriesAreSpacedAtCompletionRate(t *testing.T) {
	Convey("a queue with 100 completions a second spaces the retries of 400 callers at that rate, in order of arrival", t, func() {
		queue := NewQueue(DefaultSettings())
		nowMs := int64(0)
		for ; nowMs < 5000; nowMs += 10 {
			queue.RecordCompletion(nowMs)
		}
		call := Call{ProgramInProgress: true, DueTimeMs: nowMs + 300, LatestStartMs: nowMs + 200}
		last := int64(0)
		waiting := 0
		for range 400 {
			entry, rejection := queue.Join(nowMs, call)
			if entry != nil {
				waiting++
				continue
			}
			So(rejection.RetryAfterMs, ShouldBeGreaterThanOrEqualTo, min(last+9, maxRetryAfterMs))
			last = rejection.RetryAfterMs
		}
		// About 20 calls are expected to start within the 200 ms.
		So(waiting, ShouldBeBetween, 20, 40)
		So(last, ShouldBeGreaterThan, 3000)
		Convey("calls of new programs are rejected in favor of earlier expected retries", func() {
			for queue.Len() > 0 {
				queue.Leave(nowMs, queue.entries[0], true)
			}
			later := nowMs + 400
			_, rejection := queue.Join(later, Call{DueTimeMs: later + 2100, LatestStartMs: later + 2000})
			So(rejection, ShouldNotBeNil)
			entry, _ := queue.Join(later, Call{ProgramInProgress: true, DueTimeMs: later + 2100, LatestStartMs: later + 2000})
			So(entry, ShouldNotBeNil)
		})
	})
}
