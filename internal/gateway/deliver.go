package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ochrebay/ochrebay/internal/bytebudget"
	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/eventstream"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

const (
	// maxBufferedBytes bounds a response that is buffered in full before it is forwarded; a
	// longer one is streamed to the caller.
	maxBufferedBytes = 256 << 10
	minBufferBytes   = 4 << 10
	copyBufferBytes  = 32 << 10
	// maxOutputBytes bounds the output of a turn that is to be retained.
	maxOutputBytes = 8 << 20
)

var (
	errMissingSignature = errors.New("successful response has no signature")
	errTurnNotRetained  = errors.New("ledger did not retain the turn")
	// errOutputTooLong means that the events of a turn that is to be retained hold more than maxOutputBytes, or
	// that there is no memory for more of them.
	errOutputTooLong = errors.New("output of the turn too long")
	// errNoEvent means that a response brought no event and ended with its connection. Nothing tells
	// it from one whose engine ended before the first event.
	errNoEvent          = errors.New("event stream ended with its connection before its first event")
	errStreamNotResumed = errors.New("engine did not resume the stream")
	errCallerWrite      = errors.New("writing the response to the caller failed")
)

// drainResponse reads the rest of a response so that its connection can be reused.
func drainResponse(exchange *upstream.Exchange) {
	_, _ = io.CopyN(io.Discard, exchange, maxBufferedBytes)
}

// callerResponse forwards the response of one call to its caller, over all attempts.
type callerResponse struct {
	daemon *Daemon
	writer http.ResponseWriter
	// headerWritten is true once the status line and the header were written.
	headerWritten bool
	// resumed is true if the stream continues one from an earlier attempt.
	resumed bool
	// events counts the forwarded events over all attempts. firstEventAt and lastEventAt are
	// the times at which the first and the latest of them arrived.
	events       int64
	firstEventAt time.Time
	lastEventAt  time.Time
	// eventGaps counts the gaps between events in the current attempt, and shortestGapMs is the
	// shortest of them in milliseconds. In a resumed stream the first gap starts at the last event
	// of the previous attempt.
	eventGaps     int
	shortestGapMs float64
	// isComplete is true if the whole stream was forwarded.
	isComplete bool
	// outputData collects the event data of a turn that is to be retained, in outputMemory.
	outputData   []byte
	outputMemory *bytebudget.Reservation
	status       int
}

// deliver forwards an engine's response: streams event by event, other responses buffered.
func (r *callerResponse) deliver(ctx context.Context, exchange *upstream.Exchange, c *call) attemptOutcome {
	response := exchange.Response
	c.framing = exchange.Framing()
	success := isSuccess(response.StatusCode)
	if success && response.Header.Get(r.daemon.headerNames.Signature) == "" {
		return attemptOutcome{kind: attemptBroken, status: response.StatusCode, err: errMissingSignature}
	}
	if impliesNotRun(response.StatusCode) {
		// The status would tell the caller that the call was not run, which the engine
		// did not state.
		return attemptOutcome{kind: attemptBroken, status: response.StatusCode, err: fmt.Errorf("engine responded with status %d but did not state that the call was not run", response.StatusCode)}
	}
	if success && c.route.Kind == routing.KindStream && eventstream.IsEventStream(response.Header) {
		return r.deliverStream(ctx, exchange, c)
	}
	if r.headerWritten {
		// A response that has started as an event stream can only continue with events.
		return attemptOutcome{kind: attemptBroken, status: response.StatusCode, responseStarted: true, err: errStreamNotResumed}
	}
	return r.deliverBuffered(exchange, c)
}

