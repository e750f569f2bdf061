// Package program implements the ledger of programs: a deterministic state machine that
// enforces the turn order, token budget, at-most-once execution and end of every program
// (design sections 3 and 4). It runs on the replicas of a ledger group. Every replica applies the
// same commands in the same order and reaches the same state. Headers are held in memory; turn
// records, which form the history, are written to the disk of the replica's host as Effects.
// TurnLedger is a second state machine of this kind, for turns whose content is opaque to it.
package program

import "github.com/ochrebay/ochrebay/internal/result"

// Message is one message of a conversation in the callers' format.
type Message struct {
	Role    string `json:"role" msgpack:"r"`
	Content string `json:"content" msgpack:"c"`
	Name    string `json:"name,omitempty" msgpack:"n,omitempty"`
}

// Usage holds the token counts of one call.
type Usage struct {
	// PromptTokens is the length of the whole prompt, including the history.
	PromptTokens int64 `json:"prompt_tokens" msgpack:"p"`
	// CachedTokens is the part of the prompt that the engine had in its cache.
	CachedTokens     int64 `json:"cached_tokens" msgpack:"h"`
	CompletionTokens int64 `json:"completion_tokens" msgpack:"c"`
}

// Limits bound one program. They are fixed when it is created.
type Limits struct {
	// BudgetTokens bounds the sum of new prompt tokens and generated tokens.
	BudgetTokens  int64 `msgpack:"b" json:"budget_tokens"`
	MaxTurns      int64 `msgpack:"t" json:"max_turns"`
	WallTimeMs    int64 `msgpack:"w" json:"wall_ms"`
	IdleTimeoutMs int64 `msgpack:"i" json:"idle_ms"`
}

// Begin requests the start of one call.
type Begin struct {
	Program string `msgpack:"p"`
	Tenant  string `msgpack:"t"`
	Service string `msgpack:"s"`
	Thread  string `msgpack:"h,omitempty"`
	Parent  string `msgpack:"a,omitempty"`
	Request string `msgpack:"r"`
	Create  bool   `msgpack:"c,omitempty"`
	Limits  Limits `msgpack:"l"`
	Digest  uint64 `msgpack:"d"`
	// AtMostOnce marks a call that is not repeatable.
	AtMostOnce bool `msgpack:"o,omitempty"`
	// PrefixDigests holds the chain digests after 0 to n of the messages if the caller sent
	// the full history. It is nil if the caller sent only new messages.
	PrefixDigests []uint64 `msgpack:"x,omitempty"`
	// NewTokens, the number of new prompt tokens, and MaxTokens, the maximum number of tokens
	// that the call may generate, are reserved from the budget.
	NewTokens int64 `msgpack:"n"`
	MaxTokens int64 `msgpack:"m"`
	// Scheduler is the name of the scheduler that will run the call.
	Scheduler string `msgpack:"w"`
	// TakeOver reports that the scheduler that held the open turn is lost.
	TakeOver bool `msgpack:"k,omitempty"`
	// RetryOf is the fence of this scheduler's own failed attempt. LostTokens is the number of
	// tokens that the attempt is known to have used.
	RetryOf    uint64 `msgpack:"f,omitempty"`
	LostTokens int64  `msgpack:"u,omitempty"`
	// Nonce identifies a Begin that is proposed again because its reply was lost, so that it
	// receives the grant of the first proposal.
	Nonce uint64 `msgpack:"z,omitempty"`
	// CachedTurn is the last turn whose record the scheduler has cached.
	CachedTurn uint64 `msgpack:"y,omitempty"`
	// Incarnation identifies the scheduler's process, because a successor has the same name.
	Incarnation uint64 `msgpack:"q,omitempty"`
	// TimeoutMs is the time that remains until the caller's deadline, in milliseconds.
	TimeoutMs int64 `msgpack:"j,omitempty"`
}

// Commit closes a turn with its answer.
type Commit struct {
	Program  string    `msgpack:"p"`
	Fence    uint64    `msgpack:"f"`
	Messages []Message `msgpack:"m"` // Messages are the new messages that the caller sent.
	Answer   Message   `msgpack:"a"`
	Usage    Usage     `msgpack:"u"`
	// NewTokens is the part of the prompt that was not yet in the history.
	NewTokens   int64  `msgpack:"n"`
	Engine      string `msgpack:"e"`
	EndsProgram bool   `msgpack:"d,omitempty"`
}

