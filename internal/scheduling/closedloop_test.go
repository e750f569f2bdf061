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

// The closed loop: programs whose next turn waits for the last one, gateways that each
// see a part of them, and engines with finite speed and memory. Times are virtual
// milliseconds.
const (
	loopGateways   = 8
	loopEngines    = 12
	loopZones      = 3
	loopMs         = 36_000
	calmFromMs     = 8_000
	burstFromMs    = 12_000
	burstToMs      = 17_000
	loopShareMs    = 700
	sharedTokens   = 2_560
	sharedParts    = 6
	eventTokens    = 3
	outputTokens   = 33
	thinkMs        = 600
	programsPerMs  = 0.026
	burstFactor    = 2.2
	settledAfterMs = 25_000
	loopSlots      = 64
	// loopTargetMs is the time to the first event within which a turn is in time.
	loopTargetMs = 200
)

// decide picks an engine for a turn at a gateway.
type decide func(gateway *loopGateway, turn *loopTurn, nowMs int64) int

// loopGateway is what one gateway knows.
type loopGateway struct {
	name   string
	zone   int
	pool   *scheduling.LatencyModel
	health []*scheduling.EngineHealth
	// inFlight, wait and pace are what the earlier policy went by.
	inFlight   []int
	wait, pace []float64
	admission  scheduling.AdmissionController
}

type loopProgram struct {
	id      int
	turns   int
	tokens  int64
	history []emulator.Segment
	home    int
	// late says that a turn began later than loopTargetMs.
	late bool
}

type loopTurn struct {
	program *loopProgram
	gateway *loopGateway
	engine  int
	missing int64
	sentMs  int64
	lastMs  int64
	// pauses counts the pauses between events, and shortest is the shortest of them.
	pauses   int
	shortest float64
	// slots is how many requests each engine works on at once.
	slots int
}

// loop is one run.
type loop struct {
	draw     *rand.Rand
	models   []*emulator.Model
	gateways []*loopGateway
	board    *scheduling.LoadAggregator
	decide   decide
	turns    map[string]*loopTurn
	due      map[int64][]*loopProgram
	nextID   int
	// first are the times to first events by the second of the send.
	first map[int64][]float64
	away  int
	sent  int
	// admits says that new programs need to be admitted; overload, from burstFromMs on, that
	// the burst does not end.
	admits   bool
	overload bool
	begun    int
	rejected int
	inTime   int
	// slots is how many requests an engine works on at once.
	slots int
	// speeds are the engines'; nil where they are alike. clocks are what of the virtual time
	// each has had, microseconds: the time of a slow engine, or of one in a spell, runs slower.
	speeds []float64
	spells bool
	clocks []float64
	// population is how many programs are under way at all times, 0 where they come as they do.
	population int
	// ended counts the turns that ended after learntMs, and busy adds up those under way.
	ended int
	busy  int
	// began and onEnd, where set, hear of first events and of turns that have ended.
	began func(turn *loopTurn, tookMs float64)
	onEnd func(turn *loopTurn, nowMs int64)
}

