package waiting

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// The load of these tests: 38 engines of 8 slots and a queue of 24 each, behind 12 gateways;
// requests of 100 ms on the mean, 3 in 10 of them urgent, at 0.8 of what the engines can do,
// and 2.5 times that for 5 s. Callers wait 3 s and come back once.
const (
	loadEngines   = 38
	loadSlots     = 8
	loadQueue     = 24
	loadGateways  = 12
	loadServiceMs = 100
	loadPart      = 0.8
	loadBurst     = 2.5
	burstFromMs   = 2_000
	burstToMs     = 7_000
	loadEndMs     = 12_000
	loadUrgent    = 0.3
	loadWaitMs    = 3_000
	// loadWayMs is a send to an engine that refuses, there and back.
	loadWayMs = 4
	// loadReturnShare is the part of its time left for which a caller heeds the time it is
	// asked to come back after.
	loadReturnShare = 3
)

// everyEngine has the bits of all engines.
const everyEngine = 1<<loadEngines - 1

// loadEvent is something that happens at a time.
type loadEvent struct {
	atMs  float64
	order int
	do    func()
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

// loadCall is one caller's request, over all its tries.
type loadCall struct {
	bornMs float64
	urgent bool
	begun  bool
	came   int
	place  *Entry
	asked  int
	// avoid has a bit for each engine that is not asked again.
	avoid   uint64
	gateway int
}

func (c *loadCall) endMs() float64 { return c.bornMs + loadWaitMs }

type loadEngine struct {
	running int
	queue   []*loadCall
}

// loadResult is what came out of a run.
type loadResult struct {
	asked, served         [2]int
	latency               float64
	refusals, wronged     int
	rejected, inVain      int
	returns               []float64
	lastServed            [2]float64
	longestWithoutService [2]float64
}

func (r *loadResult) share(class int) float64 {
	return float64(r.served[class]) / float64(r.asked[class])
}

// String lists what decides.
func (r *loadResult) String() string {
	return fmt.Sprintf("served %.3f (urgent %.3f, other %.3f), mean %.0f ms, refusals %d, rejected %d (wrongly %d), held in vain %d, longest without service %.0f ms",
		r.all(), r.share(0), r.share(1), r.meanMs(), r.refusals, r.rejected, r.wronged, r.inVain, r.longestWithoutService)
}

func (r *loadResult) meanMs() float64 { return r.latency / float64(r.served[0]+r.served[1]) }

func (r *loadResult) all() float64 {
	return float64(r.served[0]+r.served[1]) / float64(r.asked[0]+r.asked[1])
}

// loadRun plays the load; queued is false for gateways that poll.
type loadRun struct {
	random  *rand.Rand
	events  loadEvents
	order   int
	nowMs   float64
	engines []*loadEngine
	queues  []*Queue
	byPlace map[*Entry]*loadCall
	queued  bool
	result  loadResult
}

func playLoad(queued bool, settings Settings, seed uint64) *loadResult {
	run := &loadRun{random: rand.New(rand.NewPCG(seed, 1)), queued: queued, byPlace: map[*Entry]*loadCall{}}
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
		event.do()
	}
	for _, queue := range run.queues {
		mistakes := queue.AdmissionErrors()
		run.result.wronged += mistakes.FalseRejections
		run.result.inVain += mistakes.FutileWaits
	}
	return &run.result
}

func (r *loadRun) after(ms float64, do func()) {
	r.order++
	heap.Push(&r.events, loadEvent{r.nowMs + ms, r.order, do})
}

// arrive brings one caller and arranges for the next.
func (r *loadRun) arrive() {
	perMs := loadPart * loadEngines * loadSlots / float64(loadServiceMs)
	if r.nowMs >= burstFromMs && r.nowMs < burstToMs {
		perMs *= loadBurst
	}
	if r.nowMs < loadEndMs {
		r.after(r.random.ExpFloat64()/perMs, r.arrive)
	}
	call := &loadCall{bornMs: r.nowMs, urgent: r.random.Float64() < loadUrgent, begun: r.random.Float64() < 0.7}
	r.result.asked[call.class()]++
	r.come(call)
}

func (c *loadCall) class() int {
	if c.urgent {
		return 0
	}
	return 1
}

