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
	resendLimit    = 14
	callDeadlineMs = 20_000
	longestWaitMs  = 3000
	toolPatienceMs = 2000
	callerGraceMs  = 5000
	loopBudget     = 400
	loopSteps      = 60
)

// caller runs one program as its owner would: it sends a call, waits for the
// whole answer, uses a tool, sends the next. It knows nothing of the fleet.
type caller struct {
	*process
	number  int
	service workload.ServiceWorkload
	program string
	budget  int64
	steps   []callerStep
	home    int
	// started says that the program's first call was answered.
	created bool
	done    bool
	// planned marks callers of the calm phase, whose calls no failure excuses.
	planned bool
	ended   string
	threads map[string]*conversation
	turns   map[uint64]string
	lastReq int
}

// callerStep is one call of a program.
type callerStep struct {
	thread  string
	parent  string
	output  int64
	prompt  int64
	pauseMs int64
	// resend sends the request a second time while the first is under way,
	// crossed sends another request beside it, vanish goes away in mid call.
	resend  bool
	crossed bool
	vanish  bool
}

// conversation is what the caller knows of a thread: the histories that the
// answers so far allow, and requests whose fate it doesn't know.
type conversation struct {
	histories [][]program.Message
	unknown   []*callerCall
	placed    map[string]string
}

// callerCall is one request with its id, however often it is sent.
type callerCall struct {
	caller   *caller
	request  *protocol.CallRequest
	thread   string
	sends    int
	maybeRan bool
	done     bool
	last     bool
	finished func(answered bool)
}

// callerSend is one sending of a request.
type callerSend struct {
	call     *callerCall
	node     *sidecarNode
	life     int
	open     uint64
	text     strings.Builder
	over     bool
	startsAt int
	takenUs  int64
}

func (w *world) addCaller(atUs int64, planned bool) *caller {
	shape := w.deployment.Workload[w.random.IntN(len(w.deployment.Workload))]
	number := len(w.callers)
	home := w.random.IntN(len(w.sidecars))
	c := &caller{
		process: w.newProcess(fmt.Sprintf("caller-%d", number), w.sidecars[home].zone),
		number:  number, service: shape, home: home, program: fmt.Sprintf("p-%d-%d", w.seed, number), planned: planned,
		threads: map[string]*conversation{"": {histories: [][]program.Message{nil}, placed: map[string]string{}}}, turns: map[uint64]string{},
	}
	c.alive = true
	c.life = 1
	c.steps = w.callerSteps(c)
	w.callers = append(w.callers, c)
	w.after(atUs-w.nowUs, "arrival", func() { c.next(0) })
	return c
}

// callerSteps draws what a program will do.
func (w *world) callerSteps(c *caller) []callerStep {
	count := 1
	if c.service.Turns.High > 1 {
		count = int(w.between(1, 5))
	}
	if w.option("loop") && !c.planned && count > 1 && w.chance(0.15) {
		c.budget = loopBudget
		count = loopSteps
	}
	hangs := w.option("hang")
	odd := w.option("callers") && !c.planned
	var steps []callerStep
	for position := range count {
		step := callerStep{prompt: w.between(8, 60), output: w.between(8, 24)}
		if position > 0 {
			step.pauseMs = w.between(20, 900)
			if hangs && w.chance(0.15) {
				step.pauseMs = toolPatienceMs
			}
		}
		step.resend = odd && w.chance(0.2)
		step.crossed = odd && !c.service.AtMostOnce && count > 1 && w.chance(0.15)
		step.vanish = odd && w.chance(0.05)
		steps = append(steps, step)
		if c.budget == 0 && w.chance(c.service.SubAgentProbability) && position+1 < count {
			thread := fmt.Sprintf("sub-%d", position)
			for range w.between(1, 2) {
				steps = append(steps, callerStep{thread: thread, prompt: w.between(8, 40), output: w.between(8, 16)})
			}
		}
	}
	return steps
}

// next begins a step after its pause, or ends.
func (c *caller) next(position int) {
	if position >= len(c.steps) {
		c.end("answered")
		return
	}
	step := c.steps[position]
	c.world.after(step.pauseMs*microsPerMilli, "tool", func() { c.begin(position, step) })
}

func (c *caller) end(how string) {
	if c.done {
		return
	}
	c.done = true
	c.ended = how
	c.world.tell("%s: program %s ends: %s", c.name, c.program, how)
}

