package simulation

import (
	"fmt"
	"strings"

	"github.com/ochrebay/ochrebay/internal/emulator"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/sidecar"
	"github.com/ochrebay/ochrebay/internal/workload"
)

const (
	maxSends           = 14
	callTimeoutMs      = 20_000
	maxRetryAfterMs    = 3000
	hangingToolMs      = 2000
	callTimeoutGraceMs = 5000
	loopBudgetTokens   = 400
	loopSteps          = 60
)

// caller runs one program as its owner would: it sends a call, waits for the
// whole answer, uses a tool, sends the next. It knows nothing of the fleet.
type caller struct {
	*process
	number       int
	service      workload.ServiceWorkload
	program      string
	budgetTokens int64
	steps        []callerStep
	sidecarIndex int
	// started says that the program's first call was answered.
	isCreated bool
	isDone    bool
	// isMaintenanceCaller marks callers of the calm phase, whose calls no failure excuses.
	isMaintenanceCaller bool
	outcome             string
	conversations       map[string]*conversation
	requestByTurn       map[uint64]string
	lastRequest         int
}

// callerStep is one call of a program.
type callerStep struct {
	thread       string
	parent       string
	outputTokens int64
	promptTokens int64
	toolMs       int64
	// isSentTwice sends the request a second time while the first is under way,
	// crossed sends another request beside it, vanish goes away in mid call.
	isSentTwice          bool
	hasConcurrentRequest bool
	isAbandoned          bool
}

// conversation is what the caller knows of a thread: the histories that the
// answers so far allow, and requests whose fate it doesn't know.
type conversation struct {
	histories       [][]program.Message
	unresolved      []*callerRequest
	answerByRequest map[string]string
}

// callerRequest is one request with its id, however often it is sent.
type callerRequest struct {
	caller      *caller
	request     *protocol.CallRequest
	thread      string
	sends       int
	mayHaveRun  bool
	isDone      bool
	endsProgram bool
	onFinished  func(answered bool)
}

// callerAttempt is one sending of a request.
type callerAttempt struct {
	request            *callerRequest
	sidecar            *sidecarNode
	sidecarIncarnation int
	openRequestID      uint64
	receivedText       strings.Builder
	isOver             bool
	startsBefore       int
	receivedUs         int64
}

func (w *world) addCaller(atUs int64, isMaintenanceCaller bool) *caller {
	service := w.deployment.Workload[w.random.IntN(len(w.deployment.Workload))]
	number := len(w.callers)
	sidecarIndex := w.random.IntN(len(w.sidecars))
	c := &caller{
		process: w.newProcess(fmt.Sprintf("caller-%d", number), w.sidecars[sidecarIndex].zone),
		number:  number, service: service, sidecarIndex: sidecarIndex, program: fmt.Sprintf("p-%d-%d", w.seed, number), isMaintenanceCaller: isMaintenanceCaller,
		conversations: map[string]*conversation{"": {histories: [][]program.Message{nil}, answerByRequest: map[string]string{}}}, requestByTurn: map[uint64]string{},
	}
	c.isAlive = true
	c.incarnation = 1
	c.steps = w.callerSteps(c)
	w.callers = append(w.callers, c)
	w.after(atUs-w.nowUs, "arrival", func() { c.scheduleStep(0) })
	return c
}

// callerSteps draws what a program will do.
func (w *world) callerSteps(c *caller) []callerStep {
	count := 1
	if c.service.Turns.High > 1 {
		count = int(w.randomBetween(1, 5))
	}
	if w.hasRunWideFault("loop") && !c.isMaintenanceCaller && count > 1 && w.randomBool(0.15) {
		c.budgetTokens = loopBudgetTokens
		count = loopSteps
	}
	canHang := w.hasRunWideFault("hang")
	isErratic := w.hasRunWideFault("callers") && !c.isMaintenanceCaller
	var steps []callerStep
	for position := range count {
		step := callerStep{promptTokens: w.randomBetween(8, 60), outputTokens: w.randomBetween(8, 24)}
		if position > 0 {
			step.toolMs = w.randomBetween(20, 900)
			if canHang && w.randomBool(0.15) {
				step.toolMs = hangingToolMs
			}
		}
		step.isSentTwice = isErratic && w.randomBool(0.2)
		step.hasConcurrentRequest = isErratic && !c.service.AtMostOnce && count > 1 && w.randomBool(0.15)
		step.isAbandoned = isErratic && w.randomBool(0.05)
		steps = append(steps, step)
		if c.budgetTokens == 0 && w.randomBool(c.service.SubAgentProbability) && position+1 < count {
			thread := fmt.Sprintf("sub-%d", position)
			for range w.randomBetween(1, 2) {
				steps = append(steps, callerStep{thread: thread, promptTokens: w.randomBetween(8, 40), outputTokens: w.randomBetween(8, 16)})
			}
		}
	}
	return steps
}

// scheduleStep begins a step after its pause, or ends.
func (c *caller) scheduleStep(position int) {
	if position >= len(c.steps) {
		c.end("answered")
		return
	}
	step := c.steps[position]
	c.world.after(step.toolMs*microsPerMilli, "tool", func() { c.beginStep(position, step) })
}

