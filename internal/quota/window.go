package quota

// bucketMs is the resolution of a window in milliseconds. All events of a bucket count until the
// end of the bucket has left the window, so that each counts for up to one bucket longer than the
// window: a fiftieth of a window of 5 s.
const bucketMs = 100

// clockDriftMarginMs covers the drift between the clocks of two machines, or between a clock and
// true time, within a window of 5 s and a reservation of 1 s, in milliseconds: 0.1% of 6 s is
// 6 ms, and the rest is a margin.
const clockDriftMarginMs = 10

// bucket counts events within bucketMs of startMs.
type bucket struct {
	startMs int64
	count   int64
}

// window counts events in a sliding window. Invariant: sum is at least the count of the events
// added at times after now - lengthMs and not removed.
type window struct {
	lengthMs int64
	buckets  []bucket
	sum      int64
}

// add counts events at atMs, which may be before the atMs of the previous call by at most
// bucketMs.
func (w *window) add(atMs, count int64) {
	start := atMs - atMs%bucketMs
	w.sum += count
	if last := len(w.buckets) - 1; last >= 0 && w.buckets[last].startMs >= start {
		w.buckets[last].count += count
		return
	}
	w.buckets = append(w.buckets, bucket{startMs: start, count: count})
}

// remove removes one event that was added at atMs. It does nothing if the event has left the
// window.
func (w *window) remove(atMs int64) {
	for position := range w.buckets {
		item := &w.buckets[position]
		if item.count > 0 && atMs >= item.startMs && atMs < item.startMs+bucketMs {
			item.count--
			w.sum--
			return
		}
	}
}

// expire drops the buckets that have left the window.
func (w *window) expire(nowMs int64) {
	expired := 0
	for expired < len(w.buckets) && w.bucketExpiryMs(w.buckets[expired]) <= nowMs {
		w.sum -= w.buckets[expired].count
		expired++
	}
	w.buckets = w.buckets[expired:]
}

// bucketExpiryMs returns when the end of a bucket has left the window.
func (w *window) bucketExpiryMs(item bucket) int64 {
	return item.startMs + bucketMs + w.lengthMs + clockDriftMarginMs
}
