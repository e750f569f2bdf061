package membership

import (
	"maps"
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/consensus"
)

// FleetOptions configure how a leader manages the fleet. Times are in milliseconds.
type FleetOptions struct {
	// Groups is the number of ledger groups. Replicas is the number of ledger hosts that hold
	// each group.
	Groups   int
	Replicas int
	// EngineTimeoutMs is the time without a report after which an engine is considered lost.
	// GatewayTimeoutMs and LedgerTimeoutMs are the same for ochrebay's own processes.
	EngineTimeoutMs  int64
	GatewayTimeoutMs int64
	LedgerTimeoutMs  int64
	// GatewayRepollTimeoutMs is the time within which a gateway must send its next heartbeat
	// after a reply. A heartbeat is a long poll and the next one follows its reply
	// immediately, so a gateway that does not poll again is frozen or disconnected.
	// GatewaySmallUpdateRepollTimeoutMs is the same after a reply with a small update, which
	// takes almost no time to apply.
	GatewayRepollTimeoutMs            int64
	GatewaySmallUpdateRepollTimeoutMs int64
	// LedgerRetentionMs is the time without a report after which a ledger host that holds no
	// replicas is removed. It is added again when it reports.
	LedgerRetentionMs int64
	// InitialPlacementDelayMs is the time that the first placement waits for further ledger
	// hosts.
	InitialPlacementDelayMs int64
}

// LedgerReport is the report of a ledger host.
type LedgerReport struct {
	Host LedgerHost `msgpack:"h"`
	// LedGroups holds the configurations of the groups that the host leads.
	LedGroups []GroupReport `msgpack:"l,omitempty"`
}

// GroupReport is the configuration of a group as seen by its leader.
type GroupReport struct {
	Group   uint32   `msgpack:"g"`
	Term    uint64   `msgpack:"t"`
	Members []string `msgpack:"m"`
	// IsStable reports that all members vote and that no configuration change is pending.
	IsStable bool `msgpack:"s"`
}

// FleetTracker is a leader's soft state about the fleet. A new leader starts with an empty one
// and measures every timeout from the start of its leadership.
type FleetTracker struct {
	options FleetOptions
	startMs int64
	// lastReportMs holds the time of the last report by engine id or ledger host member.
	lastReportMs map[string]int64
	// gateways holds the latest heartbeat of each gateway.
	gateways map[string]gatewayHeartbeat
	// groupReports holds the latest report of each group's leader.
	groupReports map[uint32]GroupReport
	// lastNewLedgerMs is the time at which a new ledger host last appeared.
	lastNewLedgerMs int64
	// enginesCheckedMs is the time of the last check for engines that timed out.
	enginesCheckedMs int64
	// contradictions holds the engines whose reports contradict the known state.
	contradictions map[string]contradiction
	// latest holds the latest incarnations that reported recently.
	latest latestIncarnations
	// oversizedSinceMs holds the times since which pools have advertised more engines than
	// they need.
	oversizedSinceMs map[poolKey]int64
}

// engineCheckIntervalMs is the interval between checks for engines that timed out, in
// milliseconds: a tenth of the minimum engine timeout of 10 s, which internal/control defines.
const engineCheckIntervalMs = 1000

// gatewayHeartbeat is the latest heartbeat of a gateway. A gateway may abandon a heartbeat and
// send another one, so the reply to an older heartbeat carries no information.
type gatewayHeartbeat struct {
	number     uint64
	isAnswered bool
	// isSmallUpdate reports that the gateway can apply the reply in almost no time.
	isSmallUpdate bool
	// sinceMs is the time at which the heartbeat arrived or was answered.
	sinceMs int64
}

// NewFleetTracker returns the tracker of a leader whose leadership began at nowMs.
func NewFleetTracker(options FleetOptions, nowMs int64) *FleetTracker {
	return &FleetTracker{
		options: options, startMs: nowMs, lastReportMs: map[string]int64{}, gateways: map[string]gatewayHeartbeat{},
		groupReports: map[uint32]GroupReport{}, lastNewLedgerMs: nowMs, enginesCheckedMs: nowMs, contradictions: map[string]contradiction{}, latest: latestIncarnations{}, oversizedSinceMs: map[poolKey]int64{},
	}
}

// RecordGatewayHeartbeat records a gateway's heartbeat and returns its number.
func (t *FleetTracker) RecordGatewayHeartbeat(name string, nowMs int64) uint64 {
	number := t.gateways[name].number + 1
	t.gateways[name] = gatewayHeartbeat{number: number, sinceMs: nowMs}
	return number
}

// RecordGatewayReply records that the heartbeat with this number was answered. smallUpdate
// reports that the reply takes almost no time to apply.
func (t *FleetTracker) RecordGatewayReply(name string, number uint64, smallUpdate bool, nowMs int64) {
	if latest := t.gateways[name]; latest.number == number && !latest.isAnswered {
		t.gateways[name] = gatewayHeartbeat{number: number, isAnswered: true, isSmallUpdate: smallUpdate, sinceMs: nowMs}
	}
}

