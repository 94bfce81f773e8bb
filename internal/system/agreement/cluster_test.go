package agreement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// member is one member on simulated time, with a disk that loses what was not synced.
type member struct {
	node    *Node
	disk    Stored
	running bool
	applied []Entry // handed out as committed, in this life or an earlier one, by index
}

// cluster is a group whose messages are lost, late and out of order.
type cluster struct {
	random     *rand.Rand
	now        time.Duration
	members    map[string]*member
	names      []string
	inFlight   []Message
	blocked    map[[2]string]bool
	committed  map[uint64]string // what any member saw committed at an index
	leaders    map[uint64]string // by term
	violations []string
	crashes    bool // members crash now and then before a sync
}

const (
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
)

func newCluster(seed uint64, voters int) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 3)), members: map[string]*member{}, blocked: map[[2]string]bool{},
		committed: map[uint64]string{}, leaders: map[uint64]string{}}
	for i := range voters {
		c.names = append(c.names, fmt.Sprintf("m%d", i+1))
	}
	founders := slices.Clone(c.names)
	for _, name := range founders {
		m := &member{}
		m.disk.Snapshot.Members.Voters = founders
		c.members[name] = m
		c.start(name)
	}
	return c
}

func (c *cluster) start(name string) {
	m := c.members[name]
	m.running = true
	m.node = New(Options{Self: name, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat,
		Random: c.random.Int64N}, m.disk, c.now)
}

// add starts a newcomer on an empty disk.
func (c *cluster) add(name string) {
	c.names = append(c.names, name)
	c.members[name] = &member{}
	c.start(name)
}

func (c *cluster) reportViolation(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, values...))
}

// carryOut does what a member has ready; where it crashes before the sync, nothing of it counts.
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
			c.reportViolation("%s and %s lead term %d", name, other, m.node.Term())
		}
		c.leaders[m.node.Term()] = name
	}
}

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

func (c *cluster) apply(name string, entry Entry) {
	text := fmt.Sprintf("%d:%s:%v", entry.Term, entry.Data, entry.Members)
	if other, known := c.committed[entry.Index]; known && other != text {
		c.reportViolation("index %d is %q at %s and was %q", entry.Index, text, name, other)
	}
	c.committed[entry.Index] = text
}

// step delivers a message, or lets time pass for a member.
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

func (c *cluster) leader() string {
	for _, name := range c.names {
		if m := c.members[name]; m.running && m.node.Leading() {
			return name
		}
	}
	return ""
}

// settle heals everything and lets the group agree.
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

var _ = ginkgo.Describe("A group", func() {
	ginkgo.It("elects one leader and commits what it is given", func() {
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

	ginkgo.It("keeps what was committed through crashes, cuts, lost and reordered messages, and changes of its members", func() {
		for seed := uint64(1); seed <= 150; seed++ {
			c := newCluster(seed, 3+2*int(seed%2))
			c.injectFaults()
			Expect(c.violations).To(BeEmpty(), "seed %d", seed)
			leader := c.heal()
			Expect(c.violations).To(BeEmpty(), "seed %d", seed)
			Expect(leader).NotTo(BeEmpty(), "seed %d: no leader once all is well", seed)
		}
	})

	ginkgo.It("gives a newcomer on an empty disk no vote until its leader has given it one", func() {
		c := newCluster(4, 3)
		leader := c.heal()
		c.add("new")
		newcomer := c.members["new"].node
		newcomer.Step(c.now, Message{Kind: Vote, From: "m1", To: "new", Term: 99, Index: 99, LogTerm: 99})
		ready := newcomer.Ready()
		Expect(ready.Messages).To(HaveLen(1))
		Expect(ready.Messages[0].Reject).To(BeTrue())
		group := c.members[leader].node.Group()
		Expect(c.members[leader].node.ProposeGroup(c.now, group.With("new", AsLearner))).To(Succeed())
		c.processReady(leader, false)
		for range 2000 {
			c.step()
		}
		leader = c.leader()
		_, caughtUp := c.members[leader].node.Silence("new")
		Expect(caughtUp).To(BeTrue())
		Expect(newcomer.Member()).To(BeTrue())
	})

	ginkgo.It("takes no second change of its members before the first is committed", func() {
		c := newCluster(5, 3)
		leader := c.heal()
		node := c.members[leader].node
		Expect(node.ProposeGroup(c.now, node.Group().With("a", AsLearner))).To(Succeed())
		Expect(node.ProposeGroup(c.now, node.Group().With("b", AsLearner))).To(MatchError(&ChangePendingError{}))
	})

	ginkgo.It("has a leader step down that a majority has not answered for an election timeout", func() {
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

	ginkgo.It("hands its leadership over without a silence, to a member that lacks nothing", func() {
		c := newCluster(8, 3)
		leader := c.heal()
		term, began := c.members[leader].node.Term(), c.now
		Expect(c.members[leader].node.HandOver(c.now, avoidNone)).To(BeTrue())
		c.processReady(leader, false)
		for c.now < began+testElection/2 {
			c.step()
		}
		Expect(c.leader()).NotTo(Or(BeEmpty(), Equal(leader)))
		Expect(c.members[c.leader()].node.Term()).To(Equal(term + 1))
		Expect(c.violations).To(BeEmpty())
	})

	ginkgo.It("names no successor while nobody else holds what is committed, and follows the word of nobody but its leader", func() {
		c := newCluster(9, 3)
		leader := c.heal()
		follower := without(c.names, leader)[0]
		stranger := without(without(c.names, leader), follower)[0]
		node := c.members[follower].node
		node.Step(c.now, Message{Kind: StandForElection, From: stranger, To: follower, Term: node.Term()})
		Expect(node.Role()).To(Equal(Follower))
		Expect(node.HandOver(c.now, avoidNone)).To(BeFalse())
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
		Expect(c.members[leader].node.HandOver(c.now, avoidNone)).To(BeFalse())
	})

	ginkgo.It("does not lose its leader to a member that comes back from a cut", func() {
		c := newCluster(7, 3)
		leader := c.heal()
		away := c.names[0]
		if away == leader {
			away = c.names[1]
		}
		for _, name := range c.names {
			c.blocked[[2]string{away, name}] = true
			c.blocked[[2]string{name, away}] = true
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

// play lets faults happen: never more lost than a majority of the founders can bear for ever, but any number for a while.
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
				c.members[leader].node.HandOver(c.now, avoidNone)
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

// change moves a member to another place: a newcomer follows, then votes; a founder that is gone is let go.
func (c *cluster) changeMembership(leader string, round int) {
	if leader == "" {
		return
	}
	node := c.members[leader].node
	group := node.Group()
	if group.Joint() {
		_ = node.EndReplacement(c.now, c.random.IntN(2) == 0)
	} else if len(group.Learners) > 0 {
		learner := group.Learners[0]
		if _, caughtUp := node.Silence(learner); caughtUp {
			_ = node.ProposeGroup(c.now, c.promoteLearner(group, learner))
		}
	} else if len(group.Voters) > 4 {
		for _, voter := range group.Voters {
			if silence, _ := node.Silence(voter); silence > testElection {
				_ = node.ProposeGroup(c.now, group.With(voter, Out))
				break
			}
		}
	} else {
		name := fmt.Sprintf("n%d", round)
		c.add(name)
		_ = node.ProposeGroup(c.now, group.With(name, AsLearner))
	}
	c.processReady(leader, false)
}

func (c *cluster) compact(name string) {
	m := c.members[name]
	if !m.running {
		return
	}
	if _, done := m.node.Compact(m.node.Applied(), []byte("state")); done {
		m.disk = m.node.Stored()
	}
}
