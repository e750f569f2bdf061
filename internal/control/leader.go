package control

import (
	"github.com/ochrebay/ochrebay/internal/admission"
	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/reconcile"
	"github.com/ochrebay/ochrebay/internal/replication"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// updateLeaderState drops the leader's soft state when its term is over, and creates new state when
// this process leads. Invariant: soft state does not outlive its term, since a leader that lost the
// leadership and regained it between two ticks has missed the events in between, like any new leader.
func (c *Core) updateLeaderState() {
	node := c.host.Groups[0].Node
	leads := node.Role() == consensus.Leader
	if leads && c.schedulerTracker != nil && c.leadingTerm == node.Term() {
		return
	}
	if c.schedulerTracker != nil {
		c.endTerm()
	}
	if leads && !c.draining {
		c.beginTerm(node.Term())
	}
}

func (c *Core) beginTerm(term uint64) {
	c.leadingTerm = term
	c.leadingSinceMs = c.nowMs
	c.schedulerTracker = membership.NewTracker(c.options.LeaseMs, c.nowMs)
	c.permits = reconcile.NewPermits(c.nowMs)
	c.fleetTracker = membership.NewFleetTracker(c.options.Fleet, c.nowMs)
	c.loadAggregator = scheduling.NewLoadAggregator()
	c.usageAggregator = admission.NewUsageAggregator()
	c.pendingUpdateIndex = 0
	c.fleetUpdatePending = false
}

// endTerm drops the soft state and refuses the heartbeats that wait for an answer, naming the
// current leader: the trackers that recorded them belong to the term that ended.
func (c *Core) endTerm() {
	c.schedulerTracker = nil
	c.permits = nil
	c.fleetTracker = nil
	c.loadAggregator = nil
	c.usageAggregator = nil
	c.refuseSyncs()
	c.refuseFleetSyncs()
}

// tickLeader runs the periodic tasks of group leaders.
func (c *Core) tickLeader() {
	c.admitCandidates()
	c.sweepPrograms()
	if c.draining {
		for _, group := range c.host.Groups {
			c.transferLeadership(group)
		}
		return
	}
	c.balanceLeaders()
	if c.schedulerTracker == nil {
		return
	}
	c.removeLostVoter()
	c.planDirectory()
	c.planFleet()
}

// planDirectory proposes the next update of the directory, one at a time.
func (c *Core) planDirectory() {
	if c.pendingUpdateIndex != 0 || c.nowMs-c.lastPlanMs < planIntervalMs {
		return
	}
	// Invariant: a leader plans only from a directory that includes every update of
	// earlier leaders.
	if c.host.Groups[0].Node.TermAt(c.host.Groups[0].Node.AppliedIndex()) != c.host.Groups[0].Node.Term() {
		return
	}
	c.lastPlanMs = c.nowMs
	update := c.schedulerTracker.Plan(c.system.directory, c.nowMs)
	if update.IsEmpty() {
		return
	}
	failure := c.host.Propose(c.host.Groups[0], &systemCommand{Update: &update}, func(any) { c.pendingUpdateIndex = 0 })
	if failure == nil {
		c.pendingUpdateIndex = c.host.Groups[0].Node.LastIndex()
	}
}

// handleApplied answers held heartbeats after a change of the settings group.
func (c *Core) handleApplied(group *replication.Group) {
	if group.ID == 0 && c.host.Groups[0].Node.Role() == consensus.Leader {
		c.answerSyncs(false)
		c.answerFleetSyncs()
	}
}

// sweepPrograms ends idle programs and deletes those past their retention time in the groups that
// this process leads.
func (c *Core) sweepPrograms() {
	if c.nowMs-c.lastSweepMs < sweepIntervalMs {
		return
	}
	c.lastSweepMs = c.nowMs
	retainMs := *c.system.tree.EffectiveFields("/").RetentionMs
	for _, group := range c.host.Groups[1:] {
		ledger := group.StateMachine.(*ledgerStateMachine).ledger
		if group.Node.Role() != consensus.Leader || !ledger.IsSweepDue(c.nowMs, retainMs) {
			continue
		}
		command := program.Command{NowMs: c.nowMs, Sweep: &program.Sweep{RetentionMs: retainMs}}
		_ = c.host.Propose(group, &command, func(any) {})
	}
}
