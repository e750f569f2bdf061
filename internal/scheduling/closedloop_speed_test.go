package scheduling_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/scheduling"
)

const (
	// learntMs is from when on work is counted.
	learntMs = 8_000
	// quickestEngine and slowestEngine bound how many times longer than at an engine of speed 1
	// things take; the others lie between them.
	quickestEngine = 0.5
	slowestEngine  = 2.2
	// Spells hold an engine up: spellMs long, spellShare of the time, all by spellFactor.
	spellMs     = 600
	spellShare  = 0.15
	spellFactor = 2.5
	speedSlots  = 8
)

// passTime has the engines' clocks go on by one millisecond.
func (l *loop) passTime(nowMs int64) {
	for number := range l.clocks {
		rate := 1000.0
		if l.speeds != nil {
			rate /= l.speeds[number]
		}
		if l.spells && rand.New(rand.NewPCG(uint64(number), uint64(nowMs/spellMs))).Float64() < spellShare {
			rate /= spellFactor
		}
		l.clocks[number] += rate
	}
	if nowMs >= learntMs {
		l.busy += len(l.turns)
	}
}

// speedsBetween returns speeds that are spread evenly, in an order that mixes the zones.
func speedsBetween(quickest, slowest float64) []float64 {
	speeds := make([]float64, loopEngines)
	for number := range speeds {
		place := float64((number*5)%loopEngines) / (loopEngines - 1)
		speeds[number] = quickest * math.Pow(slowest/quickest, place)
	}
	return speeds
}

// oracle knows the speeds, and at each moment what is under way at every engine, and sends
// each turn where it ends first, with what reading costs the others there.
func oracle(l *loop) decide {
	return func(gateway *loopGateway, turn *loopTurn, nowMs int64) int {
		best, bestMs := 0, math.Inf(1)
		whole := int64(0)
		for _, segment := range turn.program.history {
			whole += segment.Tokens
		}
		for number, model := range l.models {
			hardware := model.Hardware()
			running, waiting := model.Counts()
			inFlight := float64(running + waiting)
			missing := whole - sharedTokens
			if number == turn.program.home {
				missing = turn.program.tokens
			}
			readMs := float64(missing) / float64(hardware.PrefillTokensPerSecond) * 1000
			stepMs := (float64(hardware.StepMicros) + float64(hardware.SequenceMicros)*(inFlight+1)) / 1000
			ownMs := readMs*(1+inFlight) + outputTokens*stepMs
			ownMs *= 1 + max(inFlight+1-float64(l.slots), 0)/float64(l.slots)
			if cost := l.speeds[number] * ownMs; cost < bestMs {
				best, bestMs = number, cost
			}
		}
		gateway.health[best].RecordStart(nowMs)
		return best
	}
}

// work returns how many turns a population of programs ended, and which share of the room they
// took on the mean.
func work(seed uint64, population int, spells bool, policy func(*loop) decide) (turns int, room float64) {
	hardware := slowReader
	hardware.MaxSequences = speedSlots
	l := newLoop(seed, hardware, nil)
	l.decide = policy(l)
	l.speeds, l.spells = speedsBetween(quickestEngine, slowestEngine), spells
	l.population = population
	for number := range population {
		const apartMs = 2
		at := int64(1 + number*apartMs)
		l.due[at] = append(l.due[at], l.newProgram())
	}
	l.run()
	return l.ended, float64(l.busy) / (loopMs - learntMs) / (speedSlots * loopEngines)
}

// TestSpeedsClosedLoop answers engines of one service that are not equally fast: gateways that
// have to learn it, and to share what they learn, against one who knows it and sees all.
func TestSpeedsClosedLoop(t *testing.T) {
	learning := func(seed uint64) func(*loop) decide {
		return func(*loop) decide { return present(rand.New(rand.NewPCG(seed, 4))) }
	}
	Convey("the work done is within a tenth, at a third, two thirds and all of the room, with and without spells", t, func() {
		for population, share := range map[int]float64{108: 1. / 3, 176: 2. / 3, 224: 1} {
			for _, spells := range []bool{false, true} {
				for seed := range uint64(3) {
					best, room := work(seed, population, spells, oracle)
					learnt, taken := work(seed, population, spells, learning(seed))
					t.Logf("%d programs, spells %v, seed %d: %d turns with one who knows, which take %.2f of the room; %d learnt, %.2f", population, spells, seed, best, room, learnt, taken)
					if !spells {
						So(room, ShouldAlmostEqual, share, 0.05)
					}
					So(float64(learnt), ShouldBeGreaterThan, 0.9*float64(best))
				}
			}
		}
	})
	Convey("and less without the speeds, where there is room to choose", t, func() {
		blind := func(*loop) decide {
			return presentWithout(rand.New(rand.NewPCG(1, 4)), scheduling.DisabledMechanisms{scheduling.MechanismEngineSpeed})
		}
		for _, population := range []int{108, 176} {
			learnt, _ := work(1, population, false, learning(1))
			without, _ := work(1, population, false, blind)
			t.Logf("%d programs: %d turns learnt, %d without the speeds", population, learnt, without)
			So(learnt, ShouldBeGreaterThan, without)
		}
	})
}
