// Package agreement is one replicated log of a group of members: elections with pre-vote and a check of quorum,
// append, snapshot. It is a state machine without I/O or clocks: inputs are messages, proposals and the time;
// outputs are collected in a Ready, whose writes must be synced before its messages leave.
package agreement

import (
	"fmt"
	"slices"
	"time"
)

// Membership is who belongs to a group. Voters elect and commit; learners only follow, until they have caught up.
type Membership struct {
	Voters   []string
	Learners []string
	// Outgoing are the voters of the group before, while a change of two members is under way (joint consensus, Raft thesis 4.3): every decision
	// needs a majority of them beside one of Voters. Empty at other times.
	Outgoing []string `msgpack:",omitempty"`
}

// Joint tells whether a change of two members is under way.
func (m Membership) Joint() bool { return len(m.Outgoing) > 0 }

// electorates gives the sets of voters that have to agree, each by a majority.
func (m Membership) electorates() [][]string {
	if !m.Joint() {
		return [][]string{m.Voters}
	}
	return [][]string{m.Voters, m.Outgoing}
}

// Empty tells whether nobody is named.
func (m Membership) Empty() bool { return len(m.Voters) == 0 && len(m.Learners) == 0 }

// Has tells whether a member belongs to the group, with a vote or without.
func (m Membership) Has(id string) bool {
	return m.HasVote(id) || slices.Contains(m.Learners, id)
}

// HasVote tells whether a member has a vote, be it that of the group before a change that is under way.
func (m Membership) HasVote(id string) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Outgoing, id)
}

// Replace gives the joint membership in which a learner takes a voter's vote, and the voter moves to a place without one.
func (m Membership) Replace(voter, learner string, place Place) Membership {
	next := m.With(learner, AsVoter).With(voter, place)
	next.Outgoing = slices.Clone(m.Voters)
	return next
}

// after is the membership at the end of a replacement.
func (m Membership) after() Membership { return Membership{Voters: m.Voters, Learners: m.Learners} }

// before is the membership at the end of a replacement that is called off: the learner follows on.
func (m Membership) before() Membership {
	learners := slices.DeleteFunc(m.members(), func(id string) bool { return slices.Contains(m.Outgoing, id) })
	return Membership{Voters: m.Outgoing, Learners: learners}
}

// members gives all that belong to the group, each once, sorted.
func (m Membership) members() []string {
	all := slices.Concat(m.Voters, m.Outgoing, m.Learners)
	slices.Sort(all)
	return slices.Compact(all)
}

// With gives a membership in which a member has moved to a place.
func (m Membership) With(id string, place Place) Membership {
	next := Membership{Voters: without(m.Voters, id), Learners: without(m.Learners, id)}
	switch place {
	case AsVoter:
		next.Voters = append(next.Voters, id)
	case AsLearner:
		next.Learners = append(next.Learners, id)
	}
	slices.Sort(next.Voters)
	slices.Sort(next.Learners)
	return next
}

func without(ids []string, id string) []string {
	var kept []string
	for _, other := range ids {
		if other != id {
			kept = append(kept, other)
		}
	}
	return kept
}

// Place of a member in a group.
type Place uint8

// The places.
const (
	Out Place = iota
	AsLearner
	AsVoter
)

// Entry is one record of the log.
type Entry struct {
	_msgpack struct{} `msgpack:",as_array"`
	Index    uint64
	Term     uint64
	Data     []byte      // nil for the empty entry with which a leader opens its term
	Members  *Membership // of a change of the group: in force from its append on
}

// HardState is what a member must have synced before it answers.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Data    []byte
	Members Membership
}

// Kind tells messages apart.
type Kind uint8

// The kinds of messages between members.
const (
	PreVote Kind = iota + 1
	PreVoteAnswer
	Vote
	VoteAnswer
	Append
	AppendAnswer
	InstallSnapshot
	StandForElection // a leader names its successor
)

// IsAnswer tells whether a message of this kind goes to one that was heard.
func (k Kind) IsAnswer() bool { return k == PreVoteAnswer || k == VoteAnswer || k == AppendAnswer }

// Message goes from one member to another.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"`
	Kind     Kind
	From     string
	To       string
	Term     uint64
	Index    uint64 // of the entry before Entries; the last entry of a candidate; the match of an answer
	LogTerm  uint64
	Commit   uint64
	Entries  []Entry
	Snapshot *Snapshot
	Reject   bool
	// Sent is the leader's time of sending, which an answer returns: what the check of quorum is measured from.
	Sent time.Duration
	// Handover marks a request of one that the leader has named: it is judged although a leader is heard.
	Handover bool
}

// Options of a member. All members of a group are given the same timeouts.
type Options struct {
	// Self is the member's identity, drawn on its disk: one whose disk was lost is another member, which joins as a
	// learner and counts for nothing until it has caught up.
	Self string
	// ElectionTimeout is the least silence of a leader before a member stands for election; up to twice that by lot.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// Random returns a number from 0 up to n, exclusive.
	Random func(n int64) int64
}

// Stored is what a member finds on its disk. The snapshot of a founder's new disk names the founders; that of a newcomer
// nobody.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Ready is what a driver has to do, in the order of its fields: write and sync, then send, then apply.
type Ready struct {
	HardState *HardState
	Snapshot  *Snapshot // installed from the leader: replaces the state and the log
	Entries   []Entry   // to append; an index that the log has already replaces it and all behind
	Messages  []Message
	Committed []Entry
}

// Empty tells whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0
}

// MustSync tells whether the writes have to be synced.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

// NotLeaderError answers a proposal to a member that does not lead.
type NotLeaderError struct {
	Leader string // empty when unknown
}

func (e *NotLeaderError) Error() string { return fmt.Sprintf("not the leader (leader %q)", e.Leader) }

// ChangePendingError answers a change of the group while another is not committed.
type ChangePendingError struct{}

func (e *ChangePendingError) Error() string { return "another change of the group is under way" }
