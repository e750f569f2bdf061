package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/emulator"
	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// The closed loop simulates programs whose next turn starts after the previous one has ended,
// gateways that each see some of the turns, and engines with limited speed and KV cache. Times are
// virtual milliseconds.
const (
	loopGateways       = 8
	loopEngines        = 12
	loopZones          = 3
	loopMs             = 36_000
	steadyFromMs       = 8_000
	burstFromMs        = 12_000
	burstToMs          = 17_000
	reportIntervalMs   = 700
	sharedPrefixTokens = 2_560
	sharedPrefixes     = 6
	tokensPerEvent     = 3
	outputTokens       = 33
	thinkMs            = 600
	programsPerMs      = 0.026
	burstFactor        = 2.2
	recoveredFromMs    = 25_000
	loopSlots          = 64
	// firstEventTargetMs is the time to the first event within which a turn is on time.
	firstEventTargetMs = 200
)

// placementPolicy selects an engine for a turn at a gateway.
type placementPolicy func(gateway *loopGateway, turn *loopTurn, nowMs int64) int

// loopGateway is the state of one gateway.
type loopGateway struct {
	name   string
	zone   int
	model  *scheduling.LatencyModel
	health []*scheduling.EngineHealth
	// inFlight, meanWaitMs and meanGapMs are used by earlierPolicy.
	inFlight              []int
	meanWaitMs, meanGapMs []float64
	controller            scheduling.AdmissionController
}

type loopProgram struct {
	id           int
	turnsLeft    int
	inputTokens  int64
	history      []emulator.Segment
	affineEngine int
	// late reports whether a turn started later than firstEventTargetMs.
	late bool
}

type loopTurn struct {
	program       *loopProgram
	gateway       *loopGateway
	engine        int
	prefillTokens int64
	sentMs        int64
	lastEventMs   int64
	// gaps is the number of gaps between events, and minGapMs is the shortest of them.
	gaps     int
	minGapMs float64
	// slots is the number of requests that each engine serves at once.
	slots int
}

// loop is one simulation run.
type loop struct {
	random     *rand.Rand
	models     []*emulator.Model
	gateways   []*loopGateway
	aggregator *scheduling.LoadAggregator
	policy     placementPolicy
	inFlight   map[string]*loopTurn
	due        map[int64][]*loopProgram
	nextID     int
	// firstEventMs holds the times to first events by the second in which the turn was sent.
	firstEventMs map[int64][]float64
	movedTurns   int
	sentTurns    int
	// admissionEnabled requires that new programs are admitted. overload means that the burst,
	// which starts at burstFromMs, does not end.
	admissionEnabled bool
	overload         bool
	startedPrograms  int
	rejectedPrograms int
	onTimePrograms   int
	// slots is the number of requests that an engine serves at once.
	slots int
	// slowdowns are those of the engines, nil if all have the same speed. clocks are the virtual
	// times at the engines, in microseconds. The clock of an engine that is slow or stalled runs
	// slower.
	slowdowns []float64
	stalls    bool
	clocks    []float64
	// population is the constant number of programs in progress, 0 for programs that arrive at
	// random.
	population int
	// completedTurns counts the turns that ended after countFromMs, and turnMs is the integral of
	// the turns in flight since then.
	completedTurns int
	turnMs         int
	// onFirstEvent and onEnd are called, if set, for first events and for turns that have ended.
	onFirstEvent func(turn *loopTurn, tookMs float64)
	onEnd        func(turn *loopTurn, nowMs int64)
}

