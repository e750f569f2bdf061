package program

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
)

const (
	// turnGraceMs is how much longer a turn is kept than its route asks for, so that
	// nobody who counts from the end of the answer finds it gone.
	turnGraceMs = 5_000
	// budgetIdleMs is how long the budget of a program is kept that does nothing.
	budgetIdleMs = 180_000
	// maxChainTurns bounds one line of turns.
	maxChainTurns = 10_000
	// maxSessions bounds the sessions of a program whose engines are remembered.
	maxSessions = 64
)

// Reserve opens a turn: it takes the most that the turn may generate from the
// program's budget and checks that the turn it goes on from exists.
type Reserve struct {
	Program string `msgpack:"p"`
	Request string `msgpack:"r"`
	// BudgetTokens bounds the tokens that all turns of the program generate; zero is no
	// bound. Most is what this turn may generate, tokens.
	BudgetTokens int64 `msgpack:"b,omitempty"`
	MaxTokens    int64 `msgpack:"m,omitempty"`
	// PreviousRequest names the turn that this one goes on from, by its request.
	PreviousRequest string `msgpack:"v,omitempty"`
	// Session is the line of turns that the turn belongs to.
	Session string `msgpack:"s,omitempty"`
}

// Settle closes a turn: it charges what was generated and keeps the turn where
// asked to.
type Settle struct {
	Program string `msgpack:"p"`
	Request string `msgpack:"r"`
	// UsedTokens is what was generated, tokens.
	UsedTokens int64 `msgpack:"u,omitempty"`
	// Session and Engine remember which engine ran the turn, whose cache may hold what
	// it has read.
	Session string `msgpack:"s,omitempty"`
	Engine  string `msgpack:"e,omitempty"`
	// Retain stores Content, the turn's input and output, for RetentionMs.
	Retain          bool   `msgpack:"k,omitempty"`
	PreviousRequest string `msgpack:"v,omitempty"`
	Content         []byte `msgpack:"c,omitempty"`
	RetentionMs     int64  `msgpack:"t,omitempty"`
}

// TurnCommand is one entry of a turn group's log; exactly one part is set.
type TurnCommand struct {
	// NowMs is the proposer's clock, milliseconds since 1970.
	NowMs   int64    `msgpack:"n"`
	Reserve *Reserve `msgpack:"r,omitempty"`
	Settle  *Settle  `msgpack:"s,omitempty"`
	Sweep   bool     `msgpack:"w,omitempty"`
	// Quota reserves a part of a tenant's limit.
	Quota *quota.Reservation `msgpack:"q,omitempty"`
}

// TurnEffects are the writes that a command asks of the owner's disk.
type TurnEffects struct {
	// WriteRequest is the request whose content is to be kept.
	WriteRequest string
	Content      []byte
	// DeleteRequests lists requests whose content may go.
	DeleteRequests []string
}

// reservation is what one open turn may generate, tokens.
type reservation struct {
	Request string `msgpack:"r"`
	Most    int64  `msgpack:"m"`
}

// budget is what one program has generated and may be generating.
type budget struct {
	Program string `msgpack:"p"`
	Spent   int64  `msgpack:"s"`
	// Reserved holds the open turns.
	Reserved []reservation `msgpack:"r"`
	LastMs   int64         `msgpack:"l"`
	// Engine ran the program's last settled turn, Engines the last one of each session.
	Engine  string            `msgpack:"e,omitempty"`
	Engines map[string]string `msgpack:"n,omitempty"`
}

// engineOf returns the engine that most likely holds what a session has read: that
// of its last turn, or for a new session that of the program's.
func (b *budget) engineOf(session string) string {
	if engine, known := b.Engines[session]; known {
		return engine
	}
	return b.Engine
}

// noteEngine remembers the engine of a session's turn.
func (b *budget) noteEngine(session, engine string) {
	if engine == "" {
		return
	}
	b.Engine = engine
	if b.Engines == nil {
		b.Engines = map[string]string{}
	}
	if _, known := b.Engines[session]; known || len(b.Engines) < maxSessions {
		b.Engines[session] = engine
	}
}

// first reports whether nothing of the program has run, and no more than one turn is open.
func (b *budget) first() bool { return b.Engine == "" && b.Spent == 0 && len(b.Reserved) <= 1 }

