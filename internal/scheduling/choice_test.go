package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func candidates(count int) []Candidate {
	var all []Candidate
	for number := range count {
		all = append(all, Candidate{ID: fmt.Sprintf("e%d", number), Zone: "near", Slots: 12, Health: &EngineHealth{}})
	}
	return all
}

// draw returns the random number of a request.
func draw(number int) uint64 { return rand.New(rand.NewPCG(uint64(number), 7)).Uint64() }

// reader is a pool whose engines were seen to read a token in tokenMs.
func reader(tokenMs float64, nowMs int64) *LatencyModel {
	pool := &LatencyModel{}
	for number := range 40 {
		tokens := int64(500 * (1 + number%8))
		pool.ObserveFirstEvent(&EngineHealth{}, nowMs, tokens, 20+tokenMs*float64(tokens))
	}
	return pool
}

// choose is Choose for what has to be found.
func choose(pool *LatencyModel, all []Candidate, demand SelectionInput) Candidate {
	chosen, found := SelectEngine(pool, all, demand)
	So(found, ShouldBeTrue)
	return chosen.Candidate
}

func TestChoose(t *testing.T) {
	prompt := []PromptPart{{"shared", 12000}, {"own", 3000}, {"new", 800}}
	stream := SelectionInput{IsStream: true, Zone: "near", MaxEvents: 10, Prompt: prompt, NowMs: 1000}
	Convey("a stream goes to the engine that holds what its session has read", t, func() {
		for name, pool := range map[string]*LatencyModel{"nothing learnt": {}, "quick": reader(0.004, 1000), "slow": reader(0.4, 1000)} {
			demand := stream
			demand.AffineEngine = "e2"
			So(name+choose(pool, candidates(4), demand).ID, ShouldEqual, name+"e2")
		}
	})
	Convey("and elsewhere when that one is much slower than reading anew takes, suspect, or was tried", t, func() {
		for name, spoil := range map[string]func(*LatencyModel, []Candidate, *SelectionInput){
			"slow": func(pool *LatencyModel, all []Candidate, _ *SelectionInput) {
				streams(pool, all, 30, 30, map[int][2]float64{2: {150, 150}})
			},
			"suspect": func(_ *LatencyModel, all []Candidate, _ *SelectionInput) { all[2].Health.RecordFailure(1000) },
			"tried":   func(_ *LatencyModel, _ []Candidate, demand *SelectionInput) { demand.ExcludedEngines = []string{"e2"} },
		} {
			all := candidates(4)
			demand := stream
			demand.AffineEngine = "e2"
			pool := reader(0.02, 1000)
			spoil(pool, all, &demand)
			So(name+choose(pool, all, demand).ID, ShouldNotEqual, name+"e2")
		}
	})
	Convey("new programs spread over engines by what is under way there", t, func() {
		all := candidates(4)
		pool := reader(0.004, stream.NowMs)
		streams(pool, candidates(4), 30, 30, nil)
		for number := range 40 {
			demand := stream
			demand.ShuffleSeed = draw(number)
			choose(pool, all, demand).Health.RecordStart(stream.NowMs)
		}
		for _, candidate := range all {
			So(candidate.Health.InFlight, ShouldBeBetween, 6, 14)
		}
	})
	Convey("gateways with one view do not all choose the engine that looks best in it", t, func() {
		for _, demand := range []SelectionInput{stream, {Zone: "near", RequestKind: "plain", NowMs: 1000}} {
			all := candidates(10)
			pool := reader(0.004, 1000)
			streams(pool, all, 30, 30, map[int][2]float64{9: {150, 150}})
			for range 20 {
				for number, candidate := range all {
					took := 100.0
					if number == 9 {
						took = 500
					}
					pool.ObserveResponse(candidate.Health, 1000, "plain", took)
				}
			}
			chosen := map[string]int{}
			for number := range 400 {
				demand.ShuffleSeed = draw(number)
				chosen[choose(pool, all, demand).ID]++
			}
			So(len(chosen), ShouldBeGreaterThanOrEqualTo, 9)
			for _, count := range chosen {
				So(count, ShouldBeLessThan, 80)
			}
			So(chosen["e9"], ShouldBeLessThan, chosen["e0"]/2)
		}
	})
	Convey("any engine may be a session's home, and those that failed make way for all others", t, func() {
		all := candidates(60)
		all[3].Health.RecordFailure(1000)
		seen := map[string]bool{}
		for number := range 2000 {
			demand := stream
			demand.ShuffleSeed = draw(number)
			seen[choose(reader(0.004, 1000), all, demand).ID] = true
		}
		So(len(seen), ShouldEqual, len(all)-1)
		So(seen["e3"], ShouldBeFalse)
		demand := stream
		demand.AffineEngine = "e50"
		So(choose(reader(0.004, 1000), all, demand).ID, ShouldEqual, "e50")
	})
	Convey("an engine of another zone is taken where those of the zone are crowded or gone", t, func() {
		all := candidates(4)
		all[3].Zone = "far"
		pool := reader(0.004, 1000)
		pool.ObserveResponse(&EngineHealth{}, 1000, "plain", 100)
		plain := SelectionInput{Zone: "near", RequestKind: "plain", NowMs: 1000}
		for number := range 20 {
			plain.ShuffleSeed = draw(number)
			So(choose(pool, all, plain).ID, ShouldNotEqual, "e3")
		}
		for _, candidate := range all[:3] {
			candidate.Health.InFlight = 30
		}
		So(choose(pool, all, plain).ID, ShouldEqual, "e3")
	})
	Convey("requests with a key stay together while their engine has room", t, func() {
		all := candidates(5)
		demand := SelectionInput{Zone: "near", AffinityKey: "17"}
		first := choose(&LatencyModel{}, all, demand)
		for number := range 5 {
			demand.ShuffleSeed = draw(number)
			next := choose(&LatencyModel{}, all, demand)
			So(next.ID, ShouldEqual, first.ID)
		}
		first.Health.InFlight = 12
		next := choose(&LatencyModel{}, all, demand)
		So(next.ID, ShouldNotEqual, first.ID)
	})
	Convey("a suspect engine is taken where there is no other, and nothing where there is none", t, func() {
		all := candidates(1)
		all[0].Health.RecordFailure(1000)
		_, found := SelectEngine(&LatencyModel{}, all, SelectionInput{NowMs: 1000})
		So(found, ShouldBeTrue)
		_, found = SelectEngine(&LatencyModel{}, all, SelectionInput{NowMs: 1000, ExcludedEngines: []string{"e0"}})
		So(found, ShouldBeFalse)
	})
	Convey("prompts are read as far as they are understood", t, func() {
		So(ParsePrompt("a1:800, b2:30,zz"), ShouldResemble, []PromptPart{{"a1", 800}, {"b2", 30}})
		So(ParsePrompt("a1:-1"), ShouldBeEmpty)
		So(ParsePrompt(""), ShouldBeEmpty)
	})
}

