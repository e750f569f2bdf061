package membership

import (
	"fmt"
	"math"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// testGateways returns ready gateways of one zone with the given capacities.
func testGateways(zone string, capacities ...float64) []Gateway {
	var gateways []Gateway
	for number, capacity := range capacities {
		name := fmt.Sprintf("%s-%d", zone, number+1)
		gateways = append(gateways, Gateway{Name: name, Zone: zone, Region: "r", Address: name + ":1", IsReady: true, Capacity: capacity})
	}
	return gateways
}

// repeatCapacity returns a slice that repeats a capacity.
func repeatCapacity(capacity float64, times int) []float64 {
	return slices.Repeat([]float64{capacity}, times)
}

// connectionShares returns each address's share of all connections, for callers that each open
// the same number.
func connectionShares(selector *GatewaySelector, zone string, callers int) map[string]float64 {
	loads := map[string]float64{}
	for number := range callers {
		selected := selector.Select(Caller{Key: fmt.Sprintf("10.0.%d.%d", number/256, number%256), Zone: zone, Region: "r"})
		for _, address := range selected {
			loads[address] += 1 / float64(len(selected)) / float64(callers)
		}
	}
	return loads
}

// TestCallersSpreadByCapacity checks that a gateway's share of a zone's connections is
// proportional to its capacity. The zone has 20 gateways with 0.144 of a core and 6 with 0.48.
func TestCallersSpreadByCapacity(t *testing.T) {
	Convey("gateways with two capacities", t, func() {
		gateways := testGateways("a", append(repeatCapacity(0.144, 20), repeatCapacity(0.48, 6)...)...)
		const total = 20*0.144 + 6*0.48
		Convey("each gateway receives its share", func() {
			loads := connectionShares(NewGatewaySelector(gateways), "a", 20_000)
			for _, gateway := range gateways {
				So(loads[gateway.Address], ShouldAlmostEqual, gateway.Capacity/total, 0.05*gateway.Capacity/total)
			}
		})
		Convey("an overloaded gateway receives half the share of its equals", func() {
			gateways[25].OverloadLevel = 1
			loads := connectionShares(NewGatewaySelector(gateways), "a", 20_000)
			So(loads["a-26:1"]/loads["a-25:1"], ShouldAlmostEqual, 0.5, 0.05)
		})
	})
	Convey("gateways with equal capacities are all selected for every caller", t, func() {
		selected := NewGatewaySelector(testGateways("a", repeatCapacity(0.192, 20)...)).Select(Caller{Key: "c", Zone: "a"})
		So(selected, ShouldHaveLength, 20)
		So(NewGatewaySelector(testGateways("a", repeatCapacity(0, 20)...)).Select(Caller{Key: "c", Zone: "a"}), ShouldResemble, selected)
	})
	Convey("callers receive different subsets of very many gateways, and all gateways are used", t, func() {
		loads := connectionShares(NewGatewaySelector(testGateways("a", repeatCapacity(0.192, 300)...)), "a", 5000)
		So(loads, ShouldHaveLength, 300)
		for _, load := range loads {
			So(load, ShouldBeBetween, 0.8/300, 1.2/300)
		}
	})
}

// TestOverloadedZoneOverflows checks that the load that a zone's gateways cannot take goes to other
// zones of the region and to no other region. A zone is overloaded, for example, when the callers
// of other zones move to it.
func TestOverloadedZoneOverflows(t *testing.T) {
	const callers = 5000
	remoteShare := func(gateways []Gateway) float64 {
		share := 0.0
		for address, load := range connectionShares(NewGatewaySelector(gateways), "a", callers) {
			if address[0] != 'a' {
				share += load
			}
		}
		return share
	}
	withOverloaded := func(overloaded int, level uint8) []Gateway {
		gateways := slices.Concat(testGateways("a", repeatCapacity(0.192, 20)...), testGateways("b", repeatCapacity(0.192, 20)...), testGateways("c", repeatCapacity(0.192, 20)...))
		for position := range overloaded {
			gateways[position].OverloadLevel = level
		}
		return gateways
	}
	Convey("callers stay in their zone if none or only one of its gateways is overloaded", t, func() {
		So(remoteShare(withOverloaded(0, 0)), ShouldEqual, 0)
		So(remoteShare(withOverloaded(1, maxOverloadLevel)), ShouldEqual, 0)
	})
	Convey("half of the callers go to other zones if all gateways of the zone are overloaded", t, func() {
		So(remoteShare(withOverloaded(20, 1)), ShouldAlmostEqual, 0.5, 0.03)
	})
	Convey("no caller goes to zones that are equally overloaded", t, func() {
		So(remoteShare(withOverloaded(60, 1)), ShouldEqual, 0)
	})
	Convey("no caller goes to a zone of another region", t, func() {
		gateways := withOverloaded(20, 1)
		for position := 20; position < len(gateways); position++ {
			gateways[position].Region = "elsewhere"
		}
		So(remoteShare(gateways), ShouldEqual, 0)
	})
}

// TestGatewaySelectionProperties checks, for arbitrary gateways, that a selection contains a
// permitted number of distinct ready gateways, is deterministic, and changes little when a gateway
// is removed.
func TestGatewaySelectionProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.144, 0.192, 0.48, 1}), 1, 120).Draw(t, "capacities")
		gateways := testGateways("a", capacities...)
		for position := range gateways {
			gateways[position].OverloadLevel = uint8(rapid.SampledFrom([]int{0, 0, 0, 1, maxOverloadLevel, 255}).Draw(t, "busy"))
			gateways[position].IsReady = rapid.SampledFrom([]bool{true, true, true, false}).Draw(t, "ready")
		}
		ready := 0
		for _, gateway := range gateways {
			if gateway.IsReady {
				ready++
			}
		}
		selector := NewGatewaySelector(gateways)
		caller := Caller{Key: rapid.String().Draw(t, "caller"), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Region: "r"}
		selected := selector.Select(caller)
		distinct := map[string]bool{}
		for _, address := range selected {
			distinct[address] = true
		}
		if len(distinct) != len(selected) || len(selected) > maxSelected || len(selected) < min(ready, minSelected) {
			t.Fatalf("%d of %d ready gateways selected, %d of them distinct", len(selected), ready, len(distinct))
		}
		for _, gateway := range gateways {
			if distinct[gateway.Address] && !gateway.IsReady {
				t.Fatalf("gateway %s is selected but not ready", gateway.Name)
			}
		}
		if !slices.Equal(selected, NewGatewaySelector(gateways).Select(caller)) {
			t.Fatal("two selections for one caller differ")
		}
		// Removing a gateway changes a selection only by that gateway and its replacement.
		removed := rapid.IntRange(0, len(gateways)-1).Draw(t, "gone")
		after := NewGatewaySelector(slices.Delete(slices.Clone(gateways), removed, removed+1)).Select(caller)
		changed := 0
		for _, address := range selected {
			if !slices.Contains(after, address) {
				changed++
			}
		}
		// The removal may also reduce the sample size and change the inclusion probabilities.
		if allowed := 2 + max(len(selected)-len(after), 0); changed > allowed+len(selected)/4 {
			t.Fatalf("%d of %d addresses changed with the removal of one gateway of %d", changed, len(selected), ready)
		}
	})
}

