package scheduling

import "slices"

// Mechanism names a part of the choice of engines that can be turned off, so that what
// it is worth can be measured.
type Mechanism string

// The mechanisms.
const (
	// MechanismSessionAffinity keeps a session at the engine that holds what it has read.
	MechanismSessionAffinity Mechanism = "home"
	// MechanismPrefillCost learns what reading a token costs; without it a token costs
	// as much as before anything is known.
	MechanismPrefillCost Mechanism = "reading"
	// MechanismSharedState takes what other gateways have seen of engines.
	MechanismSharedState Mechanism = "shared"
	// MechanismSlowDetection tells slow engines from others.
	MechanismSlowDetection Mechanism = "slow"
	// MechanismEngineSpeed goes by how quick each engine is.
	MechanismEngineSpeed Mechanism = "speed"
	// MechanismKVCacheCost keeps requests from engines whose memory they would exceed.
	MechanismKVCacheCost Mechanism = "memory"
	// MechanismSuspicion passes engines over that have just failed.
	MechanismSuspicion Mechanism = "suspicion"
	// MechanismCandidateSampling compares a few engines drawn at random in place of all.
	MechanismCandidateSampling Mechanism = "drawing"
	// MechanismZonePreference prefers engines of the request's zone.
	MechanismZonePreference Mechanism = "zone"
	// MechanismBatchInterference counts the requests at an engine for new sessions.
	MechanismBatchInterference Mechanism = "company"
	// MechanismEnginePriority tells engines the rank of a request.
	MechanismEnginePriority Mechanism = "rank"
	// MechanismStreamResume takes a broken stream up at another engine.
	MechanismStreamResume Mechanism = "take-up"
	// MechanismZoneLocalReads reads histories from a replica in the zone.
	MechanismZoneLocalReads Mechanism = "near-reads"
	// MechanismAdmission rejects new programs while engines fall behind.
	MechanismAdmission Mechanism = "admission"
	// MechanismWaitQueue lines up the calls that no engine has room for.
	MechanismWaitQueue Mechanism = "waiting"
	// MechanismRetry bounds a try and makes a second one.
	MechanismRetry Mechanism = "retry"
	// MechanismFairShares holds tenants to their shares of a back end that is short of room.
	MechanismFairShares Mechanism = "shares"
	// MechanismHistoryCache keeps the chains of sessions that were served lately.
	MechanismHistoryCache Mechanism = "chains"
	// MechanismCapacityWeights names gateways to callers in proportion to what they can take.
	MechanismCapacityWeights Mechanism = "capacity"
	// MechanismLookupRate has callers ask the directory as often as it can afford to answer.
	MechanismLookupRate Mechanism = "look-ups"
	// MechanismFreshnessWait lets requests wait for the first proof after a pause of the gateway.
	MechanismFreshnessWait Mechanism = "first-proof"
)

// Mechanisms lists them all.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismSessionAffinity, MechanismPrefillCost, MechanismSharedState, MechanismSlowDetection, MechanismEngineSpeed, MechanismKVCacheCost, MechanismSuspicion, MechanismCandidateSampling,
		MechanismZonePreference,
		MechanismBatchInterference, MechanismEnginePriority, MechanismStreamResume, MechanismZoneLocalReads, MechanismHistoryCache,
		MechanismCapacityWeights, MechanismLookupRate, MechanismFreshnessWait, MechanismAdmission, MechanismFairShares, MechanismWaitQueue, MechanismRetry,
	}
}

// DisabledMechanisms lists the mechanisms that are turned off.
type DisabledMechanisms []Mechanism

// Has reports whether a mechanism is turned off.
func (d DisabledMechanisms) Has(mechanism Mechanism) bool { return slices.Contains(d, mechanism) }
