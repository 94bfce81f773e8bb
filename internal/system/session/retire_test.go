package session

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A machine that is drained", func() {
	store := func(node, incarnation string) Member {
		return Member{Incarnation: incarnation, Node: node, Role: Store, Address: node, Disk: "disk of " + node, BootstrapDisk: true}
	}
	var state *State

	ginkgo.BeforeEach(func() {
		state = NewState()
		for i := range 4 {
			node := fmt.Sprint("storage-", i)
			state.Apply(Command{Kind: Join, Member: store(node, node+"+1")})
		}
	})

	ginkgo.It("stays in the roster as leaving until all its messages have enough replicas on other disks", func() {
		epoch := state.Epoch()
		state.Apply(Command{Kind: DiskDrained, Disk: "disk of storage-1"})
		Expect(state.Retirement("storage-1")).To(Equal(NotRetiring), "no retirement was ordered")
		state.Apply(Command{Kind: Retire, Node: "storage-1"})
		Expect(state.Retirement("storage-1")).To(Equal(Draining))
		Expect(state.Epoch()).To(BeNumerically(">", epoch), "nothing more is written there")
		epoch = state.Epoch()
		state.Apply(Command{Kind: DiskDrained, Disk: "disk of storage-1"})
		Expect(state.Retirement("storage-1")).To(Equal(Drained))
		Expect(state.Epoch()).To(BeNumerically(">", epoch))
		Expect(state.Disks()).To(HaveLen(3))
	})

	ginkgo.It("stays drained when its store renews its session", func() {
		state.Apply(Command{Kind: Retire, Node: "storage-1"})
		state.Apply(Command{Kind: DiskDrained, Disk: "disk of storage-1"})
		state.Apply(Command{Kind: Join, Member: store("storage-1", "storage-1+2")})
		Expect(state.Retirement("storage-1")).To(Equal(Drained))
		Expect(state.Disks()).To(HaveLen(3))
	})

	ginkgo.It("stays out even with a new disk, and joins as a new machine from another address", func() {
		state.Apply(Command{Kind: Retire, Node: "storage-1"})
		state.Apply(Command{Kind: DiskDrained, Disk: "disk of storage-1"})
		fresh := store("storage-1", "storage-1+2")
		fresh.Disk, fresh.BootstrapDisk = "another disk", false
		state.Apply(Command{Kind: Join, Member: fresh})
		Expect(state.Retirement("storage-1")).To(Equal(Drained), "the operator who ordered it still polls for the result")
		Expect(state.Disks()).NotTo(HaveKey("another disk"))
		fresh.Incarnation, fresh.Address = "storage-1+3", "another address"
		state.Apply(Command{Kind: Join, Member: fresh})
		Expect(state.Retirement("storage-1")).To(Equal(NotRetiring))
		Expect(state.Disks()).To(HaveKey("another disk"))
	})

	ginkgo.It("is known by its address when its store has left, until it returns at another address", func() {
		state.Apply(Command{Kind: Retire, Node: "storage-1"})
		state.Apply(Command{Kind: DiskDrained, Disk: "disk of storage-1"})
		state.Apply(Command{Kind: Leave, Incarnation: "storage-1+1"})
		Expect(state.LeavingAddresses()).To(ConsistOf("storage-1"))
		Expect(state.MachinesNotRemoved(2)).To(Equal(map[string]string{"storage-1": "storage-1"}))
		state.Apply(Command{Kind: GroupRemovedNode, Node: "storage-1", Group: 2})
		Expect(state.MachinesNotRemoved(2)).To(BeEmpty())
		Expect(state.HasLeft("storage-1", 1)).To(BeTrue())
		Expect(state.HasLeft("storage-1", 2)).To(BeFalse())
		fresh := store("storage-1", "storage-1+2")
		fresh.Disk, fresh.BootstrapDisk, fresh.Address = "another disk", false, "another address"
		state.Apply(Command{Kind: Join, Member: fresh})
		Expect(state.LeavingAddresses()).To(BeEmpty())
		Expect(state.HasLeft("storage-1", 1)).To(BeFalse())
	})

	ginkgo.It("is known from snapshots of versions that stored no addresses", func() {
		state.Apply(Command{Kind: Retire, Node: "storage-1"})
		state.retirements = map[string]retirement{}
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := NewState()
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored.LeavingAddresses()).To(ConsistOf("storage-1"))
	})

	ginkgo.It("removes the same one of several lost disks of a machine at every replica", func() {
		for range 40 {
			replica := NewState()
			for i := range 3 {
				member := store(fmt.Sprint("storage-", i), fmt.Sprint(i))
				replica.Apply(Command{Kind: Join, Member: member})
			}
			for _, disk := range []string{"b", "a", "c"} {
				other := store("storage-9", "storage-9+"+disk)
				other.Disk = disk
				replica.Apply(Command{Kind: Join, Member: other})
			}
			newcomer := store("storage-9", "storage-9+new")
			newcomer.Disk, newcomer.BootstrapDisk = "new", false
			replica.Apply(Command{Kind: Join, Member: newcomer})
			replica.Apply(Command{Kind: CountDisk, Disk: "new"})
			Expect(replica.Disks()).NotTo(HaveKey("a"))
			Expect(replica.Disks()).To(HaveKey("b"))
		}
	})

	ginkgo.It("is drained again if it lost its disk meanwhile, and is never unknown", func() {
		state.Apply(Command{Kind: Retire, Node: "storage-1"})
		state.Apply(Command{Kind: Leave, Incarnation: "storage-1+1"})
		fresh := store("storage-1", "storage-1+2")
		fresh.Disk, fresh.BootstrapDisk = "another disk", false
		state.Apply(Command{Kind: Join, Member: fresh})
		Expect(state.Retirement("storage-1")).To(Equal(Draining))
		state.Apply(Command{Kind: CountDisk, Disk: "another disk"})
		Expect(state.Disks()).NotTo(HaveKey("disk of storage-1"))
		Expect(state.Disks()["another disk"].Leaving).To(BeTrue())
		Expect(state.Retirement("storage-1")).To(Equal(Draining))
		state.Apply(Command{Kind: DiskDrained, Disk: "another disk"})
		Expect(state.Retirement("storage-1")).To(Equal(Drained))
	})
})

