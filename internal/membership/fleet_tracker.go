package membership

import (
	"maps"
	"slices"
	"strings"

	"github.com/ochrebay/ochrebay/internal/consensus"
)

// FleetOptions configure how a leader looks after the fleet. Times are in
// milliseconds.
type FleetOptions struct {
	// Groups is how many ledger groups there are, Replicas how many ledger hosts
	// hold each.
	Groups   int
	Replicas int
	// EngineTimeoutMs is how long an engine may be silent before it counts as lost,
	// GatewaySilentMs and LedgerSilentMs the same for ochrebay's own processes.
	EngineTimeoutMs  int64
	GatewayTimeoutMs int64
	LedgerTimeoutMs  int64
	// GatewayRepollTimeoutMs is how long a gateway may take for its next heartbeat once the last
	// one was answered. A heartbeat is held for a while and the next follows at once, so
	// that a gateway that does not come back is frozen or cut off. GatewayLightReturnMs is the
	// same after an answer that is light: it takes next to nothing to be put in force.
	GatewayRepollTimeoutMs           int64
	GatewaySmallDeltaRepollTimeoutMs int64
	// LedgerRetentionMs is how long a ledger host that holds nothing may be silent before
	// it is forgotten; it is known again once it reports.
	LedgerRetentionMs int64
	// InitialPlacementDelayMs is how long the first placement waits for further ledger hosts.
	InitialPlacementDelayMs int64
}

// LedgerReport is what a ledger host says of itself.
type LedgerReport struct {
	Host LedgerHost `msgpack:"h"`
	// LedGroups are the configurations of the groups that the host leads.
	LedGroups []GroupReport `msgpack:"l,omitempty"`
}

// GroupReport is a group's configuration as its leader knows it.
type GroupReport struct {
	Group   uint32   `msgpack:"g"`
	Term    uint64   `msgpack:"t"`
	Members []string `msgpack:"m"`
	// IsStable says that all members vote and no change is pending.
	IsStable bool `msgpack:"s"`
}

// FleetTracker is a leader's soft state of the fleet; a new leader starts with an
// empty one, in which everybody was heard of just now.
type FleetTracker struct {
	options FleetOptions
	startMs int64
	heard   map[string]int64
	// gateways are the latest heartbeats of gateways.
	gateways map[string]gatewayHeartbeat
	// led holds the last word of the groups' leaders.
	led map[uint32]GroupReport
	// lastNewLedgerMs is when a ledger host was last seen for the first time.
	lastNewLedgerMs int64
	// enginesCheckedMs is when silent engines were last looked for.
	enginesCheckedMs int64
	// doubts are the engines whose reports contradict what is known.
	doubts map[string]doubt
	// newest are the latest incarnations that were heard of lately.
	newest latestIncarnations
	// calmSinceMs is since when the pools that are larger than they need be are so.
	calmSinceMs map[poolKey]int64
}

// engineCheckEveryMs is how often silent engines are looked for, milliseconds: a tenth of
// the time that they may be silent for.
const engineCheckEveryMs = 1000

// gatewayHeartbeat is a gateway's latest heartbeat. A gateway may give one up and send
// another, so that the answer to an older one says nothing.
type gatewayHeartbeat struct {
	number   uint64
	answered bool
	// light says that the answer held no news, or few.
	light bool
	// sinceMs is when the heartbeat came, or was answered.
	sinceMs int64
}

// NewFleetTracker returns the tracker of a leader that began to lead at nowMs.
func NewFleetTracker(options FleetOptions, nowMs int64) *FleetTracker {
	return &FleetTracker{
		options: options, startMs: nowMs, heard: map[string]int64{}, gateways: map[string]gatewayHeartbeat{},
		led: map[uint32]GroupReport{}, lastNewLedgerMs: nowMs, enginesCheckedMs: nowMs, doubts: map[string]doubt{}, newest: latestIncarnations{}, calmSinceMs: map[poolKey]int64{},
	}
}

// RecordGatewayHeartbeat notes a gateway's heartbeat and returns its number.
func (t *FleetTracker) RecordGatewayHeartbeat(name string, nowMs int64) uint64 {
	number := t.gateways[name].number + 1
	t.gateways[name] = gatewayHeartbeat{number: number, sinceMs: nowMs}
	return number
}

// RecordGatewayReply notes that the heartbeat of a number is answered, light where that takes next to nothing to put in force.
func (t *FleetTracker) RecordGatewayReply(name string, number uint64, light bool, nowMs int64) {
	if latest := t.gateways[name]; latest.number == number && !latest.answered {
		t.gateways[name] = gatewayHeartbeat{number: number, answered: true, light: light, sinceMs: nowMs}
	}
}

