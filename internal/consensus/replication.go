package consensus

import "slices"

// progress is the leader's view of one follower.
type progress struct {
	match uint64
	next  uint64
	// probing is set until the follower has confirmed a position; one append is
	// then sent at a time.
	probing  bool
	inflight int
	// waitingSnapshot is set from the request for a snapshot until the follower
	// answers.
	waitingSnapshot bool
	active          bool
	wasActive       bool
	answered        bool
	// resendIn is how many ticks must go by before a snapshot on its way is sent again.
	resendIn int
	// sentTick is when something was last appended there, in ticks of this leader.
	sentTick int
	// timedIndex is the entry whose answer is being timed since timedTick, 0 for none, and
	// roundTicks what that took lately at the most.
	timedIndex uint64
	timedTick  int
	roundTicks int
	// resends counts what was sent again since the last timed answer.
	resends int
}

// longestResendTicks bounds how long a leader waits before it sends again what may be lost.
const longestResendTicks = 40

// resendTicks is how long an answer to what was sent last may take: twice the time that
// answers took lately, doubled for each time that it was sent again without one (as in RFC
// 6298). Invariant: what is slow is not taken for lost, since sending it again makes a
// crowded link slower for good.
func (p *progress) resendTicks(heartbeatTicks int) int {
	return min((2*p.roundTicks+heartbeatTicks)<<min(p.resends, 8), longestResendTicks)
}

// noteSent remembers an append of entries up to an index.
func (p *progress) noteSent(tick int, last uint64, entries int) {
	p.sentTick = tick
	if p.timedIndex == 0 && entries > 0 {
		p.timedIndex = last
		p.timedTick = tick
	}
}

// noteAnswered takes the time of an answer that covers the entry that is being timed.
func (p *progress) noteAnswered(tick int, match uint64) {
	if p.timedIndex == 0 || match < p.timedIndex {
		return
	}
	const keptOfEight = 7
	p.roundTicks = max(tick-p.timedTick, p.roundTicks*keptOfEight/8)
	p.timedIndex = 0
	p.resends = 0
}

// snapshotTicks is how long a snapshot may take before it is sent again.
const snapshotTicks = 30

// syncProgress makes the leader's views match the configuration.
func (n *Node) syncProgress() {
	for id := range n.progress {
		if _, ok := n.log.configuration().Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, replica := range n.log.configuration().Replicas {
		if replica.ID == n.options.ID || n.progress[replica.ID] != nil {
			continue
		}
		n.progress[replica.ID] = &progress{next: n.log.lastIndex() + 1, probing: true, active: true}
	}
}

func (n *Node) appendOwn(entry Entry) Entry {
	n.Wake()
	entry.Term = n.term
	entry.Index = n.log.lastIndex() + 1
	n.log.append(entry)
	return entry
}

func (n *Node) send(message Message) {
	message.From = n.options.ID
	message.Term = n.term
	n.messages = append(n.messages, message)
}

// peers returns the followers in ascending order, so that runs are repeatable.
func (n *Node) peers() []ReplicaID {
	ids := make([]ReplicaID, 0, len(n.progress))
	for id := range n.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) broadcastAppend() {
	for _, id := range n.peers() {
		n.sendAppend(id)
	}
}

// sendUnsent sends followers the entries that they lack.
func (n *Node) sendUnsent() {
	if n.role != Leader {
		return
	}
	for _, id := range n.peers() {
		if n.progress[id].next <= n.log.lastIndex() {
			n.sendAppend(id)
		}
	}
}

func (n *Node) sendAppend(id ReplicaID) {
	follower := n.progress[id]
	if follower.waitingSnapshot || (follower.probing && follower.inflight > 0) || follower.inflight >= n.options.MaxInflight {
		return
	}
	previous := follower.next - 1
	previousTerm, ok := n.log.term(previous)
	if !ok {
		follower.waitingSnapshot = true
		n.snapshotsWanted = append(n.snapshotsWanted, id)
		return
	}
	entries := n.log.slice(follower.next, n.log.lastIndex(), n.options.MaxAppendBytes)
	follower.inflight++
	follower.noteSent(n.ticks, previous+uint64(len(entries)), len(entries))
	if !follower.probing {
		follower.next += uint64(len(entries))
	}
	n.send(Message{
		Kind: MessageAppend, To: id, Index: previous, LogTerm: previousTerm,
		Entries: entries, Commit: n.log.commit,
	})
}

// SendSnapshot sends a snapshot to a replica named in SnapshotsWanted.
func (n *Node) SendSnapshot(to ReplicaID, snapshot Snapshot) {
	follower, ok := n.progress[to]
	if n.role != Leader || !ok {
		return
	}
	follower.next = snapshot.Index + 1
	follower.resendIn = snapshotTicks
	n.send(Message{Kind: MessageSnapshot, To: to, Snapshot: &snapshot})
}

func (n *Node) tickLeader() {
	n.electionElapsed++
	n.heartbeatElapsed++
	n.idleTicks++
	n.ticks++
	for _, follower := range n.progress {
		follower.resendIn = max(follower.resendIn-1, 0)
	}
	if n.electionElapsed >= n.options.ElectionTicks {
		n.electionElapsed = 0
		n.transfer = None
		// Invariant: a leader that no quorum answers steps down, so that it
		// answers nothing as truth while it is cut off.
		if !n.checkQuorum() && !n.options.DisableCheckQuorum {
			n.becomeFollower(n.term, None)
			return
		}
	}
	if n.heartbeatElapsed >= n.options.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeat()
	}
}

