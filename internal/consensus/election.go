package consensus

// resetElectionTimer restarts the election timer with a random timeout.
func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	minTicks := n.options.ElectionTicks
	if n.options.InitialElectionTicks > 0 && !n.hasHadLeader {
		// A replica that has had no leader since it started need not wait for one. It retries
		// soon, since the other voters may have been starting when it campaigned.
		minTicks = min(n.options.InitialElectionTicks, n.options.ElectionTicks)
	}
	n.electionTimeout = minTicks + int(n.nextRandom()%uint64(minTicks))
}

// becomeFollower makes the replica a follower in a term and aborts its pending reads.
func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	if term != n.term {
		n.term = term
		n.vote = None
	}
	n.role = Follower
	n.leader = leader
	n.hasHadLeader = n.hasHadLeader || leader != None
	n.votes = nil
	n.progress = nil
	n.abortReads()
	n.transferTarget = None
	n.resetElectionTimer()
}

// campaign requests pre-votes, so that a replica that was partitioned does not raise the term of a
// group that has a leader (thesis, section 9.6).
func (n *Node) campaign() {
	if n.options.DisablePreVote {
		n.startElection()
		return
	}
	n.role = PreCandidate
	n.leader = None
	n.votes = map[ReplicaID]bool{n.options.ID: true}
	n.resetElectionTimer()
	if n.hasVoteQuorum() {
		n.startElection()
		return
	}
	n.requestVotes(MessagePreVote, n.term+1)
}

// startElection starts an election in the next term.
func (n *Node) startElection() {
	n.term++
	n.role = Candidate
	n.leader = None
	n.vote = n.options.ID
	n.votes = map[ReplicaID]bool{n.options.ID: true}
	n.resetElectionTimer()
	if n.hasVoteQuorum() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MessageVote, n.term)
}

// requestVotes sends vote or pre-vote requests to the other voters.
func (n *Node) requestVotes(kind MessageKind, term uint64) {
	for _, id := range n.log.configuration().allVoters() {
		if id == n.options.ID {
			continue
		}
		// The replica's vote for itself must be on disk before any response is counted.
		n.messagesAfterSync = append(n.messagesAfterSync, Message{
			Kind:    kind,
			From:    n.options.ID,
			To:      id,
			Term:    term,
			Index:   n.log.lastIndex(),
			LogTerm: n.log.lastTerm(),
		})
	}
}

// hasVoteQuorum reports whether a quorum of voters has granted its vote.
func (n *Node) hasVoteQuorum() bool {
	return n.log.configuration().HasQuorum(func(id ReplicaID) bool { return n.votes[id] })
}

// becomeLeader makes the replica the leader of its term. It appends a barrier entry, since entries of
// earlier terms can only be committed together with one of its own.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.options.ID
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.idleTicks = 0
	n.progress = map[ReplicaID]*progress{}
	n.updateProgress()
	n.appendEntry(Entry{Kind: EntryBarrier})
	n.broadcastAppend()
}

// hasLeaderContact reports whether the replica considers the leader alive: it is the leader itself
// and checks its quorum, the group is quiescent, or it has received a message from the leader within
// the minimum election timeout. It then grants no votes to replace the leader, except in a leadership
// transfer.
func (n *Node) hasLeaderContact() bool {
	if n.role == Leader {
		return !n.options.DisableCheckQuorum
	}
	return n.leader != None && (n.isQuiescent || n.electionElapsed < n.options.ElectionTicks)
}

// isUpToDate reports whether the log of a candidate is at least as up to date as this one.
func (n *Node) isUpToDate(message Message) bool {
	if message.LogTerm != n.log.lastTerm() {
		return message.LogTerm > n.log.lastTerm()
	}
	return message.Index >= n.log.lastIndex()
}

// contextLeaderTransfer marks the vote requests of a leadership transfer, which are granted although
// the old leader is still active.
const contextLeaderTransfer = 1

func (n *Node) stepPreVote(message Message) {
	// The sender has had no contact with the leader: it has just started, or it has missed the
	// heartbeat that made the group quiescent. A quiescent leader must send heartbeats again.
	n.Wake()
	granted := message.Term > n.term && n.isUpToDate(message) && (n.options.DisablePreVote || !n.hasLeaderContact())
	reply := Message{Kind: MessagePreVoteResponse, From: n.options.ID, To: message.From, Term: message.Term, Reject: !granted}
	if !granted {
		reply.Term = n.term
	}
	n.messagesAfterSync = append(n.messagesAfterSync, reply)
}

func (n *Node) stepPreVoteResponse(message Message) {
	if n.role != PreCandidate {
		return
	}
	if message.Reject {
		if message.Term > n.term {
			n.becomeFollower(message.Term, None)
		}
		return
	}
	if message.Term != n.term+1 {
		return
	}
	n.votes[message.From] = true
	if n.hasVoteQuorum() {
		n.startElection()
	}
}

func (n *Node) stepVote(message Message) {
	granted := message.Term == n.term && (n.vote == None || n.vote == message.From) &&
		n.leader == None && n.isUpToDate(message)
	if granted {
		n.vote = message.From
		n.resetElectionTimer()
	}
	n.messagesAfterSync = append(n.messagesAfterSync, Message{
		Kind: MessageVoteResponse, From: n.options.ID, To: message.From, Term: n.term, Reject: !granted,
	})
}

func (n *Node) stepVoteResponse(message Message) {
	if n.role != Candidate || message.Term != n.term || message.Reject {
		return
	}
	n.votes[message.From] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

func (n *Node) stepTimeoutNow(message Message) {
	if message.Term != n.term || !n.log.configuration().IsVoter(n.options.ID) {
		return
	}
	n.startElection()
	for position := range n.messagesAfterSync {
		if n.messagesAfterSync[position].Kind == MessageVote && n.messagesAfterSync[position].Term == n.term {
			n.messagesAfterSync[position].Context = contextLeaderTransfer
		}
	}
}
