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
		var pace Evidence
		for range 20 {
			pace.Add(1000, 200, 1)
		}
		So(pace.At(1000).Mean(30), ShouldBeGreaterThan, 150)
		So(pace.At(1000+10*evidenceHalfLifeMs).Mean(30), ShouldBeLessThan, 35)
		_, known := pace.At(1000 + 20*evidenceHalfLifeMs).own()
		So(known, ShouldBeFalse)
	})
	Convey("observers' samples add up, and a clock that steps back changes nothing", t, func() {
		var one, other, both Evidence
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
			pool := &Pool{}
			draw := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			for turn := range 300 {
				tokens := 200 + draw.Int64N(7800)
				noise := draw.Float64() * 500 * tokenMs
				if turn%50 == 49 {
					// A send that was held up says nothing of reading.
					noise += 20_000 * tokenMs
				}
				pool.FirstEvent(&EngineHealth{}, int64(turn*10), tokens, first+float64(tokens)*tokenMs+noise)
			}
			if found := pool.tokenMs(); math.Abs(found-tokenMs) > 0.1*tokenMs {
				t.Fatalf("%f ms a token found, %f true", found, tokenMs)
			}
		})
	})
	Convey("until it is found, a token costs at most what the whole wait allows, and before any sample so much that nothing moves", t, func() {
		pool := &Pool{}
		So(pool.tokenMs(), ShouldEqual, unknownTokenMs)
		pool.FirstEvent(&EngineHealth{}, 0, 1000, 50)
		So(pool.tokenMs(), ShouldAlmostEqual, 0.05, 1e-9)
	})
	Convey("samples without a slope show none", t, func() {
		line := Line{}
		for number := range 100 {
			line.Add(0, float64(number%7), 30+float64(number%3))
		}
		_, found := line.Slope()
		So(found, ShouldBeFalse)
	})
	Convey("no input makes a cost that is no number", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			pool := &Pool{}
			health := &EngineHealth{}
			for range rapid.IntRange(0, 60).Draw(t, "samples") {
				now := rapid.Int64Range(-1e12, 1e12).Draw(t, "now")
				pool.FirstEvent(health, now, rapid.Int64Range(0, 1e9).Draw(t, "tokens"), rapid.Float64Range(0, 1e9).Draw(t, "took"))
				pool.NextEvent(health, now, rapid.Float64Range(0, 1e9).Draw(t, "gap"))
				pool.StreamEnded(now, rapid.Int64Range(0, 1e9).Draw(t, "count"))
				pool.StreamPaced(health, now, rapid.IntRange(-1, 20).Draw(t, "pauses"), rapid.Float64Range(0, 1e9).Draw(t, "shortest"))
				pool.TurnSent("", rapid.IntRange(-1, 1000).Draw(t, "parts"))
				health.Hold(now, rapid.Int64Range(-1e9, 1e9).Draw(t, "tokens"))
			}
			demand := Demand{
				Stream: true, Events: rapid.Int64Range(0, 1e9).Draw(t, "events"), NowMs: rapid.Int64Range(-1e12, 1e12).Draw(t, "now"),
				Prompt: []PromptPart{{"a", rapid.Int64Range(0, 1e9).Draw(t, "part")}}, HoldTokens: rapid.Int64Range(0, 1e9).Draw(t, "holds"),
				Turns: rapid.Float64Range(0, 1e3).Draw(t, "turns"),
			}
			choice, found := Choose(pool, []Candidate{{ID: "e", Health: health, Slots: 4, MemoryTokens: rapid.Int64Range(0, 1e9).Draw(t, "memory")}}, demand)
			if !found || math.IsNaN(choice.Cost) || choice.Cost < 0 {
				t.Fatalf("found %v, cost %f", found, choice.Cost)
			}
		})
	})
}

