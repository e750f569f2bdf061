// Package quota bounds each tenant's requests over all gateways together: in any span of the
// window's length a tenant gets at most rate x window + burst. The owner of a tenant, the
// leader of one ledger group, grants each request; what it may grant in the near future it
// has first written to the group's log, so that whoever owns the tenant next knows the most
// that was granted. The package is pure: its callers pass the time.
package quota

import "math"

// ReservationLifetimeMs is how long a reservation may be granted from, counted from its proposal by
// the proposer's clock, milliseconds. A longer time means fewer log entries and a successor
// that counts more as granted than was: at 1 s a tenant of 5 requests a second writes about
// one entry a second.
const ReservationLifetimeMs = 1000

// Limit bounds the requests of one tenant.
type Limit struct {
	// Generation orders limits: it is that of the routing table they stand in.
	Generation uint64 `msgpack:"g"`
	// RatePerSecond and Burst are in requests a second and requests.
	RatePerSecond float64 `msgpack:"r"`
	Burst         float64 `msgpack:"b,omitempty"`
}

// AllowedRequests returns how many requests the limit allows in a window of milliseconds.
func (l Limit) AllowedRequests(windowMs int64) int64 {
	const millisecondsPerSecond = 1000
	return int64(math.Floor(l.RatePerSecond*float64(windowMs)/millisecondsPerSecond + l.Burst))
}

// toleranceShare is the part of a tolerance that is used. The rest stays for what enforcement
// can't see: clocks of engines that run apart, and requests that arrive later than others that
// were granted after them.
const toleranceShare = 0.5

// Tolerance is by how much the requests of a window may exceed a limit before whoever set it
// counts that as broken: by a part of the limit and a number of requests. It is there for
// counting that can't be exact. Ours is; it lets programs that have begun go on, while new ones
// are held to the limit itself.
type Tolerance struct {
	Overage float64
	Slack   float64
}

// beyond returns how many requests above a limit programs under way may use.
func (t Tolerance) beyond(allowed int64) int64 {
	if allowed <= 0 {
		return 0
	}
	return int64(toleranceShare * (float64(allowed)*t.Overage + t.Slack))
}

// Request asks for one request of a tenant.
type Request struct {
	Tenant string `msgpack:"t"`
	Limit  Limit  `msgpack:"l"`
	// Program is what the request belongs to, "" for none.
	Program string `msgpack:"p,omitempty"`
	// ReturnedGrant gives back a grant whose request no engine has run and none will.
	ReturnedGrant *Grant `msgpack:"u,omitempty"`
	// Ticket names the run that is asked for, the same when the question is put again, so that
	// it keeps its place in the queue and is granted once. Asks of gateways that don't wait
	// have none.
	Ticket string `msgpack:"k,omitempty"`
	// Kind is the route of a turn, "" for another request. Continues says that the caller
	// shows that the program has begun: the request is a tool's call, or a turn that goes on
	// from another.
	Kind             string `msgpack:"n,omitempty"`
	ContinuesProgram bool   `msgpack:"c,omitempty"`
	// MaxWaitMs is how long a grant is still of use, and WaitedMs how long ago it was first asked
	// for, milliseconds.
	MaxWaitMs int64 `msgpack:"w,omitempty"`
	WaitedMs  int64 `msgpack:"d,omitempty"`
	// Cancelled says that nobody waits for the ticket any more and that no engine runs its request.
	Cancelled bool `msgpack:"x,omitempty"`
}

// QueuePosition tells a request that waits for room in its tenant's window where it stands; it is
// to be asked for again.
type QueuePosition struct {
	// Ahead is how many requests go first, ExpectedMs when there will be room, milliseconds.
	Ahead          int   `msgpack:"a"`
	ExpectedWaitMs int64 `msgpack:"e"`
}

// Grant tells when and in which term of the group's leader a request was granted.
type Grant struct {
	Term uint64 `msgpack:"m"`
	AtMs int64  `msgpack:"a"`
}
