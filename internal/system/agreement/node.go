package agreement

import "time"

// Role of a member.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Limits of one message.
const (
	maxEntriesInMessage = 256
)

// progress is what a leader knows of another member.
type progress struct {
	match      uint64
	next       uint64
	heard      time.Duration // sending time of the latest message that was answered
	snapshotAt time.Duration // when a snapshot was last sent; none is sent again within an election timeout
}

// Node is one member.
type Node struct {
	options   Options
	role      Role
	term      uint64
	vote      string
	leader    string
	log       entryLog
	votes     map[string]bool
	followers map[string]*progress

	now          time.Duration
	heardLeader  time.Duration
	timeout      time.Duration // of this wait for a leader, by lot
	heartbeatDue time.Duration
	group        Membership // the latest in the log, committed or not
	groupIndex   uint64     // of the entry that made it so
	stateChanged bool
	installed    *Snapshot
	messages     []Message
	persisted    uint64 // last index of our own log that is synced
	openingIndex uint64 // of the empty entry that opened our term as leader
	broadcasts   uint64
	votedAt      time.Duration // when the vote was last given; 0 before
	campaigns    int           // since a leader was known
	named        bool          // the leader has asked this member to succeed it
}

// New makes a member from what its disk holds.
func New(options Options, stored Stored, now time.Duration) *Node {
	n := &Node{options: options, term: stored.HardState.Term, vote: stored.HardState.Vote, now: now}
	n.log.restore(&stored.Snapshot)
	n.log.entries = append(n.log.entries, stored.Entries...)
	n.log.unstable = n.log.lastIndex() + 1
	n.persisted = n.log.lastIndex()
	n.readGroup()
	n.becomeFollower(n.term, "")
	// A member that has just started asks soon: where there is a leader the others say so, and where all have started
	// together nobody is worth waiting for.
	n.timeout = options.HeartbeatInterval/4 + time.Duration(options.Random(int64(options.HeartbeatInterval)))
	return n
}

// Leading tells whether the member leads and has applied all that its predecessors committed.
func (n *Node) Leading() bool { return n.role == Leader && n.log.applied >= n.openingIndex }

// Role is the member's role.
func (n *Node) Role() Role { return n.role }

// Leader is who leads as far as the member knows, or empty.
func (n *Node) Leader() string { return n.leader }

// Term is the member's term.
func (n *Node) Term() uint64 { return n.term }

// Applied is the last index handed out as committed.
func (n *Node) Applied() uint64 { return n.log.applied }

// LogLength is the number of entries behind the snapshot.
func (n *Node) LogLength() int { return len(n.log.entries) }

// Silence is how long a member of the leader's group has not answered, and whether it holds all that is committed.
func (n *Node) Silence(id string) (silence time.Duration, caughtUp bool) {
	if id == n.options.Self {
		return 0, true
	}
	follower := n.followers[id]
	if n.role != Leader || follower == nil {
		return 0, false
	}
	return n.now - follower.heard, follower.match >= n.log.committed
}

// NextWake is when Tick has something to do.
func (n *Node) NextWake() time.Duration {
	if n.role == Leader {
		return n.heartbeatDue
	}
	return n.heardLeader + n.timeout
}

// Propose appends data to the leader's log.
func (n *Node) Propose(now time.Duration, data []byte) (uint64, error) {
	n.now = now
	if n.role != Leader {
		return 0, &NotLeaderError{Leader: n.leader}
	}
	index := n.appendOwn(data)
	n.broadcast()
	return index, nil
}

// Compact drops the log up to an applied index, for which data is the state.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, bool) {
	before := n.log.snapshotIndex
	n.log.compact(index, data)
	done := n.log.snapshotIndex != before
	return n.log.snapshot(), done
}

// Stored is all that a disk should hold of the member now.
func (n *Node) Stored() Stored {
	return Stored{
		HardState: HardState{Term: n.term, Vote: n.vote},
		Snapshot:  n.log.snapshot(),
		Entries:   append([]Entry(nil), n.log.entries...),
	}
}

// Tick lets time pass.
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
	if now-n.heardLeader >= n.timeout {
		n.campaign(PreCandidate)
	}
}

// checkQuorum has a leader step down that a majority has not answered for an election timeout.
func (n *Node) checkQuorum() {
	if n.quorumHeard() < n.now-n.options.ElectionTimeout {
		n.becomeFollower(n.term, "")
	}
}

// quorumHeard is the latest time at which a majority is known to have followed.
func (n *Node) quorumHeard() time.Duration {
	return agreed(n, func(id string) (time.Duration, bool) {
		if id == n.options.Self {
			return n.now, true
		}
		if follower := n.followers[id]; follower != nil {
			return follower.heard, true
		}
		return 0, false
	})
}

// Followed tells whether a leader is known to have been followed by a majority within a while.
func (n *Node) Followed(within time.Duration) bool {
	return n.role == Leader && n.quorumHeard() >= n.now-within
}

// Step takes a message.
func (n *Node) Step(now time.Duration, message Message) {
	n.now = now
	if message.To != n.options.Self {
		return // meant for one that was here before
	}
	if message.Term > n.term {
		if !n.acceptHigherTerm(message) {
			return
		}
	}
	if message.Term < n.term {
		n.answerStale(message)
		return
	}
	switch message.Kind {
	case PreVote:
		n.answerPreVote(message)
	case Vote:
		n.answerVote(message)
	case PreVoteAnswer, VoteAnswer:
		n.countVote(message)
	case Append:
		n.followAppend(message)
	case InstallSnapshot:
		n.followSnapshot(message)
	case AppendAnswer:
		n.leaderAnswer(message)
	case StandForElection:
		n.standForElection(message)
	}
}

// acceptHigherTerm moves to a later term; false where the message is to be passed over.
func (n *Node) acceptHigherTerm(message Message) bool {
	switch message.Kind {
	case PreVote:
		n.answerPreVote(message)
		return false
	case PreVoteAnswer:
		if !message.Reject {
			n.countVote(message)
			return false
		}
	case Vote:
		if n.followsLeader() && !message.Handover {
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

// answerStale tells a sender of an earlier term about ours, so that a deposed leader or a returned member learns it.
func (n *Node) answerStale(message Message) {
	switch message.Kind {
	case Append, InstallSnapshot:
		n.send(Message{Kind: AppendAnswer, To: message.From, Reject: true, Index: n.log.lastIndex()})
	case PreVote:
		n.send(Message{Kind: PreVoteAnswer, To: message.From, Reject: true})
	}
}

func (n *Node) appendOwn(data []byte) uint64 {
	index := n.log.lastIndex() + 1
	n.log.entries = append(n.log.entries, Entry{Index: index, Term: n.term, Data: data})
	return index
}
