// Package quota bounds each tenant's requests over all gateways together: in any span of the
// window's length a tenant gets at most rate x window + burst. The owner of a tenant, the
// leader of one ledger group, grants each request; what it may grant in the near future it
// has first written to the group's log, so that whoever owns the tenant next knows the most
// that was granted. The package is pure: its callers pass the time.
package quota

import "math"

// ReservationMs is how long a reservation may be granted from, counted from its proposal by
// the proposer's clock, milliseconds. A longer time means fewer log entries and a successor
// that counts more as granted than was: at 1 s a tenant of 5 requests a second writes about
// one entry a second.
const ReservationMs = 1000

// Limit bounds the requests of one tenant.
type Limit struct {
	// Generation orders limits: it is that of the routing table they stand in.
	Generation uint64 `msgpack:"g"`
	// RatePerSecond and Burst are in requests a second and requests.
	RatePerSecond float64 `msgpack:"r"`
	Burst         float64 `msgpack:"b,omitempty"`
}

// Within returns how many requests the limit allows in a window of milliseconds.
func (l Limit) Within(windowMs int64) int64 {
	const millisecondsPerSecond = 1000
	return int64(math.Floor(l.RatePerSecond*float64(windowMs)/millisecondsPerSecond + l.Burst))
}

// Ask asks for one request of a tenant.
type Ask struct {
	Tenant string `msgpack:"t"`
	Limit  Limit  `msgpack:"l"`
	// Program is what the request belongs to, "" for none.
	Program string `msgpack:"p,omitempty"`
	// Return gives back a grant whose request no engine has run and none will.
	Return *Grant `msgpack:"u,omitempty"`
}

// Grant tells when and in which term of the group's leader a request was granted.
type Grant struct {
	Term uint64 `msgpack:"m"`
	AtMs int64  `msgpack:"a"`
}
