package membership

const (
	// leastHeldMs and mostHeldMs bound how long callers may hold an answer that names gateways.
	// What a caller sends to a gateway that has been lost is lost until it asks again, and its
	// next request waits for a look-up once its answer is over: at 250 ms programs took 2 to 4 %
	// longer than at 1 s, with a third of that more look-ups at 500 ms, which has three quarters of
	// what 250 ms save (docs/design/0017-uneven-demand.md).
	leastHeldMs = 500
	mostHeldMs  = 1000
	// darkHeldMs is how long they may hold it while another process that answers look-ups is silent.
	// A caller that asks that one first waits a second for nothing, each time that it asks.
	darkHeldMs = 2000
	// lookUpsPerSecond is how many look-ups a process answers a second where callers may ask again
	// sooner: at 0.1 ms each 2 % of a core.
	lookUpsPerSecond = 200
	// lookUpWindowMs is the span over which look-ups are counted.
	lookUpWindowMs = 1000
)

// LookupTTL decides how long callers may hold an answer of the directory: as short as the process
// that answers can afford to be asked again. The zero value has seen nobody. Times are in milliseconds.
type LookupTTL struct {
	windowMs int64
	// heldMs is for how long the answers of this window may be held in sum.
	heldMs int64
	// callers is how many hold an answer of this process at a time: by Little's law the answers a
	// millisecond times how long each is held.
	callers float64
	known   bool
}

// RecordLookup notes a look-up and returns how long its answer may be held; dark says that another
// process that answers look-ups is silent.
func (l *LookupTTL) RecordLookup(dark bool, nowMs int64) int64 {
	if l.windowMs == 0 {
		l.windowMs = nowMs
	}
	if span := nowMs - l.windowMs; span >= lookUpWindowMs {
		l.callers = float64(l.heldMs) / float64(span)
		l.known = true
		l.windowMs, l.heldMs = nowMs, 0
	}
	held := l.holdMs()
	if dark {
		held = max(held, darkHeldMs)
	}
	l.heldMs += held
	return held
}

func (l *LookupTTL) holdMs() int64 {
	if !l.known {
		return mostHeldMs
	}
	afforded := int64(l.callers * 1000 / lookUpsPerSecond)
	return min(max(afforded, leastHeldMs), mostHeldMs)
}
