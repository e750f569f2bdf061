package membership

const (
	// usualHeldMs is how long callers may hold an answer that names gateways. A caller whose answer is
	// over asks before it sends its next request: two or three ways there and back, 6 to 12 ms
	// where it is 3 ms away, which it pays for each turn where answers are over that soon.
	usualHeldMs = 1000
	// leastHeldMs is how long they may hold it while gateways are being lost, where the process that
	// answers can afford it: what a caller sends to a gateway that is lost is lost until it asks again.
	leastHeldMs = 250
	// darkHeldMs is how long they may hold it while another process that answers look-ups is silent.
	// A caller that asks that one first waits a second for nothing, each time that it asks.
	darkHeldMs = 2000
	// lookUpsPerSecond is how many look-ups a process answers a second where callers may ask again
	// sooner: at 0.1 ms each 2 % of a core.
	lookUpsPerSecond = 200
	// lookUpWindowMs is the span over which look-ups are counted.
	lookUpWindowMs = 1000
	// losingMs is how long after the loss of a gateway others are expected to follow: machines that
	// are restarted in turn, or freeze together and wake one by one, do so within seconds.
	losingMs = 5000
)

// LookUps decides how long callers may hold an answer of the directory: shorter while gateways are
// being lost, as far as the process that answers can afford to be asked again, and longer while
// another such process is silent. The zero value has seen nobody. Times are in milliseconds.
type LookUps struct {
	windowMs int64
	// heldMs is for how long the answers of this window may be held in sum.
	heldMs int64
	// callers is how many hold an answer of this process at a time: by Little's law the answers a
	// millisecond times how long each is held.
	callers float64
	known   bool
	// lost is how many gateways had been lost when that last grew, at lostMs.
	lost   uint64
	lostMs int64
}

// Peril is what makes look-ups urgent or dear.
type Peril struct {
	// GatewaysLost counts the gateways that have been lost so far.
	GatewaysLost uint64
	// MemberSilent says that another process that answers look-ups is silent.
	MemberSilent bool
}

// Answer notes a look-up and returns how long its answer may be held.
func (l *LookUps) Answer(peril Peril, nowMs int64) int64 {
	if l.windowMs == 0 {
		l.windowMs, l.lost, l.lostMs = nowMs, peril.GatewaysLost, nowMs-losingMs
	}
	if span := nowMs - l.windowMs; span >= lookUpWindowMs {
		l.callers = float64(l.heldMs) / float64(span)
		l.known = true
		l.windowMs, l.heldMs = nowMs, 0
	}
	if peril.GatewaysLost != l.lost {
		l.lost, l.lostMs = peril.GatewaysLost, nowMs
	}
	held := l.holdMs(peril, nowMs)
	l.heldMs += held
	return held
}

func (l *LookUps) holdMs(peril Peril, nowMs int64) int64 {
	switch {
	case peril.MemberSilent:
		return darkHeldMs
	case !l.known || nowMs-l.lostMs >= losingMs:
		return usualHeldMs
	}
	afforded := int64(l.callers * 1000 / lookUpsPerSecond)
	return min(max(afforded, leastHeldMs), usualHeldMs)
}
