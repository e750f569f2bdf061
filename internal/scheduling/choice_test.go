package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func newCandidates(count int) []Candidate {
	var all []Candidate
	for number := range count {
		all = append(all, Candidate{ID: fmt.Sprintf("e%d", number), Zone: "near", Slots: 12, Health: &EngineHealth{}})
	}
	return all
}

// requestSeed returns the shuffle seed of a request.
func requestSeed(number int) uint64 { return rand.New(rand.NewPCG(uint64(number), 7)).Uint64() }

// modelWithTokenMs returns a model of engines that were observed to prefill a token in tokenMs.
func modelWithTokenMs(tokenMs float64, nowMs int64) *LatencyModel {
	model := &LatencyModel{}
	for number := range 40 {
		tokens := int64(500 * (1 + number%8))
		model.ObserveFirstEvent(&EngineHealth{}, nowMs, tokens, 20+tokenMs*float64(tokens))
	}
	return model
}

// selectCandidate calls SelectEngine and requires that it returns an engine.
func selectCandidate(model *LatencyModel, all []Candidate, input SelectionInput) Candidate {
	selection, found := SelectEngine(model, all, input)
	So(found, ShouldBeTrue)
	return selection.Candidate
}

func TestSelectEngine(t *testing.T) {
	prompt := []PromptPart{{"shared", 12000}, {"own", 3000}, {"new", 800}}
	stream := SelectionInput{IsStream: true, Zone: "near", MaxEvents: 10, Prompt: prompt, NowMs: 1000}
	Convey("a stream goes to the engine that has its session's prefix cached", t, func() {
		for name, model := range map[string]*LatencyModel{"no samples": {}, "fast": modelWithTokenMs(0.004, 1000), "slow": modelWithTokenMs(0.4, 1000)} {
			input := stream
			input.AffineEngine = "e2"
			So(name+selectCandidate(model, newCandidates(4), input).ID, ShouldEqual, name+"e2")
		}
	})
	Convey("a stream leaves its affine engine if that is so slow that a new prefill costs less, is suspect, or was already tried", t, func() {
		for name, degrade := range map[string]func(*LatencyModel, []Candidate, *SelectionInput){
			"slow": func(model *LatencyModel, all []Candidate, _ *SelectionInput) {
				runStreams(model, all, 30, 30, map[int][2]float64{2: {150, 150}})
			},
			"suspect": func(_ *LatencyModel, all []Candidate, _ *SelectionInput) { all[2].Health.RecordFailure(1000) },
			"tried":   func(_ *LatencyModel, _ []Candidate, input *SelectionInput) { input.ExcludedEngines = []string{"e2"} },
		} {
			all := newCandidates(4)
			input := stream
			input.AffineEngine = "e2"
			model := modelWithTokenMs(0.02, 1000)
			degrade(model, all, &input)
			So(name+selectCandidate(model, all, input).ID, ShouldNotEqual, name+"e2")
		}
	})
	Convey("new programs spread over the engines by the requests in flight", t, func() {
		all := newCandidates(4)
		model := modelWithTokenMs(0.004, stream.NowMs)
		runStreams(model, newCandidates(4), 30, 30, nil)
		for number := range 40 {
			input := stream
			input.ShuffleSeed = requestSeed(number)
			selectCandidate(model, all, input).Health.RecordStart(stream.NowMs)
		}
		for _, candidate := range all {
			So(candidate.Health.OwnInFlight, ShouldBeBetween, 6, 14)
		}
	})
	Convey("gateways with the same view do not all select the engine that looks best in it", t, func() {
		for _, input := range []SelectionInput{stream, {Zone: "near", RequestKind: "plain", NowMs: 1000}} {
			all := newCandidates(10)
			model := modelWithTokenMs(0.004, 1000)
			runStreams(model, all, 30, 30, map[int][2]float64{9: {150, 150}})
			for range 20 {
				for number, candidate := range all {
					took := 100.0
					if number == 9 {
						took = 500
					}
					model.ObserveResponse(candidate.Health, 1000, "plain", took)
				}
			}
			counts := map[string]int{}
			for number := range 400 {
				input.ShuffleSeed = requestSeed(number)
				counts[selectCandidate(model, all, input).ID]++
			}
			So(len(counts), ShouldBeGreaterThanOrEqualTo, 9)
			for _, count := range counts {
				So(count, ShouldBeLessThan, 80)
			}
			So(counts["e9"], ShouldBeLessThan, counts["e0"]/2)
		}
	})
	Convey("new sessions reach every engine except one where a request has failed, and a session stays at its affine engine in a large fleet", t, func() {
		all := newCandidates(60)
		all[3].Health.RecordFailure(1000)
		seen := map[string]bool{}
		for number := range 2000 {
			input := stream
			input.ShuffleSeed = requestSeed(number)
			seen[selectCandidate(modelWithTokenMs(0.004, 1000), all, input).ID] = true
		}
		So(len(seen), ShouldEqual, len(all)-1)
		So(seen["e3"], ShouldBeFalse)
		input := stream
		input.AffineEngine = "e50"
		So(selectCandidate(modelWithTokenMs(0.004, 1000), all, input).ID, ShouldEqual, "e50")
	})
	Convey("an engine of another zone is selected if those of the request's zone are overloaded", t, func() {
		all := newCandidates(4)
		all[3].Zone = "far"
		model := modelWithTokenMs(0.004, 1000)
		model.ObserveResponse(&EngineHealth{}, 1000, "plain", 100)
		plain := SelectionInput{Zone: "near", RequestKind: "plain", NowMs: 1000}
		for number := range 20 {
			plain.ShuffleSeed = requestSeed(number)
			So(selectCandidate(model, all, plain).ID, ShouldNotEqual, "e3")
		}
		for _, candidate := range all[:3] {
			candidate.Health.OwnInFlight = 30
		}
		So(selectCandidate(model, all, plain).ID, ShouldEqual, "e3")
	})
	Convey("requests with the same affinity key go to the same engine while it has free slots", t, func() {
		all := newCandidates(5)
		input := SelectionInput{Zone: "near", AffinityKey: "17"}
		first := selectCandidate(&LatencyModel{}, all, input)
		for number := range 5 {
			input.ShuffleSeed = requestSeed(number)
			next := selectCandidate(&LatencyModel{}, all, input)
			So(next.ID, ShouldEqual, first.ID)
		}
		first.Health.OwnInFlight = 12
		next := selectCandidate(&LatencyModel{}, all, input)
		So(next.ID, ShouldNotEqual, first.ID)
	})
	Convey("a suspect engine is selected if there is no other, and none if all are excluded", t, func() {
		all := newCandidates(1)
		all[0].Health.RecordFailure(1000)
		_, found := SelectEngine(&LatencyModel{}, all, SelectionInput{NowMs: 1000})
		So(found, ShouldBeTrue)
		_, found = SelectEngine(&LatencyModel{}, all, SelectionInput{NowMs: 1000, ExcludedEngines: []string{"e0"}})
		So(found, ShouldBeFalse)
	})
	Convey("prompts are parsed up to the first malformed part", t, func() {
		So(ParsePrompt("a1:800, b2:30,zz"), ShouldResemble, []PromptPart{{"a1", 800}, {"b2", 30}})
		So(ParsePrompt("a1:-1"), ShouldBeEmpty)
		So(ParsePrompt(""), ShouldBeEmpty)
	})
}

