package retry

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{RetriesPerSuccess: rapid.Float64Range(0, 1).Draw(t, "share")}
		budget := NewBudget(settings)
		successes, taken := 0, 0
		for _, success := range rapid.SliceOfN(rapid.Bool(), 0, 400).Draw(t, "steps") {
			if success {
				budget.RecordSuccess()
				successes++
			} else if budget.TryTake() {
				taken++
			}
			if bound := settings.RetriesPerSuccess*float64(successes) + mostSaved; float64(taken) > bound+1e-9 {
				t.Fatalf("%d second tries of %d successes, at most %.2f", taken, successes, bound)
			}
		}
	})
}

func TestTimes(t *testing.T) {
	Convey("times of 30 ms on the mean, as 500 requests a second to 24 engines take", t, func() {
		times := &LatencyHistogram{}
		random := rand.New(rand.NewPCG(1, 1))
		_, known := times.TimeoutMs(0)
		So(known, ShouldBeFalse)
		nowMs := int64(0)
		for range 2000 {
			nowMs += 2
			times.Record(nowMs, 30*random.ExpFloat64())
		}
		bound, known := times.TimeoutMs(nowMs)
		So(known, ShouldBeTrue)
		Convey("one in some hundred is longer than the bound", func() {
			longer := 0
			for range 100_000 {
				if 30*random.ExpFloat64() > bound {
					longer++
				}
			}
			So(longer, ShouldBeLessThan, 200)
			So(bound, ShouldBeLessThan, 400)
		})
		Convey("it rises where all engines take eight times as long, though every try that reaches it is given up", func() {
			for range 10_000 {
				nowMs += 2
				took := 240 * random.ExpFloat64()
				if bound, known := times.TimeoutMs(nowMs); known && took > bound {
					times.RecordTimeout(nowMs, bound)
				} else {
					times.Record(nowMs, took)
				}
			}
			risen, _ := times.TimeoutMs(nowMs)
			So(risen, ShouldBeGreaterThan, 3*bound)
		})
		Convey("it is forgotten after some minutes", func() {
			_, known := times.TimeoutMs(nowMs + 300_000)
			So(known, ShouldBeFalse)
		})
	})
}
