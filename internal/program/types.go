// Package program is the ledger of programs: a deterministic state machine that
// judges order, budget, at-most-once and end of every program (design sections
// 3 and 4). It runs on the replicas of a log group; every replica applies the
// same commands in the same order and reaches the same state. Headers are held
// in memory; turn records (the history) go to the owner's disk as Effects.
package program

import "github.com/ochrebay/ochrebay/internal/result"

// Message is one message of a conversation in the shape callers use.
type Message struct {
	Role    string `json:"role" msgpack:"r"`
	Content string `json:"content" msgpack:"c"`
	Name    string `json:"name,omitempty" msgpack:"n,omitempty"`
}

// Usage counts tokens of one call.
type Usage struct {
	// PromptTokens is the length of the whole prompt, history included.
	PromptTokens int64 `json:"prompt_tokens" msgpack:"p"`
	// CachedTokens is the part of the prompt that the engine had in its cache.
	CachedTokens     int64 `json:"cached_tokens" msgpack:"h"`
	CompletionTokens int64 `json:"completion_tokens" msgpack:"c"`
}

// Limits bound one program; they are fixed when it is created.
type Limits struct {
	// BudgetTokens bounds new prompt tokens plus generated tokens.
	BudgetTokens  int64 `msgpack:"b" json:"budget_tokens"`
	MaxTurns      int64 `msgpack:"t" json:"max_turns"`
	WallTimeMs    int64 `msgpack:"w" json:"wall_ms"`
	IdleTimeoutMs int64 `msgpack:"i" json:"idle_ms"`
}

// Begin asks to start one call.
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
	// PrefixDigests holds the chain digest after 0..n of the messages sent, when
	// the caller sent the whole history; nil when it sent only new messages.
	PrefixDigests []uint64 `msgpack:"x,omitempty"`
	// NewTokens and MaxTokens are reserved from the budget.
	NewTokens int64 `msgpack:"n"`
	MaxTokens int64 `msgpack:"m"`
	// Scheduler is the process that will run the call.
	Scheduler string `msgpack:"w"`
	// TakeOver says that the scheduler which held the open turn is lost.
	TakeOver bool `msgpack:"k,omitempty"`
	// RetryOf is the fence of this scheduler's own failed attempt, and
	// LostTokens the tokens which that attempt is known to have used.
	RetryOf    uint64 `msgpack:"f,omitempty"`
	LostTokens int64  `msgpack:"u,omitempty"`
	// Nonce makes a Begin that is proposed again, because its reply was lost,
	// return the grant of the first.
	Nonce uint64 `msgpack:"z,omitempty"`
	// CachedTurn is the last turn whose record the scheduler has cached.
	CachedTurn uint64 `msgpack:"y,omitempty"`
	// Incarnation identifies the scheduler's process: a successor has its name.
	Incarnation uint64 `msgpack:"q,omitempty"`
	// TimeoutMs is the time that the caller leaves for the call, milliseconds.
	TimeoutMs int64 `msgpack:"j,omitempty"`
}

// Commit ends a turn with its answer.
type Commit struct {
	Program  string    `msgpack:"p"`
	Fence    uint64    `msgpack:"f"`
	Messages []Message `msgpack:"m"` // Messages are the new ones that the caller sent.
	Answer   Message   `msgpack:"a"`
	Usage    Usage     `msgpack:"u"`
	// NewTokens is the part of the prompt that was not in the history before.
	NewTokens   int64  `msgpack:"n"`
	Engine      string `msgpack:"e"`
	EndsProgram bool   `msgpack:"d,omitempty"`
}

// Abort closes a turn without an answer.
type Abort struct {
	Program string      `msgpack:"p"`
	Fence   uint64      `msgpack:"f"`
	Code    result.Code `msgpack:"c"`
	// NotRun says that no engine started the call: nothing is charged.
	NotRun     bool  `msgpack:"n,omitempty"`
	UsedTokens int64 `msgpack:"t,omitempty"`
}

// End ends a program.
type End struct {
	Program string `msgpack:"p"`
	// Tenant must own the program; empty for operators.
	Tenant string `msgpack:"t,omitempty"`
	Reason string `msgpack:"r"`
}

// Sweep ends idle programs and forgets programs that ended long ago.
type Sweep struct {
	RetentionMs int64 `msgpack:"r"`
}

// Command is one entry of a ledger group's log; exactly one part is set.
type Command struct {
	// NowMs is the proposer's clock, milliseconds since 1970.
	NowMs  int64   `msgpack:"n"`
	Begin  *Begin  `msgpack:"b,omitempty"`
	Commit *Commit `msgpack:"c,omitempty"`
	Abort  *Abort  `msgpack:"a,omitempty"`
	End    *End    `msgpack:"e,omitempty"`
	Sweep  *Sweep  `msgpack:"s,omitempty"`
}

// Reply is what Apply answers to the proposer.
type Reply struct {
	Error *result.Error `msgpack:"e,omitempty"`
	// Turn and Fence identify a granted turn.
	Turn  uint64 `msgpack:"t,omitempty"`
	Fence uint64 `msgpack:"f,omitempty"`
	// ClosedTurn is the turn whose record answers this request already.
	ClosedTurn uint64 `msgpack:"a,omitempty"`
	// SkipMessages is how many of the messages sent the ledger has already.
	SkipMessages int `msgpack:"s,omitempty"`
	// Lineage tells which records make the thread's history.
	Lineage []ThreadPrefix `msgpack:"l,omitempty"`
	// Holder is the scheduler that has the open turn (code TurnOpen).
	Holder string `msgpack:"h,omitempty"`
	// HolderIncarnation is the start of that scheduler's process.
	HolderIncarnation uint64 `msgpack:"i,omitempty"`
	// OpenRequest is the request that has the open turn (code TurnOpen).
	OpenRequest string `msgpack:"o,omitempty"`
	// Ended says that the program is closed after this command.
	Ended bool `msgpack:"d,omitempty"`
	// RemainingTokens is the budget left.
	RemainingTokens int64 `msgpack:"r,omitempty"`
}

// ThreadPrefix is a range of one thread's turns, first to last inclusive.
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

// Effects are the writes that Apply asks of the owner's disk.
type Effects struct {
	Write *TurnRecord
	// Program owns Write.
	Program string
	// DeletePrograms lists programs whose records may be deleted, with their last turn.
	DeletePrograms []DeletedProgram
}

// DeletedProgram is a program that the ledger no longer knows.
type DeletedProgram struct {
	Program  string
	LastTurn uint64
}
