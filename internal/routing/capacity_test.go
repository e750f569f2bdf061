package routing

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkTenants measures what a gateway holds and does for 48,000 tenants of two keys:
// bytes held, and the time to put a table in force in which one route has changed.
func BenchmarkTenants(b *testing.B) {
	const tenants = 48_000
	build := func() *Table {
		table := &Table{Generation: 1, RequiresKey: true}
		for number := range tenants {
			name := fmt.Sprint("tenant-", number)
			table.Tenants = append(table.Tenants, Tenant{
				Name: name, RatePerSecond: 10, Burst: 10, Keys: []KeyDigest{DigestKey(name + "a"), DigestKey(name + "b")},
			})
		}
		return table
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	index := NewIndex(build())
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	next := *index.Table
	next.Generation = 2
	delta := NewDelta(index.Table, &next)
	for b.Loop() {
		table, _ := delta.Apply(index.Table)
		NewIndex(table)
	}
	b.ReportMetric(held/tenants, "B/tenant")
	runtime.KeepAlive(index)
}
