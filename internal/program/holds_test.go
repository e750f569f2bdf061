package program

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/result"
)

// maxClockSkewMs is how far the clock of a leader may be off.
const maxClockSkewMs = 2500

// modelTurn is a turn as its caller sees it.
type modelTurn struct {
	request  string
	previous string
	// chain is what the turn's successors continue from.
	chain       []string
	reserve     *Reserve
	limitMs     int64
	retentionMs int64
	openedMs    int64
	// answeredMs is when the turn was retained, 0 while it is not.
	answeredMs int64
}

// chainModel plays callers, gateways and leaders of one ledger group in virtual time.
type chainModel struct {
	t      *rapid.T
	ledger *TurnLedger
	nowMs  int64
	// skewMs is the error of the current leader's clock.
	skewMs   int64
	turns    map[string]*modelTurn
	open     []string
	answered []string
	// sent holds the commands that may arrive once more.
	sent []TurnCommand
}

func (m *chainModel) apply(command TurnCommand) TurnReply {
	command.NowMs = m.nowMs + m.skewMs
	reply, _ := m.ledger.Apply(command)
	return reply
}

// openTurn opens a turn that continues an answered one, or none.
func (m *chainModel) openTurn() {
	turn := &modelTurn{
		request: fmt.Sprint("r", len(m.turns)), limitMs: rapid.Int64Range(100, 170_000).Draw(m.t, "limitMs"),
		retentionMs: rapid.Int64Range(200, 60_000).Draw(m.t, "retentionMs"), openedMs: m.nowMs,
	}
	if len(m.answered) > 0 && rapid.IntRange(0, 5).Draw(m.t, "continues") > 0 {
		turn.previous = rapid.SampledFrom(m.answered).Draw(m.t, "previous")
	}
	turn.reserve = &Reserve{Program: rapid.SampledFrom([]string{"p", "q"}).Draw(m.t, "program"), Request: turn.request, PreviousRequest: turn.previous}
	if rapid.Bool().Draw(m.t, "hasBudget") {
		turn.reserve.BudgetTokens, turn.reserve.MaxTokens = 1<<40, 10
	}
	if turn.previous != "" {
		turn.reserve.Hold = &Hold{ID: "h" + turn.request, DurationMs: turn.limitMs}
		if rapid.IntRange(0, 3).Draw(m.t, "earlierGateway") == 0 {
			turn.reserve.Hold = &Hold{ID: turn.request, DurationMs: DefaultHoldMs}
		}
	}
	reply := m.apply(TurnCommand{Reserve: turn.reserve})
	if previous := m.turns[turn.previous]; previous != nil {
		if reply.Error != nil {
			if reply.Error.Code != result.UnknownTurn || m.nowMs-previous.answeredMs < previous.retentionMs {
				m.t.Fatalf("%d ms: turn %s, answered %d ms ago, can't be continued: %v", m.nowMs, previous.request, m.nowMs-previous.answeredMs, reply.Error)
			}
			return
		}
		m.checkChain(previous)
		turn.chain = previous.chain
	}
	turn.chain = append(slices.Clone(turn.chain), turn.request)
	m.turns[turn.request] = turn
	m.open = append(m.open, turn.request)
	m.sent = append(m.sent, TurnCommand{Reserve: turn.reserve})
}

// endTurn settles an open turn, within its time or late, with or without an answer, or never.
func (m *chainModel) endTurn() {
	if len(m.open) == 0 {
		return
	}
	position := rapid.IntRange(0, len(m.open)-1).Draw(m.t, "ended")
	turn := m.turns[m.open[position]]
	m.open = slices.Delete(m.open, position, position+1)
	how := rapid.IntRange(0, 9).Draw(m.t, "how")
	if how == 0 {
		return
	}
	settle := &Settle{Program: turn.reserve.Program, Request: turn.request, PreviousRequest: turn.previous, Retain: how > 2, RequiresChain: how > 2, RetentionMs: turn.retentionMs, Content: []byte(turn.request)}
	if turn.reserve.Hold != nil {
		settle.ReleasedHold = turn.reserve.Hold.ID
	}
	m.sent = append(m.sent, TurnCommand{Settle: settle})
	reply := m.apply(TurnCommand{Settle: settle})
	if reply.Error != nil {
		if m.nowMs-turn.openedMs <= turn.limitMs {
			m.t.Fatalf("%d ms: turn %s, opened %d ms ago with a limit of %d ms, is not retained: %v", m.nowMs, turn.request, m.nowMs-turn.openedMs, turn.limitMs, reply.Error)
		}
		return
	}
	if settle.Retain {
		turn.answeredMs = m.nowMs
		m.answered = append(m.answered, turn.request)
	}
}

// repeatCommand applies a command once more.
func (m *chainModel) repeatCommand() {
	if len(m.sent) > 0 {
		m.apply(rapid.SampledFrom(m.sent).Draw(m.t, "repeated"))
	}
}

func (m *chainModel) pass() {
	m.nowMs += rapid.SampledFrom([]int64{1, 50, 1_000, 5_000, 12_000, 60_000, 170_000}).Draw(m.t, "passedMs")
}

// sweep removes what has expired, if that is due by the leader's clock.
func (m *chainModel) sweep() {
	if m.ledger.IsSweepDue(m.nowMs + m.skewMs) {
		m.apply(TurnCommand{Sweep: true})
	}
}

func (m *chainModel) changeLeader() {
	m.skewMs = rapid.Int64Range(-maxClockSkewMs, maxClockSkewMs).Draw(m.t, "skewMs")
}

