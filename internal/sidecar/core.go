// Package sidecar implements the process that runs next to each caller: it accepts calls in the
// format of the OpenAI API, selects the scheduler of each program, retries calls that may be
// retried, and returns the complete response (design sections 3 and 9). Core is the control state and
// has no goroutines, clock or sockets of its own. Daemon connects it to HTTP and TCP, and the simulator
// to a virtual network.
package sidecar

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/settings"
)

// CallID identifies one call of a caller.
type CallID uint64

// OutboundRequestID identifies one request sent to a scheduler.
type OutboundRequestID uint64

// Transport sends the messages of a Core. Its methods must not call methods of the Core.
type Transport interface {
	// Send sends a request to a scheduler. The frames of the reply are passed to Core.HandleChunk,
	// Core.HandleCallReply and Core.HandleFollowReply, and the loss of the connection to
	// Core.HandleLostRequest.
	Send(address string, id OutboundRequestID, kind protocol.Kind, request any)
	// Notify sends a one-way message to a scheduler.
	Notify(address string, kind protocol.Kind, message any)
	// Deliver passes the next part of a response to the caller, and Finish the final reply.
	Deliver(id CallID, text string)
	Finish(id CallID, reply *protocol.CallReply)
}

// Options configure a Core.
type Options struct {
	Name string
	Zone string
	// Seeds are the schedulers to use while the directory is unknown or lists none. Those in the
	// sidecar's zone should come first.
	Seeds            []membership.Scheduler
	FollowLongPollMs int64

	// The remaining options disable single mechanisms, for runs that demonstrate their purpose.
	DisableAssembly       bool
	DisableUnknownOutcome bool
	DisableRevision       bool
}

// DefaultOptions returns the options of a sidecar process, with the default timing.
func DefaultOptions(name, zone string, seeds []membership.Scheduler) Options {
	return Options{Name: name, Zone: zone, Seeds: seeds, FollowLongPollMs: 1000}
}

const (
	followTimeoutMs     = 4000
	initialRetryDelayMs = 30
	maxRetryDelayMs     = 800
	retryBudgetPerReply = 0.2
	retryBudgetCapacity = 20
	maxAttempts         = 40
	// maxCellsPerCall limits the cells to which a call is sent when each replies that it has no
	// engine of the call's pool.
	maxCellsPerCall = 4
)

// Core is the control state of one sidecar.
type Core struct {
	options        Options
	transport      Transport
	nowMs          int64
	tree           *settings.Tree
	roster         *membership.Roster
	schedulers     []membership.Scheduler
	calls          map[CallID]*call
	outbound       map[OutboundRequestID]*outboundRequest
	lastOutboundID OutboundRequestID
	randomState    uint64

	followID     OutboundRequestID
	followSentMs int64
	followIndex  int
	isSynced     bool
	isDraining   bool
	// retryBudget is the number of retries that are allowed now. Each successful reply adds
	// retryBudgetPerReply, up to retryBudgetCapacity. Each retry uses 1, but a call that has
	// been sent no more than once is retried without using the budget.
	retryBudget float64
	stats       Stats
}

// Stats holds counters since the start of the process and gauges of the present state.
type Stats struct {
	Calls     uint64
	Answered  uint64
	Failed    uint64
	Retries   uint64
	OpenCalls int
	Revision  uint64
}

// call is the state of one call from its arrival to its final reply.
type call struct {
	id           CallID
	request      *protocol.CallRequest
	deadlineMs   int64
	outbound     *outboundRequest
	attempts     int
	retryAtMs    int64
	receivedText strings.Builder
	// mayHaveRun is set when an engine may have run the call: the reply was lost, or an error reply
	// had an outcome other than "not run".
	mayHaveRun bool
	lastError  *result.Error
	// avoidedSchedulers are the schedulers whose reply was lost or whose cell could not serve the
	// call. unservedCells is the number of those cells.
	avoidedSchedulers map[string]bool
	unservedCells     int
}

// outboundRequest is a request in flight to a scheduler.
type outboundRequest struct {
	id        OutboundRequestID
	address   string
	scheduler string
	// incarnation identifies the scheduler's process, and is 0 if it is not known yet.
	incarnation uint64
	call        *call
	isFollow    bool
}