var _ = ginkgo.Describe("A spare disk", func() {
	store := func(node, disk string, founder bool) Command {
		return Command{Kind: Join, Member: Member{Incarnation: node + "+" + disk, Node: node, Role: Store, Address: node, Disk: disk, BootstrapDisk: founder}}
	}
	var state *State

	ginkgo.BeforeEach(func() {
		state = NewState()
		for _, node := range []string{"a", "b", "c"} {
			state.Apply(store(node, "disk of "+node, true))
		}
		state.Apply(store("d", "disk of d", false))
		state.Apply(Command{Kind: CountDisk, Disk: "disk of d"})
	})
	spares := func() (found []string) {
		for id, disk := range state.Disks() {
			if disk.Spare {
				found = append(found, id)
			}
		}
		return found
	}

	ginkgo.It("that is lost makes a live disk the spare, which can take its place", func() {
		Expect(spares()).To(ConsistOf("disk of d"))
		state.Apply(Command{Kind: Leave, Incarnation: "d+disk of d"})
		Expect(spares()).To(ConsistOf("disk of a"))
		state.Apply(Command{Kind: CountDisk, Disk: "disk of a"})
		Expect(state.Disks()).To(HaveLen(3))
		Expect(state.Disks()).NotTo(HaveKey("disk of d"))
		Expect(spares()).To(BeEmpty())
	})

	ginkgo.It("becomes a regular disk once another was drained", func() {
		state.Apply(Command{Kind: Retire, Node: "b"})
		state.Apply(Command{Kind: DiskDrained, Disk: "disk of b"})
		Expect(spares()).To(BeEmpty())
	})
})
