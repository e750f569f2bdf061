package protocol

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
)

// TestShared checks that a shared part is received as it was sent, in every message.
func TestShared(t *testing.T) {
	Convey("a part that is encoded once is received in each message", t, func() {
		delta := NewShared(membership.FleetDelta{Version: 7, Removed: []string{"gone"}})
		for range 2 {
			body, err := Encode(&FleetSyncReply{Fleet: delta, Leader: "l"})
			So(err, ShouldBeNil)
			var reply FleetSyncReply
			So(Decode(body, &reply), ShouldBeNil)
			So(reply.Leader, ShouldEqual, "l")
			So(reply.Fleet.Value, ShouldResemble, delta.Value)
			So(reply.Routing, ShouldBeNil)
		}
	})
}
