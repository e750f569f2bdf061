package program

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ochrebay/ochrebay/internal/result"
)

const (
	// retentionMarginMs is added to the retention time of the route, so that a caller that
	// counts from the end of the answer still finds the turn.
	retentionMarginMs = 5_000
	// budgetRetentionMs is the time for which the budget of an inactive program is retained.
	budgetRetentionMs = 180_000
	// maxSessions bounds the sessions of a program whose engines are retained.
	maxSessions = 64
)

// reservation is the maximum number of tokens that one open turn may generate.
type reservation struct {
	Request   string `msgpack:"r"`
	MaxTokens int64  `msgpack:"m"`
}

// budget is the number of tokens that one program has generated and may still generate in its
// open turns.
type budget struct {
	Program     string `msgpack:"p"`
	SpentTokens int64  `msgpack:"s"`
	// Reserved holds the open turns.
	Reserved     []reservation `msgpack:"r"`
	LastActiveMs int64         `msgpack:"l"`
	// Engine ran the program's last settled turn. Engines holds the engine of each session's
	// last settled turn.
	Engine  string            `msgpack:"e,omitempty"`
	Engines map[string]string `msgpack:"n,omitempty"`
}

// affineEngine returns the engine whose cache most likely holds a session's prompt: the engine
// of its last turn or, for a new session, that of the program's last turn.
func (b *budget) affineEngine(session string) string {
	if engine, known := b.Engines[session]; known {
		return engine
	}
	return b.Engine
}

