package scheduling

import "math"

// Usage is what observers know of one engine besides its Load: one gateway since its last
// report, or all gateways together. It goes as a map, so that processes of an older or newer
// release read what they know of it.
type Usage struct {
	Engine string `msgpack:"e"`
	// Pace are samples of how many times longer than usual a token took there.
	Pace Samples `msgpack:"p"`
}

// TakeUsage returns what is new since the last call, for the report to all; false where
// there is nothing to say.
func (h *EngineHealth) TakeUsage(engine string, nowMs int64) (Usage, bool) {
	usage := Usage{Engine: engine, Pace: h.pace.news.samples(nowMs)}
	h.pace.news = Evidence{HalfLifeMs: paceHalfLifeMs}
	return usage, usage.Pace.Weight > minimumWeight
}

// TakeSharedUsage takes what all gateways together know.
func (h *EngineHealth) TakeSharedUsage(usage Usage, nowMs int64) {
	h.pace.shared = usage.Pace.evidence(nowMs)
	h.pace.shared.HalfLifeMs = paceHalfLifeMs
}

// usageEntry is what a board knows of one engine's use.
type usageEntry struct {
	pace    Evidence
	heardMs int64
}

// usageForgottenMs is when a board forgets the use of an engine of which nobody speaks: its
// samples count for little by then.
const usageForgottenMs = 6 * paceHalfLifeMs

// ReportUsage takes what a gateway says of engines that there are, as Report does.
func (b *Board) ReportUsage(usages []Usage, nowMs int64) {
	for _, usage := range usages {
		entry, known := b.usages[usage.Engine]
		if !known {
			entry = &usageEntry{pace: Evidence{HalfLifeMs: paceHalfLifeMs}}
			b.usages[usage.Engine] = entry
		}
		entry.heardMs = nowMs
		entry.pace.Merge(nowMs, usage.Pace.evidence(nowMs))
	}
}

// Usages returns what all gateways together know of the use of the engines named.
func (b *Board) Usages(engines []string, nowMs int64) []Usage {
	var usages []Usage
	for _, engine := range engines {
		entry, known := b.usages[engine]
		if !known {
			continue
		}
		usage := Usage{Engine: engine, Pace: entry.pace.samples(nowMs)}
		// Bounded, so that the sums of many gateways stay what an answer can hold.
		if usage.Pace.Weight > minimumWeight && !math.IsInf(float64(usage.Pace.Sum), 0) {
			usages = append(usages, usage)
		}
	}
	return usages
}

// Forget drops what is known of an engine that began anew under its name.
func (b *Board) Forget(engine string) {
	delete(b.engines, engine)
	delete(b.usages, engine)
	delete(b.failing, engine)
}

// sweepUsages forgets engines of which nobody has spoken for long.
func (b *Board) sweepUsages(nowMs int64) {
	for engine, entry := range b.usages {
		if nowMs-entry.heardMs > usageForgottenMs {
			delete(b.usages, engine)
		}
	}
}
