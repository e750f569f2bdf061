package replication

import (
	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/result"
)

// ExpirePending gives up on what no quorum confirmed in time or on what this
// replica can't see through because it doesn't lead any more.
func (h *Host) ExpirePending() {
	for _, group := range h.Groups {
		h.note(h.tendTransfers(group))
		h.endOverwritten(group)
		leads := group.Node.Role() == consensus.Leader
		for _, index := range SortedKeys(group.waiting) {
			if waiting, ok := group.waiting[index]; ok && h.overdue(waiting.sinceMs, leads) {
				delete(group.waiting, index)
				waiting.answer(result.New(result.NoQuorum, "group %d did not confirm in time", group.ID))
			}
		}
		for _, id := range SortedKeys(group.reads) {
			if h.overdue(group.reads[id].sinceMs, leads) {
				h.endRead(group, id)
			}
		}
	}
}

func (h *Host) overdue(sinceMs int64, leads bool) bool {
	return !leads || h.NowMs-sinceMs >= h.options.ProposalTimeoutMs
}

// endOverwritten ends the proposals whose entries the log does not hold any more, since
// another leader wrote its own there. Their outcome is unknown: a third replica may still
// hold such an entry and commit it. Invariant: at most one proposal waits at an index, so
// that none is forgotten when the next one of this replica takes its place.
func (h *Host) endOverwritten(group *Group) {
	if len(group.waiting) == 0 || group.checkedTerm == group.Node.Term() {
		return
	}
	group.checkedTerm = group.Node.Term()
	var overwritten []proposal
	for _, index := range SortedKeys(group.waiting) {
		waiting := group.waiting[index]
		// What is committed there and not applied yet tells the outcome when it is.
		decided := index > group.Node.Applied() && index <= group.Node.Commit()
		if !decided && group.Node.TermAt(index) != waiting.term {
			overwritten = append(overwritten, waiting)
			delete(group.waiting, index)
		}
	}
	// All are taken out before the first is answered: an answer may propose in their places.
	for _, waiting := range overwritten {
		waiting.answer(result.New(result.NoQuorum, "leadership of group %d moved on, the outcome is unknown", group.ID))
	}
}

// endRead answers a read that nobody has confirmed.
func (h *Host) endRead(group *Group, id uint64) {
	pending, ok := group.reads[id]
	if !ok {
		return
	}
	delete(group.reads, id)
	pending.done(result.New(result.NotLeader, "group %d has no confirmed leader here", group.ID))
}
