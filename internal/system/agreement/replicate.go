package agreement

// send queues a message with the current term.
func (n *Node) send(message Message) {
	message.Term = n.term
	n.sendWithTerm(message)
}

// sendWithTerm queues a message whose term is set already.
func (n *Node) sendWithTerm(message Message) {
	message.From = n.options.Self
	n.messages = append(n.messages, message)
}

// heartbeatsPerLearnerHeartbeat is the number of heartbeats to voters for each heartbeat to learners.
const heartbeatsPerLearnerHeartbeat = 3

// broadcast sends each follower the entries that it lacks, or a heartbeat. Learners, which never campaign, get fewer
// heartbeats.
func (n *Node) broadcast() {
	n.heartbeatDue = n.now + n.options.HeartbeatInterval
	n.broadcasts++
	for _, peer := range n.peers() {
		if n.broadcasts%heartbeatsPerLearnerHeartbeat == 0 || n.hasVote(peer) || n.followers[peer].next <= n.log.lastIndex() {
			n.sendAppend(peer)
		}
	}
}

// broadcastCommit sends the commit index to all followers.
func (n *Node) broadcastCommit() {
	n.heartbeatDue = n.now + n.options.HeartbeatInterval
	for _, peer := range n.peers() {
		n.sendAppend(peer)
	}
}

// sendAppend sends the follower its next entries, a heartbeat if there are none, or a snapshot if the entry before them
// is compacted. It assumes delivery and advances next; a rejection sets it back.
func (n *Node) sendAppend(peer string) {
	follower := n.followers[peer]
	prevIndex := follower.next - 1
	term, held := n.log.term(prevIndex)
	if !held {
		n.sendSnapshot(peer, follower)
		return
	}
	entries := n.log.entriesFrom(follower.next, maxEntriesInMessage)
	follower.next += uint64(len(entries))
	n.send(Message{Kind: Append, To: peer, Index: prevIndex, LogTerm: term, Entries: entries, Commit: n.log.committed,
		SentAt: n.now})
}

// sendSnapshot sends the snapshot, but only once in an election timeout.
func (n *Node) sendSnapshot(peer string, follower *progress) {
	if follower.snapshotSentAt != 0 && n.now-follower.snapshotSentAt < n.options.ElectionTimeout {
		// A heartbeat without entries keeps the follower from campaigning while the snapshot is on its way.
		n.send(Message{Kind: Append, To: peer, Index: n.log.snapshotIndex, LogTerm: n.log.snapshotTerm, SentAt: n.now})
		return
	}
	follower.snapshotSentAt = n.now
	snapshot := n.log.snapshot()
	n.send(Message{Kind: InstallSnapshot, To: peer, Snapshot: &snapshot, Commit: n.log.committed, SentAt: n.now})
}

// handleAppend appends the leader's entries if the entry before them matches, and responds with the last matching
// index. Otherwise it rejects them with the index after which the leader should try next.
func (n *Node) handleAppend(message Message) {
	n.followLeader(message.From)
	response := Message{Kind: AppendResponse, To: message.From, SentAt: message.SentAt}
	if message.Index < n.log.snapshotIndex {
		// Entries that the snapshot covers are committed and so match the leader's.
		response.Index = n.log.committed
		n.send(response)
		return
	}
	term, held := n.log.term(message.Index)
	if !held || term != message.LogTerm {
		response.Reject = true
		response.Index = min(n.log.lastIndex(), message.Index-1)
		n.send(response)
		return
	}
	n.log.appendEntries(message.Entries)
	n.updateMembership()
	response.Index = message.Index + uint64(len(message.Entries))
	n.commitTo(min(message.Commit, response.Index))
	n.send(response)
}

