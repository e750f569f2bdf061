package scheduling

const (
	// countedParts bounds the lengths of prompts that are told apart.
	countedParts = 128
	// countedTurns is at how many turns of a kind all counts are halved, so that what is
	// learnt follows the programs of today.
	countedTurns = 2_000
)

// turnCounts are the turns of one kind seen, by the number of parts of their prompts.
type turnCounts struct {
	byParts [countedParts]float64
	total   float64
}

// ObserveTurn learns from a turn that is sent.
func (p *LatencyModel) ObserveTurn(kind string, parts int) {
	if parts <= 0 {
		return
	}
	counts := entryOfKind(&p.turns, kind)
	counts.byParts[min(parts, countedParts-1)]++
	counts.total++
	if counts.total < countedTurns {
		return
	}
	const half = 2
	for position := range counts.byParts {
		counts.byParts[position] /= half
	}
	counts.total /= half
}

// RemainingTurns returns how many turns, this one included, a session is expected to have yet
// whose prompt has some number of parts. Prompts of a session only grow, so that each of its
// turns is counted under another number of parts: over many sessions the turns with more
// parts, divided by those with as many, are those that follow one of these on the mean.
func (p *LatencyModel) RemainingTurns(kind string, parts int) float64 {
	counts, known := p.turns[kind]
	if !known || parts <= 0 {
		return 1
	}
	position := min(parts, countedParts-1)
	longer := 0.0
	for _, count := range counts.byParts[position+1:] {
		longer += count
	}
	return 1 + longer/(counts.byParts[position]+1)
}

// entryOfKind returns the entry of a kind of request; once there are too many kinds all are
// forgotten.
func entryOfKind[T any](entries *map[string]*T, kind string) *T {
	entry, known := (*entries)[kind]
	if !known {
		if *entries == nil || len(*entries) >= maxKinds {
			*entries = map[string]*T{}
		}
		entry = new(T)
		(*entries)[kind] = entry
	}
	return entry
}
