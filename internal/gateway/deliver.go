package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

const (
	// maxBufferedBytes bounds an answer that is held whole before it is passed on; a longer
	// one is passed on as it comes.
	maxBufferedBytes = 256 << 10
	copyBufferBytes  = 32 << 10
	eventReaderBytes = 4 << 10
)

var (
	errMissingSignature = errors.New("a success without a signature")
	errTurnNotRetained  = errors.New("the ledger did not keep the turn")
	errStreamNotResumed = errors.New("the engine did not go on with the stream")
	errCallerWrite      = errors.New("writing to the caller")
)

// drainResponse reads the rest of an answer, so that its connection can be used again.
func drainResponse(exchange *upstream.Exchange) {
	_, _ = io.CopyN(io.Discard, exchange, maxBufferedBytes)
}

// callerResponse is the way of one call's answer to the caller.
type callerResponse struct {
	daemon *Daemon
	writer http.ResponseWriter
	// headerWritten says that the head was written.
	headerWritten bool
	// resumed says that the stream goes on from an earlier attempt.
	resumed bool
	// events counts the events passed on, over all attempts, and firstEvent when the
	// first was.
	events       int64
	firstEventAt time.Time
	lastEventAt  time.Time
	// eventGaps counts the pauses between events of the present attempt, and shortestPause is
	// the shortest of them, milliseconds.
	eventGaps     int
	shortestGapMs float64
	// outputData gathers the events' data of a turn that is kept.
	outputData []byte
	status     int
}

// deliver passes the answer of an engine on: streams as they come, others whole.
func (a *callerResponse) deliver(exchange *upstream.Exchange, c *call) attemptOutcome {
	response := exchange.Response
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if success && response.Header.Get(a.daemon.headerNames.Signature) == "" {
		return attemptOutcome{kind: attemptBroken, status: response.StatusCode, err: errMissingSignature}
	}
	impliesNotRun := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if impliesNotRun {
		// The engine does not say that it did not run the call, so its status must not
		// tell the caller so.
		return attemptOutcome{kind: attemptBroken, status: response.StatusCode, err: fmt.Errorf("status %d without a promise", response.StatusCode)}
	}
	if success && c.route.Kind == routing.KindStream && isEventStream(response.Header) {
		return a.deliverStream(exchange, c)
	}
	if a.headerWritten {
		// What goes on from events that were passed on can only be events.
		return attemptOutcome{kind: attemptBroken, status: response.StatusCode, responseStarted: true, err: errStreamNotResumed}
	}
	return a.deliverBuffered(exchange, c)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// deliverBuffered holds an answer until it is complete, so that one that is broken off
// can still be refused or asked for again.
func (a *callerResponse) deliverBuffered(exchange *upstream.Exchange, c *call) attemptOutcome {
	buffered, err := io.ReadAll(io.LimitReader(exchange, maxBufferedBytes))
	status := exchange.Response.StatusCode
	if err != nil {
		return attemptOutcome{kind: attemptBroken, status: status, err: err}
	}
	c.responseTimer.stop()
	elapsedMs := milliseconds(time.Since(c.startedAt.Add(c.sentAfter)))
	if len(buffered) < maxBufferedBytes && isEngineFailure(status) && a.daemon.canRetry(c) && a.daemon.retries.tryTake(c.backend.Name) {
		return attemptOutcome{kind: attemptFailed, status: status, err: errEngineFailure}
	}
	if len(buffered) < maxBufferedBytes {
		a.writeHeader(exchange.Response, len(buffered))
		if _, err := a.writer.Write(buffered); err != nil {
			return attemptOutcome{kind: attemptCancelled, status: status, responseStarted: true, err: errors.Join(errCallerWrite, err)}
		}
		return attemptOutcome{kind: attemptAnswered, status: status, responseStarted: true, responseMs: elapsedMs}
	}
	a.writeHeader(exchange.Response, -1)
	if _, err := a.writer.Write(buffered); err != nil {
		return attemptOutcome{kind: attemptCancelled, status: status, responseStarted: true, err: errors.Join(errCallerWrite, err)}
	}
	if _, err := io.CopyBuffer(a.writer, exchange, make([]byte, copyBufferBytes)); err != nil {
		return attemptOutcome{kind: attemptBroken, status: status, responseStarted: true, err: err}
	}
	return attemptOutcome{kind: attemptAnswered, status: status, responseStarted: true, responseMs: elapsedMs}
}

// writeHeader writes the engine's status and headers; length is -1 where it is not
// known.
func (a *callerResponse) writeHeader(response *http.Response, length int) {
	header := a.writer.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	a.closeWhenDraining()
	a.writer.WriteHeader(response.StatusCode)
	a.headerWritten = true
	a.status = response.StatusCode
}

// closeWhenDraining asks the caller to use another gateway for its next request.
func (a *callerResponse) closeWhenDraining() {
	if a.daemon.draining.Load() {
		a.writer.Header().Set("Connection", "close")
	}
}

// deliverStream passes whole events on as they come. Invariant: a part of an event
// is never passed on, so that a broken stream can be taken up after the last one.
func (a *callerResponse) deliverStream(exchange *upstream.Exchange, c *call) attemptOutcome {
	if c.responseTimer.stopAndCheck() {
		return attemptOutcome{kind: attemptBroken, status: exchange.Response.StatusCode, responseStarted: a.headerWritten, err: errResponseTimeout}
	}
	outcome := attemptOutcome{kind: attemptAnswered, status: exchange.Response.StatusCode, responseStarted: true}
	flusher, _ := a.writer.(http.Flusher)
	a.resumed = a.headerWritten
	a.eventGaps = 0
	defer func() { a.daemon.engines.observeStreamPace(c, a.eventGaps, a.shortestGapMs) }()
	if !a.headerWritten {
		// A stream that is taken up at another engine keeps the first one's head.
		a.writeHeader(exchange.Response, -1)
		flusher.Flush()
	}
	reader := bufio.NewReaderSize(exchange, eventReaderBytes)
	var block []byte
	for {
		line, err := reader.ReadSlice('\n')
		block = append(block, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			outcome.kind = attemptBroken
			outcome.err = err
			return outcome
		}
		if !isBlank(line) {
			continue
		}
		if !a.forwardEvent(block, c, flusher) {
			outcome.kind = attemptCancelled
			outcome.err = errCallerWrite
			return outcome
		}
		block = block[:0]
	}
	if len(block) > 0 && !a.forwardEvent(block, c, flusher) {
		outcome.kind = attemptCancelled
		outcome.err = errCallerWrite
		return outcome
	}
	// Invariant: a turn is kept before its caller can see the answer as complete.
	if c.retainsTurn() && !a.retainTurn(c) {
		outcome.kind = attemptBroken
		outcome.err = errTurnNotRetained
	}
	outcome.streamEvents = a.events
	return outcome
}

func isBlank(line []byte) bool {
	return len(line) == 1 || (len(line) == 2 && line[0] == '\r')
}

// forwardEvent writes one event and gathers what a kept turn needs of it.
func (a *callerResponse) forwardEvent(block []byte, c *call, flusher http.Flusher) bool {
	data, isEvent := eventData(block)
	if id, known := eventID(block); known {
		if a.resumed && id <= c.lastEventID {
			// An engine that goes on from an earlier event repeats what the caller has.
			return true
		}
		c.lastEventID = id
	}
	if isEvent {
		a.recordEvent(c)
		if c.retainsTurn() {
			a.outputData = append(append(a.outputData, data...), '\n')
		}
	}
	if _, err := a.writer.Write(block); err != nil {
		return false
	}
	flusher.Flush()
	return true
}

// recordEvent counts an event and tells the choice of engines how long it took.
func (a *callerResponse) recordEvent(c *call) {
	now := time.Now()
	a.events++
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
		c.responseTimer.stop()
		a.daemon.retries.recordResponse(c, clock.NowMs(), milliseconds(now.Sub(c.startedAt.Add(c.sentAfter))))
		a.daemon.metrics.firstEvent.WithLabelValues().Observe(now.Sub(c.startedAt.Add(c.sentAfter)).Seconds())
		a.daemon.engines.observeFirstEvent(c, milliseconds(now.Sub(c.startedAt.Add(c.sentAfter))))
	} else {
		gapMs := milliseconds(now.Sub(a.lastEventAt))
		a.daemon.engines.observeEventGap(c, gapMs)
		if a.eventGaps == 0 || gapMs < a.shortestGapMs {
			a.shortestGapMs = gapMs
		}
		a.eventGaps++
	}
	a.lastEventAt = now
}

