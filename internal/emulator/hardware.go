// Package emulator holds the stand-ins for what ochrebay doesn't own: model
// engines, the weight store, tools and the platform's list of machines. Model is
// the engine in virtual time, used alike by the HTTP stand-in, the simulator and
// the experiments (design section 11).
package emulator

import "github.com/ochrebay/ochrebay/internal/engine"

// HardwareProfiles is the table of engines. The figures and their sources stand in
// docs/design/0003-engine-model.md.
var HardwareProfiles = map[string]engine.Hardware{
	"new": {
		Name: "new", PrefillTokensPerSecond: 24_700, BaseStepMicros: 4_800, StepMicrosPerSequence: 30,
		ContextNanosPerToken: 39, KVCacheCapacityTokens: 427_000, MaxPrefillTokensPerStep: 512, MaxSequences: 64,
		WeightBytes: 16 << 30,
	},
	"old": {
		Name: "old", PrefillTokensPerSecond: 8_800, BaseStepMicros: 10_300, StepMicrosPerSequence: 50,
		ContextNanosPerToken: 84, KVCacheCapacityTokens: 152_000, MaxPrefillTokensPerStep: 512, MaxSequences: 48,
		WeightBytes: 16 << 30,
	},
	"small": {
		Name: "small", PrefillTokensPerSecond: 17_000, BaseStepMicros: 2_700, StepMicrosPerSequence: 40,
		ContextNanosPerToken: 110, KVCacheCapacityTokens: 60_000, MaxPrefillTokensPerStep: 512, MaxSequences: 32,
		WeightBytes: 3 << 30,
	},
}

// HardwareByName returns an entry of the table, the one named new by default.
func HardwareByName(name string) engine.Hardware {
	hardware, ok := HardwareProfiles[name]
	if !ok {
		return HardwareProfiles["new"]
	}
	return hardware
}

// WithSlowdown returns hardware on which everything takes a number of times longer; 0 is 1.
func WithSlowdown(hardware engine.Hardware, slowness float64) engine.Hardware {
	if slowness <= 0 {
		return hardware
	}
	times := func(value int64) int64 { return int64(float64(value) * slowness) }
	hardware.PrefillTokensPerSecond = max(int64(float64(hardware.PrefillTokensPerSecond)/slowness), 1)
	hardware.BaseStepMicros = times(hardware.BaseStepMicros)
	hardware.StepMicrosPerSequence = times(hardware.StepMicrosPerSequence)
	hardware.ContextNanosPerToken = times(hardware.ContextNanosPerToken)
	return hardware
}
