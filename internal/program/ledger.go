package program

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ochrebay/ochrebay/internal/result"
)

// Thread is one conversation of a program. The main thread has an empty name.
type Thread struct {
	Name     string `msgpack:"n"`
	Parent   string `msgpack:"p"`
	ForkTurn uint64 `msgpack:"f"`
	Messages int    `msgpack:"m"`
	Digest   uint64 `msgpack:"d"`
}

// OpenTurn is the turn of the call in progress. Reserved is the number of tokens that it has
// reserved from the budget.
type OpenTurn struct {
	Turn           uint64 `msgpack:"t"`
	Fence          uint64 `msgpack:"f"`
	Request        string `msgpack:"r"`
	Digest         uint64 `msgpack:"d"`
	Thread         string `msgpack:"h"`
	AtMostOnce     bool   `msgpack:"o"`
	ReservedTokens int64  `msgpack:"v"`
	Scheduler      string `msgpack:"s"`
	OpenedMs       int64  `msgpack:"n"`
	// Incarnation identifies the process of the scheduler that holds the turn. DeadlineMs is
	// the time at which the caller stops waiting.
	Incarnation  uint64 `msgpack:"st,omitempty" json:"-"`
	DeadlineMs   int64  `msgpack:"un,omitempty" json:"until_ms,omitempty"`
	Nonce        uint64 `msgpack:"z"`
	SkipMessages int    `msgpack:"k"`
}

// closedRequest identifies the request of a closed turn in 16 bytes.
type closedRequest struct {
	Request uint64 `msgpack:"r"`
	Digest  uint32 `msgpack:"d"`
	Turn    uint32 `msgpack:"t"`
}

// Header is the state of one program.
type Header struct {
	ID             string          `msgpack:"i" json:"id"`
	Tenant         string          `msgpack:"t" json:"tenant"`
	Service        string          `msgpack:"s" json:"service"`
	Limits         Limits          `msgpack:"l" json:"limits"`
	SpentTokens    int64           `msgpack:"p" json:"spent_tokens"`
	LastTurn       uint64          `msgpack:"n" json:"turn"`
	Open           *OpenTurn       `msgpack:"o" json:"-"`
	Threads        []*Thread       `msgpack:"h" json:"-"`
	ClosedRequests []closedRequest `msgpack:"a" json:"-"`
	Scheduler      string          `msgpack:"w" json:"scheduler"`
	Engine         string          `msgpack:"e" json:"engine"`
	CreatedMs      int64           `msgpack:"c" json:"created_ms"`
	LastActiveMs   int64           `msgpack:"m" json:"last_ms"`
	// ClosedFence is the fence of the last turn that a commit or an abort closed, so that a
	// commit or abort that is proposed again receives its original reply.
	ClosedFence uint64 `msgpack:"g" json:"-"`
	// ClosedByAbort reports whether that turn was closed by an abort.
	ClosedByAbort bool   `msgpack:"ca,omitempty" json:"-"`
	Ended         bool   `msgpack:"d" json:"ended"`
	EndReason     string `msgpack:"r" json:"end_reason"`
}

// RemainingTokens returns the part of the budget that is neither spent nor reserved.
func (h *Header) RemainingTokens() int64 {
	remaining := h.Limits.BudgetTokens - h.SpentTokens
	if h.Open != nil {
		remaining -= h.Open.ReservedTokens
	}
	return remaining
}

// Ledger is the state of one ledger group.
type Ledger struct {
	programs map[string]*Header

	// DisableFencing accepts the result of any attempt. DisableBudget accepts calls beyond the
	// budget. Both are for runs that show the effect of the disabled mechanism.
	DisableFencing bool
	DisableBudget  bool
	// DisableAtMostOnce allows a call that is not repeatable to run again.
	DisableAtMostOnce bool
	// DisableTurnOrder opens a turn while another one is open.
	DisableTurnOrder bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{programs: map[string]*Header{}}
}

