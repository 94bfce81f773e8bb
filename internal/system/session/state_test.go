package session

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func join(node, incarnation string, role Role) Command {
	return Command{Kind: Join, Member: Member{Node: node, Incarnation: incarnation, Role: role}}
}

func joinStore(node, disk string, founder bool) Command {
	return Command{Kind: Join, Member: Member{Node: node, Incarnation: node + disk, Role: Store, Disk: disk, BootstrapDisk: founder}}
}

var _ = ginkgo.Describe("The session table", func() {
	var state *State

	ginkgo.BeforeEach(func() { state = NewState() })

	apply := func(commands ...Command) {
		for _, command := range commands {
			state.Apply(command)
		}
	}
	counted := func() []string {
		var ids []string
		for id, disk := range state.Disks() {
			if disk.Counted {
				ids = append(ids, id)
			}
		}
		return ids
	}

	ginkgo.It("assigns a departed carrier to the one with the fewest adoptions, and leaves it there", func() {
		apply(join("a", "a1", Carrier), join("b", "b1", Carrier), join("c", "c1", Carrier))
		apply(Command{Kind: Leave, Incarnation: "a1"})
		first := state.Departed()[0].Adopter
		apply(join("d", "d1", Carrier))
		Expect(state.Departed()[0].Adopter).To(Equal(first))
		apply(Command{Kind: Leave, Incarnation: first})
		Expect(state.Departed()).To(HaveLen(2))
		for _, gone := range state.Departed() {
			Expect(gone.Adopter).NotTo(Equal(first))
			Expect(gone.Adopter).NotTo(BeEmpty())
		}
	})

	ginkgo.It("keeps a departed carrier that one settles who is not its adopter any more", func() {
		apply(join("a", "a1", Carrier), join("b", "b1", Carrier), Command{Kind: Leave, Incarnation: "a1"})
		apply(join("c", "c1", Carrier), Command{Kind: Leave, Incarnation: "b1"})
		settle := func(adopter string) { apply(Command{Kind: SettleDeparted, Incarnation: "a1", Adopter: adopter}) }
		settle("b1")
		Expect(state.Departed()).To(ContainElement(Departed{Incarnation: "a1", Adopter: "c1"}))
		settle("c1")
		Expect(state.Departed()).To(Equal([]Departed{{Incarnation: "b1", Adopter: "c1"}}))
	})

	ginkgo.It("ends the earlier incarnation of a process when it joins again", func() {
		apply(join("a", "a1", Carrier), join("a", "a2", Carrier))
		Expect(state.Members(Carrier)).To(HaveLen(1))
		Expect(state.Departed()).To(Equal([]Departed{{Incarnation: "a1", Adopter: "a2"}}))
	})

	ginkgo.It("returns its messages to a carrier whose session was lost while the process was alive", func() {
		apply(join("a", "a1", Carrier), join("b", "b1", Carrier), Command{Kind: Leave, Incarnation: "a1"})
		Expect(state.Departed()[0].Adopter).To(Equal("b1"))
		rejoined := join("a", "a2", Carrier)
		rejoined.Member.Replaces = "a1"
		apply(rejoined)
		Expect(state.Departed()[0].Adopter).To(Equal("a2"))
	})

	ginkgo.It("assigns an adopter once the first carrier joins", func() {
		apply(join("a", "a1", Carrier), Command{Kind: Leave, Incarnation: "a1"})
		Expect(state.Departed()[0].Adopter).To(BeEmpty())
		apply(join("b", "b1", Carrier))
		Expect(state.Departed()[0].Adopter).To(Equal("b1"))
		apply(Command{Kind: SettleDeparted, Incarnation: "a1"})
		Expect(state.Departed()).To(BeEmpty())
	})

	ginkgo.It("counts bootstrap disks at once, and a new one only after its backfill, in place of a lost one", func() {
		apply(joinStore("x", "d1", true), joinStore("y", "d2", true), joinStore("z", "d3", true))
		Expect(counted()).To(ConsistOf("d1", "d2", "d3"))
		epoch := state.Epoch()
		apply(Command{Kind: Leave, Incarnation: "xd1"}, joinStore("w", "d4", false))
		Expect(counted()).To(ConsistOf("d1", "d2", "d3"))
		apply(Command{Kind: CountDisk, Disk: "d4"})
		Expect(counted()).To(ConsistOf("d2", "d3", "d4"))
		Expect(state.Epoch()).To(BeNumerically(">", epoch))
	})

	ginkgo.It("does not take a replaced disk that returns for a bootstrap disk", func() {
		apply(joinStore("x", "d1", true), joinStore("y", "d2", true), joinStore("z", "d3", true),
			Command{Kind: Leave, Incarnation: "xd1"}, joinStore("w", "d4", false), Command{Kind: CountDisk, Disk: "d4"})
		apply(joinStore("x", "d1", true))
		Expect(counted()).To(ConsistOf("d2", "d3", "d4"))
	})

	ginkgo.It("replaces the lost disk of the same machine first", func() {
		apply(joinStore("x", "d1", true), joinStore("y", "d2", true), joinStore("z", "d3", true),
			Command{Kind: Leave, Incarnation: "yd2"}, joinStore("x", "d4", false), Command{Kind: CountDisk, Disk: "d4"})
		Expect(counted()).To(ConsistOf("d2", "d3", "d4"))
	})

	ginkgo.It("lets a spare disk, and no other, take the place of one that is lost later", func() {
		apply(joinStore("x", "d1", true), joinStore("y", "d2", true), joinStore("w", "d4", false), Command{Kind: CountDisk, Disk: "d4"})
		Expect(counted()).To(ConsistOf("d1", "d2", "d4"))
		apply(Command{Kind: Leave, Incarnation: "xd1"}, Command{Kind: CountDisk, Disk: "d2"})
		Expect(counted()).To(ConsistOf("d1", "d2", "d4"))
		apply(Command{Kind: CountDisk, Disk: "d4"})
		Expect(counted()).To(ConsistOf("d2", "d4"))
	})

	ginkgo.It("forgets a disk that left before its backfill was complete", func() {
		apply(joinStore("w", "d4", false), Command{Kind: Leave, Incarnation: "wd4"})
		Expect(state.Disks()).To(BeEmpty())
	})

	ginkgo.It("is the same after a restored snapshot", func() {
		apply(join("a", "a1", Carrier), joinStore("x", "d1", true), Command{Kind: Leave, Incarnation: "a1"})
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := NewState()
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored).To(Equal(state))
	})
})
