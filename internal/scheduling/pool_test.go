package scheduling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestEvidence(t *testing.T) {
	Convey("what nobody has seen lately is forgotten", t, func() {
		var pace DecayedMean
		for range 20 {
			pace.Add(1000, 200, 1)
		}
		So(pace.At(1000).ShrunkMean(30), ShouldBeGreaterThan, 150)
		So(pace.At(1000+10*evidenceHalfLifeMs).ShrunkMean(30), ShouldBeLessThan, 35)
		_, known := pace.At(1000 + 20*evidenceHalfLifeMs).own()
		So(known, ShouldBeFalse)
	})
	Convey("observers' samples add up, and a clock that steps back changes nothing", t, func() {
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

func TestLine(t *testing.T) {
	Convey("the cost of a token is found within a tenth, whatever the engines' speed", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			tokenMs := math.Exp(rapid.Float64Range(math.Log(0.002), math.Log(0.4)).Draw(t, "token ms"))
			first := rapid.Float64Range(0, 200*tokenMs).Draw(t, "first ms")
			pool := &LatencyModel{}
			draw := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			for turn := range 300 {
				tokens := 200 + draw.Int64N(7800)
				noise := draw.Float64() * 500 * tokenMs
				if turn%50 == 49 {
					// A send that was held up says nothing of reading.
					noise += 20_000 * tokenMs
				}
				pool.ObserveFirstEvent(&EngineHealth{}, int64(turn*10), tokens, first+float64(tokens)*tokenMs+noise)
			}
			if found := pool.tokenMs(); math.Abs(found-tokenMs) > 0.1*tokenMs {
				t.Fatalf("%f ms a token found, %f true", found, tokenMs)
			}
		})
	})
	Convey("until it is found, a token costs at most what the whole wait allows, and before any sample so much that nothing moves", t, func() {
		pool := &LatencyModel{}
		So(pool.tokenMs(), ShouldEqual, unknownTokenMs)
		pool.ObserveFirstEvent(&EngineHealth{}, 0, 1000, 50)
		So(pool.tokenMs(), ShouldAlmostEqual, 0.05, 1e-9)
	})
	Convey("samples without a slope show none", t, func() {
		line := LinearFit{}
		for number := range 100 {
			line.Add(0, float64(number%7), 30+float64(number%3))
		}
		_, found := line.Slope()
		So(found, ShouldBeFalse)
	})
	Convey("no input makes a cost that is no number", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			pool := &LatencyModel{}
			health := &EngineHealth{}
			for range rapid.IntRange(0, 60).Draw(t, "samples") {
				now := rapid.Int64Range(-1e12, 1e12).Draw(t, "now")
				pool.ObserveFirstEvent(health, now, rapid.Int64Range(0, 1e9).Draw(t, "tokens"), rapid.Float64Range(0, 1e9).Draw(t, "took"))
				pool.ObserveEventGap(health, now, rapid.Float64Range(0, 1e9).Draw(t, "gap"))
				pool.ObserveStreamLength(now, rapid.Int64Range(0, 1e9).Draw(t, "count"))
				pool.ObserveStreamPace(health, now, rapid.IntRange(-1, 20).Draw(t, "pauses"), rapid.Float64Range(0, 1e9).Draw(t, "shortest"))
				pool.ObserveTurn("", rapid.IntRange(-1, 1000).Draw(t, "parts"))
				health.ReserveKVCache(now, rapid.Int64Range(-1e9, 1e9).Draw(t, "tokens"))
			}
			demand := SelectionInput{
				IsStream: true, MaxEvents: rapid.Int64Range(0, 1e9).Draw(t, "events"), NowMs: rapid.Int64Range(-1e12, 1e12).Draw(t, "now"),
				Prompt: []PromptPart{{"a", rapid.Int64Range(0, 1e9).Draw(t, "part")}}, RequiredKVCacheTokens: rapid.Int64Range(0, 1e9).Draw(t, "holds"),
				RemainingTurns: rapid.Float64Range(0, 1e3).Draw(t, "turns"),
			}
			choice, found := SelectEngine(pool, []Candidate{{ID: "e", Health: health, Slots: 4, KVCacheCapacityTokens: rapid.Int64Range(0, 1e9).Draw(t, "memory")}}, demand)
			if !found || math.IsNaN(choice.CostMs) || choice.CostMs < 0 {
				t.Fatalf("found %v, cost %f", found, choice.CostMs)
			}
		})
	})
}