func (n *Node) checkQuorum() bool {
	active := 0
	for _, id := range n.log.configuration().Voters() {
		follower := n.progress[id]
		if id == n.options.ID || (follower != nil && follower.active) {
			active++
		}
	}
	for _, follower := range n.progress {
		follower.wasActive = follower.active
		follower.active = false
	}
	return active >= n.log.configuration().Quorum()
}

func (n *Node) broadcastHeartbeat() {
	quiesce := n.mayQuiesce()
	for _, id := range n.peers() {
		n.sendHeartbeat(id, quiesce)
	}
	n.quiescent = quiesce
}

func (n *Node) sendHeartbeat(id ReplicaID, quiesce bool) {
	follower := n.progress[id]
	n.send(Message{
		Kind: MessageHeartbeat, To: id, Commit: min(follower.match, n.log.commit),
		Context: n.readSeq, Quiesce: quiesce,
	})
}

// mayQuiesce reports whether every replica has the whole log, all committed,
// and nothing has happened for a while.
func (n *Node) mayQuiesce() bool {
	if n.options.QuiesceTicks == 0 || n.idleTicks < n.options.QuiesceTicks || len(n.reads) > 0 {
		return false
	}
	if n.log.commit != n.log.lastIndex() {
		return false
	}
	for _, follower := range n.progress {
		if follower.match != n.log.lastIndex() {
			return false
		}
	}
	return true
}

// maybeCommit advances the commit index. Followers hear of it with the next append or
// heartbeat: it needs no message of its own, since only the leader answers.
func (n *Node) maybeCommit() {
	var matches []uint64
	for _, id := range n.log.configuration().Voters() {
		if id == n.options.ID {
			matches = append(matches, n.log.stable)
			continue
		}
		matches = append(matches, n.progress[id].match)
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	candidate := matches[len(matches)-n.log.configuration().Quorum()]
	term, ok := n.log.term(candidate)
	// Invariant: only entries of the leader's own term are committed by count.
	if candidate <= n.log.commit || !ok || term != n.term {
		return
	}
	n.log.commit = candidate
	if n.log.configurationIndex() <= candidate && !n.log.configuration().IsVoter(n.options.ID) {
		n.becomeFollower(n.term, None)
		return
	}
	n.startWaitingReads()
}

// Step hands a message from another replica to the core.
func (n *Node) Step(message Message) {
	switch message.Kind {
	case MessagePreVote:
		n.stepPreVote(message)
		return
	case MessagePreVoteResponse:
		n.stepPreVoteResponse(message)
		return
	}
	forced := message.Kind == MessageVote && message.Context == contextForced
	if message.Kind == MessageVote && message.Term > n.term && !forced && n.hearsLeader() && !n.options.DisablePreVote {
		return
	}
	if message.Term > n.term {
		n.Wake()
		n.becomeFollower(message.Term, None)
	}
	if message.Term < n.term {
		n.rejectOldTerm(message)
		return
	}
	n.stepCurrentTerm(message)
}

// rejectOldTerm lets a stale leader or candidate learn the term.
func (n *Node) rejectOldTerm(message Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.messagesAfter = append(n.messagesAfter, Message{
			Kind: MessageAppendResponse, From: n.options.ID, To: message.From, Term: n.term, Reject: true,
		})
	case MessageVote:
		n.messagesAfter = append(n.messagesAfter, Message{
			Kind: MessageVoteResponse, From: n.options.ID, To: message.From, Term: n.term, Reject: true,
		})
	}
}

