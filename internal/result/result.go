// Package result defines the numbered result codes that all processes of ochrebay return to
// callers, operators and each other. Each code states whether the call was run (design section
// 9). docs/RESULT-CODES.md has the same table for readers; a test compares the two.
package result

import (
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

// Outcome states whether the call that returned an error was run.
type Outcome string

// The outcomes of a call that returned an error.
const (
	// NotRun means that no engine has started the call or will start it later.
	NotRun Outcome = "not_run"
	// Ran means that an engine ran the call.
	Ran Outcome = "ran"
	// Unknown means that an engine may have run the call.
	Unknown Outcome = "unknown"
)

// Code is the number of a result. Numbers are never reused.
type Code int

// The codes, grouped by hundreds: 10xx the caller's input, 11xx the program's
// state, 12xx capacity, 13xx failures inside the fleet, 14xx operators.
const (
	OK Code = 0

	MalformedRequest  Code = 1001
	BodyTooLarge      Code = 1002
	UnknownService    Code = 1003
	InvalidHeader     Code = 1004
	NotFound          Code = 1005
	HistoryMismatch   Code = 1006
	RequestConflict   Code = 1007
	ForeignProgram    Code = 1008
	MethodNotAllowed  Code = 1009
	UnknownThread     Code = 1010
	NoRoute           Code = 1011
	UnknownTurn       Code = 1012
	HeadersTooLarge   Code = 1013
	UnknownKey        Code = 1014
	ProgramClosed     Code = 1101
	BudgetExhausted   Code = 1102
	TurnLimit         Code = 1103
	WallTimeLimit     Code = 1104
	DeadlinePassed    Code = 1105
	TurnOpen          Code = 1106
	StaleFence        Code = 1107
	Overloaded        Code = 1201
	TenantLimit       Code = 1202
	DeadlineTooClose  Code = 1203
	NoEngine          Code = 1204
	Draining          Code = 1205
	NotConfigured     Code = 1206
	KeysUnconfirmed   Code = 1207
	ShareUsed         Code = 1208
	StreamUnknown     Code = 1209
	StreamUnavailable Code = 1210
	CrashLimit        Code = 1211
	MemoryShort       Code = 1212
	ConnectionsShort  Code = 1213
	BodyTimeout       Code = 1214
	NotLeader         Code = 1301
	NoQuorum          Code = 1302
	EngineFailed      Code = 1303
	OutcomeUnknown    Code = 1304
	Internal          Code = 1305
	NoScheduler       Code = 1306
	EngineRefused     Code = 1307
	Cancelled         Code = 1308
	LedgerUnreachable Code = 1309
	EngineTimeout     Code = 1310
	SettingsInvalid   Code = 1401
	SettingsConflict  Code = 1402
	ChangeNumberReuse Code = 1403
	StaleOrder        Code = 1404
	NotInForce        Code = 1405
	TooFewLeft        Code = 1406
)

// Entry describes a code.
type Entry struct {
	Code    Code
	Name    string
	Outcome Outcome
	// HTTPStatus is the HTTP status sent to callers and operators.
	HTTPStatus int
	// RetryAfter is the default delay before a retry; zero means that the same request will not
	// succeed later.
	RetryAfter time.Duration
	Meaning    string
}

// Table lists every code in numeric order.
var Table = []Entry{
	{MalformedRequest, "malformed_request", NotRun, 400, 0, "The body is not the JSON that the path expects."},
	{BodyTooLarge, "body_too_large", NotRun, 413, 0, "The body is over the configured limit."},
	{UnknownService, "unknown_service", NotRun, 404, 0, "The field model does not name a service in the settings."},
	{InvalidHeader, "invalid_header", NotRun, 400, 0, "A request header can't be parsed or is out of range."},
	{NotFound, "not_found", NotRun, 404, 0, "No such path, program or settings node."},
	{HistoryMismatch, "history_mismatch", NotRun, 409, 0, "The history sent differs from the ledger's."},
	{RequestConflict, "request_conflict", NotRun, 409, 0, "The request id was used before with different content."},
	{ForeignProgram, "foreign_program", NotRun, 403, 0, "The program belongs to another tenant or service."},
	{MethodNotAllowed, "method_not_allowed", NotRun, 405, 0, "The path does not support this method."},
	{UnknownThread, "unknown_thread", NotRun, 404, 0, "The parent thread does not exist in this program."},
	{NoRoute, "no_route", NotRun, 404, 0, "No route matches this host and path."},
	{UnknownTurn, "unknown_turn", NotRun, 404, 0, "The turn that the request continues does not exist."},
	{HeadersTooLarge, "headers_too_large", NotRun, 431, 0, "The request's headers are over the limit."},
	{UnknownKey, "unknown_key", NotRun, 401, 0, "The route requires a tenant's key; the request has no key, or one that belongs to no tenant."},
	{ProgramClosed, "program_closed", NotRun, 410, 0, "The program has ended."},
	{BudgetExhausted, "budget_exhausted", NotRun, 402, 0, "The program's token budget does not cover the call."},
	{TurnLimit, "turn_limit", NotRun, 402, 0, "The program has used all its turns."},
	{WallTimeLimit, "wall_time_limit", NotRun, 402, 0, "The program has run longer than its service allows."},
	{DeadlinePassed, "deadline_passed", NotRun, 408, 0, "The call's deadline passed before the call started."},
	{TurnOpen, "turn_open", NotRun, 409, 200 * time.Millisecond, "Another call of the program is in progress."},
	{StaleFence, "stale_fence", Unknown, 409, 0, "A newer attempt owns the turn; this attempt's result was dropped."},
	{Overloaded, "overloaded", NotRun, 429, time.Second, "The queue is too long for the call to finish in time."},
	{TenantLimit, "tenant_limit", NotRun, 429, time.Second, "The tenant or service is over its limit."},
	{DeadlineTooClose, "deadline_too_close", NotRun, 429, time.Second, "The expected finish is after the call's deadline."},
	{NoEngine, "no_engine", NotRun, 503, 2 * time.Second, "No engine of the service's pool is ready."},
	{Draining, "draining", NotRun, 503, 500 * time.Millisecond, "The process is stopping and takes no new calls."},
	{NotConfigured, "not_configured", NotRun, 503, 700 * time.Millisecond, "The process has not yet received the current routing table."},
	{KeysUnconfirmed, "keys_unconfirmed", NotRun, 503, 500 * time.Millisecond, "The gateway has not reached the control processes for too long to know which keys are still valid."},
	{ShareUsed, "share_used", NotRun, 429, time.Second, "The backend is oversubscribed and the tenant uses more than its fair share of it."},
	{StreamUnknown, "stream_unknown", NotRun, 503, 0, "It is not on record which software version began the stream that the request takes up. The stream has to begin anew."},
	{StreamUnavailable, "stream_version_unavailable", NotRun, 503, 0, "No engine of the software version that began the stream is left for the request that takes it up. The stream has to begin anew."},
	{CrashLimit, "crash_limit", NotRun, 503, 0, "As many engines as allowed have attempts of this request on record that they have not, or not yet, outlived, and none of these engines can take another one; it is sent to no further engine until one of the attempts is closed or the record expires."},
	{MemoryShort, "memory_short", NotRun, 503, time.Second, "The process has no memory for the request's body or the history that it continues; requests that are larger, slower or older use it."},
	{ConnectionsShort, "connections_short", NotRun, 503, time.Second, "The address has as many connections as it may have, and this one had made no progress with its request for the longest."},
	{BodyTimeout, "body_timeout", NotRun, 408, 0, "The request's body did not arrive in time."},
	{NotLeader, "not_leader", NotRun, 503, 100 * time.Millisecond, "The replica that received the request is not the leader of the group."},
	{NoQuorum, "no_quorum", Unknown, 503, time.Second, "The log group did not confirm the request in time."},
	{EngineFailed, "engine_failed", Ran, 502, 500 * time.Millisecond, "The engine failed after it had started the call; all allowed attempts were used."},
	{OutcomeUnknown, "outcome_unknown", Unknown, 502, 0, "The call is not repeatable and its engine was lost; the call may have run."},
	{Internal, "internal", Unknown, 500, time.Second, "A fault inside ochrebay; the log has the details."},
	{NoScheduler, "no_scheduler", NotRun, 503, time.Second, "No scheduler can be reached from the sidecar."},
	{EngineRefused, "engine_refused", NotRun, 503, 500 * time.Millisecond, "The engines reported that they did not start the call, and capacity for it is not expected in time."},
	{Cancelled, "cancelled", Unknown, 499, 0, "The caller disconnected before the response was complete."},
	{LedgerUnreachable, "ledger_unreachable", NotRun, 503, 500 * time.Millisecond, "The program's ledger group did not respond in time; the call was not sent to any engine."},
	{EngineTimeout, "engine_timeout", Unknown, 504, 0, "The engine had not responded when the request timed out."},
	{SettingsInvalid, "settings_invalid", NotRun, 400, 0, "The change would make the tree invalid; nothing was changed."},
	{SettingsConflict, "settings_conflict", NotRun, 409, 0, "The node has changed since the given version; the response contains the winning node."},
	{ChangeNumberReuse, "change_number_reuse", NotRun, 409, 0, "The operator used this change number before with different content."},
	{StaleOrder, "stale_order", NotRun, 409, 0, "The engine has accepted an order with a higher fence."},
	{NotInForce, "not_in_force", Ran, 504, 0, "The change was accepted, but not every live daemon reported it as applied in time."},
	{TooFewLeft, "too_few_left", NotRun, 409, 0, "Too few ledger hosts would remain to host every group."},
}

var entryByCode = func() map[Code]Entry {
	byCode := make(map[Code]Entry, len(Table))
	for _, entry := range Table {
		byCode[entry.Code] = entry
	}
	return byCode
}()

// Describe returns the entry of a code, that of Internal if the code is not in the table.
func Describe(code Code) Entry {
	entry, ok := entryByCode[code]
	if !ok {
		return entryByCode[Internal]
	}
	return entry
}

// String returns the code's name.
func (c Code) String() string {
	if c == OK {
		return "ok"
	}
	return Describe(c).Name
}

// Error is the error that is sent between processes and to callers.
type Error struct {
	Code         Code    `json:"code" msgpack:"c"`
	Type         string  `json:"type" msgpack:"-"`
	Message      string  `json:"message" msgpack:"m"`
	Outcome      Outcome `json:"outcome" msgpack:"o"`
	RetryAfterMs int64   `json:"retry_after_ms" msgpack:"r"`
}

// New returns an error with the code's default outcome and retry delay.
func New(code Code, format string, arguments ...any) *Error {
	entry := Describe(code)
	return &Error{
		Code:         code,
		Type:         entry.Name,
		Message:      fmt.Sprintf(format, arguments...),
		Outcome:      entry.Outcome,
		RetryAfterMs: entry.RetryAfter.Milliseconds(),
	}
}

// WithOutcome returns a copy of the error with another outcome.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	changed := *e
	changed.Outcome = outcome
	return &changed
}

// WithRetryAfter returns a copy of the error with another retry delay.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	changed := *e
	changed.RetryAfterMs = wait.Milliseconds()
	return &changed
}

// Error returns the code's name and number and the message on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, int(e.Code), e.Message)
}

// HTTPStatus returns the HTTP status of the error's code.
func (e *Error) HTTPStatus() int {
	return Describe(e.Code).HTTPStatus
}

// Body is the JSON body of an error response.
type Body struct {
	Error *Error `json:"error"`
}

// From returns the first Error in err's chain, or an error with the code Internal if there is
// none. For a nil err it returns nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	for cause := err; cause != nil; {
		if typed, ok := cause.(*Error); ok {
			typed.Type = Describe(typed.Code).Name
			return typed
		}
		unwrapped, ok := cause.(interface{ Unwrap() error })
		if ok {
			cause = unwrapped.Unwrap()
			continue
		}
		decorated := errorx.Cast(cause)
		if decorated == nil {
			break
		}
		cause = decorated.Cause()
	}
	return New(Internal, "%v", err)
}

// CodeOf returns the code in err's chain, OK for nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
