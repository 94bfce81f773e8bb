package session

import (
	"errors"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitewing/internal/system/tolerance"
)

// fleetOfStores is a table with some machines whose disks count, in zones a, b and c by turns.
func fleetOfStores(machines int, tolerated *tolerance.Tolerance) *State {
	state := NewState()
	if tolerated != nil {
		state.Apply(Command{Kind: Tolerate, Tolerance: tolerated})
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
		Disk: diskOf(i), Founder: founder}}
}

func leaveOf(i int) Command { return Command{Kind: Leave, Incarnation: nodeOf(i) + "+1"} }

// leavingNodes gives the machines whose disks are leaving.
func leavingNodes(state *State) []string {
	var nodes []string
	for _, disk := range state.Disks() {
		if disk.Leaving {
			nodes = append(nodes, disk.Member.Node)
		}
	}
	return nodes
}

var _ = ginkgo.Describe("Orders to empty machines", func() {
	oneMachine := &tolerance.Tolerance{Machines: 1}
	retire := func(state *State, i int) error { return state.Apply(Command{Kind: Retire, Node: nodeOf(i)}) }

	ginkgo.It("are each judged by what the ones before have left", func() {
		state := fleetOfStores(5, oneMachine)
		Expect(retire(state, 0)).To(Succeed())
		Expect(retire(state, 1)).To(Succeed())
		err := retire(state, 2)
		var tooFew *TooFewError
		Expect(errors.As(err, &tooFew)).To(BeTrue(), "got %v", err)
		Expect(err.Error()).To(Equal("2 disks would be left, 3 are needed (being emptied: storage-0, storage-1); add a machine with a disk first, or cancel another emptying"))
		Expect(leavingNodes(state)).To(ConsistOf("storage-0", "storage-1"))
		Expect(retire(state, 1)).To(Succeed(), "a repeat is acknowledged again")
		Expect(retire(state, 9)).To(BeAssignableToTypeOf(&UnknownMachineError{}))
	})

	ginkgo.It("wait for a machine that is being filled", func() {
		state := fleetOfStores(3, oneMachine)
		state.Apply(joinOf(3, false))
		Expect(retire(state, 0)).To(Succeed())
		Expect(state.Retirement(nodeOf(0))).To(Equal(Running))
		Expect(leavingNodes(state)).To(BeEmpty(), "three take messages, and one of them is to leave")
		Expect(retire(state, 1)).To(BeAssignableToTypeOf(&TooFewError{}), "two would be left once all count")
		state.Apply(Command{Kind: Count, Disk: diskOf(3)})
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0)))
	})

	ginkgo.It("wait for a store that is gone", func() {
		state := fleetOfStores(4, oneMachine)
		state.Apply(leaveOf(3))
		Expect(retire(state, 0)).To(Succeed())
		Expect(leavingNodes(state)).To(BeEmpty())
		state.Apply(joinOf(3, true))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0)))
	})

	ginkgo.It("are taken back, the latest first, where too few take messages, and begin again", func() {
		state := fleetOfStores(5, oneMachine)
		retire(state, 0)
		retire(state, 1)
		state.Apply(leaveOf(2))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0), nodeOf(1)), "two are enough for a message")
		epoch := state.Epoch()
		state.Apply(leaveOf(3))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0)))
		Expect(state.Epoch()).To(BeNumerically(">", epoch), "carriers put messages there again")
		Expect(state.Retirement(nodeOf(1))).To(Equal(Running))
		state.Apply(joinOf(2, true))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0)), "three take messages, and one of them is to leave")
		state.Apply(joinOf(3, true))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0), nodeOf(1)))
	})

	ginkgo.It("are not taken back where that is not enough either", func() {
		state := fleetOfStores(4, oneMachine)
		retire(state, 0)
		for i := range 4 {
			state.Apply(leaveOf(i))
		}
		state.Apply(joinOf(0, true))
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0)), "one alone takes no message")
		state.Apply(joinOf(1, true))
		Expect(leavingNodes(state)).To(BeEmpty())
	})

	ginkgo.It("which a former version let begin beyond what can be spared are taken back", func() {
		state := fleetOfStores(4, nil)
		for i := range 4 {
			Expect(retire(state, i)).To(Succeed())
		}
		Expect(leavingNodes(state)).To(HaveLen(4))
		state.Apply(Command{Kind: Tolerate, Tolerance: oneMachine})
		Expect(leavingNodes(state)).To(HaveLen(2), "as many as a message lies on take some")
		state.Apply(joinOf(4, false))
		state.Apply(Command{Kind: Count, Disk: diskOf(4)})
		Expect(len(leavingNodes(state))).To(Equal(2), "three take messages")
	})

	ginkgo.It("leave no zone out through whose loss messages must find enough disks", func() {
		state := fleetOfStores(6, &tolerance.Tolerance{Machines: 1, Zones: 1})
		Expect(retire(state, 0)).To(Succeed())
		Expect(retire(state, 1)).To(Succeed())
		Expect(retire(state, 3)).To(BeAssignableToTypeOf(&TooFewError{}), "it is the last of zone a")
		Expect(retire(state, 5)).To(Succeed())
		Expect(leavingNodes(state)).To(ConsistOf(nodeOf(0), nodeOf(1), nodeOf(5)))
	})

	ginkgo.It("end at once for a disk that doesn't count, and for one whose place another has taken", func() {
		state := fleetOfStores(4, oneMachine)
		state.Apply(joinOf(4, false))
		Expect(retire(state, 4)).To(Succeed())
		Expect(state.Retirement(nodeOf(4))).To(Equal(Emptied))
		Expect(state.Disks()).NotTo(HaveKey(diskOf(4)))
		Expect(retire(state, 0)).To(Succeed())
		state.Apply(leaveOf(0))
		state.Apply(joinOf(5, false))
		state.Apply(Command{Kind: Count, Disk: diskOf(5)})
		Expect(state.Disks()).NotTo(HaveKey(diskOf(0)))
		Expect(state.Retirement(nodeOf(0))).To(Equal(Emptied))
	})

	ginkgo.It("can be cancelled until the machine is empty", func() {
		state := fleetOfStores(4, oneMachine)
		cancel := func(i int) error { return state.Apply(Command{Kind: CancelRetire, Node: nodeOf(i)}) }
		retire(state, 0)
		Expect(cancel(0)).To(Succeed())
		Expect(leavingNodes(state)).To(BeEmpty())
		Expect(state.Retirement(nodeOf(0))).To(Equal(Staying))
		Expect(cancel(0)).To(Succeed(), "a repeat is acknowledged again")
		Expect(cancel(9)).To(BeAssignableToTypeOf(&UnknownMachineError{}))
		retire(state, 1)
		state.Apply(Command{Kind: DiskEmptied, Disk: diskOf(1), Epoch: state.Epoch()})
		Expect(cancel(1)).To(BeAssignableToTypeOf(&AlreadyEmptiedError{}))
	})

	ginkgo.It("end only by the roster that there is", func() {
		state := fleetOfStores(5, oneMachine)
		retire(state, 0)
		looked := state.Epoch()
		retire(state, 1)
		state.Apply(Command{Kind: DiskEmptied, Disk: diskOf(0), Epoch: looked})
		Expect(state.Retirement(nodeOf(0))).To(Equal(Running), "what it counted on may lie on the one that leaves since")
		state.Apply(Command{Kind: DiskEmptied, Disk: diskOf(0), Epoch: state.Epoch()})
		Expect(state.Retirement(nodeOf(0))).To(Equal(Emptied))
	})

	ginkgo.It("are the same after a snapshot", func() {
		state := fleetOfStores(5, oneMachine)
		retire(state, 3)
		retire(state, 0)
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		again := NewState()
		Expect(again.Restore(data)).To(Succeed())
		Expect(again.Retiring()).To(Equal([]string{nodeOf(3), nodeOf(0)}))
		Expect(again.Tolerance()).To(Equal(oneMachine))
		Expect(retire(again, 1)).To(BeAssignableToTypeOf(&TooFewError{}))
	})
})