func (n *Node) stepCurrentTerm(message Message) {
	switch message.Kind {
	case MessageVote:
		n.stepVote(message)
	case MessageVoteResponse:
		n.stepVoteResponse(message)
	case MessageTimeoutNow:
		n.stepTimeoutNow(message)
	case MessageAppend:
		n.hearLeader(message)
		n.stepAppend(message)
	case MessageHeartbeat:
		n.hearLeader(message)
		n.stepHeartbeat(message)
	case MessageSnapshot:
		n.hearLeader(message)
		n.stepSnapshot(message)
	case MessageAppendResponse, MessageHeartbeatResponse:
		n.stepResponse(message)
	}
}

func (n *Node) hearLeader(message Message) {
	if n.role != Follower {
		n.becomeFollower(message.Term, message.From)
	}
	n.leader = message.From
	n.electionElapsed = 0
	n.quiescent = false
}

func (n *Node) respond(message Message) {
	message.From = n.options.ID
	message.Term = n.term
	n.messagesAfter = append(n.messagesAfter, message)
}

func (n *Node) stepAppend(message Message) {
	if message.Index < n.log.commit {
		n.respond(Message{Kind: MessageAppendResponse, To: message.From, Index: n.log.commit})
		return
	}
	if !n.log.matches(message.Index, message.LogTerm) {
		n.respond(Message{
			Kind: MessageAppendResponse, To: message.From, Index: message.Index,
			Reject: true, RejectHint: min(n.log.lastIndex(), message.Index-1),
		})
		return
	}
	n.log.merge(message.Entries)
	last := message.Index + uint64(len(message.Entries))
	n.log.commit = max(n.log.commit, min(message.Commit, last))
	n.respond(Message{Kind: MessageAppendResponse, To: message.From, Index: last})
}

func (n *Node) stepHeartbeat(message Message) {
	n.log.commit = max(n.log.commit, min(message.Commit, n.log.lastIndex()))
	n.quiescent = message.Quiesce && n.log.commit == n.log.lastIndex()
	n.respond(Message{Kind: MessageHeartbeatResponse, To: message.From, Context: message.Context})
}

func (n *Node) stepSnapshot(message Message) {
	snapshot := *message.Snapshot
	if snapshot.Index <= n.log.commit {
		n.respond(Message{Kind: MessageAppendResponse, To: message.From, Index: n.log.commit})
		return
	}
	n.log.restore(snapshot)
	n.pendingSnapshot = &snapshot
	n.respond(Message{Kind: MessageAppendResponse, To: message.From, Index: snapshot.Index})
}

func (n *Node) stepResponse(message Message) {
	follower, ok := n.progress[message.From]
	if n.role != Leader || !ok {
		return
	}
	follower.active = true
	if message.Kind == MessageHeartbeatResponse {
		n.stepHeartbeatResponse(message, follower)
		return
	}
	follower.answered = true
	follower.inflight = max(0, follower.inflight-1)
	if message.Reject {
		n.stepRejection(message, follower)
		return
	}
	follower.probing = false
	follower.waitingSnapshot = false
	follower.resendIn = 0
	follower.noteAnswered(n.ticks, message.Index)
	if message.Index > follower.match {
		follower.match = message.Index
		if message.From == n.transfer {
			n.completeTransfer()
		}
	}
	follower.next = max(follower.next, follower.match+1)
	n.maybeCommit()
	if n.role == Leader && follower.next <= n.log.lastIndex() {
		n.sendAppend(message.From)
	}
}

func (n *Node) stepRejection(message Message, follower *progress) {
	if message.Index <= follower.match {
		return
	}
	follower.next = max(follower.match+1, min(message.Index, message.RejectHint+1))
	follower.probing = true
	follower.inflight = 0
	n.sendAppend(message.From)
}

// stepHeartbeatResponse also resends what a lost message left behind.
func (n *Node) stepHeartbeatResponse(message Message, follower *progress) {
	n.confirmReads(message)
	stalled := !follower.answered
	follower.answered = false
	// Invariant: answers that arrive together, as when a cut heals, make the leader
	// send again once; a snapshot on its way is not one that was lost.
	due := n.ticks-follower.sentTick >= follower.resendTicks(n.options.HeartbeatTicks)
	if stalled && due && follower.resendIn == 0 && follower.match < n.log.lastIndex() {
		follower.resends++
		follower.timedIndex = 0
		// A lost probe is sent again as it was: of a replica that has answered nothing yet
		// the leader knows no position to go back to.
		if !follower.probing || follower.waitingSnapshot {
			follower.next = follower.match + 1
			follower.probing = true
		}
		follower.inflight = 0
		follower.waitingSnapshot = false
		n.sendAppend(message.From)
	}
}
