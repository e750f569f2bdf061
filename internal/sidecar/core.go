// Package sidecar is the process beside each caller: it takes calls in the
// OpenAI shape, finds the scheduler of each program, repeats what may be
// repeated, and hands back the whole answer (design sections 3 and 9). Core is
// its control state without goroutine, clock or socket; Daemon runs it over HTTP
// and TCP, the simulator over virtual ones.
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

// CallID names one call of a caller.
type CallID uint64

// OutboundRequestID names one request sent to a scheduler.
type OutboundRequestID uint64

// Transport takes what the core sends. Its methods must not call back.
type Transport interface {
	// Send sends a request to a scheduler; its frames come back as Piece, Answer
	// and Lost.
	Send(address string, id OutboundRequestID, kind protocol.Kind, request any)
	// Notify sends a one-way message to a scheduler.
	Notify(address string, kind protocol.Kind, message any)
	// Deliver hands the next part of an answer to the caller, Finish the end.
	Deliver(caller CallID, text string)
	Finish(caller CallID, answer *protocol.CallReply)
}

// Options configure a Core.
type Options struct {
	Name string
	Zone string
	// Seeds are schedulers to begin with, one's own zone first.
	Seeds            []membership.Scheduler
	FollowLongPollMs int64

	// The rest turn mechanisms off, for runs that show what they are for.
	DisableAssembly       bool
	DisableUnknownOutcome bool
	DisableRevision       bool
}

// DefaultOptions returns the timings in use.
func DefaultOptions(name, zone string, seeds []membership.Scheduler) Options {
	return Options{Name: name, Zone: zone, Seeds: seeds, FollowLongPollMs: 1000}
}

const (
	followTimeoutMs   = 4000
	firstRetryPauseMs = 30
	maxRetryPauseMs   = 800
	retryShare        = 0.2
	retryReserve      = 20
	maxAttempts       = 40
	// maxCells bounds the cells that are asked for an engine in one call.
	maxCells = 4
)

// Core is the control state of one sidecar.
type Core struct {
	options  Options
	outlet   Transport
	nowMs    int64
	tree     *settings.Tree
	roster   *membership.Roster
	peers    []membership.Scheduler
	calls    map[CallID]*call
	sends    map[OutboundRequestID]*send
	nextSend OutboundRequestID
	random   uint64

	following  OutboundRequestID
	followedAt int64
	followTurn int
	synced     bool
	draining   bool
	// retries is a budget: each answer adds a share, each repeat takes one.
	retries float64
	stats   Stats
}

// Stats counts what the sidecar did.
type Stats struct {
	Calls     uint64
	Answered  uint64
	Failed    uint64
	Retries   uint64
	OpenCalls int
	Revision  uint64
}

// call is one caller's request until its final answer.
type call struct {
	id         CallID
	request    *protocol.CallRequest
	deadlineMs int64
	sent       *send
	attempts   int
	nextMs     int64
	received   strings.Builder
	// unknown is set when a send may have run at a scheduler that was lost.
	unknown bool
	last    *result.Error
	// avoid names the schedulers that were lost or could not serve the call, and
	// unserved counts the latter.
	avoid    map[string]bool
	unserved int
}

// send is one request under way at a scheduler.
type send struct {
	id      OutboundRequestID
	address string
	name    string
	// start is the scheduler's start, zero where it is not known yet.
	start  uint64
	call   *call
	follow bool
}

// NewCore returns a sidecar that knows only its seeds.
func NewCore(options Options, outlet Transport, nowMs int64) *Core {
	return &Core{
		options: options, outlet: outlet, nowMs: nowMs, tree: settings.NewTree(), roster: membership.NewRoster(), peers: options.Seeds,
		calls: map[CallID]*call{}, sends: map[OutboundRequestID]*send{}, retries: retryReserve,
		random: xxhash.Sum64String(options.Name),
	}
}

// IsReady reports whether calls can be taken.
func (c *Core) IsReady() bool { return c.synced && !c.draining }

// IsIdle reports whether no call is under way.
func (c *Core) IsIdle() bool { return len(c.calls) == 0 }

// Drain refuses new calls from now on.
func (c *Core) Drain() { c.draining = true }

// SettingsTree returns the settings in force here, for reading.
func (c *Core) SettingsTree() *settings.Tree { return c.tree }

// Stats returns counters and gauges.
func (c *Core) Stats() Stats {
	stats := c.stats
	stats.OpenCalls = len(c.calls)
	stats.Revision = c.tree.Revision()
	return stats
}

