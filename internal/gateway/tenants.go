package gateway

import (
	"context"
	"net/url"
	"time"

	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
)

const (
	// clockRateMargin covers what steady clocks of two machines may drift apart in the few
	// seconds of a proof's life, 0.1% of it, and the step from the check to the send.
	clockRateMargin = 100 * time.Millisecond
	// currentWithin is how old the proof may be that a key is unknown. It is below the time
	// that the platform grants until a table is in force (2 s and more), and above the age
	// that the rhythm of heartbeats gives, 1.4 s: within it a key that is not in the table
	// was not in any that callers may rely on.
	currentWithin = 1800 * time.Millisecond
)

// identify finds the tenant that holds the caller's key. Invariant: it says that a key is
// unknown only where the table is known to be in force; a gateway that has been cut off may
// lack keys that were added since.
func (d *Daemon) identify(c *call, routes *routing.Index) *result.Error {
	c.keyed = routes.Table.RequiresKey
	if !c.keyed {
		return nil
	}
	key := c.request.Header.Get(d.headers.APIKey)
	if key != "" {
		c.tenant = routes.TenantByKey(key)
	}
	if c.tenant == nil && c.route.AllowsAnonymous {
		return nil
	}
	if c.tenant == nil {
		// A proof that came meanwhile may be of a newer table, which may hold the key.
		if !d.provedSoon(c.request.Context(), currentWithin) || d.view.Load().routes.Table.Generation != c.generation {
			return d.unconfirmed()
		}
		return result.New(result.UnknownKey, "no tenant holds the key")
	}
	return d.stillAllowed(c)
}

// stillAllowed checks that no key may have been withdrawn unheard. Invariant: no request of a
// tenant goes on unless the table that holds its key was surely in force within the
// revocation bound; it is asked again before every send, since the process may have been
// paused, or the call may have waited, since it was asked last.
func (d *Daemon) stillAllowed(c *call) *result.Error {
	bound, strict := d.process.Limits.RevokeWithin()
	if c.tenant == nil || c.route.AllowsAnonymous || !strict {
		return nil
	}
	if !d.provedSoon(c.request.Context(), bound-clockRateMargin) {
		return d.unconfirmed()
	}
	// The proof may be younger than the table by which the call was routed, as when the call has
	// waited for it after a pause. The table that it proves is in force by now.
	current := d.view.Load().routes
	if current.Table.Generation == c.generation {
		return nil
	}
	holder := current.TenantByKey(c.request.Header.Get(d.headers.APIKey))
	if holder == nil || holder.Name != c.tenant.Name {
		return result.New(result.UnknownKey, "the key was withdrawn while the request was under way")
	}
	return nil
}

func (d *Daemon) provedWithin(bound time.Duration) bool {
	age, known := d.proofAge()
	return known && age <= bound
}

func (d *Daemon) unconfirmed() *result.Error {
	age, known := d.proofAge()
	if !known {
		return result.New(result.KeysUnconfirmed, "the routing table was never confirmed")
	}
	return result.New(result.KeysUnconfirmed, "the routing table was last confirmed %s ago", age.Round(time.Millisecond))
}

// maySend checks before every send that the caller's key still holds and, where an engine may
// have run the call already, that the tenant's limit has room for one more run. Once a run
// may have begun, a refusal says so.
func (d *Daemon) maySend(ctx context.Context, c *call, mayHaveRun bool) *result.Error {
	failure := d.stillAllowed(c)
	if !mayHaveRun {
		return failure
	}
	if failure == nil {
		failure = d.takeQuota(ctx, c)
	}
	if failure == nil {
		return nil
	}
	return result.New(result.OutcomeUnknown, "not sent again: %s", failure.Message)
}

// ofTenant returns the ledger's name of a caller's program or turn. Invariant: what one
// tenant calls by a name is never another tenant's, so that nobody goes on from a turn, or
// spends the budget, of somebody else.
func (c *call) ofTenant(id string) string {
	if c.tenant == nil || id == "" {
		return id
	}
	return url.PathEscape(c.tenant.Name) + "/" + id
}
