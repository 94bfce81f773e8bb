package keeper

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/session"
)

var _ = Describe("A machine that is drained while another is lost", func() {
	const leaver, lost, added = 1, 3, 4
	node := "storage-10.0.0.1"

	// newFourKeepers returns three bootstrap members and a keeper that joined later, with their stores.
	newFourKeepers := func() *cluster {
		t := newThreeKeepers()
		for i := range 3 {
			t.openStoreSession(i + 1)
		}
		t.join(addressOf(added))
		t.openStoreSession(added)
		return t
	}
	retire := func(t *cluster) {
		var failure error
		t.cores[t.leader(SessionGroup)].RetireMachine(t.now, node, func(err error) { failure = err })
		t.deliverAll()
		Expect(failure).NotTo(HaveOccurred())
	}
	// report reports departures as the joiners do.
	report := func(t *cluster) {
		for _, core := range t.cores {
			for _, departure := range core.Departures(t.now) {
				t.cores[t.leader(SessionGroup)].GroupRemovedNode(t.now, departure.Node, departure.Group, func(error) {})
			}
		}
		t.deliverAll()
	}
	retired := func(t *cluster) bool {
		var result bool
		t.cores[t.leader(SessionGroup)].Retired(t.now, node, func(emptied bool, err error) {
			Expect(err).NotTo(HaveOccurred())
			result = emptied
		})
		t.deliverAll()
		return result
	}
	votes := func(t *cluster, number int) int {
		count := 0
		for id := range Groups {
			for _, voter := range t.cores[t.leader(id)].groups[id].node.Membership().Voters {
				if AddressOf(voter) == addressOf(number) {
					count++
				}
			}
		}
		return count
	}

	It("keeps its votes until the lost machine is replaced, so that each group has three live voters afterwards", func() {
		t := newFourKeepers()
		retire(t)
		delete(t.cores, addressOf(lost))
		for range 30 {
			t.advance(100 * time.Millisecond)
			report(t)
			for id := range Groups {
				leader := t.cores[t.leader(id)]
				if leader == nil {
					continue // the leader was the lost keeper
				}
				group := leader.groups[id].node.Membership()
				if !group.Has(addressOf(leaver)) {
					Expect(len(liveMembers(leader.groups[id].node, group.Voters))).To(BeNumerically(">=", 3), "group %d: %v", id, group.Voters)
				}
			}
		}
		Expect(votes(t, leaver)).To(Equal(Groups), "with only two other voters the groups could lose no more")
		Expect(votes(t, lost)).To(BeZero())
		Expect(retired(t)).To(BeFalse())
		// The lost machine returns with an empty disk.
		t.join(addressOf(lost))
		for range 30 {
			t.advance(100 * time.Millisecond)
			report(t)
		}
		Expect(votes(t, leaver)).To(BeZero())
		Expect(votes(t, lost)).To(Equal(Groups))
	})

	It("is reported as retired only once its disk is drained and all groups have removed it", func() {
		t := newFourKeepers()
		retire(t)
		for range 20 {
			t.advance(100 * time.Millisecond)
		}
		Expect(retired(t)).To(BeFalse(), "its disk was not reported as drained")
		var failure error
		t.cores[t.leader(SessionGroup)].DiskDrained(t.now, "disk of 10.0.0.1", 0, func(err error) { failure = err })
		t.deliverAll()
		Expect(failure).NotTo(HaveOccurred())
		Expect(votes(t, leaver)).To(BeZero())
		Expect(retired(t)).To(BeFalse(), "no leader has reported that its group has removed it")
		report(t)
		Expect(retired(t)).To(BeFalse(), "the session group removes its keeper only after the other groups have reported that they did")
		for range 5 {
			t.advance(100 * time.Millisecond)
			report(t)
		}
		Expect(retired(t)).To(BeTrue())
	})

	It("keeps its disk in the roster while another counted disk has no live store", func() {
		t := newFourKeepers()
		retire(t)
		leader := t.cores[t.leader(SessionGroup)]
		leader.CloseSession(t.now, "store+10.0.0.2", func(error) {})
		t.deliverAll()
		var failure error
		leader.DiskDrained(t.now, "disk of 10.0.0.1", 0, func(err error) { failure = err })
		t.deliverAll()
		Expect(failure).To(BeAssignableToTypeOf(&MissingDiskError{}))
		leader.proposeSession(session.Command{Kind: session.DiskDrained, Disk: "disk of 10.0.0.1"}, func(error) {})
		t.deliverAll()
		Expect(leader.sessions.Retirement(node)).To(Equal(session.Draining), "the table itself refuses it")
	})
})

var _ = Describe("A keeper", func() {
	It("remembers keepers that sent it messages or were named by others, for use while it knows no leader", func() {
		t := newThreeKeepers()
		t.start(addressOf(7), FreshIdentity(addressOf(7), "x"), nil)
		newcomer := t.cores[addressOf(7)]
		Expect(newcomer.Keepers()).To(BeEmpty())
		newcomer.RememberKeeper(addressOf(1))
		Expect(newcomer.Keepers()).To(ContainElement(addressOf(1)))
		for i := range 3 * maxKnownAddresses {
			newcomer.RememberKeeper(addressOf(100 + i))
		}
		Expect(len(newcomer.Keepers())).To(BeNumerically("<=", maxKnownAddresses+1))
	})

	It("does not connect to lost machines while it knows a leader of each group", func() {
		t := newThreeKeepers()
		bootstrapMember := t.cores[addressOf(1)]
		bootstrapMember.RememberKeeper(addressOf(9))
		Expect(bootstrapMember.Keepers()).NotTo(ContainElement(addressOf(9)))
	})

	It("replaces a voter at once if its machine returns with an empty disk", func() {
		t := newThreeKeepers()
		delete(t.cores, addressOf(3))
		t.advance(700 * time.Millisecond)
		t.join(addressOf(3))
		for id := range Groups {
			group := t.cores[t.leader(id)].groups[id].node.Membership()
			Expect(group.Voters).To(HaveLen(3))
			Expect(group.Has(addressOf(3))).To(BeFalse())
		}
	})

	It("reports a group as unable to survive a loss while a voter is missing, and as able once it is replaced", func() {
		t := newThreeKeepers()
		t.join(addressOf(4))
		whole := func() int {
			count := 0
			for id := range Groups {
				leader := t.cores[t.leader(id)]
				if leader == nil {
					continue
				}
				if is, _ := leader.SurvivesLoss(id); is {
					count++
				}
			}
			return count
		}
		Expect(whole()).To(Equal(Groups))
		delete(t.cores, addressOf(2))
		t.advance(memberLiveWindow + 100*time.Millisecond)
		Expect(whole()).To(BeZero())
		t.advance(4 * time.Second)
		Expect(whole()).To(Equal(Groups))
	})
})
