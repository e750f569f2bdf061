package scheduling

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDisabledMechanisms(t *testing.T) {
	// countAtE0 returns how many of 200 requests go to engine e0.
	countAtE0 := func(model *LatencyModel, all []Candidate, input SelectionInput, disabled ...Mechanism) int {
		input.Disabled = disabled
		count := 0
		for number := range 200 {
			input.ShuffleSeed = requestSeed(number)
			if selectCandidate(model, all, input).ID == "e0" {
				count++
			}
		}
		return count
	}
	stream := SelectionInput{IsStream: true, Zone: "near", MaxEvents: 10, NowMs: 1000, Prompt: []PromptPart{{"shared", 2000}, {"own", 3000}, {"new", 300}}}
	Convey("each mechanism in the table changes where requests go, unless it is disabled", t, func() {
		for mechanism, row := range map[Mechanism]struct {
			prepare func(model *LatencyModel, all []Candidate, input *SelectionInput)
			// on and off are the bounds of the count while the mechanism is enabled and disabled.
			on, off [2]int
		}{
			MechanismSessionAffinity: {func(_ *LatencyModel, _ []Candidate, input *SelectionInput) { input.AffineEngine = "e0" }, [2]int{200, 200}, [2]int{0, 120}},
			MechanismPrefillCost: {func(model *LatencyModel, all []Candidate, input *SelectionInput) {
				input.AffineEngine = "e0"
				runStreams(model, all, 30, 60, map[int][2]float64{0: {120, 120}})
			}, [2]int{0, 0}, [2]int{200, 200}},
			MechanismSlowDetection: {func(model *LatencyModel, all []Candidate, input *SelectionInput) {
				runStreams(model, all, 30, 60, map[int][2]float64{0: {300, 300}})
			}, [2]int{0, 0}, [2]int{20, 120}},
			MechanismSuspicion: {func(_ *LatencyModel, all []Candidate, _ *SelectionInput) { all[0].Health.RecordFailure(1000) }, [2]int{0, 0}, [2]int{20, 120}},
			MechanismCandidateSampling: {func(_ *LatencyModel, all []Candidate, _ *SelectionInput) {
				for _, candidate := range all[1:] {
					candidate.Health.OwnInFlight = 3
				}
			}, [2]int{20, 140}, [2]int{200, 200}},
			MechanismZonePreference: {func(_ *LatencyModel, all []Candidate, _ *SelectionInput) {
				for number := range all[1:] {
					all[number+1].Zone = "far"
				}
			}, [2]int{200, 200}, [2]int{20, 190}},
			MechanismBatchInterference: {func(model *LatencyModel, all []Candidate, _ *SelectionInput) {
				runStreams(model, all, 30, 60, nil)
				all[0].Health.OwnInFlight = 6
			}, [2]int{0, 0}, [2]int{20, 120}},
		} {
			for _, attempt := range []struct {
				disabled []Mechanism
				want     [2]int
			}{{nil, row.on}, {[]Mechanism{mechanism}, row.off}} {
				model := modelWithTokenMs(0.03, 1000)
				all := newCandidates(5)
				input := stream
				row.prepare(model, all, &input)
				got := countAtE0(model, all, input, attempt.disabled...)
				SoMsg(string(mechanism), got, ShouldBeGreaterThanOrEqualTo, attempt.want[0])
				SoMsg(string(mechanism), got, ShouldBeLessThanOrEqualTo, attempt.want[1])
			}
		}
	})
}
