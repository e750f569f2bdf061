package replication

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/storage"
)

const (
	termsGroup             = storage.GroupID(0)
	termsProposalTimeoutMs = 5000
	// termsPeerB and termsPeerC are the other voters, which the test simulates.
	termsPeerB = consensus.ReplicaID(1)
	termsPeerC = consensus.ReplicaID(2)
)

// recordingStateMachine records the applied commands.
type recordingStateMachine struct{ applied []string }

func (m *recordingStateMachine) Apply(_ uint64, data []byte) (any, []storage.Record) {
	var command string
	if err := protocol.Decode(data, &command); err != nil {
		return result.New(result.Internal, "%v", err), nil
	}
	m.applied = append(m.applied, command)
	return command, nil
}

func (m *recordingStateMachine) Snapshot() ([]byte, error) { return nil, nil }
func (m *recordingStateMachine) Restore([]byte) error      { return nil }

// testVoter is a host whose peers are simulated by the test, message by message.
type testVoter struct {
	t            testing.TB
	host         *Host
	group        *Group
	stateMachine *recordingStateMachine
}

// emptyDisk stores nothing: these hosts never restart.
type emptyDisk struct{}

func (emptyDisk) Replica() consensus.ReplicaID { return 7 }

func (emptyDisk) Write([]storage.GroupWrite) error { return nil }

func (emptyDisk) Load(storage.GroupID) (consensus.PersistedState, error) {
	return consensus.PersistedState{}, nil
}

func (emptyDisk) Records(storage.GroupID, string, uint64) ([]storage.Record, error) { return nil, nil }

func (emptyDisk) RecordsAfter(storage.GroupID, storage.RecordKey, int) ([]storage.Record, bool, error) {
	return nil, false, nil
}

func newTestVoter(t testing.TB) *testVoter {
	options := Options{
		Name: "a", ElectionTicks: 10, HeartbeatTicks: 2, MaxAppendBytes: 1 << 16, MaxInflight: 8,
		ProposalTimeoutMs: termsProposalTimeoutMs, CompactAfterEntries: 1000,
	}
	v := &testVoter{t: t, stateMachine: &recordingStateMachine{}}
	v.host = NewHost(options, emptyDisk{}, func(string, []protocol.PeerMessage) {})
	configuration := consensus.Configuration{Replicas: []consensus.Replica{
		{ID: emptyDisk{}.Replica(), Member: "a"}, {ID: termsPeerB, Member: "b"}, {ID: termsPeerC, Member: "c"},
	}}
	group, err := v.host.AddGroup(termsGroup, v.stateMachine, configuration)
	if err != nil {
		t.Fatal(err)
	}
	v.group = group
	return v
}

func (v *testVoter) step(message consensus.Message) {
	message.To = v.group.Node.ID()
	v.host.Step(protocol.PeerBatch{From: "b", Messages: []protocol.PeerMessage{{Group: uint32(termsGroup), Message: message}}})
}

func (v *testVoter) processReady() {
	if err := v.host.ProcessReady(); err != nil {
		v.t.Fatal(err)
	}
}

// becomeLeader gets the voter elected in the next term without a tick, as a leader transfer does.
func (v *testVoter) becomeLeader() {
	v.step(consensus.Message{Kind: consensus.MessageTimeoutNow, From: termsPeerB, Term: v.group.Node.Term()})
	v.step(consensus.Message{Kind: consensus.MessageVoteResponse, From: termsPeerC, Term: v.group.Node.Term()})
	if !v.group.IsLeader() {
		v.t.Fatal("the voter is not the leader")
	}
}

// stepDown makes peer B the leader of the next term.
func (v *testVoter) stepDown() {
	v.step(consensus.Message{Kind: consensus.MessageHeartbeat, From: termsPeerB, Term: v.group.Node.Term() + 1})
	if v.group.IsLeader() {
		v.t.Fatal("the voter is still the leader")
	}
}

