// Package emulator holds the stand-ins for what ochrebay doesn't own: model
// engines, the weight store, tools and the platform's list of machines. Model is
// the engine in virtual time, used alike by the HTTP stand-in, the simulator and
// the experiments (design section 11).
package emulator

import "github.com/ochrebay/ochrebay/internal/engine"

// Hardware is the table of engines. The figures and their sources stand in
// docs/design/0003-engine-model.md.
var Hardware = map[string]engine.Hardware{
	"new": {
		Name: "new", PrefillTokensPerSecond: 24_700, StepMicros: 4_800, SequenceMicros: 30,
		ContextNanosPerToken: 39, MemoryTokens: 427_000, ChunkTokens: 512, MaxSequences: 64,
		WeightBytes: 16 << 30,
	},
	"old": {
		Name: "old", PrefillTokensPerSecond: 8_800, StepMicros: 10_300, SequenceMicros: 50,
		ContextNanosPerToken: 84, MemoryTokens: 152_000, ChunkTokens: 512, MaxSequences: 48,
		WeightBytes: 16 << 30,
	},
	"small": {
		Name: "small", PrefillTokensPerSecond: 17_000, StepMicros: 2_700, SequenceMicros: 40,
		ContextNanosPerToken: 110, MemoryTokens: 60_000, ChunkTokens: 512, MaxSequences: 32,
		WeightBytes: 3 << 30,
	},
}

// HardwareNamed returns an entry of the table, the one named new by default.
func HardwareNamed(name string) engine.Hardware {
	hardware, ok := Hardware[name]
	if !ok {
		return Hardware["new"]
	}
	return hardware
}

// Slowed returns hardware on which everything takes a number of times longer; 0 is 1.
func Slowed(hardware engine.Hardware, slowness float64) engine.Hardware {
	if slowness <= 0 {
		return hardware
	}
	times := func(value int64) int64 { return int64(float64(value) * slowness) }
	hardware.PrefillTokensPerSecond = max(int64(float64(hardware.PrefillTokensPerSecond)/slowness), 1)
	hardware.StepMicros = times(hardware.StepMicros)
	hardware.SequenceMicros = times(hardware.SequenceMicros)
	hardware.ContextNanosPerToken = times(hardware.ContextNanosPerToken)
	return hardware
}
