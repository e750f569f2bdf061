package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/ochrebay/ochrebay/internal/attempts"
	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

// attemptKind classifies how one attempt at an engine ended.
type attemptKind uint8

const (
	// attemptAnswered means that the engine's response was forwarded in full.
	attemptAnswered attemptKind = iota
	// attemptNotSent means that no part of the request reached the engine.
	attemptNotSent
	// attemptRefused means that the engine stated that it did not run the request.
	attemptRefused
	// attemptBroken means that the engine may have run the request.
	attemptBroken
	// attemptFailed means that the engine ran the request and responded with a failure, which
	// was not forwarded to the caller.
	attemptFailed
	// attemptCancelled means that the caller disconnected, the call's deadline passed or the gateway
	// is stopping.
	attemptCancelled
)

// String returns the name of the kind in logs and metrics.
func (k attemptKind) String() string {
	return [...]string{"answered", "not_sent", "refused", "broken", "failed", "cancelled"}[k]
}

// attemptOutcome describes how one attempt at an engine ended.
type attemptOutcome struct {
	kind   attemptKind
	status int
	// responseStarted is true if a part of the response was written to the caller.
	responseStarted bool
	// responseMs is the time until a buffered response was complete, in milliseconds, 0 for a
	// stream.
	responseMs float64
	// streamEvents is the number of events of a stream that completed.
	streamEvents int64
	// isEngineSound is true if the attempt broke off although the engine did its part.
	isEngineSound bool
	// isNotSent is true if no part of the request reached the engine, and isRunComplete if the engine has
	// sent its whole response.
	isNotSent     bool
	isRunComplete bool
	// engineState is the state of the engine after an interrupted attempt.
	engineState engineState
	// lastEventMs is the clock.NowMs time at which the engine sent its latest event, 0 for none.
	lastEventMs int64
	// runDeadline is when the engine stops the run at the latest.
	runDeadline time.Time
	err         error
}

// lowestPriority is the least urgent priority at an engine.
const lowestPriority = 9

// selectionInput returns the properties of the call that engine selection depends on. Engines in
// excluded are not selected.
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

// selectEngine selects the engine for the next attempt of a call. A call under whose request an engine
// has ended goes, if possible, to an engine where it puts few other requests at risk. One whose claim names an engine
// goes to no other.
func (d *Daemon) selectEngine(c *call, excluded []string) (selection, bool) {
	if c.claim.engine != "" {
		excluded = append(d.engines.othersThan(c.backend.Name, c.claim.engine), excluded...)
		return d.engines.selectEngine(c.backend, d.selectionInput(c, excluded), c.requirement, true)
	}
	if len(c.crashedAttempts) > 0 {
		isLastAllowed := program.CountEngines(c.crashedAttempts) >= d.crashLimit()-1
		spared := d.engines.enginesToSpare(c.backend.Name, c.requirement, excluded, isLastAllowed, clock.NowMs())
		if selected, found := d.engines.selectEngine(c.backend, d.selectionInput(c, append(spared, excluded...)), c.requirement, true); found {
			return selected, true
		}
	}
	return d.engines.selectEngine(c.backend, d.selectionInput(c, excluded), c.requirement, len(c.crashedAttempts) > 0)
}

// deliverFunc forwards an engine's response to the caller.
type deliverFunc func(ctx context.Context, exchange *upstream.Exchange, c *call) attemptOutcome

// attempt sends the call to one engine and delivers the response.
func (d *Daemon) attempt(ctx context.Context, c *call, engine membership.ServingEngine, deliver deliverFunc) attemptOutcome {
	request := d.upstreamRequest(c, engine)
	request.NeedsNewConnection = c.claim.engine != ""
	timeGiven := max(c.timeLeft(), time.Millisecond)
	outcome := d.exchange(ctx, c, engine, request, deliver)
	outcome.runDeadline = runDeadline(request, timeGiven)
	return outcome
}