// NewCore returns a Core without settings that uses the seeds until it receives the directory.
func NewCore(options Options, transport Transport, nowMs int64) *Core {
	return &Core{
		options: options, transport: transport, nowMs: nowMs, tree: settings.NewTree(), roster: membership.NewRoster(), schedulers: options.Seeds,
		calls: map[CallID]*call{}, outbound: map[OutboundRequestID]*outboundRequest{}, retryBudget: retryBudgetCapacity,
		randomState: xxhash.Sum64String(options.Name),
	}
}

// IsReady reports whether the sidecar has the settings and is not draining.
func (c *Core) IsReady() bool { return c.isSynced && !c.isDraining }

// IsIdle reports whether no call is in progress.
func (c *Core) IsIdle() bool { return len(c.calls) == 0 }

// Drain refuses new calls. Calls in progress continue.
func (c *Core) Drain() { c.isDraining = true }

// SettingsTree returns the settings that this sidecar has applied. The caller must not modify them.
func (c *Core) SettingsTree() *settings.Tree { return c.tree }

// Stats returns the counters and the present values of the gauges.
func (c *Core) Stats() Stats {
	stats := c.stats
	stats.OpenCalls = len(c.calls)
	stats.Revision = c.tree.Revision()
	return stats
}

// HandleCall handles a caller's request. Transport.Finish is called once for it, unless the caller
// disconnects before.
func (c *Core) HandleCall(id CallID, request *protocol.CallRequest, nowMs int64) {
	c.nowMs = nowMs
	c.stats.Calls++
	if c.isDraining {
		c.transport.Finish(id, &protocol.CallReply{Error: result.New(result.Draining, "sidecar %s is draining", c.options.Name)})
		return
	}
	if request.TimeoutMs <= 0 {
		c.transport.Finish(id, &protocol.CallReply{Error: result.New(result.DeadlinePassed, "the deadline had passed when the call arrived")})
		return
	}
	incoming := &call{id: id, request: request, deadlineMs: nowMs + request.TimeoutMs, avoidedSchedulers: map[string]bool{}}
	c.calls[id] = incoming
	c.sendCall(incoming)
}

// sendCall selects the program's scheduler and sends the call to it.
func (c *Core) sendCall(current *call) {
	target, ok := c.selectScheduler(current)
	if !ok {
		current.lastError = result.New(result.NoScheduler, "the sidecar has no address of a scheduler")
		c.scheduleRetry(current)
		return
	}
	request := *current.request
	request.TimeoutMs = current.deadlineMs - c.nowMs
	request.Attempt = current.attempts
	request.ResumeOffset = current.receivedText.Len()
	current.attempts++
	current.retryAtMs = 0
	c.lastOutboundID++
	current.outbound = &outboundRequest{id: c.lastOutboundID, address: target.Address, scheduler: target.Name, incarnation: target.Incarnation, call: current}
	c.outbound[c.lastOutboundID] = current.outbound
	c.transport.Send(target.Address, c.lastOutboundID, protocol.KindCall, &request)
}

// selectScheduler returns the scheduler for a program by rendezvous hashing within the best class of
// schedulers. The criteria of a class, most important first, are: not draining, not in the call's
// avoidedSchedulers, in the sidecar's zone. All sidecars of a zone that have the same directory
// select the same scheduler for a call that avoids none, so a program stays with the cell whose
// engines have its prefix cached.
func (c *Core) selectScheduler(current *call) (membership.Scheduler, bool) {
	var best membership.Scheduler
	var bestScore uint64
	found := false
	bestClass := 0
	schedulers := c.schedulers
	if len(schedulers) == 0 {
		schedulers = c.options.Seeds
	}
	for _, scheduler := range schedulers {
		class := 0
		if scheduler.Zone == c.options.Zone {
			class += 1
		}
		if !scheduler.Draining {
			class += 4
		}
		if !current.avoidedSchedulers[scheduler.Name] {
			class += 2
		}
		score := xxhash.Sum64String(scheduler.Name + "\x00" + current.request.Program)
		if !found || class > bestClass || (class == bestClass && score > bestScore) {
			best, bestScore, bestClass, found = scheduler, score, class, true
		}
	}
	return best, found
}

