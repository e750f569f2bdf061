package daemon

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// TestFollowerRequestsLoads checks that engine loads, which are large, are not requested with
// every heartbeat.
func TestFollowerRequestsLoads(t *testing.T) {
	Convey("a follower", t, func() {
		follower := NewFollower(nil, log.NewNopLogger())
		follower.FillReport = func(*protocol.FleetSync) {}
		Convey("without a callback for loads never requests them", func() {
			So(follower.newRequest().WithLoads, ShouldBeFalse)
		})
		Convey("with a callback requests loads at first, and again when the latest ones are old", func() {
			follower.OnEngineLoads = func([]scheduling.EngineLoad, []string) {}
			So(follower.newRequest().WithLoads, ShouldBeTrue)
			follower.engineLoadsReceivedAt = time.Now().Add(time.Hour)
			So(follower.newRequest().WithLoads, ShouldBeFalse)
			follower.engineLoadsReceivedAt = time.Now().Add(-engineLoadsInterval)
			So(follower.newRequest().WithLoads, ShouldBeTrue)
		})
	})
}

// TestFollowerLogsEachLeader checks that every loss of the leader and every new leader is logged,
// also if the new leader was discovered through a redirect.
func TestFollowerLogsEachLeader(t *testing.T) {
	Convey("a follower whose leader is lost", t, func() {
		var lines bytes.Buffer
		follower := NewFollower(nil, log.NewLogfmtLogger(&lines))
		follower.OnUpdate = func(*membership.FleetView, *routing.Table) {}
		count := func(message, leader string) int {
			return strings.Count(lines.String(), "msg=\"control leader "+message+"\" leader="+leader)
		}
		follower.applyReply("a:1", &protocol.FleetSyncReply{IsConfirmed: true})
		follower.applyReply("a:1", &protocol.FleetSyncReply{IsConfirmed: true})
		follower.recordFailure("a:1", true)
		So(count("found", "a:1"), ShouldEqual, 1)
		So(count("lost", "a:1"), ShouldEqual, 1)
		Convey("logs the next leader found through a redirect", func() {
			So(follower.followRedirect(&protocol.FleetSyncReply{Error: result.New(result.NotLeader, "not the leader"), Leader: "b:1"}), ShouldBeTrue)
			follower.applyReply("b:1", &protocol.FleetSyncReply{IsConfirmed: true})
			So(count("found", "b:1"), ShouldEqual, 1)
		})
		Convey("logs no loss of a process that was named by a redirect and never replied", func() {
			follower.followRedirect(&protocol.FleetSyncReply{Error: result.New(result.NotLeader, "not the leader"), Leader: "b:1"})
			follower.recordFailure("b:1", true)
			So(count("lost", "b:1"), ShouldEqual, 0)
			So(follower.nextTarget(), ShouldEqual, leaderUnknown)
		})
	})
}
