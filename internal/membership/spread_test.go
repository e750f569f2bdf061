package membership

import (
	"fmt"
	"math"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// gatewaysOf returns ready gateways of one zone with the capacities given.
func gatewaysOf(zone string, capacities ...float64) []Gateway {
	var gateways []Gateway
	for number, capacity := range capacities {
		name := fmt.Sprintf("%s-%d", zone, number+1)
		gateways = append(gateways, Gateway{Name: name, Zone: zone, Region: "r", Address: name + ":1", IsReady: true, Capacity: capacity})
	}
	return gateways
}

// repeated returns a capacity a number of times.
func repeated(capacity float64, times int) []float64 {
	return slices.Repeat([]float64{capacity}, times)
}

// loadsOf returns the part of all connections that each address gets from a number of callers
// that open as many each.
func loadsOf(spread *GatewaySelector, zone string, callers int) map[string]float64 {
	loads := map[string]float64{}
	for number := range callers {
		named := spread.Select(Caller{Key: fmt.Sprintf("10.0.%d.%d", number/256, number%256), Zone: zone, Region: "r"})
		for _, address := range named {
			loads[address] += 1 / float64(len(named)) / float64(callers)
		}
	}
	return loads
}

// TestCallersSpreadByCapacity holds that what a gateway gets of a zone's connections is in
// proportion to what it can take. The load: 20 gateways with 0.144 of a core and 6 with 0.48.
func TestCallersSpreadByCapacity(t *testing.T) {
	Convey("two kinds of gateways", t, func() {
		gateways := gatewaysOf("a", append(repeated(0.144, 20), repeated(0.48, 6)...)...)
		const total = 20*0.144 + 6*0.48
		Convey("each gets its share", func() {
			loads := loadsOf(NewGatewaySelector(gateways), "a", 20_000)
			for _, gateway := range gateways {
				So(loads[gateway.Address], ShouldAlmostEqual, gateway.Capacity/total, 0.05*gateway.Capacity/total)
			}
		})
		Convey("a hot one gets half of what the others like it get", func() {
			gateways[25].OverloadLevel = 1
			loads := loadsOf(NewGatewaySelector(gateways), "a", 20_000)
			So(loads["a-26:1"]/loads["a-25:1"], ShouldAlmostEqual, 0.5, 0.05)
		})
	})
	Convey("gateways that are alike are all named to everybody", t, func() {
		named := NewGatewaySelector(gatewaysOf("a", repeated(0.192, 20)...)).Select(Caller{Key: "c", Zone: "a"})
		So(named, ShouldHaveLength, 20)
		So(NewGatewaySelector(gatewaysOf("a", repeated(0, 20)...)).Select(Caller{Key: "c", Zone: "a"}), ShouldResemble, named)
	})
	Convey("of very many each caller has its own, and all are used", t, func() {
		loads := loadsOf(NewGatewaySelector(gatewaysOf("a", repeated(0.192, 300)...)), "a", 5000)
		So(loads, ShouldHaveLength, 300)
		for _, load := range loads {
			So(load, ShouldBeBetween, 0.8/300, 1.2/300)
		}
	})
}

// TestHotZoneOverflows holds that what a zone's gateways can't take goes to other zones of the region,
// near ones first, and comes back. The load: clients of other zones have moved to this one.
func TestHotZoneOverflows(t *testing.T) {
	const callers = 5000
	far := func(gateways []Gateway) float64 {
		share := 0.0
		for address, load := range loadsOf(NewGatewaySelector(gateways), "a", callers) {
			if address[0] != 'a' {
				share += load
			}
		}
		return share
	}
	heated := func(hot int, busy uint8) []Gateway {
		gateways := slices.Concat(gatewaysOf("a", repeated(0.192, 20)...), gatewaysOf("b", repeated(0.192, 20)...), gatewaysOf("c", repeated(0.192, 20)...))
		for position := range hot {
			gateways[position].OverloadLevel = busy
		}
		return gateways
	}
	Convey("nothing is hot, or one gateway of the zone: its callers stay", t, func() {
		So(far(heated(0, 0)), ShouldEqual, 0)
		So(far(heated(1, mostBusy)), ShouldEqual, 0)
	})
	Convey("all of the zone's gateways are hot: half goes elsewhere", t, func() {
		So(far(heated(20, 1)), ShouldAlmostEqual, 0.5, 0.03)
	})
	Convey("other zones are as hot: nobody is sent there", t, func() {
		So(far(heated(60, 1)), ShouldEqual, 0)
	})
	Convey("a zone of another region takes nothing", t, func() {
		gateways := heated(20, 1)
		for position := 20; position < len(gateways); position++ {
			gateways[position].Region = "elsewhere"
		}
		So(far(gateways), ShouldEqual, 0)
	})
}

// TestSpreadHolds holds what is true of every answer, whatever the gateways are.
func TestSpreadHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.144, 0.192, 0.48, 1}), 1, 120).Draw(t, "capacities")
		gateways := gatewaysOf("a", capacities...)
		for position := range gateways {
			gateways[position].OverloadLevel = uint8(rapid.SampledFrom([]int{0, 0, 0, 1, mostBusy, 255}).Draw(t, "busy"))
			gateways[position].IsReady = rapid.SampledFrom([]bool{true, true, true, false}).Draw(t, "ready")
		}
		ready := 0
		for _, gateway := range gateways {
			if gateway.IsReady {
				ready++
			}
		}
		spread := NewGatewaySelector(gateways)
		caller := Caller{Key: rapid.String().Draw(t, "caller"), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Region: "r"}
		named := spread.Select(caller)
		distinct := map[string]bool{}
		for _, address := range named {
			distinct[address] = true
		}
		if len(distinct) != len(named) || len(named) > maxNamed || len(named) < min(ready, leastNamed) {
			t.Fatalf("%d of %d ready gateways named, %d of them distinct", len(named), ready, len(distinct))
		}
		for _, gateway := range gateways {
			if distinct[gateway.Address] && !gateway.IsReady {
				t.Fatalf("%s is not ready and named", gateway.Name)
			}
		}
		if !slices.Equal(named, NewGatewaySelector(gateways).Select(caller)) {
			t.Fatal("two answers to one caller differ")
		}
		// A gateway that goes changes an answer in itself and what takes its place.
		gone := rapid.IntRange(0, len(gateways)-1).Draw(t, "gone")
		after := NewGatewaySelector(slices.Delete(slices.Clone(gateways), gone, gone+1)).Select(caller)
		lost := 0
		for _, address := range named {
			if !slices.Contains(after, address) {
				lost++
			}
		}
		// It may also lower how many are named, and the shares by which they are.
		if allowed := 2 + max(len(named)-len(after), 0); lost > allowed+len(named)/4 {
			t.Fatalf("%d of %d addresses are gone with one gateway of %d", lost, len(named), ready)
		}
	})
}