// impliesNotRun reports whether a status tells callers that their call was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// deliverBuffered buffers a response of less than maxBufferedBytes until it is complete, so that
// the call can still be retried or answered with an error if the engine breaks the connection. A longer one,
// and one for which there is no memory, is streamed to the caller.
func (r *callerResponse) deliverBuffered(exchange *upstream.Exchange, c *call) attemptOutcome {
	body := io.Reader(exchange)
	status := exchange.Response.StatusCode
	isStream := isSuccess(status) && eventstream.IsEventStream(exchange.Response.Header)
	if isStream {
		body = eventstream.Verify(exchange)
	}
	memory := r.daemon.responseMemory.Reserve()
	defer memory.Release()
	buffered, isWhole, err := readBuffered(body, memory)
	if err != nil {
		return attemptOutcome{kind: attemptBroken, status: status, err: err}
	}
	if isStream && len(buffered) == 0 && exchange.Framing() == upstream.CloseDelimited {
		return attemptOutcome{kind: attemptBroken, status: status, err: errNoEvent}
	}
	c.responseTimer.stop()
	elapsedMs := milliseconds(time.Since(c.startedAt.Add(c.sentAfter)))
	if isWhole && isEngineFailure(status) && r.daemon.canRetry(c) && r.daemon.retries.tryTake(c.backend.Name) {
		return attemptOutcome{kind: attemptFailed, status: status, err: errEngineFailure}
	}
	if isWhole {
		r.writeHeader(exchange.Response, len(buffered))
		if _, err := r.writer.Write(buffered); err != nil {
			return attemptOutcome{kind: attemptCancelled, status: status, responseStarted: true, err: errors.Join(errCallerWrite, err)}
		}
		return attemptOutcome{kind: attemptAnswered, status: status, responseStarted: true, responseMs: elapsedMs}
	}
	r.writeHeader(exchange.Response, -1)
	if _, err := r.writer.Write(buffered); err != nil {
		return attemptOutcome{kind: attemptCancelled, status: status, responseStarted: true, err: errors.Join(errCallerWrite, err)}
	}
	source := &sourceReader{source: body}
	if _, err := io.CopyBuffer(r.writer, source, make([]byte, copyBufferBytes)); err != nil {
		outcome := attemptOutcome{kind: attemptBroken, status: status, responseStarted: true, err: err}
		if !source.hasFailed {
			outcome.kind, outcome.err = attemptCancelled, errors.Join(errCallerWrite, err)
		}
		return outcome
	}
	return attemptOutcome{kind: attemptAnswered, status: status, responseStarted: true, responseMs: elapsedMs}
}

// readBuffered reads a body to its end, to maxBufferedBytes, or until there is no memory for more of it.
// isWhole reports that it has been read to its end.
func readBuffered(body io.Reader, memory *bytebudget.Reservation) (buffered []byte, isWhole bool, err error) {
	buffered = make([]byte, 0, minBufferBytes)
	for len(buffered) < maxBufferedBytes {
		if len(buffered) == cap(buffered) {
			if !memory.Grow(int64(2 * cap(buffered))) {
				return buffered, false, nil
			}
			buffered = append(make([]byte, 0, 2*cap(buffered)), buffered...)
		}
		count, err := body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+count]
		if errors.Is(err, io.EOF) {
			return buffered, true, nil
		}
		if err != nil {
			return buffered, false, err
		}
	}
	return buffered, false, nil
}

// sourceReader tells errors of reading a response from those of writing it.
type sourceReader struct {
	source    io.Reader
	hasFailed bool
}

// Read implements io.Reader.
func (r *sourceReader) Read(into []byte) (int, error) {
	count, err := r.source.Read(into)
	r.hasFailed = err != nil && !errors.Is(err, io.EOF)
	return count, err
}

// writeHeader writes the engine's status and headers to the caller. length is the length of the
// body in bytes, -1 if it is unknown.
func (r *callerResponse) writeHeader(response *http.Response, length int) {
	header := r.writer.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	r.closeWhenDraining()
	r.writer.WriteHeader(response.StatusCode)
	r.headerWritten = true
	r.status = response.StatusCode
}

// closeWhenDraining makes the caller open a new connection for its next request while this gateway
// drains, so that the request can go to another gateway.
func (r *callerResponse) closeWhenDraining() {
	if r.daemon.drain.hasBegun() {
		r.writer.Header().Set("Connection", "close")
	}
}

