package sidecar

import (
	"bufio"
	"strings"
	"testing"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/settings"
)

func TestServicesBeforeSettings(t *testing.T) {
	Convey("a sidecar that has not received the settings has no list of services", t, func() {
		daemon := NewDaemon(config.Defaults(), log.NewNopLogger())
		daemon.core = NewCore(DefaultOptions("sidecar-1", "east", nil), daemon, 0)
		daemon.publish(^uint64(0))
		So(daemon.snapshot.Load().services, ShouldBeNil)
		Convey("and has the list after the settings are applied", func() {
			change := settings.Change{Operator: "o", Number: 1, Nodes: []settings.NodeChange{
				{Path: "/pools/p", Version: settings.AnyVersion, Fields: settings.Fields{Model: pointer("m")}},
				{Path: "/services/s", Version: settings.AnyVersion, Fields: settings.Fields{Pool: pointer("p")}},
			}}
			So(daemon.core.tree.Apply(change).Error, ShouldBeNil)
			daemon.publish(0)
			So(daemon.snapshot.Load().services, ShouldResemble, map[string]bool{"s": true})
		})
	})
}

func pointer(text string) *string { return &text }

// TestUnreadResponse guards against a stream that the sidecar cuts because its caller does not read it,
// and that is framed as complete.
func TestUnreadResponse(t *testing.T) {
	Convey("a stream without its final reply ends with an error, a whole one without", t, func() {
		logged := &strings.Builder{}
		daemon := NewDaemon(config.Defaults(), log.NewLogfmtLogger(logged))
		for _, isWhole := range []bool{false, true} {
			deliveries := make(chan delivery, 1)
			if isWhole {
				deliveries <- delivery{reply: &protocol.CallReply{Turn: 1}}
			}
			close(deliveries)
			var written strings.Builder
			err := daemon.writeStream(bufio.NewWriter(&written), 1, &protocol.CallRequest{Request: "r1"}, delivery{text: "a"}, deliveries)
			So(err == nil, ShouldEqual, isWhole)
			So(strings.HasSuffix(written.String(), "data: [DONE]\n\n"), ShouldEqual, isWhole)
		}
		So(logged.String(), ShouldContainSubstring, `msg="call ended" program= request=r1 turn=0 code=1308`)
	})
}
