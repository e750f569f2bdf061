package scheduling

const (
	// maxCountedParts limits the prompt lengths, in parts, that are counted separately.
	maxCountedParts = 128
	// maxCountedTurns is the number of turns of a kind at which all counts are halved, so that they
	// follow the current programs.
	maxCountedTurns = 2_000
)

// turnCounts counts the turns of one kind by the number of parts of their prompts.
type turnCounts struct {
	byParts [maxCountedParts]float64
	total   float64
}

// ObserveTurn counts a turn that is sent with a prompt of a number of parts.
func (m *LatencyModel) ObserveTurn(kind string, parts int) {
	if parts <= 0 {
		return
	}
	counts := entryForKind(&m.turnsByKind, kind)
	counts.byParts[min(parts, maxCountedParts-1)]++
	counts.total++
	if counts.total < maxCountedTurns {
		return
	}
	const half = 2
	for index := range counts.byParts {
		counts.byParts[index] /= half
	}
	counts.total /= half
}

// RemainingTurns returns the expected number of remaining turns, including this one, of a session
// whose prompt has a number of parts. The prompts of a session only grow, so that each of its turns
// is counted under a different number of parts. Over many sessions, the number of turns with more
// parts divided by the number of turns with the same number of parts is the mean number of turns
// that follow.
func (m *LatencyModel) RemainingTurns(kind string, parts int) float64 {
	counts, known := m.turnsByKind[kind]
	if !known || parts <= 0 {
		return 1
	}
	bucket := min(parts, maxCountedParts-1)
	longer := 0.0
	for _, count := range counts.byParts[bucket+1:] {
		longer += count
	}
	return 1 + longer/(counts.byParts[bucket]+1)
}

// entryForKind returns the entry of a kind of request, which is created if necessary. If there are
// too many kinds, all entries are dropped first.
func entryForKind[T any](entries *map[string]*T, kind string) *T {
	entry, known := (*entries)[kind]
	if !known {
		if *entries == nil || len(*entries) >= maxRequestKinds {
			*entries = map[string]*T{}
		}
		entry = new(T)
		(*entries)[kind] = entry
	}
	return entry
}
