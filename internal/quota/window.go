package quota

// grainMs is how finely a window tells times apart, milliseconds. What falls into one grain
// counts until the last of it has left the window: a fiftieth of a window of 5 s.
const grainMs = 100

// rateMarginMs covers what the clocks of two machines, or one clock and true time, may drift
// apart within a window and a reservation: 0.1% of 6 s and some.
const rateMarginMs = 10

// grain is what was counted within grainMs.
type grain struct {
	atMs  int64
	count int64
}

// window counts what happened within the last span of time. Invariant: Sum is at least what
// was added with a time above now - length.
type window struct {
	lengthMs int64
	grains   []grain
	sum      int64
}

// add counts at a time; times may not go down by more than a grain.
func (w *window) add(atMs, count int64) {
	start := atMs - atMs%grainMs
	w.sum += count
	if last := len(w.grains) - 1; last >= 0 && w.grains[last].atMs >= start {
		w.grains[last].count += count
		return
	}
	w.grains = append(w.grains, grain{atMs: start, count: count})
}

// remove takes back one that was added at a time; one that has left the window is gone.
func (w *window) remove(atMs int64) {
	for position := range w.grains {
		item := &w.grains[position]
		if item.count > 0 && atMs >= item.atMs && atMs < item.atMs+grainMs {
			item.count--
			w.sum--
			return
		}
	}
}

// expire drops what has left the window.
func (w *window) expire(nowMs int64) {
	gone := 0
	for gone < len(w.grains) && w.leavesMs(w.grains[gone]) <= nowMs {
		w.sum -= w.grains[gone].count
		gone++
	}
	w.grains = w.grains[gone:]
}

// leavesMs is when the last of a grain has left the window.
func (w *window) leavesMs(item grain) int64 { return item.atMs + grainMs + w.lengthMs + rateMarginMs }
