package agreement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// entriesOf returns entries of a term with the indexes from through to.
func entriesOf(term, from, to uint64) []Entry {
	var entries []Entry
	for index := from; index <= to; index++ {
		entries = append(entries, Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "%d", index)})
	}
	return entries
}

var _ = ginkgo.Describe("A member whose log lags behind", func() {
	const now = time.Second
	options := func(self string) Options {
		random := rand.New(rand.NewPCG(uint64(self[0]), 1))
		return Options{Self: self, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat,
			Random: func(below int64) int64 { return random.Int64N(max(below, 1)) }}
	}
	bootstrap := Membership{Voters: []string{"a", "b", "c"}}
	// processReady persists what a member has ready, on a disk that syncs at once, and returns its messages.
	processReady := func(node *Node) []Message {
		ready := node.Ready()
		node.Persisted(&ready)
		return ready.Messages
	}

	ginkgo.It("votes once it was made a voter, even if it has not received the entry that says so", func() {
		// The voters are a, b and c, of which c is lost for good. The entry that makes d a voter has reached a and b, not d.
		withLearner := Membership{Voters: bootstrap.Voters, Learners: []string{"d"}}
		promoted := withLearner.With("d", Voter)
		first := []Entry{{Index: 1, Term: 1, Members: &withLearner}}
		complete := []Entry{first[0], {Index: 2, Term: 1, Members: &promoted}}
		stored := func(entries []Entry) PersistentState {
			return PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Members: bootstrap}, Entries: entries}
		}
		members := map[string]*Node{"a": New(options("a"), stored(complete), now), "b": New(options("b"), stored(complete), now),
			"d": New(options("d"), stored(first), now)}
		hasLeader := func() bool {
			return members["a"].LeaderReady() || members["b"].LeaderReady() || members["d"].LeaderReady()
		}
		for at := time.Duration(now); at < now+20*testElection && !hasLeader(); at += testHeartbeat / 4 {
			for _, name := range []string{"a", "b", "d"} {
				if at >= members[name].NextWake() {
					members[name].Tick(at)
				}
			}
			for range 4 {
				for _, name := range []string{"a", "b", "d"} {
					for _, message := range processReady(members[name]) {
						if to := members[message.To]; to != nil {
							to.Step(at, message)
						}
					}
				}
			}
		}
		Expect(hasLeader()).To(BeTrue())
	})

	ginkgo.It("keeps acknowledged entries after a snapshot that matches its log", func() {
		node := New(options("b"), PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Members: bootstrap}}, now)
		node.Step(now, Message{Kind: Append, From: "a", To: "b", Term: 1, Entries: entriesOf(1, 1, 9), Commit: 3})
		acknowledged := processReady(node)
		Expect(acknowledged).To(HaveLen(1))
		Expect(acknowledged[0].Index).To(Equal(uint64(9)))
		node.Step(now, Message{Kind: InstallSnapshot, From: "a", To: "b", Term: 1,
			Snapshot: &Snapshot{Index: 6, Term: 1, Data: []byte("state"), Members: bootstrap}})
		ready := node.Ready()
		Expect(ready.Snapshot).To(BeNil())
		Expect(node.log.lastIndex()).To(Equal(uint64(9)))
		Expect(node.Applied()).To(Equal(uint64(6)))
	})

	ginkgo.It("drops its whole log when an installed snapshot does not match it", func() {
		node := New(options("b"), PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Members: bootstrap}, Entries: entriesOf(1, 1, 9)}, now)
		node.Step(now, Message{Kind: InstallSnapshot, From: "a", To: "b", Term: 3,
			Snapshot: &Snapshot{Index: 6, Term: 2, Data: []byte("state"), Members: bootstrap}})
		ready := node.Ready()
		Expect(ready.Snapshot).NotTo(BeNil())
		Expect(node.log.lastIndex()).To(Equal(uint64(6)))
		Expect(node.log.lastTerm()).To(Equal(uint64(2)))
	})

	ginkgo.It("keeps its match index on the leader when a delayed rejection arrives", func() {
		leader := New(options("a"), PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Members: bootstrap}, Entries: entriesOf(1, 1, 5)}, now)
		leader.campaign(Candidate)
		leader.Step(now, Message{Kind: VoteResponse, From: "b", To: "a", Term: leader.Term()})
		Expect(leader.Role()).To(Equal(Leader))
		processReady(leader)
		answer := Message{Kind: AppendResponse, From: "b", To: "a", Term: leader.Term(), Index: 6, SentAt: now + 2}
		leader.Step(now+3, answer)
		Expect(leader.followers["b"].match).To(Equal(uint64(6)))
		delayed := Message{Kind: AppendResponse, From: "b", To: "a", Term: leader.Term(), Index: 2, Reject: true, SentAt: now + 1}
		leader.Step(now+4, delayed)
		Expect(leader.followers["b"].match).To(Equal(uint64(6)))
		Expect(leader.followers["b"].next).To(BeNumerically(">", 6))
	})

	ginkgo.It("forgets its leader after a long time without contact, even as a learner", func() {
		group := Membership{Voters: bootstrap.Voters, Learners: []string{"d"}}
		node := New(options("d"), PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Members: group}}, now)
		node.Step(now, Message{Kind: Append, From: "a", To: "d", Term: 1})
		Expect(node.Leader()).To(Equal("a"))
		node.Tick(now + 3*testElection)
		Expect(node.Leader()).To(BeEmpty())
	})
})