func newLoop(seed uint64, hardware engine.Hardware, policy placementPolicy) *loop {
	l := &loop{
		random: rand.New(rand.NewPCG(seed, 3)), aggregator: scheduling.NewLoadAggregator(), policy: policy,
		inFlight: map[string]*loopTurn{}, due: map[int64][]*loopProgram{}, firstEventMs: map[int64][]float64{},
		slots: hardware.MaxSequences, clocks: make([]float64, loopEngines),
	}
	for range loopEngines {
		l.models = append(l.models, emulator.NewModel(hardware))
	}
	for number := range loopGateways {
		gateway := &loopGateway{
			name: fmt.Sprint("g", number), zone: number % loopZones, model: &scheduling.LatencyModel{},
			inFlight: make([]int, loopEngines), meanWaitMs: make([]float64, loopEngines), meanGapMs: make([]float64, loopEngines),
		}
		for range loopEngines {
			gateway.health = append(gateway.health, &scheduling.EngineHealth{})
		}
		l.gateways = append(l.gateways, gateway)
	}
	return l
}

func (l *loop) run() {
	for nowMs := int64(1); nowMs <= loopMs; nowMs++ {
		rate := programsPerMs
		if nowMs >= burstFromMs && (nowMs < burstToMs || l.overload) {
			rate *= burstFactor
		}
		if l.population == 0 && l.random.Float64() < rate {
			l.startProgram(nowMs)
		}
		l.advanceClocks(nowMs)
		for _, program := range l.due[nowMs] {
			l.sendTurn(program, nowMs)
		}
		delete(l.due, nowMs)
		for number, model := range l.models {
			l.deliver(number, model.Advance(int64(l.clocks[number])), nowMs)
		}
		if nowMs%(reportIntervalMs/loopGateways) == 0 {
			l.exchangeReports(l.gateways[int(nowMs/(reportIntervalMs/loopGateways))%loopGateways], nowMs)
		}
	}
}

// startProgram starts a program, unless admission control is enabled and rejects it.
func (l *loop) startProgram(nowMs int64) {
	program := l.newProgram()
	if l.admissionEnabled && !l.admit(program, nowMs) {
		l.rejectedPrograms++
		return
	}
	l.startedPrograms++
	l.sendTurn(program, nowMs)
}

// newProgram returns a program that has not started. Every fourth has more turns and shorter
// inputs.
func (l *loop) newProgram() *loopProgram {
	l.nextID++
	program := &loopProgram{id: l.nextID, turnsLeft: 4, inputTokens: 1_030, affineEngine: -1}
	if l.nextID%4 == 0 {
		program.turnsLeft, program.inputTokens = 11, 514
	}
	shared := uint64(1 + l.random.IntN(sharedPrefixes))
	program.history = []emulator.Segment{{PrefixDigest: shared, Tokens: sharedPrefixTokens}}
	return program
}

// admit decides at a random gateway whether a program may start.
func (l *loop) admit(program *loopProgram, nowMs int64) bool {
	gateway := l.gateways[l.random.IntN(loopGateways)]
	concurrency := 0.0
	for _, health := range gateway.health {
		concurrency += health.EstimatedInFlight(nowMs) / loopEngines
	}
	gateway.controller.UpdateLimit(nowMs, concurrency, loopSlots)
	_, admitted := gateway.controller.Admit(concurrency, 0, 1, float64(program.id%97)/97)
	return admitted
}

func (l *loop) sendTurn(program *loopProgram, nowMs int64) {
	chain := uint64(program.id)<<16 + uint64(program.turnsLeft)<<1
	program.history = append(program.history, emulator.Segment{PrefixDigest: chain, Tokens: program.inputTokens})
	gateway := l.gateways[l.random.IntN(loopGateways)]
	turn := &loopTurn{program: program, gateway: gateway, sentMs: nowMs, slots: l.slots}
	turn.engine = l.policy(gateway, turn, nowMs)
	l.sentTurns++
	if program.affineEngine >= 0 && program.affineEngine != turn.engine {
		l.movedTurns++
	}
	gateway.inFlight[turn.engine]++
	id := fmt.Sprint(program.id, "-", program.turnsLeft)
	l.inFlight[id] = turn
	l.models[turn.engine].Submit(emulator.Job{
		ID: id, Program: fmt.Sprint(program.id), Segments: slices.Clone(program.history), OutputTokens: outputTokens, DigestWithResponse: chain + 1,
	}, int64(l.clocks[turn.engine]))
}

