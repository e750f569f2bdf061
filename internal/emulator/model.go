package emulator

import (
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/engine"
)

// Segment is the unit of the prefix cache: one message of a prompt. PrefixDigest
// identifies the prompt up to and including the segment.
type Segment struct {
	PrefixDigest uint64
	Tokens       int64
}

// Job is one request to the engine model.
type Job struct {
	ID      string
	Program string
	// Priority orders jobs; a lower value is more urgent.
	Priority int
	Segments []Segment
	// OutputTokens is the length of the response. It is hidden from schedulers.
	OutputTokens int64
	// DigestWithResponse identifies the prompt followed by the response.
	DigestWithResponse uint64
}

// Progress is the progress of a job at the end of a step that generated a token for it.
type Progress struct {
	ID string
	// GeneratedTokens is the number of response tokens generated so far.
	GeneratedTokens int64
	IsDone          bool
	// CachedTokens is the number of prompt tokens in the cache when the job first started.
	CachedTokens int64
	PromptTokens int64
}

type sequence struct {
	job          Job
	arrivedUs    int64
	arrivalOrder uint64
	promptTokens int64
	cachedTokens int64
	// initiallyCachedTokens is the value of cachedTokens at the first start; a
	// restart after a preemption does not change it.
	initiallyCachedTokens int64
	hasStarted            bool
	prefilledTokens       int64
	generatedTokens       int64
	// privateTokens is the number of KV-cache tokens that only this sequence uses.
	privateTokens int64
}

// Model simulates an engine with continuous batching (Orca, OSDI 2022), chunked
// prefill (Sarathi-Serve, OSDI 2024) and a prefix cache of limited size (vLLM, SOSP
// 2023; SGLang's RadixAttention, 2024). Times are virtual microseconds.
type Model struct {
	hardware         engine.Hardware
	cache            *prefixCache
	waiting          []*sequence
	running          []*sequence
	lastArrivalOrder uint64
	stepEndUs        int64
	isStepping       bool
	// prefillChunks holds the number of tokens that each running sequence prefills
	// in the current step.
	prefillChunks map[*sequence]int64

	// PrefilledTokens counts all tokens computed by prefill, including those
	// recomputed after a preemption. Each generated token except the last of a job is
	// also counted, because the step that generates the next token prefills it.
	PrefilledTokens int64
	Preemptions     int64
	BusyMicros      int64
}

// NewModel returns an idle engine.
func NewModel(hardware engine.Hardware) *Model {
	return &Model{hardware: hardware, cache: newPrefixCache(), prefillChunks: map[*sequence]int64{}}
}

// Hardware returns the hardware that the engine runs on.
func (m *Model) Hardware() engine.Hardware { return m.hardware }

// JobCounts returns the numbers of running and waiting jobs.
func (m *Model) JobCounts() (running, waiting int) { return len(m.running), len(m.waiting) }

// FreeKVCacheTokens returns the unused KV-cache capacity in tokens.
func (m *Model) FreeKVCacheTokens() int64 { return m.hardware.KVCacheCapacityTokens - m.usedTokens() }

// CachedPrograms returns the programs in the prefix cache with their token counts, in
// ascending order of program ID.
func (m *Model) CachedPrograms() []engine.CachedProgram { return m.cache.cachedPrograms() }

// Submit adds a job to the wait queue and starts a step if the engine is idle.
func (m *Model) Submit(job Job, nowUs int64) {
	m.lastArrivalOrder++
	promptTokens := int64(0)
	for _, segment := range job.Segments {
		promptTokens += segment.Tokens
	}
	m.waiting = append(m.waiting, &sequence{job: job, arrivedUs: nowUs, arrivalOrder: m.lastArrivalOrder, promptTokens: promptTokens})
	if !m.isStepping {
		m.beginStep(nowUs)
	}
}

