package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// Step is one thing that a program does. A caller knows it only when it gets
// there; ochrebay never does.
type Step struct {
	// PromptTokens and OutputTokens describe a call.
	PromptTokens int64
	OutputTokens int64
	// ToolDurationMs is the time that the tool before this call takes, Tool its name;
	// Hang says that it never answers.
	ToolDurationMs int64
	Tool           string
	ToolHangs      bool
	// SubAgent holds the calls of a sub-agent that runs after this call.
	SubAgent []Step
}

// Program is one program of a workload.
type Program struct {
	ID         int
	Service    string
	Tenant     string
	ArrivalMs  int64
	Steps      []Step
	AtMostOnce bool
	Loops      bool
	// TimeoutMs bounds each call; zero leaves it to the settings.
	TimeoutMs    int64
	BudgetTokens int64
}

// CallCount counts the calls of a program, sub-agents included.
func (p Program) CallCount() int {
	count := 0
	for _, step := range p.Steps {
		count += 1 + len(step.SubAgent)
	}
	return count
}

// Generate returns the programs that arrive within a time at a load, the same
// for the same seed.
func Generate(deployment Deployment, seed uint64, load float64, durationMs int64) []Program {
	random := rand.New(rand.NewPCG(seed, 0x6f636872))
	var programs []Program
	rate := deployment.ProgramsPerSecond * load
	atMs := 0.0
	for rate > 0 {
		atMs += random.ExpFloat64() / rate * 1000
		if int64(atMs) >= durationMs {
			break
		}
		shape := pickShape(deployment.Workload, random)
		for range max(1, burstOf(shape, random)) {
			programs = append(programs, shape.program(len(programs), int64(atMs), random))
		}
	}
	slices.SortStableFunc(programs, func(a, b Program) int { return int(a.ArrivalMs - b.ArrivalMs) })
	return programs
}

func pickShape(shapes []ServiceWorkload, random *rand.Rand) ServiceWorkload {
	total := 0.0
	for _, shape := range shapes {
		total += shape.Weight
	}
	drawn := random.Float64() * total
	for _, shape := range shapes {
		if drawn -= shape.Weight; drawn < 0 {
			return shape
		}
	}
	return shapes[len(shapes)-1]
}

// burstOf returns how many programs arrive at once; one arrival in twenty of a
// service that bursts is a burst.
func burstOf(shape ServiceWorkload, random *rand.Rand) int {
	if shape.BurstSize > 1 && random.IntN(20) == 0 {
		return shape.BurstSize
	}
	return 1
}

func (r LogUniformRange) draw(random *rand.Rand) float64 {
	if r.High <= r.Low || r.Low <= 0 {
		return max(r.Low, 0)
	}
	return r.Low * math.Pow(r.High/r.Low, random.Float64())
}

func (r LogUniformRange) whole(random *rand.Rand) int64 {
	return int64(math.Round(r.draw(random)))
}

const loopTurns = 400

func (s ServiceWorkload) program(id int, atMs int64, random *rand.Rand) Program {
	program := Program{
		ID: id, Service: s.Service, Tenant: fmt.Sprintf("tenant-%d", random.IntN(8)), ArrivalMs: atMs, AtMostOnce: s.AtMostOnce,
		TimeoutMs: s.TimeoutMs, BudgetTokens: s.BudgetTokens,
	}
	turns := max(1, s.Turns.whole(random))
	program.Loops = random.Float64() < s.LoopProbability
	if program.Loops {
		turns = loopTurns
	}
	for turn := range turns {
		step := s.step(turn == 0, random)
		if random.Float64() < s.SubAgentProbability {
			for range max(1, s.SubAgentTurns.whole(random)) {
				step.SubAgent = append(step.SubAgent, s.step(false, random))
			}
		}
		program.Steps = append(program.Steps, step)
	}
	return program
}

func (s ServiceWorkload) step(first bool, random *rand.Rand) Step {
	prompt := s.LaterPromptTokens
	if first {
		prompt = s.FirstPromptTokens
	}
	step := Step{PromptTokens: max(4, prompt.whole(random)), OutputTokens: max(8, s.OutputTokens.whole(random))}
	if !first {
		step.ToolDurationMs = s.ToolDurationMs.whole(random)
		if len(s.Tools) > 0 {
			step.Tool = s.Tools[random.IntN(len(s.Tools))]
		}
		step.ToolHangs = random.Float64() < s.HangProbability
	}
	return step
}

// Text returns a message of about the given number of tokens; its first words
// carry the label and the directive that tells an emulated engine how long to
// answer.
func Text(label string, tokens, output int64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s #out=%d ", label, output)
	for int64(text.Len()) < tokens*4 {
		text.WriteString("abc ")
	}
	return text.String()
}