func (c *caller) end(outcome string) {
	if c.isDone {
		return
	}
	c.isDone = true
	c.outcome = outcome
	c.world.tracef("%s: program %s ends: %s", c.name, c.program, outcome)
}

func (c *caller) beginStep(position int, step callerStep) {
	if c.isDone {
		return
	}
	conversation := c.conversationFor(step)
	if conversation == nil {
		c.scheduleStep(position + 1)
		return
	}
	isLast := position == len(c.steps)-1
	unfinished := 1
	onFinished := func(isAnswered bool) {
		unfinished--
		switch {
		case c.isDone:
		case !isAnswered:
			c.end("refused")
		case unfinished == 0:
			c.scheduleStep(position + 1)
		}
	}
	first := c.newRequest(step, step.thread, isLast && !step.hasConcurrentRequest, onFinished)
	if step.hasConcurrentRequest && c.isCreated {
		unfinished++
		second := c.newRequest(step, step.thread, false, onFinished)
		conversation.unresolved = append(conversation.unresolved, first, second)
		second.send()
	} else {
		conversation.unresolved = append(conversation.unresolved, first)
	}
	first.send()
	if step.isSentTwice {
		c.world.after(c.world.randomBetween(1, 80)*microsPerMilli, "resend", first.send)
	}
	if step.isAbandoned {
		c.world.after(c.world.randomBetween(1, 150)*microsPerMilli, "vanish", c.abandon)
	}
}

// conversationFor returns the step's conversation; a sub-agent forks its parent's. It is
// nil where the caller can't tell what the sub-agent would see.
func (c *caller) conversationFor(step callerStep) *conversation {
	known, ok := c.conversations[step.thread]
	if ok {
		return known
	}
	parent := c.conversations[step.parent]
	if len(parent.unresolved) > 0 || len(parent.histories) != 1 || !c.isCreated {
		return nil
	}
	fork := &conversation{histories: [][]program.Message{append([]program.Message(nil), parent.histories[0]...)}, answerByRequest: map[string]string{}}
	c.conversations[step.thread] = fork
	return fork
}

func (c *caller) newRequest(step callerStep, thread string, endsProgram bool, onFinished func(bool)) *callerRequest {
	c.lastRequest++
	request := fmt.Sprintf("%s-r%d", c.program, c.lastRequest)
	text := workload.Text(request, step.promptTokens, step.outputTokens)
	if c.service.AtMostOnce {
		c.world.checks.atMostOnce[request] = true
	}
	return &callerRequest{caller: c, thread: thread, endsProgram: endsProgram, onFinished: onFinished, request: &protocol.CallRequest{
		Program: c.program, Create: !c.isCreated && thread == "", Tenant: "tenant", Service: c.service.Service, Thread: thread,
		Request: request, AtMostOnce: c.service.AtMostOnce, EndsProgram: endsProgram, Messages: []program.Message{{Role: "user", Content: text}},
		BudgetTokens: c.budgetTokens, TimeoutMs: callTimeoutMs,
	}}
}

func (c *caller) abandon() {
	if c.isDone {
		return
	}
	c.world.tracef("%s goes away in mid call", c.name)
	c.end("vanished")
	for _, node := range c.world.sidecars {
		for id := sidecar.CallerID(1); id <= node.lastCaller; id++ {
			send, ok := node.attempts[id]
			if !ok || send.request.caller != c || !node.isAlive {
				continue
			}
			delete(node.attempts, id)
			delete(node.openRequests, send.openRequestID)
			node.receive(func() { node.core.Gone(id) })
		}
	}
}

// send sends the request through a sidecar; after a failure through another.
func (call *callerRequest) send() {
	c := call.caller
	w := c.world
	if call.isDone || c.isDone {
		return
	}
	node := w.sidecars[(c.sidecarIndex+max(0, call.sends-1))%len(w.sidecars)]
	call.sends++
	w.tracef("%s sends request %s (%d) to %s", c.name, call.request.Request, call.sends, node.name)
	attempt := &callerAttempt{request: call, sidecar: node, startsBefore: w.checks.startsByRequest[call.request.Request]}
	request := *call.request
	raw := mustEncode(&request)
	w.network.send(c.process, node.process, 0, "http", func() {
		attempt.sidecarIncarnation = node.incarnation
		attempt.receivedUs = w.nowUs
		attempt.openRequestID = node.trackRequest(c.process, attempt.handleConnectionLost)
		var copied protocol.CallRequest
		mustDecode(raw, &copied)
		node.lastCaller++
		node.attempts[node.lastCaller] = attempt
		node.core.Call(node.lastCaller, &copied, node.nowMs())
	}, attempt.handleNotDelivered)
	// A caller gives up on a sidecar that says nothing at all.
	w.after((callTimeoutMs+callTimeoutGraceMs)*microsPerMilli, "caller waits", attempt.handleConnectionLost)
}

// handleNotDelivered says that no sidecar took the request.
func (s *callerAttempt) handleNotDelivered() { s.resendAfter(200) }

