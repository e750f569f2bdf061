package scheduling

import "slices"

// Mechanism names a part of engine selection or request handling that can be disabled, so that its
// benefit can be measured.
type Mechanism string

// The mechanisms. Their values are used in the configuration.
const (
	// MechanismSessionAffinity keeps a session at the engine that has its prompt prefix cached.
	MechanismSessionAffinity Mechanism = "home"
	// MechanismPrefillCost learns the prefill cost of a token. Without it the default cost is used.
	MechanismPrefillCost Mechanism = "reading"
	// MechanismSharedState uses the engine state that other gateways have reported.
	MechanismSharedState Mechanism = "shared"
	// MechanismSlowDetection detects engines that are slow compared with the others.
	MechanismSlowDetection Mechanism = "slow"
	// MechanismEngineSpeed takes the learned speed of each engine into account.
	MechanismEngineSpeed Mechanism = "speed"
	// MechanismKVCacheCost keeps requests away from engines whose KV cache they would overflow.
	MechanismKVCacheCost Mechanism = "memory"
	// MechanismSuspicion avoids engines at which requests have just failed.
	MechanismSuspicion Mechanism = "suspicion"
	// MechanismCandidateSampling compares a few randomly sampled engines instead of all of them.
	MechanismCandidateSampling Mechanism = "drawing"
	// MechanismZonePreference prefers engines in the request's zone.
	MechanismZonePreference Mechanism = "zone"
	// MechanismBatchInterference adds a cost for the other requests at an engine.
	MechanismBatchInterference Mechanism = "company"
	// MechanismEnginePriority sends the priority of a request to the engine.
	MechanismEnginePriority Mechanism = "rank"
	// MechanismStreamResume resumes a broken stream at another engine.
	MechanismStreamResume Mechanism = "take-up"
	// MechanismZoneLocalReads reads histories from a replica in the zone.
	MechanismZoneLocalReads Mechanism = "near-reads"
	// MechanismAdmission rejects new programs while engines are overloaded.
	MechanismAdmission Mechanism = "admission"
	// MechanismWaitQueue queues calls while no engine has a free slot for them.
	MechanismWaitQueue Mechanism = "waiting"
	// MechanismRetry limits how long an attempt may take and retries the request.
	MechanismRetry Mechanism = "retry"
	// MechanismFairShares limits tenants to their fair shares of an oversubscribed backend.
	MechanismFairShares Mechanism = "shares"
	// MechanismHistoryCache caches the turn histories of recently served sessions.
	MechanismHistoryCache Mechanism = "chains"
	// MechanismCapacityWeights directs callers to gateways in proportion to the gateways' capacity.
	MechanismCapacityWeights Mechanism = "capacity"
	// MechanismLookupRate lets callers query the directory as often as the directory can afford to
	// answer.
	MechanismLookupRate Mechanism = "look-ups"
	// MechanismFreshnessWait makes requests that arrive shortly after a stall of the gateway
	// process wait for the next confirmation that the routing table is current.
	MechanismFreshnessWait Mechanism = "first-proof"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismSessionAffinity, MechanismPrefillCost, MechanismSharedState, MechanismSlowDetection, MechanismEngineSpeed, MechanismKVCacheCost, MechanismSuspicion, MechanismCandidateSampling,
		MechanismZonePreference,
		MechanismBatchInterference, MechanismEnginePriority, MechanismStreamResume, MechanismZoneLocalReads, MechanismHistoryCache,
		MechanismCapacityWeights, MechanismLookupRate, MechanismFreshnessWait, MechanismAdmission, MechanismFairShares, MechanismWaitQueue, MechanismRetry,
	}
}

// DisabledMechanisms lists the mechanisms that are disabled.
type DisabledMechanisms []Mechanism

// Has reports whether a mechanism is disabled.
func (d DisabledMechanisms) Has(mechanism Mechanism) bool { return slices.Contains(d, mechanism) }
