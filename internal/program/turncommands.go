package program

import "github.com/ochrebay/ochrebay/internal/quota"

// Reserve opens a turn: it reserves, from the program's budget, the maximum number of tokens that
// the turn may generate, and checks that the previous turn exists.
type Reserve struct {
	Program string `msgpack:"p"`
	Request string `msgpack:"r"`
	// BudgetTokens bounds the tokens that all turns of the program generate; zero means no
	// bound. MaxTokens is the maximum that this turn may generate.
	BudgetTokens int64 `msgpack:"b,omitempty"`
	MaxTokens    int64 `msgpack:"m,omitempty"`
	// PreviousRequest identifies the turn that this one continues by its request.
	PreviousRequest string `msgpack:"v,omitempty"`
	// Session is the chain of turns to which the turn belongs.
	Session string `msgpack:"s,omitempty"`
	// Stream opens the turn's stream together with the turn; nil if callers can't take it up.
	Stream *StreamOpening `msgpack:"o,omitempty"`
	// Fingerprint asks for the crash record of the request; empty for none.
	Fingerprint string `msgpack:"f,omitempty"`
	// Claim is recorded with the reservation if it is granted, nil for none.
	Claim *Crash `msgpack:"a,omitempty"`
	// Hold retains the chain that ends with PreviousRequest while the turn is open. A turn with a hold is
	// granted only if that chain is whole. nil in entries of earlier releases, and while a replica of the
	// group would ignore it.
	Hold *Hold `msgpack:"h,omitempty"`
}

// Key returns the key of the request over all its client attempts.
func (r *Reserve) Key() RequestKey { return RequestKey{Scope: r.Program, Fingerprint: r.Fingerprint} }

// Settle closes a turn: it charges the generated tokens and stores the turn if requested.
type Settle struct {
	Program string `msgpack:"p"`
	Request string `msgpack:"r"`
	// UsedTokens is the number of generated tokens.
	UsedTokens int64 `msgpack:"u,omitempty"`
	// Session and Engine record the engine that ran the turn, whose cache may hold the
	// session's prompt.
	Session string `msgpack:"s,omitempty"`
	Engine  string `msgpack:"e,omitempty"`
	// Retain stores Content, the turn's input and output, for RetentionMs.
	Retain          bool   `msgpack:"k,omitempty"`
	PreviousRequest string `msgpack:"v,omitempty"`
	Content         []byte `msgpack:"c,omitempty"`
	RetentionMs     int64  `msgpack:"t,omitempty"`
	// EndedStream is the request that began the turn's stream, if its last event was sent.
	EndedStream string `msgpack:"d,omitempty"`
	// ClosedClaim closes the claims of the turn's attempts that their engines have outlived, nil for none.
	ClosedClaim *Crash `msgpack:"x,omitempty"`
	// ReleasedHold is the hold of the turn, empty for none.
	ReleasedHold string `msgpack:"h,omitempty"`
	// RequiresChain means that the turn is not retained if its chain is not whole. Leaders set it unless a
	// replica of the group would ignore it.
	RequiresChain bool `msgpack:"q,omitempty"`
}

// TurnCommand is one entry of a ledger group's log. Exactly one field besides NowMs is set.
type TurnCommand struct {
	// NowMs is the proposer's clock, in milliseconds since 1970.
	NowMs   int64    `msgpack:"n"`
	Reserve *Reserve `msgpack:"r,omitempty"`
	Settle  *Settle  `msgpack:"s,omitempty"`
	Sweep   bool     `msgpack:"w,omitempty"`
	// Stream records or finds the origin of a stream.
	Stream *OpenStream `msgpack:"o,omitempty"`
	// Crash reports engines that ended while they ran a request.
	Crash *Crash `msgpack:"c,omitempty"`
	// Quota reserves a part of a tenant's limit. TurnLedger does not handle it: the state
	// machine that contains the TurnLedger applies it.
	Quota *quota.Reservation `msgpack:"q,omitempty"`
}

// ContentBytes returns the size of the content of the turn that the command stores, 0 for none.
func (c *TurnCommand) ContentBytes() int64 {
	if c.Settle == nil {
		return 0
	}
	return int64(len(c.Settle.Content))
}

// TurnEffects are the disk writes that a command requires of the replica's host.
type TurnEffects struct {
	// WriteRequest is the request whose content is to be stored.
	WriteRequest string
	Content      []byte
	// DeleteRequests lists the requests whose content may be deleted.
	DeleteRequests []string
}
