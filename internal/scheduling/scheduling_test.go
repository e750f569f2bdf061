package scheduling

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/result"
)

func drawCell(t *rapid.T) *CellScheduler {
	cell := &CellScheduler{Policy: DefaultPolicy()}
	for number := range rapid.IntRange(0, 6).Draw(t, "engines") {
		cell.Engines = append(cell.Engines, &Engine{
			Name: fmt.Sprint("e", number), Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
			Ready: rapid.Bool().Draw(t, "ready"), Closed: rapid.Bool().Draw(t, "closed"), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
			PrefillTokensPerSecond: 10_000, StepMicros: 5000, StepMicrosPerSequence: 50,
		})
	}
	for id := range rapid.IntRange(0, 20).Draw(t, "calls") {
		call := &Call{
			ID: uint64(id), Program: fmt.Sprint("c", id), Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
			Rank: rapid.IntRange(0, 9).Draw(t, "rank"), ArrivedMs: rapid.Int64Range(0, 50_000).Draw(t, "arrived"),
			DeadlineMs: rapid.Int64Range(0, 120_000).Draw(t, "deadline"), AttainedServiceMs: rapid.Int64Range(0, 9000).Draw(t, "attained"),
			PromptTokens: 1000, OutputTokens: 100, CachedTokens: map[string]int64{}, ExcludedEngines: map[string]bool{},
		}
		for _, engine := range cell.Engines {
			if rapid.IntRange(0, 4).Draw(t, "excluded") == 0 {
				call.ExcludedEngines[engine.Name] = true
			}
		}
		cell.Waiting = append(cell.Waiting, call)
	}
	return cell
}

// TestDecideKeepsItsWord: whatever the cell, each call is started, refused or
// still waits; nothing starts on an engine that is closed, down or full, and a
// call is refused only when its deadline is past.
func TestDecideKeepsItsWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cell := drawCell(t)
		before := len(cell.Waiting)
		const nowMs = 60_000
		decision := cell.Decide(nowMs)
		if len(decision.Dispatches)+len(decision.Refusals)+len(cell.Waiting) != before {
			t.Fatalf("%d calls became %d, %d and %d", before, len(decision.Dispatches), len(decision.Refusals), len(cell.Waiting))
		}
		for _, start := range decision.Dispatches {
			engine := start.Engine
			if !engine.Ready || engine.Closed || engine.Pool != start.Call.Pool {
				t.Fatalf("call of %s started on %+v", start.Call.Pool, engine)
			}
		}
		for _, engine := range cell.Engines {
			if engine.InFlight > engine.Slots {
				t.Fatalf("%d calls on %d slots", engine.InFlight, engine.Slots)
			}
		}
		for _, refusal := range decision.Refusals {
			if refusal.Error.Outcome != result.NotRun || refusal.Call.DeadlineMs > nowMs || refusal.Call.DeadlineMs == 0 {
				t.Fatalf("refused: %+v: %v", refusal.Call, refusal.Error)
			}
		}
		for _, waiting := range cell.Waiting {
			for _, engine := range cell.Engines {
				isOpen := engine.Pool == waiting.Pool && engine.Ready && !engine.Closed && !waiting.ExcludedEngines[engine.Name]
				if isOpen && engine.InFlight == 0 {
					t.Fatalf("call %d waits while %s is idle", waiting.ID, engine.Name)
				}
			}
		}
	})
}

// TestLowestRankStillEnds: however many urgent calls keep arriving, a call of the
// lowest rank is started after a bounded wait.
func TestLowestRankStillEnds(t *testing.T) {
	Convey("ageing bounds the wait of the lowest rank", t, func() {
		cell := &CellScheduler{Policy: DefaultPolicy()}
		engine := &Engine{Name: "e", Pool: "p", Ready: true, Slots: 1, PrefillTokensPerSecond: 10_000, StepMicros: 5000}
		cell.Engines = []*Engine{engine}
		low := &Call{ID: 1, Program: "low", Pool: "p", Rank: 9, PromptTokens: 100, OutputTokens: 10}
		cell.Waiting = append(cell.Waiting, low)
		startedMs := int64(-1)
		id := uint64(2)
		for nowMs := int64(0); startedMs < 0 && nowMs < 300_000; nowMs += 500 {
			id++
			cell.Waiting = append(cell.Waiting, &Call{ID: id, Program: fmt.Sprint(id), Pool: "p", Rank: 0, ArrivedMs: nowMs, PromptTokens: 100, OutputTokens: 10})
			for _, start := range cell.Decide(nowMs).Dispatches {
				if start.Call == low {
					startedMs = nowMs
				}
				engine.RemoveCall(start.Call)
			}
		}
		So(startedMs, ShouldBeGreaterThanOrEqualTo, 0)
		So(startedMs, ShouldBeLessThanOrEqualTo, 10*cell.Policy.AgeingMs)
	})
}

