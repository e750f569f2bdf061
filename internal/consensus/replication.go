package consensus

import "slices"

// progress is the leader's replication state of one follower.
type progress struct {
	// match is the last index that the follower has acknowledged, and next the next index to send.
	match uint64
	next  uint64
	// isProbing is set until the follower acknowledges a position, and again after a rejection or
	// a retransmission. While it is set, only one append message is in flight.
	isProbing       bool
	inflightAppends int
	// awaitsSnapshot is set from the request for a snapshot until the follower acknowledges a
	// position or the snapshot is considered lost.
	awaitsSnapshot bool
	// isActive is set initially and when the follower has responded since the last quorum check,
	// and wasActive is its value before that check. hasAppendResponse is set by a response to an
	// append or a snapshot and cleared by each heartbeat response.
	isActive          bool
	wasActive         bool
	hasAppendResponse bool
	// snapshotTicksLeft is the number of ticks until a snapshot in flight may be retransmitted.
	snapshotTicksLeft int
	// lastSentTick is the leader tick at which the last append message was sent.
	lastSentTick int
	// timedIndex is the entry whose acknowledgement is timed from timedSinceTick on, zero for none.
	// roundTripTicks is the decaying maximum of the measured round-trip times, in ticks.
	timedIndex     uint64
	timedSinceTick int
	roundTripTicks int
	// retransmissions counts the retransmissions since the last timed acknowledgement.
	retransmissions int
}

// maxRetransmissionTicks bounds the time, in ticks, after which a message that may be lost is
// retransmitted.
const maxRetransmissionTicks = 40

// retransmissionTimeoutTicks returns how long the acknowledgement of the last message may take: twice
// the recent round-trip time plus one heartbeat interval, doubled for each retransmission without an
// acknowledgement (as in RFC 6298). A delayed message must not be treated as lost, since
// retransmissions on a congested link keep it congested.
func (p *progress) retransmissionTimeoutTicks(heartbeatTicks int) int {
	return min((2*p.roundTripTicks+heartbeatTicks)<<min(p.retransmissions, 8), maxRetransmissionTicks)
}

// recordAppend records an append message with entries up to lastIndex, and starts to time it unless
// another entry is being timed.
func (p *progress) recordAppend(tick int, lastIndex uint64, entries int) {
	p.lastSentTick = tick
	if p.timedIndex == 0 && entries > 0 {
		p.timedIndex = lastIndex
		p.timedSinceTick = tick
	}
}

// recordAcknowledgement updates the round-trip time if an acknowledgement covers the timed entry.
func (p *progress) recordAcknowledgement(tick int, match uint64) {
	if p.timedIndex == 0 || match < p.timedIndex {
		return
	}
	const decayEighths = 7
	p.roundTripTicks = max(tick-p.timedSinceTick, p.roundTripTicks*decayEighths/8)
	p.timedIndex = 0
	p.retransmissions = 0
}

// snapshotTimeoutTicks is how many ticks a snapshot may take before it is retransmitted.
const snapshotTimeoutTicks = 30

