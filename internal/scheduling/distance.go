package scheduling

const (
	// DefaultCrossZonePenaltyMs is the latency handicap of an engine in another zone beside the
	// way there: it stands for the cross-zone traffic of a request and what its session keeps
	// there.
	DefaultCrossZonePenaltyMs = 25.0
	// roundTripRise is which part of the difference a longer round trip adds to the one that is
	// known: samples are delayed by busy processors at both ends, never shortened, so that short
	// ones count at once and long ones only if they stay.
	roundTripRise = 1.0 / 32
)

// ZoneCosts is what it costs to send to engines of other zones, as one gateway has learnt it.
type ZoneCosts struct {
	// CrossZonePenaltyMs is what another zone costs however near it is, milliseconds.
	CrossZonePenaltyMs float64

	// roundTrips are the round trips to engines by their zones, milliseconds.
	roundTrips map[string]float64
}

// ObserveRoundTrip takes a measured round trip to an engine of a zone.
func (d *ZoneCosts) ObserveRoundTrip(zone string, tookMs float64) {
	if d.roundTrips == nil {
		d.roundTrips = map[string]float64{}
	}
	known, measured := d.roundTrips[zone]
	switch {
	case tookMs < 0:
	case !measured || tookMs < known:
		d.roundTrips[zone] = tookMs
	default:
		d.roundTrips[zone] = known + (tookMs-known)*roundTripRise
	}
}

// CostMs returns what an engine of another zone costs a request, beside one of its own: the penalty,
// and what the way there and back takes longer where both ways have been measured.
func (d *ZoneCosts) CostMs(from, to string) float64 {
	if d == nil {
		return DefaultCrossZonePenaltyMs
	}
	near, nearKnown := d.roundTrips[from]
	distant, distantKnown := d.roundTrips[to]
	if !nearKnown || !distantKnown {
		return d.CrossZonePenaltyMs
	}
	return d.CrossZonePenaltyMs + max(distant-near, 0)
}
