package agreement

import (
	"cmp"
	"time"
)

// hasActiveLeader reports whether a leader was in contact within the minimum election timeout. While there is one, the
// member grants no pre-vote and ignores vote requests, except for those of a leadership transfer.
func (n *Node) hasActiveLeader() bool {
	if n.role == Leader {
		return n.quorumContactTime() >= n.now-n.options.ElectionTimeout
	}
	return n.leader != "" && n.now-n.electionTimerStart < n.options.ElectionTimeout
}

// candidateLogUpToDate reports whether the candidate's log is at least as up to date as this member's: its last term is
// higher, or equal with at least the same last index.
func (n *Node) candidateLogUpToDate(message Message) bool {
	if message.LogTerm != n.log.lastTerm() {
		return message.LogTerm > n.log.lastTerm()
	}
	return message.Index >= n.log.lastIndex()
}

// handlePreVote responds to a pre-vote. A granted response carries the candidate's term, a rejection the member's own.
func (n *Node) handlePreVote(message Message) {
	// If another candidate has got this member's vote within a heartbeat interval, it probably becomes leader in a moment:
	// a second candidate would only depose it.
	votedForOther := n.vote != "" && n.vote != message.From && n.votedAt > 0 && n.now-n.votedAt < n.options.HeartbeatInterval
	grant := n.IsMember() && message.Term > n.term && n.candidateLogUpToDate(message) && !n.hasActiveLeader() && !votedForOther
	response := Message{Kind: PreVoteResponse, To: message.From, Reject: !grant}
	n.send(response)
	if grant {
		n.messages[len(n.messages)-1].Term = message.Term
	}
}

// handleVote grants the vote if it is free in this term and the candidate's log is up to date. Whether there is an
// active leader was checked before the term was adopted. A learner votes too: an entry that has not reached it may
// have made it a voter, and the group may need its vote to make progress. If it is no voter, the candidate does not
// count its vote.
func (n *Node) handleVote(message Message) {
	free := n.vote == "" && n.leader == "" || n.vote == message.From
	grant := n.IsMember() && free && n.candidateLogUpToDate(message)
	if grant {
		n.electionTimerStart = n.now
		n.votedAt = n.now
		if n.vote != message.From {
			n.vote = message.From
			n.hardStateChanged = true
		}
	}
	n.send(Message{Kind: VoteResponse, To: message.From, Reject: !grant})
}

// maxCampaignDoublings is how often the minimum pause between campaigns doubles, starting at half a heartbeat interval.
const maxCampaignDoublings = 3

// campaign starts an election: as a Candidate it requests the votes of all other voters, as a PreCandidate it first
// asks whether they would grant them. A member without a vote only forgets its leader.
func (n *Node) campaign(role Role) {
	n.electionTimerStart = n.now
	// Campaigning again soon does no harm: members with an active leader reject it. The pause grows each time, since the
	// others may be slow to sync their votes.
	pause := n.options.HeartbeatInterval << min(n.campaignsSinceLeader, maxCampaignDoublings) / 2
	n.randomizedTimeout = pause + time.Duration(n.options.Random(int64(pause)))
	n.campaignsSinceLeader++
	n.leader = "" // no contact for a whole timeout; a learner that was removed from its group sees this and joins again
	if !n.hasVote(n.options.Self) {
		return
	}
	n.role = role
	n.votes = map[string]bool{n.options.Self: true}
	request := Message{Kind: PreVote, Term: n.term + 1}
	if role == Candidate {
		n.term++
		n.vote = n.options.Self
		n.hardStateChanged = true
		request = Message{Kind: Vote, Term: n.term, LeadershipTransfer: n.leadershipTransfer}
	}
	request.Index, request.LogTerm = n.log.lastIndex(), n.log.lastTerm()
	for _, peer := range n.peers() {
		if n.hasVote(peer) {
			request.To = peer
			n.sendWithTerm(request)
		}
	}
	n.tally()
}

// handleVoteResponse counts a granted vote or pre-vote of the current campaign.
func (n *Node) handleVoteResponse(message Message) {
	expected := message.Kind == PreVoteResponse && n.role == PreCandidate && message.Term == n.term+1 ||
		message.Kind == VoteResponse && n.role == Candidate && message.Term == n.term
	if !expected || message.Reject || !n.hasVote(message.From) {
		return
	}
	n.votes[message.From] = true
	n.tally()
}

