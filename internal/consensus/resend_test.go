package consensus

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAnswersThatComeTogether holds that heartbeat answers which arrive together, as
// they do when a cut heals, make a leader send what is missing once, not once for each.
// The court's trouble-2 killed a ledger host so: each answer made it encode a snapshot.
func TestAnswersThatComeTogether(t *testing.T) {
	leaderBehind := func(compacted bool) *Node {
		options := testOptions()
		options.ID = 1
		configuration := Configuration{Replicas: []Replica{{ID: 1}, {ID: 2}, {ID: 3}}}
		node := NewNode(options, PersistedState{Snapshot: Snapshot{Configuration: configuration}})
		node.campaignForReal()
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
		// Replica 3 is cut off for as long as an answer may take.
		for range options.HeartbeatTicks {
			node.Tick()
		}
		return node
	}
	burst := func(node *Node) (snapshots, appends int) {
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
	Convey("a snapshot is sent once", t, func() {
		node := leaderBehind(true)
		snapshots, _ := burst(node)
		So(snapshots, ShouldEqual, 1)
		Convey("and again when it has had its time", func() {
			for range snapshotTicks + 1 {
				node.Tick()
				node.Step(Message{Kind: MessageHeartbeatResponse, From: 2, To: 1, Term: node.Term()})
			}
			snapshots, _ := burst(node)
			So(snapshots, ShouldEqual, 1)
		})
	})
	Convey("entries are sent again once", t, func() {
		_, appends := burst(leaderBehind(false))
		So(appends, ShouldBeLessThanOrEqualTo, 2)
	})
}
