package program

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/result"
)

func reserveTurn(turns *TurnLedger, request string, budget, most int64, previous string) *result.Error {
	outcome, _ := turns.Apply(TurnCommand{NowMs: 1000, Reserve: &Reserve{
		Program: "p", Request: request, BudgetTokens: budget, MaxTokens: most, PreviousRequest: previous, Session: "s",
	}})
	return outcome.Error
}

func TestTurns(t *testing.T) {
	Convey("a budget counts open turns at their most and settled ones at what they used", t, func() {
		turns := NewTurnLedger()
		So(reserveTurn(turns, "a", 100, 60, ""), ShouldBeNil)
		So(reserveTurn(turns, "a", 100, 60, ""), ShouldBeNil)
		So(reserveTurn(turns, "b", 100, 60, "").Code, ShouldEqual, result.BudgetExhausted)
		turns.Apply(TurnCommand{NowMs: 1001, Settle: &Settle{Program: "p", Request: "a", UsedTokens: 30}})
		turns.Apply(TurnCommand{NowMs: 1001, Settle: &Settle{Program: "p", Request: "a", UsedTokens: 30}})
		spent, reserved := turns.TokenUse("p")
		So([]int64{spent, reserved}, ShouldResemble, []int64{30, 0})
		So(reserveTurn(turns, "b", 100, 60, ""), ShouldBeNil)
		So(reserveTurn(turns, "c", 100, 60, "").Code, ShouldEqual, result.BudgetExhausted)
	})
	Convey("a reservation that is settled at nothing charges nothing", t, func() {
		turns := NewTurnLedger()
		for try := range 30 {
			request := fmt.Sprint(try)
			So(reserveTurn(turns, request, 100, 60, ""), ShouldBeNil)
			turns.Apply(TurnCommand{NowMs: 1001, Settle: &Settle{Program: "p", Request: request}})
		}
		spent, reserved := turns.TokenUse("p")
		So(spent+reserved, ShouldEqual, 0)
	})
	Convey("a kept turn keeps its chain as long as it is kept itself", t, func() {
		turns := NewTurnLedger()
		keep := func(nowMs int64, request, previous string) TurnEffects {
			_, effects := turns.Apply(TurnCommand{NowMs: nowMs, Settle: &Settle{
				Program: "p", Request: request, PreviousRequest: previous, Retain: true, Content: []byte(request), RetentionMs: 10_000,
			}})
			return effects
		}
		So(keep(0, "a", "").WriteRequest, ShouldEqual, "a")
		keep(9_000, "b", "a")
		So(keep(9_000, "b", "a").WriteRequest, ShouldEqual, "")
		_, effects := turns.Apply(TurnCommand{NowMs: 16_000, Sweep: true})
		So(effects.DeleteRequests, ShouldBeEmpty)
		So(turns.Chain("b"), ShouldResemble, []string{"a", "b"})
		So(reserveTurn(turns, "c", 0, 0, "x").Code, ShouldEqual, result.UnknownTurn)
		So(turns.IsSweepDue(25_000), ShouldBeTrue)
		_, effects = turns.Apply(TurnCommand{NowMs: 25_000, Sweep: true})
		So(effects.DeleteRequests, ShouldResemble, []string{"a", "b"})
	})
	Convey("a session's engine is remembered, and a new session starts from its program's", t, func() {
		turns := NewTurnLedger()
		So(reserveTurn(turns, "a", 100, 10, ""), ShouldBeNil)
		turns.Apply(TurnCommand{NowMs: 1001, Settle: &Settle{Program: "p", Request: "a", Session: "s", Engine: "e1"}})
		So(turns.AffineEngine("p", "s"), ShouldEqual, "e1")
		So(turns.AffineEngine("p", "other"), ShouldEqual, "e1")
		So(turns.AffineEngine("q", "s"), ShouldEqual, "")
	})
}

// TestTurnsProperty holds that whatever comes in whatever order, what a program has
// generated and may be generating stays within its budget, and that a replica which
// is restored from a snapshot goes on like the others.
func TestTurnsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budgetTokens = 500
		turns := NewTurnLedger()
		twin := NewTurnLedger()
		open := map[string]int64{}
		handed := int64(0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			command := TurnCommand{NowMs: int64(step) * 10}
			request := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "request")
			if rapid.Bool().Draw(t, "reserve") {
				most := rapid.Int64Range(1, 200).Draw(t, "most")
				command.Reserve = &Reserve{Program: "p", Request: request, BudgetTokens: budgetTokens, MaxTokens: most}
				outcome, _ := turns.Apply(command)
				if _, already := open[request]; outcome.Error == nil && !already {
					open[request] = most
				}
			} else {
				used := rapid.Int64Range(0, open[request]).Draw(t, "used")
				command.Settle = &Settle{Program: "p", Request: request, UsedTokens: used}
				turns.Apply(command)
				if _, was := open[request]; was {
					handed += used
					delete(open, request)
				}
			}
			twin.Apply(command)
			worst := handed
			for _, most := range open {
				worst += most
			}
			if worst > budgetTokens {
				t.Fatalf("step %d: %d may be generated of %d", step, worst, budgetTokens)
			}
			raw, err := twin.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			twin = NewTurnLedger()
			if err := twin.Restore(raw); err != nil {
				t.Fatal(err)
			}
			own, _ := turns.Snapshot()
			other, _ := twin.Snapshot()
			if !bytes.Equal(own, other) {
				t.Fatalf("step %d: the restored replica differs", step)
			}
		}
	})
}

func TestFirstTurns(t *testing.T) {
	Convey("a turn is its program's first until one has run; a turn that never ran leaves it so", t, func() {
		turns := NewTurnLedger()
		reserve := func(request string) bool {
			outcome, _ := turns.Apply(TurnCommand{Reserve: &Reserve{Program: "p", Request: request, BudgetTokens: 100, MaxTokens: 10}})
			So(outcome.Error, ShouldBeNil)
			return outcome.IsFirstTurn
		}
		settle := func(request, engine string, used int64) {
			turns.Apply(TurnCommand{Settle: &Settle{Program: "p", Request: request, Engine: engine, UsedTokens: used}})
		}
		So(reserve("a"), ShouldBeTrue)
		So(reserve("a"), ShouldBeTrue)
		So(reserve("b"), ShouldBeFalse)
		settle("a", "", 0)
		settle("b", "", 0)
		So(reserve("c"), ShouldBeTrue)
		settle("c", "e", 0)
		So(reserve("d"), ShouldBeFalse)
	})
}
