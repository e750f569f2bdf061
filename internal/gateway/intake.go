package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/waiting"
)

// call is one caller's request, read whole and checked.
type call struct {
	id      string
	request *http.Request
	body    []byte
	hasBody bool
	route   *routing.Route
	backend routing.Backend
	// requiresKey says that the table has tenants; tenant holds the caller's key, nil where the
	// route needs none.
	requiresKey bool
	tenant      *routing.Tenant
	// priorityPosition is how many of the ranks in use at the back end are less urgent.
	priorityPosition int
	priorityCount    int
	// tenantWeight is the tenant's part in what is shared while a back end is short of room.
	tenantWeight float64
	// tableGeneration is the routing table by which the call was routed.
	tableGeneration uint64
	startedAt       time.Time
	// deadline is when the caller or the route gives the call up.
	deadline time.Time

	// turnID, program, budget, most and previous describe a turn. The ledger's names of turns
	// and programs are those of their tenant.
	turnID    string
	programID string
	sessionID string
	// programDueAt is when the program should be over, the zero time where its caller did not say.
	programDueAt time.Time
	// programInProgress says that the call's program has had turns or calls served before.
	programInProgress bool
	// latestStart is until when the call is worth starting at an engine.
	latestStart time.Time
	// queueEntry is the call's place among those that wait for room, nil where it does not;
	// queuedAt is when it first waited, and waited how long it did in all.
	queueEntry *waiting.Entry
	queuedAt   time.Time
	waitTime   time.Duration
	// aboveFairShare says that its tenant used more than its share when it first waited.
	aboveFairShare bool
	// attemptState are the sends to engines so far, and watch waits for the first word of the one
	// under way.
	attemptState  attemptState
	responseTimer *responseTimer
	// promptParts are the parts of the prompt, in order.
	promptParts []scheduling.PromptPart
	// affineEngine is the engine that most likely holds what the session has read.
	affineEngine string
	tokenBudget  int64
	maxTokens    int64
	previousTurn string
	affinityKey  string
	// lastEventID is the event after which the caller wants the stream, 0 for all.
	lastEventID int64

	// history is the content of the turns that this one goes on from, and input the
	// body as the caller sent it.
	history []byte
	// turnReserved says that the ledger has opened the turn, foreign that the chain is
	// kept by another group than the program's.
	turnReserved        bool
	historyInOtherGroup bool
	attemptCount        int
	// engineID is the one that was sent the call last.
	engineID  string
	selection selection
	// grants are what the owner of the tenant's limit has granted, one a run, and granted is
	// how long it took the last time.
	grants    []*quota.Grant
	quotaTime time.Duration
	// quotaQueued says that it waited for room in its tenant's limit.
	quotaQueued bool
	// openedAfter and sent are how long after its start the call was opened by the ledger
	// and sent to its last engine, and kept how long the ledger took to keep it.
	openedAfter time.Duration
	sentAfter   time.Duration
	retainTime  time.Duration
}

// isTurn reports whether the ledger takes part in the call.
func (c *call) isTurn() bool {
	return c.route.Kind == routing.KindStream && c.programID != "" && (c.tokenBudget > 0 || c.route.RetainTurns)
}

// retainsTurn reports whether the turn is kept for later ones to go on from.
func (c *call) retainsTurn() bool { return c.isTurn() && c.route.RetainTurns }

// timeLeft returns how long the call may still take.
func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

// readRequest finds the route of a request, reads its body and checks its headers.
func (d *Daemon) readRequest(writer http.ResponseWriter, request *http.Request) (*call, *result.Error) {
	startedAt := time.Now()
	requestID := request.Header.Get(d.headerNames.RequestID)
	view := d.view.Load()
	if view == nil {
		return nil, result.New(result.NotConfigured, "no routing table yet")
	}
	route := view.routes.FindRoute(request.Host, request.URL.EscapedPath())
	if route == nil {
		return nil, result.New(result.NoRoute, "no route for host %s and this path", request.Host)
	}
	c := &call{id: requestID, request: request, route: route, tableGeneration: view.routes.Table.Generation, startedAt: startedAt}
	if failure := d.identifyTenant(c, view.routes); failure != nil {
		discardBody(request.Body)
		return c, failure
	}
	c.backend = view.routes.Backend(route.SelectBackend(d.randomFraction()))
	c.priorityPosition, c.priorityCount = view.routes.PriorityPosition(c.backend.Name, c.tenant, route)
	c.tenantWeight = view.routes.TenantWeight(c.tenant)
	if failure := c.readBody(writer, view.routes.Table.Limits.MaxBodyBytes); failure != nil {
		return nil, failure
	}
	return c, c.readHeaders(d.headerNames)
}

// readBody reads the whole body, so that the request can be sent again and an
// engine never waits for a slow caller.
func (c *call) readBody(writer http.ResponseWriter, limit int64) *result.Error {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.request.ContentLength > limit {
		discardBody(c.request.Body)
		return result.New(result.BodyTooLarge, "body of %d bytes, limit %d", c.request.ContentLength, limit)
	}
	c.hasBody = c.request.ContentLength != 0
	if !c.hasBody {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, c.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		discardBody(c.request.Body)
		return result.New(result.BodyTooLarge, "body over the limit of %d bytes", limit)
	}
	if err != nil {
		return result.New(result.MalformedRequest, "reading the body: %v", err)
	}
	c.body = body
	return nil
}

// maxDiscardedBytes bounds what is read of a body that is refused.
const maxDiscardedBytes = 256 << 10

// discardBody reads on in a body that is refused: a connection that is closed with bytes
// unread is reset, which may take the answer away from a caller that is still sending.
func discardBody(body io.Reader) {
	// Whatever ends it early, the answer is sent all the same.
	_, _ = io.CopyN(io.Discard, body, maxDiscardedBytes)
}

func (c *call) readHeaders(headerNames HeaderNames) *result.Error {
	header := c.request.Header
	timeout := time.Duration(c.route.TimeoutMs) * time.Millisecond
	if text := header.Get(headerNames.DeadlineMs); text != "" {
		timeLeftMs, err := strconv.ParseInt(text, 10, 64)
		if err != nil || timeLeftMs < 0 {
			return result.New(result.InvalidHeader, "%s: %q is no number of milliseconds", headerNames.DeadlineMs, text)
		}
		timeout = min(timeout, time.Duration(timeLeftMs)*time.Millisecond)
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
	_, maxTokens, _ := strings.Cut(header.Get(headerNames.TokenUsage), ",")
	if maxTokens != "" {
		parsed, err := strconv.ParseInt(strings.TrimSpace(maxTokens), 10, 64)
		if err != nil || parsed < 0 {
			return result.New(result.InvalidHeader, "%s: %q is no number of tokens", headerNames.TokenUsage, maxTokens)
		}
		c.maxTokens = parsed
	}
	c.promptParts = scheduling.ParsePrompt(header.Get(headerNames.PromptPrefix))
	return failure
}

// parseCountHeader reads a whole number that may be missing.
func parseCountHeader(header http.Header, name string, failure **result.Error) int64 {
	text := header.Get(name)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		*failure = result.New(result.InvalidHeader, "%s: %q is not a whole number", name, text)
		return 0
	}
	return value
}
