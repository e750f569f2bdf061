package scheduling

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/result"
)

func drawScheduler(t *rapid.T) *CellScheduler {
	scheduler := &CellScheduler{Policy: DefaultPolicy()}
	for number := range rapid.IntRange(0, 6).Draw(t, "engines") {
		scheduler.Engines = append(scheduler.Engines, &Engine{
			Name: fmt.Sprint("e", number), Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
			Ready: rapid.Bool().Draw(t, "ready"), Closed: rapid.Bool().Draw(t, "closed"), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
			PrefillTokensPerSecond: 10_000, StepMicros: 5000, StepMicrosPerSequence: 50,
		})
	}
	for id := range rapid.IntRange(0, 20).Draw(t, "calls") {
		call := &Call{
			ID: uint64(id), Program: fmt.Sprint("c", id), Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"), ArrivedMs: rapid.Int64Range(0, 50_000).Draw(t, "arrived"),
			DeadlineMs: rapid.Int64Range(0, 120_000).Draw(t, "deadline"), AttainedServiceMs: rapid.Int64Range(0, 9000).Draw(t, "attained"),
			PromptTokens: 1000, OutputTokens: 100, CachedTokens: map[string]int64{}, ExcludedEngines: map[string]bool{},
		}
		for _, engine := range scheduler.Engines {
			if rapid.IntRange(0, 4).Draw(t, "excluded") == 0 {
				call.ExcludedEngines[engine.Name] = true
			}
		}
		scheduler.Waiting = append(scheduler.Waiting, call)
	}
	return scheduler
}

// TestDecideProperty checks for any state of the scheduler that every call is dispatched, refused
// or still waiting, that nothing is dispatched to an engine that is closed, not ready or full, that
// a call is refused only after its deadline, and that no call waits while an engine that it has not
// excluded is idle.
func TestDecideProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scheduler := drawScheduler(t)
		before := len(scheduler.Waiting)
		const nowMs = 60_000
		decision := scheduler.Decide(nowMs)
		if len(decision.Dispatches)+len(decision.Refusals)+len(scheduler.Waiting) != before {
			t.Fatalf("%d calls became %d dispatched, %d refused and %d waiting", before, len(decision.Dispatches), len(decision.Refusals), len(scheduler.Waiting))
		}
		for _, dispatch := range decision.Dispatches {
			engine := dispatch.Engine
			if !engine.Ready || engine.Closed || engine.Pool != dispatch.Call.Pool {
				t.Fatalf("a call for pool %s was dispatched to %+v", dispatch.Call.Pool, engine)
			}
		}
		for _, engine := range scheduler.Engines {
			if engine.InFlight > engine.Slots {
				t.Fatalf("%d calls in flight on %d slots", engine.InFlight, engine.Slots)
			}
		}
		for _, refusal := range decision.Refusals {
			if refusal.Error.Outcome != result.NotRun || refusal.Call.DeadlineMs > nowMs || refusal.Call.DeadlineMs == 0 {
				t.Fatalf("unexpected refusal of %+v: %v", refusal.Call, refusal.Error)
			}
		}
		for _, waiting := range scheduler.Waiting {
			for _, engine := range scheduler.Engines {
				isOpen := engine.Pool == waiting.Pool && engine.Ready && !engine.Closed && !waiting.ExcludedEngines[engine.Name]
				if isOpen && engine.InFlight == 0 {
					t.Fatalf("call %d waits while %s is idle", waiting.ID, engine.Name)
				}
			}
		}
	})
}

// TestAgeingBoundsWaitOfLeastUrgent checks that the least urgent call is dispatched after a bounded
// wait, however many urgent calls keep arriving.
func TestAgeingBoundsWaitOfLeastUrgent(t *testing.T) {
	Convey("the least urgent call waits for at most ten ageing intervals", t, func() {
		scheduler := &CellScheduler{Policy: DefaultPolicy()}
		engine := &Engine{Name: "e", Pool: "p", Ready: true, Slots: 1, PrefillTokensPerSecond: 10_000, StepMicros: 5000}
		scheduler.Engines = []*Engine{engine}
		low := &Call{ID: 1, Program: "low", Pool: "p", Priority: 9, PromptTokens: 100, OutputTokens: 10}
		scheduler.Waiting = append(scheduler.Waiting, low)
		startedMs := int64(-1)
		id := uint64(2)
		for nowMs := int64(0); startedMs < 0 && nowMs < 300_000; nowMs += 500 {
			id++
			scheduler.Waiting = append(scheduler.Waiting, &Call{ID: id, Program: fmt.Sprint(id), Pool: "p", Priority: 0, ArrivedMs: nowMs, PromptTokens: 100, OutputTokens: 10})
			for _, dispatch := range scheduler.Decide(nowMs).Dispatches {
				if dispatch.Call == low {
					startedMs = nowMs
				}
				engine.RemoveCall(dispatch.Call)
			}
		}
		So(startedMs, ShouldBeGreaterThanOrEqualTo, 0)
		So(startedMs, ShouldBeLessThanOrEqualTo, 10*scheduler.Policy.AgeingMs)
	})
}

