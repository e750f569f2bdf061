package program

import "github.com/ochrebay/ochrebay/internal/result"

// openWithFence returns the program if fence is that of its open turn.
func (l *Ledger) openWithFence(id string, fence uint64) (*Header, bool) {
	header, ok := l.programs[id]
	if !ok || header.Open == nil {
		return nil, false
	}
	// Invariant: only the newest attempt of a turn can close it.
	return header, header.Open.Fence == fence || l.DisableFence
}

// closedAlready answers a commit or abort that was carried out before.
func (l *Ledger) closedAlready(id string, fence uint64, byAbort bool) (Reply, bool) {
	header, ok := l.programs[id]
	if !ok || fence == 0 || header.ClosedFence != fence || header.ClosedByAbort != byAbort {
		return Reply{}, false
	}
	return Reply{Turn: header.LastTurn, Ended: header.Ended, RemainingTokens: header.RemainingTokens()}, true
}

func (l *Ledger) commit(nowMs int64, commit *Commit) (Reply, Effects) {
	if reply, done := l.closedAlready(commit.Program, commit.Fence, false); done {
		return reply, Effects{}
	}
	header, ok := l.openWithFence(commit.Program, commit.Fence)
	if !ok {
		return refuse(result.StaleFence, "fence %d of program %s is not in force", commit.Fence, commit.Program)
	}
	open := header.Open
	header.Open = nil
	header.ClosedFence = commit.Fence
	header.ClosedByAbort = false
	header.LastTurn = open.Turn
	header.SpentTokens += min(commit.NewTokens+commit.Usage.CompletionTokens, open.Reserved)
	header.LastActiveMs = nowMs
	header.Engine = commit.Engine
	header.remember(open)
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
	if reply, done := l.closedAlready(abort.Program, abort.Fence, true); done {
		return reply, Effects{}
	}
	header, ok := l.openWithFence(abort.Program, abort.Fence)
	if !ok {
		return refuse(result.StaleFence, "fence %d of program %s is not in force", abort.Fence, abort.Program)
	}
	open := header.Open
	header.ClosedFence = abort.Fence
	header.ClosedByAbort = true
	if open.AtMostOnce && !abort.NotRun {
		effects := header.closeUnknown(nowMs)
		return Reply{Turn: header.LastTurn, RemainingTokens: header.RemainingTokens()}, effects
	}
	if !abort.NotRun {
		header.SpentTokens += min(abort.UsedTokens, open.Reserved)
	}
	header.Open = nil
	header.LastActiveMs = nowMs
	return Reply{Turn: header.LastTurn, RemainingTokens: header.RemainingTokens()}, Effects{}
}

func (l *Ledger) end(nowMs int64, end *End) (Reply, Effects) {
	header, ok := l.programs[end.Program]
	if !ok {
		return refuse(result.NotFound, "no program %s", end.Program)
	}
	if end.Tenant != "" && header.Tenant != end.Tenant {
		return refuse(result.ForeignProgram, "program %s is not of tenant %q", end.Program, end.Tenant)
	}
	if header.Ended {
		return Reply{Turn: header.LastTurn, Ended: true, RemainingTokens: header.RemainingTokens()}, Effects{}
	}
	effects := header.close(nowMs, end.Reason)
	return Reply{Turn: header.LastTurn, Ended: true, RemainingTokens: header.RemainingTokens()}, effects
}

// close ends the program; a call under way loses its turn.
func (h *Header) close(nowMs int64, reason string) Effects {
	var effects Effects
	if h.Open != nil && h.Open.AtMostOnce {
		effects = h.closeUnknown(nowMs)
	} else if h.Open != nil {
		h.SpentTokens += h.Open.Reserved
		h.Open = nil
	}
	h.Ended = true
	h.EndReason = reason
	h.LastActiveMs = nowMs
	return effects
}

// IsSweepDue reports whether a Sweep now would change anything.
func (l *Ledger) IsSweepDue(nowMs, retainMs int64) bool {
	for _, header := range l.programs {
		if header.idle(nowMs) || header.forgettable(nowMs, retainMs) {
			return true
		}
	}
	return false
}

// idle reports whether nobody has used the program for its idle time. A turn that
// is open past its caller's deadline has lost its scheduler and doesn't count.
func (h *Header) idle(nowMs int64) bool {
	sinceMs := h.LastActiveMs
	if h.Open != nil {
		sinceMs = max(sinceMs, h.Open.DeadlineMs)
	}
	return !h.Ended && h.Limits.IdleTimeoutMs > 0 && nowMs-sinceMs > h.Limits.IdleTimeoutMs
}

func (h *Header) forgettable(nowMs, retainMs int64) bool {
	return h.Ended && nowMs-h.LastActiveMs > retainMs
}

func (l *Ledger) sweep(nowMs int64, sweep *Sweep) (Reply, Effects) {
	var effects Effects
	for _, id := range l.IDs() {
		header := l.programs[id]
		if header.idle(nowMs) {
			effects = header.close(nowMs, "idle")
			if effects.Write != nil {
				// One record a command: the next sweep goes on.
				return Reply{}, effects
			}
			continue
		}
		if header.forgettable(nowMs, sweep.RetentionMs) {
			effects.DeletePrograms = append(effects.DeletePrograms, DeletedProgram{Program: id, LastTurn: header.LastTurn})
			delete(l.programs, id)
		}
	}
	return Reply{}, effects
}
