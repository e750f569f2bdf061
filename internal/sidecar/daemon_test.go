package sidecar

import (
	"testing"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/config"
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
