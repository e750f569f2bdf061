package routing

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/result"
)

func table() *Table {
	return &Table{
		Generation: 3,
		Routes: []Route{
			{Name: "wide", Host: "a.example", PathPrefix: "/x/", Kind: KindSafe, TimeoutMs: 100, Shares: []BackendShare{{"one", 1}}},
			{Name: "narrow", Host: "a.example", PathPrefix: "/x/y/", Kind: KindStream, TimeoutMs: 100, Shares: []BackendShare{{"one", 9}, {"two", 1}}},
		},
		Backends:    []Backend{{Name: "one"}, {Name: "two"}},
		RequiresKey: true,
		Tenants: []Tenant{
			{Name: "t", Keys: []KeyDigest{DigestKey("k1"), DigestKey("k2")}},
			{Name: "u", Keys: []KeyDigest{DigestKey("k3")}, RatePerSecond: 2},
		},
	}
}

func TestTable(t *testing.T) {
	Convey("the longest prefix on the host wins; host names are matched without case and port", t, func() {
		index := NewIndex(table())
		So(index.FindRoute("a.example", "/x/y/z").Name, ShouldEqual, "narrow")
		So(index.FindRoute("A.example:80", "/x/z").Name, ShouldEqual, "wide")
		So(index.FindRoute("a.example", "/xy/"), ShouldBeNil)
		So(index.FindRoute("b.example", "/x/y/z"), ShouldBeNil)
	})
	Convey("a table with a fault is refused whole", t, func() {
		faults := map[string]func(*Table){
			"no back end":   func(t *Table) { t.Routes[0].Shares[0].Backend = "three" },
			"stands twice":  func(t *Table) { t.Routes[1].PathPrefix = "/x/" },
			"sum to 0":      func(t *Table) { t.Routes[0].Shares[0].Weight = 0 },
			"below 0":       func(t *Table) { t.Routes[0].Shares[0].Weight = -1 },
			"time-out":      func(t *Table) { t.Routes[0].TimeoutMs = 0 },
			"kind":          func(t *Table) { t.Routes[0].Kind = "other" },
			"with a slash":  func(t *Table) { t.Routes[0].PathPrefix = "/x" },
			"another route": func(t *Table) { t.Routes[1].PathPrefix, t.Routes[1].Host = "/x/", "A.EXAMPLE" },
			"has no name":   func(t *Table) { t.Backends[1].Name = "one" },
			"a key twice":   func(t *Table) { t.Tenants[1].Keys[0] = t.Tenants[0].Keys[1] },
			"tenant twice":  func(t *Table) { t.Tenants[1].Name = "t" },
			"no tenant":     func(t *Table) { t.Tenants[1].Name = "" },
			"empty key":     func(t *Table) { t.Tenants[0].Keys[0] = DigestKey("") },
			"rate below 0":  func(t *Table) { t.Tenants[0].RatePerSecond = -1 },
			"no number":     func(t *Table) { t.Tenants[0].Burst = math.NaN() },
			"infinite":      func(t *Table) { t.Tenants[0].RatePerSecond = math.Inf(1) },
		}
		So(table().Validate(), ShouldBeNil)
		for name, spoil := range faults {
			spoiled := table()
			spoil(spoiled)
			failure := spoiled.Validate()
			So(name, ShouldNotBeNil)
			So(failure, ShouldNotBeNil)
			So(failure.Code, ShouldEqual, result.SettingsInvalid)
		}
	})
	Convey("a key leads to the tenant that holds it, and a tenant's rank replaces the route's", t, func() {
		index := NewIndex(table())
		So(index.TenantByKey("k2").Name, ShouldEqual, "t")
		So(index.TenantByKey("k3").Name, ShouldEqual, "u")
		So(index.TenantByKey("k4"), ShouldBeNil)
		So(index.TenantByKey(""), ShouldBeNil)
		rank := 3
		route := &Route{Priority: 1}
		So((*Tenant)(nil).EffectivePriority(route), ShouldEqual, 1)
		So((&Tenant{}).EffectivePriority(route), ShouldEqual, 1)
		So((&Tenant{Priority: &rank}).EffectivePriority(route), ShouldEqual, 3)
	})
	Convey("shares are drawn by their weights, and one of weight 0 never", t, func() {
		route := Route{Shares: []BackendShare{{"none", 0}, {"most", 90}, {"few", 10}, {"nobody", 0}}}
		counts := map[string]int{}
		for step := range 1000 {
			counts[route.SelectBackend(float64(step)/1000)]++
		}
		So(counts, ShouldResemble, map[string]int{"most": 900, "few": 100})
	})
	Convey("only safe requests and streams that can be taken up are repeatable", t, func() {
		So((&Route{Kind: KindSafe}).IsRepeatable(), ShouldBeTrue)
		So((&Route{Kind: KindUnsafe}).IsRepeatable(), ShouldBeFalse)
		So((&Route{Kind: KindStream}).IsRepeatable(), ShouldBeFalse)
		So((&Route{Kind: KindStream, Resumable: true}).IsRepeatable(), ShouldBeTrue)
	})
}

// TestDeltaProperty holds that a follower which applies differences has the table
// that was sent, and that none makes it step back.
func TestDeltaProperty(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) *Table {
		drawn := &Table{Backends: []Backend{{Name: "one"}}, RequiresKey: rapid.Bool().Draw(t, "keyed")}
		for number := range 4 {
			if rapid.Bool().Draw(t, "tenant") {
				key := DigestKey(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")))
				drawn.Tenants = append(drawn.Tenants, Tenant{Name: fmt.Sprint(number), Keys: []KeyDigest{key}})
			}
		}
		for number := range 6 {
			if rapid.Bool().Draw(t, "present") {
				drawn.Routes = append(drawn.Routes, Route{
					Host: "h", PathPrefix: fmt.Sprintf("/%d/", number), TimeoutMs: rapid.Int64Range(1, 3).Draw(t, "timeout"),
				})
			}
		}
		return drawn
	})
	sorted := func(routes []Route) []Route {
		copied := slices.Clone(routes)
		slices.SortFunc(copied, func(a, b Route) int { return strings.Compare(a.PathPrefix, b.PathPrefix) })
		return copied
	}
	byName := func(tenants []Tenant) []Tenant {
		copied := slices.Clone(tenants)
		slices.SortFunc(copied, func(a, b Tenant) int { return strings.Compare(a.Name, b.Name) })
		return copied
	}
	rapid.Check(t, func(t *rapid.T) {
		first, second := draw.Draw(t, "first"), draw.Draw(t, "second")
		first.Generation, second.Generation = 4, 9
		held, ok := NewDelta(nil, first).Apply(nil)
		if !ok {
			t.Fatal("a whole table was not taken")
		}
		next, ok := NewDelta(first, second).Apply(held)
		if !ok || next.Generation != 9 || !reflect.DeepEqual(sorted(next.Routes), sorted(second.Routes)) ||
			next.RequiresKey != second.RequiresKey || !reflect.DeepEqual(byName(next.Tenants), byName(second.Tenants)) {
			t.Fatalf("%+v became %+v for %+v", held, next, second)
		}
		if back, ok := NewDelta(nil, first).Apply(next); ok || back != next {
			t.Fatal("an older table was taken")
		}
		if _, ok := NewDelta(second, second).Apply(held); ok {
			t.Fatal("a difference to another table was taken")
		}
	})
}
