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
	termsGroup          = storage.GroupID(0)
	termsProposalWaitMs = 5000
	// termsPeerB and termsPeerC are the other voters, which the test plays.
	termsPeerB = consensus.ReplicaID(1)
	termsPeerC = consensus.ReplicaID(2)
)

// countingMachine remembers the commands that it applied.
type countingMachine struct{ applied []string }

func (m *countingMachine) Apply(_ uint64, data []byte) (any, []storage.Record) {
	var command string
	if err := protocol.Decode(data, &command); err != nil {
		return result.New(result.Internal, "%v", err), nil
	}
	m.applied = append(m.applied, command)
	return command, nil
}

func (m *countingMachine) Snapshot() ([]byte, error) { return nil, nil }
func (m *countingMachine) Restore([]byte) error      { return nil }

// loneVoter is a host whose peers are played by the test, message by message.
type loneVoter struct {
	t       testing.TB
	host    *Host
	group   *Group
	machine *countingMachine
}

// emptyDisk remembers nothing: these hosts never restart.
type emptyDisk struct{}

func (emptyDisk) Replica() consensus.ReplicaID { return 7 }

func (emptyDisk) Write([]storage.GroupWrite) error { return nil }

func (emptyDisk) Load(storage.GroupID) (consensus.Restored, error) { return consensus.Restored{}, nil }

func (emptyDisk) Records(storage.GroupID, string, uint64) ([]storage.Record, error) { return nil, nil }

func (emptyDisk) RecordsAfter(storage.GroupID, storage.RecordKey, int) ([]storage.Record, bool, error) {
	return nil, false, nil
}

func newLoneVoter(t testing.TB) *loneVoter {
	options := Options{
		Name: "a", ElectionTicks: 10, HeartbeatTicks: 2, MaxAppendBytes: 1 << 16, MaxInflight: 8,
		ProposalTimeoutMs: termsProposalWaitMs, CompactAfterEntries: 1000,
	}
	v := &loneVoter{t: t, machine: &countingMachine{}}
	v.host = NewHost(options, emptyDisk{}, func(string, []protocol.PeerMessage) {})
	configuration := consensus.Configuration{Replicas: []consensus.Replica{
		{ID: emptyDisk{}.Replica(), Member: "a"}, {ID: termsPeerB, Member: "b"}, {ID: termsPeerC, Member: "c"},
	}}
	group, err := v.host.AddGroup(termsGroup, v.machine, configuration)
	if err != nil {
		t.Fatal(err)
	}
	v.group = group
	return v
}

func (v *loneVoter) step(message consensus.Message) {
	message.To = v.group.Node.ID()
	v.host.Step(protocol.PeerBatch{From: "b", Messages: []protocol.PeerMessage{{Group: uint32(termsGroup), Message: message}}})
}

func (v *loneVoter) flush() {
	if err := v.host.ProcessReady(); err != nil {
		v.t.Fatal(err)
	}
}

// lead has the voter elected in the next term, as a hand-over does it: without a tick.
func (v *loneVoter) lead() {
	v.step(consensus.Message{Kind: consensus.MessageTimeoutNow, From: termsPeerB, Term: v.group.Node.Term()})
	v.step(consensus.Message{Kind: consensus.MessageVoteResponse, From: termsPeerC, Term: v.group.Node.Term()})
	if !v.group.IsLeader() {
		v.t.Fatal("the voter does not lead")
	}
}

// loseLead has peer B lead the next term.
func (v *loneVoter) loseLead() {
	v.step(consensus.Message{Kind: consensus.MessageHeartbeat, From: termsPeerB, Term: v.group.Node.Term() + 1})
	if v.group.IsLeader() {
		v.t.Fatal("the voter still leads")
	}
}

// overwrite has peer B, which leads, put an entry of its own after an index.
func (v *loneVoter) overwrite(after uint64) {
	v.step(consensus.Message{
		Kind: consensus.MessageAppend, From: termsPeerB, Term: v.group.Node.Term(), Index: after, LogTerm: v.group.Node.TermAt(after),
		Entries: []consensus.Entry{{Index: after + 1, Term: v.group.Node.Term(), Kind: consensus.EntryBarrier}},
	})
}

// confirm has peer B hold the whole log and answer a heartbeat of the latest round.
func (v *loneVoter) confirm() {
	v.flush()
	v.step(consensus.Message{Kind: consensus.MessageAppendResponse, From: termsPeerB, Term: v.group.Node.Term(), Index: v.group.Node.LastIndex()})
	v.flush()
	const anyRound = 1 << 40
	v.step(consensus.Message{Kind: consensus.MessageHeartbeatResponse, From: termsPeerB, Term: v.group.Node.Term(), Context: anyRound})
	v.flush()
}

func (v *loneVoter) propose(command string, answer func(reply any)) {
	if failure := v.host.Propose(v.group, command, answer); failure != nil {
		v.t.Fatal(failure)
	}
}

