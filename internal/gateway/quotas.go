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
	// quotaRequestTimeout bounds one request for a tenant's quota.
	quotaRequestTimeout = 1200 * time.Millisecond
	// grantReturnTimeout bounds the return of a grant, which runs in the background. If the
	// return is lost, the grant counts until it leaves the rate limit's window.
	grantReturnTimeout = time.Second
	// recentDenialWindow is how long after a denial a tenant's turns request their quota before
	// they are opened, and not concurrently: opening a turn that is then denied costs two entries
	// of a ledger's log.
	recentDenialWindow = 5 * time.Second
)

// denials records when each tenant was last denied quota.
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

// isRecent reports whether a tenant was denied within recentDenialWindow, and removes an older
// denial.
func (d *denials) isRecent(tenant string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	lastDenied, wasDenied := d.lastByTenant[tenant]
	if wasDenied && time.Since(lastDenied) > recentDenialWindow {
		delete(d.lastByTenant, tenant)
		return false
	}
	return wasDenied
}

// openCall acquires the call's quota and, for a turn, opens it at the ledger. It does both
// concurrently unless the tenant was denied recently.
func (d *Daemon) openCall(ctx context.Context, c *call) *result.Error {
	if !c.isTurn() {
		if failure := d.openAttemptRecord(ctx, c); failure != nil {
			return failure
		}
		if failure := d.acquireQuota(ctx, c); failure != nil {
			return failure
		}
		return d.openStream(ctx, c)
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

// acquireQuota gets a grant for one run of the call from the owner of the tenant's rate limit. The
// owner queues the request if the call continues a program in progress and the limit will have
// headroom in time. Invariant: every run of a rate-limited tenant's call at an engine has a grant
// of its own, made between the arrival of the call and the run, so that the runs of any window do
// not exceed the grants of that window.
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

// quotaRequest returns the quota request for the next run of a call.
func (d *Daemon) quotaRequest(c *call) quota.Request {
	const base = 36
	request := quota.Request{Tenant: c.tenant.Name, Limit: c.tenantLimit(), Program: c.programID, Ticket: strconv.FormatUint(rand.Uint64(), base)}
	if c.route.Kind == routing.KindStream {
		request.Kind = c.route.Name
	}
	request.ContinuesProgram = c.programID != "" && (c.route.Kind != routing.KindStream || c.previousTurn != "" || c.isTakeUp())
	return request
}

// awaitQuota repeats a quota request while the owner keeps it queued: until it is granted or
// denied, the owner cannot be reached, or the caller disconnects. The ticket keeps the position in
// the owner's wait queue across requests, and the time already waited determines the position at a
// new owner.
func (d *Daemon) awaitQuota(ctx context.Context, c *call, request quota.Request, startedAt time.Time) *protocol.TurnReply {
	for {
		request.MaxWaitMs = (c.timeLeft() - d.serviceTimes.expectedTime(c.route.Name)).Milliseconds()
		request.WaitedMs = time.Since(startedAt).Milliseconds()
		requestContext, cancel := context.WithDeadline(ctx, earlier(c.deadline, time.Now().Add(quotaRequestTimeout)))
		reply := d.ledgers.requestQuota(requestContext, &request)
		cancel()
		if ctx.Err() != nil {
			return &protocol.TurnReply{Error: abandonedError(ctx, "its request waited for the tenant's rate limit")}
		}
		if reply.Error != nil || reply.QueuePosition == nil {
			return reply
		}
		c.quotaQueued = true
	}
}

// cancelQuotaRequest cancels a queued quota request, or a grant whose reply was lost, in the
// background.
func (d *Daemon) cancelQuotaRequest(c *call, request quota.Request) {
	request.Cancelled = true
	go func() {
		if failure := d.ledgers.sendQuotaOnce(&request); failure != nil {
			d.logFailure("quota request not cancelled", c, failure)
		}
	}()
}

// quotaOutcome returns the outcome of a quota request for metrics.
func quotaOutcome(failure *result.Error) string {
	switch {
	case failure == nil:
		return "granted"
	case failure.Code == result.TenantLimit:
		return "denied"
	}
	return "unanswered"
}

// tenantLimit returns the rate limit of the call's tenant, with the generation of the routing table
// that defines it.
func (c *call) tenantLimit() quota.Limit {
	return quota.Limit{Generation: c.tableGeneration, RatePerSecond: c.tenant.RatePerSecond, Burst: c.tenant.Burst}
}

// returnGrants returns the grants of a call that no engine has run, in the background.
func (d *Daemon) returnGrants(c *call) {
	for _, grant := range c.grants {
		if grant == nil {
			continue
		}
		go func() {
			request := quota.Request{Tenant: c.tenant.Name, Program: c.programID, ReturnedGrant: grant}
			if failure := d.ledgers.sendQuotaOnce(&request); failure != nil {
				d.logFailure("quota grant not returned", c, failure)
			}
		}()
	}
}