// RecordPause notes that the leader itself did nothing for a time: what gateways sent
// meanwhile still waits for it, so that their silence does not count.
func (t *FleetTracker) RecordPause(forMs int64) {
	for name, latest := range t.gateways {
		latest.sinceMs += forMs
		t.gateways[name] = latest
	}
}

// gatewaySilent reports whether a gateway is taken for lost. One that this leader has
// not heard yet gets the longer time: it may still look for the leader.
func (t *FleetTracker) gatewaySilent(name string, nowMs int64) bool {
	latest, known := t.gateways[name]
	if !known {
		return nowMs-t.startMs > t.options.GatewayTimeoutMs
	}
	switch {
	case latest.answered && latest.light:
		return nowMs-latest.sinceMs > t.options.GatewaySmallDeltaRepollTimeoutMs
	case latest.answered:
		return nowMs-latest.sinceMs > t.options.GatewayRepollTimeoutMs
	}
	return nowMs-latest.sinceMs > t.options.GatewayTimeoutMs
}

// RecordEngineAlive notes that an engine is alive.
func (t *FleetTracker) RecordEngineAlive(key string, nowMs int64) { t.heard[key] = nowMs }

// RecordLedgerReport notes a ledger host's report.
func (t *FleetTracker) RecordLedgerReport(report LedgerReport, nowMs int64) {
	if _, known := t.heard[report.Host.Member]; !known {
		t.lastNewLedgerMs = nowMs
	}
	t.heard[report.Host.Member] = nowMs
	for _, led := range report.LedGroups {
		if known, ok := t.led[led.Group]; !ok || led.Term >= known.Term {
			t.led[led.Group] = led
		}
	}
}

func (t *FleetTracker) silentMs(key string, nowMs int64) int64 {
	heard, ok := t.heard[key]
	if !ok {
		heard = t.startMs
	}
	return nowMs - heard
}

// Plan returns what should change of the fleet now.
func (t *FleetTracker) Plan(fleet *Fleet, nowMs int64) FleetUpdate {
	return FleetUpdate{
		LostEngines:    t.lostEngines(fleet, nowMs),
		RemoveGateways: t.lostGateways(fleet, nowMs),
		RemoveLedgers:  t.forgotten(fleet, nowMs),
		PutGroups:      t.place(fleet, nowMs),
	}
}

