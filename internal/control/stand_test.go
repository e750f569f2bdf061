package control

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// encodingTransport encodes replies as the daemon does.
type encodingTransport struct {
	t testing.TB
	// onReply is called for each reply unless it is nil.
	onReply func(id RequestID)
}

func (e *encodingTransport) Send(string, protocol.Kind, any) {}

func (e *encodingTransport) Reply(id RequestID, reply any) {
	if _, err := protocol.Encode(reply); err != nil {
		e.t.Fatal(err)
	}
	if e.onReply != nil {
		e.onReply(id)
	}
}

// leadingCore returns the core of the only member of a cluster, once it leads.
func leadingCore(test testing.TB, transport *encodingTransport) *Core {
	store, err := storage.Open(test.TempDir())
	if err != nil {
		test.Fatal(err)
	}
	test.Cleanup(func() { _ = store.Close() })
	options := DefaultOptions("a:1", []Member{{Name: "a:1", Address: "a:1"}}, 0)
	options.Discovered = true
	options.MinVoters = 1
	options.Fleet = membership.FleetOptions{EngineTimeoutMs: engineTimeoutMs, GatewayTimeoutMs: gatewayTimeoutMs, GatewayRepollTimeoutMs: gatewayRepollTimeoutMs, GatewaySmallUpdateRepollTimeoutMs: gatewaySmallUpdateRepollTimeoutMs, LedgerTimeoutMs: ledgerTimeoutMs, LedgerRetentionMs: ledgerRetentionMs, InitialPlacementDelayMs: initialPlacementDelayMs}
	configuration := consensus.Configuration{Replicas: []consensus.Replica{{ID: store.Replica(), Member: "a:1"}}}
	if err := store.SetBootstrap(configuration); err != nil {
		test.Fatal(err)
	}
	core, err := NewCore(options, store, transport, 0)
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