// runDeadline returns when an engine stops the run of a request at the latest. It counts the time that it was given
// from when it has received the request; a request whose write has not ended may have been received just now.
func runDeadline(request *upstream.Request, timeGiven time.Duration) time.Time {
	receivedAt, isWritten := request.WrittenAt()
	if !isWritten {
		receivedAt = time.Now()
	}
	return receivedAt.Add(timeGiven)
}

// exchange sends a request to an engine and delivers the response.
func (d *Daemon) exchange(ctx context.Context, c *call, engine membership.ServingEngine, request *upstream.Request, deliver deliverFunc) attemptOutcome {
	deadlineContext, stopDeadline := context.WithDeadline(ctx, c.deadline)
	defer stopDeadline()
	attemptContext, cancel := context.WithCancelCause(deadlineContext)
	defer cancel(nil)
	c.responseTimer = d.startResponseTimer(attemptContext, c, cancel)
	defer c.responseTimer.stop()
	exchange, err := d.pool.Do(attemptContext, engine.Address, request)
	switch {
	case err == nil:
	case errors.Is(context.Cause(attemptContext), errResponseTimeout):
		return attemptOutcome{kind: attemptBroken, isNotSent: errors.Is(err, upstream.ErrNotSent), err: errResponseTimeout}
	case attemptContext.Err() != nil:
		return attemptOutcome{kind: attemptCancelled, isNotSent: errors.Is(err, upstream.ErrNotSent), err: context.Cause(attemptContext)}
	case errors.Is(err, upstream.ErrNotSent):
		return attemptOutcome{kind: attemptNotSent, isNotSent: true, err: err}
	default:
		return attemptOutcome{kind: attemptBroken, err: err}
	}
	defer exchange.Close()
	if exchange.Response.StatusCode != http.StatusMisdirectedRequest {
		d.closeOutlivedAttempts(c, engine, attempts.SignOfLife{ConnectionOpenedAt: exchange.ConnectionOpenedAt(), RequestSentAt: c.startedAt.Add(c.sentAfter)})
	}
	if refusal, refused := d.parseRefusal(c, exchange); refused {
		return refusal
	}
	d.waitQueues.leave(c, true)
	outcome := deliver(attemptContext, exchange, c)
	outcome.isRunComplete = exchange.HasEnded()
	switch {
	case outcome.kind != attemptBroken:
	case errors.Is(context.Cause(attemptContext), errResponseTimeout):
		outcome.err = errResponseTimeout
	case attemptContext.Err() != nil:
		outcome.kind = attemptCancelled
		outcome.err = context.Cause(attemptContext)
	}
	return outcome
}

// parseRefusal reports whether the response states that the engine did not run the call. Its status alone
// never states that, and neither does a response to a call without an ID, which may belong to no request.
func (d *Daemon) parseRefusal(c *call, exchange *upstream.Exchange) (attemptOutcome, bool) {
	response := exchange.Response
	if response.Header.Get(d.headerNames.NotExecuted) == "" || c.id == "" {
		return attemptOutcome{}, false
	}
	drainResponse(exchange)
	err := errors.New("engine refused the request with status " + strconv.Itoa(response.StatusCode))
	return attemptOutcome{kind: attemptRefused, status: response.StatusCode, err: err}, true
}

// priority returns the call's priority at the engine, 0 being the most urgent. Invariant: a program
// that has missed its finish time keeps its priority. Engines serve priorities in strict order, so
// in an overload requests of the lowest priority wait until their callers give up. Demoting a late
// program would waste all the work already done for it, and its callers would retry and wait again.
func (c *call) priority() int { return min(c.tenant.EffectivePriority(c.route), lowestPriority) }

// upstreamRequest returns the call in the form that is sent to the engine: without headers that
// concern one connection or that only gateways set, and with the body preceded by the history that
// the turn continues from.
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
	if c.id != "" {
		header.Set(d.headerNames.RequestID, c.id)
	}
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
