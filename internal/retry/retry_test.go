package retry

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestBudgetProperty checks that retries stay within RetriesPerSuccess times the successes plus
// maxSavedRetries.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{RetriesPerSuccess: rapid.Float64Range(0, 1).Draw(t, "retries per success")}
		budget := NewBudget(settings)
		successes, retries := 0, 0
		for _, success := range rapid.SliceOfN(rapid.Bool(), 0, 400).Draw(t, "steps") {
			if success {
				budget.RecordSuccess()
				successes++
			} else if budget.TryTake() {
				retries++
			}
			if maxRetries := settings.RetriesPerSuccess*float64(successes) + maxSavedRetries; float64(retries) > maxRetries+1e-9 {
				t.Fatalf("%d retries after %d successes, want at most %.2f", retries, successes, maxRetries)
			}
		}
	})
}

func TestLatencyHistogram(t *testing.T) {
	Convey("with a mean latency of 30 ms, as at 500 requests a second on 24 engines", t, func() {
		histogram := &LatencyHistogram{}
		random := rand.New(rand.NewPCG(1, 1))
		_, hasTimeout := histogram.TimeoutMs(0)
		So(hasTimeout, ShouldBeFalse)
		nowMs := int64(0)
		for range 2000 {
			nowMs += 2
			histogram.Record(nowMs, 30*random.ExpFloat64())
		}
		timeoutMs, hasTimeout := histogram.TimeoutMs(nowMs)
		So(hasTimeout, ShouldBeTrue)
		Convey("fewer than 0.2% of the latencies exceed the timeout", func() {
			longer := 0
			for range 100_000 {
				if 30*random.ExpFloat64() > timeoutMs {
					longer++
				}
			}
			So(longer, ShouldBeLessThan, 200)
			So(timeoutMs, ShouldBeLessThan, 400)
		})
		Convey("the timeout rises if all engines take eight times as long, although every attempt that reaches it is ended", func() {
			for range 10_000 {
				nowMs += 2
				latencyMs := 240 * random.ExpFloat64()
				if currentMs, hasTimeout := histogram.TimeoutMs(nowMs); hasTimeout && latencyMs > currentMs {
					histogram.RecordTimeout(nowMs, currentMs)
				} else {
					histogram.Record(nowMs, latencyMs)
				}
			}
			raisedMs, _ := histogram.TimeoutMs(nowMs)
			So(raisedMs, ShouldBeGreaterThan, 3*timeoutMs)
		})
		Convey("the samples expire within five minutes", func() {
			_, hasTimeout := histogram.TimeoutMs(nowMs + 300_000)
			So(hasTimeout, ShouldBeFalse)
		})
	})
}