var _ = ginkgo.Describe("What an emptying waits for", func() {
	ginkgo.It("is told at each stage", func() {
		state := fleetOfStores(4, &tolerance.Tolerance{Machines: 1})
		state.Apply(leaveOf(3))
		state.Apply(Command{Kind: Retire, Node: nodeOf(0)})
		waits := func() Emptying {
			emptyings := state.Emptyings(2)
			Expect(emptyings).To(HaveLen(1))
			return emptyings[0]
		}
		Expect(waits()).To(Equal(Emptying{Node: nodeOf(0), Waits: "3 live disks to stay without it, in enough zones; there are 2"}))
		state.Apply(joinOf(3, true))
		Expect(waits()).To(Equal(Emptying{Node: nodeOf(0), Begun: true, Waits: "its disk to hand over what lies on too few others"}))
		state.Apply(leaveOf(2))
		Expect(waits().Waits).To(Equal("the store of storage-2, which is gone: what lies here may be the last copy"))
		state.Apply(joinOf(2, true))
		state.Apply(leaveOf(0))
		Expect(waits().Waits).To(Equal("its store, which is gone"))
		state.Apply(joinOf(0, true))
		state.Apply(Command{Kind: DiskEmptied, Disk: diskOf(0), Epoch: state.Epoch()})
		Expect(waits().Waits).To(Equal("2 control groups to do without it"))
		state.Apply(Command{Kind: GroupLeft, Node: nodeOf(0), Group: 0})
		state.Apply(Command{Kind: GroupLeft, Node: nodeOf(0), Group: 1})
		Expect(state.Emptyings(2)).To(BeEmpty())
	})
})
