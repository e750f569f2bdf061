package scheduling

// ExpectedServiceMs returns how long a request is expected to occupy an average engine, or 0 if
// that is unknown. The prefill of a stream is not included: a stream whose prompt is not cached
// takes longer.
func (m *LatencyModel) ExpectedServiceMs(input SelectionInput) float64 {
	if input.IsStream {
		return m.usualStreamMs(input.NowMs, m.expectedEvents(input.NowMs, input.MaxEvents))
	}
	return m.usualResponseMs(input.RequestKind, input.NowMs)
}
