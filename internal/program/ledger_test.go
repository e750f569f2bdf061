package program

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/result"
)

// harness applies commands and records their effects for the checks of a test.
type harness struct {
	ledger       *Ledger
	index        uint64
	records      map[string][]TurnRecord
	grantCounts  map[string]int
	notRunCounts map[string]int
}

func newHarness() *harness {
	return &harness{ledger: NewLedger(), records: map[string][]TurnRecord{}, grantCounts: map[string]int{}, notRunCounts: map[string]int{}}
}

func (h *harness) apply(command Command) Reply {
	h.index++
	command.NowMs = int64(h.index) * 10
	reply, effects := h.ledger.Apply(h.index, command)
	if effects.Write != nil {
		h.records[effects.Program] = append(h.records[effects.Program], *effects.Write)
	}
	return reply
}

func testLimits() Limits {
	return Limits{BudgetTokens: 100, MaxTurns: 8, WallTimeMs: 1 << 40, IdleTimeoutMs: 1 << 40}
}

func newBegin(program, request, content string) *Begin {
	return &Begin{
		Program: program, Tenant: "t", Service: "s", Request: request, Create: true, Limits: testLimits(),
		Digest: ContentDigest("s", "", []Message{{Role: "user", Content: content}}), NewTokens: 2, MaxTokens: 10, Scheduler: "a",
	}
}

func newCommit(program string, fence uint64, content string) *Commit {
	return &Commit{
		Program: program, Fence: fence, Messages: []Message{{Role: "user", Content: content}},
		Answer: Message{Role: "assistant", Content: "re " + content}, NewTokens: 2, Usage: Usage{CompletionTokens: 5},
	}
}

func TestLedger(t *testing.T) {
	Convey("a request is answered once, and the same request id returns the recorded turn", t, func() {
		h := newHarness()
		first := h.apply(Command{Begin: newBegin("p", "r1", "x")})
		So(first.Error, ShouldBeNil)
		So(h.apply(Command{Begin: newBegin("p", "r2", "y")}).Error.Code, ShouldEqual, result.TurnOpen)
		So(h.apply(Command{Commit: newCommit("p", first.Fence, "x")}).Error, ShouldBeNil)
		So(h.apply(Command{Begin: newBegin("p", "r1", "x")}).ClosedTurn, ShouldEqual, first.Turn)
		So(h.apply(Command{Begin: newBegin("p", "r1", "other")}).Error.Code, ShouldEqual, result.RequestConflict)
		So(h.apply(Command{Commit: newCommit("p", first.Fence, "x")}).Turn, ShouldEqual, first.Turn)
		So(len(h.records["p"]), ShouldEqual, 1)
		So(h.apply(Command{Commit: newCommit("p", first.Fence+1, "x")}).Error.Code, ShouldEqual, result.StaleFence)
	})
	Convey("a Begin that is proposed again after a lost reply receives the same grant", t, func() {
		h := newHarness()
		begin := newBegin("p", "r1", "x")
		begin.Nonce = 9
		first := h.apply(Command{Begin: begin})
		So(h.apply(Command{Begin: begin}), ShouldResemble, first)
	})
	Convey("a lost attempt is charged in full, and its late commit is rejected", t, func() {
		h := newHarness()
		first := h.apply(Command{Begin: newBegin("p", "r1", "x")})
		retry := newBegin("p", "r1", "x")
		retry.TakeOver = true
		second := h.apply(Command{Begin: retry})
		So(second.Error, ShouldBeNil)
		So(second.RemainingTokens, ShouldEqual, 100-12-12)
		So(h.apply(Command{Commit: newCommit("p", first.Fence, "x")}).Error.Code, ShouldEqual, result.StaleFence)
		So(h.apply(Command{Commit: newCommit("p", second.Fence, "x")}).RemainingTokens, ShouldEqual, 100-12-7)
	})
	Convey("a call that is not repeatable is never granted twice", t, func() {
		h := newHarness()
		once := newBegin("p", "r1", "x")
		once.AtMostOnce = true
		So(h.apply(Command{Begin: once}).Error, ShouldBeNil)
		retry := *once
		retry.TakeOver = true
		So(h.apply(Command{Begin: &retry}).Error.Code, ShouldEqual, result.OutcomeUnknown)
		So(h.apply(Command{Begin: &retry}).ClosedTurn, ShouldEqual, 1)
		So(h.records["p"][0].Code, ShouldEqual, result.OutcomeUnknown)
	})
	Convey("a full history is checked against the ledger's", t, func() {
		h := newHarness()
		first := h.apply(Command{Begin: newBegin("p", "r1", "x")})
		h.apply(Command{Commit: newCommit("p", first.Fence, "x")})
		sent := []Message{{Role: "user", Content: "x"}, {Role: "assistant", Content: "re x"}, {Role: "user", Content: "y"}}
		begin := newBegin("p", "r2", "y")
		begin.PrefixDigests = PrefixDigests(sent)
		reply := h.apply(Command{Begin: begin})
		So(reply.Error, ShouldBeNil)
		So(reply.SkipMessages, ShouldEqual, 2)
		h.apply(Command{Abort: &Abort{Program: "p", Fence: reply.Fence, NotRun: true}})
		sent[1].Content = "something else"
		begin.PrefixDigests = PrefixDigests(sent)
		So(h.apply(Command{Begin: begin}).Error.Code, ShouldEqual, result.HistoryMismatch)
	})
	Convey("the history of a forked thread contains its parent's history up to the fork and nothing later", t, func() {
		h := newHarness()
		first := h.apply(Command{Begin: newBegin("p", "r1", "x")})
		h.apply(Command{Commit: newCommit("p", first.Fence, "x")})
		child := newBegin("p", "r2", "child")
		child.Thread = "child"
		forked := h.apply(Command{Begin: child})
		h.apply(Command{Commit: newCommit("p", forked.Fence, "child")})
		second := h.apply(Command{Begin: newBegin("p", "r3", "main")})
		h.apply(Command{Commit: newCommit("p", second.Fence, "main")})
		header, _ := h.ledger.Get("p")
		lineage, _ := header.Lineage("child")
		So(len(Conversation(lineage, h.records["p"])), ShouldEqual, 4)
		lineage, _ = header.Lineage("")
		conversation := Conversation(lineage, h.records["p"])
		So(conversation[2].Content, ShouldEqual, "main")
		So(ChainDigest(0, conversation...), ShouldEqual, header.Threads[0].Digest)
		orphan := newBegin("p", "r4", "z")
		orphan.Thread = "q"
		orphan.Parent = "nowhere"
		So(h.apply(Command{Begin: orphan}).Error.Code, ShouldEqual, result.UnknownThread)
	})
	Convey("idle programs end and are deleted after the retention time", t, func() {
		h := newHarness()
		begin := newBegin("p", "r1", "x")
		begin.Limits.IdleTimeoutMs = 50
		first := h.apply(Command{Begin: begin})
		h.apply(Command{Commit: newCommit("p", first.Fence, "x")})
		h.index += 10
		So(h.ledger.IsSweepDue(int64(h.index)*10, 1000), ShouldBeTrue)
		h.apply(Command{Sweep: &Sweep{RetentionMs: 1000}})
		So(h.ledger.EndedOrUnknown([]string{"p", "q"}), ShouldResemble, []string{"p", "q"})
		So(h.apply(Command{Begin: newBegin("p", "r2", "y")}).Error.Code, ShouldEqual, result.ProgramClosed)
		h.index += 200
		h.apply(Command{Sweep: &Sweep{RetentionMs: 1000}})
		So(h.ledger.Len(), ShouldEqual, 0)
	})
}

