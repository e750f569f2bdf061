package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxNamed bounds the gateways of one answer to a caller that asks where to go.
	maxNamed = 64
	// leastNamed is how many gateways an answer names at the least where there are as many: a
	// caller still has somewhere to go when some of them are lost before it asks again.
	leastNamed = 8
	// fewNear is how many ready gateways of the caller's own zone are enough.
	fewNear = 2
	// hotZoneShare is which part of a zone's capacity may be left by hot gateways to cool ones of the
	// zone. More goes to other zones: the way there costs a caller some milliseconds.
	hotZoneShare = 0.2
	// proportionMargin covers rounding where weights are equal.
	proportionMargin = 1e-9
)

// Caller is who asks where to go.
type Caller struct {
	// Key tells callers apart; one that asks again under its key is named the same gateways as
	// long as these and what they can take stay the same.
	Key    string
	Zone   string
	Region string
}

// GatewaySelector names the gateways that callers are sent to. A caller opens its connections to
// those that it was named with equal probability, so that a gateway that can take more has to
// be named to more callers. It is a function of the gateways alone: all control processes give
// a caller the same answer.
type GatewaySelector struct {
	zones map[string]*zoneGateways
	// byRegion and all hold the ready gateways in ascending order of their names, for callers
	// whose zone has few.
	byRegion map[string][]Gateway
	all      []Gateway
}

// zoneGateways are the ready gateways of one zone.
type zoneGateways struct {
	gateways []Gateway
	// named is how many of them are in an answer, and shares which part of the answers each
	// should be in.
	named  int
	shares []float64
	// seeds are the hashes of their names, and everyone all of the addresses where an answer
	// names all.
	seeds    []uint64
	everyone []string
}

// NewGatewaySelector returns the spread over gateways, of which those that are not ready are left out.
func NewGatewaySelector(gateways []Gateway) *GatewaySelector {
	spread := &GatewaySelector{zones: map[string]*zoneGateways{}, byRegion: map[string][]Gateway{}}
	for _, gateway := range gateways {
		if !gateway.IsReady {
			continue
		}
		zone := spread.zones[gateway.Zone]
		if zone == nil {
			zone = &zoneGateways{}
			spread.zones[gateway.Zone] = zone
		}
		zone.gateways = append(zone.gateways, gateway)
		spread.byRegion[gateway.Region] = append(spread.byRegion[gateway.Region], gateway)
		spread.all = append(spread.all, gateway)
	}
	names := slices.Sorted(maps.Keys(spread.zones))
	own := map[string][]float64{}
	for _, name := range names {
		own[name] = weightsOf(spread.zones[name].gateways)
	}
	answers := map[string]*zoneGateways{}
	for _, name := range names {
		answers[name] = spread.answer(name, names, own)
	}
	spread.zones = answers
	return spread
}

// answer returns what callers of a zone are named: its gateways, and those of the region's other
// zones for what the zone's own can't take while many of them are hot.
func (s *GatewaySelector) answer(name string, names []string, own map[string][]float64) *zoneGateways {
	zone := s.zones[name]
	answer := &zoneGateways{gateways: zone.gateways}
	weights := own[name]
	short := shortOf(zone.gateways, weights)
	if short > 0 {
		spare, others := 0.0, slices.Clone(zone.gateways)
		weights = slices.Clone(weights)
		for _, other := range names {
			candidates := s.zones[other].gateways
			if other == name || candidates[0].Region != zone.gateways[0].Region || shortOf(candidates, own[other]) > 0 {
				continue
			}
			for position, gateway := range candidates {
				if gateway.OverloadLevel == 0 {
					others = append(others, gateway)
					weights = append(weights, own[other][position])
					spare += own[other][position]
				}
			}
		}
		for position := len(zone.gateways); position < len(weights); position++ {
			weights[position] *= min(short/spare, 1)
		}
		answer.gateways = others
	}
	answer.named = namedOf(weights)
	answer.shares = inclusion(weights, answer.named)
	for _, gateway := range answer.gateways {
		answer.seeds = append(answer.seeds, xxhash.Sum64String(gateway.Name))
		answer.everyone = append(answer.everyone, gateway.Address)
	}
	return answer
}

