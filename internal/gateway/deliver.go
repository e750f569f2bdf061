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
	// heldBytes bounds an answer that is held whole before it is passed on; a longer
	// one is passed on as it comes.
	heldBytes     = 256 << 10
	copyBytes     = 32 << 10
	eventLineSize = 4 << 10
)

var (
	errNoSignature  = errors.New("a success without a signature")
	errNotKept      = errors.New("the ledger did not keep the turn")
	errNotContinued = errors.New("the engine did not go on with the stream")
	errCaller       = errors.New("writing to the caller")
)

// drain reads the rest of an answer, so that its connection can be used again.
func drain(exchange *upstream.Exchange) {
	_, _ = io.CopyN(io.Discard, exchange, heldBytes)
}

// answer is the way of one call's answer to the caller.
type answer struct {
	daemon *Daemon
	writer http.ResponseWriter
	// started says that the head was written.
	started bool
	// continued says that the stream goes on from an earlier attempt.
	continued bool
	// events counts the events passed on, over all attempts, and firstEvent when the
	// first was.
	events     int64
	firstEvent time.Time
	lastEvent  time.Time
	// pauses counts the pauses between events of the present attempt, and shortestPause is
	// the shortest of them, milliseconds.
	pauses        int
	shortestPause float64
	// output gathers the events' data of a turn that is kept.
	output []byte
	status int
}