func (c *caller) begin(position int, step callerStep) {
	if c.done {
		return
	}
	conversation := c.thread(step)
	if conversation == nil {
		c.next(position + 1)
		return
	}
	last := position == len(c.steps)-1
	waiting := 1
	finished := func(answered bool) {
		waiting--
		switch {
		case c.done:
		case !answered:
			c.end("refused")
		case waiting == 0:
			c.next(position + 1)
		}
	}
	first := c.newCall(step, step.thread, last && !step.crossed, finished)
	if step.crossed && c.created {
		waiting++
		second := c.newCall(step, step.thread, false, finished)
		conversation.unknown = append(conversation.unknown, first, second)
		second.send()
	} else {
		conversation.unknown = append(conversation.unknown, first)
	}
	first.send()
	if step.resend {
		c.world.after(c.world.between(1, 80)*microsPerMilli, "resend", first.send)
	}
	if step.vanish {
		c.world.after(c.world.between(1, 150)*microsPerMilli, "vanish", c.vanish)
	}
}

// thread returns the step's conversation; a sub-agent forks its parent's. It is
// nil where the caller can't tell what the sub-agent would see.
func (c *caller) thread(step callerStep) *conversation {
	known, ok := c.threads[step.thread]
	if ok {
		return known
	}
	parent := c.threads[step.parent]
	if len(parent.unknown) > 0 || len(parent.histories) != 1 || !c.created {
		return nil
	}
	fork := &conversation{histories: [][]program.Message{append([]program.Message(nil), parent.histories[0]...)}, placed: map[string]string{}}
	c.threads[step.thread] = fork
	return fork
}

func (c *caller) newCall(step callerStep, thread string, last bool, finished func(bool)) *callerCall {
	c.lastReq++
	request := fmt.Sprintf("%s-r%d", c.program, c.lastReq)
	text := workload.Text(request, step.prompt, step.output)
	if c.service.AtMostOnce {
		c.world.checks.once[request] = true
	}
	return &callerCall{caller: c, thread: thread, last: last, finished: finished, request: &protocol.CallRequest{
		Program: c.program, Create: !c.created && thread == "", Tenant: "tenant", Service: c.service.Service, Thread: thread,
		Request: request, AtMostOnce: c.service.AtMostOnce, EndsProgram: last, Messages: []program.Message{{Role: "user", Content: text}},
		BudgetTokens: c.budget, TimeoutMs: callDeadlineMs,
	}}
}

func (c *caller) vanish() {
	if c.done {
		return
	}
	c.world.tell("%s goes away in mid call", c.name)
	c.end("vanished")
	for _, node := range c.world.sidecars {
		for id := sidecar.CallID(1); id <= node.next; id++ {
			send, ok := node.callers[id]
			if !ok || send.call.caller != c || !node.alive {
				continue
			}
			delete(node.callers, id)
			delete(node.pending, send.open)
			node.receive(func() { node.core.HandleDisconnect(id) })
		}
	}
}

// send sends the request through a sidecar; after a failure through another.
func (call *callerCall) send() {
	c := call.caller
	w := c.world
	if call.done || c.done {
		return
	}
	node := w.sidecars[(c.home+max(0, call.sends-1))%len(w.sidecars)]
	call.sends++
	w.tell("%s sends request %s (%d) to %s", c.name, call.request.Request, call.sends, node.name)
	current := &callerSend{call: call, node: node, startsAt: w.checks.starts[call.request.Request]}
	request := *call.request
	raw := mustEncode(&request)
	w.network.send(c.process, node.process, 0, "http", func() {
		current.life = node.life
		current.takenUs = w.nowUs
		current.open = node.open(c.process, current.cut)
		var copied protocol.CallRequest
		mustDecode(raw, &copied)
		node.next++
		node.callers[node.next] = current
		node.core.HandleCall(node.next, &copied, node.nowMs())
	}, current.refused)
	// A caller gives up on a sidecar that says nothing at all.
	w.after((callDeadlineMs+callerGraceMs)*microsPerMilli, "caller waits", current.cut)
}

// refused says that no sidecar took the request.
func (s *callerSend) refused() { s.again(200) }

// cut says that the sidecar went away with the answer unfinished.
func (s *callerSend) cut() {
	if s.over {
		return
	}
	if s.call.caller.planned {
		s.call.caller.world.checks.violate(invariantPlanned, "request %s was cut off by a planned stop", s.call.request.Request)
	}
	s.call.maybeRan = true
	s.again(200)
}

