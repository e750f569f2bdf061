package scheduling

// ExpectedMs is how long a request is expected to occupy an engine that is like the others,
// 0 where nothing is known yet. A stream that is new to its engine takes longer by what there
// is to read.
func (p *Pool) ExpectedMs(demand Demand) float64 {
	if demand.Stream {
		return p.streamMs(demand.NowMs, p.expectedEvents(demand.NowMs, demand.Events))
	}
	return p.usual(demand.Kind, demand.NowMs)
}
