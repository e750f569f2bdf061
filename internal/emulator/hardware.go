// Package emulator emulates the external systems that ochrebay depends on: model
// engines, the weight store, tool services and the platform's instance list.
// Model simulates an engine in virtual time; the HTTP emulator, the simulator and
// the experiments share it (design section 11).
package emulator

import "github.com/ochrebay/ochrebay/internal/engine"

// HardwareProfiles maps names to hardware profiles. The figures and their sources
// are documented in docs/design/0003-engine-model.md.
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

// HardwareByName returns the profile with the given name, or the profile "new" if
// there is none with that name.
func HardwareByName(name string) engine.Hardware {
	hardware, ok := HardwareProfiles[name]
	if !ok {
		return HardwareProfiles["new"]
	}
	return hardware
}

// WithSlowdown returns hardware on which every operation takes slowdown times as
// long. A slowdown of 0 or less leaves the hardware unchanged.
func WithSlowdown(hardware engine.Hardware, slowdown float64) engine.Hardware {
	if slowdown <= 0 {
		return hardware
	}
	multiply := func(value int64) int64 { return int64(float64(value) * slowdown) }
	hardware.PrefillTokensPerSecond = max(int64(float64(hardware.PrefillTokensPerSecond)/slowdown), 1)
	hardware.BaseStepMicros = multiply(hardware.BaseStepMicros)
	hardware.StepMicrosPerSequence = multiply(hardware.StepMicrosPerSequence)
	hardware.ContextNanosPerToken = multiply(hardware.ContextNanosPerToken)
	return hardware
}