// restore replaces the ledger by one that starts from its snapshot.
func (m *chainModel) restore() {
	raw, err := m.ledger.Snapshot()
	if err != nil {
		m.t.Fatal(err)
	}
	m.ledger = NewTurnLedger()
	if err := m.ledger.Restore(raw); err != nil {
		m.t.Fatal(err)
	}
}

// checkChain checks that a turn has its whole chain.
func (m *chainModel) checkChain(turn *modelTurn) {
	chain, isWhole := m.ledger.Chain(turn.request)
	if !isWhole || !slices.Equal(chain, turn.chain) {
		m.t.Fatalf("%d ms: the chain of turn %s, answered at %d ms, is %v (whole: %v), want %v", m.nowMs, turn.request, turn.answeredMs, chain, isWhole, turn.chain)
	}
}

// check checks that every turn within its retention, and every turn that is retained for any other reason,
// has its whole chain.
func (m *chainModel) check() {
	for _, request := range m.answered {
		turn := m.turns[request]
		if m.nowMs-turn.answeredMs < turn.retentionMs || m.ledger.HasTurn(request) {
			m.checkChain(turn)
		}
	}
}

// TestContinuedTurnsProperty guards against a turn that is continued or retained without its whole chain,
// because a part of it expired while a turn that continues it was open, and against holds that stay for good.
func TestContinuedTurnsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &chainModel{t: t, ledger: NewTurnLedger(), nowMs: 1_000_000, turns: map[string]*modelTurn{}}
		actions := []func(){m.openTurn, m.openTurn, m.endTurn, m.endTurn, m.pass, m.sweep, m.sweep, m.repeatCommand, m.changeLeader, m.restore}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			m.check()
		}
		m.nowMs += DefaultHoldMs + holdMarginMs + holdSweepDelayMs + maxClockSkewMs*2
		m.sweep()
		m.nowMs += 60_000 + retentionMarginMs + maxClockSkewMs*2
		m.sweep()
		if m.ledger.TurnCount() > 0 || m.ledger.HoldCount() > 0 {
			t.Fatalf("%d turns and holds %v are retained for good", m.ledger.TurnCount(), slices.Collect(maps.Keys(m.ledger.holds)))
		}
	})
}

func TestHolds(t *testing.T) {
	retain := func(turns *TurnLedger, nowMs int64, request, previous, hold string) *result.Error {
		reply, _ := turns.Apply(TurnCommand{NowMs: nowMs, Settle: &Settle{
			Program: "p", Request: request, PreviousRequest: previous, Retain: true, RetentionMs: 10_000, ReleasedHold: hold, RequiresChain: true,
		}})
		return reply.Error
	}
	open := func(turns *TurnLedger, nowMs int64, request, previous, hold string) *result.Error {
		reply, _ := turns.Apply(TurnCommand{NowMs: nowMs, Reserve: &Reserve{
			Program: "p", Request: request, PreviousRequest: previous, Hold: &Hold{ID: hold, DurationMs: 20_000},
		}})
		return reply.Error
	}
	sweep := func(turns *TurnLedger, nowMs int64) []string {
		_, effects := turns.Apply(TurnCommand{NowMs: nowMs, Sweep: true})
		return effects.DeleteRequests
	}
	Convey("a turn without a budget retains what it continues until it is settled", t, func() {
		turns := NewTurnLedger()
		So(retain(turns, 0, "a", "", ""), ShouldBeNil)
		So(open(turns, 9_000, "b", "a", "h"), ShouldBeNil)
		So(turns.IsSweepDue(25_000), ShouldBeFalse)
		So(sweep(turns, 25_000), ShouldBeEmpty)
		So(retain(turns, 28_000, "b", "a", "h"), ShouldBeNil)
		So(turns.HoldCount(), ShouldEqual, 0)
		So(sweep(turns, 42_000), ShouldBeEmpty)
		So(sweep(turns, 44_000), ShouldResemble, []string{"a", "b"})
	})
	Convey("the settlement of one client attempt doesn't release the hold of another", t, func() {
		turns := NewTurnLedger()
		So(retain(turns, 0, "a", "", ""), ShouldBeNil)
		So(open(turns, 9_000, "b", "a", "h1"), ShouldBeNil)
		So(open(turns, 9_000, "b", "a", "h2"), ShouldBeNil)
		turns.Apply(TurnCommand{NowMs: 9_100, Settle: &Settle{Program: "p", Request: "b", ReleasedHold: "h1"}})
		So(sweep(turns, 25_000), ShouldBeEmpty)
		turns.Apply(TurnCommand{NowMs: 25_000, Settle: &Settle{Program: "p", Request: "b", ReleasedHold: "h2"}})
		So(sweep(turns, 25_000), ShouldResemble, []string{"a"})
	})
	Convey("a turn that is settled after its hold has expired is not retained without its chain", t, func() {
		turns := NewTurnLedger()
		So(retain(turns, 0, "a", "", ""), ShouldBeNil)
		So(open(turns, 9_000, "b", "a", "h"), ShouldBeNil)
		So(sweep(turns, 39_001), ShouldResemble, []string{"a"})
		So(retain(turns, 40_000, "b", "a", "h").Code, ShouldEqual, result.UnknownTurn)
		So(turns.HasTurn("b"), ShouldBeFalse)
	})
	Convey("a chain with a gap, which an earlier release has left, is not continued", t, func() {
		turns := NewTurnLedger()
		turns.Apply(TurnCommand{Settle: &Settle{Program: "p", Request: "b", PreviousRequest: "a", Retain: true, RetentionMs: 10_000}})
		So(open(turns, 1_000, "c", "b", "h").Code, ShouldEqual, result.UnknownTurn)
		_, isWhole := turns.Chain("b")
		So(isWhole, ShouldBeFalse)
	})
}