// TestTenantLimits checks over any sequence of calls and limit changes that no call starts above
// the scheduler's part of a limit, and that refusals carry a retry delay.
func TestTenantLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := NewTenantLimiter()
		running := 0
		var nowMs, admitted int64
		const rate, schedulers = 700, 3
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			limits := TenantLimits{MaxInFlight: rapid.Int64Range(0, 12).Draw(t, "in flight"), TokensPerSecond: rate}
			nowMs += rapid.Int64Range(0, 900).Draw(t, "elapsed ms")
			if running > 0 && rapid.Bool().Draw(t, "end") {
				limiter.Release("t")
				running--
				continue
			}
			tokens := rapid.Int64Range(1, 400).Draw(t, "tokens")
			refusal := limiter.Acquire("t", limits, tokens, schedulers, nowMs)
			share := int(max(1, limits.MaxInFlight/schedulers))
			switch {
			case refusal == nil:
				if limits.MaxInFlight > 0 && running >= share {
					t.Fatalf("a call started with %d others running, but the scheduler's share is %d", running, share)
				}
				running++
				admitted += min(tokens, rate/schedulers)
			case refusal.RetryAfterMs <= 0 || refusal.Outcome != result.NotRun:
				t.Fatalf("refusal without a retry delay: %+v", refusal)
			}
			if allowed := rate/schedulers + rate/schedulers*nowMs/1000 + 1; admitted > allowed {
				t.Fatalf("%d tokens were admitted after %d ms, but the limit allows %d", admitted, nowMs, allowed)
			}
		}
	})
}

// BenchmarkDecide measures one decision with 20 engines and 2,000 waiting calls.
func BenchmarkDecide(b *testing.B) {
	scheduler := &CellScheduler{Policy: DefaultPolicy()}
	for number := range 20 {
		scheduler.Engines = append(scheduler.Engines, &Engine{Name: fmt.Sprint("e", number), Pool: "p", Ready: true, Slots: 16, InFlight: 16, PrefillTokensPerSecond: 10_000, StepMicros: 5000})
	}
	for id := range 2000 {
		scheduler.Waiting = append(scheduler.Waiting, &Call{ID: uint64(id), Program: fmt.Sprint(id), Pool: "p", Priority: id % 5, ArrivedMs: int64(id), PromptTokens: 2000, OutputTokens: 100})
	}
	b.ReportAllocs()
	for b.Loop() {
		scheduler.Engines[7].InFlight--
		for _, dispatch := range scheduler.Decide(4000).Dispatches {
			scheduler.Waiting = append(scheduler.Waiting, dispatch.Call)
		}
	}
}

// TestExcludedEngineIsNotFull guards against calls that wait although an engine is idle. A call
// ahead of them has excluded the idle engine and waits for another one, which says nothing about
// the calls behind it.
func TestExcludedEngineIsNotFull(t *testing.T) {
	scheduler := &CellScheduler{Policy: DefaultPolicy(), Engines: []*Engine{
		{Name: "full", Pool: "p", Ready: true, Slots: 1, InFlight: 1},
		{Name: "idle", Pool: "p", Ready: true, Slots: 1},
	}}
	scheduler.Waiting = []*Call{
		{ID: 1, Pool: "p", Priority: 0, ExcludedEngines: map[string]bool{"idle": true}},
		{ID: 2, Pool: "p", Priority: 1},
	}
	decision := scheduler.Decide(0)
	if len(decision.Dispatches) != 1 || decision.Dispatches[0].Call.ID != 2 {
		t.Fatalf("unexpected dispatches: %+v", decision.Dispatches)
	}
}
