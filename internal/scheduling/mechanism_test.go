package scheduling

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDisabled(t *testing.T) {
	// share is how many of 200 requests go to engine e0.
	share := func(pool *LatencyModel, all []Candidate, demand SelectionInput, disabled ...Mechanism) int {
		demand.Disabled = disabled
		count := 0
		for number := range 200 {
			demand.ShuffleSeed = draw(number)
			if choose(pool, all, demand).ID == "e0" {
				count++
			}
		}
		return count
	}
	stream := SelectionInput{IsStream: true, Zone: "near", MaxEvents: 10, NowMs: 1000, Prompt: []PromptPart{{"shared", 2000}, {"own", 3000}, {"new", 300}}}
	Convey("each mechanism moves requests, and does not once it is turned off", t, func() {
		for mechanism, row := range map[Mechanism]struct {
			prepare func(pool *LatencyModel, all []Candidate, demand *SelectionInput)
			on, off [2]int
		}{
			MechanismSessionAffinity: {func(_ *LatencyModel, _ []Candidate, demand *SelectionInput) { demand.AffineEngine = "e0" }, [2]int{200, 200}, [2]int{0, 120}},
			MechanismPrefillCost: {func(pool *LatencyModel, all []Candidate, demand *SelectionInput) {
				demand.AffineEngine = "e0"
				streams(pool, all, 30, 60, map[int][2]float64{0: {120, 120}})
			}, [2]int{0, 0}, [2]int{200, 200}},
			MechanismSlowDetection: {func(pool *LatencyModel, all []Candidate, demand *SelectionInput) {
				streams(pool, all, 30, 60, map[int][2]float64{0: {300, 300}})
			}, [2]int{0, 0}, [2]int{20, 120}},
			MechanismSuspicion: {func(_ *LatencyModel, all []Candidate, _ *SelectionInput) { all[0].Health.RecordFailure(1000) }, [2]int{0, 0}, [2]int{20, 120}},
			MechanismCandidateSampling: {func(_ *LatencyModel, all []Candidate, _ *SelectionInput) {
				for _, candidate := range all[1:] {
					candidate.Health.InFlight = 3
				}
			}, [2]int{20, 140}, [2]int{200, 200}},
			MechanismZonePreference: {func(_ *LatencyModel, all []Candidate, _ *SelectionInput) {
				for number := range all[1:] {
					all[number+1].Zone = "far"
				}
			}, [2]int{200, 200}, [2]int{20, 190}},
			MechanismBatchInterference: {func(pool *LatencyModel, all []Candidate, _ *SelectionInput) {
				streams(pool, all, 30, 60, nil)
				all[0].Health.InFlight = 6
			}, [2]int{0, 0}, [2]int{20, 120}},
		} {
			for _, tried := range []struct {
				disabled []Mechanism
				want     [2]int
			}{{nil, row.on}, {[]Mechanism{mechanism}, row.off}} {
				pool := reader(0.03, 1000)
				all := candidates(5)
				demand := stream
				row.prepare(pool, all, &demand)
				got := share(pool, all, demand, tried.disabled...)
				SoMsg(string(mechanism), got, ShouldBeGreaterThanOrEqualTo, tried.want[0])
				SoMsg(string(mechanism), got, ShouldBeLessThanOrEqualTo, tried.want[1])
			}
		}
	})
}