func TestKVCachePreemption(t *testing.T) {
	prompt := []PromptPart{{"shared", 500}, {"own", 3000}}
	input := SelectionInput{IsStream: true, Zone: "near", MaxEvents: 10, Prompt: prompt, RequiredKVCacheTokens: 3600, NowMs: 1000}
	withReserved := func(tokens ...int64) []Candidate {
		all := newCandidates(len(tokens))
		for number := range all {
			all[number].KVCacheCapacityTokens = 40_000
			all[number].Health.ReserveKVCache(1000, tokens[number])
		}
		return all
	}
	Convey("a new session goes to an engine where it preempts nothing", t, func() {
		for number := range 30 {
			input := input
			input.ShuffleSeed = requestSeed(number)
			So(selectCandidate(modelWithTokenMs(0.02, 1000), withReserved(39_000, 10_000), input).ID, ShouldEqual, "e1")
		}
	})
	Convey("if all engines are short of KV cache, a new session goes where it preempts the fewest tokens", t, func() {
		for number := range 30 {
			input := input
			input.ShuffleSeed = requestSeed(number)
			So(selectCandidate(modelWithTokenMs(0.02, 1000), withReserved(39_000, 37_000), input).ID, ShouldEqual, "e1")
		}
	})
	Convey("KV cache use has no effect if the mechanism is disabled", t, func() {
		chosen := map[string]bool{}
		for number := range 30 {
			input := input
			input.ShuffleSeed = requestSeed(number)
			input.Disabled = DisabledMechanisms{MechanismKVCacheCost}
			chosen[selectCandidate(modelWithTokenMs(0.02, 1000), withReserved(39_000, 10_000), input).ID] = true
		}
		So(len(chosen), ShouldEqual, 2)
	})
}
