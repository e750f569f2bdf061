package scheduling

import "slices"

// Mechanism names a part of the choice of engines that can be turned off, so that what
// it is worth can be measured.
type Mechanism string

// The mechanisms.
const (
	// MechanismHome keeps a session at the engine that holds what it has read.
	MechanismHome Mechanism = "home"
	// MechanismReading learns what reading a token costs; without it a token costs
	// as much as before anything is known.
	MechanismReading Mechanism = "reading"
	// MechanismShared takes what other gateways have seen of engines.
	MechanismShared Mechanism = "shared"
	// MechanismSlow tells slow engines from others.
	MechanismSlow Mechanism = "slow"
	// MechanismSpeed goes by how quick each engine is.
	MechanismSpeed Mechanism = "speed"
	// MechanismMemory keeps requests from engines whose memory they would exceed.
	MechanismMemory Mechanism = "memory"
	// MechanismSuspicion passes engines over that have just failed.
	MechanismSuspicion Mechanism = "suspicion"
	// MechanismDrawing compares a few engines drawn at random in place of all.
	MechanismDrawing Mechanism = "drawing"
	// MechanismZone prefers engines of the request's zone.
	MechanismZone Mechanism = "zone"
	// MechanismCompany counts the requests at an engine for new sessions.
	MechanismCompany Mechanism = "company"
	// MechanismRank tells engines the rank of a request.
	MechanismRank Mechanism = "rank"
	// MechanismTakeUp takes a broken stream up at another engine.
	MechanismTakeUp Mechanism = "take-up"
	// MechanismNearReads reads histories from a replica in the zone.
	MechanismNearReads Mechanism = "near-reads"
	// MechanismAdmission rejects new programs while engines fall behind.
	MechanismAdmission Mechanism = "admission"
	// MechanismWaiting lines up the calls that no engine has room for.
	MechanismWaiting Mechanism = "waiting"
	// MechanismRetry bounds a try and makes a second one.
	MechanismRetry Mechanism = "retry"
	// MechanismShares holds tenants to their shares of a back end that is short of room.
	MechanismShares Mechanism = "shares"
	// MechanismChains keeps the chains of sessions that were served lately.
	MechanismChains Mechanism = "chains"
	// MechanismCapacity names gateways to callers in proportion to what they can take.
	MechanismCapacity Mechanism = "capacity"
	// MechanismLookUps has callers ask the directory as often as it can afford to answer.
	MechanismLookUps Mechanism = "look-ups"
	// MechanismFirstProof lets requests wait for the first proof after a pause of the gateway.
	MechanismFirstProof Mechanism = "first-proof"
)

// Mechanisms lists them all.
func Mechanisms() []Mechanism {
	return []Mechanism{
		MechanismHome, MechanismReading, MechanismShared, MechanismSlow, MechanismSpeed, MechanismMemory, MechanismSuspicion, MechanismDrawing,
		MechanismZone,
		MechanismCompany, MechanismRank, MechanismTakeUp, MechanismNearReads, MechanismChains,
		MechanismCapacity, MechanismLookUps, MechanismFirstProof, MechanismAdmission, MechanismShares, MechanismWaiting, MechanismRetry,
	}
}

// Disabled lists the mechanisms that are turned off.
type Disabled []Mechanism

// Has reports whether a mechanism is turned off.
func (d Disabled) Has(mechanism Mechanism) bool { return slices.Contains(d, mechanism) }