// lostEngines returns the engines that fell silent, in ascending order.
func (t *FleetTracker) lostEngines(fleet *Fleet, nowMs int64) []string {
	if nowMs-t.enginesCheckedMs < engineCheckEveryMs {
		return nil
	}
	t.enginesCheckedMs = nowMs
	var lost []string
	for id := range fleet.state.Engines {
		if t.silentMs(id, nowMs) > t.options.EngineTimeoutMs {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	t.forgetGone(fleet)
	return lost
}

// forgetGone drops what was heard of engines that are in the fleet no more, once they are as
// many as those that are.
func (t *FleetTracker) forgetGone(fleet *Fleet) {
	if len(t.heard) <= 2*len(fleet.state.Engines)+len(fleet.state.Ledgers) {
		return
	}
	gone := func(key string) bool {
		_, engine := fleet.state.Engines[key]
		_, host := fleet.state.Ledgers[key]
		return !engine && !host
	}
	maps.DeleteFunc(t.heard, func(key string, _ int64) bool { return gone(key) })
	maps.DeleteFunc(t.newest, func(key string, _ int64) bool { return gone(key) })
}

// lostGateways returns the gateways that fell silent, in ascending order.
func (t *FleetTracker) lostGateways(fleet *Fleet, nowMs int64) []string {
	var lost []string
	for name := range fleet.state.Gateways {
		if t.gatewaySilent(name, nowMs) {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// forgotten returns the ledger hosts that are gone for good: silent for long, and no
// group is placed on them.
func (t *FleetTracker) forgotten(fleet *Fleet, nowMs int64) []string {
	holds := map[string]bool{}
	for _, placement := range fleet.Placements() {
		for _, member := range placement.Members {
			holds[member] = true
		}
	}
	var gone []string
	for _, host := range fleet.Ledgers() {
		if !holds[host.Member] && t.silentMs(host.Member, nowMs) > t.options.LedgerRetentionMs {
			gone = append(gone, host.Member)
		}
	}
	return gone
}

// IsLedgerHostAlive reports whether a ledger host was heard of lately.
func (t *FleetTracker) IsLedgerHostAlive(member string, nowMs int64) bool {
	return t.silentMs(member, nowMs) <= t.options.LedgerTimeoutMs
}

// place returns the placements that should change: the first ones together, later
// the replacement of members that are lost or retire.
func (t *FleetTracker) place(fleet *Fleet, nowMs int64) []Placement {
	usable := t.usable(fleet, nowMs)
	existing := fleet.Placements()
	if len(existing) == 0 {
		return t.placeFirst(usable, nowMs)
	}
	load := map[string]int{}
	for _, placement := range existing {
		for _, member := range placement.Members {
			load[member]++
		}
	}
	var changed []Placement
	for _, placement := range existing {
		if next, ok := t.repair(fleet, placement, usable, load, nowMs); ok {
			changed = append(changed, next)
		}
	}
	return changed
}

func (t *FleetTracker) usable(fleet *Fleet, nowMs int64) []LedgerHost {
	var usable []LedgerHost
	for _, host := range fleet.Ledgers() {
		if !host.Retiring && t.IsLedgerHostAlive(host.Member, nowMs) {
			usable = append(usable, host)
		}
	}
	return usable
}

func (t *FleetTracker) placeFirst(usable []LedgerHost, nowMs int64) []Placement {
	waited := nowMs-t.lastNewLedgerMs >= t.options.InitialPlacementDelayMs
	if len(usable) == 0 || !waited {
		return nil
	}
	load := map[string]int{}
	var placements []Placement
	for group := 1; group <= t.options.Groups; group++ {
		placement := Placement{Group: uint32(group)}
		for len(placement.Members) < min(t.options.Replicas, len(usable)) {
			host, ok := choose(usable, placement.Members, usable, load)
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

// repair replaces one lost or retiring member of a group, or adds one where the
// group is short. Invariant: a member is only replaced once the group's leader has
// said that the placement before is in force, so that repairs never pile up.
func (t *FleetTracker) repair(fleet *Fleet, placement Placement, usable []LedgerHost, load map[string]int, nowMs int64) (Placement, bool) {
	next := placement
	next.Members = slices.Clone(placement.Members)
	for position, member := range placement.Members {
		host, known := fleet.Ledger(member)
		if known && !host.Retiring && t.IsLedgerHostAlive(member, nowMs) {
			continue
		}
		others := slices.Delete(slices.Clone(placement.Members), position, position+1)
		replacement, ok := choose(usable, placement.Members, hostsOf(fleet, others), load)
		if !ok {
			continue
		}
		load[member]--
		load[replacement.Member]++
		next.Members[position] = replacement.Member
		return next, true
	}
	if len(next.Members) < t.options.Replicas {
		if host, ok := choose(usable, next.Members, hostsOf(fleet, next.Members), load); ok {
			load[host.Member]++
			next.Members = append(next.Members, host.Member)
			return next, true
		}
	}
	return placement, false
}

func hostsOf(fleet *Fleet, members []string) []LedgerHost {
	var hosts []LedgerHost
	for _, member := range members {
		if host, ok := fleet.Ledger(member); ok {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// choose returns the usable host that is not taken whose zone has the fewest of
// the others, and among those the one with the least load.
func choose(usable []LedgerHost, taken []string, others []LedgerHost, load map[string]int) (LedgerHost, bool) {
	inZone := map[string]int{}
	for _, other := range others {
		if slices.Contains(taken, other.Member) {
			inZone[other.Zone]++
		}
	}
	var best LedgerHost
	found := false
	better := func(a, b LedgerHost) bool {
		if inZone[a.Zone] != inZone[b.Zone] {
			return inZone[a.Zone] < inZone[b.Zone]
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

// CanRetire decides on a request to empty a ledger host: false where too few would be
// left.
func (t *FleetTracker) CanRetire(fleet *Fleet, member string, nowMs int64) bool {
	left := 0
	for _, host := range t.usable(fleet, nowMs) {
		if host.Member != member {
			left++
		}
	}
	return left >= t.options.Replicas
}

// IsDrained reports whether no group has a member any more: none is placed on it and
// every group's leader said so.
func (t *FleetTracker) IsDrained(fleet *Fleet, member string) bool {
	for _, placement := range fleet.Placements() {
		if slices.Contains(placement.Members, member) {
			return false
		}
		led, ok := t.led[placement.Group]
		if !ok || !led.IsStable || slices.Contains(led.Members, member) {
			return false
		}
	}
	return true
}
