// Package quota enforces each tenant's rate limit across all gateways: in any window a tenant
// gets at most rate x window + burst requests. The owner of a tenant, which is the leader of one
// ledger group, grants each request. Before it grants requests it writes a reservation for the
// near future to the group's log, so that the next owner knows the maximum that may have been
// granted. The package is pure: callers pass the time.
package quota

import "math"

// ReservationLifetimeMs is how long a reservation may be granted from, in milliseconds after its
// proposal by the proposer's clock. A longer lifetime means fewer log entries, but a successor
// that overestimates the grants by more. At 1 s, a tenant with 5 requests a second writes about
// one entry a second.
const ReservationLifetimeMs = 1000

// Limit is the rate limit of one tenant.
type Limit struct {
	// Generation orders limits. It is the generation of the routing table that contains the
	// limit.
	Generation uint64 `msgpack:"g"`
	// RatePerSecond is in requests per second, and Burst in requests.
	RatePerSecond float64 `msgpack:"r"`
	Burst         float64 `msgpack:"b,omitempty"`
}

// AllowedRequests returns the number of requests that the limit allows in a window of windowMs
// milliseconds.
func (l Limit) AllowedRequests(windowMs int64) int64 {
	const millisecondsPerSecond = 1000
	return int64(math.Floor(l.RatePerSecond*float64(windowMs)/millisecondsPerSecond + l.Burst))
}

// usableToleranceFraction is the fraction of a tolerance that is used. The rest covers effects
// that enforcement cannot see: clock drift between engines, and requests that arrive after others
// that were granted later.
const usableToleranceFraction = 0.5

// Tolerance is by how much the requests of a window may exceed a limit before the party that set
// the limit counts it as violated: a fraction of the limit (Overage) plus a number of requests
// (Slack). It exists because some enforcement cannot count exactly. This package counts exactly
// and uses the tolerance to let programs in progress continue, while new programs are held to
// the limit itself.
type Tolerance struct {
	OverageFraction float64
	SlackRequests   float64
}

// extraRequests returns the number of requests that programs in progress may use above a limit.
func (t Tolerance) extraRequests(allowed int64) int64 {
	if allowed <= 0 {
		return 0
	}
	return int64(usableToleranceFraction * (float64(allowed)*t.OverageFraction + t.SlackRequests))
}

// Request asks the owner for a grant to run one request of a tenant.
type Request struct {
	Tenant string `msgpack:"t"`
	Limit  Limit  `msgpack:"l"`
	// Program is the program of the request, "" for none.
	Program string `msgpack:"p,omitempty"`
	// ReturnedGrant returns a grant whose request has not run on any engine and will not.
	ReturnedGrant *Grant `msgpack:"u,omitempty"`
	// Ticket identifies the attempt that needs the grant. A repeated request carries the same
	// ticket, so that it keeps its position in the queue and is granted once. Requests of
	// gateways that do not wait have no ticket.
	Ticket string `msgpack:"k,omitempty"`
	// Kind is the route of a turn, "" for other requests. ContinuesProgram means that the caller
	// has shown that the program has started: the request is a tool call or a turn that follows
	// another.
	Kind             string `msgpack:"n,omitempty"`
	ContinuesProgram bool   `msgpack:"c,omitempty"`
	// MaxWaitMs is for how much longer a grant is of use, and WaitedMs how long ago the grant was
	// first requested, both in milliseconds.
	MaxWaitMs int64 `msgpack:"w,omitempty"`
	WaitedMs  int64 `msgpack:"d,omitempty"`
	// Cancelled means that no caller waits for the ticket any more and that no engine runs its
	// request.
	Cancelled bool `msgpack:"x,omitempty"`
}

// QueuePosition is the position of a request that waits for headroom in its tenant's window. The
// gateway must repeat the request to get the grant.
type QueuePosition struct {
	// Ahead is the number of requests before this one. ExpectedWaitMs is the time until headroom
	// is expected, in milliseconds.
	Ahead          int   `msgpack:"a"`
	ExpectedWaitMs int64 `msgpack:"e"`
}

// Grant identifies a grant by its time and by the term of the group's leader.
type Grant struct {
	Term uint64 `msgpack:"m"`
	AtMs int64  `msgpack:"a"`
}
