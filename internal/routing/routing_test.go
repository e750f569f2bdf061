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

func testTable() *Table {
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
	Convey("the longest prefix on the host matches, and the case and port of host names are ignored", t, func() {
		index := NewIndex(testTable())
		So(index.FindRoute("a.example", "/x/y/z").Name, ShouldEqual, "narrow")
		So(index.FindRoute("A.example:80", "/x/z").Name, ShouldEqual, "wide")
		So(index.FindRoute("a.example", "/xy/"), ShouldBeNil)
		So(index.FindRoute("b.example", "/x/y/z"), ShouldBeNil)
	})
	Convey("a table with any of these errors is invalid", t, func() {
		faults := map[string]func(*Table){
			"unknown backend":       func(t *Table) { t.Routes[0].Shares[0].Backend = "three" },
			"route listed twice":    func(t *Table) { t.Routes[1].PathPrefix = "/x/" },
			"weights sum to 0":      func(t *Table) { t.Routes[0].Shares[0].Weight = 0 },
			"weight below 0":        func(t *Table) { t.Routes[0].Shares[0].Weight = -1 },
			"timeout of 0":          func(t *Table) { t.Routes[0].TimeoutMs = 0 },
			"unknown kind":          func(t *Table) { t.Routes[0].Kind = "other" },
			"no slash at the end":   func(t *Table) { t.Routes[0].PathPrefix = "/x" },
			"host in other case":    func(t *Table) { t.Routes[1].PathPrefix, t.Routes[1].Host = "/x/", "A.EXAMPLE" },
			"backend listed twice":  func(t *Table) { t.Backends[1].Name = "one" },
			"shared key":            func(t *Table) { t.Tenants[1].Keys[0] = t.Tenants[0].Keys[1] },
			"tenant listed twice":   func(t *Table) { t.Tenants[1].Name = "t" },
			"tenant without a name": func(t *Table) { t.Tenants[1].Name = "" },
			"empty key":             func(t *Table) { t.Tenants[0].Keys[0] = DigestKey("") },
			"rate below 0":          func(t *Table) { t.Tenants[0].RatePerSecond = -1 },
			"not a number":          func(t *Table) { t.Tenants[0].Burst = math.NaN() },
			"infinite":              func(t *Table) { t.Tenants[0].RatePerSecond = math.Inf(1) },
		}
		So(testTable().Validate(), ShouldBeNil)
		for name, breakTable := range faults {
			broken := testTable()
			breakTable(broken)
			failure := broken.Validate()
			So(name, ShouldNotBeNil)
			So(failure, ShouldNotBeNil)
			So(failure.Code, ShouldEqual, result.SettingsInvalid)
		}
	})
	Convey("a key identifies the tenant that owns it, and a tenant's priority replaces the route's", t, func() {
		index := NewIndex(testTable())
		So(index.TenantByKey("k2").Name, ShouldEqual, "t")
		So(index.TenantByKey("k3").Name, ShouldEqual, "u")
		So(index.TenantByKey("k4"), ShouldBeNil)
		So(index.TenantByKey(""), ShouldBeNil)
		priority := 3
		route := &Route{Priority: 1}
		So((*Tenant)(nil).EffectivePriority(route), ShouldEqual, 1)
		So((&Tenant{}).EffectivePriority(route), ShouldEqual, 1)
		So((&Tenant{Priority: &priority}).EffectivePriority(route), ShouldEqual, 3)
	})
	Convey("backends are selected by weight, and one of weight 0 is never selected", t, func() {
		route := Route{Shares: []BackendShare{{"none", 0}, {"most", 90}, {"few", 10}, {"nobody", 0}}}
		counts := map[string]int{}
		for step := range 1000 {
			counts[route.SelectBackend(float64(step)/1000)]++
		}
		So(counts, ShouldResemble, map[string]int{"most": 900, "few": 100})
	})
	Convey("only safe requests and resumable streams are repeatable", t, func() {
		So((&Route{Kind: KindSafe}).IsRepeatable(), ShouldBeTrue)
		So((&Route{Kind: KindUnsafe}).IsRepeatable(), ShouldBeFalse)
		So((&Route{Kind: KindStream}).IsRepeatable(), ShouldBeFalse)
		So((&Route{Kind: KindStream, Resumable: true}).IsRepeatable(), ShouldBeTrue)
	})
}

// TestDeltaProperty checks that a follower that applies deltas has the table that was sent, and
// that no delta returns it to an older table.
func TestDeltaProperty(t *testing.T) {
	tables := rapid.Custom(func(t *rapid.T) *Table {
		generated := &Table{Backends: []Backend{{Name: "one"}}, RequiresKey: rapid.Bool().Draw(t, "requires key")}
		for number := range 4 {
			if rapid.Bool().Draw(t, "tenant") {
				key := DigestKey(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")))
				generated.Tenants = append(generated.Tenants, Tenant{Name: fmt.Sprint(number), Keys: []KeyDigest{key}})
			}
		}
		for number := range 6 {
			if rapid.Bool().Draw(t, "present") {
				generated.Routes = append(generated.Routes, Route{
					Host: "h", PathPrefix: fmt.Sprintf("/%d/", number), TimeoutMs: rapid.Int64Range(1, 3).Draw(t, "timeout"),
				})
			}
		}
		return generated
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
		first, second := tables.Draw(t, "first"), tables.Draw(t, "second")
		first.Generation, second.Generation = 4, 9
		current, ok := NewDelta(nil, first).Apply(nil)
		if !ok {
			t.Fatal("a delta with a whole table was not applied")
		}
		next, ok := NewDelta(first, second).Apply(current)
		if !ok || next.Generation != 9 || !reflect.DeepEqual(sorted(next.Routes), sorted(second.Routes)) ||
			next.RequiresKey != second.RequiresKey || !reflect.DeepEqual(byName(next.Tenants), byName(second.Tenants)) {
			t.Fatalf("applying a delta to %+v yielded %+v, want %+v", current, next, second)
		}
		if unchanged, ok := NewDelta(nil, first).Apply(next); ok || unchanged != next {
			t.Fatal("a delta with an older table was applied")
		}
		if _, ok := NewDelta(second, second).Apply(current); ok {
			t.Fatal("a delta to another base table was applied")
		}
	})
}
