package scheduling

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestBoardProperty holds that the sums that a board keeps are those of what gateways said
// lately, whatever they say and whenever they fall silent.
func TestBoardProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		board := NewLoadAggregator()
		type said struct {
			inFlight float64
			atMs     int64
		}
		all := map[string]said{}
		nowMs := int64(1000)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 900).Draw(t, "pause")
			gateway := fmt.Sprint("g", rapid.IntRange(0, 5).Draw(t, "gateway"))
			inFlight := float64(rapid.IntRange(0, 4).Draw(t, "in flight")) / 3
			board.ReportLoads(gateway, []EngineLoad{{Engine: "e", InFlight: float32(inFlight)}}, nowMs)
			all[gateway] = said{inFlight, nowMs}
			// What is about to be forgotten may count or not until it is looked for.
			least, most := 0.0, 0.0
			for _, one := range all {
				if nowMs-one.atMs <= loadForgottenMs {
					least += one.inFlight
				}
				if nowMs-one.atMs <= loadForgottenMs+loadExpireMs {
					most += one.inFlight
				}
			}
			const rounding = 1e-5
			got := board.InFlight("e", nowMs)
			if got < least-rounding || got > most+rounding || math.Abs(got-float64(board.Loads([]string{"e"}, nowMs)[0].InFlight)) > rounding {
				t.Fatalf("%f in flight, between %f and %f were said", got, least, most)
			}
		}
	})
}

// BenchmarkLoads is what the leader adds up for the gateways of one zone.
func BenchmarkLoads(b *testing.B) {
	for _, gateways := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			board := NewLoadAggregator()
			var names []string
			for number := range 50 {
				names = append(names, fmt.Sprint("e", number))
				for gateway := range gateways {
					board.ReportLoads(fmt.Sprint("g", gateway), []EngineLoad{{Engine: names[number], InFlight: 1}}, 1000)
				}
			}
			for b.Loop() {
				board.Loads(names, 1000)
			}
		})
	}
}
