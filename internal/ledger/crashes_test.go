package ledger

import (
	"fmt"
	"slices"
	"testing"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

// lookUpCrashes sends a lookup to every running host, also to one that is partitioned and may still
// consider itself the leader. A record that is returned must hold all attempts that had been
// acknowledged before.
func (c *cluster) lookUpCrashes(key program.RequestKey, acknowledged []string) {
	for _, node := range c.nodes {
		if node.core == nil {
			continue
		}
		expected := slices.Clone(acknowledged)
		node.sendRequest(&protocol.TurnRequest{Group: 1, CrashesOf: &key}, func(reply *protocol.TurnReply) {
			if reply.Error != nil {
				return
			}
			for _, attempt := range expected {
				if reply.Crashes == nil || !slices.Contains(reply.Crashes.Attempts, attempt) {
					c.t.Errorf("%s: lookup returned %+v without attempt %s", node.host.Member, reply.Crashes, attempt)
				}
			}
		})
	}
}

// TestCrashRecordsUnderFaults guards against a request under which engines ended whose record is lost or
// returned in an older state while ledger hosts crash, are partitioned or lose their disks.
func TestCrashRecordsUnderFaults(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, seed, 4, 3)
		key := program.RequestKey{Scope: "p", Fingerprint: "f"}
		var acknowledged []string
		for step := range 12 {
			attempt := fmt.Sprint(step)
			if leader := c.leader(); leader != nil {
				crash := &program.Crash{Key: key, Attempts: []string{attempt}, RetentionMs: 3_600_000}
				leader.sendRequest(&protocol.TurnRequest{Group: 1, Crash: crash}, func(reply *protocol.TurnReply) {
					if reply.Error == nil {
						acknowledged = append(acknowledged, attempt)
					}
				})
			}
			c.run(int64(20 + c.random.IntN(200)))
			c.lookUpCrashes(key, acknowledged)
			if c.random.IntN(2) == 0 {
				continue
			}
			victim := c.nodes[c.random.IntN(len(c.nodes))]
			if leader := c.leader(); leader != nil && c.random.IntN(2) == 0 {
				victim = leader
			}
			c.strike(victim, func() { c.lookUpCrashes(key, acknowledged) })
			c.lookUpCrashes(key, acknowledged)
		}
		c.run(1000)
		if len(acknowledged) < 4 {
			t.Fatalf("seed %d: only %d crashes were recorded", seed, len(acknowledged))
		}
	}
}
