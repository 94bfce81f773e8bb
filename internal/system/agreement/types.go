// Package agreement implements one member of a Raft group, which replicates a log: leader election with pre-vote and
// check-quorum, log replication, snapshots, leadership transfer, learners, and membership changes of one member at a
// time or by joint consensus.
//
// Node is a deterministic state machine without I/O, goroutines or clocks. A driver passes in messages (Step),
// proposals (Propose, ProposeMembership) and the time (Tick, at the latest at NextWake). It then takes the outputs from
// Ready: it writes and syncs the hard state, snapshot and entries, calls Persisted, sends the messages and applies
// the committed entries. No message may leave before the writes of its Ready are synced. All times are durations on
// one monotonic clock of the driver's choice; a Node is not safe for concurrent use. Package disk stores what a Ready
// asks to write.
package agreement

import (
	"fmt"
	"slices"
	"time"
)

// Membership lists the members of a group. Voters elect the leader and count toward commits. Learners only replicate
// the log, until they have caught up and can be made voters.
type Membership struct {
	Voters   []string
	Learners []string
	// Outgoing holds the previous voters while a change of two members is in progress (joint consensus, Raft thesis
	// 4.3): every decision needs a majority of Outgoing as well as a majority of Voters. It is empty at other times.
	Outgoing []string `msgpack:",omitempty"`
}

// Joint reports whether the membership is joint: a change of two members is in progress.
func (m Membership) Joint() bool { return len(m.Outgoing) > 0 }

// voterSets returns the sets of voters of which each must reach a majority: two during joint consensus, else one.
func (m Membership) voterSets() [][]string {
	if !m.Joint() {
		return [][]string{m.Voters}
	}
	return [][]string{m.Voters, m.Outgoing}
}

// Empty reports whether the membership has neither voters nor learners.
func (m Membership) Empty() bool { return len(m.Voters) == 0 && len(m.Learners) == 0 }

// Has reports whether id belongs to the group, as a voter or a learner.
func (m Membership) Has(id string) bool {
	return m.HasVote(id) || slices.Contains(m.Learners, id)
}

// HasVote reports whether id is a voter. During joint consensus the previous voters count too.
func (m Membership) HasVote(id string) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Outgoing, id)
}

// Replace returns the joint membership in which the learner becomes a voter in place of voter, and voter moves to the
// given place: NotMember or Learner.
func (m Membership) Replace(voter, learner string, place MemberRole) Membership {
	next := m.With(learner, Voter).With(voter, place)
	next.Outgoing = slices.Clone(m.Voters)
	return next
}

// finishedReplacement returns the membership that ends a joint one: the new voters decide alone.
func (m Membership) finishedReplacement() Membership {
	return Membership{Voters: m.Voters, Learners: m.Learners}
}

// cancelledReplacement returns the membership that cancels a joint one: the previous voters decide alone again, and the
// member that should have become a voter stays a learner.
func (m Membership) cancelledReplacement() Membership {
	learners := slices.DeleteFunc(m.members(), func(id string) bool { return slices.Contains(m.Outgoing, id) })
	return Membership{Voters: m.Outgoing, Learners: learners}
}

// members returns the ids of all members, sorted and without duplicates.
func (m Membership) members() []string {
	all := slices.Concat(m.Voters, m.Outgoing, m.Learners)
	slices.Sort(all)
	return slices.Compact(all)
}

// With returns a copy of the membership in which id has the given place. The copy is never joint.
func (m Membership) With(id string, place MemberRole) Membership {
	next := Membership{Voters: without(m.Voters, id), Learners: without(m.Learners, id)}
	switch place {
	case Voter:
		next.Voters = append(next.Voters, id)
	case Learner:
		next.Learners = append(next.Learners, id)
	}
	slices.Sort(next.Voters)
	slices.Sort(next.Learners)
	return next
}

// without returns ids without id.
func without(ids []string, id string) []string {
	var kept []string
	for _, other := range ids {
		if other != id {
			kept = append(kept, other)
		}
	}
	return kept
}

