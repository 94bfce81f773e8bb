package keeper

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/session"
)

var _ = Describe("A machine that is emptied while another is lost", func() {
	const leaver, lost, added = 1, 3, 4
	node := "storage-10.0.0.1"

	// four gives three founders and a newcomer, with their stores.
	four := func() *fleet {
		t := newTrio()
		for i := range 3 {
			t.store(i + 1)
		}
		t.join(addressOf(added))
		t.store(added)
		return t
	}
	retire := func(t *fleet) {
		var failure error
		t.cores[t.leader(SessionGroup)].RetireMachine(t.now, node, func(err error) { failure = err })
		t.settleAll()
		Expect(failure).NotTo(HaveOccurred())
	}
	// report does what the joiners do.
	report := func(t *fleet) {
		for _, core := range t.cores {
			for _, departure := range core.Departures(t.now) {
				t.cores[t.leader(SessionGroup)].GroupLeft(t.now, departure.Node, departure.Group, func(error) {})
			}
		}
		t.settleAll()
	}
	retired := func(t *fleet) bool {
		var told bool
		t.cores[t.leader(SessionGroup)].Retired(t.now, node, func(emptied bool, err error) {
			Expect(err).NotTo(HaveOccurred())
			told = emptied
		})
		t.settleAll()
		return told
	}
	votes := func(t *fleet, number int) int {
		count := 0
		for id := range Groups {
			for _, voter := range t.cores[t.leader(id)].groups[id].node.Group().Voters {
				if AddressOf(voter) == addressOf(number) {
					count++
				}
			}
		}
		return count
	}

	It("keeps its votes until the lost one has a successor, and each group three live voters then", func() {
		t := four()
		retire(t)
		delete(t.cores, addressOf(lost))
		for range 30 {
			t.pass(100 * time.Millisecond)
			report(t)
			for id := range Groups {
				leader := t.cores[t.leader(id)]
				if leader == nil {
					continue // it was the lost one
				}
				group := leader.groups[id].node.Group()
				if !group.Has(addressOf(leaver)) {
					Expect(len(live(leader.groups[id].node, group.Voters))).To(BeNumerically(">=", 3), "group %d: %v", id, group.Voters)
				}
			}
		}
		Expect(votes(t, leaver)).To(Equal(Groups), "with two others the groups could lose no one more")
		Expect(votes(t, lost)).To(BeZero())
		Expect(retired(t)).To(BeFalse())
		// The lost machine is back with an empty disk.
		t.join(addressOf(lost))
		for range 30 {
			t.pass(100 * time.Millisecond)
			report(t)
		}
		Expect(votes(t, leaver)).To(BeZero())
		Expect(votes(t, lost)).To(Equal(Groups))
	})

	It("is told as empty only once its disk and all groups do without it", func() {
		t := four()
		retire(t)
		for range 20 {
			t.pass(100 * time.Millisecond)
		}
		Expect(retired(t)).To(BeFalse(), "nobody has said that its disk is empty")
		var failure error
		t.cores[t.leader(SessionGroup)].DiskEmptied(t.now, "disk of 10.0.0.1", 0, func(err error) { failure = err })
		t.settleAll()
		Expect(failure).NotTo(HaveOccurred())
		Expect(votes(t, leaver)).To(BeZero())
		Expect(retired(t)).To(BeFalse(), "no leader has told that its group does without it")
		report(t)
		Expect(retired(t)).To(BeFalse(), "the group of the sessions lets its machine go once the others have told that they did")
		for range 5 {
			t.pass(100 * time.Millisecond)
			report(t)
		}
		Expect(retired(t)).To(BeTrue())
	})

	It("keeps its disk in the roster while another that counts has no live store", func() {
		t := four()
		retire(t)
		leader := t.cores[t.leader(SessionGroup)]
		leader.CloseSession(t.now, "store+10.0.0.2", func(error) {})
		t.settleAll()
		var failure error
		leader.DiskEmptied(t.now, "disk of 10.0.0.1", 0, func(err error) { failure = err })
		t.settleAll()
		Expect(failure).To(BeAssignableToTypeOf(&MissingDiskError{}))
		leader.proposeSession(session.Command{Kind: session.DiskEmptied, Disk: "disk of 10.0.0.1"}, func(error) {})
		t.settleAll()
		Expect(leader.sessions.Retirement(node)).To(Equal(session.Running), "the table itself refuses it")
	})
})

var _ = Describe("A keeper", func() {
	It("remembers who sent it messages, and whom others named, for when it hears no leader", func() {
		t := newTrio()
		t.start(addressOf(7), FreshIdentity(addressOf(7), "x"), nil)
		newcomer := t.cores[addressOf(7)]
		Expect(newcomer.Keepers()).To(BeEmpty())
		newcomer.Heard(addressOf(1))
		Expect(newcomer.Keepers()).To(ContainElement(addressOf(1)))
		for i := range 3 * maxKnown {
			newcomer.Heard(addressOf(100 + i))
		}
		Expect(len(newcomer.Keepers())).To(BeNumerically("<=", maxKnown+1))
	})

	It("connects to no machine that is gone while it hears a leader of each group", func() {
		t := newTrio()
		founder := t.cores[addressOf(1)]
		founder.Heard(addressOf(9))
		Expect(founder.Keepers()).NotTo(ContainElement(addressOf(9)))
	})

	It("gives a voter's place to another at once where the same machine has come with an empty disk", func() {
		t := newTrio()
		delete(t.cores, addressOf(3))
		t.pass(700 * time.Millisecond)
		t.join(addressOf(3))
		for id := range Groups {
			group := t.cores[t.leader(id)].groups[id].node.Group()
			Expect(group.Voters).To(HaveLen(3))
			Expect(group.Has(addressOf(3))).To(BeFalse())
		}
	})

	It("tells that a group is not whole while a voter is missing, and that it is once it has a successor", func() {
		t := newTrio()
		t.join(addressOf(4))
		whole := func() int {
			count := 0
			for id := range Groups {
				leader := t.cores[t.leader(id)]
				if leader == nil {
					continue
				}
				if is, _ := leader.Whole(id); is {
					count++
				}
			}
			return count
		}
		Expect(whole()).To(Equal(Groups))
		delete(t.cores, addressOf(2))
		t.pass(memberHeard + 100*time.Millisecond)
		Expect(whole()).To(BeZero())
		t.pass(4 * time.Second)
		Expect(whole()).To(Equal(Groups))
	})
})
