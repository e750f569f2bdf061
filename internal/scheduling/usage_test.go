package scheduling

import (
	"fmt"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// paces has each engine run streams whose shortest pauses are 30 ms times its slowness.
func paces(pool *LatencyModel, all []Candidate, streams int, slowness func(number int) float64) {
	for stream := range streams {
		for number, candidate := range all {
			noise := 1 + 0.1*float64((stream*7+number*3)%5-2)
			pool.ObserveStreamPace(candidate.Health, int64(1000+stream), 5, 30*slowness(number)*noise)
		}
	}
	pool.learnSpeeds(all, 2000)
}

func TestSpeeds(t *testing.T) {
	Convey("engines that are alike stay alike, whatever chance makes of their samples", t, func() {
		all := candidates(12)
		paces(&LatencyModel{}, all, 40, func(int) float64 { return 1 })
		for _, candidate := range all {
			So(candidate.Health.Slowdown(), ShouldAlmostEqual, all[0].Health.Slowdown(), 0.02)
		}
	})
	Convey("speeds are found within a tenth, relative to each other", t, func() {
		all := candidates(12)
		speeds := []float64{0.7, 0.7, 1.7}
		paces(&LatencyModel{}, all, 40, func(number int) float64 { return speeds[number%3] })
		quick, slow := all[0].Health.Slowdown(), all[2].Health.Slowdown()
		So(slow/quick, ShouldAlmostEqual, 1.7/0.7, 0.25)
	})
	Convey("a new engine starts where the others are on the mean, and is tried", t, func() {
		all := candidates(12)
		pool := reader(0.01, 1000)
		paces(pool, all[:11], 40, func(number int) float64 { return []float64{0.5, 2}[number%2] })
		streams(pool, all[:11], 30, 30, nil)
		pool.learnSpeeds(all, 2000)
		So(all[11].Health.Slowdown(), ShouldBeBetween, all[0].Health.Slowdown(), all[1].Health.Slowdown())
		tried := false
		for number := range 200 {
			demand := SelectionInput{IsStream: true, Zone: "near", MaxEvents: 10, ShuffleSeed: draw(number), NowMs: 2000}
			tried = tried || choose(pool, all, demand).ID == "e11"
		}
		So(tried, ShouldBeTrue)
	})
	Convey("a gateway that has seen nothing learns from all others", t, func() {
		all, board := candidates(6), NewLoadAggregator()
		paces(&LatencyModel{}, all, 40, func(number int) float64 { return []float64{0.5, 2}[number%2] })
		var names []string
		for _, candidate := range all {
			names = append(names, candidate.ID)
			usage, said := candidate.Health.CollectUsage(candidate.ID, 2000)
			So(said, ShouldBeTrue)
			board.ReportUsage("g", []EngineUsage{usage}, 2000)
		}
		newcomer, pool := candidates(6), &LatencyModel{}
		pool.paced.spread.Add(2000, 0.01, 5)
		for number, usage := range board.Usages(names, 2000) {
			newcomer[number].Health.ApplySharedUsage(usage, 2000)
		}
		pool.learnSpeeds(newcomer, 2000)
		So(newcomer[1].Health.Slowdown(), ShouldBeGreaterThan, 2*newcomer[0].Health.Slowdown())
		board.ForgetEngine("e1")
		So(len(board.Usages(names, 2000)), ShouldEqual, len(names)-1)
	})
	Convey("a session leaves a slow engine when what its further turns save exceeds what reading costs", t, func() {
		all := candidates(6)
		pool := reader(0.05, 1000)
		streams(pool, all, 30, 30, nil)
		paces(pool, all, 40, func(number int) float64 {
			if number == 2 {
				return 1.5
			}
			return 1
		})
		demand := SelectionInput{IsStream: true, Zone: "near", MaxEvents: 10, NowMs: 2000, AffineEngine: "e2", Prompt: []PromptPart{{"shared", 500}, {"own", 7000}, {"new", 300}}}
		demand.RemainingTurns = 1
		So(choose(pool, all, demand).ID, ShouldEqual, "e2")
		demand.RemainingTurns = 12
		chosen, _ := SelectEngine(pool, all, demand)
		So(chosen.Candidate.ID, ShouldNotEqual, "e2")
		So(chosen.MoveReason, ShouldEqual, MovedSlow)
		So(chosen.AffineEngineSlowdown, ShouldBeGreaterThan, chosen.Slowdown)
	})
}

func TestRemainingTurns(t *testing.T) {
	Convey("the turns that a session has yet are those that sessions like it had", t, func() {
		pool := &LatencyModel{}
		for range 100 {
			for parts := 2; parts <= 20; parts += 2 {
				pool.ObserveTurn("ten", parts)
			}
			pool.ObserveTurn("one", 2)
		}
		So(pool.RemainingTurns("ten", 2), ShouldAlmostEqual, 10, 0.5)
		So(pool.RemainingTurns("ten", 16), ShouldAlmostEqual, 3, 0.5)
		So(pool.RemainingTurns("one", 2), ShouldEqual, 1)
		So(pool.RemainingTurns("unknown", 2), ShouldEqual, 1)
	})
}

// TestUsageAcrossReleases answers processes of two releases side by side: what an older one
// does not know of it passes over, and what it does not say is nothing.
func TestUsageAcrossReleases(t *testing.T) {
	Convey("fields that a receiver does not know are passed over", t, func() {
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

// TestHeldTokensProperty holds that what all gateways are told of an engine's memory is what
// they have said lately, whatever they say and whenever they fall silent, and that no report
// makes a figure that is no number.
func TestHeldTokensProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		board, said := NewLoadAggregator(), map[string]boardCount{}
		nowMs := int64(1000)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 900).Draw(t, "pause")
			gateway := fmt.Sprint("g", rapid.IntRange(0, 5).Draw(t, "gateway"))
			tokens := rapid.SampledFrom([]float64{0, 10, 5000, math.NaN(), math.Inf(1), -4}).Draw(t, "tokens")
			board.ReportUsage(gateway, []EngineUsage{{Engine: "e", ReservedKVCacheTokens: float32(tokens), Pace: WeightedSum{Sum: 1, Weight: 1}}}, nowMs)
			if !(tokens > 0) || math.IsInf(tokens, 0) {
				tokens = 0
			}
			said[gateway] = boardCount{inFlight: tokens, atMs: nowMs}
			want := 0.0
			for _, one := range said {
				if nowMs-one.atMs <= loadForgottenMs {
					want += one.inFlight
				}
			}
			told := board.Usages([]string{"e"}, nowMs)
			if len(told) != 1 || math.Abs(float64(told[0].ReservedKVCacheTokens)-want) > 1 {
				t.Fatalf("told %+v, said %f", told, want)
			}
		}
	})
}
