package agreement

func (n *Node) send(message Message) {
	message.Term = n.term
	n.sendWithTerm(message)
}

func (n *Node) sendWithTerm(message Message) {
	message.From = n.options.Self
	n.messages = append(n.messages, message)
}

// learnerHeartbeats is how many heartbeats voters get for one that learners get.
const learnerHeartbeats = 3

// broadcast sends each follower what it lacks, or a heartbeat; learners, who elect nobody, get few of these.
func (n *Node) broadcast() {
	n.heartbeatDue = n.now + n.options.HeartbeatInterval
	n.broadcasts++
	for _, peer := range n.others() {
		if n.broadcasts%learnerHeartbeats == 0 || n.hasVote(peer) || n.followers[peer].next <= n.log.lastIndex() {
			n.sendAppend(peer)
		}
	}
}

// spreadCommit tells all followers what is committed.
func (n *Node) spreadCommit() {
	n.heartbeatDue = n.now + n.options.HeartbeatInterval
	for _, peer := range n.others() {
		n.sendAppend(peer)
	}
}

func (n *Node) sendAppend(peer string) {
	follower := n.followers[peer]
	before := follower.next - 1
	term, held := n.log.term(before)
	if !held {
		n.sendSnapshot(peer, follower)
		return
	}
	entries := n.log.from(follower.next, maxEntriesInMessage)
	follower.next += uint64(len(entries))
	n.send(Message{Kind: Append, To: peer, Index: before, LogTerm: term, Entries: entries, Commit: n.log.committed,
		Sent: n.now})
}

func (n *Node) sendSnapshot(peer string, follower *progress) {
	if follower.snapshotAt != 0 && n.now-follower.snapshotAt < n.options.ElectionTimeout {
		// Heartbeat without entries, so that the follower doesn't stand for election meanwhile.
		n.send(Message{Kind: Append, To: peer, Index: n.log.snapshotIndex, LogTerm: n.log.snapshotTerm, Sent: n.now})
		return
	}
	follower.snapshotAt = n.now
	snapshot := n.log.snapshot()
	n.send(Message{Kind: InstallSnapshot, To: peer, Snapshot: &snapshot, Commit: n.log.committed, Sent: n.now})
}

func (n *Node) followAppend(message Message) {
	n.follow(message.From)
	answer := Message{Kind: AppendAnswer, To: message.From, Sent: message.Sent}
	if message.Index < n.log.snapshotIndex {
		// What a snapshot covers is committed and agrees.
		answer.Index = n.log.committed
		n.send(answer)
		return
	}
	term, held := n.log.term(message.Index)
	if !held || term != message.LogTerm {
		answer.Reject = true
		answer.Index = min(n.log.lastIndex(), message.Index-1)
		n.send(answer)
		return
	}
	n.log.appendEntries(message.Entries)
	n.readGroup()
	answer.Index = message.Index + uint64(len(message.Entries))
	n.commitTo(min(message.Commit, answer.Index))
	n.send(answer)
}

func (n *Node) followSnapshot(message Message) {
	n.follow(message.From)
	snapshot := message.Snapshot
	if snapshot == nil {
		return
	}
	switch term, held := n.log.term(snapshot.Index); {
	case snapshot.Index <= n.log.committed:
	case held && term == snapshot.Term:
		// The log agrees up to there. What is behind it stays: the leader may have counted it as held here.
		n.commitTo(snapshot.Index)
	default:
		n.log.restore(snapshot)
		n.readGroup()
		n.persisted = snapshot.Index
		n.installed = snapshot
		n.stateChanged = true
	}
	n.send(Message{Kind: AppendAnswer, To: message.From, Index: n.log.committed, Sent: message.Sent})
}

func (n *Node) follow(leader string) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.heardLeader = n.now
}

func (n *Node) leaderAnswer(message Message) {
	follower := n.followers[message.From]
	if n.role != Leader || follower == nil {
		return
	}
	if message.Reject && message.Sent < follower.heard {
		return // late: the follower has answered a later message since
	}
	follower.heard = max(follower.heard, message.Sent)
	if message.Reject {
		follower.next = max(min(message.Index, follower.next-1)+1, 1)
		if message.Index < follower.match {
			// A member that lost its disk and returned holds less than it once did.
			follower.match = message.Index
		}
		n.sendAppend(message.From)
		return
	}
	if message.Index > follower.match {
		follower.match = message.Index
		follower.snapshotAt = 0
	}
	follower.next = max(follower.next, follower.match+1)
	n.advanceCommit()
	if n.role == Leader && follower.next <= n.log.lastIndex() {
		n.sendAppend(message.From)
	}
}

// advanceCommit commits what a majority has synced, in this term only.
func (n *Node) advanceCommit() {
	index := agreed(n, func(id string) (uint64, bool) {
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
		n.spreadCommit()
		n.leaveWhenRemoved()
	}
}

// leaveWhenRemoved has a leader step down that its group does without.
func (n *Node) leaveWhenRemoved() {
	if n.groupIndex <= n.log.committed && !n.hasVote(n.options.Self) {
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) commitTo(index uint64) {
	n.log.committed = max(n.log.committed, min(index, n.log.lastIndex()))
}

// Ready hands out what is to be done. Persisted must be called once its writes are synced, before its messages leave.
func (n *Node) Ready() Ready {
	var ready Ready
	if n.stateChanged {
		ready.HardState = &HardState{Term: n.term, Vote: n.vote}
		n.stateChanged = false
	}
	ready.Snapshot, n.installed = n.installed, nil
	ready.Entries = n.log.from(n.log.unstable, len(n.log.entries))
	n.log.unstable = n.log.lastIndex() + 1
	ready.Messages, n.messages = n.messages, nil
	if n.log.committed > n.log.applied {
		ready.Committed = n.log.from(n.log.applied+1, int(n.log.committed-n.log.applied))
		n.log.applied = n.log.committed
	}
	return ready
}

// Persisted tells that the writes of a Ready are synced.
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