func TestBoard(t *testing.T) {
	// report has a gateway send requests to an engine for a second and report them.
	report := func(board *Board, gateway string, inFlight int, gap float64) {
		health := &EngineHealth{}
		pool := &Pool{}
		for range 50 {
			pool.Answered(&EngineHealth{}, 0, "k", 30)
		}
		health.TakeLoad("e1", 0)
		for range inFlight {
			health.Sent(0)
			pool.Answered(health, 0, "k", gap)
		}
		load, said := health.TakeLoad("e1", 1000)
		So(said, ShouldBeTrue)
		board.Report(gateway, []Load{load}, 1000)
	}
	Convey("a gateway that has seen nothing learns from all others", t, func() {
		board := NewBoard()
		for number := range 8 {
			report(board, fmt.Sprint("g", number), 3, 90)
		}
		loads := board.Loads([]string{"e1"}, 1000)
		So(loads, ShouldHaveLength, 1)
		newcomer := &EngineHealth{}
		newcomer.TakeShared(loads[0], 1000)
		So(newcomer.Company(1000), ShouldAlmostEqual, 24, 0.01)
		So(newcomer.Factor(1000), ShouldBeGreaterThan, 1.5)
		So(newcomer.SharedAgeMs(1400), ShouldEqual, 400)
	})
	Convey("its own requests count once, as they are now", t, func() {
		board := NewBoard()
		report(board, "other", 4, 30)
		own := &EngineHealth{}
		own.TakeLoad("e1", 0)
		own.Sent(0)
		own.Sent(0)
		load, _ := own.TakeLoad("e1", 1000)
		board.Report("own", []Load{load}, 1000)
		own.TakeShared(board.Loads([]string{"e1"}, 1000)[0], 1000)
		So(own.Company(1000), ShouldAlmostEqual, 6, 0.01)
		own.Ended(1100)
		So(own.Company(1100), ShouldAlmostEqual, 5, 0.01)
	})
	Convey("what is old is forgotten, on the board and by its readers", t, func() {
		board := NewBoard()
		report(board, "g", 3, 90)
		later := int64(1000 + loadForgottenMs + 1)
		So(board.Loads([]string{"e1"}, later)[0].InFlight, ShouldEqual, 0)
		reader := &EngineHealth{}
		reader.TakeShared(board.Loads([]string{"e1"}, 1000)[0], 1000)
		So(reader.Company(later), ShouldEqual, 0)
		board.Report("other", nil, 1000+2*loadSweepMs)
		So(board.Loads([]string{"e1"}, 1000+2*loadSweepMs), ShouldBeEmpty)
	})
	Convey("an answer holds each engine that it is asked for, however many others there are", t, func() {
		for _, engines := range []int{1000, 10_000} {
			board := NewBoard()
			var wanted []string
			for number := range engines {
				name := fmt.Sprintf("e%05d", number)
				board.Report("g", []Load{{Engine: name, InFlight: 1}}, 0)
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
		board := NewBoard()
		wrong := float32(math.NaN())
		for _, sum := range []float32{wrong, float32(math.Inf(1)), -5} {
			board.Report("g", []Load{{Engine: "e", InFlight: sum, Factor: Samples{Sum: sum, Weight: 1}}, {Engine: "e", Factor: Samples{Sum: 1, Weight: sum}}}, 0)
		}
		health := &EngineHealth{}
		health.TakeShared(board.Loads([]string{"e"}, 0)[0], 0)
		So(health.Factor(0), ShouldEqual, 1)
		So(health.Company(0), ShouldEqual, 0)
	})
}

// streams has every engine run streams side by side whose events come in gap ms, but for
// now and then a pause of longest ms while it reads what others sent; other holds the
// numbers of engines that are different.
func streams(pool *Pool, all []Candidate, gap, longest float64, other map[int][2]float64) {
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
			pool.NextEvent(candidate.Health, 1000, pause)
		}
	}
	pool.StreamEnded(1000, 10)
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
			demand := Demand{
				Stream: true, Zone: "near", Events: 10, NowMs: 1000, Home: "e2",
				Prompt: []PromptPart{{"shared", 12000}, {"own", 3000}, {"new", 800}},
			}
			So(fmt.Sprint(row, choose(pool, all, demand).ID == "e2"), ShouldEqual, fmt.Sprint(row, row.stays))
		}
	})
}
