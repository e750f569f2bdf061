package scheduling

// ExpectedServiceMs is how long a request is expected to occupy an engine that is like the others,
// 0 where nothing is known yet. A stream that is new to its engine takes longer by what there
// is to read.
func (p *LatencyModel) ExpectedServiceMs(demand SelectionInput) float64 {
	if demand.IsStream {
		return p.streamMs(demand.NowMs, p.expectedEvents(demand.NowMs, demand.MaxEvents))
	}
	return p.usual(demand.RequestKind, demand.NowMs)
}