// deliverStream forwards whole events as they arrive. Invariant: a part of an event is never
// forwarded, so that a stream that breaks off can be resumed after its last event. The caller gets the
// header with the first event: up to then the call can be sent again or answered with an error.
func (r *callerResponse) deliverStream(ctx context.Context, exchange *upstream.Exchange, c *call) attemptOutcome {
	outcome := attemptOutcome{kind: attemptBroken, status: exchange.Response.StatusCode, responseStarted: r.headerWritten}
	if c.responseTimer.stopAndCheck() {
		outcome.err = errResponseTimeout
		return outcome
	}
	if !c.awaitOrigin(ctx) {
		outcome.err, outcome.isEngineSound = errOriginNotRecorded, true
		return outcome
	}
	r.resumed = r.headerWritten
	r.eventGaps = 0
	defer func() { r.daemon.engines.observeStreamPace(c, r.eventGaps, r.shortestGapMs) }()
	outcome.kind, outcome.err = r.forwardEvents(exchange, c)
	if r.events > 0 {
		outcome.lastEventMs = clock.NowMs() - time.Since(r.lastEventAt).Milliseconds()
	}
	if outcome.kind == attemptAnswered && !r.headerWritten {
		r.writeHeader(exchange.Response, -1)
	}
	outcome.isEngineSound = errors.Is(outcome.err, errTurnNotRetained)
	outcome.responseStarted = r.headerWritten
	outcome.streamEvents = r.events
	r.isComplete = outcome.kind == attemptAnswered
	return outcome
}

// forwardEvents forwards the events of one engine's response and, at the end of a whole stream,
// retains the turn.
func (r *callerResponse) forwardEvents(exchange *upstream.Exchange, c *call) (attemptKind, error) {
	flusher, _ := r.writer.(http.Flusher)
	reader := eventstream.NewBoundedReader(exchange, r.daemon.process.Limits.EventBytes, r.daemon.responseMemory)
	defer reader.Close()
	eventsBefore := r.events
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			c.incompleteEventBytes = reader.IncompleteBytes()
			return attemptBroken, err
		}
		if err := r.forwardEvent(exchange.Response, event, c, flusher); err != nil {
			if errors.Is(err, errOutputTooLong) {
				return attemptBroken, err
			}
			return attemptCancelled, err
		}
	}
	if r.events == eventsBefore && exchange.Framing() == upstream.CloseDelimited {
		return attemptBroken, errNoEvent
	}
	// Invariant: a turn is retained before its caller can see the response as complete.
	if c.retainsTurn() && !r.retainTurn(c) {
		return attemptBroken, errTurnNotRetained
	}
	return attemptAnswered, nil
}

// forwardEvent writes one event to the caller and collects its data if the turn is to be retained. The error
// is errCallerWrite or errOutputTooLong.
func (r *callerResponse) forwardEvent(response *http.Response, event []byte, c *call, flusher http.Flusher) error {
	data, hasData := eventstream.Data(event)
	if id, known := eventstream.ID(event); known {
		if r.resumed && id <= c.lastEventID {
			// An engine that resumes from an earlier event repeats events that the caller
			// already has.
			return nil
		}
		c.lastEventID = id
	}
	if hasData && c.retainsTurn() && !r.collectOutput(data) {
		return errOutputTooLong
	}
	if hasData {
		c.requireVersion(c.selection.engine)
		r.recordEvent(c)
	}
	if !r.headerWritten {
		r.writeHeader(response, -1)
	}
	if _, err := r.writer.Write(event); err != nil {
		return errCallerWrite
	}
	flusher.Flush()
	return nil
}

// collectOutput appends the data of an event to the output of a turn that is to be retained. It returns false
// if the output is too long.
func (r *callerResponse) collectOutput(data []byte) bool {
	if r.outputMemory == nil {
		r.outputMemory = r.daemon.responseMemory.Reserve()
	}
	length := len(r.outputData) + len(data) + 1
	if length > maxOutputBytes || !r.outputMemory.Grow(int64(length)) {
		return false
	}
	r.outputData = append(append(r.outputData, data...), '\n')
	return true
}

