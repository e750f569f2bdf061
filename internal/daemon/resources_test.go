package daemon

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/listener"
)

// sharesByRole are the shares of the addresses of each role.
var sharesByRole = map[string][]ConnectionShare{
	"gateway": {CallersShare, ReadinessShare, MonitoringShare},
	"control": {OperatorsShare, DirectoryShare, MonitoringShare, PeersShare},
	"ledger":  {MonitoringShare, PeersShare},
}

// TestConnectionSharesProperty guards against addresses that together can use up the descriptors or the memory of a
// process, and against bounds that don't grow with the machine.
func TestConnectionSharesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		descriptors := rapid.IntRange(400, 1<<20).Draw(t, "descriptors")
		memoryBytes := rapid.Int64Range(64<<20, 64<<30).Draw(t, "memory")
		for role, shares := range sharesByRole {
			open, bounded := 0, int64(0)
			for _, share := range shares {
				connections := maxConnections(descriptors, memoryBytes, share)
				// A quarter more may be open while they are told that they are closed.
				open += connections + connections/4
				if share.MemoryDivisor > 0 {
					bounded += int64(connections) * listener.ConnectionMemoryBytes
				}
				if doubled := maxConnections(2*descriptors, 2*memoryBytes, share); doubled < 2*connections {
					t.Errorf("%s: %d connections, but %d on a machine of twice the size", role, connections, doubled)
				}
				if connections < 8 {
					t.Errorf("%s: %d connections", role, connections)
				}
			}
			if usable := descriptors - maxReservedDescriptors; open >= usable {
				t.Errorf("%s: %d connections of %d descriptors", role, open, usable)
			}
			if bounded > memoryBytes/2 {
				t.Errorf("%s: connections weigh %d bytes of %d", role, bounded, memoryBytes)
			}
		}
	})
}
