package routing

import (
	"crypto/sha256"
	"math"

	"github.com/ochrebay/ochrebay/internal/result"
)

// KeyDigest is the SHA-256 of a tenant's key. Only the document of the operator holds keys
// as they are; tables, gateways and logs never do.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is one customer of the operator's: whoever holds one of its keys.
type Tenant struct {
	Name string `msgpack:"n" json:"name"`
	// Keys are the digests of the tenant's keys, several while one is replaced. A tenant
	// without keys can't be reached.
	Keys []KeyDigest `msgpack:"k,omitempty" json:"-"`
	// Priority is the tenant's rank, 0 first; it replaces the route's. Nil leaves the
	// route's in force.
	Priority *int `msgpack:"p,omitempty" json:"priority,omitempty"`
	// RatePerSecond and Burst bound the tenant's requests over all gateways, requests a
	// second and requests; a rate of 0 is no bound.
	RatePerSecond float64 `msgpack:"r,omitempty" json:"rate_per_s,omitempty"`
	Burst         float64 `msgpack:"b,omitempty" json:"burst,omitempty"`
}

// HasRateLimit reports whether the tenant's requests are bounded.
func (t *Tenant) HasRateLimit() bool { return t.RatePerSecond > 0 }

// EffectivePriority returns the rank of the tenant's requests on a route, 0 first; t may be nil.
func (t *Tenant) EffectivePriority(route *Route) int {
	if t == nil || t.Priority == nil {
		return route.Priority
	}
	return *t.Priority
}

// validateTenants returns the first fault of the tenants; it names the place and never a key.
func (t *Table) validateTenants() *result.Error {
	names := map[string]bool{}
	holders := map[KeyDigest]string{}
	for position := range t.Tenants {
		tenant := &t.Tenants[position]
		if tenant.Name == "" || names[tenant.Name] {
			return invalid("tenant %d %q: has no name or stands twice", position, tenant.Name)
		}
		names[tenant.Name] = true
		if !isLimit(tenant.RatePerSecond) || !isLimit(tenant.Burst) {
			return invalid("tenant %q: rate and burst must be numbers of 0 or more", tenant.Name)
		}
		for place, digest := range tenant.Keys {
			if digest == DigestKey("") {
				return invalid("tenant %q: key %d is empty", tenant.Name, place)
			}
			if holder, taken := holders[digest]; taken && holder != tenant.Name {
				return invalid("tenant %q: key %d is a key of tenant %q too", tenant.Name, place, holder)
			}
			holders[digest] = tenant.Name
		}
	}
	return nil
}

func isLimit(value float64) bool {
	return value >= 0 && !math.IsInf(value, 0) && !math.IsNaN(value)
}
