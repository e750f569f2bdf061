package main

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/emulator"
)

// TestEmulatedFleet runs an emulated fleet of engines and gateways against real control processes.
func TestEmulatedFleet(t *testing.T) {
	Convey("engines register, and gateways receive the advertised engines and learn that one drains", t, func() {
		f := startPlatformFleet(t)
		var out bytes.Buffer
		fleet := &emulator.EmulatedFleet{
			ControlAddresses: f.operators, SeedAddresses: []string{f.addresses["control-0"], f.addresses["control-1"], f.addresses["control-2"]},
			EngineCount: 500, GatewayCount: 20, ZoneCount: 5, HeartbeatInterval: time.Second, SteadyDuration: time.Second,
			// A gateway is sent 12 engines of its own zone and 4 of each of the 4 other zones.
			EnginesPerGateway: 28,
			SendReport:        newEngineReporter(), Out: &out, Logger: log.NewNopLogger(),
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		So(fleet.Run(ctx), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "engines known to a gateway 28")
		So(out.String(), ShouldContainSubstring, "withdrawn everywhere")
		t.Log(out.String())
	})
}