// TestInclusionInProportion checks that the probabilities add up to the sample size and are
// proportional to the weights, except those that are 1.
func TestInclusionInProportion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 10), 1, 80).Draw(t, "weights")
		sampleSize := sampleSizeFor(weights)
		probabilities := inclusionProbabilities(weights, sampleSize)
		sum, ratio := 0.0, 0.0
		for position, probability := range probabilities {
			sum += probability
			if probability > 1 || probability < 0 {
				t.Fatalf("probability is %g", probability)
			}
			if probability == 1 {
				continue
			}
			if ratio == 0 {
				ratio = probability / weights[position]
			}
			if math.Abs(probability/weights[position]-ratio) > 1e-9*ratio {
				t.Fatalf("probabilities %v are not proportional to weights %v", probabilities, weights)
			}
		}
		if math.Abs(sum-float64(sampleSize)) > 1e-6 {
			t.Fatalf("probabilities add up to %g, want %d", sum, sampleSize)
		}
	})
}

// BenchmarkSelect measures a lookup among the gateways of a large zone.
func BenchmarkSelect(b *testing.B) {
	for _, size := range []int{26, 300, 1000} {
		selector := NewGatewaySelector(testGateways("a", append(repeatCapacity(0.144, size-size/4), repeatCapacity(0.48, size/4)...)...))
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for number := range b.N {
				selector.Select(Caller{Key: fmt.Sprint(number), Zone: "a"})
			}
		})
	}
}
