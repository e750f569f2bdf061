package membership

import (
	"container/heap"
	"testing"

	"pgregory.net/rapid"
)

// askers are the times at which callers ask next.
type askers []int64

func (a askers) Len() int           { return len(a) }
func (a askers) Less(i, j int) bool { return a[i] < a[j] }
func (a askers) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *askers) Push(next any)     { *a = append(*a, next.(int64)) }
func (a *askers) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// TestLookUpsAsOftenAsAfforded holds that few callers ask often, and that many ask one process no
// more often than it can answer or than they would by answers held for long. The load: up to 1,500
// callers of one process that ask again as soon as they may, some of them only after three times that.
func TestLookUpsAsOftenAsAfforded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		callers := rapid.IntRange(1, 1500).Draw(t, "callers")
		patient := rapid.IntRange(0, 10).Draw(t, "patient in ten")
		var lookUps LookupTTL
		next := &askers{}
		for number := range callers {
			heap.Push(next, int64(1+number%mostHeldMs))
		}
		const settledMs, endMs = 8_000, 12_000
		answers, held := 0, int64(0)
		for number := 0; (*next)[0] < endMs; number++ {
			nowMs := heap.Pop(next).(int64)
			held = lookUps.RecordLookup(false, nowMs)
			if held < leastHeldMs || held > mostHeldMs {
				t.Fatalf("held for %d ms", held)
			}
			if nowMs >= settledMs {
				answers++
			}
			again := held
			if number%10 < patient {
				again *= 3
			}
			heap.Push(next, nowMs+again)
		}
		rate := float64(answers) * 1000 / (endMs - settledMs)
		if most := max(1.5*lookUpsPerSecond, 1.3*float64(callers)*1000/mostHeldMs); rate > most {
			t.Fatalf("%.0f look-ups a second of %d callers", rate, callers)
		}
		if callers <= lookUpsPerSecond*leastHeldMs/1000/2 && held != leastHeldMs {
			t.Fatalf("%d callers may hold an answer for %d ms", callers, held)
		}
	})
}

// TestLookUpsWhileADirectoryIsDark holds that callers come less often while they may ask a process
// that is silent first, and as often as before once it is back.
func TestLookUpsWhileADirectoryIsDark(t *testing.T) {
	var lookUps LookupTTL
	answer := func(dark bool, fromMs int64) (held int64) {
		for nowMs := fromMs; nowMs < fromMs+3*lookUpWindowMs; nowMs += leastHeldMs {
			held = lookUps.RecordLookup(dark, nowMs)
		}
		return held
	}
	for position, dark := range []bool{false, true, false} {
		held := answer(dark, int64(1+position*10*lookUpWindowMs))
		if want := map[bool]int64{false: leastHeldMs, true: darkHeldMs}[dark]; held != want {
			t.Fatalf("dark %v: held for %d ms", dark, held)
		}
	}
}
