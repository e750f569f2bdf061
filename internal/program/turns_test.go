package program

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/result"
)

func reserveTurn(turns *TurnLedger, request string, budgetTokens, maxTokens int64, previous string) *result.Error {
	reply, _ := turns.Apply(TurnCommand{NowMs: 1000, Reserve: &Reserve{
		Program: "p", Request: request, BudgetTokens: budgetTokens, MaxTokens: maxTokens, PreviousRequest: previous, Session: "s",
	}})
	return reply.Error
}

func TestTurns(t *testing.T) {
	Convey("a budget counts open turns with their maximum and settled turns with the tokens used", t, func() {
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
	Convey("a reservation that is settled with no tokens charges nothing", t, func() {
		turns := NewTurnLedger()
		for try := range 30 {
			request := fmt.Sprint(try)
			So(reserveTurn(turns, request, 100, 60, ""), ShouldBeNil)
			turns.Apply(TurnCommand{NowMs: 1001, Settle: &Settle{Program: "p", Request: request}})
		}
		spent, reserved := turns.TokenUse("p")
		So(spent+reserved, ShouldEqual, 0)
	})
	Convey("the chain of a retained turn is retained as long as the turn", t, func() {
		turns := NewTurnLedger()
		retain := func(nowMs int64, request, previous string) TurnEffects {
			_, effects := turns.Apply(TurnCommand{NowMs: nowMs, Settle: &Settle{
				Program: "p", Request: request, PreviousRequest: previous, Retain: true, Content: []byte(request), RetentionMs: 10_000,
			}})
			return effects
		}
		So(retain(0, "a", "").WriteRequest, ShouldEqual, "a")
		retain(9_000, "b", "a")
		So(retain(9_000, "b", "a").WriteRequest, ShouldEqual, "")
		_, effects := turns.Apply(TurnCommand{NowMs: 16_000, Sweep: true})
		So(effects.DeleteRequests, ShouldBeEmpty)
		chain, isWhole := turns.Chain("b")
		So(chain, ShouldResemble, []string{"a", "b"})
		So(isWhole, ShouldBeTrue)
		So(reserveTurn(turns, "c", 0, 0, "x").Code, ShouldEqual, result.UnknownTurn)
		So(turns.IsSweepDue(25_000), ShouldBeTrue)
		_, effects = turns.Apply(TurnCommand{NowMs: 25_000, Sweep: true})
		So(effects.DeleteRequests, ShouldResemble, []string{"a", "b"})
	})
	Convey("the affine engine of a session is that of its last turn, and that of a new session is the program's", t, func() {
		turns := NewTurnLedger()
		So(reserveTurn(turns, "a", 100, 10, ""), ShouldBeNil)
		turns.Apply(TurnCommand{NowMs: 1001, Settle: &Settle{Program: "p", Request: "a", Session: "s", Engine: "e1"}})
		So(turns.AffineEngine("p", "s"), ShouldEqual, "e1")
		So(turns.AffineEngine("p", "other"), ShouldEqual, "e1")
		So(turns.AffineEngine("q", "s"), ShouldEqual, "")
	})
}

// TestTurnsProperty checks, for any order of commands, that the tokens that a program has
// generated and may still generate stay within its budget, and that a replica restored from a
// snapshot continues like the others.
func TestTurnsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budgetTokens = 500
		turns := NewTurnLedger()
		replica := NewTurnLedger()
		open := map[string]int64{}
		usedTokens := int64(0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			command := TurnCommand{NowMs: int64(step) * 10}
			request := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "request")
			if rapid.Bool().Draw(t, "reserve") {
				maxTokens := rapid.Int64Range(1, 200).Draw(t, "maxTokens")
				command.Reserve = &Reserve{Program: "p", Request: request, BudgetTokens: budgetTokens, MaxTokens: maxTokens}
				reply, _ := turns.Apply(command)
				if _, already := open[request]; reply.Error == nil && !already {
					open[request] = maxTokens
				}
			} else {
				used := rapid.Int64Range(0, open[request]).Draw(t, "used")
				command.Settle = &Settle{Program: "p", Request: request, UsedTokens: used}
				turns.Apply(command)
				if _, was := open[request]; was {
					usedTokens += used
					delete(open, request)
				}
			}
			replica.Apply(command)
			worstCase := usedTokens
			for _, maxTokens := range open {
				worstCase += maxTokens
			}
			if worstCase > budgetTokens {
				t.Fatalf("step %d: up to %d tokens may be generated, the budget is %d", step, worstCase, budgetTokens)
			}
			raw, err := replica.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			replica = NewTurnLedger()
			if err := replica.Restore(raw); err != nil {
				t.Fatal(err)
			}
			expected, _ := turns.Snapshot()
			actual, _ := replica.Snapshot()
			if !bytes.Equal(expected, actual) {
				t.Fatalf("step %d: the restored replica differs", step)
			}
		}
	})
}

func TestFirstTurns(t *testing.T) {
	Convey("a turn is the first of its program if no turn has run and no other one is open, and a settled turn that never ran does not count", t, func() {
		turns := NewTurnLedger()
		reserve := func(request string) bool {
			reply, _ := turns.Apply(TurnCommand{Reserve: &Reserve{Program: "p", Request: request, BudgetTokens: 100, MaxTokens: 10}})
			So(reply.Error, ShouldBeNil)
			return reply.IsFirstTurn
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
