package ledger

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/replication"
	"github.com/ochrebay/ochrebay/internal/result"
)

// groupSupportsHolds reports whether all replicas of a group retain the chains of open turns. Invariant: an
// entry with a hold is proposed only then, because replicas of an earlier release would ignore it and come
// to another state. A member that has sent no message since this process started, because it is down, counts
// by what the state of the group says about the time before.
func (c *Core) groupSupportsHolds(group *replication.Group) bool {
	supportedBefore := group.StateMachine.(*stateMachine).turns.SupportsHolds()
	for _, replica := range group.Node.Configuration().Replicas {
		supports, isKnown := c.supportsHolds[replica.Member]
		if !isKnown {
			supports = supportedBefore
		}
		if replica.Member != c.options.Member && !supports {
			return false
		}
	}
	return true
}

// onceSupportKnown calls proceed once this replica knows whether its group supports holds as far as that
// can be known: the state of a replica that has just begun to lead may lag behind.
func (c *Core) onceSupportKnown(id RequestID, group *replication.Group, proceed func()) {
	isUnknown := func(replica consensus.Replica) bool {
		_, isKnown := c.supportsHolds[replica.Member]
		return !isKnown && replica.Member != c.options.Member
	}
	if group.StateMachine.(*stateMachine).turns.SupportsHolds() || !slices.ContainsFunc(group.Node.Configuration().Replicas, isUnknown) {
		proceed()
		return
	}
	c.host.LinearizableRead(group, func(failure *result.Error) {
		if failure != nil {
			c.transport.Reply(id, &protocol.TurnReply{Error: failure})
			return
		}
		proceed()
	})
}

// withHold returns a reservation with the hold that all replicas of its group apply: none for a turn that
// continues no other one, or while a replica does not support it. The turn's request identifies the hold of
// a gateway of an earlier release, which does not state one.
func (c *Core) withHold(group *replication.Group, reserve *program.Reserve) *program.Reserve {
	hold := reserve.Hold
	switch {
	case reserve.PreviousRequest == "" || !c.groupSupportsHolds(group):
		hold = nil
	case hold == nil:
		hold = &program.Hold{ID: reserve.Request, DurationMs: program.DefaultHoldMs}
	}
	if hold == reserve.Hold {
		return reserve
	}
	changed := *reserve
	changed.Hold = hold
	return &changed
}

// withReleasedHold returns a settlement that releases the hold of its turn and, if it retains the turn,
// requires the chain to be whole. It does neither while a replica of the group does not support it.
func (c *Core) withReleasedHold(group *replication.Group, settle *program.Settle) *program.Settle {
	changed := *settle
	if !c.groupSupportsHolds(group) {
		changed.ReleasedHold = ""
		return &changed
	}
	if changed.ReleasedHold == "" {
		changed.ReleasedHold = settle.Request
	}
	changed.RequiresChain = settle.Retain
	return &changed
}
