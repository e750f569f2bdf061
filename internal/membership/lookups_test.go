package membership

import (
	"container/heap"
	"testing"

	"pgregory.net/rapid"
)

// lookupTimes is a heap of the times of the callers' next lookups.
type lookupTimes []int64

func (a lookupTimes) Len() int           { return len(a) }
func (a lookupTimes) Less(i, j int) bool { return a[i] < a[j] }
func (a lookupTimes) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *lookupTimes) Push(next any)     { *a = append(*a, next.(int64)) }
func (a *lookupTimes) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// TestLookupRateStaysNearTarget checks that a few callers receive the minimum TTL, and that many
// callers exceed neither 1.5 times the target rate nor 1.3 times the rate that the maximum TTL
// causes. The load is up to 1,500 callers of one process that look up again as soon as the TTL
// expires, some of them only after three times the TTL.
func TestLookupRateStaysNearTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		callers := rapid.IntRange(1, 1500).Draw(t, "callers")
		slowInTen := rapid.IntRange(0, 10).Draw(t, "slow in ten")
		var lookupTTL LookupTTL
		next := &lookupTimes{}
		for number := range callers {
			heap.Push(next, int64(1+number%maxTTLMs))
		}
		const measureFromMs, endMs = 8_000, 12_000
		answers, ttlMs := 0, int64(0)
		for number := 0; (*next)[0] < endMs; number++ {
			nowMs := heap.Pop(next).(int64)
			ttlMs = lookupTTL.RecordLookup(false, nowMs)
			if ttlMs < minTTLMs || ttlMs > maxTTLMs {
				t.Fatalf("TTL is %d ms", ttlMs)
			}
			if nowMs >= measureFromMs {
				answers++
			}
			delay := ttlMs
			if number%10 < slowInTen {
				delay *= 3
			}
			heap.Push(next, nowMs+delay)
		}
		rate := float64(answers) * 1000 / (endMs - measureFromMs)
		if limit := max(1.5*targetLookupsPerSecond, 1.3*float64(callers)*1000/maxTTLMs); rate > limit {
			t.Fatalf("%.0f lookups per second from %d callers", rate, callers)
		}
		if callers <= targetLookupsPerSecond*minTTLMs/1000/2 && ttlMs != minTTLMs {
			t.Fatalf("%d callers receive a TTL of %d ms", callers, ttlMs)
		}
	})
}

// TestLookupTTLWhilePeerIsSilent checks that callers look up less often while another
// process that they may ask first does not respond, and as often as before once it responds
// again.
func TestLookupTTLWhilePeerIsSilent(t *testing.T) {
	var lookupTTL LookupTTL
	lookUpRepeatedly := func(peerSilent bool, fromMs int64) (ttl int64) {
		for nowMs := fromMs; nowMs < fromMs+3*lookupWindowMs; nowMs += minTTLMs {
			ttl = lookupTTL.RecordLookup(peerSilent, nowMs)
		}
		return ttl
	}
	for position, peerSilent := range []bool{false, true, false} {
		ttl := lookUpRepeatedly(peerSilent, int64(1+position*10*lookupWindowMs))
		if want := map[bool]int64{false: minTTLMs, true: peerSilentTTLMs}[peerSilent]; ttl != want {
			t.Fatalf("TTL with peerSilent %v is %d ms", peerSilent, ttl)
		}
	}
}
