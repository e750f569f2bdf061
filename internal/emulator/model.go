package emulator

import (
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/engine"
)

// Segment is a stretch of a prompt that is cached whole: one message. Chain
// identifies the prompt up to and with the segment.
type Segment struct {
	PrefixDigest uint64
	Tokens       int64
}

// Job is one call as the engine model sees it.
type Job struct {
	ID      string
	Program string
	// Priority orders jobs; lower is more urgent.
	Priority int
	Segments []Segment
	// OutputTokens is how long the answer will be; no scheduler sees it.
	OutputTokens int64
	// DigestWithResponse identifies the prompt with the answer appended.
	DigestWithResponse uint64
}

// Progress is what a job has reached at the end of a step.
type Progress struct {
	ID string
	// GeneratedTokens counts the answer's tokens so far.
	GeneratedTokens int64
	IsDone          bool
	// CachedTokens is how much of the prompt was in the cache at the start.
	CachedTokens int64
	PromptTokens int64
}

type sequence struct {
	job       Job
	arrivedUs int64
	order     uint64
	prompt    int64
	cached    int64
	// everCached is what the first start found; preemption doesn't change it.
	everCached int64
	started    bool
	prefilled  int64
	generated  int64
	// private counts the tokens of KV memory that only this sequence uses.
	private int64
}

// Model is an engine with continuous batching (Orca, OSDI 2022), chunked prefill
// (Sarathi-Serve, OSDI 2024) and a prefix cache in limited memory (vLLM, SOSP
// 2023; SGLang's RadixAttention, 2024). Times are virtual microseconds.
type Model struct {
	hardware engine.Hardware
	cache    *prefixCache
	waiting  []*sequence
	running  []*sequence
	order    uint64
	stepEnd  int64
	inStep   bool
	// chunk is what each running sequence prefills in the present step.
	chunk map[*sequence]int64

	// PrefilledTokens counts all prompt tokens computed, and RepeatedTokens those
	// that this engine or another had computed for the same program before; the
	// caller adds to the latter what it knows.
	PrefilledTokens int64
	Preemptions     int64
	BusyMicros      int64
}

// NewModel returns an idle engine.
func NewModel(hardware engine.Hardware) *Model {
	return &Model{hardware: hardware, cache: newPrefixCache(), chunk: map[*sequence]int64{}}
}

// Hardware returns what the engine runs on.
func (m *Model) Hardware() engine.Hardware { return m.hardware }

// JobCounts returns how many jobs run and wait.
func (m *Model) JobCounts() (running, waiting int) { return len(m.running), len(m.waiting) }

// FreeKVCacheTokens returns the KV memory that nothing holds.
func (m *Model) FreeKVCacheTokens() int64 { return m.hardware.KVCacheCapacityTokens - m.used() }

// CachedPrograms returns the programs whose cache is held, with their tokens, in ascending
// order of name.
func (m *Model) CachedPrograms() []engine.CachedProgram { return m.cache.held() }

// Submit queues a job.
func (m *Model) Submit(job Job, nowUs int64) {
	m.order++
	prompt := int64(0)
	for _, segment := range job.Segments {
		prompt += segment.Tokens
	}
	m.waiting = append(m.waiting, &sequence{job: job, arrivedUs: nowUs, order: m.order, prompt: prompt})
	if !m.inStep {
		m.beginStep(nowUs)
	}
}

// Cancel drops a job and what only it holds.
func (m *Model) Cancel(id string) {
	matches := func(s *sequence) bool { return s.job.ID == id }
	for _, sequence := range m.running {
		if matches(sequence) {
			m.cache.unpin(sequence.job.Segments)
			delete(m.chunk, sequence)
		}
	}
	m.running = slices.DeleteFunc(m.running, matches)
	m.waiting = slices.DeleteFunc(m.waiting, matches)
}

// ReleaseProgram drops the cache of a program that no job of it uses.
func (m *Model) ReleaseProgram(program string) {
	m.cache.release(program)
}

// ClearCache drops the whole cache, as a load of another model does.
func (m *Model) ClearCache() {
	m.cache = newPrefixCache()
}

// StepEndUs returns when the present step ends; false where the engine is idle.
func (m *Model) StepEndUs() (int64, bool) {
	return m.stepEnd, m.inStep
}

