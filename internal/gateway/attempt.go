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
	// started says that a part of the answer has reached the caller.
	started bool
	// tookMs is how long the engine took for a whole answer, 0 for a stream.
	tookMs float64
	// events are those of a stream that went to its end.
	events int64
	err    error
}

// lowestPriority is the last rank at an engine.
const lowestPriority = 9

// demand describes the call to the choice of engines.
func (d *Daemon) demand(c *call, avoid []string) scheduling.SelectionInput {
	demand := scheduling.SelectionInput{ExcludedEngines: avoid, NowMs: clock.NowMs(), RequestKind: c.route.Name}
	switch {
	case c.route.Kind == routing.KindStream:
		demand.IsStream = true
		demand.AffineEngine = c.home
		demand.Prompt = c.prefix
		demand.MaxEvents = c.most / max(c.backend.TokensPerEvent, 1)
		demand.RequiredKVCacheTokens = scheduling.PromptTokens(c.prefix) + c.most
	case c.route.Affinity:
		demand.AffinityKey = c.affinity
	}
	return demand
}

// deliverFunc passes an engine's answer on.
type deliverFunc func(exchange *upstream.Exchange, c *call) attemptOutcome

// attempt sends the call to one engine and has the answer delivered.
func (d *Daemon) attempt(ctx context.Context, c *call, engine membership.ServingEngine, deliver deliverFunc) attemptOutcome {
	timed, stop := context.WithDeadline(ctx, c.deadline)
	defer stop()
	bounded, cancel := context.WithCancelCause(timed)
	defer cancel(nil)
	c.watch = d.watch(bounded, c, cancel)
	defer c.watch.heard()
	exchange, err := d.pool.Do(bounded, engine.Address, d.upstreamRequest(c, engine))
	switch {
	case err == nil:
	case errors.Is(context.Cause(bounded), errSilent):
		return attemptOutcome{kind: attemptBroken, err: errSilent}
	case bounded.Err() != nil:
		return attemptOutcome{kind: attemptCancelled, err: bounded.Err()}
	case errors.Is(err, upstream.ErrNotSent):
		return attemptOutcome{kind: attemptNotSent, err: err}
	default:
		return attemptOutcome{kind: attemptBroken, err: err}
	}
	defer exchange.Close()
	if refusal, refused := d.refused(exchange); refused {
		return refusal
	}
	d.queues.leave(c, true)
	outcome := deliver(exchange, c)
	switch {
	case outcome.kind != attemptBroken:
	case errors.Is(context.Cause(bounded), errSilent):
		outcome.err = errSilent
	case bounded.Err() != nil:
		outcome.kind = attemptCancelled
	}
	return outcome
}

// refused reports whether the engine says that it did not run the call.
func (d *Daemon) refused(exchange *upstream.Exchange) (attemptOutcome, bool) {
	response := exchange.Response
	if response.Header.Get(d.headers.NotExecuted) == "" && response.StatusCode != http.StatusMisdirectedRequest {
		return attemptOutcome{}, false
	}
	drain(exchange)
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
	header := forwarded(c.request.Header)
	for _, name := range d.headers.Reserved {
		header.Del(name)
	}
	header.Del(d.headers.Priority)
	header.Del(d.headers.APIKey)
	header.Del(d.headers.Tenant)
	if c.tenant != nil {
		header.Set(d.headers.Tenant, c.tenant.Name)
	}
	header.Set(d.headers.DeadlineMs, strconv.FormatInt(max(c.timeLeft().Milliseconds(), 1), 10))
	header.Set(d.headers.ExpectEngine, engine.ID)
	if c.lastEvent > 0 {
		header.Set(d.headers.LastEventID, strconv.FormatInt(c.lastEvent, 10))
	}
	if c.route.Kind == routing.KindStream && !d.process.Policy.Disable.Has(scheduling.MechanismEnginePriority) {
		header.Set(d.headers.Priority, strconv.Itoa(c.priority()))
	}
	request := &upstream.Request{
		Method: c.request.Method, URI: c.request.RequestURI, Host: c.request.Host, Header: header,
		Body: c.body, HasBody: c.hasBody, ID: c.id, IDHeader: d.headers.RequestID,
	}
	if len(c.chain) > 0 {
		request.Body = append(append(make([]byte, 0, len(c.chain)+len(c.body)), c.chain...), c.body...)
	}
	return request
}
