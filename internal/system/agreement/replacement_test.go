package agreement

import (
	"fmt"
	"slices"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A voter replacement", func() {
	for _, cancelled := range []bool{false, true} {
		ginkgo.It(fmt.Sprintf("replaces a voter by a new member, and accepts no other change until it has ended; cancelled: %t", cancelled), func() {
			c := newCluster(10, 3)
			leader := c.heal()
			c.add("new")
			node := c.members[leader].node
			Expect(node.ProposeMembership(c.now, node.Membership().With("new", Learner))).To(Succeed())
			c.processReady(leader, false)
			for range 2000 {
				c.step()
			}
			Expect(c.leader()).To(Equal(leader))
			replaced := without(c.names[:3], leader)[0]
			c.members[replaced].running = false
			Expect(node.ProposeMembership(c.now, node.Membership().Replace(replaced, "new", NotMember))).To(Succeed())
			Expect(node.Membership().Outgoing).To(ConsistOf("m1", "m2", "m3"))
			Expect(node.ProposeMembership(c.now, node.Membership().With("other", Learner))).To(MatchError(&ChangePendingError{}))
			c.processReady(leader, false)
			for range 2000 {
				c.step()
			}
			Expect(node.MembershipStable()).To(BeFalse())
			Expect(node.LeaveJoint(c.now, cancelled)).To(Succeed())
			c.processReady(leader, false)
			for range 2000 {
				c.step()
			}
			Expect(node.MembershipStable()).To(BeTrue())
			wanted := Membership{Voters: slices.Sorted(slices.Values(append(without(c.names[:3], replaced), "new")))}
			if cancelled {
				wanted = Membership{Voters: c.names[:3], Learners: []string{"new"}}
			}
			Expect(node.Membership()).To(Equal(wanted))
			Expect(c.violations).To(BeEmpty())
		})
	}

	for _, unreachable := range []string{"before", "after"} {
		ginkgo.It("commits nothing during joint consensus while a majority of the voters "+unreachable+" the change does not respond", func() {
			c := newCluster(11, 3)
			leader := c.heal()
			node := c.members[leader].node
			others := without(c.names, leader)
			group := Membership{Voters: []string{leader, "n1", "n2"}, Outgoing: slices.Clone(c.names)}
			c.add("n1")
			c.add("n2")
			Expect(node.ProposeMembership(c.now, group)).To(Succeed())
			committed := node.log.committed
			responding := []string{"n1", "n2"}
			if unreachable == "after" {
				responding = others
			}
			for _, name := range responding {
				node.handleAppendResponse(Message{Kind: AppendResponse, From: name, Term: node.Term(), Index: node.log.lastIndex(), SentAt: c.now})
			}
			ready := node.Ready()
			node.Persisted(&ready)
			Expect(node.log.committed).To(Equal(committed))
			node.now += testElection + testHeartbeat
			Expect(node.QuorumActive(testHeartbeat)).To(BeFalse())
			for _, name := range append(others, "n1", "n2") {
				node.handleAppendResponse(Message{Kind: AppendResponse, From: name, Term: node.Term(), Index: node.log.lastIndex(), SentAt: node.now})
			}
			Expect(node.log.committed).To(BeNumerically(">", committed))
			Expect(node.LeaveJoint(node.now, false)).To(Succeed())
			Expect(node.Membership().Joint()).To(BeFalse())
		})
	}
})

// promoteLearner returns a membership in which the learner is a voter, in half of the cases in place of another voter.
func (c *cluster) promoteLearner(group Membership, learner string) Membership {
	if c.random.IntN(2) == 0 {
		return group.With(learner, Voter)
	}
	replaced := group.Voters[c.random.IntN(len(group.Voters))]
	return group.Replace(replaced, learner, []MemberRole{NotMember, Learner}[c.random.IntN(2)])
}