// milliseconds returns a duration as a fraction of milliseconds.
func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// retainTurn has the ledger settle and keep the turn.
func (a *callerResponse) retainTurn(c *call) bool {
	content := append(append(make([]byte, 0, len(c.body)+len(a.outputData)), c.body...), a.outputData...)
	settle := &program.Settle{
		Program: c.programID, Request: c.turnID, UsedTokens: a.usedTokens(c), Retain: true, PreviousRequest: c.previousTurn,
		Session: c.sessionID, Engine: c.selection.engine.IncarnationKey(), Content: content, RetentionMs: c.route.RetentionMs,
	}
	if c.historyInOtherGroup {
		settle.PreviousRequest = ""
		settle.Content = append(append(make([]byte, 0, len(c.history)+len(content)), c.history...), content...)
	}
	startedAt := time.Now()
	failure := a.daemon.ledgers.settle(settle, a.retainTimeout(c))
	c.retainTime = time.Since(startedAt)
	if failure != nil {
		a.daemon.logFailure("turn not kept", c, failure)
		return false
	}
	c.turnReserved = false
	a.daemon.histories.put(c.turnID, c.programID, c.sessionID, append(append(make([]byte, 0, len(c.history)+len(content)), c.history...), content...))
	return true
}

// retainTimeout is for how long the ledger is asked to keep a turn whose answer is whole: while
// its caller still waits for the end.
func (a *callerResponse) retainTimeout(c *call) time.Duration {
	latestEnd := c.deadline
	if c.route.PatienceMs > 0 && !a.lastEventAt.IsZero() {
		latestEnd = earlier(latestEnd, a.lastEventAt.Add(time.Duration(c.route.PatienceMs)*time.Millisecond))
	}
	return max(time.Until(latestEnd), ledgerCallTimeout)
}

// usedTokens is what the turn has generated, as far as the caller was handed it, tokens.
func (a *callerResponse) usedTokens(c *call) int64 {
	return min(a.events*max(c.backend.TokensPerEvent, 1), max(c.maxTokens, a.events))
}