// HandleChunk handles a chunk of a response from a scheduler.
func (c *Core) HandleChunk(id OutboundRequestID, chunk *protocol.CallChunk, nowMs int64) {
	c.nowMs = nowMs
	sent, ok := c.outbound[id]
	if !ok || sent.call == nil {
		return
	}
	current := sent.call
	if c.options.DisableAssembly {
		current.receivedText.WriteString(chunk.Text)
		c.transport.Deliver(current.id, chunk.Text)
		return
	}
	added, ok := unreceivedText(current.receivedText.String(), chunk)
	if !ok {
		c.finish(current, &protocol.CallReply{Error: result.New(result.EngineFailed, "a chunk contradicts the response text already received, or leaves a gap")})
		return
	}
	if added != "" {
		current.receivedText.WriteString(added)
		c.transport.Deliver(current.id, added)
	}
}

// unreceivedText returns the text that a chunk adds to the received text. It reports false if the
// chunk contradicts the received text or leaves a gap. Invariant: the caller gets every byte of the
// response at most once and in order, unless DisableAssembly is set.
func unreceivedText(received string, chunk *protocol.CallChunk) (string, bool) {
	if chunk.Offset > len(received) {
		return "", false
	}
	overlap := received[chunk.Offset:]
	if len(chunk.Text) <= len(overlap) {
		return "", strings.HasPrefix(overlap, chunk.Text)
	}
	if !strings.HasPrefix(chunk.Text, overlap) {
		return "", false
	}
	return chunk.Text[len(overlap):], true
}

// HandleCallReply handles the final reply to a call.
func (c *Core) HandleCallReply(id OutboundRequestID, reply *protocol.CallReply, nowMs int64) {
	c.nowMs = nowMs
	sent, ok := c.outbound[id]
	if !ok || sent.call == nil {
		return
	}
	delete(c.outbound, id)
	current := sent.call
	current.outbound = nil
	if reply.Error != nil {
		c.handleError(current, sent.scheduler, reply.Error)
		return
	}
	added, ok := unreceivedText(current.receivedText.String(), &protocol.CallChunk{Text: reply.Content})
	if !ok && !c.options.DisableAssembly {
		c.finish(current, &protocol.CallReply{Error: result.New(result.EngineFailed, "the final response differs from the streamed text")})
		return
	}
	if added != "" {
		current.receivedText.WriteString(added)
		c.transport.Deliver(current.id, added)
	}
	c.retryBudget = min(retryBudgetCapacity, c.retryBudget+retryBudgetPerReply)
	c.finish(current, reply)
}

// retryableCodes are the codes after which another scheduler, or the same one a little later, may
// succeed. The request id prevents a call that is retried from running twice.
var retryableCodes = []result.Code{
	result.Draining, result.NoScheduler, result.NotLeader, result.NoQuorum, result.StaleFence, result.TurnOpen,
}

// handleError retries a call for which a scheduler replied with an error, or ends it with that
// error.
func (c *Core) handleError(current *call, schedulerName string, failure *result.Error) {
	current.lastError = failure
	if failure.Outcome != result.NotRun {
		current.mayHaveRun = true
	}
	if failure.Code == result.NoEngine && current.unservedCells+1 < min(len(c.schedulers), maxCellsPerCall) {
		// Another cell may have engines of the pool. This cell has not run the call.
		current.unservedCells++
		current.avoidedSchedulers[schedulerName] = true
		c.sendCall(current)
		return
	}
	if slices.Contains(retryableCodes, failure.Code) {
		c.scheduleRetry(current)
		return
	}
	c.finish(current, &protocol.CallReply{Error: failure})
}

