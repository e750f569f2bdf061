package daemon

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPendingReplies checks that each reply is delivered to the callback of its request, once.
func TestPendingReplies(t *testing.T) {
	Convey("each callback receives its reply once, in any order", t, func() {
		var replies PendingReplies[uint64, string]
		var received []string
		register := func(name string) uint64 {
			return replies.Register(func(reply string) { received = append(received, name+" "+reply) })
		}
		first, second := register("first"), register("second")
		replies.Deliver(second, "2")
		replies.Deliver(first, "1")
		replies.Deliver(first, "again")
		replies.Deliver(99, "unknown request")
		So(received, ShouldResemble, []string{"second 2", "first 1"})
	})
}
