package program

import (
	"cmp"
	"slices"
)

const (
	// holdMarginMs is added to the duration of a hold. A settlement may be sent, and sent again, for a
	// moment after the deadline of its turn, takes up to 3 s to be applied, and the leaders that apply
	// the hold and the sweep may have clocks that are 5 s apart.
	holdMarginMs = 10_000
	// DefaultHoldMs is the duration of the hold of a turn whose gateway does not state how long the turn
	// may take. The reservation of such a turn is forgotten after the same time.
	DefaultHoldMs = budgetRetentionMs
	// holdSweepDelayMs is how long expired holds may stay, so that they need no sweep of their own at
	// every interval.
	holdSweepDelayMs = 5_000
)

// Hold retains the chain of turns that an open turn continues, until the turn is settled or, if no
// settlement comes, for DurationMs.
type Hold struct {
	// ID identifies the hold. It is unique over all client attempts of a turn, so that the settlement of
	// one of them does not release the hold of another.
	ID string `msgpack:"i"`
	// DurationMs is the longest time that the turn may take: the time to its deadline, in milliseconds.
	DurationMs int64 `msgpack:"d"`
}

// turnHold is a Hold on record.
type turnHold struct {
	ID string `msgpack:"i"`
	// Turn is the retained turn whose chain is held.
	Turn      string `msgpack:"t"`
	ExpiresMs int64  `msgpack:"e"`
}

// holdTable holds the holds of open turns by ID.
type holdTable map[string]*turnHold

// newHoldTable returns a table with the given holds.
func newHoldTable(recorded []*turnHold) holdTable {
	table := make(holdTable, len(recorded))
	for _, hold := range recorded {
		table[hold.ID] = hold
	}
	return table
}

// acquire records a hold on the chain that ends with a turn.
func (h holdTable) acquire(nowMs int64, hold *Hold, turn string) {
	expiresMs := nowMs + hold.DurationMs + holdMarginMs
	if existing, known := h[hold.ID]; known && existing.Turn == turn {
		existing.ExpiresMs = max(existing.ExpiresMs, expiresMs)
		return
	}
	h[hold.ID] = &turnHold{ID: hold.ID, Turn: turn, ExpiresMs: expiresMs}
}

// isSweepDue reports whether holds have been expired for longer than holdSweepDelayMs.
func (h holdTable) isSweepDue(nowMs int64) bool {
	for _, hold := range h {
		if hold.ExpiresMs+holdSweepDelayMs < nowMs {
			return true
		}
	}
	return false
}

// sweep deletes the expired holds.
func (h holdTable) sweep(nowMs int64) {
	for id, hold := range h {
		if hold.ExpiresMs < nowMs {
			delete(h, id)
		}
	}
}

// sorted returns the holds in ascending order of ID.
func (h holdTable) sorted() []*turnHold {
	var sorted []*turnHold
	for _, hold := range h {
		sorted = append(sorted, hold)
	}
	slices.SortFunc(sorted, func(a, b *turnHold) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}

// heldTurns returns the turns that unexpired holds retain.
func (t *TurnLedger) heldTurns(nowMs int64) map[string]bool {
	held := map[string]bool{}
	for _, hold := range t.holds {
		if hold.ExpiresMs < nowMs {
			continue
		}
		for request := hold.Turn; request != "" && !held[request]; {
			retained, ok := t.turns[request]
			if !ok {
				break
			}
			held[request] = true
			request = retained.Previous
		}
	}
	return held
}
