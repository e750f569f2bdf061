package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ochrebay/ochrebay/internal/bytebudget"
	"github.com/ochrebay/ochrebay/internal/listener"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/requestbody"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/upstream"
	"github.com/ochrebay/ochrebay/internal/waiting"
)

// call is one caller's request, read in full and validated, with the state of its processing.
type call struct {
	id      string
	request *http.Request
	body    []byte
	hasBody bool
	// hasUnreadBody is true if the call was rejected before its body had arrived and more of it may come.
	hasUnreadBody bool
	// requestMemory holds the memory of the body, of the history, and of their copies.
	requestMemory *bytebudget.Receipt
	route         *routing.Route
	backend       routing.Backend
	// routes is the routing table that routed the call.
	routes *routing.Index
	// requiresKey is true if the routing table has tenants. tenant is the tenant of the caller's
	// key; it is nil if the table has no tenants or the caller is anonymous, which only some routes
	// allow.
	requiresKey bool
	tenant      *routing.Tenant
	// priorityPosition is the number of priorities in use at the backend that are less urgent than
	// the call's, and priorityCount the number of all priorities in use there.
	priorityPosition int
	priorityCount    int
	// tenantWeight is the tenant's weight in the fair shares of an oversubscribed backend.
	tenantWeight float64
	// tableGeneration is the generation of the routing table that routed the call.
	tableGeneration uint64
	startedAt       time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout, and callerTimeout
	// the time until the former, the route's timeout if the caller states none.
	deadline      time.Time
	callerTimeout time.Duration

	// turnID, programID, sessionID, tokenBudget, maxTokens and previousTurn describe a turn. The
	// ids of turns and programs are scoped to their tenant.
	turnID    string
	programID string
	sessionID string
	// programDueAt is when the program should end, the zero time if the caller did not state it.
	programDueAt time.Time
	// programInProgress is true if the call belongs to a program that it does not start.
	programInProgress bool
	// latestStart is the latest time at which the call is worth starting at an engine.
	latestStart time.Time
	// queueEntry is the call's entry in the wait queue of its backend, nil if it has none. queuedAt
	// is when the call first waited, and waitTime the time from then to the end of the latest wait.
	queueEntry *waiting.Entry
	queuedAt   time.Time
	waitTime   time.Duration
	// aboveFairShare is true if the tenant was above its fair share when the call first waited.
	aboveFairShare bool
	// attemptState holds the attempts so far, and responseTimer bounds the wait for the response of
	// the current one.
	attemptState  attemptState
	responseTimer *responseTimer
	// promptParts are the parts of the prompt, in order.
	promptParts []scheduling.PromptPart
	// affineEngine is the engine that most likely has the session's prompt cached.
	affineEngine string
	tokenBudget  int64
	maxTokens    int64
	previousTurn string
	affinityKey  string
	// fingerprint identifies the request over all its client attempts.
	fingerprint string
	claim       claim
	// crashedAttempts names the other attempts of the request on record, in this client attempt or another
	// one, under which an engine ended or may end. closings are closed once the ledger has removed others
	// that their engines have outlived.
	crashedAttempts []string
	closings        []chan struct{}
	// lastSentMs is the clock.NowMs time at which the latest attempt was sent.
	lastSentMs int64
	// lastEventID is the last event that the caller has received, 0 for none.
	lastEventID int64
	// takesUp is the request that brought the first event of the stream that the caller takes up,
	// scoped to its tenant, and takenUpAfter the last event that the caller had then; empty and 0
	// for a stream that begins.
	takesUp      string
	takenUpAfter int64
	// requirement restricts the engines of a stream whose caller has received an event.
	requirement versionRequirement
	// recordsOrigin is true if the ledger records the origin of the stream. recordedOrigin is the
	// origin on record, nil while that is not known, and originRecording the request that changes it.
	recordsOrigin   bool
	recordedOrigin  *program.StreamOrigin
	originRecording *originRecording

	// history is the content of the turns that this one continues from.
	history []byte
	// turnReserved is true while the ledger may hold a reservation of the program's budget that is
	// not settled yet. historyInOtherGroup is true if the history is stored in another ledger group
	// than the program.
	turnReserved        bool
	historyInOtherGroup bool
	// hold is the ledger's hold on the history while the turn is not settled, empty for none.
	hold         string
	attemptCount int
	// engineID is the engine of the latest attempt, and selection the figures behind its choice.
	engineID  string
	selection selection
	// framing is how the body of the latest attempt's response was framed, "" if there was no
	// response, and incompleteEventBytes the length of what it held after its last whole event.
	framing              upstream.Framing
	incompleteEventBytes int
	// grants are the quota grants from the owner of the tenant's rate limit, one per run, and
	// quotaTime is how long the latest quota request took.
	grants    []*quota.Grant
	quotaTime time.Duration
	// quotaQueued is true if the call was queued by the owner of its tenant's rate limit.
	quotaQueued bool
	// openedAfter and sentAfter are the times from the start of the call until the ledger opened
	// the turn and until the latest attempt was sent. retainTime is how long the ledger took to
	// retain the turn.
	openedAfter time.Duration
	sentAfter   time.Duration
	retainTime  time.Duration
}