func newLoop(seed uint64, hardware engine.Hardware, policy decide) *loop {
	l := &loop{
		draw: rand.New(rand.NewPCG(seed, 3)), board: scheduling.NewLoadAggregator(), decide: policy,
		turns: map[string]*loopTurn{}, due: map[int64][]*loopProgram{}, first: map[int64][]float64{},
		slots: hardware.MaxSequences, clocks: make([]float64, loopEngines),
	}
	for range loopEngines {
		l.models = append(l.models, emulator.NewModel(hardware))
	}
	for number := range loopGateways {
		gateway := &loopGateway{
			name: fmt.Sprint("g", number), zone: number % loopZones, pool: &scheduling.LatencyModel{},
			inFlight: make([]int, loopEngines), wait: make([]float64, loopEngines), pace: make([]float64, loopEngines),
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
		if l.population == 0 && l.draw.Float64() < rate {
			l.begin(nowMs)
		}
		l.passTime(nowMs)
		for _, program := range l.due[nowMs] {
			l.send(program, nowMs)
		}
		delete(l.due, nowMs)
		for number, model := range l.models {
			l.take(number, model.Advance(int64(l.clocks[number])), nowMs)
		}
		if nowMs%(loopShareMs/loopGateways) == 0 {
			l.share(l.gateways[int(nowMs/(loopShareMs/loopGateways))%loopGateways], nowMs)
		}
	}
}

// begin starts a program: a short one with long inputs, or now and then a long one.
func (l *loop) begin(nowMs int64) {
	program := l.newProgram()
	if l.admits && !l.admit(program, nowMs) {
		l.rejected++
		return
	}
	l.begun++
	l.send(program, nowMs)
}

// newProgram returns a program that has not begun.
func (l *loop) newProgram() *loopProgram {
	l.nextID++
	program := &loopProgram{id: l.nextID, turns: 4, tokens: 1_030, home: -1}
	if l.nextID%4 == 0 {
		program.turns, program.tokens = 11, 514
	}
	shared := uint64(1 + l.draw.IntN(sharedParts))
	program.history = []emulator.Segment{{Chain: shared, Tokens: sharedTokens}}
	return program
}

// admit has a gateway decide whether a program may begin.
func (l *loop) admit(program *loopProgram, nowMs int64) bool {
	gateway := l.gateways[l.draw.IntN(loopGateways)]
	concurrency := 0.0
	for _, health := range gateway.health {
		concurrency += health.EstimatedInFlight(nowMs) / loopEngines
	}
	gateway.admission.UpdateLimit(nowMs, concurrency, loopSlots)
	_, admitted := gateway.admission.Admit(concurrency, 0, 1, float64(program.id%97)/97)
	return admitted
}

func (l *loop) send(program *loopProgram, nowMs int64) {
	chain := uint64(program.id)<<16 + uint64(program.turns)<<1
	program.history = append(program.history, emulator.Segment{Chain: chain, Tokens: program.tokens})
	gateway := l.gateways[l.draw.IntN(loopGateways)]
	turn := &loopTurn{program: program, gateway: gateway, sentMs: nowMs, slots: l.slots}
	turn.engine = l.decide(gateway, turn, nowMs)
	l.sent++
	if program.home >= 0 && program.home != turn.engine {
		l.away++
	}
	gateway.inFlight[turn.engine]++
	id := fmt.Sprint(program.id, "-", program.turns)
	l.turns[id] = turn
	l.models[turn.engine].Submit(emulator.Job{
		ID: id, Program: fmt.Sprint(program.id), Segments: slices.Clone(program.history), OutputTokens: outputTokens, AnswerChain: chain + 1,
	}, int64(l.clocks[turn.engine]))
}

// take hands an engine's progress to the gateways and goes on with the programs.
func (l *loop) take(number int, progress []emulator.Progress, nowMs int64) {
	for _, step := range progress {
		turn := l.turns[step.ID]
		health := turn.gateway.health[number]
		switch {
		case step.Generated == 1:
			took := float64(nowMs - turn.sentMs)
			second := turn.sentMs / 1000
			l.first[second] = append(l.first[second], took)
			if l.began != nil {
				l.began(turn, took)
			}
			turn.gateway.pool.ObserveFirstEvent(health, nowMs, turn.missing, took)
			turn.gateway.admission.ObserveStreamStart(nowMs, took > loopTargetMs)
			turn.program.late = turn.program.late || took > loopTargetMs
			turn.gateway.wait[number] += 0.1 * (took - turn.gateway.wait[number])
			turn.lastMs = nowMs
		case step.Generated%eventTokens == 0:
			gap := float64(nowMs - turn.lastMs)
			turn.gateway.pool.ObserveEventGap(health, nowMs, gap)
			turn.gateway.pace[number] += 0.015 * (gap - turn.gateway.pace[number])
			if turn.pauses == 0 || gap < turn.shortest {
				turn.shortest = gap
			}
			turn.pauses++
			turn.lastMs = nowMs
		}
		if step.Done {
			l.end(step.ID, turn, number, nowMs)
		}
	}
}

func (l *loop) end(id string, turn *loopTurn, number int, nowMs int64) {
	delete(l.turns, id)
	if l.onEnd != nil {
		l.onEnd(turn, nowMs)
	}
	turn.gateway.health[number].RecordEnd(nowMs)
	turn.gateway.pool.ObserveStreamLength(nowMs, outputTokens/eventTokens)
	turn.gateway.pool.ObserveStreamPace(turn.gateway.health[number], nowMs, turn.pauses, turn.shortest)
	if nowMs >= learntMs {
		l.ended++
	}
	turn.gateway.inFlight[number]--
	program := turn.program
	last := program.history[len(program.history)-1]
	program.history = append(program.history, emulator.Segment{Chain: last.Chain + 1, Tokens: outputTokens})
	program.home = number
	if program.turns--; program.turns > 0 {
		at := nowMs + thinkMs
		l.due[at] = append(l.due[at], program)
		return
	}
	if !program.late {
		l.inTime++
	}
	if l.population > 0 {
		l.begin(nowMs)
	}
}

// share is a gateway's heartbeat.
func (l *loop) share(gateway *loopGateway, nowMs int64) {
	var loads []scheduling.EngineLoad
	var usages []scheduling.EngineUsage
	var names []string
	for number, health := range gateway.health {
		names = append(names, fmt.Sprintf("e%02d", number))
		if usage, said := health.CollectUsage(names[number], nowMs); said {
			usages = append(usages, usage)
		}
		if load, said := health.CollectLoad(names[number], nowMs); said {
			loads = append(loads, load)
		}
	}
	l.board.ReportLoads(gateway.name, loads, nowMs)
	l.board.ReportUsage(gateway.name, usages, nowMs)
	for _, usage := range l.board.Usages(names, nowMs) {
		gateway.health[slices.Index(names, usage.Engine)].ApplySharedUsage(usage, nowMs)
	}
	for _, load := range l.board.Loads(names, nowMs) {
		var number int
		if _, err := fmt.Sscanf(load.Engine, "e%02d", &number); err == nil {
			gateway.health[number].ApplySharedLoad(load, nowMs)
		}
	}
}

// median returns the median time to the first event of turns sent in some seconds.
func (l *loop) median(fromMs, toMs int64) float64 {
	var times []float64
	for second := fromMs / 1000; second < toMs/1000; second++ {
		times = append(times, l.first[second]...)
	}
	if len(times) == 0 {
		// Nothing that was sent in that time has begun yet.
		return loopMs
	}
	slices.Sort(times)
	return times[len(times)/2]
}

func zoneName(zone int) string { return fmt.Sprint("z", zone) }

// present is the policy in force.
func present(draw *rand.Rand) decide { return presentWithout(draw, nil) }

// presentWithout is the policy in force without some mechanisms.
func presentWithout(draw *rand.Rand, disabled scheduling.DisabledMechanisms) decide {
	return func(gateway *loopGateway, turn *loopTurn, nowMs int64) int {
		demand := scheduling.SelectionInput{IsStream: true, Zone: zoneName(gateway.zone), MaxEvents: 2 * outputTokens / eventTokens, ShuffleSeed: draw.Uint64(), NowMs: nowMs, Disabled: disabled}
		for number, segment := range turn.program.history {
			part := scheduling.PromptPart{ID: fmt.Sprint(segment.Chain), Tokens: segment.Tokens}
			if number == 0 {
				part.ID = fmt.Sprint("shared-", segment.Chain)
			}
			demand.Prompt = append(demand.Prompt, part)
		}
		demand.RemainingTurns = gateway.pool.RemainingTurns("", len(demand.Prompt))
		gateway.pool.ObserveTurn("", len(demand.Prompt))
		if turn.program.home >= 0 {
			demand.AffineEngine = fmt.Sprintf("e%02d", turn.program.home)
		}
		var candidates []scheduling.Candidate
		for number, health := range gateway.health {
			candidates = append(candidates, scheduling.Candidate{ID: fmt.Sprintf("e%02d", number), Zone: zoneName(number % loopZones), Slots: turn.slots, Health: health})
		}
		choice, _ := scheduling.SelectEngine(gateway.pool, candidates, demand)
		choice.Candidate.Health.RecordStart(nowMs)
		turn.missing = choice.PrefillTokens
		return slices.IndexFunc(candidates, func(c scheduling.Candidate) bool { return c.ID == choice.Candidate.ID })
	}
}

// earlier is the policy before rounds 16 to 18 (docs/measurements/platform.md): a gateway's
// own requests alone, and constants measured on the first users' engines.
func earlier(gateway *loopGateway, turn *loopTurn, _ int64) int {
	const readTokensPerMs, readWeight, crowdMs, farMs = 250.0, 8.0, 6.0, 200.0
	best, bestCost := 0, 0.0
	whole := int64(0)
	for _, segment := range turn.program.history {
		whole += segment.Tokens
	}
	for number := range gateway.health {
		missing := whole
		if number == turn.program.home {
			missing = turn.program.tokens
		}
		cost := outputTokens/eventTokens*(gateway.pace[number]+crowdMs*float64(gateway.inFlight[number])) + gateway.wait[number]
		cost += readWeight * float64(missing) / readTokensPerMs
		if number%loopZones != gateway.zone {
			cost += farMs
		}
		if number == 0 || cost < bestCost {
			best, bestCost = number, cost
		}
	}
	return best
}

// slowReader are engines that read a prompt slowly.
var slowReader = engine.Hardware{
	PrefillTokensPerSecond: 37_900, StepMicros: 4_630, SequenceMicros: 153, ContextNanosPerToken: 3, MemoryTokens: 211_000,
	ChunkTokens: 2_048, MaxSequences: loopSlots,
}

func TestClosedLoop(t *testing.T) {
	halfMemory := slowReader
	halfMemory.MemoryTokens /= 2
	quickReader := slowReader
	quickReader.PrefillTokensPerSecond *= 5
	quickReader.MaxSequences = 16
	Convey("after a burst the first events are soon as quick as before, on engines of any kind", t, func() {
		for name, hardware := range map[string]engine.Hardware{"slow reader": slowReader, "half the memory": halfMemory, "quick reader": quickReader} {
			for seed := range uint64(2) {
				l := newLoop(seed, hardware, present(rand.New(rand.NewPCG(seed, 4))))
				l.run()
				calm, after := l.median(calmFromMs, burstFromMs), l.median(settledAfterMs, loopMs-2_000)
				t.Logf("%s, seed %d: first event %.0f ms before, %.0f in, %.0f after the burst; %d of %d turns away", name, seed, calm, l.median(burstFromMs, burstToMs), after, l.away, l.sent)
				So(after, ShouldBeLessThan, 2.5*calm)
				So(l.away*10, ShouldBeLessThan, l.sent)
			}
		}
	})
	Convey("which the earlier policy did not reach on engines that read slowly", t, func() {
		for seed := range uint64(2) {
			l := newLoop(seed, slowReader, earlier)
			l.run()
			calm, after := l.median(calmFromMs, burstFromMs), l.median(settledAfterMs, loopMs-2_000)
			t.Logf("seed %d: first event %.0f ms before, %.0f after the burst; %d of %d turns away", seed, calm, after, l.away, l.sent)
			So(after, ShouldBeGreaterThan, 3*calm)
		}
	})
}

// TestAdmissionClosedLoop holds what admission is for: asked for more than engines can do,
// more programs end in time with it than without, and nobody is rejected while they keep up.
func TestAdmissionClosedLoop(t *testing.T) {
	Convey("under lasting overload more programs are in time when some are rejected", t, func() {
		for seed := range uint64(3) {
			inTime := map[bool]int{}
			for _, admits := range []bool{false, true} {
				l := newLoop(seed, slowReader, present(rand.New(rand.NewPCG(seed, 4))))
				l.overload, l.admits = true, admits
				l.run()
				inTime[admits] = l.inTime
				t.Logf("seed %d, admission %v: %d begun, %d rejected, %d in time", seed, admits, l.begun, l.rejected, l.inTime)
			}
			So(inTime[true], ShouldBeGreaterThan, inTime[false])
		}
	})
	Convey("engines that keep up take every program", t, func() {
		quick := slowReader
		quick.PrefillTokensPerSecond *= 5
		for seed := range uint64(3) {
			l := newLoop(seed, quick, present(rand.New(rand.NewPCG(seed, 4))))
			l.admits = true
			l.run()
			So(l.rejected, ShouldEqual, 0)
		}
	})
}
