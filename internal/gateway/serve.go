package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/result"
)

// serve carries one caller's request through.
func (d *Daemon) serve(writer http.ResponseWriter, request *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	d.lastRequest.Store(clock.NowMs())
	began := time.Now()
	c, failure := d.intake(writer, request)
	out := &answer{daemon: d, writer: writer}
	if failure == nil {
		failure = d.run(request.Context(), c, out)
	}
	d.logCall(c, request, out, failure, time.Since(began))
	if failure == nil {
		return
	}
	if out.started || failure.Code == result.Cancelled {
		// What has been passed on must not look complete.
		panic(http.ErrAbortHandler)
	}
	out.refuse(request, failure)
}

// run reserves a turn where the call is one, has an engine serve it, and settles.
func (d *Daemon) run(ctx context.Context, c *call, out *answer) *result.Error {
	if c.timeLeft() < shortestSend {
		return result.New(result.DeadlinePassed, "%s left", c.timeLeft())
	}
	defer func() {
		if c.reserved {
			d.settleLater(c, out)
		}
	}()
	c.latest = d.latestStart(c)
	failure := d.open(ctx, c)
	if c.isTurn() {
		c.opened = time.Since(c.started)
	}
	if failure == nil {
		d.engines.underWay(c, 1)
		failure = d.serveAttempts(ctx, c, out.deliver)
		d.engines.underWay(c, -1)
	}
	switch {
	case failure == nil:
		d.services.served(c.route.Name, time.Since(c.started)-c.sent)
	case failure.Outcome == result.NotRun:
		d.returnQuota(c)
	}
	return failure
}

// openTurn has the ledger reserve the turn and fetches the chain it goes on from.
func (d *Daemon) openTurn(ctx context.Context, c *call) *result.Error {
	// A leader that is lost is replaced within the time that most callers have; no engine is
	// worth asking after it, so there is nothing else to keep the time for.
	bounded, cancel := context.WithDeadline(ctx, earlier(c.deadline, later(c.latest, time.Now().Add(ledgerTry))))
	defer cancel()
	reserve := &program.Reserve{Program: c.program, Request: c.turn, BudgetTokens: c.budget, MaxTokens: c.most, Session: c.session}
	var known cachedChain
	if c.route.RetainTurns && c.previous != "" {
		reserve.PreviousRequest = c.previous
		known = d.chains.get(c.previous, c.program, c.session)
	}
	reply := d.ledgers.reserve(bounded, reserve, known.turn)
	if reply.Error != nil && reply.Error.Code == result.UnknownTurn {
		found := d.ledgers.findElsewhere(bounded, c.previous, c.program)
		if found.Error != nil {
			return found.Error
		}
		c.foreign = true
		c.chain = found.Chain
		reserve.PreviousRequest = ""
		reply = d.ledgers.reserve(bounded, reserve, "")
	}
	if reply.Error != nil {
		// The reservation may stand although nobody said so; no engine gets the call, so
		// nothing of it may stay charged.
		c.reserved = c.budget > 0 && reply.Error.Code == result.LedgerUnreachable
		return reply.Error
	}
	c.home = reply.Engine
	if !c.foreign && reserve.PreviousRequest != "" {
		c.chain = known.continued(reply)
	}
	c.reserved = c.budget > 0
	c.begun = !reply.First || c.previous != ""
	if !c.begun {
		return d.admit(c)
	}
	return nil
}

// admit decides whether a program may begin. Invariant: a program that has begun is never
// rejected for want of capacity, nor one that goes on from a kept turn.
func (d *Daemon) admit(c *call) *result.Error {
	decision := d.engines.admit(c, c.rankPosition, c.ranks)
	if decision.admitted {
		return nil
	}
	failure := result.New(result.Overloaded, "%.1f requests an engine, begun in time up to %.1f; rank %d of %d",
		decision.concurrency, decision.limit, c.rankPosition, c.ranks)
	if position := decision.position; position.AboveFairShare {
		failure = result.New(result.ShareUsed, "%.1f of the tenant's requests under way, its share %.1f; %.1f requests an engine, room for %.1f",
			position.InFlight, position.Share, decision.concurrency, decision.room)
	}
	return failure.WithRetryAfter(time.Duration(decision.retryAfterMs) * time.Millisecond)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// settleLater charges a turn that is not kept; the caller need not wait for it.
func (d *Daemon) settleLater(c *call, out *answer) {
	settle := &program.Settle{Program: c.program, Request: c.turn, UsedTokens: out.used(c), Session: c.session, Engine: c.chosen.engine.IncarnationKey()}
	go func() {
		if failure := d.ledgers.settle(settle, settleTimeout); failure != nil {
			d.logFailure("turn not settled", c, failure)
		}
	}()
}

// refuse answers a call that no engine has answered.
func (a *answer) refuse(request *http.Request, failure *result.Error) {
	failure = result.From(failure)
	header := a.writer.Header()
	header.Set("Content-Type", "application/json")
	if id := request.Header.Get(a.daemon.headers.RequestID); id != "" {
		header.Set(a.daemon.headers.RequestID, id)
	}
	if failure.RetryAfterMs > 0 && failure.Outcome == result.NotRun {
		header.Set("Retry-After", strconv.FormatFloat(float64(failure.RetryAfterMs)/1000, 'f', -1, 64))
	}
	a.closeWhenDraining()
	body, _ := json.Marshal(result.Body{Error: failure})
	header.Set("Content-Length", strconv.Itoa(len(body)+1))
	a.writer.WriteHeader(failure.HTTPStatus())
	_, _ = a.writer.Write(append(body, '\n'))
	a.status = failure.HTTPStatus()
}