func (c *loadCall) inLine() Call {
	rank := 3
	if c.urgent {
		rank = 0
	}
	return Call{Priority: rank, ProgramInProgress: c.begun, DueTimeMs: int64(c.endMs()), LatestStartMs: int64(c.endMs()) - 2*loadServiceMs}
}

// come brings a caller to a gateway drawn at random.
func (r *loadRun) come(call *loadCall) {
	call.came++
	call.gateway = r.random.IntN(loadGateways)
	call.avoid = 0
	call.asked = 0
	if r.queued && r.queues[call.gateway].MustWait(call.inLine()) {
		r.lineUp(call)
		return
	}
	r.ask(call, loadEngines)
}

// ask sends a call to the better of two engines drawn at random, and on to others while they
// refuse it, left at the most.
func (r *loadRun) ask(call *loadCall, left int) {
	best := -1
	for drawn := 0; drawn < 2; drawn++ {
		engine := r.random.IntN(loadEngines)
		for tries := 0; call.avoid>>engine&1 == 1 && tries < loadEngines; tries++ {
			engine = (engine + 1) % loadEngines
		}
		if best < 0 || r.load(engine) < r.load(best) {
			best = engine
		}
	}
	if left == 0 || call.avoid == everyEngine {
		r.refused(call)
		return
	}
	engine := r.engines[best]
	if engine.running >= loadSlots && len(engine.queue) >= loadQueue {
		r.result.refusals++
		call.avoid |= 1 << best
		r.after(loadWayMs, func() { r.ask(call, left-1) })
		return
	}
	if call.place != nil {
		r.tell(call.gateway, r.queues[call.gateway].Leave(int64(r.nowMs), call.place, true), -1)
		call.place = nil
	}
	if engine.running < loadSlots {
		r.start(best, call)
	} else {
		engine.queue = append(engine.queue, call)
	}
}

func (r *loadRun) load(engine int) int {
	return r.engines[engine].running + len(r.engines[engine].queue)
}

func (r *loadRun) start(engine int, call *loadCall) {
	r.engines[engine].running++
	took := loadServiceMs * r.random.ExpFloat64()
	r.after(took, func() {
		r.engines[engine].running--
		r.served(call)
		for len(r.engines[engine].queue) > 0 && r.engines[engine].running < loadSlots {
			next := r.engines[engine].queue[0]
			r.engines[engine].queue = r.engines[engine].queue[1:]
			if next.endMs() > r.nowMs {
				r.start(engine, next)
			}
		}
		if r.queued {
			r.tell(call.gateway, r.queues[call.gateway].RecordCompletion(int64(r.nowMs)), engine)
		}
	})
}

func (r *loadRun) served(call *loadCall) {
	if r.nowMs > call.endMs() {
		return
	}
	class := call.class()
	r.result.served[class]++
	r.result.latency += r.nowMs - call.bornMs
	if last := r.result.lastServed[class]; last > 0 {
		r.result.longestWithoutService[class] = math.Max(r.result.longestWithoutService[class], r.nowMs-last)
	}
	r.result.lastServed[class] = r.nowMs
}

// refused deals with a call that no engine it asked had room for.
func (r *loadRun) refused(call *loadCall) {
	if r.queued {
		r.lineUp(call)
		return
	}
	// Polling: pauses of 8 to 60 ms and as much again, until half of the time is over.
	pause := math.Min(8*math.Pow(2, math.Min(float64(call.asked), 4)), 60)
	pause *= 1 + r.random.Float64()
	call.asked++
	if call.endMs()-r.nowMs-pause < (call.endMs()-call.bornMs)/2 {
		r.comeBack(call, 100)
		return
	}
	call.avoid = 0
	r.after(pause, func() { r.ask(call, loadEngines) })
}

func (r *loadRun) lineUp(call *loadCall) {
	queue := r.queues[call.gateway]
	var rejection *Rejection
	if call.place == nil {
		call.place, rejection = queue.Join(int64(r.nowMs), call.inLine())
		if call.place != nil {
			r.byPlace[call.place] = call
		}
	} else {
		rejection = queue.Requeue(int64(r.nowMs), call.place)
	}
	if rejection != nil {
		call.place = nil
		r.comeBack(call, float64(rejection.RetryAfterMs))
		return
	}
	r.look(call, call.place)
}