// Abort closes a turn without an answer.
type Abort struct {
	Program string      `msgpack:"p"`
	Fence   uint64      `msgpack:"f"`
	Code    result.Code `msgpack:"c"`
	// NotRun reports that no engine started the call. Nothing is charged in that case.
	NotRun     bool  `msgpack:"n,omitempty"`
	UsedTokens int64 `msgpack:"t,omitempty"`
}

// End ends a program.
type End struct {
	Program string `msgpack:"p"`
	// Tenant must own the program. It is empty for operators.
	Tenant string `msgpack:"t,omitempty"`
	Reason string `msgpack:"r"`
}

// Sweep ends idle programs and deletes programs that ended longer ago than the retention time.
type Sweep struct {
	RetentionMs int64 `msgpack:"r"`
}

// Command is one entry of a ledger group's log. Exactly one field besides NowMs is set.
type Command struct {
	// NowMs is the proposer's clock, in milliseconds since 1970.
	NowMs  int64   `msgpack:"n"`
	Begin  *Begin  `msgpack:"b,omitempty"`
	Commit *Commit `msgpack:"c,omitempty"`
	Abort  *Abort  `msgpack:"a,omitempty"`
	End    *End    `msgpack:"e,omitempty"`
	Sweep  *Sweep  `msgpack:"s,omitempty"`
}

// Reply is the reply of Apply to the proposer.
type Reply struct {
	Error *result.Error `msgpack:"e,omitempty"`
	// Turn and Fence identify a granted turn.
	Turn  uint64 `msgpack:"t,omitempty"`
	Fence uint64 `msgpack:"f,omitempty"`
	// ClosedTurn is the turn whose record already holds the result of this request.
	ClosedTurn uint64 `msgpack:"a,omitempty"`
	// SkipMessages is the number of messages in the request that the ledger already has.
	SkipMessages int `msgpack:"s,omitempty"`
	// Lineage lists the thread prefixes whose records form the thread's history.
	Lineage []ThreadPrefix `msgpack:"l,omitempty"`
	// Holder is the scheduler that holds the open turn (code TurnOpen).
	Holder string `msgpack:"h,omitempty"`
	// HolderIncarnation identifies the process of that scheduler.
	HolderIncarnation uint64 `msgpack:"i,omitempty"`
	// OpenRequest is the request that holds the open turn (code TurnOpen).
	OpenRequest string `msgpack:"o,omitempty"`
	// Ended reports that the program has ended after this command.
	Ended bool `msgpack:"d,omitempty"`
	// RemainingTokens is the remaining token budget.
	RemainingTokens int64 `msgpack:"r,omitempty"`
}

// ThreadPrefix identifies the turns of one thread up to and including turn Last.
type ThreadPrefix struct {
	Thread string `msgpack:"t"`
	Last   uint64 `msgpack:"l"`
}

// TurnRecord is the durable history of one turn.
type TurnRecord struct {
	Turn     uint64      `msgpack:"t" json:"turn"`
	Thread   string      `msgpack:"h" json:"thread"`
	Request  string      `msgpack:"r" json:"request"`
	Messages []Message   `msgpack:"m" json:"messages"`
	Answer   Message     `msgpack:"a" json:"answer"`
	Usage    Usage       `msgpack:"u" json:"usage"`
	Engine   string      `msgpack:"e" json:"engine"`
	Code     result.Code `msgpack:"c" json:"code"`
	ClosedMs int64       `msgpack:"w" json:"at_ms"`
}

// Effects are the disk writes that Apply requires of the replica's host.
type Effects struct {
	Write *TurnRecord
	// Program is the program to which Write belongs.
	Program string
	// DeletePrograms lists the programs whose records may be deleted, with their last turns.
	DeletePrograms []DeletedProgram
}

// DeletedProgram is a program that is no longer in the ledger.
type DeletedProgram struct {
	Program  string
	LastTurn uint64
}
