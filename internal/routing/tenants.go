package routing

import (
	"crypto/sha256"
	"math"

	"github.com/ochrebay/ochrebay/internal/result"
)

// KeyDigest is the SHA-256 of a tenant's key. Only the operator's source document contains keys in
// plain text; tables, gateways and logs never do.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is a customer of the operator, identified by any of its keys.
type Tenant struct {
	Name string `msgpack:"n" json:"name"`
	// Keys are the digests of the tenant's keys. There are several while a key is being replaced.
	// No request is attributed to a tenant without keys.
	Keys []KeyDigest `msgpack:"k,omitempty" json:"-"`
	// Priority is the priority of the tenant's requests, 0 is the highest. It replaces the priority
	// of the route, unless it is nil.
	Priority *int `msgpack:"p,omitempty" json:"priority,omitempty"`
	// RatePerSecond and Burst limit the tenant's requests over all gateways, in requests per second
	// and in requests. A rate of 0 means no limit.
	RatePerSecond float64 `msgpack:"r,omitempty" json:"rate_per_s,omitempty"`
	Burst         float64 `msgpack:"b,omitempty" json:"burst,omitempty"`
}

// HasRateLimit reports whether the rate of the tenant's requests is limited.
func (t *Tenant) HasRateLimit() bool { return t.RatePerSecond > 0 }

// EffectivePriority returns the priority of the tenant's requests on a route; 0 is the highest. t
// may be nil.
func (t *Tenant) EffectivePriority(route *Route) int {
	if t == nil || t.Priority == nil {
		return route.Priority
	}
	return *t.Priority
}

// validateTenants returns the first error in the tenants. The error identifies a key by its number
// and never contains the key.
func (t *Table) validateTenants() *result.Error {
	names := map[string]bool{}
	owners := map[KeyDigest]string{}
	for number := range t.Tenants {
		tenant := &t.Tenants[number]
		if tenant.Name == "" || names[tenant.Name] {
			return invalid("tenant %d %q: has no name or is listed twice", number, tenant.Name)
		}
		names[tenant.Name] = true
		if !isValidLimit(tenant.RatePerSecond) || !isValidLimit(tenant.Burst) {
			return invalid("tenant %q: rate and burst must be finite and not negative", tenant.Name)
		}
		for keyNumber, digest := range tenant.Keys {
			if digest == DigestKey("") {
				return invalid("tenant %q: key %d is empty", tenant.Name, keyNumber)
			}
			if owner, isTaken := owners[digest]; isTaken && owner != tenant.Name {
				return invalid("tenant %q: key %d is a key of tenant %q too", tenant.Name, keyNumber, owner)
			}
			owners[digest] = tenant.Name
		}
	}
	return nil
}

// isValidLimit reports whether a limit is finite and not negative.
func isValidLimit(value float64) bool {
	return value >= 0 && !math.IsInf(value, 0) && !math.IsNaN(value)
}