// updateProgress adds and removes the progress of followers according to the configuration.
func (n *Node) updateProgress() {
	for id := range n.progress {
		if _, ok := n.log.configuration().Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, replica := range n.log.configuration().Replicas {
		if replica.ID == n.options.ID || n.progress[replica.ID] != nil {
			continue
		}
		n.progress[replica.ID] = &progress{next: n.log.lastIndex() + 1, isProbing: true, isActive: true}
	}
}

// appendEntry appends an entry of the leader's term to its log.
func (n *Node) appendEntry(entry Entry) Entry {
	n.Wake()
	entry.Term = n.term
	entry.Index = n.log.lastIndex() + 1
	n.log.append(entry)
	return entry
}

// send queues a message that need not wait for a sync.
func (n *Node) send(message Message) {
	message.From = n.options.ID
	message.Term = n.term
	n.messages = append(n.messages, message)
}

// followerIDs returns the IDs of the followers in ascending order, so that runs are reproducible.
func (n *Node) followerIDs() []ReplicaID {
	ids := make([]ReplicaID, 0, len(n.progress))
	for id := range n.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) broadcastAppend() {
	for _, id := range n.followerIDs() {
		n.sendAppend(id)
	}
}

// sendUnsentEntries sends the followers the entries that have not been sent to them.
func (n *Node) sendUnsentEntries() {
	if n.role != Leader {
		return
	}
	for _, id := range n.followerIDs() {
		if n.progress[id].next <= n.log.lastIndex() {
			n.sendAppend(id)
		}
	}
}

// sendAppend sends a follower the next entries as far as its limits allow, or requests a snapshot for
// it if the entry before them is compacted. It sends nothing to a replica that has left the group.
func (n *Node) sendAppend(id ReplicaID) {
	follower := n.progress[id]
	if follower == nil || follower.awaitsSnapshot || (follower.isProbing && follower.inflightAppends > 0) || follower.inflightAppends >= n.options.MaxInflight {
		return
	}
	previous := follower.next - 1
	previousTerm, ok := n.log.term(previous)
	if !ok {
		follower.awaitsSnapshot = true
		n.snapshotTargets = append(n.snapshotTargets, id)
		return
	}
	entries := n.log.slice(follower.next, n.log.lastIndex(), n.options.MaxAppendBytes)
	follower.inflightAppends++
	follower.recordAppend(n.leaderTicks, previous+uint64(len(entries)), len(entries))
	if !follower.isProbing {
		follower.next += uint64(len(entries))
	}
	n.send(Message{
		Kind: MessageAppend, To: id, Index: previous, LogTerm: previousTerm,
		Entries: entries, Commit: n.log.commit,
	})
}

// SendSnapshot sends a snapshot to a replica listed in Ready.SnapshotTargets.
func (n *Node) SendSnapshot(to ReplicaID, snapshot Snapshot) {
	follower, ok := n.progress[to]
	if n.role != Leader || !ok {
		return
	}
	follower.next = snapshot.Index + 1
	follower.snapshotTicksLeft = snapshotTimeoutTicks
	n.send(Message{Kind: MessageSnapshot, To: to, Snapshot: &snapshot})
}

func (n *Node) tickLeader() {
	n.electionElapsed++
	n.heartbeatElapsed++
	n.idleTicks++
	n.leaderTicks++
	for _, follower := range n.progress {
		follower.snapshotTicksLeft = max(follower.snapshotTicksLeft-1, 0)
	}
	if n.electionElapsed >= n.options.ElectionTicks {
		n.electionElapsed = 0
		n.transferTarget = None
		// A leader that receives no responses from a quorum steps down, so that it does not serve
		// stale data while it is partitioned.
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

// checkQuorum reports whether a quorum has responded since the last check, and starts a new period.
func (n *Node) checkQuorum() bool {
	hasQuorum := n.log.configuration().HasQuorum(func(id ReplicaID) bool {
		follower := n.progress[id]
		return id == n.options.ID || (follower != nil && follower.isActive)
	})
	for _, follower := range n.progress {
		follower.wasActive = follower.isActive
		follower.isActive = false
	}
	return hasQuorum
}

func (n *Node) broadcastHeartbeat() {
	canQuiesce := n.canQuiesce()
	for _, id := range n.followerIDs() {
		n.sendHeartbeat(id, canQuiesce)
	}
	n.isQuiescent = canQuiesce
}

func (n *Node) sendHeartbeat(id ReplicaID, quiesce bool) {
	follower := n.progress[id]
	n.send(Message{
		Kind: MessageHeartbeat, To: id, Commit: min(follower.match, n.log.commit),
		Context: n.readRound, Quiesce: quiesce,
	})
}

// canQuiesce reports whether every replica has the whole log, all entries are committed, no reads are
// pending and the group has been idle for QuiesceTicks.
func (n *Node) canQuiesce() bool {
	if n.options.QuiesceTicks == 0 || n.idleTicks < n.options.QuiesceTicks || len(n.pendingReads) > 0 {
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

// maybeCommit advances the commit index if a quorum has more entries. Followers receive the commit
// index with the next append or heartbeat. It needs no message of its own, since only the leader
// replies to proposals and linearizable reads.
func (n *Node) maybeCommit() {
	configuration := n.log.configuration()
	if len(configuration.Voters()) == 0 {
		return
	}
	candidate := n.majorityMatch(configuration.Voters())
	if configuration.IsJoint() {
		candidate = min(candidate, n.majorityMatch(configuration.Outgoing))
	}
	term, ok := n.log.term(candidate)
	// Invariant: only entries of the leader's own term are committed by counting replicas.
	if candidate <= n.log.commit || !ok || term != n.term {
		return
	}
	n.log.commit = candidate
	if n.log.configurationIndex() <= candidate && !configuration.IsVoter(n.options.ID) {
		n.becomeFollower(n.term, None)
		return
	}
	n.leaveJointConfiguration()
	n.startPendingReads()
}

// majorityMatch returns the last index that a majority of voters has on disk.
func (n *Node) majorityMatch(voters []ReplicaID) uint64 {
	var matches []uint64
	for _, id := range voters {
		if id == n.options.ID {
			matches = append(matches, n.log.stable)
			continue
		}
		matches = append(matches, n.progress[id].match)
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}

// Step processes a message from another replica.
func (n *Node) Step(message Message) {
	switch message.Kind {
	case MessagePreVote:
		n.stepPreVote(message)
		return
	case MessagePreVoteResponse:
		n.stepPreVoteResponse(message)
		return
	}
	isLeaderTransfer := message.Kind == MessageVote && message.Context == contextLeaderTransfer
	if message.Kind == MessageVote && message.Term > n.term && !isLeaderTransfer && n.hasLeaderContact() && !n.options.DisablePreVote {
		return
	}
	if message.Term > n.term {
		n.Wake()
		n.becomeFollower(message.Term, None)
	}
	if message.Term < n.term {
		n.rejectStaleTerm(message)
		return
	}
	n.stepCurrentTerm(message)
}

// rejectStaleTerm responds to a stale leader or candidate with the current term.
func (n *Node) rejectStaleTerm(message Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.messagesAfterSync = append(n.messagesAfterSync, Message{
			Kind: MessageAppendResponse, From: n.options.ID, To: message.From, Term: n.term, Reject: true,
		})
	case MessageVote:
		n.messagesAfterSync = append(n.messagesAfterSync, Message{
			Kind: MessageVoteResponse, From: n.options.ID, To: message.From, Term: n.term, Reject: true,
		})
	}
}

// stepCurrentTerm processes a message of the current term.
func (n *Node) stepCurrentTerm(message Message) {
	switch message.Kind {
	case MessageVote:
		n.stepVote(message)
	case MessageVoteResponse:
		n.stepVoteResponse(message)
	case MessageTimeoutNow:
		n.stepTimeoutNow(message)
	case MessageAppend:
		n.recordLeaderContact(message)
		n.stepAppend(message)
	case MessageHeartbeat:
		n.recordLeaderContact(message)
		n.stepHeartbeat(message)
	case MessageSnapshot:
		n.recordLeaderContact(message)
		n.stepSnapshot(message)
	case MessageAppendResponse, MessageHeartbeatResponse:
		n.stepResponse(message)
	}
}

// recordLeaderContact records a message from the leader of the current term.
func (n *Node) recordLeaderContact(message Message) {
	if n.role != Follower {
		n.becomeFollower(message.Term, message.From)
	}
	n.leader = message.From
	n.electionElapsed = 0
	n.isQuiescent = false
}

// respond queues a response that must wait for the sync.
func (n *Node) respond(message Message) {
	message.From = n.options.ID
	message.Term = n.term
	n.messagesAfterSync = append(n.messagesAfterSync, message)
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
	n.isQuiescent = message.Quiesce && n.log.commit == n.log.lastIndex()
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
	follower.isActive = true
	if message.Kind == MessageHeartbeatResponse {
		n.stepHeartbeatResponse(message, follower)
		return
	}
	follower.hasAppendResponse = true
	follower.inflightAppends = max(0, follower.inflightAppends-1)
	if message.Reject {
		n.stepRejection(message, follower)
		return
	}
	follower.isProbing = false
	follower.awaitsSnapshot = false
	follower.snapshotTicksLeft = 0
	follower.recordAcknowledgement(n.leaderTicks, message.Index)
	if message.Index > follower.match {
		follower.match = message.Index
		if message.From == n.transferTarget {
			n.maybeSendTimeoutNow()
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
	follower.isProbing = true
	follower.inflightAppends = 0
	n.sendAppend(message.From)
}

// stepHeartbeatResponse acknowledges reads, and retransmits entries or a snapshot if a message seems to
// be lost.
func (n *Node) stepHeartbeatResponse(message Message, follower *progress) {
	n.acknowledgeReads(message)
	noAppendResponse := !follower.hasAppendResponse
	follower.hasAppendResponse = false
	// Heartbeat responses that arrive together, as after a network partition, must cause only one
	// retransmission. A snapshot in flight is not treated as lost.
	due := n.leaderTicks-follower.lastSentTick >= follower.retransmissionTimeoutTicks(n.options.HeartbeatTicks)
	if noAppendResponse && due && follower.snapshotTicksLeft == 0 && follower.match < n.log.lastIndex() {
		follower.retransmissions++
		follower.timedIndex = 0
		// A lost probe is retransmitted unchanged: the leader has no acknowledged position of the
		// follower to return to.
		if !follower.isProbing || follower.awaitsSnapshot {
			follower.next = follower.match + 1
			follower.isProbing = true
		}
		follower.inflightAppends = 0
		follower.awaitsSnapshot = false
		n.sendAppend(message.From)
	}
}