// reserved sums up the open turns.
func (b *budget) reserved() int64 {
	total := int64(0)
	for _, open := range b.Reserved {
		total += open.Most
	}
	return total
}

// place returns where an open turn stands, -1 where it is not open.
func (b *budget) place(request string) int {
	return slices.IndexFunc(b.Reserved, func(open reservation) bool { return open.Request == request })
}

// turn is one kept turn; its content is on the owner's disk.
type turn struct {
	Request   string `msgpack:"r"`
	Previous  string `msgpack:"v"`
	ExpiresMs int64  `msgpack:"e"`
}

// TurnLedger is the ledger of opaque turns: a tree of kept turns by request, and the
// budgets of generated tokens of their programs. It is the deterministic state of
// one ledger group.
type TurnLedger struct {
	budgets map[string]*budget
	turns   map[string]*turn

	// DisableBudget refuses no turn for its budget, for runs that show what the
	// check is for.
	DisableBudget bool
}

// NewTurnLedger returns an empty ledger.
func NewTurnLedger() *TurnLedger {
	return &TurnLedger{budgets: map[string]*budget{}, turns: map[string]*turn{}}
}

// Len returns how many turns are kept.
func (t *TurnLedger) Len() int { return len(t.turns) }

// BudgetCount returns how many budgets are kept.
func (t *TurnLedger) BudgetCount() int { return len(t.budgets) }

// HasTurn reports whether a turn is kept.
func (t *TurnLedger) HasTurn(request string) bool {
	_, ok := t.turns[request]
	return ok
}

// TokenUse returns what a program has generated and what its open turns may.
func (t *TurnLedger) TokenUse(program string) (spent, reserved int64) {
	known, ok := t.budgets[program]
	if !ok {
		return 0, 0
	}
	return known.Spent, known.reserved()
}

// Chain returns the requests of the line of turns that ends with the one given,
// oldest first.
func (t *TurnLedger) Chain(request string) []string {
	var chain []string
	for request != "" && len(chain) < maxChainTurns {
		known, ok := t.turns[request]
		if !ok {
			break
		}
		chain = append(chain, request)
		request = known.Previous
	}
	slices.Reverse(chain)
	return chain
}

// TurnReply is the reply to one command.
type TurnReply struct {
	Error *result.Error
	// Engine is the one that most likely holds what a reserved turn's session has read.
	Engine string
	// IsFirstTurn says that no turn of the program has run yet, nor is another one open.
	IsFirstTurn bool
}

// Apply carries out one command.
func (t *TurnLedger) Apply(command TurnCommand) (TurnReply, TurnEffects) {
	switch {
	case command.Reserve != nil:
		failure := t.reserve(command.NowMs, command.Reserve)
		outcome := TurnReply{Error: failure, Engine: t.AffineEngine(command.Reserve.Program, command.Reserve.Session)}
		if known, ok := t.budgets[command.Reserve.Program]; ok {
			outcome.IsFirstTurn = known.first()
		}
		return outcome, TurnEffects{}
	case command.Settle != nil:
		return TurnReply{}, t.settle(command.NowMs, command.Settle)
	case command.Sweep:
		return TurnReply{}, t.sweep(command.NowMs)
	}
	return TurnReply{Error: result.New(result.Internal, "empty command")}, TurnEffects{}
}

// AffineEngine returns the engine that most likely holds what a session has read, ""
// where none is known.
func (t *TurnLedger) AffineEngine(program, session string) string {
	known, ok := t.budgets[program]
	if !ok {
		return ""
	}
	return known.engineOf(session)
}

