package agreement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// member is a group member on simulated time. Its disk holds only what was synced.
type member struct {
	node    *Node
	disk    PersistentState
	running bool
	applied []Entry // returned as committed, in this incarnation or an earlier one, by index
}

// cluster is a group whose messages are lost, delayed and reordered.
type cluster struct {
	random     *rand.Rand
	now        time.Duration
	members    map[string]*member
	names      []string
	inFlight   []Message
	blocked    map[[2]string]bool
	committed  map[uint64]string // by index: the entry that any member has seen as committed
	leaders    map[uint64]string // by term: the id of the leader
	violations []string
	crashes    bool // members crash at random before a sync
}

const (
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
)

// newCluster starts a group of the given number of voters. All randomness derives from seed.
func newCluster(seed uint64, voters int) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 3)), members: map[string]*member{}, blocked: map[[2]string]bool{},
		committed: map[uint64]string{}, leaders: map[uint64]string{}}
	for i := range voters {
		c.names = append(c.names, fmt.Sprintf("m%d", i+1))
	}
	bootstrap := slices.Clone(c.names)
	for _, name := range bootstrap {
		m := &member{}
		m.disk.Snapshot.Members.Voters = bootstrap
		c.members[name] = m
		c.start(name)
	}
	return c
}

// start runs a member from the state on its disk.
func (c *cluster) start(name string) {
	m := c.members[name]
	m.running = true
	m.node = New(Options{Self: name, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat,
		Random: c.random.Int64N}, m.disk, c.now)
}

// add starts a new member on an empty disk.
func (c *cluster) add(name string) {
	c.names = append(c.names, name)
	c.members[name] = &member{}
	c.start(name)
}

// reportViolation records that a safety property does not hold.
func (c *cluster) reportViolation(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, values...))
}

// processReady persists, sends and applies what a member has ready. With crash the member stops before the sync and the
// work is lost. It reports a violation if two members lead the same term.
func (c *cluster) processReady(name string, crash bool) {
	m := c.members[name]
	ready := m.node.Ready()
	if crash {
		m.running = false
		return
	}
	m.persist(&ready)
	c.inFlight = append(c.inFlight, ready.Messages...)
	m.node.Persisted(&ready)
	for _, entry := range ready.Committed {
		c.apply(name, entry)
	}
	if m.node.Role() == Leader {
		if other, known := c.leaders[m.node.Term()]; known && other != name {
			c.reportViolation("%s and %s both lead term %d", name, other, m.node.Term())
		}
		c.leaders[m.node.Term()] = name
	}
}

// persist writes the hard state, snapshot and entries of a Ready to the simulated disk.
func (m *member) persist(ready *Ready) {
	if ready.HardState != nil {
		m.disk.HardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		m.disk.Snapshot, m.disk.Entries = *ready.Snapshot, nil
	}
	for _, entry := range ready.Entries {
		at := entry.Index - m.disk.Snapshot.Index - 1
		m.disk.Entries = append(m.disk.Entries[:at:at], entry)
	}
}

// apply reports a violation if another entry was committed at the same index before.
func (c *cluster) apply(name string, entry Entry) {
	text := fmt.Sprintf("%d:%s:%v", entry.Term, entry.Data, entry.Members)
	if other, known := c.committed[entry.Index]; known && other != text {
		c.reportViolation("index %d: committed %q at %s, earlier %q", entry.Index, text, name, other)
	}
	c.committed[entry.Index] = text
}

// step advances the time by less than 2 ms, delivers up to six messages, of which 1 in 50 is lost, and ticks due
// members.
func (c *cluster) step() {
	c.now += time.Duration(c.random.Int64N(int64(2 * time.Millisecond)))
	for range min(len(c.inFlight), 1+c.random.IntN(6)) {
		at := c.random.IntN(min(len(c.inFlight), 4))
		message := c.inFlight[at]
		c.inFlight = slices.Delete(c.inFlight, at, at+1)
		target := c.members[message.To]
		if target == nil || !target.running || c.blocked[[2]string{message.From, message.To}] || c.random.IntN(50) == 0 {
			continue
		}
		target.node.Step(c.now, message)
		c.processReady(message.To, c.crashes && c.random.IntN(600) == 0)
	}
	for _, name := range c.names {
		if m := c.members[name]; m.running && c.now >= m.node.NextWake() {
			m.node.Tick(c.now)
			c.processReady(name, false)
		}
	}
}