// overwriteAfter makes peer B, the leader, write an entry of its own at the index after the given
// one.
func (v *testVoter) overwriteAfter(after uint64) {
	v.step(consensus.Message{
		Kind: consensus.MessageAppend, From: termsPeerB, Term: v.group.Node.Term(), Index: after, LogTerm: v.group.Node.TermAt(after),
		Entries: []consensus.Entry{{Index: after + 1, Term: v.group.Node.Term(), Kind: consensus.EntryBarrier}},
	})
}

// confirmLog makes peer B acknowledge the whole log and a heartbeat of the latest round.
func (v *testVoter) confirmLog() {
	v.processReady()
	v.step(consensus.Message{Kind: consensus.MessageAppendResponse, From: termsPeerB, Term: v.group.Node.Term(), Index: v.group.Node.LastIndex()})
	v.processReady()
	const anyRound = 1 << 40
	v.step(consensus.Message{Kind: consensus.MessageHeartbeatResponse, From: termsPeerB, Term: v.group.Node.Term(), Context: anyRound})
	v.processReady()
}

func (v *testVoter) propose(command string, onReply func(reply any)) {
	if err := v.host.Propose(v.group, command, onReply); err != nil {
		v.t.Fatal(err)
	}
}

// TestReadsOfAnEarlierTerm checks that an unconfirmed read fails when its term ends, also if the
// leader was frozen, lost the leadership and regained it by a transfer before it checked its
// timers.
func TestReadsOfAnEarlierTerm(t *testing.T) {
	for _, hasCommitted := range []bool{false, true} {
		Convey(fmt.Sprintf("a read fails when its term ends (leader had committed: %v)", hasCommitted), t, func() {
			voter := newTestVoter(t)
			voter.becomeLeader()
			if hasCommitted {
				voter.confirmLog()
			}
			var results []*result.Error
			voter.host.LinearizableRead(voter.group, func(failure *result.Error) { results = append(results, failure) })
			voter.processReady()
			So(results, ShouldBeEmpty)
			voter.stepDown()
			voter.becomeLeader()
			voter.processReady()
			So(results, ShouldHaveLength, 1)
			So(results[0].Code, ShouldEqual, result.NotLeader)
			Convey("the read is answered once", func() {
				voter.confirmLog()
				voter.host.NowMs += 2 * termsProposalTimeoutMs
				voter.host.ExpirePending()
				So(results, ShouldHaveLength, 1)
			})
			Convey("the next read of the new term is confirmed", func() {
				voter.host.LinearizableRead(voter.group, func(failure *result.Error) { results = append(results, failure) })
				voter.confirmLog()
				So(results, ShouldHaveLength, 2)
				So(results[1], ShouldBeNil)
			})
		})
	}
	Convey("a read that a quorum has confirmed succeeds although the leadership is lost before the ready state is processed", t, func() {
		voter := newTestVoter(t)
		voter.becomeLeader()
		voter.confirmLog()
		var results []*result.Error
		voter.host.LinearizableRead(voter.group, func(failure *result.Error) { results = append(results, failure) })
		voter.step(consensus.Message{Kind: consensus.MessageHeartbeatResponse, From: termsPeerB, Term: voter.group.Node.Term(), Context: 1 << 40})
		voter.stepDown()
		voter.processReady()
		So(results, ShouldResemble, []*result.Error{nil})
	})
}