// look has a call that nobody tells of room look for some.
func (r *loadRun) look(call *loadCall, place *Entry) {
	queue := r.queues[call.gateway]
	r.after(float64(queue.ProbeDelayMs(int64(r.nowMs), place)), func() {
		if call.place != place || place.trying {
			return
		}
		switch {
		case int64(r.nowMs) >= place.call.LatestStartMs:
			r.lineUp(call)
		case queue.StartProbe(place):
			call.avoid = 0
			r.ask(call, 3)
		default:
			r.look(call, place)
		}
	})
}

// tell passes the word of room on; engine is -1 where it is not known which has some.
func (r *loadRun) tell(gateway int, place *Entry, engine int) {
	if place == nil {
		return
	}
	call := r.byPlace[place]
	call.avoid = 0
	left := 3
	if engine >= 0 {
		call.avoid = everyEngine &^ (1 << engine)
		left = 1
	}
	r.after(loadWayMs/2, func() { r.ask(call, left) })
}

// comeBack has a refused caller come back once, after the time it was told.
func (r *loadRun) comeBack(call *loadCall, afterMs float64) {
	r.result.rejected++
	left := call.endMs() - r.nowMs
	if call.came > 1 || left <= 0 {
		return
	}
	pause := math.Min(afterMs, left/loadReturnShare)
	r.result.returns = append(r.result.returns, r.nowMs+pause)
	r.after(pause, func() { r.come(call) })
}

func TestBurst(t *testing.T) {
	polled := playLoad(false, Settings{}, 1)
	queued := playLoad(true, DefaultSettings(), 1)
	t.Logf("polled: %v", polled)
	t.Logf("queued: %v", queued)
	Convey("in a burst of 2.5 times for 5 s at 38 engines", t, func() {
		Convey("an order of waiting serves as many as polling, more of the urgent, and asks a tenth as often in vain", func() {
			So(queued.all(), ShouldBeGreaterThan, polled.all())
			So(queued.share(0), ShouldBeGreaterThan, polled.share(0)+0.05)
			So(queued.refusals, ShouldBeLessThan, polled.refusals/10)
		})
		Convey("it takes callers no longer than a second on the mean, and none of a class is served for at most 0.5 s", func() {
			So(queued.meanMs(), ShouldBeLessThan, 1000)
			So(max(queued.longestWithoutService[0], queued.longestWithoutService[1]), ShouldBeLessThan, 500)
			So(queued.share(1), ShouldBeGreaterThan, queued.share(0)-0.15)
		})
	})
}

func TestReturnsArriveAtTheRateOfRoom(t *testing.T) {
	Convey("a queue with room for 100 requests a second asks 400 callers back at that rate, first come first", t, func() {
		queue := NewQueue(DefaultSettings())
		nowMs := int64(0)
		for ; nowMs < 5000; nowMs += 10 {
			queue.RecordCompletion(nowMs)
		}
		call := Call{ProgramInProgress: true, DueTimeMs: nowMs + 300, LatestStartMs: nowMs + 200}
		last := int64(0)
		waiting := 0
		for range 400 {
			place, rejection := queue.Join(nowMs, call)
			if place != nil {
				waiting++
				continue
			}
			So(rejection.RetryAfterMs, ShouldBeGreaterThanOrEqualTo, min(last+9, longestReturnMs))
			last = rejection.RetryAfterMs
		}
		// 20 are expected to start within the 200 ms.
		So(waiting, ShouldBeBetween, 20, 40)
		So(last, ShouldBeGreaterThan, 3000)
		Convey("newcomers are rejected for the sake of those who return before", func() {
			for queue.Len() > 0 {
				queue.Leave(nowMs, queue.places[0], true)
			}
			later := nowMs + 400
			_, rejection := queue.Join(later, Call{DueTimeMs: later + 2100, LatestStartMs: later + 2000})
			So(rejection, ShouldNotBeNil)
			place, _ := queue.Join(later, Call{ProgramInProgress: true, DueTimeMs: later + 2100, LatestStartMs: later + 2000})
			So(place, ShouldNotBeNil)
		})
	})
}
