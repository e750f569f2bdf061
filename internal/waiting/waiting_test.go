package waiting

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestOrderProperty checks random sequences of calls that join, are woken, find capacity or none
// and leave: the queue is always in order, each wakeup goes to the first entry that is not
// probing, and every queued call stays in the queue until it leaves or is rejected.
func TestOrderProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := NewQueue(Settings{MinProbability: rapid.Float64Range(0, 1).Draw(t, "minimum probability")})
		nowMs := int64(0)
		joined := map[*Entry]bool{}
		checkWoken := func(entry *Entry) {
			if entry == nil {
				return
			}
			if !joined[entry] || !entry.probing {
				t.Fatal("a call that is not in the queue or not probing was woken")
			}
			for _, other := range queue.entries {
				if other == entry {
					break
				}
				if !other.probing {
					t.Fatal("a call was woken before an earlier one that is not probing")
				}
			}
		}
		randomEntry := func() *Entry {
			if len(queue.entries) == 0 {
				return nil
			}
			return queue.entries[rapid.IntRange(0, len(queue.entries)-1).Draw(t, "entry")]
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 300).Draw(t, "pause")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				call := Call{
					Priority: rapid.IntRange(0, 9).Draw(t, "priority"), ProgramInProgress: rapid.Bool().Draw(t, "program in progress"), AboveFairShare: rapid.Bool().Draw(t, "above fair share"),
					DueTimeMs: nowMs + rapid.Int64Range(0, 3000).Draw(t, "due"), LatestStartMs: nowMs + rapid.Int64Range(-10, 3000).Draw(t, "latest"),
				}
				entry, rejection := queue.Join(nowMs, call)
				if (entry == nil) == (rejection == nil) {
					t.Fatal("a call both waits and is rejected, or neither")
				}
				if entry != nil {
					joined[entry] = true
				} else if rejection.RetryAfterMs <= 0 || rejection.RetryAfterMs > maxRetryAfterMs {
					t.Fatalf("retry time of %d ms is out of range", rejection.RetryAfterMs)
				}
			case 2:
				checkWoken(queue.RecordCompletion(nowMs))
			case 3:
				if entry := randomEntry(); entry != nil {
					if queue.Requeue(nowMs, entry) != nil {
						delete(joined, entry)
					}
				}
			case 4:
				if entry := randomEntry(); entry != nil {
					delete(joined, entry)
					checkWoken(queue.Leave(nowMs, entry, rapid.Bool().Draw(t, "served")))
				}
			}
			if len(joined) != queue.Len() {
				t.Fatalf("%d calls joined and did not leave, %d wait", len(joined), queue.Len())
			}
			if !slices.IsSortedFunc(queue.entries, func(a, b *Entry) int { return a.call.compare(b.call) }) {
				t.Fatal("queue is out of order")
			}
		}
	})
}

// TestNoRateWithoutCompletions checks a backend that had no engine for a minute: a new call must
// not be rejected because of the completions before that minute, which give no present rate.
func TestNoRateWithoutCompletions(t *testing.T) {
	queue := NewQueue(DefaultSettings())
	nowMs := int64(0)
	for range 20 {
		nowMs += 50
		queue.RecordCompletion(nowMs)
	}
	nowMs += 60_000
	if _, rejection := queue.Join(nowMs, Call{ProgramInProgress: true, DueTimeMs: nowMs + 20_000, LatestStartMs: nowMs + 20_000}); rejection != nil {
		t.Fatalf("call rejected: %+v", *rejection)
	}
	if _, rejection := queue.Join(nowMs, Call{DueTimeMs: nowMs, LatestStartMs: nowMs}); rejection == nil || rejection.RetryAfterMs <= 0 {
		t.Fatalf("rejection of a call past its latest start: %+v", rejection)
	}
}
