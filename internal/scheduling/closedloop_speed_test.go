package scheduling_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/scheduling"
)

const (
	// countFromMs is the time from which turns are counted.
	countFromMs = 8_000
	// minEngineSlowdown and maxEngineSlowdown are the lowest and the highest slowdown of the
	// engines, relative to an engine with a slowdown of 1; the others lie between them.
	minEngineSlowdown = 0.5
	maxEngineSlowdown = 2.2
	// An engine is stalled during stallFraction of the time, for stallMs at a stretch. A stall
	// slows it down by stallFactor.
	stallMs       = 600
	stallFraction = 0.15
	stallFactor   = 2.5
	speedSlots    = 8
)

// advanceClocks advances the clocks of the engines by one millisecond.
func (l *loop) advanceClocks(nowMs int64) {
	for number := range l.clocks {
		rate := 1000.0
		if l.slowdowns != nil {
			rate /= l.slowdowns[number]
		}
		if l.stalls && rand.New(rand.NewPCG(uint64(number), uint64(nowMs/stallMs))).Float64() < stallFraction {
			rate /= stallFactor
		}
		l.clocks[number] += rate
	}
	if nowMs >= countFromMs {
		l.turnMs += len(l.inFlight)
	}
}

// spreadSlowdowns returns slowdowns that are evenly spread on a logarithmic scale, in an order that
// mixes the zones.
func spreadSlowdowns(minimum, maximum float64) []float64 {
	slowdowns := make([]float64, loopEngines)
	for number := range slowdowns {
		position := float64((number*5)%loopEngines) / (loopEngines - 1)
		slowdowns[number] = minimum * math.Pow(maximum/minimum, position)
	}
	return slowdowns
}

// oracle uses the true slowdowns and the current requests at every engine. It sends each turn to
// the engine where the turn ends first, including the cost of its prefill to the other requests
// there.
func oracle(l *loop) placementPolicy {
	return func(gateway *loopGateway, turn *loopTurn, nowMs int64) int {
		best, bestMs := 0, math.Inf(1)
		promptTokens := int64(0)
		for _, segment := range turn.program.history {
			promptTokens += segment.Tokens
		}
		for number, model := range l.models {
			hardware := model.Hardware()
			running, waiting := model.JobCounts()
			inFlight := float64(running + waiting)
			uncached := promptTokens - sharedPrefixTokens
			if number == turn.program.affineEngine {
				uncached = turn.program.inputTokens
			}
			prefillMs := float64(uncached) / float64(hardware.PrefillTokensPerSecond) * 1000
			stepMs := (float64(hardware.BaseStepMicros) + float64(hardware.StepMicrosPerSequence)*(inFlight+1)) / 1000
			turnMs := prefillMs*(1+inFlight) + outputTokens*stepMs
			turnMs *= 1 + max(inFlight+1-float64(l.slots), 0)/float64(l.slots)
			if cost := l.slowdowns[number] * turnMs; cost < bestMs {
				best, bestMs = number, cost
			}
		}
		gateway.health[best].RecordStart(nowMs)
		return best
	}
}

// measureThroughput returns how many turns a population of programs completed, and the mean
// utilization of the slots.
func measureThroughput(seed uint64, population int, stalls bool, policy func(*loop) placementPolicy) (turns int, utilization float64) {
	hardware := slowPrefill
	hardware.MaxSequences = speedSlots
	l := newLoop(seed, hardware, nil)
	l.policy = policy(l)
	l.slowdowns, l.stalls = spreadSlowdowns(minEngineSlowdown, maxEngineSlowdown), stalls
	l.population = population
	for number := range population {
		const intervalMs = 2
		at := int64(1 + number*intervalMs)
		l.due[at] = append(l.due[at], l.newProgram())
	}
	l.run()
	return l.completedTurns, float64(l.turnMs) / (loopMs - countFromMs) / (speedSlots * loopEngines)
}

// TestSpeedsClosedLoop covers engines of one service with different speeds. It compares gateways
// that have to learn the speeds, and to share what they have learned, with an oracle.
func TestSpeedsClosedLoop(t *testing.T) {
	learned := func(seed uint64) func(*loop) placementPolicy {
		return func(*loop) placementPolicy { return currentPolicy(rand.New(rand.NewPCG(seed, 4))) }
	}
	Convey("throughput is within a tenth of the oracle's at a third, two thirds and all of the capacity, with and without stalls", t, func() {
		for population, want := range map[int]float64{108: 1. / 3, 176: 2. / 3, 224: 1} {
			for _, stalls := range []bool{false, true} {
				for seed := range uint64(3) {
					bestTurns, bestUtilization := measureThroughput(seed, population, stalls, oracle)
					learnedTurns, learnedUtilization := measureThroughput(seed, population, stalls, learned(seed))
					t.Logf("%d programs, stalls %v, seed %d: %d turns with the oracle at a utilization of %.2f; %d learned at %.2f", population, stalls, seed, bestTurns, bestUtilization, learnedTurns, learnedUtilization)
					if !stalls {
						So(bestUtilization, ShouldAlmostEqual, want, 0.05)
					}
					So(float64(learnedTurns), ShouldBeGreaterThan, 0.9*float64(bestTurns))
				}
			}
		}
	})
	Convey("throughput is lower without the learned speeds while there are free slots", t, func() {
		withoutSpeeds := func(*loop) placementPolicy {
			return policyWithout(rand.New(rand.NewPCG(1, 4)), scheduling.DisabledMechanisms{scheduling.MechanismEngineSpeed})
		}
		for _, population := range []int{108, 176} {
			learnedTurns, _ := measureThroughput(1, population, false, learned(1))
			turnsWithoutSpeeds, _ := measureThroughput(1, population, false, withoutSpeeds)
			t.Logf("%d programs: %d turns with the learned speeds, %d without the speeds", population, learnedTurns, turnsWithoutSpeeds)
			So(learnedTurns, ShouldBeGreaterThan, turnsWithoutSpeeds)
		}
	})
}