// RecordPause records that the leader itself was paused for a time. Messages that gateways
// sent in the meantime are still queued, so the pause does not count towards their timeouts.
func (t *FleetTracker) RecordPause(forMs int64) {
	for name, latest := range t.gateways {
		latest.sinceMs += forMs
		t.gateways[name] = latest
	}
}

// isGatewayLost reports whether a gateway is considered lost. A gateway from which this leader
// has not yet received a heartbeat has the longer timeout, because it may still be looking for
// the leader.
func (t *FleetTracker) isGatewayLost(name string, nowMs int64) bool {
	latest, known := t.gateways[name]
	if !known {
		return nowMs-t.startMs > t.options.GatewayTimeoutMs
	}
	switch {
	case latest.isAnswered && latest.isSmallUpdate:
		return nowMs-latest.sinceMs > t.options.GatewaySmallUpdateRepollTimeoutMs
	case latest.isAnswered:
		return nowMs-latest.sinceMs > t.options.GatewayRepollTimeoutMs
	}
	return nowMs-latest.sinceMs > t.options.GatewayTimeoutMs
}

// RecordEngineAlive records that an engine is alive.
func (t *FleetTracker) RecordEngineAlive(id string, nowMs int64) { t.lastReportMs[id] = nowMs }

// RecordLedgerReport records a ledger host's report.
func (t *FleetTracker) RecordLedgerReport(report LedgerReport, nowMs int64) {
	if _, known := t.lastReportMs[report.Host.Member]; !known {
		t.lastNewLedgerMs = nowMs
	}
	t.lastReportMs[report.Host.Member] = nowMs
	for _, reported := range report.LedGroups {
		if previous, ok := t.groupReports[reported.Group]; !ok || reported.Term >= previous.Term {
			t.groupReports[reported.Group] = reported
		}
	}
}

// reportAgeMs returns the time since the last report of an engine or ledger host, or since the
// start of the leadership if there was none.
func (t *FleetTracker) reportAgeMs(key string, nowMs int64) int64 {
	lastMs, known := t.lastReportMs[key]
	if !known {
		lastMs = t.startMs
	}
	return nowMs - lastMs
}

// Plan returns the changes that the fleet needs now.
func (t *FleetTracker) Plan(fleet *Fleet, nowMs int64) FleetUpdate {
	return FleetUpdate{
		LostEngines:    t.lostEngines(fleet, nowMs),
		RemoveGateways: t.lostGateways(fleet, nowMs),
		RemoveLedgers:  t.removableLedgers(fleet, nowMs),
		PutGroups:      t.planPlacements(fleet, nowMs),
	}
}