// deliver passes the answer of an engine on: streams as they come, others whole.
func (a *answer) deliver(exchange *upstream.Exchange, c *call) attemptOutcome {
	response := exchange.Response
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if success && response.Header.Get(a.daemon.headers.Signature) == "" {
		return attemptOutcome{kind: attemptBroken, status: response.StatusCode, err: errNoSignature}
	}
	promise := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if promise {
		// The engine does not say that it did not run the call, so its status must not
		// tell the caller so.
		return attemptOutcome{kind: attemptBroken, status: response.StatusCode, err: fmt.Errorf("status %d without a promise", response.StatusCode)}
	}
	if success && c.route.Kind == routing.KindStream && isEventStream(response.Header) {
		return a.deliverStream(exchange, c)
	}
	if a.started {
		// What goes on from events that were passed on can only be events.
		return attemptOutcome{kind: attemptBroken, status: response.StatusCode, started: true, err: errNotContinued}
	}
	return a.deliverWhole(exchange, c)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// deliverWhole holds an answer until it is complete, so that one that is broken off
// can still be refused or asked for again.
func (a *answer) deliverWhole(exchange *upstream.Exchange, c *call) attemptOutcome {
	held, err := io.ReadAll(io.LimitReader(exchange, heldBytes))
	status := exchange.Response.StatusCode
	if err != nil {
		return attemptOutcome{kind: attemptBroken, status: status, err: err}
	}
	c.watch.heard()
	took := milliseconds(time.Since(c.started.Add(c.sent)))
	if len(held) < heldBytes && isFailure(status) && a.daemon.mayTryAgain(c) && a.daemon.retries.take(c.backend.Name) {
		return attemptOutcome{kind: attemptFailed, status: status, err: errFailed}
	}
	if len(held) < heldBytes {
		a.writeHead(exchange.Response, len(held))
		if _, err := a.writer.Write(held); err != nil {
			return attemptOutcome{kind: attemptCancelled, status: status, started: true, err: errors.Join(errCaller, err)}
		}
		return attemptOutcome{kind: attemptAnswered, status: status, started: true, tookMs: took}
	}
	a.writeHead(exchange.Response, -1)
	if _, err := a.writer.Write(held); err != nil {
		return attemptOutcome{kind: attemptCancelled, status: status, started: true, err: errors.Join(errCaller, err)}
	}
	if _, err := io.CopyBuffer(a.writer, exchange, make([]byte, copyBytes)); err != nil {
		return attemptOutcome{kind: attemptBroken, status: status, started: true, err: err}
	}
	return attemptOutcome{kind: attemptAnswered, status: status, started: true, tookMs: took}
}

// writeHead writes the engine's status and headers; length is -1 where it is not
// known.
func (a *answer) writeHead(response *http.Response, length int) {
	header := a.writer.Header()
	for name, values := range forwarded(response.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	a.closeWhenDraining()
	a.writer.WriteHeader(response.StatusCode)
	a.started = true
	a.status = response.StatusCode
}

// closeWhenDraining asks the caller to use another gateway for its next request.
func (a *answer) closeWhenDraining() {
	if a.daemon.draining.Load() {
		a.writer.Header().Set("Connection", "close")
	}
}

// deliverStream passes whole events on as they come. Invariant: a part of an event
// is never passed on, so that a broken stream can be taken up after the last one.
func (a *answer) deliverStream(exchange *upstream.Exchange, c *call) attemptOutcome {
	if c.watch.ended() {
		return attemptOutcome{kind: attemptBroken, status: exchange.Response.StatusCode, started: a.started, err: errSilent}
	}
	outcome := attemptOutcome{kind: attemptAnswered, status: exchange.Response.StatusCode, started: true}
	flusher, _ := a.writer.(http.Flusher)
	a.continued = a.started
	a.pauses = 0
	defer func() { a.daemon.engines.streamPaced(c, a.pauses, a.shortestPause) }()
	if !a.started {
		// A stream that is taken up at another engine keeps the first one's head.
		a.writeHead(exchange.Response, -1)
		flusher.Flush()
	}
	reader := bufio.NewReaderSize(exchange, eventLineSize)
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
		if !a.passEvent(block, c, flusher) {
			outcome.kind = attemptCancelled
			outcome.err = errCaller
			return outcome
		}
		block = block[:0]
	}
	if len(block) > 0 && !a.passEvent(block, c, flusher) {
		outcome.kind = attemptCancelled
		outcome.err = errCaller
		return outcome
	}
	// Invariant: a turn is kept before its caller can see the answer as complete.
	if c.keeps() && !a.keepTurn(c) {
		outcome.kind = attemptBroken
		outcome.err = errNotKept
	}
	outcome.events = a.events
	return outcome
}

func isBlank(line []byte) bool {
	return len(line) == 1 || (len(line) == 2 && line[0] == '\r')
}

// passEvent writes one event and gathers what a kept turn needs of it.
func (a *answer) passEvent(block []byte, c *call, flusher http.Flusher) bool {
	data, isEvent := eventData(block)
	if id, known := eventID(block); known {
		if a.continued && id <= c.lastEvent {
			// An engine that goes on from an earlier event repeats what the caller has.
			return true
		}
		c.lastEvent = id
	}
	if isEvent {
		a.noteEvent(c)
		if c.keeps() {
			a.output = append(append(a.output, data...), '\n')
		}
	}
	if _, err := a.writer.Write(block); err != nil {
		return false
	}
	flusher.Flush()
	return true
}

// noteEvent counts an event and tells the choice of engines how long it took.
func (a *answer) noteEvent(c *call) {
	now := time.Now()
	a.events++
	if a.firstEvent.IsZero() {
		a.firstEvent = now
		c.watch.heard()
		a.daemon.retries.answered(c, clock.NowMs(), milliseconds(now.Sub(c.started.Add(c.sent))))
		a.daemon.metrics.firstEvent.WithLabelValues().Observe(now.Sub(c.started.Add(c.sent)).Seconds())
		a.daemon.engines.firstEvent(c, milliseconds(now.Sub(c.started.Add(c.sent))))
	} else {
		gap := milliseconds(now.Sub(a.lastEvent))
		a.daemon.engines.nextEvent(c, gap)
		if a.pauses == 0 || gap < a.shortestPause {
			a.shortestPause = gap
		}
		a.pauses++
	}
	a.lastEvent = now
}

// milliseconds returns a duration as a fraction of milliseconds.
func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// keepTurn has the ledger settle and keep the turn.
func (a *answer) keepTurn(c *call) bool {
	content := append(append(make([]byte, 0, len(c.body)+len(a.output)), c.body...), a.output...)
	settle := &program.Settle{
		Program: c.program, Request: c.turn, UsedTokens: a.used(c), Retain: true, PreviousRequest: c.previous,
		Session: c.session, Engine: c.chosen.engine.IncarnationKey(), Content: content, RetentionMs: c.route.RetentionMs,
	}
	if c.foreign {
		settle.PreviousRequest = ""
		settle.Content = append(append(make([]byte, 0, len(c.chain)+len(content)), c.chain...), content...)
	}
	began := time.Now()
	failure := a.daemon.ledgers.settle(settle, a.keepWithin(c))
	c.kept = time.Since(began)
	if failure != nil {
		a.daemon.logFailure("turn not kept", c, failure)
		return false
	}
	c.reserved = false
	a.daemon.chains.put(c.turn, c.program, c.session, append(append(make([]byte, 0, len(c.chain)+len(content)), c.chain...), content...))
	return true
}

// keepWithin is for how long the ledger is asked to keep a turn whose answer is whole: while
// its caller still waits for the end.
func (a *answer) keepWithin(c *call) time.Duration {
	end := c.deadline
	if c.route.PatienceMs > 0 && !a.lastEvent.IsZero() {
		end = earlier(end, a.lastEvent.Add(time.Duration(c.route.PatienceMs)*time.Millisecond))
	}
	return max(time.Until(end), ledgerTry)
}

// used is what the turn has generated, as far as the caller was handed it, tokens.
func (a *answer) used(c *call) int64 {
	return min(a.events*max(c.backend.TokensPerEvent, 1), max(c.most, a.events))
}
