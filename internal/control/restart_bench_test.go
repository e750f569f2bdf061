package control

import (
	"fmt"
	"testing"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/storage"
)

const (
	benchGateways = 259
	benchEngines  = 140
	benchRoutes   = 50
	// benchBatch is how many requests the loop takes between two flushes.
	benchBatch = 16
)

// encodingOutlet encodes replies as the shell does.
type encodingOutlet struct{ b *testing.B }

func (o encodingOutlet) Send(string, protocol.Kind, any) {}

func (o encodingOutlet) Reply(_ RequestID, reply any) {
	if _, err := protocol.Encode(reply); err != nil {
		o.b.Fatal(err)
	}
}

// leadingCore returns the core of a cluster of one that leads.
func leadingCore(b *testing.B) *Core {
	store, err := storage.Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = store.Close() })
	options := DefaultOptions("a:1", []Member{{Name: "a:1", Address: "a:1"}}, 0)
	options.Discovered = true
	options.MinVoters = 1
	options.Fleet = membership.FleetOptions{EngineSilentMs: engineSilentMs, GatewaySilentMs: gatewaySilentMs, GatewayReturnMs: gatewayReturnMs, LedgerSilentMs: ledgerSilentMs, LedgerForgottenMs: ledgerForgottenMs, FormationMs: formationMs}
	configuration := consensus.Configuration{Replicas: []consensus.Replica{{ID: store.Replica(), Member: "a:1"}}}
	if err := store.SetBootstrap(configuration); err != nil {
		b.Fatal(err)
	}
	core, err := NewCore(options, store, encodingOutlet{b}, 0)
	if err != nil {
		b.Fatal(err)
	}
	for nowMs := int64(0); core.fleetTracker == nil; nowMs += options.TickMs {
		core.Tick(nowMs)
		benchFlush(b, core)
	}
	return core
}

func benchFlush(b *testing.B, core *Core) {
	if err := core.Flush(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRestart is what control's leader does when all gateways come back at once:
// each asks for everything, then says that it takes requests.
func BenchmarkRestart(b *testing.B) {
	core := leadingCore(b)
	table := &routing.Table{Generation: 4, Backends: []routing.Backend{{Name: "b"}}, Limits: routing.Limits{MaxBodyBytes: 1}}
	for number := range benchRoutes {
		table.Routes = append(table.Routes, routing.Route{
			Name: fmt.Sprintf("r%d", number), Host: "h.example", PathPrefix: fmt.Sprintf("/p%d/", number), Kind: "stream", TimeoutMs: 3000,
			MaxAttempts: 1, Shares: []routing.Share{{Backend: "b", Weight: 1}},
		})
	}
	now := core.nowMs
	id := RequestID(0)
	request := func(body any) {
		id++
		core.Request(id, body, now)
		if id%benchBatch == 0 {
			benchFlush(b, core)
		}
	}
	request(&protocol.FleetOrder{Routing: table})
	for number := range benchEngines {
		request(&protocol.FleetOrder{Report: &membership.ServingEngine{ID: fmt.Sprintf("i-%010d", number), Backend: "b", Address: fmt.Sprintf("10.1.64.%d:8364", number), Zone: "zone", Slots: 6, Sequence: 1}})
	}
	benchFlush(b, core)
	gateway := func(number int, ready bool) *membership.Gateway {
		return &membership.Gateway{Name: fmt.Sprintf("gateway-%d", number), Zone: "zone", Region: "r", Address: fmt.Sprintf("10.1.0.%d:1", number), Ready: ready}
	}
	for b.Loop() {
		for number := range benchGateways {
			request(&protocol.FleetSync{Gateway: gateway(number, false), WithRouting: true, HoldMs: 700, Fresh: true})
		}
		benchFlush(b, core)
		version := core.Fleet().Version()
		for number := range benchGateways {
			request(&protocol.FleetSync{Gateway: gateway(number, true), WithRouting: true, HoldMs: 700, Version: version, Generation: 4})
		}
		benchFlush(b, core)
		now += 800
		core.Tick(now)
	}
}
