package membership

const (
	// minTTLMs and maxTTLMs bound the time for which callers may cache the gateways of a
	// lookup answer. With a long TTL, requests to a lost gateway fail for longer, because the
	// caller looks up gateways again only after the TTL. With a short TTL, more requests wait
	// for a lookup: at 250 ms, programs took 2 to 4 % longer than at 1 s. Compared with 250 ms,
	// 500 ms needs a third of the additional lookups and retains three quarters of the benefit
	// (docs/design/0017-uneven-demand.md).
	minTTLMs = 500
	maxTTLMs = 1000
	// peerSilentTTLMs is the TTL while another process that answers lookups does not respond.
	// A caller that asks that process first waits one second without an answer at every lookup.
	peerSilentTTLMs = 2000
	// targetLookupsPerSecond is the rate of lookups up to which a process shortens the TTL. At
	// 0.1 ms per lookup it uses 2 % of a processor core.
	targetLookupsPerSecond = 200
	// lookupWindowMs is the length of the window in which lookups are counted.
	lookupWindowMs = 1000
)

// LookupTTL determines the time to live of a control process's answers to gateway lookups: the
// shortest one, from minTTLMs to maxTTLMs, at which the lookups of all callers do not exceed
// targetLookupsPerSecond. The zero value has recorded no lookups. Times are in milliseconds.
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
	ttlMs := l.ttlMs()
	if peerSilent {
		ttlMs = max(ttlMs, peerSilentTTLMs)
	}
	l.ttlSumMs += ttlMs
	return ttlMs
}

func (l *LookupTTL) ttlMs() int64 {
	if !l.isEstimated {
		return maxTTLMs
	}
	affordableMs := int64(l.callers * 1000 / targetLookupsPerSecond)
	return min(max(affordableMs, minTTLMs), maxTTLMs)
}
