package gateway

import (
	"context"
	"net/url"
	"time"

	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
)

const (
	// clockDriftMargin covers what steady clocks of two machines may drift apart in the few
	// seconds of a proof's life, 0.1% of it, and the step from the check to the send.
	clockDriftMargin = 100 * time.Millisecond
	// unknownKeyMaxAge is how old the proof may be that a key is unknown. It is below the time
	// that the platform grants until a table is in force (2 s and more), and above the age
	// that the rhythm of heartbeats gives, 1.4 s: within it a key that is not in the table
	// was not in any that callers may rely on.
	unknownKeyMaxAge = 1800 * time.Millisecond
)

// identifyTenant finds the tenant that holds the caller's key. Invariant: it says that a key is
// unknown only where the table is known to be in force; a gateway that has been cut off may
// lack keys that were added since.
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
		// A proof that came meanwhile may be of a newer table, which may hold the key.
		if !d.awaitConfirmation(c.request.Context(), unknownKeyMaxAge) || d.view.Load().routes.Table.Generation != c.tableGeneration {
			return d.keysUnconfirmedError()
		}
		return result.New(result.UnknownKey, "no tenant holds the key")
	}
	return d.recheckKey(c)
}

// recheckKey checks that no key may have been withdrawn unheard. Invariant: no request of a
// tenant goes on unless the table that holds its key was surely in force within the
// revocation bound; it is asked again before every send, since the process may have been
// paused, or the call may have waited, since it was asked last.
func (d *Daemon) recheckKey(c *call) *result.Error {
	maxAge, isStrict := d.process.Limits.RevokeWithin()
	if c.tenant == nil || c.route.AllowsAnonymous || !isStrict {
		return nil
	}
	if !d.awaitConfirmation(c.request.Context(), maxAge-clockDriftMargin) {
		return d.keysUnconfirmedError()
	}
	// The proof may be younger than the table by which the call was routed, as when the call has
	// waited for it after a pause. The table that it proves is in force by now.
	current := d.view.Load().routes
	if current.Table.Generation == c.tableGeneration {
		return nil
	}
	holder := current.TenantByKey(c.request.Header.Get(d.headerNames.APIKey))
	if holder == nil || holder.Name != c.tenant.Name {
		return result.New(result.UnknownKey, "the key was withdrawn while the request was under way")
	}
	return nil
}

func (d *Daemon) confirmedWithin(maxAge time.Duration) bool {
	age, known := d.confirmationAge()
	return known && age <= maxAge
}

func (d *Daemon) keysUnconfirmedError() *result.Error {
	age, known := d.confirmationAge()
	if !known {
		return result.New(result.KeysUnconfirmed, "the routing table was never confirmed")
	}
	return result.New(result.KeysUnconfirmed, "the routing table was last confirmed %s ago", age.Round(time.Millisecond))
}

// checkSend checks before every send that the caller's key still holds and, where an engine may
// have run the call already, that the tenant's limit has room for one more run. Once a run
// may have begun, a refusal says so.
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

// tenantScopedID returns the ledger's name of a caller's program or turn. Invariant: what one
// tenant calls by a name is never another tenant's, so that nobody goes on from a turn, or
// spends the budget, of somebody else.
func (c *call) tenantScopedID(id string) string {
	if c.tenant == nil || id == "" {
		return id
	}
	return url.PathEscape(c.tenant.Name) + "/" + id
}