// Advance carries out every step that ends by nowUs.
func (m *Model) Advance(nowUs int64) []Progress {
	var progress []Progress
	for m.inStep && m.stepEnd <= nowUs {
		progress = append(progress, m.endStep()...)
		m.beginStep(m.stepEnd)
	}
	return progress
}

func (m *Model) used() int64 {
	total := m.cache.tokens
	for _, sequence := range m.running {
		total += sequence.private
	}
	return total
}

// beginStep admits jobs, plans chunks and sets the step's end.
func (m *Model) beginStep(nowUs int64) {
	m.admit()
	m.inStep = len(m.running) > 0
	if !m.inStep {
		return
	}
	clear(m.chunk)
	budget := m.hardware.MaxPrefillTokensPerStep
	prefill := int64(0)
	context := int64(0)
	for _, sequence := range m.running {
		remaining := sequence.prompt + sequence.generated - sequence.cached - sequence.prefilled
		if remaining > 0 {
			part := min(remaining, budget)
			m.chunk[sequence] = part
			budget -= part
			prefill += part
			continue
		}
		context += sequence.prompt + sequence.generated
	}
	micros := m.hardware.BaseStepMicros + int64(len(m.running))*m.hardware.StepMicrosPerSequence +
		context*m.hardware.ContextNanosPerToken/1000 + prefill*1_000_000/m.hardware.PrefillTokensPerSecond
	m.BusyMicros += micros
	m.PrefilledTokens += prefill
	m.stepEnd = nowUs + micros
}

// admit starts waiting jobs in order of priority, then arrival, while memory and
// batch have room; a more urgent job may preempt a less urgent one.
func (m *Model) admit() {
	slices.SortStableFunc(m.waiting, func(a, b *sequence) int {
		if a.job.Priority != b.job.Priority {
			return a.job.Priority - b.job.Priority
		}
		return int(int64(a.order) - int64(b.order))
	})
	for len(m.waiting) > 0 {
		next := m.waiting[0]
		for !m.fits(next) {
			if !m.preemptFor(next) {
				return
			}
		}
		m.waiting = m.waiting[1:]
		m.start(next)
	}
}

// fits makes room in the cache where that is enough for the job.
func (m *Model) fits(next *sequence) bool {
	if len(m.running) >= m.hardware.MaxSequences {
		return false
	}
	cached := m.cache.match(next.job.Segments)
	need := next.prompt - cached + next.job.OutputTokens
	if need > m.hardware.KVCacheCapacityTokens {
		// A job that can never fit runs alone with all the memory.
		return len(m.running) == 0
	}
	m.cache.pin(next.job.Segments)
	free := m.cache.evict(need - m.FreeKVCacheTokens())
	m.cache.unpin(next.job.Segments)
	return free || m.FreeKVCacheTokens() >= need
}

func (m *Model) preemptFor(next *sequence) bool {
	victim := -1
	for position, running := range m.running {
		if running.job.Priority <= next.job.Priority {
			continue
		}
		if victim < 0 || running.job.Priority > m.running[victim].job.Priority ||
			(running.job.Priority == m.running[victim].job.Priority && running.order > m.running[victim].order) {
			victim = position
		}
	}
	if victim < 0 {
		return false
	}
	preempted := m.running[victim]
	m.running = slices.Delete(m.running, victim, victim+1)
	m.cache.unpin(preempted.job.Segments)
	preempted.cached = 0
	preempted.prefilled = 0
	preempted.private = 0
	m.Preemptions++
	m.waiting = append(m.waiting, preempted)
	return true
}

func (m *Model) start(next *sequence) {
	next.cached = m.cache.match(next.job.Segments)
	m.cache.pin(next.job.Segments)
	if !next.started {
		next.started = true
		next.everCached = next.cached
	}
	next.private = next.prompt - next.cached + next.job.OutputTokens
	m.running = append(m.running, next)
}

// endStep moves every running sequence on by its chunk or by one token.
func (m *Model) endStep() []Progress {
	var progress []Progress
	var still []*sequence
	for _, sequence := range m.running {
		remaining := sequence.prompt + sequence.generated - sequence.cached - sequence.prefilled
		part := m.chunk[sequence]
		sequence.prefilled += part
		if remaining > part {
			still = append(still, sequence)
			continue
		}
		sequence.generated++
		if part == 0 {
			sequence.prefilled++
		}
		done := sequence.generated >= sequence.job.OutputTokens
		progress = append(progress, Progress{
			ID: sequence.job.ID, GeneratedTokens: sequence.generated, IsDone: done,
			CachedTokens: sequence.everCached, PromptTokens: sequence.prompt,
		})
		if !done {
			still = append(still, sequence)
			continue
		}
		m.finish(sequence)
	}
	m.running = still
	return progress
}

