package control

import (
	"maps"
	"slices"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

const (
	// acknowledgeWindowMs is how long a process that does not lead acknowledges reports itself,
	// counted from when it sent the newest list that the leader has received. It covers three
	// rounds of the presence messages that carry lists and receipts, and is far shorter than the
	// silence allowed to engines.
	acknowledgeWindowMs = 3*presenceIntervalMs + 200
	// reportExpiryMs is how long a report is sent to the leader again while no receipt comes. An
	// older report says little about whether the engine is alive.
	reportExpiryMs = 2000
)

// engineReports holds the engines whose reports a process that does not lead has acknowledged.
// Most reports say only that an engine is alive. Instead of one call each they cost the leader an
// entry in one list per round, however many engines there are. Times are in milliseconds.
type engineReports struct {
	// reportedMs holds the engines to include in the next list, with the time of their reports.
	reportedMs map[string]int64
	// unacknowledged are the lists without a receipt, oldest first.
	unacknowledged []reportList
	// lastNumber is the number of the last list.
	lastNumber uint64
	// leader is the member that the lists are sent to, and acknowledgedSentMs the time at which
	// the newest list that it has received was sent.
	leader             string
	acknowledgedSentMs int64
	// receivedNumbers holds, at the leader, the number of the newest list of each other process.
	receivedNumbers map[string]uint64
}

type reportList struct {
	number     uint64
	sentMs     int64
	reportedMs map[string]int64
}

func newEngineReports() engineReports {
	return engineReports{reportedMs: map[string]int64{}, receivedNumbers: map[string]uint64{}, acknowledgedSentMs: -acknowledgeWindowMs}
}

// setLeader sets the leader that lists are sent to. A new leader has received no list yet.
func (r *engineReports) setLeader(leader string) {
	if r.leader == leader {
		return
	}
	*r = engineReports{reportedMs: r.reportedMs, lastNumber: r.lastNumber, leader: leader, receivedNumbers: map[string]uint64{}, acknowledgedSentMs: -acknowledgeWindowMs}
}

// nextList returns the next list for the leader, including the engines of older lists whose
// receipt is overdue.
func (r *engineReports) nextList(nowMs int64) *protocol.EngineLiveness {
	for len(r.unacknowledged) > 0 && nowMs-r.unacknowledged[0].sentMs > acknowledgeWindowMs {
		for engine, atMs := range r.unacknowledged[0].reportedMs {
			r.reportedMs[engine] = max(r.reportedMs[engine], atMs)
		}
		r.unacknowledged = r.unacknowledged[1:]
	}
	maps.DeleteFunc(r.reportedMs, func(_ string, atMs int64) bool { return nowMs-atMs > reportExpiryMs })
	r.lastNumber++
	list := &protocol.EngineLiveness{BatchNumber: r.lastNumber, ReportedEngines: slices.Sorted(maps.Keys(r.reportedMs))}
	r.unacknowledged = append(r.unacknowledged, reportList{number: r.lastNumber, sentMs: nowMs, reportedMs: r.reportedMs})
	r.reportedMs = map[string]int64{}
	return list
}

// handleReceipt records which list the leader has received.
func (r *engineReports) handleReceipt(from string, number uint64) {
	if from != r.leader {
		return
	}
	for len(r.unacknowledged) > 0 && r.unacknowledged[0].number <= number {
		if r.unacknowledged[0].number == number {
			r.acknowledgedSentMs = r.unacknowledged[0].sentMs
		}
		r.unacknowledged = r.unacknowledged[1:]
	}
}

// acknowledgeLocally reports whether an engine's report can be acknowledged without a call to the
// leader, and adds the engine to the next list if so. That holds if the report changes no
// replicated state and lists reach the leader. Invariant: a change of an engine, above all that it
// drains, is acknowledged only once it is committed, and a process of which the leader has received
// no list within acknowledgeWindowMs acknowledges nothing. Otherwise a live engine could keep
// reporting to such a process until it counts as lost.
func (c *Core) acknowledgeLocally(engine membership.ServingEngine) bool {
	if !c.formed || c.engineReports.leader == "" || c.nowMs-c.engineReports.acknowledgedSentMs > acknowledgeWindowMs || !c.system.fleet.IsUnchanged(engine) {
		return false
	}
	c.engineReports.reportedMs[engine.ID] = c.nowMs
	return true
}

// engineList returns the engine list of a presence message to another process: on the leader the
// receipt for that process's lists, on other processes the next list if the receiver is the leader.
func (c *Core) engineList(member string) *protocol.EngineLiveness {
	if c.fleetTracker != nil {
		return &protocol.EngineLiveness{AcknowledgedBatch: c.engineReports.receivedNumbers[member]}
	}
	if member != c.engineReports.leader {
		return nil
	}
	return c.engineReports.nextList(c.nowMs)
}

// handleEngineList handles the engine list in a presence message of another process.
func (c *Core) handleEngineList(from string, list *protocol.EngineLiveness) {
	if list == nil {
		return
	}
	if c.fleetTracker == nil {
		c.engineReports.handleReceipt(from, list.AcknowledgedBatch)
		return
	}
	if list.BatchNumber == 0 {
		return
	}
	c.engineReports.receivedNumbers[from] = list.BatchNumber
	for _, engine := range list.ReportedEngines {
		c.fleetTracker.RecordEngineAlive(engine, c.nowMs)
	}
}