// HandleCall takes a caller's request. Whatever becomes of it, Finish is called once.
func (c *Core) HandleCall(id CallID, request *protocol.CallRequest, nowMs int64) {
	c.nowMs = nowMs
	c.stats.Calls++
	if c.draining {
		c.outlet.Finish(id, &protocol.CallReply{Error: result.New(result.Draining, "%s is stopping", c.options.Name)})
		return
	}
	if request.TimeoutMs <= 0 {
		c.outlet.Finish(id, &protocol.CallReply{Error: result.New(result.DeadlinePassed, "the deadline was past on arrival")})
		return
	}
	incoming := &call{id: id, request: request, deadlineMs: nowMs + request.TimeoutMs, avoid: map[string]bool{}}
	c.calls[id] = incoming
	c.send(incoming)
}

// send picks the program's scheduler and sends the call there.
func (c *Core) send(current *call) {
	target, ok := c.pick(current)
	if !ok {
		current.last = result.New(result.NoScheduler, "no scheduler is known")
		c.retryLater(current)
		return
	}
	request := *current.request
	request.TimeoutMs = current.deadlineMs - c.nowMs
	request.Attempt = current.attempts
	request.ResumeOffset = current.received.Len()
	current.attempts++
	current.nextMs = 0
	c.nextSend++
	current.sent = &send{id: c.nextSend, address: target.Address, name: target.Name, start: target.Incarnation, call: current}
	c.sends[c.nextSend] = current.sent
	c.outlet.Send(target.Address, c.nextSend, protocol.KindCall, &request)
}

// pick returns the scheduler of a program: the highest in rendezvous order among
// those of one's own zone that take calls, then among all. Every sidecar of a
// zone picks the same one, so a program stays where its prefix is warm.
func (c *Core) pick(current *call) (membership.Scheduler, bool) {
	var best membership.Scheduler
	var bestScore uint64
	found := false
	bestClass := 0
	peers := c.peers
	if len(peers) == 0 {
		peers = c.options.Seeds
	}
	for _, peer := range peers {
		class := 0
		if peer.Zone == c.options.Zone {
			class += 1
		}
		if !peer.Draining {
			class += 4
		}
		if !current.avoid[peer.Name] {
			class += 2
		}
		score := xxhash.Sum64String(peer.Name + "\x00" + current.request.Program)
		if !found || class > bestClass || (class == bestClass && score > bestScore) {
			best, bestScore, bestClass, found = peer, score, class, true
		}
	}
	return best, found
}

// HandleChunk takes a part of an answer from a scheduler.
func (c *Core) HandleChunk(id OutboundRequestID, piece *protocol.CallChunk, nowMs int64) {
	c.nowMs = nowMs
	sent, ok := c.sends[id]
	if !ok || sent.call == nil {
		return
	}
	current := sent.call
	if c.options.DisableAssembly {
		current.received.WriteString(piece.Text)
		c.outlet.Deliver(current.id, piece.Text)
		return
	}
	fresh, ok := assemble(current.received.String(), piece)
	if !ok {
		c.finish(current, &protocol.CallReply{Error: result.New(result.EngineFailed, "the answer changed while it was sent again")})
		return
	}
	if fresh != "" {
		current.received.WriteString(fresh)
		c.outlet.Deliver(current.id, fresh)
	}
}

// assemble returns what a piece adds to the text received; false where the piece
// contradicts it or leaves a gap. Invariant: the caller gets every byte of the
// answer once, in order.
func assemble(received string, piece *protocol.CallChunk) (string, bool) {
	if piece.Offset > len(received) {
		return "", false
	}
	known := received[piece.Offset:]
	if len(piece.Text) <= len(known) {
		return "", strings.HasPrefix(known, piece.Text)
	}
	if !strings.HasPrefix(piece.Text, known) {
		return "", false
	}
	return piece.Text[len(known):], true
}

// HandleCallReply takes the final message of a call.
func (c *Core) HandleCallReply(id OutboundRequestID, answer *protocol.CallReply, nowMs int64) {
	c.nowMs = nowMs
	sent, ok := c.sends[id]
	if !ok || sent.call == nil {
		return
	}
	delete(c.sends, id)
	current := sent.call
	current.sent = nil
	if answer.Error != nil {
		c.failed(current, sent.name, answer.Error)
		return
	}
	rest, ok := assemble(current.received.String(), &protocol.CallChunk{Text: answer.Content})
	if !ok && !c.options.DisableAssembly {
		c.finish(current, &protocol.CallReply{Error: result.New(result.EngineFailed, "the answer differs from what was streamed")})
		return
	}
	if rest != "" {
		current.received.WriteString(rest)
		c.outlet.Deliver(current.id, rest)
	}
	c.retries = min(retryReserve, c.retries+retryShare)
	c.finish(current, answer)
}

