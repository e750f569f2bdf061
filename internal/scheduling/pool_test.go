package scheduling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestDecayedMean(t *testing.T) {
	Convey("old samples lose their weight", t, func() {
		var mean DecayedMean
		for range 20 {
			mean.Add(1000, 200, 1)
		}
		So(mean.DecayedTo(1000).ShrunkMean(30), ShouldBeGreaterThan, 150)
		So(mean.DecayedTo(1000+10*defaultHalfLifeMs).ShrunkMean(30), ShouldBeLessThan, 35)
		_, known := mean.DecayedTo(1000 + 20*defaultHalfLifeMs).mean()
		So(known, ShouldBeFalse)
	})
	Convey("the samples of several observers add up, and a clock that steps backwards has no effect", t, func() {
		var one, other, both DecayedMean
		one.Add(1000, 10, 1)
		other.Add(1000, 30, 3)
		both.Add(1000, 10, 1)
		both.Add(1000, 30, 3)
		one.Merge(1000, other)
		So(one, ShouldResemble, both)
		one.Add(500, 10, 0)
		So(one.Weight, ShouldEqual, both.Weight)
	})
}

func TestLinearFit(t *testing.T) {
	Convey("a prefill cost between 0.002 and 0.4 ms per token is found within a tenth", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			tokenMs := math.Exp(rapid.Float64Range(math.Log(0.002), math.Log(0.4)).Draw(t, "token ms"))
			firstMs := rapid.Float64Range(0, 200*tokenMs).Draw(t, "first ms")
			model := &LatencyModel{}
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			for turn := range 300 {
				tokens := 200 + random.Int64N(7800)
				noise := random.Float64() * 500 * tokenMs
				if turn%50 == 49 {
					// A stalled request says nothing about the prefill.
					noise += 20_000 * tokenMs
				}
				model.ObserveFirstEvent(&EngineHealth{}, int64(turn*10), tokens, firstMs+float64(tokens)*tokenMs+noise)
			}
			if found := model.prefillTokenMs(); math.Abs(found-tokenMs) > 0.1*tokenMs {
				t.Fatalf("found %f ms per token, want %f", found, tokenMs)
			}
		})
	})
	Convey("before the slope is known a token costs at most the time to the first event per token, and before any sample the default", t, func() {
		model := &LatencyModel{}
		So(model.prefillTokenMs(), ShouldEqual, defaultTokenMs)
		model.ObserveFirstEvent(&EngineHealth{}, 0, 1000, 50)
		So(model.prefillTokenMs(), ShouldAlmostEqual, 0.05, 1e-9)
	})
	Convey("samples without a slope yield no slope", t, func() {
		fit := LinearFit{}
		for number := range 100 {
			fit.Add(0, float64(number%7), 30+float64(number%3))
		}
		_, found := fit.Slope()
		So(found, ShouldBeFalse)
	})
	Convey("no samples yield a negative cost or one that is not a number", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			model := &LatencyModel{}
			health := &EngineHealth{}
			for range rapid.IntRange(0, 60).Draw(t, "samples") {
				now := rapid.Int64Range(-1e12, 1e12).Draw(t, "now")
				model.ObserveFirstEvent(health, now, rapid.Int64Range(0, 1e9).Draw(t, "tokens"), rapid.Float64Range(0, 1e9).Draw(t, "took"))
				model.ObserveEventGap(health, now, rapid.Float64Range(0, 1e9).Draw(t, "gap"))
				model.ObserveStreamLength(now, rapid.Int64Range(0, 1e9).Draw(t, "count"))
				model.ObserveStreamPace(health, now, rapid.IntRange(-1, 20).Draw(t, "gaps"), rapid.Float64Range(0, 1e9).Draw(t, "min gap ms"))
				model.ObserveTurn("", rapid.IntRange(-1, 1000).Draw(t, "parts"))
				health.ReserveKVCache(now, rapid.Int64Range(-1e9, 1e9).Draw(t, "tokens"))
			}
			input := SelectionInput{
				IsStream: true, MaxEvents: rapid.Int64Range(0, 1e9).Draw(t, "events"), NowMs: rapid.Int64Range(-1e12, 1e12).Draw(t, "now"),
				Prompt: []PromptPart{{"a", rapid.Int64Range(0, 1e9).Draw(t, "part")}}, RequiredKVCacheTokens: rapid.Int64Range(0, 1e9).Draw(t, "required tokens"),
				RemainingTurns: rapid.Float64Range(0, 1e3).Draw(t, "turns"),
			}
			selection, found := SelectEngine(model, []Candidate{{ID: "e", Health: health, Slots: 4, KVCacheCapacityTokens: rapid.Int64Range(0, 1e9).Draw(t, "capacity tokens")}}, input)
			if !found || math.IsNaN(selection.CostMs) || selection.CostMs < 0 {
				t.Fatalf("found %v, cost %f", found, selection.CostMs)
			}
		})
	})
}

