package scheduling

const (
	// DefaultCrossZonePenaltyMs is the latency penalty of an engine in another zone in addition to
	// the longer round trip. It accounts for the cross-zone traffic of the request and for the
	// state that its session keeps in the other zone.
	DefaultCrossZonePenaltyMs = 25.0
	// slowerRoundTripWeight is the fraction of the difference by which a longer round trip raises
	// the estimate. Samples are delayed by busy processors at both ends, never shortened, so that a
	// shorter sample counts at once and longer ones only if they persist.
	slowerRoundTripWeight = 1.0 / 32
)

// ZoneCosts is the cost of sending to engines in other zones, as learned by one gateway.
type ZoneCosts struct {
	// CrossZonePenaltyMs is the cost of another zone regardless of its distance, in milliseconds.
	CrossZonePenaltyMs float64

	// roundTripMs holds the estimated round trips to engines by zone, in milliseconds.
	roundTripMs map[string]float64
}

// ObserveRoundTrip records a measured round trip to an engine in a zone. A negative one is ignored.
func (z *ZoneCosts) ObserveRoundTrip(zone string, tookMs float64) {
	if z.roundTripMs == nil {
		z.roundTripMs = map[string]float64{}
	}
	previousMs, measured := z.roundTripMs[zone]
	switch {
	case tookMs < 0:
	case !measured || tookMs < previousMs:
		z.roundTripMs[zone] = tookMs
	default:
		z.roundTripMs[zone] = previousMs + (tookMs-previousMs)*slowerRoundTripWeight
	}
}

// CostMs returns the additional cost of a request from one zone to an engine in another zone, in
// milliseconds: the penalty, and the difference of the round trips if both were measured.
func (z *ZoneCosts) CostMs(from, to string) float64 {
	if z == nil {
		return DefaultCrossZonePenaltyMs
	}
	fromMs, fromKnown := z.roundTripMs[from]
	toMs, toKnown := z.roundTripMs[to]
	if !fromKnown || !toKnown {
		return z.CrossZonePenaltyMs
	}
	return z.CrossZonePenaltyMs + max(toMs-fromMs, 0)
}
