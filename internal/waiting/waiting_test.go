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
		queue := NewQueue(Settings{LeastChance: rapid.Float64Range(0, 1).Draw(t, "least")})
		nowMs := int64(0)
		present := map[*Place]bool{}
		told := func(place *Place) {
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
		anyone := func() *Place {
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
					Rank: rapid.IntRange(0, 9).Draw(t, "rank"), Begun: rapid.Bool().Draw(t, "begun"), AboveShare: rapid.Bool().Draw(t, "above"),
					DueMs: nowMs + rapid.Int64Range(0, 3000).Draw(t, "due"), LatestMs: nowMs + rapid.Int64Range(-10, 3000).Draw(t, "latest"),
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
				told(queue.Ended(nowMs))
			case 3:
				if place := anyone(); place != nil {
					if queue.Again(nowMs, place) != nil {
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
			if !slices.IsSortedFunc(queue.places, func(a, b *Place) int { return a.call.before(b.call) }) {
				t.Fatal("out of order")
			}
		}
	})
}
