package gateway

import (
	"context"
	"net/url"
	"time"

	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
)

const (
	// clockDriftMargin covers the time from the check to the send, and the drift between the
	// monotonic clocks of two machines: 0.1% of the few seconds for which a confirmation is valid.
	clockDriftMargin = 100 * time.Millisecond
	// unknownKeyMaxAge is the maximum age of the confirmation of the routing table for a key to be
	// rejected as unknown. It is below the time that the platform allows until a table is in force
	// (2 s and more), and above the age that results from the heartbeat interval, 1.4 s. A key
	// that is missing from a table confirmed this recently was in no table that callers may rely
	// on.
	unknownKeyMaxAge = 1800 * time.Millisecond
)

// identifyTenant finds the tenant of the caller's key. Invariant: a key is rejected as unknown only
// if the routing table is confirmed to be in force, because a gateway that was disconnected from
// control may lack keys that were added since.
func (d *Daemon) identifyTenant(c *call, routes *routing.Index) *result.Error {
	c.requiresKey = routes.Table.RequiresKey
	if !c.requiresKey {
		return nil
	}
	key := c.request.Header.Get(d.headerNames.APIKey)
	if key != "" {
		c.tenant = routes.TenantByKey(key)
	}
	if c.tenant == nil && c.route.AllowsAnonymous {
		return nil
	}
	if c.tenant == nil {
		// A confirmation that arrived in the meantime may be for a newer table that holds the key.
		if !d.awaitConfirmation(c.request.Context(), unknownKeyMaxAge) || d.view.Load().routes.Table.Generation != c.tableGeneration {
			return d.keysUnconfirmedError()
		}
		return result.New(result.UnknownKey, "the key does not belong to any tenant")
	}
	return d.recheckKey(c)
}

// recheckKey checks that the caller's key cannot have been revoked without this gateway noticing.
// Invariant: no request of a tenant proceeds unless the table that holds its key is confirmed to
// have been in force within the revocation bound. The check is repeated before every attempt,
// because the process may have been stalled, or the call may have waited, since the previous check.
func (d *Daemon) recheckKey(c *call) *result.Error {
	maxAge, isStrict := d.process.Limits.RevokeWithin()
	if c.tenant == nil || c.route.AllowsAnonymous || !isStrict {
		return nil
	}
	if !d.awaitConfirmation(c.request.Context(), maxAge-clockDriftMargin) {
		return d.keysUnconfirmedError()
	}
	// The confirmation may be for a newer table than the one that routed the call, for example if
	// the call waited for it after a stall. The confirmed table is already applied.
	current := d.view.Load().routes
	if current.Table.Generation == c.tableGeneration {
		return nil
	}
	holder := current.TenantByKey(c.request.Header.Get(d.headerNames.APIKey))
	if holder == nil || holder.Name != c.tenant.Name {
		return result.New(result.UnknownKey, "the key was revoked while the request was in progress")
	}
	return nil
}

func (d *Daemon) confirmedWithin(maxAge time.Duration) bool {
	age, isConfirmed := d.confirmationAge()
	return isConfirmed && age <= maxAge
}

func (d *Daemon) keysUnconfirmedError() *result.Error {
	age, isConfirmed := d.confirmationAge()
	if !isConfirmed {
		return result.New(result.KeysUnconfirmed, "the routing table was never confirmed")
	}
	return result.New(result.KeysUnconfirmed, "the routing table was last confirmed %s ago", age.Round(time.Millisecond))
}

// checkSend checks before every attempt that the caller's key is still valid. If an engine may
// already have run the call, it also acquires quota for another run, and any failure reports that
// the outcome is unknown.
func (d *Daemon) checkSend(ctx context.Context, c *call, mayHaveRun bool) *result.Error {
	failure := d.recheckKey(c)
	if !mayHaveRun {
		return failure
	}
	if failure == nil {
		failure = d.acquireQuota(ctx, c)
	}
	if failure == nil {
		return nil
	}
	return result.New(result.OutcomeUnknown, "not sent again: %s", failure.Message)
}

// tenantScopedID returns the ledger's id of a caller's program or turn. Invariant: ids of different
// tenants never collide, so that no tenant can continue from a turn, or spend the budget, of
// another tenant. The ids of anonymous callers are not scoped.
func (c *call) tenantScopedID(id string) string {
	if c.tenant == nil || id == "" {
		return id
	}
	return url.PathEscape(c.tenant.Name) + "/" + id
}