func (s *callerSend) again(waitMs int64) {
	if s.over {
		return
	}
	s.over = true
	call := s.call
	if call.done || call.caller.done {
		return
	}
	if call.sends >= resendLimit {
		call.fail(nil)
		return
	}
	call.caller.world.after(waitMs*microsPerMilli, "again", call.send)
}

// deliver is a part of the answer.
func (s *callerSend) deliver(text string) {
	c := s.call.caller
	c.world.network.send(s.node.process, c.process, 0, "text", func() { s.text.WriteString(text) }, nil)
}

// finish is the final answer.
func (s *callerSend) finish(answer *protocol.CallReply) {
	delete(s.node.pending, s.open)
	raw := mustEncode(answer)
	c := s.call.caller
	c.world.checks.waited(s)
	c.world.network.send(s.node.process, c.process, 0, "answer", func() {
		var copied protocol.CallReply
		mustDecode(raw, &copied)
		s.answered(&copied)
	}, nil)
}

func (s *callerSend) answered(answer *protocol.CallReply) {
	if s.over {
		return
	}
	call := s.call
	c := call.caller
	if answer.Error == nil {
		s.over = true
		c.world.checks.answer(s, answer)
		call.succeed(answer)
		return
	}
	failure := answer.Error
	c.world.tell("%s: request %s gets %s (%s, back in %d ms): %s", c.name, call.request.Request, failure.Type, failure.Outcome, failure.RetryAfterMs, failure.Message)
	c.world.checks.refusal(s, failure)
	if failure.Outcome != result.NotRun {
		call.maybeRan = true
	}
	if failure.RetryAfterMs > 0 && !c.done {
		s.again(min(failure.RetryAfterMs, longestWaitMs))
		return
	}
	s.over = true
	call.fail(failure)
}

func (call *callerCall) succeed(answer *protocol.CallReply) {
	if call.done {
		return
	}
	call.done = true
	call.caller.created = true
	call.finished(true)
}

func (call *callerCall) fail(failure *result.Error) {
	if call.done {
		return
	}
	call.done = true
	if failure != nil {
		call.caller.world.tell("%s: request %s ends with %s (%s): %s", call.caller.name, call.request.Request, failure.Type, failure.Outcome, failure.Message)
	}
	call.finished(false)
}

// place finds the histories that an answer allows: those known, followed by any
// order of requests with unknown fate, followed by this one.
func (t *conversation) place(call *callerCall, content string) bool {
	request := call.request.Request
	if before, ok := t.placed[request]; ok {
		return before == content
	}
	var matches [][]program.Message
	var used []*callerCall
	for _, history := range t.histories {
		t.extend(history, nil, call, content, func(whole []program.Message, between []*callerCall) {
			matches = append(matches, whole)
			used = between
		})
	}
	if len(matches) == 0 {
		return false
	}
	t.histories = matches[:1]
	t.placed[request] = content
	kept := t.unknown[:0]
	for _, other := range t.unknown {
		if other != call && !contains(used, other) {
			kept = append(kept, other)
		}
	}
	t.unknown = kept
	// What came between is known now: its answer is in the history.
	for position, message := range t.histories[0] {
		for _, other := range used {
			if message.Content == other.request.Messages[0].Content {
				t.placed[other.request.Request] = t.histories[0][position+1].Content
			}
		}
	}
	return true
}

func contains(calls []*callerCall, call *callerCall) bool {
	for _, known := range calls {
		if known == call {
			return true
		}
	}
	return false
}

func (t *conversation) extend(history []program.Message, between []*callerCall, call *callerCall, content string, found func([]program.Message, []*callerCall)) {
	whole, answer := withAnswer(history, call)
	if answer == content {
		found(whole, between)
	}
	for _, other := range t.unknown {
		if other == call || contains(between, other) {
			continue
		}
		longer, _ := withAnswer(history, other)
		t.extend(longer, append(append([]*callerCall(nil), between...), other), call, content, found)
	}
}

// withAnswer is a history with a request and the answer that any engine gives.
func withAnswer(history []program.Message, call *callerCall) ([]program.Message, string) {
	whole := append(append([]program.Message(nil), history...), call.request.Messages...)
	answer := emulator.NewPrompt(whole, 0).Response
	return append(whole, program.Message{Role: "assistant", Content: answer}), answer
}