// deliver passes an engine's progress to the gateways and continues the programs.
func (l *loop) deliver(number int, progress []emulator.Progress, nowMs int64) {
	for _, step := range progress {
		turn := l.inFlight[step.ID]
		health := turn.gateway.health[number]
		switch {
		case step.GeneratedTokens == 1:
			latencyMs := float64(nowMs - turn.sentMs)
			second := turn.sentMs / 1000
			l.firstEventMs[second] = append(l.firstEventMs[second], latencyMs)
			if l.onFirstEvent != nil {
				l.onFirstEvent(turn, latencyMs)
			}
			turn.gateway.model.ObserveFirstEvent(health, nowMs, turn.prefillTokens, latencyMs)
			turn.gateway.controller.ObserveStreamStart(nowMs, latencyMs > firstEventTargetMs)
			turn.program.late = turn.program.late || latencyMs > firstEventTargetMs
			turn.gateway.meanWaitMs[number] += 0.1 * (latencyMs - turn.gateway.meanWaitMs[number])
			turn.lastEventMs = nowMs
		case step.GeneratedTokens%tokensPerEvent == 0:
			gap := float64(nowMs - turn.lastEventMs)
			turn.gateway.model.ObserveEventGap(health, nowMs, gap)
			turn.gateway.meanGapMs[number] += 0.015 * (gap - turn.gateway.meanGapMs[number])
			if turn.gaps == 0 || gap < turn.minGapMs {
				turn.minGapMs = gap
			}
			turn.gaps++
			turn.lastEventMs = nowMs
		}
		if step.IsDone {
			l.endTurn(step.ID, turn, number, nowMs)
		}
	}
}

func (l *loop) endTurn(id string, turn *loopTurn, number int, nowMs int64) {
	delete(l.inFlight, id)
	if l.onEnd != nil {
		l.onEnd(turn, nowMs)
	}
	turn.gateway.health[number].RecordEnd(nowMs)
	turn.gateway.model.ObserveStreamLength(nowMs, outputTokens/tokensPerEvent)
	turn.gateway.model.ObserveStreamPace(turn.gateway.health[number], nowMs, turn.gaps, turn.minGapMs)
	if nowMs >= countFromMs {
		l.completedTurns++
	}
	turn.gateway.inFlight[number]--
	program := turn.program
	last := program.history[len(program.history)-1]
	program.history = append(program.history, emulator.Segment{PrefixDigest: last.PrefixDigest + 1, Tokens: outputTokens})
	program.affineEngine = number
	if program.turnsLeft--; program.turnsLeft > 0 {
		at := nowMs + thinkMs
		l.due[at] = append(l.due[at], program)
		return
	}
	if !program.late {
		l.onTimePrograms++
	}
	if l.population > 0 {
		l.startProgram(nowMs)
	}
}

// exchangeReports sends the reports of a gateway to the aggregator and applies the totals that it
// returns, as in a heartbeat.
func (l *loop) exchangeReports(gateway *loopGateway, nowMs int64) {
	var loads []scheduling.EngineLoad
	var usages []scheduling.EngineUsage
	var names []string
	for number, health := range gateway.health {
		names = append(names, fmt.Sprintf("e%02d", number))
		if usage, changed := health.CollectUsage(names[number], nowMs); changed {
			usages = append(usages, usage)
		}
		if load, changed := health.CollectLoad(names[number], nowMs); changed {
			loads = append(loads, load)
		}
	}
	l.aggregator.ReportLoads(gateway.name, loads, nowMs)
	l.aggregator.ReportUsage(gateway.name, usages, nowMs)
	for _, usage := range l.aggregator.Usages(names, nowMs) {
		gateway.health[slices.Index(names, usage.Engine)].ApplySharedUsage(usage, nowMs)
	}
	for _, load := range l.aggregator.Loads(names, nowMs) {
		var number int
		if _, err := fmt.Sscanf(load.Engine, "e%02d", &number); err == nil {
			gateway.health[number].ApplySharedLoad(load, nowMs)
		}
	}
}