// leader returns the first member that is ready as leader, empty if none.
func (c *cluster) leader() string {
	for _, name := range c.names {
		if m := c.members[name]; m.running && m.node.LeaderReady() {
			return name
		}
	}
	return ""
}

// heal ends all faults, restarts crashed members, runs 6000 steps and returns the leader.
func (c *cluster) heal() string {
	c.crashes = false
	c.blocked = map[[2]string]bool{}
	for _, name := range c.names {
		if !c.members[name].running {
			c.start(name)
		}
	}
	for range 6000 {
		c.step()
	}
	return c.leader()
}

var _ = ginkgo.Describe("A Raft group", func() {
	ginkgo.It("elects one leader and commits a proposal", func() {
		c := newCluster(1, 3)
		leader := c.heal()
		Expect(leader).NotTo(BeEmpty())
		_, err := c.members[leader].node.Propose(c.now, []byte("one"))
		Expect(err).NotTo(HaveOccurred())
		c.processReady(leader, false)
		for range 500 {
			c.step()
		}
		Expect(c.violations).To(BeEmpty())
		Expect(c.committed).To(ContainElement(ContainSubstring("one")))
	})

	ginkgo.It("keeps committed entries despite crashes, partitions, lost and reordered messages, and membership changes", func() {
		for seed := uint64(1); seed <= 150; seed++ {
			c := newCluster(seed, 3+2*int(seed%2))
			c.injectFaults()
			Expect(c.violations).To(BeEmpty(), "seed %d", seed)
			leader := c.heal()
			Expect(c.violations).To(BeEmpty(), "seed %d", seed)
			Expect(leader).NotTo(BeEmpty(), "seed %d: no leader after all faults ended", seed)
		}
	})

	ginkgo.It("lets a new member on an empty disk grant no vote before a leader has added it to the group", func() {
		c := newCluster(4, 3)
		leader := c.heal()
		c.add("new")
		newMember := c.members["new"].node
		newMember.Step(c.now, Message{Kind: Vote, From: "m1", To: "new", Term: 99, Index: 99, LogTerm: 99})
		ready := newMember.Ready()
		Expect(ready.Messages).To(HaveLen(1))
		Expect(ready.Messages[0].Reject).To(BeTrue())
		group := c.members[leader].node.Membership()
		Expect(c.members[leader].node.ProposeMembership(c.now, group.With("new", Learner))).To(Succeed())
		c.processReady(leader, false)
		for range 2000 {
			c.step()
		}
		leader = c.leader()
		_, caughtUp := c.members[leader].node.FollowerStatus("new")
		Expect(caughtUp).To(BeTrue())
		Expect(newMember.IsMember()).To(BeTrue())
	})

	ginkgo.It("accepts no second membership change before the first is committed", func() {
		c := newCluster(5, 3)
		leader := c.heal()
		node := c.members[leader].node
		Expect(node.ProposeMembership(c.now, node.Membership().With("a", Learner))).To(Succeed())
		Expect(node.ProposeMembership(c.now, node.Membership().With("b", Learner))).To(MatchError(&ChangePendingError{}))
	})

	ginkgo.It("makes a leader step down if no majority has answered it for an election timeout", func() {
		c := newCluster(6, 3)
		leader := c.heal()
		for _, name := range c.names {
			c.blocked[[2]string{leader, name}] = true
			c.blocked[[2]string{name, leader}] = true
		}
		began := c.now
		for c.now < began+2*testElection {
			c.step()
		}
		Expect(c.members[leader].node.Role()).NotTo(Equal(Leader))
	})

	ginkgo.It("transfers leadership without waiting for an election timeout, to a member that holds all committed entries", func() {
		c := newCluster(8, 3)
		leader := c.heal()
		term, began := c.members[leader].node.Term(), c.now
		Expect(c.members[leader].node.TransferLeadership(c.now, avoidNone)).To(BeTrue())
		c.processReady(leader, false)
		for c.now < began+testElection/2 {
			c.step()
		}
		Expect(c.leader()).NotTo(Or(BeEmpty(), Equal(leader)))
		Expect(c.members[c.leader()].node.Term()).To(Equal(term + 1))
		Expect(c.violations).To(BeEmpty())
	})

	ginkgo.It("transfers leadership to no member that lacks committed entries, and campaigns on request of its leader only", func() {
		c := newCluster(9, 3)
		leader := c.heal()
		follower := without(c.names, leader)[0]
		nonLeader := without(without(c.names, leader), follower)[0]
		node := c.members[follower].node
		node.Step(c.now, Message{Kind: TimeoutNow, From: nonLeader, To: follower, Term: node.Term()})
		Expect(node.Role()).To(Equal(Follower))
		Expect(node.TransferLeadership(c.now, avoidNone)).To(BeFalse())
		for _, name := range c.names {
			c.blocked[[2]string{name, leader}] = true
		}
		for began := c.now; c.now < began+testElection/2; {
			c.step()
		}
		_, err := c.members[leader].node.Propose(c.now, []byte("unknown"))
		Expect(err).NotTo(HaveOccurred())
		c.processReady(leader, false)
		for began := c.now; c.now < began+2*testElection; {
			c.step()
		}
		Expect(c.members[leader].node.TransferLeadership(c.now, avoidNone)).To(BeFalse())
	})

	ginkgo.It("keeps its leader when a partitioned member comes back", func() {
		c := newCluster(7, 3)
		leader := c.heal()
		partitioned := c.names[0]
		if partitioned == leader {
			partitioned = c.names[1]
		}
		for _, name := range c.names {
			c.blocked[[2]string{partitioned, name}] = true
			c.blocked[[2]string{name, partitioned}] = true
		}
		for range 3000 {
			c.step()
		}
		leader = c.leader()
		term := c.members[leader].node.Term()
		c.blocked = map[[2]string]bool{}
		for range 1000 {
			c.step()
		}
		Expect(c.members[leader].node.Term()).To(Equal(term))
	})
})