// Cancel removes a job and frees the KV-cache tokens that only this job uses.
func (m *Model) Cancel(id string) {
	matches := func(s *sequence) bool { return s.job.ID == id }
	for _, sequence := range m.running {
		if matches(sequence) {
			m.cache.unpin(sequence.job.Segments)
			delete(m.prefillChunks, sequence)
		}
	}
	m.running = slices.DeleteFunc(m.running, matches)
	m.waiting = slices.DeleteFunc(m.waiting, matches)
}

// ReleaseProgram drops the cached segments of a program, except those that a running
// job uses or that a remaining segment extends.
func (m *Model) ReleaseProgram(program string) {
	m.cache.releaseProgram(program)
}

// ClearCache drops the whole prefix cache, as loading another model does.
func (m *Model) ClearCache() {
	m.cache = newPrefixCache()
}

// StepEndUs returns the time at which the current step ends; it returns false if the
// engine is idle.
func (m *Model) StepEndUs() (int64, bool) {
	return m.stepEndUs, m.isStepping
}

// Advance executes every step that ends at or before nowUs and returns the progress of
// the jobs.
func (m *Model) Advance(nowUs int64) []Progress {
	var progress []Progress
	for m.isStepping && m.stepEndUs <= nowUs {
		progress = append(progress, m.endStep()...)
		m.beginStep(m.stepEndUs)
	}
	return progress
}

func (m *Model) usedTokens() int64 {
	total := m.cache.tokens
	for _, sequence := range m.running {
		total += sequence.privateTokens
	}
	return total
}

// beginStep admits waiting jobs, plans the prefill chunks and sets the end of the step.
func (m *Model) beginStep(nowUs int64) {
	m.admitWaiting()
	m.isStepping = len(m.running) > 0
	if !m.isStepping {
		return
	}
	clear(m.prefillChunks)
	prefillBudget := m.hardware.MaxPrefillTokensPerStep
	prefillTokens := int64(0)
	contextTokens := int64(0)
	for _, sequence := range m.running {
		remaining := sequence.promptTokens + sequence.generatedTokens - sequence.cachedTokens - sequence.prefilledTokens
		if remaining > 0 {
			chunkTokens := min(remaining, prefillBudget)
			m.prefillChunks[sequence] = chunkTokens
			prefillBudget -= chunkTokens
			prefillTokens += chunkTokens
			continue
		}
		contextTokens += sequence.promptTokens + sequence.generatedTokens
	}
	stepMicros := m.hardware.BaseStepMicros + int64(len(m.running))*m.hardware.StepMicrosPerSequence +
		contextTokens*m.hardware.ContextNanosPerToken/1000 + prefillTokens*1_000_000/m.hardware.PrefillTokensPerSecond
	m.BusyMicros += stepMicros
	m.PrefilledTokens += prefillTokens
	m.stepEndUs = nowUs + stepMicros
}

// admitWaiting starts waiting jobs by priority, then by order of arrival, while the KV
// cache and the batch have capacity. A more urgent job may preempt a less urgent one.
func (m *Model) admitWaiting() {
	slices.SortStableFunc(m.waiting, func(a, b *sequence) int {
		if a.job.Priority != b.job.Priority {
			return a.job.Priority - b.job.Priority
		}
		return int(int64(a.arrivalOrder) - int64(b.arrivalOrder))
	})
	for len(m.waiting) > 0 {
		candidate := m.waiting[0]
		for !m.makeRoomFor(candidate) {
			if !m.preemptFor(candidate) {
				return
			}
		}
		m.waiting = m.waiting[1:]
		m.startSequence(candidate)
	}
}