// medianFirstEventMs returns the median time to the first event of the turns sent within a period.
func (l *loop) medianFirstEventMs(fromMs, toMs int64) float64 {
	var times []float64
	for second := fromMs / 1000; second < toMs/1000; second++ {
		times = append(times, l.firstEventMs[second]...)
	}
	if len(times) == 0 {
		// No turn sent within the period has started yet.
		return loopMs
	}
	slices.Sort(times)
	return times[len(times)/2]
}

func zoneName(zone int) string { return fmt.Sprint("z", zone) }

// currentPolicy is the policy of the gateways.
func currentPolicy(random *rand.Rand) placementPolicy { return policyWithout(random, nil) }

// policyWithout is the policy of the gateways without some mechanisms.
func policyWithout(random *rand.Rand, disabled scheduling.DisabledMechanisms) placementPolicy {
	return func(gateway *loopGateway, turn *loopTurn, nowMs int64) int {
		input := scheduling.SelectionInput{IsStream: true, Zone: zoneName(gateway.zone), MaxEvents: 2 * outputTokens / tokensPerEvent, ShuffleSeed: random.Uint64(), NowMs: nowMs, Disabled: disabled}
		for number, segment := range turn.program.history {
			part := scheduling.PromptPart{ID: fmt.Sprint(segment.PrefixDigest), Tokens: segment.Tokens}
			if number == 0 {
				part.ID = fmt.Sprint("shared-", segment.PrefixDigest)
			}
			input.Prompt = append(input.Prompt, part)
		}
		input.RemainingTurns = gateway.model.RemainingTurns("", len(input.Prompt))
		gateway.model.ObserveTurn("", len(input.Prompt))
		if turn.program.affineEngine >= 0 {
			input.AffineEngine = fmt.Sprintf("e%02d", turn.program.affineEngine)
		}
		var candidates []scheduling.Candidate
		for number, health := range gateway.health {
			candidates = append(candidates, scheduling.Candidate{ID: fmt.Sprintf("e%02d", number), Zone: zoneName(number % loopZones), Slots: turn.slots, Health: health})
		}
		selection, _ := scheduling.SelectEngine(gateway.model, candidates, input)
		selection.Candidate.Health.RecordStart(nowMs)
		turn.prefillTokens = selection.PrefillTokens
		return slices.IndexFunc(candidates, func(c scheduling.Candidate) bool { return c.ID == selection.Candidate.ID })
	}
}

// earlierPolicy is the policy of the gateways before rounds 16 to 18 in
// docs/measurements/platform.md. It uses only a gateway's own requests, and constants measured on
// the engines of the first users.
func earlierPolicy(gateway *loopGateway, turn *loopTurn, _ int64) int {
	const prefillTokensPerMs, prefillWeight, interferenceMs, crossZoneMs = 250.0, 8.0, 6.0, 200.0
	best, bestCost := 0, 0.0
	promptTokens := int64(0)
	for _, segment := range turn.program.history {
		promptTokens += segment.Tokens
	}
	for number := range gateway.health {
		uncached := promptTokens
		if number == turn.program.affineEngine {
			uncached = turn.program.inputTokens
		}
		cost := outputTokens/tokensPerEvent*(gateway.meanGapMs[number]+interferenceMs*float64(gateway.inFlight[number])) + gateway.meanWaitMs[number]
		cost += prefillWeight * float64(uncached) / prefillTokensPerMs
		if number%loopZones != gateway.zone {
			cost += crossZoneMs
		}
		if number == 0 || cost < bestCost {
			best, bestCost = number, cost
		}
	}
	return best
}

