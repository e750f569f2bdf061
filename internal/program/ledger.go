package program

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ochrebay/ochrebay/internal/result"
)

// Thread is one conversation of a program; the main one is named "".
type Thread struct {
	Name     string `msgpack:"n"`
	Parent   string `msgpack:"p"`
	ForkTurn uint64 `msgpack:"f"`
	Messages int    `msgpack:"m"`
	Digest   uint64 `msgpack:"d"`
}

// OpenTurn is the call that is under way.
type OpenTurn struct {
	Turn       uint64 `msgpack:"t"`
	Fence      uint64 `msgpack:"f"`
	Request    string `msgpack:"r"`
	Digest     uint64 `msgpack:"d"`
	Thread     string `msgpack:"h"`
	AtMostOnce bool   `msgpack:"o"`
	Reserved   int64  `msgpack:"v"`
	Scheduler  string `msgpack:"s"`
	OpenedMs   int64  `msgpack:"n"`
	// Incarnation identifies the holder's process, and UntilMs is when its caller stops
	// waiting.
	Incarnation  uint64 `msgpack:"st,omitempty" json:"-"`
	DeadlineMs   int64  `msgpack:"un,omitempty" json:"until_ms,omitempty"`
	Nonce        uint64 `msgpack:"z"`
	SkipMessages int    `msgpack:"k"`
}

// answered remembers one finished request in 16 bytes.
type answered struct {
	Request uint64 `msgpack:"r"`
	Digest  uint32 `msgpack:"d"`
	Turn    uint32 `msgpack:"t"`
}

// Header is the state of one program.
type Header struct {
	ID             string     `msgpack:"i" json:"id"`
	Tenant         string     `msgpack:"t" json:"tenant"`
	Service        string     `msgpack:"s" json:"service"`
	Limits         Limits     `msgpack:"l" json:"limits"`
	SpentTokens    int64      `msgpack:"p" json:"spent_tokens"`
	LastTurn       uint64     `msgpack:"n" json:"turn"`
	Open           *OpenTurn  `msgpack:"o" json:"-"`
	Threads        []*Thread  `msgpack:"h" json:"-"`
	ClosedRequests []answered `msgpack:"a" json:"-"`
	Scheduler      string     `msgpack:"w" json:"scheduler"`
	Engine         string     `msgpack:"e" json:"engine"`
	CreatedMs      int64      `msgpack:"c" json:"created_ms"`
	LastActiveMs   int64      `msgpack:"m" json:"last_ms"`
	// ClosedFence is the fence of the turn closed last, so that a commit which
	// is proposed again gets its first answer.
	ClosedFence uint64 `msgpack:"g" json:"-"`
	// ClosedByAbort tells how it was closed.
	ClosedByAbort bool   `msgpack:"ca,omitempty" json:"-"`
	Ended         bool   `msgpack:"d" json:"ended"`
	EndReason     string `msgpack:"r" json:"end_reason"`
}

// RemainingTokens returns the budget that is neither spent nor reserved.
func (h *Header) RemainingTokens() int64 {
	left := h.Limits.BudgetTokens - h.SpentTokens
	if h.Open != nil {
		left -= h.Open.Reserved
	}
	return left
}

// Ledger is the state of one ledger group.
type Ledger struct {
	programs map[string]*Header

	// DisableFence accepts the result of any attempt, and DisableBudget refuses
	// no call for its budget; for runs that show what each is for.
	DisableFence  bool
	DisableBudget bool
	// DisableAtMostOnce lets a call that is not repeatable run again.
	DisableAtMostOnce bool
	// DisableTurnOrder opens a turn although another is open.
	DisableTurnOrder bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{programs: map[string]*Header{}}
}

// Get returns a program's header for reading.
func (l *Ledger) Get(id string) (*Header, bool) {
	header, ok := l.programs[id]
	return header, ok
}

// Len returns how many programs the ledger knows.
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

// EndedOrUnknown returns which of the programs given hold no engine memory by right:
// they have ended, or the ledger has forgotten them.
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

