package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
)

// serve handles one request of a caller.
func (d *Daemon) serve(writer http.ResponseWriter, request *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	d.lastRequestMs.Store(clock.NowMs())
	startedAt := time.Now()
	c, failure := d.readRequest(writer, request)
	response := &callerResponse{daemon: d, writer: writer}
	defer response.release()
	defer func() { c.releaseRequest() }()
	if failure == nil {
		failure = d.run(request.Context(), c, response)
	}
	d.logCall(c, request, response, failure, time.Since(startedAt))
	if failure == nil {
		return
	}
	if response.headerWritten || failure.Code == result.Cancelled {
		response.abort(request)
	}
	response.writeError(request, failure)
	if c != nil && c.hasUnreadBody {
		_ = http.NewResponseController(writer).Flush()
		discardBody(request)
	}
}

// abort ends the connection, so that a partial response doesn't look complete. The body of a response
// to HTTP/1.0 ends with its connection, so that only a reset shows that it is partial.
func (r *callerResponse) abort(request *http.Request) {
	if !request.ProtoAtLeast(1, 1) {
		if connection, _, err := http.NewResponseController(r.writer).Hijack(); err == nil {
			resetConnection(connection)
		}
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes a connection with a reset.
func resetConnection(connection net.Conn) {
	if tcp, isTCP := connection.(interface{ SetLinger(seconds int) error }); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// run acquires quota for the call, reserves it at the ledger if it is a turn, and runs it at an
// engine. In the end it settles a reserved turn that was not retained, which releases its hold, and returns
// the quota grants of a call that was not run.
func (d *Daemon) run(ctx context.Context, c *call, response *callerResponse) *result.Error {
	if c.timeLeft() < minSendTime {
		return result.New(result.DeadlinePassed, "%s left until the deadline", c.timeLeft())
	}
	if failure := d.checkDrain(c); failure != nil {
		return failure
	}
	defer func() {
		if c.turnReserved || c.hold != "" {
			d.settleAsync(c, response)
		}
		d.releaseClaim(c)
	}()
	c.latestStart = d.latestStart(c)
	failure := d.openCall(ctx, c)
	if c.isTurn() {
		c.openedAfter = time.Since(c.startedAt)
	}
	if c.isTakeUp() {
		d.logContinuation(c, continuedByCaller, failure)
	}
	if failure == nil {
		d.engines.adjustInFlight(c, 1)
		failure = d.runAttempts(ctx, c, response.deliver)
		d.engines.adjustInFlight(c, -1)
	}
	switch {
	case failure == nil:
		d.serviceTimes.record(c.route.Name, time.Since(c.startedAt)-c.sentAfter)
	case failure.Outcome == result.NotRun:
		d.returnGrants(c)
	}
	return failure
}

// openTurn reserves the turn at the ledger, fetches the history that it continues from, and applies
// admission control if it starts its program.
func (d *Daemon) openTurn(ctx context.Context, c *call) *result.Error {
	ledgerContext, cancel := context.WithDeadline(ctx, c.latestOpening())
	defer cancel()
	reserve := &program.Reserve{
		Program: c.programID, Request: c.turnID, BudgetTokens: c.tokenBudget, MaxTokens: c.maxTokens, Session: c.sessionID, Stream: d.streamOpening(c),
		Fingerprint: c.fingerprint, Claim: d.newClaim(c),
	}
	reply := d.reserveWithHistory(ledgerContext, c, reserve)
	if reply.Error != nil {
		// The reservation may have been made although no reply arrived, or none with a whole history. No
		// engine gets the call, so the reservation has to be settled and nothing charged.
		if reply.Error.Code == result.BudgetExhausted {
			c.hold = ""
			return reply.Error
		}
		c.turnReserved = c.tokenBudget > 0
		c.claim = claim{attempt: reserve.Claim.Attempts[0]}
		return reply.Error
	}
	c.affineEngine = reply.AffineEngine
	c.turnReserved = c.tokenBudget > 0
	c.programInProgress = !reply.IsFirstTurn || c.previousTurn != ""
	if failure := d.claimWithTurn(ctx, c, reserve.Claim, reply); failure != nil {
		return failure
	}
	if failure := d.applyStreamOrigin(c, reply.Stream); failure != nil {
		return failure
	}
	if failure := c.holdHistory(); failure != nil {
		return failure
	}
	if !c.programInProgress {
		return d.admitProgram(c)
	}
	return nil
}

// reserveWithHistory sends the reservation of a turn and sets the history that the turn continues. The
// ledger retains that history while the turn is open. A history in another ledger group is fetched whole,
// and the turn is then reserved without it.
func (d *Daemon) reserveWithHistory(ctx context.Context, c *call, reserve *program.Reserve) *protocol.TurnReply {
	if !c.route.RetainTurns || c.previousTurn == "" {
		return d.ledgers.reserve(ctx, reserve, "")
	}
	reserve.PreviousRequest = c.previousTurn
	c.hold = reserve.Claim.Attempts[0]
	reserve.Hold = &program.Hold{ID: c.hold, DurationMs: c.timeLeft().Milliseconds()}
	cached := d.histories.get(c.previousTurn, c.programID, c.sessionID)
	reply := d.ledgers.reserve(ctx, reserve, cached.turn)
	if reply.Error == nil {
		c.history = cached.extend(reply)
		reply.History = nil
		return reply
	}
	if reply.Error.Code != result.UnknownTurn {
		return reply
	}
	found := d.ledgers.findInOtherGroups(ctx, c.previousTurn, c.programID)
	if found.Error != nil {
		return found
	}
	c.historyInOtherGroup = true
	c.history = found.History
	reserve.PreviousRequest, reserve.Hold = "", nil
	return d.ledgers.reserve(ctx, reserve, "")
}

// admitProgram decides whether a program may start. Invariant: admission control never rejects a
// program in progress, nor one that continues from a retained turn.
func (d *Daemon) admitProgram(c *call) *result.Error {
	decision := d.engines.decideAdmission(c, c.priorityPosition, c.priorityCount)
	if decision.admitted {
		return nil
	}
	failure := result.New(result.Overloaded, "%.1f requests per engine, streams start in time up to %.1f; %d of %d priorities are less urgent",
		decision.concurrency, decision.limit, c.priorityPosition, c.priorityCount)
	if status := decision.shareStatus; status.AboveFairShare {
		failure = result.New(result.ShareUsed, "%.1f of the tenant's requests in flight, its fair share is %.1f; %.1f requests per engine, capacity %.1f",
			status.InFlight, status.Share, decision.concurrency, decision.capacity)
	}
	return failure.WithRetryAfter(time.Duration(decision.retryAfterMs) * time.Millisecond)
}

// latestOpening returns how long the ledger may take to open the call. It may use all the time until
// latestStart: a lost leader is replaced within the time that most callers allow, and after
// latestStart no attempt at an engine is worthwhile.
func (c *call) latestOpening() time.Time {
	return earlier(c.deadline, later(c.latestStart, time.Now().Add(ledgerCallTimeout)))
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

// settleAsync charges a turn that is not retained, in the background so that the caller does not
// wait for it.
func (d *Daemon) settleAsync(c *call, response *callerResponse) {
	settle := &program.Settle{
		Program: c.programID, Request: c.turnID, UsedTokens: response.usedTokens(c), Session: c.sessionID, Engine: c.selection.engine.IncarnationKey(),
		ClosedClaim: c.closedClaim(), ReleasedHold: c.hold,
	}
	c.claim, c.hold = claim{}, ""
	if c.recordsOrigin && response.isComplete {
		settle.EndedStream = c.beginningRequest()
	}
	d.settlements.Add(1)
	go func() {
		defer d.settlements.Add(-1)
		if failure := d.ledgers.settle(settle, settleTimeout); failure != nil {
			d.logFailure("turn not settled", c, failure)
		}
	}()
}

// writeError answers a call that no engine has answered.
func (r *callerResponse) writeError(request *http.Request, failure *result.Error) {
	failure = result.From(failure)
	header := r.writer.Header()
	header.Set("Content-Type", "application/json")
	if id := request.Header.Get(r.daemon.headerNames.RequestID); id != "" {
		header.Set(r.daemon.headerNames.RequestID, id)
	}
	if failure.RetryAfterMs > 0 && failure.Outcome == result.NotRun {
		header.Set("Retry-After", strconv.FormatFloat(float64(failure.RetryAfterMs)/1000, 'f', -1, 64))
	}
	r.closeWhenDraining()
	body, _ := json.Marshal(result.Body{Error: failure})
	header.Set("Content-Length", strconv.Itoa(len(body)+1))
	r.writer.WriteHeader(failure.HTTPStatus())
	_, _ = r.writer.Write(append(body, '\n'))
	r.status = failure.HTTPStatus()
}