// handleInstallSnapshot replaces the log by the leader's snapshot, unless the log holds that state already.
func (n *Node) handleInstallSnapshot(message Message) {
	n.followLeader(message.From)
	snapshot := message.Snapshot
	if snapshot == nil {
		return
	}
	switch term, held := n.log.term(snapshot.Index); {
	case snapshot.Index <= n.log.committed:
	case held && term == snapshot.Term:
		// The log matches up to the snapshot. Later entries stay: the leader may have counted them as replicated here.
		n.commitTo(snapshot.Index)
	default:
		n.log.restore(snapshot)
		n.updateMembership()
		n.persisted = snapshot.Index
		n.installedSnapshot = snapshot
		n.hardStateChanged = true
	}
	n.send(Message{Kind: AppendResponse, To: message.From, Index: n.log.committed, SentAt: message.SentAt})
}

// followLeader becomes a follower of leader in the current term, if it is not yet, and restarts the election timer.
func (n *Node) followLeader(leader string) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.electionTimerStart = n.now
}

// handleAppendResponse updates the leader's view of a follower, commits what it can and sends the next entries. After a
// rejection it sends again from an earlier index.
func (n *Node) handleAppendResponse(message Message) {
	follower := n.followers[message.From]
	if n.role != Leader || follower == nil {
		return
	}
	if message.Reject && message.SentAt < follower.ackedSendTime {
		return // delayed: the follower has already answered a later message
	}
	follower.ackedSendTime = max(follower.ackedSendTime, message.SentAt)
	if message.Reject {
		follower.next = max(min(message.Index, follower.next-1)+1, 1)
		if message.Index < follower.match {
			// A member that lost its disk and came back holds fewer entries than before.
			follower.match = message.Index
		}
		n.sendAppend(message.From)
		return
	}
	if message.Index > follower.match {
		follower.match = message.Index
		follower.snapshotSentAt = 0
	}
	follower.next = max(follower.next, follower.match+1)
	n.advanceCommit()
	if n.role == Leader && follower.next <= n.log.lastIndex() {
		n.sendAppend(message.From)
	}
}

// advanceCommit commits the entries that a majority has synced, if the last of them is of the current term: Raft never
// commits entries of earlier terms by counting replicas.
func (n *Node) advanceCommit() {
	index := quorumValue(n, func(id string) (uint64, bool) {
		if id == n.options.Self {
			return n.persisted, true
		}
		if follower := n.followers[id]; follower != nil {
			return follower.match, true
		}
		return 0, false
	})
	if term, held := n.log.term(index); held && term == n.term && index > n.log.committed {
		n.log.committed = index
		n.broadcastCommit()
		n.stepDownIfRemoved()
	}
}

// stepDownIfRemoved makes the leader step down once a membership in which it has no vote is committed.
func (n *Node) stepDownIfRemoved() {
	if n.membershipIndex <= n.log.committed && !n.hasVote(n.options.Self) {
		n.becomeFollower(n.term, "")
	}
}

// commitTo raises the commit index, at most to the end of the log.
func (n *Node) commitTo(index uint64) {
	n.log.committed = max(n.log.committed, min(index, n.log.lastIndex()))
}

// Ready returns the pending work and clears it. The driver must call Persisted once the writes are synced, and may send
// the messages only after the sync.
func (n *Node) Ready() Ready {
	var ready Ready
	if n.hardStateChanged {
		ready.HardState = &HardState{Term: n.term, Vote: n.vote}
		n.hardStateChanged = false
	}
	ready.Snapshot, n.installedSnapshot = n.installedSnapshot, nil
	ready.Entries = n.log.entriesFrom(n.log.firstUnwritten, len(n.log.entries))
	n.log.firstUnwritten = n.log.lastIndex() + 1
	ready.Messages, n.messages = n.messages, nil
	if n.log.committed > n.log.applied {
		ready.Committed = n.log.entriesFrom(n.log.applied+1, int(n.log.committed-n.log.applied))
		n.log.applied = n.log.committed
	}
	return ready
}

// Persisted reports to the node that the writes of ready are synced. A leader then counts its own entries toward
// commits.
func (n *Node) Persisted(ready *Ready) {
	if ready.Snapshot != nil {
		n.persisted = max(n.persisted, ready.Snapshot.Index)
	}
	if len(ready.Entries) > 0 {
		n.persisted = ready.Entries[len(ready.Entries)-1].Index
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}
