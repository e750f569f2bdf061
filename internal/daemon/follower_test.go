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

// TestFollowerAsksForLoads holds that loads, which are long, are not asked for with every
// heartbeat.
func TestFollowerAsksForLoads(t *testing.T) {
	Convey("a follower", t, func() {
		follower := NewFollower(nil, log.NewNopLogger())
		follower.FillReport = func(*protocol.FleetSync) {}
		Convey("that wants no loads never asks", func() {
			So(follower.request().WithLoads, ShouldBeFalse)
		})
		Convey("that wants them asks at first, and again once the last ones are old", func() {
			follower.OnEngineLoads = func([]scheduling.EngineLoad, []string) {}
			So(follower.request().WithLoads, ShouldBeTrue)
			follower.loadsAt = time.Now().Add(time.Hour)
			So(follower.request().WithLoads, ShouldBeFalse)
			follower.loadsAt = time.Now().Add(-loadsEvery)
			So(follower.request().WithLoads, ShouldBeTrue)
		})
	})
}

// TestFollowerLogsEachLeader holds that a log tells of each leader that was lost and of each
// that answers, however the process came to it.
func TestFollowerLogsEachLeader(t *testing.T) {
	Convey("a follower whose leader is lost", t, func() {
		var lines bytes.Buffer
		follower := NewFollower(nil, log.NewLogfmtLogger(&lines))
		follower.OnUpdate = func(*membership.FleetView, *routing.Table) {}
		count := func(message, leader string) int {
			return strings.Count(lines.String(), "msg=\"control leader "+message+"\" leader="+leader)
		}
		follower.take("a:1", &protocol.FleetSyncReply{IsConfirmed: true})
		follower.take("a:1", &protocol.FleetSyncReply{IsConfirmed: true})
		follower.failed("a:1", true)
		So(count("found", "a:1"), ShouldEqual, 1)
		So(count("lost", "a:1"), ShouldEqual, 1)
		Convey("finds the next by a hint", func() {
			So(follower.redirected(&protocol.FleetSyncReply{Error: result.New(result.NotLeader, "not the leader"), Leader: "b:1"}), ShouldBeTrue)
			follower.take("b:1", &protocol.FleetSyncReply{IsConfirmed: true})
			So(count("found", "b:1"), ShouldEqual, 1)
		})
		Convey("tells of no loss where a process named by a hint never answered", func() {
			follower.redirected(&protocol.FleetSyncReply{Error: result.New(result.NotLeader, "not the leader"), Leader: "b:1"})
			follower.failed("b:1", true)
			So(count("lost", "b:1"), ShouldEqual, 0)
			So(follower.target(), ShouldEqual, leaderUnknown)
		})
	})
}
