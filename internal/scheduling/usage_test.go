package scheduling

import (
	"fmt"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// runPacedStreams lets each engine run streams whose minimum gaps are 30 ms times its slowdown.
func runPacedStreams(model *LatencyModel, all []Candidate, streams int, slowdown func(number int) float64) {
	for stream := range streams {
		for number, candidate := range all {
			noise := 1 + 0.1*float64((stream*7+number*3)%5-2)
			model.ObserveStreamPace(candidate.Health, int64(1000+stream), 5, 30*slowdown(number)*noise)
		}
	}
	model.updateSlowdowns(all, 2000)
}

func TestSlowdowns(t *testing.T) {
	Convey("engines of the same speed keep the same slowdown despite noise in their samples", t, func() {
		all := newCandidates(12)
		runPacedStreams(&LatencyModel{}, all, 40, func(int) float64 { return 1 })
		for _, candidate := range all {
			So(candidate.Health.Slowdown(), ShouldAlmostEqual, all[0].Health.Slowdown(), 0.02)
		}
	})
	Convey("slowdowns are found within a tenth relative to each other", t, func() {
		all := newCandidates(12)
		slowdowns := []float64{0.7, 0.7, 1.7}
		runPacedStreams(&LatencyModel{}, all, 40, func(number int) float64 { return slowdowns[number%3] })
		quick, slow := all[0].Health.Slowdown(), all[2].Health.Slowdown()
		So(slow/quick, ShouldAlmostEqual, 1.7/0.7, 0.25)
	})
	Convey("a new engine starts with a slowdown between those of the others, and is tried", t, func() {
		all := newCandidates(12)
		model := modelWithTokenMs(0.01, 1000)
		runPacedStreams(model, all[:11], 40, func(number int) float64 { return []float64{0.5, 2}[number%2] })
		runStreams(model, all[:11], 30, 30, nil)
		model.updateSlowdowns(all, 2000)
		So(all[11].Health.Slowdown(), ShouldBeBetween, all[0].Health.Slowdown(), all[1].Health.Slowdown())
		tried := false
		for number := range 200 {
			input := SelectionInput{IsStream: true, Zone: "near", MaxEvents: 10, ShuffleSeed: requestSeed(number), NowMs: 2000}
			tried = tried || selectCandidate(model, all, input).ID == "e11"
		}
		So(tried, ShouldBeTrue)
	})
	Convey("a gateway without samples of its own learns from all others", t, func() {
		all, aggregator := newCandidates(6), NewLoadAggregator()
		runPacedStreams(&LatencyModel{}, all, 40, func(number int) float64 { return []float64{0.5, 2}[number%2] })
		var names []string
		for _, candidate := range all {
			names = append(names, candidate.ID)
			usage, changed := candidate.Health.CollectUsage(candidate.ID, 2000)
			So(changed, ShouldBeTrue)
			aggregator.ReportUsage("g", []EngineUsage{usage}, 2000)
		}
		newcomer, model := newCandidates(6), &LatencyModel{}
		model.pace.relativeVariance.Add(2000, 0.01, 5)
		for number, usage := range aggregator.Usages(names, 2000) {
			newcomer[number].Health.ApplySharedUsage(usage, 2000)
		}
		model.updateSlowdowns(newcomer, 2000)
		So(newcomer[1].Health.Slowdown(), ShouldBeGreaterThan, 2*newcomer[0].Health.Slowdown())
		aggregator.ForgetEngine("e1")
		So(len(aggregator.Usages(names, 2000)), ShouldEqual, len(names)-1)
	})
	Convey("a session leaves a slow engine if its later turns save more than the new prefill costs", t, func() {
		all := newCandidates(6)
		model := modelWithTokenMs(0.05, 1000)
		runStreams(model, all, 30, 30, nil)
		runPacedStreams(model, all, 40, func(number int) float64 {
			if number == 2 {
				return 1.5
			}
			return 1
		})
		input := SelectionInput{IsStream: true, Zone: "near", MaxEvents: 10, NowMs: 2000, AffineEngine: "e2", Prompt: []PromptPart{{"shared", 500}, {"own", 7000}, {"new", 300}}}
		input.RemainingTurns = 1
		So(selectCandidate(model, all, input).ID, ShouldEqual, "e2")
		input.RemainingTurns = 12
		selection, _ := SelectEngine(model, all, input)
		So(selection.Candidate.ID, ShouldNotEqual, "e2")
		So(selection.MoveReason, ShouldEqual, MovedSlow)
		So(selection.AffineEngineSlowdown, ShouldBeGreaterThan, selection.Slowdown)
	})
}

func TestRemainingTurns(t *testing.T) {
	Convey("the remaining turns of a session are learned from sessions of the same kind", t, func() {
		model := &LatencyModel{}
		for range 100 {
			for parts := 2; parts <= 20; parts += 2 {
				model.ObserveTurn("ten", parts)
			}
			model.ObserveTurn("one", 2)
		}
		So(model.RemainingTurns("ten", 2), ShouldAlmostEqual, 10, 0.5)
		So(model.RemainingTurns("ten", 16), ShouldAlmostEqual, 3, 0.5)
		So(model.RemainingTurns("one", 2), ShouldEqual, 1)
		So(model.RemainingTurns("unknown", 2), ShouldEqual, 1)
	})
}

// TestUsageAcrossReleases covers processes of two releases that run side by side: a receiver
// ignores fields that it doesn't know, and fields that an older sender omits are zero.
func TestUsageAcrossReleases(t *testing.T) {
	Convey("a receiver ignores unknown fields, and omitted fields are zero", t, func() {
		encoded, err := msgpack.Marshal(map[string]any{"e": "i-1", "p": []float32{6, 3}, "h": float32(40), "later": "x"})
		So(err, ShouldBeNil)
		var usage EngineUsage
		So(msgpack.Unmarshal(encoded, &usage), ShouldBeNil)
		So(usage, ShouldResemble, EngineUsage{Engine: "i-1", Pace: WeightedSum{Sum: 6, Weight: 3}, ReservedKVCacheTokens: 40})
		encoded, err = msgpack.Marshal(map[string]any{"e": "i-1"})
		So(err, ShouldBeNil)
		var older EngineUsage
		So(msgpack.Unmarshal(encoded, &older), ShouldBeNil)
		So(older, ShouldResemble, EngineUsage{Engine: "i-1"})
	})
}

// TestReservedKVCacheTokensProperty checks that the reserved KV cache tokens of an engine are the
// sum of the recent reports, whatever gateways report and whenever they stop reporting, and that no
// report yields a value that is not a number.
func TestReservedKVCacheTokensProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aggregator, latest := NewLoadAggregator(), map[string]gatewayValue{}
		nowMs := int64(1000)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 900).Draw(t, "elapsed ms")
			gateway := fmt.Sprint("g", rapid.IntRange(0, 5).Draw(t, "gateway"))
			tokens := rapid.SampledFrom([]float64{0, 10, 5000, math.NaN(), math.Inf(1), -4}).Draw(t, "tokens")
			aggregator.ReportUsage(gateway, []EngineUsage{{Engine: "e", ReservedKVCacheTokens: float32(tokens), Pace: WeightedSum{Sum: 1, Weight: 1}}}, nowMs)
			if !(tokens > 0) || math.IsInf(tokens, 0) {
				tokens = 0
			}
			latest[gateway] = gatewayValue{value: tokens, atMs: nowMs}
			want := 0.0
			for _, reported := range latest {
				if nowMs-reported.atMs <= loadLifetimeMs {
					want += reported.value
				}
			}
			usages := aggregator.Usages([]string{"e"}, nowMs)
			if len(usages) != 1 || math.Abs(float64(usages[0].ReservedKVCacheTokens)-want) > 1 {
				t.Fatalf("usages are %+v, but %f tokens were reported", usages, want)
			}
		}
	})
}