// TestAnySequence checks, after each of a sequence of arbitrary commands, that no budget is
// exceeded, that turns are closed one after the other and their records match the digest of the
// history, and that a call that is not repeatable is granted again only if it has not run. It also
// checks that a snapshot restores the ledger.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		fences := []uint64{0}
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			id := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "program")
			request := fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "request"))
			fence := rapid.SampledFrom(fences).Draw(t, "fence")
			before, existed := h.ledger.Get(id)
			var turnBefore uint64
			if existed {
				turnBefore = before.LastTurn
			}
			switch rapid.IntRange(0, 5).Draw(t, "command") {
			case 0, 1, 2:
				begin := newBegin(id, request, "content of "+request)
				begin.AtMostOnce = request < "r3"
				begin.TakeOver = rapid.Bool().Draw(t, "take over")
				if rapid.Bool().Draw(t, "retry") {
					begin.RetryOf = fence
					begin.LostTokens = 3
				}
				reply := h.apply(Command{Begin: begin})
				if reply.Error == nil && reply.ClosedTurn == 0 {
					fences = append(fences, reply.Fence)
					h.grantCounts[id+request]++
					if begin.AtMostOnce && h.grantCounts[id+request] > 1+h.notRunCounts[id+request] {
						t.Fatalf("request %s of program %s is not repeatable but was granted %d times", request, id, h.grantCounts[id+request])
					}
				}
			case 3:
				h.apply(Command{Commit: newCommit(id, fence, "c")})
			case 4:
				notRun := rapid.Bool().Draw(t, "not run")
				header, ok := h.ledger.Get(id)
				if ok && header.Open != nil && header.Open.Fence == fence && notRun {
					h.notRunCounts[id+header.Open.Request]++
				}
				h.apply(Command{Abort: &Abort{Program: id, Fence: fence, NotRun: notRun, UsedTokens: 4}})
			default:
				if rapid.IntRange(0, 9).Draw(t, "end") == 0 {
					h.apply(Command{End: &End{Program: id, Tenant: "t"}})
				}
			}
			header, ok := h.ledger.Get(id)
			if !ok {
				continue
			}
			if header.RemainingTokens() < 0 {
				t.Fatalf("budget of program %s is exceeded by %d tokens", id, -header.RemainingTokens())
			}
			if header.LastTurn < turnBefore || header.LastTurn > turnBefore+1 {
				t.Fatalf("last turn of program %s changed from %d to %d", id, turnBefore, header.LastTurn)
			}
			lineage, _ := header.Lineage("")
			if ChainDigest(0, Conversation(lineage, h.records[id])...) != header.Threads[0].Digest {
				t.Fatalf("records of program %s differ from its digest", id)
			}
			for position, record := range h.records[id] {
				if record.Turn != uint64(position+1) {
					t.Fatalf("record %d of program %s has turn %d", position, id, record.Turn)
				}
			}
		}
		data, err := h.ledger.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		copied := NewLedger()
		if err := copied.Restore(data); err != nil {
			t.Fatal(err)
		}
		copiedData, _ := copied.Snapshot()
		if string(copiedData) != string(data) {
			t.Fatal("a restored ledger differs from its snapshot")
		}
	})
}
