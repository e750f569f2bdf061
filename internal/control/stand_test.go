package control

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// encodingOutlet encodes replies as the shell does.
type encodingOutlet struct {
	test testing.TB
	// onReply is told of each reply; nil where nobody asks.
	onReply func(id RequestID)
}

func (o *encodingOutlet) Send(string, protocol.Kind, any) {}

func (o *encodingOutlet) Reply(id RequestID, reply any) {
	if _, err := protocol.Encode(reply); err != nil {
		o.test.Fatal(err)
	}
	if o.onReply != nil {
		o.onReply(id)
	}
}

// leadingCore returns the core of a cluster of one that leads.
func leadingCore(test testing.TB, outlet *encodingOutlet) *Core {
	store, err := storage.Open(test.TempDir())
	if err != nil {
		test.Fatal(err)
	}
	test.Cleanup(func() { _ = store.Close() })
	options := DefaultOptions("a:1", []Member{{Name: "a:1", Address: "a:1"}}, 0)
	options.Discovered = true
	options.MinVoters = 1
	options.Fleet = membership.FleetOptions{EngineTimeoutMs: engineSilentMs, GatewayTimeoutMs: gatewaySilentMs, GatewayRepollTimeoutMs: gatewayReturnMs, GatewaySmallDeltaRepollTimeoutMs: gatewayLightReturnMs, LedgerTimeoutMs: ledgerSilentMs, LedgerRetentionMs: ledgerForgottenMs, InitialPlacementDelayMs: formationMs}
	configuration := consensus.Configuration{Replicas: []consensus.Replica{{ID: store.Replica(), Member: "a:1"}}}
	if err := store.SetBootstrap(configuration); err != nil {
		test.Fatal(err)
	}
	core, err := NewCore(options, store, outlet, 0)
	if err != nil {
		test.Fatal(err)
	}
	for nowMs := int64(0); core.fleetTracker == nil; nowMs += options.TickMs {
		core.Tick(nowMs)
		flush(test, core)
	}
	return core
}

func flush(test testing.TB, core *Core) {
	if err := core.Flush(); err != nil {
		test.Fatal(err)
	}
}