// TestTenantLimits: over any sequence of calls and of changes of the limits, no
// call starts over its limit, and refusals say when to come back.
func TestTenantLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tenants := NewTenantLimiter()
		running := 0
		var nowMs, admitted int64
		const rate, schedulers = 700, 3
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			limits := TenantLimits{MaxInFlight: rapid.Int64Range(0, 12).Draw(t, "in flight"), TokensPerSecond: rate}
			nowMs += rapid.Int64Range(0, 900).Draw(t, "pause")
			if running > 0 && rapid.Bool().Draw(t, "end") {
				tenants.Release("t")
				running--
				continue
			}
			tokens := rapid.Int64Range(1, 400).Draw(t, "tokens")
			refusal := tenants.Acquire("t", limits, tokens, schedulers, nowMs)
			share := int(max(1, limits.MaxInFlight/schedulers))
			switch {
			case refusal == nil:
				if limits.MaxInFlight > 0 && running >= share {
					t.Fatalf("a call started beside %d, the share is %d", running, share)
				}
				running++
				admitted += min(tokens, rate/schedulers)
			case refusal.RetryAfterMs <= 0 || refusal.Outcome != result.NotRun:
				t.Fatalf("refusal without when to come back: %+v", refusal)
			}
			if most := rate/schedulers + rate/schedulers*nowMs/1000 + 1; admitted > most {
				t.Fatalf("%d tokens after %d ms, the limit allows %d", admitted, nowMs, most)
			}
		}
	})
}

// BenchmarkDecide is one decision of a cell of 20 engines with 2,000 waiting calls.
func BenchmarkDecide(b *testing.B) {
	cell := &CellScheduler{Policy: DefaultPolicy()}
	for number := range 20 {
		cell.Engines = append(cell.Engines, &Engine{Name: fmt.Sprint("e", number), Pool: "p", Ready: true, Slots: 16, InFlight: 16, PrefillTokensPerSecond: 10_000, StepMicros: 5000})
	}
	for id := range 2000 {
		cell.Waiting = append(cell.Waiting, &Call{ID: uint64(id), Program: fmt.Sprint(id), Pool: "p", Rank: id % 5, ArrivedMs: int64(id), PromptTokens: 2000, OutputTokens: 100})
	}
	b.ReportAllocs()
	for b.Loop() {
		cell.Engines[7].InFlight--
		for _, start := range cell.Decide(4000).Dispatches {
			cell.Waiting = append(cell.Waiting, start.Call)
		}
	}
}

// TestExcludedEngineIsNotFull answers a call that waits for one engine while another is idle,
// because that call has excluded the other: calls behind it that have not must not wait too.
func TestExcludedEngineIsNotFull(t *testing.T) {
	cell := &CellScheduler{Policy: DefaultPolicy(), Engines: []*Engine{
		{Name: "full", Pool: "p", Ready: true, Slots: 1, InFlight: 1},
		{Name: "idle", Pool: "p", Ready: true, Slots: 1},
	}}
	cell.Waiting = []*Call{
		{ID: 1, Pool: "p", Rank: 0, ExcludedEngines: map[string]bool{"idle": true}},
		{ID: 2, Pool: "p", Rank: 1},
	}
	decision := cell.Decide(0)
	if len(decision.Dispatches) != 1 || decision.Dispatches[0].Call.ID != 2 {
		t.Fatalf("started %+v", decision.Dispatches)
	}
}