// Get returns a program's header, which the caller must not modify.
func (l *Ledger) Get(id string) (*Header, bool) {
	header, ok := l.programs[id]
	return header, ok
}

// Len returns the number of programs in the ledger.
func (l *Ledger) Len() int {
	return len(l.programs)
}

// IDs returns all program ids in ascending order.
func (l *Ledger) IDs() []string {
	ids := make([]string, 0, len(l.programs))
	for id := range l.programs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// EndedOrUnknown returns those of the given programs that have no claim to engine memory,
// because they have ended or are no longer in the ledger.
func (l *Ledger) EndedOrUnknown(ids []string) []string {
	var released []string
	for _, id := range ids {
		header, ok := l.programs[id]
		if !ok || header.Ended {
			released = append(released, id)
		}
	}
	return released
}

// Apply applies one command. index is the command's position in the log and becomes the fence
// of the turn that it grants.
func (l *Ledger) Apply(index uint64, command Command) (Reply, Effects) {
	switch {
	case command.Begin != nil:
		return l.begin(index, command.NowMs, command.Begin)
	case command.Commit != nil:
		return l.commit(command.NowMs, command.Commit)
	case command.Abort != nil:
		return l.abort(command.NowMs, command.Abort)
	case command.End != nil:
		return l.end(command.NowMs, command.End)
	case command.Sweep != nil:
		return l.sweep(command.NowMs, command.Sweep)
	}
	return Reply{Error: result.New(result.Internal, "empty command")}, Effects{}
}

func refuse(code result.Code, format string, arguments ...any) (Reply, Effects) {
	return Reply{Error: result.New(code, format, arguments...)}, Effects{}
}

func (l *Ledger) begin(index uint64, nowMs int64, begin *Begin) (Reply, Effects) {
	header, exists := l.programs[begin.Program]
	if !exists {
		if !begin.Create {
			return refuse(result.NotFound, "program %s does not exist", begin.Program)
		}
		header = &Header{
			ID: begin.Program, Tenant: begin.Tenant, Service: begin.Service, Limits: begin.Limits,
			Threads: []*Thread{{}}, CreatedMs: nowMs, LastActiveMs: nowMs,
		}
	}
	if header.Tenant != begin.Tenant || header.Service != begin.Service {
		return refuse(result.ForeignProgram, "program %s does not belong to tenant %q and service %q", begin.Program, begin.Tenant, begin.Service)
	}
	if reply, done := header.replyIfRecorded(begin); done {
		return reply, Effects{}
	}
	if header.Ended {
		return refuse(result.ProgramClosed, "program %s has ended: %s", begin.Program, header.EndReason)
	}
	if header.Open != nil && begin.Nonce != 0 && header.Open.Nonce == begin.Nonce {
		return header.grantReply(begin.Thread), Effects{}
	}
	lostTurn := header.Open
	if lostTurn != nil {
		reply, effects, done := l.resolveOpenTurn(header, nowMs, begin)
		if done {
			return reply, effects
		}
	}
	reply, effects := l.grant(index, nowMs, header, begin)
	if reply.Error == nil {
		l.programs[begin.Program] = header
		return reply, effects
	}
	if lostTurn != nil && lostTurn.Request == begin.Request {
		return header.refuseRetry(nowMs, lostTurn, reply)
	}
	return reply, effects
}

// refuseRetry closes the turn of a request whose earlier attempt was lost and which may not be
// retried. The tokens of the lost attempt have already been charged. Invariant: a request that an
// engine may have started is never reported as not run, not even when it is sent again later.
func (h *Header) refuseRetry(nowMs int64, lostTurn *OpenTurn, reply Reply) (Reply, Effects) {
	lostTurn.ReservedTokens = 0
	h.Open = lostTurn
	effects := h.closeWithUnknownOutcome(nowMs)
	reply.Error = reply.Error.WithOutcome(result.Unknown)
	return reply, effects
}

func requestHash(request string) uint64 {
	return xxhash.Sum64String(request)
}

// replyIfRecorded returns the recorded result of a request whose turn is closed.
func (h *Header) replyIfRecorded(begin *Begin) (Reply, bool) {
	hash := requestHash(begin.Request)
	for _, previous := range h.ClosedRequests {
		if previous.Request != hash {
			continue
		}
		if previous.Digest != uint32(begin.Digest) {
			reply, _ := refuse(result.RequestConflict, "request %s was already used with different content", begin.Request)
			return reply, true
		}
		return Reply{ClosedTurn: uint64(previous.Turn), Ended: h.Ended, RemainingTokens: h.RemainingTokens()}, true
	}
	return Reply{}, false
}

// resolveOpenTurn handles a new Begin while a turn is open. It returns true if the Begin is
// refused.
func (l *Ledger) resolveOpenTurn(header *Header, nowMs int64, begin *Begin) (Reply, Effects, bool) {
	open := header.Open
	sameRequest := open.Request == begin.Request
	if sameRequest && open.Digest != begin.Digest {
		reply, effects := refuse(result.RequestConflict, "request %s is in progress with different content", begin.Request)
		return reply, effects, true
	}
	ownRetry := begin.RetryOf != 0 && begin.RetryOf == open.Fence
	if !ownRetry && !begin.TakeOver && !l.DisableTurnOrder {
		reply, effects := refuse(result.TurnOpen, "turn %d of program %s is still open", open.Turn, header.ID)
		reply.Holder = open.Scheduler
		reply.HolderIncarnation = open.Incarnation
		reply.OpenRequest = open.Request
		return reply, effects, true
	}
	if open.AtMostOnce && !l.DisableAtMostOnce {
		// Invariant: a call that is not repeatable is sent at most once. Its intent was
		// durable before it was sent, so a lost attempt may have run.
		effects := header.closeWithUnknownOutcome(nowMs)
		if sameRequest {
			reply, _ := refuse(result.OutcomeUnknown, "request %s may have run, its outcome is unknown", begin.Request)
			return reply, effects, true
		}
		// The record of the turn with the unknown outcome must be written before the next turn
		// starts, so the caller has to send this Begin again.
		reply, _ := refuse(result.TurnOpen, "turn %d was closed with an unknown outcome", header.LastTurn)
		return reply, effects, true
	}
	lostTokens := open.ReservedTokens
	if ownRetry {
		lostTokens = min(begin.LostTokens, open.ReservedTokens)
	}
	// Invariant: the tokens of lost attempts are charged. An unknown number is charged at its
	// upper bound, the reservation.
	header.SpentTokens += lostTokens
	header.Open = nil
	return Reply{}, Effects{}, false
}

// closeWithUnknownOutcome closes the open turn with a record of its unknown outcome.
func (h *Header) closeWithUnknownOutcome(nowMs int64) Effects {
	open := h.Open
	h.SpentTokens += open.ReservedTokens
	h.Open = nil
	h.LastTurn = open.Turn
	h.recordClosedRequest(open)
	h.LastActiveMs = nowMs
	return Effects{Program: h.ID, Write: &TurnRecord{
		Turn: open.Turn, Thread: open.Thread, Request: open.Request,
		Code: result.OutcomeUnknown, ClosedMs: nowMs,
	}}
}

func (h *Header) recordClosedRequest(open *OpenTurn) {
	h.ClosedRequests = append(h.ClosedRequests, closedRequest{
		Request: requestHash(open.Request), Digest: uint32(open.Digest), Turn: uint32(open.Turn),
	})
}

func (l *Ledger) grant(index uint64, nowMs int64, header *Header, begin *Begin) (Reply, Effects) {
	if code := header.exceededLimit(nowMs); code != result.OK {
		return refuse(code, "program %s reached its limit after %d turns", header.ID, header.LastTurn)
	}
	reserved := begin.NewTokens + begin.MaxTokens
	if reserved > header.RemainingTokens() && !l.DisableBudget {
		reply, effects := refuse(result.BudgetExhausted, "call needs up to %d tokens, the budget has %d left", reserved, header.RemainingTokens())
		reply.RemainingTokens = header.RemainingTokens()
		return reply, effects
	}
	thread, code := header.threadFor(begin)
	if code != result.OK {
		return refuse(code, "parent thread %q does not exist in program %s", begin.Parent, header.ID)
	}
	skipMessages, code := thread.matchHistory(begin.PrefixDigests)
	if code != result.OK {
		return refuse(code, "history in the request does not match the %d recorded messages of thread %q", thread.Messages, begin.Thread)
	}
	header.addThread(thread)
	header.Scheduler = begin.Scheduler
	header.LastActiveMs = nowMs
	header.Open = &OpenTurn{
		Turn: header.LastTurn + 1, Fence: index, Request: begin.Request, Digest: begin.Digest, Thread: begin.Thread,
		AtMostOnce: begin.AtMostOnce, ReservedTokens: reserved, Scheduler: begin.Scheduler, OpenedMs: nowMs,
		Nonce: begin.Nonce, SkipMessages: skipMessages, Incarnation: begin.Incarnation, DeadlineMs: nowMs + begin.TimeoutMs,
	}
	return header.grantReply(begin.Thread), Effects{}
}

// grantReply returns the reply that grants the open turn to its scheduler.
func (h *Header) grantReply(thread string) Reply {
	return Reply{
		Turn: h.Open.Turn, Fence: h.Open.Fence, SkipMessages: h.Open.SkipMessages,
		Lineage: h.lineage(thread), RemainingTokens: h.RemainingTokens(),
	}
}

func (h *Header) exceededLimit(nowMs int64) result.Code {
	if h.Limits.MaxTurns > 0 && int64(h.LastTurn) >= h.Limits.MaxTurns {
		return result.TurnLimit
	}
	if h.Limits.WallTimeMs > 0 && nowMs-h.CreatedMs > h.Limits.WallTimeMs {
		return result.WallTimeLimit
	}
	return result.OK
}

func (h *Header) findThread(name string) *Thread {
	for _, thread := range h.Threads {
		if thread.Name == name {
			return thread
		}
	}
	return nil
}

func (h *Header) addThread(thread *Thread) {
	if h.findThread(thread.Name) == nil {
		h.Threads = append(h.Threads, thread)
	}
}

// threadFor returns the call's thread, or a new one forked from its parent.
func (h *Header) threadFor(begin *Begin) (*Thread, result.Code) {
	if thread := h.findThread(begin.Thread); thread != nil {
		return thread, result.OK
	}
	parent := h.findThread(begin.Parent)
	if parent == nil {
		return nil, result.UnknownThread
	}
	return &Thread{Name: begin.Thread, Parent: begin.Parent, ForkTurn: h.LastTurn, Messages: parent.Messages, Digest: parent.Digest}, result.OK
}

func (t *Thread) matchHistory(prefixDigests []uint64) (int, result.Code) {
	if prefixDigests == nil {
		return 0, result.OK
	}
	if t.Messages >= len(prefixDigests) || prefixDigests[t.Messages] != t.Digest {
		return 0, result.HistoryMismatch
	}
	return t.Messages, result.OK
}

// lineage returns the thread prefixes whose records form a thread's history, oldest first.
func (h *Header) lineage(name string) []ThreadPrefix {
	lastTurn := h.LastTurn
	var prefixes []ThreadPrefix
	for {
		prefixes = append(prefixes, ThreadPrefix{Thread: name, Last: lastTurn})
		thread := h.findThread(name)
		if name == "" || thread == nil {
			slices.Reverse(prefixes)
			return prefixes
		}
		lastTurn = min(lastTurn, thread.ForkTurn)
		name = thread.Parent
	}
}

// Lineage returns the thread prefixes of a thread's history, or false if the thread does not
// exist.
func (h *Header) Lineage(thread string) ([]ThreadPrefix, bool) {
	if h.findThread(thread) == nil {
		return nil, false
	}
	return h.lineage(thread), true
}
