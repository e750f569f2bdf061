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
	// keyed says that the table has tenants; tenant holds the caller's key, nil where the
	// route needs none.
	keyed  bool
	tenant *routing.Tenant
	// rankPosition is how many of the ranks in use at the back end are less urgent.
	rankPosition int
	ranks        int
	// weight is the tenant's part in what is shared while a back end is short of room.
	weight float64
	// generation is the routing table by which the call was routed.
	generation uint64
	started    time.Time
	// deadline is when the caller or the route gives the call up.
	deadline time.Time

	// turn, program, budget, most and previous describe a turn. The ledger's names of turns
	// and programs are those of their tenant.
	turn    string
	program string
	session string
	// finish is when the program should be over, the zero time where its caller did not say.
	finish time.Time
	// begun says that the call's program has had turns or calls served before.
	begun bool
	// latest is until when the call is worth starting at an engine.
	latest time.Time
	// place is the call's place among those that wait for room, nil where it does not;
	// queuedAt is when it first waited, and waited how long it did in all.
	place    *waiting.Entry
	queuedAt time.Time
	waited   time.Duration
	// aboveShare says that its tenant used more than its share when it first waited.
	aboveShare bool
	// tries are the sends to engines so far, and watch waits for the first word of the one
	// under way.
	tries tries
	watch *watch
	// prefix are the parts of the prompt, in order.
	prefix []scheduling.PromptPart
	// home is the engine that most likely holds what the session has read.
	home     string
	budget   int64
	most     int64
	previous string
	affinity string
	// lastEvent is the event after which the caller wants the stream, 0 for all.
	lastEvent int64

	// chain is the content of the turns that this one goes on from, and input the
	// body as the caller sent it.
	chain []byte
	// reserved says that the ledger has opened the turn, foreign that the chain is
	// kept by another group than the program's.
	reserved bool
	foreign  bool
	attempts int
	// engine is the one that was sent the call last.
	engine string
	chosen choice
	// grants are what the owner of the tenant's limit has granted, one a run, and granted is
	// how long it took the last time.
	grants  []*quota.Grant
	granted time.Duration
	// queued says that it waited for room in its tenant's limit.
	queued bool
	// opened and sent are how long after its start the call was opened by the ledger
	// and sent to its last engine, and kept how long the ledger took to keep it.
	opened time.Duration
	sent   time.Duration
	kept   time.Duration
}

// isTurn reports whether the ledger takes part in the call.
func (c *call) isTurn() bool {
	return c.route.Kind == routing.KindStream && c.program != "" && (c.budget > 0 || c.route.RetainTurns)
}

// keeps reports whether the turn is kept for later ones to go on from.
func (c *call) keeps() bool { return c.isTurn() && c.route.RetainTurns }

// timeLeft returns how long the call may still take.
func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

// intake finds the route of a request, reads its body and checks its headers.
func (d *Daemon) intake(writer http.ResponseWriter, request *http.Request) (*call, *result.Error) {
	started := time.Now()
	id := request.Header.Get(d.headers.RequestID)
	view := d.view.Load()
	if view == nil {
		return nil, result.New(result.NotConfigured, "no routing table yet")
	}
	route := view.routes.FindRoute(request.Host, request.URL.EscapedPath())
	if route == nil {
		return nil, result.New(result.NoRoute, "no route for host %s and this path", request.Host)
	}
	c := &call{id: id, request: request, route: route, generation: view.routes.Table.Generation, started: started}
	if failure := d.identify(c, view.routes); failure != nil {
		discard(request.Body)
		return c, failure
	}
	c.backend = view.routes.Backend(route.SelectBackend(d.draw()))
	c.rankPosition, c.ranks = view.routes.PriorityPosition(c.backend.Name, c.tenant, route)
	c.weight = view.routes.TenantWeight(c.tenant)
	if failure := c.readBody(writer, view.routes.Table.Limits.MaxBodyBytes); failure != nil {
		return nil, failure
	}
	return c, c.readHeaders(d.headers)
}

// readBody reads the whole body, so that the request can be sent again and an
// engine never waits for a slow caller.
func (c *call) readBody(writer http.ResponseWriter, limit int64) *result.Error {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.request.ContentLength > limit {
		discard(c.request.Body)
		return result.New(result.BodyTooLarge, "body of %d bytes, limit %d", c.request.ContentLength, limit)
	}
	c.hasBody = c.request.ContentLength != 0
	if !c.hasBody {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, c.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		discard(c.request.Body)
		return result.New(result.BodyTooLarge, "body over the limit of %d bytes", limit)
	}
	if err != nil {
		return result.New(result.MalformedRequest, "reading the body: %v", err)
	}
	c.body = body
	return nil
}

// discardedBytes bounds what is read of a body that is refused.
const discardedBytes = 256 << 10

// discard reads on in a body that is refused: a connection that is closed with bytes
// unread is reset, which may take the answer away from a caller that is still sending.
func discard(body io.Reader) {
	// Whatever ends it early, the answer is sent all the same.
	_, _ = io.CopyN(io.Discard, body, discardedBytes)
}

func (c *call) readHeaders(names HeaderNames) *result.Error {
	header := c.request.Header
	limit := time.Duration(c.route.TimeoutMs) * time.Millisecond
	if text := header.Get(names.DeadlineMs); text != "" {
		left, err := strconv.ParseInt(text, 10, 64)
		if err != nil || left < 0 {
			return result.New(result.InvalidHeader, "%s: %q is no number of milliseconds", names.DeadlineMs, text)
		}
		limit = min(limit, time.Duration(left)*time.Millisecond)
	}
	c.deadline = c.started.Add(limit)
	c.turn = c.ofTenant(c.id)
	c.program = c.ofTenant(header.Get(names.Program))
	c.session = header.Get(names.Session)
	if finish, err := strconv.ParseInt(header.Get(names.FinishMs), 10, 64); err == nil {
		c.finish = c.started.Add(time.Duration(finish) * time.Millisecond)
	}
	c.previous = c.ofTenant(header.Get(names.PreviousTurn))
	c.affinity = header.Get(names.AffinityKey)
	var failure *result.Error
	c.budget = number(header, names.TokenBudget, &failure)
	c.begun = c.program != "" && !c.isTurn()
	c.lastEvent = number(header, names.LastEventID, &failure)
	_, most, _ := strings.Cut(header.Get(names.TokenUsage), ",")
	if most != "" {
		parsed, err := strconv.ParseInt(strings.TrimSpace(most), 10, 64)
		if err != nil || parsed < 0 {
			return result.New(result.InvalidHeader, "%s: %q is no number of tokens", names.TokenUsage, most)
		}
		c.most = parsed
	}
	c.prefix = scheduling.ParsePrompt(header.Get(names.PromptPrefix))
	return failure
}

// number reads a whole number that may be missing.
func number(header http.Header, name string, failure **result.Error) int64 {
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
