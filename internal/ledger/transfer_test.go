package ledger

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

// retainMany retains turns of about 2 KiB each without waiting for one another.
func (c *cluster) retainMany(names []string, retentionMs int64) {
	leader := c.leader()
	if leader == nil {
		return
	}
	for _, name := range names {
		leader.sendRequest(&protocol.TurnRequest{Group: 1, Settle: &program.Settle{
			Program: "p", Request: name, Retain: true, Content: []byte(strings.Repeat(name+" ", 2048/len(name))), RetentionMs: retentionMs,
		}}, func(*protocol.TurnReply) {})
	}
}

// TestTransferToAHostThatFreezes guards against turns whose contents are missing for good on a host that lost its disk
// and freezes while it receives the state of a group: a part of the snapshot that is sent again must hold what the copy
// holds that is acknowledged, although turns were retained and removed in between.
func TestTransferToAHostThatFreezes(t *testing.T) {
	missing := 0
	for seed := range uint64(40) {
		c := newCluster(t, seed, 3, 3)
		c.runUntil("a leader", func() bool { return c.leader() != nil })
		number := 0
		retain := func(count int, retentionMs int64) {
			var names []string
			for range count {
				number++
				// The names are in random order, so that later turns come between earlier ones.
				names = append(names, fmt.Sprintf("%08x-%d", c.random.Uint32(), number))
			}
			c.retainMany(names, retentionMs)
		}
		for range 10 {
			retain(15, 3_600_000)
			retain(15, int64(c.random.IntN(6000)))
			c.run(50)
		}
		var victim *node
		for _, node := range c.nodes {
			if node != c.leader() {
				victim = node
			}
		}
		victim.core = nil
		c.run(int64(c.random.IntN(1000)))
		victim.replaceDisk()
		victim.start()
		c.distributeView()
		c.run(int64(100 + c.random.IntN(400)))
		for range 1 + c.random.IntN(3) {
			victim.frozen = true
			for range 1 + c.random.IntN(60) {
				retain(c.random.IntN(5), int64(c.random.IntN(20_000)))
				c.run(100)
			}
			victim.thaw()
			c.run(int64(c.random.IntN(300)))
		}
		c.runUntil("the recovery", c.matchesPlacement)
		// A host that lags may have turns whose contents were removed before they were sent.
		c.runUntil("all hosts to catch up", func() bool {
			leader := c.leader()
			isBehind := func(n *node) bool {
				return leader == nil || n.core.host.FindGroup(1).Node.AppliedIndex() != leader.core.host.FindGroup(1).Node.AppliedIndex()
			}
			return !slices.ContainsFunc(c.nodes, isBehind)
		})
		for _, node := range c.nodes {
			group := node.core.host.FindGroup(1)
			for _, request := range node.core.StateMachine(1).turns.Requests() {
				if records, err := node.core.host.Records(group, request, 0); err != nil || len(records) != 1 {
					missing++
					if missing <= 5 {
						t.Errorf("seed %d: %s has turn %s without its content", seed, node.host.Member, request)
					}
				}
			}
		}
	}
	if missing > 0 {
		t.Errorf("%d contents are missing", missing)
	}
}