// MemberRole is the place of a member in a membership. It is decided by membership changes, unlike Role, which a
// member takes by elections.
type MemberRole uint8

// The places of a member in a membership.
const (
	NotMember MemberRole = iota // not in the group
	Learner                     // replicates the log, has no vote
	Voter                       // votes and counts toward commits
)

// Entry is one record of the log.
type Entry struct {
	_msgpack struct{} `msgpack:",as_array"`
	Index    uint64
	Term     uint64
	Data     []byte      // nil for the no-op entry that a leader appends at the start of its term
	Members  *Membership // set for a membership change, which takes effect as soon as it is appended
}

// HardState is the term and the vote of that term, which a member must sync before it responds. Vote is empty if none
// was granted.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot replaces the log up to and including Index. Term is the term of the entry at Index, Data the state of the
// application as of Index, and Members the membership as of Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Data    []byte
	Members Membership
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages between members.
const (
	PreVote         MessageKind = iota + 1 // asks whether a vote would be granted; changes no state of the receiver
	PreVoteResponse                        // response to PreVote
	Vote                                   // requests a vote
	VoteResponse                           // response to Vote
	Append                                 // replicates entries; a heartbeat if it has none
	AppendResponse                         // response to Append and InstallSnapshot
	InstallSnapshot                        // replaces the log of a follower that lacks compacted entries
	TimeoutNow                             // leadership transfer: asks the receiver to campaign at once (Raft's TimeoutNow)
)

// IsResponse reports whether messages of this kind are responses: they go to a member from which a request
// has just been received.
func (k MessageKind) IsResponse() bool {
	return k == PreVoteResponse || k == VoteResponse || k == AppendResponse
}

// Message is sent from one member to another.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"`
	Kind     MessageKind
	From     string
	To       string
	Term     uint64
	// Index is, by Kind: of an Append, the index of the entry before Entries; of a vote request or a TimeoutNow, the
	// last index of the sender's log; of an AppendResponse, the last index known to match the leader's log or, with
	// Reject, the index after which the leader should try next.
	Index    uint64
	LogTerm  uint64 // term of the entry at Index
	Commit   uint64
	Entries  []Entry
	Snapshot *Snapshot
	Reject   bool
	// SentAt is the leader's time when it sent the request. The response returns it, and the leader's check-quorum
	// measures from it.
	SentAt time.Duration
	// LeadershipTransfer marks a vote request of a leadership transfer: it is considered although the current leader is
	// active.
	LeadershipTransfer bool
}

// Options configures a Node. All members of a group must have the same timeouts.
type Options struct {
	// Self is the member's identity, which is created with its disk. A member that lost its disk comes back as another
	// member, which joins as a learner and counts toward no quorum until it has caught up.
	Self string
	// ElectionTimeout is the minimum time without contact by a leader after which a member campaigns. The actual timeout
	// is drawn at random between this and twice this.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// Random returns a random number in [0, n).
	Random func(n int64) int64
}

// PersistentState is the persistent state of a member. On a new disk the snapshot has index 0: its membership lists the
// bootstrap members if this is one of them, and is empty for a member that joins later.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Ready is the work that a driver must do, in the order of the fields: write and sync HardState, Snapshot and Entries,
// then send Messages, then apply Committed.
type Ready struct {
	HardState *HardState
	Snapshot  *Snapshot // received from the leader: replaces the application's state and the whole log
	Entries   []Entry   // to append; an entry at an existing index replaces it and all later entries
	Messages  []Message
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0
}

// MustSync reports whether the Ready has writes, which must be synced before its messages are sent.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// NotLeaderError is returned for a proposal to a member that is not the leader.
type NotLeaderError struct {
	Leader string // id of the current leader, empty if unknown
}

func (e *NotLeaderError) Error() string { return fmt.Sprintf("not the leader (leader %q)", e.Leader) }

// ChangePendingError is returned for a membership change while an earlier one is not committed or still joint.
type ChangePendingError struct{}

func (e *ChangePendingError) Error() string { return "another change of the group is under way" }
