package membership

const (
	// minTTLMs and maxTTLMs bound the time for which callers may cache the gateways of a
	// lookup answer. Requests to a lost gateway fail until the caller looks up again, and the
	// caller's next request waits for a lookup once its answer has expired. At 250 ms,
	// programs took 2 to 4 % longer than at 1 s. 500 ms needs a third of the additional
	// lookups and retains three quarters of the savings of 250 ms
	// (docs/design/0017-uneven-demand.md).
	minTTLMs = 500
	maxTTLMs = 1000
	// peerSilentTTLMs is the TTL while another process that answers lookups does not respond.
	// A caller that asks that process first waits one second in vain at every lookup.
	peerSilentTTLMs = 2000
	// targetLookupsPerSecond is the rate of lookups that a process accepts in order to shorten
	// the TTL. At 0.1 ms each this uses 2 % of a processor core.
	targetLookupsPerSecond = 200
	// lookupWindowMs is the length of the window in which lookups are counted.
	lookupWindowMs = 1000
)

// LookupTTL determines the time to live of the directory's lookup answers: as short as the
// answering process can afford, given that callers then ask again. The zero value has recorded
// no lookups. Times are in milliseconds.
type LookupTTL struct {
	windowStartMs int64
	// ttlSumMs is the sum of the TTLs of the answers in this window.
	ttlSumMs int64
	// callers is the number of callers that hold an answer of this process at any time: by
	// Little's law, the rate of answers per millisecond times their TTL.
	callers     float64
	isEstimated bool
}

// RecordLookup records a lookup and returns the TTL of its answer. peerSilent reports that
// another process that answers lookups does not respond.
func (l *LookupTTL) RecordLookup(peerSilent bool, nowMs int64) int64 {
	if l.windowStartMs == 0 {
		l.windowStartMs = nowMs
	}
	if elapsedMs := nowMs - l.windowStartMs; elapsedMs >= lookupWindowMs {
		l.callers = float64(l.ttlSumMs) / float64(elapsedMs)
		l.isEstimated = true
		l.windowStartMs, l.ttlSumMs = nowMs, 0
	}
	ttl := l.ttlMs()
	if peerSilent {
		ttl = max(ttl, peerSilentTTLMs)
	}
	l.ttlSumMs += ttl
	return ttl
}

func (l *LookupTTL) ttlMs() int64 {
	if !l.isEstimated {
		return maxTTLMs
	}
	affordable := int64(l.callers * 1000 / targetLookupsPerSecond)
	return min(max(affordable, minTTLMs), maxTTLMs)
}