// recordEngine records the engine of a session's turn.
func (b *budget) recordEngine(session, engine string) {
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

// isFirstTurn reports whether no turn of the program has run and at most one is open.
func (b *budget) isFirstTurn() bool {
	return b.Engine == "" && b.SpentTokens == 0 && len(b.Reserved) <= 1
}

// reservedTokens returns the number of tokens reserved by the open turns.
func (b *budget) reservedTokens() int64 {
	total := int64(0)
	for _, open := range b.Reserved {
		total += open.MaxTokens
	}
	return total
}

// indexOf returns the index of an open turn, or -1 if the turn is not open.
func (b *budget) indexOf(request string) int {
	return slices.IndexFunc(b.Reserved, func(open reservation) bool { return open.Request == request })
}

// retainedTurn is one retained turn. Its content is on the disk of the replica's host.
type retainedTurn struct {
	Request   string `msgpack:"r"`
	Previous  string `msgpack:"v"`
	ExpiresMs int64  `msgpack:"e"`
}

// TurnLedger is the ledger of opaque turns: a tree of retained turns, keyed by request, and
// the budgets of generated tokens of their programs. It is the deterministic state of one
// ledger group.
type TurnLedger struct {
	budgets map[string]*budget
	turns   map[string]*retainedTurn
	streams streamLedger
	crashes CrashTable
	holds   holdTable
	// supportsHolds is true once an entry that only releases with holds apply has been applied. All
	// replicas of the group had such a release then.
	supportsHolds bool

	// DisableBudget accepts turns beyond the budgets of their programs, for runs that show the
	// effect of the check.
	DisableBudget bool
}

// NewTurnLedger returns an empty ledger.
func NewTurnLedger() *TurnLedger {
	return &TurnLedger{budgets: map[string]*budget{}, turns: map[string]*retainedTurn{}, streams: newStreamLedger(nil), crashes: newCrashTable(nil), holds: newHoldTable(nil)}
}

// TurnCount returns the number of retained turns.
func (t *TurnLedger) TurnCount() int { return len(t.turns) }

// StreamCount returns the number of streams whose origin is on record.
func (t *TurnLedger) StreamCount() int { return t.streams.count }

// HoldCount returns the number of holds of open turns.
func (t *TurnLedger) HoldCount() int { return len(t.holds) }

// SupportsHolds reports whether all replicas of the group have had a release that applies holds.
func (t *TurnLedger) SupportsHolds() bool { return t.supportsHolds }

// CrashRecordCount returns the number of requests under which engines ended.
func (t *TurnLedger) CrashRecordCount() int { return t.crashes.Len() }

// Crashes returns the crash record of a request, the zero value if there is none.
func (t *TurnLedger) Crashes(nowMs int64, key RequestKey) CrashHistory {
	return t.crashes.Find(nowMs, key)
}

// BudgetCount returns the number of budgets.
func (t *TurnLedger) BudgetCount() int { return len(t.budgets) }

// Requests returns the requests of all retained turns.
func (t *TurnLedger) Requests() []string { return slices.Collect(maps.Keys(t.turns)) }

// HasTurn reports whether a turn is retained.
func (t *TurnLedger) HasTurn(request string) bool {
	_, ok := t.turns[request]
	return ok
}

// TokenUse returns the tokens that a program has generated and those that its open turns have
// reserved.
func (t *TurnLedger) TokenUse(program string) (spent, reserved int64) {
	account, ok := t.budgets[program]
	if !ok {
		return 0, 0
	}
	return account.SpentTokens, account.reservedTokens()
}

// Chain returns the requests of the chain of turns that ends with the given request, oldest first,
// and false if the chain is not whole: one of its turns is not retained.
func (t *TurnLedger) Chain(request string) (chain []string, isWhole bool) {
	for request != "" {
		current, ok := t.turns[request]
		if !ok || len(chain) == len(t.turns) {
			return nil, false
		}
		chain = append(chain, request)
		request = current.Previous
	}
	slices.Reverse(chain)
	return chain, true
}

// TurnReply is the reply to one command.
type TurnReply struct {
	Error *result.Error
	// Engine is the engine whose cache most likely holds the prompt of the session.
	Engine string
	// IsFirstTurn reports that no turn of the program has run yet and no other turn is open. It
	// is false for a program without a budget, because the ledger has no record of its turns.
	IsFirstTurn bool
	// Stream is the origin of the stream that the command opened, nil if it opened none.
	Stream *StreamOrigin
	// Crashes is the crash record of the request that the command names.
	Crashes CrashHistory
}

// Apply applies one command.
func (t *TurnLedger) Apply(command TurnCommand) (TurnReply, TurnEffects) {
	switch {
	case command.Reserve != nil:
		stream, failure := t.reserve(command.NowMs, command.Reserve)
		reply := TurnReply{Error: failure, Stream: stream, Engine: t.AffineEngine(command.Reserve.Program, command.Reserve.Session)}
		if account, ok := t.budgets[command.Reserve.Program]; ok {
			reply.IsFirstTurn = account.isFirstTurn()
		}
		if command.Reserve.Claim != nil && failure == nil {
			t.crashes.Record(command.NowMs, *command.Reserve.Claim)
		}
		if command.Reserve.Fingerprint != "" {
			reply.Crashes = t.crashes.Find(command.NowMs, command.Reserve.Key())
		}
		return reply, TurnEffects{}
	case command.Settle != nil:
		if command.Settle.ClosedClaim != nil {
			t.crashes.Record(command.NowMs, *command.Settle.ClosedClaim)
		}
		effects, failure := t.settle(command.NowMs, command.Settle)
		return TurnReply{Error: failure}, effects
	case command.Sweep:
		return TurnReply{}, t.sweep(command.NowMs)
	case command.Stream != nil:
		origin, failure := t.streams.open(command.NowMs, *command.Stream)
		if failure != nil {
			return TurnReply{Error: failure}, TurnEffects{}
		}
		return TurnReply{Stream: &origin}, TurnEffects{}
	case command.Crash != nil:
		return TurnReply{Crashes: t.crashes.Record(command.NowMs, *command.Crash)}, TurnEffects{}
	}
	return TurnReply{Error: result.New(result.Internal, "empty command")}, TurnEffects{}
}

// AffineEngine returns the engine whose cache most likely holds a session's prompt, or an
// empty string if none is known.
func (t *TurnLedger) AffineEngine(program, session string) string {
	account, ok := t.budgets[program]
	if !ok {
		return ""
	}
	return account.affineEngine(session)
}

// reserve grants a turn and opens its stream. It returns the origin of the stream, nil if the turn
// opens none. A stream that begins is recorded only if the turn is granted, and the turn of a
// stream that is taken up is granted only if its origin is known.
func (t *TurnLedger) reserve(nowMs int64, reserve *Reserve) (*StreamOrigin, *result.Error) {
	if reserve.Stream == nil {
		return nil, t.grant(nowMs, reserve)
	}
	open := OpenStream{Program: reserve.Program, Request: reserve.Request, Session: reserve.Session, Opening: *reserve.Stream}
	if open.Opening.Origin == nil {
		origin, failure := t.streams.find(nowMs, open)
		if failure != nil {
			return nil, failure
		}
		return &origin, t.grant(nowMs, reserve)
	}
	if failure := t.grant(nowMs, reserve); failure != nil {
		return nil, failure
	}
	origin := t.streams.record(nowMs, open)
	return &origin, nil
}

// grant grants a turn. Invariant: whatever a granted turn continues is retained until the turn is settled
// or its hold expires.
func (t *TurnLedger) grant(nowMs int64, reserve *Reserve) *result.Error {
	if failure := t.checkPrevious(reserve); failure != nil {
		return failure
	}
	if failure := t.reserveBudget(nowMs, reserve); failure != nil {
		return failure
	}
	if reserve.Hold != nil {
		t.supportsHolds = true
		t.holds.acquire(nowMs, reserve.Hold, reserve.PreviousRequest)
	}
	return nil
}

// checkPrevious returns an error if the turn continues one that is not retained. Without a hold only the
// previous turn itself is checked, as earlier releases do.
func (t *TurnLedger) checkPrevious(reserve *Reserve) *result.Error {
	if reserve.PreviousRequest == "" {
		return nil
	}
	if !t.HasTurn(reserve.PreviousRequest) {
		return result.New(result.UnknownTurn, "turn %s does not exist", reserve.PreviousRequest)
	}
	if reserve.Hold == nil {
		return nil
	}
	if _, isWhole := t.Chain(reserve.PreviousRequest); !isWhole {
		return result.New(result.UnknownTurn, "an earlier turn of the chain of %s does not exist", reserve.PreviousRequest)
	}
	return nil
}

// reserveBudget reserves the maximum number of tokens that a turn may generate. Invariant: as long as the
// budget is retained, the tokens that a program has generated and those that its open turns may still
// generate stay within it, regardless of the gateways that run the turns. A turn whose end was not
// reported counts with its maximum.
func (t *TurnLedger) reserveBudget(nowMs int64, reserve *Reserve) *result.Error {
	if reserve.BudgetTokens <= 0 {
		return nil
	}
	account, ok := t.budgets[reserve.Program]
	if !ok {
		account = &budget{Program: reserve.Program}
	}
	if account.indexOf(reserve.Request) >= 0 {
		return nil
	}
	reserved := account.reservedTokens()
	if account.SpentTokens+reserved+reserve.MaxTokens > reserve.BudgetTokens && !t.DisableBudget {
		return result.New(result.BudgetExhausted, "token budget is %d, spent %d, reserved %d, requested %d",
			reserve.BudgetTokens, account.SpentTokens, reserved, reserve.MaxTokens)
	}
	account.Reserved = append(account.Reserved, reservation{Request: reserve.Request, MaxTokens: reserve.MaxTokens})
	account.LastActiveMs = max(account.LastActiveMs, nowMs)
	t.budgets[reserve.Program] = account
	return nil
}

// settle closes a turn. Settling a turn again neither charges nor stores anything, but records
// the engine and counts as activity.
func (t *TurnLedger) settle(nowMs int64, settle *Settle) (TurnEffects, *result.Error) {
	if account, ok := t.budgets[settle.Program]; ok {
		if index := account.indexOf(settle.Request); index >= 0 {
			account.Reserved = slices.Delete(account.Reserved, index, index+1)
			account.SpentTokens += settle.UsedTokens
		}
		account.recordEngine(settle.Session, settle.Engine)
		account.LastActiveMs = max(account.LastActiveMs, nowMs)
	}
	if settle.EndedStream != "" {
		t.streams.end(nowMs, settle.Program, settle.EndedStream)
	}
	t.supportsHolds = t.supportsHolds || settle.RequiresChain
	delete(t.holds, settle.ReleasedHold)
	return t.retain(nowMs, settle)
}

// retain stores a turn if its settlement requests it. Invariant: the whole chain of a retained turn is
// retained as long as the turn. A turn whose chain is not whole any more is not retained.
func (t *TurnLedger) retain(nowMs int64, settle *Settle) (TurnEffects, *result.Error) {
	if !settle.Retain || t.HasTurn(settle.Request) {
		return TurnEffects{}, nil
	}
	if _, isWhole := t.Chain(settle.PreviousRequest); !isWhole && settle.RequiresChain {
		return TurnEffects{}, result.New(result.UnknownTurn, "turn %s continues %s, whose chain is not retained any more", settle.Request, settle.PreviousRequest)
	}
	expiresMs := nowMs + settle.RetentionMs + retentionMarginMs
	t.turns[settle.Request] = &retainedTurn{Request: settle.Request, Previous: settle.PreviousRequest, ExpiresMs: expiresMs}
	t.extendChain(settle.PreviousRequest, expiresMs)
	return TurnEffects{WriteRequest: settle.Request, Content: settle.Content}, nil
}

// extendChain retains a turn and the turns before it until expiresMs.
func (t *TurnLedger) extendChain(request string, expiresMs int64) {
	for steps := 0; request != "" && steps < len(t.turns); steps++ {
		retained, ok := t.turns[request]
		if !ok {
			return
		}
		retained.ExpiresMs = max(retained.ExpiresMs, expiresMs)
		request = retained.Previous
	}
}

// IsSweepDue reports whether a sweep would delete anything.
func (t *TurnLedger) IsSweepDue(nowMs int64) bool {
	if len(t.expiredTurns(nowMs)) > 0 || t.holds.isSweepDue(nowMs) {
		return true
	}
	for _, account := range t.budgets {
		if account.LastActiveMs+budgetRetentionMs < nowMs {
			return true
		}
	}
	return t.streams.isSweepDue(nowMs) || t.crashes.isSweepDue(nowMs)
}

// expiredTurns returns the turns whose retention has ended and that no open turn continues, in ascending
// order.
func (t *TurnLedger) expiredTurns(nowMs int64) []string {
	var expired []string
	for request, retained := range t.turns {
		if retained.ExpiresMs < nowMs {
			expired = append(expired, request)
		}
	}
	if len(expired) == 0 || len(t.holds) == 0 {
		slices.Sort(expired)
		return expired
	}
	held := t.heldTurns(nowMs)
	expired = slices.DeleteFunc(expired, func(request string) bool { return held[request] })
	slices.Sort(expired)
	return expired
}

func (t *TurnLedger) sweep(nowMs int64) TurnEffects {
	effects := TurnEffects{DeleteRequests: t.expiredTurns(nowMs)}
	for _, request := range effects.DeleteRequests {
		delete(t.turns, request)
	}
	t.holds.sweep(nowMs)
	for id, account := range t.budgets {
		if account.LastActiveMs+budgetRetentionMs < nowMs {
			delete(t.budgets, id)
		}
	}
	t.streams.sweep(nowMs)
	t.crashes.Sweep(nowMs)
	return effects
}

// turnLedgerSnapshot is the encoded form, in an order that is identical on every replica.
type turnLedgerSnapshot struct {
	Budgets []*budget       `msgpack:"b"`
	Turns   []*retainedTurn `msgpack:"t"`
	// Streams is absent in snapshots of releases that record no streams.
	Streams []*programStreams `msgpack:"s,omitempty"`
	// Crashes is absent in snapshots of releases that record no crashes.
	Crashes []*crashRecord `msgpack:"c,omitempty"`
	// Holds and SupportsHolds are absent in snapshots of releases without holds.
	Holds         []*turnHold `msgpack:"h,omitempty"`
	SupportsHolds bool        `msgpack:"k,omitempty"`
}

// Snapshot encodes the ledger without the content of the turns.
func (t *TurnLedger) Snapshot() ([]byte, error) {
	var encoded turnLedgerSnapshot
	for _, account := range t.budgets {
		encoded.Budgets = append(encoded.Budgets, account)
	}
	for _, retained := range t.turns {
		encoded.Turns = append(encoded.Turns, retained)
	}
	slices.SortFunc(encoded.Budgets, func(a, b *budget) int { return cmp.Compare(a.Program, b.Program) })
	slices.SortFunc(encoded.Turns, func(a, b *retainedTurn) int { return cmp.Compare(a.Request, b.Request) })
	encoded.Streams = t.streams.sorted()
	encoded.Crashes = t.crashes.sorted()
	encoded.Holds, encoded.SupportsHolds = t.holds.sorted(), t.supportsHolds
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetSortMapKeys(true)
	err := encoder.Encode(&encoded)
	return buffer.Bytes(), err
}

// Restore replaces the ledger with a snapshot. Empty data yields an empty ledger.
func (t *TurnLedger) Restore(data []byte) error {
	var encoded turnLedgerSnapshot
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &encoded); err != nil {
			return err
		}
	}
	t.budgets = map[string]*budget{}
	t.turns = map[string]*retainedTurn{}
	for _, account := range encoded.Budgets {
		t.budgets[account.Program] = account
	}
	for _, retained := range encoded.Turns {
		t.turns[retained.Request] = retained
	}
	t.streams = newStreamLedger(encoded.Streams)
	t.crashes = newCrashTable(encoded.Crashes)
	t.holds, t.supportsHolds = newHoldTable(encoded.Holds), encoded.SupportsHolds
	return nil
}
