package session

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A machine that is emptied", func() {
	store := func(node, incarnation string) Member {
		return Member{Incarnation: incarnation, Node: node, Role: Store, Address: node, Disk: "disk of " + node, Founder: true}
	}
	var state *State

	ginkgo.BeforeEach(func() {
		state = NewState()
		for i := range 4 {
			node := fmt.Sprint("storage-", i)
			state.Apply(Command{Kind: Join, Member: store(node, node+"+1")})
		}
	})

	ginkgo.It("stays in the roster as leaving until all lies on enough other disks", func() {
		epoch := state.Epoch()
		state.Apply(Command{Kind: DiskEmptied, Disk: "disk of storage-1"})
		Expect(state.Retirement("storage-1")).To(Equal(Staying), "nobody asked for it")
		state.Apply(Command{Kind: Retire, Node: "storage-1"})
		Expect(state.Retirement("storage-1")).To(Equal(Running))
		Expect(state.Epoch()).To(BeNumerically(">", epoch), "nothing more is put there")
		epoch = state.Epoch()
		state.Apply(Command{Kind: DiskEmptied, Disk: "disk of storage-1"})
		Expect(state.Retirement("storage-1")).To(Equal(Emptied))
		Expect(state.Epoch()).To(BeNumerically(">", epoch))
		Expect(state.Disks()).To(HaveLen(3))
	})

	ginkgo.It("stays emptied when its store renews its session", func() {
		state.Apply(Command{Kind: Retire, Node: "storage-1"})
		state.Apply(Command{Kind: DiskEmptied, Disk: "disk of storage-1"})
		state.Apply(Command{Kind: Join, Member: store("storage-1", "storage-1+2")})
		Expect(state.Retirement("storage-1")).To(Equal(Emptied))
		Expect(state.Disks()).To(HaveLen(3))
	})

	ginkgo.It("joins as another with a fresh disk", func() {
		state.Apply(Command{Kind: Retire, Node: "storage-1"})
		state.Apply(Command{Kind: DiskEmptied, Disk: "disk of storage-1"})
		fresh := store("storage-1", "storage-1+2")
		fresh.Disk, fresh.Founder = "another disk", false
		state.Apply(Command{Kind: Join, Member: fresh})
		Expect(state.Retirement("storage-1")).To(Equal(Staying))
		Expect(state.Disks()).To(HaveKey("another disk"))
	})
})