// release returns the memory of the collected output.
func (r *callerResponse) release() {
	if r.outputMemory != nil {
		r.outputMemory.Release()
	}
}

// recordEvent counts an event and feeds its latency to engine selection and, for the first event,
// to the retry policy and the metrics.
func (r *callerResponse) recordEvent(c *call) {
	now := time.Now()
	r.events++
	if r.firstEventAt.IsZero() {
		r.firstEventAt = now
		c.responseTimer.stop()
		r.daemon.retries.recordResponse(c, clock.NowMs(), milliseconds(now.Sub(c.startedAt.Add(c.sentAfter))))
		r.daemon.metrics.firstEvent.WithLabelValues().Observe(now.Sub(c.startedAt.Add(c.sentAfter)).Seconds())
		r.daemon.engines.observeFirstEvent(c, milliseconds(now.Sub(c.startedAt.Add(c.sentAfter))))
	} else {
		gapMs := milliseconds(now.Sub(r.lastEventAt))
		r.daemon.engines.observeEventGap(c, gapMs)
		if r.eventGaps == 0 || gapMs < r.shortestGapMs {
			r.shortestGapMs = gapMs
		}
		r.eventGaps++
	}
	r.lastEventAt = now
}

// milliseconds returns a duration in milliseconds, with microsecond resolution.
func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// retainTurn settles the turn at the ledger and stores its content there. It returns false if that
// fails. If the history belongs to another ledger group, it is stored as part of the turn.
func (r *callerResponse) retainTurn(c *call) bool {
	chain := slices.Concat(c.history, c.body, r.outputData)
	content := chain[len(c.history):]
	settle := &program.Settle{
		Program: c.programID, Request: c.turnID, UsedTokens: r.usedTokens(c), Retain: true, PreviousRequest: c.previousTurn,
		Session: c.sessionID, Engine: c.selection.engine.IncarnationKey(), Content: content, RetentionMs: c.turnRetentionMs(),
		ClosedClaim: c.closedClaim(), ReleasedHold: c.hold,
	}
	if c.historyInOtherGroup {
		settle.PreviousRequest = ""
		settle.Content = chain
	}
	startedAt := time.Now()
	failure := r.daemon.ledgers.settle(settle, r.retainTimeout(c))
	c.retainTime = time.Since(startedAt)
	if failure != nil {
		r.daemon.logFailure("turn not retained", c, failure)
		// The settlement may have closed the claim, so that no further attempt may use it.
		r.daemon.releaseClaim(c)
		return false
	}
	c.turnReserved = false
	c.claim, c.hold = claim{}, ""
	r.daemon.histories.put(c.turnID, c.programID, c.sessionID, chain)
	return true
}

// turnRetentionMs returns how long the ledger retains the turn, in milliseconds: for the retention of its
// route and, since a request that is sent within that may have to wait for the ledger, for the time-out of the
// route besides.
func (c *call) turnRetentionMs() int64 { return c.route.RetentionMs + c.route.TimeoutMs }

// retainTimeout returns how long the gateway tries to retain a turn whose response is complete: as
// long as the caller still waits for the end of the stream, and at least ledgerCallTimeout.
func (r *callerResponse) retainTimeout(c *call) time.Duration {
	latestEnd := c.deadline
	if c.route.PatienceMs > 0 && !r.lastEventAt.IsZero() {
		latestEnd = earlier(latestEnd, r.lastEventAt.Add(time.Duration(c.route.PatienceMs)*time.Millisecond))
	}
	return max(time.Until(latestEnd), ledgerCallTimeout)
}

// usedTokens returns the number of generated tokens that were forwarded to the caller, computed
// from the number of events. It is at most the turn's maximum, but at least one per event.
func (r *callerResponse) usedTokens(c *call) int64 {
	return min(r.events*max(c.backend.TokensPerEvent, 1), max(c.maxTokens, r.events))
}
