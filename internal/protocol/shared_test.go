package protocol

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
)

// TestShared holds that a shared part arrives as it was sent, in every message.
func TestShared(t *testing.T) {
	Convey("a part that is encoded once arrives in each message", t, func() {
		news := NewShared(membership.FleetDelta{Version: 7, Removed: []string{"gone"}})
		for range 2 {
			body, err := Encode(&FleetSyncReply{Fleet: news, Leader: "l"})
			So(err, ShouldBeNil)
			var reply FleetSyncReply
			So(Decode(body, &reply), ShouldBeNil)
			So(reply.Leader, ShouldEqual, "l")
			So(reply.Fleet.Value, ShouldResemble, news.Value)
			So(reply.Routing, ShouldBeNil)
		}
	})
}