// isTurn reports whether the call is a turn that the ledger accounts for or retains.
func (c *call) isTurn() bool {
	return c.route.Kind == routing.KindStream && c.programID != "" && (c.tokenBudget > 0 || c.route.RetainTurns)
}

// retainsTurn reports whether the ledger retains the turn so that later turns can continue from it.
func (c *call) retainsTurn() bool { return c.isTurn() && c.route.RetainTurns }

// timeLeft returns the time until the call's deadline.
func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

// readRequest finds the route and the tenant of a request, reads its body and parses its headers.
func (d *Daemon) readRequest(writer http.ResponseWriter, request *http.Request) (*call, *result.Error) {
	startedAt := time.Now()
	requestID := request.Header.Get(d.headerNames.RequestID)
	view := d.view.Load()
	if view == nil {
		return nil, result.New(result.NotConfigured, "the gateway has no routing table yet")
	}
	route := view.routes.FindRoute(request.Host, request.URL.EscapedPath())
	if route == nil {
		return nil, result.New(result.NoRoute, "no route for host %s and this path", request.Host)
	}
	c := &call{id: requestID, request: request, route: route, routes: view.routes, tableGeneration: view.routes.Table.Generation, startedAt: startedAt}
	c.requestMemory = d.requestMemory.Receive(func() { listener.Interrupt(request) })
	if failure := d.identifyTenant(c, view.routes); failure != nil {
		discardBody(request)
		return c, failure
	}
	c.setBackend(route.SelectBackend(d.randomFraction()))
	c.tenantWeight = view.routes.TenantWeight(c.tenant)
	failure := c.readHeaders(d.headerNames)
	if failure != nil {
		discardBody(request)
		return c, failure
	}
	if failure := c.readBody(writer, view.routes.Table.Limits.MaxBodyBytes); failure != nil {
		return c, failure
	}
	c.computeFingerprint()
	return c, nil
}

// setBackend sets the backend whose engines may run the call.
func (c *call) setBackend(name string) {
	c.backend = c.routes.Backend(name)
	c.priorityPosition, c.priorityCount = c.routes.PriorityPosition(name, c.tenant, c.route)
}

// readBody reads the whole body, so that the request can be sent again and an engine never waits
// for a slow caller. limit is in bytes; 0 means defaultMaxBodyBytes. A body has to arrive before the call's
// deadline, and within the memory for requests.
func (c *call) readBody(writer http.ResponseWriter, limit int64) *result.Error {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	c.hasBody = c.request.ContentLength != 0
	if !c.hasBody {
		return nil
	}
	listener.LimitBody(c.request, c.deadline)
	body, err := requestbody.Read(c.request.Body, c.request.ContentLength, limit, c.requestMemory)
	if err == nil && c.retainsTurn() {
		err = c.requestMemory.Hold(retainedCopies * int64(len(body)))
	}
	if err != nil {
		// No other request can follow a body that is not read, and the response does not wait for it.
		writer.Header().Set("Connection", "close")
		_ = http.NewResponseController(writer).EnableFullDuplex()
		return c.bodyError(err, limit)
	}
	c.body = body
	return nil
}

// bodyError returns the result of a call whose body could not be read.
func (c *call) bodyError(err error, limit int64) *result.Error {
	switch {
	case errors.Is(err, requestbody.ErrTooLong):
		c.hasUnreadBody = true
		return result.New(result.BodyTooLarge, "body over the limit of %d bytes, announced length %d", limit, c.request.ContentLength)
	case errors.Is(err, bytebudget.ErrNoMemory):
		c.hasUnreadBody = true
		return result.New(result.MemoryShort, "reading the request body: %v", err)
	case errors.Is(err, bytebudget.ErrGaveWay):
		return result.New(result.MemoryShort, "reading the request body: %v", err)
	case listener.WasDisplaced(c.request):
		return result.New(result.ConnectionsShort, "the connection made no progress while others waited for one")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.BodyTimeout, "the body did not arrive within %s", time.Since(c.startedAt).Round(time.Millisecond))
	}
	return result.New(result.MalformedRequest, "reading the request body: %v", err)
}

