package agreement

import (
	"cmp"
	"time"
)

// followsLeader tells whether a leader was heard within the least election timeout: no vote is given then.
func (n *Node) followsLeader() bool {
	if n.role == Leader {
		return n.quorumHeard() >= n.now-n.options.ElectionTimeout
	}
	return n.leader != "" && n.now-n.heardLeader < n.options.ElectionTimeout
}

func (n *Node) upToDate(message Message) bool {
	if message.LogTerm != n.log.lastTerm() {
		return message.LogTerm > n.log.lastTerm()
	}
	return message.Index >= n.log.lastIndex()
}

func (n *Node) answerPreVote(message Message) {
	// Where another has just got this vote it is likely to lead in a moment: a second candidate would only depose it.
	another := n.vote != "" && n.vote != message.From && n.votedAt > 0 && n.now-n.votedAt < n.options.HeartbeatInterval
	grant := n.Member() && message.Term > n.term && n.upToDate(message) && !n.followsLeader() && !another
	answer := Message{Kind: PreVoteAnswer, To: message.From, Reject: !grant}
	n.send(answer)
	if grant {
		n.messages[len(n.messages)-1].Term = message.Term
	}
}

// answerVote judges a candidate by its log alone. A learner votes too: it may have been made a voter by an entry that has not
// reached it, and the group may need its vote to go on; where it is none, nobody counts the vote.
func (n *Node) answerVote(message Message) {
	free := n.vote == "" && n.leader == "" || n.vote == message.From
	grant := n.Member() && free && n.upToDate(message)
	if grant {
		n.heardLeader = n.now
		n.votedAt = n.now
		if n.vote != message.From {
			n.vote = message.From
			n.stateChanged = true
		}
	}
	n.send(Message{Kind: VoteAnswer, To: message.From, Reject: !grant})
}

// longestCampaign is how often the pause between two campaigns is doubled, from half a heartbeat interval on.
const longestCampaign = 3

// campaign asks all others for their votes, or first whether they would give them.
func (n *Node) campaign(role Role) {
	n.heardLeader = n.now
	// Asking again soon disturbs nobody: the others answer by what they know of a leader. It takes longer each time, since
	// the others may be slow to sync their votes.
	pause := n.options.HeartbeatInterval << min(n.campaigns, longestCampaign) / 2
	n.timeout = pause + time.Duration(n.options.Random(int64(pause)))
	n.campaigns++
	n.leader = "" // none was heard for long; a learner that its group has let go joins anew on that
	if !n.hasVote(n.options.Self) {
		return
	}
	n.role = role
	n.votes = map[string]bool{n.options.Self: true}
	request := Message{Kind: PreVote, Term: n.term + 1}
	if role == Candidate {
		n.term++
		n.vote = n.options.Self
		n.stateChanged = true
		request = Message{Kind: Vote, Term: n.term, Handover: n.named}
	}
	request.Index, request.LogTerm = n.log.lastIndex(), n.log.lastTerm()
	for _, peer := range n.others() {
		if n.hasVote(peer) {
			request.To = peer
			n.sendWithTerm(request)
		}
	}
	n.tally()
}

func (n *Node) countVote(message Message) {
	expected := message.Kind == PreVoteAnswer && n.role == PreCandidate && message.Term == n.term+1 ||
		message.Kind == VoteAnswer && n.role == Candidate && message.Term == n.term
	if !expected || message.Reject || !n.hasVote(message.From) {
		return
	}
	n.votes[message.From] = true
	n.tally()
}

func (n *Node) tally() {
	for _, voters := range n.group.electorates() {
		given := 0
		for _, id := range voters {
			if n.votes[id] {
				given++
			}
		}
		if given < majority(voters) {
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

func (n *Node) becomeFollower(term uint64, leader string) {
	if term != n.term {
		n.term, n.vote = term, ""
		n.stateChanged = true
	}
	n.role = Follower
	n.leader = leader
	if leader != "" {
		n.campaigns = 0
	}
	n.followers, n.votes = nil, nil
	n.heardLeader = n.now
	n.drawTimeout()
}

func (n *Node) drawTimeout() {
	least := n.options.ElectionTimeout
	n.timeout = least + time.Duration(n.options.Random(int64(least)))
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.campaigns = 0
	n.leader = n.options.Self
	n.followers = map[string]*progress{}
	n.readGroup()
	n.openingIndex = n.appendOwn(nil)
	n.broadcast()
}

// HandOver has another voter that holds the whole log stand for election at once, without waiting for this leader's
// silence. This one leads on until the other is elected. One that is avoided is named only where there is no other. The answer is false where it
// does not lead, or where nobody can.
func (n *Node) HandOver(now time.Duration, avoided func(id string) bool) bool {
	n.now = now
	successor := n.successor(avoided)
	if successor == "" {
		return false
	}
	n.send(Message{Kind: StandForElection, To: successor, Index: n.log.lastIndex()})
	return true
}

// successor is a voter that lacks nothing that is committed and was heard a moment ago: one that is not avoided before one that is, and then
// one of those that hold most, by lot. With a fixed order two that both want to be rid of a group would name each other for good. Empty where
// there is none.
func (n *Node) successor(avoided func(id string) bool) string {
	if n.role != Leader {
		return ""
	}
	var best []string
	for _, id := range without(n.group.Voters, n.options.Self) {
		follower := n.followers[id]
		if follower == nil || follower.match < n.log.committed || n.now-follower.heard > n.options.ElectionTimeout {
			continue
		}
		switch order := n.compareSuccessors(id, best, avoided); {
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

// compareSuccessors is over 0 where a voter succeeds better than those that were found so far, 0 where as well.
func (n *Node) compareSuccessors(id string, found []string, avoided func(id string) bool) int {
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

// standForElection follows the leader's word to succeed it.
func (n *Node) standForElection(message Message) {
	if n.role == Follower && n.leader == message.From && n.hasVote(n.options.Self) {
		n.named = true
		n.campaign(Candidate)
		n.named = false
	}
}

// Hasten has a member that knows of no leader ask for votes soon: another has come that may give one.
func (n *Node) Hasten(now time.Duration) {
	n.now = now
	if n.role == Leader || n.role == Candidate || n.leader != "" {
		return
	}
	soon := now - n.heardLeader + time.Duration(n.options.Random(int64(n.options.HeartbeatInterval/2)))
	n.timeout = min(n.timeout, soon)
}