// Apply carries out one command. index is its position in the log and becomes
// the fence of a turn that it grants.
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
	header, known := l.programs[begin.Program]
	if !known {
		if !begin.Create {
			return refuse(result.NotFound, "no program %s", begin.Program)
		}
		header = &Header{
			ID: begin.Program, Tenant: begin.Tenant, Service: begin.Service, Limits: begin.Limits,
			Threads: []*Thread{{}}, CreatedMs: nowMs, LastActiveMs: nowMs,
		}
	}
	if header.Tenant != begin.Tenant || header.Service != begin.Service {
		return refuse(result.ForeignProgram, "program %s is not of tenant %q and service %q", begin.Program, begin.Tenant, begin.Service)
	}
	if reply, done := header.answeredBefore(begin); done {
		return reply, Effects{}
	}
	if header.Ended {
		return refuse(result.ProgramClosed, "program %s ended: %s", begin.Program, header.EndReason)
	}
	if header.Open != nil && begin.Nonce != 0 && header.Open.Nonce == begin.Nonce {
		return header.granted(begin.Thread), Effects{}
	}
	lost := header.Open
	if lost != nil {
		reply, effects, done := l.resolveOpen(header, nowMs, begin)
		if done {
			return reply, effects
		}
	}
	reply, effects := l.grant(index, nowMs, header, begin)
	if reply.Error == nil {
		l.programs[begin.Program] = header
		return reply, effects
	}
	if lost != nil && lost.Request == begin.Request {
		return header.refuseRetry(nowMs, lost, reply)
	}
	return reply, effects
}

// refuseRetry closes the turn of a request whose earlier attempt was lost and
// which may not be tried again. Invariant: "not run" is never said of a request
// that an engine may have started, not at a later resend either.
func (h *Header) refuseRetry(nowMs int64, lost *OpenTurn, reply Reply) (Reply, Effects) {
	lost.Reserved = 0
	h.Open = lost
	effects := h.closeUnknown(nowMs)
	reply.Error = reply.Error.WithOutcome(result.Unknown)
	return reply, effects
}

func requestHash(request string) uint64 {
	return xxhash.Sum64String(request)
}

// answeredBefore gives the recorded answer to a request that was answered.
func (h *Header) answeredBefore(begin *Begin) (Reply, bool) {
	hash := requestHash(begin.Request)
	for _, previous := range h.ClosedRequests {
		if previous.Request != hash {
			continue
		}
		if previous.Digest != uint32(begin.Digest) {
			reply, _ := refuse(result.RequestConflict, "request %s was used with other content", begin.Request)
			return reply, true
		}
		return Reply{ClosedTurn: uint64(previous.Turn), Ended: h.Ended, RemainingTokens: h.RemainingTokens()}, true
	}
	return Reply{}, false
}

// resolveOpen decides what a new Begin means for the turn that is open. It
// returns done where the Begin gets no turn.
func (l *Ledger) resolveOpen(header *Header, nowMs int64, begin *Begin) (Reply, Effects, bool) {
	open := header.Open
	same := open.Request == begin.Request
	if same && open.Digest != begin.Digest {
		reply, effects := refuse(result.RequestConflict, "request %s is under way with other content", begin.Request)
		return reply, effects, true
	}
	ownRetry := begin.RetryOf != 0 && begin.RetryOf == open.Fence
	if !ownRetry && !begin.TakeOver && !l.DisableTurnOrder {
		reply, effects := refuse(result.TurnOpen, "turn %d of program %s is open", open.Turn, header.ID)
		reply.Holder = open.Scheduler
		reply.HolderIncarnation = open.Incarnation
		reply.OpenRequest = open.Request
		return reply, effects, true
	}
	if open.AtMostOnce && !l.DisableAtMostOnce {
		// Invariant: a call that is not repeatable is sent at most once; its
		// intent was durable before the send, so a lost attempt may have run.
		effects := header.closeUnknown(nowMs)
		if same {
			reply, _ := refuse(result.OutcomeUnknown, "request %s may have run", begin.Request)
			return reply, effects, true
		}
		// The record of the unknown turn must be written before the next turn,
		// so the caller of this Begin comes back.
		reply, _ := refuse(result.TurnOpen, "turn %d was closed with its outcome unknown", header.LastTurn)
		return reply, effects, true
	}
	lost := open.Reserved
	if ownRetry {
		lost = min(begin.LostTokens, open.Reserved)
	}
	// Invariant: tokens of lost attempts are charged; what is not known is
	// charged at its upper bound, the reservation.
	header.SpentTokens += lost
	header.Open = nil
	return Reply{}, Effects{}, false
}