// repeatable lists the codes after which another scheduler, or the same one a
// little later, may do better. The request id keeps a repeat from running twice.
var repeatable = []result.Code{
	result.Draining, result.NoScheduler, result.NotLeader, result.NoQuorum, result.StaleFence, result.TurnOpen,
}

// failed decides what becomes of a call that a scheduler answered with an error.
func (c *Core) failed(current *call, name string, failure *result.Error) {
	current.last = failure
	if failure.Outcome != result.NotRun {
		current.unknown = true
	}
	if failure.Code == result.NoEngine && current.unserved+1 < min(len(c.peers), maxCells) {
		// Another cell may have engines of the pool; nothing has run here.
		current.unserved++
		current.avoid[name] = true
		c.send(current)
		return
	}
	if slices.Contains(repeatable, failure.Code) {
		c.retryLater(current)
		return
	}
	c.finish(current, &protocol.CallReply{Error: failure})
}

// HandleLostRequest takes the end of a connection: the scheduler may have sent the call to an
// engine, or answered it, so the same request is sent again elsewhere.
func (c *Core) HandleLostRequest(id OutboundRequestID, nowMs int64) {
	c.nowMs = nowMs
	sent, ok := c.sends[id]
	if !ok {
		return
	}
	delete(c.sends, id)
	if sent.follow {
		c.following = 0
		c.followTurn++
		return
	}
	current := sent.call
	current.sent = nil
	current.unknown = true
	current.avoid[sent.name] = true
	current.last = result.New(result.NoScheduler, "scheduler %s was lost", sent.name)
	c.retryLater(current)
}

// retryLater sends a call again after a pause that grows, with jitter, unless
// the deadline or the retry budget forbids it.
func (c *Core) retryLater(current *call) {
	pause := min(int64(maxRetryPauseMs), int64(firstRetryPauseMs)<<min(current.attempts, 6))
	pause = pause/2 + int64(c.nextRandom()%uint64(pause/2+1))
	outOfTime := c.nowMs+pause >= current.deadlineMs || current.attempts >= maxAttempts
	first := current.attempts <= 1
	if outOfTime || (c.retries < 1 && !first) {
		c.finish(current, &protocol.CallReply{Error: current.last})
		return
	}
	if !first {
		c.retries--
	}
	c.stats.Retries++
	current.nextMs = c.nowMs + pause
}

func (c *Core) nextRandom() uint64 {
	c.random = c.random*6364136223846793005 + 1442695040888963407
	return c.random >> 33
}

// finish gives the final answer. Invariant: "not run" is said only where no send
// of this call may have run.
func (c *Core) finish(current *call, answer *protocol.CallReply) {
	if current.sent != nil {
		delete(c.sends, current.sent.id)
	}
	delete(c.calls, current.id)
	if answer.Error == nil {
		c.stats.Answered++
	} else {
		c.stats.Failed++
		if answer.Error.Outcome == result.NotRun && current.unknown && !c.options.DisableUnknownOutcome {
			answer.Error = answer.Error.WithOutcome(result.Unknown)
		}
	}
	c.outlet.Finish(current.id, answer)
}

// HandleDisconnect takes a caller that went away.
func (c *Core) HandleDisconnect(id CallID) {
	current, ok := c.calls[id]
	if !ok {
		return
	}
	delete(c.calls, id)
	if current.sent != nil {
		delete(c.sends, current.sent.id)
		c.outlet.Notify(current.sent.address, protocol.KindCancel,
			&protocol.Cancel{Program: current.request.Program, Request: current.request.Request})
	}
}

// Tick advances the core's clock.
func (c *Core) Tick(nowMs int64) {
	c.nowMs = nowMs
	c.follow()
	for _, id := range sortedIDs(c.calls) {
		current := c.calls[id]
		switch {
		case current.nextMs != 0 && nowMs >= current.nextMs:
			c.send(current)
		case nowMs >= current.deadlineMs+deadlineGraceMs:
			c.finish(current, &protocol.CallReply{Error: c.overdue(current)})
		}
	}
}

// deadlineGraceMs lets the scheduler's own verdict on a deadline arrive.
const deadlineGraceMs = 500

func (c *Core) overdue(current *call) *result.Error {
	return result.New(result.DeadlinePassed, "no answer came before the deadline").WithOutcome(result.Unknown)
}

func sortedIDs[K ~uint64, V any](values map[K]V) []K {
	ids := make([]K, 0, len(values))
	for id := range values {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