// handleConnectionLost says that the sidecar went away with the answer unfinished.
func (s *callerAttempt) handleConnectionLost() {
	if s.isOver {
		return
	}
	if s.request.caller.isMaintenanceCaller {
		s.request.caller.world.checks.reportViolation(invariantPlannedStop, "request %s was cut off by a planned stop", s.request.request.Request)
	}
	s.request.mayHaveRun = true
	s.resendAfter(200)
}

func (s *callerAttempt) resendAfter(delayMs int64) {
	if s.isOver {
		return
	}
	s.isOver = true
	call := s.request
	if call.isDone || call.caller.isDone {
		return
	}
	if call.sends >= maxSends {
		call.fail(nil)
		return
	}
	call.caller.world.after(delayMs*microsPerMilli, "again", call.send)
}

// deliver is a part of the answer.
func (s *callerAttempt) deliver(text string) {
	c := s.request.caller
	c.world.network.send(s.sidecar.process, c.process, 0, "text", func() { s.receivedText.WriteString(text) }, nil)
}

// finish is the final answer.
func (s *callerAttempt) finish(answer *protocol.CallReply) {
	delete(s.sidecar.openRequests, s.openRequestID)
	raw := mustEncode(answer)
	c := s.request.caller
	c.world.checks.checkReplyTime(s)
	c.world.network.send(s.sidecar.process, c.process, 0, "answer", func() {
		var copied protocol.CallReply
		mustDecode(raw, &copied)
		s.handleReply(&copied)
	}, nil)
}

func (s *callerAttempt) handleReply(answer *protocol.CallReply) {
	if s.isOver {
		return
	}
	call := s.request
	c := call.caller
	if answer.Error == nil {
		s.isOver = true
		c.world.checks.checkAnswer(s, answer)
		call.succeed(answer)
		return
	}
	failure := answer.Error
	c.world.tracef("%s: request %s gets %s (%s, back in %d ms): %s", c.name, call.request.Request, failure.Type, failure.Outcome, failure.RetryAfterMs, failure.Message)
	c.world.checks.checkError(s, failure)
	if failure.Outcome != result.NotRun {
		call.mayHaveRun = true
	}
	if failure.RetryAfterMs > 0 && !c.isDone {
		s.resendAfter(min(failure.RetryAfterMs, maxRetryAfterMs))
		return
	}
	s.isOver = true
	call.fail(failure)
}

func (call *callerRequest) succeed(answer *protocol.CallReply) {
	if call.isDone {
		return
	}
	call.isDone = true
	call.caller.isCreated = true
	call.onFinished(true)
}

func (call *callerRequest) fail(failure *result.Error) {
	if call.isDone {
		return
	}
	call.isDone = true
	if failure != nil {
		call.caller.world.tracef("%s: request %s ends with %s (%s): %s", call.caller.name, call.request.Request, failure.Type, failure.Outcome, failure.Message)
	}
	call.onFinished(false)
}

// resolve finds the histories that an answer allows: those known, followed by any
// order of requests with unknown fate, followed by this one.
func (t *conversation) resolve(call *callerRequest, content string) bool {
	request := call.request.Request
	if before, ok := t.answerByRequest[request]; ok {
		return before == content
	}
	var matches [][]program.Message
	var resolvedRequests []*callerRequest
	for _, history := range t.histories {
		t.extendHistory(history, nil, call, content, func(match []program.Message, resolved []*callerRequest) {
			matches = append(matches, match)
			resolvedRequests = resolved
		})
	}
	if len(matches) == 0 {
		return false
	}
	t.histories = matches[:1]
	t.answerByRequest[request] = content
	remaining := t.unresolved[:0]
	for _, other := range t.unresolved {
		if other != call && !contains(resolvedRequests, other) {
			remaining = append(remaining, other)
		}
	}
	t.unresolved = remaining
	// What came between is known now: its answer is in the history.
	for position, message := range t.histories[0] {
		for _, other := range resolvedRequests {
			if message.Content == other.request.Messages[0].Content {
				t.answerByRequest[other.request.Request] = t.histories[0][position+1].Content
			}
		}
	}
	return true
}

func contains(calls []*callerRequest, call *callerRequest) bool {
	for _, known := range calls {
		if known == call {
			return true
		}
	}
	return false
}

func (t *conversation) extendHistory(history []program.Message, resolved []*callerRequest, call *callerRequest, content string, onMatch func([]program.Message, []*callerRequest)) {
	extended, answer := appendExchange(history, call)
	if answer == content {
		onMatch(extended, resolved)
	}
	for _, other := range t.unresolved {
		if other == call || contains(resolved, other) {
			continue
		}
		extended, _ := appendExchange(history, other)
		t.extendHistory(extended, append(append([]*callerRequest(nil), resolved...), other), call, content, onMatch)
	}
}

// appendExchange is a history with a request and the answer that any engine gives.
func appendExchange(history []program.Message, call *callerRequest) ([]program.Message, string) {
	extended := append(append([]program.Message(nil), history...), call.request.Messages...)
	answer := emulator.NewPrompt(extended, 0).Response
	return append(extended, program.Message{Role: "assistant", Content: answer}), answer
}
