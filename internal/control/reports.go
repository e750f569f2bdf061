package control

import (
	"maps"
	"slices"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
)

const (
	// acknowledgeWindowMs is how long a process that does not lead acknowledges engine reports
	// itself after it sent the newest batch that the leader has acknowledged. It covers three
	// rounds of the presence messages that carry batches and their acknowledgements, and is far
	// shorter than the silence allowed to engines.
	acknowledgeWindowMs = 3*presenceIntervalMs + 200
	// reportExpiryMs is how long a report is sent to the leader again while no acknowledgement
	// comes. An older report says little about whether the engine is alive.
	reportExpiryMs = 2000
)

// engineReports holds the engines whose reports a process that does not lead has acknowledged.
// Most reports say only that an engine is alive. The process sends these to the leader in one batch
// per round of presence messages, so that a report costs the leader an entry of a batch and not a
// call, however many engines there are. Times are in milliseconds.
type engineReports struct {
	// reportedMs holds the engines to include in the next batch, with the time of their reports.
	reportedMs map[string]int64
	// unacknowledged are the batches that the leader has not acknowledged, oldest first.
	unacknowledged []reportBatch
	// lastBatch is the number of the last batch.
	lastBatch uint64
	// leader is the member to which the batches are sent, and acknowledgedSentMs the time at which
	// the newest batch that it has acknowledged was sent.
	leader             string
	acknowledgedSentMs int64
	// receivedBatches holds, at the leader, the number of the newest batch of each other process.
	receivedBatches map[string]uint64
}

type reportBatch struct {
	number     uint64
	sentMs     int64
	reportedMs map[string]int64
}

func newEngineReports() engineReports {
	return engineReports{reportedMs: map[string]int64{}, receivedBatches: map[string]uint64{}, acknowledgedSentMs: -acknowledgeWindowMs}
}

// setLeader sets the leader to which batches are sent. A new leader has received no batch yet.
func (r *engineReports) setLeader(leader string) {
	if r.leader == leader {
		return
	}
	*r = engineReports{reportedMs: r.reportedMs, lastBatch: r.lastBatch, leader: leader, receivedBatches: map[string]uint64{}, acknowledgedSentMs: -acknowledgeWindowMs}
}

// nextBatch returns the next batch for the leader, including the engines of older batches whose
// acknowledgement is overdue.
func (r *engineReports) nextBatch(nowMs int64) *protocol.EngineLiveness {
	for len(r.unacknowledged) > 0 && nowMs-r.unacknowledged[0].sentMs > acknowledgeWindowMs {
		for engine, atMs := range r.unacknowledged[0].reportedMs {
			r.reportedMs[engine] = max(r.reportedMs[engine], atMs)
		}
		r.unacknowledged = r.unacknowledged[1:]
	}
	maps.DeleteFunc(r.reportedMs, func(_ string, atMs int64) bool { return nowMs-atMs > reportExpiryMs })
	r.lastBatch++
	batch := &protocol.EngineLiveness{BatchNumber: r.lastBatch, ReportedEngines: slices.Sorted(maps.Keys(r.reportedMs))}
	r.unacknowledged = append(r.unacknowledged, reportBatch{number: r.lastBatch, sentMs: nowMs, reportedMs: r.reportedMs})
	r.reportedMs = map[string]int64{}
	return batch
}

// handleAcknowledgement records which batch the leader has received.
func (r *engineReports) handleAcknowledgement(from string, number uint64) {
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
// leader, and adds the engine to the next batch if so. That holds if the report changes no
// replicated state and batches reach the leader. Invariant: a change of an engine, above all that it
// drains, is acknowledged only once it is committed, and a process without an acknowledgement for a
// batch sent within acknowledgeWindowMs acknowledges nothing itself. Otherwise a live engine could
// keep reporting to a process that does not reach the leader until the engine counts as lost.
func (c *Core) acknowledgeLocally(engine membership.ServingEngine) bool {
	if !c.formed || c.engineReports.leader == "" || c.nowMs-c.engineReports.acknowledgedSentMs > acknowledgeWindowMs || !c.system.fleet.IsUnchanged(engine) {
		return false
	}
	c.engineReports.reportedMs[engine.ID] = c.nowMs
	return true
}

// engineLiveness returns the engine liveness of a presence message to another process: on the
// leader the acknowledgement of that process's batches, on other processes the next batch if the
// receiver is the leader.
func (c *Core) engineLiveness(member string) *protocol.EngineLiveness {
	if c.fleetTracker != nil {
		return &protocol.EngineLiveness{AcknowledgedBatch: c.engineReports.receivedBatches[member]}
	}
	if member != c.engineReports.leader {
		return nil
	}
	return c.engineReports.nextBatch(c.nowMs)
}

// handleEngineLiveness handles the engine liveness in a presence message of another process.
func (c *Core) handleEngineLiveness(from string, liveness *protocol.EngineLiveness) {
	if liveness == nil {
		return
	}
	if c.fleetTracker == nil {
		c.engineReports.handleAcknowledgement(from, liveness.AcknowledgedBatch)
		return
	}
	if liveness.BatchNumber == 0 {
		return
	}
	c.engineReports.receivedBatches[from] = liveness.BatchNumber
	for _, engine := range liveness.ReportedEngines {
		c.fleetTracker.RecordEngineAlive(engine, c.nowMs)
	}
}
