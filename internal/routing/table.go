// Package routing is the table by which gateways send requests to back ends: which
// host and path prefix belong to which route, what may be repeated, for how long
// and to which back ends. A table is one whole, replaced by generation; it is part
// of the settings tree. The package is pure: no clock, socket or random source.
package routing

import (
	"fmt"
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/result"
)

// RouteKind says how the requests of a route may be treated.
type RouteKind string

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe RouteKind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe RouteKind = "unsafe"
	// KindStream answers are events with rising ids.
	KindStream RouteKind = "stream"
)

// BackendShare is one back end's part of a route.
type BackendShare struct {
	Backend string  `msgpack:"b" json:"backend"`
	Weight  float64 `msgpack:"w" json:"weight"`
}

// Route sends the requests of one host and path prefix to back ends. Times are in
// milliseconds.
type Route struct {
	Name       string         `msgpack:"n" json:"name"`
	Host       string         `msgpack:"h" json:"host"`
	PathPrefix string         `msgpack:"p" json:"path_prefix"`
	Kind       RouteKind      `msgpack:"k" json:"kind"`
	Shares     []BackendShare `msgpack:"s" json:"shares"`
	TimeoutMs  int64          `msgpack:"t" json:"timeout_ms"`
	// TargetLatencyMs is the time within which an answer is worth most, and
	// TargetGapMs the longest pause between events that keeps it so.
	TargetLatencyMs int64 `msgpack:"l" json:"target_latency_ms"`
	TargetGapMs     int64 `msgpack:"g,omitempty" json:"target_gap_ms,omitempty"`
	// PatienceMs is after how long without an event callers give a stream up, 0 where that
	// is not known.
	PatienceMs int64 `msgpack:"c,omitempty" json:"patience_ms,omitempty"`
	// Priority is the rank among routes, 0 first.
	Priority int `msgpack:"r" json:"priority"`
	// MaxAttempts bounds the engines to which one request may be sent.
	MaxAttempts int  `msgpack:"a" json:"max_attempts"`
	Resumable   bool `msgpack:"e,omitempty" json:"resumable,omitempty"`
	// RetainTurns keeps the turns of this route, RetentionMs long.
	RetainTurns bool  `msgpack:"v,omitempty" json:"retain,omitempty"`
	RetentionMs int64 `msgpack:"m,omitempty" json:"retention_ms,omitempty"`
	// Affinity says that an engine which saw the same object lately works faster.
	Affinity bool `msgpack:"f,omitempty" json:"affinity,omitempty"`
	// AllowsAnonymous requests need no key where the table has tenants.
	AllowsAnonymous bool `msgpack:"o,omitempty" json:"anonymous,omitempty"`
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Backend is a service of engines.
type Backend struct {
	Name           string `msgpack:"n" json:"name"`
	HealthPath     string `msgpack:"h" json:"health_path"`
	MaxConnections int    `msgpack:"c" json:"max_connections"`
	// Slots is how many requests an engine works on at once; zero where the back
	// end does not say.
	Slots int `msgpack:"s,omitempty" json:"slots,omitempty"`
	// KVCacheCapacityTokens is how many tokens an engine's memory holds, of running requests and of what
	// is kept of prompts; zero where the back end does not say.
	KVCacheCapacityTokens int64 `msgpack:"m,omitempty" json:"memory_tokens,omitempty"`
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int64 `msgpack:"e,omitempty" json:"event_tokens,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes  int   `msgpack:"h" json:"max_header_bytes"`
	MaxBodyBytes    int64 `msgpack:"b" json:"max_body_bytes"`
	HeaderTimeoutMs int64 `msgpack:"t" json:"header_timeout_ms"`
	IdleTimeoutMs   int64 `msgpack:"i" json:"idle_timeout_ms"`
}

// Table is one whole routing table.
type Table struct {
	// Generation orders tables: the highest one holds.
	Generation uint64    `msgpack:"g" json:"generation"`
	Routes     []Route   `msgpack:"r" json:"routes"`
	Backends   []Backend `msgpack:"b" json:"backends"`
	Limits     Limits    `msgpack:"l" json:"limits"`
	// RequiresKey says that a request needs the key of one of Tenants, which may be none.
	RequiresKey bool     `msgpack:"y,omitempty" json:"keyed,omitempty"`
	Tenants     []Tenant `msgpack:"t,omitempty" json:"tenants,omitempty"`
	// SourceDocument is the table in the form in which its operator sent it; it is given
	// back unchanged and never looked into.
	SourceDocument []byte `msgpack:"d,omitempty" json:"-"`
}

// Validate returns the first fault of a table.
func (t *Table) Validate() *result.Error {
	backends := map[string]bool{}
	for _, backend := range t.Backends {
		if backend.Name == "" || backends[backend.Name] {
			return invalid("backend %q: has no name or stands twice", backend.Name)
		}
		backends[backend.Name] = true
	}
	places := map[string]bool{}
	for position := range t.Routes {
		route := &t.Routes[position]
		if failure := route.validate(backends); failure != nil {
			return failure
		}
		place := strings.ToLower(route.Host) + route.PathPrefix
		if places[place] {
			return invalid("route %q: another route has host %s and prefix %s", route.Name, route.Host, route.PathPrefix)
		}
		places[place] = true
	}
	return t.validateTenants()
}

func (r *Route) validate(backends map[string]bool) *result.Error {
	if r.Host == "" || !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return invalid("route %q: needs a host, and a prefix that begins and ends with a slash", r.Name)
	}
	if !slices.Contains([]RouteKind{KindSafe, KindUnsafe, KindStream}, r.Kind) {
		return invalid("route %q: kind %q is none of safe, unsafe, stream", r.Name, r.Kind)
	}
	if r.TimeoutMs <= 0 {
		return invalid("route %q: the time-out must be above 0", r.Name)
	}
	total := 0.0
	for _, share := range r.Shares {
		if !backends[share.Backend] {
			return invalid("route %q: there is no back end %q", r.Name, share.Backend)
		}
		if share.Weight < 0 {
			return invalid("route %q: the weight of %q is below 0", r.Name, share.Backend)
		}
		total += share.Weight
	}
	if total <= 0 {
		return invalid("route %q: its weights sum to 0", r.Name)
	}
	return nil
}

func invalid(format string, arguments ...any) *result.Error {
	return result.New(result.SettingsInvalid, "%s", fmt.Sprintf(format, arguments...))
}

// WithoutSourceDocument returns the table as gateways need it.
func (t *Table) WithoutSourceDocument() *Table {
	stripped := *t
	stripped.SourceDocument = nil
	return &stripped
}

// Backend returns the back end of a name.
func (t *Table) Backend(name string) (Backend, bool) {
	for _, backend := range t.Backends {
		if backend.Name == name {
			return backend, true
		}
	}
	return Backend{}, false
}
