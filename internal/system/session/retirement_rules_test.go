package session

import (
	"errors"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/tolerance"
)

// newStoreTable returns a table with machines whose disks count, in zones a, b and c in turn.
func newStoreTable(machines int, tolerated *tolerance.Tolerance) *State {
	state := NewState()
	if tolerated != nil {
		state.Apply(Command{Kind: SetTolerance, Tolerance: tolerated})
	}
	for i := range machines {
		state.Apply(joinOf(i, true))
	}
	return state
}

func nodeOf(i int) string { return fmt.Sprint("storage-", i) }

func diskOf(i int) string { return "disk of " + nodeOf(i) }

func joinOf(i int, founder bool) Command {
	node := nodeOf(i)
	return Command{Kind: Join, Member: Member{Incarnation: node + "+1", Node: node, Role: Store, Zone: string(rune('a' + i%3)), Address: node,
		Disk: diskOf(i), BootstrapDisk: founder}}
}

func leaveOf(i int) Command { return Command{Kind: Leave, Incarnation: nodeOf(i) + "+1"} }

// leavingNodes returns the machines whose disks are leaving.
func leavingNodes(state *State) []string {
	var nodes []string
	for _, disk := range state.Disks() {
		if disk.Leaving {
			nodes = append(nodes, disk.Member.Node)
		}
	}
	return nodes
}

var _ = ginkgo.Describe("Orders to drain machines", func() {
	oneMachine := &tolerance.Tolerance{Machines: 1}
	retire := func(state *State, i int) error { return state.Apply(Command{Kind: Retire, Node: nodeOf(i)}) }

	ginkgo.It("are each checked against the disks that earlier orders have left", func() {
		state := newStoreTable(5, oneMachine)
		Expect(retire(state, 0)).To(Succeed())
		Expect(retire(state, 1)).To(Succeed())
		err := retire(state, 2)
		var tooFew *TooFewDisksError
		Expect(errors.As(err, &tooFew)).To(BeTrue(), "got %v", err)
		Expect(err.Error()).To(Equal("2 disks would be left, 3 are needed (being emptied: storage-0, storage-1); add a machine with a disk first, or cancel another emptying"))
		Expect(leavingNodes(state)).To(ConsistOf("storage-0", "storage-1"))
		Expect(retire(state, 1)).To(Succeed(), "a repeated order is acknowledged again")
		Expect(retire(state, 9)).To(BeAssignableToTypeOf(&UnknownMachineError{}))
	})

	ginkgo.It("wait for a machine that is being backfilled", func() {
		state := newStoreTable(3, oneMachine)
		state.Apply(joinOf(3, false))
		Expect(retire(state, 0)).To(Succeed())
		Expect(state.Retirement(nodeOf(0))).To(Equal(Draining))
		Expect(leavingNodes(state)).To(BeEmpty(), "three accept messages, and one of them is to leave")
		Expect(retire(state, 1)).To(BeAssignableToTypeOf(&TooFewDisksError{}), "two would remain once all count")
		state.Apply(Command{Kind: CountDisk, Disk: diskOf(3)})
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0)))
	})

	ginkgo.It("wait for a store that has no session", func() {
		state := newStoreTable(4, oneMachine)
		state.Apply(leaveOf(3))
		Expect(retire(state, 0)).To(Succeed())
		Expect(leavingNodes(state)).To(BeEmpty())
		state.Apply(joinOf(3, true))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0)))
	})

	ginkgo.It("are reversed, the latest first, if too few disks accept messages, and start again", func() {
		state := newStoreTable(5, oneMachine)
		retire(state, 0)
		retire(state, 1)
		state.Apply(leaveOf(2))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0), nodeOf(1)), "two are enough for a message")
		epoch := state.Epoch()
		state.Apply(leaveOf(3))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0)))
		Expect(state.Epoch()).To(BeNumerically(">", epoch), "carriers write messages there again")
		Expect(state.Retirement(nodeOf(1))).To(Equal(Draining))
		state.Apply(joinOf(2, true))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0)), "three accept messages, and one of them is to leave")
		state.Apply(joinOf(3, true))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0), nodeOf(1)))
	})

	ginkgo.It("are not reversed if that would not suffice either", func() {
		state := newStoreTable(4, oneMachine)
		retire(state, 0)
		for i := range 4 {
			state.Apply(leaveOf(i))
		}
		state.Apply(joinOf(0, true))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0)), "a single disk can accept no message")
		state.Apply(joinOf(1, true))
		Expect(leavingNodes(state)).To(BeEmpty())
	})

	ginkgo.It("are reversed if an earlier version started more of them than the roster allows", func() {
		state := newStoreTable(4, nil)
		for i := range 4 {
			Expect(retire(state, i)).To(Succeed())
		}
		Expect(leavingNodes(state)).To(HaveLen(4))
		state.Apply(Command{Kind: SetTolerance, Tolerance: oneMachine})
		Expect(leavingNodes(state)).To(HaveLen(2), "as many disks accept messages as a message needs")
		state.Apply(joinOf(4, false))
		state.Apply(Command{Kind: CountDisk, Disk: diskOf(4)})
		Expect(len(leavingNodes(state))).To(Equal(2), "three accept messages")
	})

	ginkgo.It("leave enough zones for messages to find enough disks after the loss of one", func() {
		state := newStoreTable(6, &tolerance.Tolerance{Machines: 1, Zones: 1})
		Expect(retire(state, 0)).To(Succeed())
		Expect(retire(state, 1)).To(Succeed())
		Expect(retire(state, 3)).To(BeAssignableToTypeOf(&TooFewDisksError{}), "it is the last of zone a")
		Expect(retire(state, 5)).To(Succeed())
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0), nodeOf(1), nodeOf(5)))
	})

	ginkgo.It("complete at once for a disk that doesn't count, and for one that another has replaced", func() {
		state := newStoreTable(4, oneMachine)
		state.Apply(joinOf(4, false))
		Expect(retire(state, 4)).To(Succeed())
		Expect(state.Retirement(nodeOf(4))).To(Equal(Drained))
		Expect(state.Disks()).NotTo(HaveKey(diskOf(4)))
		Expect(retire(state, 0)).To(Succeed())
		state.Apply(leaveOf(0))
		state.Apply(joinOf(5, false))
		state.Apply(Command{Kind: CountDisk, Disk: diskOf(5)})
		Expect(state.Disks()).NotTo(HaveKey(diskOf(0)))
		Expect(state.Retirement(nodeOf(0))).To(Equal(Drained))
	})

	ginkgo.It("can be cancelled until the machine is empty", func() {
		state := newStoreTable(4, oneMachine)
		cancel := func(i int) error { return state.Apply(Command{Kind: CancelRetire, Node: nodeOf(i)}) }
		retire(state, 0)
		Expect(cancel(0)).To(Succeed())
		Expect(leavingNodes(state)).To(BeEmpty())
		Expect(state.Retirement(nodeOf(0))).To(Equal(NotRetiring))
		Expect(cancel(0)).To(Succeed(), "a repeated order is acknowledged again")
		Expect(cancel(9)).To(BeAssignableToTypeOf(&UnknownMachineError{}))
		retire(state, 1)
		state.Apply(Command{Kind: DiskDrained, Disk: diskOf(1), Epoch: state.Epoch()})
		Expect(cancel(1)).To(BeAssignableToTypeOf(&AlreadyDrainedError{}))
	})

	ginkgo.It("complete only by the current roster", func() {
		state := newStoreTable(5, oneMachine)
		retire(state, 0)
		checkedEpoch := state.Epoch()
		retire(state, 1)
		state.Apply(Command{Kind: DiskDrained, Disk: diskOf(0), Epoch: checkedEpoch})
		Expect(state.Retirement(nodeOf(0))).To(Equal(Draining), "the other replicas may be on the disk that started to leave since")
		state.Apply(Command{Kind: DiskDrained, Disk: diskOf(0), Epoch: state.Epoch()})
		Expect(state.Retirement(nodeOf(0))).To(Equal(Drained))
	})

	ginkgo.It("are the same after a restored snapshot", func() {
		state := newStoreTable(5, oneMachine)
		retire(state, 3)
		retire(state, 0)
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := NewState()
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored.Retiring()).To(Equal([]string{nodeOf(3), nodeOf(0)}))
		Expect(restored.Tolerance()).To(Equal(oneMachine))
		Expect(retire(restored, 1)).To(BeAssignableToTypeOf(&TooFewDisksError{}))
	})
})

