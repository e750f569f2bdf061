// Package routing defines the routing table of the gateways: which host and path prefix belong to
// which route, whether its requests may be repeated, its timeouts and its backends. A table is
// replaced as a whole, by generation, and is part of the settings tree. The package is pure: it
// uses no clock, socket or random source.
package routing

import (
	"fmt"
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/result"
)

// RouteKind determines how the requests of a route may be treated.
type RouteKind string

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe RouteKind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe RouteKind = "unsafe"
	// KindStream responses are event streams with increasing event ids.
	KindStream RouteKind = "stream"
)

// BackendShare is the share of a route's requests that goes to one backend.
type BackendShare struct {
	Backend string  `msgpack:"b" json:"backend"`
	Weight  float64 `msgpack:"w" json:"weight"`
}

// Route sends the requests of one host and path prefix to backends. Times are in milliseconds.
type Route struct {
	Name       string         `msgpack:"n" json:"name"`
	Host       string         `msgpack:"h" json:"host"`
	PathPrefix string         `msgpack:"p" json:"path_prefix"`
	Kind       RouteKind      `msgpack:"k" json:"kind"`
	Shares     []BackendShare `msgpack:"s" json:"shares"`
	TimeoutMs  int64          `msgpack:"t" json:"timeout_ms"`
	// TargetLatencyMs is the time within which a response has its full value, and TargetGapMs is
	// the longest gap between events that preserves it.
	TargetLatencyMs int64 `msgpack:"l" json:"target_latency_ms"`
	TargetGapMs     int64 `msgpack:"g,omitempty" json:"target_gap_ms,omitempty"`
	// PatienceMs is the time without an event after which callers abandon a stream, 0 if unknown.
	PatienceMs int64 `msgpack:"c,omitempty" json:"patience_ms,omitempty"`
	// Priority is the priority among routes; 0 is the highest.
	Priority int `msgpack:"r" json:"priority"`
	// MaxAttempts limits the number of engines to which one request may be sent.
	MaxAttempts int  `msgpack:"a" json:"max_attempts"`
	Resumable   bool `msgpack:"e,omitempty" json:"resumable,omitempty"`
	// RetainTurns means that the turns of this route are stored for RetentionMs.
	RetainTurns bool  `msgpack:"v,omitempty" json:"retain,omitempty"`
	RetentionMs int64 `msgpack:"m,omitempty" json:"retention_ms,omitempty"`
	// Affinity means that an engine is faster if it has recently served a request with the same
	// affinity key. Such requests are therefore sent to the same engine.
	Affinity bool `msgpack:"f,omitempty" json:"affinity,omitempty"`
	// AllowsAnonymous permits requests without a key although the table has tenants.
	AllowsAnonymous bool `msgpack:"o,omitempty" json:"anonymous,omitempty"`
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Backend is a service that is provided by engines.
type Backend struct {
	Name           string `msgpack:"n" json:"name"`
	HealthPath     string `msgpack:"h" json:"health_path"`
	MaxConnections int    `msgpack:"c" json:"max_connections"`
	// Slots is the number of requests that an engine serves at once, 0 if unspecified.
	Slots int `msgpack:"s,omitempty" json:"slots,omitempty"`
	// KVCacheCapacityTokens is the capacity of an engine's KV cache for running requests and cached
	// prompts, in tokens, 0 if unspecified.
	KVCacheCapacityTokens int64 `msgpack:"m,omitempty" json:"memory_tokens,omitempty"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int64 `msgpack:"e,omitempty" json:"event_tokens,omitempty"`
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	MaxHeaderBytes  int   `msgpack:"h" json:"max_header_bytes"`
	MaxBodyBytes    int64 `msgpack:"b" json:"max_body_bytes"`
	HeaderTimeoutMs int64 `msgpack:"t" json:"header_timeout_ms"`
	IdleTimeoutMs   int64 `msgpack:"i" json:"idle_timeout_ms"`
}

// Table is a complete routing table.
type Table struct {
	// Generation orders tables: the highest one is in force.
	Generation uint64    `msgpack:"g" json:"generation"`
	Routes     []Route   `msgpack:"r" json:"routes"`
	Backends   []Backend `msgpack:"b" json:"backends"`
	Limits     Limits    `msgpack:"l" json:"limits"`
	// RequiresKey means that a request needs the key of one of Tenants. Tenants may be empty.
	RequiresKey bool     `msgpack:"y,omitempty" json:"keyed,omitempty"`
	Tenants     []Tenant `msgpack:"t,omitempty" json:"tenants,omitempty"`
	// SourceDocument is the table as sent by the operator. It is returned unchanged and never
	// parsed.
	SourceDocument []byte `msgpack:"d,omitempty" json:"-"`
}

// Validate returns the first error in a table, or nil if it is valid.
func (t *Table) Validate() *result.Error {
	backends := map[string]bool{}
	for _, backend := range t.Backends {
		if backend.Name == "" || backends[backend.Name] {
			return invalid("backend %q: has no name or is listed twice", backend.Name)
		}
		backends[backend.Name] = true
	}
	hostPrefixes := map[string]bool{}
	for number := range t.Routes {
		route := &t.Routes[number]
		if failure := route.validate(backends); failure != nil {
			return failure
		}
		hostPrefix := strings.ToLower(route.Host) + route.PathPrefix
		if hostPrefixes[hostPrefix] {
			return invalid("route %q: another route has the same host %s and path prefix %s", route.Name, route.Host, route.PathPrefix)
		}
		hostPrefixes[hostPrefix] = true
	}
	return t.validateTenants()
}

func (r *Route) validate(backends map[string]bool) *result.Error {
	if r.Host == "" || !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return invalid("route %q: needs a host, and a path prefix that begins and ends with a slash", r.Name)
	}
	if !slices.Contains([]RouteKind{KindSafe, KindUnsafe, KindStream}, r.Kind) {
		return invalid("route %q: kind %q is not one of safe, unsafe, stream", r.Name, r.Kind)
	}
	if r.TimeoutMs <= 0 {
		return invalid("route %q: the timeout must be greater than 0", r.Name)
	}
	total := 0.0
	for _, share := range r.Shares {
		if !backends[share.Backend] {
			return invalid("route %q: backend %q does not exist", r.Name, share.Backend)
		}
		if share.Weight < 0 {
			return invalid("route %q: the weight of backend %q is negative", r.Name, share.Backend)
		}
		total += share.Weight
	}
	if total <= 0 {
		return invalid("route %q: the weights of its backends sum to 0", r.Name)
	}
	return nil
}

// invalid returns an error with the code for invalid settings.
func invalid(format string, arguments ...any) *result.Error {
	return result.New(result.SettingsInvalid, "%s", fmt.Sprintf(format, arguments...))
}

// WithoutSourceDocument returns the table without the source document, which gateways don't need.
func (t *Table) WithoutSourceDocument() *Table {
	stripped := *t
	stripped.SourceDocument = nil
	return &stripped
}

// Backend returns the backend with a name.
func (t *Table) Backend(name string) (Backend, bool) {
	for _, backend := range t.Backends {
		if backend.Name == name {
			return backend, true
		}
	}
	return Backend{}, false
}
