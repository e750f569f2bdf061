package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
)

const (
	// quotaRequestTimeout bounds the question for a tenant's quota.
	quotaRequestTimeout = 1200 * time.Millisecond
	// grantReturnTimeout bounds the giving back of a grant, for which nobody waits. One that is
	// lost counts until it has left the window.
	grantReturnTimeout = time.Second
	// recentDenialWindow is how long after a denial a tenant's turns ask for their quota before
	// they are opened, in place of both at once: the opening of a turn that is then denied
	// costs two entries of a ledger's log.
	recentDenialWindow = 5 * time.Second
)

// denials remembers when tenants were last denied.
type denials struct {
	mutex        sync.Mutex
	lastByTenant map[string]time.Time
}

func newDenials() *denials { return &denials{lastByTenant: map[string]time.Time{}} }

func (d *denials) record(tenant string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lastByTenant[tenant] = time.Now()
}

// isRecent reports whether a tenant was denied lately, and forgets what is longer ago.
func (d *denials) isRecent(tenant string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	lastDenied, known := d.lastByTenant[tenant]
	if known && time.Since(lastDenied) > recentDenialWindow {
		delete(d.lastByTenant, tenant)
		return false
	}
	return known
}

// openCall takes the call's quota and, for a turn, has the ledger open it; both at once unless
// the tenant was denied lately.
func (d *Daemon) openCall(ctx context.Context, c *call) *result.Error {
	if !c.isTurn() {
		return d.acquireQuota(ctx, c)
	}
	if c.tenant == nil || !c.tenant.HasRateLimit() {
		return d.openTurn(ctx, c)
	}
	if d.denials.isRecent(c.tenant.Name) {
		if failure := d.acquireQuota(ctx, c); failure != nil {
			return failure
		}
		return d.openTurn(ctx, c)
	}
	quotaContext, cancel := context.WithCancel(ctx)
	defer cancel()
	quotaResult := make(chan *result.Error, 1)
	go func() { quotaResult <- d.acquireQuota(quotaContext, c) }()
	failure := d.openTurn(ctx, c)
	if failure != nil {
		cancel()
		<-quotaResult
		return failure
	}
	return <-quotaResult
}

// acquireQuota has the owner of the tenant's limit grant one run of the call, and waits for it
// where the call belongs to a program under way and there will be room while a grant is still
// of use. Invariant: every run at an engine has a grant of its own, given between the caller's
// send and the run, so that the runs of any window are at most the grants of that window.
func (d *Daemon) acquireQuota(ctx context.Context, c *call) *result.Error {
	if c.tenant == nil || !c.tenant.HasRateLimit() {
		return nil
	}
	startedAt := time.Now()
	request := d.quotaRequest(c)
	reply := d.awaitQuota(ctx, c, request, startedAt)
	c.quotaTime = time.Since(startedAt)
	d.metrics.quotaWait.WithLabelValues(quotaOutcome(reply.Error)).Observe(c.quotaTime.Seconds())
	if reply.Error == nil {
		c.grants = append(c.grants, reply.Grant)
		return nil
	}
	if reply.Error.Code == result.TenantLimit {
		d.denials.record(c.tenant.Name)
	} else {
		d.cancelQuotaRequest(c, request)
	}
	return reply.Error
}

// quotaRequest describes the next run of a call to the owner of its tenant's limit.
func (d *Daemon) quotaRequest(c *call) quota.Request {
	const base = 36
	request := quota.Request{Tenant: c.tenant.Name, Limit: c.tenantLimit(), Program: c.programID, Ticket: strconv.FormatUint(rand.Uint64(), base)}
	if c.route.Kind == routing.KindStream {
		request.Kind = c.route.Name
	}
	request.ContinuesProgram = c.programID != "" && (c.route.Kind != routing.KindStream || c.previousTurn != "")
	return request
}

// awaitQuota asks for a run until it is granted, denied or of no use any more. The same ticket
// keeps its place in the owner's queue from question to question, and how long it has waited
// gives it its place at an owner that is new.
func (d *Daemon) awaitQuota(ctx context.Context, c *call, request quota.Request, startedAt time.Time) *protocol.TurnReply {
	for {
		request.MaxWaitMs = (c.timeLeft() - d.serviceTimes.expectedTime(c.route.Name)).Milliseconds()
		request.WaitedMs = time.Since(startedAt).Milliseconds()
		requestContext, cancel := context.WithDeadline(ctx, earlier(c.deadline, time.Now().Add(quotaRequestTimeout)))
		reply := d.ledgers.requestQuota(requestContext, &request)
		cancel()
		if ctx.Err() != nil {
			return &protocol.TurnReply{Error: result.New(result.Cancelled, "the caller left before its tenant's limit had room")}
		}
		if reply.Error != nil || reply.Queued == nil {
			return reply
		}
		c.quotaQueued = true
	}
}

// cancelQuotaRequest gives a place in the queue back, or a grant whose answer did not come.
func (d *Daemon) cancelQuotaRequest(c *call, request quota.Request) {
	request.Cancelled = true
	go func() {
		if failure := d.ledgers.sendQuotaOnce(&request); failure != nil {
			d.logFailure("place in the queue not given back", c, failure)
		}
	}()
}

// quotaOutcome names how a question for quota ended, for metrics.
func quotaOutcome(failure *result.Error) string {
	switch {
	case failure == nil:
		return "granted"
	case failure.Code == result.TenantLimit:
		return "denied"
	}
	return "unanswered"
}

// tenantLimit is the tenant's, with the generation of the table by which the call was routed.
func (c *call) tenantLimit() quota.Limit {
	return quota.Limit{Generation: c.tableGeneration, RatePerSecond: c.tenant.RatePerSecond, Burst: c.tenant.Burst}
}

// returnGrants gives back what was granted to a call that no engine has run.
func (d *Daemon) returnGrants(c *call) {
	for _, grant := range c.grants {
		if grant == nil {
			continue
		}
		go func() {
			request := quota.Request{Tenant: c.tenant.Name, Program: c.programID, ReturnedGrant: grant}
			if failure := d.ledgers.sendQuotaOnce(&request); failure != nil {
				d.logFailure("quota not returned", c, failure)
			}
		}()
	}
}