var _ = ginkgo.Describe("What a drain waits for", func() {
	ginkgo.It("is described at each stage", func() {
		state := newStoreTable(4, &tolerance.Tolerance{Machines: 1})
		state.Apply(leaveOf(3))
		state.Apply(Command{Kind: Retire, Node: nodeOf(0)})
		waits := func() Drain {
			drains := state.Drains(2)
			Expect(drains).To(HaveLen(1))
			return drains[0]
		}
		Expect(waits()).To(Equal(Drain{Node: nodeOf(0), WaitsFor: "3 live disks to stay without it, in enough zones; there are 2"}))
		state.Apply(joinOf(3, true))
		Expect(waits()).To(Equal(Drain{Node: nodeOf(0), Started: true, WaitsFor: "its disk to hand over what lies on too few others"}))
		state.Apply(leaveOf(2))
		Expect(waits().WaitsFor).To(Equal("the store of storage-2, which is gone: what lies here may be the last copy"))
		state.Apply(joinOf(2, true))
		state.Apply(leaveOf(0))
		Expect(waits().WaitsFor).To(Equal("its store, which is gone"))
		state.Apply(joinOf(0, true))
		state.Apply(Command{Kind: DiskDrained, Disk: diskOf(0), Epoch: state.Epoch()})
		Expect(waits().WaitsFor).To(Equal("2 control groups to do without it"))
		state.Apply(Command{Kind: GroupRemovedNode, Node: nodeOf(0), Group: 0})
		state.Apply(Command{Kind: GroupRemovedNode, Node: nodeOf(0), Group: 1})
		Expect(state.Drains(2)).To(BeEmpty())
	})
})