// TestProposalsOfAnEarlierTerm checks that each proposal is answered, by the outcome of its entry
// or with an unknown outcome, if its leader lost and regained the leadership between two checks of
// its timers.
func TestProposalsOfAnEarlierTerm(t *testing.T) {
	Convey("a proposal whose entry is still in the log waits until the entry is applied", t, func() {
		voter := newTestVoter(t)
		voter.becomeLeader()
		voter.confirmLog()
		var replies []any
		voter.propose("first", func(reply any) { replies = append(replies, reply) })
		voter.stepDown()
		voter.becomeLeader()
		voter.processReady()
		So(replies, ShouldBeEmpty)
		voter.confirmLog()
		So(replies, ShouldResemble, []any{"first"})
	})
	Convey("a proposal whose entry was overwritten fails at once with an unknown outcome", t, func() {
		voter := newTestVoter(t)
		voter.becomeLeader()
		voter.confirmLog()
		var codes []result.Code
		recordCode := func(reply any) { codes = append(codes, reply.(*result.Error).Code) }
		before := voter.group.Node.LastIndex()
		voter.propose("first", recordCode)
		voter.propose("second", recordCode)
		voter.propose("third", recordCode)
		voter.stepDown()
		voter.overwriteAfter(before)
		voter.becomeLeader()
		voter.processReady()
		So(codes, ShouldResemble, []result.Code{result.NoQuorum, result.NoQuorum, result.NoQuorum})
	})
	Convey("a proposal whose index is taken by a proposal of the new term is still answered", t, func() {
		voter := newTestVoter(t)
		voter.becomeLeader()
		voter.confirmLog()
		var oldReplies, newReplies []any
		before := voter.group.Node.LastIndex()
		for range 4 {
			voter.propose("old", func(reply any) { oldReplies = append(oldReplies, reply) })
		}
		voter.stepDown()
		voter.overwriteAfter(before)
		voter.becomeLeader()
		for range 4 {
			voter.propose("new", func(reply any) { newReplies = append(newReplies, reply) })
		}
		voter.confirmLog()
		So(oldReplies, ShouldHaveLength, 4)
		So(newReplies, ShouldResemble, []any{"new", "new", "new", "new"})
		So(voter.stateMachine.applied, ShouldResemble, []string{"new", "new", "new", "new"})
	})
	Convey("a reply callback may propose again", t, func() {
		voter := newTestVoter(t)
		voter.becomeLeader()
		voter.confirmLog()
		before := voter.group.Node.LastIndex()
		reproposed := 0
		for range 3 {
			voter.propose("old", func(any) { voter.propose("again", func(any) { reproposed++ }) })
		}
		voter.stepDown()
		voter.overwriteAfter(before)
		voter.becomeLeader()
		voter.processReady()
		voter.confirmLog()
		So(reproposed, ShouldEqual, 3)
	})
}

// TestEachPendingRequestIsAnsweredOnce checks that every pending read and proposal is answered
// exactly once, at the latest after its timeout, for any sequence of leaderships won and lost
// between checks of the timers.
func TestEachPendingRequestIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(run *rapid.T) {
		voter := newTestVoter(t)
		voter.becomeLeader()
		voter.confirmLog()
		issued, answered := 0, map[int]int{}
		newCallback := func() func() {
			issued++
			number := issued
			return func() { answered[number]++ }
		}
		steps := rapid.SliceOfN(rapid.IntRange(0, 7), 1, 40).Draw(run, "steps")
		for _, step := range steps {
			isLeader := voter.group.IsLeader()
			switch {
			case step == 0:
				done := newCallback()
				voter.host.LinearizableRead(voter.group, func(*result.Error) { done() })
			case step <= 3 && isLeader:
				done := newCallback()
				voter.propose("x", func(any) { done() })
			case step <= 5 && isLeader:
				voter.stepDown()
				if step == 5 && voter.group.Node.LastIndex() > voter.group.Node.CommitIndex() {
					voter.overwriteAfter(voter.group.Node.CommitIndex())
				}
			case step <= 5 && !isLeader:
				voter.becomeLeader()
			case step == 6 && isLeader:
				voter.confirmLog()
			case step == 7:
				voter.host.NowMs += 50
				voter.host.ExpirePending()
			}
		}
		voter.processReady()
		voter.host.NowMs += 2 * termsProposalTimeoutMs
		voter.host.ExpirePending()
		for number := 1; number <= issued; number++ {
			if answered[number] != 1 {
				run.Fatalf("of %d pending reads and proposals, number %d was answered %d times, want once", issued, number, answered[number])
			}
		}
	})
}