func TestBoard(t *testing.T) {
	// report has a gateway send requests to an engine for a second and report them.
	report := func(board *LoadAggregator, gateway string, inFlight int, gap float64) {
		health := &EngineHealth{}
		pool := &LatencyModel{}
		for range 50 {
			pool.ObserveResponse(&EngineHealth{}, 0, "k", 30)
		}
		health.CollectLoad("e1", 0)
		for range inFlight {
			health.RecordStart(0)
			pool.ObserveResponse(health, 0, "k", gap)
		}
		load, said := health.CollectLoad("e1", 1000)
		So(said, ShouldBeTrue)
		board.ReportLoads(gateway, []EngineLoad{load}, 1000)
	}
	Convey("a gateway that has seen nothing learns from all others", t, func() {
		board := NewLoadAggregator()
		for number := range 8 {
			report(board, fmt.Sprint("g", number), 3, 90)
		}
		loads := board.Loads([]string{"e1"}, 1000)
		So(loads, ShouldHaveLength, 1)
		newcomer := &EngineHealth{}
		newcomer.ApplySharedLoad(loads[0], 1000)
		So(newcomer.EstimatedInFlight(1000), ShouldAlmostEqual, 24, 0.01)
		So(newcomer.LatencyRatio(1000), ShouldBeGreaterThan, 1.5)
		So(newcomer.SharedLoadAgeMs(1400), ShouldEqual, 400)
	})
	Convey("its own requests count once, as they are now", t, func() {
		board := NewLoadAggregator()
		report(board, "other", 4, 30)
		own := &EngineHealth{}
		own.CollectLoad("e1", 0)
		own.RecordStart(0)
		own.RecordStart(0)
		load, _ := own.CollectLoad("e1", 1000)
		board.ReportLoads("own", []EngineLoad{load}, 1000)
		own.ApplySharedLoad(board.Loads([]string{"e1"}, 1000)[0], 1000)
		So(own.EstimatedInFlight(1000), ShouldAlmostEqual, 6, 0.01)
		own.RecordEnd(1100)
		So(own.EstimatedInFlight(1100), ShouldAlmostEqual, 5, 0.01)
	})
	Convey("what is old is forgotten, on the board and by its readers", t, func() {
		board := NewLoadAggregator()
		report(board, "g", 3, 90)
		later := int64(1000 + loadForgottenMs + 1)
		So(board.Loads([]string{"e1"}, later)[0].InFlight, ShouldEqual, 0)
		reader := &EngineHealth{}
		reader.ApplySharedLoad(board.Loads([]string{"e1"}, 1000)[0], 1000)
		So(reader.EstimatedInFlight(later), ShouldEqual, 0)
		board.ReportLoads("other", nil, 1000+2*loadSweepMs)
		So(board.Loads([]string{"e1"}, 1000+2*loadSweepMs), ShouldBeEmpty)
	})
	Convey("an answer holds each engine that it is asked for, however many others there are", t, func() {
		for _, engines := range []int{1000, 10_000} {
			board := NewLoadAggregator()
			var wanted []string
			for number := range engines {
				name := fmt.Sprintf("e%05d", number)
				board.ReportLoads("g", []EngineLoad{{Engine: name, InFlight: 1}}, 0)
				if number%100 == 0 && len(wanted) < 10 {
					wanted = append(wanted, name)
				}
			}
			loads := board.Loads(append(wanted, "unknown"), 0)
			So(len(loads), ShouldEqual, len(wanted))
			for position, load := range loads {
				So(load.Engine, ShouldEqual, wanted[position])
				So(load.InFlight, ShouldEqual, 1)
			}
		}
	})
	Convey("a report that lies makes no mean of nothing", t, func() {
		board := NewLoadAggregator()
		wrong := float32(math.NaN())
		for _, sum := range []float32{wrong, float32(math.Inf(1)), -5} {
			board.ReportLoads("g", []EngineLoad{{Engine: "e", InFlight: sum, LatencyRatios: WeightedSum{Sum: sum, Weight: 1}}, {Engine: "e", LatencyRatios: WeightedSum{Sum: 1, Weight: sum}}}, 0)
		}
		health := &EngineHealth{}
		health.ApplySharedLoad(board.Loads([]string{"e"}, 0)[0], 0)
		So(health.LatencyRatio(0), ShouldEqual, 1)
		So(health.EstimatedInFlight(0), ShouldEqual, 0)
	})
}

// streams has every engine run streams side by side whose events come in gap ms, but for
// now and then a pause of longest ms while it reads what others sent; other holds the
// numbers of engines that are different.
func streams(pool *LatencyModel, all []Candidate, gap, longest float64, other map[int][2]float64) {
	for event := range 120 {
		for number, candidate := range all {
			pauses := [2]float64{gap, longest}
			if different, is := other[number]; is {
				pauses = different
			}
			pause := pauses[0]
			if event%3 == 0 {
				pause = pauses[1]
			}
			pool.ObserveEventGap(candidate.Health, 1000, pause)
		}
	}
	pool.ObserveStreamLength(1000, 10)
}

func TestSlowOrBusy(t *testing.T) {
	Convey("a session stays at an engine that is busy and leaves one that is slow, however fast engines read", t, func() {
		for _, row := range []struct {
			tokenMs, gap, longest float64
			stays                 bool
		}{
			{0.004, 33, 200, true}, {0.004, 150, 150, false}, {0.03, 40, 400, true}, {0.03, 300, 300, false},
			{0.3, 45, 3000, true}, {0.3, 3000, 3000, false},
		} {
			pool := reader(row.tokenMs, 1000)
			all := candidates(6)
			streams(pool, all, 30, 60, map[int][2]float64{2: {row.gap, row.longest}})
			demand := SelectionInput{
				IsStream: true, Zone: "near", MaxEvents: 10, NowMs: 1000, AffineEngine: "e2",
				Prompt: []PromptPart{{"shared", 12000}, {"own", 3000}, {"new", 800}},
			}
			So(fmt.Sprint(row, choose(pool, all, demand).ID == "e2"), ShouldEqual, fmt.Sprint(row, row.stays))
		}
	})
}