func TestMemoryOfEngines(t *testing.T) {
	prompt := []PromptPart{{"shared", 500}, {"own", 3000}}
	demand := SelectionInput{IsStream: true, Zone: "near", MaxEvents: 10, Prompt: prompt, RequiredKVCacheTokens: 3600, NowMs: 1000}
	held := func(tokens ...int64) []Candidate {
		all := candidates(len(tokens))
		for number := range all {
			all[number].KVCacheCapacityTokens = 40_000
			all[number].Health.ReserveKVCache(1000, tokens[number])
		}
		return all
	}
	Convey("a new session goes where it pushes nothing out", t, func() {
		for number := range 30 {
			demand := demand
			demand.ShuffleSeed = draw(number)
			So(choose(reader(0.02, 1000), held(39_000, 10_000), demand).ID, ShouldEqual, "e1")
		}
	})
	Convey("where all are short, where it pushes the fewest tokens", t, func() {
		for number := range 30 {
			demand := demand
			demand.ShuffleSeed = draw(number)
			So(choose(reader(0.02, 1000), held(39_000, 37_000), demand).ID, ShouldEqual, "e1")
		}
	})
	Convey("and where memory is not known, or the mechanism is off, it does not count", t, func() {
		chosen := map[string]bool{}
		for number := range 30 {
			demand := demand
			demand.ShuffleSeed = draw(number)
			demand.Disabled = DisabledMechanisms{MechanismKVCacheCost}
			chosen[choose(reader(0.02, 1000), held(39_000, 10_000), demand).ID] = true
		}
		So(len(chosen), ShouldEqual, 2)
	})
}
