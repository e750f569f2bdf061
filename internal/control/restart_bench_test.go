package control

import (
	"fmt"
	"testing"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/routing"
)

const (
	benchGateways = 259
	benchEngines  = 140
	benchRoutes   = 50
	// benchBatch is the number of requests that the core handles between two flushes.
	benchBatch = 16
)

// BenchmarkRestart measures the work of control's leader when all gateways come back at
// once: each requests the full state, then reports that it is ready.
func BenchmarkRestart(b *testing.B) {
	core := leadingCore(b, &encodingTransport{t: b})
	table := &routing.Table{Generation: 4, Backends: []routing.Backend{{Name: "b"}}, Limits: routing.Limits{MaxBodyBytes: 1}}
	for number := range benchRoutes {
		table.Routes = append(table.Routes, routing.Route{
			Name: fmt.Sprintf("r%d", number), Host: "h.example", PathPrefix: fmt.Sprintf("/p%d/", number), Kind: "stream", TimeoutMs: 3000,
			MaxAttempts: 1, Shares: []routing.BackendShare{{Backend: "b", Weight: 1}},
		})
	}
	now := core.nowMs
	id := RequestID(0)
	request := func(body any) {
		id++
		core.HandleRequest(id, body, now)
		if id%benchBatch == 0 {
			flush(b, core)
		}
	}
	request(&protocol.FleetRequest{Routing: table})
	for number := range benchEngines {
		request(&protocol.FleetRequest{Report: &membership.ServingEngine{ID: fmt.Sprintf("i-%010d", number), Backend: "b", Address: fmt.Sprintf("10.1.64.%d:8364", number), Zone: "zone", Slots: 6, Sequence: 1}})
	}
	flush(b, core)
	gateway := func(number int, ready bool) *membership.Gateway {
		return &membership.Gateway{Name: fmt.Sprintf("gateway-%d", number), Zone: "zone", Region: "r", Address: fmt.Sprintf("10.1.0.%d:1", number), IsReady: ready}
	}
	for b.Loop() {
		for number := range benchGateways {
			request(&protocol.FleetSync{Gateway: gateway(number, false), WithRouting: true, LongPollMs: 700, ConfirmNow: true})
		}
		flush(b, core)
		version := core.Fleet().Version()
		for number := range benchGateways {
			request(&protocol.FleetSync{Gateway: gateway(number, true), WithRouting: true, LongPollMs: 700, FleetVersion: version, RoutingGeneration: 4})
		}
		flush(b, core)
		now += 800
		core.Tick(now)
	}
}
