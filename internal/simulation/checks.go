package simulation

import (
	"fmt"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

// The names of the invariants; the numbers are those of the list in the brief.
const (
	invariantOrder       = "1-order"
	invariantHistory     = "2-history"
	invariantBudget      = "3-budget"
	invariantMemory      = "4-memory"
	invariantAnswer      = "5-answer"
	invariantNotRun      = "6-not-run"
	invariantOnce        = "7-once"
	invariantLeaving     = "8-leaving"
	invariantPlannedStop = "9-planned-stop"
	invariantSettings    = "10-settings"
	invariantProgress    = "progress"
)

// Violation is an observed violation of an invariant.
type Violation struct {
	Invariant string `json:"invariant"`
	Detail    string `json:"detail"`
	AtMs      int64  `json:"at_ms"`
}

// checks verifies the invariants from outside the cores, by what callers, engines and
// operators observe.
type checks struct {
	world      *world
	violations []Violation
	// startsByRequest counts how often engines started each request; atMostOnce holds
	// the requests that must not be repeated.
	startsByRequest map[string]int
	atMostOnce      map[string]bool
	// generatedTokens counts the tokens that engines generated for each program,
	// startsByProgram how often engines started a call of it.
	generatedTokens  map[string]int64
	startsByProgram  map[string]int64
	answersByProgram map[string]int64
	budgets          map[string]int64
	reportedNotRun   map[string]bool
	leavingSinceUs   map[string]int64

	probeValues         int64
	revisionByValue     map[int64]uint64
	acceptedByPath      map[string][]acceptedChange
	newestRevision      uint64
	revisionAtStart     map[string]uint64
	hasSynced           map[string]bool
	observedRevision    map[string]uint64
	observedIncarnation map[string]int
}

type acceptedChange struct {
	revision uint64
	value    int64
	version  uint64
}

func newChecks(w *world) *checks {
	return &checks{
		world: w, startsByRequest: map[string]int{}, atMostOnce: map[string]bool{}, generatedTokens: map[string]int64{}, startsByProgram: map[string]int64{},
		answersByProgram: map[string]int64{}, budgets: map[string]int64{}, reportedNotRun: map[string]bool{}, leavingSinceUs: map[string]int64{},
		revisionByValue: map[int64]uint64{}, acceptedByPath: map[string][]acceptedChange{}, revisionAtStart: map[string]uint64{},
		hasSynced: map[string]bool{}, observedRevision: map[string]uint64{}, observedIncarnation: map[string]int{},
	}
}

func (c *checks) hasViolations() bool { return len(c.violations) > 0 }

func (c *checks) reportViolation(invariant, format string, arguments ...any) {
	detail := fmt.Sprintf(format, arguments...)
	c.violations = append(c.violations, Violation{Invariant: invariant, Detail: detail, AtMs: c.world.nowUs / microsPerMilli})
	c.world.tracef("VIOLATION of %s: %s", invariant, detail)
}

// leavingDeadlineUs is how long after it was listed as leaving an engine may still be
// sent new work.
const leavingDeadlineUs = 5_000_000

// observeEngineStart records that an engine started a call, and checks that the engine
// was allowed to.
func (c *checks) observeEngineStart(e *engineNode, request engine.CompletionRequest) {
	c.startsByRequest[request.RequestID]++
	c.world.tracef("%s starts request %s (%d messages)", e.name, request.RequestID, len(request.Messages))
	c.startsByProgram[request.User]++
	if c.atMostOnce[request.RequestID] && c.startsByRequest[request.RequestID] > 1 {
		c.reportViolation(invariantOnce, "request %s must run at most once but was started %d times", request.RequestID, c.startsByRequest[request.RequestID])
	}
	if c.reportedNotRun[request.RequestID] {
		c.reportViolation(invariantNotRun, "request %s was started after it was reported to its caller as not run", request.RequestID)
	}
	if leftAt, ok := c.leavingSinceUs[e.name]; ok && c.world.nowUs-leftAt > leavingDeadlineUs {
		c.reportViolation(invariantLeaving, "%s got new work %d ms after it was listed as leaving", e.name, (c.world.nowUs-leftAt)/microsPerMilli)
	}
}

func (c *checks) addGeneratedTokens(program string, tokens int64) {
	c.generatedTokens[program] += tokens
}

// checkAnswer checks a complete reply as its caller received it.
func (c *checks) checkAnswer(s *callerAttempt, answer *protocol.CallReply) {
	call := s.request
	programCaller := call.caller
	c.world.tracef("%s: request %s is answered as turn %d by %s", programCaller.name, call.body.Request, answer.Turn, answer.Engine)
	if s.receivedText.String() != answer.Content {
		c.reportViolation(invariantAnswer, "request %s: the caller received %d bytes of a response of %d bytes", call.body.Request, s.receivedText.Len(), len(answer.Content))
	}
	if earlier, ok := programCaller.requestByTurn[answer.Turn]; ok && earlier != call.body.Request {
		c.reportViolation(invariantOrder, "program %s: requests %s and %s both have turn %d", programCaller.program, earlier, call.body.Request, answer.Turn)
	}
	_, isRepeated := programCaller.requestByTurn[answer.Turn]
	programCaller.requestByTurn[answer.Turn] = call.body.Request
	if !isRepeated {
		c.answersByProgram[programCaller.program]++
	}
	if !programCaller.conversations[call.thread].resolve(call, answer.Content) {
		c.reportViolation(invariantHistory, "request %s (turn %d): no order of the caller's requests explains the response %.32q", call.body.Request, answer.Turn, answer.Content)
	}
}

// maxReplyUs bounds the time between a sidecar receiving a request and sending the final
// reply, whatever is lost in between. It is shorter than the timeout of the caller.
const maxReplyUs = 16_000_000

func (c *checks) checkReplyTime(s *callerAttempt) {
	if elapsedUs := c.world.nowUs - s.receivedUs; elapsedUs > maxReplyUs {
		c.reportViolation(invariantProgress, "request %s waited %d ms for its final reply", s.request.body.Request, elapsedUs/microsPerMilli)
	}
}

// checkError checks an error as its caller received it.
func (c *checks) checkError(s *callerAttempt, failure *result.Error) {
	request := s.request.body.Request
	if failure.Outcome == result.NotRun && s.request.sends == 1 {
		if c.startsByRequest[request] > s.startsBefore {
			c.reportViolation(invariantNotRun, "request %s: the caller received error %s with outcome not run, but an engine had started the request", request, failure.Type)
		}
		if failure.RetryAfterMs == 0 {
			c.reportedNotRun[request] = true
		}
	}
	isViolation := s.request.caller.isMaintenanceCaller && failure.Outcome != result.NotRun
	if isViolation {
		c.reportViolation(invariantPlannedStop, "request %s failed during a planned restart: %s (%s)", request, failure.Type, failure.Message)
	}
}

// observeAcceptedChange records a change that was reported to its operator as accepted.
func (c *checks) observeAcceptedChange(change *change, revision uint64) {
	version := change.content.Nodes[0].Version
	for _, earlier := range c.acceptedByPath[change.path] {
		if earlier.version == version {
			c.reportViolation(invariantSettings, "%s: two changes based on version %d were accepted, at revisions %d and %d", change.path, version, earlier.revision, revision)
		}
	}
	c.acceptedByPath[change.path] = append(c.acceptedByPath[change.path], acceptedChange{revision: revision, value: change.value, version: version})
	c.revisionByValue[change.value] = revision
	c.newestRevision = max(c.newestRevision, revision)
}

// treeView is the settings tree in force at a daemon.
type treeView interface {
	value(path string) int64
	revision() uint64
}

// observe checks the settings tree in force at a daemon against the accepted changes:
// its revision must not decrease within an incarnation, and no value may be older than
// the newest change accepted up to that revision.
func (c *checks) observe(name string, incarnation int, tree treeView) {
	revision := tree.revision()
	if c.observedIncarnation[name] == incarnation && revision < c.observedRevision[name] {
		c.reportViolation(invariantSettings, "%s went from revision %d back to %d", name, c.observedRevision[name], revision)
	}
	isNew := c.observedRevision[name] != revision || c.observedIncarnation[name] != incarnation
	c.observedIncarnation[name] = incarnation
	c.observedRevision[name] = revision
	if !isNew {
		return
	}
	for _, path := range probePaths {
		shownRevision, isKnown := c.revisionByValue[tree.value(path)]
		if !isKnown {
			continue
		}
		for _, accepted := range c.acceptedByPath[path] {
			if accepted.revision > shownRevision && accepted.revision <= revision {
				c.reportViolation(invariantSettings, "%s at revision %d has the value of %s from revision %d, but a change at revision %d was accepted", name, revision, path, shownRevision, accepted.revision)
			}
		}
	}
}

func (c *checks) observeSchedulerStart(n *schedulerNode) {
	c.revisionAtStart[n.name] = c.newestRevision
	c.hasSynced[n.name] = false
}

// observeScheduler checks the settings of a scheduler and also that, once ready, it
// has all changes that were accepted before it started.
func (c *checks) observeScheduler(n *schedulerNode) {
	c.observe(n.name, n.incarnation, settingsView{n.core.SettingsTree()})
	if !c.hasSynced[n.name] && n.core.IsReady() {
		c.hasSynced[n.name] = true
		if n.core.SettingsTree().Revision() < c.revisionAtStart[n.name] {
			c.reportViolation(invariantSettings, "%s serves at revision %d, but revision %d was accepted before it started", n.name, n.core.SettingsTree().Revision(), c.revisionAtStart[n.name])
		}
	}
}

func (c *checks) observeSidecar(n *sidecarNode) {
	c.observe(n.name, n.incarnation, settingsView{n.core.SettingsTree()})
}

func (c *checks) observeControl(n *controlNode) {
	if n.isAlive && n.core.Formed() {
		c.observe(n.name, n.incarnation, settingsView{n.core.SettingsTree()})
	}
}

// expectRevision checks that all ready schedulers and sidecars have at least the given
// revision when settingsDeadlineUs have passed.
func (c *checks) expectRevision(revision uint64) {
	w := c.world
	w.after(settingsDeadlineUs, "in force", func() {
		for _, node := range w.schedulers {
			if node.isAlive && node.core.IsReady() && node.core.SettingsTree().Revision() < revision {
				c.reportViolation(invariantSettings, "%s has revision %d after 6 s, but revision %d was accepted", node.name, node.core.SettingsTree().Revision(), revision)
			}
		}
		for _, node := range w.sidecars {
			if node.isAlive && node.core.IsReady() && node.core.SettingsTree().Revision() < revision {
				c.reportViolation(invariantSettings, "%s has revision %d after 6 s, but revision %d was accepted", node.name, node.core.SettingsTree().Revision(), revision)
			}
		}
	})
}

// lostAttemptSlackTokens bounds the tokens that an engine generates for a lost attempt
// after the last token that its scheduler received.
const lostAttemptSlackTokens = 24

// checkFinalState checks the invariants that must hold once the idle period has passed.
func (c *checks) checkFinalState() {
	w := c.world
	for _, programCaller := range w.callers {
		if !programCaller.isDone {
			c.reportViolation(invariantProgress, "program %s has neither ended nor been rejected", programCaller.program)
		}
		if programCaller.budgetTokens > 0 {
			lostAttempts := c.startsByProgram[programCaller.program] - c.answersByProgram[programCaller.program]
			if usedTokens := c.generatedTokens[programCaller.program]; usedTokens > programCaller.budgetTokens+lostAttempts*lostAttemptSlackTokens {
				c.reportViolation(invariantBudget, "program %s: engines generated %d tokens with a budget of %d (%d attempts lost)", programCaller.program, usedTokens, programCaller.budgetTokens, lostAttempts)
			}
		}
	}
	if !w.areControlsHealthy() {
		c.reportViolation(invariantProgress, "some control processes have not become voters of every group again")
	}
	for _, node := range w.engines {
		if cached := node.model.CachedPrograms(); node.isAlive && len(cached) > 0 {
			c.reportViolation(invariantMemory, "%s still caches %d programs, among them %s, long after all programs have ended", node.name, len(cached), cached[0].Program)
		}
	}
}
