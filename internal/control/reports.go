package control

import (
	"maps"
	"slices"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

const (
	// vouchMs is for how long after it sent the last list of engines that the leader has
	// received a process acknowledges reports itself: three rounds of presence messages, by
	// which lists and receipts go, and far less than engines may be silent for.
	vouchMs = 3*presenceEveryMs + 200
	// reportForgottenMs is how long the leader is told again of an engine where nothing came
	// back. What is older says little of whether the engine is alive.
	reportForgottenMs = 2000
)

// engineReports are the engines whose reports a process that does not lead has acknowledged.
// Most reports say only that an engine is alive: they cost the leader an entry in one list a
// round in place of a call each, however many engines there are. Times are milliseconds.
type engineReports struct {
	// heard are the engines that the next list is to name, with when they reported.
	heard map[string]int64
	// sent are the lists without a receipt, oldest first.
	sent []reportList
	// number is that of the last list.
	number uint64
	// leader is who got the lists, and receivedMs when the newest list that it has received
	// was sent.
	leader     string
	receivedMs int64
	// received are, at the leader, the numbers of the newest list of each other process.
	received map[string]uint64
}

type reportList struct {
	number uint64
	sentMs int64
	heard  map[string]int64
}

func newEngineReports() engineReports {
	return engineReports{heard: map[string]int64{}, received: map[string]uint64{}, receivedMs: -vouchMs}
}

// follow turns to the leader of now. A new one has received nothing yet.
func (r *engineReports) follow(leader string) {
	if r.leader == leader {
		return
	}
	*r = engineReports{heard: r.heard, number: r.number, leader: leader, received: map[string]uint64{}, receivedMs: -vouchMs}
}

// next returns the list for the leader, with the engines of older lists whose receipt is
// overdue.
func (r *engineReports) next(nowMs int64) *protocol.EngineList {
	for len(r.sent) > 0 && nowMs-r.sent[0].sentMs > vouchMs {
		for engine, atMs := range r.sent[0].heard {
			r.heard[engine] = max(r.heard[engine], atMs)
		}
		r.sent = r.sent[1:]
	}
	maps.DeleteFunc(r.heard, func(_ string, atMs int64) bool { return nowMs-atMs > reportForgottenMs })
	r.number++
	list := &protocol.EngineList{Number: r.number, Heard: slices.Sorted(maps.Keys(r.heard))}
	r.sent = append(r.sent, reportList{number: r.number, sentMs: nowMs, heard: r.heard})
	r.heard = map[string]int64{}
	return list
}

// receipt notes which list the leader has received.
func (r *engineReports) receipt(from string, number uint64) {
	if from != r.leader {
		return
	}
	for len(r.sent) > 0 && r.sent[0].number <= number {
		if r.sent[0].number == number {
			r.receivedMs = r.sent[0].sentMs
		}
		r.sent = r.sent[1:]
	}
}

// acknowledges reports whether a report of an engine needs no leader: it changes nothing of
// what is replicated, and the leader will hear of it. Invariant: what is new of an engine,
// above all the word that it drains, is acknowledged only once it is committed; and a process
// that the leader does not hear acknowledges nothing, so that no engine which is alive stays
// with it until it counts as lost.
func (c *Core) acknowledges(engine membership.ServingEngine) bool {
	if !c.formed || c.reports.leader == "" || c.nowMs-c.reports.receivedMs > vouchMs || !c.system.fleet.IsUnchanged(engine) {
		return false
	}
	c.reports.heard[engine.ID] = c.nowMs
	return true
}

// engineList returns what a presence message tells another process of engines: the leader a
// list, the others, where this process leads, which list has come.
func (c *Core) engineList(member string) *protocol.EngineList {
	if c.fleetTracker != nil {
		return &protocol.EngineList{Received: c.reports.received[member]}
	}
	if member != c.reports.leader {
		return nil
	}
	return c.reports.next(c.nowMs)
}

// takeEngineList takes what another process tells of engines.
func (c *Core) takeEngineList(from string, list *protocol.EngineList) {
	if list == nil {
		return
	}
	if c.fleetTracker == nil {
		c.reports.receipt(from, list.Received)
		return
	}
	if list.Number == 0 {
		return
	}
	c.reports.received[from] = list.Number
	for _, engine := range list.Heard {
		c.fleetTracker.RecordEngineAlive(engine, c.nowMs)
	}
}
