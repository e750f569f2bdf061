package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSelected bounds the number of gateways in a lookup answer.
	maxSelected = 64
	// minSelected is the minimum number of gateways in an answer, if that many exist. A caller
	// then still has a gateway to use if some of them are lost before its next lookup.
	minSelected = 8
	// minZoneGateways is the number of ready gateways below which a zone's callers also
	// receive gateways of other zones.
	minZoneGateways = 2
	// zoneOverflowThreshold is the share of a zone's capacity that overloaded gateways may
	// shift to the other gateways of the zone. A larger share goes to other zones, which costs
	// callers some milliseconds of latency.
	zoneOverflowThreshold = 0.2
	// roundingMargin absorbs rounding errors where weights are equal.
	roundingMargin = 1e-9
)

// Caller identifies the caller of a lookup.
type Caller struct {
	// Key distinguishes callers. Repeated lookups with the same key return the same gateways
	// as long as the gateways and their capacities do not change.
	Key    string
	Zone   string
	Region string
}

// GatewaySelector selects the gateways for callers. A caller chooses among the selected
// gateways with equal probability when it opens connections, so a gateway with a larger
// capacity has to be selected for more callers. The selection depends only on the gateways and
// the caller, so all control processes return the same answer to a caller.
type GatewaySelector struct {
	zones map[string]*zoneGateways
	// byRegion and all hold the ready gateways for callers whose zone has few gateways, in the
	// order in which they were passed to NewGatewaySelector.
	byRegion map[string][]Gateway
	all      []Gateway
}

// zoneGateways are the ready gateways that callers of one zone may receive.
type zoneGateways struct {
	gateways []Gateway
	// sampleSize is the number of gateways in an answer. inclusionProbabilities holds the
	// share of the answers in which each gateway should be.
	sampleSize             int
	inclusionProbabilities []float64
	// seeds holds the hashes of the gateways' names. allAddresses holds all addresses, for
	// answers that contain every gateway.
	seeds        []uint64
	allAddresses []string
}

// NewGatewaySelector returns a selector for the ready gateways among the given ones. All control
// processes must pass them in the same order, because some answers depend on it.
func NewGatewaySelector(gateways []Gateway) *GatewaySelector {
	selector := &GatewaySelector{zones: map[string]*zoneGateways{}, byRegion: map[string][]Gateway{}}
	for _, gateway := range gateways {
		if !gateway.IsReady {
			continue
		}
		zone := selector.zones[gateway.Zone]
		if zone == nil {
			zone = &zoneGateways{}
			selector.zones[gateway.Zone] = zone
		}
		zone.gateways = append(zone.gateways, gateway)
		selector.byRegion[gateway.Region] = append(selector.byRegion[gateway.Region], gateway)
		selector.all = append(selector.all, gateway)
	}
	names := slices.Sorted(maps.Keys(selector.zones))
	weightsByZone := map[string][]float64{}
	for _, name := range names {
		weightsByZone[name] = gatewayWeights(selector.zones[name].gateways)
	}
	selections := map[string]*zoneGateways{}
	for _, name := range names {
		selections[name] = selector.zoneSelection(name, names, weightsByZone)
	}
	selector.zones = selections
	return selector
}

// zoneSelection returns the gateways for callers of a zone: those of the zone, and gateways of
// the region's other zones for the capacity that the zone lacks while many of its gateways are
// overloaded.
func (s *GatewaySelector) zoneSelection(name string, names []string, weightsByZone map[string][]float64) *zoneGateways {
	zone := s.zones[name]
	selection := &zoneGateways{gateways: zone.gateways}
	weights := weightsByZone[name]
	shortfall := capacityShortfall(zone.gateways, weights)
	if shortfall > 0 {
		spareCapacity, gateways := 0.0, slices.Clone(zone.gateways)
		weights = slices.Clone(weights)
		for _, other := range names {
			candidates := s.zones[other].gateways
			if other == name || candidates[0].Region != zone.gateways[0].Region || capacityShortfall(candidates, weightsByZone[other]) > 0 {
				continue
			}
			for position, gateway := range candidates {
				if gateway.OverloadLevel == 0 {
					gateways = append(gateways, gateway)
					weights = append(weights, weightsByZone[other][position])
					spareCapacity += weightsByZone[other][position]
				}
			}
		}
		for position := len(zone.gateways); position < len(weights); position++ {
			weights[position] *= min(shortfall/spareCapacity, 1)
		}
		selection.gateways = gateways
	}
	selection.sampleSize = sampleSizeFor(weights)
	selection.inclusionProbabilities = inclusionProbabilities(weights, selection.sampleSize)
	for _, gateway := range selection.gateways {
		selection.seeds = append(selection.seeds, xxhash.Sum64String(gateway.Name))
		selection.allAddresses = append(selection.allAddresses, gateway.Address)
	}
	return selection
}

