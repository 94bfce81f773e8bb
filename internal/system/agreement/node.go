package agreement

import "time"

// Role is the Raft role of a member.
type Role uint8

// The roles of a member. Learners are followers that never campaign.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Limits of one message.
const (
	maxEntriesInMessage = 256 // entries in one Append
)

// progress is the leader's view of the log of another member.
type progress struct {
	match          uint64        // highest index known to be replicated on the member
	next           uint64        // index of the next entry to send
	ackedSendTime  time.Duration // send time of the latest message that the member answered
	snapshotSentAt time.Duration // when a snapshot was last sent; no other is sent within an election timeout
}

// Node is one member of a group. It is not safe for concurrent use.
type Node struct {
	options   Options
	role      Role
	term      uint64
	vote      string
	leader    string
	log       entryLog
	votes     map[string]bool
	followers map[string]*progress

	now                  time.Duration
	electionTimerStart   time.Duration // latest contact by the leader, granted vote or campaign
	randomizedTimeout    time.Duration // after electionTimerStart; drawn at random for each wait
	heartbeatDue         time.Duration // of the next heartbeat, as leader
	membership           Membership    // latest in the log, committed or not
	membershipIndex      uint64        // index of the entry that set membership
	hardStateChanged     bool
	installedSnapshot    *Snapshot
	messages             []Message
	persisted            uint64 // last index of the own log that is synced
	termStartIndex       uint64 // index of the no-op entry that started this leader's term
	broadcasts           uint64
	votedAt              time.Duration // when a vote was last granted; 0 if never
	campaignsSinceLeader int           // campaigns since a leader was last known
	leadershipTransfer   bool          // the leader has asked this member to take over: marks its vote requests
}

// New returns a follower with the persistent state of its disk.
func New(options Options, stored PersistentState, now time.Duration) *Node {
	n := &Node{options: options, term: stored.HardState.Term, vote: stored.HardState.Vote, now: now}
	n.log.restore(&stored.Snapshot)
	n.log.entries = append(n.log.entries, stored.Entries...)
	n.log.firstUnwritten = n.log.lastIndex() + 1
	n.persisted = n.log.lastIndex()
	n.updateMembership()
	n.becomeFollower(n.term, "")
	// A member that has just started campaigns early, within 1/4 to 5/4 of a heartbeat interval. If there is a leader, the
	// others reject its pre-vote; if all members have started together, there is no leader to wait for.
	n.randomizedTimeout = options.HeartbeatInterval/4 + time.Duration(options.Random(int64(options.HeartbeatInterval)))
	return n
}

// LeaderReady reports whether the member is the leader and has applied all entries that earlier leaders committed.
func (n *Node) LeaderReady() bool { return n.role == Leader && n.log.applied >= n.termStartIndex }

// Role returns the member's role.
func (n *Node) Role() Role { return n.role }

// Leader returns the id of the leader that the member knows of, empty if none.
func (n *Node) Leader() string { return n.leader }

// Term returns the member's current term.
func (n *Node) Term() uint64 { return n.term }

// Applied returns the last index that Ready has returned as committed.
func (n *Node) Applied() uint64 { return n.log.applied }

// LogLength returns the number of entries after the snapshot.
func (n *Node) LogLength() int { return len(n.log.entries) }

// FollowerStatus returns, on the leader, the time since it sent the latest message that member id answered, and whether
// that member's log holds all committed entries. For itself it returns 0 and true, and for an unknown id or if this
// member is not the leader, 0 and false.
func (n *Node) FollowerStatus(id string) (silence time.Duration, caughtUp bool) {
	if id == n.options.Self {
		return 0, true
	}
	follower := n.followers[id]
	if n.role != Leader || follower == nil {
		return 0, false
	}
	return n.now - follower.ackedSendTime, follower.match >= n.log.committed
}

// NextWake returns the time at which Tick next has something to do.
func (n *Node) NextWake() time.Duration {
	if n.role == Leader {
		return n.heartbeatDue
	}
	return n.electionTimerStart + n.randomizedTimeout
}

// Propose appends data to the leader's log and returns the index of the entry, which is not committed yet. The error is
// a NotLeaderError.
func (n *Node) Propose(now time.Duration, data []byte) (uint64, error) {
	n.now = now
	if n.role != Leader {
		return 0, &NotLeaderError{Leader: n.leader}
	}
	index := n.appendEntry(data)
	n.broadcast()
	return index, nil
}