func TestLoadAggregator(t *testing.T) {
	// report sends requests of a gateway to an engine for a second and reports them.
	report := func(aggregator *LoadAggregator, gateway string, inFlight int, gap float64) {
		health := &EngineHealth{}
		model := &LatencyModel{}
		for range 50 {
			model.ObserveResponse(&EngineHealth{}, 0, "k", 30)
		}
		health.CollectLoad("e1", 0)
		for range inFlight {
			health.RecordStart(0)
			model.ObserveResponse(health, 0, "k", gap)
		}
		load, changed := health.CollectLoad("e1", 1000)
		So(changed, ShouldBeTrue)
		aggregator.ReportLoads(gateway, []EngineLoad{load}, 1000)
	}
	Convey("a gateway without samples of its own learns from all others", t, func() {
		aggregator := NewLoadAggregator()
		for number := range 8 {
			report(aggregator, fmt.Sprint("g", number), 3, 90)
		}
		loads := aggregator.Loads([]string{"e1"}, 1000)
		So(loads, ShouldHaveLength, 1)
		newcomer := &EngineHealth{}
		newcomer.ApplySharedLoad(loads[0], 1000)
		So(newcomer.EstimatedInFlight(1000), ShouldAlmostEqual, 24, 0.01)
		So(newcomer.LatencyRatio(1000), ShouldBeGreaterThan, 1.5)
		So(newcomer.SharedLoadAgeMs(1400), ShouldEqual, 400)
	})
	Convey("a gateway's own requests count once and with their current number", t, func() {
		aggregator := NewLoadAggregator()
		report(aggregator, "other", 4, 30)
		own := &EngineHealth{}
		own.CollectLoad("e1", 0)
		own.RecordStart(0)
		own.RecordStart(0)
		load, _ := own.CollectLoad("e1", 1000)
		aggregator.ReportLoads("own", []EngineLoad{load}, 1000)
		own.ApplySharedLoad(aggregator.Loads([]string{"e1"}, 1000)[0], 1000)
		So(own.EstimatedInFlight(1000), ShouldAlmostEqual, 6, 0.01)
		own.RecordEnd(1100)
		So(own.EstimatedInFlight(1100), ShouldAlmostEqual, 5, 0.01)
	})
	Convey("old reports are dropped by the aggregator and by the gateways", t, func() {
		aggregator := NewLoadAggregator()
		report(aggregator, "g", 3, 90)
		later := int64(1000 + loadLifetimeMs + 1)
		So(aggregator.Loads([]string{"e1"}, later)[0].InFlight, ShouldEqual, 0)
		gateway := &EngineHealth{}
		gateway.ApplySharedLoad(aggregator.Loads([]string{"e1"}, 1000)[0], 1000)
		So(gateway.EstimatedInFlight(later), ShouldEqual, 0)
		aggregator.ReportLoads("other", nil, 1000+2*sweepIntervalMs)
		So(aggregator.Loads([]string{"e1"}, 1000+2*sweepIntervalMs), ShouldBeEmpty)
	})
	Convey("a reply holds every engine that was asked for, however many others there are", t, func() {
		for _, engines := range []int{1000, 10_000} {
			aggregator := NewLoadAggregator()
			var wanted []string
			for number := range engines {
				name := fmt.Sprintf("e%05d", number)
				aggregator.ReportLoads("g", []EngineLoad{{Engine: name, InFlight: 1}}, 0)
				if number%100 == 0 && len(wanted) < 10 {
					wanted = append(wanted, name)
				}
			}
			loads := aggregator.Loads(append(wanted, "unknown"), 0)
			So(len(loads), ShouldEqual, len(wanted))
			for position, load := range loads {
				So(load.Engine, ShouldEqual, wanted[position])
				So(load.InFlight, ShouldEqual, 1)
			}
		}
	})
	Convey("invalid reports yield no invalid means", t, func() {
		aggregator := NewLoadAggregator()
		nan := float32(math.NaN())
		for _, sum := range []float32{nan, float32(math.Inf(1)), -5} {
			aggregator.ReportLoads("g", []EngineLoad{{Engine: "e", InFlight: sum, LatencyRatios: WeightedSum{Sum: sum, Weight: 1}}, {Engine: "e", LatencyRatios: WeightedSum{Sum: 1, Weight: sum}}}, 0)
		}
		health := &EngineHealth{}
		health.ApplySharedLoad(aggregator.Loads([]string{"e"}, 0)[0], 0)
		So(health.LatencyRatio(0), ShouldEqual, 1)
		So(health.EstimatedInFlight(0), ShouldEqual, 0)
	})
}

// runStreams lets every engine run streams in parallel. Two thirds of the gaps between events take
// gap milliseconds, and the others take longest milliseconds, because of the prefills of other
// requests. overrides holds other values of gap and longest for some engines.
func runStreams(model *LatencyModel, all []Candidate, gap, longest float64, overrides map[int][2]float64) {
	for event := range 120 {
		for number, candidate := range all {
			gapAndLongest := [2]float64{gap, longest}
			if override, overridden := overrides[number]; overridden {
				gapAndLongest = override
			}
			observedMs := gapAndLongest[0]
			if event%3 == 0 {
				observedMs = gapAndLongest[1]
			}
			model.ObserveEventGap(candidate.Health, 1000, observedMs)
		}
	}
	model.ObserveStreamLength(1000, 10)
}

func TestSlowOrBusy(t *testing.T) {
	Convey("a session stays at a busy engine and leaves a slow one, with a fast, a medium and a slow prefill", t, func() {
		for _, row := range []struct {
			tokenMs, gap, longest float64
			stays                 bool
		}{
			{0.004, 33, 200, true}, {0.004, 150, 150, false}, {0.03, 40, 400, true}, {0.03, 300, 300, false},
			{0.3, 45, 3000, true}, {0.3, 3000, 3000, false},
		} {
			model := modelWithTokenMs(row.tokenMs, 1000)
			all := newCandidates(6)
			runStreams(model, all, 30, 60, map[int][2]float64{2: {row.gap, row.longest}})
			input := SelectionInput{
				IsStream: true, Zone: "near", MaxEvents: 10, NowMs: 1000, AffineEngine: "e2",
				Prompt: []PromptPart{{"shared", 12000}, {"own", 3000}, {"new", 800}},
			}
			So(fmt.Sprint(row, selectCandidate(model, all, input).ID == "e2"), ShouldEqual, fmt.Sprint(row, row.stays))
		}
	})
}
