package replication

import (
	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/result"
)

// ExpirePending fails the proposals and reads that no quorum confirmed in time, or whose outcome
// this replica can no longer see because it lost the leadership. It also resends and ends
// snapshot transfers.
func (h *Host) ExpirePending() {
	for _, group := range h.Groups {
		h.deferError(h.maintainTransfers(group))
		h.failOverwrittenProposals(group)
		isLeader := group.Node.Role() == consensus.Leader
		for _, index := range SortedKeys(group.proposals) {
			if pending, ok := group.proposals[index]; ok && h.isOverdue(pending.proposedMs, isLeader) {
				delete(group.proposals, index)
				pending.reply(result.New(result.NoQuorum, "no quorum of group %d confirmed the proposal in time", group.ID))
			}
		}
		for _, id := range SortedKeys(group.reads) {
			if h.isOverdue(group.reads[id].startedMs, isLeader) {
				h.failRead(group, id)
			}
		}
	}
}

func (h *Host) isOverdue(startedMs int64, isLeader bool) bool {
	return !isLeader || h.NowMs-startedMs >= h.options.ProposalTimeoutMs
}

// failOverwrittenProposals fails the proposals whose entries are no longer in the log because
// another leader overwrote them. Their outcome is unknown: a third replica may still hold such an
// entry and commit it. Invariant: a proposal is answered before the next proposal of this replica
// at the same index replaces it in the map, so that none is left without an answer.
func (h *Host) failOverwrittenProposals(group *Group) {
	if len(group.proposals) == 0 || group.checkedTerm == group.Node.Term() {
		return
	}
	group.checkedTerm = group.Node.Term()
	var overwritten []pendingProposal
	for _, index := range SortedKeys(group.proposals) {
		pending := group.proposals[index]
		// An entry that is committed at the index but not applied yet decides the outcome once it
		// is applied.
		outcomePending := index > group.Node.AppliedIndex() && index <= group.Node.CommitIndex()
		if !outcomePending && group.Node.TermAt(index) != pending.term {
			overwritten = append(overwritten, pending)
			delete(group.proposals, index)
		}
	}
	// All are removed from the map before the first reply, because a reply may propose at their
	// indexes.
	for _, pending := range overwritten {
		pending.reply(result.New(result.NoQuorum, "leadership of group %d changed, the outcome is unknown", group.ID))
	}
}

// failRead fails a read that was not confirmed.
func (h *Host) failRead(group *Group, id uint64) {
	pending, ok := group.reads[id]
	if !ok {
		return
	}
	delete(group.reads, id)
	pending.done(result.New(result.NotLeader, "group %d has no confirmed leader on this replica", group.ID))
}