// shortOf returns what the gateways of a zone lack where too many of them are hot for the others
// to take what they leave, 0 elsewhere.
func shortOf(gateways []Gateway, weights []float64) float64 {
	short, total := 0.0, 0.0
	for position, gateway := range gateways {
		whole := weights[position] / gateway.room()
		total += whole
		short += whole - weights[position]
	}
	if short < hotZoneShare*total {
		return 0
	}
	return short
}

// ReadyCount returns how many gateways take requests.
func (s *GatewaySelector) ReadyCount() int { return len(s.all) }

// Select returns the addresses of the gateways that a caller should use: of its own zone, and
// of others too where that has few.
func (s *GatewaySelector) Select(caller Caller) []string {
	zone := s.zones[caller.Zone]
	if zone != nil && len(zone.gateways) >= fewNear {
		return zone.sample(caller.Key)
	}
	var addresses []string
	named := func(gateways []Gateway) {
		for _, gateway := range gateways {
			if len(addresses) < maxNamed && !slices.Contains(addresses, gateway.Address) {
				addresses = append(addresses, gateway.Address)
			}
		}
	}
	if zone != nil {
		named(zone.gateways)
	}
	named(s.byRegion[caller.Region])
	if len(addresses) < fewNear {
		named(s.all)
	}
	return addresses
}

// weightsOf returns what gateways can take in proportion. One that does not say is taken to be
// like the others.
func weightsOf(gateways []Gateway) []float64 {
	total, known := 0.0, 0
	for _, gateway := range gateways {
		if gateway.Capacity > 0 {
			total += gateway.Capacity
			known++
		}
	}
	usual := 1.0
	if known > 0 {
		usual = total / float64(known)
	}
	weights := make([]float64, 0, len(gateways))
	for _, gateway := range gateways {
		weight := gateway.Capacity
		if weight <= 0 {
			weight = usual
		}
		weights = append(weights, weight*gateway.room())
	}
	return weights
}

// namedOf returns how many gateways an answer names: as many as can all be named in proportion to
// their weights, which is all of them where these are equal, within the bounds of an answer.
func namedOf(weights []float64) int {
	total, largest := 0.0, 0.0
	for _, weight := range weights {
		total += weight
		largest = max(largest, weight)
	}
	if largest <= 0 {
		return min(len(weights), maxNamed)
	}
	named := int(total/largest + proportionMargin)
	return min(max(named, leastNamed), maxNamed, len(weights))
}

// inclusion returns for each weight the part of the answers of a number of gateways that it
// should be in: in proportion to the weights, and all of the answers where that is more.
func inclusion(weights []float64, named int) []float64 {
	shares := make([]float64, len(weights))
	left, total := float64(named), 0.0
	for _, weight := range weights {
		total += weight
	}
	for capped := true; capped; {
		capped = false
		for position, weight := range weights {
			if shares[position] < 1 && weight*left >= total*(1-proportionMargin) {
				shares[position] = 1
				left--
				total -= weight
				capped = true
			}
		}
	}
	for position, weight := range weights {
		if shares[position] < 1 && total > 0 {
			shares[position] = min(weight*left/total, 1)
		}
	}
	return shares
}

// sample returns the gateways for a caller: the first in an order of its own in which each is
// among them with its share of probability (Rosén, On Sampling with Probability Proportional to
// Size, 1997; Pareto sampling). A gateway that comes or goes, or whose share changes a little,
// changes few answers by one gateway, since nothing else in a caller's order moves.
func (z *zoneGateways) sample(key string) []string {
	if z.named == len(z.gateways) {
		return z.everyone
	}
	type ranked struct {
		rank    float64
		address string
	}
	order := make([]ranked, 0, len(z.gateways))
	for position, gateway := range z.gateways {
		rank := 0.0
		if share := z.shares[position]; share < 1 {
			place := placeOf(key, z.seeds[position])
			rank = place / (1 - place) * (1 - share) / max(share, math.SmallestNonzeroFloat32)
		}
		order = append(order, ranked{rank, gateway.Address})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, 0, z.named)
	for _, entry := range order[:z.named] {
		addresses = append(addresses, entry.address)
	}
	return addresses
}

// placeOf returns where a gateway stands for a caller, evenly spread over [0, 1).
func placeOf(key string, gateway uint64) float64 {
	const fractionBits = 53
	var digest xxhash.Digest
	digest.ResetWithSeed(gateway)
	_, _ = digest.WriteString(key)
	return float64(digest.Sum64()>>(64-fractionBits)) / (1 << fractionBits)
}