// TestInclusionInProportion holds that the parts of answers add up to the answer's length and
// are in proportion to the weights wherever none is in all answers.
func TestInclusionInProportion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 10), 1, 80).Draw(t, "weights")
		named := namedOf(weights)
		shares := inclusion(weights, named)
		sum, ratio := 0.0, 0.0
		for position, share := range shares {
			sum += share
			if share > 1 || share < 0 {
				t.Fatalf("share %g", share)
			}
			if share == 1 {
				continue
			}
			if ratio == 0 {
				ratio = share / weights[position]
			}
			if math.Abs(share/weights[position]-ratio) > 1e-9*ratio {
				t.Fatalf("shares %v are not in proportion to %v", shares, weights)
			}
		}
		if math.Abs(sum-float64(named)) > 1e-6 {
			t.Fatalf("shares add up to %g of %d", sum, named)
		}
	})
}

// BenchmarkNamed is what a look-up costs among the gateways of a large zone.
func BenchmarkNamed(b *testing.B) {
	for _, size := range []int{26, 300, 1000} {
		spread := NewGatewaySelector(gatewaysOf("a", append(repeated(0.144, size-size/4), repeated(0.48, size/4)...)...))
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for number := range b.N {
				spread.Select(Caller{Key: fmt.Sprint(number), Zone: "a"})
			}
		})
	}
}