// tally counts the votes. With a majority of every voter set a PreCandidate becomes Candidate, and a Candidate leader.
func (n *Node) tally() {
	for _, voters := range n.membership.voterSets() {
		granted := 0
		for _, id := range voters {
			if n.votes[id] {
				granted++
			}
		}
		if granted < majority(voters) {
			return
		}
	}
	switch n.role {
	case PreCandidate:
		n.campaign(Candidate)
	case Candidate:
		n.becomeLeader()
	}
}

// becomeFollower adopts a term and follows leader, which is empty if unknown. A new term clears the vote.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term != n.term {
		n.term, n.vote = term, ""
		n.hardStateChanged = true
	}
	n.role = Follower
	n.leader = leader
	if leader != "" {
		n.campaignsSinceLeader = 0
	}
	n.followers, n.votes = nil, nil
	n.electionTimerStart = n.now
	n.resetElectionTimeout()
}

// resetElectionTimeout draws a timeout between the minimum and twice that, so that members rarely campaign together.
func (n *Node) resetElectionTimeout() {
	minimum := n.options.ElectionTimeout
	n.randomizedTimeout = minimum + time.Duration(n.options.Random(int64(minimum)))
}

// becomeLeader starts leading: it appends a no-op entry, whose commit also commits the entries of earlier terms.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.campaignsSinceLeader = 0
	n.leader = n.options.Self
	n.followers = map[string]*progress{}
	n.updateMembership()
	n.termStartIndex = n.appendEntry(nil)
	n.broadcast()
}

// TransferLeadership transfers leadership: it asks another voter, whose log holds all committed entries, to campaign at
// once instead of waiting for its election timeout. This member stays leader until the other is elected. A voter for
// which avoided returns true is chosen only if there is no other. TransferLeadership returns false if this member is
// not the leader or no voter qualifies.
func (n *Node) TransferLeadership(now time.Duration, avoided func(id string) bool) bool {
	n.now = now
	target := n.transferTarget(avoided)
	if target == "" {
		return false
	}
	n.send(Message{Kind: TimeoutNow, To: target, Index: n.log.lastIndex()})
	return true
}

// transferTarget chooses the voter to transfer leadership to: its log holds all committed entries, and it answered
// within an election timeout. Voters that are not avoided come first, then those with the longest matching log; ties
// are broken at random. With a fixed order, two members that both want to give up leadership would transfer it to
// each other forever. The result is empty if this member is not the leader or no voter qualifies.
func (n *Node) transferTarget(avoided func(id string) bool) string {
	if n.role != Leader {
		return ""
	}
	var best []string
	for _, id := range without(n.membership.Voters, n.options.Self) {
		follower := n.followers[id]
		if follower == nil || follower.match < n.log.committed || n.now-follower.ackedSendTime > n.options.ElectionTimeout {
			continue
		}
		switch order := n.compareTransferTargets(id, best, avoided); {
		case order > 0:
			best = []string{id}
		case order == 0:
			best = append(best, id)
		}
	}
	if len(best) == 0 {
		return ""
	}
	return best[n.options.Random(int64(len(best)))]
}

// compareTransferTargets compares voter id with the best targets found so far, which are equally good: positive if id
// is better, 0 if it is as good, negative if it is worse.
func (n *Node) compareTransferTargets(id string, found []string, avoided func(id string) bool) int {
	if len(found) == 0 {
		return 1
	}
	other := found[0]
	switch {
	case avoided(id) && !avoided(other):
		return -1
	case !avoided(id) && avoided(other):
		return 1
	}
	return cmp.Compare(n.followers[id].match, n.followers[other].match)
}

// handleLeadershipTransfer campaigns at once, without pre-vote, if the request comes from the current leader.
func (n *Node) handleLeadershipTransfer(message Message) {
	if n.role == Follower && n.leader == message.From && n.hasVote(n.options.Self) {
		n.leadershipTransfer = true
		n.campaign(Candidate)
		n.leadershipTransfer = false
	}
}

// CampaignSoon shortens the election timeout of a member that knows of no leader, to less than half a heartbeat
// interval from now. To be called when another member has become reachable, which may grant its vote.
func (n *Node) CampaignSoon(now time.Duration) {
	n.now = now
	if n.role == Leader || n.role == Candidate || n.leader != "" {
		return
	}
	soon := now - n.electionTimerStart + time.Duration(n.options.Random(int64(n.options.HeartbeatInterval/2)))
	n.randomizedTimeout = min(n.randomizedTimeout, soon)
}