// HandleLostRequest handles a request whose reply is lost: the connection has closed, the request
// could not be sent, the reply could not be decoded, or the directory no longer lists that
// incarnation of the scheduler. The scheduler may have sent the call to an engine, or replied to it,
// so the same request is sent again, preferably to another scheduler.
func (c *Core) HandleLostRequest(id OutboundRequestID, nowMs int64) {
	c.nowMs = nowMs
	sent, ok := c.outbound[id]
	if !ok {
		return
	}
	delete(c.outbound, id)
	if sent.isFollow {
		c.followID = 0
		c.followIndex++
		return
	}
	current := sent.call
	current.outbound = nil
	current.mayHaveRun = true
	current.avoidedSchedulers[sent.scheduler] = true
	current.lastError = result.New(result.NoScheduler, "the reply of scheduler %s was lost", sent.scheduler)
	c.scheduleRetry(current)
}

// scheduleRetry schedules another attempt of a call after an exponential delay with jitter. It ends
// the call if the deadline, maxAttempts or the retry budget does not allow the attempt.
func (c *Core) scheduleRetry(current *call) {
	delayMs := min(int64(maxRetryDelayMs), int64(initialRetryDelayMs)<<min(current.attempts, 6))
	delayMs = delayMs/2 + int64(c.nextRandom()%uint64(delayMs/2+1))
	isExhausted := c.nowMs+delayMs >= current.deadlineMs || current.attempts >= maxAttempts
	isFirstRetry := current.attempts <= 1
	if isExhausted || (c.retryBudget < 1 && !isFirstRetry) {
		c.finish(current, &protocol.CallReply{Error: current.lastError})
		return
	}
	if !isFirstRetry {
		c.retryBudget--
	}
	c.stats.Retries++
	current.retryAtMs = c.nowMs + delayMs
}

// nextRandom advances a 64-bit linear congruential generator with the constants of Knuth's MMIX and
// returns the upper 31 bits of its state.
func (c *Core) nextRandom() uint64 {
	c.randomState = c.randomState*6364136223846793005 + 1442695040888963407
	return c.randomState >> 33
}

// finish ends a call with its final reply. Invariant: the outcome is "not run" only if no attempt of
// this call may have run, unless DisableUnknownOutcome is set.
func (c *Core) finish(current *call, reply *protocol.CallReply) {
	if current.outbound != nil {
		delete(c.outbound, current.outbound.id)
	}
	delete(c.calls, current.id)
	if reply.Error == nil {
		c.stats.Answered++
	} else {
		c.stats.Failed++
		if reply.Error.Outcome == result.NotRun && current.mayHaveRun && !c.options.DisableUnknownOutcome {
			reply.Error = reply.Error.WithOutcome(result.Unknown)
		}
	}
	c.transport.Finish(current.id, reply)
}

// HandleDisconnect removes a call whose caller has disconnected. If a request for the call is in
// flight, it sends a cancellation to that scheduler.
func (c *Core) HandleDisconnect(id CallID) {
	current, ok := c.calls[id]
	if !ok {
		return
	}
	delete(c.calls, id)
	if current.outbound != nil {
		delete(c.outbound, current.outbound.id)
		c.transport.Notify(current.outbound.address, protocol.KindCancel,
			&protocol.Cancel{Program: current.request.Program, Request: current.request.Request})
	}
}

// Tick advances the core's clock and performs what is due at the new time.
func (c *Core) Tick(nowMs int64) {
	c.nowMs = nowMs
	c.sendFollow()
	for _, id := range sortedIDs(c.calls) {
		current := c.calls[id]
		switch {
		case current.retryAtMs != 0 && nowMs >= current.retryAtMs:
			c.sendCall(current)
		case nowMs >= current.deadlineMs+deadlineGraceMs:
			c.finish(current, &protocol.CallReply{Error: c.deadlineError(current)})
		}
	}
}

// deadlineGraceMs is the time for which the sidecar waits after a call's deadline, so that the
// scheduler's deadline error can arrive before the sidecar ends the call itself.
const deadlineGraceMs = 500

func (c *Core) deadlineError(current *call) *result.Error {
	return result.New(result.DeadlinePassed, "no reply arrived before the deadline").WithOutcome(result.Unknown)
}

func sortedIDs[K ~uint64, V any](values map[K]V) []K {
	ids := make([]K, 0, len(values))
	for id := range values {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
