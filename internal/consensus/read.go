package consensus

// ReadIndex asks for an index at which a read is linearizable (thesis, section
// 6.4). Each call that returns nil is answered once, with the same context: in
// Ready.ReadStates, or in Ready.LostReads where this leader's term ends first.
// Only a leader that no quorum answers keeps it waiting, until it steps down.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.Wake()
	n.reads = append(n.reads, pendingRead{context: context, acks: map[ReplicaID]bool{n.options.ID: true}})
	n.startWaitingReads()
	return nil
}

// startWaitingReads begins a round for reads that had to wait for the leader's
// first commit of its term. Invariant: before that commit the leader's commit
// index may lack entries that an earlier leader acknowledged.
func (n *Node) startWaitingReads() {
	term, _ := n.log.term(n.log.commit)
	if term != n.term {
		return
	}
	started := false
	for position := range n.reads {
		read := &n.reads[position]
		if read.round != 0 {
			continue
		}
		if !started {
			n.readSeq++
			started = true
		}
		read.round = n.readSeq
		read.index = n.log.commit
	}
	if !started {
		return
	}
	n.releaseReads()
	if len(n.reads) == 0 {
		return
	}
	for _, id := range n.peers() {
		n.sendHeartbeat(id, false)
	}
}

func (n *Node) confirmReads(message Message) {
	if !n.log.configuration().IsVoter(message.From) {
		return
	}
	for position := range n.reads {
		read := &n.reads[position]
		if read.round != 0 && read.round <= message.Context {
			read.acks[message.From] = true
		}
	}
	n.releaseReads()
}

func (n *Node) releaseReads() {
	var waiting []pendingRead
	for _, read := range n.reads {
		confirmed := len(read.acks) >= n.log.configuration().Quorum() || n.options.DisableReadConfirmation
		if read.round == 0 || !confirmed {
			waiting = append(waiting, read)
			continue
		}
		n.readStates = append(n.readStates, ReadState{Context: read.context, Index: read.index})
	}
	n.reads = waiting
}

// loseReads ends the reads that no quorum has confirmed. Invariant: a read belongs to the
// term in which it was asked for, so that a leader which regains the lead has none that
// nobody will confirm any more.
func (n *Node) loseReads() {
	for _, read := range n.reads {
		n.lostReads = append(n.lostReads, read.context)
	}
	n.reads = nil
}
