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

// caller runs one program as a client does: it sends a call, waits for the complete
// reply, runs a tool and sends the next call. It uses no state of the schedulers or engines.
type caller struct {
	*process
	number       int
	service      workload.ServiceWorkload
	program      string
	budgetTokens int64
	steps        []callerStep
	sidecarIndex int
	// isCreated reports whether a call of the program has been answered successfully.
	isCreated bool
	isDone    bool
	// isMaintenanceCaller marks callers of the maintenance phase, in which no fault
	// excuses a failed call.
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
	// isSentTwice makes the caller resend the request soon after the first attempt,
	// hasConcurrentRequest makes it send another request at the same time, and
	// isAbandoned makes it disconnect soon after the request was sent.
	isSentTwice          bool
	hasConcurrentRequest bool
	isAbandoned          bool
}

// conversation is the state of a thread as its caller sees it: the histories consistent
// with the replies so far, and the requests whose outcome is unknown.
type conversation struct {
	histories       [][]program.Message
	unresolved      []*callerRequest
	answerByRequest map[string]string
}

// callerRequest is one request with its ID; it can be sent several times.
type callerRequest struct {
	caller      *caller
	body        *protocol.CallRequest
	thread      string
	sends       int
	mayHaveRun  bool
	isDone      bool
	endsProgram bool
	onFinished  func(answered bool)
}

// callerAttempt is one attempt to send a request through a sidecar.
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

// callerSteps picks the steps of a program at random.
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

// scheduleStep starts a step once its tool has run; after the last step it ends the program.
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

// conversationFor returns the conversation of the step; a sub-agent forks that of its
// parent. It returns nil if the history that the sub-agent would get is not certain.
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
	return &callerRequest{caller: c, thread: thread, endsProgram: endsProgram, onFinished: onFinished, body: &protocol.CallRequest{
		Program: c.program, Create: !c.isCreated && thread == "", Tenant: "tenant", Service: c.service.Service, Thread: thread,
		Request: request, AtMostOnce: c.service.AtMostOnce, EndsProgram: endsProgram, Messages: []program.Message{{Role: "user", Content: text}},
		BudgetTokens: c.budgetTokens, TimeoutMs: callTimeoutMs,
	}}
}

func (c *caller) abandon() {
	if c.isDone {
		return
	}
	c.world.tracef("%s disconnects during a call", c.name)
	c.end("vanished")
	for _, node := range c.world.sidecars {
		for id := sidecar.CallID(1); id <= node.lastCaller; id++ {
			send, ok := node.attempts[id]
			if !ok || send.request.caller != c || !node.isAlive {
				continue
			}
			delete(node.attempts, id)
			delete(node.openRequests, send.openRequestID)
			node.receive(func() { node.core.HandleDisconnect(id) })
		}
	}
}

// send sends the request through the sidecar of the caller; attempts after the second
// go through the next sidecars in turn.
func (call *callerRequest) send() {
	c := call.caller
	w := c.world
	if call.isDone || c.isDone {
		return
	}
	node := w.sidecars[(c.sidecarIndex+max(0, call.sends-1))%len(w.sidecars)]
	call.sends++
	w.tracef("%s sends request %s (%d) to %s", c.name, call.body.Request, call.sends, node.name)
	attempt := &callerAttempt{request: call, sidecar: node, startsBefore: w.checks.startsByRequest[call.body.Request]}
	request := *call.body
	raw := mustEncode(&request)
	w.network.send(c.process, node.process, 0, "http", func() {
		attempt.sidecarIncarnation = node.incarnation
		attempt.receivedUs = w.nowUs
		attempt.openRequestID = node.trackRequest(c.process, attempt.handleConnectionLost)
		var copied protocol.CallRequest
		mustDecode(raw, &copied)
		node.lastCaller++
		node.attempts[node.lastCaller] = attempt
		node.core.HandleCall(node.lastCaller, &copied, node.nowMs())
	}, attempt.handleNotDelivered)
	// The caller ends the attempt if the sidecar does not reply at all.
	w.after((callTimeoutMs+callTimeoutGraceMs)*microsPerMilli, "caller waits", attempt.handleConnectionLost)
}

// handleNotDelivered handles a request that did not reach the sidecar.
func (s *callerAttempt) handleNotDelivered() { s.resendAfter(200) }

// handleConnectionLost handles the loss of the sidecar before the reply was complete.
func (s *callerAttempt) handleConnectionLost() {
	if s.isOver {
		return
	}
	if s.request.caller.isMaintenanceCaller {
		s.request.caller.world.checks.reportViolation(invariantPlannedStop, "request %s was interrupted by a planned stop", s.request.body.Request)
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

// deliver sends the next text of the response to the caller.
func (s *callerAttempt) deliver(text string) {
	c := s.request.caller
	c.world.network.send(s.sidecar.process, c.process, 0, "text", func() { s.receivedText.WriteString(text) }, nil)
}

// finish sends the final reply to the caller.
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
	c.world.tracef("%s: request %s receives error %s (%s, retry after %d ms): %s", c.name, call.body.Request, failure.Type, failure.Outcome, failure.RetryAfterMs, failure.Message)
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
		call.caller.world.tracef("%s: request %s fails with %s (%s): %s", call.caller.name, call.body.Request, failure.Type, failure.Outcome, failure.Message)
	}
	call.onFinished(false)
}

// resolve finds the histories consistent with a response: a known history, followed by
// any of the requests with an unknown outcome in any order, followed by this request. It
// returns false if there is none. It keeps the first match as the only history and
// marks the requests in it as resolved.
func (t *conversation) resolve(call *callerRequest, content string) bool {
	request := call.body.Request
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
	// The requests placed before this one are resolved: their responses are in the
	// history.
	for position, message := range t.histories[0] {
		for _, other := range resolvedRequests {
			if message.Content == other.body.Messages[0].Content {
				t.answerByRequest[other.body.Request] = t.histories[0][position+1].Content
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

// appendExchange returns the history extended by a request and its response, and the
// response itself, which is the same on every engine.
func appendExchange(history []program.Message, call *callerRequest) ([]program.Message, string) {
	extended := append(append([]program.Message(nil), history...), call.body.Messages...)
	answer := emulator.NewPrompt(extended, 0).Response
	return append(extended, program.Message{Role: "assistant", Content: answer}), answer
}
