package consensus

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	shortest := n.options.ElectionTicks
	if n.options.InitialElectionTicks > 0 && !n.knewLeader {
		// A replica that has known no leader since it started has none to wait for; it
		// asks again soon, since those that it asked may only just be starting.
		shortest = min(n.options.InitialElectionTicks, n.options.ElectionTicks)
	}
	n.electionTimeout = shortest + int(n.nextRandom()%uint64(shortest))
}

func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	if term != n.term {
		n.term = term
		n.vote = None
	}
	n.role = Follower
	n.leader = leader
	n.knewLeader = n.knewLeader || leader != None
	n.votes = nil
	n.progress = nil
	n.loseReads()
	n.transfer = None
	n.resetElectionTimer()
}

// campaign asks for pre-votes, so that a replica that was cut off doesn't
// raise the term of a group that has a leader (thesis, section 9.6).
func (n *Node) campaign() {
	if n.options.DisablePreVote {
		n.campaignForReal()
		return
	}
	n.role = PreCandidate
	n.leader = None
	n.votes = map[ReplicaID]bool{n.options.ID: true}
	n.resetElectionTimer()
	if n.wonVote() {
		n.campaignForReal()
		return
	}
	n.requestVotes(MessagePreVote, n.term+1)
}

func (n *Node) campaignForReal() {
	n.term++
	n.role = Candidate
	n.leader = None
	n.vote = n.options.ID
	n.votes = map[ReplicaID]bool{n.options.ID: true}
	n.resetElectionTimer()
	if n.wonVote() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MessageVote, n.term)
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	for _, id := range n.log.configuration().Voters() {
		if id == n.options.ID {
			continue
		}
		// The vote for itself must be on disk before anybody counts it.
		n.messagesAfter = append(n.messagesAfter, Message{
			Kind:    kind,
			From:    n.options.ID,
			To:      id,
			Term:    term,
			Index:   n.log.lastIndex(),
			LogTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) wonVote() bool {
	granted := 0
	for _, id := range n.log.configuration().Voters() {
		if n.votes[id] {
			granted++
		}
	}
	return granted >= n.log.configuration().Quorum()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.options.ID
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.idleTicks = 0
	n.progress = map[ReplicaID]*progress{}
	n.syncProgress()
	n.appendOwn(Entry{Kind: EntryBarrier})
	n.broadcastAppend()
}

// hearsLeader reports whether the replica has heard from a leader within the
// shortest election timeout; it then helps nobody to replace it.
func (n *Node) hearsLeader() bool {
	if n.role == Leader {
		return !n.options.DisableCheckQuorum
	}
	return n.leader != None && (n.quiescent || n.electionElapsed < n.options.ElectionTicks)
}

func (n *Node) upToDate(message Message) bool {
	if message.LogTerm != n.log.lastTerm() {
		return message.LogTerm > n.log.lastTerm()
	}
	return message.Index >= n.log.lastIndex()
}

// contextForced marks votes of a leadership transfer, which are granted though
// the old leader is still heard.
const contextForced = 1

func (n *Node) stepPreVote(message Message) {
	// Invariant: whoever asks has not heard the leader, for it has just started or
	// lost the heartbeat that ended the talk; a quiet leader must speak up again.
	n.Wake()
	granted := message.Term > n.term && n.upToDate(message) && (n.options.DisablePreVote || !n.hearsLeader())
	reply := Message{Kind: MessagePreVoteResponse, From: n.options.ID, To: message.From, Term: message.Term, Reject: !granted}
	if !granted {
		reply.Term = n.term
	}
	n.messagesAfter = append(n.messagesAfter, reply)
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
	if n.wonVote() {
		n.campaignForReal()
	}
}

func (n *Node) stepVote(message Message) {
	granted := message.Term == n.term && (n.vote == None || n.vote == message.From) &&
		n.leader == None && n.upToDate(message)
	if granted {
		n.vote = message.From
		n.resetElectionTimer()
	}
	n.messagesAfter = append(n.messagesAfter, Message{
		Kind: MessageVoteResponse, From: n.options.ID, To: message.From, Term: n.term, Reject: !granted,
	})
}

func (n *Node) stepVoteResponse(message Message) {
	if n.role != Candidate || message.Term != n.term || message.Reject {
		return
	}
	n.votes[message.From] = true
	if n.wonVote() {
		n.becomeLeader()
	}
}

func (n *Node) stepTimeoutNow(message Message) {
	if message.Term != n.term || !n.log.configuration().IsVoter(n.options.ID) {
		return
	}
	n.campaignForReal()
	for position := range n.messagesAfter {
		if n.messagesAfter[position].Kind == MessageVote && n.messagesAfter[position].Term == n.term {
			n.messagesAfter[position].Context = contextForced
		}
	}
}
