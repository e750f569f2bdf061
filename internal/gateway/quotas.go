package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/quota"
	"github.com/ochrebay/ochrebay/internal/result"
)

const (
	// quotaTimeout bounds the question for a tenant's quota.
	quotaTimeout = 1200 * time.Millisecond
	// returnTimeout bounds the giving back of a grant, for which nobody waits. One that is
	// lost counts until it has left the window.
	returnTimeout = time.Second
	// deniedRecently is how long after a denial a tenant's turns ask for their quota before
	// they are opened, in place of both at once: the opening of a turn that is then denied
	// costs two entries of a ledger's log.
	deniedRecently = 5 * time.Second
)

// denials remembers when tenants were last denied.
type denials struct {
	mutex sync.Mutex
	last  map[string]time.Time
}

func newDenials() *denials { return &denials{last: map[string]time.Time{}} }

func (d *denials) note(tenant string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.last[tenant] = time.Now()
}

// recent reports whether a tenant was denied lately, and forgets what is longer ago.
func (d *denials) recent(tenant string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	last, known := d.last[tenant]
	if known && time.Since(last) > deniedRecently {
		delete(d.last, tenant)
		return false
	}
	return known
}

// open takes the call's quota and, for a turn, has the ledger open it; both at once unless
// the tenant was denied lately.
func (d *Daemon) open(ctx context.Context, c *call) *result.Error {
	if !c.isTurn() {
		return d.takeQuota(ctx, c)
	}
	if c.tenant == nil || !c.tenant.Limited() {
		return d.openTurn(ctx, c)
	}
	if d.denials.recent(c.tenant.Name) {
		if failure := d.takeQuota(ctx, c); failure != nil {
			return failure
		}
		return d.openTurn(ctx, c)
	}
	taken := make(chan *result.Error, 1)
	go func() { taken <- d.takeQuota(ctx, c) }()
	failure := d.openTurn(ctx, c)
	if denied := <-taken; denied != nil {
		return denied
	}
	return failure
}

// takeQuota has the owner of the tenant's limit grant one run of the call. Invariant: every
// run at an engine has a grant of its own, given between the caller's send and the run, so
// that the runs of any window are at most the grants of that window.
func (d *Daemon) takeQuota(ctx context.Context, c *call) *result.Error {
	if c.tenant == nil || !c.tenant.Limited() {
		return nil
	}
	began := time.Now()
	bounded, cancel := context.WithDeadline(ctx, earlier(c.deadline, began.Add(quotaTimeout)))
	defer cancel()
	reply := d.ledgers.askQuota(bounded, &quota.Ask{Tenant: c.tenant.Name, Limit: c.limit(), Program: c.program})
	c.granted = time.Since(began)
	d.metrics.granted.WithLabelValues(quotaOutcome(reply.Error)).Observe(c.granted.Seconds())
	if reply.Error == nil {
		c.grants = append(c.grants, reply.Grant)
		return nil
	}
	if reply.Error.Code == result.TenantLimit {
		d.denials.note(c.tenant.Name)
	}
	return reply.Error
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

// limit is the tenant's, with the generation of the table by which the call was routed.
func (c *call) limit() quota.Limit {
	return quota.Limit{Generation: c.generation, RatePerSecond: c.tenant.RatePerSecond, Burst: c.tenant.Burst}
}

// returnQuota gives back what was granted to a call that no engine has run.
func (d *Daemon) returnQuota(c *call) {
	for _, grant := range c.grants {
		if grant == nil {
			continue
		}
		go func() {
			if failure := d.ledgers.returnQuota(c.tenant.Name, grant); failure != nil {
				d.logFailure("quota not returned", c, failure)
			}
		}()
	}
}
