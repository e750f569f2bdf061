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

// followTerm ends what belongs to a term of this leader that is over, and begins anew where
// it leads. Invariant: soft state is of one term. A leader that lost the lead and regained it
// between two ticks knows no more of what happened meanwhile than any other.
func (c *Core) followTerm() {
	node := c.host.Groups[0].Node
	leads := node.Role() == consensus.Leader
	if leads && c.tracker != nil && c.leadingTerm == node.Term() {
		return
	}
	if c.tracker != nil {
		c.endTerm()
	}
	if leads && !c.draining {
		c.beginTerm(node.Term())
	}
}

func (c *Core) beginTerm(term uint64) {
	c.leadingTerm = term
	c.leadingSinceMs = c.nowMs
	c.tracker = membership.NewTracker(c.options.LeaseMs, c.nowMs)
	c.permits = reconcile.NewPermits(c.nowMs)
	c.fleetTracker = membership.NewFleetTracker(c.options.Fleet, c.nowMs)
	c.loads = scheduling.NewLoadAggregator()
	c.uses = admission.NewUsageAggregator()
	c.planning = 0
	c.fleetPlanning = false
}

// endTerm sends the heartbeats that wait to whoever leads now: they were counted by the
// trackers of this term.
func (c *Core) endTerm() {
	c.tracker = nil
	c.permits = nil
	c.fleetTracker = nil
	c.loads = nil
	c.uses = nil
	c.refuseSyncs()
	c.refuseFleetSyncs()
}

// tickLeader does what only leaders do from time to time.
func (c *Core) tickLeader() {
	c.admitCandidates()
	c.sweep()
	if c.draining {
		for _, group := range c.host.Groups {
			c.handOver(group)
		}
		return
	}
	c.balance()
	if c.tracker == nil {
		return
	}
	c.replaceLost()
	c.plan()
	c.planFleet()
}

// plan proposes the next update of the directory, one at a time.
func (c *Core) plan() {
	if c.planning != 0 || c.nowMs-c.lastPlanMs < planEveryMs {
		return
	}
	// Invariant: a leader plans from a directory that holds every update of the
	// leaders before it.
	if c.host.Groups[0].Node.TermAt(c.host.Groups[0].Node.Applied()) != c.host.Groups[0].Node.Term() {
		return
	}
	c.lastPlanMs = c.nowMs
	update := c.tracker.Plan(c.system.directory, c.nowMs)
	if update.IsEmpty() {
		return
	}
	failure := c.host.Propose(c.host.Groups[0], &systemCommand{Update: &update}, func(any) { c.planning = 0 })
	if failure == nil {
		c.planning = c.host.Groups[0].Node.LastIndex()
	}
}

// applied lets waiting heartbeats hear of a change of the settings group.
func (c *Core) applied(group *replication.Group) {
	if group.ID == 0 && c.host.Groups[0].Node.Role() == consensus.Leader {
		c.answerSyncs(false)
		c.answerFleetSyncs()
	}
}

// sweep ends idle programs in the groups led here.
func (c *Core) sweep() {
	if c.nowMs-c.lastSweepMs < sweepEveryMs {
		return
	}
	c.lastSweepMs = c.nowMs
	retainMs := *c.system.tree.Effective("/").RetainMs
	for _, group := range c.host.Groups[1:] {
		ledger := group.StateMachine.(*ledgerMachine).ledger
		if group.Node.Role() != consensus.Leader || !ledger.IsSweepDue(c.nowMs, retainMs) {
			continue
		}
		command := program.Command{NowMs: c.nowMs, Sweep: &program.Sweep{RetentionMs: retainMs}}
		_ = c.host.Propose(group, &command, func(any) {})
	}
}
