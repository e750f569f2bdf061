package simulation

import (
	"fmt"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

// The invariants, by the numbers of the brief's list.
const (
	invariantOrder    = "1-order"
	invariantHistory  = "2-history"
	invariantBudget   = "3-budget"
	invariantMemory   = "4-memory"
	invariantAnswer   = "5-answer"
	invariantNotRun   = "6-not-run"
	invariantOnce     = "7-once"
	invariantLeaving  = "8-leaving"
	invariantPlanned  = "9-planned-stop"
	invariantSettings = "10-settings"
	invariantProgress = "progress"
)

// Violation is an invariant seen broken.
type Violation struct {
	Invariant string `json:"invariant"`
	Detail    string `json:"detail"`
	AtMs      int64  `json:"at_ms"`
}

// checks watches callers, engines and operators from outside the cores.
type checks struct {
	world      *world
	violations []Violation
	// starts counts how often an engine started each request; once names those
	// that may not be repeated.
	starts map[string]int
	once   map[string]bool
	// output counts the tokens that engines generated for each program, and runs
	// the times that an engine started a call of it.
	output   map[string]int64
	runs     map[string]int64
	answers  map[string]int64
	budgets  map[string]int64
	notRun   map[string]bool
	leftAtUs map[string]int64

	values    int64
	revisions map[int64]uint64
	byPath    map[string][]acceptedChange
	newest    uint64
	atStart   map[string]uint64
	synced    map[string]bool
	inForce   map[string]uint64
	lives     map[string]int
}

type acceptedChange struct {
	revision uint64
	value    int64
	version  uint64
}

func newChecks(w *world) *checks {
	return &checks{
		world: w, starts: map[string]int{}, once: map[string]bool{}, output: map[string]int64{}, runs: map[string]int64{},
		answers: map[string]int64{}, budgets: map[string]int64{}, notRun: map[string]bool{}, leftAtUs: map[string]int64{},
		revisions: map[int64]uint64{}, byPath: map[string][]acceptedChange{}, atStart: map[string]uint64{},
		synced: map[string]bool{}, inForce: map[string]uint64{}, lives: map[string]int{},
	}
}

func (c *checks) failed() bool { return len(c.violations) > 0 }

func (c *checks) violate(invariant, format string, arguments ...any) {
	detail := fmt.Sprintf(format, arguments...)
	c.violations = append(c.violations, Violation{Invariant: invariant, Detail: detail, AtMs: c.world.nowUs / microsPerMilli})
	c.world.tell("VIOLATION of %s: %s", invariant, detail)
}

// leavingSeconds is how long a leaving engine may still be sent new work.
const leavingUs = 5_000_000

// engineStarted notes that an engine started a call.
func (c *checks) engineStarted(e *engineNode, request engine.CompletionRequest) {
	c.starts[request.RequestID]++
	c.world.tell("%s starts request %s (%d messages)", e.name, request.RequestID, len(request.Messages))
	c.runs[request.User]++
	if c.once[request.RequestID] && c.starts[request.RequestID] > 1 {
		c.violate(invariantOnce, "request %s is not repeatable and was started %d times", request.RequestID, c.starts[request.RequestID])
	}
	if c.notRun[request.RequestID] {
		c.violate(invariantNotRun, "request %s was started after its caller was told that it had not run", request.RequestID)
	}
	if leftAt, ok := c.leftAtUs[e.name]; ok && c.world.nowUs-leftAt > leavingUs {
		c.violate(invariantLeaving, "%s got new work %d ms after it was listed as leaving", e.name, (c.world.nowUs-leftAt)/microsPerMilli)
	}
}

func (c *checks) generated(program string, tokens int64) { c.output[program] += tokens }

// answer checks a whole answer as its caller got it.
func (c *checks) answer(s *callerSend, answer *protocol.CallReply) {
	call := s.call
	owner := call.caller
	c.world.tell("%s: request %s is answered as turn %d by %s", owner.name, call.request.Request, answer.Turn, answer.Engine)
	if s.text.String() != answer.Content {
		c.violate(invariantAnswer, "request %s: the caller was sent %d bytes of an answer of %d", call.request.Request, s.text.Len(), len(answer.Content))
	}
	if earlier, ok := owner.turns[answer.Turn]; ok && earlier != call.request.Request {
		c.violate(invariantOrder, "program %s: requests %s and %s both have turn %d", owner.program, earlier, call.request.Request, answer.Turn)
	}
	_, again := owner.turns[answer.Turn]
	owner.turns[answer.Turn] = call.request.Request
	if !again {
		c.answers[owner.program]++
	}
	if !owner.threads[call.thread].place(call, answer.Content) {
		c.violate(invariantHistory, "request %s (turn %d): the engine %.32q, which no order of this caller's calls explains", call.request.Request, answer.Turn, answer.Content)
	}
}

// longestUs bounds the time from a sidecar's taking a request to its final answer,
// whatever is lost meanwhile; the caller's own deadline is later.
const longestUs = 16_000_000

func (c *checks) waited(s *callerSend) {
	if took := c.world.nowUs - s.takenUs; took > longestUs {
		c.violate(invariantProgress, "request %s was left waiting for %d ms", s.call.request.Request, took/microsPerMilli)
	}
}

// refusal checks an error as its caller got it.
func (c *checks) refusal(s *callerSend, failure *result.Error) {
	request := s.call.request.Request
	if failure.Outcome == result.NotRun && s.call.sends == 1 {
		if c.starts[request] > s.startsAt {
			c.violate(invariantNotRun, "request %s: the caller was told %s and not run, but an engine had started it", request, failure.Type)
		}
		if failure.RetryAfterMs == 0 {
			c.notRun[request] = true
		}
	}
	planned := s.call.caller.planned && failure.Outcome != result.NotRun
	if planned {
		c.violate(invariantPlanned, "request %s failed in a planned restart: %s (%s)", request, failure.Type, failure.Message)
	}
}

// accepted notes a change that an operator was told is accepted.
func (c *checks) accepted(change *change, revision uint64) {
	version := change.content.Nodes[0].Version
	for _, earlier := range c.byPath[change.path] {
		if earlier.version == version {
			c.violate(invariantSettings, "%s: two changes against version %d were accepted, at revisions %d and %d", change.path, version, earlier.revision, revision)
		}
	}
	c.byPath[change.path] = append(c.byPath[change.path], acceptedChange{revision: revision, value: change.value, version: version})
	c.revisions[change.value] = revision
	c.newest = max(c.newest, revision)
}

// tree is what is in force at a daemon.
type treeView interface {
	value(path string) int64
	revision() uint64
}

// observe holds the tree in force at a daemon against what was accepted.
func (c *checks) observe(name string, life int, tree treeView) {
	revision := tree.revision()
	if c.lives[name] == life && revision < c.inForce[name] {
		c.violate(invariantSettings, "%s went back from revision %d to %d", name, c.inForce[name], revision)
	}
	changed := c.inForce[name] != revision || c.lives[name] != life
	c.lives[name] = life
	c.inForce[name] = revision
	if !changed {
		return
	}
	for _, path := range probePaths {
		shown, known := c.revisions[tree.value(path)]
		if !known {
			continue
		}
		for _, accepted := range c.byPath[path] {
			if accepted.revision > shown && accepted.revision <= revision {
				c.violate(invariantSettings, "%s at revision %d shows %s as of revision %d, but %d was accepted", name, revision, path, shown, accepted.revision)
			}
		}
	}
}

func (c *checks) startedScheduler(n *schedulerNode) {
	c.atStart[n.name] = c.newest
	c.synced[n.name] = false
}

// observeScheduler also holds a fresh scheduler against what was accepted
// before it started.
func (c *checks) observeScheduler(n *schedulerNode) {
	c.observe(n.name, n.life, settingsView{n.core.SettingsTree()})
	if !c.synced[n.name] && n.core.IsReady() {
		c.synced[n.name] = true
		if n.core.SettingsTree().Revision() < c.atStart[n.name] {
			c.violate(invariantSettings, "%s serves at revision %d, but %d was accepted before it started", n.name, n.core.SettingsTree().Revision(), c.atStart[n.name])
		}
	}
}

func (c *checks) observeSidecar(n *sidecarNode) {
	c.observe(n.name, n.life, settingsView{n.core.SettingsTree()})
}

func (c *checks) observeControl(n *controlNode) {
	if n.alive && n.core.Formed() {
		c.observe(n.name, n.life, settingsView{n.core.SettingsTree()})
	}
}

// expectInForce asks that all live daemons have a revision within a time.
func (c *checks) expectInForce(revision uint64) {
	w := c.world
	w.after(settingsDeadline, "in force", func() {
		for _, node := range w.schedulers {
			if node.alive && node.core.IsReady() && node.core.SettingsTree().Revision() < revision {
				c.violate(invariantSettings, "%s has revision %d after 6 s, %d was accepted", node.name, node.core.SettingsTree().Revision(), revision)
			}
		}
		for _, node := range w.sidecars {
			if node.alive && node.core.IsReady() && node.core.SettingsTree().Revision() < revision {
				c.violate(invariantSettings, "%s has revision %d after 6 s, %d was accepted", node.name, node.core.SettingsTree().Revision(), revision)
			}
		}
	})
}

// slackPerRun bounds the tokens that an engine generates for a lost attempt
// after the last one that its scheduler heard of.
const slackPerRun = 24

// finish checks what must hold once everything has settled.
func (c *checks) finish() {
	w := c.world
	for _, owner := range w.callers {
		if !owner.done {
			c.violate(invariantProgress, "program %s has neither ended nor been refused", owner.program)
		}
		if owner.budget > 0 {
			lost := c.runs[owner.program] - c.answers[owner.program]
			if used := c.output[owner.program]; used > owner.budget+lost*slackPerRun {
				c.violate(invariantBudget, "program %s: engines generated %d tokens on a budget of %d (%d attempts lost)", owner.program, used, owner.budget, lost)
			}
		}
	}
	if !w.controlsWhole() {
		c.violate(invariantProgress, "not every control process is a voter of every group again")
	}
	for _, node := range w.engines {
		if held := node.model.CachedPrograms(); node.alive && len(held) > 0 {
			c.violate(invariantMemory, "%s still holds %d programs, %s among them, long after all have ended", node.name, len(held), held[0].Program)
		}
	}
}