// closeUnknown closes the open turn with a record that says so.
func (h *Header) closeUnknown(nowMs int64) Effects {
	open := h.Open
	h.SpentTokens += open.Reserved
	h.Open = nil
	h.LastTurn = open.Turn
	h.remember(open)
	h.LastActiveMs = nowMs
	return Effects{Program: h.ID, Write: &TurnRecord{
		Turn: open.Turn, Thread: open.Thread, Request: open.Request,
		Code: result.OutcomeUnknown, ClosedMs: nowMs,
	}}
}

func (h *Header) remember(open *OpenTurn) {
	h.ClosedRequests = append(h.ClosedRequests, answered{
		Request: requestHash(open.Request), Digest: uint32(open.Digest), Turn: uint32(open.Turn),
	})
}

func (l *Ledger) grant(index uint64, nowMs int64, header *Header, begin *Begin) (Reply, Effects) {
	if code := header.overLimit(nowMs); code != result.OK {
		return refuse(code, "program %s is over its limit after %d turns", header.ID, header.LastTurn)
	}
	reserved := begin.NewTokens + begin.MaxTokens
	if reserved > header.RemainingTokens() && !l.DisableBudget {
		reply, effects := refuse(result.BudgetExhausted, "call needs up to %d tokens, %d are left", reserved, header.RemainingTokens())
		reply.RemainingTokens = header.RemainingTokens()
		return reply, effects
	}
	thread, code := header.thread(begin)
	if code != result.OK {
		return refuse(code, "no parent thread %q in program %s", begin.Parent, header.ID)
	}
	skip, code := thread.skip(begin.PrefixDigests)
	if code != result.OK {
		return refuse(code, "the history sent differs from the %d messages of thread %q", thread.Messages, begin.Thread)
	}
	header.addThread(thread)
	header.Scheduler = begin.Scheduler
	header.LastActiveMs = nowMs
	header.Open = &OpenTurn{
		Turn: header.LastTurn + 1, Fence: index, Request: begin.Request, Digest: begin.Digest, Thread: begin.Thread,
		AtMostOnce: begin.AtMostOnce, Reserved: reserved, Scheduler: begin.Scheduler, OpenedMs: nowMs,
		Nonce: begin.Nonce, SkipMessages: skip, Incarnation: begin.Incarnation, DeadlineMs: nowMs + begin.TimeoutMs,
	}
	return header.granted(begin.Thread), Effects{}
}

// granted describes the open turn to the scheduler that holds it.
func (h *Header) granted(thread string) Reply {
	return Reply{
		Turn: h.Open.Turn, Fence: h.Open.Fence, SkipMessages: h.Open.SkipMessages,
		Lineage: h.lineage(thread), RemainingTokens: h.RemainingTokens(),
	}
}

func (h *Header) overLimit(nowMs int64) result.Code {
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

// thread returns the call's thread, a new one forked from its parent at need.
func (h *Header) thread(begin *Begin) (*Thread, result.Code) {
	if thread := h.findThread(begin.Thread); thread != nil {
		return thread, result.OK
	}
	parent := h.findThread(begin.Parent)
	if parent == nil {
		return nil, result.UnknownThread
	}
	return &Thread{Name: begin.Thread, Parent: begin.Parent, ForkTurn: h.LastTurn, Messages: parent.Messages, Digest: parent.Digest}, result.OK
}

func (t *Thread) skip(prefixDigests []uint64) (int, result.Code) {
	if prefixDigests == nil {
		return 0, result.OK
	}
	if t.Messages >= len(prefixDigests) || prefixDigests[t.Messages] != t.Digest {
		return 0, result.HistoryMismatch
	}
	return t.Messages, result.OK
}

// lineage lists the spans whose records make a thread's history, oldest first.
func (h *Header) lineage(name string) []ThreadPrefix {
	last := h.LastTurn
	var spans []ThreadPrefix
	for {
		spans = append(spans, ThreadPrefix{Thread: name, Last: last})
		thread := h.findThread(name)
		if name == "" || thread == nil {
			slices.Reverse(spans)
			return spans
		}
		last = min(last, thread.ForkTurn)
		name = thread.Parent
	}
}

// Lineage returns the spans of a thread's history; false for no such thread.
func (h *Header) Lineage(thread string) ([]ThreadPrefix, bool) {
	if h.findThread(thread) == nil {
		return nil, false
	}
	return h.lineage(thread), true
}
