package admission

import (
	"fmt"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// bisectFairLevel finds the level by bisection over all tenants.
func bisectFairLevel(tenants []TenantUsage, otherDemand, capacity float64) float64 {
	low, high := 0.0, 1e9
	for range 200 {
		level := (low + high) / 2
		sum := otherDemand
		for _, tenant := range tenants {
			sum += math.Min(float64(tenant.InFlight), level*tenant.weight())
		}
		if sum > capacity {
			high = level
		} else {
			low = level
		}
	}
	return low
}

// TestSharesProperty compares the shares at gateways with those computed from all tenants at once.
// They fill the capacity, no tenant within its share is limited, and no tenant is limited while the
// capacity suffices for all.
func TestSharesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aggregator := NewUsageAggregator()
		all := map[string]TenantUsage{}
		for gateway := range rapid.IntRange(1, 8).Draw(t, "gateways") {
			var usage BackendUsage
			usage.Backend = "b"
			for _, number := range rapid.SliceOfNDistinct(rapid.IntRange(0, 40), 0, 20, rapid.ID[int]).Draw(t, "tenants") {
				tenant := TenantUsage{Tenant: fmt.Sprint("t", number), Weight: float32(number%5 + 1), InFlight: float32(rapid.IntRange(0, 30).Draw(t, "in flight"))}
				usage.Tenants = append(usage.Tenants, tenant)
				usage.InFlight += tenant.InFlight
				sum := all[tenant.Tenant]
				sum.Tenant, sum.Weight, sum.InFlight = tenant.Tenant, tenant.Weight, sum.InFlight+tenant.InFlight
				all[tenant.Tenant] = sum
			}
			aggregator.ReportUsage(fmt.Sprint("g", gateway), []BackendUsage{usage}, 100)
		}
		var tenants []TenantUsage
		total := 0.0
		for _, tenant := range all {
			tenants = append(tenants, tenant)
			total += float64(tenant.InFlight)
		}
		capacity := float64(rapid.IntRange(1, 400).Draw(t, "capacity"))
		shares := &FairShares{}
		shares.ApplyUsage(aggregator.Totals(200), 200)
		allocated := 0.0
		for _, tenant := range tenants {
			status := shares.Status("b", tenant.Tenant, capacity, 300)
			demand := float64(tenant.InFlight)
			if total <= capacity {
				if status.Oversubscribed || status.AboveFairShare || status.RejectedFraction() > 0 {
					t.Fatalf("tenant %s is limited by %+v although the capacity suffices", tenant.Tenant, status)
				}
				continue
			}
			fair := bisectFairLevel(tenants, 0, capacity) * tenant.weight()
			// Deviations by chance are tolerated: twice the square root of the share.
			tolerated := fair + 2*math.Sqrt(fair)
			if status.AboveFairShare != (demand > tolerated) && math.Abs(demand-tolerated) > 1e-1 {
				t.Fatalf("tenant %s has a demand of %.1f and a share of %.3f, but its status is %+v", tenant.Tenant, demand, fair, status)
			}
			if (!status.AboveFairShare || demand <= fair) && status.RejectedFraction() > 0 {
				t.Fatalf("tenant %s is within its share, but is rejected: %+v", tenant.Tenant, status)
			}
			allocated += math.Min(demand, fair)
			if status.AboveFairShare && math.Abs(status.Share-fair) > 1e-2*(1+fair) {
				t.Fatalf("tenant %s has a share of %.3f, want %.3f", tenant.Tenant, status.Share, fair)
			}
		}
		if total > capacity && math.Abs(allocated-capacity) > 1e-2*capacity {
			t.Fatalf("shares add up to %.2f, want the capacity %.2f", allocated, capacity)
		}
	})
}