// makeRoomFor evicts unused cached segments as needed and reports whether the job fits
// into the batch and the KV cache.
func (m *Model) makeRoomFor(candidate *sequence) bool {
	if len(m.running) >= m.hardware.MaxSequences {
		return false
	}
	cachedTokens := m.cache.cachedPrefixTokens(candidate.job.Segments)
	neededTokens := candidate.promptTokens - cachedTokens + candidate.job.OutputTokens
	if neededTokens > m.hardware.KVCacheCapacityTokens {
		// A job that exceeds the KV-cache capacity runs alone.
		return len(m.running) == 0
	}
	m.cache.pin(candidate.job.Segments)
	hasRoom := m.cache.evict(neededTokens - m.FreeKVCacheTokens())
	m.cache.unpin(candidate.job.Segments)
	return hasRoom || m.FreeKVCacheTokens() >= neededTokens
}

// preemptFor preempts the least urgent running job if it is less urgent than the
// candidate; among equally urgent jobs it chooses the one that arrived last. It reports
// whether it preempted a job.
func (m *Model) preemptFor(candidate *sequence) bool {
	victim := -1
	for position, running := range m.running {
		if running.job.Priority <= candidate.job.Priority {
			continue
		}
		if victim < 0 || running.job.Priority > m.running[victim].job.Priority ||
			(running.job.Priority == m.running[victim].job.Priority && running.arrivalOrder > m.running[victim].arrivalOrder) {
			victim = position
		}
	}
	if victim < 0 {
		return false
	}
	preempted := m.running[victim]
	m.running = slices.Delete(m.running, victim, victim+1)
	m.cache.unpin(preempted.job.Segments)
	preempted.cachedTokens = 0
	preempted.prefilledTokens = 0
	preempted.privateTokens = 0
	m.Preemptions++
	m.waiting = append(m.waiting, preempted)
	return true
}

func (m *Model) startSequence(candidate *sequence) {
	candidate.cachedTokens = m.cache.cachedPrefixTokens(candidate.job.Segments)
	m.cache.pin(candidate.job.Segments)
	if !candidate.hasStarted {
		candidate.hasStarted = true
		candidate.initiallyCachedTokens = candidate.cachedTokens
	}
	candidate.privateTokens = candidate.promptTokens - candidate.cachedTokens + candidate.job.OutputTokens
	m.running = append(m.running, candidate)
}

// endStep advances every running sequence by its prefill chunk, which is empty if the
// other sequences used up the limit of the step. A sequence without remaining tokens to
// prefill also generates one token.
func (m *Model) endStep() []Progress {
	var progress []Progress
	var stillRunning []*sequence
	for _, sequence := range m.running {
		remaining := sequence.promptTokens + sequence.generatedTokens - sequence.cachedTokens - sequence.prefilledTokens
		chunkTokens := m.prefillChunks[sequence]
		sequence.prefilledTokens += chunkTokens
		if remaining > chunkTokens {
			stillRunning = append(stillRunning, sequence)
			continue
		}
		sequence.generatedTokens++
		if chunkTokens == 0 {
			sequence.prefilledTokens++
		}
		done := sequence.generatedTokens >= sequence.job.OutputTokens
		progress = append(progress, Progress{
			ID: sequence.job.ID, GeneratedTokens: sequence.generatedTokens, IsDone: done,
			CachedTokens: sequence.initiallyCachedTokens, PromptTokens: sequence.promptTokens,
		})
		if !done {
			stillRunning = append(stillRunning, sequence)
			continue
		}
		m.finishSequence(sequence)
	}
	m.running = stillRunning
	return progress
}

// finishSequence stores the prompt and the response of a finished sequence in the cache.
func (m *Model) finishSequence(finished *sequence) {
	m.cache.unpin(finished.job.Segments)
	segments := append(slices.Clone(finished.job.Segments), Segment{PrefixDigest: finished.job.DigestWithResponse, Tokens: finished.job.OutputTokens})
	m.cache.insert(finished.job.Program, segments)
	m.cache.evict(m.cache.tokens - m.hardware.KVCacheCapacityTokens)
}

// prefixCache is a tree of segments. It evicts the least recently used leaf first.
type prefixCache struct {
	nodes       map[uint64]*cacheNode
	tokens      int64
	accessClock uint64
}

