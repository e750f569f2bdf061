package program

import "github.com/ochrebay/ochrebay/internal/result"

// findOpen returns a program with an open turn and whether the fence may close that turn.
func (l *Ledger) findOpen(id string, fence uint64) (*Header, bool) {
	header, ok := l.programs[id]
	if !ok || header.Open == nil {
		return nil, false
	}
	// Invariant: only the latest attempt of a turn can close it.
	return header, header.Open.Fence == fence || l.DisableFencing
}

// replyIfClosed returns the reply to a commit or abort that has already been applied.
func (l *Ledger) replyIfClosed(id string, fence uint64, byAbort bool) (Reply, bool) {
	header, ok := l.programs[id]
	if !ok || fence == 0 || header.ClosedFence != fence || header.ClosedByAbort != byAbort {
		return Reply{}, false
	}
	return Reply{Turn: header.LastTurn, Ended: header.Ended, RemainingTokens: header.RemainingTokens()}, true
}

func (l *Ledger) commit(nowMs int64, commit *Commit) (Reply, Effects) {
	if reply, done := l.replyIfClosed(commit.Program, commit.Fence, false); done {
		return reply, Effects{}
	}
	header, ok := l.findOpen(commit.Program, commit.Fence)
	if !ok {
		return refuse(result.StaleFence, "fence %d is not the fence of the open turn of program %s", commit.Fence, commit.Program)
	}
	open := header.Open
	header.Open = nil
	header.ClosedFence = commit.Fence
	header.ClosedByAbort = false
	header.LastTurn = open.Turn
	header.SpentTokens += min(commit.NewTokens+commit.Usage.CompletionTokens, open.ReservedTokens)
	header.LastActiveMs = nowMs
	header.Engine = commit.Engine
	header.recordClosedRequest(open)
	thread := header.findThread(open.Thread)
	thread.Messages += len(commit.Messages) + 1
	thread.Digest = ChainDigest(ChainDigest(thread.Digest, commit.Messages...), commit.Answer)
	if commit.EndsProgram {
		header.Ended = true
		header.EndReason = "caller"
	}
	return Reply{Turn: header.LastTurn, Ended: header.Ended, RemainingTokens: header.RemainingTokens()}, Effects{
		Program: header.ID,
		Write: &TurnRecord{
			Turn: open.Turn, Thread: open.Thread, Request: open.Request, Messages: commit.Messages,
			Answer: commit.Answer, Usage: commit.Usage, Engine: commit.Engine, ClosedMs: nowMs,
		},
	}
}

func (l *Ledger) abort(nowMs int64, abort *Abort) (Reply, Effects) {
	if reply, done := l.replyIfClosed(abort.Program, abort.Fence, true); done {
		return reply, Effects{}
	}
	header, ok := l.findOpen(abort.Program, abort.Fence)
	if !ok {
		return refuse(result.StaleFence, "fence %d is not the fence of the open turn of program %s", abort.Fence, abort.Program)
	}
	open := header.Open
	header.ClosedFence = abort.Fence
	header.ClosedByAbort = true
	if open.AtMostOnce && !abort.NotRun {
		effects := header.closeWithUnknownOutcome(nowMs)
		return Reply{Turn: header.LastTurn, RemainingTokens: header.RemainingTokens()}, effects
	}
	if !abort.NotRun {
		header.SpentTokens += min(abort.UsedTokens, open.ReservedTokens)
	}
	header.Open = nil
	header.LastActiveMs = nowMs
	return Reply{Turn: header.LastTurn, RemainingTokens: header.RemainingTokens()}, Effects{}
}

func (l *Ledger) end(nowMs int64, end *End) (Reply, Effects) {
	header, ok := l.programs[end.Program]
	if !ok {
		return refuse(result.NotFound, "program %s does not exist", end.Program)
	}
	if end.Tenant != "" && header.Tenant != end.Tenant {
		return refuse(result.ForeignProgram, "program %s does not belong to tenant %q", end.Program, end.Tenant)
	}
	if header.Ended {
		return Reply{Turn: header.LastTurn, Ended: true, RemainingTokens: header.RemainingTokens()}, Effects{}
	}
	effects := header.close(nowMs, end.Reason)
	return Reply{Turn: header.LastTurn, Ended: true, RemainingTokens: header.RemainingTokens()}, effects
}

// close ends the program and closes its open turn: an at-most-once turn with a record of its
// unknown outcome, any other turn without a record. The reservation is charged in full.
func (h *Header) close(nowMs int64, reason string) Effects {
	var effects Effects
	if h.Open != nil && h.Open.AtMostOnce {
		effects = h.closeWithUnknownOutcome(nowMs)
	} else if h.Open != nil {
		h.SpentTokens += h.Open.ReservedTokens
		h.Open = nil
	}
	h.Ended = true
	h.EndReason = reason
	h.LastActiveMs = nowMs
	return effects
}

// IsSweepDue reports whether a Sweep would change anything now.
func (l *Ledger) IsSweepDue(nowMs, retentionMs int64) bool {
	for _, header := range l.programs {
		if header.isIdle(nowMs) || header.isExpired(nowMs, retentionMs) {
			return true
		}
	}
	return false
}

// isIdle reports whether the program has been unused for its idle timeout. A turn that is open
// past its caller's deadline has lost its scheduler and does not count as use.
func (h *Header) isIdle(nowMs int64) bool {
	sinceMs := h.LastActiveMs
	if h.Open != nil {
		sinceMs = max(sinceMs, h.Open.DeadlineMs)
	}
	return !h.Ended && h.Limits.IdleTimeoutMs > 0 && nowMs-sinceMs > h.Limits.IdleTimeoutMs
}

func (h *Header) isExpired(nowMs, retentionMs int64) bool {
	return h.Ended && nowMs-h.LastActiveMs > retentionMs
}

func (l *Ledger) sweep(nowMs int64, sweep *Sweep) (Reply, Effects) {
	var effects Effects
	for _, id := range l.IDs() {
		header := l.programs[id]
		if header.isIdle(nowMs) {
			effects = header.close(nowMs, "idle")
			if effects.Write != nil {
				// A command can write only one record, so the next sweep continues.
				return Reply{}, effects
			}
			continue
		}
		if header.isExpired(nowMs, sweep.RetentionMs) {
			effects.DeletePrograms = append(effects.DeletePrograms, DeletedProgram{Program: id, LastTurn: header.LastTurn})
			delete(l.programs, id)
		}
	}
	return Reply{}, effects
}
