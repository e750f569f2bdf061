package waiting

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestOrderProperty plays calls that join, are told of room, find some or none and leave: the
// queue is always in order, each room is told to the first that is not looking, and whoever
// joined is in it until it leaves.
func TestOrderProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := NewQueue(Settings{MinProbability: rapid.Float64Range(0, 1).Draw(t, "least")})
		nowMs := int64(0)
		present := map[*Entry]bool{}
		told := func(place *Entry) {
			if place == nil {
				return
			}
			if !present[place] || !place.trying {
				t.Fatal("a call that has left was told of room")
			}
			for _, other := range queue.places {
				if other == place {
					break
				}
				if !other.trying {
					t.Fatal("room was told to a later call than the first")
				}
			}
		}
		anyone := func() *Entry {
			if len(queue.places) == 0 {
				return nil
			}
			return queue.places[rapid.IntRange(0, len(queue.places)-1).Draw(t, "who")]
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 300).Draw(t, "pause")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				call := Call{
					Priority: rapid.IntRange(0, 9).Draw(t, "rank"), ProgramInProgress: rapid.Bool().Draw(t, "begun"), AboveFairShare: rapid.Bool().Draw(t, "above"),
					DueTimeMs: nowMs + rapid.Int64Range(0, 3000).Draw(t, "due"), LatestStartMs: nowMs + rapid.Int64Range(-10, 3000).Draw(t, "latest"),
				}
				place, rejection := queue.Join(nowMs, call)
				if (place == nil) == (rejection == nil) {
					t.Fatal("a call both waits and is rejected, or neither")
				}
				if place != nil {
					present[place] = true
				} else if rejection.RetryAfterMs <= 0 || rejection.RetryAfterMs > longestReturnMs {
					t.Fatalf("asked back after %d ms", rejection.RetryAfterMs)
				}
			case 2:
				told(queue.RecordCompletion(nowMs))
			case 3:
				if place := anyone(); place != nil {
					if queue.Requeue(nowMs, place) != nil {
						delete(present, place)
					}
				}
			case 4:
				if place := anyone(); place != nil {
					delete(present, place)
					told(queue.Leave(nowMs, place, rapid.Bool().Draw(t, "served")))
				}
			}
			if len(present) != queue.Len() {
				t.Fatalf("%d calls joined and did not leave, %d wait", len(present), queue.Len())
			}
			if !slices.IsSortedFunc(queue.places, func(a, b *Entry) int { return a.call.before(b.call) }) {
				t.Fatal("out of order")
			}
		}
	})
}

// TestRateOfNothingIsNoRate answers a back end that had no engine for a minute: the requests that
// ended before say nothing of now, and a call that comes then is not rejected for them.
func TestRateOfNothingIsNoRate(t *testing.T) {
	queue := NewQueue(DefaultSettings())
	nowMs := int64(0)
	for range 20 {
		nowMs += 50
		queue.RecordCompletion(nowMs)
	}
	nowMs += 60_000
	if _, rejection := queue.Join(nowMs, Call{ProgramInProgress: true, DueTimeMs: nowMs + 20_000, LatestStartMs: nowMs + 20_000}); rejection != nil {
		t.Fatalf("rejected: %+v", *rejection)
	}
	if _, rejection := queue.Join(nowMs, Call{DueTimeMs: nowMs, LatestStartMs: nowMs}); rejection == nil || rejection.RetryAfterMs <= 0 {
		t.Fatalf("a call whose time is over: %+v", rejection)
	}
}