// slowPrefill are engines with a slow prefill.
var slowPrefill = engine.Hardware{
	PrefillTokensPerSecond: 37_900, BaseStepMicros: 4_630, StepMicrosPerSequence: 153, ContextNanosPerToken: 3, KVCacheCapacityTokens: 211_000,
	MaxPrefillTokensPerStep: 2_048, MaxSequences: loopSlots,
}

func TestClosedLoop(t *testing.T) {
	halfKVCache := slowPrefill
	halfKVCache.KVCacheCapacityTokens /= 2
	fastPrefill := slowPrefill
	fastPrefill.PrefillTokensPerSecond *= 5
	fastPrefill.MaxSequences = 16
	Convey("8 s after a burst the median time to the first event is less than 2.5 times that before it, and fewer than a tenth of the turns move, on three kinds of engines", t, func() {
		for name, hardware := range map[string]engine.Hardware{"slow prefill": slowPrefill, "half the KV cache": halfKVCache, "fast prefill": fastPrefill} {
			for seed := range uint64(2) {
				l := newLoop(seed, hardware, currentPolicy(rand.New(rand.NewPCG(seed, 4))))
				l.run()
				before, after := l.medianFirstEventMs(steadyFromMs, burstFromMs), l.medianFirstEventMs(recoveredFromMs, loopMs-2_000)
				t.Logf("%s, seed %d: first event %.0f ms before, %.0f during, %.0f after the burst; %d of %d turns moved", name, seed, before, l.medianFirstEventMs(burstFromMs, burstToMs), after, l.movedTurns, l.sentTurns)
				So(after, ShouldBeLessThan, 2.5*before)
				So(l.movedTurns*10, ShouldBeLessThan, l.sentTurns)
			}
		}
	})
	Convey("with the earlier policy the median stays above 3 times that before the burst on engines with a slow prefill", t, func() {
		for seed := range uint64(2) {
			l := newLoop(seed, slowPrefill, earlierPolicy)
			l.run()
			before, after := l.medianFirstEventMs(steadyFromMs, burstFromMs), l.medianFirstEventMs(recoveredFromMs, loopMs-2_000)
			t.Logf("seed %d: first event %.0f ms before, %.0f after the burst; %d of %d turns moved", seed, before, after, l.movedTurns, l.sentTurns)
			So(after, ShouldBeGreaterThan, 3*before)
		}
	})
}

// TestAdmissionClosedLoop checks the purpose of admission control: if engines are asked for more
// than they can serve, more programs end on time with it than without, and nobody is rejected while
// the engines keep up.
func TestAdmissionClosedLoop(t *testing.T) {
	Convey("under sustained overload more programs are on time with admission control than without", t, func() {
		for seed := range uint64(3) {
			onTime := map[bool]int{}
			for _, enabled := range []bool{false, true} {
				l := newLoop(seed, slowPrefill, currentPolicy(rand.New(rand.NewPCG(seed, 4))))
				l.overload, l.admissionEnabled = true, enabled
				l.run()
				onTime[enabled] = l.onTimePrograms
				t.Logf("seed %d, admission %v: %d started, %d rejected, %d on time", seed, enabled, l.startedPrograms, l.rejectedPrograms, l.onTimePrograms)
			}
			So(onTime[true], ShouldBeGreaterThan, onTime[false])
		}
	})
	Convey("engines that keep up accept every program", t, func() {
		fastPrefill := slowPrefill
		fastPrefill.PrefillTokensPerSecond *= 5
		for seed := range uint64(3) {
			l := newLoop(seed, fastPrefill, currentPolicy(rand.New(rand.NewPCG(seed, 4))))
			l.admissionEnabled = true
			l.run()
			So(l.rejectedPrograms, ShouldEqual, 0)
		}
	})
}
