package scheduling

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestLoadAggregatorProperty checks that the sums of the aggregator are those of the recent
// reports, whatever gateways report and whenever they stop reporting.
func TestLoadAggregatorProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aggregator := NewLoadAggregator()
		type report struct {
			inFlight float64
			atMs     int64
		}
		latest := map[string]report{}
		nowMs := int64(1000)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 900).Draw(t, "elapsed ms")
			gateway := fmt.Sprint("g", rapid.IntRange(0, 5).Draw(t, "gateway"))
			inFlight := float64(rapid.IntRange(0, 4).Draw(t, "in flight")) / 3
			aggregator.ReportLoads(gateway, []EngineLoad{{Engine: "e", InFlight: float32(inFlight)}}, nowMs)
			latest[gateway] = report{inFlight, nowMs}
			// A report that has just expired may still count until the next check for expired
			// loads.
			lower, upper := 0.0, 0.0
			for _, reported := range latest {
				if nowMs-reported.atMs <= loadLifetimeMs {
					lower += reported.inFlight
				}
				if nowMs-reported.atMs <= loadLifetimeMs+loadExpiryIntervalMs {
					upper += reported.inFlight
				}
			}
			const rounding = 1e-5
			got := aggregator.InFlight("e", nowMs)
			if got < lower-rounding || got > upper+rounding || math.Abs(got-float64(aggregator.Loads([]string{"e"}, nowMs)[0].InFlight)) > rounding {
				t.Fatalf("%f requests in flight, but between %f and %f were reported", got, lower, upper)
			}
		}
	})
}

// BenchmarkLoads measures the sums that the leader computes for the gateways of one zone.
func BenchmarkLoads(b *testing.B) {
	for _, gateways := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			aggregator := NewLoadAggregator()
			var names []string
			for number := range 50 {
				names = append(names, fmt.Sprint("e", number))
				for gateway := range gateways {
					aggregator.ReportLoads(fmt.Sprint("g", gateway), []EngineLoad{{Engine: names[number], InFlight: 1}}, 1000)
				}
			}
			for b.Loop() {
				aggregator.Loads(names, 1000)
			}
		})
	}
}