// injectFaults runs 60 rounds of 120 steps with a random fault, proposal or membership change after each. Any number of
// members may be down for a while, but none loses its disk.
func (c *cluster) injectFaults() {
	c.crashes = true
	for round := range 60 {
		for range 120 {
			c.step()
		}
		leader := c.leader()
		name := c.names[c.random.IntN(len(c.names))]
		switch c.random.IntN(9) {
		case 8:
			if leader != "" {
				c.members[leader].node.TransferLeadership(c.now, avoidNone)
				c.processReady(leader, false)
			}
		case 0:
			c.members[name].running = false
		case 1:
			if !c.members[name].running {
				c.start(name)
			}
		case 2:
			other := c.names[c.random.IntN(len(c.names))]
			c.blocked[[2]string{name, other}] = true
		case 3:
			c.blocked = map[[2]string]bool{}
		case 4:
			c.changeMembership(leader, round)
		case 5:
			c.compact(name)
		default:
			if leader != "" {
				_, _ = c.members[leader].node.Propose(c.now, fmt.Appendf(nil, "p%d", round))
				c.processReady(leader, false)
			}
		}
	}
}

// changeMembership proposes a membership change that suits the current state: it ends a joint membership, promotes a
// learner that has caught up, removes an unreachable voter of five or more, or adds a new member as a learner.
func (c *cluster) changeMembership(leader string, round int) {
	if leader == "" {
		return
	}
	node := c.members[leader].node
	group := node.Membership()
	if group.Joint() {
		_ = node.LeaveJoint(c.now, c.random.IntN(2) == 0)
	} else if len(group.Learners) > 0 {
		learner := group.Learners[0]
		if _, caughtUp := node.FollowerStatus(learner); caughtUp {
			_ = node.ProposeMembership(c.now, c.promoteLearner(group, learner))
		}
	} else if len(group.Voters) > 4 {
		for _, voter := range group.Voters {
			if silence, _ := node.FollowerStatus(voter); silence > testElection {
				_ = node.ProposeMembership(c.now, group.With(voter, NotMember))
				break
			}
		}
	} else {
		name := fmt.Sprintf("n%d", round)
		c.add(name)
		_ = node.ProposeMembership(c.now, group.With(name, Learner))
	}
	c.processReady(leader, false)
}

// compact replaces the log of a running member by a snapshot of all applied entries.
func (c *cluster) compact(name string) {
	m := c.members[name]
	if !m.running {
		return
	}
	if _, done := m.node.Compact(m.node.Applied(), []byte("state")); done {
		m.disk = m.node.PersistentState()
	}
}