// TestReadsOfAnEarlierTerm answers a leader that is frozen, loses the lead and has it handed
// back before it looks at its timers.
func TestReadsOfAnEarlierTerm(t *testing.T) {
	for _, begun := range []bool{false, true} {
		Convey(fmt.Sprintf("a read ends with its term; the leader had committed: %v", begun), t, func() {
			voter := newLoneVoter(t)
			voter.lead()
			if begun {
				voter.confirm()
			}
			var answers []*result.Error
			voter.host.LinearizableRead(voter.group, func(failure *result.Error) { answers = append(answers, failure) })
			voter.flush()
			So(answers, ShouldBeEmpty)
			voter.loseLead()
			voter.lead()
			voter.flush()
			So(answers, ShouldHaveLength, 1)
			So(answers[0].Code, ShouldEqual, result.NotLeader)
			Convey("and is answered once", func() {
				voter.confirm()
				voter.host.NowMs += 2 * termsProposalWaitMs
				voter.host.ExpirePending()
				So(answers, ShouldHaveLength, 1)
			})
			Convey("and the next one of the new term is confirmed", func() {
				voter.host.LinearizableRead(voter.group, func(failure *result.Error) { answers = append(answers, failure) })
				voter.confirm()
				So(answers, ShouldHaveLength, 2)
				So(answers[1], ShouldBeNil)
			})
		})
	}
	Convey("a read that a quorum has confirmed is answered though the lead is lost before the flush", t, func() {
		voter := newLoneVoter(t)
		voter.lead()
		voter.confirm()
		var answers []*result.Error
		voter.host.LinearizableRead(voter.group, func(failure *result.Error) { answers = append(answers, failure) })
		voter.step(consensus.Message{Kind: consensus.MessageHeartbeatResponse, From: termsPeerB, Term: voter.group.Node.Term(), Context: 1 << 40})
		voter.loseLead()
		voter.flush()
		So(answers, ShouldResemble, []*result.Error{nil})
	})
}

// TestProposalsOfAnEarlierTerm holds what becomes of a proposal whose leader lost the lead
// and regained it between two looks.
func TestProposalsOfAnEarlierTerm(t *testing.T) {
	Convey("one whose entry is still in the log waits for it", t, func() {
		voter := newLoneVoter(t)
		voter.lead()
		voter.confirm()
		var replies []any
		voter.propose("first", func(reply any) { replies = append(replies, reply) })
		voter.loseLead()
		voter.lead()
		voter.flush()
		So(replies, ShouldBeEmpty)
		voter.confirm()
		So(replies, ShouldResemble, []any{"first"})
	})
	Convey("one whose entry the log has lost ends at once, its outcome unknown", t, func() {
		voter := newLoneVoter(t)
		voter.lead()
		voter.confirm()
		var codes []result.Code
		note := func(reply any) { codes = append(codes, reply.(*result.Error).Code) }
		before := voter.group.Node.LastIndex()
		voter.propose("first", note)
		voter.propose("second", note)
		voter.propose("third", note)
		voter.loseLead()
		voter.overwrite(before)
		voter.lead()
		voter.flush()
		So(codes, ShouldResemble, []result.Code{result.NoQuorum, result.NoQuorum, result.NoQuorum})
	})
	Convey("one whose place a proposal of the new term takes is answered all the same", t, func() {
		voter := newLoneVoter(t)
		voter.lead()
		voter.confirm()
		var old, taken []any
		before := voter.group.Node.LastIndex()
		for range 4 {
			voter.propose("old", func(reply any) { old = append(old, reply) })
		}
		voter.loseLead()
		voter.overwrite(before)
		voter.lead()
		for range 4 {
			voter.propose("new", func(reply any) { taken = append(taken, reply) })
		}
		voter.confirm()
		So(old, ShouldHaveLength, 4)
		So(taken, ShouldResemble, []any{"new", "new", "new", "new"})
		So(voter.machine.applied, ShouldResemble, []string{"new", "new", "new", "new"})
	})
	Convey("an answer may propose again", t, func() {
		voter := newLoneVoter(t)
		voter.lead()
		voter.confirm()
		before := voter.group.Node.LastIndex()
		again := 0
		for range 3 {
			voter.propose("old", func(any) { voter.propose("again", func(any) { again++ }) })
		}
		voter.loseLead()
		voter.overwrite(before)
		voter.lead()
		voter.flush()
		voter.confirm()
		So(again, ShouldEqual, 3)
	})
}

// TestEachWaitingIsAnsweredOnce plays leads won and lost in any order between looks: whatever
// waits is answered exactly once, at the latest when its time is up.
func TestEachWaitingIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(run *rapid.T) {
		voter := newLoneVoter(t)
		voter.lead()
		voter.confirm()
		asked, answered := 0, map[int]int{}
		next := func() func() {
			asked++
			number := asked
			return func() { answered[number]++ }
		}
		steps := rapid.SliceOfN(rapid.IntRange(0, 7), 1, 40).Draw(run, "steps")
		for _, step := range steps {
			leads := voter.group.IsLeader()
			switch {
			case step == 0:
				done := next()
				voter.host.LinearizableRead(voter.group, func(*result.Error) { done() })
			case step <= 3 && leads:
				done := next()
				voter.propose("x", func(any) { done() })
			case step <= 5 && leads:
				voter.loseLead()
				if step == 5 && voter.group.Node.LastIndex() > voter.group.Node.Commit() {
					voter.overwrite(voter.group.Node.Commit())
				}
			case step <= 5 && !leads:
				voter.lead()
			case step == 6 && leads:
				voter.confirm()
			case step == 7:
				voter.host.NowMs += 50
				voter.host.ExpirePending()
			}
		}
		voter.flush()
		voter.host.NowMs += 2 * termsProposalWaitMs
		voter.host.ExpirePending()
		for number := 1; number <= asked; number++ {
			if answered[number] != 1 {
				run.Fatalf("of %d that waited number %d was answered %d times", asked, number, answered[number])
			}
		}
	})
}