// lostEngines returns the engines that timed out, sorted, or nil if the last check was less than
// engineCheckIntervalMs ago.
func (t *FleetTracker) lostEngines(fleet *Fleet, nowMs int64) []string {
	if nowMs-t.enginesCheckedMs < engineCheckIntervalMs {
		return nil
	}
	t.enginesCheckedMs = nowMs
	var lost []string
	for id := range fleet.state.Engines {
		if t.reportAgeMs(id, nowMs) > t.options.EngineTimeoutMs {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	t.deleteUnlisted(fleet)
	return lost
}

// deleteUnlisted deletes the records of engines and ledger hosts that are no longer in the fleet,
// once there are more records than twice the listed engines plus the listed ledger hosts.
func (t *FleetTracker) deleteUnlisted(fleet *Fleet) {
	if len(t.lastReportMs) <= 2*len(fleet.state.Engines)+len(fleet.state.Ledgers) {
		return
	}
	isUnlisted := func(key string) bool {
		_, engine := fleet.state.Engines[key]
		_, host := fleet.state.Ledgers[key]
		return !engine && !host
	}
	maps.DeleteFunc(t.lastReportMs, func(key string, _ int64) bool { return isUnlisted(key) })
	maps.DeleteFunc(t.latest, func(key string, _ int64) bool { return isUnlisted(key) })
}

// lostGateways returns the gateways that timed out, sorted.
func (t *FleetTracker) lostGateways(fleet *Fleet, nowMs int64) []string {
	var lost []string
	for name := range fleet.state.Gateways {
		if t.isGatewayLost(name, nowMs) {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// removableLedgers returns the ledger hosts that have sent no report for the retention time
// and on which no group is placed.
func (t *FleetTracker) removableLedgers(fleet *Fleet, nowMs int64) []string {
	isPlaced := map[string]bool{}
	for _, placement := range fleet.Placements() {
		for _, member := range placement.Members {
			isPlaced[member] = true
		}
	}
	var removable []string
	for _, host := range fleet.Ledgers() {
		if !isPlaced[host.Member] && t.reportAgeMs(host.Member, nowMs) > t.options.LedgerRetentionMs {
			removable = append(removable, host.Member)
		}
	}
	return removable
}

// IsLedgerHostAlive reports whether a ledger host has reported within its timeout.
func (t *FleetTracker) IsLedgerHostAlive(member string, nowMs int64) bool {
	return t.reportAgeMs(member, nowMs) <= t.options.LedgerTimeoutMs
}

// planPlacements returns the placements that need to change: initially all of them together,
// later those with members that are lost or retiring, or with too few members.
func (t *FleetTracker) planPlacements(fleet *Fleet, nowMs int64) []Placement {
	usable := t.usableHosts(fleet, nowMs)
	existing := fleet.Placements()
	if len(existing) == 0 {
		return t.planInitialPlacements(usable, nowMs)
	}
	load := map[string]int{}
	for _, placement := range existing {
		for _, member := range placement.Members {
			load[member]++
		}
	}
	var changed []Placement
	for _, placement := range existing {
		if next, ok := t.repairPlacement(fleet, placement, usable, load, nowMs); ok {
			changed = append(changed, next)
		}
	}
	return changed
}

func (t *FleetTracker) usableHosts(fleet *Fleet, nowMs int64) []LedgerHost {
	var usable []LedgerHost
	for _, host := range fleet.Ledgers() {
		if !host.Retiring && t.IsLedgerHostAlive(host.Member, nowMs) {
			usable = append(usable, host)
		}
	}
	return usable
}

func (t *FleetTracker) planInitialPlacements(usable []LedgerHost, nowMs int64) []Placement {
	waited := nowMs-t.lastNewLedgerMs >= t.options.InitialPlacementDelayMs
	if len(usable) == 0 || !waited {
		return nil
	}
	load := map[string]int{}
	var placements []Placement
	for group := 1; group <= t.options.Groups; group++ {
		placement := Placement{Group: uint32(group)}
		for len(placement.Members) < min(t.options.Replicas, len(usable)) {
			host, ok := chooseHost(usable, placement.Members, usable, load)
			if !ok {
				break
			}
			load[host.Member]++
			placement.Members = append(placement.Members, host.Member)
			placement.Initial = placement.Initial.With(consensus.Replica{ID: host.Replica, Member: host.Member})
		}
		placements = append(placements, placement)
	}
	return placements
}

// repairPlacement replaces one lost or retiring member of a group, or adds a member to a group
// that has too few. Only one member changes per call, but the next call does not wait until the
// group's leader has reported the previous placement as applied, so repairs may accumulate.
func (t *FleetTracker) repairPlacement(fleet *Fleet, placement Placement, usable []LedgerHost, load map[string]int, nowMs int64) (Placement, bool) {
	next := placement
	next.Members = slices.Clone(placement.Members)
	for position, member := range placement.Members {
		host, known := fleet.Ledger(member)
		if known && !host.Retiring && t.IsLedgerHostAlive(member, nowMs) {
			continue
		}
		others := slices.Delete(slices.Clone(placement.Members), position, position+1)
		replacement, ok := chooseHost(usable, placement.Members, findHosts(fleet, others), load)
		if !ok {
			continue
		}
		load[member]--
		load[replacement.Member]++
		next.Members[position] = replacement.Member
		return next, true
	}
	if len(next.Members) < t.options.Replicas {
		if host, ok := chooseHost(usable, next.Members, findHosts(fleet, next.Members), load); ok {
			load[host.Member]++
			next.Members = append(next.Members, host.Member)
			return next, true
		}
	}
	return placement, false
}

func findHosts(fleet *Fleet, members []string) []LedgerHost {
	var hosts []LedgerHost
	for _, member := range members {
		if host, ok := fleet.Ledger(member); ok {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// chooseHost returns a usable host that is not taken. It prefers the host whose zone has the fewest
// hosts that are in both others and taken, then the lowest load, then the lowest member name.
func chooseHost(usable []LedgerHost, taken []string, others []LedgerHost, load map[string]int) (LedgerHost, bool) {
	countByZone := map[string]int{}
	for _, other := range others {
		if slices.Contains(taken, other.Member) {
			countByZone[other.Zone]++
		}
	}
	var best LedgerHost
	found := false
	better := func(a, b LedgerHost) bool {
		if countByZone[a.Zone] != countByZone[b.Zone] {
			return countByZone[a.Zone] < countByZone[b.Zone]
		}
		if load[a.Member] != load[b.Member] {
			return load[a.Member] < load[b.Member]
		}
		return strings.Compare(a.Member, b.Member) < 0
	}
	for _, host := range usable {
		if slices.Contains(taken, host.Member) {
			continue
		}
		if !found || better(host, best) {
			best, found = host, true
		}
	}
	return best, found
}

// CanRetire reports whether a ledger host may be retired, which requires that enough usable
// hosts remain.
func (t *FleetTracker) CanRetire(fleet *Fleet, member string, nowMs int64) bool {
	remaining := 0
	for _, host := range t.usableHosts(fleet, nowMs) {
		if host.Member != member {
			remaining++
		}
	}
	return remaining >= t.options.Replicas
}

// IsDrained reports whether no group has a replica on the member: no group is placed on it,
// and the leader of every group has confirmed that.
func (t *FleetTracker) IsDrained(fleet *Fleet, member string) bool {
	for _, placement := range fleet.Placements() {
		if slices.Contains(placement.Members, member) {
			return false
		}
		reported, ok := t.groupReports[placement.Group]
		if !ok || !reported.IsStable || slices.Contains(reported.Members, member) {
			return false
		}
	}
	return true
}
