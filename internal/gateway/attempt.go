package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

// attemptKind says how one send to an engine ended.
type attemptKind uint8

const (
	// attemptAnswered means that the engine's answer was passed on or is held whole.
	attemptAnswered attemptKind = iota
	// attemptNotSent means that the engine saw nothing of the request.
	attemptNotSent
	// attemptRefused means that the engine says it did not run the request.
	attemptRefused
	// attemptBroken means that the engine may have run the request.
	attemptBroken
	// attemptFailed means that the engine ran the request and answered with a failure, which
	// was not passed on.
	attemptFailed
	// attemptCancelled means that the caller left or the call's time was over.
	attemptCancelled
)

// String names the kind for logs.
func (k attemptKind) String() string {
	return [...]string{"answered", "not_sent", "refused", "broken", "failed", "cancelled"}[k]
}

// attemptOutcome is how one send to an engine ended.
type attemptOutcome struct {
	kind   attemptKind
	status int
	// responseStarted says that a part of the answer has reached the caller.
	responseStarted bool
	// responseMs is how long the engine took for a whole answer, 0 for a stream.
	responseMs float64
	// streamEvents are those of a stream that went to its end.
	streamEvents int64
	err          error
}

// lowestPriority is the last rank at an engine.
const lowestPriority = 9

// selectionInput describes the call to the choice of engines.
func (d *Daemon) selectionInput(c *call, excluded []string) scheduling.SelectionInput {
	input := scheduling.SelectionInput{ExcludedEngines: excluded, NowMs: clock.NowMs(), RequestKind: c.route.Name}
	switch {
	case c.route.Kind == routing.KindStream:
		input.IsStream = true
		input.AffineEngine = c.affineEngine
		input.Prompt = c.promptParts
		input.MaxEvents = c.maxTokens / max(c.backend.TokensPerEvent, 1)
		input.RequiredKVCacheTokens = scheduling.PromptTokens(c.promptParts) + c.maxTokens
	case c.route.Affinity:
		input.AffinityKey = c.affinityKey
	}
	return input
}

// deliverFunc passes an engine's answer on.
type deliverFunc func(exchange *upstream.Exchange, c *call) attemptOutcome

// attempt sends the call to one engine and has the answer delivered.
func (d *Daemon) attempt(ctx context.Context, c *call, engine membership.ServingEngine, deliver deliverFunc) attemptOutcome {
	deadlineContext, stopDeadline := context.WithDeadline(ctx, c.deadline)
	defer stopDeadline()
	attemptContext, cancel := context.WithCancelCause(deadlineContext)
	defer cancel(nil)
	c.responseTimer = d.startResponseTimer(attemptContext, c, cancel)
	defer c.responseTimer.stop()
	exchange, err := d.pool.Do(attemptContext, engine.Address, d.upstreamRequest(c, engine))
	switch {
	case err == nil:
	case errors.Is(context.Cause(attemptContext), errResponseTimeout):
		return attemptOutcome{kind: attemptBroken, err: errResponseTimeout}
	case attemptContext.Err() != nil:
		return attemptOutcome{kind: attemptCancelled, err: attemptContext.Err()}
	case errors.Is(err, upstream.ErrNotSent):
		return attemptOutcome{kind: attemptNotSent, err: err}
	default:
		return attemptOutcome{kind: attemptBroken, err: err}
	}
	defer exchange.Close()
	if refusal, refused := d.parseRefusal(exchange); refused {
		return refusal
	}
	d.waitQueues.leave(c, true)
	outcome := deliver(exchange, c)
	switch {
	case outcome.kind != attemptBroken:
	case errors.Is(context.Cause(attemptContext), errResponseTimeout):
		outcome.err = errResponseTimeout
	case attemptContext.Err() != nil:
		outcome.kind = attemptCancelled
	}
	return outcome
}

// parseRefusal reports whether the engine says that it did not run the call.
func (d *Daemon) parseRefusal(exchange *upstream.Exchange) (attemptOutcome, bool) {
	response := exchange.Response
	if response.Header.Get(d.headerNames.NotExecuted) == "" && response.StatusCode != http.StatusMisdirectedRequest {
		return attemptOutcome{}, false
	}
	drainResponse(exchange)
	err := errors.New("turned away with " + strconv.Itoa(response.StatusCode))
	return attemptOutcome{kind: attemptRefused, status: response.StatusCode, err: err}, true
}

// priority is the call's rank at the engine, 0 first. Invariant: a program that has missed its
// time keeps its rank. Engines serve ranks in strict order, so that in an overload the last rank
// waits until its callers give up: a late program would be lost with all that it has cost, and
// its callers would come back to wait again.
func (c *call) priority() int { return min(c.tenant.EffectivePriority(c.route), lowestPriority) }

// upstreamRequest is the call as the engine is to get it.
func (d *Daemon) upstreamRequest(c *call, engine membership.ServingEngine) *upstream.Request {
	header := endToEndHeaders(c.request.Header)
	for _, name := range d.headerNames.Reserved {
		header.Del(name)
	}
	header.Del(d.headerNames.Priority)
	header.Del(d.headerNames.APIKey)
	header.Del(d.headerNames.Tenant)
	if c.tenant != nil {
		header.Set(d.headerNames.Tenant, c.tenant.Name)
	}
	header.Set(d.headerNames.DeadlineMs, strconv.FormatInt(max(c.timeLeft().Milliseconds(), 1), 10))
	header.Set(d.headerNames.ExpectEngine, engine.ID)
	if c.lastEventID > 0 {
		header.Set(d.headerNames.LastEventID, strconv.FormatInt(c.lastEventID, 10))
	}
	if c.route.Kind == routing.KindStream && !d.process.Policy.Disable.Has(scheduling.MechanismEnginePriority) {
		header.Set(d.headerNames.Priority, strconv.Itoa(c.priority()))
	}
	request := &upstream.Request{
		Method: c.request.Method, URI: c.request.RequestURI, Host: c.request.Host, Header: header,
		Body: c.body, HasBody: c.hasBody, ID: c.id, IDHeader: d.headerNames.RequestID,
	}
	if len(c.history) > 0 {
		request.Body = append(append(make([]byte, 0, len(c.history)+len(c.body)), c.history...), c.body...)
	}
	return request
}