// capacityShortfall returns the capacity that the gateways of a zone lack if too many of them
// are overloaded for the others to absorb the difference, otherwise 0.
func capacityShortfall(gateways []Gateway, weights []float64) float64 {
	shortfall, total := 0.0, 0.0
	for position, gateway := range gateways {
		fullWeight := weights[position] / gateway.capacityFactor()
		total += fullWeight
		shortfall += fullWeight - weights[position]
	}
	if shortfall < zoneOverflowThreshold*total {
		return 0
	}
	return shortfall
}

// ReadyCount returns the number of gateways that accept requests.
func (s *GatewaySelector) ReadyCount() int { return len(s.all) }

// Select returns the addresses of the gateways that a caller should use: those of its own
// zone, and others if that zone has too few or too many of them are overloaded.
func (s *GatewaySelector) Select(caller Caller) []string {
	zone := s.zones[caller.Zone]
	if zone != nil && len(zone.gateways) >= minZoneGateways {
		return zone.sample(caller.Key)
	}
	var addresses []string
	add := func(gateways []Gateway) {
		for _, gateway := range gateways {
			if len(addresses) < maxSelected && !slices.Contains(addresses, gateway.Address) {
				addresses = append(addresses, gateway.Address)
			}
		}
	}
	if zone != nil {
		add(zone.gateways)
	}
	add(s.byRegion[caller.Region])
	if len(addresses) < minZoneGateways {
		add(s.all)
	}
	return addresses
}

// gatewayWeights returns the relative capacities of the gateways, reduced by their overload
// levels. A gateway that does not report its capacity has the average of the others.
func gatewayWeights(gateways []Gateway) []float64 {
	total, known := 0.0, 0
	for _, gateway := range gateways {
		if gateway.Capacity > 0 {
			total += gateway.Capacity
			known++
		}
	}
	average := 1.0
	if known > 0 {
		average = total / float64(known)
	}
	weights := make([]float64, 0, len(gateways))
	for _, gateway := range gateways {
		weight := gateway.Capacity
		if weight <= 0 {
			weight = average
		}
		weights = append(weights, weight*gateway.capacityFactor())
	}
	return weights
}

// sampleSizeFor returns the number of gateways in an answer: the largest number for which
// every gateway can be selected in proportion to its weight, within the bounds of an answer.
// With equal weights this is all of them.
func sampleSizeFor(weights []float64) int {
	total, largest := 0.0, 0.0
	for _, weight := range weights {
		total += weight
		largest = max(largest, weight)
	}
	if largest <= 0 {
		return min(len(weights), maxSelected)
	}
	size := int(total/largest + roundingMargin)
	return min(max(size, minSelected), maxSelected, len(weights))
}

// inclusionProbabilities returns, for each weight, the share of the answers of the given size
// that should contain its gateway: proportional to the weight and at most 1.
func inclusionProbabilities(weights []float64, sampleSize int) []float64 {
	probabilities := make([]float64, len(weights))
	remaining, total := float64(sampleSize), 0.0
	for _, weight := range weights {
		total += weight
	}
	for capped := true; capped; {
		capped = false
		for position, weight := range weights {
			if probabilities[position] < 1 && weight*remaining >= total*(1-roundingMargin) {
				probabilities[position] = 1
				remaining--
				total -= weight
				capped = true
			}
		}
	}
	for position, weight := range weights {
		if probabilities[position] < 1 && total > 0 {
			probabilities[position] = min(weight*remaining/total, 1)
		}
	}
	return probabilities
}

// sample returns the first sampleSize gateways in an order that depends on the caller. The order
// is such that each gateway is selected with its inclusion probability (Pareto sampling; Rosén,
// On Sampling with Probability Proportional to Size, 1997). Adding or removing a gateway, or a
// small change of its probability, changes few answers and each of them by one gateway, because
// the other gateways keep their relative positions in the caller's order.
func (z *zoneGateways) sample(key string) []string {
	if z.sampleSize == len(z.gateways) {
		return z.allAddresses
	}
	type ranked struct {
		rank    float64
		address string
	}
	order := make([]ranked, 0, len(z.gateways))
	for position, gateway := range z.gateways {
		rank := 0.0
		if probability := z.inclusionProbabilities[position]; probability < 1 {
			uniform := uniformHash(key, z.seeds[position])
			rank = uniform / (1 - uniform) * (1 - probability) / max(probability, math.SmallestNonzeroFloat32)
		}
		order = append(order, ranked{rank, gateway.Address})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, 0, z.sampleSize)
	for _, entry := range order[:z.sampleSize] {
		addresses = append(addresses, entry.address)
	}
	return addresses
}

// uniformHash returns a value for the pair of caller and gateway, uniformly distributed over
// [0, 1). seed is the hash of the gateway's name.
func uniformHash(key string, seed uint64) float64 {
	const fractionBits = 53
	var digest xxhash.Digest
	digest.ResetWithSeed(seed)
	_, _ = digest.WriteString(key)
	return float64(digest.Sum64()>>(64-fractionBits)) / (1 << fractionBits)
}
