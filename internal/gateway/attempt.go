package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/result"
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
	// attemptCancelled means that the caller left or the call's time was over.
	attemptCancelled
)

// String names the kind for logs.
func (k attemptKind) String() string {
	return [...]string{"answered", "not_sent", "refused", "broken", "cancelled"}[k]
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

const (
	// roomPause is the first pause after all engines turned a call away; it grows up
	// to longestRoomPause. A call is given up when only a roomShare-th of its time is
	// left.
	roomPause        = 8 * time.Millisecond
	longestRoomPause = 60 * time.Millisecond
	roomShare        = 2
	// endedTimeout bounds the look whether an engine is gone.
	endedTimeout = 100 * time.Millisecond
	// lowestPriority is the last rank at an engine.
	lowestPriority = 9
	// shortestSend is the least time that a send to an engine makes sense for.
	shortestSend = 5 * time.Millisecond
)

// serveAttempts sends a call to engines until one answers or none may be asked any
// more; it returns what to tell the caller, nil where the answer was passed on.
// Invariant: a call that is not repeatable is sent again only where every send
// before was not run; the error says "not run" only where all sends were not.
func (d *Daemon) serveAttempts(ctx context.Context, c *call, deliver deliverFunc) *result.Error {
	var avoid []string
	// runs counts the engines that may still work on the call; mayHaveRun says that
	// any may have begun to.
	runs := 0
	mayHaveRun := false
	rounds := 0
	for {
		chosen, found := d.engines.choose(c.backend, d.demand(c, avoid))
		if !found {
			rounds++
			if mayHaveRun || !d.waitForRoom(ctx, c, rounds) {
				return d.noEngine(c, mayHaveRun, avoid)
			}
			avoid = nil
			continue
		}
		if failure := d.maySend(ctx, c, mayHaveRun); failure != nil {
			d.engines.notSent(chosen, clock.NowMs())
			return failure
		}
		engine := chosen.engine
		c.attempts++
		c.engine = engine.ID
		c.chosen = chosen
		c.sent = time.Since(c.started)
		outcome := d.attempt(ctx, c, engine, deliver)
		d.engines.ended(c, clock.NowMs(), outcome)
		d.logAttempt(c, engine, outcome)
		avoid = append(avoid, engine.ID)
		switch outcome.kind {
		case attemptAnswered:
			return nil
		case attemptCancelled:
			return cancelled(c, outcome)
		case attemptBroken:
			mayHaveRun = true
			// An engine that has ended works on nothing any more, so that it does not count
			// among those that the call may run on.
			if !c.route.Repeatable() || !d.ended(engine) {
				runs++
			}
			if !d.mayContinue(c, outcome) || runs >= max(c.route.MaxAttempts, 1) {
				return result.New(result.OutcomeUnknown, "engine %s broke off: %v", engine.ID, outcome.err)
			}
		}
		if c.timeLeft() < shortestSend {
			return exhausted(c, mayHaveRun, outcome)
		}
	}
}

// mayContinue reports whether a call that an engine broke off may be sent to another
// one: it is repeatable, and what has reached the caller can be gone on from.
func (d *Daemon) mayContinue(c *call, outcome attemptOutcome) bool {
	if !c.route.Repeatable() || (outcome.started && d.process.Policy.Disable.Has(scheduling.MechanismTakeUp)) {
		return false
	}
	return !outcome.started || (c.route.Resumable && !c.keeps() && c.lastEvent > 0)
}

// ended reports whether an engine is gone: nobody listens at its address.
func (d *Daemon) ended(engine membership.ServingEngine) bool {
	socket, err := net.DialTimeout("tcp", engine.Address, endedTimeout)
	if err == nil {
		_ = socket.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// waitForRoom waits before the engines are asked once more that all turned the call
// away, or before one may have come; false where the call is better refused, so that
// its caller hears so while it can still come back.
func (d *Daemon) waitForRoom(ctx context.Context, c *call, rounds int) bool {
	pause := min(roomPause<<min(rounds-1, 4), longestRoomPause)
	pause += rand.N(pause)
	total := c.deadline.Sub(c.started)
	if c.timeLeft()-pause < total/roomShare {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// demand describes the call to the choice of engines.
func (d *Daemon) demand(c *call, avoid []string) scheduling.Demand {
	demand := scheduling.Demand{Avoid: avoid, NowMs: clock.NowMs(), Kind: c.route.Name}
	switch {
	case c.route.Kind == routing.KindStream:
		demand.Stream = true
		demand.Home = c.home
		demand.Prompt = c.prefix
		demand.Events = c.most / max(c.backend.EventTokens, 1)
		demand.HoldTokens = scheduling.PromptTokens(c.prefix) + c.most
	case c.route.Affinity:
		demand.Key = c.affinity
	}
	return demand
}

func (d *Daemon) noEngine(c *call, mayHaveRun bool, avoid []string) *result.Error {
	if mayHaveRun {
		return result.New(result.OutcomeUnknown, "%d sends, one of them broken off", c.attempts)
	}
	if len(avoid) > 0 {
		return result.New(result.EngineRefused, "all %d engines of %s that were asked turned the call away", len(avoid), c.backend.Name).
			WithRetryAfter(refusalPause)
	}
	return result.New(result.NoEngine, "no engine of %s", c.backend.Name).WithRetryAfter(refusalPause)
}

func exhausted(c *call, mayHaveRun bool, last attemptOutcome) *result.Error {
	if mayHaveRun {
		return result.New(result.OutcomeUnknown, "%d sends, the last: %v", c.attempts, last.err)
	}
	return result.New(result.EngineRefused, "%d sends, the last: %v", c.attempts, last.err).WithRetryAfter(refusalPause)
}

// cancelled answers a call whose caller left or whose time is over.
func cancelled(c *call, outcome attemptOutcome) *result.Error {
	if c.timeLeft() > 0 {
		return result.New(result.Cancelled, "the caller left: %v", outcome.err)
	}
	return result.New(result.EngineTimeout, "no answer within %s", time.Since(c.started).Round(time.Millisecond))
}

// deliverFunc passes an engine's answer on.
type deliverFunc func(exchange *upstream.Exchange, c *call) attemptOutcome

// attempt sends the call to one engine and has the answer delivered.
func (d *Daemon) attempt(ctx context.Context, c *call, engine membership.ServingEngine, deliver deliverFunc) attemptOutcome {
	bounded, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	exchange, err := d.pool.Do(bounded, engine.Address, d.upstreamRequest(c, engine))
	switch {
	case err == nil:
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
	outcome := deliver(exchange, c)
	if outcome.kind == attemptBroken && bounded.Err() != nil {
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

// priority is the call's rank at the engine, 0 first: a program that can't end in
// time any more makes way for those that can.
func (c *call) priority() int {
	if c.programLate {
		return lowestPriority
	}
	return min(c.tenant.Rank(c.route), lowestPriority-1)
}

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
	if c.route.Kind == routing.KindStream && !d.process.Policy.Disable.Has(scheduling.MechanismRank) {
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