// Compact replaces the log up to and including an applied index by a snapshot with data, the application's state as of
// that index. It returns the current snapshot and whether the log was compacted.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	before := n.log.snapshotIndex
	n.log.compact(index, data)
	done := n.log.snapshotIndex != before
	return n.log.snapshot(), done
}

// PersistentState returns the persistent state that the member's disk should hold now.
func (n *Node) PersistentState() PersistentState {
	return PersistentState{
		HardState: HardState{Term: n.term, Vote: n.vote},
		Snapshot:  n.log.snapshot(),
		Entries:   append([]Entry(nil), n.log.entries...),
	}
}

// Tick advances the time: a leader sends due heartbeats and steps down if it has lost its majority, another
// member campaigns after its election timeout.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.role == Leader {
		if now >= n.heartbeatDue {
			n.checkQuorum()
		}
		if n.role == Leader && now >= n.heartbeatDue {
			n.broadcast()
		}
		return
	}
	if now-n.electionTimerStart >= n.randomizedTimeout {
		n.campaign(PreCandidate)
	}
}

// checkQuorum makes the leader step down if no majority has answered it for an election timeout.
func (n *Node) checkQuorum() {
	if n.quorumContactTime() < n.now-n.options.ElectionTimeout {
		n.becomeFollower(n.term, "")
	}
}

// quorumContactTime returns the latest time at which a majority is known to have followed this leader.
func (n *Node) quorumContactTime() time.Duration {
	return quorumValue(n, func(id string) (time.Duration, bool) {
		if id == n.options.Self {
			return n.now, true
		}
		if follower := n.followers[id]; follower != nil {
			return follower.ackedSendTime, true
		}
		return 0, false
	})
}

// QuorumActive reports whether the member is the leader and a majority is known to have followed it within the given
// time.
func (n *Node) QuorumActive(within time.Duration) bool {
	return n.role == Leader && n.quorumContactTime() >= n.now-within
}

// Step processes a message from another member.
func (n *Node) Step(now time.Duration, message Message) {
	n.now = now
	if message.To != n.options.Self {
		return // addressed to an earlier identity of this member
	}
	if message.Term > n.term {
		if !n.acceptHigherTerm(message) {
			return
		}
	}
	if message.Term < n.term {
		n.rejectStaleTerm(message)
		return
	}
	switch message.Kind {
	case PreVote:
		n.handlePreVote(message)
	case Vote:
		n.handleVote(message)
	case PreVoteResponse, VoteResponse:
		n.handleVoteResponse(message)
	case Append:
		n.handleAppend(message)
	case InstallSnapshot:
		n.handleInstallSnapshot(message)
	case AppendResponse:
		n.handleAppendResponse(message)
	case TimeoutNow:
		n.handleLeadershipTransfer(message)
	}
}

// acceptHigherTerm processes a message of a higher term and adopts the term where Raft requires it. It returns false if
// the message needs no further processing.
func (n *Node) acceptHigherTerm(message Message) bool {
	switch message.Kind {
	case PreVote:
		n.handlePreVote(message)
		return false
	case PreVoteResponse:
		if !message.Reject {
			n.handleVoteResponse(message)
			return false
		}
	case Vote:
		if n.hasActiveLeader() && !message.LeadershipTransfer {
			return false
		}
	}
	leader := ""
	if message.Kind == Append || message.Kind == InstallSnapshot {
		leader = message.From
	}
	n.becomeFollower(message.Term, leader)
	return true
}

// rejectStaleTerm responds to an Append, InstallSnapshot or PreVote of an earlier term with the current one, so that a
// deposed leader or a member that comes back adopts it. Other messages of an earlier term get no response.
func (n *Node) rejectStaleTerm(message Message) {
	switch message.Kind {
	case Append, InstallSnapshot:
		n.send(Message{Kind: AppendResponse, To: message.From, Reject: true, Index: n.log.lastIndex()})
	case PreVote:
		n.send(Message{Kind: PreVoteResponse, To: message.From, Reject: true})
	}
}

// appendEntry appends an entry of the current term to the leader's log and returns its index.
func (n *Node) appendEntry(data []byte) uint64 {
	index := n.log.lastIndex() + 1
	n.log.entries = append(n.log.entries, Entry{Index: index, Term: n.term, Data: data})
	return index
}
