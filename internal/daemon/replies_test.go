package daemon

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestReplies holds that each answer goes to the request it answers, once.
func TestReplies(t *testing.T) {
	Convey("answers go to who asked, once, in any order", t, func() {
		var replies PendingReplies[uint64, string]
		var heard []string
		expect := func(name string) uint64 {
			return replies.Register(func(answer string) { heard = append(heard, name+" "+answer) })
		}
		first, second := expect("first"), expect("second")
		replies.Deliver(second, "2")
		replies.Deliver(first, "1")
		replies.Deliver(first, "again")
		replies.Deliver(99, "nobody's")
		So(heard, ShouldResemble, []string{"second 2", "first 1"})
	})
}
