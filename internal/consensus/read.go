package consensus

// ReadIndex requests an index at which a read is linearizable (thesis, section 6.4). Each call that
// returns nil has exactly one result with the same context: in Ready.ReadStates, or in
// Ready.AbortedReads if this leader's term ends first. The result is delayed only while no quorum
// responds to the leader, at most until it steps down.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.Wake()
	n.pendingReads = append(n.pendingReads, pendingRead{context: context, acks: map[ReplicaID]bool{n.options.ID: true}})
	n.startPendingReads()
	return nil
}

// startPendingReads starts a confirmation round for the reads that have none. Reads wait until the
// leader has committed an entry of its own term: before that, its commit index may be lower than the
// index of entries that an earlier leader acknowledged.
func (n *Node) startPendingReads() {
	term, _ := n.log.term(n.log.commit)
	if term != n.term {
		return
	}
	roundStarted := false
	for position := range n.pendingReads {
		read := &n.pendingReads[position]
		if read.round != 0 {
			continue
		}
		if !roundStarted {
			n.readRound++
			roundStarted = true
		}
		read.round = n.readRound
		read.index = n.log.commit
	}
	if !roundStarted {
		return
	}
	n.completeConfirmedReads()
	if len(n.pendingReads) == 0 {
		return
	}
	for _, id := range n.followerIDs() {
		n.sendHeartbeat(id, false)
	}
}

// acknowledgeReads records that a follower has confirmed the leader for the reads up to a round.
func (n *Node) acknowledgeReads(message Message) {
	if !n.log.configuration().IsVoter(message.From) {
		return
	}
	for position := range n.pendingReads {
		read := &n.pendingReads[position]
		if read.round != 0 && read.round <= message.Context {
			read.acks[message.From] = true
		}
	}
	n.completeConfirmedReads()
}

// completeConfirmedReads completes the reads that a quorum has confirmed.
func (n *Node) completeConfirmedReads() {
	var unconfirmed []pendingRead
	for _, read := range n.pendingReads {
		confirmed := n.options.DisableReadConfirmation || n.log.configuration().HasQuorum(func(id ReplicaID) bool { return read.acks[id] })
		if read.round == 0 || !confirmed {
			unconfirmed = append(unconfirmed, read)
			continue
		}
		n.readStates = append(n.readStates, ReadState{Context: read.context, Index: read.index})
	}
	n.pendingReads = unconfirmed
}

// abortReads aborts the reads that no quorum has confirmed. Invariant: a read belongs to the term in
// which it was requested. Otherwise a replica that becomes leader again would have reads that are
// never confirmed.
func (n *Node) abortReads() {
	for _, read := range n.pendingReads {
		n.abortedReads = append(n.abortedReads, read.context)
	}
	n.pendingReads = nil
}
