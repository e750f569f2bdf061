package consensus

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBurstOfHeartbeatResponses checks that heartbeat responses that arrive together, as after a network
// partition, do not make the leader retransmit entries or a snapshot for each response. Without this
// limit a ledger host exceeded its memory and was killed, because it encoded a snapshot for each
// response.
func TestBurstOfHeartbeatResponses(t *testing.T) {
	newLeaderWithLaggingFollower := func(compacted bool) *Node {
		options := testOptions()
		options.ID = 1
		configuration := Configuration{Replicas: []Replica{{ID: 1}, {ID: 2}, {ID: 3}}}
		node := NewNode(options, PersistedState{Snapshot: Snapshot{Configuration: configuration}})
		node.startElection()
		node.Step(Message{Kind: MessageVoteResponse, From: 2, To: 1, Term: node.Term()})
		for range 50 {
			_, _, _ = node.Propose([]byte("x"))
		}
		node.Advance(node.Ready())
		node.Step(Message{Kind: MessageAppendResponse, From: 2, To: 1, Term: node.Term(), Index: node.LastIndex()})
		node.Advance(node.Ready())
		if compacted {
			node.Compact(node.AppliedIndex())
		}
		// Replica 3 does not respond for as long as an acknowledgement may take.
		for range options.HeartbeatTicks {
			node.Tick()
		}
		return node
	}
	sendResponseBurst := func(node *Node) (snapshots, appends int) {
		for range 40 {
			node.Step(Message{Kind: MessageHeartbeatResponse, From: 3, To: 1, Term: node.Term()})
			ready := node.Ready()
			for _, to := range ready.SnapshotTargets {
				snapshots++
				node.SendSnapshot(to, Snapshot{Index: node.AppliedIndex(), Term: node.Term(), Configuration: node.Configuration()})
			}
			for _, message := range ready.Messages {
				if message.Kind == MessageAppend && message.To == 3 {
					appends++
				}
			}
			node.Advance(ready)
		}
		return snapshots, appends
	}
	Convey("a burst of responses causes one snapshot", t, func() {
		node := newLeaderWithLaggingFollower(true)
		snapshots, _ := sendResponseBurst(node)
		So(snapshots, ShouldEqual, 1)
		Convey("and another one after the snapshot timeout", func() {
			for range snapshotTimeoutTicks + 1 {
				node.Tick()
				node.Step(Message{Kind: MessageHeartbeatResponse, From: 2, To: 1, Term: node.Term()})
			}
			snapshots, _ := sendResponseBurst(node)
			So(snapshots, ShouldEqual, 1)
		})
	})
	Convey("a burst of responses causes at most two append messages", t, func() {
		_, appends := sendResponseBurst(newLeaderWithLaggingFollower(false))
		So(appends, ShouldBeLessThanOrEqualTo, 2)
	})
}