type cacheNode struct {
	digest       uint64
	parentDigest uint64
	tokens       int64
	// program is the program that inserted the segment first.
	program    string
	childCount int
	pinCount   int
	lastUsed   uint64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{nodes: map[uint64]*cacheNode{}}
}

// cachedPrefixTokens returns the length in tokens of the longest cached prefix of a prompt.
func (c *prefixCache) cachedPrefixTokens(segments []Segment) int64 {
	var tokens int64
	for _, segment := range segments {
		if _, ok := c.nodes[segment.PrefixDigest]; !ok {
			break
		}
		tokens += segment.Tokens
	}
	// The last prompt token is always computed, because the first response token is
	// sampled from its output.
	if len(segments) > 0 && tokens > 0 && c.nodes[segments[len(segments)-1].PrefixDigest] != nil {
		tokens--
	}
	return tokens
}

func (c *prefixCache) pin(segments []Segment)   { c.adjustPins(segments, 1) }
func (c *prefixCache) unpin(segments []Segment) { c.adjustPins(segments, -1) }

func (c *prefixCache) adjustPins(segments []Segment, delta int) {
	c.accessClock++
	for _, segment := range segments {
		node, ok := c.nodes[segment.PrefixDigest]
		if !ok {
			return
		}
		node.pinCount = max(0, node.pinCount+delta)
		node.lastUsed = c.accessClock
	}
}

func (c *prefixCache) insert(program string, segments []Segment) {
	c.accessClock++
	parentDigest := uint64(0)
	for _, segment := range segments {
		node, ok := c.nodes[segment.PrefixDigest]
		if !ok {
			node = &cacheNode{digest: segment.PrefixDigest, parentDigest: parentDigest, tokens: segment.Tokens, program: program}
			c.nodes[segment.PrefixDigest] = node
			c.tokens += segment.Tokens
			if parentNode, ok := c.nodes[parentDigest]; ok {
				parentNode.childCount++
			}
		}
		node.lastUsed = c.accessClock
		parentDigest = segment.PrefixDigest
	}
}

func (c *prefixCache) remove(node *cacheNode) {
	delete(c.nodes, node.digest)
	c.tokens -= node.tokens
	if parentNode, ok := c.nodes[node.parentDigest]; ok {
		parentNode.childCount--
	}
}

// evict drops unpinned leaves, the least recently used first, until at least the given
// number of tokens is freed. It reports whether that many could be freed.
func (c *prefixCache) evict(tokens int64) bool {
	if tokens <= 0 {
		return true
	}
	targetTokens := c.tokens - tokens
	for c.tokens > targetTokens {
		leaf := c.leastRecentLeaf()
		if leaf == nil {
			return false
		}
		c.remove(leaf)
	}
	return true
}

// leastRecentLeaf returns the least recently used unpinned leaf, or nil. The digest breaks
// ties, because the iteration order of the map is random.
func (c *prefixCache) leastRecentLeaf() *cacheNode {
	var leastRecent *cacheNode
	for _, node := range c.nodes {
		if node.childCount > 0 || node.pinCount > 0 {
			continue
		}
		if leastRecent == nil || node.lastUsed < leastRecent.lastUsed || (node.lastUsed == leastRecent.lastUsed && node.digest < leastRecent.digest) {
			leastRecent = node
		}
	}
	return leastRecent
}

// releaseProgram drops unpinned leaves of a program until it has none. A segment that a
// remaining segment extends stays.
func (c *prefixCache) releaseProgram(program string) {
	for {
		hasRemoved := false
		for _, node := range c.nodes {
			if node.program == program && node.childCount == 0 && node.pinCount == 0 {
				c.remove(node)
				hasRemoved = true
			}
		}
		if !hasRemoved {
			return
		}
	}
}

func (c *prefixCache) cachedPrograms() []engine.CachedProgram {
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
