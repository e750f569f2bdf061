package routing

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkTenants measures the heap use per tenant of a gateway with 48,000 tenants of two keys,
// and the time to apply and index a delta with a new generation.
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
	heapBytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	next := *index.Table
	next.Generation = 2
	delta := NewDelta(index.Table, &next)
	for b.Loop() {
		table, _ := delta.Apply(index.Table)
		NewIndex(table)
	}
	b.ReportMetric(heapBytes/tenants, "B/tenant")
	runtime.KeepAlive(index)
}