// finish leaves the prompt and the answer in the cache.
func (m *Model) finish(done *sequence) {
	m.cache.unpin(done.job.Segments)
	segments := append(slices.Clone(done.job.Segments), Segment{PrefixDigest: done.job.DigestWithResponse, Tokens: done.job.OutputTokens})
	m.cache.insert(done.job.Program, segments)
	m.cache.evict(m.cache.tokens - m.hardware.KVCacheCapacityTokens)
}

// prefixCache is a tree of segments, evicted leaf first, least recent first.
type prefixCache struct {
	nodes  map[uint64]*cacheNode
	tokens int64
	clock  uint64
}

type cacheNode struct {
	chain    uint64
	parent   uint64
	tokens   int64
	program  string
	children int
	pins     int
	used     uint64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{nodes: map[uint64]*cacheNode{}}
}

// match returns how many tokens of a prompt are cached, from its start.
func (c *prefixCache) match(segments []Segment) int64 {
	var tokens int64
	for _, segment := range segments {
		if _, ok := c.nodes[segment.PrefixDigest]; !ok {
			break
		}
		tokens += segment.Tokens
	}
	// The last token is always computed, to have something to sample from.
	if len(segments) > 0 && tokens > 0 && c.nodes[segments[len(segments)-1].PrefixDigest] != nil {
		tokens--
	}
	return tokens
}

func (c *prefixCache) pin(segments []Segment)   { c.count(segments, 1) }
func (c *prefixCache) unpin(segments []Segment) { c.count(segments, -1) }

func (c *prefixCache) count(segments []Segment, by int) {
	c.clock++
	for _, segment := range segments {
		node, ok := c.nodes[segment.PrefixDigest]
		if !ok {
			return
		}
		node.pins = max(0, node.pins+by)
		node.used = c.clock
	}
}

func (c *prefixCache) insert(program string, segments []Segment) {
	c.clock++
	parent := uint64(0)
	for _, segment := range segments {
		node, ok := c.nodes[segment.PrefixDigest]
		if !ok {
			node = &cacheNode{chain: segment.PrefixDigest, parent: parent, tokens: segment.Tokens, program: program}
			c.nodes[segment.PrefixDigest] = node
			c.tokens += segment.Tokens
			if above, ok := c.nodes[parent]; ok {
				above.children++
			}
		}
		node.used = c.clock
		parent = segment.PrefixDigest
	}
}

func (c *prefixCache) remove(node *cacheNode) {
	delete(c.nodes, node.chain)
	c.tokens -= node.tokens
	if above, ok := c.nodes[node.parent]; ok {
		above.children--
	}
}

// evict drops at least the given tokens where it can, and reports whether it
// could.
func (c *prefixCache) evict(tokens int64) bool {
	if tokens <= 0 {
		return true
	}
	goal := c.tokens - tokens
	for c.tokens > goal {
		oldest := c.oldestLeaf()
		if oldest == nil {
			return false
		}
		c.remove(oldest)
	}
	return true
}

func (c *prefixCache) oldestLeaf() *cacheNode {
	var oldest *cacheNode
	for _, node := range c.nodes {
		if node.children > 0 || node.pins > 0 {
			continue
		}
		if oldest == nil || node.used < oldest.used || (node.used == oldest.used && node.chain < oldest.chain) {
			oldest = node
		}
	}
	return oldest
}

// release drops a program's segments, leaves first.
func (c *prefixCache) release(program string) {
	for {
		dropped := false
		for _, node := range c.nodes {
			if node.program == program && node.children == 0 && node.pins == 0 {
				c.remove(node)
				dropped = true
			}
		}
		if !dropped {
			return
		}
	}
}

func (c *prefixCache) held() []engine.CachedProgram {
	tokens := map[string]int64{}
	for _, node := range c.nodes {
		tokens[node.program] += node.tokens
	}
	list := make([]engine.CachedProgram, 0, len(tokens))
	for program, count := range tokens {
		list = append(list, engine.CachedProgram{Program: program, Tokens: count})
	}
	slices.SortFunc(list, func(a, b engine.CachedProgram) int { return strings.Compare(a.Program, b.Program) })
	return list
}
