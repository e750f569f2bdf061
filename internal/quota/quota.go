// Package quota enforces each tenant's rate limit across all gateways: in any window a tenant
// gets at most rate x window + burst requests. The owner of a tenant, which is the leader of one
// ledger group, grants each request. Before it grants requests it writes a reservation for the
// near future to the group's log, so that the next owner knows the maximum that may have been
// granted. The package is pure: callers pass the time.
package quota

import "math"

// ReservationLifetimeMs is the time after its proposal in which a reservation can be used for
// grants, in milliseconds of the proposer's clock. A longer lifetime needs fewer log entries, but
// makes a successor overestimate the grants by more. At 1 s, a tenant with 5 requests a second
// writes about one entry a second.
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
// that enforcement cannot see: the drift between the clocks of engines, and requests that reach
// an engine later than requests that were granted after them.
const usableToleranceFraction = 0.5

// Tolerance bounds by how much the requests of a window may exceed a limit before the limit
// counts as violated for whoever set it: by OverageFraction of the limit plus SlackRequests. It
// exists because some enforcement cannot count exactly. This package counts exactly and uses the
// tolerance to let programs in progress continue, while new programs are held to the limit
// itself.
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
	// ReturnedGrant is a grant to take back, because no engine has run its request or will run it.
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
	// MaxWaitMs is the remaining time in which a grant is of use, and WaitedMs the time since the
	// grant was first requested, both in milliseconds.
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