// retainedCopies is how many times the memory of a retained turn's body is needed: for the body, for the content of
// the turn, and for the message that stores it.
const retainedCopies = 3

// holdHistory reserves memory for the history that the call continues and for the copy of it that is sent to an
// engine.
func (c *call) holdHistory() *result.Error {
	copies := int64(1)
	if c.retainsTurn() {
		copies = retainedCopies
	}
	if err := c.requestMemory.Hold(copies*int64(len(c.body)) + historyCopies*int64(len(c.history))); err != nil {
		return result.New(result.MemoryShort, "history of %d bytes: %v", len(c.history), err)
	}
	return nil
}

// historyCopies is how many times the memory of a history is needed: as it came from the ledger, and in front of the
// body in the request to an engine.
const historyCopies = 2

// releaseRequest returns the memory of the request, which nothing reads any more.
func (c *call) releaseRequest() {
	if c == nil || c.requestMemory == nil {
		return
	}
	c.body, c.history = nil, nil
	c.requestMemory.Release()
}

// maxDiscardedBytes bounds how much of a rejected body is read, and maxDiscardTime for how long. A caller that sends
// more may lose the response.
const (
	maxDiscardedBytes = 256 << 10
	maxDiscardTime    = 5 * time.Second
)

// discardBody reads and discards a rejected body. Closing a connection with unread bytes resets it,
// and a caller that is still sending may then lose the response.
func discardBody(request *http.Request) {
	listener.LimitBody(request, time.Now().Add(maxDiscardTime))
	// The response is sent even if reading ends early.
	_, _ = io.CopyN(io.Discard, request.Body, maxDiscardedBytes)
}

func (c *call) readHeaders(headerNames HeaderNames) *result.Error {
	header := c.request.Header
	timeout := time.Duration(c.route.TimeoutMs) * time.Millisecond
	c.callerTimeout = timeout
	if text := header.Get(headerNames.DeadlineMs); text != "" {
		timeLeftMs, err := strconv.ParseInt(text, 10, 64)
		if err != nil || timeLeftMs < 0 {
			return result.New(result.InvalidHeader, "%s: %q is not a non-negative number of milliseconds", headerNames.DeadlineMs, text)
		}
		c.callerTimeout = time.Duration(timeLeftMs) * time.Millisecond
		timeout = min(timeout, c.callerTimeout)
	}
	c.deadline = c.startedAt.Add(timeout)
	c.turnID = c.tenantScopedID(c.id)
	c.programID = c.tenantScopedID(header.Get(headerNames.Program))
	c.sessionID = header.Get(headerNames.Session)
	if finishMs, err := strconv.ParseInt(header.Get(headerNames.FinishMs), 10, 64); err == nil {
		c.programDueAt = c.startedAt.Add(time.Duration(finishMs) * time.Millisecond)
	}
	c.previousTurn = c.tenantScopedID(header.Get(headerNames.PreviousTurn))
	c.affinityKey = header.Get(headerNames.AffinityKey)
	var failure *result.Error
	c.tokenBudget = parseCountHeader(header, headerNames.TokenBudget, &failure)
	c.programInProgress = c.programID != "" && !c.isTurn()
	c.lastEventID = parseCountHeader(header, headerNames.LastEventID, &failure)
	c.takenUpAfter = c.lastEventID
	c.takesUp = c.tenantScopedID(header.Get(headerNames.TakesUp))
	_, maxTokens, _ := strings.Cut(header.Get(headerNames.TokenUsage), ",")
	if maxTokens != "" {
		parsed, err := strconv.ParseInt(strings.TrimSpace(maxTokens), 10, 64)
		if err != nil || parsed < 0 {
			return result.New(result.InvalidHeader, "%s: %q is not a non-negative number of tokens", headerNames.TokenUsage, maxTokens)
		}
		c.maxTokens = parsed
	}
	c.promptParts = scheduling.ParsePrompt(header.Get(headerNames.PromptPrefix))
	if failure != nil {
		return failure
	}
	return c.checkTakeUp()
}

// parseCountHeader parses a header with a non-negative integer. It returns 0 if the header is
// missing, and sets failure if the value is invalid.
func parseCountHeader(header http.Header, name string, failure **result.Error) int64 {
	text := header.Get(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		*failure = result.New(result.InvalidHeader, "%s: %q is not a non-negative integer", name, text)
		return 0
	}
	return value
}