// reserve grants a turn. Invariant: what a program has generated and what its open
// turns may generate stays within its budget, whichever gateways run them; a turn
// whose end nobody reported counts at its most.
func (t *TurnLedger) reserve(nowMs int64, reserve *Reserve) *result.Error {
	if reserve.PreviousRequest != "" && !t.HasTurn(reserve.PreviousRequest) {
		return result.New(result.UnknownTurn, "no turn %s", reserve.PreviousRequest)
	}
	if reserve.BudgetTokens <= 0 {
		return nil
	}
	known, ok := t.budgets[reserve.Program]
	if !ok {
		known = &budget{Program: reserve.Program}
	}
	if known.place(reserve.Request) >= 0 {
		return nil
	}
	reserved := known.reserved()
	if known.Spent+reserved+reserve.MaxTokens > reserve.BudgetTokens && !t.DisableBudget {
		return result.New(result.BudgetExhausted, "budget %d, spent %d, reserved %d, asked %d",
			reserve.BudgetTokens, known.Spent, reserved, reserve.MaxTokens)
	}
	known.Reserved = append(known.Reserved, reservation{Request: reserve.Request, Most: reserve.MaxTokens})
	known.LastMs = max(known.LastMs, nowMs)
	t.budgets[reserve.Program] = known
	return nil
}

// settle closes a turn; one that is settled again changes nothing.
func (t *TurnLedger) settle(nowMs int64, settle *Settle) TurnEffects {
	if known, ok := t.budgets[settle.Program]; ok {
		if place := known.place(settle.Request); place >= 0 {
			known.Reserved = slices.Delete(known.Reserved, place, place+1)
			known.Spent += settle.UsedTokens
		}
		known.noteEngine(settle.Session, settle.Engine)
		known.LastMs = max(known.LastMs, nowMs)
	}
	if !settle.Retain || t.HasTurn(settle.Request) {
		return TurnEffects{}
	}
	expires := nowMs + settle.RetentionMs + turnGraceMs
	t.turns[settle.Request] = &turn{Request: settle.Request, Previous: settle.PreviousRequest, ExpiresMs: expires}
	// Invariant: a kept turn's whole chain is kept as long as the turn.
	for _, ancestor := range t.Chain(settle.Request) {
		known := t.turns[ancestor]
		known.ExpiresMs = max(known.ExpiresMs, expires)
	}
	return TurnEffects{WriteRequest: settle.Request, Content: settle.Content}
}

// IsSweepDue reports whether a sweep would forget something.
func (t *TurnLedger) IsSweepDue(nowMs int64) bool {
	for _, known := range t.turns {
		if known.ExpiresMs < nowMs {
			return true
		}
	}
	for _, known := range t.budgets {
		if known.LastMs+budgetIdleMs < nowMs {
			return true
		}
	}
	return false
}

func (t *TurnLedger) sweep(nowMs int64) TurnEffects {
	var effects TurnEffects
	for request, known := range t.turns {
		if known.ExpiresMs < nowMs {
			delete(t.turns, request)
			effects.DeleteRequests = append(effects.DeleteRequests, request)
		}
	}
	slices.Sort(effects.DeleteRequests)
	for id, known := range t.budgets {
		if known.LastMs+budgetIdleMs < nowMs {
			delete(t.budgets, id)
		}
	}
	return effects
}

// turnsSnapshot is the encoded form, in an order that is the same on every replica.
type turnsSnapshot struct {
	Budgets []*budget `msgpack:"b"`
	Turns   []*turn   `msgpack:"t"`
}

// Snapshot encodes the ledger without the turns' content.
func (t *TurnLedger) Snapshot() ([]byte, error) {
	var encoded turnsSnapshot
	for _, known := range t.budgets {
		encoded.Budgets = append(encoded.Budgets, known)
	}
	for _, known := range t.turns {
		encoded.Turns = append(encoded.Turns, known)
	}
	slices.SortFunc(encoded.Budgets, func(a, b *budget) int { return cmp.Compare(a.Program, b.Program) })
	slices.SortFunc(encoded.Turns, func(a, b *turn) int { return cmp.Compare(a.Request, b.Request) })
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetSortMapKeys(true)
	err := encoder.Encode(&encoded)
	return buffer.Bytes(), err
}

// Restore replaces the ledger by a snapshot; empty data gives an empty ledger.
func (t *TurnLedger) Restore(data []byte) error {
	var encoded turnsSnapshot
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &encoded); err != nil {
			return err
		}
	}
	t.budgets = map[string]*budget{}
	t.turns = map[string]*turn{}
	for _, known := range encoded.Budgets {
		t.budgets[known.Program] = known
	}
	for _, known := range encoded.Turns {
		t.turns[known.Request] = known
	}
	return nil
}