func TestShares(t *testing.T) {
	report := func(tenant string, inFlight float32) []BackendUsage {
		return []BackendUsage{{Backend: "b", InFlight: inFlight, Tenants: []TenantUsage{{Tenant: tenant, Weight: 1, InFlight: inFlight}}}}
	}
	Convey("shares expire without updates from control, and reports expire without updates from the gateway", t, func() {
		aggregator, shares := NewUsageAggregator(), &FairShares{}
		aggregator.ReportUsage("g", report("t", 20), 0)
		shares.ApplyUsage(aggregator.Totals(100), 100)
		So(shares.Status("b", "t", 10, 100+usageLifetimeMs).AboveFairShare, ShouldBeTrue)
		So(shares.Status("b", "t", 10, 100+usageLifetimeMs+1).HasRecentUsage, ShouldBeFalse)
		So(aggregator.Totals(usageLifetimeMs+1), ShouldBeEmpty)
	})
	Convey("started programs count as demand before their requests are in flight, once the service time of a program is known", t, func() {
		aggregator, shares := NewUsageAggregator(), &FairShares{}
		for second := range int64(20) {
			aggregator.ReportUsage("g", []BackendUsage{{Backend: "b", InFlight: 10, ProgramStarts: 5, Tenants: []TenantUsage{{Tenant: "t", Weight: 1, InFlight: 10, ProgramStarts: 5}}}}, second*1000)
		}
		aggregator.ReportUsage("g", []BackendUsage{{Backend: "b", InFlight: 10, ProgramStarts: 5, Tenants: []TenantUsage{
			{Tenant: "t", Weight: 1, InFlight: 10, ProgramStarts: 50}, {Tenant: "u", Weight: 1, InFlight: 1},
		}}}, 20_000)
		shares.ApplyUsage(aggregator.Totals(20_000), 20_000)
		status := shares.Status("b", "t", 20, 20_000)
		So(status.AboveFairShare, ShouldBeTrue)
		So(status.Demand, ShouldBeGreaterThan, 30)
		So(status.RejectedFraction(), ShouldBeGreaterThan, 0.3)
		So(shares.Status("b", "u", 20, 20_000).AboveFairShare, ShouldBeFalse)
	})
	Convey("totals of many tenants list only maxReportedTenants of them, in less than 3,000 bytes", t, func() {
		aggregator := NewUsageAggregator()
		for gateway := range 700 {
			usage := BackendUsage{Backend: "back-end-name", InFlight: 17}
			for number := range 17 {
				usage.Tenants = append(usage.Tenants, TenantUsage{Tenant: fmt.Sprintf("tenant-%05d", (gateway*17+number*4801)%48_000), Weight: 10, InFlight: 1, ProgramStarts: 1})
			}
			aggregator.ReportUsage(fmt.Sprint("g", gateway), []BackendUsage{usage}, 0)
		}
		totals := aggregator.Totals(100)
		So(totals[0].Tenants, ShouldHaveLength, maxReportedTenants)
		raw, err := msgpack.Marshal(totals)
		So(err, ShouldBeNil)
		So(len(raw), ShouldBeLessThan, 3000)
	})
	Convey("invalid counts are ignored", t, func() {
		aggregator := NewUsageAggregator()
		nan := float32(math.NaN())
		aggregator.ReportUsage("g", []BackendUsage{{Backend: "b", InFlight: nan, ProgramStarts: -1, Tenants: []TenantUsage{{Tenant: "t", Weight: nan, InFlight: -3, ProgramStarts: nan}}}}, 0)
		totals := aggregator.Totals(100)
		So(totals, ShouldHaveLength, 1)
		So(totals[0].Tenants, ShouldBeEmpty)
		So(totals[0].Demand, ShouldEqual, 0)
	})
	Convey("a meter returns the mean requests in flight and removes tenants without any", t, func() {
		meter := NewUsageMeter(0)
		meter.AdjustInFlight("b", "t", 2, 1, 0)
		meter.AdjustInFlight("b", "t", 2, -1, 500)
		meter.RecordProgramStart("b", "t", 2, 0)
		usages := meter.CollectUsage(1000, func(string) bool { return true })
		So(usages, ShouldResemble, []BackendUsage{{Backend: "b", InFlight: 0.5, ProgramStarts: 1, Tenants: []TenantUsage{{Tenant: "t", Weight: 2, InFlight: 0.5, ProgramStarts: 1}}}})
		So(meter.CollectUsage(2000, func(string) bool { return true }), ShouldBeEmpty)
		So(meter.counters, ShouldBeEmpty)
	})
	Convey("the usable concurrency is one less than the slots, or a lower learned limit", t, func() {
		So(UsableConcurrency(8, 0), ShouldEqual, 7)
		So(UsableConcurrency(8, 4.5), ShouldEqual, 4.5)
		So(UsableConcurrency(0, 4.5), ShouldEqual, 4.5)
		So(UsableConcurrency(0, 0), ShouldEqual, 0)
	})
}
