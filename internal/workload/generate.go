package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// Step is one step of a program: a tool call, a model call and optionally a
// sub-agent. Steps are revealed to ochrebay only as the program reaches them.
type Step struct {
	// PromptTokens is the length of the new message of the call, and OutputTokens
	// the length of the response.
	PromptTokens int64
	OutputTokens int64
	// ToolDurationMs is the duration of the tool call before this model call, and Tool
	// the name of the tool. ToolHangs makes the tool call hang.
	ToolDurationMs int64
	Tool           string
	ToolHangs      bool
	// SubAgent holds the steps of a sub-agent that runs after this call.
	SubAgent []Step
}

// Program is one generated agent program.
type Program struct {
	ID         int
	Service    string
	Tenant     string
	ArrivalMs  int64
	Steps      []Step
	AtMostOnce bool
	Loops      bool
	// TimeoutMs limits each call; with 0 the settings apply.
	TimeoutMs    int64
	BudgetTokens int64
}

// CallCount returns the number of calls of a program, including those of sub-agents.
func (p Program) CallCount() int {
	count := 0
	for _, step := range p.Steps {
		count += 1 + len(step.SubAgent)
	}
	return count
}

// Generate returns the programs that arrive within durationMs at the given load, in
// order of arrival. Arrivals are a Poisson process. The result is deterministic for a
// seed.
func Generate(deployment Deployment, seed uint64, load float64, durationMs int64) []Program {
	// The second half of the generator's seed is fixed: "ochr" in ASCII.
	random := rand.New(rand.NewPCG(seed, 0x6f636872))
	var programs []Program
	arrivalsPerSecond := deployment.ProgramsPerSecond * load
	atMs := 0.0
	for arrivalsPerSecond > 0 {
		atMs += random.ExpFloat64() / arrivalsPerSecond * 1000
		if int64(atMs) >= durationMs {
			break
		}
		service := chooseService(deployment.Workload, random)
		for range max(1, arrivalBatchSize(service, random)) {
			programs = append(programs, service.newProgram(len(programs), int64(atMs), random))
		}
	}
	slices.SortStableFunc(programs, func(a, b Program) int { return int(a.ArrivalMs - b.ArrivalMs) })
	return programs
}

func chooseService(services []ServiceWorkload, random *rand.Rand) ServiceWorkload {
	totalWeight := 0.0
	for _, service := range services {
		totalWeight += service.Weight
	}
	remainingWeight := random.Float64() * totalWeight
	for _, service := range services {
		if remainingWeight -= service.Weight; remainingWeight < 0 {
			return service
		}
	}
	return services[len(services)-1]
}

// arrivalBatchSize returns the number of programs that arrive at once. One in twenty
// arrivals of a service with a BurstSize above 1 is a burst.
func arrivalBatchSize(service ServiceWorkload, random *rand.Rand) int {
	if service.BurstSize > 1 && random.IntN(20) == 0 {
		return service.BurstSize
	}
	return 1
}

func (r LogUniformRange) sample(random *rand.Rand) float64 {
	if r.High <= r.Low || r.Low <= 0 {
		return max(r.Low, 0)
	}
	return r.Low * math.Pow(r.High/r.Low, random.Float64())
}

func (r LogUniformRange) sampleInt(random *rand.Rand) int64 {
	return int64(math.Round(r.sample(random)))
}

// turnsOfLoopingProgram replaces the sampled number of turns if a program loops.
const turnsOfLoopingProgram = 400

func (s ServiceWorkload) newProgram(id int, atMs int64, random *rand.Rand) Program {
	program := Program{
		ID: id, Service: s.Service, Tenant: fmt.Sprintf("tenant-%d", random.IntN(8)), ArrivalMs: atMs, AtMostOnce: s.AtMostOnce,
		TimeoutMs: s.TimeoutMs, BudgetTokens: s.BudgetTokens,
	}
	turns := max(1, s.Turns.sampleInt(random))
	program.Loops = random.Float64() < s.LoopProbability
	if program.Loops {
		turns = turnsOfLoopingProgram
	}
	for turn := range turns {
		step := s.newStep(turn == 0, random)
		if random.Float64() < s.SubAgentProbability {
			for range max(1, s.SubAgentTurns.sampleInt(random)) {
				step.SubAgent = append(step.SubAgent, s.newStep(false, random))
			}
		}
		program.Steps = append(program.Steps, step)
	}
	return program
}

func (s ServiceWorkload) newStep(isFirst bool, random *rand.Rand) Step {
	promptRange := s.LaterPromptTokens
	if isFirst {
		promptRange = s.FirstPromptTokens
	}
	// 8 tokens is the shortest response that an emulated engine generates.
	step := Step{PromptTokens: max(4, promptRange.sampleInt(random)), OutputTokens: max(8, s.OutputTokens.sampleInt(random))}
	if !isFirst {
		step.ToolDurationMs = s.ToolDurationMs.sampleInt(random)
		if len(s.Tools) > 0 {
			step.Tool = s.Tools[random.IntN(len(s.Tools))]
		}
		step.ToolHangs = random.Float64() < s.HangProbability
	}
	return step
}

// Text returns a message of about the given number of tokens, at 4 bytes per token. It
// starts with the label and the directive that sets the length of an emulated engine's
// response.
func Text(label string, tokens, outputTokens int64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s #out=%d ", label, outputTokens)
	for int64(text.Len()) < tokens*4 {
		text.WriteString("abc ")
	}
	return text.String()
}
